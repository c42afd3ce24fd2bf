//! Stand-ins and scenarios of the review's cases.
//!
//! Usage: `review-standin CASE RECORD`. The environment holds `RUN`, the deploy file's command, and `TROUBLE`,
//! which is 0 for a run without the disruption. The exit code is 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. What was sent, answered and run is written to the file RECORD.

mod bus;
mod cases;
mod deployment;
mod director;
mod line;
mod node;
mod record;
mod sys;
mod viewer;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::cases::{address_taken, answer_after_release, crowd_memory};
use crate::deployment::{Context, sleep};
use crate::record::Record;

/// Time after which a run is given up.
const LONGEST_RUN_MS: u64 = 110_000;

fn run(case: &str, record: &Path) -> Result<bool, String> {
    let context = Context {
        run: std::env::var("RUN").map_err(|_| "RUN is not set".to_string())?,
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: Record::create(record).map_err(|e| e.to_string())?,
        folder: PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set".to_string())?),
    };
    let mut result = match case {
        "answer-after-release" => answer_after_release::run(&context),
        "crowd-memory" => crowd_memory::run(&context),
        "address-taken" => address_taken::run(&context),
        _ => Err(format!("no such case: {case}")),
    };
    if let Err(error) = &mut result {
        context.record.log("test", &format!("could not run: {error}"));
    }
    result
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    std::thread::spawn(|| {
        sleep(LONGEST_RUN_MS);
        eprintln!("could not run: the case took too long");
        // The script that started this process ends the director.
        std::process::exit(2);
    });
    match run(case, Path::new(record)) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
