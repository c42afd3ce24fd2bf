//! Causes the troubles of a day on real sockets and processes. Their names and meanings are those of the bench.

use std::sync::Arc;
use std::time::Duration;

use ashglade_discovery::NodeState;
use ashglade_standin::Faults;
use tokio::time::Instant;

use crate::day::TroubleKind;
use crate::day::schema::Trouble;
use crate::play::Stage;

/// Causes one trouble, from its beginning to its end.
pub async fn cause(stage: Arc<Stage>, trouble: Trouble, begun: Instant, record: bool) -> Result<(), String> {
    let span = Duration::from_secs_f64(trouble.for_s.unwrap_or(0.0));
    let size = trouble.size.unwrap_or(0.0);
    let kind = trouble.kind();
    tokio::time::sleep_until(begun + Duration::from_secs_f64(trouble.at_s.unwrap_or(0.0))).await;
    let all = match kind {
        TroubleKind::OriginSlow => stage.fleet.nodes.iter().map(|n| n.spec.rack + 1).max().unwrap_or(0),
        TroubleKind::BalancerRoll | TroubleKind::BalancerStall | TroubleKind::PeerDown => {
            stage.directors.all.len()
        }
        _ => stage.fleet.nodes.len(),
    };
    let on: Vec<usize> = match trouble.on.is_empty() {
        true => (0..all).collect(),
        false => trouble.on.iter().map(|&i| i as usize).collect(),
    };
    let faults = |change: fn(&mut Faults, f64), size: f64| {
        on.iter().for_each(|&i| stage.fleet.set(i, |faults| change(faults, size)));
    };
    match kind {
        // Bursts are part of the drawn arrivals.
        TroubleKind::Unset | TroubleKind::Burst => {}
        TroubleKind::AnswerLost => {
            faults(|f, _| f.answer_lost = true, size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.answer_lost = false, size);
        }
        TroubleKind::Hang => {
            faults(|f, _| f.hang = true, size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.hang = false, size);
        }
        TroubleKind::FastErrors => {
            faults(|f, size| f.errors = size, size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.errors = 0.0, size);
        }
        TroubleKind::Reset => {
            faults(|f, size| f.resets = size, size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.resets = 0.0, size);
        }
        TroubleKind::Slow | TroubleKind::Neighbour => {
            faults(|f, size| f.link_cut = size, size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.link_cut = 1.0, size);
        }
        TroubleKind::ReportLate => {
            faults(|f, _| f.reports_frozen = true, size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.reports_frozen = false, size);
        }
        TroubleKind::SlowSetup => {
            faults(|f, size| f.delay = Duration::from_secs_f64(size / 1e3), size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.delay = Duration::ZERO, size);
        }
        TroubleKind::SetupQueue => {
            let size = size / 1e3;
            faults(|f, size| (f.queue, f.delay) = (true, Duration::from_secs_f64(size)), size);
            tokio::time::sleep(span).await;
            faults(|f, _| (f.queue, f.delay) = (false, Duration::ZERO), size);
        }
        TroubleKind::Keeps => {
            faults(|f, size| f.keeps = Duration::from_secs_f64(size), size);
            tokio::time::sleep(span).await;
            faults(|f, _| f.keeps = Duration::ZERO, size);
        }
        TroubleKind::OriginSlow => {
            on.iter().for_each(|&rack| stage.fleet.cut_uplink(rack, size));
            tokio::time::sleep(span).await;
            on.iter().for_each(|&rack| stage.fleet.cut_uplink(rack, 1.0));
        }
        TroubleKind::DiscoveryStale => {
            stage.lists.set_stale(size);
            tokio::time::sleep(span).await;
            stage.lists.set_stale(0.0);
        }
        TroubleKind::Ageing => {
            for step in 1..=10 {
                faults(
                    |f, size| f.delay = Duration::from_secs_f64(size / 1e3),
                    size * f64::from(step) / 10.0,
                );
                tokio::time::sleep(span / 10).await;
            }
            outage(&stage, &on, Duration::from_secs(2), true).await?;
        }
        TroubleKind::Vanish => outage(&stage, &on, span, true).await?,
        TroubleKind::Drain => {
            for &i in &on {
                told(&stage, i, NodeState::Draining, None, stage.notice).await?;
            }
            tokio::time::sleep(span).await;
            outage(&stage, &on, Duration::from_secs(1), false).await?;
        }
        TroubleKind::BalancerRoll => {
            for &i in &on {
                down(&stage, i, Duration::from_secs_f64(size), record).await?;
                tokio::time::sleep(span / on.len().max(1) as u32).await;
            }
        }
        TroubleKind::PeerDown => {
            for &i in &on {
                stage.directors.kill(i as u16).await;
            }
            tokio::time::sleep(span).await;
            for &i in &on {
                stage.directors.start(i as u16, record).await?;
            }
        }
        TroubleKind::BalancerStall => {
            let from = stage.log.now();
            on.iter().for_each(|&i| stage.directors.pause(i as u16));
            tokio::time::sleep(span).await;
            on.iter().for_each(|&i| stage.directors.resume(i as u16, from));
        }
    }
    Ok(())
}

/// Publishes a node's state in the node lists, after `after` and the current extra delay of the lists.
async fn told(
    stage: &Stage,
    node: usize,
    standing: NodeState,
    started: Option<f64>,
    after: Duration,
) -> Result<(), String> {
    tokio::time::sleep(after + Duration::from_secs_f64(stage.lists.stale())).await;
    stage.lists.tell(node, standing, started).map_err(|e| format!("a box list: {e}"))
}

/// Stops nodes and restarts them cold after `span`. Nodes that end without notice are listed as gone after the silent
/// notice delay, unless they are back before.
async fn outage(stage: &Arc<Stage>, on: &[usize], span: Duration, silent: bool) -> Result<(), String> {
    on.iter().for_each(|&i| stage.fleet.stop(i));
    if silent && span > stage.silent_notice {
        for &i in on {
            told(stage, i, NodeState::Gone, None, Duration::ZERO).await?;
        }
    }
    tokio::time::sleep(span).await;
    let started = stage.log.now();
    for &i in on {
        stage.fleet.restart(i).map_err(|e| format!("node {i} does not come back: {e}"))?;
    }
    for &i in on {
        told(stage, i, NodeState::Ready, Some(started), Duration::ZERO).await?;
    }
    Ok(())
}

/// Kills a director and starts it again after `span`.
async fn down(stage: &Stage, director: usize, span: Duration, record: bool) -> Result<(), String> {
    stage.directors.kill(director as u16).await;
    tokio::time::sleep(span).await;
    stage.directors.start(director as u16, record).await
}
