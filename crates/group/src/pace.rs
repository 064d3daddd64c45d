//! How long members wait for one another. Decisions, free of I/O and clock; all are ratios to told figures.

use shalereel::interface::Nanos;

/// What a group is told of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// A follower that heard nothing for so long, and up to twice that, asks for votes.
    pub election: Nanos,
    /// Two clocks differ by at most this part of any span.
    pub drift: f64,
    /// A forwarder may use a range's line for so long after it asked.
    pub tenure: Nanos,
    /// What a forwarder sent takes effect within this span, or not at all.
    pub in_flight: Nanos,
    /// Entries of the log in one message at most.
    pub batch: usize,
}

/// Spans that follow from what was told.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    told: Told,
}

/// Heartbeats of a leader in the least election timeout: a few may be lost.
const BEATS: Nanos = 5;
/// Unanswered entries are sent again after so many heartbeats.
const RESEND: Nanos = 3;
/// Renewals in a lease.
const RENEWALS: Nanos = 4;
/// Probes in an election timeout, and how much of a probe's period a direct answer may take.
const PROBES: Nanos = 2;
const DIRECT: Nanos = 3;
/// Members asked to probe in one's stead.
pub const INDIRECT: usize = 3;
/// A suspect may refute for so many periods, times the logarithm of the group's size.
const SUSPICION: f64 = 3.0;
/// A rumour goes along with so many messages, times the same.
const TELLINGS: f64 = 3.0;
/// Rumours on one message.
pub const RUMOURS: usize = 8;
/// A member that came back is given its duties after so many election timeouts without a break.
const SETTLED: Nanos = 3;
/// Entries of the log before it is made into a snapshot.
pub const COMPACT: u64 = 512;
/// A command not committed in so many election timeouts is given up and said so.
const PATIENCE: Nanos = 10;

impl Pace {
    pub fn new(told: Told) -> Self {
        Pace { told }
    }

    pub fn election(&self) -> Nanos {
        self.told.election
    }

    /// A draw from 0 to 1 between once and twice the election timeout.
    pub fn election_drawn(&self, draw: f64) -> Nanos {
        self.told.election + (self.told.election as f64 * draw) as Nanos
    }

    pub fn heartbeat(&self) -> Nanos {
        self.told.election / BEATS
    }

    pub fn resend(&self) -> Nanos {
        RESEND * self.heartbeat()
    }

    /// How long a member may go on renewing forwarders after it asked the leader.
    pub fn lease(&self) -> Nanos {
        self.told.election
    }

    pub fn renewal(&self) -> Nanos {
        self.lease() / RENEWALS
    }

    pub fn tenure(&self) -> Nanos {
        self.told.tenure
    }

    pub fn batch(&self) -> usize {
        self.told.batch.max(1)
    }

    pub fn patience(&self) -> Nanos {
        PATIENCE * self.told.election
    }

    /// A span on any other clock is over once this much has passed on one's own.
    pub fn surely(&self, span: Nanos) -> Nanos {
        (span as f64 * (1.0 + self.told.drift) / (1.0 - self.told.drift)).ceil() as Nanos
    }

    /// A span on any other clock is not over before this much has passed on one's own.
    pub fn not_before(&self, span: Nanos) -> Nanos {
        (span as f64 * (1.0 - self.told.drift) / (1.0 + self.told.drift)) as Nanos
    }

    /// From the last renewal of a forwarder until what it sent has taken effect.
    pub fn lapse(&self) -> Nanos {
        self.surely(self.told.tenure + self.told.in_flight)
    }

    pub fn in_flight(&self) -> Nanos {
        self.surely(self.told.in_flight)
    }

    pub fn probe(&self) -> Nanos {
        self.told.election / PROBES
    }

    pub fn direct(&self) -> Nanos {
        self.probe() / DIRECT
    }

    pub fn suspicion(&self, members: usize) -> Nanos {
        (SUSPICION * ((members + 1) as f64).log2() * self.probe() as f64) as Nanos
    }

    pub fn tellings(&self, members: usize) -> u32 {
        (TELLINGS * ((members + 1) as f64).log2()).ceil() as u32
    }

    pub fn settled(&self) -> Nanos {
        SETTLED * self.told.election
    }
}
