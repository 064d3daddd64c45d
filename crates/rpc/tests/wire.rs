//! gRPC on real sockets: hand-assembled frames sent to the server, malformed input and floods, and the client with the server.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use shalereel_reactor::{now, Nanos, SECOND};
use shalereel_rpc::{Code, ConnectionLimits, Hub, Input, Status};

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_message_bytes: 1024,
    max_concurrent_calls: 8,
    max_unsent_bytes: 4096,
    max_held_bytes: usize::MAX,
    max_bytes_per_wait: usize::MAX,
    message_timeout: Nanos::MAX / 2,
    user_timeout: SECOND,
    retry_delay: SECOND / 20,
};
type Inputs = Vec<Input<(), ()>>;

fn hub() -> (Hub<(), ()>, std::net::SocketAddr) {
    let mut hub = Hub::new(LIMITS).unwrap();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), ()).unwrap();
    (hub, address)
}

/// Waits until `find` returns a result for an input, for at most 10 s.
fn wait_until<T>(
    hub: &mut Hub<(), ()>,
    mut find: impl FnMut(&mut Hub<(), ()>, &Input<(), ()>) -> Option<T>,
) -> T {
    let end = now() + 10 * SECOND;
    while now() < end {
        let inputs: Inputs = hub.wait(Some(now() + SECOND / 100)).unwrap();
        for input in &inputs {
            if let Some(found) = find(hub, input) {
                return found;
            }
        }
    }
    panic!("the expected input did not arrive within 10 s");
}

/// An HTTP/2 frame: 24-bit length, type, flags, 31-bit stream (RFC 9113, section 4.1).
fn http2_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    out.extend([kind, flags]);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// A header as a literal without indexing or Huffman coding (RFC 7541, section 6.2.2).
fn literal_header(name: &str, value: &str) -> Vec<u8> {
    let mut out = vec![0, name.len() as u8];
    out.extend(name.as_bytes());
    out.push(value.len() as u8);
    out.extend(value.as_bytes());
    out
}

fn preface() -> Vec<u8> {
    [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), http2_frame(4, 0, 0, &[])].concat()
}

fn request_headers(stream: u32) -> Vec<u8> {
    let headers = [
        literal_header(":method", "POST"),
        literal_header(":scheme", "http"),
        literal_header(":path", "/some.Service/Call"),
        literal_header(":authority", "x"),
        literal_header("content-type", "application/grpc"),
        literal_header("te", "trailers"),
        literal_header("grpc-timeout", "250m"),
    ];
    http2_frame(1, 4, stream, &headers.concat())
}

#[test]
fn hand_assembled_call_is_received_and_its_response_sent() {
    let (mut hub, address) = hub();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.set_nonblocking(true).unwrap();
    let data = http2_frame(0, 1, 1, &[0, 0, 0, 0, 2, b'h', b'i']);
    peer.write_all(&[preface(), request_headers(1), data].concat()).unwrap();
    let (conn, stream) = wait_until(&mut hub, |_, input| match input {
        Input::Call { conn, stream, path, timeout } => {
            assert_eq!((path.as_str(), *timeout), ("/some.Service/Call", Some(SECOND / 4)));
            Some((*conn, *stream))
        }
        _ => None,
    });
    hub.send(conn, stream, b"yes");
    hub.finish(conn, stream, Status::OK);
    let mut received = Vec::new();
    let end = now() + 10 * SECOND;
    let expected = http2_frame(0, 0, 1, &[0, 0, 0, 0, 3, b'y', b'e', b's']);
    // The status is in a header block (type 1) that ends the stream (flags 5) of the call (stream 1).
    let trailers =
        |received: &[u8]| received.windows(9).any(|head| head[3] == 1 && head[4] == 5 && head[8] == 1);
    while !(received.windows(expected.len()).any(|part| part == expected) && trailers(&received))
        && now() < end
    {
        hub.wait(Some(now() + SECOND / 100)).unwrap();
        let _ = peer.read_to_end(&mut received);
    }
    assert!(received.windows(expected.len()).any(|part| part == expected), "the framed message was not sent");
    assert!(trailers(&received));
}

#[test]
fn malformed_input_and_floods_end_only_their_own_connection() {
    let (mut hub, address) = hub();
    let healthy = hub.dial(address).unwrap();
    let call = hub.call(healthy, "/a/b", None).unwrap();
    let (conn, stream) = wait_until(&mut hub, |_, input| match input {
        Input::Call { conn, stream, .. } => Some((*conn, *stream)),
        _ => None,
    });
    let resets: Vec<u8> = (0..2000)
        .flat_map(|at| {
            [request_headers(2 * at + 1), http2_frame(3, 0, 2 * at + 1, &8_u32.to_be_bytes())].concat()
        })
        .collect();
    let oversized = [preface(), vec![0xff; 9], vec![0; 70000]].concat();
    let malformed: [Vec<u8>; 4] = [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        oversized,
        [preface(), resets].concat(),
        [preface(), http2_frame(4, 0, 0, &[0; 5])].concat(),
    ];
    for bytes in malformed {
        let mut peer = TcpStream::connect(address).unwrap();
        peer.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
        let _ = peer.write_all(&bytes);
        wait_until(&mut hub, |_, input| match input {
            Input::Closed { conn: closed, .. } => {
                assert!(*closed != conn && *closed != healthy);
                Some(())
            }
            _ => None,
        });
    }
    hub.send(conn, stream, b"still here");
    wait_until(&mut hub, |_, input| match input {
        Input::Message { stream, message, .. } if *stream == call => {
            assert_eq!(&message[..], b"still here");
            Some(())
        }
        _ => None,
    });
}

#[test]
fn message_over_the_limit_ends_its_call_with_a_status() {
    let (mut hub, address) = hub();
    let conn = hub.dial(address).unwrap();
    let (large, small) =
        (hub.call(conn, "/a/large", None).unwrap(), hub.call(conn, "/a/small", None).unwrap());
    hub.send(conn, large, &[0; 2000]);
    // The status code of the large call, and whether the small call got its own status.
    let mut results = (None, false);
    wait_until(&mut hub, |hub, input| {
        match input {
            Input::Ended { conn: ended_conn, stream, status } if *ended_conn == conn && *stream == large => {
                results.0 = Some(status.code);
            }
            Input::Call { conn, stream, path, .. } if path == "/a/small" => {
                hub.finish(*conn, *stream, Status::new(Code::NotFound, "not found"));
            }
            Input::Ended { conn: ended_conn, stream, status } if *ended_conn == conn && *stream == small => {
                results.1 = status.code == Code::NotFound;
            }
            _ => {}
        }
        (results == (Some(Code::ResourceExhausted), true)).then_some(())
    });
}

#[test]
fn call_ends_with_resource_exhausted_if_the_peer_does_not_read() {
    let (mut hub, address) = hub();
    let conn = hub.dial(address).unwrap();
    let call = hub.call(conn, "/a/b", None).unwrap();
    let (server_conn, stream) = wait_until(&mut hub, |_, input| match input {
        Input::Call { conn, stream, .. } => Some((*conn, *stream)),
        _ => None,
    });
    hub.set_paused(conn, true);
    // More bytes than the HTTP/2 windows and the limit of unsent bytes together.
    (0..4000).for_each(|_| hub.send(server_conn, stream, &[0; 1000]));
    let status = wait_until(&mut hub, |_, input| match input {
        Input::Ended { conn, status, .. } if *conn == server_conn => Some(status.clone()),
        _ => None,
    });
    assert_eq!(status.code, Code::ResourceExhausted);
    hub.set_paused(conn, false);
    let status = wait_until(&mut hub, |_, input| match input {
        Input::Ended { conn: ended_conn, stream, status } if *ended_conn == conn && *stream == call => {
            Some(status.clone())
        }
        _ => None,
    });
    assert_ne!(status, Status::OK);
}
