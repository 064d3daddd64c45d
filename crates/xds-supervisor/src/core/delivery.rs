//! Updates that no action of the controller caused: retransmitted lines, corrections of the guard, and operators'
//! constraints. They use only the spare capacity of the channel.

use shalereel::interface::{Nanos, ProxyId, TableId};

use super::proxy::{Mark, PendingUpdate};
use super::{table_context, Core};
use crate::channel::Departure;

/// An update that no action of the controller caused, waiting for spare capacity of the channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SupervisorUpdate {
    pub proxy: ProxyId,
    pub lines: usize,
}

impl Core {
    /// Queues all updates that no action of the controller caused, and puts as many into the channel as it has spare
    /// capacity for.
    pub(super) fn poll_supervisor_updates(&mut self, now: Nanos) {
        self.queue_guard_corrections();
        self.queue_retransmissions(now);
        self.enqueue_supervisor_updates(now);
    }

    /// Queues an update of a proxy, once: one update sends all lines that the proxy lacks.
    fn queue_supervisor_update(&mut self, proxy: ProxyId, lines: usize) {
        match self.supervisor_updates.iter_mut().find(|update| update.proxy == proxy) {
            Some(update) => update.lines = update.lines.max(lines),
            None => self.supervisor_updates.push_back(SupervisorUpdate { proxy, lines }),
        }
    }

    /// Queues an update with the lines of a table that a proxy lacks.
    pub(super) fn queue_missing_lines(&mut self, id: ProxyId, table: TableId) {
        let Some(proxy) = self.proxies.get(&id) else { return };
        let subscription = proxy.subscriptions.get(&table);
        let base = subscription.and_then(|subscription| subscription.next_base(&self.tables.store, table));
        let lines = self.tables.lines_since(table, base.unwrap_or(0));
        self.queue_supervisor_update(id, lines);
    }

    /// Queues updates with the lines that the guard drained. Without them, the tables' users would receive these lines
    /// only with the next action of the controller that affects them, which may come after the drain grace.
    fn queue_guard_corrections(&mut self) {
        for (table, lines) in self.tables.take_drained_by_guard() {
            for id in self.users(table) {
                self.queue_supervisor_update(id, lines);
            }
        }
    }

    /// Ids of the proxies that use a table.
    pub(super) fn users(&self, table: TableId) -> Vec<ProxyId> {
        self.proxies.iter().filter(|(_, proxy)| proxy.uses(table)).map(|(&id, _)| id).collect()
    }

    /// Earliest time at which unacknowledged lines are to be sent again, ns.
    pub(super) fn next_retransmission(&self) -> Option<Nanos> {
        let subscriptions = self.proxies.values().flat_map(|proxy| proxy.subscriptions.values());
        let outstanding = subscriptions.filter_map(|subscription| subscription.unacknowledged());
        outstanding.map(|sent| self.delivery.retransmit_at(sent)).min()
    }

    /// Queues updates with the lines that were not acknowledged in time.
    fn queue_retransmissions(&mut self, now: Nanos) {
        let mut due = Vec::new();
        for (&id, proxy) in &mut self.proxies {
            for (&table, subscription) in &mut proxy.subscriptions {
                let sent = subscription.unacknowledged();
                if sent.is_some_and(|sent| self.delivery.retransmit_at(sent) <= now) {
                    subscription.retransmit();
                    due.push((id, table));
                }
            }
        }
        for (id, table) in due {
            self.queue_missing_lines(id, table);
        }
    }

    /// Ends expired caps and rollbacks. Then puts the queued updates, and lines that operators' constraints have
    /// changed, into the channel as far as it has spare capacity.
    fn enqueue_supervisor_updates(&mut self, now: Nanos) {
        self.tables.on_timeout(now);
        while self.enqueue_while_capacity(now) {
            let Some(table) = self.tables.next_with_pending_lines() else { return };
            let users = self.users(table);
            let max_lines = self.delivery.rollback_step_lines(users.len());
            let context =
                table_context(&self.endpoints, &self.table_shares, &self.config, self.wall_clock_offset, now);
            let changed = self.tables.publish_pending_lines(table, max_lines, &context);
            if changed > 0 {
                let updates = users.into_iter().map(|proxy| SupervisorUpdate { proxy, lines: changed });
                self.supervisor_updates.extend(updates);
            }
        }
    }

    /// Puts queued updates into the channel while it has spare capacity; returns whether none is left.
    fn enqueue_while_capacity(&mut self, now: Nanos) -> bool {
        while let Some(&SupervisorUpdate { proxy, lines }) = self.supervisor_updates.front() {
            let cost = self.delivery.message_cost(lines);
            if self.proxies.contains_key(&proxy) {
                let queued = self.channel.backlog().queued_lines;
                if cost > self.delivery.spare_lines(queued, self.channel.supervisor_lines()) {
                    return false;
                }
                self.channel.enqueue_supervisor_message(now, proxy, cost);
            }
            self.supervisor_updates.pop_front();
        }
        true
    }

    /// Handles a message that has left the channel: it is written in the first poll in which its proxy is not blocked.
    pub(super) fn on_departure(&mut self, departure: Departure) {
        let Some(proxy) = self.proxies.get_mut(&departure.proxy) else { return };
        let update = proxy.pending.get_or_insert_with(|| PendingUpdate::new(departure.queued_at));
        let mark = departure.mark.map(|serial| Mark { serial, queued_at: departure.queued_at });
        update.marks.extend(mark);
    }
}
