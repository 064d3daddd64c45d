//! A non-blocking TCP listener.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};

use crate::loopback::require_loopback;
use crate::socket::Socket;

/// A non-blocking TCP listener.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Listens on a loopback address. For port 0 the kernel chooses the port.
    ///
    /// # Errors
    /// The address is not loopback (`PermissionDenied`), or it is in use.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        require_loopback(address)?;
        Self::bind_any_address(address)
    }

    /// Listens on any address, such as one that the platform has assigned. For port 0 the kernel chooses the
    /// port.
    ///
    /// # Errors
    /// The address is in use, or it is not an address of this machine.
    pub fn bind_any_address(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(Listener(listener))
    }

    /// Returns the address that it listens on, with the actual port.
    ///
    /// # Errors
    /// Those of `getsockname`.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Accepts the next pending connection. Returns `None` if there is none.
    ///
    /// # Errors
    /// Those of `accept`: the connection was aborted, or the system lacks resources for it.
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
