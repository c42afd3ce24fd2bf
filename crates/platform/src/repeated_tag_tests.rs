//! Requests that repeat the tag of an earlier one.

use expect_test::expect;

use crate::tests::Harness;

/// Guards against a session that is set up twice, because its client left and sent the same request again while the
/// first SETUP could still run at a node.
#[test]
fn a_request_that_comes_again_after_its_client_left_is_not_set_up_again() {
    let mut harness = Harness::started();
    harness
        .node_connected("a0")
        .viewer_connects(1)
        .request_session(1, 0x01)
        .node_connected("c1")
        .take_trace();
    harness.process([Harness::viewer_close(1)]).take_trace();
    harness.viewer_connects(2).request_session(2, 0x01).expect_trace(expect![[r#"
        viewer 2 < {"verb":"FINISH","tag":"01","opts":{},"rc":100}
    "#]]);
    // The node has started the first one all the same: it is released.
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).expect_trace(expect![[r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
    // Another tag is served.
    harness.request_session(2, 0x02);
    let trace = harness.take_trace();
    assert!(trace.contains(r#""verb":"START","tag":"02""#), "{trace}");
}

/// Guards against a session that is set up again right after its viewer ended it, while the release is on its way.
#[test]
fn a_request_with_the_tag_of_an_ended_session_is_not_set_up_again() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    harness.viewer_sends(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#).take_trace();
    harness.request_session(1, 0x01).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":100}
    "#]]);
}

/// Guards against requests that are refused for good, although no SETUP of theirs has been sent.
#[test]
fn a_request_of_which_nothing_was_sent_may_come_again() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).take_trace();
    harness.process([Harness::viewer_close(1)]).take_trace();
    harness.node_connected("c1").viewer_connects(2).request_session(2, 0x01);
    let trace = harness.take_trace();
    assert!(trace.contains(r#""verb":"START","tag":"01""#), "{trace}");
}
