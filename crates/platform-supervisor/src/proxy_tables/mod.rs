//! The tables that the controller has set, what each proxy has of them, and the updates that follow from the
//! controller's actions: at most one per proxy and batch, and changes alone. Nothing is decided here. The
//! supervisor calls it.

mod encoding;
mod pending_changes;
mod updates;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use shalereel::interface::{Action, OperationMask, ProxyId, RetryPolicy, ServerId, TableId};
use thiserror::Error;

use crate::server_registry::ServerRegistry;
use pending_changes::PendingChanges;

/// An action that cannot be carried out: the controller is defective.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidAction {
    /// A weight or limit is negative or not finite, or the table identifier is reserved.
    #[error("action out of range: {0:?}")]
    OutOfRange(Action),
    /// It names a server that was never listed.
    #[error("action on a server that was never listed: {0:?}")]
    UnknownServer(Action),
}

/// Position of an operation in the configuration.
type OperationIndex = u16;

/// Limit on what is admitted of an operation.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Admission {
    limit: f64,
    retry_policy: RetryPolicy,
}

/// One table of the controller.
#[derive(Clone, Debug, Default)]
struct WeightTable {
    /// Weight of each server in it; above 0.
    weights: BTreeMap<ServerId, f64>,
    admissions: BTreeMap<OperationIndex, Admission>,
}

impl WeightTable {
    /// Weight of a server; 0: it is not in the table.
    fn weight(&self, server: ServerId) -> f64 {
        self.weights.get(&server).copied().unwrap_or_default()
    }
}

/// How a proxy comes to this supervisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinKind {
    /// No supervisor has sent it anything.
    New,
    /// It has what other supervisors, or this one on an earlier connection, have sent it.
    Reconnected,
}

impl JoinKind {
    /// From the protocol's flag.
    pub fn from_is_new(is_new: bool) -> Self {
        if is_new {
            JoinKind::New
        } else {
            JoinKind::Reconnected
        }
    }
}

/// What one joined proxy was sent on its connection.
#[derive(Clone, Debug)]
struct ProxyState {
    /// Table of each operation, once it was sent.
    assigned: Vec<Option<TableId>>,
    /// It may have exclusions that it was not sent on this connection.
    has_earlier_state: bool,
    /// Servers that it excludes because it was told so on this connection.
    excluded: BTreeSet<ServerId>,
    /// Servers that it was told to exclude or include on this connection: what it had before does not count.
    exclusion_sent: BTreeSet<ServerId>,
    /// Ack requests that it has not acknowledged, in the order in which they were sent.
    pending_acks: VecDeque<PendingAck>,
}

/// An ack request that was not acknowledged.
#[derive(Clone, Copy, Debug)]
struct PendingAck {
    serial: u64,
    /// Lines of its message without the overhead.
    lines: u64,
}

/// What all proxies were sent since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentCounts {
    /// Updates.
    pub messages: u64,
    /// Their lines in the channel, without the overhead of messages.
    pub lines: u64,
    /// Servers that were to be excluded.
    pub exclusions: u64,
    /// Servers that were to be included again.
    pub inclusions: u64,
}

/// The update that one proxy is to be sent.
#[derive(Clone, Debug)]
pub struct ProxyUpdate {
    /// Which proxy.
    pub proxy: ProxyId,
    /// The encoded lines; equal updates share them.
    pub bytes: Bytes,
}

/// All tables and joined proxies.
#[derive(Debug)]
pub struct ProxyTables {
    operation_count: usize,
    tables: BTreeMap<TableId, WeightTable>,
    /// Admission that holds for all tables.
    global_admissions: BTreeMap<OperationIndex, Admission>,
    excluded: BTreeSet<ServerId>,
    proxies: BTreeMap<ProxyId, ProxyState>,
    sent: SentCounts,
}

impl ProxyTables {
    /// No tables and no proxies.
    pub fn new(operation_count: usize) -> Self {
        ProxyTables {
            operation_count,
            tables: BTreeMap::new(),
            global_admissions: BTreeMap::new(),
            excluded: BTreeSet::new(),
            proxies: BTreeMap::new(),
            sent: SentCounts::default(),
        }
    }

    /// A proxy has joined; an earlier connection of it is replaced.
    pub fn join(&mut self, proxy: ProxyId, kind: JoinKind) {
        let state = ProxyState {
            assigned: vec![None; self.operation_count],
            has_earlier_state: kind == JoinKind::Reconnected,
            excluded: BTreeSet::new(),
            exclusion_sent: BTreeSet::new(),
            pending_acks: VecDeque::new(),
        };
        self.proxies.insert(proxy, state);
    }

    /// A proxy has disconnected.
    pub fn leave(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// The joined proxies.
    pub fn proxies(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.proxies.keys().copied()
    }

    /// How many proxies are joined.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// How many of them were sent a table for each operation.
    pub fn assigned_proxy_count(&self) -> usize {
        self.proxies.values().filter(|proxy| proxy.assigned.iter().all(Option::is_some)).count()
    }

    /// What was sent since the start.
    pub fn sent(&self) -> SentCounts {
        self.sent
    }

    /// Settles an ack request and those before it, since one acknowledgement covers everything sent before;
    /// those of earlier requests may have been lost. Returns whether the request was pending.
    pub fn acknowledge(&mut self, proxy: ProxyId, serial: u64) -> bool {
        let Some(state) = self.proxies.get_mut(&proxy) else { return false };
        let Some(position) = state.pending_acks.iter().position(|pending| pending.serial == serial) else {
            return false;
        };
        state.pending_acks.drain(..=position);
        true
    }

    /// Whether a proxy owes an acknowledgement.
    pub fn has_pending_acks(&self, proxy: ProxyId) -> bool {
        self.proxies.get(&proxy).is_some_and(|state| !state.pending_acks.is_empty())
    }

    /// Lines of the messages that were not acknowledged, with `message_overhead` lines for each message.
    pub fn unacknowledged_lines(&self, message_overhead: f64) -> f64 {
        let pending = self.proxies.values().flat_map(|state| &state.pending_acks);
        pending.map(|ack| ack.lines as f64 + message_overhead).sum()
    }

    /// Whether a table has a server.
    pub fn references(&self, server: ServerId) -> bool {
        self.tables.values().any(|table| table.weights.contains_key(&server))
    }

    /// Drops what is remembered of a server. Should it be listed again it gets another identifier: a proxy
    /// that excludes its name then does so as if others had told it.
    pub fn forget(&mut self, server: ServerId) {
        self.excluded.remove(&server);
        for state in self.proxies.values_mut() {
            state.has_earlier_state |= state.excluded.remove(&server);
            state.exclusion_sent.remove(&server);
        }
    }

    /// A new controller begins: proxies keep what they have, and it counts as sent by others.
    pub fn reset_for_new_controller(&mut self) {
        self.tables.clear();
        self.global_admissions.clear();
        self.excluded.clear();
        for state in self.proxies.values_mut() {
            state.assigned.fill(None);
            state.has_earlier_state = true;
            state.exclusion_sent.clear();
        }
    }

    /// Applies one batch of actions and returns the updates for proxies. Actions that are not for proxies are
    /// skipped. `operation_names`: by position.
    ///
    /// # Errors
    /// An action cannot be carried out; those before it were applied.
    pub fn apply(
        &mut self,
        actions: &[Action],
        registry: &ServerRegistry,
        operation_names: &[String],
    ) -> Result<Vec<ProxyUpdate>, InvalidAction> {
        let mut changes = PendingChanges::default();
        for action in actions {
            self.apply_action(action, registry, &mut changes)?;
        }
        Ok(self.updates(&changes, registry, operation_names))
    }
}

/// Positions of the operations in a mask; an empty mask stands for all.
fn operations_in(mask: OperationMask, operation_count: usize) -> impl Iterator<Item = OperationIndex> {
    (0..operation_count as OperationIndex).filter(move |index| mask == 0 || mask >> index & 1 == 1)
}
