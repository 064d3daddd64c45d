//! Tables whose updates wait since a user of the table has been written too many messages. Urgent changes
//! wait until half of the limit is free, or until they would be late otherwise. Deferrable changes wait for
//! longer, but no longer than the limit's window unless nothing but the last message is left.

use std::collections::{BTreeMap, BTreeSet};

use super::batch::Batch;
use super::changes::{Change, Priority};
use super::Channel;
use crate::interface::{Nanos, ProxyId, TableId};
use crate::pacing::MessagePurpose;
use crate::proxies::Proxy;

/// Tables that must not be sent a message of their own now.
#[derive(Debug, Default)]
pub(super) struct LimitedTables {
    for_urgent_changes: BTreeSet<TableId>,
    for_deferrable_changes: BTreeSet<TableId>,
}

impl LimitedTables {
    /// Whether urgent changes of a table must wait.
    pub(super) fn holds_back_urgent(&self, table: TableId) -> bool {
        self.for_urgent_changes.contains(&table)
    }

    /// Whether deferrable changes and admission limits of a table must wait, unless they can be added to a
    /// message that is sent anyway.
    pub(super) fn holds_back_deferrable(&self, table: TableId) -> bool {
        self.for_deferrable_changes.contains(&table)
    }
}

/// Since when deferrable changes of each table wait because of the limit.
#[derive(Debug, Default)]
pub(super) struct HeldBackTables {
    since: BTreeMap<TableId, Nanos>,
}

impl HeldBackTables {
    /// Forgets a table whose deferrable changes were sent.
    pub(super) fn sent(&mut self, table: TableId) {
        self.since.remove(&table);
    }
}

impl Channel {
    /// Determines the tables whose users may not be written another message at present. `changes` are those
    /// that this flush would send.
    pub(super) fn limited_tables(&mut self, changes: &[Change], batch: &Batch, now: Nanos) -> LimitedTables {
        let mut limited = LimitedTables::default();
        if !self.pacing.message_limit.exists() {
            return limited;
        }
        for (table, users) in self.users_without_message(now) {
            if self.must_urgent_changes_wait(table, &users, changes, batch, now) {
                limited.for_urgent_changes.insert(table);
            }
            if self.must_deferrable_changes_wait(table, &users, now) {
                limited.for_deferrable_changes.insert(table);
            } else {
                self.held_back.since.remove(&table);
            }
        }
        limited
    }

    /// The users of each table that this flush has not sent a message yet.
    fn users_without_message(&self, now: Nanos) -> BTreeMap<TableId, Vec<ProxyId>> {
        let recipients = self.pacing.recipients_at(now);
        let has_message = |id: &ProxyId| recipients.is_some_and(|recipients| recipients.contains(id));
        let mut users: BTreeMap<TableId, Vec<ProxyId>> = BTreeMap::new();
        for (&id, proxy) in self.proxies.by_id.iter().filter(|(id, _)| !has_message(id)) {
            users.entry(proxy.receives_table()).or_default().push(id);
        }
        users
    }

    fn is_reached(&self, users: &[ProxyId], purpose: MessagePurpose, now: Nanos) -> bool {
        users.iter().any(|&id| self.pacing.message_limit.is_reached(id, purpose, now))
    }

    fn must_urgent_changes_wait(
        &self,
        table: TableId,
        users: &[ProxyId],
        changes: &[Change],
        batch: &Batch,
        now: Nanos,
    ) -> bool {
        if !self.is_reached(users, MessagePurpose::Prompt, now) {
            return false;
        }
        let of_table = |change: &&Change| change.line.table == table && change.is_urgent();
        let urgent: Vec<Change> = changes.iter().filter(of_table).copied().collect();
        let is_due = self.lacks_any_server(table, &urgent) || !self.may_wait(&urgent, batch, now);
        !is_due || self.is_reached(users, MessagePurpose::Due, now)
    }

    /// Whether a table has no usable server and these changes would give it one.
    fn lacks_any_server(&self, table: TableId, changes: &[Change]) -> bool {
        let replenishes = changes.iter().any(|change| change.priority == Priority::Replenishment);
        replenishes && !self.has_usable_server(table)
    }

    fn must_deferrable_changes_wait(&mut self, table: TableId, users: &[ProxyId], now: Nanos) -> bool {
        if !self.is_reached(users, MessagePurpose::Deferrable, now) {
            return false;
        }
        let since = *self.held_back.since.entry(table).or_insert(now);
        let is_overdue = now.saturating_sub(since) >= self.pacing.message_limit.window();
        !is_overdue || self.is_reached(users, MessagePurpose::Overdue, now)
    }

    /// Tables all of whose users have been sent a message by this flush already.
    pub(super) fn tables_with_message(&self, now: Nanos) -> BTreeSet<TableId> {
        let Some(recipients) = self.pacing.recipients_at(now) else { return BTreeSet::new() };
        let assigned = |proxy: &Proxy| proxy.assigned_table;
        let mut tables: BTreeSet<TableId> =
            recipients.iter().filter_map(|id| self.proxies.by_id.get(id).and_then(assigned)).collect();
        for (_, proxy) in self.proxies.by_id.iter().filter(|(id, _)| !recipients.contains(id)) {
            tables.remove(&proxy.receives_table());
        }
        tables
    }
}
