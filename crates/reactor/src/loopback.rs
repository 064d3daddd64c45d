//! The restriction of listening and dialling to loopback addresses, which applies unless a caller allows any
//! address.

use std::io;
use std::net::SocketAddr;

/// Checks that an address is loopback.
///
/// # Errors
/// The address is not loopback: `PermissionDenied`.
pub fn require_loopback(address: SocketAddr) -> io::Result<()> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    let text = format!("{address} is not a loopback address; use 127.0.0.0/8 or [::1]");
    Err(io::Error::new(io::ErrorKind::PermissionDenied, text))
}
