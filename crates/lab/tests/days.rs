//! Short days on loopback, each with directors in processes of their own, judged from the sockets.

use std::process::Command;

/// The kept day's settings and viewers, with other troubles.
fn day(changes: &[(&str, &str)], more: &str) -> String {
    let kept = include_str!("../../../days/bad-day.txtpb");
    let mut text: String =
        kept.lines().filter(|line| !line.starts_with("trouble")).map(|line| format!("{line}\n")).collect();
    for (from, to) in changes {
        assert!(text.contains(from), "{from} is in the day");
        text = text.replace(from, to);
    }
    text + more
}

fn play(text: &str) -> (bool, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.txtpb");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    command.arg("day").arg(&file).arg("--quiet").arg("--out").arg(folder.path().join("out"));
    let done = command.output().unwrap();
    let said = String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    (done.status.success(), said)
}

/// Times are those of a slow machine: the rules are judged, not the speed.
const SLACK: (&str, &str) = ("drain_grace_ms: 500", "drain_grace_ms: 1500\nslack_ms: 250");
const SHORT: (&str, &str) = ("seconds: 30", "seconds: 6");
const BRIEF: (&str, &str) = ("watch_to_s: 12", "watch_to_s: 4.5");

#[test]
fn a_short_bad_day_keeps_the_rules() {
    let troubles = "
        trouble { kind: answer_lost at_s: 1 for_s: 3 on: 0 on: 1 }
        trouble { kind: fast_errors at_s: 1.5 for_s: 3 size: 0.7 on: 3 }
        trouble { kind: vanish at_s: 2 for_s: 1 on: 6 }
        trouble { kind: slow at_s: 2 for_s: 3 size: 2.5 on: 7 }
        trouble { kind: drain at_s: 2.5 for_s: 1 on: 10 }
        trouble { kind: peer_down at_s: 3 for_s: 1 on: 0 }
        trouble { kind: reset at_s: 3 for_s: 3 size: 0.4 on: 2 }
    ";
    let (held, said) = play(&day(&[SLACK, SHORT, BRIEF], troubles));
    assert!(held, "{said}");
}

#[test]
fn when_every_node_hangs_each_request_still_has_one_answer_in_time() {
    let (held, said) = play(&day(&[SLACK, SHORT, BRIEF], "trouble { kind: hang at_s: 0 for_s: 30 }"));
    assert!(held, "{said}");
    assert!(said.contains(": 0 play,"), "{said}");
}

#[test]
fn two_directors_do_not_push_a_cold_node_over() {
    // One node holds everything, and starts again in the middle of the rush.
    let changes = [
        SLACK,
        SHORT,
        BRIEF,
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
    let (held, said) = play(&day(&changes, "trouble { kind: vanish at_s: 1.5 for_s: 0.5 }"));
    assert!(held, "{said}");
    assert!(said.contains("1 starts, "), "{said}");
}

/// Sessions that played in a day in simulated time.
fn emulated_plays(text: &str) -> f64 {
    let folder = tempfile::tempdir().unwrap();
    let (file, json) = (folder.path().join("day.txtpb"), folder.path().join("report.json"));
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    let done = command.arg("emulate").arg(&file).arg("--json").arg(&json).output().unwrap();
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    let report: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap();
    let groups = report["groups"].as_array().expect("groups");
    groups.iter().filter_map(|group| group["played"].as_f64()).sum()
}

#[test]
fn a_rush_at_the_door_leaves_the_quiet_group_its_service() {
    let rush = include_str!("../../../days/rush.txtpb")
        .replace("seconds: 15", "seconds: 6")
        .replace(SLACK.0, SLACK.1)
        .replace("group_share: 0.05", "group_share: 0.1")
        .replace("group_share: 0.95", "group_share: 0.9");
    let (held, said) = play(&rush);
    assert!(held, "{said}");
    let share = |group: &str| -> f64 {
        let after = said.split(&format!("{group} ")).nth(1).expect("its service");
        after.split(' ').next().and_then(|n| n.parse().ok()).expect("a figure")
    };
    // The same day in simulated time comes to about the same: sessions that played, of all tries.
    let emulated = emulated_plays(&rush);
    let plays =
        said.split(" requests: ").nth(1).and_then(|rest| rest.split(' ').next()).expect("how many play");
    let plays: f64 = plays.parse().expect("a number");
    assert!((emulated - plays).abs() < plays * 0.25, "{emulated} emulated, {plays} on sockets");
    // Agents ask for a seventh of what can be set up; without the door nearly nobody is set up at all.
    assert!(share("agent-lesson") > 0.6 && share("premium-clip") > 0.2, "{said}");
}

#[test]
fn two_fronts_under_one_bad_day() {
    let troubles = "
        trouble { kind: answer_lost at_s: 1 for_s: 3 on: 0 on: 1 }
        trouble { kind: fast_errors at_s: 1.5 for_s: 3 size: 0.7 on: 3 }
        trouble { kind: vanish at_s: 2 for_s: 1 on: 6 }
        trouble { kind: slow at_s: 2 for_s: 3 size: 2.5 on: 7 }
        trouble { kind: peer_down at_s: 3 for_s: 1 on: 0 }
    ";
    let kept = include_str!("../../../days/mixed-day.txtpb");
    let mut text: String =
        kept.lines().filter(|line| !line.starts_with("trouble")).map(|line| format!("{line}\n")).collect();
    for (from, to) in [SLACK, SHORT, BRIEF] {
        text = text.replace(from, to);
    }
    let (held, said) = play(&(text + troubles));
    assert!(held, "{said}");
    assert!(!said.contains(" 0 segments of HLS"), "{said}");
}

#[test]
fn fragile_sessions_through_each_kind_of_trouble() {
    let folder = tempfile::tempdir().unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    let done = command.args(["matrix", "--short", "--out"]).arg(folder.path()).output().unwrap();
    let said = String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    assert!(done.status.success(), "{said}");
    assert_eq!(said.matches("held").count(), 8, "{said}");
}

#[test]
fn a_day_that_can_t_be_played_is_told_by_line_and_field() {
    let cases = [
        ("seconds: 30", "seconds: 0"),
        ("count: 12", "count: 0"),
        ("nodes { count: 12 model: \"small\"", "nodes { count: 12 model: \"huge\""),
        ("group_share: 0.15", ""),
        ("rung { kb_per_s: 10", "rung { kb_per_s: 1"),
    ];
    let mut told = String::new();
    for (from, to) in cases {
        let (held, said) = play(&day(&[(from, to)], ""));
        assert!(!held);
        // The file's folder differs from run to run.
        told += said.rsplit('/').next().unwrap_or_default();
    }
    let wrong = [
        "trouble { kind: slow at_s: 1 for_s: 1 size: 0.5 }",
        "trouble { kind: hang at_s: 1 for_s: 1 on: 12 }",
    ];
    for more in wrong {
        told += play(&day(&[], more)).1.rsplit('/').next().unwrap_or_default();
    }
    expect_test::expect![[r#"
        day.txtpb:3: seconds: is 0; 1 to 3600 is wanted
        day.txtpb:66: nodes[0].count: is 0; 1 to 65000 is wanted
        day.txtpb:66: nodes[0].model: names "huge"; there is small
        day.txtpb:75: viewers[0].group_share: has 2 shares; 3 are required
        headend.txtpb:1: rung[1].kb_per_s: the ladder must rise from rung to rung
        day.txtpb:82: trouble[0].size: is 0.5; 1 to 100 is wanted
        day.txtpb:82: trouble[0].on[0]: is 12; 0 to 11 is wanted
    "#]]
    .assert_eq(&told);
}
