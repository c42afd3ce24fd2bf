//! Plays one case of the review against the built director: `stage-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, 2 if the case couldn't run. `TROUBLE=0` plays it without the disruption.

mod cases;
mod world;

use std::process::exit;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: stage-2 CASE RECORD");
        exit(2);
    };
    if let Err(error) = world::open_record(record) {
        eprintln!("{record}: {error}");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    world::note(format!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        println!("COULD NOT RUN: not at its end after 112 s");
        exit(2);
    });
    let play = || match case.as_str() {
        "stall" => cases::stall(trouble),
        "spoilt" => cases::spoilt(trouble),
        "address" => cases::address(trouble),
        "cut" => cases::cut(trouble),
        "replaced" => cases::replaced(trouble),
        "long" => cases::long(trouble),
        "crowd" => cases::crowd(trouble),
        _ => Verdict::CouldNotRun("no such case".to_string()),
    };
    let verdict = std::panic::catch_unwind(play)
        .unwrap_or_else(|_| Verdict::CouldNotRun("the stand-in failed".to_string()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    world::note(&text);
    println!("{text}");
    exit(code);
}
