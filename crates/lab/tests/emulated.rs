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
        agent-lesson: in time 0.833 of 48, played 1.083, 2 busy replies, 0 torn down, 0 unanswered, 4 broken; back as told 2, in 1.000, within a fifth 1.000; quality 0.770
            busy replies: TooLong 2
        premium-clip: in time 0.098 of 907, played 0.563, 2211 busy replies, 0 torn down, 0 unanswered, 10 broken; back as told 1822, in 0.215, within a fifth 0.207; quality 0.855
            busy replies: Hopeless 2047, NoRoom 1, TooLong 163
        paid-event: in time - of 0, played -, 0 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 0, in -, within a fifth -; quality 0.000
        service 0.168; 522 SETUPs, 0 nodes pushed over; returning a second: mean 38.9, most 128
        room promised 178 times, 156 came at their moment, 142 of them went in
        directors 2: in time 23 to 106, Jain 0.707
        rules held
    "#]].assert_eq(&said);
    let (_, without) = emulate(day, &["--no-door"]);
    expect![[r#"
        agent-lesson: in time 0.021 of 48, played 0.021, 103 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 56, in 0.000, within a fifth 0.000; quality 0.450
            busy replies: NoRoom 103
        premium-clip: in time 0.030 of 907, played 0.032, 2171 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 1340, in 0.000, within a fifth 0.000; quality 0.862
            busy replies: NoRoom 2171
        paid-event: in time - of 0, played -, 0 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 0, in -, within a fifth -; quality 0.000
        service 0.029; 3854 SETUPs, 0 nodes pushed over; returning a second: mean 47.7, most 186
        room promised 0 times, 0 came at their moment, 0 of them went in
        directors 2: in time 1 to 27, Jain 0.537
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
        agent-lesson: in time 0.772 of 2410, played 1.000, 509 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 509, in 0.959, within a fifth 0.957; quality 1.000
            busy replies: Hopeless 223, TooLong 286
        premium-clip: in time 0.106 of 12070, played 0.999, 15446 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 15439, in 0.670, within a fifth 0.666; quality 1.000
            busy replies: Hopeless 13545, NoRoom 3, TooLong 1898
        paid-event: in time - of 0, played -, 0 busy replies, 0 torn down, 0 unanswered, 0 broken; back as told 0, in -, within a fifth -; quality 0.000
        service 0.296; 17240 SETUPs, 0 nodes pushed over; returning a second: mean 71.1, most 120
        room promised 6124 times, 6117 came at their moment, 5411 of them went in
        directors 40: in time 56 to 123, Jain 0.968
        rules held
    "#]].assert_eq(&said);
}
