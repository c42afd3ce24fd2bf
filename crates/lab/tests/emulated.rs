//! Emulated days: determinism, the rules on several seeds, and admission control under overload.

use std::process::Command;

use expect_test::expect;

/// Emulates a day; returns whether it succeeded and its output without the line of run times.
fn emulate(text: &str, arguments: &[&str]) -> (bool, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.txtpb");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    let result = command.arg("emulate").arg(&file).args(arguments).output().unwrap();
    let output =
        String::from_utf8_lossy(&result.stdout).into_owned() + &String::from_utf8_lossy(&result.stderr);
    let stable_lines =
        output.lines().filter(|line| !line.contains("events a second")).map(|line| format!("{line}\n"));
    (result.status.success(), stable_lines.collect())
}

#[test]
fn one_seed_gives_one_report_and_the_rules_hold_on_the_bad_day() {
    let day = include_str!("../../../days/bad-day.txtpb");
    let (success, output) = emulate(day, &["--directors", "3"]);
    assert!(success, "{output}");
    assert_eq!(emulate(day, &["--directors", "3"]).1, output);
    assert_ne!(emulate(day, &["--directors", "3", "--seed", "2"]).1, output);
}

#[test]
fn rules_hold_on_any_seed() {
    let day = include_str!("../../../days/bad-day.txtpb");
    for seed in 0..12 {
        let (success, output) = emulate(day, &["--directors", "2", "--seed", &seed.to_string()]);
        assert!(success, "seed {seed}: {output}");
    }
}

#[test]
fn director_restarted_under_overload_of_itself_alone() {
    let day = include_str!("../../../days/rush-restart.txtpb");
    let (success, output) = emulate(day, &[]);
    assert!(success, "{output}");
    // Nobody requests the third group, so the others get its share.
    expect![[r#"
        agent-lesson: in time 0.896 of 48, played 1.042, 1 busy replies, 0 torn down, 0 unanswered, 2 broken; back as told 1, in 1.000, within a fifth 1.000; quality 0.771
            busy replies: Hopeless 1
        premium-clip: in time 0.086 of 907, played 0.432, 2484 busy replies, 0 torn down, 0 unanswered, 19 broken; back as told 1967, in 0.152, within a fifth 0.143; quality 0.860
            busy replies: Hopeless 2266, NoRoom 1, TooLong 217
        paid-event: in time - of 0, played -, 0 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 0, in -, within a fifth -; quality 0.000
        service 0.164; 397 SETUPs, 0 nodes pushed over; returning a second: mean 40.5, most 126
        room promised 142 times, 133 came at their moment, 119 of them went in
        directors 2: in time 27 to 94, Jain 0.765
        rules held
    "#]].assert_eq(&output);
    let (_, without_admission) = emulate(day, &["--no-door"]);
    expect![[r#"
        agent-lesson: in time 0.021 of 48, played 0.021, 101 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 56, in 0.000, within a fifth 0.000; quality 0.450
            busy replies: NoRoom 101
        premium-clip: in time 0.017 of 907, played 0.023, 2210 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 1370, in 0.000, within a fifth 0.000; quality 0.823
            busy replies: NoRoom 2210
        paid-event: in time - of 0, played -, 0 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 0, in -, within a fifth -; quality 0.000
        service 0.017; 3874 SETUPs, 0 nodes pushed over; returning a second: mean 50.4, most 189
        room promised 0 times, 0 came at their moment, 0 of them went in
        directors 2: in time 1 to 15, Jain 0.566
        rules held
    "#]].assert_eq(&without_admission);
}

#[test]
fn forty_directors_under_overload() {
    let day = include_str!("../../../days/flood.txtpb")
        .replace("seconds: 60", "seconds: 16")
        .replace("from_s: 10", "from_s: 4")
        .replace("to_s: 40", "to_s: 12")
        .replace("rate: 4000", "rate: 1500");
    let (success, output) = emulate(&day, &[]);
    assert!(success, "{output}");
    expect![[r#"
        agent-lesson: in time 0.807 of 2410, played 1.000, 434 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 434, in 0.968, within a fifth 0.968; quality 1.000
            busy replies: Hopeless 187, NoRoom 12, TooLong 235
        premium-clip: in time 0.114 of 12070, played 1.000, 15501 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 15496, in 0.673, within a fifth 0.668; quality 1.000
            busy replies: Hopeless 13592, NoRoom 31, TooLong 1878
        paid-event: in time - of 0, played -, 0 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 0, in -, within a fifth -; quality 0.000
        service 0.312; 16807 SETUPs, 0 nodes pushed over; returning a second: mean 59.0, most 125
        room promised 5819 times, 5814 came at their moment, 5285 of them went in
        directors 40: in time 52 to 114, Jain 0.959
        rules held
    "#]].assert_eq(&output);
}
