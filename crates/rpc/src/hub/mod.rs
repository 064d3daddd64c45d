//! All sockets and timers of a process, and the event loop that waits on them.

mod connections;
mod listeners;
mod memory;
mod plain;
mod ready_sources;
mod sources;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;

use bytes::Bytes;
use shalereel_reactor::{now, Nanos, Reactor, TimerId, Timers, Token};

use crate::connection::{CloseReason, ConnectionLimits, StreamId};
use crate::Status;
use connections::OpenConnection;
use listeners::ListenerState;
use memory::ConnectionMemories;
use ready_sources::ReadySources;
use sources::{StandardInput, WakeStream};

/// Identifies one connection of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(Token);

/// An event that the loop returns. `L` identifies listeners, `K` timers.
#[derive(Debug)]
pub enum Input<L, K> {
    /// A peer has connected.
    Opened {
        /// Id of the peer's connection.
        conn: ConnId,
        /// Name of the listener that the peer has connected to.
        listener: L,
    },
    /// The peer makes a call.
    Call {
        /// Id of the connection.
        conn: ConnId,
        /// Id of the call on its connection.
        stream: StreamId,
        /// Path of the method; empty if the request is not gRPC.
        path: String,
        /// Time that the peer waits for the end of the call, ns; `None` if it has set no timeout.
        timeout: Option<Nanos>,
    },
    /// A message of a call.
    Message {
        /// Id of the connection.
        conn: ConnId,
        /// Id of the call on its connection.
        stream: StreamId,
        /// The message, without its prefix.
        message: Bytes,
    },
    /// The peer that made the call sends no more messages.
    HalfClosed {
        /// Id of the connection.
        conn: ConnId,
        /// Id of the call on its connection.
        stream: StreamId,
    },
    /// A call has ended.
    Ended {
        /// Id of the connection.
        conn: ConnId,
        /// Id of the call on its connection.
        stream: StreamId,
        /// Status with which the call has ended.
        status: Status,
    },
    /// A connection has ended other than by [`Hub::close`] or [`Hub::reset`].
    Closed {
        /// Id of the connection.
        conn: ConnId,
        /// Why it has ended.
        reason: CloseReason,
    },
    /// Bytes were received on a plain connection, in chunks of any size.
    Bytes {
        /// Id of the connection.
        conn: ConnId,
        /// The received bytes.
        bytes: Bytes,
    },
    /// A timer is due.
    Timer(K),
    /// One line of standard input, without its line feed.
    Line(String),
    /// Standard input has ended.
    EndOfLines,
    /// Another thread has written to [`Hub::wake_stream`].
    Woken,
    /// SIGHUP was received.
    Reload,
    /// SIGTERM or SIGINT was received.
    Stop,
}

/// Operations that the kernel has refused for lack of resources, and when they are retried.
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

/// All sockets and timers of a process, and the event loop that waits on them. `L` identifies listeners, `K` timers.
pub struct Hub<L, K> {
    reactor: Reactor,
    limits: ConnectionLimits,
    timers: Timers<K>,
    listeners: BTreeMap<Token, ListenerState<L>>,
    /// No connections are accepted while this many are open.
    max_connections: usize,
    connections: BTreeMap<ConnId, OpenConnection>,
    memories: ConnectionMemories,
    /// Number of bytes that were received since the last wait returned.
    received_bytes: usize,
    /// Ready sources that are left for the next wait.
    deferred: ReadySources,
    /// Connections to be polled before the next wait, since a method has changed their state.
    to_poll: BTreeSet<ConnId>,
    /// Plain connections that the peer has half closed. They stay open until the caller has responded to what was read, and
    /// are closed at the next wait.
    half_closed_connections: BTreeSet<ConnId>,
    retries: Retries,
    stop_signals: Option<WakeStream>,
    reload_signals: Option<WakeStream>,
    wake_stream: Option<WakeStream>,
    standard_input: Option<StandardInput>,
    ready: VecDeque<Input<L, K>>,
}

impl<L: Clone, K> Hub<L, K> {
    /// Creates a hub without sockets.
    ///
    /// # Errors
    /// The errors of `epoll_create1`.
    pub fn new(limits: ConnectionLimits) -> io::Result<Self> {
        Ok(Hub {
            reactor: Reactor::new()?,
            limits,
            timers: Timers::default(),
            listeners: BTreeMap::new(),
            max_connections: usize::MAX,
            connections: BTreeMap::new(),
            memories: ConnectionMemories::default(),
            received_bytes: 0,
            deferred: ReadySources::default(),
            to_poll: BTreeSet::new(),
            half_closed_connections: BTreeSet::new(),
            retries: Retries::default(),
            stop_signals: None,
            reload_signals: None,
            wake_stream: None,
            standard_input: None,
            ready: VecDeque::new(),
        })
    }

    /// Sets a timer; when it is due, [`Input::Timer`] is returned.
    pub fn set_timer(&mut self, at: Nanos, key: K) -> TimerId {
        self.timers.set(at, key)
    }

    /// Cancels a timer that has not been returned yet.
    pub fn cancel_timer(&mut self, timer: TimerId) {
        self.timers.cancel(timer);
    }

    /// Waits for events and returns them: at least one, unless `until` is reached before.
    ///
    /// # Errors
    /// The errors of `epoll_wait`.
    pub fn wait(&mut self, until: Option<Nanos>) -> io::Result<Vec<Input<L, K>>> {
        loop {
            for conn in std::mem::take(&mut self.half_closed_connections) {
                self.close(conn);
            }
            self.send_pending();
            self.dispatch_deferred();
            self.accept_waiting();
            self.retry_refused();
            self.push_due_timers();
            self.end_overdue_messages();
            let wake_at = self.timers.next_at().into_iter().chain(until).chain(self.retries.due_at);
            let wake_at = wake_at.chain(self.next_message_deadline()).min();
            let is_waiting = self.ready.is_empty() && self.deferred.is_empty();
            let ready_sources = self.reactor.wait(if is_waiting { wake_at } else { Some(0) })?;
            ready_sources.into_iter().for_each(|token| self.deferred.push(token));
            self.dispatch_deferred();
            self.enforce_held_bytes();
            if !self.ready.is_empty() || until.is_some_and(|until| now() >= until) {
                self.received_bytes = 0;
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

    /// Polls ready sources until enough bytes were received. The rest is left for the next wait, so that received bytes of many
    /// connections are not held at once.
    fn dispatch_deferred(&mut self) {
        while self.received_bytes < self.limits.max_bytes_per_wait {
            let Some(token) = self.deferred.pop() else { return };
            self.dispatch(token);
        }
    }

    /// Polls the connection, listener or other source that has this token.
    fn dispatch(&mut self, token: Token) {
        if self.connections.contains_key(&ConnId(token)) {
            self.poll(ConnId(token));
        } else if self.listeners.contains_key(&token) {
            self.accept(token);
        } else {
            self.read_sources(token);
        }
    }

    /// Retries the operations that the kernel has refused, once the retry is due.
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
