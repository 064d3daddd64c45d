//! Replenishment: adds servers to subsets that lost some, and adds each newly listed server to a subset.

use super::{stable_servers, Purpose, Subsets, WeightedServer};
use crate::interface::{ServerId, TableId};
use crate::tables::{DesiredStates, TableLine};

/// Share of its target weight below which a subset is replenished.
const MIN_TARGET_SHARE: f64 = 0.5;

/// Weight below which a subset is replenished.
fn min_weight(target: f64) -> f64 {
    target * MIN_TARGET_SHARE
}

impl Subsets {
    /// Whether a table is a subset of the current generation that needs more servers when it has this weight.
    pub(crate) fn lacks_weight(&self, table: TableId, weight: f64) -> bool {
        self.target_weights.get(&table).is_some_and(|target| weight < min_weight(*target))
    }

    /// Adds newly listed servers, and adds stable servers to each subset that has lost half of its warm
    /// weight; other subsets keep their servers.
    pub(crate) fn replenish(&mut self, desired: &DesiredStates) {
        self.add_new_servers(desired);
        let stable = stable_servers(desired);
        self.has_enough_weight.clear();
        for (&table, target) in &self.target_weights {
            let warm = |line: &TableLine| desired.get(&line.server).filter(|desired| !desired.unstable);
            let lines = self.lines.range(TableLine::all_of(table));
            let mut weight: f64 = lines.filter_map(warm).map(|desired| desired.weight).sum();
            if weight >= min_weight(*target) {
                self.has_enough_weight.insert(table);
                continue;
            }
            let position = usize::from(table - self.base_number);
            for candidate in self.replenishing_order(&stable, position) {
                let line = TableLine { table, server: candidate.server };
                if weight < *target && self.lines.insert(line) {
                    weight += candidate.weight;
                }
            }
        }
    }

    /// Adds each newly listed server, warm or not, to one subset. An isolating subset takes only servers that
    /// belong to its supervisor by the server's id modulo the number of supervisors.
    fn add_new_servers(&mut self, desired: &DesiredStates) {
        let isolating = self.purpose == Purpose::Isolation;
        let is_ours = |server: ServerId| {
            !isolating || f64::from(server) % self.supervisor_count.max(1.0) == self.supervisor_index
        };
        let new = desired.keys().filter(|server| is_ours(**server) && !self.known_servers.contains(server));
        // Starts at a different subset each time, so that servers listed one by one are spread over all
        // subsets.
        let tables = self.target_weights.keys().cycle().skip(self.known_servers.len());
        for (&server, &table) in new.zip(tables) {
            self.lines.insert(TableLine { table, server });
        }
        self.known_servers.extend(desired.keys());
    }

    /// The order in which the subset at a position takes more servers. Isolating subsets take neighbouring
    /// servers, so that each server meets few proxies; fallback subsets take servers at regular intervals
    /// before all others, so that they do not depend on neighbouring ids.
    fn replenishing_order(&self, servers: &[WeightedServer], position: usize) -> Vec<WeightedServer> {
        let subsets = self.target_weights.len();
        match self.purpose {
            Purpose::Isolation => {
                let first = servers.len() * position / (subsets + 1);
                servers.iter().cycle().skip(first).take(servers.len()).copied().collect()
            }
            Purpose::Fallback => {
                let every_nth = servers.iter().skip(position % subsets).step_by(subsets);
                every_nth.chain(servers).copied().collect()
            }
        }
    }
}
