use std::io::{self, IoSlice, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Makes a call again that a signal has interrupted, as the standard library does at `accept`.
fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Does the kernel lack something for a moment? The call is to be made again after a while; no readiness tells when.
pub fn is_momentary(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Bytes read from one socket before others have their turn.
const TURN: usize = 256 * 1024;

fn on_loopback(address: SocketAddr) -> io::Result<()> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    let text = format!("{address} is not a loopback address; use 127.0.0.0/8 or [::1]");
    Err(io::Error::new(io::ErrorKind::PermissionDenied, text))
}

/// Accepts connections on loopback.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Port 0 lets the kernel choose. Errors: the address is not loopback or is taken.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        on_loopback(address)?;
        Self::bind_given(address)
    }

    /// The same for an address that a platform has given, wherever it is.
    pub fn bind_given(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(Listener(listener))
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next connection that waits, if any.
    pub fn accept(&self) -> io::Result<Option<Socket>> {
        match self.0.accept() {
            Ok((stream, _)) => Socket::new(stream).map(Some),
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

/// Starts a connection; whether it is refused shows at the first read or write.
pub fn dial(address: SocketAddr) -> io::Result<Socket> {
    on_loopback(address)?;
    dial_given(address)
}

/// The same for an address that a platform has given, wherever it is.
pub fn dial_given(address: SocketAddr) -> io::Result<Socket> {
    let family = match address.ip() {
        IpAddr::V4(_) => AddressFamily::INET,
        IpAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = net::socket_with(family, SocketType::STREAM, flags, None)?;
    match net::connect(&fd, &address) {
        // One that a signal interrupts goes on by itself.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Socket::connecting(TcpStream::from(fd)),
        Err(error) => Err(error.into()),
    }
}

/// A stream that never blocks, as `h2` wants it. It keeps no waker: its owner is polled when it is ready.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    turn: usize,
    /// Dialled, and nothing was read or written yet.
    connecting: bool,
}

impl Socket {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Socket { stream, turn: TURN, connecting: false })
    }

    /// One whose connection is being made. Linux answers EAGAIN until it stands; POSIX allows ENOTCONN, which
    /// is no end then: readiness follows.
    pub fn connecting(stream: TcpStream) -> io::Result<Self> {
        Ok(Socket { connecting: true, ..Socket::new(stream)? })
    }

    /// Closes with a reset instead of an orderly end, once dropped.
    pub fn reset_at_close(&self) -> io::Result<()> {
        Ok(sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))?)
    }

    /// A peer that acknowledges nothing for so long is taken for gone by the kernel.
    pub fn give_up_after(&self, span: Duration) -> io::Result<()> {
        Ok(sockopt::set_tcp_user_timeout(&self.stream, span.as_millis() as u32)?)
    }

    /// Another handle on the same socket, for the reactor and for [`Socket::reset_at_close`].
    pub fn handle(&self) -> io::Result<Socket> {
        Ok(Socket { stream: self.stream.try_clone()?, turn: TURN, connecting: self.connecting })
    }

    /// Ends both directions at once, whoever else holds a handle.
    pub fn shut(&self) -> io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Both)
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Socket {
    fn polled<T>(&mut self, result: io::Result<T>) -> Poll<io::Result<T>> {
        match result {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(error) if self.connecting && error.kind() == io::ErrorKind::NotConnected => Poll::Pending,
            other => {
                self.connecting = false;
                Poll::Ready(other)
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn == 0 {
            self.turn = TURN;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = uninterrupted(|| self.stream.read(buf.initialize_unfilled()));
        match self.polled(read) {
            Poll::Ready(Ok(count)) => {
                buf.advance(count);
                self.turn = self.turn.saturating_sub(count);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                self.turn = TURN;
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = uninterrupted(|| self.stream.write(buf));
        self.polled(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = uninterrupted(|| self.stream.write_vectored(pieces));
        self.polled(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown(std::net::Shutdown::Write).or(Ok(())))
    }
}
