//! The hub's connections: opens, sends on, polls and closes them.

use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use shalereel_reactor::{dial, dial_any_address, now, Nanos, Socket};

use super::memory::HeldBytes;
use super::plain::PlainConnection;
use super::{ConnId, Hub, Input};
use crate::connection::{CloseReason, Connection, ConnectionEvent, ConnectionLimits, StreamId};
use crate::Status;

/// The protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    Grpc,
    /// A protocol that the caller encodes and decodes.
    Plain,
}

enum Transport {
    Grpc {
        connection: Box<Connection>,
        /// Second handle to the socket that `connection` owns, used to close it.
        socket: Socket,
    },
    Plain(PlainConnection),
}

impl Transport {
    fn plain(socket: Socket, _: ConnectionLimits) -> io::Result<Self> {
        Ok(Transport::Plain(PlainConnection::new(socket)))
    }

    fn grpc_client(socket: Socket, limits: ConnectionLimits) -> io::Result<Self> {
        let handle = socket.try_clone()?;
        Ok(Transport::Grpc { connection: Box::new(Connection::client(socket, limits)), socket: handle })
    }

    fn grpc_server(socket: Socket, limits: ConnectionLimits) -> io::Result<Self> {
        let handle = socket.try_clone()?;
        Ok(Transport::Grpc { connection: Box::new(Connection::server(socket, limits)), socket: handle })
    }
}

pub(super) struct OpenConnection {
    transport: Transport,
    is_paused: bool,
}

impl OpenConnection {
    fn plain(&self) -> Option<&PlainConnection> {
        match &self.transport {
            Transport::Plain(plain) => Some(plain),
            Transport::Grpc { .. } => None,
        }
    }

    fn plain_mut(&mut self) -> Option<&mut PlainConnection> {
        match &mut self.transport {
            Transport::Plain(plain) => Some(plain),
            Transport::Grpc { .. } => None,
        }
    }

    fn socket(&self) -> &Socket {
        match &self.transport {
            Transport::Plain(plain) => &plain.socket,
            Transport::Grpc { socket, .. } => socket,
        }
    }
}

impl<L, K> Input<L, K> {
    fn from_event(conn: ConnId, event: ConnectionEvent) -> Self {
        match event {
            ConnectionEvent::Call { stream, path, timeout } => Input::Call { conn, stream, path, timeout },
            ConnectionEvent::Message { stream, message } => Input::Message { conn, stream, message },
            ConnectionEvent::HalfClosed { stream } => Input::HalfClosed { conn, stream },
            ConnectionEvent::Ended { stream, status } => Input::Ended { conn, stream, status },
        }
    }
}

impl<L: Clone, K> Hub<L, K> {
    /// Starts a gRPC connection to a loopback address. If the peer refuses it, [`Input::Closed`] follows.
    ///
    /// # Errors
    /// The address is not a loopback address, or no file descriptor is available.
    pub fn dial(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        self.add(dial(address)?, Transport::grpc_client)
    }

    /// Starts a plain connection to a loopback address; otherwise like [`Hub::dial`].
    ///
    /// # Errors
    /// The address is not a loopback address, or no file descriptor is available.
    pub fn dial_plain(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        self.add(dial(address)?, Transport::plain)
    }

    /// Starts a plain connection to an address that the platform has assigned, loopback or not.
    ///
    /// # Errors
    /// No file descriptor is available, or there is no route to the address.
    pub fn dial_plain_any_address(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        self.add(dial_any_address(address)?, Transport::plain)
    }

    pub(super) fn add_accepted(&mut self, socket: Socket, protocol: Protocol) -> io::Result<ConnId> {
        match protocol {
            Protocol::Plain => self.add(socket, Transport::plain),
            Protocol::Grpc => self.add(socket, Transport::grpc_server),
        }
    }

    fn add(
        &mut self,
        socket: Socket,
        transport: fn(Socket, ConnectionLimits) -> io::Result<Transport>,
    ) -> io::Result<ConnId> {
        socket.set_user_timeout(Duration::from_nanos(self.limits.user_timeout))?;
        let conn = ConnId(self.reactor.add(&socket)?);
        let transport = transport(socket, self.limits)?;
        self.connections.insert(conn, OpenConnection { transport, is_paused: false });
        self.to_poll.insert(conn);
        Ok(conn)
    }

    /// The gRPC connection with this id, which is marked to be polled before the next wait.
    fn grpc_to_poll(&mut self, conn: ConnId) -> Option<&mut Connection> {
        match &mut self.connections.get_mut(&conn)?.transport {
            Transport::Grpc { connection, .. } => {
                self.to_poll.insert(conn);
                Some(connection)
            }
            Transport::Plain(_) => None,
        }
    }

    /// Sends bytes on a plain connection; ignored if the connection has ended.
    pub fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        self.write_shared(conn, Bytes::copy_from_slice(bytes));
    }

    /// Like [`Hub::write`], with bytes that other connections may share.
    pub fn write_shared(&mut self, conn: ConnId, bytes: Bytes) {
        if let Some(plain) = self.connections.get_mut(&conn).and_then(OpenConnection::plain_mut) {
            plain.send(bytes);
            self.to_poll.insert(conn);
        }
    }

    /// Number of bytes of a plain connection that the kernel has not taken yet.
    pub fn unsent_plain_bytes(&self, conn: ConnId) -> usize {
        let plain = self.connections.get(&conn).and_then(OpenConnection::plain);
        plain.map_or(0, PlainConnection::unsent_bytes)
    }

    /// Number of bytes of a call that HTTP/2 has not taken yet.
    pub fn unsent_call_bytes(&self, conn: ConnId, stream: StreamId) -> usize {
        match self.connections.get(&conn).map(|open| &open.transport) {
            Some(Transport::Grpc { connection, .. }) => connection.unsent_bytes(stream),
            _ => 0,
        }
    }

    /// See [`Connection::call`]; `None` if the connection has ended.
    pub fn call(&mut self, conn: ConnId, path: &str, timeout: Option<Nanos>) -> Option<StreamId> {
        self.grpc_to_poll(conn).map(|connection| connection.call(path, timeout))
    }

    /// See [`Connection::send`].
    pub fn send(&mut self, conn: ConnId, stream: StreamId, message: &[u8]) {
        if let Some(connection) = self.grpc_to_poll(conn) {
            connection.send(stream, message);
        }
    }

    /// See [`Connection::send_framed`].
    pub fn send_framed(&mut self, conn: ConnId, stream: StreamId, framed: Bytes) {
        if let Some(connection) = self.grpc_to_poll(conn) {
            connection.send_framed(stream, framed);
        }
    }

    /// See [`Connection::finish`].
    pub fn finish(&mut self, conn: ConnId, stream: StreamId, status: Status) {
        if let Some(connection) = self.grpc_to_poll(conn) {
            connection.finish(stream, status);
        }
    }

    /// See [`Connection::cancel`].
    pub fn cancel(&mut self, conn: ConnId, stream: StreamId) {
        if let Some(connection) = self.grpc_to_poll(conn) {
            connection.cancel(stream);
        }
    }

    /// Sets how much of what was received on a plain connection the caller holds as an incomplete message, and when the
    /// message began. It counts towards the limits on held bytes and on the time of a message.
    pub fn set_incomplete(&mut self, conn: ConnId, bytes: usize, since: Option<Nanos>) {
        if let Some(plain) = self.connections.get_mut(&conn).and_then(OpenConnection::plain_mut) {
            plain.incomplete_bytes = bytes;
            plain.incomplete_since = since.filter(|_| bytes > 0);
            self.update_memory(conn);
        }
    }

    /// Records what is held for a connection.
    fn update_memory(&mut self, conn: ConnId) {
        let Some(open) = self.connections.get(&conn) else { return self.memories.remove(conn) };
        let (held, since) = match &open.transport {
            Transport::Grpc { connection, .. } => {
                let (incomplete, unsent) =
                    (connection.incomplete_bytes(), connection.unshared_unsent_bytes());
                (HeldBytes { incomplete, unsent }, connection.incomplete_since())
            }
            Transport::Plain(plain) => {
                let (incomplete, unsent) = (plain.incomplete_bytes, plain.unshared_unsent_bytes());
                (HeldBytes { incomplete, unsent }, plain.incomplete_since)
            }
        };
        self.memories.set(conn, held, since);
    }

    /// Ends the connections that hold the most until all together hold no more than the limit.
    pub(super) fn enforce_held_bytes(&mut self) {
        while let Some((conn, bytes)) = self.memories.largest_above(self.limits.max_held_bytes) {
            self.end(conn, CloseReason::HeldBytes(bytes));
        }
    }

    /// Ends the connections with a message that is not complete in time.
    pub(super) fn end_overdue_messages(&mut self) {
        let began_before = now().saturating_sub(self.limits.message_timeout);
        for conn in self.memories.incomplete_since_before(began_before) {
            self.end(conn, CloseReason::MessageTimeout);
        }
    }

    /// Time by which the oldest incomplete message must be complete.
    pub(super) fn next_message_deadline(&self) -> Option<Nanos> {
        self.memories.oldest_incomplete().map(|since| since.saturating_add(self.limits.message_timeout) + 1)
    }

    /// Ends a connection with a TCP reset, and reports it as closed for this reason.
    fn end(&mut self, conn: ConnId, reason: CloseReason) {
        self.reset(conn);
        self.memories.remove(conn);
        self.ready.push_back(Input::Closed { conn, reason });
    }

    /// Closes a connection at once. Unsent bytes of a plain connection are sent as far as the kernel takes them. No
    /// [`Input::Closed`] follows.
    pub fn close(&mut self, conn: ConnId) {
        self.memories.remove(conn);
        let Some(mut open) = self.connections.remove(&conn) else { return };
        if let Some(plain) = open.plain_mut() {
            let _ = plain.write(&mut Context::from_waker(&self.reactor.waker(conn.0)));
        }
        let _ = open.socket().shutdown();
    }

    /// Closes a connection at once with a TCP reset. No [`Input::Closed`] follows.
    pub fn reset(&mut self, conn: ConnId) {
        self.memories.remove(conn);
        if let Some(open) = self.connections.remove(&conn) {
            let _ = open.socket().reset_at_close();
        }
    }

    /// Writes the unsent bytes of plain connections as far as the kernel takes them. Called before the process ends.
    pub fn flush(&mut self) {
        for conn in std::mem::take(&mut self.to_poll) {
            let waker = self.reactor.waker(conn.0);
            if let Some(plain) = self.connections.get_mut(&conn).and_then(OpenConnection::plain_mut) {
                // An error means that the peer has closed the connection, and then no response is needed.
                let _ = plain.write(&mut Context::from_waker(&waker));
            }
        }
    }

    /// Pauses or resumes a connection. While it is paused, nothing is read from it or written to it.
    pub fn set_paused(&mut self, conn: ConnId, paused: bool) {
        if let Some(open) = self.connections.get_mut(&conn) {
            open.is_paused = paused;
            self.to_poll.insert(conn);
        }
    }

    /// Sends on all connections whose state a method has changed, before anything is received. Plain connections are left to
    /// be read in turn.
    pub(super) fn send_pending(&mut self) {
        for conn in std::mem::take(&mut self.to_poll) {
            let waker = self.reactor.waker(conn.0);
            let open = self.connections.get_mut(&conn).filter(|open| !open.is_paused);
            if let Some(plain) = open.and_then(OpenConnection::plain_mut) {
                // The poll that follows reports an error.
                let _ = plain.write(&mut Context::from_waker(&waker));
                self.update_memory(conn);
                self.deferred.push(conn.0);
            } else {
                self.poll(conn);
            }
        }
        self.enforce_held_bytes();
    }

    /// Receives and sends as much as possible on a connection.
    pub(super) fn poll(&mut self, conn: ConnId) {
        let Some(open) = self.connections.get_mut(&conn).filter(|open| !open.is_paused) else { return };
        let waker = self.reactor.waker(conn.0);
        let mut cx = Context::from_waker(&waker);
        let closed = match &mut open.transport {
            Transport::Grpc { connection, .. } => {
                let mut events = Vec::new();
                let closed = connection.poll(&mut cx, &mut events);
                self.received_bytes += events.iter().map(ConnectionEvent::received_bytes).sum::<usize>();
                self.ready.extend(events.into_iter().map(|event| Input::from_event(conn, event)));
                closed
            }
            Transport::Plain(plain) => {
                let mut received = Vec::new();
                let closed = plain.poll(&mut cx, &mut received, self.limits.max_unsent_bytes);
                self.received_bytes += received.iter().map(Bytes::len).sum::<usize>();
                self.ready.extend(received.into_iter().map(|bytes| Input::Bytes { conn, bytes }));
                if plain.take_refused() {
                    self.retries.connections.insert(conn);
                    self.retries.schedule(self.limits.retry_delay);
                }
                closed
            }
        };
        if let Poll::Ready(reason) = closed {
            self.handle_ended(conn, reason);
        }
        self.update_memory(conn);
    }

    /// Handles the end of a connection. A half-closed connection stays open until the caller has responded to what was read.
    fn handle_ended(&mut self, conn: ConnId, reason: CloseReason) {
        let plain = self.connections.get(&conn).and_then(OpenConnection::plain);
        if plain.is_some_and(|plain| plain.is_half_closed) {
            if !self.half_closed_connections.insert(conn) {
                return;
            }
        } else {
            self.connections.remove(&conn);
        }
        self.ready.push_back(Input::Closed { conn, reason });
    }
}
