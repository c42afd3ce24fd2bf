//! `ashglade-lab`: plays days against real directors on loopback and has them judged.

mod bench;
mod day;
mod directors;
mod emulator;
mod fleet;
mod lists;
mod matrix;
mod measure;
mod measure_hls;
mod net;
mod play;
mod plot;
mod trouble;
mod visits;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;

use ashglade_director::Options;
use clap::{Parser, Subcommand};

use crate::play::How;

#[derive(Parser)]
#[command(name = "ashglade-lab", version, about = "Plays days against real directors and judges them")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day; exits 0 only if all six rules held.
    Day {
        file: PathBuf,
        /// Where settings, logs, traffic and report are put.
        #[arg(long, default_value = "target/day")]
        out: PathBuf,
        /// Directors write their rounds, for `ashglade replay`.
        #[arg(long)]
        record: bool,
        #[arg(long)]
        quiet: bool,
    },
    /// Plays a day with a relay on every path between directors, nodes and viewers, and the day's faults on them; exits 0 only
    /// if all six rules and the bounds of the fleet held, and every fault started.
    Fleet {
        file: PathBuf,
        #[arg(long, default_value = "target/fleet")]
        out: PathBuf,
        #[arg(long)]
        record: bool,
        #[arg(long)]
        quiet: bool,
        /// Draws faults from this seed in place of the day's; on a failure the least that still fails is written as a day.
        #[arg(long)]
        seed: Option<u64>,
        /// So many seeds, from that on.
        #[arg(long, default_value_t = 1)]
        plays: u64,
        /// Breaks the directors on purpose: no-rest, from-answer or twice.
        #[arg(long)]
        defect: Option<String>,
    },
    /// Plays a day in simulated time, on the same engine; exits 0 only if no rule was seen to break.
    Emulate {
        file: PathBuf,
        /// Leaves the fair door out.
        #[arg(long)]
        no_door: bool,
        /// Directors share nothing but turns, or do not talk at all.
        #[arg(long)]
        no_share: bool,
        #[arg(long)]
        no_talk: bool,
        /// As many directors as this, in place of the day's.
        #[arg(long)]
        directors: Option<u32>,
        #[arg(long)]
        seed: Option<u64>,
        /// Writes the whole report, second by second, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Draws requests over time as SVG, beside the same day without a door.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Measures what sharing costs and brings over the number of directors, in simulated time.
    MeasureShared {
        file: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "3,9,30,100,300")]
        directors: Vec<u32>,
        /// Draws bytes a second by each director as SVG.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Judges recorded traffic again.
    Judge { traffic: PathBuf },
    /// Writes a day file, scaled to one machine, with the troubles of a day that the bench drew.
    FromBench { day: PathBuf },
    /// Plays each kind of trouble against each care of a service group and each stage of a session.
    Matrix {
        #[arg(long, default_value = "target/matrix")]
        out: PathBuf,
        /// Only fragile groups, and only while sessions are set up.
        #[arg(long)]
        short: bool,
    },
    /// Measures what the way through a director costs, against the straight way.
    Measure {
        #[arg(long, default_value = "target/measure")]
        out: PathBuf,
    },
    /// Measures the second front: rewriting, and thousands of live sessions on one director.
    MeasureHls {
        #[arg(long, default_value = "target/measure")]
        out: PathBuf,
        #[arg(long, default_value_t = 10_000)]
        sessions: usize,
    },
    /// A plain relay, to measure against.
    #[command(hide = true)]
    Copy { from: std::net::SocketAddr },
    /// One director, as the lab starts it.
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
    let done = match Args::parse().command {
        Command::Day { file, out, record, quiet } => {
            run(play_day(file, out, How { record, quiet, ..How::default() }))
        }
        Command::Fleet { file, out, record, quiet, seed, plays, defect } => match seed {
            Some(seed) => run(fleet::draw_and_play(&file, &out, seed, plays, defect)),
            None => run(play_day(file, out, How { record, quiet, relayed: true, defect })),
        },
        Command::Emulate { file, no_door, no_share, no_talk, directors, seed, json, plot } => {
            let without = Without { door: no_door, share: no_share, talk: no_talk };
            emulate(&file, &without, directors, seed, json.as_deref(), plot.as_deref())
        }
        Command::MeasureShared { file, directors, plot } => {
            measure_shared(&file, &directors, plot.as_deref()).map(|()| true)
        }
        Command::Judge { traffic } => judge(&traffic),
        Command::FromBench { day } => bench::convert(&day).map(|text| {
            print!("{text}");
            true
        }),
        Command::Matrix { out, short } => run(play_matrix(out, short)),
        Command::Measure { out } => run(measure::measure(&out)).map(|()| true),
        Command::MeasureHls { out, sessions } => run(measure_hls::measure(&out, sessions)).map(|()| true),
        Command::Copy { from } => run(measure::copy(from)).map(|()| true),
        Command::Director { settings, record, defect } => {
            // A lab that is killed must not leave its directors behind.
            let _ = nix::sys::prctl::set_pdeathsig(nix::sys::signal::Signal::SIGKILL);
            tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
            run(async {
                let defect = defect.as_deref().map(fleet::defect).transpose()?;
                let served = ashglade_director::serve(Options { settings, record, injected_fault: defect });
                served.await.map_err(|e| e.to_string())
            })
            .map(|()| true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ashglade-lab: {error}");
            ExitCode::from(2)
        }
    }
}

fn run<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let done = runtime.block_on(work);
    runtime.shutdown_background();
    done
}

async fn play_day(file: PathBuf, out: PathBuf, how: How) -> Result<bool, String> {
    let day = day::read(&file)?;
    if !how.relayed && !day.fault.is_empty() {
        return Err(format!("{}: has faults between parties; play it with `fleet`", file.display()));
    }
    let played = play::play(&day, &out, &how).await?;
    let media = &played.media;
    let count = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
    let report = format!(
        "{}media   {} packets, {} of another SSRC, {} steps back in the sequence, {} breaks; {} segments of HLS, {:.1} s \
         without one\norphans {} sessions left \
         at nodes, {:.1} s held by nobody; directors {}\nset-ups {}\nmemory  {}\n",
        played.verdict,
        count(&media.packets),
        count(&media.foreign),
        count(&media.backward),
        count(&media.breaks),
        count(&media.segments),
        count(&media.stalled_ms) as f64 / 1e3,
        played.orphans,
        played.orphaned,
        if played.ended_well { "ended well" } else { "did not end well" },
        played.times,
        played.memory,
    );
    let waits = played.started.iter().enumerate().filter(|(_, started)| !**started);
    let waits: String = waits.map(|(i, _)| format!("fault[{i}] never started\n")).collect();
    let report = report + &waits;
    print!("{report}");
    let path = out.join("report.txt");
    std::fs::write(&path, &report).map_err(|e| format!("{}: {e}", path.display()))?;
    let continuous = count(&media.foreign) == 0 && count(&media.backward) == 0;
    Ok(played.verdict.held() && played.orphans == 0 && played.ended_well && continuous && waits.is_empty())
}

/// What an emulated day is played without.
struct Without {
    door: bool,
    share: bool,
    talk: bool,
}

fn emulate(
    file: &std::path::Path,
    without: &Without,
    directors: Option<u32>,
    seed: Option<u64>,
    json: Option<&std::path::Path>,
    plot: Option<&std::path::Path>,
) -> Result<bool, String> {
    let mut day = day::read(file)?;
    day.directors = directors.or(day.directors);
    day.seed = seed.or(day.seed);
    if let Some(headend) = &mut day.headend {
        headend.talk = headend.talk.take().filter(|_| !without.talk);
        if let Some(talk) = headend.talk.as_mut().filter(|_| without.share) {
            talk.share = None;
        }
    }
    let begun = std::time::Instant::now();
    let report = emulator::run(&day, !without.door)?;
    let took = begun.elapsed().as_secs_f64();
    print!("{report}");
    println!(
        "{} s in {took:.2} s; {:.0} events a second, {:.0} rounds a second",
        report.samples.len(),
        report.events as f64 / took,
        report.rounds as f64 / took
    );
    if let Some(path) = json {
        let text = serde_json::to_string(&report).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = plot {
        let without = emulator::run(&day, false)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        let title = format!("{name}, seed {}, {} directors", day.seed(), day.directors());
        plot::requests(path, &title, &[("with the door", &report), ("without", &without)])?;
    }
    Ok(report.broken_rules.is_empty())
}

/// The day without sharing, with turns alone, and with all that its settings have, for each number of directors.
fn measure_shared(
    file: &std::path::Path,
    directors: &[u32],
    plot: Option<&std::path::Path>,
) -> Result<(), String> {
    let day = day::read(file)?;
    let mut lines = vec![("turns alone", Vec::new()), ("turns, judgements and repeats", Vec::new())];
    println!("directors  shared   bytes/s by each  words held  SETUPs failed  service  took");
    for &count in directors {
        for (name, line) in [("nothing", None), ("turns", Some(0)), ("all", Some(1))] {
            let mut day = day::Day { directors: Some(count), ..day.clone() };
            if let Some(headend) = &mut day.headend {
                headend.talk = headend.talk.take().filter(|_| line.is_some());
                if let Some(talk) = headend.talk.as_mut().filter(|_| line == Some(0)) {
                    talk.share = None;
                }
            }
            let begun = std::time::Instant::now();
            let report = emulator::run(&day, true)?;
            let took = begun.elapsed().as_secs_f64();
            let bytes = report.said.1 as f64 / report.samples.len().max(1) as f64 / f64::from(count);
            if let Some(line) = line {
                lines[line].1.push((f64::from(count), bytes));
            }
            println!(
                "{count:9}  {name:7}  {bytes:15.0}  {:10}  {:13}  {:.4}   {took:.2} s",
                report.words,
                report.failed_at.len(),
                report.service
            );
        }
    }
    let title = "What each director says to others";
    plot.map_or(Ok(()), |path| plot::over_directors(path, title, &lines))
}

async fn play_matrix(out: PathBuf, short: bool) -> Result<bool, String> {
    let (cares, stages) = if short {
        (&matrix::CARES[2..], &matrix::STAGES[..1])
    } else {
        (&matrix::CARES[..], &matrix::STAGES[..])
    };
    let cells = matrix::play(&out, cares, stages).await?;
    for cell in &cells {
        println!("{} {} {}", cell.name, if cell.held { "held  " } else { "BROKEN" }, cell.counts);
    }
    Ok(!cells.is_empty() && cells.iter().all(|cell| cell.held))
}

fn judge(path: &std::path::Path) -> Result<bool, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let traffic = ashglade_judge::Traffic::read(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let verdict = ashglade_judge::judge(&traffic);
    print!("{verdict}");
    Ok(verdict.held())
}
