//! Answers of nodes that are as long as a message may be.

use crate::line_decoder::MAX_LINE_BYTES;
use crate::tests::Harness;

/// Returns the JSON members of an answer with these further members, whose line has `length` bytes.
fn answer_members(length: usize, members: &str) -> String {
    let frame = format!(r#"{{"verb":"STARTED","tag":"{:016x}"{members},"blob":""}}"#, 1);
    format!(r#"{members},"blob":"{}""#, "x".repeat(length - frame.len()))
}

/// Starts a session's SETUP at the node `c`.
fn harness_with_setup() -> Harness {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    harness.take_trace();
    harness
}

/// Guards against a session that plays without an answer, because the line feed of the longest answer was counted
/// when it was written and not when it was read.
#[test]
fn an_answer_of_the_longest_length_is_passed_on() {
    let mut harness = harness_with_setup();
    harness.node_sends("c1", "STARTED", 0x01, &answer_members(MAX_LINE_BYTES, r#","opts":{}"#));
    let trace = harness.take_trace();
    assert!(trace.starts_with(r#"viewer 1 < {"verb":"STARTED","tag":"01","opts":{},"blob":"xxx"#), "{trace}");
    assert_eq!(trace.lines().count(), 1, "{trace}");
}

/// Guards against a session that plays without an answer, because its node left out an empty field and the answer
/// that was encoded anew exceeded the length of a message.
#[test]
fn an_answer_that_is_too_long_when_encoded_anew_is_refused_and_released() {
    let mut harness = harness_with_setup();
    harness.node_sends("c1", "STARTED", 0x01, &answer_members(MAX_LINE_BYTES, "")).advance(3000.0);
    let trace = harness.take_trace();
    let released = r#"node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}"#;
    assert!(trace.contains(released), "{trace}");
    assert_eq!(trace.matches(r#"viewer 1 < {"verb":"FINISH","tag":"01""#).count(), 1, "{trace}");
    assert!(!trace.contains("STARTED"), "{trace}");
}
