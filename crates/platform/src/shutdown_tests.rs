//! Planned shutdowns, seen from the gateway's actions.

use expect_test::expect;

use crate::Event;
use crate::tests::Harness;

/// Guards against a request that hangs at a node until the process is killed, and against one that is taken
/// when it can't be answered any longer (incident of 2026-12-04).
#[test]
fn requests_at_hung_nodes_are_answered_and_all_connections_closed_before_the_kill() {
    let mut harness = Harness::started();
    // The nodes hang.
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    harness.process([Event::DrainStarted]).take_trace();
    harness.advance(3300.0).expect_trace(expect![[r#"
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 400 ms:
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        close c1
        connect c2
        connect b3
        after 600 ms:
        node a0 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"2380","rung":"2"},"blob":"v=0"}
        after 2980 ms:
        node a0 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        close a0
        connect a4
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
        viewer 1 closed
    "#]]);
    harness.viewer_connects(2).request_session(2, 0x03).expect_trace(expect![[r#"
        viewer 2 < {"verb":"FINISH","tag":"03","opts":{},"rc":42}
    "#]]);
    harness.advance(300.0).expect_trace(expect![[r#"
        after 20 ms:
        viewer 2 closed
        after 40 ms:
        viewer 0 closed
        after 180 ms:
        stop listening
    "#]]);
    assert!(harness.gateway_is_finished());
}

#[test]
fn unused_connections_are_closed_first_and_those_with_playing_sessions_last() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).process([Event::DrainStarted]).take_trace();
    harness.advance(690.0).expect_trace(expect![[r#"
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
    "#]]);
    harness.advance(30.0).expect_trace(expect![[r#"
        after 10 ms:
        viewer 1 closed
    "#]]);
    // A request that crossed the close is sent again on a new connection, and is served.
    harness.viewer_connects(2).advance(60.0).request_session(2, 0x01).expect_trace(expect![[r#"
        connect c1
    "#]]);
    harness.node_connected("c1").node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    harness.expect_trace(expect![[r#"
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        viewer 2 < {"verb":"STARTED","tag":"01","opts":{},"blob":"m=1"}
    "#]]);
    // Sessions are attended until all connections are closed.
    harness.advance(1000.0).node_sends("c1", "FINISH", 0x01, r#","opts":{},"rc":16"#);
    harness.expect_trace(expect![[r#"
        viewer 2 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
    harness.advance(1570.0).expect_trace(expect![[r#"
        after 20 ms:
        viewer 2 closed
        after 1560 ms:
        viewer 0 closed
    "#]]);
    // What ends from here on is for the next process: there is no new connection to the node.
    harness.node_disconnected("a0", crate::CloseReason::Lost).advance(230.0).expect_trace(expect![[r#"
        after 130 ms:
        stop listening
    "#]]);
    assert!(harness.gateway_is_finished(), "the session that plays does not delay the end");
}

#[test]
fn a_director_without_sessions_ends_once_no_request_is_expected() {
    let mut harness = Harness::started();
    harness.node_connected("a0").node_sends("a0", "FINISH", 0xa0, r#","opts":{},"rc":16"#);
    harness.process([Event::DrainStarted]).take_trace();
    harness.advance(1000.0).expect_trace(expect![[r#"
        after 700 ms:
        viewer 0 closed
        after 860 ms:
        stop listening
    "#]]);
    assert!(harness.gateway_is_finished());
}

/// Guards against a session that is left at its node: its viewer ends it in the last moments of a director whose
/// connection to that node has just been lost.
#[test]
fn a_release_that_is_owed_is_sent_until_the_end() {
    let mut harness = Harness::started();
    harness.node_connected("a0").process([Event::DrainStarted]).advance(3340.0);
    harness.node_disconnected("a0", crate::CloseReason::Lost).viewer_connects(2).take_trace();
    harness.viewer_sends(2, r#"{"verb":"FINISH","tag":"00000000000000a0","opts":{},"rc":16}"#);
    harness.expect_trace(expect![[r#"
        connect a1
    "#]]);
    harness.advance(20.0).node_connected("a1").expect_trace(expect![[r#"
        node a1 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
    "#]]);
}
