//! `ashglade`: the command line for operators.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use ashglade_director::Options;
use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;

#[derive(Parser)]
#[command(name = "ashglade", version, about = "A session front for streaming servers")]
struct Args {
    /// Log filter: a level or directives by module, such as `info` or `ashglade_director=debug`.
    #[arg(long, global = true, default_value = "info")]
    log: String,
    /// Format of the log, which is written to standard error.
    #[arg(long = "log-form", global = true, value_enum, value_name = "LOG_FORM", default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a director; the first SIGTERM drains it, a second ends it at once.
    Serve {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
        /// File in which every round is recorded, for `ashglade replay`.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Runs a director that speaks the protocol of the platform.
    Platform {
        /// The configuration file that the platform provides.
        #[arg(long, env = "BALANCER_CONFIG")]
        config: PathBuf,
    },
    /// Checks the settings and the box list in the same way as a director at startup.
    Check {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Shows the admission queue of the director that runs with these settings: waiting requests, the limit
    /// on SETUPs in flight, and the counters of requests and retry slots.
    #[command(name = "door")]
    AdmissionStatus {
        /// The settings file of the running director.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Shows what the director that runs with these settings knows of other directors and of media nodes, and
    /// from which directors it knows it.
    #[command(name = "show")]
    PeerStatus {
        /// The settings file of the running director.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Replays the rounds recorded by `ashglade serve --record` and compares their effects.
    Replay {
        /// The settings file that the recorded director ran with.
        #[arg(long)]
        settings: PathBuf,
        /// The recorded rounds.
        record: PathBuf,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let filter = match EnvFilter::try_new(&args.log) {
        Ok(filter) => filter,
        Err(error) => return fail(format!("--log {}: {error}", args.log)),
    };
    let use_colors = std::io::stderr().is_terminal();
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(use_colors);
    match args.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    match args.command {
        Command::Serve { settings, record } => {
            let runtime = match tokio::runtime::Runtime::new() {
                Ok(runtime) => runtime,
                Err(error) => return fail(error),
            };
            let result = runtime.block_on(ashglade_director::serve(Options {
                settings,
                record,
                injected_fault: None,
            }));
            // Does not wait for tasks that are blocked on a socket.
            runtime.shutdown_background();
            result.map_or_else(fail, |()| ExitCode::SUCCESS)
        }
        Command::Platform { config } => {
            // The platform grants only a part of one core, so a single thread is enough.
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return fail(error),
            };
            let result = runtime.block_on(ashglade_platform_director::serve(&config));
            result.map_or_else(fail, |()| ExitCode::SUCCESS)
        }
        Command::Check { settings } => match ashglade_director::load(&settings) {
            Ok((settings, list, files)) => {
                println!(
                    "{} service groups, {} titles, {} rungs; {}: generation {}, {} media nodes",
                    settings.group_names.len(),
                    settings.titles.len(),
                    settings.director_config.ladder.len(),
                    files
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
            Err(error) => fail(error),
        },
        Command::AdmissionStatus { settings } => match admission_status(&settings) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => fail(error),
        },
        Command::PeerStatus { settings } => match peer_status(&settings) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => fail(error),
        },
        Command::Replay { settings, record } => match replay(&settings, &record) {
            Ok((rounds, effects)) => {
                println!("{rounds} rounds, {effects} effects: all match the record");
                ExitCode::SUCCESS
            }
            Err(error) => fail(error),
        },
    }
}

/// Reads a status file of a running director. Returns its contents and its age in seconds.
fn read_status<T: serde::de::DeserializeOwned>(path: &std::path::Path) -> Result<(T, f64), String> {
    let file_error = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| file_error(&error))?;
    let modified = std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .map_err(|error| file_error(&error))?;
    let age = modified.elapsed().map_or(0.0, |age| age.as_secs_f64());
    Ok((serde_json::from_str(&text).map_err(|error| file_error(&error))?, age))
}

/// Returns the text of `ashglade show`.
fn peer_status(settings_path: &std::path::Path) -> Result<String, String> {
    let (settings, ..) = ashglade_director::load(settings_path).map_err(|error| error.to_string())?;
    let status_path = ashglade_director::peer_status_path(&settings, settings_path)
        .ok_or("the settings have no talk.share.view, the file of the status")?;
    let (status, age) = read_status::<ashglade_peer_transport::PeerStatus>(&status_path)?;
    Ok(format!("status written {age:.0} s ago\n{status}"))
}

/// Returns the text of `ashglade door`.
fn admission_status(settings_path: &std::path::Path) -> Result<String, String> {
    let (settings, ..) = ashglade_director::load(settings_path).map_err(|error| error.to_string())?;
    let status_path = ashglade_director::admission_status_path(&settings, settings_path)
        .ok_or("the settings have no door.view, the file of the status")?;
    let (status, age) = read_status::<ashglade_engine::AdmissionStatus>(&status_path)?;
    let mut text = format!(
        "status written {age:.0} s ago\nSETUPs in flight {} of {:.0}\n",
        status.in_flight, status.limit
    );
    for (name, waiting) in settings.group_names.iter().zip(&status.waiting) {
        text += &format!("waiting {waiting:5} {name}\n");
    }
    let (counters, retries) = (&status.counters, &status.retries);
    text += &format!(
        "requests: {} offered, {} admitted, {} of them after waiting\n",
        counters.offered, counters.admitted, counters.admitted_after_waiting
    );
    text += &format!(
        "refused: {} queue full, {} deadline unreachable, {} wait expired, {} retried early\n",
        counters.queue_full, counters.deadline_unreachable, counters.wait_expired, counters.retried_early
    );
    text += &format!(
        "retry slots: {} reserved, {} returned in their slot, {} of them admitted; {} returned early\n",
        retries.slots_reserved, retries.returned_in_slot, retries.admitted, retries.returned_early
    );
    Ok(text)
}

/// Replays a record. Returns the numbers of rounds and effects, or the first difference as an error.
fn replay(settings_path: &std::path::Path, record_path: &std::path::Path) -> Result<(usize, usize), String> {
    let (settings, ..) = ashglade_director::load(settings_path).map_err(|error| error.to_string())?;
    let text = std::fs::read_to_string(record_path)
        .map_err(|error| format!("{}: {error}", record_path.display()))?;
    ashglade_engine::record::replay(ashglade_director::engine_config(&settings), &text)
        .map_err(|error| format!("{}: {error}", record_path.display()))
}

/// Prints an error and returns the exit code for it.
fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("ashglade: {error}");
    ExitCode::FAILURE
}
