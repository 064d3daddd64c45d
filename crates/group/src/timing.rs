//! How long members wait for one another. All spans are in nanoseconds and follow from a few settings.

use shalereel::interface::Nanos;

/// Settings of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingSettings {
    /// After hearing no leader for a random span between once and twice this, a follower stands for election; after a
    /// start it waits for this span in addition.
    pub election_timeout: Nanos,
    /// Any two clocks differ by at most this part of a span.
    pub max_clock_drift: f64,
    /// A forwarder may use a route for this span after its request.
    pub tenure: Nanos,
    /// What a forwarder has sent takes effect within this span or never.
    pub max_in_flight: Nanos,
    /// Log entries in one message at most.
    pub max_batch_entries: usize,
}

/// Spans derived from [`TimingSettings`].
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    settings: TimingSettings,
}

/// Some heartbeats may be lost before a follower stands for election.
const HEARTBEATS_PER_ELECTION_TIMEOUT: Nanos = 5;
/// Unacknowledged entries are sent again after this many heartbeats.
const RETRANSMIT_HEARTBEATS: Nanos = 3;
/// Some requests or grants may be lost before a member's lease expires.
const RENEWALS_PER_LEASE: Nanos = 4;
const PROBES_PER_ELECTION_TIMEOUT: Nanos = 2;
/// A direct acknowledgement may take this fraction of a probe period; the rest is for indirect probes.
const DIRECT_ACK_DIVISOR: Nanos = 3;
/// Probe periods that a suspect has to refute, per binary logarithm of the group's size.
const SUSPICION_PERIODS: f64 = 3.0;
/// Messages that carry an update, per binary logarithm of the group's size.
const GOSSIP_TRANSMISSION_FACTOR: f64 = 3.0;
/// A member that came back is assigned duties after this many election timeouts without a break.
const STABLE_ELECTION_TIMEOUTS: Nanos = 3;
/// A command that is not committed after this many election timeouts is given up.
const COMMAND_ELECTION_TIMEOUTS: Nanos = 10;

impl Timing {
    /// The spans that follow from these settings.
    pub fn new(settings: TimingSettings) -> Self {
        Timing { settings }
    }

    /// The least election timeout.
    pub fn election_timeout(&self) -> Nanos {
        self.settings.election_timeout
    }

    /// Between once and twice the election timeout, by a random draw from 0 to 1.
    pub fn randomized_election_timeout(&self, draw: f64) -> Nanos {
        self.settings.election_timeout + (self.settings.election_timeout as f64 * draw) as Nanos
    }

    /// From one heartbeat of a leader to the next.
    pub fn heartbeat_interval(&self) -> Nanos {
        self.settings.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT
    }

    /// After which unacknowledged messages are sent again.
    pub fn retransmit_interval(&self) -> Nanos {
        RETRANSMIT_HEARTBEATS * self.heartbeat_interval()
    }

    /// How long a member's own lease from the leader is valid after its request: one election timeout.
    pub fn member_lease_duration(&self) -> Nanos {
        self.settings.election_timeout
    }

    /// From one request for a lease to the next.
    pub fn lease_renewal_interval(&self) -> Nanos {
        self.member_lease_duration() / RENEWALS_PER_LEASE
    }

    /// How long a forwarder may use a route after its request.
    pub fn tenure(&self) -> Nanos {
        self.settings.tenure
    }

    /// Log entries in one message at most; 1 or more.
    pub fn max_batch_entries(&self) -> usize {
        self.settings.max_batch_entries.max(1)
    }

    /// After which a command that is not committed is given up.
    pub fn command_timeout(&self) -> Nanos {
        COMMAND_ELECTION_TIMEOUTS * self.settings.election_timeout
    }

    /// Longest span that this clock may show while another clock shows `span`.
    pub fn upper_bound(&self, span: Nanos) -> Nanos {
        let drift = self.settings.max_clock_drift;
        (span as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Nanos
    }

    /// Shortest span that this clock may show while another clock shows `span`.
    pub fn lower_bound(&self, span: Nanos) -> Nanos {
        let drift = self.settings.max_clock_drift;
        (span as f64 * (1.0 - drift) / (1.0 + drift)) as Nanos
    }

    /// From a grant to a forwarder until all that it sent by it has taken effect.
    pub fn route_expiry_span(&self) -> Nanos {
        self.upper_bound(self.settings.tenure + self.settings.max_in_flight)
    }

    /// Within which all that a forwarder has sent has taken effect.
    pub fn in_flight_span(&self) -> Nanos {
        self.upper_bound(self.settings.max_in_flight)
    }

    /// From one probe of a member to the next.
    pub fn probe_period(&self) -> Nanos {
        self.settings.election_timeout / PROBES_PER_ELECTION_TIMEOUT
    }

    /// After which an unacknowledged probe is tried through other members.
    pub fn direct_ack_timeout(&self) -> Nanos {
        self.probe_period() / DIRECT_ACK_DIVISOR
    }

    /// How long a suspect may refute, in a group of this many members.
    pub fn suspicion_timeout(&self, members: usize) -> Nanos {
        (SUSPICION_PERIODS * ((members + 1) as f64).log2() * self.probe_period() as f64) as Nanos
    }

    /// Messages that carry an update, in a group of this many members.
    pub fn gossip_transmissions(&self, members: usize) -> u32 {
        (GOSSIP_TRANSMISSION_FACTOR * ((members + 1) as f64).log2()).ceil() as u32
    }

    /// How long a member must be alive without a break before it is assigned duties.
    pub fn stable_span(&self) -> Nanos {
        STABLE_ELECTION_TIMEOUTS * self.settings.election_timeout
    }
}
