//! A batch: the changes and limits that one flush sends together, and what they cost the channel.

use std::collections::{BTreeMap, BTreeSet};

use super::changes::Audience;
use crate::interface::{ProxyId, TableId};
use crate::proxies::{Proxies, Proxy};
use crate::tables::EXCLUSIONS;

/// Proxies that a message of the batch goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Recipients {
    table: TableId,
    audience: Audience,
}

/// Changes and limits that are sent together. Its cost is in lines.
pub(super) struct Batch {
    users_by_table: BTreeMap<TableId, f64>,
    newly_joined: f64,
    /// Cost of each message beside its lines.
    message_cost: f64,
    cost: f64,
    is_full: bool,
    recipients: BTreeSet<Recipients>,
}

impl Batch {
    /// An empty batch.
    pub(super) fn new(proxies: &Proxies, message_cost: f64) -> Self {
        Batch {
            users_by_table: proxies.users_by_table(),
            newly_joined: proxies.newly_joined().count() as f64,
            message_cost,
            cost: 0.0,
            is_full: false,
            recipients: BTreeSet::new(),
        }
    }

    /// Cost of all that was added.
    pub(super) fn cost(&self) -> f64 {
        self.cost
    }

    /// Users of a table.
    pub(super) fn users(&self, table: TableId) -> f64 {
        self.users_by_table.get(&table).copied().unwrap_or_default()
    }

    /// Whether there are unassigned proxies.
    pub(super) fn has_unassigned_proxies(&self) -> bool {
        self.users_by_table.contains_key(&EXCLUSIONS)
    }

    /// Whether there are proxies with an assigned table.
    pub(super) fn has_assigned_proxies(&self) -> bool {
        self.users_by_table.len() > usize::from(self.has_unassigned_proxies())
    }

    /// Adds a line to the messages of a table's users if the batch's cost stays within `max_cost`; returns
    /// whether it was added. After the first that does not fit nothing is added.
    pub(super) fn try_add(&mut self, table: TableId, audience: Audience, max_cost: f64) -> bool {
        let readers = match audience {
            Audience::All => self.users(table),
            Audience::NewlyJoined => self.newly_joined,
        };
        let has_message = self.recipients.contains(&Recipients { table, audience: Audience::All })
            || self.recipients.contains(&Recipients { table, audience });
        let more = readers * if has_message { 1.0 } else { 1.0 + self.message_cost };
        self.is_full |= readers > 0.0 && self.cost + more > max_cost;
        if !self.is_full {
            self.recipients.insert(Recipients { table, audience });
            self.cost += more;
        }
        !self.is_full
    }

    /// Whether it has lines of a table.
    pub(super) fn has_lines_of(&self, table: TableId) -> bool {
        self.recipients.iter().any(|recipients| recipients.table == table)
    }

    /// Proxies that it is sent to.
    pub(super) fn recipients(&self, proxies: &Proxies) -> BTreeSet<ProxyId> {
        proxies.ids_where(|proxy| self.is_sent_to(proxy)).into_iter().collect()
    }

    fn is_sent_to(&self, proxy: &Proxy) -> bool {
        let table = proxy.receives_table();
        let is_sent = |audience| self.recipients.contains(&Recipients { table, audience });
        is_sent(Audience::All) || (is_sent(Audience::NewlyJoined) && !proxy.has_exclusions)
    }
}
