//! Coalescing of urgent changes: while the queue is long they may wait outside it, so that they arrive no
//! later but in fewer messages.

use std::collections::BTreeSet;

use super::batch::Batch;
use super::changes::Change;
use super::Channel;
use crate::interface::{Nanos, TableId};

/// Share of the drain grace period by which coalesced changes must arrive before their deadline.
const COALESCING_MARGIN_GRACE_SHARE: f64 = 0.25;

impl Channel {
    /// Whether the urgent changes may wait: all of them would still arrive well before their deadlines.
    pub(super) fn may_coalesce(&self, changes: &[Change], batch: &Batch, now: Nanos) -> bool {
        let mut urgent = changes.iter().filter(|change| change.is_urgent());
        // A table that lacks servers is given more without delay.
        urgent.all(|change| change.weight <= 0.0) && self.may_wait(changes, batch, now)
    }

    /// Whether there are urgent changes, and all of them would still arrive well before their deadlines if
    /// they were sent later.
    pub(super) fn may_wait(&self, changes: &[Change], batch: &Batch, now: Nanos) -> bool {
        let urgent = || changes.iter().filter(|change| change.is_urgent());
        let lines: f64 = urgent().map(|change| batch.users(change.line.table)).sum();
        let tables: BTreeSet<TableId> = urgent().map(|change| change.line.table).collect();
        let overhead: f64 = tables.iter().map(|&table| batch.users(table) * self.message_cost()).sum();
        let arrival = self.pacing.forecast(now).arrival(lines + overhead);
        let margin = (COALESCING_MARGIN_GRACE_SHARE * self.drain_grace as f64) as Nanos;
        let deadline = urgent().map(|change| self.removal_deadline(change.line.server, now)).min();
        deadline.is_some_and(|deadline| arrival + margin < deadline)
    }
}
