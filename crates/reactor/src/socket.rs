//! Non-blocking TCP streams, accepted or dialled.

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

/// Maximum bytes that are read from one socket before other sockets are polled.
const MAX_READ_BYTES_PER_POLL: usize = 64 * 1024;

/// Repeats a call while it is interrupted by a signal, as the standard library does for `accept`.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Whether the error is ENOBUFS or ENOMEM, which means that the kernel lacks buffers or memory. The call must
/// be retried after a delay, since no readiness event follows.
pub fn is_out_of_kernel_memory(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Starts to connect to a loopback address. If the connection is refused, the first read or write fails.
///
/// # Errors
/// The address is not loopback (`PermissionDenied`), or the process has no free descriptor.
pub fn dial(address: SocketAddr) -> io::Result<Socket> {
    require_loopback(address)?;
    dial_any_address(address)
}

/// Starts to connect to any address, such as one that the platform has assigned. It is otherwise like
/// [`dial`].
///
/// # Errors
/// The process has no free descriptor, or there is no route to the address.
pub fn dial_any_address(address: SocketAddr) -> io::Result<Socket> {
    let family = match address.ip() {
        IpAddr::V4(_) => AddressFamily::INET,
        IpAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = net::socket_with(family, SocketType::STREAM, flags, None)?;
    match net::connect(&fd, &address) {
        // A call that is interrupted by a signal continues in the kernel.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Socket::connecting(TcpStream::from(fd)),
        Err(error) => Err(error.into()),
    }
}

/// A non-blocking TCP stream with the asynchronous traits that `h2` requires. It stores no waker: its owner
/// is polled when the [`Reactor`](crate::Reactor) reports it as ready.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes that may still be read before other sockets are polled.
    read_budget: usize,
    /// Whether it was dialled and no read or write has succeeded or failed yet.
    is_connecting: bool,
}

impl Socket {
    pub(crate) fn accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Socket { stream, read_budget: MAX_READ_BYTES_PER_POLL, is_connecting: false })
    }

    /// Creates a socket from a stream that is being connected. Until it is connected, reads and writes fail
    /// with EAGAIN on Linux. POSIX also allows ENOTCONN, which is treated in the same way, since a readiness
    /// event follows.
    ///
    /// # Errors
    /// The options of the stream cannot be set.
    pub fn connecting(stream: TcpStream) -> io::Result<Self> {
        Ok(Socket { is_connecting: true, ..Socket::accepted(stream)? })
    }

    /// Makes the socket close with a TCP reset instead of an orderly shutdown when it is dropped.
    ///
    /// # Errors
    /// Those of `setsockopt`.
    pub fn reset_at_close(&self) -> io::Result<()> {
        Ok(sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))?)
    }

    /// Sets the time after which the kernel closes the connection if sent data stays unacknowledged.
    ///
    /// # Errors
    /// Those of `setsockopt`.
    pub fn set_user_timeout(&self, timeout: Duration) -> io::Result<()> {
        Ok(sockopt::set_tcp_user_timeout(&self.stream, timeout.as_millis() as u32)?)
    }

    /// Returns another handle to the same socket, for its options and for [`Socket::shutdown`].
    ///
    /// # Errors
    /// The process has no free descriptor.
    pub fn try_clone(&self) -> io::Result<Socket> {
        Ok(Socket {
            stream: self.stream.try_clone()?,
            read_budget: MAX_READ_BYTES_PER_POLL,
            is_connecting: self.is_connecting,
        })
    }

    /// Shuts down both directions of the connection, for all handles.
    ///
    /// # Errors
    /// Those of `shutdown`.
    pub fn shutdown(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Both)
    }

    /// Converts the result of a call to a poll. It is pending if the call would block or the socket is not
    /// connected yet.
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
            self.read_budget = MAX_READ_BYTES_PER_POLL;
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
                self.read_budget = MAX_READ_BYTES_PER_POLL;
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
