//! Which proxies use the full table and which a stand-in. Guards drains, and what newly joined proxies hold,
//! against a channel that cannot carry full tables and their changes to all in time: then the newly joined,
//! and if need be all, use stand-ins, whose messages are short. A stand-in spreads the load less well, so it
//! is left when the channel keeps up.

use std::collections::BTreeMap;

use super::obligations::UrgentLines;
use super::Channel;
use crate::deadlines::Obligation;
use crate::interface::{Nanos, ProxyId, TableId};
use crate::proxies::Proxy;
use crate::subsets::fallback_subset_size;
use crate::tables::FULL_TABLE;

#[cfg(test)]
mod tests;

/// Stand-ins are used for so many drain graces after the channel could last not carry full tables in time.
const FALLBACK_HOLD_GRACE_PERIODS: Nanos = 4;
/// Share of what the channel sends within a drain grace that moving all users of the full table to stand-ins
/// may take.
const MOVE_CAPACITY_SHARE: f64 = 0.8;

impl Channel {
    /// Chooses the table that each proxy should use.
    pub(super) fn choose_tables(&mut self, now: Nanos) {
        if self.isolated || fallback_subset_size(&self.desired_weights) == 0 {
            return;
        }
        self.limit_full_table();
        let urgent = self.urgent_lines_by_table(now);
        let updates = self.update_obligations(&urgent);
        let newly_joined = self.newly_joined_obligations(now);
        let mut obligations: Vec<Obligation> = updates.iter().chain(&newly_joined).copied().collect();
        if self.pacing.forecast(now).meets_all(&mut obligations) {
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

    fn move_to_fallback_subsets(&mut self, proxies: &[ProxyId]) {
        self.subsets.move_to_fallback_subsets(proxies, &mut self.proxies, &self.desired_weights);
    }

    /// Whether moving users of the full table to stand-ins takes fewer lines than its changes, and these are
    /// late even where newly joined proxies get stand-ins.
    fn should_leave_full_table(
        &self,
        urgent: &BTreeMap<TableId, UrgentLines>,
        updates: Vec<Obligation>,
        newly_joined: &[Obligation],
        now: Nanos,
    ) -> bool {
        let fallback_lines = self.fallback_message_lines();
        let changes = urgent.get(&FULL_TABLE).map_or(0.0, |urgent| urgent.lines);
        let with_fallback_subsets =
            newly_joined.iter().map(|obligation| Obligation { lines: fallback_lines, ..*obligation });
        let mut obligations: Vec<Obligation> = updates.into_iter().chain(with_fallback_subsets).collect();
        changes + self.message_cost() > fallback_lines
            && !self.pacing.forecast(now).meets_all(&mut obligations)
    }

    /// Number of proxies that may use the full table: so many could be moved to stand-ins within a drain
    /// grace.
    fn max_full_table_users(&self) -> usize {
        let deliverable = self.pacing.deliverable_lines(self.drain_grace);
        let sending = deliverable - self.pacing.configured_queue_target;
        (MOVE_CAPACITY_SHARE * sending.max(0.0) / self.fallback_message_lines()) as usize
    }

    /// Intends stand-ins for waiting proxies that the full table may not have, those with the fewest requests
    /// first.
    fn limit_full_table(&mut self) {
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

    /// Has proxies that were on their way back to the full table stay on their stand-ins.
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

    /// Whether full tables could be carried in time for the last [`FALLBACK_HOLD_GRACE_PERIODS`] drain graces.
    pub(super) fn keeps_up(&self, now: Nanos) -> bool {
        let hold = FALLBACK_HOLD_GRACE_PERIODS * self.drain_grace;
        self.last_behind_at.is_none_or(|at| now.saturating_sub(at) > hold)
    }

    /// Brings proxies back to the full table once the channel keeps up, those with the most requests
    /// first.
    fn restore_full_table(&mut self, now: Nanos, nothing_is_urgent: bool) {
        let has_newly_joined = self.proxies.newly_joined().next().is_some();
        if !self.keeps_up(now) || !nothing_is_urgent || has_newly_joined {
            return;
        }
        let mut on_fallback_subsets = self.proxies.ids_where(|proxy| proxy.intended_table != FULL_TABLE);
        let requests = |id: &ProxyId| self.proxies.by_id[id].requests.sum;
        on_fallback_subsets.sort_by(|a, b| requests(b).total_cmp(&requests(a)));
        let count = self.proxies.count_intended_for_full_table();
        let more = self.max_full_table_users().saturating_sub(count);
        for id in on_fallback_subsets.into_iter().take(more) {
            if let Some(proxy) = self.proxies.by_id.get_mut(&id) {
                proxy.intended_table = FULL_TABLE;
            }
        }
    }

    /// Whether users of the full table are to leave it: they get a stand-in in place of its changes.
    pub(super) fn is_leaving_full_table(&self) -> bool {
        let is_leaving =
            |proxy: &Proxy| proxy.assigned_table == Some(FULL_TABLE) && proxy.intended_table != FULL_TABLE;
        !self.isolated && self.proxies.by_id.values().any(is_leaving)
    }
}
