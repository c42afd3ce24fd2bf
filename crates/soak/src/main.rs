//! `ashglade-soak`: plays trials of consecutive seeds, prints a line for each and the rate over all.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use ashglade_soak::plan::Plan;
use ashglade_soak::trial::{TrialOptions, play};
use clap::Parser;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

#[derive(Parser)]
#[command(
    name = "ashglade-soak",
    version,
    about = "Plays seeded trials of planned shutdowns with every fault at once"
)]
struct Args {
    /// The director's program.
    #[arg(long, default_value = "target/release/ashglade")]
    program: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 50)]
    trials: u64,
    /// Number of trials at once.
    #[arg(long, default_value_t = 4)]
    parallel: usize,
    /// Length of a trial in seconds.
    #[arg(long, default_value_t = 28.0)]
    length: f64,
    /// Folder for configurations, logs and verdicts; those of trials in which all rules held are removed.
    #[arg(long, default_value = "target/soak")]
    out: PathBuf,
    #[arg(long)]
    keep_all: bool,
    /// Filter of the directors' logs.
    #[arg(long, default_value = "info")]
    log: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ashglade-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Plays the trials; true if all rules held in all of them.
async fn run(args: Args) -> std::io::Result<bool> {
    let program = std::fs::canonicalize(&args.program)?;
    let places = Arc::new(Semaphore::new(args.parallel.max(1)));
    let mut trials = JoinSet::new();
    for seed in args.seed..args.seed + args.trials {
        let folder = args.out.join(format!("seed-{seed}"));
        let options = TrialOptions { program: program.clone(), folder, log_filter: args.log.clone() };
        let (places, plan) = (places.clone(), Plan::draw(seed, args.length));
        trials.spawn(async move {
            let _place = places.acquire_owned().await;
            let summary = format!(
                "seed {seed}: {} directors, {} viewers, kill after {:.1} s",
                plan.directors,
                plan.viewers,
                plan.kill_after().as_secs_f64()
            );
            (summary, options.folder.clone(), play(plan, options).await)
        });
    }
    let (mut broken, mut sent, mut crossed, mut unserved) = (0, 0, 0, 0);
    let mut faults = std::collections::BTreeMap::<&str, u64>::new();
    while let Some(result) = trials.join_next().await {
        let (summary, folder, verdict) = result.map_err(std::io::Error::other)?;
        let verdict = verdict?;
        println!("{summary}: {verdict}");
        for (rule, cases) in &verdict.broken {
            cases.iter().take(3).for_each(|case| println!("    {rule:?}: {case}"));
        }
        broken += u64::from(!verdict.passed());
        (sent, crossed) = (sent + verdict.sent, crossed + verdict.crossed);
        unserved += verdict.crossed_unserved;
        for (fault, count) in &verdict.faults {
            *faults.entry(fault).or_default() += count;
        }
        if verdict.passed() && !args.keep_all {
            std::fs::remove_dir_all(folder)?;
        }
    }
    println!(
        "{broken} of {} trials broken; {sent} requests, {crossed} crossed a close, {unserved} of them not served",
        args.trials
    );
    for (fault, count) in faults {
        println!("    {count:7} {fault}");
    }
    Ok(broken == 0)
}
