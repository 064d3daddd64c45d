//! Readiness, timers and sockets, on real descriptors.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use shalereel_reactor::{dial, now, Listener, Reactor, Socket, Timers, MILLI};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

#[test]
fn waker_time_and_hang_up_end_the_wait() {
    let mut reactor = Reactor::new().unwrap();
    let (ours, theirs) = UnixStream::pair().unwrap();
    let token = reactor.add(&ours).unwrap();
    assert_eq!(reactor.wait(None).unwrap(), [token], "writable from the start");
    let before = now();
    assert!(reactor.wait(Some(before + MILLI)).unwrap().is_empty());
    assert!(now() >= before + MILLI);
    reactor.waker(token).wake_by_ref();
    assert_eq!(reactor.wait(None).unwrap(), [token]);
    drop(theirs);
    assert_eq!(reactor.wait(None).unwrap(), [token], "a hang-up is reported");
}

#[test]
fn timers_come_in_order_and_can_be_cancelled() {
    let mut timers = Timers::default();
    timers.set(30, "late");
    let middle = timers.set(20, "never");
    timers.set(10, "early");
    assert!(timers.cancel(middle) && !timers.cancel(middle));
    assert_eq!((timers.next_at(), timers.pop_due(9)), (Some(10), None));
    assert_eq!(
        (timers.pop_due(30), timers.pop_due(30), timers.pop_due(30)),
        (Some("early"), Some("late"), None)
    );
}

#[test]
fn only_loopback_is_listened_on_and_dialled() {
    for address in ["0.0.0.0:0", "192.0.2.1:80"] {
        let address = address.parse().unwrap();
        assert_eq!(Listener::bind(address).unwrap_err().kind(), io::ErrorKind::PermissionDenied);
        assert_eq!(dial(address).unwrap_err().kind(), io::ErrorKind::PermissionDenied);
    }
}

/// Guards against taking ENOTCONN of a connection that is being made for its end. Which error a socket gives
/// before that is the system's choice; one that was never connected gives ENOTCONN on Linux too, so the order
/// is forced here.
#[test]
fn socket_that_is_being_connected_has_not_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None).unwrap();
    let stream = TcpStream::from(fd);
    let mut socket = Socket::connecting(stream.try_clone().unwrap()).unwrap();
    let mut cx = Context::from_waker(Waker::noop());
    let mut piece = [0; 8];
    let read = |socket: &mut Socket, cx: &mut Context<'_>, piece: &mut [u8; 8]| {
        Pin::new(socket).poll_read(cx, &mut ReadBuf::new(piece)).map_err(|error| error.kind())
    };
    assert_eq!(read(&mut socket, &mut cx, &mut piece), Poll::Pending);

    let mut reactor = Reactor::new().unwrap();
    let token = reactor.add(&socket).unwrap();
    let _ = net::connect(&stream, &listener.local_addr().unwrap());
    let mut peer = listener.accept().unwrap().0;
    while !matches!(Pin::new(&mut socket).poll_write(&mut cx, b"x"), Poll::Ready(Ok(1))) {
        assert_eq!(reactor.wait(Some(now() + 10_000 * MILLI)).unwrap(), [token], "readiness follows");
    }
    peer.read_exact(&mut piece[..1]).unwrap();
    peer.write_all(b"y").unwrap();
    peer.shutdown(std::net::Shutdown::Both).unwrap();
    let deadline = now() + 10_000 * MILLI;
    while read(&mut socket, &mut cx, &mut piece) != Poll::Ready(Ok(())) {
        reactor.wait(Some(deadline)).unwrap();
        assert!(now() < deadline, "what the peer wrote");
    }
    assert_eq!(piece[0], b'y');
}
