//! The limit on the number of messages that a supervisor may write to one proxy per window. Updates and
//! assignments check it before they write.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Nanos, ProxyId};

/// Share of the currently allowed messages that deferrable changes may use; the rest is reserved for urgent
/// ones.
const DEFERRABLE_MESSAGE_SHARE: f64 = 0.3;

/// What a message is for, which determines how much of the limit it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessagePurpose {
    /// An assignment, or changes that are sent at once.
    Prompt,
    /// Changes that can be put off.
    Deferrable,
}

/// Messages written to each proxy recently, and their limit. Half of the limit may be written at once, the
/// other half over the window.
#[derive(Clone, Debug, Default)]
pub(crate) struct MessageLimit {
    /// Half of the limit; infinite without a limit.
    half_limit: f64,
    window: Nanos,
    /// Kept when a proxy leaves, since the limit holds for all its connections together.
    recent: BTreeMap<ProxyId, RecentMessages>,
}

/// Messages written to one proxy recently.
#[derive(Clone, Copy, Debug, Default)]
struct RecentMessages {
    /// Their number at `updated_at`; falls by half of the limit per window.
    count: f64,
    updated_at: Nanos,
}

impl MessageLimit {
    /// Creates a limit of `limit` messages per `window`; 0: no limit.
    pub(super) fn new(limit: u32, window: Nanos) -> Self {
        let half_limit = match limit {
            0 => f64::INFINITY,
            limit => f64::from(limit) / 2.0,
        };
        MessageLimit { half_limit, window: window.max(1), recent: BTreeMap::new() }
    }

    /// Whether there is a limit.
    pub(crate) fn exists(&self) -> bool {
        self.half_limit.is_finite()
    }

    /// Counts a message to each of these proxies.
    pub(super) fn record_messages(&mut self, proxies: &BTreeSet<ProxyId>, now: Nanos) {
        if !self.exists() {
            return;
        }
        for &proxy in proxies {
            let count = self.recent_messages(proxy, now) + 1.0;
            self.recent.insert(proxy, RecentMessages { count, updated_at: now });
        }
    }

    /// Whether another message to the proxy, for this purpose, must wait; a single message is always allowed.
    pub(crate) fn is_reached(&self, proxy: ProxyId, purpose: MessagePurpose, now: Nanos) -> bool {
        let share = match purpose {
            MessagePurpose::Prompt => 1.0,
            MessagePurpose::Deferrable => DEFERRABLE_MESSAGE_SHARE,
        };
        self.recent_messages(proxy, now) + 1.0 > (self.half_limit * share).max(1.0)
    }

    fn recent_messages(&self, proxy: ProxyId, now: Nanos) -> f64 {
        let Some(recent) = self.recent.get(&proxy) else { return 0.0 };
        let windows = now.saturating_sub(recent.updated_at) as f64 / self.window as f64;
        (recent.count - self.half_limit * windows).max(0.0)
    }
}
