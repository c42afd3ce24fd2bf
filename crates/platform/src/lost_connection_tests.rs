//! Losses of one of several connections to a node.

use expect_test::expect;

use crate::CloseReason;
use crate::tests::{Harness, request_from_one_node};

/// Returns a gateway with two connections to the node `c`, `c1` and `c2`. Session 1 was set up on `c1`; the SETUP of
/// session 2 is pending on `c2`.
fn with_two_connections() -> Harness {
    let mut harness =
        Harness::started_with(r#""dialTimeout": 250"#, r#""dialTimeout": 250, "maxStreams": 1"#);
    harness.node_connected("a0").viewer_connects(1);
    request_from_one_node(&mut harness, 1..2).node_connected("c1");
    // The connection is full, so that another one is opened.
    request_from_one_node(&mut harness, 2..3).node_connected("c2");
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    harness.take_trace();
    harness
}

/// Guards against a session that is left standing at its node, because the release that was owed waited for the next
/// connection while another one was open.
#[test]
fn a_release_owed_on_a_lost_connection_is_sent_on_another_open_one() {
    let mut harness = with_two_connections();
    harness.node_disconnected("c2", CloseReason::ProtocolError);
    let trace = harness.take_trace();
    assert!(trace.contains(r#"node c1 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}"#), "{trace}");
}

/// Guards against viewers that are never told of the end of their sessions, because their node reported it on a
/// connection that was given up, and repeats it on the next one only, which was not opened while another was open.
#[test]
fn a_connection_is_opened_for_the_releases_that_the_node_repeats() {
    let mut harness = with_two_connections();
    // A session goes on that was set up on the other connection.
    request_from_one_node(&mut harness, 3..4).node_sends("c1", "STARTED", 0x03, r#","opts":{},"blob":"m=1""#);
    harness.advance(300.0).take_trace();
    harness.node_disconnected("c2", CloseReason::ProtocolError).advance(500.0);
    let trace = harness.take_trace();
    assert_eq!(trace.matches("connect c3").count(), 1, "{trace}");
    harness.node_connected("c3").take_trace();
    harness.node_sends("c3", "FINISH", 0x01, r#","opts":{},"rc":16"#).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
    // One is enough, and none is opened for a connection that its node has closed with nothing open on it.
    harness.node_disconnected("c3", CloseReason::Lost).advance(2000.0);
    let trace = harness.take_trace();
    assert!(!trace.contains("connect c"), "{trace}");
}
