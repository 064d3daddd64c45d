//! Subsets: tables of few servers, each shared by some of the proxies. They keep connections few where these are hard to
//! establish (isolation), and messages short where the channel cannot carry full tables in time (stand-ins). The channel
//! decides when subsets are used; which servers stand on which, and which proxy gets which, is decided here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::message::DesiredWeight;
use crate::proxies::{Proxies, Proxy};
use crate::tables::{DesiredWeights, TableLine, FULL_TABLE};

#[cfg(test)]
mod tests;

/// Isolation: at least so many proxies share a subset.
const MIN_ISOLATED_PROXIES: usize = 2;
/// Isolation: at least so many servers stand on a subset.
const MIN_ISOLATED_SERVERS: usize = 6;
/// Isolation: least weight of a subset, in multiples of a server's mean weight.
const MIN_ISOLATED_MEAN_WEIGHTS: f64 = 3.0;
/// Servers on a stand-in: enough to spread the load, few enough that a message costs little more than its overhead.
const STAND_IN_SERVERS: usize = 8;
/// Table numbers of one assignment. Two assignments have them in turn: proxies on subsets of the last one keep these
/// until they have moved.
const NUMBERS_PER_ASSIGNMENT: TableId = 1 << 14;
/// Share of its weight that a server that is warming up has in a subset, which may have lost half of its own.
pub(crate) const WARMING_UP_SHARE: f64 = 0.5;

/// What the current subsets are for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// They stand in for the full table.
    #[default]
    StandIn,
    /// They isolate groups of proxies on few servers of this supervisor's own window.
    Isolation,
}

#[derive(Clone, Copy, Debug)]
struct WeightedServer {
    server: ServerId,
    weight: f64,
}

/// The subsets of this supervisor's proxies.
#[derive(Debug, Default)]
pub(crate) struct Subsets {
    /// Lines of all subsets, those of the last assignment too while they are in use.
    pub(crate) endpoints: BTreeSet<TableLine>,
    /// Weight that each subset of the current assignment should have.
    pub(crate) target_weights: BTreeMap<TableId, f64>,
    /// Subsets with so much warm weight that a server that is warming up gets a small share.
    pub(crate) well_supplied: BTreeSet<TableId>,
    /// Servers that were known when subsets were assigned or replenished.
    known_servers: BTreeSet<ServerId>,
    purpose: Purpose,
    /// Table numbers of the current assignment follow this one.
    base_number: TableId,
    supervisor_index: f64,
    supervisor_count: f64,
    /// Proxies that all supervisors have together.
    proxy_count: f64,
}

/// Whether a server is in service and warm.
fn is_stable(desired: &DesiredWeight) -> bool {
    desired.weight > 0.0 && !desired.urgent
}

/// Servers that are in service and warm, by number.
fn stable_servers(desired: &DesiredWeights) -> Vec<WeightedServer> {
    let stable = desired.iter().filter(|(_, desired)| is_stable(desired));
    stable.map(|(&server, desired)| WeightedServer { server, weight: desired.weight }).collect()
}

/// The same, by locality.
fn stable_servers_by_locality(desired: &DesiredWeights) -> Vec<WeightedServer> {
    let mut servers = stable_servers(desired);
    servers.sort_by_key(|stable| (desired[&stable.server].locality, stable.server));
    servers
}

/// Servers that a stand-in would have now; 0 where there can be none.
pub(crate) fn stand_in_servers(desired: &DesiredWeights) -> usize {
    desired.values().filter(|desired| is_stable(desired)).count().min(STAND_IN_SERVERS)
}

/// Weight below which a subset is replenished.
fn min_weight(target: f64) -> f64 {
    target / 2.0
}

/// The subset with the least load; of equals the one with the lowest number.
fn least_loaded(loads: &BTreeMap<TableId, f64>) -> Option<TableId> {
    loads.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0))).map(|(&table, _)| table)
}

impl Subsets {
    /// None yet.
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        Subsets {
            supervisor_index: config.supervisor_index.into(),
            supervisor_count: config.supervisor_count.into(),
            proxy_count: config.proxy_count.into(),
            ..Subsets::default()
        }
    }

    /// Servers that stand on any subset.
    pub(crate) fn servers(&self) -> BTreeSet<ServerId> {
        self.endpoints.iter().map(|line| line.server).collect()
    }

    /// Forgets a server.
    pub(crate) fn forget_server(&mut self, server: ServerId) {
        self.known_servers.remove(&server);
        self.endpoints.retain(|line| line.server != server);
    }

    /// The weight that a subset should have for a server. Servers that are warming up get a part of theirs, and none
    /// while the subset lacks warm weight, where their share would be large.
    pub(crate) fn desired_weight(&self, line: TableLine, desired: &DesiredWeight) -> f64 {
        if !self.endpoints.contains(&line) {
            0.0
        } else if !desired.urgent {
            desired.weight
        } else if self.well_supplied.contains(&line.table) {
            desired.weight * WARMING_UP_SHARE
        } else {
            0.0
        }
    }

    /// Whether a table is a subset of the current assignment that lacks servers, with so much weight.
    pub(crate) fn is_too_light(&self, table: TableId, weight: f64) -> bool {
        self.target_weights.get(&table).is_some_and(|target| weight < min_weight(*target))
    }

    /// Assigns groups of proxies, formed by the requests that come to each, subsets of this supervisor's window of the
    /// stable servers. With too few proxies or servers there are no groups, and all keep the full table.
    pub(crate) fn isolate(&mut self, proxies: &mut Proxies, desired: &DesiredWeights) {
        let window = self.own_window(proxies.by_id.len(), desired);
        let by_proxies = proxies.by_id.len() / MIN_ISOLATED_PROXIES;
        let groups = by_proxies.min(window.len() / MIN_ISOLATED_SERVERS);
        let requests: f64 = proxies.by_id.values().map(|proxy| proxy.requests.sum).sum();
        if groups < 2 || requests <= 0.0 {
            return;
        }
        self.begin_assignment(proxies, desired);
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
        let min_weight = MIN_ISOLATED_MEAN_WEIGHTS * weight / window.len() as f64;
        self.target_weights.values_mut().for_each(|target| *target = target.max(min_weight));
        self.distribute(&window, &upper_bounds);
    }

    /// This supervisor's window of the stable servers, in the order of their numbers. It goes by the supervisor's
    /// number and its share of all proxies, so that supervisors need not agree.
    fn own_window(&self, proxies: usize, desired: &DesiredWeights) -> Vec<WeightedServer> {
        let servers = stable_servers(desired);
        let count = servers.len() as f64;
        let length = (count * proxies as f64 / self.proxy_count.max(1.0)).ceil().min(count) as usize;
        let first = (count * self.supervisor_index / self.supervisor_count.max(1.0)) as usize;
        servers.into_iter().cycle().skip(first).take(length).collect()
    }

    /// Puts each server on the subset within whose share of all weight its middle lies. Shares are given by their upper
    /// bounds, 0 to 1.
    fn distribute(&mut self, servers: &[WeightedServer], upper_bounds: &BTreeMap<TableId, f64>) {
        let total: f64 = servers.iter().map(|stable| stable.weight).sum();
        let mut before = 0.0;
        for &WeightedServer { server, weight } in servers {
            let middle = (before + weight / 2.0) / total;
            before += weight;
            let subset = upper_bounds.iter().find(|(_, &bound)| bound >= middle);
            self.endpoints.extend(subset.map(|(&table, _)| TableLine { table, server }));
        }
    }

    /// Begins a new assignment. Subsets of the last one are kept while proxies use them, older ones are dropped.
    fn begin_assignment(&mut self, proxies: &Proxies, desired: &DesiredWeights) {
        let used = proxies.assigned_tables();
        self.endpoints.retain(|line| used.contains(&line.table));
        self.target_weights.clear();
        let first_numbers = 1..=NUMBERS_PER_ASSIGNMENT;
        let first_in_use = self.endpoints.iter().any(|line| first_numbers.contains(&line.table));
        self.base_number = if first_in_use { NUMBERS_PER_ASSIGNMENT } else { 0 };
        let taken = self.base_number..=self.base_number + NUMBERS_PER_ASSIGNMENT;
        self.endpoints.retain(|line| !(line.table > FULL_TABLE && taken.contains(&line.table)));
        self.known_servers = desired.keys().copied().collect();
    }

    /// Has proxies use stand-ins, each the one with the least load.
    pub(crate) fn move_to_stand_ins(
        &mut self,
        ids: &[ProxyId],
        proxies: &mut Proxies,
        desired: &DesiredWeights,
    ) {
        self.ensure_stand_ins(proxies, desired);
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
    fn ensure_stand_ins(&mut self, proxies: &Proxies, desired: &DesiredWeights) {
        let in_use = |proxy: &Proxy| self.target_weights.contains_key(&proxy.intended_table);
        let are_stand_ins = self.purpose == Purpose::StandIn && !self.target_weights.is_empty();
        if are_stand_ins && proxies.by_id.values().any(in_use) {
            return;
        }
        let servers = stable_servers_by_locality(desired);
        let subsets = (servers.len() / STAND_IN_SERVERS).max(1);
        self.begin_assignment(proxies, desired);
        self.purpose = Purpose::StandIn;
        let first_table = self.base_number + 1;
        // In turns, so that no subset loses all at once with a locality or with servers of neighbouring numbers.
        for (position, WeightedServer { server, weight }) in servers.into_iter().enumerate() {
            let table = first_table + (position % subsets) as TableId;
            self.endpoints.insert(TableLine { table, server });
            *self.target_weights.entry(table).or_default() += weight;
        }
    }

    /// Requests that come to the proxies of each subset, for its target weight.
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

    /// The subset with the least load.
    pub(crate) fn least_loaded(&self, proxies: &Proxies) -> Option<TableId> {
        least_loaded(&self.loads(proxies))
    }

    /// Adds newly listed servers, and more stable ones to each subset that has lost half of its warm weight; others stay
    /// as assigned.
    pub(crate) fn replenish(&mut self, desired: &DesiredWeights) {
        self.add_new_servers(desired);
        let stable = stable_servers(desired);
        self.well_supplied.clear();
        for (&table, target) in &self.target_weights {
            let warm = |line: &TableLine| desired.get(&line.server).filter(|desired| !desired.urgent);
            let lines = self.endpoints.range(TableLine::all_of(table));
            let mut weight: f64 = lines.filter_map(warm).map(|desired| desired.weight).sum();
            if weight >= min_weight(*target) {
                self.well_supplied.insert(table);
                continue;
            }
            let position = usize::from(table - self.base_number);
            for candidate in self.replenishing_order(&stable, position) {
                let line = TableLine { table, server: candidate.server };
                if weight < *target && self.endpoints.insert(line) {
                    weight += candidate.weight;
                }
            }
        }
    }

    /// Puts each server that was listed since, warm or not, on one subset. Of isolating subsets it is one of the
    /// supervisor to which the server's number falls.
    fn add_new_servers(&mut self, desired: &DesiredWeights) {
        let isolating = self.purpose == Purpose::Isolation;
        let is_ours = |server: ServerId| {
            !isolating || f64::from(server) % self.supervisor_count.max(1.0) == self.supervisor_index
        };
        let new = desired.keys().filter(|server| is_ours(**server) && !self.known_servers.contains(server));
        let tables = self.target_weights.keys().cycle().skip(self.known_servers.len());
        for (&server, &table) in new.zip(tables) {
            self.endpoints.insert(TableLine { table, server });
        }
        self.known_servers.extend(desired.keys());
    }

    /// The order in which the subset at a position takes more servers. Isolating ones take neighbours, so that each
    /// server meets few proxies; stand-ins take none of neighbouring numbers before all others.
    fn replenishing_order(&self, servers: &[WeightedServer], position: usize) -> Vec<WeightedServer> {
        let subsets = self.target_weights.len();
        match self.purpose {
            Purpose::Isolation => {
                let first = servers.len() * position / (subsets + 1);
                servers.iter().cycle().skip(first).take(servers.len()).copied().collect()
            }
            Purpose::StandIn => {
                let every_nth = servers.iter().skip(position % subsets).step_by(subsets);
                every_nth.chain(servers).copied().collect()
            }
        }
    }
}
