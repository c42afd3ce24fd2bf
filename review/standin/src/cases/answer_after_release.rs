//! An answer that follows the release of its own session.

use crate::deployment::{Context, Deployment, SLACK_MS, Settings, settle, sleep, tag, wait_until};
use crate::line;

/// One of five nodes is cut off for about a second. Sessions that begin there meanwhile also end there, so that both reach
/// the director together.
pub fn run(context: &Context) -> Result<bool, String> {
    const VIEWERS: u64 = 3;
    let settings = Settings { effect: "fragile", cells: 5, ..Settings::default() };
    let d = Deployment::start(context, &settings, &["s-1", "s-2", "s-3", "s-4", "s-5"])?;
    settle();
    let node = &d.nodes[0];
    // A session that goes on, so that the connection is in use.
    let other = d.viewer(context, 100)?;
    other.send(&line::setup(&tag(100), "clip", 3000, 0, 1));
    other.wait(2000, |l| line::verb(l) == "STARTED").ok_or("no session could be set up")?;
    node.set_answer_ms(300);
    let viewers = (1..=VIEWERS).map(|n| d.viewer(context, n as u8)).collect::<Result<Vec<_>, _>>()?;
    for (n, viewer) in (1..).zip(&viewers) {
        viewer.send(&line::setup(&tag(n), "clip", 3000, 0, 1));
    }
    sleep(150);
    if context.trouble {
        node.cut_off();
    }
    if !wait_until(1000, || (1..=VIEWERS).all(|n| node.stands(&tag(n)))) {
        return Err("the sessions were not set up".to_string());
    }
    sleep(400);
    for n in 1..=VIEWERS {
        node.end_session(&tag(n), 16);
    }
    sleep(600);
    if context.trouble {
        node.reconnect();
    }
    let reachable = context.record.now();
    sleep(9000);
    let mut broken = Vec::new();
    for (n, viewer) in (1..).zip(&viewers) {
        let lines: Vec<(f64, String)> =
            viewer.lines().into_iter().filter(|(_, l)| line::tag(l) == tag(n)).collect();
        let verbs: Vec<String> = lines.iter().map(|(_, l)| line::verb(l)).collect();
        if verbs.is_empty() {
            broken.push(format!("request {} was never answered", tag(n)));
        }
        // The first line is the answer. Whatever it is, a set-up's answer may not follow it.
        if verbs.iter().skip(1).any(|verb| verb == "STARTED") {
            broken.push(format!("request {} got a second answer: {verbs:?}", tag(n)));
        }
        // A session that stands for its viewer and is over has to be released.
        let last_started = verbs.iter().rposition(|verb| verb == "STARTED");
        let release = last_started.and_then(|at| lines[at..].iter().find(|(_, l)| line::verb(l) == "FINISH"));
        if last_started.is_some() && release.is_none_or(|(at, _)| at - reachable > 8000.0 + SLACK_MS) {
            broken.push(format!("session {} is over and was left standing for its viewer", tag(n)));
        }
    }
    Ok(context.verdict(&broken))
}
