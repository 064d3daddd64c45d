//! One gRPC call on an HTTP/2 stream, on the client or the server side: receives, sends, and ends.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use shalereel_reactor::{now, Nanos};

use super::{ConnectionEvent, StreamId};
use crate::{Code, Framer, Status};

/// What the call receives next.
enum ReceiveState {
    /// Client side: nothing, since the request was not sent yet.
    RequestPending(Request<()>),
    /// Client side: the headers of the response.
    ResponseHeaders(ResponseFuture),
    Messages(RecvStream),
    /// Client side: the trailers, which carry the status.
    Trailers(RecvStream),
    /// Nothing more; only a reset by the peer is noticed.
    Finished,
}

/// Result of one step of receiving.
enum Received {
    /// Nothing more is available now.
    Pending,
    /// Something was received; the next step may receive more.
    Progress,
    /// The call has ended with this status.
    Ended(Status),
}

pub(super) struct Call {
    receive: ReceiveState,
    framer: Framer,
    /// Stream on which messages are sent; set once the headers were sent.
    send_stream: Option<SendStream<Bytes>>,
    unsent: VecDeque<Bytes>,
    unsent_bytes: usize,
    /// When the incomplete message at the end of what was received began.
    incomplete_since: Option<Nanos>,
    /// Set once the sending side is to end after the unsent bytes. A server then sends this status; a client only closes its
    /// side.
    finish: Option<Status>,
    /// Server side: the response handle of an accepted call, which also marks the call as a server's; `None` on the client side.
    respond: Option<SendResponse<Bytes>>,
}

impl Call {
    fn new(receive: ReceiveState, max_message_bytes: usize) -> Self {
        Call {
            receive,
            framer: Framer::new(max_message_bytes),
            send_stream: None,
            unsent: VecDeque::new(),
            unsent_bytes: 0,
            incomplete_since: None,
            finish: None,
            respond: None,
        }
    }

    /// Client side: creates a call whose request is sent when the call is polled.
    pub fn outgoing(request: Request<()>, max_message_bytes: usize) -> Self {
        Call::new(ReceiveState::RequestPending(request), max_message_bytes)
    }

    /// Server side: accepts a call and sends the headers of the response. A request that is not gRPC gets an HTTP error, and
    /// the path in its event is empty.
    pub fn accept(
        stream: StreamId,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        max_message_bytes: usize,
    ) -> (Call, ConnectionEvent) {
        let (head, body) = request.into_parts();
        let content_type = head.headers.get("content-type").map_or(&b""[..], HeaderValue::as_bytes);
        let is_grpc = head.method == Method::POST && content_type.starts_with(b"application/grpc");
        let mut response = Response::new(());
        if is_grpc {
            let content_type = HeaderValue::from_static("application/grpc");
            response.headers_mut().insert("content-type", content_type);
        } else {
            *response.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
        }
        let mut call = Call::new(ReceiveState::Messages(body), max_message_bytes);
        match respond.send_response(response, !is_grpc) {
            Ok(send_stream) if is_grpc => {
                call.send_stream = Some(send_stream);
                call.respond = Some(respond);
            }
            _ => call.receive = ReceiveState::Finished,
        }
        let path = if is_grpc { head.uri.path().to_owned() } else { String::new() };
        (call, ConnectionEvent::Call { stream, path, timeout: grpc_timeout(&head.headers) })
    }

    pub fn send(&mut self, framed: Bytes) {
        self.unsent_bytes += framed.len();
        self.unsent.push_back(framed);
    }

    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    pub fn incomplete_bytes(&self) -> usize {
        self.framer.buffered_bytes()
    }

    pub fn incomplete_since(&self) -> Option<Nanos> {
        self.incomplete_since
    }

    /// Unsent bytes that only this call refers to.
    pub fn unshared_unsent_bytes(&self) -> usize {
        self.unsent.iter().filter(|framed| framed.is_unique()).map(Bytes::len).sum()
    }

    pub fn finish(&mut self, status: Status) {
        self.finish.get_or_insert(status);
    }

    pub fn cancel(&mut self) {
        self.reset(Reason::CANCEL);
    }

    fn reset(&mut self, reason: Reason) {
        if let Some(send_stream) = &mut self.send_stream {
            send_stream.send_reset(reason);
        }
    }

    fn is_server(&self) -> bool {
        self.respond.is_some()
    }

    /// Client side: sends the request once the connection takes it.
    pub fn poll_request(
        &mut self,
        cx: &mut Context<'_>,
        requests: &mut SendRequest<Bytes>,
    ) -> Poll<Result<(), h2::Error>> {
        let ReceiveState::RequestPending(request) = &mut self.receive else { return Poll::Ready(Ok(())) };
        if let Err(error) = ready!(requests.poll_ready(cx)) {
            return Poll::Ready(Err(error));
        }
        match requests.send_request(std::mem::take(request), false) {
            Ok((response, send_stream)) => {
                self.receive = ReceiveState::ResponseHeaders(response);
                self.send_stream = Some(send_stream);
                Poll::Ready(Ok(()))
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }

    /// Receives as much as is available; returns the status if the call has ended.
    pub fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        events: &mut Vec<ConnectionEvent>,
    ) -> Option<Status> {
        loop {
            let received = match &mut self.receive {
                ReceiveState::RequestPending(_) => Received::Pending,
                ReceiveState::ResponseHeaders(_) => self.receive_headers(cx),
                ReceiveState::Messages(_) => self.receive_messages(cx, stream, events),
                ReceiveState::Trailers(body) => receive_trailers(cx, body),
                ReceiveState::Finished => self.receive_reset(cx),
            };
            match received {
                Received::Pending => return None,
                Received::Progress => {}
                Received::Ended(status) => return Some(status),
            }
        }
    }

    fn receive_headers(&mut self, cx: &mut Context<'_>) -> Received {
        let ReceiveState::ResponseHeaders(response) = &mut self.receive else { return Received::Progress };
        let response = match Pin::new(response).poll(cx) {
            Poll::Pending => return Received::Pending,
            Poll::Ready(Err(error)) => return Received::Ended(status_of(&error)),
            Poll::Ready(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Received::Ended(Status::new(Code::Unknown, format!("HTTP status {}", head.status)));
        }
        if let Some(status) = Status::from_headers(&head.headers) {
            return Received::Ended(status);
        }
        self.receive = ReceiveState::Messages(body);
        Received::Progress
    }

    fn receive_messages(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        events: &mut Vec<ConnectionEvent>,
    ) -> Received {
        let ReceiveState::Messages(body) = &mut self.receive else { return Received::Progress };
        match body.poll_data(cx) {
            Poll::Pending => Received::Pending,
            Poll::Ready(Some(Ok(piece))) => {
                let _ = body.flow_control().release_capacity(piece.len());
                self.framer.push(&piece);
                loop {
                    match self.framer.take() {
                        Ok(Some(message)) => {
                            self.incomplete_since = None;
                            events.push(ConnectionEvent::Message { stream, message });
                        }
                        Ok(None) => {
                            self.note_incomplete_message();
                            return Received::Progress;
                        }
                        Err(error) => return Received::Ended(self.reject(error.into())),
                    }
                }
            }
            Poll::Ready(Some(Err(error))) => Received::Ended(status_of(&error)),
            Poll::Ready(None) => self.end_messages(stream, events),
        }
    }

    /// Records when the incomplete message began, if there is one.
    fn note_incomplete_message(&mut self) {
        if self.framer.is_empty() {
            self.incomplete_since = None;
        } else {
            self.incomplete_since.get_or_insert_with(now);
        }
    }

    /// Handles the end of the peer's messages.
    fn end_messages(&mut self, stream: StreamId, events: &mut Vec<ConnectionEvent>) -> Received {
        if let Err(error) = self.framer.finish() {
            return Received::Ended(self.reject(error.into()));
        }
        let ended = std::mem::replace(&mut self.receive, ReceiveState::Finished);
        if self.is_server() {
            events.push(ConnectionEvent::HalfClosed { stream });
        } else if let ReceiveState::Messages(body) = ended {
            self.receive = ReceiveState::Trailers(body);
        }
        Received::Progress
    }

    /// Server side: checks whether the peer has cancelled the call, which shows as a reset of the sending side.
    fn receive_reset(&mut self, cx: &mut Context<'_>) -> Received {
        let is_server = self.is_server();
        let Some(send_stream) = self.send_stream.as_mut().filter(|_| is_server) else {
            return Received::Pending;
        };
        match send_stream.poll_reset(cx) {
            Poll::Ready(Ok(_)) => Received::Ended(Status::new(Code::Cancelled, "reset by the peer")),
            Poll::Ready(Err(error)) => Received::Ended(status_of(&error)),
            Poll::Pending => Received::Pending,
        }
    }

    /// Ends a call whose peer has violated the framing. A server sends the status; a client resets the stream.
    fn reject(&mut self, status: Status) -> Status {
        match (&mut self.send_stream, self.respond.is_some()) {
            (Some(send_stream), true) => drop(send_stream.send_trailers(status.trailers())),
            _ => self.reset(Reason::PROTOCOL_ERROR),
        }
        status
    }

    /// Sends as much as the peer's window allows; returns the status if the call has ended by it.
    pub fn poll_send(&mut self, cx: &mut Context<'_>, max_unsent_bytes: usize) -> Option<Status> {
        self.send_stream.as_ref()?;
        if let Err(error) = self.send_unsent(cx) {
            return Some(status_of(&error));
        }
        if self.unsent_bytes > max_unsent_bytes {
            self.reset(Reason::ENHANCE_YOUR_CALM);
            let message = format!("the peer has left more than {max_unsent_bytes} bytes unread");
            return Some(Status::new(Code::ResourceExhausted, message));
        }
        if !self.unsent.is_empty() {
            return None;
        }
        let status = self.finish.take()?;
        let is_server = self.is_server();
        let send_stream = self.send_stream.as_mut()?;
        if is_server {
            // If the peer has not finished sending, h2 resets the stream once the trailers are written.
            let _ = send_stream.send_trailers(status.trailers());
            return Some(status);
        }
        let _ = send_stream.send_data(Bytes::new(), true);
        None
    }

    fn send_unsent(&mut self, cx: &mut Context<'_>) -> Result<(), h2::Error> {
        let Some(send_stream) = &mut self.send_stream else { return Ok(()) };
        while let Some(front) = self.unsent.front_mut() {
            if front.is_empty() {
                self.unsent.pop_front();
                continue;
            }
            send_stream.reserve_capacity(front.len());
            if send_stream.capacity() == 0 {
                match send_stream.poll_capacity(cx) {
                    Poll::Ready(Some(Ok(_))) if send_stream.capacity() > 0 => {}
                    Poll::Ready(Some(Err(error))) => return Err(error),
                    _ => break,
                }
            }
            let piece = front.split_to(send_stream.capacity().min(front.len()));
            self.unsent_bytes -= piece.len();
            send_stream.send_data(piece, false)?;
        }
        Ok(())
    }
}

fn receive_trailers(cx: &mut Context<'_>, body: &mut RecvStream) -> Received {
    match body.poll_trailers(cx) {
        Poll::Pending => Received::Pending,
        Poll::Ready(Err(error)) => Received::Ended(status_of(&error)),
        Poll::Ready(Ok(trailers)) => {
            let status = trailers.as_ref().and_then(Status::from_headers);
            let missing = || Status::new(Code::Unknown, "the call ended without a grpc-status trailer");
            Received::Ended(status.unwrap_or_else(missing))
        }
    }
}

/// The status of a call that an HTTP/2 error has ended. gRPC over HTTP/2 defines the mapping of error codes.
pub(super) fn status_of(error: &h2::Error) -> Status {
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

/// Decodes the `grpc-timeout` header, in ns; `None` if it is missing or malformed.
fn grpc_timeout(headers: &HeaderMap) -> Option<Nanos> {
    let text = headers.get("grpc-timeout")?.to_str().ok()?;
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: Nanos = number.parse().ok()?;
    let nanos_per_unit = match unit {
        "H" => 3_600_000_000_000,
        "M" => 60_000_000_000,
        "S" => 1_000_000_000,
        "m" => 1_000_000,
        "u" => 1_000,
        "n" => 1,
        _ => return None,
    };
    Some(number.saturating_mul(nanos_per_unit))
}
