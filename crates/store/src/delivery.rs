//! Decides when deltas are retransmitted, and how many lines may be sent in addition to those of the controller's changes.
//! Does no I/O and reads no clock.

use shalereel::interface::{ControllerConfig, Nanos};

use crate::subscription::Unacknowledged;

/// A delta is retransmitted after twice the mean transit time plus the report interval divided by this.
const RETRANSMIT_INTERVAL_DIVISOR: Nanos = 4;
/// Number of retransmissions after equal delays, so that a drain arrives over a lossy link within its grace period. Each later
/// delay is twice the one before, so that few messages are sent over a dead link.
const EVEN_RETRANSMISSIONS: u32 = 8;
/// Largest number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 8;
/// Fraction of the channel capacity for lines of rollbacks, retransmissions and resyncs; the controller leaves it free.
const SPARE_CHANNEL_FRACTION: f64 = 0.1;

/// Rules for sending lines, derived from the controller's settings.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryPolicy {
    /// Time between load reports, ns.
    pub report_interval: Nanos,
    /// Mean time from the supervisor to a proxy, ns.
    pub mean_transit: Nanos,
    /// Number of lines that the channel to the proxies can queue.
    pub channel_capacity: f64,
    /// Fixed cost of a message in the channel, in lines, in addition to its own lines.
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

    /// Time at which an unacknowledged delta is retransmitted, ns.
    pub fn retransmit_at(&self, sent: Unacknowledged) -> Nanos {
        let delay = 2 * self.mean_transit + self.report_interval / RETRANSMIT_INTERVAL_DIVISOR;
        let doublings = sent.retransmissions.saturating_sub(EVEN_RETRANSMISSIONS).min(MAX_DOUBLINGS);
        sent.since + (delay << doublings)
    }

    /// Number of lines that may be sent in addition to the controller's. `queued`: lines in the channel; `spare_queued`:
    /// those among them that are not the controller's. An empty channel takes a message of any size, since a message that is
    /// larger than the spare capacity would otherwise never be sent.
    pub fn spare_lines(&self, queued: f64, spare_queued: f64) -> f64 {
        if queued <= 0.0 {
            return f64::INFINITY;
        }
        let spare_left = self.channel_capacity * SPARE_CHANNEL_FRACTION - spare_queued;
        spare_left.min(self.channel_capacity - queued).max(0.0)
    }

    /// Number of lines that a rollback changes in one version: as many as the spare capacity of the channel takes in messages
    /// to all `proxies` at once, and at least one.
    pub fn rollback_step_lines(&self, proxies: usize) -> usize {
        let proxies = proxies.max(1) as f64;
        let lines_per_proxy = self.channel_capacity * SPARE_CHANNEL_FRACTION / proxies - self.message_cost(0);
        (lines_per_proxy.floor() as usize).max(1)
    }

    /// Cost of a message with this many lines in the channel, in lines.
    pub fn message_cost(&self, lines: usize) -> f64 {
        self.message_overhead + 1.0 + lines as f64
    }
}
