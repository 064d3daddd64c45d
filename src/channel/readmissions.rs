//! Readmissions by updates: a proxy that joined with state from another supervisor may still exclude a server
//! from before the server returned. The first update that adds the server to the proxy's table therefore also
//! readmits it, which takes another line.

use std::collections::BTreeMap;

use super::changes::Change;
use super::Channel;
use crate::interface::{Nanos, ServerId};
use crate::tables::{TableLine, EXCLUSIONS};

/// When each line of a returned server was last added to its table by an update.
#[derive(Debug, Default)]
pub(super) struct Readmissions {
    added_at: BTreeMap<TableLine, Nanos>,
}

impl Readmissions {
    /// Forgets a server.
    pub(super) fn forget_server(&mut self, server: ServerId) {
        self.added_at.retain(|line, _| line.server != server);
    }
}

impl Channel {
    /// The time after which a recipient must have joined, with state from another supervisor, for the change
    /// to take another line for its readmission; `None` if the change readmits the server for no recipient.
    pub(super) fn readmits_joined_after(&self, line: TableLine, weight: f64) -> Option<Nanos> {
        let is_in_table = self.sent.weights.get(&line).is_some_and(|&sent| sent > 0.0);
        let has_returned = self.desired_states.get(&line.server).is_some_and(|desired| desired.has_returned);
        if weight <= 0.0 || is_in_table || !has_returned || line.table == EXCLUSIONS {
            return None;
        }
        Some(self.readmissions.added_at.get(&line).copied().unwrap_or_default())
    }

    /// Records that these changes were sent.
    pub(super) fn record_readmissions(&mut self, changes: &[Change], now: Nanos) {
        let readmitting = changes.iter().filter(|change| change.readmits_joined_after.is_some());
        self.readmissions.added_at.extend(readmitting.map(|change| (change.line, now)));
    }
}
