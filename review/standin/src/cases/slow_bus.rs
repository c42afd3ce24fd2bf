//! A drain that is told by a slow event bus.

use std::sync::atomic::Ordering;

use crate::bus::endpoint;
use crate::deployment::{Context, Deployment, SLACK_MS, Settings, settle, sleep, tag};
use crate::line;

/// How long each reply of the slow bus is on its way.
const REPLY_DELAY_MS: u64 = 1500;
/// Whatever a bus would have told counts as told after this time at the latest.
const TOLD_MS: f64 = 7000.0;
/// Time for which a draining node may still be sent set-ups (`rules.drainGrace`).
const DRAIN_GRACE_MS: f64 = 500.0;
/// Time for which the drain is watched.
const WATCH_MS: f64 = 20_000.0;

/// From some moment on, each reply of the bus is on its way for 1.5 s. Then one of two nodes drains.
pub fn run(context: &Context) -> Result<bool, String> {
    let d = Deployment::start(context, &Settings::default(), &["s-1", "s-2"])?;
    settle();
    let node = &d.nodes[0];
    let viewer = d.viewer(context, 1)?;
    viewer.send(&line::setup(&tag(1), "clip", 3000, 0, 1));
    viewer.wait(2000, |l| line::verb(l) == "STARTED").ok_or("no session could be set up")?;
    if context.trouble {
        context.record.log("bus", &format!("replies take {REPLY_DELAY_MS} ms from now on"));
        d.bus.delay_ms.store(REPLY_DELAY_MS, Ordering::SeqCst);
    }
    sleep(2000);
    d.bus.publish(&[endpoint(&node.name, node.address, 0, "draining")]);
    let drained_at = context.record.now();
    // Both nodes hold the title that is asked for twice a second.
    let mut next = 2;
    while context.record.now() < drained_at + WATCH_MS {
        viewer.send(&line::setup(&tag(next), "clip", 3000, 0, 2));
        next += 1;
        sleep(500);
    }
    let due = drained_at + TOLD_MS + DRAIN_GRACE_MS + SLACK_MS;
    let late: Vec<f64> = node.arrivals().into_iter().map(|(at, _)| at).filter(|&at| at > due).collect();
    let mut broken = Vec::new();
    if let Some(last) = late.last() {
        broken.push(format!(
            "{} set-ups to {} later than 7.55 s after its drain, the last one {:.1} s after it",
            late.len(),
            node.name,
            (last - drained_at) / 1e3
        ));
    }
    Ok(context.verdict(&broken))
}
