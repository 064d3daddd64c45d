//! One HTTP/2 connection with its gRPC calls, on the client or the server side; polled by the hub.

mod call;

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request};
use shalereel_reactor::{Nanos, Socket};
use thiserror::Error;

use crate::{frame, Status};
use call::{status_of, Call};

/// Identifies a call on its connection. It differs from HTTP/2's stream id, and is never reused.
pub type StreamId = u64;

/// HTTP/2 receive window of a stream.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// HTTP/2 receive window of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Largest header list that is accepted.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// `h2` buffers at least this much before it applies backpressure.
const MIN_SEND_BUFFER_BYTES: usize = 1 << 16;
/// Largest value of the `grpc-timeout` header, which has at most eight digits.
const MAX_TIMEOUT_MICROS: Nanos = 99_999_999;

/// Resource limits of each connection and of all together. A call or connection that exceeds them is ended; the process
/// continues.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest message that is accepted, bytes.
    pub max_message_bytes: usize,
    /// Largest number of concurrent calls that the peer may make.
    pub max_concurrent_calls: u32,
    /// Largest number of unsent bytes for a peer that does not read. A call or plain connection with more is ended.
    pub max_unsent_bytes: usize,
    /// Largest number of bytes of incomplete messages and unsent bytes of all connections together. Above it the connection
    /// that holds the most is ended.
    pub max_held_bytes: usize,
    /// Number of received bytes after which a wait returns before further connections are read.
    pub max_bytes_per_wait: usize,
    /// Time within which a message must be complete after its first byte, ns.
    pub message_timeout: Nanos,
    /// A connection ends if the peer's kernel acknowledges no data for this time, ns.
    pub user_timeout: Nanos,
    /// Delay before an operation that the kernel has refused for lack of memory or descriptors is retried, ns.
    pub retry_delay: Nanos,
}

/// An event on a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The peer makes a call.
    Call {
        /// Id of the call.
        stream: StreamId,
        /// Path of the method; empty if the request is not gRPC.
        path: String,
        /// Time that the peer waits for the end of the call, ns; `None` if it has set no timeout.
        timeout: Option<Nanos>,
    },
    /// A message of a call was received.
    Message {
        /// Id of the call.
        stream: StreamId,
        /// The message, without its length prefix.
        message: Bytes,
    },
    /// The peer that made the call sends no more messages.
    HalfClosed {
        /// Id of the call.
        stream: StreamId,
    },
    /// The call has ended.
    Ended {
        /// Id of the call.
        stream: StreamId,
        /// Status with which the call has ended.
        status: Status,
    },
}

impl ConnectionEvent {
    /// Number of bytes that the event holds.
    pub fn received_bytes(&self) -> usize {
        match self {
            ConnectionEvent::Message { message, .. } => message.len(),
            ConnectionEvent::Call { path, .. } => path.len(),
            ConnectionEvent::HalfClosed { .. } | ConnectionEvent::Ended { .. } => 0,
        }
    }
}

/// Why a connection has ended.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// The peer has closed the connection in an orderly way.
    #[error("closed by the peer")]
    ClosedByPeer,
    /// The peer has left too many bytes unread; their number.
    #[error("{0} bytes left unread by the peer")]
    Unread(usize),
    /// The connection held the most when all connections together held too many bytes; its number of bytes.
    #[error("{0} bytes held, the most when all connections together held too many")]
    HeldBytes(usize),
    /// A message was not complete in time.
    #[error("a message was not complete in time")]
    MessageTimeout,
    /// A system call has failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer has violated HTTP/2, or the HTTP/2 connection has failed.
    #[error(transparent)]
    Http2(#[from] h2::Error),
}

type Handshake<T> = Pin<Box<dyn Future<Output = Result<T, h2::Error>>>>;
type ServerConnection = h2::server::Connection<Socket, Bytes>;

/// The client side of an established connection.
struct ClientConnection {
    requests: SendRequest<Bytes>,
    connection: h2::client::Connection<Socket, Bytes>,
}

enum Http2 {
    ServerHandshake(Handshake<ServerConnection>),
    ClientHandshake(Handshake<(SendRequest<Bytes>, h2::client::Connection<Socket, Bytes>)>),
    Server(ServerConnection),
    Client(ClientConnection),
}

/// One HTTP/2 connection with its calls. It must be polled when its socket is ready, when its waker was called, and after a
/// method has sent or ended something.
pub struct Connection {
    http2: Http2,
    limits: ConnectionLimits,
    calls: BTreeMap<StreamId, Call>,
    last_stream: StreamId,
}

impl Connection {
    /// Creates the server side, from an accepted socket.
    pub fn server(socket: Socket, limits: ConnectionLimits) -> Self {
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(limits.max_concurrent_calls)
            .max_header_list_size(MAX_HEADER_BYTES)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buffer_size(limits.max_unsent_bytes.max(MIN_SEND_BUFFER_BYTES));
        Connection::new(Http2::ServerHandshake(Box::pin(builder.handshake(socket))), limits)
    }

    /// Creates the client side, from a dialled socket.
    pub fn client(socket: Socket, limits: ConnectionLimits) -> Self {
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_BYTES)
            .max_send_buffer_size(limits.max_unsent_bytes.max(MIN_SEND_BUFFER_BYTES));
        Connection::new(Http2::ClientHandshake(Box::pin(builder.handshake(socket))), limits)
    }

    fn new(http2: Http2, limits: ConnectionLimits) -> Self {
        Connection { http2, limits, calls: BTreeMap::new(), last_stream: 0 }
    }

    /// Client side: makes a call. Messages may be sent on it at once. `timeout`, ns, is sent as the `grpc-timeout` header.
    pub fn call(&mut self, path: &str, timeout: Option<Nanos>) -> StreamId {
        let mut request = Request::builder()
            .method(Method::POST)
            .version(http::Version::HTTP_2)
            .uri(format!("http://shalereel{path}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        if let Some(timeout) = timeout {
            let micros = (timeout / 1000).min(MAX_TIMEOUT_MICROS);
            request = request.header("grpc-timeout", format!("{micros}u"));
        }
        self.last_stream += 1;
        // If the path is not a valid URI, an empty request is sent, which the peer rejects.
        let request = request.body(()).unwrap_or_default();
        let call = Call::outgoing(request, self.limits.max_message_bytes);
        self.calls.insert(self.last_stream, call);
        self.last_stream
    }

    /// Sends a message on a call; ignored if the call has ended.
    pub fn send(&mut self, stream: StreamId, message: &[u8]) {
        self.send_framed(stream, frame(message));
    }

    /// Sends a message that was framed by [`frame`] before, so that several calls can share its bytes.
    pub fn send_framed(&mut self, stream: StreamId, framed: Bytes) {
        if let Some(call) = self.calls.get_mut(&stream) {
            call.send(framed);
        }
    }

    /// Number of bytes of a call that HTTP/2 has not taken yet.
    pub fn unsent_bytes(&self, stream: StreamId) -> usize {
        self.calls.get(&stream).map_or(0, Call::unsent_bytes)
    }

    /// Number of bytes of incomplete messages, of all calls.
    pub fn incomplete_bytes(&self) -> usize {
        self.calls.values().map(Call::incomplete_bytes).sum()
    }

    /// When the oldest incomplete message began; `None` if there is none.
    pub fn incomplete_since(&self) -> Option<Nanos> {
        self.calls.values().filter_map(Call::incomplete_since).min()
    }

    /// Number of bytes of all calls that HTTP/2 has not taken yet, without those that other connections share.
    pub fn unshared_unsent_bytes(&self) -> usize {
        self.calls.values().map(Call::unshared_unsent_bytes).sum()
    }

    /// Server side: ends the call with a status. Client side: tells the peer that no more messages follow.
    pub fn finish(&mut self, stream: StreamId, status: Status) {
        if let Some(call) = self.calls.get_mut(&stream) {
            call.finish(status);
        }
    }

    /// Cancels a call: its stream is reset, and no further event of the call follows.
    pub fn cancel(&mut self, stream: StreamId) {
        if let Some(mut call) = self.calls.remove(&stream) {
            call.cancel();
        }
    }

    /// Sends and receives as much as possible, and appends the resulting events to `events`. Ready once the connection has
    /// ended; calls that are still open then end without an event of their own.
    pub fn poll(&mut self, cx: &mut Context<'_>, events: &mut Vec<ConnectionEvent>) -> Poll<CloseReason> {
        if let Err(error) = ready!(self.poll_handshake(cx)) {
            return Poll::Ready(error.into());
        }
        // Polls twice, so that what the calls write is sent in this turn.
        for _ in 0..2 {
            let closed = self.poll_http2(cx, events);
            self.poll_calls(cx, events);
            if closed.is_ready() {
                return closed;
            }
        }
        self.poll_http2(cx, events)
    }

    fn poll_handshake(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), h2::Error>> {
        self.http2 = match &mut self.http2 {
            Http2::ServerHandshake(handshake) => match ready!(handshake.as_mut().poll(cx)) {
                Ok(server) => Http2::Server(server),
                Err(error) => return Poll::Ready(Err(error)),
            },
            Http2::ClientHandshake(handshake) => match ready!(handshake.as_mut().poll(cx)) {
                Ok((requests, connection)) => Http2::Client(ClientConnection { requests, connection }),
                Err(error) => return Poll::Ready(Err(error)),
            },
            Http2::Server(_) | Http2::Client(_) => return Poll::Ready(Ok(())),
        };
        Poll::Ready(Ok(()))
    }

    fn poll_http2(&mut self, cx: &mut Context<'_>, events: &mut Vec<ConnectionEvent>) -> Poll<CloseReason> {
        match &mut self.http2 {
            Http2::Server(server) => loop {
                match ready!(server.poll_accept(cx)) {
                    Some(Ok((request, respond))) => {
                        self.last_stream += 1;
                        let stream = self.last_stream;
                        let (call, event) =
                            Call::accept(stream, request, respond, self.limits.max_message_bytes);
                        events.push(event);
                        self.calls.insert(stream, call);
                    }
                    Some(Err(error)) => return Poll::Ready(error.into()),
                    None => return Poll::Ready(CloseReason::ClosedByPeer),
                }
            },
            Http2::Client(client) => Poll::Ready(match ready!(Pin::new(&mut client.connection).poll(cx)) {
                Ok(()) => CloseReason::ClosedByPeer,
                Err(error) => error.into(),
            }),
            Http2::ServerHandshake(_) | Http2::ClientHandshake(_) => Poll::Pending,
        }
    }

    fn poll_calls(&mut self, cx: &mut Context<'_>, events: &mut Vec<ConnectionEvent>) {
        let mut ended: Vec<(StreamId, Status)> = Vec::new();
        for (&stream, call) in &mut self.calls {
            if let Http2::Client(client) = &mut self.http2 {
                match call.poll_request(cx, &mut client.requests) {
                    Poll::Ready(Ok(())) => {}
                    Poll::Ready(Err(error)) => ended.push((stream, status_of(&error))),
                    Poll::Pending => continue,
                }
            }
            let status = call
                .poll_receive(cx, stream, events)
                .or_else(|| call.poll_send(cx, self.limits.max_unsent_bytes));
            ended.extend(status.map(|status| (stream, status)));
        }
        for (stream, status) in ended {
            if self.calls.remove(&stream).is_some() {
                events.push(ConnectionEvent::Ended { stream, status });
            }
        }
    }
}
