use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use shalereel_reactor::{
    dial, dial_any_address, is_transient, now, reload_signals, stop_signals, Listener, Nanos, Reactor,
    Socket, TimerId, Timers, Token,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::conn::{Bounds, Came, Conn, StreamId};
use crate::Status;

/// One connection of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(Token);

/// What one turn of the loop brought. `L` names listeners, `K` timers.
#[derive(Debug)]
pub enum Input<L, K> {
    Opened {
        conn: ConnId,
        at: L,
    },
    Call {
        conn: ConnId,
        stream: StreamId,
        path: String,
        timeout: Option<Nanos>,
    },
    Message {
        conn: ConnId,
        stream: StreamId,
        message: Bytes,
    },
    HalfClosed {
        conn: ConnId,
        stream: StreamId,
    },
    Ended {
        conn: ConnId,
        stream: StreamId,
        status: Status,
    },
    Closed {
        conn: ConnId,
        why: String,
    },
    /// On a plain connection, in pieces of any size.
    Bytes {
        conn: ConnId,
        bytes: Bytes,
    },
    Due(K),
    /// One line of standard input, without its end.
    Line(String),
    /// Standard input is over.
    NoMoreLines,
    /// Another thread has something for this one.
    Nudged,
    /// SIGHUP.
    Reload,
    Stop,
}

/// What is spoken on a connection.
enum Speech {
    Calls(Box<Conn>),
    /// Bytes of a protocol of its own.
    Plain(Plain),
}

/// What waits to be written is shared where many are told the same.
struct Plain {
    socket: Socket,
    out: VecDeque<Bytes>,
    /// The peer has ended its side in order.
    half_closed: bool,
    /// The kernel refused a read or a write for a moment.
    refused: bool,
}

impl Plain {
    fn new(socket: Socket) -> Self {
        Plain { socket, out: VecDeque::new(), half_closed: false, refused: false }
    }

    fn waiting(&self) -> usize {
        self.out.iter().map(Bytes::len).sum()
    }

    /// Writes as much as is taken.
    fn write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while let Some(first) = self.out.front_mut() {
            match Pin::new(&mut self.socket).poll_write(cx, first) {
                Poll::Ready(Ok(count)) => first.advance(count),
                Poll::Ready(Err(error)) if is_transient(&error) => {
                    self.refused = true;
                    break;
                }
                Poll::Ready(Err(error)) => return Err(error),
                Poll::Pending => break,
            }
            if first.is_empty() {
                self.out.pop_front();
            }
        }
        if self.out.is_empty() {
            self.out = VecDeque::new();
        }
        Ok(())
    }

    /// Reads what there is and writes what is taken; ready once the connection is over.
    fn poll(&mut self, cx: &mut Context<'_>, came: &mut Vec<Bytes>, most: usize) -> Poll<String> {
        let written = self.write(cx);
        if let Err(error) = written {
            return Poll::Ready(error.to_string());
        }
        let waiting = self.waiting();
        if waiting > most {
            // It has left that much unread: nothing of it may linger in the kernel.
            let _ = self.socket.reset_at_close();
            return Poll::Ready(format!("{waiting} bytes wait unread"));
        }
        loop {
            let mut piece = [0; 16 * 1024];
            let mut buffer = ReadBuf::new(&mut piece);
            match Pin::new(&mut self.socket).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => {
                    self.half_closed = true;
                    return Poll::Ready("closed by the peer".into());
                }
                Poll::Ready(Ok(())) => came.push(Bytes::copy_from_slice(buffer.filled())),
                Poll::Ready(Err(error)) if is_transient(&error) => {
                    self.refused = true;
                    return Poll::Pending;
                }
                Poll::Ready(Err(error)) => return Poll::Ready(error.to_string()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

struct Held {
    speech: Speech,
    /// Another handle where the protocol's own code owns the socket. Plain ones do with one descriptor.
    handle: Option<Socket>,
    paused: bool,
}

/// What is to be tried again, and when.
#[derive(Default)]
struct Retries {
    at: Option<Nanos>,
    conns: BTreeSet<ConnId>,
    listeners: BTreeSet<Token>,
}

impl Retries {
    fn schedule(&mut self, after: Nanos) {
        self.at.get_or_insert_with(|| now() + after);
    }
}

/// All sockets and timers of a process, and the one loop that waits on them.
pub struct Hub<L, K> {
    reactor: Reactor,
    timers: Timers<K>,
    listeners: BTreeMap<Token, Door<L>>,
    conns: BTreeMap<ConnId, Held>,
    /// To be polled before the next wait: something was put into them.
    touched: BTreeSet<ConnId>,
    /// Plain ones whose peer has ended its side: they are held until what was read from them is answered.
    half_closed: BTreeSet<ConnId>,
    ready: VecDeque<Input<L, K>>,
    signals: Option<(Token, UnixStream)>,
    reloads: Option<(Token, UnixStream)>,
    /// Nobody is accepted while so many connections stand.
    most: usize,
    lines: Option<(Token, io::Stdin, Vec<u8>)>,
    nudges: Option<(Token, UnixStream)>,
    bounds: Bounds,
    retries: Retries,
}

struct Door<L> {
    listener: Listener,
    name: L,
    paused: bool,
    plain: bool,
    /// Someone may wait whom there was no room for, and no readiness will tell of them again: they are accepted
    /// once fewer connections than this stand.
    starved: Option<usize>,
    /// The last try to accept failed, and that was logged.
    failing: bool,
}

/// Empties a pipe that wakes the loop; did it hold anything? An interrupted read is made again: no further
/// readiness tells of what it left.
fn holds_bytes(pipe: &mut UnixStream) -> bool {
    let mut some = false;
    loop {
        match pipe.read(&mut [0; 64]) {
            Ok(0) => return some,
            Ok(_) => some = true,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return some,
        }
    }
}

impl<L: Clone, K> Hub<L, K> {
    /// Errors: what `epoll` gives.
    pub fn new(bounds: Bounds) -> io::Result<Self> {
        Ok(Hub {
            reactor: Reactor::new()?,
            timers: Timers::default(),
            listeners: BTreeMap::new(),
            conns: BTreeMap::new(),
            touched: BTreeSet::new(),
            half_closed: BTreeSet::new(),
            ready: VecDeque::new(),
            signals: None,
            reloads: None,
            most: usize::MAX,
            lines: None,
            nudges: None,
            bounds,
            retries: Retries::default(),
        })
    }

    /// SIGTERM and SIGINT come as [`Input::Stop`].
    pub fn stop_on_signals(&mut self) -> io::Result<()> {
        self.stop_on(stop_signals()?)
    }

    /// The same with handlers that stand already: a signal that came since is told.
    pub fn stop_on(&mut self, signals: UnixStream) -> io::Result<()> {
        self.signals = Some((self.reactor.add(&signals)?, signals));
        Ok(())
    }

    /// SIGHUP comes as [`Input::Reload`].
    pub fn reload_on_signal(&mut self) -> io::Result<()> {
        self.reload_on(reload_signals()?)
    }

    /// See [`Hub::stop_on`].
    pub fn reload_on(&mut self, signals: UnixStream) -> io::Result<()> {
        self.reloads = Some((self.reactor.add(&signals)?, signals));
        Ok(())
    }

    /// While so many connections stand, nobody is accepted: the kernel keeps them waiting, and descriptors are
    /// left for what is dialled.
    pub fn hold_at_most(&mut self, most: usize) {
        self.most = most;
    }

    /// For another thread: whatever is written there comes as [`Input::Nudged`].
    pub fn nudges(&mut self) -> io::Result<UnixStream> {
        let (ours, theirs) = UnixStream::pair()?;
        ours.set_nonblocking(true)?;
        theirs.set_nonblocking(true)?;
        self.nudges = Some((self.reactor.add(&ours)?, ours));
        Ok(theirs)
    }

    /// Standard input comes as lines.
    pub fn read_lines(&mut self) -> io::Result<()> {
        let input = io::stdin();
        let flags = rustix::fs::fcntl_getfl(&input)?;
        rustix::fs::fcntl_setfl(&input, flags | rustix::fs::OFlags::NONBLOCK)?;
        self.lines = Some((self.reactor.add(&input)?, input, Vec::new()));
        Ok(())
    }

    /// Serves an address on loopback; gives the one that it has, port included.
    pub fn listen(&mut self, address: SocketAddr, name: L) -> io::Result<(Token, SocketAddr)> {
        self.open(Listener::bind(address)?, name, false)
    }

    /// The same for a protocol of its own: what comes is [`Input::Bytes`].
    pub fn listen_plain(&mut self, address: SocketAddr, name: L) -> io::Result<(Token, SocketAddr)> {
        self.open(Listener::bind(address)?, name, true)
    }

    /// The same at an address that a platform has given, wherever it is.
    pub fn listen_given(&mut self, address: SocketAddr, name: L) -> io::Result<(Token, SocketAddr)> {
        self.open(Listener::bind_any_address(address)?, name, true)
    }

    fn open(&mut self, listener: Listener, name: L, plain: bool) -> io::Result<(Token, SocketAddr)> {
        let (token, address) = (self.reactor.add(&listener)?, listener.address()?);
        self.listeners
            .insert(token, Door { listener, name, paused: false, plain, starved: None, failing: false });
        Ok((token, address))
    }

    /// Serves it no more; connections made stay.
    pub fn unlisten(&mut self, listener: Token) {
        self.listeners.remove(&listener);
    }

    /// While paused, nobody is accepted: the kernel keeps them waiting.
    pub fn pause_listener(&mut self, listener: Token, paused: bool) {
        if let Some(held) = self.listeners.get_mut(&listener) {
            held.paused = paused;
            if !paused {
                self.accept(listener);
            }
        }
    }

    /// Starts a connection. Errors: no descriptor, or not loopback; a refusal comes as [`Input::Closed`].
    pub fn dial(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let socket = dial(address)?;
        self.hold(socket, true, |socket, bounds| Speech::Calls(Box::new(Conn::client(socket, bounds))))
    }

    /// The same for a protocol of its own.
    pub fn dial_plain(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let socket = dial(address)?;
        self.hold(socket, false, |socket, _| Speech::Plain(Plain::new(socket)))
    }

    /// The same to an address that a platform has given, wherever it is.
    pub fn dial_given(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let socket = dial_any_address(address)?;
        self.hold(socket, false, |socket, _| Speech::Plain(Plain::new(socket)))
    }

    fn hold(
        &mut self,
        socket: Socket,
        calls: bool,
        make: fn(Socket, Bounds) -> Speech,
    ) -> io::Result<ConnId> {
        socket.set_user_timeout(Duration::from_nanos(self.bounds.silence))?;
        let id = ConnId(self.reactor.add(&socket)?);
        let handle = if calls { Some(socket.try_clone()?) } else { None };
        self.conns.insert(id, Held { speech: make(socket, self.bounds), handle, paused: false });
        self.touched.insert(id);
        Ok(id)
    }

    fn touch(&mut self, conn: ConnId) -> Option<&mut Conn> {
        match &mut self.conns.get_mut(&conn)?.speech {
            Speech::Calls(calls) => {
                self.touched.insert(conn);
                Some(calls)
            }
            Speech::Plain(_) => None,
        }
    }

    /// Puts bytes on a plain connection; nothing happens where it is gone.
    pub fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(Speech::Plain(plain)) = self.conns.get_mut(&conn).map(|held| &mut held.speech) {
            plain.out.push_back(Bytes::copy_from_slice(bytes));
            self.touched.insert(conn);
        }
    }

    /// The same with bytes that others may be told too.
    pub fn write_shared(&mut self, conn: ConnId, bytes: Bytes) {
        if let Some(Speech::Plain(plain)) = self.conns.get_mut(&conn).map(|held| &mut held.speech) {
            plain.out.push_back(bytes);
            self.touched.insert(conn);
        }
    }

    /// Bytes of a plain connection that the peer did not take yet.
    pub fn unwritten(&self, conn: ConnId) -> usize {
        match self.conns.get(&conn).map(|held| &held.speech) {
            Some(Speech::Plain(plain)) => plain.waiting(),
            _ => 0,
        }
    }

    /// See [`Conn::call`]; nothing where the connection is gone.
    pub fn call(&mut self, conn: ConnId, path: &str, timeout: Option<Nanos>) -> Option<StreamId> {
        self.touch(conn).map(|conn| conn.call(path, timeout))
    }

    pub fn send(&mut self, conn: ConnId, stream: StreamId, message: &[u8]) {
        if let Some(conn) = self.touch(conn) {
            conn.send(stream, message);
        }
    }

    /// See [`Conn::send_framed`].
    pub fn send_framed(&mut self, conn: ConnId, stream: StreamId, framed: Bytes) {
        if let Some(conn) = self.touch(conn) {
            conn.send_framed(stream, framed);
        }
    }

    pub fn finish(&mut self, conn: ConnId, stream: StreamId, status: Status) {
        if let Some(conn) = self.touch(conn) {
            conn.finish(stream, status);
        }
    }

    pub fn cancel(&mut self, conn: ConnId, stream: StreamId) {
        if let Some(conn) = self.touch(conn) {
            conn.cancel(stream);
        }
    }

    pub fn unread(&self, conn: ConnId, stream: StreamId) -> usize {
        match self.conns.get(&conn).map(|held| &held.speech) {
            Some(Speech::Calls(calls)) => calls.unread(stream),
            _ => 0,
        }
    }

    /// Closes at once, with a reset where `abrupt`; no [`Input::Closed`] follows.
    pub fn close(&mut self, conn: ConnId, abrupt: bool) {
        let Some(mut held) = self.conns.remove(&conn) else { return };
        let socket = match (&mut held.speech, &held.handle) {
            (Speech::Plain(plain), _) => {
                // A last word goes as far as the kernel takes it.
                if !abrupt {
                    let _ = plain.write(&mut Context::from_waker(&self.reactor.waker(conn.0)));
                }
                &plain.socket
            }
            (Speech::Calls(_), Some(handle)) => handle,
            (Speech::Calls(_), None) => return,
        };
        let _ = if abrupt { socket.reset_at_close() } else { socket.shutdown() };
    }

    /// Writes what the kernel takes of what waits on plain connections, before a process ends.
    pub fn flush(&mut self) {
        for conn in std::mem::take(&mut self.touched) {
            let waker = self.reactor.waker(conn.0);
            if let Some(Speech::Plain(plain)) = self.conns.get_mut(&conn).map(|held| &mut held.speech) {
                // Who is gone needs no answer.
                let _ = plain.write(&mut Context::from_waker(&waker));
            }
        }
    }

    /// While paused, nothing is read from it nor written to it.
    pub fn pause(&mut self, conn: ConnId, paused: bool) {
        if let Some(held) = self.conns.get_mut(&conn) {
            held.paused = paused;
            self.touched.insert(conn);
        }
    }

    pub fn set(&mut self, at: Nanos, key: K) -> TimerId {
        self.timers.set(at, key)
    }

    pub fn unset(&mut self, timer: TimerId) {
        self.timers.cancel(timer);
    }

    /// Waits for the next turn and gives all that it brought, at least one thing unless `until` came first.
    pub fn wait(&mut self, until: Option<Nanos>) -> io::Result<Vec<Input<L, K>>> {
        loop {
            for conn in std::mem::take(&mut self.half_closed) {
                self.close(conn, false);
            }
            for conn in std::mem::take(&mut self.touched) {
                self.poll(conn);
            }
            self.accept_starved();
            self.retry();
            let time = now();
            while let Some(key) = self.timers.pop_due(time) {
                self.ready.push_back(Input::Due(key));
            }
            let idle = self.ready.is_empty();
            let next = self.timers.next_at().into_iter().chain(until).chain(self.retries.at).min();
            for token in self.reactor.wait(if idle { next } else { Some(0) })? {
                self.woken(token)?;
            }
            if !self.ready.is_empty() || until.is_some_and(|until| now() >= until) {
                return Ok(self.ready.drain(..).collect());
            }
        }
    }

    fn woken(&mut self, token: Token) -> io::Result<()> {
        if self.conns.contains_key(&ConnId(token)) {
            self.poll(ConnId(token));
        } else if self.listeners.contains_key(&token) {
            self.accept(token);
        } else if let Some((signal, stream)) = &mut self.signals {
            if *signal == token && holds_bytes(stream) {
                self.ready.push_back(Input::Stop);
            }
        }
        if let Some((_, stream)) = self.reloads.as_mut().filter(|(signal, _)| *signal == token) {
            self.ready.extend(holds_bytes(stream).then_some(Input::Reload));
        }
        if let Some((_, stream)) = self.nudges.as_mut().filter(|(nudged, _)| *nudged == token) {
            self.ready.extend(holds_bytes(stream).then_some(Input::Nudged));
        }
        self.take_lines(token);
        Ok(())
    }

    fn take_lines(&mut self, token: Token) {
        let Some((lines, input, held)) = &mut self.lines else { return };
        if *lines != token {
            return;
        }
        let mut piece = [0; 65536];
        let mut over = false;
        loop {
            match rustix::io::read(input.as_fd(), &mut piece) {
                Ok(0) => over = true,
                Ok(count) => {
                    held.extend_from_slice(&piece[..count]);
                    continue;
                }
                Err(_) => {}
            }
            break;
        }
        while let Some(end) = held.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = held.drain(..=end).collect();
            self.ready.push_back(Input::Line(String::from_utf8_lossy(&line[..end]).into_owned()));
        }
        if over {
            self.lines = None;
            self.ready.push_back(Input::NoMoreLines);
        }
    }

    /// Those who waited for room are accepted once there is some; without any, nothing is tried.
    fn accept_starved(&mut self) {
        let count = self.conns.len();
        let room = |door: &Door<L>| door.starved.is_some_and(|most| count < most);
        let starved: Vec<Token> =
            self.listeners.iter().filter(|(_, door)| room(door)).map(|(&token, _)| token).collect();
        for token in starved {
            self.accept(token);
        }
    }

    /// Tries again what the kernel refused for a moment, once it is due.
    fn retry(&mut self) {
        if self.retries.at.is_none_or(|at| at > now()) {
            return;
        }
        let Retries { conns, listeners, .. } = std::mem::take(&mut self.retries);
        for listener in listeners {
            self.accept(listener);
        }
        for conn in conns {
            self.poll(conn);
        }
    }

    fn accept(&mut self, token: Token) {
        while let Some(door @ Door { paused: false, .. }) = self.listeners.get_mut(&token) {
            door.starved = (self.conns.len() >= self.most).then_some(self.most);
            if door.starved.is_some() {
                return;
            }
            let (name, plain) = (door.name.clone(), door.plain);
            match door.listener.accept() {
                Ok(Some(socket)) => {
                    door.failing = false;
                    let held = if plain {
                        self.hold(socket, false, |socket, _| Speech::Plain(Plain::new(socket)))
                    } else {
                        self.hold(socket, true, |socket, bounds| {
                            Speech::Calls(Box::new(Conn::server(socket, bounds)))
                        })
                    };
                    if let Ok(conn) = held {
                        self.ready.push_back(Input::Opened { conn, at: name });
                    }
                }
                Ok(None) => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    // The rest waits in the kernel. It goes on when a connection has ended, or by itself: a lack of
                    // descriptors or of memory may be the whole machine's, and pass while all of ours stand.
                    door.starved = Some(self.conns.len().max(1));
                    if !std::mem::replace(&mut door.failing, true) {
                        tracing::warn!(%error, "a connection could not be accepted; it is tried again");
                    }
                    self.retries.listeners.insert(token);
                    return self.retries.schedule(self.bounds.retry);
                }
            }
        }
    }

    fn poll(&mut self, id: ConnId) {
        let Some(held) = self.conns.get_mut(&id) else { return };
        if held.paused {
            return;
        }
        let waker = self.reactor.waker(id.0);
        let mut cx = Context::from_waker(&waker);
        let over = match &mut held.speech {
            Speech::Calls(calls) => {
                let mut came = Vec::new();
                let over = calls.poll(&mut cx, &mut came);
                self.ready.extend(came.into_iter().map(|came| match came {
                    Came::Call { stream, path, timeout } => Input::Call { conn: id, stream, path, timeout },
                    Came::Message { stream, message } => Input::Message { conn: id, stream, message },
                    Came::HalfClosed { stream } => Input::HalfClosed { conn: id, stream },
                    Came::Ended { stream, status } => Input::Ended { conn: id, stream, status },
                }));
                over
            }
            Speech::Plain(plain) => {
                let mut came = Vec::new();
                let over = plain.poll(&mut cx, &mut came, self.bounds.unread);
                self.ready.extend(came.into_iter().map(|bytes| Input::Bytes { conn: id, bytes }));
                if std::mem::take(&mut plain.refused) {
                    self.retries.conns.insert(id);
                    self.retries.schedule(self.bounds.retry);
                }
                over
            }
        };
        let Poll::Ready(why) = over else { return };
        match self.conns.get(&id).map(|held| &held.speech) {
            Some(Speech::Plain(plain)) if plain.half_closed => {
                if !self.half_closed.insert(id) {
                    return;
                }
            }
            _ => drop(self.conns.remove(&id)),
        }
        self.ready.push_back(Input::Closed { conn: id, why });
    }
}
