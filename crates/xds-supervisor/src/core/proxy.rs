//! State of a joined proxy: its tables, sent versions, and unacknowledged updates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel::interface::{Nanos, TableId};
use shalereel_store::{Subscription, VersionNumber};
use shalereel_xds::types;

use super::resources::ResourceVersion;
use super::Peer;

/// Protocol by which a proxy is served; the controller's decisions do not depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    /// The proxy receives assignments and acknowledges them by nonce.
    Xds,
    /// The proxy receives only weights. Pushed weights count as acknowledged when they are written, polled ones when
    /// they are requested.
    Sasp,
}

/// A serial number whose acknowledgement the controller has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Mark {
    pub serial: u16,
    pub queued_at: Nanos,
}

/// An update that has left the channel and is not written yet.
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

/// Nonces of responses that were sent together, and the marks that their acknowledgements confirm. A nonce is `None` if
/// no response of its type was sent, or once it is acknowledged.
#[derive(Debug)]
pub(super) struct SentUpdate {
    pub assignment: Option<u64>,
    pub routes: Option<u64>,
    pub lines: Option<u64>,
    /// The update names a collection that the client has not subscribed to yet.
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

    /// Marks all responses of the update as acknowledged.
    pub fn acknowledge_all(&mut self) {
        self.assignment = None;
        self.routes = None;
        self.lines = None;
        self.awaits_subscription = false;
    }

    /// The unacknowledged nonce of a type; `None` for a type whose responses are not tracked.
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
    /// Last sent version of each resource, by name.
    pub sent_versions: BTreeMap<String, ResourceVersion>,
    pub consecutive_rejections: u32,
    /// Marks of rejected updates; they are sent again at `retry_at`.
    pub rejected_marks: Vec<Mark>,
    pub retry_at: Option<Nanos>,
    /// The proxy accepts tables as collections of lines.
    pub supports_lines: bool,
    pub subscriptions: BTreeMap<TableId, Subscription>,
    /// Tables whose lines the channel has carried, but that the proxy has not subscribed to yet.
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

    /// Has all changed resources written in the next poll.
    pub fn request_write(&mut self, now: Nanos) {
        self.pending.get_or_insert_with(|| PendingUpdate::new(now));
    }

    /// Takes the update that is to be written now, including the marks of rejected updates.
    pub fn take_pending(&mut self, now: Nanos) -> PendingUpdate {
        let mut update = self.pending.take().unwrap_or_else(|| PendingUpdate::new(now));
        update.marks.append(&mut self.rejected_marks);
        update
    }

    /// Time of the oldest update that is not acknowledged or not written yet.
    pub fn unacknowledged_since(&self) -> Option<Nanos> {
        let sent = self.unacknowledged.front().map(|update| update.sent_at);
        let pending = self.pending.as_ref().map(|update| update.queued_at);
        sent.into_iter().chain(pending).min()
    }

    /// Records a resource's version as sent; returns whether it differs from the last sent one.
    pub fn update_version(&mut self, name: &str, version: ResourceVersion) -> bool {
        if self.sent_versions.get(name) == Some(&version) {
            return false;
        }
        self.sent_versions.insert(name.to_owned(), version);
        true
    }
}
