//! Stand-ins: subsets in place of the full table where the channel cannot carry full tables in time.

use super::{is_stable, least_loaded, stable_servers, Purpose, Subsets, WeightedServer};
use crate::interface::{ProxyId, TableId};
use crate::proxies::{Proxies, Proxy};
use crate::tables::{DesiredWeights, TableLine};

/// Servers on a stand-in: enough to spread the load, few enough that a message costs little more than its
/// overhead.
const FALLBACK_SUBSET_SERVERS: usize = 8;

/// Servers that a stand-in would have now; 0 where there can be none.
pub(crate) fn fallback_subset_size(desired: &DesiredWeights) -> usize {
    desired.values().filter(|desired| is_stable(desired)).count().min(FALLBACK_SUBSET_SERVERS)
}

/// Servers that are in service and warm, by locality.
fn stable_servers_by_locality(desired: &DesiredWeights) -> Vec<WeightedServer> {
    let mut servers = stable_servers(desired);
    servers.sort_by_key(|stable| (desired[&stable.server].locality, stable.server));
    servers
}

impl Subsets {
    /// Has proxies use stand-ins, each the one with the least load.
    pub(crate) fn move_to_fallback_subsets(
        &mut self,
        ids: &[ProxyId],
        proxies: &mut Proxies,
        desired: &DesiredWeights,
    ) {
        self.ensure_fallback_subsets(proxies, desired);
        let mut loads = self.loads(proxies);
        for id in ids {
            let Some(table) = least_loaded(&loads) else { return };
            if let Some(proxy) = proxies.by_id.get_mut(id) {
                proxy.intended_table = table;
                // A proxy with next to no requests counts too.
                let target = self.target_weights[&table].max(f64::MIN_POSITIVE);
                let load = proxy.requests.sum.max(1.0) / target;
                loads.entry(table).and_modify(|sum| *sum += load);
            }
        }
    }

    /// Puts all stable servers on stand-ins, unless some are in use already.
    fn ensure_fallback_subsets(&mut self, proxies: &Proxies, desired: &DesiredWeights) {
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
        // In turns, so that no subset loses all at once with a locality or with servers of neighbouring
        // numbers.
        for (position, WeightedServer { server, weight }) in servers.into_iter().enumerate() {
            let table = first_table + (position % subsets) as TableId;
            self.lines.insert(TableLine { table, server });
            *self.target_weights.entry(table).or_default() += weight;
        }
    }
}
