//! Replenishment: subsets that lost servers get more, and newly listed servers get on a subset.

use super::{stable_servers, Purpose, Subsets, WeightedServer};
use crate::interface::{ServerId, TableId};
use crate::tables::{DesiredWeights, TableLine};

/// A subset with less than this share of its target weight is replenished.
const MIN_TARGET_SHARE: f64 = 0.5;

/// Weight below which a subset is replenished.
fn min_weight(target: f64) -> f64 {
    target * MIN_TARGET_SHARE
}

impl Subsets {
    /// Whether a table is a subset of the current generation that lacks servers, with so much weight.
    pub(crate) fn lacks_weight(&self, table: TableId, weight: f64) -> bool {
        self.target_weights.get(&table).is_some_and(|target| weight < min_weight(*target))
    }

    /// Adds newly listed servers, and more stable ones to each subset that has lost half of its warm weight;
    /// others stay as assigned.
    pub(crate) fn replenish(&mut self, desired: &DesiredWeights) {
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

    /// Puts each server that was listed since, warm or not, on one subset. Of isolating subsets it is one of
    /// the supervisor to which the server's number falls.
    fn add_new_servers(&mut self, desired: &DesiredWeights) {
        let isolating = self.purpose == Purpose::Isolation;
        let is_ours = |server: ServerId| {
            !isolating || f64::from(server) % self.supervisor_count.max(1.0) == self.supervisor_index
        };
        let new = desired.keys().filter(|server| is_ours(**server) && !self.known_servers.contains(server));
        // Starts at another subset each time, so that servers which are listed one by one spread over all subsets.
        let tables = self.target_weights.keys().cycle().skip(self.known_servers.len());
        for (&server, &table) in new.zip(tables) {
            self.lines.insert(TableLine { table, server });
        }
        self.known_servers.extend(desired.keys());
    }

    /// The order in which the subset at a position takes more servers. Isolating ones take neighbours, so
    /// that each server meets few proxies; stand-ins take none of neighbouring numbers before all others.
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
