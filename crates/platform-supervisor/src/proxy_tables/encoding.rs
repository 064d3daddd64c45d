//! Encodes the update of a proxy as lines of the platform's protocol.

use std::collections::BTreeMap;

use bytes::Bytes;
use shalereel::interface::{RetryPolicy, ServerId, TableId};

use super::pending_changes::PendingChanges;
use super::updates::{TableChange, UpdateContent};
use super::{Admission, OperationIndex, WeightTable};
use crate::protocol::TableUpdate;
use crate::server_registry::ServerRegistry;

/// Maximum number of weights in one part of an update, which keeps it far below the length limit of the
/// protocol.
const MAX_WEIGHTS_PER_PART: usize = 4096;

/// An update in its encoded form.
#[derive(Debug)]
pub(super) struct EncodedUpdate {
    pub bytes: Bytes,
    /// Number of lines in the channel, without the overhead of the message.
    pub lines: u64,
}

/// The encoder of the updates of one batch.
pub(super) struct UpdateEncoder<'a> {
    pub tables: &'a BTreeMap<TableId, WeightTable>,
    pub global_admissions: &'a BTreeMap<OperationIndex, Admission>,
    pub changes: &'a PendingChanges,
    pub registry: &'a ServerRegistry,
    /// Names of the operations, in the order of their indices.
    pub operation_names: &'a [String],
}

impl<'a> UpdateEncoder<'a> {
    /// Encodes one update. Operations with the same change share their parts.
    pub fn encode(&self, content: &UpdateContent) -> EncodedUpdate {
        let mut operations_by_change: BTreeMap<TableChange, Vec<OperationIndex>> = BTreeMap::new();
        for (index, change) in content.tables.iter().enumerate() {
            operations_by_change.entry(*change).or_default().push(index as OperationIndex);
        }
        let mut parts: Vec<TableUpdate<'a>> = Vec::new();
        for (change, operations) in &operations_by_change {
            match *change {
                TableChange::Unchanged => {}
                TableChange::Delta(table) => {
                    self.push_weights(&mut parts, self.changed_weights(table), operations, false);
                    if self.changes.admission_changed(table) {
                        self.push_admissions(&mut parts, table, operations);
                    }
                }
                TableChange::Full(table) => {
                    self.push_weights(&mut parts, self.full_weights(table), operations, true);
                    self.push_admissions(&mut parts, table, operations);
                }
            }
        }
        self.push_exclusions_and_ack_request(&mut parts, content);
        write_parts(parts)
    }

    fn server_name(&self, server: ServerId) -> Option<&'a str> {
        self.registry.get(server).map(|server| &*server.name)
    }

    fn server_names(&self, servers: &[ServerId]) -> Vec<&'a str> {
        servers.iter().filter_map(|&server| self.server_name(server)).collect()
    }

    /// Names of operations; `None` if they are all operations.
    fn operation_names(&self, operations: &[OperationIndex]) -> Option<Vec<&'a str>> {
        let name = |index: &OperationIndex| self.operation_names.get(usize::from(*index)).map(String::as_str);
        (operations.len() < self.operation_names.len()).then(|| operations.iter().filter_map(name).collect())
    }

    /// All weights of a table.
    fn full_weights(&self, table: TableId) -> Vec<(&'a str, f32)> {
        let weights = self.tables.get(&table).into_iter().flat_map(|table| &table.weights);
        weights
            .filter_map(|(&server, &weight)| Some((self.server_name(server)?, weight_as_f32(weight))))
            .collect()
    }

    /// The weights of a table that differ from those before the batch.
    fn changed_weights(&self, table: TableId) -> Vec<(&'a str, f32)> {
        let weight_now = |server| self.tables.get(&table).map_or(0.0, |table| table.weight(server));
        let changes = self.changes.weights.get(&table).into_iter().flatten();
        changes
            .filter(|change| weight_now(change.server) != change.before)
            .filter_map(|change| {
                Some((self.server_name(change.server)?, weight_as_f32(weight_now(change.server))))
            })
            .collect()
    }

    /// Adds the weights of the table of some operations, split into parts. A table that is replaced by an
    /// empty one results in one part without weights.
    fn push_weights(
        &self,
        parts: &mut Vec<TableUpdate<'a>>,
        weights: Vec<(&'a str, f32)>,
        operations: &[OperationIndex],
        replaces_table: bool,
    ) {
        let names = self.operation_names(operations);
        let part = |weights: &[(&'a str, f32)], replaces_table| TableUpdate {
            operations: names.clone(),
            replaces_table,
            weights: Some(weights.to_vec()),
            ..TableUpdate::default()
        };
        if weights.is_empty() && replaces_table {
            parts.push(part(&[], true));
        }
        for (index, piece) in weights.chunks(MAX_WEIGHTS_PER_PART).enumerate() {
            parts.push(part(piece, replaces_table && index == 0));
        }
    }

    /// Adds the admission limits of some operations of a table. A limit that is the same for all of them is
    /// added to the last part; otherwise each distinct limit gets a part of its own.
    fn push_admissions(
        &self,
        parts: &mut Vec<TableUpdate<'a>>,
        table: TableId,
        operations: &[OperationIndex],
    ) {
        let names = self.operation_names(operations);
        for (admission, its_operations) in self.operations_by_admission(table, operations) {
            let admission_limit = Some(admission.limit.min(f64::from(f32::MAX)) as f32);
            let retry_policy = Some(retry_policy_code(admission.retry_policy));
            let applies_to_all = its_operations.len() == operations.len();
            match parts.last_mut() {
                Some(last)
                    if applies_to_all && last.operations == names && last.admission_limit.is_none() =>
                {
                    last.admission_limit = admission_limit;
                    last.retry_policy = retry_policy;
                }
                _ => parts.push(TableUpdate {
                    operations: self.operation_names(&its_operations),
                    admission_limit,
                    retry_policy,
                    ..TableUpdate::default()
                }),
            }
        }
    }

    /// Groups operations by their admission limit. Groups are in the order of their first operation.
    fn operations_by_admission(
        &self,
        table: TableId,
        operations: &[OperationIndex],
    ) -> Vec<(Admission, Vec<OperationIndex>)> {
        let mut groups: Vec<(Admission, Vec<OperationIndex>)> = Vec::new();
        for &operation in operations {
            let Some(admission) = self.admission(table, operation) else { continue };
            match groups.iter_mut().find(|(known, _)| *known == admission) {
                Some((_, its_operations)) => its_operations.push(operation),
                None => groups.push((admission, vec![operation])),
            }
        }
        groups
    }

    /// The effective admission of an operation: the lower of the table's own limit and the limit for all
    /// tables, with the table's own retry policy if it has one.
    fn admission(&self, table: TableId, operation: OperationIndex) -> Option<Admission> {
        let own = self.tables.get(&table).and_then(|table| table.admissions.get(&operation)).copied();
        let global = self.global_admissions.get(&operation).copied();
        match (own, global) {
            (Some(own), Some(global)) => Some(Admission { limit: own.limit.min(global.limit), ..own }),
            (own, global) => own.or(global),
        }
    }

    /// Adds the exclusions, inclusions and the ack request to the last part.
    fn push_exclusions_and_ack_request(&self, parts: &mut Vec<TableUpdate<'a>>, content: &UpdateContent) {
        let mut last = parts.pop().unwrap_or_default();
        last.exclude = self.server_names(&content.exclude);
        last.include = self.server_names(&content.include);
        last.ack_serial = content.ack_serial;
        parts.push(last);
    }
}

/// Converts a weight to `f32`. A weight above 0 is not rounded to 0, which would remove the server.
fn weight_as_f32(weight: f64) -> f32 {
    if weight > 0.0 {
        (weight as f32).max(f32::MIN_POSITIVE)
    } else {
        0.0
    }
}

fn retry_policy_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// Writes the parts as lines, and marks each but the last as continued.
fn write_parts(parts: Vec<TableUpdate<'_>>) -> EncodedUpdate {
    let count = parts.len();
    let mut bytes = Vec::new();
    let mut lines = 0;
    for (index, mut part) in parts.into_iter().enumerate() {
        part.is_continued = index + 1 < count;
        part.write_line(&mut bytes);
        lines += part.channel_lines();
    }
    EncodedUpdate { bytes: bytes.into(), lines }
}
