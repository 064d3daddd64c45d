//! Applies the controller's actions of one batch to the tables, and records the differences from the state
//! before the batch.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Action, OperationMask, ProxyId, ServerId, TableId};

use super::{operations_in, Admission, InvalidAction, ProxyTables, WeightTable};
use crate::server_registry::ServerRegistry;

/// A weight that was set by an action of the batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeightChange {
    pub server: ServerId,
    /// The weight before the batch; 0 if the server was not in the table.
    pub before: f64,
}

/// A request to proxies to acknowledge what they were sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct AckRequest {
    pub serial: u64,
    /// Whether it is also sent to proxies for which the batch changes nothing.
    pub from_everyone: bool,
}

/// The changes by the actions of one batch.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    /// Changed weights of each table, in the order in which they were first set.
    pub weights: BTreeMap<TableId, Vec<WeightChange>>,
    /// Tables that were cleared.
    pub cleared: BTreeSet<TableId>,
    /// Tables whose admission limits were set.
    pub admissions: BTreeSet<TableId>,
    pub global_admission_changed: bool,
    /// Servers to exclude.
    pub excluded: Vec<ServerId>,
    /// Servers whose exclusion ends.
    pub included: Vec<ServerId>,
    /// The new table of each operation of a proxy; `None` if the batch does not assign one.
    pub assignments: BTreeMap<ProxyId, Vec<Option<TableId>>>,
    pub ack: Option<AckRequest>,
}

impl PendingChanges {
    /// Records the first change of a weight in the batch, with the weight before.
    fn record_weight_change(&mut self, table: TableId, server: ServerId, before: f64) {
        let changes = self.weights.entry(table).or_default();
        if changes.iter().all(|change| change.server != server) {
            changes.push(WeightChange { server, before });
        }
    }

    /// Records an exclusion or its end. The last action on a server takes effect.
    fn record_exclusion(&mut self, server: ServerId, on: bool) {
        self.included.retain(|&known| known != server);
        self.excluded.retain(|&known| known != server);
        let list = if on { &mut self.excluded } else { &mut self.included };
        list.push(server);
    }

    /// Whether the batch affects no proxy. `tables_changed` says whether it changes any table.
    pub(super) fn is_empty(&self, tables_changed: bool) -> bool {
        !tables_changed
            && self.cleared.is_empty()
            && self.ack.is_none()
            && self.assignments.is_empty()
            && self.excluded.is_empty()
            && self.included.is_empty()
    }

    /// Whether an admission limit was set that applies to a table.
    pub(super) fn admission_changed(&self, table: TableId) -> bool {
        self.admissions.contains(&table) || self.global_admission_changed
    }
}

impl ProxyTables {
    /// Applies one action and records its changes.
    pub(super) fn apply_action(
        &mut self,
        action: &Action,
        registry: &ServerRegistry,
        changes: &mut PendingChanges,
    ) -> Result<(), InvalidAction> {
        check_action(action, registry)?;
        match *action {
            Action::SetWeight { table, server, weight } => {
                // A forgotten server has no name that could be sent.
                let weight = if registry.get(server).is_some() { weight } else { 0.0 };
                self.set_weight(table, server, weight, changes);
            }
            Action::ClearTable { table } => {
                self.tables.insert(table, WeightTable::default());
                changes.cleared.insert(table);
            }
            Action::Exclude { server, on } => {
                let on = on && registry.get(server).is_some();
                let changed = if on { self.excluded.insert(server) } else { self.excluded.remove(&server) };
                // A repeated exclusion is recorded too, for the proxies that have joined since the first one.
                if on || changed {
                    changes.record_exclusion(server, on);
                }
            }
            Action::AssignTable { proxy, table, operations } => {
                self.assign_table(proxy, table, operations, changes);
            }
            Action::LimitAdmission { table, operations, limit, retry_policy } => {
                self.limit_admission(table, operations, Admission { limit, retry_policy }, changes);
            }
            Action::RequestAck { serial, everyone } => {
                let from_everyone = everyone || changes.ack.is_some_and(|ack| ack.from_everyone);
                changes.ack = Some(AckRequest { serial: serial.into(), from_everyone });
            }
            _ => {}
        }
        Ok(())
    }

    fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64, changes: &mut PendingChanges) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        let before = if weight > 0.0 { weights.insert(server, weight) } else { weights.remove(&server) };
        changes.record_weight_change(table, server, before.unwrap_or_default());
    }

    fn assign_table(
        &mut self,
        proxy: ProxyId,
        table: TableId,
        operations: OperationMask,
        changes: &mut PendingChanges,
    ) {
        if !self.proxies.contains_key(&proxy) {
            return;
        }
        self.tables.entry(table).or_default();
        let assigned = changes.assignments.entry(proxy).or_insert_with(|| vec![None; self.operation_count]);
        for index in operations_in(operations, self.operation_count) {
            assigned[usize::from(index)] = Some(table);
        }
    }

    fn limit_admission(
        &mut self,
        table: Option<TableId>,
        operations: OperationMask,
        admission: Admission,
        changes: &mut PendingChanges,
    ) {
        let admissions = match table {
            Some(table) => {
                changes.admissions.insert(table);
                &mut self.tables.entry(table).or_default().admissions
            }
            None => {
                changes.global_admission_changed = true;
                &mut self.global_admissions
            }
        };
        admissions.extend(operations_in(operations, self.operation_count).map(|index| (index, admission)));
    }
}

/// Checks that an action can be carried out.
///
/// # Errors
/// A value is out of range, or the server was never listed.
fn check_action(action: &Action, registry: &ServerRegistry) -> Result<(), InvalidAction> {
    let in_range = match *action {
        Action::SetWeight { table, weight, .. } => is_finite_non_negative(weight) && table != TableId::MAX,
        Action::LimitAdmission { limit, .. } => is_finite_non_negative(limit),
        _ => true,
    };
    if !in_range {
        return Err(InvalidAction::OutOfRange(action.clone()));
    }
    match *action {
        Action::SetWeight { server, .. } | Action::Exclude { server, .. }
            if !registry.was_assigned(server) =>
        {
            Err(InvalidAction::UnknownServer(action.clone()))
        }
        _ => Ok(()),
    }
}

/// Whether a value is finite and not negative.
fn is_finite_non_negative(value: f64) -> bool {
    value >= 0.0 && value.is_finite()
}
