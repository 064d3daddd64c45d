//! The tables that the controller has set and the part of them that each proxy was sent. A batch of the
//! controller's actions results in at most one update per proxy, which contains only changes. All decisions
//! are the controller's.

mod encoding;
mod pending_changes;
mod updates;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use shalereel::interface::{Action, OperationMask, ProxyId, RetryPolicy, ServerId, TableId};
use thiserror::Error;

use crate::server_registry::ServerRegistry;
use pending_changes::PendingChanges;

/// An action that cannot be carried out, which means that the controller is defective.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidAction {
    /// A weight or limit is negative or not finite, or the table identifier is reserved.
    #[error("action with a value out of range: {0:?}")]
    OutOfRange(Action),
    /// The action names a server that was never listed.
    #[error("action on a server that was never listed: {0:?}")]
    UnknownServer(Action),
}

/// Index of an operation in the configuration.
type OperationIndex = u16;

/// Limit on the admitted requests of an operation, and its retry policy.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Admission {
    limit: f64,
    retry_policy: RetryPolicy,
}

/// One table of the controller.
#[derive(Clone, Debug, Default)]
struct WeightTable {
    /// Weights of the servers in the table, all above 0.
    weights: BTreeMap<ServerId, f64>,
    admissions: BTreeMap<OperationIndex, Admission>,
}

impl WeightTable {
    /// Weight of a server; 0 if it is not in the table.
    fn weight(&self, server: ServerId) -> f64 {
        self.weights.get(&server).copied().unwrap_or_default()
    }
}

/// Whether a joining proxy has state from earlier connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinKind {
    /// No supervisor has sent it anything.
    New,
    /// It has tables and exclusions from other supervisors, or from this one on an earlier connection.
    Reconnected,
}

impl JoinKind {
    /// Converts the `new` flag of the protocol.
    pub fn from_is_new(is_new: bool) -> Self {
        if is_new {
            JoinKind::New
        } else {
            JoinKind::Reconnected
        }
    }
}

/// What a joined proxy was sent on its present connection.
#[derive(Clone, Debug)]
struct ProxyState {
    /// Table of each operation; `None` until it is sent on this connection.
    assigned: Vec<Option<TableId>>,
    /// Whether the proxy may have exclusions that were not sent on this connection.
    may_have_earlier_exclusions: bool,
    /// Servers that the proxy excludes because of an update on this connection.
    excluded: BTreeSet<ServerId>,
    /// Servers whose exclusion or inclusion was sent on this connection, which overrides any earlier state.
    exclusion_sent: BTreeSet<ServerId>,
    /// Ack requests that it has not acknowledged, in the order in which they were sent.
    pending_acks: VecDeque<PendingAck>,
}

/// An ack request that was not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct PendingAck {
    serial: u64,
    /// Number of channel lines of its message, without the overhead.
    lines: u64,
}

/// Counts of what was sent to all proxies since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentCounts {
    /// Number of updates.
    pub messages: u64,
    /// Number of their lines in the channel, without the overhead of messages.
    pub lines: u64,
    /// Number of servers to exclude, summed over the updates.
    pub exclusions: u64,
    /// Number of servers to include again, summed over the updates.
    pub inclusions: u64,
}

/// An update to send to a proxy.
#[derive(Clone, Debug)]
pub struct ProxyUpdate {
    /// The proxy to send it to.
    pub proxy: ProxyId,
    /// The encoded lines. Equal updates of a batch share one buffer.
    pub bytes: Bytes,
    /// Number of its lines in the channel, without the overhead of a message.
    pub lines: u64,
}

/// All tables, and the state of all joined proxies.
#[derive(Debug)]
pub struct ProxyTables {
    operation_count: usize,
    tables: BTreeMap<TableId, WeightTable>,
    /// Admission limits that apply to all tables.
    global_admissions: BTreeMap<OperationIndex, Admission>,
    /// Servers that the controller has excluded.
    excluded: BTreeSet<ServerId>,
    proxies: BTreeMap<ProxyId, ProxyState>,
    sent: SentCounts,
}

impl ProxyTables {
    /// Creates the state without tables and proxies.
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

    /// Adds a proxy that has joined. The state of its earlier connection is discarded.
    pub fn join(&mut self, proxy: ProxyId, kind: JoinKind) {
        let state = ProxyState {
            assigned: vec![None; self.operation_count],
            may_have_earlier_exclusions: kind == JoinKind::Reconnected,
            excluded: BTreeSet::new(),
            exclusion_sent: BTreeSet::new(),
            pending_acks: VecDeque::new(),
        };
        self.proxies.insert(proxy, state);
    }

    /// Removes a proxy that has disconnected.
    pub fn leave(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// Identifiers of the joined proxies.
    pub fn proxies(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.proxies.keys().copied()
    }

    /// Number of joined proxies.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// Number of joined proxies that were sent a table for each operation.
    pub fn assigned_proxy_count(&self) -> usize {
        self.proxies.values().filter(|proxy| proxy.assigned.iter().all(Option::is_some)).count()
    }

    /// Counts of what was sent since the start.
    pub fn sent(&self) -> SentCounts {
        self.sent
    }

    /// Removes a pending ack request and all earlier ones, since an acknowledgement covers everything that
    /// was sent before it and the acknowledgements of earlier requests may have been lost. Returns whether
    /// the request was pending.
    pub fn acknowledge(&mut self, proxy: ProxyId, serial: u64) -> bool {
        let Some(state) = self.proxies.get_mut(&proxy) else { return false };
        let Some(position) = state.pending_acks.iter().position(|pending| pending.serial == serial) else {
            return false;
        };
        state.pending_acks.drain(..=position);
        true
    }

    /// Whether a proxy has ack requests that it has not acknowledged.
    pub fn has_pending_acks(&self, proxy: ProxyId) -> bool {
        self.proxies.get(&proxy).is_some_and(|state| !state.pending_acks.is_empty())
    }

    /// Number of channel lines of all unacknowledged messages, with `message_overhead` lines for each
    /// message.
    pub fn unacknowledged_lines(&self, message_overhead: f64) -> f64 {
        let pending = self.proxies.values().flat_map(|state| &state.pending_acks);
        pending.map(|ack| ack.lines as f64 + message_overhead).sum()
    }

    /// Whether a server is in any table.
    pub fn references(&self, server: ServerId) -> bool {
        self.tables.values().any(|table| table.weights.contains_key(&server))
    }

    /// Discards the state of a server. If it is listed again it gets another identifier, so a proxy that
    /// still excludes it by name is treated as one with exclusions from an earlier connection.
    pub fn forget(&mut self, server: ServerId) {
        self.excluded.remove(&server);
        for state in self.proxies.values_mut() {
            state.may_have_earlier_exclusions |= state.excluded.remove(&server);
            state.exclusion_sent.remove(&server);
        }
    }

    /// Discards the state that the previous controller has set. Joined proxies are then treated as if other
    /// supervisors had sent them what they have.
    pub fn reset_for_new_controller(&mut self) {
        self.tables.clear();
        self.global_admissions.clear();
        self.excluded.clear();
        for state in self.proxies.values_mut() {
            state.assigned.fill(None);
            state.may_have_earlier_exclusions = true;
            state.exclusion_sent.clear();
        }
    }

    /// Applies a batch of actions and returns the resulting updates for proxies. Actions that do not concern
    /// proxies are ignored. `operation_names` are in the order of the configuration.
    ///
    /// # Errors
    /// An action cannot be carried out. The actions before it were applied.
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

/// Indices of the operations in a mask; an empty mask stands for all operations.
fn operations_in(mask: OperationMask, operation_count: usize) -> impl Iterator<Item = OperationIndex> {
    (0..operation_count as OperationIndex).filter(move |index| mask == 0 || mask >> index & 1 == 1)
}
