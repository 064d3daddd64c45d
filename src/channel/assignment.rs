//! Assignments of tables to proxies that have newly joined or must change tables, ordered by deadline, then
//! unassigned proxies first, then by number of requests.

use std::collections::BTreeSet;

use super::capacity_shares::{urgent_share, ASSIGNMENT_CAPACITY_SHARE};
use super::sent::TableSize;
use super::Channel;
use crate::interface::{Action, Nanos, ProxyId, TableId};
use crate::message::Mailboxes;
use crate::pacing::MessagePurpose;
use crate::proxies::Proxy;
use crate::tables::FULL_TABLE;

#[cfg(test)]
mod tests;

/// Which assignments are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AssignmentScope {
    /// Only urgent assignments, which have a deadline.
    Urgent,
    /// All assignments, within a share of the channel's capacity.
    All { capacity_share: f64 },
}

/// An assignment that is waiting to be sent.
struct Assignment {
    proxy: ProxyId,
    table: TableId,
    /// `None` unless the assignment is urgent.
    deadline: Option<Nanos>,
    /// Number of lines of its message.
    lines: f64,
}

impl Channel {
    /// Sends as many waiting assignments as the channel takes.
    pub(super) fn assign_tables(&mut self, scope: AssignmentScope, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        let waiting = self.waiting_assignments(scope, now);
        let queued = self.pacing.update_queue(now);
        let max_lines = self.max_assignment_lines(scope, queued);
        let takes_one = scope != AssignmentScope::Urgent && self.takes_one_assignment(queued, now);
        let forecast = self.pacing.forecast(now);
        let mut lines = 0.0;
        let mut recipients = BTreeSet::new();
        let mut deadlines = Vec::new();
        for assignment in waiting {
            if lines + assignment.lines > max_lines && !(takes_one && recipients.is_empty()) {
                break;
            }
            let Assignment { proxy, table, deadline, .. } = assignment;
            mailboxes.actions.push(Action::AssignTable { proxy, table, operations: 0 });
            lines += assignment.lines;
            recipients.insert(proxy);
            deadlines.extend(self.drain_deadline_of(proxy).map(|deadline| (proxy, deadline)));
            if let Some(proxy) = self.proxies.by_id.get_mut(&proxy) {
                proxy.assigned_table = Some(table);
            }
            if let Some(deadline) = deadline {
                self.deadlines.record(1, deadline, forecast.arrival(lines));
            }
        }
        if !recipients.is_empty() {
            self.assignment_quota -= lines;
            self.pacing.record_sent(lines, recipients, mailboxes);
            self.expect_acknowledgements(deadlines);
        }
    }

    /// Deadline by which a table must replace what a newly joined proxy holds; `None` if it holds nothing
    /// that it must not use, or has received a table or the exclusions.
    fn drain_deadline_of(&self, proxy: ProxyId) -> Option<Nanos> {
        let newly_joined = self.proxies.by_id.get(&proxy).filter(|proxy| proxy.is_newly_joined());
        newly_joined.filter(|_| !self.unready_since.is_empty()).map(|proxy| self.newly_joined_deadline(proxy))
    }

    /// Returns the waiting assignments in the order in which they are sent.
    fn waiting_assignments(&self, scope: AssignmentScope, now: Nanos) -> Vec<Assignment> {
        let sizes = self.table_sizes();
        let full_table_deadline = match scope {
            AssignmentScope::Urgent => Some(self.full_table_deadline(now)),
            AssignmentScope::All { .. } => None,
        };
        let deadline = |proxy: &Proxy| match (scope, proxy.assigned_table) {
            (AssignmentScope::All { .. }, _) => None,
            (AssignmentScope::Urgent, None) => Some(self.newly_joined_deadline(proxy)),
            (AssignmentScope::Urgent, Some(_)) => full_table_deadline,
        };
        let mut waiting: Vec<(Assignment, &Proxy)> = Vec::new();
        for (&id, proxy) in &self.proxies.by_id {
            let table = proxy.intended_table;
            let is_due = scope != AssignmentScope::Urgent || self.is_urgent_assignment(proxy);
            let is_limited = self.may_not_be_assigned(id, now);
            if proxy.assigned_table == Some(table) || !is_due || is_limited {
                continue;
            }
            let Some(size) = sizes.get(&table) else { continue };
            let lines = self.assignment_lines(proxy, size);
            waiting.push((Assignment { proxy: id, table, deadline: deadline(proxy), lines }, proxy));
        }
        waiting.sort_by(|(a, proxy_a), (b, proxy_b)| {
            let by_deadline = a.deadline.cmp(&b.deadline);
            let by_table = proxy_a.assigned_table.cmp(&proxy_b.assigned_table);
            let by_requests = proxy_b.requests.sum.total_cmp(&proxy_a.requests.sum);
            by_deadline.then(by_table).then(by_requests)
        });
        waiting.into_iter().map(|(assignment, _)| assignment).collect()
    }

    /// Whether the limit on messages excludes an assignment at present.
    fn may_not_be_assigned(&self, id: ProxyId, now: Nanos) -> bool {
        self.pacing.message_limit.is_reached(id, MessagePurpose::Prompt, now)
    }

    /// Whether an unassigned proxy waits for a table that it could be sent: the table has servers, and the
    /// limit on messages leaves room.
    pub(super) fn has_assignable_proxy(&self, now: Nanos) -> bool {
        let sizes = self.table_sizes();
        self.proxies.by_id.iter().any(|(&id, proxy)| {
            proxy.assigned_table.is_none()
                && sizes.contains_key(&proxy.intended_table)
                && !self.may_not_be_assigned(id, now)
        })
    }

    /// Whether a proxy waits for an urgent assignment of a fallback subset. The assignment is urgent if the
    /// proxy has no table from this supervisor and may still use servers that are not ready, or if the proxy
    /// leaves the full table and receives the assignment in place of that table's urgent changes.
    fn is_urgent_assignment(&self, proxy: &Proxy) -> bool {
        let may_hold_unready = proxy.assigned_table.is_none() && !self.unready_since.is_empty();
        let leaves_full_table = proxy.assigned_table == Some(FULL_TABLE) && !self.isolated;
        proxy.intended_table != FULL_TABLE && (may_hold_unready || leaves_full_table)
    }

    /// Deadline by which users of the full table must receive its urgent changes.
    fn full_table_deadline(&self, now: Nanos) -> Nanos {
        let urgent = self.urgent_lines_by_table(now);
        urgent.get(&FULL_TABLE).map_or(now + self.drain_grace, |urgent| urgent.deadline)
    }

    /// Number of lines of the message that assigns a table of this size to a proxy.
    pub(super) fn assignment_lines(&self, proxy: &Proxy, size: &TableSize) -> f64 {
        let readmissions = if proxy.holds_foreign_state { size.readmissions } else { 0.0 };
        self.pacing.message_overhead + size.lines + readmissions
    }

    /// Number of lines that assignments may add to the queue.
    fn max_assignment_lines(&self, scope: AssignmentScope, queued: f64) -> f64 {
        let capacity = self.pacing.capacity_lines;
        match scope {
            AssignmentScope::Urgent => capacity * urgent_share(&self.pacing) - queued,
            AssignmentScope::All { capacity_share } => {
                (capacity * capacity_share).min(self.pacing.queue_target()) - queued
            }
        }
    }

    /// Whether one assignment is sent regardless of its size: the queue is empty, or a message is needed to
    /// show whether the channel is slow or proxies are gone.
    fn takes_one_assignment(&self, queued: f64, now: Nanos) -> bool {
        let probes =
            self.pacing.is_probe_due(now) && self.pacing.capacity_lines * ASSIGNMENT_CAPACITY_SHARE > queued;
        self.pacing.queued_lines == 0.0 || probes
    }
}
