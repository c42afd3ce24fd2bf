//! Randomized fault search: draws faults from a seed, plays them on a fleet of processes and reduces a
//! failing set to a minimal one.

use std::path::{Path, PathBuf};

use ashglade_director::InjectedFault;
use oorandom::Rand64;

use crate::day;
use crate::day::schema::{Day, Deed as FaultKind, Fault, Passing as MessageTrigger, Said as MessageKind};
use crate::play::{self, PlayOptions, PlayResult};

/// The fault to inject into directors, by its name on the command line.
pub fn injected_fault(name: &str) -> Result<InjectedFault, String> {
    match name {
        "no-rest" => Ok(InjectedFault::NoGuardInterval),
        "from-answer" => Ok(InjectedFault::LeaseFromReply),
        "twice" => Ok(InjectedFault::DoubleGrant),
        _ => Err(format!("{name:?} is not a known defect; known are no-rest, from-answer, twice")),
    }
}

/// Plays the day with the faults of `plays` consecutive seeds. Returns false at the first seed that fails,
/// after writing a minimal failing day beside its traffic.
pub async fn search(
    file: &Path,
    out: &Path,
    seed: u64,
    plays: u64,
    defect: Option<String>,
) -> Result<bool, String> {
    let day = day::read(file)?;
    let options = PlayOptions { record: false, quiet: true, relayed: true, defect };
    for seed in seed..seed + plays {
        let drawn = Day { seed: Some(seed), fault: draw_faults(&day, seed), ..day.clone() };
        let folder = out.join(format!("seed-{seed}"));
        let played = play::play(&drawn, &folder, &options).await?;
        let reason = failure(&played);
        let faults: Vec<String> =
            drawn.fault.iter().map(|f| format!("{:?}", f.deed()).to_uppercase()).collect();
        println!(
            "seed {seed}: {}  service {:.3}  {}",
            reason.as_deref().unwrap_or("held"),
            played.verdict.service_level,
            faults.join(" ")
        );
        if reason.is_some() {
            let minimal = minimize(drawn, &folder, &options).await?;
            let path = folder.join("least.txtpb");
            write(&minimal, &path)?;
            println!("{} faults are left in {}", minimal.fault.len(), path.display());
            return Ok(false);
        }
    }
    Ok(true)
}

/// The reason why a run failed, if it did.
fn failure(played: &PlayResult) -> Option<String> {
    let broken = played.verdict.findings.iter().find(|finding| !finding.violations.is_empty());
    if let Some(finding) = broken {
        return Some(format!("rule {} BROKEN: {}", finding.rule, finding.violations[0].description));
    }
    (played.orphans > 0).then(|| format!("{} sessions left at nodes", played.orphans))
}

/// Removes faults one by one as long as the day still fails.
async fn minimize(mut day: Day, folder: &Path, options: &PlayOptions) -> Result<Day, String> {
    let mut at = 0;
    while at < day.fault.len() && day.fault.len() > 1 {
        let mut reduced = day.clone();
        reduced.fault.remove(at);
        let played = play::play(&reduced, &folder.join("shrink"), options).await?;
        match failure(&played) {
            Some(_) => day = reduced,
            None => at += 1,
        }
    }
    Ok(day)
}

fn write(day: &Day, path: &PathBuf) -> Result<(), String> {
    let text = crate::directors::to_text_format(day, "ashglade.day.Day", day::SCHEMA)?;
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Draws one to four faults; about half of them start at a message instead of a fixed time.
fn draw_faults(day: &Day, seed: u64) -> Vec<Fault> {
    let mut random = Rand64::new(u128::from(seed) << 8 | 0x66);
    let seconds = day.seconds.unwrap_or(10.0);
    let zones = day.headend.as_ref().map_or_else(Vec::new, |headend| headend.zone.clone());
    let directors = u64::from(day.directors.unwrap_or(1));
    let count = 1 + random.rand_range(0..4);
    let random_director = |random: &mut Rand64| format!("director {}", random.rand_range(0..directors));
    let random_zone = |random: &mut Rand64| match zones.is_empty() {
        true => "directors".to_string(),
        false => zones[random.rand_range(0..zones.len() as u64) as usize].clone(),
    };
    (0..count)
        .map(|_| {
            let mut fault =
                Fault { for_s: Some(1.0 + 0.5 * seconds * random.rand_float()), ..Fault::default() };
            let all = vec!["directors".to_string()];
            // The messages at which a failure is most critical: request, grant and release of permits, health
            // reports, a SETUP and its reply.
            if random.rand_float() < 0.5 {
                let message = [
                    MessageKind::Ask,
                    MessageKind::Grant,
                    MessageKind::Back,
                    MessageKind::Words,
                    MessageKind::Setup,
                    MessageKind::Answer,
                ][random.rand_range(0..6) as usize];
                let nth = Some(1 + random.rand_range(0..40) as u32);
                fault.when = Some(MessageTrigger { said: message as i32, nth, ..MessageTrigger::default() });
            } else {
                fault.at_s = Some(0.7 * seconds * random.rand_float());
            }
            let kind = match random.rand_range(0..10) {
                0 => {
                    fault.from = vec![random_director(&mut random)];
                    FaultKind::Kill
                }
                1 => {
                    fault.from = vec![random_director(&mut random)];
                    FaultKind::Stop
                }
                2 => {
                    let zone = random_zone(&mut random);
                    fault.from = vec![format!("zone {zone}")];
                    fault.to = vec!["directors".into(), "nodes".into()];
                    fault.both = Some(true);
                    FaultKind::Cut
                }
                3 => {
                    fault.from = vec![random_director(&mut random)];
                    fault.to = all;
                    FaultKind::Cut
                }
                4 => {
                    fault.from = all.clone();
                    fault.to = vec![random_director(&mut random)];
                    FaultKind::Cut
                }
                5 => {
                    (fault.from, fault.to) = (all.clone(), all);
                    FaultKind::Cut
                }
                6 => {
                    (fault.from, fault.to, fault.size) = (all.clone(), all, Some(0.3));
                    FaultKind::Loss
                }
                7 => {
                    (fault.from, fault.to, fault.size) = (all.clone(), all, Some(0.5));
                    FaultKind::Double
                }
                8 => {
                    (fault.from, fault.to) = (all.clone(), all);
                    fault.size = Some(1500.0 * random.rand_float());
                    FaultKind::Reorder
                }
                _ => {
                    (fault.from, fault.to) = (all, vec!["nodes".into()]);
                    (fault.both, fault.size) = (Some(true), Some(300.0 * random.rand_float()));
                    FaultKind::Delay
                }
            };
            fault.deed = kind as i32;
            fault
        })
        .collect()
}
