//! The limit on the number of messages that a supervisor may write per window. Updates check it before they
//! write.

use crate::interface::Nanos;

/// Messages written recently, and their limit. Half of the limit may be written at once, the other half over
/// the window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageLimit {
    /// Half of the limit; infinite without a limit.
    half_limit: f64,
    window: Nanos,
    /// Messages written recently; falls by `half_limit` per window.
    recent: f64,
}

impl MessageLimit {
    /// Creates a limit of `limit` messages per `window`; 0: no limit.
    pub(super) fn new(limit: u32, window: Nanos) -> Self {
        let half_limit = match limit {
            0 => f64::INFINITY,
            limit => f64::from(limit) / 2.0,
        };
        MessageLimit { half_limit, window: window.max(1), recent: 0.0 }
    }

    /// Advances the time by `elapsed` nanoseconds.
    pub(super) fn advance(&mut self, elapsed: f64) {
        self.recent = (self.recent - self.half_limit * elapsed / self.window as f64).max(0.0);
    }

    /// Counts a written message.
    pub(super) fn record_message(&mut self) {
        self.recent += 1.0;
    }

    /// Whether another message would exceed the given share of what may be written at once; a single message
    /// is always allowed.
    pub(crate) fn is_reached(&self, share: f64) -> bool {
        self.recent + 1.0 > (self.half_limit * share).max(1.0)
    }
}
