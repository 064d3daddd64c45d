use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use shalereel_reactor::{Nanos, Socket};

use crate::{frame, Code, Framer, Status};

/// Number of a call on its connection, ours and not HTTP/2's; never given twice.
pub type StreamId = u64;

/// What one connection may cost. Beyond it a stream or the connection is refused, never the process.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of one message.
    pub message: usize,
    /// Calls open at once.
    pub calls: u32,
    /// Bytes that wait for a peer that does not read; the call ends beyond it.
    pub unread: usize,
    /// A peer whose kernel acknowledges nothing for so long is gone.
    pub silence: Nanos,
    /// What our own kernel refuses for a moment is tried again after so long.
    pub retry: Nanos,
}

/// What came on a connection.
#[derive(Debug)]
pub enum Came {
    /// Server side: a peer calls `path`, and waits for `timeout` at most where it says so.
    Call {
        stream: StreamId,
        path: String,
        timeout: Option<Nanos>,
    },
    Message {
        stream: StreamId,
        message: Bytes,
    },
    /// Server side: the peer will send no more.
    HalfClosed {
        stream: StreamId,
    },
    /// The call is over.
    Ended {
        stream: StreamId,
        status: Status,
    },
}

type Handshake<T> = Pin<Box<dyn Future<Output = Result<T, h2::Error>>>>;
type Client = (SendRequest<Bytes>, h2::client::Connection<Socket, Bytes>);

enum Side {
    Greeting(Handshake<h2::server::Connection<Socket, Bytes>>),
    Calling(Handshake<Client>),
    Server(h2::server::Connection<Socket, Bytes>),
    Client(Client),
}

enum Inward {
    /// Client side: not asked yet, or not answered yet.
    Unasked(Request<()>),
    Awaited(ResponseFuture),
    Body(RecvStream),
    Trailers(RecvStream),
    Done,
}

struct Flow {
    inward: Inward,
    framer: Framer,
    outward: Option<SendStream<Bytes>>,
    waiting: VecDeque<Bytes>,
    unread: usize,
    /// Said by us: the status (server) or that no more comes (client).
    finish: Option<Status>,
    respond: Option<SendResponse<Bytes>>,
}

/// One HTTP/2 connection with its calls. Poll it whenever its socket is ready, it was woken, or something was
/// put into it.
pub struct Conn {
    side: Side,
    bounds: Bounds,
    flows: BTreeMap<StreamId, Flow>,
    last: StreamId,
}

impl Conn {
    /// The side that accepted the socket.
    pub fn server(socket: Socket, bounds: Bounds) -> Self {
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(bounds.calls)
            .max_header_list_size(16 * 1024)
            .initial_window_size(1 << 20)
            .initial_connection_window_size(4 << 20)
            .max_send_buffer_size(bounds.unread.max(1 << 16));
        Conn::with(Side::Greeting(Box::pin(builder.handshake(socket))), bounds)
    }

    /// The side that dialled.
    pub fn client(socket: Socket, bounds: Bounds) -> Self {
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .initial_window_size(1 << 20)
            .initial_connection_window_size(4 << 20)
            .max_header_list_size(16 * 1024)
            .max_send_buffer_size(bounds.unread.max(1 << 16));
        Conn::with(Side::Calling(Box::pin(builder.handshake(socket))), bounds)
    }

    fn with(side: Side, bounds: Bounds) -> Self {
        Conn { side, bounds, flows: BTreeMap::new(), last: 0 }
    }

    /// Client side: starts a call; messages may be sent at once.
    pub fn call(&mut self, path: &str, timeout: Option<Nanos>) -> StreamId {
        let mut request = Request::builder()
            .method(Method::POST)
            .version(http::Version::HTTP_2)
            .uri(format!("http://shalereel{path}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        if let Some(timeout) = timeout {
            request = request.header("grpc-timeout", format!("{}u", (timeout / 1000).min(99_999_999)));
        }
        self.last += 1;
        // A path that is no URI is refused by the far side as an empty one.
        let request = request.body(()).unwrap_or_default();
        self.flows.insert(self.last, Flow::new(Inward::Unasked(request), self.bounds.message));
        self.last
    }

    /// Puts a message on a call; nothing happens where it is over.
    pub fn send(&mut self, stream: StreamId, message: &[u8]) {
        self.send_framed(stream, frame(message));
    }

    /// Puts a message that [`frame`] has framed already, so that many calls share its bytes.
    pub fn send_framed(&mut self, stream: StreamId, framed: Bytes) {
        if let Some(flow) = self.flows.get_mut(&stream) {
            flow.unread += framed.len();
            flow.waiting.push_back(framed);
        }
    }

    /// Bytes given to a call that the peer did not take yet.
    pub fn unread(&self, stream: StreamId) -> usize {
        self.flows.get(&stream).map_or(0, |flow| flow.unread)
    }

    /// Server side: ends the call with a status. Client side: says that no more messages come.
    pub fn finish(&mut self, stream: StreamId, status: Status) {
        if let Some(flow) = self.flows.get_mut(&stream) {
            flow.finish.get_or_insert(status);
        }
    }

    /// Gives the call up: a reset to the peer, nothing more from it to us.
    pub fn cancel(&mut self, stream: StreamId) {
        if let Some(mut flow) = self.flows.remove(&stream) {
            flow.reset(Reason::CANCEL);
        }
    }

    /// Moves all that can be moved; what came is added to `out`. Ready once the connection is over, with the
    /// reason; calls still open then end without a word of their own.
    pub fn poll(&mut self, cx: &mut Context<'_>, out: &mut Vec<Came>) -> Poll<String> {
        loop {
            let next = match &mut self.side {
                Side::Greeting(shake) => match ready!(shake.as_mut().poll(cx)) {
                    Ok(server) => Side::Server(server),
                    Err(error) => return Poll::Ready(error.to_string()),
                },
                Side::Calling(shake) => match ready!(shake.as_mut().poll(cx)) {
                    Ok(client) => Side::Client(client),
                    Err(error) => return Poll::Ready(error.to_string()),
                },
                _ => break,
            };
            self.side = next;
        }
        // Once more after the flows moved, so that what they wrote leaves with this turn.
        for _ in 0..2 {
            let over = self.poll_side(cx, out);
            self.poll_flows(cx, out);
            if let Poll::Ready(reason) = over {
                return Poll::Ready(reason);
            }
        }
        self.poll_side(cx, out)
    }

    fn poll_side(&mut self, cx: &mut Context<'_>, out: &mut Vec<Came>) -> Poll<String> {
        match &mut self.side {
            Side::Server(server) => loop {
                match ready!(server.poll_accept(cx)) {
                    Some(Ok((request, respond))) => {
                        self.last += 1;
                        let (flow, came) = answered(self.last, request, respond, self.bounds.message);
                        out.push(came);
                        self.flows.insert(self.last, flow);
                    }
                    Some(Err(error)) => return Poll::Ready(error.to_string()),
                    None => return Poll::Ready("closed by the peer".into()),
                }
            },
            Side::Client((_, connection)) => Poll::Ready(match ready!(Pin::new(connection).poll(cx)) {
                Ok(()) => "closed by the peer".into(),
                Err(error) => error.to_string(),
            }),
            _ => Poll::Pending,
        }
    }

    fn poll_flows(&mut self, cx: &mut Context<'_>, out: &mut Vec<Came>) {
        let mut ended = Vec::new();
        for (&stream, flow) in &mut self.flows {
            if let Side::Client((asker, _)) = &mut self.side {
                if let Inward::Unasked(request) = &mut flow.inward {
                    match asker.poll_ready(cx) {
                        Poll::Ready(Ok(())) => match asker.send_request(std::mem::take(request), false) {
                            Ok((answer, outward)) => {
                                flow.inward = Inward::Awaited(answer);
                                flow.outward = Some(outward);
                            }
                            Err(error) => ended.push((stream, broken(&error))),
                        },
                        Poll::Ready(Err(error)) => ended.push((stream, broken(&error))),
                        Poll::Pending => continue,
                    }
                }
            }
            let unread = self.bounds.unread;
            let over = flow.poll_in(cx, stream, out).or_else(|| flow.poll_out(cx, unread));
            ended.extend(over.map(|status| (stream, status)));
        }
        for (stream, status) in ended {
            if self.flows.remove(&stream).is_some() {
                out.push(Came::Ended { stream, status });
            }
        }
    }
}

/// A call that never ran: nothing of it reached a handler.
fn broken(error: &h2::Error) -> Status {
    let code = match error.reason() {
        Some(Reason::CANCEL) => Code::Cancelled,
        Some(Reason::REFUSED_STREAM) => Code::Unavailable,
        Some(Reason::ENHANCE_YOUR_CALM) => Code::ResourceExhausted,
        Some(Reason::INADEQUATE_SECURITY) => Code::PermissionDenied,
        Some(_) => Code::Internal,
        None => Code::Unavailable,
    };
    Status::new(code, error.to_string())
}

fn timeout_of(headers: &HeaderMap) -> Option<Nanos> {
    let text = headers.get("grpc-timeout")?.to_str().ok()?;
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: Nanos = number.parse().ok()?;
    let unit = match unit {
        "H" => 3_600_000_000_000,
        "M" => 60_000_000_000,
        "S" => 1_000_000_000,
        "m" => 1_000_000,
        "u" => 1_000,
        "n" => 1,
        _ => return None,
    };
    Some(number.saturating_mul(unit))
}

fn answered(
    stream: StreamId,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    most: usize,
) -> (Flow, Came) {
    let (head, body) = request.into_parts();
    let content = head.headers.get("content-type").map_or(&b""[..], |value| value.as_bytes());
    let grpc = head.method == Method::POST && content.starts_with(b"application/grpc");
    let mut flow = Flow::new(Inward::Body(body), most);
    let mut response = Response::new(());
    if grpc {
        let headers = response.headers_mut();
        headers.insert("content-type", http::HeaderValue::from_static("application/grpc"));
    } else {
        *response.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
    }
    match respond.send_response(response, !grpc) {
        Ok(outward) if grpc => (flow.outward, flow.respond) = (Some(outward), Some(respond)),
        _ => flow.inward = Inward::Done,
    }
    let path = if grpc { head.uri.path().to_owned() } else { String::new() };
    (flow, Came::Call { stream, path, timeout: timeout_of(&head.headers) })
}

impl Flow {
    fn new(inward: Inward, most: usize) -> Self {
        Flow {
            inward,
            framer: Framer::new(most),
            outward: None,
            waiting: VecDeque::new(),
            unread: 0,
            finish: None,
            respond: None,
        }
    }

    fn serves(&self) -> bool {
        self.respond.is_some()
    }

    fn reset(&mut self, reason: Reason) {
        if let Some(outward) = &mut self.outward {
            outward.send_reset(reason);
        }
    }

    /// Reads what there is; a status where the call is over.
    fn poll_in(&mut self, cx: &mut Context<'_>, stream: StreamId, out: &mut Vec<Came>) -> Option<Status> {
        loop {
            match &mut self.inward {
                Inward::Unasked(_) => return None,
                Inward::Done => {
                    // A server learns of a cancel by its own sending side.
                    let outward = self.outward.as_mut().filter(|_| self.respond.is_some())?;
                    return match outward.poll_reset(cx) {
                        Poll::Ready(Ok(_)) => Some(Status::new(Code::Cancelled, "reset by the peer")),
                        Poll::Ready(Err(error)) => Some(broken(&error)),
                        Poll::Pending => None,
                    };
                }
                Inward::Awaited(answer) => match Pin::new(answer).poll(cx) {
                    Poll::Pending => return None,
                    Poll::Ready(Err(error)) => return Some(broken(&error)),
                    Poll::Ready(Ok(response)) => {
                        let (head, body) = response.into_parts();
                        if head.status != StatusCode::OK {
                            return Some(Status::new(Code::Unknown, format!("HTTP status {}", head.status)));
                        }
                        if let Some(status) = Status::read(&head.headers) {
                            return Some(status);
                        }
                        self.inward = Inward::Body(body);
                    }
                },
                Inward::Body(body) => match body.poll_data(cx) {
                    Poll::Pending => return None,
                    Poll::Ready(Some(Ok(piece))) => {
                        let _ = body.flow_control().release_capacity(piece.len());
                        self.framer.push(&piece);
                        loop {
                            match self.framer.take() {
                                Ok(Some(message)) => out.push(Came::Message { stream, message }),
                                Ok(None) => break,
                                Err(error) => return self.refuse(error.into()),
                            }
                        }
                    }
                    Poll::Ready(Some(Err(error))) => return Some(broken(&error)),
                    Poll::Ready(None) => {
                        if let Err(error) = self.framer.finish() {
                            return self.refuse(error.into());
                        }
                        if self.serves() {
                            out.push(Came::HalfClosed { stream });
                            self.inward = Inward::Done;
                        } else {
                            let Inward::Body(body) = std::mem::replace(&mut self.inward, Inward::Done) else {
                                return None;
                            };
                            self.inward = Inward::Trailers(body);
                        }
                    }
                },
                Inward::Trailers(body) => match body.poll_trailers(cx) {
                    Poll::Pending => return None,
                    Poll::Ready(Err(error)) => return Some(broken(&error)),
                    Poll::Ready(Ok(block)) => {
                        let missing = || Status::new(Code::Unknown, "ended without a status");
                        return Some(block.as_ref().and_then(Status::read).unwrap_or_else(missing));
                    }
                },
            }
        }
    }

    /// The peer broke the framing: it is told, and the call is over for us.
    fn refuse(&mut self, status: Status) -> Option<Status> {
        match (&mut self.outward, self.respond.is_some()) {
            (Some(outward), true) => drop(outward.send_trailers(status.trailers())),
            _ => self.reset(Reason::PROTOCOL_ERROR),
        }
        Some(status)
    }

    /// Writes what the peer has room for; a status where that ends the call.
    fn poll_out(&mut self, cx: &mut Context<'_>, most: usize) -> Option<Status> {
        let serves = self.serves();
        let outward = self.outward.as_mut()?;
        while let Some(front) = self.waiting.front_mut() {
            if front.is_empty() {
                self.waiting.pop_front();
                continue;
            }
            outward.reserve_capacity(front.len());
            if outward.capacity() == 0 {
                match outward.poll_capacity(cx) {
                    Poll::Ready(Some(Ok(_))) if outward.capacity() > 0 => {}
                    Poll::Ready(Some(Err(error))) => return Some(broken(&error)),
                    _ => break,
                }
            }
            let piece = front.split_to(outward.capacity().min(front.len()));
            self.unread -= piece.len();
            if let Err(error) = outward.send_data(piece, false) {
                return Some(broken(&error));
            }
        }
        if self.unread > most {
            self.reset(Reason::ENHANCE_YOUR_CALM);
            return Some(Status::new(Code::ResourceExhausted, format!("{most} bytes wait unread")));
        }
        if !self.waiting.is_empty() {
            return None;
        }
        match self.finish.take() {
            Some(status) if serves => {
                // Where the peer still sends, h2 resets the call once this is written.
                let _ = outward.send_trailers(status.trailers());
                Some(status)
            }
            Some(_) => {
                let _ = outward.send_data(Bytes::new(), true);
                None
            }
            None => None,
        }
    }
}
