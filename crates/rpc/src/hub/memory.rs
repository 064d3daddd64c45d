//! One budget for the memory that peers make the process hold: incomplete messages, and bytes that peers do not
//! read. At the limit the connection that holds the most is ended, so that a peer cannot exhaust the memory of
//! the process and clients that hold little are not affected. Also the time by which a message must be complete.

use std::collections::BTreeMap;

use shalereel_reactor::Nanos;

use super::ConnId;

/// What the process holds for one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HeldBytes {
    /// Bytes of incomplete messages.
    pub incomplete: usize,
    /// Bytes that the peer has not read yet.
    pub unsent: usize,
}

impl HeldBytes {
    fn total(self) -> usize {
        self.incomplete + self.unsent
    }
}

#[derive(Debug, Default)]
struct ConnectionMemory {
    held: HeldBytes,
    /// When the oldest incomplete message began.
    incomplete_since: Option<Nanos>,
}

/// Memory held for all connections.
#[derive(Debug, Default)]
pub(super) struct ConnectionMemories {
    /// Only connections for which something is held.
    connections: BTreeMap<ConnId, ConnectionMemory>,
    total: usize,
}

impl ConnectionMemories {
    /// Sets what is held for a connection. `incomplete_since` is when its oldest incomplete message began.
    pub fn set(&mut self, conn: ConnId, held: HeldBytes, incomplete_since: Option<Nanos>) {
        self.remove(conn);
        if held != HeldBytes::default() {
            self.total += held.total();
            self.connections.insert(conn, ConnectionMemory { held, incomplete_since });
        }
    }

    /// Forgets a connection.
    pub fn remove(&mut self, conn: ConnId) {
        if let Some(memory) = self.connections.remove(&conn) {
            self.total -= memory.held.total();
        }
    }

    /// The connection that holds the most, and its bytes, if all together hold more than `max_bytes`.
    pub fn largest_above(&self, max_bytes: usize) -> Option<(ConnId, usize)> {
        if self.total <= max_bytes {
            return None;
        }
        let held = self.connections.iter().map(|(&conn, memory)| (conn, memory.held.total()));
        held.max_by_key(|(_, bytes)| *bytes)
    }

    /// Connections with a message that began before a time and is not complete.
    pub fn incomplete_since_before(&self, time: Nanos) -> Vec<ConnId> {
        let began_before =
            |memory: &ConnectionMemory| memory.incomplete_since.is_some_and(|since| since < time);
        let overdue = self.connections.iter().filter(|(_, memory)| began_before(memory));
        overdue.map(|(&conn, _)| conn).collect()
    }

    /// When the oldest incomplete message began.
    pub fn oldest_incomplete(&self) -> Option<Nanos> {
        self.connections.values().filter_map(|memory| memory.incomplete_since).min()
    }
}
