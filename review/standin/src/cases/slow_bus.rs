//! A drain that is told by a slow event bus.

use crate::bus::endpoint;
use crate::deployment::{Context, Deployment, SLACK_MS, Settings, settle, sleep, tag};
use crate::line;

/// Each reply of the bus is on its way for a while.
pub fn run(context: &Context) -> Result<bool, String> {
    let d = Deployment::start(context, &Settings::default(), &["s-1", "s-2"])?;
    settle();
    let viewer = d.viewer(context, 1)?;
    viewer.send(&line::setup(&tag(1), "clip", 3000, 0, 1));
    viewer.wait(2000, |l| line::verb(l) == "STARTED").ok_or("no session could be set up")?;
    if context.trouble {
        d.bus.delay_ms.store(1500, std::sync::atomic::Ordering::SeqCst);
    }
    sleep(2000);
    let node = &d.nodes[0];
    d.bus.publish(&[endpoint(&node.name, node.address, 0, "draining")]);
    let drained = context.record.now();
    let mut n = 2;
    while context.record.now() < drained + 20000.0 {
        viewer.send(&line::setup(&tag(n), "clip", 3000, 0, 1));
        n += 1;
        sleep(500);
    }
    let late =
        node.arrivals().into_iter().filter(|(at, _)| *at > drained + 7000.0 + 500.0 + SLACK_MS).count();
    let mut broken = Vec::new();
    if late > 0 {
        broken.push(format!("{late} set-ups later than 7.5 s after the drain"));
    }
    Ok(context.verdict(&broken))
}
