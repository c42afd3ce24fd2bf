//! Plays days with faults between directors, nodes and viewers, injected by relays on every path.

use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Serializes the tests: several fleets at once would overload the machine and fail for lack of CPU time.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// Plays a day with relays; returns whether it succeeded and its output.
fn play(text: &str, arguments: &[&str]) -> (bool, String) {
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("fleet.txtpb");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    command
        .arg("fleet")
        .arg(&file)
        .arg("--quiet")
        .arg("--out")
        .arg(folder.path().join("out"))
        .args(arguments);
    let result = command.output().unwrap();
    let output =
        String::from_utf8_lossy(&result.stdout).into_owned() + &String::from_utf8_lossy(&result.stderr);
    (result.status.success(), output)
}

fn day(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/fleet").join(name);
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn rules_hold_when_nodes_fail_while_directors_are_partitioned() {
    let (success, output) = play(&day("share-cut.txtpb"), &[]);
    assert!(success, "{output}");
}

#[test]
fn rules_hold_when_directors_stop_or_die_during_permit_exchanges() {
    let (success, output) = play(&day("share-hard.txtpb"), &[]);
    assert!(success, "{output}");
}

#[test]
fn judge_detects_each_injected_defect() {
    let day = day("share-judge.txtpb");
    let (success, output) = play(&day, &[]);
    assert!(success, "{output}");
    for (defect, rule) in [("no-rest", 7), ("twice", 7), ("from-answer", 9)] {
        // A defect shows only if the traffic triggers it, so each is played up to three times.
        let is_detected = || play(&day, &["--defect", defect]).1.contains(&format!("rule {rule} BROKEN"));
        assert!((0..3).any(|_| is_detected()), "{defect} is not found");
    }
}

#[test]
fn errors_of_an_invalid_fault_name_line_and_field() {
    let day = day("share-cut.txtpb");
    let template = day.split("fault {").next().unwrap();
    let mut errors = String::new();
    for fault in [
        "at_s: 1 deed: CUT from: \"director 9\"",
        "at_s: 1 deed: CUT from: \"zone x\" to: \"nodes\"",
        "at_s: 1 deed: CUT",
        "deed: CUT from: \"nodes\"",
        "at_s: 1 when { said: GRANT } deed: CUT from: \"nodes\"",
        "when { said: GRANT from: \"somebody\" } deed: CUT from: \"nodes\"",
        "at_s: 1 deed: LOSS size: 2 from: \"directors\"",
        "at_s: 1 deed: DELAY from: \"directors\"",
        "at_s: 1 deed: KILL from: \"node 3\"",
        "at_s: 1 from: \"nodes\"",
    ] {
        let (success, output) = play(&format!("{template}fault {{ {fault} }}"), &[]);
        assert!(!success);
        errors += output.rsplit('/').next().unwrap_or_default();
    }
    expect_test::expect![[r#"
        fleet.txtpb:70: fault[0].from[0]: "director 9" names no party; use "director 3", "node 5", "zone NAME" or "viewers"
        fleet.txtpb:70: fault[0].from[0]: "zone x" names no party; use "director 3", "node 5", "zone NAME" or "viewers"
        fleet.txtpb:70: fault[0].from: is missing
        fleet.txtpb:70: fault[0]: needs exactly one of at_s and when
        fleet.txtpb:70: fault[0]: needs exactly one of at_s and when
        fleet.txtpb:70: fault[0].when.from[0]: "somebody" names no party; use "director 3", "node 5", "zone NAME" or "viewers"
        fleet.txtpb:70: fault[0].size: is 2; expected 0 to 1
        fleet.txtpb:70: fault[0].size: is missing
        fleet.txtpb:70: fault[0].from[0]: only directors can be killed or stopped
        fleet.txtpb:70: fault[0].deed: is missing
    "#]].assert_eq(&errors);
}

#[test]
fn a_fault_that_never_starts_is_reported() {
    let day = day("share-cut.txtpb").replace("seconds: 10", "seconds: 1");
    let template = day.split("trouble {").next().unwrap();
    let fault = "fault { when { said: GRANT from: \"director 0\" nth: 100000 } deed: CUT from: \"nodes\" }";
    let (success, output) = play(&format!("{template}{fault}"), &[]);
    assert!(!success && output.contains("fault[0] never started"), "{output}");
}
