//! Subsets: tables with few servers, each shared by some of the proxies. They limit the number of connections
//! where connections are hard to establish (isolation), and keep messages short where the channel cannot
//! deliver full tables in time (fallback). The channel decides when subsets are used; this module decides
//! which servers are in which subset and which proxy is given which subset.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{ControllerConfig, ServerId, TableId};
use crate::message::DesiredState;
use crate::proxies::Proxies;
use crate::tables::{DesiredStates, TableLine, FULL_TABLE};

pub(crate) use fallback_subsets::{fallback_readmissions, fallback_subset_size};

mod fallback_subsets;
mod isolation_groups;
mod replenishment;
#[cfg(test)]
mod tests;

/// Number of table numbers per generation of subsets. Two ranges of numbers alternate, since proxies stay on
/// subsets of the previous generation until they have moved.
const NUMBERS_PER_GENERATION: TableId = 1 << 14;
/// Share of its desired weight that a warming server gets in a subset, since the subset may have lost up to
/// half of its weight.
pub(crate) const WARMING_UP_SHARE: f64 = 0.5;

/// Purpose of the current subsets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Purpose {
    /// They replace the full table.
    #[default]
    Fallback,
    /// They isolate groups of proxies on few servers from this supervisor's own window of servers.
    Isolation,
}

/// A server and its desired weight.
#[derive(Clone, Copy, Debug)]
struct WeightedServer {
    server: ServerId,
    weight: f64,
}

/// The subsets of this supervisor's proxies, and the purpose that they currently serve.
#[derive(Debug, Default)]
pub(crate) struct Subsets {
    /// Lines of all subsets, including those of the previous generation that are still in use.
    pub(crate) lines: BTreeSet<TableLine>,
    /// Target weight of each subset of the current generation.
    pub(crate) target_weights: BTreeMap<TableId, f64>,
    /// Subsets with enough warm weight that a warming server gets only a small share.
    has_enough_weight: BTreeSet<TableId>,
    /// Servers that were known when subsets were last assigned or replenished.
    known_servers: BTreeSet<ServerId>,
    purpose: Purpose,
    /// The table numbers of the current generation follow this number.
    base_number: TableId,
    supervisor_index: f64,
    supervisor_count: f64,
    /// Number of proxies of all supervisors together.
    proxy_count: f64,
}

/// Whether a server is warm and has a weight.
fn is_stable(desired: &DesiredState) -> bool {
    desired.weight > 0.0 && !desired.unstable
}

/// Warm servers with a weight, ordered by id.
fn stable_servers(desired: &DesiredStates) -> Vec<WeightedServer> {
    let stable = desired.iter().filter(|(_, desired)| is_stable(desired));
    stable.map(|(&server, desired)| WeightedServer { server, weight: desired.weight }).collect()
}

/// The subset with the lowest load; among equals the one with the lowest number.
fn least_loaded(loads: &BTreeMap<TableId, f64>) -> Option<TableId> {
    loads.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0))).map(|(&table, _)| table)
}

impl Subsets {
    /// Creates an empty set of subsets.
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        Subsets {
            supervisor_index: config.supervisor_index.into(),
            supervisor_count: config.supervisor_count.into(),
            proxy_count: config.proxy_count.into(),
            ..Subsets::default()
        }
    }

    /// Servers that are in at least one subset.
    pub(crate) fn servers(&self) -> BTreeSet<ServerId> {
        self.lines.iter().map(|line| line.server).collect()
    }

    /// Removes a server from all subsets.
    pub(crate) fn forget_server(&mut self, server: ServerId) {
        self.known_servers.remove(&server);
        self.lines.retain(|line| line.server != server);
    }

    /// The weight that a server should have in a subset. Warming servers get a part of their weight, and none
    /// while the subset lacks warm weight, since their share of its load would be large.
    pub(crate) fn desired_weight(&self, line: TableLine, desired: &DesiredState) -> f64 {
        if !self.lines.contains(&line) {
            0.0
        } else if !desired.unstable {
            desired.weight
        } else if self.has_enough_weight.contains(&line.table) {
            desired.weight * WARMING_UP_SHARE
        } else {
            0.0
        }
    }

    /// Begins a new generation. Subsets of the previous generation are kept while proxies use them; older
    /// ones are dropped.
    fn begin_generation(&mut self, proxies: &Proxies, desired: &DesiredStates) {
        let used = proxies.assigned_tables();
        self.lines.retain(|line| used.contains(&line.table));
        self.target_weights.clear();
        let first_numbers = 1..=NUMBERS_PER_GENERATION;
        let first_in_use = self.lines.iter().any(|line| first_numbers.contains(&line.table));
        self.base_number = if first_in_use { NUMBERS_PER_GENERATION } else { 0 };
        let taken = self.base_number..=self.base_number + NUMBERS_PER_GENERATION;
        self.lines.retain(|line| !(line.table > FULL_TABLE && taken.contains(&line.table)));
        self.known_servers = desired.keys().copied().collect();
    }

    /// Load of each subset: the requests of its proxies divided by its target weight.
    fn loads(&self, proxies: &Proxies) -> BTreeMap<TableId, f64> {
        let mut loads: BTreeMap<TableId, f64> =
            self.target_weights.keys().map(|&table| (table, 0.0)).collect();
        for proxy in proxies.by_id.values() {
            if let Some(load) = loads.get_mut(&proxy.intended_table) {
                *load += proxy.requests.sum;
            }
        }
        loads.iter_mut().for_each(|(table, load)| *load /= self.target_weights[table].max(f64::MIN_POSITIVE));
        loads
    }

    /// The subset with the lowest load.
    pub(crate) fn least_loaded(&self, proxies: &Proxies) -> Option<TableId> {
        least_loaded(&self.loads(proxies))
    }
}
