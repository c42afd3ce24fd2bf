//! `ashglade-lab`: plays days against real directors on loopback or in an emulator, and judges the result.

mod arrivals;
mod bench;
mod day;
mod directors;
mod emulator;
mod fault_search;
mod lists;
mod matrix;
mod measure;
mod measure_hls;
mod net;
mod play;
mod plot;
mod trouble;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;

use ashglade_director::Options;
use clap::{Parser, Subcommand};

use crate::play::PlayOptions;

#[derive(Parser)]
#[command(name = "ashglade-lab", version, about = "Plays days against real directors and judges them")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day on loopback; exits 0 only if all rules held.
    Day {
        file: PathBuf,
        /// Folder for settings, logs, traffic and the report.
        #[arg(long, default_value = "target/day")]
        out: PathBuf,
        /// Records the directors' rounds for `ashglade replay`.
        #[arg(long)]
        record: bool,
        #[arg(long)]
        quiet: bool,
    },
    /// Plays a day with relays on all paths between directors, nodes and viewers, and injects the day's
    /// faults there; exits 0 only if all rules held, those for the fleet included, and every fault started.
    Fleet {
        file: PathBuf,
        #[arg(long, default_value = "target/fleet")]
        out: PathBuf,
        #[arg(long)]
        record: bool,
        #[arg(long)]
        quiet: bool,
        /// Draws faults from this seed instead of taking the day's; on a failure, writes a minimal failing
        /// day.
        #[arg(long)]
        seed: Option<u64>,
        /// Number of consecutive seeds to play.
        #[arg(long, default_value_t = 1)]
        plays: u64,
        /// Injects a defect into the directors: no-rest, from-answer or twice.
        #[arg(long)]
        defect: Option<String>,
    },
    /// Plays a day in simulated time with the same engine; exits 0 only if no violation was observed.
    Emulate {
        file: PathBuf,
        /// Disables admission control.
        #[arg(long)]
        no_door: bool,
        /// Directors share only slow-start turns.
        #[arg(long)]
        no_share: bool,
        /// Directors don't communicate.
        #[arg(long)]
        no_talk: bool,
        /// Number of directors, instead of the day's.
        #[arg(long)]
        directors: Option<u32>,
        #[arg(long)]
        seed: Option<u64>,
        /// Writes the whole report, with figures of each second, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Plots requests over time as SVG, with and without admission control.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Measures cost and benefit of shared state for several numbers of directors, in simulated time.
    MeasureShared {
        file: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "3,9,30,100,300")]
        directors: Vec<u32>,
        /// Plots the bytes per second of each director as SVG.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Judges recorded traffic.
    Judge { traffic: PathBuf },
    /// Converts a day of the bench to a day file scaled to one machine, with the same troubles.
    FromBench { day: PathBuf },
    /// Plays a short day for each kind of trouble, retry safety of the service groups and phase of the
    /// sessions.
    Matrix {
        #[arg(long, default_value = "target/matrix")]
        out: PathBuf,
        /// Only fragile groups, and only the phase in which sessions are set up.
        #[arg(long)]
        short: bool,
    },
    /// Measures the overhead of a director compared with direct connections to a node.
    Measure {
        #[arg(long, default_value = "target/measure")]
        out: PathBuf,
    },
    /// Measures the HLS front: playlist rewriting, and thousands of live sessions on one director.
    MeasureHls {
        #[arg(long, default_value = "target/measure")]
        out: PathBuf,
        #[arg(long, default_value_t = 10_000)]
        sessions: usize,
    },
    /// Runs a plain relay as the baseline of a measurement.
    #[command(hide = true)]
    Copy { from: std::net::SocketAddr },
    /// Runs one director as a child process of the lab.
    #[command(hide = true)]
    Director {
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        record: Option<PathBuf>,
        #[arg(long)]
        defect: Option<String>,
    },
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Day { file, out, record, quiet } => {
            run(play_day(file, out, PlayOptions { record, quiet, ..PlayOptions::default() }))
        }
        Command::Fleet { file, out, record, quiet, seed, plays, defect } => match seed {
            Some(seed) => run(fault_search::search(&file, &out, seed, plays, defect)),
            None => run(play_day(file, out, PlayOptions { record, quiet, relayed: true, defect })),
        },
        Command::Emulate { file, no_door, no_share, no_talk, directors, seed, json, plot } => {
            let disabled =
                DisabledFeatures { admission: no_door, state_sharing: no_share, peer_communication: no_talk };
            emulate(&file, &disabled, directors, seed, json.as_deref(), plot.as_deref())
        }
        Command::MeasureShared { file, directors, plot } => {
            measure_shared(&file, &directors, plot.as_deref()).map(|()| true)
        }
        Command::Judge { traffic } => judge_file(&traffic),
        Command::FromBench { day } => bench::convert(&day).map(|text| {
            print!("{text}");
            true
        }),
        Command::Matrix { out, short } => run(play_matrix(out, short)),
        Command::Measure { out } => run(measure::measure(&out)).map(|()| true),
        Command::MeasureHls { out, sessions } => run(measure_hls::measure(&out, sessions)).map(|()| true),
        Command::Copy { from } => run(measure::run_plain_relay(from)).map(|()| true),
        Command::Director { settings, record, defect } => {
            // Ends this director if the lab is killed.
            let _ = nix::sys::prctl::set_pdeathsig(nix::sys::signal::Signal::SIGKILL);
            tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
            run(async {
                let defect = defect.as_deref().map(fault_search::injected_fault).transpose()?;
                let served = ashglade_director::serve(Options { settings, record, injected_fault: defect });
                served.await.map_err(|e| e.to_string())
            })
            .map(|()| true)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ashglade-lab: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a future on a new multi-threaded runtime.
fn run<T>(task: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let result = runtime.block_on(task);
    runtime.shutdown_background();
    result
}

/// Plays a day and prints its report; true if all checks passed.
async fn play_day(file: PathBuf, out: PathBuf, options: PlayOptions) -> Result<bool, String> {
    let day = day::read(&file)?;
    if !options.relayed && !day.fault.is_empty() {
        return Err(format!("{}: has faults between parties; play it with `fleet`", file.display()));
    }
    let played = play::play(&day, &out, &options).await?;
    let media = &played.media;
    let load = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
    let report = format!(
        "{}media   {} packets, {} of another SSRC, {} steps back in the sequence, {} breaks; {} segments of HLS, {:.1} s \
         without one\norphans {} sessions left \
         at nodes, {:.1} s held by nobody; directors {}\nset-ups {}\nmemory  {}\n",
        played.verdict,
        load(&media.packets),
        load(&media.ssrc_changes),
        load(&media.sequence_regressions),
        load(&media.failed_attempts),
        load(&media.segments),
        load(&media.stalled_ms) as f64 / 1e3,
        played.orphans,
        played.orphaned_s,
        if played.clean_exit { "ended well" } else { "did not end well" },
        played.setup_times,
        played.memory,
    );
    let not_started = played.faults_started.iter().enumerate().filter(|(_, started)| !**started);
    let not_started: String = not_started.map(|(i, _)| format!("fault[{i}] never started\n")).collect();
    let report = report + &not_started;
    print!("{report}");
    let path = out.join("report.txt");
    std::fs::write(&path, &report).map_err(|e| format!("{}: {e}", path.display()))?;
    let continuous = load(&media.ssrc_changes) == 0 && load(&media.sequence_regressions) == 0;
    Ok(played.verdict.passed()
        && played.orphans == 0
        && played.clean_exit
        && continuous
        && not_started.is_empty())
}

/// Features to disable in an emulated day.
struct DisabledFeatures {
    admission: bool,
    state_sharing: bool,
    peer_communication: bool,
}

/// Emulates a day, prints its report and writes the requested files; true if no violation was observed.
fn emulate(
    file: &std::path::Path,
    disabled: &DisabledFeatures,
    directors: Option<u32>,
    seed: Option<u64>,
    json: Option<&std::path::Path>,
    plot: Option<&std::path::Path>,
) -> Result<bool, String> {
    let mut day = day::read(file)?;
    day.directors = directors.or(day.directors);
    day.seed = seed.or(day.seed);
    if let Some(headend) = &mut day.headend {
        headend.talk = headend.talk.take().filter(|_| !disabled.peer_communication);
        if let Some(talk) = headend.talk.as_mut().filter(|_| disabled.state_sharing) {
            talk.share = None;
        }
    }
    let start = std::time::Instant::now();
    let report = emulator::run(&day, !disabled.admission)?;
    let elapsed_s = start.elapsed().as_secs_f64();
    print!("{report}");
    println!(
        "{} s in {elapsed_s:.2} s; {:.0} events a second, {:.0} rounds a second",
        report.samples.len(),
        report.events as f64 / elapsed_s,
        report.rounds as f64 / elapsed_s
    );
    if let Some(path) = json {
        let text = serde_json::to_string(&report).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = plot {
        let without_admission = emulator::run(&day, false)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        let title = format!("{name}, seed {}, {} directors", day.seed(), day.directors());
        plot::requests(path, &title, &[("with the door", &report), ("without", &without_admission)])?;
    }
    Ok(report.violations.is_empty())
}

/// Emulates the day for each number of directors: without peer communication, with slow-start turns only, and
/// with all that its settings enable.
fn measure_shared(
    file: &std::path::Path,
    directors: &[u32],
    plot: Option<&std::path::Path>,
) -> Result<(), String> {
    let day = day::read(file)?;
    let mut series = vec![("turns alone", Vec::new()), ("turns, judgements and repeats", Vec::new())];
    println!("directors  shared   bytes/s by each  words held  SETUPs failed  service  took");
    for &director_count in directors {
        for (name, series_index) in [("nothing", None), ("turns", Some(0)), ("all", Some(1))] {
            let mut day = day::Day { directors: Some(director_count), ..day.clone() };
            if let Some(headend) = &mut day.headend {
                headend.talk = headend.talk.take().filter(|_| series_index.is_some());
                if let Some(talk) = headend.talk.as_mut().filter(|_| series_index == Some(0)) {
                    talk.share = None;
                }
            }
            let start = std::time::Instant::now();
            let report = emulator::run(&day, true)?;
            let elapsed_s = start.elapsed().as_secs_f64();
            let bytes =
                report.peer_traffic.1 as f64 / report.samples.len().max(1) as f64 / f64::from(director_count);
            if let Some(series_index) = series_index {
                series[series_index].1.push((f64::from(director_count), bytes));
            }
            println!(
                "{director_count:9}  {name:7}  {bytes:15.0}  {:10}  {:13}  {:.4}   {elapsed_s:.2} s",
                report.max_health_reports,
                report.error_reply_times.len(),
                report.service
            );
        }
    }
    let title = "What each director says to others";
    plot.map_or(Ok(()), |path| plot::over_directors(path, title, &series))
}

/// Plays the matrix and prints a line for each cell; true if all cells held.
async fn play_matrix(out: PathBuf, short: bool) -> Result<bool, String> {
    let (retry_safeties, phases) = if short {
        (&matrix::RETRY_SAFETIES[2..], &matrix::PHASES[..1])
    } else {
        (&matrix::RETRY_SAFETIES[..], &matrix::PHASES[..])
    };
    let cells = matrix::play(&out, retry_safeties, phases).await?;
    for cell in &cells {
        println!("{} {} {}", cell.name, if cell.passed { "held  " } else { "BROKEN" }, cell.counts);
    }
    Ok(!cells.is_empty() && cells.iter().all(|cell| cell.passed))
}

/// Judges a file of recorded traffic and prints the verdict; true if all rules held.
fn judge_file(path: &std::path::Path) -> Result<bool, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let traffic =
        ashglade_judge::TrafficRecord::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let verdict = ashglade_judge::check_rules(&traffic);
    print!("{verdict}");
    Ok(verdict.passed())
}
