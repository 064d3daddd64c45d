//! Choice between the full table and a fallback subset for each proxy. Guards draining servers, and newly
//! joined proxies that hold outdated state, against a channel that cannot deliver full tables and their
//! changes to all proxies in time. In that case newly joined proxies, and if necessary all proxies, use
//! fallback subsets, whose messages are short. A fallback subset distributes load less evenly, so proxies
//! return to the full table when the channel keeps up.

use std::collections::BTreeMap;

use super::obligations::UrgentLines;
use super::Channel;
use crate::deadlines::{DeliveryForecast, Obligation};
use crate::interface::{Nanos, ProxyId, TableId};
use crate::proxies::Proxy;
use crate::subsets::fallback_subset_size;
use crate::tables::FULL_TABLE;

#[cfg(test)]
mod tests;

/// Number of drain grace periods for which fallback subsets remain in use after the channel last failed to
/// keep up with full tables.
const FALLBACK_HOLD_GRACE_PERIODS: Nanos = 4;
/// Share of what the channel sends within a drain grace period that moving all users of the full table to
/// fallback subsets may take.
const MOVE_CAPACITY_SHARE: f64 = 0.8;

impl Channel {
    /// Chooses the table that each proxy should use.
    pub(super) fn choose_tables(&mut self, now: Nanos) {
        if self.isolated || fallback_subset_size(&self.desired_states) == 0 {
            return;
        }
        self.limit_full_table_users();
        let urgent = self.urgent_lines_by_table(now);
        let updates = self.urgent_change_obligations(&urgent);
        let newly_joined = self.newly_joined_obligations(now);
        let mut obligations: Vec<Obligation> = updates.iter().chain(&newly_joined).copied().collect();
        if self.forecast_for_table_choice(&newly_joined, now).meets_all(&mut obligations) {
            return self.restore_full_table(now, urgent.is_empty());
        }
        self.last_behind_at = Some(now);
        let waiting = if newly_joined.is_empty() { Vec::new() } else { self.proxies.awaiting_full_table() };
        self.move_to_fallback_subsets(&waiting);
        if self.should_leave_full_table(&urgent, updates, &newly_joined, now) {
            let on_full_table = |proxy: &Proxy| {
                proxy.assigned_table == Some(FULL_TABLE) && proxy.intended_table == FULL_TABLE
            };
            self.move_to_fallback_subsets(&self.proxies.ids_where(on_full_table));
        }
        self.keep_fallback_subsets();
    }

    /// Forecast by which tables are chosen. Tables of newly joined proxies cannot be taken back once they are
    /// queued, so they must be in time even if the channel has slowed down.
    fn forecast_for_table_choice(&self, newly_joined: &[Obligation], now: Nanos) -> DeliveryForecast {
        if newly_joined.is_empty() {
            self.pacing.forecast(now)
        } else {
            self.pacing.cautious_forecast(now)
        }
    }

    fn move_to_fallback_subsets(&mut self, proxies: &[ProxyId]) {
        self.subsets.move_to_fallback_subsets(proxies, &mut self.proxies, &self.desired_states);
    }

    /// Whether moving users of the full table to fallback subsets takes fewer lines than the table's changes,
    /// and these changes would be late even if newly joined proxies were given fallback subsets.
    fn should_leave_full_table(
        &self,
        urgent: &BTreeMap<TableId, UrgentLines>,
        updates: Vec<Obligation>,
        newly_joined: &[Obligation],
        now: Nanos,
    ) -> bool {
        let fallback_lines = self.fallback_message_lines();
        let full_table_changes = urgent.get(&FULL_TABLE).map_or(0.0, |urgent| urgent.lines);
        let with_fallback_subsets =
            newly_joined.iter().map(|obligation| Obligation { lines: fallback_lines, ..*obligation });
        let mut obligations: Vec<Obligation> = updates.into_iter().chain(with_fallback_subsets).collect();
        full_table_changes + self.message_cost() > fallback_lines
            && !self.pacing.forecast(now).meets_all(&mut obligations)
    }

    /// Maximum number of proxies on the full table: as many as could be moved to fallback subsets within a
    /// drain grace period, and no more than can be sent a line each at once; none if the channel cannot hold the
    /// full table.
    fn max_full_table_users(&self) -> usize {
        let full_table = self.table_sizes().get(&FULL_TABLE).copied().unwrap_or_default();
        if self.pacing.message_overhead + full_table.lines > self.pacing.capacity_lines {
            return 0;
        }
        let deliverable = self.pacing.deliverable_lines(self.drain_grace);
        let available = deliverable - self.pacing.configured_queue_target;
        let moved = (MOVE_CAPACITY_SHARE * available.max(0.0) / self.fallback_message_lines()) as usize;
        let reached_at_once = self.pacing.capacity_lines / (self.message_cost() + 1.0);
        moved.min(reached_at_once as usize)
    }

    /// Moves waiting proxies beyond the maximum number on the full table to fallback subsets, those with the
    /// fewest requests first.
    fn limit_full_table_users(&mut self) {
        let max = self.max_full_table_users();
        let count = self.proxies.count_intended_for_full_table();
        if count <= max {
            return;
        }
        let mut waiting = self.proxies.awaiting_full_table();
        let requests = |id: &ProxyId| self.proxies.by_id[id].requests.sum;
        waiting.sort_by(|a, b| requests(a).total_cmp(&requests(b)));
        waiting.truncate(count - max);
        self.move_to_fallback_subsets(&waiting);
    }

    /// Keeps proxies that were about to return to the full table on their fallback subsets.
    fn keep_fallback_subsets(&mut self) {
        for proxy in self.proxies.by_id.values_mut() {
            if proxy.intended_table != FULL_TABLE {
                continue;
            }
            let fallback_subset = proxy
                .assigned_table
                .filter(|&table| table != FULL_TABLE && self.subsets.target_weights.contains_key(&table));
            proxy.intended_table = fallback_subset.unwrap_or(FULL_TABLE);
        }
    }

    /// Whether the channel could deliver full tables in time throughout the last
    /// [`FALLBACK_HOLD_GRACE_PERIODS`] drain grace periods.
    pub(super) fn keeps_up(&self, now: Nanos) -> bool {
        let hold = FALLBACK_HOLD_GRACE_PERIODS * self.drain_grace;
        self.last_behind_at.is_none_or(|at| now.saturating_sub(at) > hold)
    }

    /// Moves proxies back to the full table once the channel keeps up, those with the most requests first.
    fn restore_full_table(&mut self, now: Nanos, nothing_is_urgent: bool) {
        let has_newly_joined = self.proxies.newly_joined().next().is_some();
        if !self.keeps_up(now) || !nothing_is_urgent || has_newly_joined {
            return;
        }
        let mut on_fallback_subsets = self.proxies.ids_where(|proxy| proxy.intended_table != FULL_TABLE);
        let requests = |id: &ProxyId| self.proxies.by_id[id].requests.sum;
        on_fallback_subsets.sort_by(|a, b| requests(b).total_cmp(&requests(a)));
        let count = self.proxies.count_intended_for_full_table();
        let free_places = self.max_full_table_users().saturating_sub(count);
        for id in on_fallback_subsets.into_iter().take(free_places) {
            if let Some(proxy) = self.proxies.by_id.get_mut(&id) {
                proxy.intended_table = FULL_TABLE;
            }
        }
    }

    /// Whether users of the full table are moving to fallback subsets; they receive an assignment instead of
    /// the full table's changes.
    pub(super) fn is_leaving_full_table(&self) -> bool {
        let is_leaving = |proxy: &Proxy| {
            proxy.assigned_table == Some(FULL_TABLE)
                && proxy.intended_table != FULL_TABLE
                && self.sent.has_lines(proxy.intended_table)
        };
        !self.isolated && self.proxies.by_id.values().any(is_leaving)
    }
}
