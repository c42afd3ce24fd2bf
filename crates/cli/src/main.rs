//! `ashglade`: the operators' command line.

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
    /// Checks settings and box list as a director would at start.
    Check {
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
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
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
            let served = runtime.block_on(ashglade_director::serve(Options { settings, record }));
            // Tasks that still wait for a socket are not waited for.
            runtime.shutdown_background();
            served.map_or_else(fail, |()| ExitCode::SUCCESS)
        }
        Command::Check { settings } => match ashglade_director::load(&settings) {
            Ok((settings, list, boxes)) => {
                println!(
                    "{} service groups, {} titles, {} rungs; {}: generation {}, {} media nodes",
                    settings.group_names.len(),
                    settings.titles.len(),
                    settings.headend.ladder.len(),
                    boxes.display(),
                    list.generation,
                    list.entries.len()
                );
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

fn replay(settings: &std::path::Path, record: &std::path::Path) -> Result<(usize, usize), String> {
    let (settings, ..) = ashglade_director::load(settings).map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(record).map_err(|e| format!("{}: {e}", record.display()))?;
    ashglade_engine::record::replay(ashglade_director::replay_start(&settings), &text)
        .map_err(|e| format!("{}: {e}", record.display()))
}

fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("ashglade: {error}");
    ExitCode::FAILURE
}
