//! Delivery obligations: removals of servers that are not ready, and tables for newly joined proxies,
//! whatever state these hold. They determine the choice of tables and the order of assignments.

use std::collections::BTreeMap;

use super::sent::{TableSize, FIXED_ASSIGNMENT_LINES};
use super::Channel;
use crate::deadlines::Obligation;
use crate::interface::{Nanos, ServerId, TableId};
use crate::proxies::Proxy;
use crate::subsets::{fallback_readmissions, fallback_subset_size};
use crate::tables::{EXCLUSIONS, FULL_TABLE};

/// Length of the recent past, as a share of the drain grace period: as many proxies are expected to join next
/// as have joined within it.
const RECENT_JOINS_GRACE_SHARE: f64 = 0.25;

/// Number of urgent changes of a table, and when they are due.
#[derive(Clone, Copy, Debug)]
pub(super) struct UrgentLines {
    pub(super) lines: f64,
    /// The earliest deadline among them.
    pub(super) deadline: Nanos,
}

impl Channel {
    /// Deadline after which no proxy may send to a server that is not ready.
    pub(super) fn removal_deadline(&self, server: ServerId, now: Nanos) -> Nanos {
        self.unready_since.get(&server).copied().unwrap_or(now) + self.drain_grace
    }

    /// Deadline after which a newly joined proxy must not send to servers that are not ready, whatever state
    /// it held when it joined.
    pub(super) fn newly_joined_deadline(&self, proxy: &Proxy) -> Nanos {
        // Half of the range of `Nanos`, so that adding the grace period cannot overflow.
        let first = self.unready_since.values().min().copied().unwrap_or(Nanos::MAX / 2);
        proxy.joined_at.max(first) + self.drain_grace
    }

    /// Returns the urgent changes of each table.
    pub(super) fn urgent_lines_by_table(&self, now: Nanos) -> BTreeMap<TableId, UrgentLines> {
        let mut urgent: BTreeMap<TableId, UrgentLines> = BTreeMap::new();
        for change in self.differing_lines(now) {
            if !change.is_urgent() || change.line.table == EXCLUSIONS {
                continue;
            }
            let deadline = self.removal_deadline(change.line.server, now);
            let table = urgent.entry(change.line.table).or_insert(UrgentLines { lines: 0.0, deadline });
            table.lines += 1.0;
            table.deadline = table.deadline.min(deadline);
        }
        urgent
    }

    /// Returns the obligations to send urgent changes to the users of each table.
    pub(super) fn urgent_change_obligations(
        &self,
        urgent: &BTreeMap<TableId, UrgentLines>,
    ) -> Vec<Obligation> {
        let users_by_table = self.proxies.users_by_table();
        let obligation = |(table, urgent): (&TableId, &UrgentLines)| {
            let users = users_by_table.get(table).copied().unwrap_or_default();
            Obligation { deadline: urgent.deadline, lines: users * (self.message_cost() + urgent.lines) }
        };
        urgent.iter().map(obligation).collect()
    }

    /// Returns the obligations to newly joined proxies if they are assigned their intended tables now, and to
    /// proxies that are expected to join.
    pub(super) fn newly_joined_obligations(&self, now: Nanos) -> Vec<Obligation> {
        if self.unready_since.is_empty() {
            return Vec::new();
        }
        let full_table = self.table_sizes().get(&FULL_TABLE).copied().unwrap_or_default();
        let obligation = |proxy: &Proxy| Obligation {
            deadline: self.newly_joined_deadline(proxy),
            lines: self.first_message_lines(proxy, full_table),
        };
        let mut obligations: Vec<Obligation> = self.proxies.newly_joined().map(obligation).collect();
        let since = now.saturating_sub((RECENT_JOINS_GRACE_SHARE * self.drain_grace as f64) as Nanos);
        let recent = self.proxies.newly_joined().filter(|proxy| proxy.joined_at >= since).count();
        let elsewhere = self.proxy_count.saturating_sub(self.proxies.by_id.len());
        let expected = Obligation {
            deadline: now + self.drain_grace,
            lines: self.pacing.message_overhead + full_table.lines + full_table.readmissions,
        };
        obligations.extend(std::iter::repeat_n(expected, recent.min(elsewhere)));
        obligations
    }

    /// Number of lines of the message that assigns a proxy its first table.
    fn first_message_lines(&self, proxy: &Proxy, full_table: TableSize) -> f64 {
        let on_subset = proxy.intended_table != FULL_TABLE;
        let (table, readmissions) = if on_subset {
            (self.fallback_message_lines(), fallback_readmissions(&self.desired_states))
        } else {
            (self.pacing.message_overhead + full_table.lines, full_table.readmissions)
        };
        table + if proxy.holds_foreign_state { readmissions } else { 0.0 }
    }

    /// Number of lines of a message that assigns a fallback subset.
    pub(super) fn fallback_message_lines(&self) -> f64 {
        self.pacing.message_overhead
            + FIXED_ASSIGNMENT_LINES
            + self.admission_limits.len() as f64
            + fallback_subset_size(&self.desired_states) as f64
    }

    /// Cost of a message that updates a table, in addition to its changes, in lines: its overhead and the
    /// mark.
    pub(super) fn message_cost(&self) -> f64 {
        self.pacing.message_overhead + 1.0
    }

    /// Number of lines that an assignment of each table takes.
    pub(super) fn table_sizes(&self) -> BTreeMap<TableId, TableSize> {
        self.sent.table_sizes(self.admission_limits.len(), &self.desired_states)
    }
}
