//! Applies the controller's actions of one batch to the tables and notes what they change against what was
//! sent.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Action, OperationMask, ProxyId, ServerId, TableId};

use super::{operations_in, Admission, InvalidAction, ProxyTables, WeightTable};
use crate::server_registry::ServerRegistry;

/// A weight that an action has set.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeightChange {
    pub server: ServerId,
    /// The weight before the batch; 0: it was not in the table.
    pub before: f64,
}

/// An acknowledgement that proxies are to give.
#[derive(Clone, Copy, Debug)]
pub(super) struct AckRequest {
    pub serial: u64,
    /// Also of proxies for which the batch changes nothing.
    pub from_everyone: bool,
}

/// What the actions of one batch change.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    /// Per table, in the order in which the weights were first set.
    pub weights: BTreeMap<TableId, Vec<WeightChange>>,
    pub cleared: BTreeSet<TableId>,
    /// Tables whose admission was set.
    pub admissions: BTreeSet<TableId>,
    pub global_admission_changed: bool,
    pub excluded: Vec<ServerId>,
    pub included: Vec<ServerId>,
    /// The new table of each operation, where there is one.
    pub assignments: BTreeMap<ProxyId, Vec<Option<TableId>>>,
    pub ack: Option<AckRequest>,
}

impl PendingChanges {
    fn note_weight(&mut self, table: TableId, server: ServerId, before: f64) {
        let changes = self.weights.entry(table).or_default();
        if changes.iter().all(|change| change.server != server) {
            changes.push(WeightChange { server, before });
        }
    }

    /// The last action on a server counts.
    fn note_exclusion(&mut self, server: ServerId, on: bool) {
        self.included.retain(|&known| known != server);
        self.excluded.retain(|&known| known != server);
        let list = if on { &mut self.excluded } else { &mut self.included };
        list.push(server);
    }

    /// Whether no proxy is affected, once it is known whether `tables_changed`.
    pub(super) fn is_empty(&self, tables_changed: bool) -> bool {
        !tables_changed
            && self.cleared.is_empty()
            && self.ack.is_none()
            && self.assignments.is_empty()
            && self.excluded.is_empty()
            && self.included.is_empty()
    }

    /// Whether the admission of a table's operations was set.
    pub(super) fn admission_changed(&self, table: TableId) -> bool {
        self.admissions.contains(&table) || self.global_admission_changed
    }
}

impl ProxyTables {
    /// Applies one action and notes what it changes.
    pub(super) fn apply_action(
        &mut self,
        action: &Action,
        registry: &ServerRegistry,
        changes: &mut PendingChanges,
    ) -> Result<(), InvalidAction> {
        check(action, registry)?;
        match *action {
            Action::SetWeight { table, server, weight } => {
                // A forgotten server has no name to send.
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
                // An exclusion that is repeated is for proxies that joined since.
                if on || changed {
                    changes.note_exclusion(server, on);
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
        changes.note_weight(table, server, before.unwrap_or_default());
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

/// Whether an action can be carried out.
fn check(action: &Action, registry: &ServerRegistry) -> Result<(), InvalidAction> {
    let in_range = match *action {
        Action::SetWeight { table, weight, .. } => is_amount(weight) && table != TableId::MAX,
        Action::LimitAdmission { limit, .. } => is_amount(limit),
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

fn is_amount(value: f64) -> bool {
    value >= 0.0 && value.is_finite()
}
