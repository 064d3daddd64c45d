//! Updates of the tables that proxies use: selects the changes that are sent now, within the limits of the
//! channel. The remaining changes are sent later.
//!
//! Guards the channel against anything that changes many lines at once: a mass restart, a wrong endpoint
//! list, or noise in the weights. Whatever else is waiting, draining and removed servers must leave the tables, and warming
//! servers must not receive a full share. During legitimate mass changes, tables lag behind by seconds.

use std::collections::{BTreeMap, BTreeSet};

use super::allowance::Allowance;
use super::batch::Batch;
use super::changes::{Change, Priority};
use super::deferrable_updates::DeferrableUpdates;
use super::limited_tables::LimitedTables;
use super::sent::TableLimit;
use super::Channel;
use crate::interface::{Nanos, ProxyId, TableId};
use crate::message::Mailboxes;
use crate::proxies::Proxy;
use crate::tables::{EXCLUSIONS, FULL_TABLE};

#[cfg(test)]
mod tests;

/// Lines of table assignments that may be sent before the next deferrable changes, per line of changes sent.
const ASSIGNMENT_LINES_PER_CHANGE_LINE: f64 = 3.0;
/// Maximum number of lines of assignments before the next deferrable changes, as a share of what the channel
/// sends within a drain grace period. Assignments come first since having no table is worse than having an
/// outdated one.
const MAX_ASSIGNMENT_GRACE_SHARE: f64 = 0.125;

/// Which changes a flush sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateScope {
    /// Urgent changes.
    Urgent,
    /// Deferrable changes that can be added to messages that are sent anyway.
    Added,
    /// All changes, and admission limits.
    All,
}

impl Channel {
    /// Sends as many of the changes, and of the differing admission limits, as the channel takes.
    /// `removal_deadline` is the earliest one of the removals that this flush sends. Returns whether all
    /// urgent changes were sent.
    pub(super) fn send_updates(
        &mut self,
        scope: UpdateScope,
        mut changes: Vec<Change>,
        removal_deadline: Option<Nanos>,
        mailboxes: &mut Mailboxes,
    ) -> bool {
        let now = mailboxes.now;
        let is_leaving_full_table = self.is_leaving_full_table();
        changes.retain(|change| !(is_leaving_full_table && change.line.table == FULL_TABLE));
        let urgent = changes.iter().filter(|change| change.is_urgent()).count();
        let mut batch = Batch::new(&self.proxies, self.message_cost(), self.tables_with_message(now));
        let mut allowance = self.allowance(&batch, removal_deadline, now);
        allowance.takes_deferrable &= scope == UpdateScope::All;
        if urgent == 0 && scope == UpdateScope::Urgent {
            return true;
        }
        batch.set_idle_allowance(allowance.idle);
        let limited = self.limited_tables(&changes, &batch, now);
        let (mut urgent_changes, deferrable): (Vec<Change>, Vec<Change>) =
            changes.into_iter().partition(Change::is_urgent);
        let tables = self.tables_to_update(&urgent_changes, &limited, &batch, &allowance);
        urgent_changes.retain(|change| !limited.holds_back_urgent(change.line.table));
        if allowance.queue_is_long && self.may_coalesce(&urgent_changes, &batch, now) {
            return false;
        }
        urgent_changes.retain(|change| try_add_urgent(change, &tables, &allowance, &mut batch));
        let all_urgent_sent = urgent_changes.len() == urgent;
        let sent = match scope {
            UpdateScope::Urgent => DeferrableUpdates::default(),
            _ => self.take_fitting_deferrable(deferrable, &allowance, &limited, &mut batch),
        };
        self.send_batch(&urgent_changes, &sent, &batch, mailboxes);
        if allowance.takes_deferrable && !sent.is_empty() {
            self.deferrable_sent_at = now;
        }
        if all_urgent_sent && batch.has_lines_of(EXCLUSIONS) {
            self.mark_exclusions_sent();
        }
        all_urgent_sent
    }

    /// Returns the deferrable changes and admission limits that fit into the batch: first those that can be
    /// added to messages that are sent anyway, then those that take messages of their own.
    fn take_fitting_deferrable(
        &mut self,
        changes: Vec<Change>,
        allowance: &Allowance,
        limited: &LimitedTables,
        batch: &mut Batch,
    ) -> DeferrableUpdates {
        let mut sent = DeferrableUpdates::default();
        if batch.is_full() {
            return sent;
        }
        let tables = self.proxies.used_or_intended_tables();
        let limits = self.sent.differing_limits(tables, &self.admission_limits);
        let mut waiting = DeferrableUpdates { changes, limits };
        let limits_go_first = self.limits_go_first;
        waiting.take_fitting(&mut sent, limits_go_first, batch, |update, batch| {
            update.try_add(allowance, batch)
        });
        if allowance.takes_deferrable {
            waiting.take_fitting(&mut sent, limits_go_first, batch, |update, batch| {
                update.try_send(allowance, limited, batch)
            });
        }
        // Neither kind goes first twice in a row, so that none is left out for good.
        self.limits_go_first ^= !sent.is_empty();
        sent
    }

    /// Sends the batch, which consists of these updates.
    fn send_batch(
        &mut self,
        urgent: &[Change],
        deferrable: &DeferrableUpdates,
        batch: &Batch,
        mailboxes: &mut Mailboxes,
    ) {
        if urgent.is_empty() && deferrable.is_empty() {
            return;
        }
        let now = mailboxes.now;
        let changes: Vec<Change> = urgent.iter().chain(&deferrable.changes).copied().collect();
        let deadlines = self.removal_deadlines(&changes);
        self.record_deadlines(&deadlines, batch, now);
        deferrable.tables().for_each(|table| self.held_back.sent(table));
        self.send_changes(&changes, &deferrable.limits, mailboxes);
        self.record_readmissions(&changes, now);
        self.record_batch(batch, mailboxes);
        self.expect_acknowledgements(self.recipients_with_deadlines(&deadlines));
    }

    /// Returns the tables with urgent changes for which at least as many lines fit as their messages'
    /// overhead; smaller parts are not worth a message.
    fn tables_to_update(
        &self,
        changes: &[Change],
        limited: &LimitedTables,
        batch: &Batch,
        allowance: &Allowance,
    ) -> BTreeSet<TableId> {
        let mut urgent_lines: BTreeMap<TableId, f64> = BTreeMap::new();
        for change in changes.iter().filter(|change| change.is_urgent()) {
            *urgent_lines.entry(change.line.table).or_default() += 1.0;
        }
        let cost = self.message_cost();
        let idle_lines = allowance.idle.map_or(0.0, |idle| idle.first_lines);
        let is_worth_updating = |(&table, &lines): (&TableId, &f64)| {
            let users = batch.users(table);
            allowance.urgent_lines >= users * (cost + cost.min(lines)) || idle_lines >= users * (cost + 1.0)
        };
        let may_update = |&entry: &(&TableId, &f64)| !limited.holds_back_urgent(*entry.0);
        let updatable = urgent_lines.iter().filter(may_update);
        let mut tables: BTreeSet<TableId> =
            updatable.filter(|&entry| is_worth_updating(entry)).map(|(&table, _)| table).collect();
        let full_table_waits = urgent_lines.contains_key(&FULL_TABLE) && !tables.contains(&FULL_TABLE);
        let limited_table_waits = urgent_lines.keys().any(|&table| limited.holds_back_urgent(table));
        if self.is_leaving_full_table() || full_table_waits || limited_table_waits {
            // An exclusion also reaches users of a table that still contains the server. Exclusions therefore
            // wait until these users have received the full table's urgent changes or another table.
            tables.remove(&EXCLUSIONS);
        }
        tables
    }

    /// The earliest deadline of the removals from each table among these changes.
    fn removal_deadlines(&self, changes: &[Change]) -> BTreeMap<TableId, Nanos> {
        let mut deadlines: BTreeMap<TableId, Nanos> = BTreeMap::new();
        for change in changes.iter().filter(|change| change.line.table != EXCLUSIONS) {
            if let Some(since) = self.unready_since.get(&change.line.server) {
                let deadline = deadlines.entry(change.line.table).or_insert(Nanos::MAX);
                *deadline = (*deadline).min(since + self.drain_grace);
            }
        }
        deadlines
    }

    /// Records whether removals sent now are forecast to arrive in time.
    fn record_deadlines(&mut self, deadlines: &BTreeMap<TableId, Nanos>, batch: &Batch, now: Nanos) {
        let arrival = self.pacing.forecast(now).arrival(batch.cost());
        for (&table, &deadline) in deadlines {
            self.deadlines.record(batch.users(table) as usize, deadline, arrival);
        }
    }

    /// The users of each table, with its deadline.
    fn recipients_with_deadlines(&self, deadlines: &BTreeMap<TableId, Nanos>) -> Vec<(ProxyId, Nanos)> {
        let deadline = |proxy: &Proxy| deadlines.get(&proxy.receives_table()).copied();
        let proxies = self.proxies.by_id.iter();
        proxies.filter_map(|(&id, proxy)| deadline(proxy).map(|deadline| (id, deadline))).collect()
    }

    /// Remembers by when the proxies must have received the messages that were sent last.
    pub(super) fn expect_acknowledgements(&mut self, deadlines: Vec<(ProxyId, Nanos)>) {
        let serial = self.pacing.last_serial();
        for (proxy, deadline) in deadlines {
            self.acknowledged_deadlines.sent(proxy, serial, deadline);
        }
    }

    /// Records that all unassigned proxies were sent the exclusions.
    fn mark_exclusions_sent(&mut self) {
        let unassigned = self.proxies.by_id.values_mut().filter(|proxy| proxy.assigned_table.is_none());
        unassigned.for_each(|proxy| proxy.has_exclusions = true);
    }

    fn send_changes(&mut self, changes: &[Change], limits: &[TableLimit], mailboxes: &mut Mailboxes) {
        for change in changes {
            self.sent.send_weight(change.line, change.weight, mailboxes);
        }
        for &limit in limits {
            self.sent.send_limit(limit, mailboxes);
        }
    }

    /// Records a sent batch, and sets the quota of assignments that may follow it.
    fn record_batch(&mut self, batch: &Batch, mailboxes: &mut Mailboxes) {
        let recipients = batch.recipients(&self.proxies);
        if recipients.is_empty() {
            return;
        }
        let max_quota =
            MAX_ASSIGNMENT_GRACE_SHARE * self.drain_grace as f64 * self.pacing.configured_lines_per_ns;
        self.assignment_quota = (ASSIGNMENT_LINES_PER_CHANGE_LINE * batch.cost()).min(max_quota);
        self.pacing.record_sent(batch.cost(), recipients, mailboxes);
    }
}

/// Adds an urgent change to the batch if it may be sent now.
fn try_add_urgent(
    change: &Change,
    worth_updating: &BTreeSet<TableId>,
    allowance: &Allowance,
    batch: &mut Batch,
) -> bool {
    let is_reduction = change.priority == Priority::Reduction;
    let lines = if is_reduction { allowance.reduction_lines } else { allowance.urgent_lines };
    worth_updating.contains(&change.line.table) && batch.try_add_change(change, lines)
}
