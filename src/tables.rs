//! Numbers and lines of the tables that proxies are assigned. Used by the channel and by the subsets; nothing
//! is decided here.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::interface::{ServerId, TableId};
use crate::message::DesiredWeight;

/// The table of all servers; subsets have the numbers after it.
pub(crate) const FULL_TABLE: TableId = 0;
/// Servers that unassigned proxies (those without a table of ours) must not send to, whatever they hold, are kept as
/// lines of this table.
pub(crate) const EXCLUSIONS: TableId = TableId::MAX;

/// A server's line in a table. Lines are ordered by table, then by server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TableLine {
    pub(crate) table: TableId,
    pub(crate) server: ServerId,
}

impl TableLine {
    /// The first line that a table can have.
    pub(crate) fn first_of(table: TableId) -> Self {
        TableLine { table, server: 0 }
    }

    /// All lines that a subset's table can have.
    pub(crate) fn all_of(table: TableId) -> Range<Self> {
        TableLine::first_of(table)..TableLine::first_of(table + 1)
    }
}

/// What proxies are to be sent, by server.
pub(crate) type DesiredWeights = BTreeMap<ServerId, DesiredWeight>;
