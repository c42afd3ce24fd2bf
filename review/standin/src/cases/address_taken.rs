//! The sessions of a machine that vanishes, and whose address is taken by a new node.

use crate::bus::endpoint;
use crate::deployment::{Context, Deployment, SLACK_MS, Settings, settle, sleep, tag};
use crate::line;
use crate::node::Node;

/// Sessions that stand at the node.
const SESSIONS: u64 = 5;
/// Time within which a session that is over must be released if no release could be sent.
const RELEASE_MS: f64 = 8000.0;
/// Time within which it must be released once the list tells that its node is gone.
const RELEASE_AFTER_LIST_MS: f64 = 1000.0;

/// A node's machine vanishes, and 1 s later a new node takes its address. A viewer asks for a title that both
/// hold. 1 s later the list tells that the old node is removed and that the new one is up.
pub fn run(context: &Context) -> Result<bool, String> {
    let d = Deployment::start(context, &Settings::default(), &["s-1", "s-2"])?;
    settle();
    let old = &d.nodes[0];
    let viewer = d.viewer(context, 1)?;
    for n in 1..=SESSIONS {
        viewer.send(&line::setup(&tag(n), "clip", 3000, 0, 1));
        viewer
            .wait(2000, |l| line::verb(l) == "STARTED" && line::tag(l) == tag(n))
            .ok_or("a session could not be set up")?;
    }
    sleep(500);
    let over_at = context.record.now();
    let new = if context.trouble {
        old.cut_off();
        sleep(1000);
        old.end();
        // The connections of the old machine are reset by the new one, which doesn't know them.
        Node::start_on("s-3", old.address, &context.record)
    } else {
        // The same, but that the old node ends its sessions itself, and the new one has an address of its own.
        for n in 1..=SESSIONS {
            old.end_session(&tag(n), 16);
        }
        sleep(1000);
        Node::start("s-3", &context.record)
    };
    sleep(200);
    viewer.send(&line::setup(&tag(100), "clip", 3000, 0, 1));
    sleep(800);
    d.bus.publish(&[endpoint("s-1", old.address, 0, "removed"), endpoint("s-3", new.address, 0, "up")]);
    let told_at = context.record.now();
    for n in 101..125 {
        sleep(700);
        viewer.send(&line::setup(&tag(n), "clip", 3000, 0, 1));
    }
    let due = (over_at + RELEASE_MS).max(told_at + RELEASE_AFTER_LIST_MS) + SLACK_MS;
    let is_released = |n: u64| {
        let is_release = |l: &str| line::tag(l) == tag(n) && line::verb(l) == "FINISH";
        viewer.lines().into_iter().any(|(at, l)| is_release(&l) && at <= due)
    };
    let standing: Vec<String> = (1..=SESSIONS).filter(|&n| !is_released(n)).map(tag).collect();
    let mut broken = Vec::new();
    if !standing.is_empty() {
        broken.push(format!(
            "{:.1} s after the end of their node, {} of its {SESSIONS} sessions were left standing for their viewers",
            (context.record.now() - over_at) / 1e3,
            standing.len()
        ));
    }
    Ok(context.verdict(&broken))
}
