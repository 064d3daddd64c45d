//! Tables whose updates wait since a user of the table has been written too many messages.

use std::collections::{BTreeMap, BTreeSet};

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

impl Channel {
    /// Determines the tables whose users may not be written another message at present.
    pub(super) fn limited_tables(&self, now: Nanos) -> LimitedTables {
        let mut limited = LimitedTables::default();
        if !self.pacing.message_limit.exists() {
            return limited;
        }
        for (table, users) in self.users_without_message(now) {
            if self.is_reached(&users, MessagePurpose::Prompt, now) {
                limited.for_urgent_changes.insert(table);
            }
            if self.is_reached(&users, MessagePurpose::Deferrable, now) {
                limited.for_deferrable_changes.insert(table);
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
