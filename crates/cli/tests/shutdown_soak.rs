//! A short soak of planned shutdowns with fixed seeds. The long one is `ashglade-soak`, see docs/operating.md.

use std::collections::BTreeMap;
use std::path::PathBuf;

use ashglade_soak::plan::Plan;
use ashglade_soak::trial::{TrialOptions, play};

/// Length of a trial in seconds.
const LENGTH_SECONDS: f64 = 14.0;
/// The seeds that are played at once, one group after another.
const SEEDS: [[u64; 3]; 2] = [[1, 4, 6], [7, 8, 11]];
/// Faults that the trials together must have had.
const EXPECTED_FAULTS: [&str; 18] = [
    "SETUPs at a node that hangs or is cut off",
    "SIGTERM while starting",
    "drains published while a director stops",
    "nodes that are cut off",
    "resets of a node's connections",
    "SIGHUP right before SIGTERM",
    "new configurations",
    "stops of several directors at once",
    "drains",
    "requests given up by their viewer",
    "requests repeated at once",
    "requests written in pieces",
    "connections closed right behind a request",
    "connections of clients that send what can't be used",
    "nodes with faults",
    "polls of a bus that is down",
    "polls that fell silent",
    "sessions handed over to a new process",
];

/// Guards against requests lost, sessions left standing and processes that have to be killed when directors
/// stop under every fault at once (incident of 2026-12-04).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_shutdowns_under_every_fault_break_no_rule() {
    let folder = tempfile::tempdir().unwrap();
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    let mut failures = String::new();
    for seeds in SEEDS {
        let trials: Vec<_> = seeds
            .into_iter()
            .map(|seed| {
                let options = TrialOptions {
                    program: PathBuf::from(env!("CARGO_BIN_EXE_ashglade")),
                    folder: folder.path().join(format!("seed-{seed}")),
                    log_filter: "info".to_string(),
                };
                (seed, tokio::spawn(play(Plan::draw(seed, LENGTH_SECONDS), options)))
            })
            .collect();
        for (seed, trial) in trials {
            let verdict = trial.await.unwrap().unwrap();
            println!("seed {seed}: {verdict}");
            if !verdict.passed() {
                failures += &format!("seed {seed}: {verdict}\n{:#?}\n", verdict.broken);
            }
            for (fault, count) in verdict.faults {
                *faults.entry(fault).or_default() += count;
            }
        }
    }
    let missing: Vec<&str> = EXPECTED_FAULTS
        .into_iter()
        .filter(|fault| faults.get(fault).is_none_or(|&count| count == 0))
        .collect();
    assert!(failures.is_empty(), "{failures}");
    assert!(missing.is_empty(), "did not take place: {missing:?}; what did: {faults:?}");
}
