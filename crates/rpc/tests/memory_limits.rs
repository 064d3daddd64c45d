//! Limits on what peers make the process hold: incomplete messages, unread bytes, and received bytes of many connections.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use shalereel_reactor::{now, Nanos, SECOND};
use shalereel_rpc::{frame, CloseReason, ConnId, ConnectionLimits, Hub, Input, Status, StreamId};

const MAX_MESSAGE_BYTES: usize = 64 << 10;
const MAX_HELD_BYTES: usize = 256 << 10;
/// A message of maximum size without its end.
const INCOMPLETE_BYTES: usize = MAX_MESSAGE_BYTES - 1;

type TestHub = Hub<(), ()>;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_message_bytes: MAX_MESSAGE_BYTES,
    max_concurrent_calls: 8,
    max_unsent_bytes: 1 << 20,
    max_held_bytes: MAX_HELD_BYTES,
    max_bytes_per_wait: 1 << 20,
    message_timeout: 60 * SECOND,
    user_timeout: SECOND,
    retry_delay: SECOND / 20,
};

/// A server and its clients, each with a hub of its own.
struct Peers {
    server: TestHub,
    client: TestHub,
    address: SocketAddr,
    /// Connections that the server has ended, with the reason.
    ended: Vec<(ConnId, String)>,
    answered: Vec<(ConnId, StreamId)>,
}

impl Peers {
    fn new(limits: ConnectionLimits) -> Self {
        let mut server: TestHub = Hub::new(limits).unwrap();
        let (_, address) = server.listen("127.0.0.1:0".parse().unwrap(), ()).unwrap();
        let unlimited = ConnectionLimits { max_held_bytes: usize::MAX, ..limits };
        let client = Hub::new(unlimited).unwrap();
        Peers { server, client, address, ended: Vec::new(), answered: Vec::new() }
    }

    /// Makes a call that sends these bytes.
    fn call(&mut self, framed: Bytes) -> (ConnId, StreamId) {
        let conn = self.client.dial(self.address).unwrap();
        let stream = self.client.call(conn, "/a.Service/Call", None).unwrap();
        self.client.send_framed(conn, stream, framed);
        (conn, stream)
    }

    /// Runs both sides for a time. The server answers each message with OK.
    fn run_for(&mut self, span: Nanos) {
        let end = now() + span;
        while now() < end {
            for input in self.server.wait(Some(now() + SECOND / 200)).unwrap() {
                match input {
                    Input::Message { conn, stream, .. } => self.server.finish(conn, stream, Status::OK),
                    Input::Closed { conn, reason } => self.ended.push((conn, reason.to_string())),
                    _ => {}
                }
            }
            for input in self.client.wait(Some(now() + SECOND / 200)).unwrap() {
                if let Input::Ended { conn, stream, status } = input {
                    if status == Status::OK {
                        self.answered.push((conn, stream));
                    }
                }
            }
        }
    }
}

fn incomplete_message() -> Bytes {
    frame(&[0; MAX_MESSAGE_BYTES]).slice(..INCOMPLETE_BYTES)
}

/// Guards against clients that stop within large messages and together exhaust the memory of the process.
#[test]
fn incomplete_messages_of_all_connections_stay_within_the_budget() {
    let mut peers = Peers::new(LIMITS);
    for _ in 0..8 {
        peers.call(incomplete_message());
    }
    peers.run_for(SECOND / 2);
    let held = CloseReason::HeldBytes(0).to_string().trim_start_matches('0').to_owned();
    assert!(peers.ended.iter().all(|(_, reason)| reason.ends_with(&held)), "{:?}", peers.ended);
    let kept = 8 - peers.ended.len();
    assert!(kept * INCOMPLETE_BYTES <= MAX_HELD_BYTES, "{kept} kept");
    assert!(kept > 0, "clients are disconnected although the others fit");
    let small = peers.call(frame(b"small"));
    peers.run_for(SECOND / 2);
    assert_eq!(peers.answered, [small], "a client with a complete message is served");
}

/// Guards against a client that never ends its message and holds its memory as long as it likes.
#[test]
fn message_that_does_not_end_in_time_ends_its_connection() {
    let mut peers = Peers::new(ConnectionLimits { message_timeout: SECOND / 2, ..LIMITS });
    peers.call(incomplete_message());
    peers.run_for(SECOND / 4);
    assert_eq!(peers.ended.len(), 0);
    peers.run_for(SECOND / 2);
    let reasons: Vec<&String> = peers.ended.iter().map(|(_, reason)| reason).collect();
    assert_eq!(reasons, [&CloseReason::MessageTimeout.to_string()]);
}

/// Guards against clients that read no answers and together exhaust the memory of the process.
#[test]
fn unread_bytes_of_all_connections_stay_within_the_budget() {
    let mut server: TestHub = Hub::new(LIMITS).unwrap();
    let (_, address) = server.listen_plain("127.0.0.1:0".parse().unwrap(), ()).unwrap();
    let clients: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut open = Vec::new();
    let end = now() + SECOND;
    while now() < end {
        for input in server.wait(Some(now() + SECOND / 100)).unwrap() {
            match input {
                Input::Opened { conn, .. } => open.push(conn),
                Input::Closed { conn, .. } => open.retain(|&kept| kept != conn),
                _ => {}
            }
        }
        // The kernel takes some megabytes for each connection before bytes are held here.
        for &conn in &open {
            if server.unsent_plain_bytes(conn) < 100 << 10 {
                server.write(conn, &[0; 64 << 10]);
            }
        }
    }
    let held: usize = open.iter().map(|&conn| server.unsent_plain_bytes(conn)).sum();
    assert!(held <= MAX_HELD_BYTES + open.len() * (64 << 10), "{held}");
    assert!(open.len() < clients.len(), "no connection was ended");
}

/// Guards against holding what many clients have sent at the same time before any of it is handled.
#[test]
fn one_wait_returns_no_more_than_a_bounded_number_of_received_bytes() {
    let max_bytes_per_wait = 128 << 10;
    let mut server: TestHub = Hub::new(ConnectionLimits { max_bytes_per_wait, ..LIMITS }).unwrap();
    let (_, address) = server.listen_plain("127.0.0.1:0".parse().unwrap(), ()).unwrap();
    let sent_each = 256 << 10;
    let mut clients: Vec<TcpStream> = (0..16).map(|_| TcpStream::connect(address).unwrap()).collect();
    for client in &mut clients {
        client.set_write_timeout(Some(Duration::from_secs(5))).unwrap();
        client.write_all(&vec![0; sent_each]).unwrap();
    }
    let (mut received, mut most) = (0, 0);
    let end = now() + 10 * SECOND;
    while received < clients.len() * sent_each && now() < end {
        let inputs = server.wait(Some(now() + SECOND / 10)).unwrap();
        let bytes = inputs.iter().map(|input| match input {
            Input::Bytes { bytes, .. } => bytes.len(),
            _ => 0,
        });
        let bytes: usize = bytes.sum();
        received += bytes;
        most = most.max(bytes);
    }
    assert_eq!(received, clients.len() * sent_each, "all is received in the end");
    assert!(most <= 2 * max_bytes_per_wait, "{most} bytes in one wait");
}
