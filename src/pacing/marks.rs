//! Marks that await acknowledgement: proxies answer a mark when they have applied what was sent before it.

use std::collections::BTreeSet;

use crate::interface::{Nanos, ProxyId};

/// With fewer messages, half of them may be late by the proxies' own doing.
const MIN_MESSAGES_TO_LEARN: usize = 4;

/// The messages of one flush, which await acknowledgement of the same serial.
#[derive(Clone, Debug)]
pub(crate) struct PendingMark {
    pub(crate) sent_at: Nanos,
    /// Lines of all its messages.
    pub(crate) lines: f64,
    /// Lines in the queue then, its own among them.
    pub(crate) queued_lines: f64,
    pub(crate) messages: usize,
    /// Proxies that have not acknowledged it.
    pub(crate) awaiting: BTreeSet<ProxyId>,
    /// By when most should have arrived.
    pub(crate) due: Nanos,
}

impl PendingMark {
    /// Lines that are not known to have left the channel.
    pub(super) fn unacknowledged_lines(&self) -> f64 {
        self.lines * self.awaiting.len() as f64 / self.messages as f64
    }

    /// Whether most should have acknowledged it by now and have not.
    pub(super) fn is_late(&self, now: Nanos) -> bool {
        now > self.due && 2 * self.awaiting.len() > self.messages
    }

    /// Whether half of its messages are acknowledged with this one, and they are enough to learn from.
    pub(super) fn shows_rate(&self) -> bool {
        self.awaiting.len() == self.messages / 2 && self.messages >= MIN_MESSAGES_TO_LEARN
    }
}
