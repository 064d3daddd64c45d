//! Computes the update of each proxy from the changes of one batch.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use shalereel::interface::{ServerId, TableId};

use super::encoding::{EncodedUpdate, UpdateEncoder};
use super::pending_changes::PendingChanges;
use super::{PendingAck, ProxyState, ProxyTables, ProxyUpdate, WeightTable};
use crate::server_registry::ServerRegistry;

/// The change to the table of one operation of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TableChange {
    Unchanged,
    /// The changed weights and admission limits of its table are sent.
    Delta(TableId),
    /// The whole table is sent.
    Full(TableId),
}

/// Everything that the encoding of an update depends on. Equal contents are encoded only once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UpdateContent {
    /// The change of each operation's table.
    pub tables: Vec<TableChange>,
    pub exclude: Vec<ServerId>,
    pub include: Vec<ServerId>,
    pub ack_serial: Option<u64>,
}

impl UpdateContent {
    fn changes_nothing(&self) -> bool {
        self.tables.iter().all(|change| *change == TableChange::Unchanged)
            && self.exclude.is_empty()
            && self.include.is_empty()
    }
}

/// The state that the updates of all proxies in a batch depend on.
struct Batch<'a> {
    changes: &'a PendingChanges,
    tables: &'a BTreeMap<TableId, WeightTable>,
    excluded: &'a BTreeSet<ServerId>,
    /// Tables whose weights or admission limits changed.
    changed_tables: BTreeSet<TableId>,
    /// Servers that have started or become ready again. Proxies may still exclude them.
    returned: Vec<ServerId>,
}

impl ProxyTables {
    /// Returns the updates for all proxies that a batch affects, and records them as sent.
    pub(super) fn updates(
        &mut self,
        changes: &PendingChanges,
        registry: &ServerRegistry,
        operation_names: &[String],
    ) -> Vec<ProxyUpdate> {
        let changed_tables = self.changed_tables(changes);
        if changes.is_empty(!changed_tables.is_empty()) {
            return Vec::new();
        }
        let returned =
            registry.iter().filter(|(_, server)| server.was_started_or_returned).map(|(id, _)| id).collect();
        let (tables, excluded) = (&self.tables, &self.excluded);
        let batch = Batch { changes, tables, excluded, changed_tables, returned };
        let global_admissions = &self.global_admissions;
        let encoder = UpdateEncoder { tables, global_admissions, changes, registry, operation_names };
        let mut encoded: BTreeMap<UpdateContent, EncodedUpdate> = BTreeMap::new();
        let mut updates = Vec::new();
        for (&proxy, state) in &mut self.proxies {
            let Some(content) = batch.content_for(state, changes.assignments.get(&proxy)) else { continue };
            self.sent.messages += 1;
            self.sent.exclusions += content.exclude.len() as u64;
            self.sent.inclusions += content.include.len() as u64;
            let ack_serial = content.ack_serial;
            let update = encoded.entry(content).or_insert_with_key(|content| encoder.encode(content));
            self.sent.lines += update.lines;
            state.pending_acks.extend(ack_serial.map(|serial| PendingAck { serial, lines: update.lines }));
            updates.push(ProxyUpdate { proxy, bytes: Bytes::clone(&update.bytes), lines: update.lines });
        }
        updates
    }

    fn changed_tables(&self, changes: &PendingChanges) -> BTreeSet<TableId> {
        let weights_changed = |id: &TableId, table: &WeightTable| {
            changes.weights.get(id).is_some_and(|changes| {
                changes.iter().any(|change| table.weight(change.server) != change.before)
            })
        };
        self.tables
            .iter()
            .filter(|(id, table)| weights_changed(id, table) || changes.admission_changed(**id))
            .map(|(&id, _)| id)
            .collect()
    }
}

impl Batch<'_> {
    /// Returns the content of a proxy's update, if it needs one, and records it in the proxy's state.
    fn content_for(
        &self,
        state: &mut ProxyState,
        assignments: Option<&Vec<Option<TableId>>>,
    ) -> Option<UpdateContent> {
        let tables = self.table_changes(state, assignments);
        let tables_change = tables.iter().any(|change| *change != TableChange::Unchanged);
        let exclude = self.exclusions(state, tables_change);
        let include = self.inclusions(state, tables_change);
        state.exclusion_sent.extend(exclude.iter().chain(&include));
        let mut content = UpdateContent { tables, exclude, include, ack_serial: None };
        let changes_nothing = content.changes_nothing();
        let ack = self.changes.ack.filter(|ack| ack.from_everyone || !changes_nothing);
        content.ack_serial = ack.map(|ack| ack.serial);
        (!changes_nothing || content.ack_serial.is_some()).then_some(content)
    }

    /// Returns the change to the table of each operation, and records new assignments in the proxy's state.
    fn table_changes(
        &self,
        state: &mut ProxyState,
        assignments: Option<&Vec<Option<TableId>>>,
    ) -> Vec<TableChange> {
        let change = |(index, assigned): (usize, &mut Option<TableId>)| {
            if let Some(table) = assignments.and_then(|assignments| assignments[index]) {
                *assigned = Some(table);
                return TableChange::Full(table);
            }
            match *assigned {
                Some(table) if self.changes.cleared.contains(&table) => TableChange::Full(table),
                Some(table) if self.changed_tables.contains(&table) => TableChange::Delta(table),
                _ => TableChange::Unchanged,
            }
        };
        state.assigned.iter_mut().enumerate().map(change).collect()
    }

    /// Whether a proxy may have a server in one of its tables: either an assigned table contains it, or the
    /// proxy may have a table that was not sent on this connection.
    fn may_hold(&self, state: &ProxyState, server: ServerId) -> bool {
        has_unassigned(state)
            || state
                .assigned
                .iter()
                .flatten()
                .filter_map(|table| self.tables.get(table))
                .any(|table| table.weights.contains_key(&server))
    }

    /// Returns the servers that a proxy is told to exclude, and records them in its state. If a table is
    /// sent, these are all excluded servers that the proxy may have in its tables; otherwise only the newly
    /// excluded ones. Servers that it already excludes are omitted.
    fn exclusions(&self, state: &mut ProxyState, tables_change: bool) -> Vec<ServerId> {
        let candidates: Vec<ServerId> = if tables_change {
            self.excluded.iter().copied().collect()
        } else {
            self.changes.excluded.clone()
        };
        let mut exclude = Vec::new();
        for server in candidates {
            if self.may_hold(state, server) && state.excluded.insert(server) {
                exclude.push(server);
            }
        }
        exclude
    }

    /// Returns the servers that a proxy is told to include again, and records them in its state.
    fn inclusions(&self, state: &mut ProxyState, tables_change: bool) -> Vec<ServerId> {
        let mut include: Vec<ServerId> = Vec::new();
        let outdated: Vec<ServerId> = if tables_change {
            state.excluded.difference(self.excluded).copied().collect()
        } else {
            Vec::new()
        };
        let sends_all_inclusions = has_unassigned(state) && state.may_have_earlier_exclusions;
        for server in self.changes.included.iter().copied().chain(outdated) {
            let was_excluded = state.excluded.remove(&server);
            if was_excluded || (sends_all_inclusions && !include.contains(&server)) {
                include.push(server);
            }
        }
        if tables_change && state.may_have_earlier_exclusions {
            self.include_returned(state, &mut include);
        }
        include
    }

    /// Adds the returned servers that the proxy may still exclude because of an earlier connection, if one of
    /// its tables may contain them.
    fn include_returned(&self, state: &ProxyState, include: &mut Vec<ServerId>) {
        for &server in &self.returned {
            let is_up_to_date = self.excluded.contains(&server) || state.exclusion_sent.contains(&server);
            if !is_up_to_date && self.may_hold(state, server) && !include.contains(&server) {
                include.push(server);
            }
        }
    }
}

/// Whether an operation of a proxy has no table that was sent on this connection.
fn has_unassigned(state: &ProxyState) -> bool {
    state.assigned.iter().any(Option::is_none)
}
