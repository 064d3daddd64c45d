//! All sockets and timers of a process, and the one loop that waits on them.

mod connections;
mod listeners;
mod plain;
mod sources;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;

use bytes::Bytes;
use shalereel_reactor::{now, Nanos, Reactor, TimerId, Timers, Token};

use crate::connection::{CloseReason, ConnectionLimits, StreamId};
use crate::Status;
use connections::OpenConnection;
use listeners::ListenerState;
use sources::{StandardInput, WakeStream};

/// Identifies one connection of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(Token);

/// What one turn of the loop has brought. `L` names listeners, `K` timers.
#[derive(Debug)]
pub enum Input<L, K> {
    /// A peer has connected.
    Opened {
        /// Its connection.
        conn: ConnId,
        /// The listener that it has connected to.
        at: L,
    },
    /// The peer makes a call.
    Call {
        /// The connection.
        conn: ConnId,
        /// The call.
        stream: StreamId,
        /// Path of the method; empty where the request is not gRPC.
        path: String,
        /// How long the peer waits for the end of the call, where it says so.
        timeout: Option<Nanos>,
    },
    /// A message of a call.
    Message {
        /// The connection.
        conn: ConnId,
        /// The call.
        stream: StreamId,
        /// The message, without its prefix.
        message: Bytes,
    },
    /// The peer, which has made the call, sends no more messages.
    HalfClosed {
        /// The connection.
        conn: ConnId,
        /// The call.
        stream: StreamId,
    },
    /// A call has ended.
    Ended {
        /// The connection.
        conn: ConnId,
        /// The call.
        stream: StreamId,
        /// How.
        status: Status,
    },
    /// A connection has ended, not by [`Hub::close`] or [`Hub::reset`].
    Closed {
        /// The connection.
        conn: ConnId,
        /// Why.
        reason: CloseReason,
    },
    /// Bytes on a plain connection, in pieces of any size.
    Bytes {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The time of a timer has come.
    Timer(K),
    /// One line of standard input, without its end.
    Line(String),
    /// Standard input has ended.
    EndOfLines,
    /// Another thread has written to [`Hub::wake_stream`].
    Woken,
    /// SIGHUP.
    Reload,
    /// SIGTERM or SIGINT.
    Stop,
}

/// What the kernel has refused for lack of resources, and when it is tried again.
#[derive(Default)]
struct Retries {
    due_at: Option<Nanos>,
    connections: BTreeSet<ConnId>,
    listeners: BTreeSet<Token>,
}

impl Retries {
    fn schedule(&mut self, delay: Nanos) {
        self.due_at.get_or_insert_with(|| now() + delay);
    }
}

/// All sockets and timers of a process, and the loop that waits on them. `L` names listeners, `K` timers.
pub struct Hub<L, K> {
    reactor: Reactor,
    limits: ConnectionLimits,
    timers: Timers<K>,
    listeners: BTreeMap<Token, ListenerState<L>>,
    /// Nobody is accepted while so many connections are open.
    max_connections: usize,
    connections: BTreeMap<ConnId, OpenConnection>,
    /// To be polled before the next wait: something was put into them.
    touched: BTreeSet<ConnId>,
    /// Plain connections that the peer has half closed: open until what was read from them is answered.
    half_closed_connections: BTreeSet<ConnId>,
    retries: Retries,
    stop_signals: Option<WakeStream>,
    reload_signals: Option<WakeStream>,
    wake_stream: Option<WakeStream>,
    standard_input: Option<StandardInput>,
    ready: VecDeque<Input<L, K>>,
}

impl<L: Clone, K> Hub<L, K> {
    /// A hub without sockets.
    ///
    /// # Errors
    /// Those of `epoll_create1`.
    pub fn new(limits: ConnectionLimits) -> io::Result<Self> {
        Ok(Hub {
            reactor: Reactor::new()?,
            limits,
            timers: Timers::default(),
            listeners: BTreeMap::new(),
            max_connections: usize::MAX,
            connections: BTreeMap::new(),
            touched: BTreeSet::new(),
            half_closed_connections: BTreeSet::new(),
            retries: Retries::default(),
            stop_signals: None,
            reload_signals: None,
            wake_stream: None,
            standard_input: None,
            ready: VecDeque::new(),
        })
    }

    /// Sets a timer; it comes as [`Input::Timer`].
    pub fn set_timer(&mut self, at: Nanos, key: K) -> TimerId {
        self.timers.set(at, key)
    }

    /// Cancels a timer that has not come yet.
    pub fn cancel_timer(&mut self, timer: TimerId) {
        self.timers.cancel(timer);
    }

    /// Waits for the next turn and returns everything that it has brought: at least one input, unless `until`
    /// came first.
    ///
    /// # Errors
    /// Those of `epoll_wait`.
    pub fn wait(&mut self, until: Option<Nanos>) -> io::Result<Vec<Input<L, K>>> {
        loop {
            for conn in std::mem::take(&mut self.half_closed_connections) {
                self.close(conn);
            }
            for conn in std::mem::take(&mut self.touched) {
                self.poll(conn);
            }
            self.accept_waiting();
            self.retry_refused();
            self.push_due_timers();
            let wake_at = self.timers.next_at().into_iter().chain(until).chain(self.retries.due_at).min();
            let wake_at = if self.ready.is_empty() { wake_at } else { Some(0) };
            for token in self.reactor.wait(wake_at)? {
                self.dispatch(token);
            }
            if !self.ready.is_empty() || until.is_some_and(|until| now() >= until) {
                return Ok(self.ready.drain(..).collect());
            }
        }
    }

    fn push_due_timers(&mut self) {
        let time = now();
        while let Some(key) = self.timers.pop_due(time) {
            self.ready.push_back(Input::Timer(key));
        }
    }

    /// Polls what a token stands for.
    fn dispatch(&mut self, token: Token) {
        if self.connections.contains_key(&ConnId(token)) {
            self.poll(ConnId(token));
        } else if self.listeners.contains_key(&token) {
            self.accept(token);
        } else {
            self.read_sources(token);
        }
    }

    /// Tries again what the kernel has refused, once it is due.
    fn retry_refused(&mut self) {
        if self.retries.due_at.is_none_or(|due_at| due_at > now()) {
            return;
        }
        let Retries { connections, listeners, .. } = std::mem::take(&mut self.retries);
        for listener in listeners {
            self.accept(listener);
        }
        for conn in connections {
            self.poll(conn);
        }
    }
}
