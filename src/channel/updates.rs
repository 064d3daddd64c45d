//! Updates of the tables that proxies use: selects the changes that are sent now, within the limits of the
//! channel. The remaining changes are sent later.
//!
//! Guards the channel against anything that changes many lines at once: a mass restart, a wrong endpoint
//! list, or noise in the weights. Whatever else is waiting, draining and removed servers must leave the tables, and warming
//! servers must not receive a full share. During legitimate mass changes, tables lag behind by seconds.

use std::collections::{BTreeMap, BTreeSet};

use super::batch::Batch;
use super::capacity_shares::{deferrable_share, urgent_share, ASSIGNMENT_CAPACITY_SHARE};
use super::changes::{Audience, Change, Priority};
use super::sent::TableLimit;
use super::Channel;
use crate::interface::{Nanos, ProxyId, TableId};
use crate::message::{Mailboxes, SECOND};
use crate::proxies::Proxy;
use crate::tables::{EXCLUSIONS, FULL_TABLE};

#[cfg(test)]
mod tests;

/// Minimum time between two batches of deferrable changes.
const MIN_BATCH_INTERVAL: Nanos = SECOND;
/// Maximum share of the channel's rate for the overhead of deferrable messages. With many proxies, changes
/// are coalesced for longer, since a message has the same overhead however few lines it contains.
const MAX_OVERHEAD_SHARE: f64 = 0.4;
/// Share of the currently allowed messages that deferrable changes may use; the rest is reserved for urgent
/// ones.
const DEFERRABLE_MESSAGE_SHARE: f64 = 0.3;
/// Lines of table assignments that may be sent before the next deferrable changes, per line of changes sent.
const ASSIGNMENT_LINES_PER_CHANGE_LINE: f64 = 3.0;
/// Maximum number of lines of assignments before the next deferrable changes, as a share of what the channel
/// sends within a drain grace period. Assignments come first since having no table is worse than having an
/// outdated one.
const MAX_ASSIGNMENT_GRACE_SHARE: f64 = 0.125;

/// What the channel takes in this flush; amounts are in lines.
struct Allowance {
    /// Deferrable changes may be sent.
    takes_deferrable: bool,
    /// The queue is too long to add deferrable changes.
    queue_is_long: bool,
    urgent_lines: f64,
    reduction_lines: f64,
    admission_limit_lines: f64,
    deferrable_lines: f64,
}

/// Tables that are not updated at present, since a user has reached the message limit.
#[derive(Debug, Default)]
struct LimitedTables {
    for_all_changes: BTreeSet<TableId>,
    for_deferrable_changes: BTreeSet<TableId>,
}

impl LimitedTables {
    /// Whether a change of a table must wait.
    fn holds_back(&self, table: TableId, is_urgent: bool) -> bool {
        let limited = if is_urgent { &self.for_all_changes } else { &self.for_deferrable_changes };
        limited.contains(&table)
    }
}

impl Channel {
    /// Sends as many of the changes and of the differing admission limits as the channel takes. Returns
    /// whether all urgent changes were sent.
    pub(super) fn send_updates(&mut self, mut changes: Vec<Change>, mailboxes: &mut Mailboxes) -> bool {
        let now = mailboxes.now;
        let is_leaving_full_table = self.is_leaving_full_table();
        changes.retain(|change| !(is_leaving_full_table && change.line.table == FULL_TABLE));
        let urgent = changes.iter().filter(|change| change.is_urgent()).count();
        let mut batch = Batch::new(&self.proxies, self.message_cost());
        let allowance = self.allowance(&batch, now);
        if urgent == 0 && !allowance.takes_deferrable {
            return true;
        }
        let limited = self.limited_tables(now);
        changes.retain(|change| !limited.holds_back(change.line.table, change.is_urgent()));
        let tables = self.tables_to_update(&changes, &batch, &allowance);
        if allowance.queue_is_long && self.may_coalesce(&changes, &batch, now) {
            return false;
        }
        changes.retain(|change| try_add_change(change, &tables, &allowance, &mut batch));
        let limits = self.take_fitting_limits(&allowance, &limited, &mut batch);
        let urgent_sent = changes.iter().filter(|change| change.is_urgent()).count();
        let all_urgent_sent = urgent_sent == urgent;
        if changes.is_empty() && limits.is_empty() {
            return all_urgent_sent;
        }
        if urgent_sent < changes.len() || !limits.is_empty() {
            self.deferrable_sent_at = now;
        }
        let deadlines = self.removal_deadlines(&changes);
        self.record_deadlines(&deadlines, &batch, now);
        self.send_changes(&changes, limits, mailboxes);
        self.record_readmissions(&changes, now);
        self.record_batch(&batch, mailboxes);
        self.expect_acknowledgements(self.recipients_with_deadlines(&deadlines));
        if all_urgent_sent && batch.has_lines_of(EXCLUSIONS) {
            self.mark_exclusions_sent();
        }
        all_urgent_sent
    }

    /// Computes what the channel takes in this flush.
    fn allowance(&mut self, batch: &Batch, now: Nanos) -> Allowance {
        let overhead = self.message_cost() * self.proxies.by_id.len() as f64;
        let interval = self.batch_interval(overhead);
        let queued = self.pacing.update_queue(now);
        let lines = |capacity_share: f64| capacity_share * self.pacing.capacity_lines - queued;
        let admission_limit_lines = lines(ASSIGNMENT_CAPACITY_SHARE);
        let interval_is_over =
            now.saturating_sub(self.deferrable_sent_at) >= interval || self.deferrable_sent_at == 0;
        // Changes that would only wait in the queue wait here and are coalesced: they arrive no later, in
        // fewer messages.
        let queue_is_long = queued > self.pacing.queue_target() && !self.pacing.is_probe_due(now);
        let assignments_go_first =
            batch.has_unassigned_proxies() && self.assignment_quota > 0.0 && admission_limit_lines > 0.0;
        Allowance {
            takes_deferrable: interval_is_over && !queue_is_long && !assignments_go_first,
            queue_is_long,
            urgent_lines: lines(urgent_share(&self.pacing)),
            reduction_lines: lines(self.reduction_capacity_share(overhead)),
            admission_limit_lines,
            deferrable_lines: lines(self.deferrable_capacity_share(overhead, now)),
        }
    }

    /// Time between two batches of deferrable changes, where the overhead of one message to each proxy is
    /// `overhead_lines`.
    fn batch_interval(&self, overhead_lines: f64) -> Nanos {
        let by_overhead = overhead_lines / MAX_OVERHEAD_SHARE / self.pacing.configured_lines_per_ns;
        MIN_BATCH_INTERVAL.max(by_overhead as Nanos)
    }

    /// Share of the capacity that reductions may fill. They protect servers, but removals and newly joined
    /// proxies, which have deadlines, may come next.
    fn reduction_capacity_share(&self, overhead_lines: f64) -> f64 {
        let target = self.pacing.queue_target().max(2.0 * overhead_lines) / self.pacing.capacity_lines;
        urgent_share(&self.pacing).min(target)
    }

    /// Share of the capacity that deferrable changes may fill: no more than the queue target, since urgent
    /// changes wait behind them, but while the channel keeps up at least one message to each proxy, with as
    /// many lines of changes as of overhead.
    fn deferrable_capacity_share(&self, overhead_lines: f64, now: Nanos) -> f64 {
        let least = if self.keeps_up(now) { 2.0 * overhead_lines } else { 0.0 };
        let target = self.pacing.queue_target().max(least) / self.pacing.capacity_lines;
        deferrable_share(&self.pacing, overhead_lines).min(target)
    }

    /// The tables with a user for whom another message would exceed the message limit at present.
    fn limited_tables(&self, now: Nanos) -> LimitedTables {
        let mut limited = LimitedTables::default();
        let limit = &self.pacing.message_limit;
        if !limit.exists() {
            return limited;
        }
        for (&id, proxy) in &self.proxies.by_id {
            if limit.is_reached(id, 1.0, now) {
                limited.for_all_changes.insert(proxy.receives_table());
            }
            if limit.is_reached(id, DEFERRABLE_MESSAGE_SHARE, now) {
                limited.for_deferrable_changes.insert(proxy.receives_table());
            }
        }
        limited
    }

    /// Returns the tables with urgent changes for which at least as many lines fit as their messages'
    /// overhead; smaller parts are not worth a message.
    fn tables_to_update(
        &self,
        changes: &[Change],
        batch: &Batch,
        allowance: &Allowance,
    ) -> BTreeSet<TableId> {
        let mut urgent_lines: BTreeMap<TableId, f64> = BTreeMap::new();
        for change in changes.iter().filter(|change| change.is_urgent()) {
            *urgent_lines.entry(change.line.table).or_default() += 1.0;
        }
        let cost = self.message_cost();
        let is_worth_updating = |(&table, &lines): (&TableId, &f64)| {
            allowance.urgent_lines >= batch.users(table) * (cost + cost.min(lines))
        };
        let worth_updating = urgent_lines.iter().filter(|&entry| is_worth_updating(entry));
        let mut tables: BTreeSet<TableId> = worth_updating.map(|(&table, _)| table).collect();
        let full_table_waits = urgent_lines.contains_key(&FULL_TABLE) && !tables.contains(&FULL_TABLE);
        if self.is_leaving_full_table() || full_table_waits {
            // An exclusion also reaches users of a table that still contains the server. Exclusions therefore
            // wait until these users have received the full table's urgent changes or another table.
            tables.remove(&EXCLUSIONS);
        }
        tables
    }

    /// Returns the differing admission limits that fit into the batch.
    fn take_fitting_limits(
        &self,
        allowance: &Allowance,
        limited: &LimitedTables,
        batch: &mut Batch,
    ) -> Vec<TableLimit> {
        if !allowance.takes_deferrable {
            return Vec::new();
        }
        let tables = self.proxies.used_or_intended_tables();
        let mut limits = self.sent.differing_limits(tables, &self.admission_limits);
        limits.retain(|limit| {
            !limited.holds_back(limit.table, false)
                && batch.try_add(limit.table, Audience::All, allowance.admission_limit_lines)
        });
        limits
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

    fn send_changes(&mut self, changes: &[Change], limits: Vec<TableLimit>, mailboxes: &mut Mailboxes) {
        for change in changes {
            self.sent.send_weight(change.line, change.weight, mailboxes);
        }
        for limit in limits {
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

/// Adds a change to the batch if it may be sent now. Ordinary changes wait while there are both assigned and
/// unassigned proxies.
fn try_add_change(
    change: &Change,
    worth_updating: &BTreeSet<TableId>,
    allowance: &Allowance,
    batch: &mut Batch,
) -> bool {
    let table = change.line.table;
    if change.is_urgent() {
        let is_reduction = change.priority == Priority::Reduction;
        let lines = if is_reduction { allowance.reduction_lines } else { allowance.urgent_lines };
        return worth_updating.contains(&table) && batch.try_add_change(change, lines);
    }
    let waits_for_assignments = change.priority == Priority::Ordinary
        && batch.has_unassigned_proxies()
        && batch.has_assigned_proxies();
    allowance.takes_deferrable
        && !waits_for_assignments
        && batch.try_add_change(change, allowance.deferrable_lines)
}
