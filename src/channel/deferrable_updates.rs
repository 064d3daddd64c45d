//! Deferrable changes and admission limits of one batch.

use super::allowance::Allowance;
use super::batch::Batch;
use super::changes::{Audience, Change, Priority};
use super::limited_tables::LimitedTables;
use super::sent::TableLimit;
use crate::interface::TableId;

/// Deferrable changes and admission limits, in the order in which they are sent.
#[derive(Debug, Default)]
pub(super) struct DeferrableUpdates {
    pub(super) changes: Vec<Change>,
    pub(super) limits: Vec<TableLimit>,
}

/// A deferrable change or an admission limit.
pub(super) enum DeferrableUpdate<'a> {
    Change(&'a Change),
    Limit(&'a TableLimit),
}

impl DeferrableUpdates {
    pub(super) fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.limits.is_empty()
    }

    /// The tables that are updated; a table may occur several times.
    pub(super) fn tables(&self) -> impl Iterator<Item = TableId> + '_ {
        let of_limits = self.limits.iter().map(|limit| limit.table);
        self.changes.iter().map(|change| change.line.table).chain(of_limits)
    }

    /// Moves the updates that `fits` adds to the batch to `taken`. Where one kind does not fit, the other may
    /// still.
    pub(super) fn take_fitting(
        &mut self,
        taken: &mut DeferrableUpdates,
        limits_go_first: bool,
        batch: &mut Batch,
        fits: impl Fn(DeferrableUpdate, &mut Batch) -> bool,
    ) {
        for takes_limits in [limits_go_first, !limits_go_first] {
            batch.reopen();
            if takes_limits {
                let fit = self.limits.extract_if(.., |limit| fits(DeferrableUpdate::Limit(limit), batch));
                taken.limits.extend(fit);
            } else {
                let fit = self.changes.extract_if(.., |change| fits(DeferrableUpdate::Change(change), batch));
                taken.changes.extend(fit);
            }
        }
    }
}

impl DeferrableUpdate<'_> {
    fn table(&self) -> TableId {
        match self {
            DeferrableUpdate::Change(change) => change.line.table,
            DeferrableUpdate::Limit(limit) => limit.table,
        }
    }

    /// Adds the update to a message that is sent anyway, if there is one with room for it.
    pub(super) fn try_add(&self, allowance: &Allowance, batch: &mut Batch) -> bool {
        batch.sends_message_to(self.table()) && self.try_add_lines(allowance.added_lines, batch)
    }

    /// Adds the update, in a message of its own if there is no other.
    pub(super) fn try_send(&self, allowance: &Allowance, limited: &LimitedTables, batch: &mut Batch) -> bool {
        let max_cost = match self {
            DeferrableUpdate::Change(_) => allowance.deferrable_lines,
            DeferrableUpdate::Limit(_) => allowance.admission_limit_lines,
        };
        !limited.holds_back_deferrable(self.table())
            && !self.waits_for_assignments(allowance, batch)
            && self.try_add_lines(max_cost, batch)
    }

    /// Ordinary changes wait while there are both assigned proxies and others that wait for their assignment.
    fn waits_for_assignments(&self, allowance: &Allowance, batch: &Batch) -> bool {
        let is_ordinary = match self {
            DeferrableUpdate::Change(change) => change.priority == Priority::Ordinary,
            DeferrableUpdate::Limit(_) => false,
        };
        is_ordinary && allowance.assignments_wait && batch.has_assigned_proxies()
    }

    fn try_add_lines(&self, max_cost: f64, batch: &mut Batch) -> bool {
        match self {
            DeferrableUpdate::Change(change) => batch.try_add_change(change, max_cost),
            DeferrableUpdate::Limit(limit) => batch.try_add(limit.table, Audience::All, max_cost),
        }
    }
}
