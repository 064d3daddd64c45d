//! Tests of the reactor and of sockets with real descriptors, and of timers.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use shalereel_reactor::{dial, now, Listener, Reactor, Socket, Timers, MILLI};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

#[test]
fn wait_ends_at_its_deadline_or_when_a_waker_is_called_or_the_peer_hangs_up() {
    let mut reactor = Reactor::new().unwrap();
    let (ours, theirs) = UnixStream::pair().unwrap();
    let token = reactor.add(&ours).unwrap();
    assert_eq!(reactor.wait(None).unwrap(), [token], "a new stream is writable");
    let before = now();
    assert!(reactor.wait(Some(before + MILLI)).unwrap().is_empty());
    assert!(now() >= before + MILLI);
    reactor.waker(token).wake_by_ref();
    assert_eq!(reactor.wait(None).unwrap(), [token]);
    drop(theirs);
    assert_eq!(reactor.wait(None).unwrap(), [token], "a hang-up is reported");
}

#[test]
fn timers_fire_in_order_and_can_be_cancelled() {
    let mut timers = Timers::default();
    timers.set(30, "late");
    let cancelled = timers.set(20, "cancelled");
    timers.set(10, "early");
    assert!(timers.cancel(cancelled) && !timers.cancel(cancelled));
    assert_eq!((timers.next_at(), timers.pop_due(9)), (Some(10), None));
    assert_eq!(
        (timers.pop_due(30), timers.pop_due(30), timers.pop_due(30)),
        (Some("early"), Some("late"), None)
    );
}

#[test]
fn addresses_outside_loopback_are_rejected() {
    for address in ["0.0.0.0:0", "192.0.2.1:80"] {
        let address = address.parse().unwrap();
        assert_eq!(Listener::bind(address).unwrap_err().kind(), io::ErrorKind::PermissionDenied);
        assert_eq!(dial(address).unwrap_err().kind(), io::ErrorKind::PermissionDenied);
    }
}

/// Guards against treating ENOTCONN from a socket that is still being connected as the end of its connection.
/// The system chooses the error until the socket is connected. To get ENOTCONN on Linux too, the test reads
/// from the socket before it starts to connect.
#[test]
fn read_from_a_socket_that_is_being_connected_is_pending() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None).unwrap();
    let stream = TcpStream::from(fd);
    let mut socket = Socket::connecting(stream.try_clone().unwrap()).unwrap();
    let mut cx = Context::from_waker(Waker::noop());
    let mut buffer = [0; 8];
    let read = |socket: &mut Socket, cx: &mut Context<'_>, buffer: &mut [u8; 8]| {
        Pin::new(socket).poll_read(cx, &mut ReadBuf::new(buffer)).map_err(|error| error.kind())
    };
    assert_eq!(read(&mut socket, &mut cx, &mut buffer), Poll::Pending);

    let mut reactor = Reactor::new().unwrap();
    let token = reactor.add(&socket).unwrap();
    let _ = net::connect(&stream, &listener.local_addr().unwrap());
    let mut peer = listener.accept().unwrap().0;
    while !matches!(Pin::new(&mut socket).poll_write(&mut cx, b"x"), Poll::Ready(Ok(1))) {
        assert_eq!(
            reactor.wait(Some(now() + 10_000 * MILLI)).unwrap(),
            [token],
            "the socket becomes ready once it is connected"
        );
    }
    peer.read_exact(&mut buffer[..1]).unwrap();
    peer.write_all(b"y").unwrap();
    peer.shutdown(std::net::Shutdown::Both).unwrap();
    let deadline = now() + 10_000 * MILLI;
    while read(&mut socket, &mut cx, &mut buffer) != Poll::Ready(Ok(())) {
        reactor.wait(Some(deadline)).unwrap();
        assert!(now() < deadline, "the byte from the peer is not received in time");
    }
    assert_eq!(buffer[0], b'y');
}
