//! Faults drawn from a seed, played on a fleet of processes, and shrunk to the least that still fails.

use std::path::{Path, PathBuf};

use ashglade_director::InjectedFault;
use oorandom::Rand64;

use crate::day::schema::{Day, Deed, Fault, Passing, Said};
use crate::day::{self};
use crate::play::{self, How, Played};

/// What a director is broken by, by its name.
pub fn defect(name: &str) -> Result<InjectedFault, String> {
    match name {
        "no-rest" => Ok(InjectedFault::NoGuardInterval),
        "from-answer" => Ok(InjectedFault::LeaseFromReply),
        "twice" => Ok(InjectedFault::DoubleGrant),
        _ => Err(format!("{name:?} is no defect; there is no-rest, from-answer, twice")),
    }
}

/// Plays the day with faults of so many seeds; false at the first that fails, with the least of it written beside its record.
pub async fn draw_and_play(
    file: &Path,
    out: &Path,
    seed: u64,
    plays: u64,
    defect: Option<String>,
) -> Result<bool, String> {
    let day = day::read(file)?;
    let how = How { record: false, quiet: true, relayed: true, defect };
    for seed in seed..seed + plays {
        let drawn = Day { seed: Some(seed), fault: draw(&day, seed), ..day.clone() };
        let folder = out.join(format!("seed-{seed}"));
        let played = play::play(&drawn, &folder, &how).await?;
        let why = failed(&played);
        let faults: Vec<String> =
            drawn.fault.iter().map(|f| format!("{:?}", f.deed()).to_uppercase()).collect();
        println!(
            "seed {seed}: {}  service {:.3}  {}",
            why.as_deref().unwrap_or("held"),
            played.verdict.service,
            faults.join(" ")
        );
        if why.is_some() {
            let least = shrink(drawn, &folder, &how).await?;
            let path = folder.join("least.txtpb");
            write(&least, &path)?;
            println!("{} faults are left in {}", least.fault.len(), path.display());
            return Ok(false);
        }
    }
    Ok(true)
}

/// What failed, if anything did.
fn failed(played: &Played) -> Option<String> {
    let broken = played.verdict.findings.iter().find(|finding| !finding.broken.is_empty());
    if let Some(finding) = broken {
        return Some(format!("rule {} BROKEN: {}", finding.rule, finding.broken[0].what));
    }
    (played.orphans > 0).then(|| format!("{} sessions left at nodes", played.orphans))
}

/// Leaves out one fault after the other for as long as it still fails.
async fn shrink(mut day: Day, folder: &Path, how: &How) -> Result<Day, String> {
    let mut at = 0;
    while at < day.fault.len() && day.fault.len() > 1 {
        let mut less = day.clone();
        less.fault.remove(at);
        let played = play::play(&less, &folder.join("shrink"), how).await?;
        match failed(&played) {
            Some(_) => day = less,
            None => at += 1,
        }
    }
    Ok(day)
}

fn write(day: &Day, path: &PathBuf) -> Result<(), String> {
    let text = crate::directors::text(day, "ashglade.day.Day", day::SCHEMA)?;
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// One to four faults over the day's time, some on messages.
fn draw(day: &Day, seed: u64) -> Vec<Fault> {
    let mut random = Rand64::new(u128::from(seed) << 8 | 0x66);
    let seconds = day.seconds.unwrap_or(10.0);
    let zones = day.headend.as_ref().map_or_else(Vec::new, |headend| headend.zone.clone());
    let directors = u64::from(day.directors.unwrap_or(1));
    let count = 1 + random.rand_range(0..4);
    let one = |random: &mut Rand64| format!("director {}", random.rand_range(0..directors));
    let zone = |random: &mut Rand64| match zones.is_empty() {
        true => "directors".to_string(),
        false => zones[random.rand_range(0..zones.len() as u64) as usize].clone(),
    };
    (0..count)
        .map(|_| {
            let mut fault =
                Fault { for_s: Some(1.0 + 0.5 * seconds * random.rand_float()), ..Fault::default() };
            let all = vec!["directors".to_string()];
            // Each hard moment of rights: an ask, a grant, a right that goes back; or of a session.
            if random.rand_float() < 0.5 {
                let said = [Said::Ask, Said::Grant, Said::Back, Said::Words, Said::Setup, Said::Answer]
                    [random.rand_range(0..6) as usize];
                let nth = Some(1 + random.rand_range(0..40) as u32);
                fault.when = Some(Passing { said: said as i32, nth, ..Passing::default() });
            } else {
                fault.at_s = Some(0.7 * seconds * random.rand_float());
            }
            let deed = match random.rand_range(0..10) {
                0 => {
                    fault.from = vec![one(&mut random)];
                    Deed::Kill
                }
                1 => {
                    fault.from = vec![one(&mut random)];
                    Deed::Stop
                }
                2 => {
                    let zone = zone(&mut random);
                    fault.from = vec![format!("zone {zone}")];
                    fault.to = vec!["directors".into(), "nodes".into()];
                    fault.both = Some(true);
                    Deed::Cut
                }
                3 => {
                    fault.from = vec![one(&mut random)];
                    fault.to = all;
                    Deed::Cut
                }
                4 => {
                    fault.from = all.clone();
                    fault.to = vec![one(&mut random)];
                    Deed::Cut
                }
                5 => {
                    (fault.from, fault.to) = (all.clone(), all);
                    Deed::Cut
                }
                6 => {
                    (fault.from, fault.to, fault.size) = (all.clone(), all, Some(0.3));
                    Deed::Loss
                }
                7 => {
                    (fault.from, fault.to, fault.size) = (all.clone(), all, Some(0.5));
                    Deed::Double
                }
                8 => {
                    (fault.from, fault.to) = (all.clone(), all);
                    fault.size = Some(1500.0 * random.rand_float());
                    Deed::Reorder
                }
                _ => {
                    (fault.from, fault.to) = (all, vec!["nodes".into()]);
                    (fault.both, fault.size) = (Some(true), Some(300.0 * random.rand_float()));
                    Deed::Delay
                }
            };
            fault.deed = deed as i32;
            fault
        })
        .collect()
}
