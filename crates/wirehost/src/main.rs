//! Adapter that runs directors in the simulator: reads batches of events from standard input and writes a
//! reply to each to standard output.

mod frames;
mod gossip;
mod host;
#[cfg(test)]
mod tests;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // Gossip is off by default; docs/results.md has its effect on sites that allow messages between
    // directors.
    let gossip_enabled = match std::env::args().skip(1).collect::<Vec<_>>().as_slice() {
        [] => false,
        [argument] if argument == "--share" => true,
        other => {
            eprintln!("ashglade-wirehost: unknown arguments {other:?}; the only option is --share");
            return ExitCode::FAILURE;
        }
    };
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match serve(&mut input, &mut output, gossip_enabled) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ashglade-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Processes batches until the input ends.
fn serve(
    input: &mut impl io::Read,
    output: &mut impl Write,
    gossip_enabled: bool,
) -> Result<(), frames::FrameError> {
    let mut host = host::DirectorHost::new(gossip_enabled);
    let mut frame = Vec::new();
    let mut reply = Vec::new();
    let mut frame_start = 0;
    while frames::read_frame(input, &mut frame, frame_start)? {
        host.process_batch(&frame, &mut reply).map_err(|error| error.with_base(frame_start))?;
        frame_start += frame.len() as u64;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| frames::FrameError::new(frame_start, format!("failed to write the reply: {e}")))?;
    }
    Ok(())
}
