//! `shalereel-wirehost`, run by the operators' simulator: hosts isolated instances of the controller. Batches of events come
//! on standard input, and each is answered by one flushed reply on standard output. Malformed input ends the process with an
//! error on standard error.

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
        output.write_all(&host.answer(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}
