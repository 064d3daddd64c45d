//! `shalereel-wirehost` hosts isolated instances of the controller for the operators' simulator. It reads
//! batches of events from standard input, and writes and flushes one reply per batch to standard output. If
//! the input is malformed, it reports an error on standard error and exits.

#![deny(missing_docs)]

mod frame;
mod host;

use std::io::{self, BufReader, Write};

use anyhow::Result;

use crate::frame::read_frame;
use crate::host::Host;

fn main() -> Result<()> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(frame) = read_frame(&mut input)? {
        output.write_all(&host.process_batch(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}
