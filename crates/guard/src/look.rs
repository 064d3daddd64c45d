//! What is wrong with a table, beside what is known of the pool that it is drawn from.

use std::collections::BTreeMap;
use std::fmt;

use shalereel::interface::{ControllerConfig, Nanos, ServerId};

/// A table holds at least this part of the warm, ready servers: a third may be withdrawn, and some more be on the way.
const LEAST: f64 = 0.5;
/// A server's share is at most so many times its part of the pool, three times by what is learned of it where all others
/// have come down to a quarter; and no more than this part of all, but that a few times its part is always allowed.
const MOST: f64 = 12.0;
const MOST_PART: f64 = 0.6;
const ALWAYS: f64 = 4.0;
/// In a pool of fewer servers a share says nothing.
const FEW: usize = 4;

/// A server as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    /// No list has it any more, and that alone does not bind: it may be in, and need not.
    Unlisted,
    /// Nothing new may go there.
    Out,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    pub standing: Standing,
    /// Its size beside the others'.
    pub listed: f64,
    /// Time since its start; nothing: long ago.
    pub age: Option<Nanos>,
}

/// One line of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub weight: f64,
    /// Nothing new goes there.
    pub draining: bool,
}

/// Figures from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub(crate) cold_from: f64,
    pub(crate) cold_for: Nanos,
    pub(crate) tip_multiple: f64,
    /// How often a refusal that lasts is said, and after how long ratios yield.
    pub(crate) patience: Nanos,
    /// How long a table may keep a line to a server that has begun to drain or is gone, before it is looked at again.
    pub(crate) closing: Nanos,
}

impl Limits {
    pub fn new(facts: &ControllerConfig) -> Self {
        Limits {
            cold_from: facts.slow_start_capacity,
            cold_for: facts.slow_start_duration,
            tip_multiple: facts.overload_ratio,
            // What a table did shows within a round of reports; two are enough to know that nothing changes.
            patience: 2 * (facts.report_interval + facts.worst_transit),
            // Whoever makes the table has half of the grace, what the guard shuts travels in the other.
            closing: facts.drain_grace / 2,
        }
    }

    /// When a table is looked at for servers that have begun to drain, or are gone, now.
    pub fn look_at(&self, now: Nanos) -> Nanos {
        now + self.closing
    }

    /// Part of its capacity that a server has by now; 1: warm.
    pub fn able(&self, server: &Server) -> f64 {
        match server.age {
            Some(age) if age < self.cold_for => {
                self.cold_from + (1.0 - self.cold_from) * age as f64 / self.cold_for as f64
            }
            _ => 1.0,
        }
    }
}

/// The servers that a table is drawn from.
#[derive(Clone, Debug)]
pub struct Pool {
    pub servers: BTreeMap<ServerId, Server>,
    /// Part of all invocations that goes by this table, 0 to 1.
    pub part: f64,
}

/// What a table breaks. In the order of how bad that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No line is open, while a warm server is ready.
    Empty,
    /// A line is open to a server that drains or is gone.
    Drained,
    /// A cold server is brought more than it bears.
    ColdPushed,
    /// Too few of the warm servers are in.
    Thin,
    /// Too much goes to one server.
    Concentrated,
}

impl Rule {
    /// Is it one of the rules that are never broken, or a ratio that may yield?
    pub fn binds(self) -> bool {
        self < Rule::Thin
    }
}

/// One thing that is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    pub server: Option<ServerId>,
    pub figure: f64,
    pub limit: f64,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { figure, limit, .. } = self;
        let server = self.server.unwrap_or_default();
        match self.rule {
            Rule::Empty => write!(f, "no open line, with {limit} warm servers ready"),
            Rule::Drained => write!(f, "an open line to server {server}, which drains or is gone"),
            Rule::ColdPushed => {
                write!(f, "cold server {server} would get {figure:.2} times its capacity, {limit:.2} at most")
            }
            Rule::Thin => write!(f, "{figure} of the warm servers are in, {limit:.1} at least"),
            Rule::Concentrated => {
                write!(
                    f,
                    "server {server} would get {figure:.1} times its part of the pool, {limit:.1} at most"
                )
            }
        }
    }
}

/// All that is wrong with a table. Drains under way count: a line to a server that is out is no line.
pub fn look(limits: &Limits, pool: &Pool, lines: &BTreeMap<ServerId, Line>) -> Vec<Finding> {
    let mut found = Vec::new();
    let ready = |server: &ServerId| pool.servers.get(server).filter(|known| known.standing != Standing::Out);
    let mut open: Vec<(ServerId, f64, &Server)> = Vec::with_capacity(lines.len());
    for (&server, line) in lines.iter().filter(|(_, line)| !line.draining && line.weight > 0.0) {
        match ready(&server) {
            Some(known) => open.push((server, line.weight, known)),
            None => {
                found.push(Finding { rule: Rule::Drained, server: Some(server), figure: 1.0, limit: 0.0 })
            }
        }
    }
    let pooled = pool.servers.values().filter(|known| known.standing == Standing::Ready);
    let (mut warm, mut size, mut count) = (0, 0.0, 0);
    for known in pooled {
        warm += usize::from(limits.able(known) >= 1.0);
        size += known.listed;
        count += 1;
    }
    let inside = open.iter().filter(|one| limits.able(one.2) >= 1.0).count();
    if open.is_empty() && warm > 0 {
        found.push(Finding { rule: Rule::Empty, server: None, figure: 0.0, limit: warm as f64 });
    }
    let least = LEAST * pool.part * warm as f64;
    if (inside as f64) < least.min(warm as f64).floor() {
        found.push(Finding { rule: Rule::Thin, server: None, figure: inside as f64, limit: least });
    }
    let total: f64 = open.iter().map(|one| one.1).sum();
    for (server, weight, known) in open {
        // Its share of all work beside its part of what the pool can do.
        let times = weight / total * pool.part * size / known.listed.max(f64::MIN_POSITIVE);
        let able = limits.able(known);
        let server = Some(server);
        // Where nothing warm is ready, somebody has to start.
        if able < 1.0 && warm > 0 && times / able > limits.tip_multiple {
            let (figure, limit) = (times / able, limits.tip_multiple);
            found.push(Finding { rule: Rule::ColdPushed, server, figure, limit });
        }
        let limit = (MOST_PART * size / known.listed.max(f64::MIN_POSITIVE)).clamp(ALWAYS, MOST);
        if able >= 1.0 && count >= FEW && times > limit && inside > 1 {
            found.push(Finding { rule: Rule::Concentrated, server, figure: times, limit });
        }
    }
    found.sort_by(|a, b| a.rule.cmp(&b.rule).then(a.server.cmp(&b.server)));
    found
}
