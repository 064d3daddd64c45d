//! Marks that await acknowledgement: a proxy acknowledges a mark when it has applied everything sent before
//! it.

use std::collections::BTreeSet;

use crate::interface::{Nanos, ProxyId};

/// Minimum number of messages to learn from; with fewer, half of them may be late because of the proxies
/// themselves.
const MIN_MESSAGES_TO_LEARN: usize = 4;

/// The messages of one flush, which are acknowledged with the same serial number.
#[derive(Clone, Debug)]
pub(crate) struct PendingMark {
    pub(crate) sent_at: Nanos,
    /// Total lines of these messages.
    pub(crate) lines: f64,
    /// Lines in the queue when they were sent, including their own.
    pub(crate) queued_lines: f64,
    pub(crate) messages: usize,
    /// Proxies that have not acknowledged the mark yet.
    pub(crate) awaiting: BTreeSet<ProxyId>,
    /// Time by which most of the messages should have arrived.
    pub(crate) due: Nanos,
}

impl PendingMark {
    /// Number of lines that are not known to have left the channel.
    pub(super) fn unacknowledged_lines(&self) -> f64 {
        self.lines * self.awaiting.len() as f64 / self.messages as f64
    }

    /// Whether most proxies should have acknowledged the mark by now but have not.
    pub(super) fn is_late(&self, now: Nanos) -> bool {
        now > self.due && 2 * self.awaiting.len() > self.messages
    }

    /// Whether the latest acknowledgement completes half of the messages, and there are enough messages to
    /// learn from.
    pub(super) fn shows_rate(&self) -> bool {
        self.awaiting.len() == self.messages / 2 && self.messages >= MIN_MESSAGES_TO_LEARN
    }
}
