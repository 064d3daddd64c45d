//! The connections of a supervisor and their roles: opening, received bytes, joining, timeouts and closing.

use std::fmt::{self, Debug};

use shalereel::interface::{Event, LocalityId, Nanos, ProxyId};

use super::discovery::DiscoveryCloseReason;
use super::health_checks::HealthCheck;
use super::status::Fault;
use super::{Command, Supervisor, Timer};
use crate::clocks::Clocks;
use crate::discovery_watch::DiscoveryWatch;
use crate::line_framer::LineFramer;
use crate::protocol::{error_line, RejectReason};
use crate::proxy_tables::JoinKind;

/// The purpose of a connection.
#[derive(Debug)]
pub(super) enum Role {
    /// A client that has not joined yet.
    Unidentified,
    Collector,
    Proxy(ProxyId),
    Discovery(Box<DiscoveryWatch>),
    HealthCheck(Box<HealthCheck>),
}

#[derive(Debug)]
pub(super) struct Connection {
    pub role: Role,
    pub last_received_at: Nanos,
    /// Number of consecutive malformed lines.
    pub malformed_lines: u32,
    /// Since when ack requests have been pending without any acknowledgement; `None` if none are pending.
    pub acks_pending_since: Option<Nanos>,
    lines: LineFramer,
}

impl Connection {
    fn new(role: Role, now: Nanos) -> Self {
        Connection {
            role,
            last_received_at: now,
            malformed_lines: 0,
            acks_pending_since: None,
            lines: LineFramer::default(),
        }
    }

    /// Whether this is a client that has joined.
    pub fn is_joined(&self) -> bool {
        matches!(self.role, Role::Collector | Role::Proxy(_))
    }

    /// For how long a proxy has sent nothing while ack requests were pending. `None` if none are pending: a
    /// proxy that was sent nothing may be silent.
    fn unresponsive_for(&self, now: Nanos) -> Option<Nanos> {
        let since = self.acks_pending_since?.max(self.last_received_at);
        matches!(self.role, Role::Proxy(_)).then(|| now.saturating_sub(since))
    }
}

/// Why a connection was closed, for the log.
#[derive(Debug)]
pub(super) enum CloseReason<'a> {
    /// The peer closed it or it failed, with the description from the runtime.
    Transport(&'a str),
    Rejected(RejectReason),
    /// The proxy has joined on another connection.
    Replaced,
    MalformedLines,
    Unresponsive,
    /// The response to a health check is malformed, or its body exceeds the length limit.
    HealthCheckResponse,
    Discovery(DiscoveryCloseReason),
}

impl fmt::Display for CloseReason<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Transport(text) => f.write_str(text),
            CloseReason::Rejected(reason) => f.write_str(reason.label()),
            CloseReason::Replaced => f.write_str("replaced by a new connection"),
            CloseReason::MalformedLines => f.write_str("malformed lines received"),
            CloseReason::Unresponsive => f.write_str("acknowledgements overdue"),
            CloseReason::HealthCheckResponse => {
                f.write_str("malformed or oversized response to a health check")
            }
            CloseReason::Discovery(reason) => write!(f, "{reason}"),
        }
    }
}

/// How the supervisor closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// Closes the connection after queued data is sent.
    Graceful,
    /// Closes the connection with a TCP reset and discards queued data.
    Reset,
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// Handles the connection of a client, which must join before the deadline.
    pub fn opened(&mut self, connection: C, now: Nanos) {
        self.add_connection(connection, Role::Unidentified, now);
        self.timers.set(self.limits.join_deadline(now), Timer::JoinDeadline(connection));
    }

    pub(super) fn add_connection(&mut self, connection: C, role: Role, now: Nanos) {
        self.connections.insert(connection, Connection::new(role, now));
    }

    /// Handles the end of a connection that the supervisor did not close itself. `reason` is written to the
    /// log.
    pub fn closed(&mut self, connection: C, reason: &str, now: Nanos) {
        self.remove_connection(connection, &CloseReason::Transport(reason), now);
    }

    fn remove_connection(&mut self, connection: C, reason: &CloseReason<'_>, now: Nanos) {
        let Some(removed) = self.connections.remove(&connection) else { return };
        self.buffered_bytes -= removed.lines.allocated_bytes();
        match removed.role {
            Role::Unidentified => {}
            Role::Collector => self.log(now, format!("collector disconnected: {reason}")),
            Role::Proxy(proxy) => self.proxy_left(proxy, connection, reason, now),
            Role::Discovery(_) => self.watch_lost(reason, now),
            Role::HealthCheck(check) => self.health_check_closed(&check, now),
        }
    }

    fn proxy_left(&mut self, proxy: ProxyId, connection: C, reason: &CloseReason<'_>, now: Nanos) {
        // If another connection has replaced this one, the proxy is still connected.
        if self.proxy_connections.get(&proxy) != Some(&connection) {
            return;
        }
        self.proxy_connections.remove(&proxy);
        self.tables.leave(proxy);
        self.controller.push(Event::Left { proxy });
        self.log(now, format!("proxy {proxy} disconnected: {reason}"));
    }

    /// Closes a connection, if it is still open.
    pub(super) fn close(&mut self, connection: C, mode: CloseMode, reason: &CloseReason<'_>, now: Nanos) {
        if self.connections.contains_key(&connection) {
            self.commands.push(Command::Close { connection, reset: mode == CloseMode::Reset });
            self.remove_connection(connection, reason, now);
        }
    }

    /// Sends a client the reason why it is disconnected, and closes its connection.
    pub(super) fn reject(&mut self, connection: C, reason: RejectReason, now: Nanos) {
        self.count_fault(Fault::Rejected(reason));
        self.commands.push(Command::Write(connection, error_line(reason).into()));
        self.close(connection, CloseMode::Graceful, &CloseReason::Rejected(reason), now);
    }

    pub(super) fn enforce_join_deadline(&mut self, connection: C, now: Nanos) {
        if matches!(self.connections.get(&connection), Some(Connection { role: Role::Unidentified, .. })) {
            self.reject(connection, RejectReason::JoinTimeout, now);
        }
    }

    /// Handles bytes that were received on a connection.
    pub fn received(&mut self, connection: C, bytes: &[u8], clocks: Clocks) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        known.last_received_at = clocks.now;
        match known.role {
            Role::Discovery(_) => self.watch_received(connection, bytes, clocks),
            Role::HealthCheck(_) => self.health_check_received(connection, bytes, clocks.now),
            Role::Unidentified | Role::Collector | Role::Proxy(_) => {
                self.client_received(connection, bytes, clocks.now);
            }
        }
    }

    fn client_received(&mut self, connection: C, bytes: &[u8], now: Nanos) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let max_line_bytes = if client.is_joined() {
            self.limits.max_message_bytes()
        } else {
            self.limits.max_unidentified_message_bytes()
        };
        let mut lines = std::mem::take(&mut client.lines);
        let buffered_before = lines.allocated_bytes();
        let result = lines.push(bytes, max_line_bytes, |line| self.line_received(connection, line, now));
        let Some(client) = self.connections.get_mut(&connection) else {
            // The connection was closed by one of the lines, while its framer was taken out of it.
            self.buffered_bytes -= buffered_before;
            return;
        };
        self.buffered_bytes = self.buffered_bytes - buffered_before + lines.allocated_bytes();
        client.lines = lines;
        if result.is_err() {
            self.reject(connection, RejectReason::MessageTooLong, now);
        }
        self.limit_buffered_bytes(now);
    }

    /// Disconnects clients until all together hold no more incomplete messages than the limit: first those with a
    /// large share, then those that have not joined, the longest message first.
    fn limit_buffered_bytes(&mut self, now: Nanos) {
        let large = self.limits.large_buffered_bytes();
        let rank = |client: &Connection| {
            let bytes = client.lines.allocated_bytes();
            (bytes > large, !client.is_joined(), bytes)
        };
        while self.buffered_bytes > self.limits.max_buffered_bytes() {
            let holding = self.connections.iter().filter(|(_, client)| client.lines.allocated_bytes() > 0);
            let Some((&first, _)) = holding.max_by_key(|(_, client)| rank(client)) else { return };
            self.reject(first, RejectReason::MessageTooLong, now);
        }
    }

    /// Makes an unidentified client a proxy. An earlier connection of the same proxy is closed.
    pub(super) fn add_proxy(
        &mut self,
        connection: C,
        proxy: ProxyId,
        locality: LocalityId,
        rate: f64,
        kind: JoinKind,
        now: Nanos,
    ) {
        if let Some(earlier) = self.proxy_connections.get(&proxy).copied() {
            self.close(earlier, CloseMode::Reset, &CloseReason::Replaced, now);
        }
        if let Some(client) = self.connections.get_mut(&connection) {
            client.role = Role::Proxy(proxy);
        }
        self.proxy_connections.insert(proxy, connection);
        self.tables.join(proxy, kind);
        self.controller.push(Event::Joined { proxy, locality, rate, is_new: kind == JoinKind::New });
        let line = match kind {
            JoinKind::New => format!("proxy {proxy} joined"),
            JoinKind::Reconnected => {
                format!("proxy {proxy} rejoined, with the tables of an earlier connection")
            }
        };
        self.log(now, line);
    }

    /// Resets the connections of proxies that have been silent for too long while ack requests were pending.
    pub(super) fn close_unresponsive_proxies(&mut self, now: Nanos) {
        let timeout = self.limits.proxy_silence_timeout();
        let is_unresponsive =
            |client: &Connection| client.unresponsive_for(now).is_some_and(|span| span > timeout);
        let unresponsive: Vec<C> = self
            .connections
            .iter()
            .filter(|(_, client)| is_unresponsive(client))
            .map(|(&connection, _)| connection)
            .collect();
        for connection in unresponsive {
            self.count_fault(Fault::UnresponsiveProxy);
            self.close(connection, CloseMode::Reset, &CloseReason::Unresponsive, now);
        }
    }
}
