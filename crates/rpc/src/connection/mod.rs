//! One HTTP/2 connection with its gRPC calls, either side, polled by the hub.

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

/// Identifies a call on its connection; not HTTP/2's number. Never assigned twice.
pub type StreamId = u64;

/// Receive windows of HTTP/2.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Longest block of headers.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// `h2` buffers at least this much before it applies backpressure.
const MIN_SEND_BUFFER_BYTES: usize = 1 << 16;
/// Largest value of the `grpc-timeout` header: eight digits.
const MAX_TIMEOUT_MICROS: Nanos = 99_999_999;

/// What one connection may use. A call or connection that exceeds it is ended, never the process.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest message, bytes.
    pub max_message_bytes: usize,
    /// Calls at once, of those that the peer makes.
    pub max_concurrent_calls: u32,
    /// Bytes that may wait for a peer that does not read; beyond it the call, or plain connection, ends.
    pub max_unsent_bytes: usize,
    /// A peer whose kernel acknowledges nothing for so long counts as gone.
    pub user_timeout: Nanos,
    /// Delay until a system call is repeated that the kernel refused for lack of memory or descriptors.
    pub retry_delay: Nanos,
}

/// What has come on a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The peer makes a call.
    Call {
        /// The call.
        stream: StreamId,
        /// Path of the method; empty where the request is not gRPC.
        path: String,
        /// How long the peer waits for the end of the call, where it says so.
        timeout: Option<Nanos>,
    },
    /// A message of a call, without its prefix.
    Message {
        /// The call.
        stream: StreamId,
        /// The message.
        message: Bytes,
    },
    /// The peer, which has made the call, sends no more messages.
    HalfClosed {
        /// The call.
        stream: StreamId,
    },
    /// The call has ended.
    Ended {
        /// The call.
        stream: StreamId,
        /// How.
        status: Status,
    },
}

/// Why a connection has ended.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// The peer has closed it in order.
    #[error("closed by the peer")]
    ClosedByPeer,
    /// The peer has left too many bytes unread.
    #[error("{0} bytes left unread by the peer")]
    Unread(usize),
    /// The system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// HTTP/2 was violated, or its connection broke.
    #[error(transparent)]
    Http2(#[from] h2::Error),
}

type Handshake<T> = Pin<Box<dyn Future<Output = Result<T, h2::Error>>>>;
type ServerConnection = h2::server::Connection<Socket, Bytes>;

/// The side that dialled.
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

/// One HTTP/2 connection with its calls. It must be polled when its socket is ready, its waker was called, or
/// a method has put something into it.
pub struct Connection {
    http2: Http2,
    limits: ConnectionLimits,
    calls: BTreeMap<StreamId, Call>,
    last_stream: StreamId,
}

impl Connection {
    /// The side that accepted the socket.
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

    /// The side that dialled.
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

    /// Client side: makes a call; messages may be sent at once.
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
        // A path that is no URI is rejected by the peer as an empty one.
        let request = request.body(()).unwrap_or_default();
        let call = Call::outgoing(request, self.limits.max_message_bytes);
        self.calls.insert(self.last_stream, call);
        self.last_stream
    }

    /// Sends a message on a call; ignored where the call has ended.
    pub fn send(&mut self, stream: StreamId, message: &[u8]) {
        self.send_framed(stream, frame(message));
    }

    /// Sends a message that [`frame`] has framed already, so that many calls can share its bytes.
    pub fn send_framed(&mut self, stream: StreamId, framed: Bytes) {
        if let Some(call) = self.calls.get_mut(&stream) {
            call.send(framed);
        }
    }

    /// Bytes of a call that the peer has not taken yet.
    pub fn unsent_bytes(&self, stream: StreamId) -> usize {
        self.calls.get(&stream).map_or(0, Call::unsent_bytes)
    }

    /// Server side: ends the call with a status. Client side: says that no more messages come.
    pub fn finish(&mut self, stream: StreamId, status: Status) {
        if let Some(call) = self.calls.get_mut(&stream) {
            call.finish(status);
        }
    }

    /// Gives a call up: it is reset, and no event of it follows.
    pub fn cancel(&mut self, stream: StreamId) {
        if let Some(mut call) = self.calls.remove(&stream) {
            call.cancel();
        }
    }

    /// Sends and receives as much as possible, and adds what has come to `events`. Ready once the connection
    /// has ended; open calls then end without an event of their own.
    pub fn poll(&mut self, cx: &mut Context<'_>, events: &mut Vec<ConnectionEvent>) -> Poll<CloseReason> {
        if let Err(error) = ready!(self.poll_handshake(cx)) {
            return Poll::Ready(error.into());
        }
        // Twice, so that what the calls have written is sent in this turn.
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
