//! Limits and timeouts for clients and other peers: how long the supervisor waits for them, and how many resources they
//! may use. They cover the registry, health checks, group members, balancers and kernel retries as well. Used by the
//! daemon and [`Core`](crate::Core); free of I/O and clock.

use shalereel::interface::{ControllerConfig, Nanos};

/// Maximum size of a gRPC or SASP message: a report or registration of ten thousand servers fits.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum number of concurrent calls on a connection; a client needs two.
const MAX_CALLS_PER_CONNECTION: u32 = 64;
/// Maximum number of messages of maximum size that are buffered for a peer that does not read.
const MAX_BUFFERED_MESSAGES: usize = 2;
/// Received bytes that are handled before more is read.
const MAX_BYTES_PER_WAIT: usize = 1 << 20;
/// Maximum number of members of one balancer: ten thousand servers, each listed twice.
const MAX_MEMBERS_PER_BALANCER: usize = 20_000;
/// Maximum number of groups of one balancer: sixteen for each of sixteen operations.
const MAX_GROUPS_PER_BALANCER: usize = 256;
/// Maximum number of weight requests of a balancer that are answered in a report interval; one is expected.
const MAX_WEIGHT_REQUESTS_PER_INTERVAL: u32 = 16;
/// Maximum number of entries of a group's log in one message.
const MAX_LOG_ENTRIES_PER_MESSAGE: usize = 64;

/// Number of consecutive rejected messages after which a stream is terminated.
const MAX_REJECTED_MESSAGES: u32 = 3;
/// Acknowledgement timeout, as a multiple of the sum of a round trip, a report interval, and the time in which a full
/// channel empties.
const ACK_TIMEOUT_FACTOR: Nanos = 4;
/// Delay before reads and writes that the kernel temporarily refuses are retried, ns.
const KERNEL_RETRY_DELAY: Nanos = 50_000_000;
/// The endpoint list is stored within a report interval divided by this.
const LIST_WRITE_DELAY_DIVISOR: Nanos = 4;
/// Number of dials per report interval to an unreachable member of the group.
const MEMBER_DIALS_PER_INTERVAL: Nanos = 8;

const NANOS_PER_S: Nanos = 1_000_000_000;

/// Reaction to a proxy's rejection of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NackResponse {
    /// Send the message again at this time, ns.
    ResendAt(Nanos),
    /// Close the proxy's stream, so that the proxy joins again.
    Terminate,
}

/// Limits that follow from a deployment's report interval and channel.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    report_interval: Nanos,
    /// Time from a message to the next report that reflects it, ns: transit both ways and a report interval.
    round_trip_and_report: Nanos,
    /// Time in which a full channel empties, ns.
    channel_drain_time: Nanos,
}

impl ClientLimits {
    /// Derives the limits of a deployment.
    pub fn new(config: &ControllerConfig) -> Self {
        ClientLimits {
            report_interval: config.report_interval,
            round_trip_and_report: 2 * config.worst_transit + config.report_interval,
            channel_drain_time: (config.channel_capacity / config.lines_per_s * 1e9) as Nanos,
        }
    }

    /// Reaction to a proxy's `count`th consecutive rejection. Each resend waits `round_trip_and_report` longer
    /// than the previous one, as the same message is likely to be rejected again.
    pub fn on_nack(&self, now: Nanos, count: u32) -> NackResponse {
        if count >= MAX_REJECTED_MESSAGES {
            return NackResponse::Terminate;
        }
        NackResponse::ResendAt(now + Nanos::from(count) * self.round_trip_and_report)
    }

    /// Time by which a message must be acknowledged, ns.
    pub fn ack_deadline(&self, sent_at: Nanos) -> Nanos {
        sent_at + self.ack_timeout()
    }

    /// Time for which a message may stay unacknowledged, ns.
    fn ack_timeout(&self) -> Nanos {
        ACK_TIMEOUT_FACTOR * (self.round_trip_and_report + self.channel_drain_time)
    }

    /// Time of the next dial of a watched registry whose stream was lost, ns.
    pub fn registry_redial_at(&self, lost_at: Nanos) -> Nanos {
        lost_at + self.report_interval
    }

    /// Time at which a changed endpoint list is stored, ns. The delay lets resulting updates be sent first, and bounds
    /// the write rate.
    pub fn list_write_at(&self, changed_at: Nanos) -> Nanos {
        changed_at + self.report_interval / LIST_WRITE_DELAY_DIVISOR
    }

    /// Time by which a health check must be answered, ns.
    pub fn health_check_deadline(&self, sent_at: Nanos) -> Nanos {
        sent_at + self.report_interval
    }

    /// Earliest time of the next dial of a group member, ns.
    pub fn member_redial_at(&self, dialled_at: Nanos) -> Nanos {
        dialled_at + self.report_interval / MEMBER_DIALS_PER_INTERVAL
    }

    /// Maximum number of entries of a group's log in one message.
    pub fn max_log_entries(&self) -> usize {
        MAX_LOG_ENTRIES_PER_MESSAGE
    }

    /// Limits of connections, which may hold `max_held_bytes` together.
    pub fn connection(&self, max_held_bytes: usize) -> shalereel_rpc::ConnectionLimits {
        shalereel_rpc::ConnectionLimits {
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_concurrent_calls: MAX_CALLS_PER_CONNECTION,
            max_unsent_bytes: MAX_BUFFERED_MESSAGES * MAX_MESSAGE_BYTES,
            max_held_bytes,
            max_bytes_per_wait: MAX_BYTES_PER_WAIT,
            message_timeout: self.ack_timeout(),
            user_timeout: self.ack_timeout(),
            retry_delay: KERNEL_RETRY_DELAY,
        }
    }

    /// Limits of one balancer.
    pub fn balancer(&self) -> shalereel_sasp::BalancerLimits {
        // SASP counts whole seconds.
        let interval = self.report_interval.div_ceil(NANOS_PER_S).clamp(1, 3600) as u16;
        shalereel_sasp::BalancerLimits {
            members: MAX_MEMBERS_PER_BALANCER,
            groups: MAX_GROUPS_PER_BALANCER,
            weight_requests: MAX_WEIGHT_REQUESTS_PER_INTERVAL,
            interval,
        }
    }
}

#[cfg(test)]
mod tests;
