//! Ends of playing sessions that are reported early, late, or by no one.

use expect_test::expect;

use crate::tests::{Harness, request_from_one_node};
use crate::{DownstreamId, Event, Message};

fn handover_line(tag: u64, node: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"clip","left":"3000","key":"7f3a","extras":"home:0;copies:3;top:2;at:{node}"}},"blob":"v=0"}}"#
    )
}

/// Publishes an event with one endpoint.
fn publish(harness: &mut Harness, offset: u64, endpoint: &str) {
    let batch = format!(
        r#"{{"offset":{offset},"batch":[{{"offset":{offset},"topology":{{"endpoints":[{endpoint}]}}}}]}}"#
    );
    harness.publish(&batch, offset - 1);
}

/// Hands over the session `tag`, which plays at the node `a`.
fn handover(harness: &mut Harness, viewer: u64, tag: u64) -> &mut Harness {
    harness.viewer_sends(viewer, &handover_line(tag, "a"))
}

/// Guards against a session that stands for its viewer for good, because its node reported the end on the first
/// connection of the new process, before the session was handed over.
#[test]
fn a_nodes_release_that_precedes_the_handover_ends_the_session() {
    let mut harness = Harness::started();
    harness.node_connected("a0").node_sends("a0", "FINISH", 0x01, r#","opts":{},"rc":16"#);
    harness.viewer_connects(1).take_trace();
    handover(&mut harness, 1, 0x01).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
    // The session of another tag goes on.
    handover(&mut harness, 1, 0x02).advance(200.0).expect_trace(expect![[r#""#]]);
}

/// Guards against a session that is left at its node, because its viewer ended it on another connection than
/// the one on which it is handed over.
#[test]
fn an_end_by_the_viewer_that_precedes_the_handover_ends_the_session() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).viewer_connects(2);
    harness.viewer_sends(2, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#).take_trace();
    handover(&mut harness, 1, 0x01).expect_trace(expect![[r#"
        node a0 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

/// Guards against sessions that stand for their viewers for good, because the connection that was opened anew
/// after their node's end leads to another node at the same address.
#[test]
fn sessions_of_a_removed_node_end_though_another_process_accepts_at_its_address() {
    let mut harness = Harness::started();
    harness.node_connected("a0").node_disconnected("a0", crate::CloseReason::Lost);
    harness.advance(600.0).node_connected("a1").take_trace();
    let removed = r#"{"name":"a","address":"10.0.0.1:80","zone":"east","type":"std","group":0,"status":"removed","weight":4}"#;
    publish(&mut harness, 2, removed);
    harness.advance(500.0).expect_trace(expect![[r#"
        node a1 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        close a1
    "#]]);
}

/// Sets up sessions 1 and 2 at the node `c`, loses their connection, and sets up session 3 on the next one, `c2`.
fn set_up_around_a_lost_connection(harness: &mut Harness) {
    harness.node_connected("a0").viewer_connects(1);
    request_from_one_node(harness, 1..3).node_connected("c1");
    for tag in [0x01, 0x02] {
        harness.node_sends("c1", "STARTED", tag, r#","opts":{},"blob":"m=1""#);
    }
    harness.advance(600.0).node_disconnected("c1", crate::CloseReason::Lost).node_connected("c2");
    request_from_one_node(harness, 3..4).node_sends("c2", "STARTED", 0x03, r#","opts":{},"blob":"m=1""#);
    harness.take_trace();
}

/// Publishes that the node `c` is removed and that `d` has its address.
fn replace_node(harness: &mut Harness) {
    let endpoint = |name: &str, status: &str| {
        format!(
            r#"{{"name":"{name}","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"{status}","weight":4}}"#
        )
    };
    publish(harness, 2, &format!("{},{}", endpoint("c", "removed"), endpoint("d", "up")));
}

/// Guards against sessions that stand for their viewers for good, because the node that has taken the address of
/// theirs has answered a SETUP that was meant for it.
#[test]
fn sessions_of_a_removed_node_end_though_its_successor_has_answered_a_setup() {
    let mut harness = Harness::started();
    set_up_around_a_lost_connection(&mut harness);
    replace_node(&mut harness);
    harness.expect_trace(expect![[r#"
        node c2 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        node c2 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
        viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":41}
    "#]]);
    // The session that was set up on the open connection goes on until that ends.
    harness.node_sends("c2", "FINISH", 0x03, r#","opts":{},"rc":16"#).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"03","opts":{},"rc":16}
    "#]]);
}

/// Guards against playing sessions of a removed node that are cut, although the node has named one of them on its
/// new connection.
#[test]
fn sessions_of_a_removed_node_go_on_if_it_has_named_one_of_them() {
    let mut harness = Harness::started();
    set_up_around_a_lost_connection(&mut harness);
    harness.node_sends("c2", "NOTICE", 0x01, r#","opts":{"note":"d","value":1}"#).take_trace();
    replace_node(&mut harness);
    harness.expect_trace(expect![[r#""#]]);
    harness.node_disconnected("c2", crate::CloseReason::Lost).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
        viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":41}
        viewer 1 < {"verb":"FINISH","tag":"03","opts":{},"rc":41}
    "#]]);
}

/// Guards against a session that stands for its viewer although a message about it came from a process that doesn't
/// know it: any node confirms a release, or reports a session as interrupted.
#[test]
fn a_confirmed_release_does_not_keep_sessions_of_a_removed_node() {
    let mut harness = Harness::started();
    set_up_around_a_lost_connection(&mut harness);
    harness.node_sends("c2", "FINISHED", 0x01, "").take_trace();
    replace_node(&mut harness);
    let trace = harness.take_trace();
    assert!(trace.contains(r#"viewer 1 < {"verb":"FINISH","tag":"02""#), "{trace}");
}

/// Guards against a session at an unknown node that stands for its viewer until a line that is queued for that
/// node expires.
#[test]
fn a_line_queued_for_an_unlisted_node_does_not_delay_the_end_of_its_sessions() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1);
    for tag in [0x01, 0x02] {
        let line = handover_line(tag, "d");
        harness.viewer_sends(1, &line);
    }
    harness.viewer_sends(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#).take_trace();
    harness.advance(2300.0).expect_trace(expect![[r#"
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 2149 ms:
        viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":41}
    "#]]);
}

/// Guards against a session that is left at a node which has taken the address of another: the SETUP was meant
/// for the other one, and its outcome is unknown when the removal is reported.
#[test]
fn a_release_owed_at_a_removed_node_goes_to_the_node_that_has_taken_its_address() {
    let mut harness = Harness::started();
    harness
        .node_connected("a0")
        .viewer_connects(1)
        .request_session(1, 0x01)
        .node_connected("c1")
        .take_trace();
    let endpoint = |name: &str, status: &str| {
        format!(
            r#"{{"name":"{name}","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"{status}","weight":4}}"#
        )
    };
    publish(&mut harness, 2, &endpoint("c", "removed"));
    harness.expect_trace(expect![[r#"
        close c1
        connect b2
    "#]]);
    publish(&mut harness, 3, &endpoint("d", "up"));
    harness.expect_trace(expect![[r#"
        connect c3
    "#]]);
    harness.node_connected("c3").expect_trace(expect![[r#"
        node c3 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

/// Guards against a session that stands for its viewer for two seconds more, which a series of shutdowns repeats
/// without end, because its node was removed before it was handed over.
#[test]
fn a_session_handed_over_at_a_removed_node_is_over_at_once() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1);
    let removed = r#"{"name":"b","address":"10.0.0.2:80","zone":"east","type":"std","group":1,"status":"removed","weight":4}"#;
    publish(&mut harness, 2, removed);
    harness.advance(500.0).take_trace();
    let line = handover_line(0x01, "b");
    harness.viewer_sends(1, &line).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
    "#]]);
}

/// A node's answer to the SETUP of session 1, which waits on the connection `c1`.
fn started() -> (&'static str, u64, &'static str) {
    ("STARTED", 0x01, r#","opts":{},"blob":"m=1""#)
}

/// Requests session 1 and passes these lines of its node to the gateway in one call.
fn answer_with(harness: &mut Harness, lines: &[(&str, u64, &str)]) {
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    harness.take_trace();
    harness.node_sends_all("c1", lines);
}

/// Guards against an answer that follows the release of its own session, so that the session stands for its
/// viewer for good.
#[test]
fn a_session_that_ends_together_with_its_answer_is_answered_first() {
    let mut harness = Harness::started();
    answer_with(&mut harness, &[started(), ("FINISH", 0x01, r#","opts":{},"rc":16"#)]);
    harness.expect_trace(expect![[r#"
        viewer 1 < {"verb":"STARTED","tag":"01","opts":{},"blob":"m=1"}
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

/// Guards against the same for a session that its node interrupts.
#[test]
fn a_session_that_is_lost_together_with_its_answer_is_answered_first() {
    let mut harness = Harness::started();
    answer_with(&mut harness, &[started(), ("FINISH", 0x01, r#","opts":{},"rc":41"#)]);
    harness.expect_trace(expect![[r#"
        viewer 1 < {"verb":"STARTED","tag":"01","opts":{},"blob":"m=1"}
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
    "#]]);
}

/// Guards against a viewer's connection that is never closed as idle, because it counts a session that ended
/// before its answer was sent.
#[test]
fn a_session_that_ends_together_with_its_answer_does_not_keep_its_connection_open() {
    let mut harness = Harness::started();
    answer_with(&mut harness, &[started(), ("FINISH", 0x01, r#","opts":{},"rc":16"#)]);
    harness.take_trace();
    harness.advance(5400.0);
    let trace = harness.take_trace();
    assert!(trace.contains("viewer 1 closed"), "{trace}");
}

/// Guards against an answer to a viewer that has cancelled its request in the same call.
#[test]
fn a_request_that_is_cancelled_together_with_its_answer_is_not_answered() {
    let mut harness = Harness::started();
    answer_with(&mut harness, &[]);
    let (verb, tag, rest) = started();
    let cancellation = br#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#;
    let events = [
        harness.node_message("c1", verb, tag, rest),
        Event::DownstreamMessage(DownstreamId(1), Message::parse(cancellation).unwrap()),
    ];
    harness.process(events).expect_trace(expect![[r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

/// Publishes that the node `d` is up at the address of `c`, whose removal has not been reported.
fn take_address(harness: &mut Harness) {
    let d = r#"{"name":"d","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"up","weight":4}"#;
    publish(harness, 2, d);
}

/// Guards against SETUPs that are sent to the wrong node, because the process at the address of a node that has gone
/// was taken for it until its removal was reported.
#[test]
fn no_setup_for_a_node_is_sent_once_another_one_is_listed_at_its_address() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1);
    request_from_one_node(&mut harness, 1..2).node_connected("c1");
    harness.node_sends("c1", "FINISH", 0x01, r#","opts":{},"rc":47"#).advance(300.0);
    take_address(&mut harness);
    harness.advance(11_000.0).viewer_connects(1).take_trace();
    // Only `d` has the title now: what is sent goes to it, on a connection of its own.
    request_from_one_node(&mut harness, 2..3);
    let trace = harness.take_trace();
    assert!(!trace.contains("node c1 <"), "{trace}");
    assert!(trace.contains("connect c"), "{trace}");
}

/// Guards against sessions that stand for their viewers until the removal of their node is reported, although another
/// node is known to have its address.
#[test]
fn sessions_end_once_another_node_is_listed_at_the_address_of_theirs() {
    let mut harness = Harness::started();
    set_up_around_a_lost_connection(&mut harness);
    take_address(&mut harness);
    let trace = harness.take_trace();
    for tag in ["01", "02"] {
        assert!(trace.contains(&format!(r#"viewer 1 < {{"verb":"FINISH","tag":"{tag}""#)), "{trace}");
    }
    // The session whose connection is open goes on.
    assert!(!trace.contains(r#""tag":"03""#), "{trace}");
}
