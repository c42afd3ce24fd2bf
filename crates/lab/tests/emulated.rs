//! Days in simulated time: the same for the same seed, and what a flood at the door comes to.

use std::process::Command;

use expect_test::expect;

/// The report without its last line, which tells how long it took.
fn emulate(text: &str, more: &[&str]) -> (bool, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.txtpb");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade-lab"));
    let done = command.arg("emulate").arg(&file).args(more).output().unwrap();
    let said = String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    let kept = said.lines().filter(|line| !line.contains("events a second")).map(|line| format!("{line}\n"));
    (done.status.success(), kept.collect())
}

#[test]
fn one_seed_gives_one_report_and_the_bad_day_keeps_the_rules() {
    let day = include_str!("../../../days/bad-day.txtpb");
    let (held, said) = emulate(day, &["--directors", "3"]);
    assert!(held, "{said}");
    assert_eq!(emulate(day, &["--directors", "3"]).1, said);
    assert_ne!(emulate(day, &["--directors", "3", "--seed", "2"]).1, said);
}

#[test]
fn rules_hold_on_any_seed() {
    let day = include_str!("../../../days/bad-day.txtpb");
    for seed in 0..12 {
        let (held, said) = emulate(day, &["--directors", "2", "--seed", &seed.to_string()]);
        assert!(held, "seed {seed}: {said}");
    }
}

#[test]
fn a_director_restarted_in_a_flood_that_falls_on_it_alone() {
    let day = include_str!("../../../days/rush-restart.txtpb");
    let (held, said) = emulate(day, &[]);
    assert!(held, "{said}");
    // The third group is one that nobody asks for: its share is the others'.
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
    "#]].assert_eq(&said);
    let (_, without) = emulate(day, &["--no-door"]);
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
    "#]].assert_eq(&without);
}

#[test]
fn forty_directors_under_a_flood() {
    let day = include_str!("../../../days/flood.txtpb")
        .replace("seconds: 60", "seconds: 16")
        .replace("from_s: 10", "from_s: 4")
        .replace("to_s: 40", "to_s: 12")
        .replace("rate: 4000", "rate: 1500");
    let (held, said) = emulate(&day, &[]);
    assert!(held, "{said}");
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
    "#]].assert_eq(&said);
}
