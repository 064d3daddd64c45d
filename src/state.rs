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

/// Figures of the channel, and the account of lines that wait in it.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    pub(crate) lines_per_ns: f64,
    pub(crate) room: f64,
    pub(crate) overhead: f64,
    pub(crate) transit: Nanos,
    /// Lines that may wait when more is put behind them.
    pub(crate) prompt: f64,
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
    pub(crate) grace: Nanos,
    /// Lines that joiners may take before the next changes to others.
    pub(crate) turn: f64,
    pub(crate) supervisor: f64,
    pub(crate) supervisors: f64,
    pub(crate) proxies: f64,
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

impl Pacing {
    /// Books what was ordered, and has the messages answered. All orders of one reply to a proxy are one message.
    pub(crate) fn book(&mut self, lines: f64, reached: BTreeSet<ProxyId>, post: &mut Post) {
        self.waiting += lines;
        let due = post.now + (self.waiting / self.lines_per_ns) as Nanos + self.transit;
        if let Some(fence) = self.fenced.get_mut(&self.serial.into()).filter(|fence| fence.at == post.now) {
            fence.open.extend(reached);
            (fence.lines, fence.messages, fence.due) = (fence.lines + lines, fence.open.len(), due);
            return;
        }
        self.serial = self.serial.wrapping_add(1);
        let fence = Fence { at: post.now, lines, messages: reached.len(), open: reached, due };
        self.fenced.insert(self.serial.into(), fence);
        self.written += 1.0;
        post.orders.push(Order::FencePost { serial: self.serial, everyone: false });
    }

    pub(crate) fn is_late(&self, now: Nanos) -> bool {
        self.fenced.values().any(|fence| fence.late(now))
    }

    /// Lines on their way to proxies at the channel's ordinary pace.
    pub(crate) fn travelling(&self) -> f64 {
        self.lines_per_ns * self.transit as f64
    }

    /// A proxy has what was marked. Messages leave the channel one after another: all of before have left it.
    pub(crate) fn confirmed(&mut self, proxy: ProxyId, serial: u64) {
        let Some(fence) = self.fenced.get_mut(&serial) else { return };
        fence.open.remove(&proxy);
        let at = fence.at;
        self.fenced.retain(|_, fence| fence.at >= at);
    }

    /// Nothing that it was sent waits any more.
    pub(crate) fn left(&mut self, proxy: ProxyId) {
        for fence in self.fenced.values_mut() {
            fence.open.remove(&proxy);
        }
    }
}

impl Channel {
    /// Forgets a server that no table names any more.
    pub(crate) fn let_go(&mut self, server: ServerId, shunned: TableId) -> bool {
        let named = |(table, named): &(TableId, ServerId)| *named == server && *table != shunned;
        if self.told.iter().any(|(line, weight)| named(line) && *weight > 0.0) {
            return false;
        }
        self.wants.remove(&server);
        self.dealt.remove(&server);
        self.told.retain(|line, _| line.1 != server);
        self.parts.retain(|line| line.1 != server);
        true
    }

    /// Lines that a whole table takes, its mark and levels among them, and servers that whoever was told to shun
    /// them is to let back.
    pub(crate) fn lines(&self) -> BTreeMap<TableId, (f64, f64)> {
        let mut lines: BTreeMap<TableId, (f64, f64)> = BTreeMap::new();
        for ((table, server), _) in self.told.iter().filter(|(_, &weight)| weight > 0.0) {
            let counts = lines.entry(*table).or_insert((2.0 + self.gates.len() as f64, 0.0));
            let started = self.wants.get(server).is_some_and(|want| want.started);
            *counts = (counts.0 + 1.0, counts.1 + f64::from(u8::from(started)));
        }
        lines
    }

    /// Whom lines of these tables reach; those marked were told before, and go to newcomers alone.
    pub(crate) fn reached(&self, touched: &BTreeSet<(TableId, bool)>, shunned: TableId) -> BTreeSet<ProxyId> {
        let reached = |member: &Member| {
            let table = member.bound.unwrap_or(shunned);
            touched.contains(&(table, false)) || (touched.contains(&(table, true)) && !member.warned)
        };
        self.members.iter().filter(|(_, member)| reached(member)).map(|(&proxy, _)| proxy).collect()
    }

    /// Servers that stay in and are warm, with their weights.
    pub(crate) fn sound(&self) -> Vec<(ServerId, f64)> {
        let sound = self.wants.iter().filter(|(_, want)| want.weight > 0.0 && !want.urgent);
        sound.map(|(&server, want)| (server, want.weight)).collect()
    }
}
