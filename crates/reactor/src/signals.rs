//! Signals as streams that a [`Reactor`](crate::Reactor) can watch.

use std::io;
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Returns a stream that becomes readable on SIGTERM or SIGINT.
///
/// # Errors
/// The stream or the handlers cannot be created.
pub fn stop_signals() -> io::Result<UnixStream> {
    signal_stream(&[SIGTERM, SIGINT])
}

/// Returns a stream that becomes readable on SIGHUP.
///
/// # Errors
/// The stream or the handler cannot be created.
pub fn reload_signals() -> io::Result<UnixStream> {
    signal_stream(&[SIGHUP])
}

fn signal_stream(signals: &[i32]) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    reader.set_nonblocking(true)?;
    for &signal in signals {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    Ok(reader)
}
