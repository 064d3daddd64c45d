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

/// Figures of the channel, and the account of lines that wait in it.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    pub(crate) lines_per_ns: f64,
    pub(crate) room: f64,
    pub(crate) overhead: f64,
    pub(crate) transit: Nanos,
    pub(crate) waiting: f64,
    pub(crate) at: Nanos,
    pub(crate) serial: u16,
    pub(crate) fenced: BTreeMap<u64, Fence>,
    /// Messages written of late; half of the limit may be written at once, the other half over its span.
    pub(crate) written: f64,
    pub(crate) messages_half: f64,
    pub(crate) messages_over: Nanos,
}

/// Knows what was told to proxies, tells them what changed, and keeps the channel short.
#[derive(Debug, Default)]
pub(crate) struct Channel {
    pub(crate) pacing: Pacing,
    pub(crate) members: BTreeMap<ProxyId, Member>,
    pub(crate) wants: BTreeMap<ServerId, Want>,
    /// While proxies are kept apart: the lines of their small tables, and the weight that each should have.
    pub(crate) parts: BTreeSet<(TableId, ServerId)>,
    pub(crate) sizes: BTreeMap<TableId, f64>,
    /// Servers that were known when they were dealt.
    pub(crate) dealt: BTreeSet<ServerId>,
    pub(crate) told: BTreeMap<(TableId, ServerId), f64>,
    pub(crate) gates: Vec<Gate>,
    pub(crate) gates_told: BTreeMap<(TableId, usize), Gate>,
    pub(crate) flushed: Nanos,
    pub(crate) apart: bool,
    pub(crate) supervisor: f64,
    pub(crate) supervisors: f64,
    pub(crate) proxies: f64,
}
