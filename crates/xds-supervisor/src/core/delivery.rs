//! Updates beside the controller's: lines sent again, corrections of the guard and operators' constraints. They take
//! the channel's spare capacity.

use shalereel::interface::{Nanos, ProxyId, TableId};

use super::proxy::{Mark, PendingUpdate};
use super::{table_context, Core};
use crate::channel::Departure;

/// An update that waits for capacity of the channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnUpdate {
    pub proxy: ProxyId,
    pub lines: usize,
}

impl Core {
    /// Queues all updates that no action of the controller caused, and puts them into the channel as far as it has
    /// capacity.
    pub(super) fn poll_own_updates(&mut self, now: Nanos) {
        self.queue_guard_corrections();
        self.queue_retransmissions(now);
        self.enqueue_own_updates(now);
    }

    /// Queues an update; one brings all that a proxy lacks, however often it is queued.
    fn queue_own_update(&mut self, proxy: ProxyId, lines: usize) {
        match self.own_updates.iter_mut().find(|update| update.proxy == proxy) {
            Some(update) => update.lines = update.lines.max(lines),
            None => self.own_updates.push_back(OwnUpdate { proxy, lines }),
        }
    }

    /// Queues the lines of a table that a proxy lacks.
    pub(super) fn queue_missing_lines(&mut self, id: ProxyId, table: TableId) {
        let Some(proxy) = self.proxies.get(&id) else { return };
        let subscription = proxy.subscriptions.get(&table);
        let base = subscription.and_then(|subscription| subscription.next_base(&self.tables.store, table));
        let lines = self.tables.lines_since(table, base.unwrap_or(0));
        self.queue_own_update(id, lines);
    }

    /// Queues what the guard has changed by itself: no action concerns its users, and the next may come after the grace.
    fn queue_guard_corrections(&mut self) {
        for (table, lines) in self.tables.take_drained_by_guard() {
            for id in self.users(table) {
                self.queue_own_update(id, lines);
            }
        }
    }

    /// Proxies that use a table.
    pub(super) fn users(&self, table: TableId) -> Vec<ProxyId> {
        self.proxies.iter().filter(|(_, proxy)| proxy.uses(table)).map(|(&id, _)| id).collect()
    }

    /// The time when the first unacknowledged lines are sent again, ns.
    pub(super) fn next_retransmission(&self) -> Option<Nanos> {
        let subscriptions = self.proxies.values().flat_map(|proxy| proxy.subscriptions.values());
        let outstanding = subscriptions.filter_map(|subscription| subscription.unacknowledged());
        outstanding.map(|sent| self.delivery.retransmit_at(sent)).min()
    }

    /// Queues lines that were sent and not acknowledged in time.
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

    /// Ends expired caps and rollbacks, and puts queued updates and what operators' constraints have changed into the
    /// channel, as far as it has capacity.
    fn enqueue_own_updates(&mut self, now: Nanos) {
        self.tables.on_timeout(now);
        while self.enqueue_while_capacity(now) {
            let Some(table) = self.tables.next_with_pending_lines() else { return };
            let users = self.users(table);
            let max_lines = self.delivery.rollback_step_lines(users.len());
            let context =
                table_context(&self.endpoints, &self.table_shares, &self.config, self.wall_clock_offset, now);
            let changed = self.tables.publish_pending_lines(table, max_lines, &context);
            if changed > 0 {
                let updates = users.into_iter().map(|proxy| OwnUpdate { proxy, lines: changed });
                self.own_updates.extend(updates);
            }
        }
    }

    /// Whether all queued updates found capacity.
    fn enqueue_while_capacity(&mut self, now: Nanos) -> bool {
        while let Some(&OwnUpdate { proxy, lines }) = self.own_updates.front() {
            let cost = self.delivery.message_cost(lines);
            if self.proxies.contains_key(&proxy) {
                let queued = self.channel.backlog().queued_lines;
                if cost > self.delivery.spare_lines(queued, self.channel.supervisor_lines()) {
                    return false;
                }
                self.channel.enqueue_own(now, proxy, cost);
            }
            self.own_updates.pop_front();
        }
        true
    }

    /// A message has left the channel: it is written with the next poll in which its proxy can read it.
    pub(super) fn departed(&mut self, departure: Departure) {
        let Some(proxy) = self.proxies.get_mut(&departure.proxy) else { return };
        let update = proxy.pending.get_or_insert_with(|| PendingUpdate::new(departure.queued_at));
        let mark = departure.mark.map(|serial| Mark { serial, queued_at: departure.queued_at });
        update.marks.extend(mark);
    }
}
