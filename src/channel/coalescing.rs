//! Whether urgent changes may wait and gather outside a long queue: they arrive no later, and in fewer
//! messages.

use std::collections::BTreeSet;

use super::batch::Batch;
use super::changes::Change;
use super::Channel;
use crate::interface::{Nanos, TableId};

/// Changes that gather must arrive this share of the drain grace before their deadline.
const COALESCING_MARGIN_GRACE_SHARE: f64 = 0.25;

impl Channel {
    /// Whether the urgent ones of the changes may wait: all of them would still arrive well before they are
    /// due.
    pub(super) fn may_coalesce(&self, changes: &[Change], batch: &Batch, now: Nanos) -> bool {
        let urgent = || changes.iter().filter(|change| change.is_urgent());
        // A table that lacks servers gets more at once.
        if urgent().any(|change| change.weight > 0.0) {
            return false;
        }
        let lines: f64 = urgent().map(|change| batch.users(change.line.table)).sum();
        let tables: BTreeSet<TableId> = urgent().map(|change| change.line.table).collect();
        let overhead: f64 = tables.iter().map(|&table| batch.users(table) * self.message_cost()).sum();
        let arrival = self.pacing.forecast(now).arrival(lines + overhead);
        let margin = (COALESCING_MARGIN_GRACE_SHARE * self.drain_grace as f64) as Nanos;
        let deadline = urgent().map(|change| self.removal_deadline(change.line.server, now)).min();
        deadline.is_some_and(|deadline| arrival + margin < deadline)
    }
}
