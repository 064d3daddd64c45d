//! Non-blocking connections that carry lines of text.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use shalereel_reactor::{Reactor, Token};

/// Bytes that are read at once.
const READ_BYTES: usize = 64 << 10;

/// A connection, and what was received and not yet written on it.
pub struct Connection {
    stream: TcpStream,
    pub token: Token,
    received: Vec<u8>,
    unsent: Vec<u8>,
}

impl Connection {
    /// Starts to connect. A refusal shows at the first read.
    pub fn dial(address: SocketAddr, reactor: &mut Reactor) -> Option<Self> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None).unwrap();
        match net::connect(&fd, &address) {
            Ok(()) | Err(Errno::INPROGRESS) => Some(Connection::new(TcpStream::from(fd), reactor)),
            Err(_) => None,
        }
    }

    pub fn new(stream: TcpStream, reactor: &mut Reactor) -> Self {
        stream.set_nonblocking(true).unwrap();
        let _ = stream.set_nodelay(true);
        let token = reactor.add(&stream).unwrap();
        Connection { stream, token, received: Vec::new(), unsent: Vec::new() }
    }

    /// Makes the connection end with a reset when it is dropped.
    pub fn reset(&self) {
        let _ = net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
    }

    /// Queues a line and writes as much as the peer takes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.unsent.extend_from_slice(bytes);
        self.flush();
    }

    /// Writes as much as the peer takes.
    pub fn flush(&mut self) {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(count) => drop(self.unsent.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // A connection that failed is noticed at the next read.
                Err(_) => return,
            }
        }
    }

    /// Reads what has arrived. Returns the complete lines, and whether the connection is still open.
    pub fn read_lines(&mut self) -> (Vec<Vec<u8>>, bool) {
        let mut buffer = vec![0; READ_BYTES];
        let is_open = loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => break false,
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => break matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected),
            }
        };
        let Some(end) = self.received.iter().rposition(|byte| *byte == b'\n') else {
            return (Vec::new(), is_open);
        };
        let rest = self.received.split_off(end + 1);
        let complete = std::mem::replace(&mut self.received, rest);
        let lines = complete.split(|byte| *byte == b'\n').map(<[u8]>::to_vec);
        (lines.filter(|line| !line.is_empty()).collect(), is_open)
    }
}
