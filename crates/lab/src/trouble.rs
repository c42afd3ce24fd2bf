//! Causes the troubles of a day on real sockets and processes. Their names and meanings are those of the
//! bench.

use std::sync::Arc;
use std::time::Duration;

use ashglade_discovery::NodeState;
use ashglade_standin::Faults;
use tokio::time::Instant;

use crate::day::TroubleKind;
use crate::day::schema::Trouble;
use crate::play::PlayContext;

/// Causes one trouble, from its beginning to its end.
pub async fn run(
    context: Arc<PlayContext>,
    trouble: Trouble,
    day_start: Instant,
    record: bool,
) -> Result<(), String> {
    let span = Duration::from_secs_f64(trouble.for_s.unwrap_or(0.0));
    let size = trouble.size.unwrap_or(0.0);
    let kind = trouble.kind();
    tokio::time::sleep_until(day_start + Duration::from_secs_f64(trouble.at_s.unwrap_or(0.0))).await;
    let target_count = match kind {
        TroubleKind::OriginSlow => {
            context.fleet.nodes.iter().map(|node| node.spec.rack + 1).max().unwrap_or(0)
        }
        TroubleKind::BalancerRoll | TroubleKind::BalancerStall | TroubleKind::PeerDown => {
            context.directors.all.len()
        }
        _ => context.fleet.nodes.len(),
    };
    let targets: Vec<usize> = match trouble.on.is_empty() {
        true => (0..target_count).collect(),
        false => trouble.on.iter().map(|&i| i as usize).collect(),
    };
    let change_faults = |change: fn(&mut Faults, f64), size: f64| {
        targets.iter().for_each(|&i| context.fleet.update_faults(i, |faults| change(faults, size)));
    };
    match kind {
        // Bursts are part of the drawn arrivals.
        TroubleKind::Unset | TroubleKind::Burst => {}
        TroubleKind::AnswerLost => {
            change_faults(|faults, _| faults.drop_setup_responses = true, size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.drop_setup_responses = false, size);
        }
        TroubleKind::Hang => {
            change_faults(|faults, _| faults.hang = true, size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.hang = false, size);
        }
        TroubleKind::FastErrors => {
            change_faults(|faults, size| faults.error_fraction = size, size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.error_fraction = 0.0, size);
        }
        TroubleKind::Reset => {
            change_faults(|faults, size| faults.reset_fraction = size, size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.reset_fraction = 0.0, size);
        }
        TroubleKind::Slow | TroubleKind::Neighbour => {
            change_faults(|faults, size| faults.link_divisor = size, size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.link_divisor = 1.0, size);
        }
        TroubleKind::ReportLate => {
            change_faults(|faults, _| faults.freeze_load_reports = true, size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.freeze_load_reports = false, size);
        }
        TroubleKind::SlowSetup => {
            change_faults(|faults, size| faults.setup_delay = Duration::from_secs_f64(size / 1e3), size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.setup_delay = Duration::ZERO, size);
        }
        TroubleKind::SetupQueue => {
            let size = size / 1e3;
            change_faults(
                |faults, size| {
                    (faults.serialize_setups, faults.setup_delay) = (true, Duration::from_secs_f64(size))
                },
                size,
            );
            tokio::time::sleep(span).await;
            change_faults(
                |faults, _| (faults.serialize_setups, faults.setup_delay) = (false, Duration::ZERO),
                size,
            );
        }
        TroubleKind::Keeps => {
            change_faults(|faults, size| faults.orphan_retention = Duration::from_secs_f64(size), size);
            tokio::time::sleep(span).await;
            change_faults(|faults, _| faults.orphan_retention = Duration::ZERO, size);
        }
        TroubleKind::OriginSlow => {
            targets.iter().for_each(|&rack| context.fleet.set_uplink_divisor(rack, size));
            tokio::time::sleep(span).await;
            targets.iter().for_each(|&rack| context.fleet.set_uplink_divisor(rack, 1.0));
        }
        TroubleKind::DiscoveryStale => {
            context.lists.set_extra_delay(size);
            tokio::time::sleep(span).await;
            context.lists.set_extra_delay(0.0);
        }
        TroubleKind::Ageing => {
            for step in 1..=10 {
                change_faults(
                    |faults, size| faults.setup_delay = Duration::from_secs_f64(size / 1e3),
                    size * f64::from(step) / 10.0,
                );
                tokio::time::sleep(span / 10).await;
            }
            outage(&context, &targets, Duration::from_secs(2), true).await?;
        }
        TroubleKind::Vanish => outage(&context, &targets, span, true).await?,
        TroubleKind::Drain => {
            for &i in &targets {
                update_lists(&context, i, NodeState::Draining, None, context.notice).await?;
            }
            tokio::time::sleep(span).await;
            outage(&context, &targets, Duration::from_secs(1), false).await?;
        }
        TroubleKind::BalancerRoll => {
            for &i in &targets {
                restart_director(&context, i, Duration::from_secs_f64(size), record).await?;
                tokio::time::sleep(span / targets.len().max(1) as u32).await;
            }
        }
        TroubleKind::PeerDown => {
            for &i in &targets {
                context.directors.kill(i as u16).await;
            }
            tokio::time::sleep(span).await;
            for &i in &targets {
                context.directors.start(i as u16, record).await?;
            }
        }
        TroubleKind::BalancerStall => {
            let from = context.log.now_ms();
            targets.iter().for_each(|&i| context.directors.pause(i as u16));
            tokio::time::sleep(span).await;
            targets.iter().for_each(|&i| context.directors.resume(i as u16, from));
        }
    }
    Ok(())
}

/// Publishes a node's state in the node lists, after `after` and the current extra delay of the lists.
async fn update_lists(
    context: &PlayContext,
    node: usize,
    state: NodeState,
    started_ms: Option<f64>,
    after: Duration,
) -> Result<(), String> {
    tokio::time::sleep(after + Duration::from_secs_f64(context.lists.extra_delay())).await;
    context.lists.update(node, state, started_ms).map_err(|e| format!("writing a node list: {e}"))
}

/// Stops nodes and restarts them cold after `span`. Nodes that end without notice are listed as gone after
/// the silent notice delay, unless they are back before.
async fn outage(
    context: &Arc<PlayContext>,
    targets: &[usize],
    span: Duration,
    without_notice: bool,
) -> Result<(), String> {
    targets.iter().for_each(|&i| context.fleet.stop(i));
    if without_notice && span > context.silent_notice {
        for &i in targets {
            update_lists(context, i, NodeState::Gone, None, Duration::ZERO).await?;
        }
    }
    tokio::time::sleep(span).await;
    let started_ms = context.log.now_ms();
    for &i in targets {
        context.fleet.restart(i).map_err(|e| format!("cannot restart node {i}: {e}"))?;
    }
    for &i in targets {
        update_lists(context, i, NodeState::Ready, Some(started_ms), Duration::ZERO).await?;
    }
    Ok(())
}

/// Kills a director and starts it again after `span`.
async fn restart_director(
    context: &PlayContext,
    director: usize,
    span: Duration,
    record: bool,
) -> Result<(), String> {
    context.directors.kill(director as u16).await;
    tokio::time::sleep(span).await;
    context.directors.start(director as u16, record).await
}
