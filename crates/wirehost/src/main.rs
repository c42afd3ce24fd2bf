//! Hosts directors on the simulator's wire: batches on standard input, a reply for each on standard output.

mod frames;
mod host;
mod share;
#[cfg(test)]
mod tests;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // Off unless asked for: what it earned on the sites that allow messages is in docs/results.md.
    let shares = match std::env::args().skip(1).collect::<Vec<_>>().as_slice() {
        [] => false,
        [word] if word == "--share" => true,
        other => {
            eprintln!("ashglade-wirehost: {other:?} is not known; there is --share");
            return ExitCode::FAILURE;
        }
    };
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match serve(&mut input, &mut output, shares) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("ashglade-wirehost: {trouble}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl io::Read, output: &mut impl Write, shares: bool) -> Result<(), frames::Trouble> {
    let mut host = host::Host::new(shares);
    let mut frame = Vec::new();
    let mut reply = Vec::new();
    let mut read = 0;
    while frames::read(input, &mut frame, read)? {
        host.answer(&frame, &mut reply).map_err(|t| t.after(read))?;
        read += frame.len() as u64;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| frames::Trouble::new(read, format!("can't write the reply: {e}")))?;
    }
    Ok(())
}
