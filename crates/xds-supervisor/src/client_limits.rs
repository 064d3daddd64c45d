//! Limits and time-outs of clients and other peers: how long a supervisor waits for them, and what they may cost it.
//! The same for the registry, health checks, group members, balancers and the kernel's retries. The daemon and the
//! [`Core`](crate::Core) ask; free of I/O and clock.

use shalereel::interface::{ControllerConfig, Nanos};

/// Most bytes of one message, of gRPC or SASP: a report or registration of ten thousand servers fits.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Most calls open at once on a connection; a client needs two.
const MAX_CALLS_PER_CONNECTION: u32 = 64;
/// Most messages of the largest size that are buffered for a peer that does not read.
const MAX_BUFFERED_MESSAGES: usize = 2;
/// Most members of one balancer: two listings of ten thousand servers.
const MAX_MEMBERS_PER_BALANCER: usize = 20_000;
/// Most groups of one balancer: sixteen for each of sixteen operations.
const MAX_GROUPS_PER_BALANCER: usize = 256;
/// Requests for weights that a balancer is answered in a report interval; one is expected.
const MAX_WEIGHT_REQUESTS_PER_INTERVAL: u32 = 16;
/// Most entries of a group's log in one message.
const MAX_LOG_ENTRIES_PER_MESSAGE: usize = 64;

/// A stream is terminated after so many rejected messages in a row.
const MAX_REJECTED_MESSAGES: u32 = 3;
/// A message must be acknowledged within so many times a round trip and the emptying of a full channel.
const ACK_TIMEOUT_FACTOR: Nanos = 4;
/// Reads and writes that the kernel refuses for the moment are retried after so long, ns.
const KERNEL_RETRY_DELAY: Nanos = 50_000_000;
/// The endpoint list is stored within this part of a report interval.
const LIST_WRITE_DELAY_DIVISOR: Nanos = 4;
/// A member of the group that cannot be reached is dialled so many times in a report interval.
const MEMBER_DIALS_PER_INTERVAL: Nanos = 8;

const NANOS_PER_S: Nanos = 1_000_000_000;

/// What to do with a proxy that has rejected a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NackResponse {
    /// Send it again at this time, ns.
    ResendAt(Nanos),
    /// End its stream, so that it joins anew.
    Terminate,
}

/// Limits that follow from a deployment's report interval and channel.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    report_interval: Nanos,
    /// From a message to the report after it: transit both ways, and a report interval.
    round_trip_and_report: Nanos,
    /// Time in which a full channel empties.
    channel_drain_time: Nanos,
}

impl ClientLimits {
    /// The limits of a deployment.
    pub fn new(config: &ControllerConfig) -> Self {
        ClientLimits {
            report_interval: config.report_interval,
            round_trip_and_report: 2 * config.worst_transit + config.report_interval,
            channel_drain_time: (config.channel_capacity / config.lines_per_s * 1e9) as Nanos,
        }
    }

    /// What to do after a proxy has rejected its `count`th message in a row. Each resend waits a round trip longer, as
    /// the same message is likely to be rejected again.
    pub fn on_nack(&self, now: Nanos, count: u32) -> NackResponse {
        if count >= MAX_REJECTED_MESSAGES {
            return NackResponse::Terminate;
        }
        NackResponse::ResendAt(now + Nanos::from(count) * self.round_trip_and_report)
    }

    /// Until when a message must be acknowledged, ns.
    pub fn ack_deadline(&self, sent_at: Nanos) -> Nanos {
        sent_at + self.ack_timeout()
    }

    /// How long a message may stay unacknowledged, ns.
    fn ack_timeout(&self) -> Nanos {
        ACK_TIMEOUT_FACTOR * (self.round_trip_and_report + self.channel_drain_time)
    }

    /// When the registry is dialled again after its stream was lost, ns, where the list is watched.
    pub fn registry_redial_at(&self, lost_at: Nanos) -> Nanos {
        lost_at + self.report_interval
    }

    /// When a changed endpoint list is stored, ns: after what follows from it is sent, and at a bounded rate.
    pub fn list_write_at(&self, changed_at: Nanos) -> Nanos {
        changed_at + self.report_interval / LIST_WRITE_DELAY_DIVISOR
    }

    /// Until when a health check must be answered, ns.
    pub fn health_check_deadline(&self, sent_at: Nanos) -> Nanos {
        sent_at + self.report_interval
    }

    /// When a member of the group may be dialled again, ns.
    pub fn member_redial_at(&self, dialled_at: Nanos) -> Nanos {
        dialled_at + self.report_interval / MEMBER_DIALS_PER_INTERVAL
    }

    /// Most entries of a group's log in one message.
    pub fn max_log_entries(&self) -> usize {
        MAX_LOG_ENTRIES_PER_MESSAGE
    }

    /// What one connection may cost.
    pub fn connection(&self) -> shalereel_rpc::ConnectionLimits {
        shalereel_rpc::ConnectionLimits {
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_concurrent_calls: MAX_CALLS_PER_CONNECTION,
            max_unsent_bytes: MAX_BUFFERED_MESSAGES * MAX_MESSAGE_BYTES,
            user_timeout: self.ack_timeout(),
            retry_delay: KERNEL_RETRY_DELAY,
        }
    }

    /// What one balancer may cost.
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
