//! `ashglade`: the operators' command line.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use ashglade_director::Options;
use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;

#[derive(Parser)]
#[command(name = "ashglade", version, about = "A session front for streaming servers")]
struct Args {
    /// What is logged, as `info` or `ashglade_director=debug`.
    #[arg(long, global = true, default_value = "info")]
    log: String,
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Text)]
    log_form: LogForm,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a director; the first SIGTERM drains it, a second ends it.
    Serve {
        #[arg(long)]
        settings: PathBuf,
        /// Writes each round to this file, for `ashglade replay`.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Runs a director on the platform, in its protocol.
    Platform {
        /// The configuration that the platform hands over.
        #[arg(long, env = "BALANCER_CONFIG")]
        config: PathBuf,
    },
    /// Checks settings and box list as a director would at start.
    Check {
        #[arg(long)]
        settings: PathBuf,
    },
    /// Shows the door of the director that runs with these settings: who waits, the limit, what became of promises.
    Door {
        #[arg(long)]
        settings: PathBuf,
    },
    /// Shows what the director that runs with these settings believes of the others and of media nodes, and from whom.
    Show {
        #[arg(long)]
        settings: PathBuf,
    },
    /// Plays a recorded run again and compares what comes out.
    Replay {
        #[arg(long)]
        settings: PathBuf,
        record: PathBuf,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let filter = match EnvFilter::try_new(&args.log) {
        Ok(filter) => filter,
        Err(error) => return fail(format!("--log {}: {error}", args.log)),
    };
    let colours = std::io::stderr().is_terminal();
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(colours);
    match args.log_form {
        LogForm::Text => log.init(),
        LogForm::Json => log.json().init(),
    }
    match args.command {
        Command::Serve { settings, record } => {
            let runtime = match tokio::runtime::Runtime::new() {
                Ok(runtime) => runtime,
                Err(error) => return fail(error),
            };
            let served = runtime.block_on(ashglade_director::serve(Options {
                settings,
                record,
                injected_fault: None,
            }));
            // Tasks that still wait for a socket are not waited for.
            runtime.shutdown_background();
            served.map_or_else(fail, |()| ExitCode::SUCCESS)
        }
        Command::Platform { config } => {
            // Part of one core: one thread serves all.
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return fail(error),
            };
            let served = runtime.block_on(ashglade_platform_director::serve(&config));
            served.map_or_else(fail, |()| ExitCode::SUCCESS)
        }
        Command::Check { settings } => match ashglade_director::load(&settings) {
            Ok((settings, list, boxes)) => {
                println!(
                    "{} service groups, {} titles, {} rungs; {}: generation {}, {} media nodes",
                    settings.group_names.len(),
                    settings.titles.len(),
                    settings.headend.ladder.len(),
                    boxes
                        .sources
                        .iter()
                        .map(|path| path.display().to_string())
                        .collect::<Vec<_>>()
                        .join(", "),
                    list.generation,
                    list.entries.len()
                );
                ExitCode::SUCCESS
            }
            Err(trouble) => fail(trouble),
        },
        Command::Door { settings } => match door(&settings) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(trouble) => fail(trouble),
        },
        Command::Show { settings } => match show(&settings) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(trouble) => fail(trouble),
        },
        Command::Replay { settings, record } => match replay(&settings, &record) {
            Ok((rounds, effects)) => {
                println!("{rounds} rounds, {effects} effects, all the same");
                ExitCode::SUCCESS
            }
            Err(trouble) => fail(trouble),
        },
    }
}

/// What a director wrote for others to see, and its age in seconds.
fn view<T: serde::de::DeserializeOwned>(at: &std::path::Path) -> Result<(T, f64), String> {
    let trouble = |e: &dyn std::fmt::Display| format!("{}: {e}", at.display());
    let text = std::fs::read_to_string(at).map_err(|e| trouble(&e))?;
    let age = std::fs::metadata(at).and_then(|m| m.modified()).map_err(|e| trouble(&e))?;
    let age = age.elapsed().map_or(0.0, |age| age.as_secs_f64());
    Ok((serde_json::from_str(&text).map_err(|e| trouble(&e))?, age))
}

fn show(path: &std::path::Path) -> Result<String, String> {
    let (settings, ..) = ashglade_director::load(path).map_err(|e| e.to_string())?;
    let at =
        ashglade_director::peer_status_path(&settings, path).ok_or("settings name no talk.share.view")?;
    let (view, age) = view::<ashglade_peer_transport::PeerStatus>(&at)?;
    Ok(format!("as it was {age:.0} s ago\n{view}"))
}

fn door(path: &std::path::Path) -> Result<String, String> {
    let (settings, ..) = ashglade_director::load(path).map_err(|e| e.to_string())?;
    let at = ashglade_director::admission_status_path(&settings, path).ok_or("settings name no door.view")?;
    let (view, age) = view::<ashglade_engine::AdmissionStatus>(&at)?;
    let mut told =
        format!("as it was {age:.0} s ago\nset-ups in hand {} of {:.0}\n", view.in_flight, view.limit);
    for (name, waiting) in settings.group_names.iter().zip(&view.waiting) {
        told += &format!("waiting {waiting:5} {name}\n");
    }
    let (t, p) = (&view.counters, &view.retries);
    told += &format!(
        "offered {}, let in {}, of them after waiting {}\n",
        t.offered, t.admitted, t.admitted_after_waiting
    );
    told += &format!(
        "sent away: {} no place, {} no hope, {} waited too long, {} too early\n",
        t.queue_full, t.deadline_unreachable, t.wait_expired, t.retried_early
    );
    told += &format!(
        "promises: {} made, {} came, {} of them went in; {} came early\n",
        p.slots_reserved, p.returned_in_slot, p.admitted, p.returned_early
    );
    Ok(told)
}

fn replay(settings: &std::path::Path, record: &std::path::Path) -> Result<(usize, usize), String> {
    let (settings, ..) = ashglade_director::load(settings).map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(record).map_err(|e| format!("{}: {e}", record.display()))?;
    ashglade_engine::record::replay(ashglade_director::engine_config(&settings), &text)
        .map_err(|e| format!("{}: {e}", record.display()))
}

fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("ashglade: {error}");
    ExitCode::FAILURE
}
