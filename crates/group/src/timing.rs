//! Timeouts and intervals of the group, derived from a few settings. All time spans are in nanoseconds.

use shalereel::interface::Nanos;

/// Configured time spans and limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingSettings {
    /// Least time without a message from a leader before a follower starts an election. The actual timeout is a random
    /// value between once and twice this; after a start the follower waits for this span in addition.
    pub election_timeout: Nanos,
    /// Greatest rate error of a member's or forwarder's clock, as a fraction: 0.01 for 1 %.
    pub max_clock_drift: f64,
    /// How long a forwarder may use a route, counted from when it sent its request.
    pub tenure: Nanos,
    /// Longest time from when a forwarder sends a request to a server until the request takes effect; after that it
    /// never does.
    pub max_in_flight: Nanos,
    /// Maximum number of log entries in one message.
    pub max_batch_entries: usize,
}

/// Time spans derived from [`TimingSettings`].
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    settings: TimingSettings,
}

/// Heartbeats per election timeout: several may be lost before a follower starts an election.
const HEARTBEATS_PER_ELECTION_TIMEOUT: Nanos = 5;
/// Heartbeat intervals after which unacknowledged messages are sent again.
const RETRANSMIT_HEARTBEATS: Nanos = 3;
/// Renewal requests per lease duration: several requests or grants may be lost before the lease expires.
const RENEWALS_PER_LEASE: Nanos = 4;
/// SWIM probe periods per election timeout.
const PROBES_PER_ELECTION_TIMEOUT: Nanos = 2;
/// A direct acknowledgement is awaited for the probe period divided by this; the rest of the period is left for
/// indirect probes.
const DIRECT_ACK_DIVISOR: Nanos = 3;
/// Probe periods in which a suspect can refute the suspicion, per binary logarithm of the group's size.
const SUSPICION_PERIODS: f64 = 3.0;
/// How many messages carry a gossip update, per binary logarithm of the group's size.
const GOSSIP_TRANSMISSION_FACTOR: f64 = 3.0;
/// Election timeouts for which a returned member must be alive without interruption before it is assigned duties.
const STABLE_ELECTION_TIMEOUTS: Nanos = 3;
/// Election timeouts after which a command that is not committed is abandoned.
const COMMAND_ELECTION_TIMEOUTS: Nanos = 10;

impl Timing {
    /// Derives the time spans from the settings.
    pub fn new(settings: TimingSettings) -> Self {
        Timing { settings }
    }

    /// The minimum election timeout.
    pub fn election_timeout(&self) -> Nanos {
        self.settings.election_timeout
    }

    /// An election timeout between once and twice the minimum. `draw` is a random number from 0 to 1.
    pub fn randomized_election_timeout(&self, draw: f64) -> Nanos {
        self.settings.election_timeout + (self.settings.election_timeout as f64 * draw) as Nanos
    }

    /// Time between two heartbeats of a leader.
    pub fn heartbeat_interval(&self) -> Nanos {
        self.settings.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT
    }

    /// Time after which unacknowledged messages are sent again.
    pub fn retransmit_interval(&self) -> Nanos {
        RETRANSMIT_HEARTBEATS * self.heartbeat_interval()
    }

    /// How long a member's lease is valid after the member sent its request to the leader: one election timeout.
    pub fn member_lease_duration(&self) -> Nanos {
        self.settings.election_timeout
    }

    /// Time between two lease requests of a member.
    pub fn lease_renewal_interval(&self) -> Nanos {
        self.member_lease_duration() / RENEWALS_PER_LEASE
    }

    /// How long a forwarder may use a route after it sent its request.
    pub fn tenure(&self) -> Nanos {
        self.settings.tenure
    }

    /// Maximum number of log entries in one message; 1 or more.
    pub fn max_batch_entries(&self) -> usize {
        self.settings.max_batch_entries.max(1)
    }

    /// Time after which a command that is not committed is abandoned.
    pub fn command_timeout(&self) -> Nanos {
        COMMAND_ELECTION_TIMEOUTS * self.settings.election_timeout
    }

    /// Longest span that one clock can measure while another clock measures `span`.
    pub fn upper_bound(&self, span: Nanos) -> Nanos {
        let drift = self.settings.max_clock_drift;
        (span as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Nanos
    }

    /// Shortest span that one clock can measure while another clock measures `span`.
    pub fn lower_bound(&self, span: Nanos) -> Nanos {
        let drift = self.settings.max_clock_drift;
        (span as f64 * (1.0 - drift) / (1.0 + drift)) as Nanos
    }

    /// Time from when a route is granted until the forwarder's tenure has expired and the last request that it sent by
    /// the route has taken effect.
    pub fn route_expiry_span(&self) -> Nanos {
        self.upper_bound(self.settings.tenure + self.settings.max_in_flight)
    }

    /// Time within which every request that a forwarder has already sent takes effect.
    pub fn in_flight_span(&self) -> Nanos {
        self.upper_bound(self.settings.max_in_flight)
    }

    /// Length of a SWIM probe period: one member is probed per period.
    pub fn probe_period(&self) -> Nanos {
        self.settings.election_timeout / PROBES_PER_ELECTION_TIMEOUT
    }

    /// Time after which an unacknowledged probe is repeated through other members.
    pub fn direct_ack_timeout(&self) -> Nanos {
        self.probe_period() / DIRECT_ACK_DIVISOR
    }

    /// How long a suspect can refute the suspicion before it is declared dead, in a group of this many members.
    pub fn suspicion_timeout(&self, members: usize) -> Nanos {
        (SUSPICION_PERIODS * ((members + 1) as f64).log2() * self.probe_period() as f64) as Nanos
    }

    /// How many messages carry a gossip update, in a group of this many members.
    pub fn gossip_transmissions(&self, members: usize) -> u32 {
        (GOSSIP_TRANSMISSION_FACTOR * ((members + 1) as f64).log2()).ceil() as u32
    }

    /// How long a member must be alive without interruption before it is assigned duties.
    pub fn stable_span(&self) -> Nanos {
        STABLE_ELECTION_TIMEOUTS * self.settings.election_timeout
    }
}
