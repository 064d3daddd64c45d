//! TCP streams that never block, accepted or dialled.

use std::io::{self, IoSlice, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::loopback::require_loopback;

/// Bytes that are read from one socket before others have their turn.
const MAX_READ_BYTES_PER_TURN: usize = 256 * 1024;

/// Repeats a call that a signal has interrupted, as the standard library does at `accept`.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Whether the error is ENOBUFS or ENOMEM: the kernel lacks memory or buffers. The call must be repeated after a delay: no readiness
/// follows.
pub fn is_out_of_kernel_memory(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Starts a connection to a loopback address; a connection that is refused shows at the first read or write.
///
/// # Errors
/// The address is not loopback (`PermissionDenied`), or there is no descriptor.
pub fn dial(address: SocketAddr) -> io::Result<Socket> {
    require_loopback(address)?;
    dial_any_address(address)
}

/// Starts a connection to an address that the platform has assigned, loopback or not; see [`dial`].
///
/// # Errors
/// There is no descriptor, or no route.
pub fn dial_any_address(address: SocketAddr) -> io::Result<Socket> {
    let family = match address.ip() {
        IpAddr::V4(_) => AddressFamily::INET,
        IpAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = net::socket_with(family, SocketType::STREAM, flags, None)?;
    match net::connect(&fd, &address) {
        // A call that a signal interrupts goes on by itself.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Socket::connecting(TcpStream::from(fd)),
        Err(error) => Err(error.into()),
    }
}

/// A stream that never blocks, as `h2` expects it. It keeps no waker: its owner is polled when it is ready.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes that may still be read in this turn.
    read_budget: usize,
    /// It was dialled, and nothing has been read or written yet.
    is_connecting: bool,
}

impl Socket {
    pub(crate) fn accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Socket { stream, read_budget: MAX_READ_BYTES_PER_TURN, is_connecting: false })
    }

    /// A stream whose connection is being made. Until it is, Linux answers reads and writes with EAGAIN;
    /// POSIX also allows ENOTCONN, which is no end: readiness follows.
    ///
    /// # Errors
    /// The options of the stream cannot be set.
    pub fn connecting(stream: TcpStream) -> io::Result<Self> {
        Ok(Socket { is_connecting: true, ..Socket::accepted(stream)? })
    }

    /// Closes with a reset instead of an orderly end, once dropped.
    ///
    /// # Errors
    /// Those of `setsockopt`.
    pub fn reset_at_close(&self) -> io::Result<()> {
        Ok(sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))?)
    }

    /// The kernel ends the connection when the peer acknowledges nothing for so long.
    ///
    /// # Errors
    /// Those of `setsockopt`.
    pub fn set_user_timeout(&self, timeout: Duration) -> io::Result<()> {
        Ok(sockopt::set_tcp_user_timeout(&self.stream, timeout.as_millis() as u32)?)
    }

    /// Another handle on the same socket, for options and for [`Socket::shutdown`].
    ///
    /// # Errors
    /// There is no descriptor.
    pub fn try_clone(&self) -> io::Result<Socket> {
        Ok(Socket {
            stream: self.stream.try_clone()?,
            read_budget: MAX_READ_BYTES_PER_TURN,
            is_connecting: self.is_connecting,
        })
    }

    /// Ends both directions at once, whoever else has a handle.
    ///
    /// # Errors
    /// Those of `shutdown`.
    pub fn shutdown(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Both)
    }

    /// Maps the result of a call that would block, or whose connection is not made yet, to pending.
    fn poll_result<T>(&mut self, result: io::Result<T>) -> Poll<io::Result<T>> {
        match result {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(error) if self.is_connecting && error.kind() == io::ErrorKind::NotConnected => Poll::Pending,
            other => {
                self.is_connecting = false;
                Poll::Ready(other)
            }
        }
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_budget == 0 {
            self.read_budget = MAX_READ_BYTES_PER_TURN;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let result = retry_interrupted(|| self.stream.read(buf.initialize_unfilled()));
        match self.poll_result(result) {
            Poll::Ready(Ok(count)) => {
                buf.advance(count);
                self.read_budget = self.read_budget.saturating_sub(count);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                self.read_budget = MAX_READ_BYTES_PER_TURN;
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = retry_interrupted(|| self.stream.write(buf));
        self.poll_result(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = retry_interrupted(|| self.stream.write_vectored(pieces));
        self.poll_result(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown(Shutdown::Write).or(Ok(())))
    }
}
