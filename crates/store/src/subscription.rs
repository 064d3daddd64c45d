//! One proxy's subscription to a table: which versions it was sent, and which it has acknowledged.

use shalereel::interface::{Nanos, TableId};

use crate::digest::Check;
use crate::store::Store;
use crate::version::VersionNumber;

/// The unacknowledged deltas of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unacknowledged {
    /// When the oldest unacknowledged delta was sent for the last time, ns.
    pub since: Nanos,
    /// Number of retransmissions since the last acknowledgement of everything sent.
    pub retransmissions: u32,
}

/// One proxy's subscription to a table.
#[derive(Clone, Debug, Default)]
pub struct Subscription {
    /// Newest version that the proxy has acknowledged; 0 if none.
    acknowledged: VersionNumber,
    /// Newest version that was sent; 0 if none.
    sent: VersionNumber,
    /// When the oldest unacknowledged delta was sent for the last time.
    unacknowledged_since: Option<Nanos>,
    retransmissions: u32,
    /// Whether the proxy has requested the table and is owed a response, even if nothing differs.
    response_due: bool,
}

impl Subscription {
    /// Records that the proxy opened its stream or requested the table again. `held`: the check of the version that it has.
    pub fn on_request(&mut self, store: &Store, table: TableId, held: Option<Check>) {
        let version = held.map_or(0, |check| store.recognize(table, &check));
        *self = Subscription {
            acknowledged: version,
            sent: version,
            response_due: true,
            ..Subscription::default()
        };
    }

    /// Base of the next delta; `None` if there is nothing to send.
    pub fn next_base(&self, store: &Store, table: TableId) -> Option<VersionNumber> {
        let newest = store.newest_version(table);
        (newest > 0 && (self.response_due || self.sent != newest)).then_some(self.sent)
    }

    /// Records that a delta from [`Subscription::next_base`] to this version was sent.
    pub fn on_sent(&mut self, now: Nanos, number: VersionNumber) {
        self.response_due = false;
        self.sent = number;
        self.unacknowledged_since.get_or_insert(now);
    }

    /// Records that the proxy acknowledged this version, which includes all versions before it.
    pub fn on_acknowledged(&mut self, number: VersionNumber) {
        self.acknowledged = self.acknowledged.max(number);
        if self.acknowledged >= self.sent {
            self.unacknowledged_since = None;
            self.retransmissions = 0;
        }
    }

    /// The deltas that wait for an acknowledgement; `None` if there are none.
    pub fn unacknowledged(&self) -> Option<Unacknowledged> {
        let since = self.unacknowledged_since?;
        Some(Unacknowledged { since, retransmissions: self.retransmissions })
    }

    /// Makes the next delta start from the acknowledged version, so that it repeats all unacknowledged changes.
    pub fn retransmit(&mut self) {
        self.sent = self.acknowledged;
        self.response_due = true;
        self.unacknowledged_since = None;
        self.retransmissions += 1;
    }
}
