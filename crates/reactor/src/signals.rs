//! Signals as streams that a reactor can watch.

use std::io;
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Becomes readable at SIGTERM or SIGINT.
///
/// # Errors
/// The stream or the handlers cannot be created.
pub fn stop_signals() -> io::Result<UnixStream> {
    signal_stream(&[SIGTERM, SIGINT])
}

/// Becomes readable at SIGHUP.
///
/// # Errors
/// The stream or the handler cannot be created.
pub fn reload_signals() -> io::Result<UnixStream> {
    signal_stream(&[SIGHUP])
}

fn signal_stream(signals: &[i32]) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    for &signal in signals {
        signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
    }
    Ok(read)
}
