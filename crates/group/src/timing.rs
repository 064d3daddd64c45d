//! How long members wait for one another. Decisions, free of I/O and clock; all are ratios to told figures.

use shalereel::interface::Nanos;

/// What a group is told of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingSettings {
    /// A follower that heard nothing for so long, and up to twice that, asks for votes.
    pub election_timeout: Nanos,
    /// Two clocks differ by at most this part of any span.
    pub max_clock_drift: f64,
    /// A forwarder may use a range's line for so long after it asked.
    pub tenure: Nanos,
    /// What a forwarder sent takes effect within this span, or not at all.
    pub max_in_flight: Nanos,
    /// Entries of the log in one message at most.
    pub max_batch_entries: usize,
}

/// Spans that follow from what was told.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    settings: TimingSettings,
}

/// Heartbeats of a leader in the least election timeout: a few may be lost.
const HEARTBEATS_PER_ELECTION_TIMEOUT: Nanos = 5;
/// Unanswered entries are sent again after so many heartbeats.
const RETRANSMIT_HEARTBEATS: Nanos = 3;
/// Renewals in a lease.
const RENEWALS_PER_LEASE: Nanos = 4;
/// Probes in an election timeout, and how much of a probe's period a direct answer may take.
const PROBES_PER_ELECTION_TIMEOUT: Nanos = 2;
const DIRECT_ACK_DIVISOR: Nanos = 3;
/// Members asked to probe in one's stead.
pub const INDIRECT_PROBES: usize = 3;
/// A suspect may refute for so many periods, times the logarithm of the group's size.
const SUSPICION_PERIODS: f64 = 3.0;
/// A rumour goes along with so many messages, times the same.
const GOSSIP_TRANSMISSION_FACTOR: f64 = 3.0;
/// Rumours on one message.
pub const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// A member that came back is given its duties after so many election timeouts without a break.
const STABLE_ELECTION_TIMEOUTS: Nanos = 3;
/// Entries of the log before it is made into a snapshot.
pub const SNAPSHOT_EVERY_ENTRIES: u64 = 512;
/// A command not committed in so many election timeouts is given up and said so.
const COMMAND_ELECTION_TIMEOUTS: Nanos = 10;

impl Timing {
    pub fn new(told: TimingSettings) -> Self {
        Timing { settings: told }
    }

    pub fn election_timeout(&self) -> Nanos {
        self.settings.election_timeout
    }

    /// A draw from 0 to 1 between once and twice the election timeout.
    pub fn randomized_election_timeout(&self, draw: f64) -> Nanos {
        self.settings.election_timeout + (self.settings.election_timeout as f64 * draw) as Nanos
    }

    pub fn heartbeat_interval(&self) -> Nanos {
        self.settings.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT
    }

    pub fn retransmit_interval(&self) -> Nanos {
        RETRANSMIT_HEARTBEATS * self.heartbeat_interval()
    }

    /// How long a member may go on renewing forwarders after it asked the leader.
    pub fn lease_duration(&self) -> Nanos {
        self.settings.election_timeout
    }

    pub fn lease_renewal_interval(&self) -> Nanos {
        self.lease_duration() / RENEWALS_PER_LEASE
    }

    pub fn tenure(&self) -> Nanos {
        self.settings.tenure
    }

    pub fn max_batch_entries(&self) -> usize {
        self.settings.max_batch_entries.max(1)
    }

    pub fn command_timeout(&self) -> Nanos {
        COMMAND_ELECTION_TIMEOUTS * self.settings.election_timeout
    }

    /// A span on any other clock is over once this much has passed on one's own.
    pub fn upper_bound(&self, span: Nanos) -> Nanos {
        (span as f64 * (1.0 + self.settings.max_clock_drift) / (1.0 - self.settings.max_clock_drift)).ceil()
            as Nanos
    }

    /// A span on any other clock is not over before this much has passed on one's own.
    pub fn lower_bound(&self, span: Nanos) -> Nanos {
        (span as f64 * (1.0 - self.settings.max_clock_drift) / (1.0 + self.settings.max_clock_drift)) as Nanos
    }

    /// From the last renewal of a forwarder until what it sent has taken effect.
    pub fn route_lapse(&self) -> Nanos {
        self.upper_bound(self.settings.tenure + self.settings.max_in_flight)
    }

    pub fn in_flight_span(&self) -> Nanos {
        self.upper_bound(self.settings.max_in_flight)
    }

    pub fn probe_period(&self) -> Nanos {
        self.settings.election_timeout / PROBES_PER_ELECTION_TIMEOUT
    }

    pub fn direct_ack_timeout(&self) -> Nanos {
        self.probe_period() / DIRECT_ACK_DIVISOR
    }

    pub fn suspicion_timeout(&self, members: usize) -> Nanos {
        (SUSPICION_PERIODS * ((members + 1) as f64).log2() * self.probe_period() as f64) as Nanos
    }

    pub fn gossip_transmissions(&self, members: usize) -> u32 {
        (GOSSIP_TRANSMISSION_FACTOR * ((members + 1) as f64).log2()).ceil() as u32
    }

    pub fn stable_span(&self) -> Nanos {
        STABLE_ELECTION_TIMEOUTS * self.settings.election_timeout
    }
}
