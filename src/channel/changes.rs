//! Changes: table lines that differ from what was sent, and their priorities.

use std::collections::{BTreeMap, BTreeSet};

use super::Channel;
use crate::interface::{Nanos, ServerId, TableId};
use crate::message::DesiredState;
use crate::tables::{TableLine, EXCLUSIONS, FULL_TABLE};

#[cfg(test)]
mod tests;

/// Relative change of a weight above which it is sent again.
pub(crate) const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// Number of usable servers below which a table is given more servers at once.
const MIN_USABLE_SERVERS: usize = 2;

/// How soon a change is sent, most urgent first. Changes of the last two priorities are deferrable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// The change has a deadline: a server drains or was removed.
    Removal,
    /// A table lacks servers.
    Replenishment,
    /// The change protects a server that is warming up.
    Reduction,
    /// Removals of servers from a table, and additions to a subset while proxies are not isolated.
    Elevated,
    /// Changes that only improve the distribution of load.
    Ordinary,
}

/// Which proxies receive a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Audience {
    /// All users of the table.
    All,
    /// Unassigned proxies that joined after the change was sent to all.
    NewlyJoined,
}

/// A table line that differs from what was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub(super) line: TableLine,
    pub(super) weight: f64,
    pub(super) priority: Priority,
    /// Orders changes of equal priority, largest first: the change of weight, or a higher value if the server
    /// must be excluded.
    pub(super) sort_key: f64,
    pub(super) audience: Audience,
    /// See [`Channel::readmits_joined_after`].
    pub(super) readmits_joined_after: Option<Nanos>,
}

impl Change {
    /// Whether the change is sent at any flush, and not only in batches at intervals.
    pub(super) fn is_urgent(&self) -> bool {
        self.priority <= Priority::Reduction
    }

    /// Whether the change removes a server that drains or was removed.
    pub(super) fn is_removal(&self) -> bool {
        self.priority == Priority::Removal
    }

    /// Whether a rule says by when the change must arrive.
    pub(super) fn has_deadline(&self) -> bool {
        self.priority <= Priority::Replenishment
    }
}

/// Servers of a table that were sent and are still desired.
#[derive(Clone, Copy, Debug, Default)]
struct UsableServers {
    count: usize,
    weight: f64,
}

/// Inputs of the comparison of desired and sent lines.
struct Comparison<'a> {
    channel: &'a Channel,
    exclusions_are_due: bool,
    usable: BTreeMap<TableId, UsableServers>,
    /// Subsets are replenished before they are almost empty: proxies are isolated, or the channel keeps up.
    replenishes_early: bool,
}

impl Channel {
    /// Returns the lines that differ enough from what was sent, ordered by priority, then by the change of
    /// weight. Deferrable changes that have waited for long come before others, whatever their priority.
    pub(super) fn differing_lines(&self, now: Nanos) -> Vec<Change> {
        let comparison = Comparison {
            channel: self,
            exclusions_are_due: self.exclusions_are_due(now),
            usable: self.usable_servers(),
            replenishes_early: self.isolated || self.keeps_up(now),
        };
        let lines = comparison.lines().into_iter();
        let mut changes: Vec<Change> = lines.filter_map(|line| comparison.change(line)).collect();
        changes.sort_by(|a, b| {
            let by_waiting_time = self.order_of_waiting(a, now).cmp(&self.order_of_waiting(b, now));
            by_waiting_time.then(a.priority.cmp(&b.priority)).then(b.sort_key.total_cmp(&a.sort_key))
        });
        changes
    }

    /// Urgent changes come first, then those that have waited for long.
    fn order_of_waiting(&self, change: &Change, now: Nanos) -> Nanos {
        if change.is_urgent() {
            0
        } else {
            self.waiting_times.overdue_since(change.line, now)
        }
    }

    /// The weight that a server should have in a table; in [`EXCLUSIONS`], 1 excludes the server.
    fn desired_table_weight(&self, line: TableLine) -> f64 {
        let desired = self.desired_states.get(&line.server).copied().unwrap_or_default();
        match line.table {
            FULL_TABLE => desired.weight,
            EXCLUSIONS if desired.unstable && desired.weight == 0.0 => 1.0,
            EXCLUSIONS => 0.0,
            _ => self.subsets.desired_weight(line, &desired),
        }
    }

    /// Whether the users of a table were sent a server that is still desired.
    pub(super) fn has_usable_server(&self, table: TableId) -> bool {
        self.usable_servers().contains_key(&table)
    }

    fn usable_servers(&self) -> BTreeMap<TableId, UsableServers> {
        let mut usable: BTreeMap<TableId, UsableServers> = BTreeMap::new();
        for (&line, &sent) in self.sent.weights.iter().filter(|(_, sent)| **sent > 0.0) {
            let desired = self.desired_table_weight(line);
            if desired > 0.0 {
                let table = usable.entry(line.table).or_default();
                table.count += 1;
                table.weight += sent.min(desired);
            }
        }
        usable
    }
}

impl Comparison<'_> {
    /// All lines that can differ.
    fn lines(&self) -> BTreeSet<TableLine> {
        let channel = self.channel;
        let mut lines: BTreeSet<TableLine> =
            channel.sent.weights.keys().chain(&channel.subsets.lines).copied().collect();
        let in_table = |table| move |server: &ServerId| TableLine { table, server: *server };
        lines.extend(channel.desired_states.keys().map(in_table(FULL_TABLE)));
        if self.exclusions_are_due {
            let excluded = channel.desired_states.iter().filter(|(_, desired)| desired.must_exclude);
            lines.extend(excluded.map(|(server, _)| server).map(in_table(EXCLUSIONS)));
        }
        lines
    }

    /// Returns the change that a line needs, if any.
    fn change(&self, line: TableLine) -> Option<Change> {
        let channel = self.channel;
        let sent = channel.sent.weights.get(&line).copied().unwrap_or_default();
        let weight = channel.desired_table_weight(line);
        let repeats = line.table == EXCLUSIONS && sent > 0.0 && weight > 0.0;
        let weight_change = (weight - sent).abs();
        let differs = weight_change > MIN_WEIGHT_CHANGE * sent;
        if !differs || (repeats && !self.exclusions_are_due) {
            return None;
        }
        let desired = channel.desired_states.get(&line.server).copied().unwrap_or_default();
        // Changes for servers that must be excluded are sent first, in the order full table, subsets,
        // exclusions: an exclusion also reaches users of a table that still contains the server.
        let sort_key =
            if desired.must_exclude { f64::MAX / (1.0 + f64::from(line.table)) } else { weight_change };
        let priority = self.priority(line, sent, weight, &desired);
        let audience = if repeats { Audience::NewlyJoined } else { Audience::All };
        let readmits_joined_after = channel.readmits_joined_after(line, weight);
        Some(Change { line, weight, priority, sort_key, audience, readmits_joined_after })
    }

    fn priority(&self, line: TableLine, sent: f64, weight: f64, desired: &DesiredState) -> Priority {
        let joins_table = sent == 0.0 && weight > 0.0 && line.table != EXCLUSIONS;
        let joins_subset = joins_table && line.table > FULL_TABLE;
        let is_needed = self.lacks_servers(line.table)
            || (self.replenishes_early && self.lacks_weight(line.table) && !desired.unstable);
        let excludes = line.table == EXCLUSIONS && weight > sent;
        let reduces_urgently = desired.unstable && weight < sent;
        if excludes || (reduces_urgently && desired.unready) {
            Priority::Removal
        } else if joins_table && is_needed {
            Priority::Replenishment
        } else if reduces_urgently {
            Priority::Reduction
        } else if weight > 0.0 && (self.channel.isolated || !joins_subset) {
            Priority::Ordinary
        } else {
            Priority::Elevated
        }
    }

    fn lacks_servers(&self, table: TableId) -> bool {
        self.usable.get(&table).is_none_or(|usable| usable.count < MIN_USABLE_SERVERS)
    }

    fn lacks_weight(&self, table: TableId) -> bool {
        let weight = self.usable.get(&table).map_or(0.0, |usable| usable.weight);
        self.channel.subsets.lacks_weight(table, weight)
    }
}
