//! A batch of the channel: the changes and admission limits that are sent together, and their cost in lines.

use std::collections::{BTreeMap, BTreeSet};

use super::allowance::IdleAllowance;
use super::changes::{Audience, Change};
use crate::interface::{Nanos, ProxyId, TableId};
use crate::proxies::{Proxies, Proxy};
use crate::tables::EXCLUSIONS;

/// Recipients of one message of the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Recipients {
    table: TableId,
    audience: Audience,
}

/// Changes and limits that are sent together. Costs are in lines.
pub(super) struct Batch {
    users_by_table: BTreeMap<TableId, f64>,
    newly_joined: f64,
    /// When the users of each table joined that may hold state from another supervisor, in ascending order.
    foreign_joins: BTreeMap<TableId, Vec<Nanos>>,
    /// Cost of each message in addition to its lines.
    message_cost: f64,
    cost: f64,
    is_full: bool,
    recipients: BTreeSet<Recipients>,
    /// Tables whose users are sent a message anyway, before this batch at the same time.
    has_message: BTreeSet<TableId>,
    /// What an idle channel takes, whatever the maximum cost is.
    idle: Option<IdleAllowance>,
}

impl Batch {
    /// Creates an empty batch. The users of the tables `has_message` are sent a message anyway.
    pub(super) fn new(proxies: &Proxies, message_cost: f64, has_message: BTreeSet<TableId>) -> Self {
        Batch {
            users_by_table: proxies.users_by_table(),
            newly_joined: proxies.newly_joined().count() as f64,
            foreign_joins: foreign_joins(proxies),
            message_cost,
            cost: 0.0,
            is_full: false,
            recipients: BTreeSet::new(),
            has_message,
            idle: None,
        }
    }

    /// Sets what an idle channel takes, whatever the maximum cost is.
    pub(super) fn set_idle_allowance(&mut self, idle: Option<IdleAllowance>) {
        self.idle = idle;
    }

    /// Whether a line did not fit.
    pub(super) fn is_full(&self) -> bool {
        self.is_full
    }

    /// Lets lines of another kind, with another maximum cost, be added although some did not fit.
    pub(super) fn reopen(&mut self) {
        self.is_full = false;
    }

    /// Whether all users of a table are sent a message anyway.
    pub(super) fn sends_message_to(&self, table: TableId) -> bool {
        self.has_message.contains(&table)
            || self.recipients.contains(&Recipients { table, audience: Audience::All })
    }

    /// Total cost of the batch.
    pub(super) fn cost(&self) -> f64 {
        self.cost
    }

    /// Number of users of a table.
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

    /// Adds a change to the messages for its table's users, like [`Batch::try_add`].
    pub(super) fn try_add_change(&mut self, change: &Change, max_cost: f64) -> bool {
        let table = change.line.table;
        let readmissions = change.readmits_joined_after.map_or(0.0, |after| self.joined_after(table, after));
        self.try_add_lines(table, change.audience, readmissions, max_cost)
    }

    /// Adds a line to the messages for a table's users if the cost of the batch stays within `max_cost`.
    /// Returns whether it was added; once a line did not fit, nothing more is added.
    pub(super) fn try_add(&mut self, table: TableId, audience: Audience, max_cost: f64) -> bool {
        self.try_add_lines(table, audience, 0.0, max_cost)
    }

    /// Number of a table's users that joined after a time with state from another supervisor.
    fn joined_after(&self, table: TableId, after: Nanos) -> f64 {
        let joins = self.foreign_joins.get(&table).map_or(&[][..], Vec::as_slice);
        (joins.len() - joins.partition_point(|&joined_at| joined_at <= after)) as f64
    }

    fn try_add_lines(
        &mut self,
        table: TableId,
        audience: Audience,
        additional_lines: f64,
        max_cost: f64,
    ) -> bool {
        let recipient_count = match audience {
            Audience::All => self.users(table),
            Audience::NewlyJoined => self.newly_joined,
        };
        let has_message =
            self.sends_message_to(table) || self.recipients.contains(&Recipients { table, audience });
        let lines_each = if has_message { 1.0 } else { 1.0 + self.message_cost };
        let added_cost = recipient_count * lines_each + additional_lines;
        self.is_full |= recipient_count > 0.0 && self.cost + added_cost > self.max_cost(max_cost);
        if !self.is_full {
            self.recipients.insert(Recipients { table, audience });
            self.cost += added_cost;
        }
        !self.is_full
    }

    /// The maximum cost, or what an idle channel takes if that is more.
    fn max_cost(&self, max_cost: f64) -> f64 {
        let Some(idle) = self.idle else { return max_cost };
        let is_first = self.cost == 0.0;
        max_cost.max(idle.batch_lines).max(if is_first { idle.first_lines } else { 0.0 })
    }

    /// Whether the batch contains lines of a table.
    pub(super) fn has_lines_of(&self, table: TableId) -> bool {
        self.recipients.iter().any(|recipients| recipients.table == table)
    }

    /// Proxies that receive the batch.
    pub(super) fn recipients(&self, proxies: &Proxies) -> BTreeSet<ProxyId> {
        proxies.ids_where(|proxy| self.is_sent_to(proxy)).into_iter().collect()
    }

    fn is_sent_to(&self, proxy: &Proxy) -> bool {
        let table = proxy.receives_table();
        let is_sent = |audience| self.recipients.contains(&Recipients { table, audience });
        is_sent(Audience::All) || (is_sent(Audience::NewlyJoined) && !proxy.has_exclusions)
    }
}

fn foreign_joins(proxies: &Proxies) -> BTreeMap<TableId, Vec<Nanos>> {
    let mut joins: BTreeMap<TableId, Vec<Nanos>> = BTreeMap::new();
    for proxy in proxies.by_id.values().filter(|proxy| proxy.holds_foreign_state) {
        joins.entry(proxy.receives_table()).or_default().push(proxy.joined_at);
    }
    joins.values_mut().for_each(|times| times.sort_unstable());
    joins
}
