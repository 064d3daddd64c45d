//! How the parts of the decision module talk: notes put into inboxes, and the fading sums they keep.
//! Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

pub(crate) const SECOND: Nanos = 1_000_000_000;

/// From one look of the module at everything to the next, at the longest.
pub(crate) fn beat(facts: &ControllerConfig) -> Nanos {
    facts.report_interval.clamp(SECOND / 10, SECOND) / 4
}

/// A sum that fades: brought up to date when read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fading {
    pub(crate) sum: f64,
    pub(crate) at: Nanos,
}

impl Fading {
    pub(crate) fn read(&mut self, now: Nanos, memory: Nanos) -> f64 {
        self.sum *= (-(now.saturating_sub(self.at) as f64) / memory as f64).exp();
        self.at = now;
        self.sum
    }

    pub(crate) fn add(&mut self, now: Nanos, memory: Nanos, amount: f64) {
        self.read(now, memory);
        self.sum += amount;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Part {
    Registry,
    Server(ServerId),
    Fleet,
    Channel,
}

#[derive(Clone, Debug)]
pub(crate) enum Note {
    Roster(WatchEvent),
    Recalled(Snapshot, Nanos),
    ServerSnapshot(ServerSnapshot, Nanos),
    ListenAgain,
    Listed(Endpoint),
    Delisted,
    EndpointReport(EndpointReport),
    Weigh(Picture),
    Held(bool),
    Intake {
        operation: usize,
        total: f64,
        lost: f64,
    },
    Met {
        tries: f64,
        lost: f64,
        time: f64,
        window: f64,
    },
    Standing(Standing),
    Beat(Vec<ServerId>),
    Want(ServerId, Want),
    Gates(Vec<Gate>),
    /// Are proxies to be kept apart, each with few servers?
    Apart(bool),
    /// Servers on the small tables of our proxies.
    Used(BTreeSet<ServerId>),
    Joined(ProxyId, f64, bool),
    Came(ProxyId, f64),
    Left(ProxyId),
    Confirmed(ProxyId, u64),
    Backlog(f64),
    Flush,
}

/// What the fleet lets each server compare itself with.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Picture {
    pub(crate) median_time: f64,
    /// Mean answer time of servers of its kind; 0 where too little is known.
    pub(crate) kind_time: f64,
    pub(crate) common_error: f64,
    /// Failures are general: errors and slowness are then lack of capacity, not one server's fault.
    pub(crate) general: bool,
    /// Answers in this batch's reports, all servers together.
    pub(crate) answered: f64,
    /// Answers owed that are silence.
    pub(crate) silence: f64,
    /// A sound server may go unheard for so long: a round of the reports and a late answer.
    pub(crate) hush: f64,
    /// This server's part of all weight told to proxies.
    pub(crate) share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    Errors,
    Silence,
    Score,
}

/// What a server reports of itself to the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    pub(crate) row: Endpoint,
    /// No proxy may send to it, whatever it holds.
    pub(crate) binds: bool,
    pub(crate) warm: bool,
    pub(crate) out: bool,
    pub(crate) fault: Option<Fault>,
    pub(crate) severity: f64,
    pub(crate) weight: f64,
    pub(crate) listed: f64,
    /// Most that it may get while cold, beside the listed weights of all ready servers.
    pub(crate) cap: Option<f64>,
    pub(crate) time: Option<f64>,
    /// Answers' time and their number, as heard of late.
    pub(crate) met: (f64, f64),
    pub(crate) error: f64,
}

impl Standing {
    pub(crate) fn ready(&self) -> bool {
        self.row.readiness == Readiness::Ready
    }
}

/// What the channel shall see to at the proxies for one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Want {
    pub(crate) weight: f64,
    /// A rule hangs on it: it does not wait for the next batch.
    pub(crate) urgent: bool,
    /// It drains or is gone: no joined proxy may send to it.
    pub(crate) binds: bool,
    /// It is not ready, whether or not anybody was seen to send to it.
    pub(crate) unready: bool,
    pub(crate) locality: LocalityId,
    /// It has started since it was first set up: someone may have had proxies shun it before.
    pub(crate) started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Gate {
    pub(crate) operation: usize,
    pub(crate) amount: f64,
    pub(crate) further: RetryPolicy,
}

/// What came of one operation, and what one invocation of it costs: objectives stand in for work, which no
/// one tells.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    pub(crate) operation: usize,
    pub(crate) cost: f64,
    pub(crate) came: Fading,
    pub(crate) failed: Fading,
}

/// Figures by which a server judges itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Judging {
    pub(crate) cold_from: f64,
    pub(crate) cold_for: Nanos,
    pub(crate) cold_stretch: f64,
    /// From an order until reports show what it did, at the longest.
    pub(crate) echo: Nanos,
    pub(crate) sizes_told: bool,
    pub(crate) kind_power: f64,
    pub(crate) gone_does_not_bind: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Band {
    #[default]
    Green,
    Yellow,
    Red,
}

/// The inboxes of all parts, and the orders given so far in this batch.
#[derive(Debug, Default)]
pub(crate) struct Post {
    pub(crate) now: Nanos,
    pub(crate) inboxes: BTreeMap<Part, VecDeque<Note>>,
    pub(crate) orders: Vec<Action>,
}

impl Post {
    pub(crate) fn put(&mut self, part: Part, note: Note) {
        self.inboxes.entry(part).or_default().push_back(note);
    }

    pub(crate) fn next(&mut self) -> Option<(Part, Note)> {
        let mut inbox = self.inboxes.first_entry()?;
        let (part, note) = (*inbox.key(), inbox.get_mut().pop_front());
        if inbox.get().is_empty() {
            inbox.remove();
        }
        note.map(|note| (part, note))
    }

    pub(crate) fn remark(&mut self, line: String) {
        self.orders.push(Action::Log(line));
    }
}

/// The middle one; 0 where there is none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
