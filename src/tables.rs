//! Numbers and lines of the tables that proxies are assigned, used by the channel and by the subsets.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::interface::{ServerId, TableId};
use crate::message::DesiredState;

/// Number of the table of all servers; subsets have higher numbers.
pub(crate) const FULL_TABLE: TableId = 0;
/// Pseudo-table that records which servers unassigned proxies (those without a table from this supervisor)
/// must exclude, whatever tables they hold.
pub(crate) const EXCLUSIONS: TableId = TableId::MAX;

/// The entry of one server in a table. Lines are ordered by table, then by server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TableLine {
    pub(crate) table: TableId,
    pub(crate) server: ServerId,
}

impl TableLine {
    /// The lowest possible line of a table.
    pub(crate) fn first_of(table: TableId) -> Self {
        TableLine { table, server: 0 }
    }

    /// The range of all possible lines of a subset's table.
    pub(crate) fn all_of(table: TableId) -> Range<Self> {
        TableLine::first_of(table)..TableLine::first_of(table + 1)
    }
}

/// The desired state of each server at the proxies.
pub(crate) type DesiredStates = BTreeMap<ServerId, DesiredState>;
