//! The limit on messages that a supervisor may write in a time. Updates ask it before they write.

use crate::interface::Nanos;

/// Messages written of late, and their limit. Half of the limit may be written at once, the other half over
/// its window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageLimit {
    /// Half of the limit; infinite where there is none.
    half: f64,
    window: Nanos,
    recent: f64,
}

impl MessageLimit {
    /// At most `limit` messages in `window`; 0: any number.
    pub(super) fn new(limit: u32, window: Nanos) -> Self {
        let half = match limit {
            0 => f64::INFINITY,
            limit => f64::from(limit) / 2.0,
        };
        MessageLimit { half, window: window.max(1), recent: 0.0 }
    }

    /// Lets `elapsed` nanoseconds pass.
    pub(super) fn advance(&mut self, elapsed: f64) {
        self.recent = (self.recent - self.half * elapsed / self.window as f64).max(0.0);
    }

    /// Counts a message.
    pub(super) fn record_message(&mut self) {
        self.recent += 1.0;
    }

    /// Whether another message would exceed a share of what may be written at once; one message always may.
    pub(crate) fn is_reached(&self, share: f64) -> bool {
        self.recent + 1.0 > (self.half * share).max(1.0)
    }
}
