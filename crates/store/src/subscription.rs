//! One proxy's subscription to a table: what was sent to it and what it acknowledged.

use shalereel::interface::{Nanos, TableId};

use crate::digest::Check;
use crate::store::Store;
use crate::version::VersionNumber;

/// A delta that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unacknowledged {
    /// When the oldest unacknowledged delta was sent for the last time, ns.
    pub since: Nanos,
    /// How often it was sent again.
    pub retransmissions: u32,
}

/// One proxy's subscription to a table.
#[derive(Clone, Debug, Default)]
pub struct Subscription {
    /// Newest version that the proxy acknowledged; 0: none.
    acknowledged: VersionNumber,
    /// Newest version that was sent; 0: none.
    sent: VersionNumber,
    /// When the oldest unacknowledged delta was sent for the last time.
    unacknowledged_since: Option<Nanos>,
    retransmissions: u32,
    /// The proxy requested the table: a response is due even where nothing differs.
    response_due: bool,
}

impl Subscription {
    /// The proxy opened its stream or requests the table again; `held`: the check of what it has.
    pub fn on_request(&mut self, store: &Store, table: TableId, held: Option<Check>) {
        let version = held.map_or(0, |check| store.recognize(table, &check));
        *self = Subscription {
            acknowledged: version,
            sent: version,
            response_due: true,
            ..Subscription::default()
        };
    }

    /// Base of the next delta; `None` where there is nothing to send.
    pub fn next_base(&self, store: &Store, table: TableId) -> Option<VersionNumber> {
        let newest = store.newest_version(table);
        (newest > 0 && (self.response_due || self.sent != newest)).then_some(self.sent)
    }

    /// A delta from [`Subscription::next_base`] to this version was sent.
    pub fn on_sent(&mut self, now: Nanos, number: VersionNumber) {
        self.response_due = false;
        self.sent = number;
        self.unacknowledged_since.get_or_insert(now);
    }

    /// The proxy acknowledged this version, and by that all before it.
    pub fn on_acknowledged(&mut self, number: VersionNumber) {
        self.acknowledged = self.acknowledged.max(number);
        if self.acknowledged >= self.sent {
            self.unacknowledged_since = None;
            self.retransmissions = 0;
        }
    }

    /// What waits for an acknowledgement.
    pub fn unacknowledged(&self) -> Option<Unacknowledged> {
        let since = self.unacknowledged_since?;
        Some(Unacknowledged { since, retransmissions: self.retransmissions })
    }

    /// Goes back to the acknowledged version: the next delta repeats what was not acknowledged.
    pub fn retransmit(&mut self) {
        self.sent = self.acknowledged;
        self.response_due = true;
        self.unacknowledged_since = None;
        self.retransmissions += 1;
    }
}
