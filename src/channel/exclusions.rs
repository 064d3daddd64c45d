//! When unassigned proxies are sent the servers that they must not send to.

use super::Channel;
use crate::interface::Nanos;
use crate::proxies::Proxy;
use crate::subsets::fallback_subset_size;

#[cfg(test)]
mod tests;

/// Share of the drain grace since it joined after which an unassigned proxy is sent the exclusions.
const EXCLUSION_DELAY_GRACE_SHARE: f64 = 0.25;

impl Channel {
    /// Whether unassigned proxies are to be sent the exclusions. A table serves as well, and is waited
    /// for until it can no longer be there in time; exclusions are sent only where a stand-in takes no fewer
    /// lines or there is none.
    pub(super) fn exclusions_are_due(&self, now: Nanos) -> bool {
        let excluded = self.desired_weights.values().filter(|desired| desired.must_exclude).count();
        let fallback_servers = fallback_subset_size(&self.desired_weights);
        if fallback_servers > 0 && excluded > fallback_servers {
            return false;
        }
        let queueing = (self.pacing.queued_lines / self.pacing.learned_lines_per_ns()) as Nanos;
        let sent_by = now + self.drain_grace.min(queueing);
        let delay = (EXCLUSION_DELAY_GRACE_SHARE * self.drain_grace as f64) as Nanos;
        let is_due = |proxy: &Proxy| proxy.assigned_table.is_none() && sent_by >= proxy.joined_at + delay;
        self.proxies.by_id.values().any(is_due)
    }
}
