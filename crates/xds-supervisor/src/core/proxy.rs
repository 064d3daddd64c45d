//! A joined proxy: its tables, what was sent to it, and what it has not acknowledged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel::interface::{Nanos, TableId};
use shalereel_store::{Subscription, VersionNumber};
use shalereel_xds::types;

use super::resources::ResourceVersion;
use super::Peer;

/// How a proxy is reached. What is decided for it does not depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    /// Assignments, acknowledged by nonce.
    Xds,
    /// Weights alone; pushed ones count as acknowledged once written, others once requested.
    Sasp,
}

/// A mark that the controller asked a proxy to acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Mark {
    pub serial: u16,
    pub queued_at: Nanos,
}

/// What left the channel and is not written yet.
#[derive(Clone, Debug)]
pub(super) struct PendingUpdate {
    pub queued_at: Nanos,
    pub marks: Vec<Mark>,
}

impl PendingUpdate {
    pub fn new(queued_at: Nanos) -> Self {
        PendingUpdate { queued_at, marks: Vec::new() }
    }
}

/// Responses that were sent together, by their nonces, and the marks that their acknowledgements confirm.
#[derive(Debug)]
pub(super) struct SentUpdate {
    pub assignment: Option<u64>,
    pub routes: Option<u64>,
    pub lines: Option<u64>,
    /// It names a collection that the client has not subscribed to yet.
    pub awaits_subscription: bool,
    pub marks: Vec<Mark>,
    pub sent_at: Nanos,
}

impl SentUpdate {
    pub fn new(sent_at: Nanos, marks: Vec<Mark>) -> Self {
        SentUpdate { assignment: None, routes: None, lines: None, awaits_subscription: false, marks, sent_at }
    }

    pub fn is_acknowledged(&self) -> bool {
        self.assignment.is_none()
            && self.routes.is_none()
            && self.lines.is_none()
            && !self.awaits_subscription
    }

    /// Takes all of it as acknowledged.
    pub fn acknowledge_all(&mut self) {
        self.assignment = None;
        self.routes = None;
        self.lines = None;
        self.awaits_subscription = false;
    }

    /// The nonce that is not acknowledged yet, by type; `None` for a type whose responses are not tracked.
    pub fn nonce_mut(&mut self, type_url: &str) -> Option<&mut Option<u64>> {
        match type_url {
            types::ASSIGNMENT => Some(&mut self.assignment),
            types::ROUTES => Some(&mut self.routes),
            types::LINE => Some(&mut self.lines),
            _ => None,
        }
    }
}

/// A delta that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentDelta {
    pub nonce: u64,
    pub table: TableId,
    pub version: VersionNumber,
}

/// A joined proxy.
#[derive(Debug)]
pub(super) struct Proxy {
    pub peer: Peer,
    pub protocol: Protocol,
    /// Table of each operation, by position.
    pub tables: BTreeMap<u16, TableId>,
    pub pending: Option<PendingUpdate>,
    pub unacknowledged: VecDeque<SentUpdate>,
    /// Versions of the resources that were sent last, by name.
    pub sent_versions: BTreeMap<String, ResourceVersion>,
    pub consecutive_rejections: u32,
    /// Marks of what it rejected; sent again at `retry_at`.
    pub rejected_marks: Vec<Mark>,
    pub retry_at: Option<Nanos>,
    /// It takes tables line by line.
    pub supports_lines: bool,
    pub subscriptions: BTreeMap<TableId, Subscription>,
    /// Tables whose lines the channel has carried, and that it has not subscribed to yet.
    pub charged_tables: BTreeSet<TableId>,
    pub sent_deltas: VecDeque<SentDelta>,
}

impl Proxy {
    pub fn new(peer: Peer, protocol: Protocol, supports_lines: bool) -> Self {
        Proxy {
            peer,
            protocol,
            tables: BTreeMap::new(),
            pending: None,
            unacknowledged: VecDeque::new(),
            sent_versions: BTreeMap::new(),
            consecutive_rejections: 0,
            rejected_marks: Vec::new(),
            retry_at: None,
            supports_lines,
            subscriptions: BTreeMap::new(),
            charged_tables: BTreeSet::new(),
            sent_deltas: VecDeque::new(),
        }
    }

    pub fn uses(&self, table: TableId) -> bool {
        self.tables.values().any(|&used| used == table)
    }

    /// Has all that differs written with the next poll.
    pub fn request_write(&mut self, now: Nanos) {
        self.pending.get_or_insert_with(|| PendingUpdate::new(now));
    }

    /// What is to be written now, with the marks of what it rejected before.
    pub fn take_pending(&mut self, now: Nanos) -> PendingUpdate {
        let mut update = self.pending.take().unwrap_or_else(|| PendingUpdate::new(now));
        update.marks.append(&mut self.rejected_marks);
        update
    }

    /// Since when something was sent or is to be written that it has not acknowledged.
    pub fn unacknowledged_since(&self) -> Option<Nanos> {
        let sent = self.unacknowledged.front().map(|update| update.sent_at);
        let pending = self.pending.as_ref().map(|update| update.queued_at);
        sent.into_iter().chain(pending).min()
    }

    /// Whether a resource is of another version than the one sent last; takes it as sent.
    pub fn update_version(&mut self, name: &str, version: ResourceVersion) -> bool {
        if self.sent_versions.get(name) == Some(&version) {
            return false;
        }
        self.sent_versions.insert(name.to_owned(), version);
        true
    }
}
