//! Groups of isolated proxies and their servers. [`crate::isolation`] decides when proxies are isolated; the
//! channel then forms the groups.

use std::collections::BTreeMap;

use super::{stable_servers, Purpose, Subsets, WeightedServer};
use crate::interface::TableId;
use crate::proxies::Proxies;
use crate::tables::{DesiredStates, TableLine};

/// Minimum mean number of proxies per subset.
const MIN_PROXIES_PER_SUBSET: usize = 2;
/// Minimum mean number of servers per subset.
const MIN_SERVERS_PER_SUBSET: usize = 6;
/// Minimum weight of a subset, as a multiple of the mean weight of a server.
const MIN_WEIGHT_IN_MEANS: f64 = 3.0;

impl Subsets {
    /// Divides the proxies into groups by the requests that each receives, and assigns each group a subset of
    /// this supervisor's window of the stable servers. With too few proxies or servers no groups are formed,
    /// and all proxies keep the full table.
    pub(crate) fn isolate(&mut self, proxies: &mut Proxies, desired: &DesiredStates) {
        let window = self.own_window(proxies.by_id.len(), desired);
        let by_proxies = proxies.by_id.len() / MIN_PROXIES_PER_SUBSET;
        let groups = by_proxies.min(window.len() / MIN_SERVERS_PER_SUBSET);
        let requests: f64 = proxies.by_id.values().map(|proxy| proxy.requests.sum).sum();
        if groups < 2 || requests <= 0.0 {
            return;
        }
        self.begin_generation(proxies, desired);
        self.purpose = Purpose::Isolation;
        let weight: f64 = window.iter().map(|stable| stable.weight).sum();
        let first_table = self.base_number + 1;
        let mut upper_bounds = BTreeMap::new();
        let mut lower_bound = 0.0;
        for proxy in proxies.by_id.values_mut() {
            let share = proxy.requests.sum / requests;
            let group = ((lower_bound + share / 2.0) * groups as f64) as TableId;
            proxy.intended_table = first_table + group;
            lower_bound += share;
            upper_bounds.insert(proxy.intended_table, lower_bound);
            *self.target_weights.entry(proxy.intended_table).or_default() += share * weight;
        }
        let min_weight = MIN_WEIGHT_IN_MEANS * weight / window.len() as f64;
        self.target_weights.values_mut().for_each(|target| *target = target.max(min_weight));
        self.distribute(&window, &upper_bounds);
    }

    /// This supervisor's window of the stable servers, ordered by id. It depends only on the supervisor's
    /// index and its share of all proxies, so that supervisors need not coordinate.
    fn own_window(&self, proxies: usize, desired: &DesiredStates) -> Vec<WeightedServer> {
        let servers = stable_servers(desired);
        let count = servers.len() as f64;
        let length = (count * proxies as f64 / self.proxy_count.max(1.0)).ceil().min(count) as usize;
        let first = (count * self.supervisor_index / self.supervisor_count.max(1.0)) as usize;
        servers.into_iter().cycle().skip(first).take(length).collect()
    }

    /// Adds each server to the subset whose share of the total weight contains the server's midpoint. Shares
    /// are given by their upper bounds, 0 to 1.
    fn distribute(&mut self, servers: &[WeightedServer], upper_bounds: &BTreeMap<TableId, f64>) {
        let total: f64 = servers.iter().map(|stable| stable.weight).sum();
        let mut weight_before = 0.0;
        for &WeightedServer { server, weight } in servers {
            let middle = (weight_before + weight / 2.0) / total;
            weight_before += weight;
            let subset = upper_bounds.iter().find(|(_, &bound)| bound >= middle);
            self.lines.extend(subset.map(|(&table, _)| TableLine { table, server }));
        }
    }
}
