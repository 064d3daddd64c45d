//! What each part of the decision module remembers. Nothing is decided here: no values, no rules.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::message::*;
use crate::statistics::DecayingSum;

/// What came of one operation, and the cost of one request of it: its latency objective stands in for work, which is
/// not reported.
#[derive(Debug, Default)]
pub(crate) struct OperationDemand {
    pub(crate) operation: usize,
    pub(crate) cost: f64,
    pub(crate) total: DecayingSum,
    pub(crate) failures: DecayingSum,
}

/// Figures by which a server judges itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Thresholds {
    /// Share of its capacity that a server has when it starts.
    pub(crate) slow_start_capacity: f64,
    /// Time from its start until it has all of it.
    pub(crate) slow_start_duration: Nanos,
    /// Multiple of its capacity during slow start that it may get.
    pub(crate) slow_start_stretch: f64,
    /// From an action until reports show what it did, at the longest.
    pub(crate) feedback_delay: Nanos,
    pub(crate) capacities_listed: bool,
    /// Power of the ratio of response times between kinds of servers.
    pub(crate) kind_power: f64,
    pub(crate) removal_is_advisory: bool,
}

/// Health of a server by its score.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Health {
    #[default]
    Healthy,
    Degraded,
    Unhealthy,
}

/// Follows the list, and asks for it where it must be asked.
#[derive(Debug)]
pub(crate) struct Registry {
    pub(crate) asks: bool,
    pub(crate) patience: Nanos,
    pub(crate) listed: BTreeSet<ServerId>,
    pub(crate) failures: u32,
    pub(crate) chance: oorandom::Rand64,
}

/// One server as this instance's proxies meet it.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) row: Endpoint,
    pub(crate) tries: DecayingSum,
    pub(crate) lost: DecayingSum,
    pub(crate) answered: DecayingSum,
    pub(crate) time: DecayingSum,
    /// Its share of the weight as proxies have felt it: what was told, late.
    pub(crate) felt_share: f64,
    pub(crate) heard: Nanos,
    /// Answers expected of it since its last one.
    pub(crate) unanswered: f64,
    pub(crate) level: f64,
    pub(crate) clean: bool,
    pub(crate) band: Health,
    pub(crate) edge: Option<Nanos>,
    pub(crate) out_since: Option<Nanos>,
    pub(crate) fault: Option<Fault>,
    pub(crate) term: Nanos,
    pub(crate) since: Nanos,
    pub(crate) weighed: Nanos,
}

/// Compares the servers and grants withdrawals.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) standings: BTreeMap<ServerId, ServerStatus>,
    pub(crate) awaited: usize,
    pub(crate) answered: f64,
    pub(crate) heard: Nanos,
    /// Spans that reports of late were counted over, and how many reports.
    pub(crate) rounds: (DecayingSum, DecayingSum),
    pub(crate) usual: DecayingSum,
    pub(crate) blind_until: Nanos,
    pub(crate) blind_part: f64,
    pub(crate) tip_after: Nanos,
    pub(crate) tries: DecayingSum,
    pub(crate) lost: DecayingSum,
    /// What came of each operation, and what of it got no answer.
    pub(crate) asked: Vec<[DecayingSum; 2]>,
    /// Tries, lost, succeeded and their time over one cycle or so: shedding must not act on old news.
    pub(crate) recent: [DecayingSum; 4],
    /// Where levels are heeded, what comes of each operation, those let in first in front.
    pub(crate) demands: Vec<OperationDemand>,
    /// Cost borne in a cycle by a unit of ready weight: the most of late, and what is let in at most.
    pub(crate) peak: f64,
    pub(crate) capacity: Option<f64>,
    pub(crate) heat: f64,
    pub(crate) patience: f64,
    pub(crate) cycle: Nanos,
    pub(crate) levelled: Nanos,
    pub(crate) told: BTreeMap<ServerId, f64>,
    /// Servers that our proxies use, where these are kept apart.
    pub(crate) used: BTreeSet<ServerId>,
    /// Until when proxies are kept apart, each with few servers, and for how long the next time.
    pub(crate) apart_until: Nanos,
    pub(crate) apart_for: Nanos,
    pub(crate) gates: Vec<AdmissionLimit>,
    pub(crate) general: bool,
    /// Lost share from which proxies avoid many servers by themselves.
    pub(crate) avoided_from: f64,
}

impl Server {
    /// What it has learned, as plain values; scores and learned times fade over these spans.
    pub(crate) fn remember(&mut self, now: Nanos, score: Nanos, learning: Nanos) -> ServerSnapshot {
        ServerSnapshot {
            server: self.row.server,
            attempts: self.tries.read(now, score),
            failures: self.lost.read(now, score),
            responses: self.answered.read(now, learning),
            response_time_sum: self.time.read(now, learning),
            missing_responses: self.unanswered.max(0.0),
            applied_share: self.felt_share,
            health: self.band as u8,
            recovery: self.level,
            ejected_for: self.out_since.map(|since| now.saturating_sub(since)),
            unresponsive: self.fault == Some(Fault::Unresponsive),
            ejection_time: self.term,
        }
    }
}

impl Fleet {
    /// The same of the fleet.
    pub(crate) fn remember(&mut self, now: Nanos, score: Nanos, usual: Nanos) -> Snapshot {
        Snapshot {
            servers: Vec::new(),
            attempts: self.tries.read(now, score),
            failures: self.lost.read(now, score),
            usual_weight: self.usual.read(now, usual),
            peak_load: self.peak,
            load_limit: self.capacity,
            isolation_left: self.apart_until.saturating_sub(now),
            isolation_time: self.apart_for,
        }
    }
}
