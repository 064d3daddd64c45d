//! What each part of the decision module remembers. Nothing is decided here: no values, no rules.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::notes::*;

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
    pub(crate) row: RosterRow,
    pub(crate) tries: Fading,
    pub(crate) lost: Fading,
    pub(crate) answered: Fading,
    pub(crate) time: Fading,
    /// Its share of the weight as proxies have felt it: what was told, late.
    pub(crate) felt_share: f64,
    pub(crate) heard: Nanos,
    /// Answers expected of it since its last one.
    pub(crate) unanswered: f64,
    pub(crate) level: f64,
    pub(crate) clean: bool,
    pub(crate) band: Band,
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
    pub(crate) standings: BTreeMap<ServerId, Standing>,
    pub(crate) awaited: usize,
    pub(crate) answered: f64,
    pub(crate) heard: Nanos,
    /// Spans that reports of late were counted over, and how many reports.
    pub(crate) rounds: (Fading, Fading),
    pub(crate) usual: Fading,
    pub(crate) blind_until: Nanos,
    pub(crate) blind_part: f64,
    pub(crate) tip_after: Nanos,
    pub(crate) tries: Fading,
    pub(crate) lost: Fading,
    /// What came of each operation, and what of it got no answer.
    pub(crate) asked: Vec<[Fading; 2]>,
    /// Tries, lost, succeeded and their time over one cycle or so: shedding must not act on old news.
    pub(crate) recent: [Fading; 4],
    /// Where levels are heeded, what comes of each operation, those let in first in front.
    pub(crate) demands: Vec<Demand>,
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
    pub(crate) gates: Vec<Gate>,
    pub(crate) general: bool,
    /// Lost share from which proxies avoid many servers by themselves.
    pub(crate) avoided_from: f64,
}

impl Server {
    /// What it has learned, as plain values; scores and learned times fade over these spans.
    pub(crate) fn remember(&mut self, now: Nanos, score: Nanos, learning: Nanos) -> Learned {
        Learned {
            server: self.row.server,
            tries: self.tries.read(now, score),
            lost: self.lost.read(now, score),
            answered: self.answered.read(now, learning),
            time: self.time.read(now, learning),
            unanswered: self.unanswered.max(0.0),
            felt: self.felt_share,
            band: self.band as u8,
            level: self.level,
            out_for: self.out_since.map(|since| now.saturating_sub(since)),
            silent: self.fault == Some(Fault::Silence),
            term: self.term,
        }
    }
}

impl Fleet {
    /// The same of the fleet.
    pub(crate) fn remember(&mut self, now: Nanos, score: Nanos, usual: Nanos) -> Remembered {
        Remembered {
            servers: Vec::new(),
            tries: self.tries.read(now, score),
            lost: self.lost.read(now, score),
            usual: self.usual.read(now, usual),
            peak: self.peak,
            capacity: self.capacity,
            apart_left: self.apart_until.saturating_sub(now),
            apart_for: self.apart_for,
        }
    }
}
