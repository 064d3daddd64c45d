//! State sent to proxies: the weights in all tables, and the admission limits. The channel's rules compare it
//! with the desired state and send changes through it.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Action, ServerId, TableId};
use crate::message::{AdmissionLimit, DesiredState, Mailboxes};
use crate::tables::{DesiredStates, TableLine, EXCLUSIONS, FULL_TABLE};

/// Number of lines of an assignment in addition to the table's servers and admission limits: the assignment
/// itself and the mark that requests acknowledgement.
pub(super) const FIXED_ASSIGNMENT_LINES: f64 = 2.0;

/// An admission limit for the users of a table.
#[derive(Clone, Copy, Debug)]
pub(super) struct TableLimit {
    pub(super) table: TableId,
    pub(super) limit: AdmissionLimit,
}

/// Number of lines of an assignment of a table.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TableSize {
    /// Lines of the table itself, which every proxy receives.
    pub(super) lines: f64,
    /// Additional lines for a proxy with state from another supervisor: readmissions of servers that the
    /// proxy may have excluded before they returned.
    pub(super) readmissions: f64,
}

/// State that was sent to proxies.
#[derive(Debug, Default)]
pub(crate) struct SentState {
    /// Weights by line. In [`EXCLUSIONS`] the values mean:
    /// - 1: all unassigned proxies were sent the exclusion;
    /// - between 0 and 1: proxies have joined since; the value is halved at each join so that it differs from
    ///   1, the desired value;
    /// - 0: the server was readmitted.
    pub(crate) weights: BTreeMap<TableLine, f64>,
    /// Admission limits by table and operation.
    admission_limits: BTreeMap<(TableId, usize), AdmissionLimit>,
}

impl SentState {
    /// Sends a weight to the users of a table.
    pub(super) fn send_weight(&mut self, line: TableLine, weight: f64, mailboxes: &mut Mailboxes) {
        let TableLine { table, server } = line;
        mailboxes.actions.push(match table {
            EXCLUSIONS => Action::Exclude { server, on: weight > 0.0 },
            _ => Action::SetWeight { table, server, weight },
        });
        if weight > 0.0 || table == FULL_TABLE || table == EXCLUSIONS {
            self.weights.insert(line, weight);
        } else {
            self.weights.remove(&line);
        }
    }

    /// Sends an admission limit to the users of a table.
    pub(super) fn send_limit(&mut self, TableLimit { table, limit }: TableLimit, mailboxes: &mut Mailboxes) {
        mailboxes.actions.push(Action::LimitAdmission {
            table: Some(table),
            operations: 1 << limit.operation,
            limit: limit.limit,
            retry_policy: limit.retry_policy,
        });
        self.admission_limits.insert((table, limit.operation), limit);
    }

    /// Returns the limits of the given tables that differ from those sent.
    pub(super) fn differing_limits(
        &self,
        tables: BTreeSet<TableId>,
        limits: &[AdmissionLimit],
    ) -> Vec<TableLimit> {
        let all =
            tables.into_iter().flat_map(|table| limits.iter().map(move |&limit| TableLimit { table, limit }));
        let sent = |new: &TableLimit| self.admission_limits.get(&(new.table, new.limit.operation));
        all.filter(|new| sent(new) != Some(&new.limit)).collect()
    }

    /// Number of lines that an assignment of each table takes.
    pub(super) fn table_sizes(
        &self,
        admission_limits: usize,
        desired: &DesiredStates,
    ) -> BTreeMap<TableId, TableSize> {
        let empty = TableSize { lines: FIXED_ASSIGNMENT_LINES + admission_limits as f64, readmissions: 0.0 };
        let has_returned =
            |server| desired.get(server).is_some_and(|desired: &DesiredState| desired.has_returned);
        let mut sizes: BTreeMap<TableId, TableSize> = BTreeMap::new();
        for TableLine { table, server } in self.lines_in_use() {
            let size = sizes.entry(*table).or_insert(empty);
            size.lines += 1.0;
            size.readmissions += f64::from(u8::from(has_returned(server)));
        }
        sizes
    }

    fn lines_in_use(&self) -> impl Iterator<Item = &TableLine> {
        self.weights.iter().filter(|(_, &weight)| weight > 0.0).map(|(line, _)| line)
    }

    /// Marks all exclusions as differing from what was sent, since a proxy that joins has received none of
    /// them.
    pub(super) fn mark_exclusions_for_repeat(&mut self) {
        let exclusions = self.weights.range_mut(TableLine::first_of(EXCLUSIONS)..);
        exclusions.for_each(|(_, weight)| *weight /= 2.0);
    }

    /// Whether a table contains servers.
    pub(super) fn has_lines(&self, table: TableId) -> bool {
        self.lines_in_use().any(|line| line.table == table)
    }

    /// Whether any table contains a server.
    pub(super) fn is_in_a_table(&self, server: ServerId) -> bool {
        self.lines_in_use().any(|line| line.server == server && line.table != EXCLUSIONS)
    }

    /// Forgets a server that no table contains.
    pub(super) fn forget_server(&mut self, server: ServerId) {
        self.weights.retain(|line, _| line.server != server);
    }
}
