//! Plays short days on loopback with directors as child processes, and checks the verdict on the recorded
//! traffic.

use std::process::Command;

/// The settings and viewers of the bad day with some replacements, and with other troubles.
fn day(changes: &[(&str, &str)], troubles: &str) -> String {
    let template = include_str!("../../../days/bad-day.txtpb");
    let mut text: String = template
        .lines()
        .filter(|line| !line.starts_with("trouble"))
        .map(|line| format!("{line}\n"))
        .collect();
    for (from, to) in changes {
        assert!(text.contains(from), "{from} is in the day");
        text = text.replace(from, to);
    }
    text + troubles
}

/// Plays a day; returns whether it succeeded and its output.
fn play(text: &str) -> (bool, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.txtpb");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    command.arg("day").arg(&file).arg("--quiet").arg("--out").arg(folder.path().join("out"));
    let result = command.output().unwrap();
    let output =
        String::from_utf8_lossy(&result.stdout).into_owned() + &String::from_utf8_lossy(&result.stderr);
    (result.status.success(), output)
}

/// Generous time limits, so that a slow machine doesn't fail the rules.
const GENEROUS_LIMITS: (&str, &str) = ("drain_grace_ms: 500", "drain_grace_ms: 1500\nslack_ms: 250");
const SHORT_DAY: (&str, &str) = ("seconds: 30", "seconds: 6");
const SHORT_SESSIONS: (&str, &str) = ("watch_to_s: 12", "watch_to_s: 4.5");

#[test]
fn rules_hold_on_a_short_bad_day() {
    let troubles = "
        trouble { kind: answer_lost at_s: 1 for_s: 3 on: 0 on: 1 }
        trouble { kind: fast_errors at_s: 1.5 for_s: 3 size: 0.7 on: 3 }
        trouble { kind: vanish at_s: 2 for_s: 1 on: 6 }
        trouble { kind: slow at_s: 2 for_s: 3 size: 2.5 on: 7 }
        trouble { kind: drain at_s: 2.5 for_s: 1 on: 10 }
        trouble { kind: peer_down at_s: 3 for_s: 1 on: 0 }
        trouble { kind: reset at_s: 3 for_s: 3 size: 0.4 on: 2 }
    ";
    let (success, output) = play(&day(&[GENEROUS_LIMITS, SHORT_DAY, SHORT_SESSIONS], troubles));
    assert!(success, "{output}");
}

#[test]
fn every_request_is_answered_in_time_when_all_nodes_hang() {
    let (success, output) =
        play(&day(&[GENEROUS_LIMITS, SHORT_DAY, SHORT_SESSIONS], "trouble { kind: hang at_s: 0 for_s: 30 }"));
    assert!(success, "{output}");
    assert!(output.contains(": 0 started,"), "{output}");
}

#[test]
fn two_directors_do_not_overload_a_cold_node() {
    // A single node has all titles and restarts during the peak, so both directors send to it while it is
    // cold.
    let changes = [
        GENEROUS_LIMITS,
        SHORT_DAY,
        SHORT_SESSIONS,
        ("nodes { count: 12", "nodes { count: 1"),
        ("rate: 8", "rate: 20"),
        ("cells: 12 racks: 2", "cells: 1 racks: 1"),
        ("home: 0 copies: 6", ""),
        ("home: 2 copies: 5", ""),
        ("home: 4 copies: 5", ""),
        ("home: 6 copies: 5", ""),
        ("home: 8 copies: 6", ""),
        ("home: 10 copies: 6", ""),
    ];
    let (success, output) = play(&day(&changes, "trouble { kind: vanish at_s: 1.5 for_s: 0.5 }"));
    assert!(success, "{output}");
    assert!(output.contains("1 starts, "), "{output}");
}

/// Number of sessions started in the same day in the emulator.
fn emulated_session_count(text: &str) -> f64 {
    let folder = tempfile::tempdir().unwrap();
    let (file, json) = (folder.path().join("day.txtpb"), folder.path().join("report.json"));
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    let result = command.arg("emulate").arg(&file).arg("--json").arg(&json).output().unwrap();
    assert!(result.status.success(), "{}", String::from_utf8_lossy(&result.stderr));
    let report: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap();
    let groups = report["groups"].as_array().expect("groups");
    groups.iter().filter_map(|group| group["played"].as_f64()).sum()
}

#[test]
fn admission_control_protects_a_small_group_under_overload() {
    let overload = include_str!("../../../days/rush.txtpb")
        .replace("seconds: 15", "seconds: 6")
        .replace(GENEROUS_LIMITS.0, GENEROUS_LIMITS.1)
        .replace("group_share: 0.05", "group_share: 0.1")
        .replace("group_share: 0.95", "group_share: 0.9");
    let (success, output) = play(&overload);
    assert!(success, "{output}");
    let share = |group: &str| -> f64 {
        let after = output.split(&format!("{group} ")).nth(1).expect("its service");
        after.split(' ').next().and_then(|n| n.parse().ok()).expect("a figure")
    };
    // The emulator must agree with the sockets on the number of sessions started.
    let emulated_count = emulated_session_count(&overload);
    let socket_count =
        output.split(" requests: ").nth(1).and_then(|rest| rest.split(' ').next()).expect("how many play");
    let socket_count: f64 = socket_count.parse().expect("a number");
    assert!(
        (emulated_count - socket_count).abs() < socket_count * 0.25,
        "{emulated_count} emulated, {socket_count} on sockets"
    );
    // Agents request a seventh of the SETUP capacity; without admission control almost no session would
    // start.
    assert!(share("agent-lesson") > 0.6 && share("premium-clip") > 0.2, "{output}");
}

#[test]
fn rules_hold_on_a_bad_day_with_rtsp_and_hls() {
    let troubles = "
        trouble { kind: answer_lost at_s: 1 for_s: 3 on: 0 on: 1 }
        trouble { kind: fast_errors at_s: 1.5 for_s: 3 size: 0.7 on: 3 }
        trouble { kind: vanish at_s: 2 for_s: 1 on: 6 }
        trouble { kind: slow at_s: 2 for_s: 3 size: 2.5 on: 7 }
        trouble { kind: peer_down at_s: 3 for_s: 1 on: 0 }
    ";
    let template = include_str!("../../../days/mixed-day.txtpb");
    let mut text: String = template
        .lines()
        .filter(|line| !line.starts_with("trouble"))
        .map(|line| format!("{line}\n"))
        .collect();
    for (from, to) in [GENEROUS_LIMITS, SHORT_DAY, SHORT_SESSIONS] {
        text = text.replace(from, to);
    }
    let (success, output) = play(&(text + troubles));
    assert!(success, "{output}");
    assert!(!output.contains(" 0 segments of HLS"), "{output}");
}

#[test]
fn rules_hold_for_fragile_sessions_in_each_kind_of_trouble() {
    let folder = tempfile::tempdir().unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    let result = command.args(["matrix", "--short", "--out"]).arg(folder.path()).output().unwrap();
    let output =
        String::from_utf8_lossy(&result.stdout).into_owned() + &String::from_utf8_lossy(&result.stderr);
    assert!(result.status.success(), "{output}");
    assert_eq!(output.matches("held").count(), 8, "{output}");
}

#[test]
fn errors_of_an_invalid_day_name_line_and_field() {
    let cases = [
        ("seconds: 30", "seconds: 0"),
        ("count: 12", "count: 0"),
        ("nodes { count: 12 model: \"small\"", "nodes { count: 12 model: \"huge\""),
        ("group_share: 0.15", ""),
        ("rung { kb_per_s: 10", "rung { kb_per_s: 1"),
    ];
    let mut errors = String::new();
    for (from, to) in cases {
        let (success, output) = play(&day(&[(from, to)], ""));
        assert!(!success);
        // Cuts the path of the temporary folder.
        errors += output.rsplit('/').next().unwrap_or_default();
    }
    let wrong = [
        "trouble { kind: slow at_s: 1 for_s: 1 size: 0.5 }",
        "trouble { kind: hang at_s: 1 for_s: 1 on: 12 }",
    ];
    for troubles in wrong {
        errors += play(&day(&[], troubles)).1.rsplit('/').next().unwrap_or_default();
    }
    expect_test::expect![[r#"
        day.txtpb:3: seconds: is 0; expected 1 to 3600
        day.txtpb:66: nodes[0].count: is 0; expected 1 to 65000
        day.txtpb:66: nodes[0].model: is "huge"; expected one of: small
        day.txtpb:75: viewers[0].group_share: has 2 shares; 3 are required
        headend.txtpb:1: rung[1].kb_per_s: rates of the ladder must increase from rung to rung, and utilities must not decrease
        day.txtpb:82: trouble[0].size: is 0.5; expected 1 to 100
        day.txtpb:82: trouble[0].on[0]: is 12; expected 0 to 11
    "#]]
    .assert_eq(&errors);
}
