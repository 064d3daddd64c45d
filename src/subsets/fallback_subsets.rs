//! Fallback subsets: used in place of the full table where the channel cannot deliver full tables in time.

use super::{is_stable, least_loaded, stable_servers, Purpose, Subsets, WeightedServer};
use crate::interface::{ProxyId, TableId};
use crate::proxies::{Proxies, Proxy};
use crate::tables::{DesiredStates, TableLine};

/// Number of servers in a fallback subset: enough to spread the load, few enough that a message costs little
/// more than its overhead.
const FALLBACK_SUBSET_SERVERS: usize = 8;

/// Number of servers that a fallback subset would have now; 0 if none can be formed.
pub(crate) fn fallback_subset_size(desired: &DesiredStates) -> usize {
    desired.values().filter(|desired| is_stable(desired)).count().min(FALLBACK_SUBSET_SERVERS)
}

/// Mean number of servers of a fallback subset that have returned: a proxy with another supervisor's state is
/// told to readmit them.
pub(crate) fn fallback_readmissions(desired: &DesiredStates) -> f64 {
    let stable = || desired.values().filter(|desired| is_stable(desired));
    let returned = stable().filter(|desired| desired.has_returned).count();
    fallback_subset_size(desired) as f64 * returned as f64 / stable().count().max(1) as f64
}

/// Warm servers with a weight, ordered by locality, then by id.
fn stable_servers_by_locality(desired: &DesiredStates) -> Vec<WeightedServer> {
    let mut servers = stable_servers(desired);
    servers.sort_by_key(|stable| (desired[&stable.server].locality, stable.server));
    servers
}

impl Subsets {
    /// Moves proxies to fallback subsets, each to the one with the lowest load at the time.
    pub(crate) fn move_to_fallback_subsets(
        &mut self,
        ids: &[ProxyId],
        proxies: &mut Proxies,
        desired: &DesiredStates,
    ) {
        self.ensure_fallback_subsets(proxies, desired);
        let mut loads = self.loads(proxies);
        for id in ids {
            let Some(table) = least_loaded(&loads) else { return };
            if let Some(proxy) = proxies.by_id.get_mut(id) {
                proxy.intended_table = table;
                // A proxy with hardly any requests counts too.
                let target = self.target_weights[&table].max(f64::MIN_POSITIVE);
                let load = proxy.requests.sum.max(1.0) / target;
                loads.entry(table).and_modify(|sum| *sum += load);
            }
        }
    }

    /// Distributes all stable servers over fallback subsets, unless some subsets are already in use.
    fn ensure_fallback_subsets(&mut self, proxies: &Proxies, desired: &DesiredStates) {
        let in_use = |proxy: &Proxy| self.target_weights.contains_key(&proxy.intended_table);
        let are_fallback_subsets = self.purpose == Purpose::Fallback && !self.target_weights.is_empty();
        if are_fallback_subsets && proxies.by_id.values().any(in_use) {
            return;
        }
        let servers = stable_servers_by_locality(desired);
        let subsets = (servers.len() / FALLBACK_SUBSET_SERVERS).max(1);
        self.begin_generation(proxies, desired);
        self.purpose = Purpose::Fallback;
        let first_table = self.base_number + 1;
        // Round-robin, so that no subset loses all its servers with one locality or with a range of
        // neighbouring ids.
        for (position, WeightedServer { server, weight }) in servers.into_iter().enumerate() {
            let table = first_table + (position % subsets) as TableId;
            self.lines.insert(TableLine { table, server });
            *self.target_weights.entry(table).or_default() += weight;
        }
    }
}
