//! How long each line has differed from what was sent. Deferrable changes that have waited for long go first, so
//! that others that differ again and again do not keep them out for good.

use std::collections::BTreeMap;

use super::changes::Change;
use crate::interface::Nanos;
use crate::message::SECOND;
use crate::tables::TableLine;

/// Waiting time from which deferrable changes are sent in the order in which they began to wait.
const MAX_OUT_OF_ORDER_WAIT: Nanos = 10 * SECOND;

/// Since when each line differs from what was sent.
#[derive(Debug, Default)]
pub(super) struct WaitingTimes {
    since: BTreeMap<TableLine, Nanos>,
}

impl WaitingTimes {
    /// Records the lines that differ now.
    pub(super) fn update(&mut self, changes: &[Change], now: Nanos) {
        let since = |change: &Change| self.since.get(&change.line).copied().unwrap_or(now);
        self.since = changes.iter().map(|change| (change.line, since(change))).collect();
    }

    /// When a line began to wait if that was long ago; otherwise the latest possible time.
    pub(super) fn overdue_since(&self, line: TableLine, now: Nanos) -> Nanos {
        let since = self.since.get(&line).copied().unwrap_or(now);
        if now.saturating_sub(since) >= MAX_OUT_OF_ORDER_WAIT {
            since
        } else {
            Nanos::MAX
        }
    }
}
