//! The release of a session whose connection is lost while another connection to its node is open.

use crate::deployment::{Context, Deployment, SLACK_MS, Settings, settle, sleep, tag};
use crate::line;
use crate::viewer::Viewer;

/// A burst of 40 set-ups at one node, whose connections carry 32 each: the first 32 sessions are set up on one
/// connection, the others on a second one.
fn burst(context: &Context, d: &Deployment, viewer: &Viewer) -> Result<(), String> {
    const BURST: u64 = 40;
    let node = &d.nodes[0];
    node.set_answer_ms(200);
    (1..=BURST).for_each(|n| viewer.send(&line::setup(&tag(n), "clip", 3000, 0, 1)));
    for n in 1..=BURST {
        viewer
            .wait(2000, |l| line::verb(l) == "STARTED" && line::tag(l) == tag(n))
            .ok_or_else(|| format!("session {n} of the burst was not set up"))?;
    }
    node.set_answer_ms(20);
    context.record.log("test", &format!("{} connections to the node", node.connection_count()));
    if node.connection_count() != 2 {
        return Err("the burst brought no second connection about".to_string());
    }
    Ok(())
}

/// After a burst, the answer to a set-up never arrives, and its connection is of no more use. A session that was
/// set up on it ends meanwhile. The other connection to the node goes on.
pub fn run(context: &Context) -> Result<bool, String> {
    let d = Deployment::start(context, &Settings::default(), &["s-1", "s-2"])?;
    settle();
    let node = &d.nodes[0];
    let viewer = d.viewer(context, 1)?;
    burst(context, &d, &viewer)?;
    if context.trouble {
        node.lose_answer(&tag(50));
    }
    viewer.send(&line::setup(&tag(50), "clip", 3000, 0, 1));
    sleep(100);
    // Sessions 39 and 40 were set up on the second connection, session 1 on the first.
    let ended: Vec<(u64, f64)> = [1, 39, 40].map(|n| (n, node.end_session(&tag(n), 16))).to_vec();
    // Viewers go on coming, and the node's sessions go on.
    for n in 51..71 {
        sleep(800);
        viewer.send(&line::setup(&tag(n), "clip", 3000, 0, 1));
    }
    let mut broken = Vec::new();
    for (n, ended_at) in ended {
        let is_release = |l: &str| line::tag(l) == tag(n) && line::verb(l) == "FINISH";
        match viewer.lines().into_iter().find(|(_, l)| is_release(l)) {
            Some((at, _)) if at - ended_at <= 8000.0 + SLACK_MS => {}
            Some((at, _)) => {
                broken.push(format!("the release of {} came {:.0} ms late", tag(n), at - ended_at))
            }
            None => broken.push(format!(
                "{:.1} s after its end, session {} was left standing for its viewer",
                (context.record.now() - ended_at) / 1e3,
                tag(n)
            )),
        }
    }
    Ok(context.verdict(&broken))
}
