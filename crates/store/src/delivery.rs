//! When deltas are sent again, and how many lines are sent beside the controller's own. Decisions, free of I/O and clock.

use shalereel::interface::{ControllerConfig, Nanos};

use crate::subscription::Unacknowledged;

/// A delta is sent again after twice the mean transit and a report interval divided by this.
const RETRANSMIT_INTERVAL_DIVISOR: Nanos = 4;
/// Retransmissions at an even pace, so that a drain gets through a lossy link within its grace; after these each delay is
/// twice the one before, so that a dead link costs little.
const EVEN_RETRANSMISSIONS: u32 = 8;
/// Doublings of the delay at most.
const MAX_DOUBLINGS: u32 = 8;
/// Part of the channel for lines of rollbacks, retransmissions and resyncs: the controller leaves as much free.
const SPARE_CHANNEL_PART: f64 = 0.1;

/// Rules for sending lines, in ratios to the settings' figures.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryPolicy {
    /// Between load reports, ns.
    pub report_interval: Nanos,
    /// Mean time from the supervisor to a proxy, ns.
    pub mean_transit: Nanos,
    /// Lines that may be queued in the channel.
    pub channel_capacity: f64,
    /// Lines that a message costs beside its own.
    pub message_overhead: f64,
}

impl DeliveryPolicy {
    /// The policy for a controller's settings.
    pub fn new(config: &ControllerConfig) -> Self {
        DeliveryPolicy {
            report_interval: config.report_interval,
            mean_transit: config.mean_transit,
            channel_capacity: config.channel_capacity,
            message_overhead: config.message_overhead,
        }
    }

    /// When a delta that was not acknowledged is sent again, ns.
    pub fn retransmit_at(&self, sent: Unacknowledged) -> Nanos {
        let delay = 2 * self.mean_transit + self.report_interval / RETRANSMIT_INTERVAL_DIVISOR;
        let doublings = sent.retransmissions.saturating_sub(EVEN_RETRANSMISSIONS).min(MAX_DOUBLINGS);
        sent.since + (delay << doublings)
    }

    /// Lines that may be sent beside the controller's. `queued`: lines in the channel; `spare_queued`: those of them that
    /// were sent beside the controller's. An empty channel takes a message of any size, since one that never fits would
    /// wait for ever.
    pub fn spare_lines(&self, queued: f64, spare_queued: f64) -> f64 {
        if queued <= 0.0 {
            return f64::INFINITY;
        }
        let spare_left = self.channel_capacity * SPARE_CHANNEL_PART - spare_queued;
        spare_left.min(self.channel_capacity - queued).max(0.0)
    }

    /// Lines of a rollback that make one version: as many as fit the spare part of the channel in messages to all `proxies`
    /// at once, at least one.
    pub fn rollback_step_lines(&self, proxies: usize) -> usize {
        let proxies = proxies.max(1) as f64;
        let lines_per_proxy = self.channel_capacity * SPARE_CHANNEL_PART / proxies - self.message_cost(0);
        (lines_per_proxy.floor() as usize).max(1)
    }

    /// Lines that a message costs in the channel.
    pub fn message_cost(&self, lines: usize) -> f64 {
        self.message_overhead + 1.0 + lines as f64
    }
}
