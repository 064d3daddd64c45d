//! Exclusions: when unassigned proxies are sent the servers that they must not send requests to.

use super::Channel;
use crate::interface::Nanos;
use crate::proxies::Proxy;
use crate::subsets::fallback_subset_size;

#[cfg(test)]
mod tests;

/// Time from a proxy's joining until it is sent the exclusions if it is still unassigned, as a share of the
/// drain grace period.
const EXCLUSION_DELAY_GRACE_SHARE: f64 = 0.25;

impl Channel {
    /// Whether unassigned proxies must be sent the exclusions now. A table serves the same purpose, so
    /// exclusions are sent only when a table can no longer arrive in time, and only if a fallback subset
    /// takes at least as many lines or there is none.
    pub(super) fn exclusions_are_due(&self, now: Nanos) -> bool {
        let excluded = self.desired_states.values().filter(|desired| desired.must_exclude).count();
        let fallback_servers = fallback_subset_size(&self.desired_states);
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
