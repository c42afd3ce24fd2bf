//! Bad clients that send hundreds of requests at once, and the director's memory limit.

use std::sync::Arc;

use crate::deployment::{Context, Deployment, Settings, settle, sleep, tag};
use crate::line;

/// The lowest memory limit of the pages.
const MEMORY_MB: u32 = 32;
/// Bad clients, and the requests that each sends at once.
const CLIENTS: u64 = 6;
const REQUESTS: u64 = 500;
/// Length of such a request. No message exceeds 16 KiB.
const LENGTH: usize = 16_300;
/// Time after which the last request is lost: its time and half a second.
const LAST_ANSWERS_MS: u64 = 3500;
/// Time for which the director is watched, in steps.
const WATCH_STEPS: u64 = 1000;
const STEP_MS: u64 = 5;

/// Six bad clients send 500 requests each at once, which no media node can use. The platform kills a director that
/// is over its memory limit.
pub fn run(context: &Context) -> Result<bool, String> {
    let settings = Settings { memory_mb: MEMORY_MB, ..Settings::default() };
    let mut d = Deployment::start(context, &settings, &["s-1", "s-2"])?;
    settle();
    let usual = d.viewer(context, 1)?;
    usual.send(&line::setup(&tag(1), "clip", 3000, 0, 2));
    usual.wait(2000, |l| line::verb(l) == "STARTED").ok_or("no session could be set up")?;
    let before = d.director.private_memory_kb().ok_or("the memory of the director can't be read")?;
    context.record.log("platform", &format!("the director holds {before} kB"));
    let mut bad = Vec::new();
    if context.trouble {
        for client in 0..CLIENTS {
            let viewer = Arc::new(d.viewer(context, 100 + client as u8)?);
            bad.push(viewer.clone());
            std::thread::spawn(move || {
                let tags = (0..REQUESTS).map(|n| tag(10_000 + client * REQUESTS + n));
                let lines: Vec<String> = tags.map(|tag| line::useless_setup(&tag, "clip", LENGTH)).collect();
                viewer.send_all(&lines);
            });
        }
    }
    let mut most = before;
    let mut asked = vec![tag(1)];
    let mut killed = false;
    for step in 0..WATCH_STEPS {
        if step % 4 == 0 && !killed {
            let tag = tag(2 + step);
            usual.send(&line::setup(&tag, "clip", 3000, 0, 2));
            asked.push(tag);
        }
        most = most.max(d.director.private_memory_kb().unwrap_or(0));
        if most > u64::from(MEMORY_MB) * 1024 && !killed {
            killed = true;
            d.director.kill(&format!("{most} kB, with a limit of {MEMORY_MB} MB"));
        }
        sleep(STEP_MS);
    }
    context.record.log("platform", &format!("the director held {most} kB at most"));
    sleep(LAST_ANSWERS_MS);
    let answered = usual.lines();
    let unanswered = asked.iter().filter(|tag| !answered.iter().any(|(_, l)| line::tag(l) == **tag)).count();
    let mut broken = Vec::new();
    if killed {
        broken.push(format!(
            "over its limit of {MEMORY_MB} MB the director was killed; {} sessions and requests of usual viewers went \
             with it, {unanswered} of them without an answer",
            asked.len()
        ));
    } else if unanswered > 0 {
        broken.push(format!("{unanswered} requests of usual viewers were never answered"));
    }
    Ok(context.verdict(&broken))
}
