//! Removals that are sent alone. All actions of a flush become one message per proxy, so the last proxy
//! receives its removals behind everything that the flush sends to the others. Where that could be too late
//! on a channel that has slowed down, the flush sends only the removals, servers for tables that lack some, and
//! urgent assignments; later flushes send the rest.

use std::collections::BTreeSet;

use super::changes::{Audience, Change};
use super::Channel;
use crate::interface::{Nanos, TableId};

impl Channel {
    /// Whether this flush sends only what has a deadline, since it sends removals that the rest could make
    /// late. `changes` are all lines that differ from what was sent, and `deadline` is the earliest one of the
    /// removals among them.
    pub(super) fn removals_go_alone(&self, changes: &[Change], deadline: Option<Nanos>, now: Nanos) -> bool {
        let Some(deadline) = deadline else { return false };
        let lines = self.lines_of(changes) + self.lines_of_waiting_assignments();
        self.pacing.cautious_forecast(now).arrival(lines) > deadline
    }

    /// The earliest deadline of the removals among these changes that are sent to proxies.
    pub(super) fn first_removal_deadline(&self, changes: &[Change], now: Nanos) -> Option<Nanos> {
        let users_by_table = self.proxies.users_by_table();
        let is_sent = |change: &&Change| {
            change.is_removal()
                && change.audience == Audience::All
                && users_by_table.contains_key(&change.line.table)
        };
        let removals = changes.iter().filter(is_sent);
        removals.map(|change| self.removal_deadline(change.line.server, now)).min()
    }

    /// Number of lines of one message with these changes to each user of their tables.
    fn lines_of(&self, changes: &[Change]) -> f64 {
        let users_by_table = self.proxies.users_by_table();
        let users = |table: &TableId| users_by_table.get(table).copied().unwrap_or_default();
        let tables: BTreeSet<TableId> = changes.iter().map(|change| change.line.table).collect();
        let overhead: f64 = tables.iter().map(|table| users(table) * self.message_cost()).sum();
        overhead + changes.iter().map(|change| users(&change.line.table)).sum::<f64>()
    }

    /// Number of lines of all waiting assignments.
    fn lines_of_waiting_assignments(&self) -> f64 {
        let sizes = self.table_sizes();
        let waiting =
            self.proxies.by_id.values().filter(|proxy| proxy.assigned_table != Some(proxy.intended_table));
        let lines = waiting.filter_map(|proxy| {
            sizes.get(&proxy.intended_table).map(|size| self.assignment_lines(proxy, size))
        });
        lines.sum()
    }
}
