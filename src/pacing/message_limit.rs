//! The limit on the number of messages that a supervisor may write to one proxy per window. Updates and
//! assignments check it before they write. It is kept by the times at which messages were written.
//!
//! Half of the limit is for everything that is sent; the other half is left to what has a deadline.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::{Nanos, ProxyId};

/// What a message is for, which determines how much of the limit it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessagePurpose {
    /// Changes that cannot wait any longer: the whole limit.
    Due,
    /// An assignment, or changes that are sent at once but may wait for a while: half of the limit.
    Prompt,
    /// Changes that can be put off: half of the limit, at regular intervals.
    Deferrable,
    /// Changes that can be put off and have waited for a whole window: all but one message.
    Overdue,
}

/// Messages written to each proxy recently, and their limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct MessageLimit {
    /// Maximum number of messages per window; `None`: no limit.
    limit: Option<usize>,
    window: Nanos,
    /// Time by which a message may enter the channel later than it was written.
    tolerance: Nanos,
    /// When messages were written within the last window, oldest first. Kept when a proxy leaves, since the
    /// limit holds for all its connections together.
    written_at: BTreeMap<ProxyId, VecDeque<Nanos>>,
}

impl MessageLimit {
    /// Creates a limit of `limit` messages per `window`; 0: no limit.
    pub(super) fn new(limit: u32, window: Nanos, tolerance: Nanos) -> Self {
        let limit = (limit > 0).then_some(limit as usize);
        MessageLimit { limit, window: window.max(1), tolerance, written_at: BTreeMap::new() }
    }

    /// Whether there is a limit.
    pub(crate) fn exists(&self) -> bool {
        self.limit.is_some()
    }

    /// Time over which messages count.
    pub(crate) fn window(&self) -> Nanos {
        self.window + self.tolerance
    }

    /// Counts a message to each of these proxies.
    pub(super) fn record_messages(&mut self, proxies: &BTreeSet<ProxyId>, now: Nanos) {
        if !self.exists() {
            return;
        }
        let window = self.window();
        for &proxy in proxies {
            let written_at = self.written_at.entry(proxy).or_default();
            written_at.retain(|at| now.saturating_sub(*at) < window);
            written_at.push_back(now);
        }
    }

    /// Whether another message to the proxy, for this purpose, must wait. A proxy that was written nothing
    /// within the window may be written one message for any purpose.
    pub(crate) fn is_reached(&self, proxy: ProxyId, purpose: MessagePurpose, now: Nanos) -> bool {
        let Some(limit) = self.limit else { return false };
        let Some(written_at) = self.written_at.get(&proxy) else { return false };
        let recent = written_at.iter().filter(|at| now.saturating_sub(**at) < self.window()).count();
        let half = (limit / 2).max(1);
        match purpose {
            MessagePurpose::Due => recent >= limit,
            MessagePurpose::Prompt => recent >= half,
            MessagePurpose::Overdue => recent >= limit.saturating_sub(1).max(1),
            MessagePurpose::Deferrable => {
                let interval = self.window() / half as Nanos;
                let last = written_at.back().copied().unwrap_or_default();
                recent >= half || now.saturating_sub(last) < interval
            }
        }
    }
}
