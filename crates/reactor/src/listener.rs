//! A TCP listener that never blocks.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};

use crate::loopback::require_loopback;
use crate::socket::Socket;

/// Accepts connections.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Listens on a loopback address; port 0 lets the kernel choose one.
    ///
    /// # Errors
    /// The address is not loopback (`PermissionDenied`) or in use.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        require_loopback(address)?;
        Self::bind_any_address(address)
    }

    /// Listens on an address that the platform has assigned, loopback or not.
    ///
    /// # Errors
    /// The address is in use or not one of this machine.
    pub fn bind_any_address(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(Listener(listener))
    }

    /// The address that it listens on, with the port that was chosen.
    ///
    /// # Errors
    /// Those of `getsockname`.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next connection that waits, if any.
    ///
    /// # Errors
    /// Those of `accept`: the connection was aborted, or there are no resources for it.
    pub fn accept(&self) -> io::Result<Option<Socket>> {
        match self.0.accept() {
            Ok((stream, _)) => Socket::accepted(stream).map(Some),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
