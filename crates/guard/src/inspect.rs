//! What is wrong with a table, in view of the servers that it is drawn from.

use std::fmt;

use shalereel::interface::ServerId;

use crate::limits::Limits;
use crate::pool::{Line, Lines, Pool, Server};

/// Part of the warm, ready servers that a table has at least: a third may be ejected, and some more be on the way.
const MIN_WARM_PART: f64 = 0.5;
/// Most load of a server in ratio to its capacity: learned capacity may triple its share, and the others may have come down
/// to a quarter, 3 x 4.
const MAX_LOAD_RATIO: f64 = 12.0;
/// Most of all requests that one server gets, 0 to 1.
const MAX_TRAFFIC_PART: f64 = 0.6;
/// A load ratio that is always allowed, whatever part of all requests it is.
const ALWAYS_ALLOWED_LOAD_RATIO: f64 = 4.0;
/// In a pool of fewer servers the load ratio says nothing.
const MIN_SERVERS_FOR_LOAD_RATIO: usize = 4;

/// A rule that a table breaks, the worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No line is usable, while a warm server is ready.
    NoUsableLine,
    /// A line is usable whose server is draining or removed.
    UnavailableServer,
    /// A server in slow start gets more than it bears.
    SlowStartOverload,
    /// Too few of the warm servers have a line.
    TooFewServers,
    /// One server gets too much.
    TooConcentrated,
}

impl Rule {
    /// Every rule, the worst first.
    pub(crate) const ALL: [Rule; 5] = [
        Rule::NoUsableLine,
        Rule::UnavailableServer,
        Rule::SlowStartOverload,
        Rule::TooFewServers,
        Rule::TooConcentrated,
    ];

    /// Whether the rule is never waived: all but `TooFewServers` and `TooConcentrated`.
    pub fn is_mandatory(self) -> bool {
        self < Rule::TooFewServers
    }
}

/// One thing that is wrong with a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// The rule that it breaks.
    pub rule: Rule,
    /// The server concerned, where it is one.
    pub server: Option<ServerId>,
    /// What the table has; its unit depends on the rule.
    pub value: f64,
    /// What it may have, in the same unit.
    pub limit: f64,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { value, limit, .. } = self;
        let server = self.server.unwrap_or_default();
        match self.rule {
            Rule::NoUsableLine => write!(f, "no usable line, with {limit} warm servers ready"),
            Rule::UnavailableServer => {
                write!(f, "a usable line for server {server}, which is draining or removed")
            }
            Rule::SlowStartOverload => write!(
                f,
                "server {server} in slow start would get {value:.2} times its capacity, {limit:.2} at most"
            ),
            Rule::TooFewServers => write!(
                f,
                "only {value} warm servers (past slow start) have a usable line; at least {limit:.1}, rounded down, \
                 are needed"
            ),
            Rule::TooConcentrated => write!(
                f,
                "server {server} would get {value:.1} times its part of the pool's capacity, {limit:.1} at most"
            ),
        }
    }
}

/// A line by which new requests may go to its server.
struct UsableLine<'a> {
    server: ServerId,
    weight: f64,
    known: &'a Server,
}

/// The ready servers of a pool.
struct ReadyServers {
    count: usize,
    warm: usize,
    capacity: f64,
}

impl ReadyServers {
    fn of(limits: &Limits, pool: &Pool) -> Self {
        let mut ready = ReadyServers { count: 0, warm: 0, capacity: 0.0 };
        for known in pool.ready() {
            ready.count += 1;
            ready.warm += usize::from(limits.is_warm(known));
            ready.capacity += known.capacity;
        }
        ready
    }
}

/// All that is wrong with a table, the worst first. Drains in progress count: a line of an unavailable server is no line.
pub fn inspect(limits: &Limits, pool: &Pool, lines: &Lines) -> Vec<Finding> {
    let ready = ReadyServers::of(limits, pool);
    let (usable, mut findings) = usable_lines(pool, lines);
    let warm_usable = usable.iter().filter(|line| limits.is_warm(line.known)).count();
    findings.extend(no_usable_line(&usable, &ready));
    findings.extend(too_few_servers(warm_usable, pool, &ready));
    let total_weight: f64 = usable.iter().map(|line| line.weight).sum();
    for line in &usable {
        let traffic_part = line.weight / total_weight * pool.traffic_share;
        let load_ratio = traffic_part * ready.capacity / line.known.capacity.max(f64::MIN_POSITIVE);
        findings.extend(slow_start_overload(limits, line, load_ratio, &ready));
        // With a single warm server in the table everything goes there.
        if limits.is_warm(line.known) && warm_usable > 1 {
            findings.extend(too_concentrated(line, load_ratio, &ready));
        }
    }
    findings.sort_by(|a, b| a.rule.cmp(&b.rule).then(a.server.cmp(&b.server)));
    findings
}

fn usable_lines<'a>(pool: &'a Pool, lines: &Lines) -> (Vec<UsableLine<'a>>, Vec<Finding>) {
    let mut usable = Vec::with_capacity(lines.len());
    let mut findings = Vec::new();
    let meant_usable = lines.iter().filter(|(_, line): &(&ServerId, &Line)| line.is_usable());
    for (&server, line) in meant_usable {
        match pool.servers.get(&server).filter(|_| !pool.is_unavailable(server)) {
            Some(known) => usable.push(UsableLine { server, weight: line.weight, known }),
            None => findings.push(Finding {
                rule: Rule::UnavailableServer,
                server: Some(server),
                value: 1.0,
                limit: 0.0,
            }),
        }
    }
    (usable, findings)
}

fn no_usable_line(usable: &[UsableLine], ready: &ReadyServers) -> Option<Finding> {
    let finding = Finding { rule: Rule::NoUsableLine, server: None, value: 0.0, limit: ready.warm as f64 };
    (usable.is_empty() && ready.warm > 0).then_some(finding)
}

fn too_few_servers(warm_usable: usize, pool: &Pool, ready: &ReadyServers) -> Option<Finding> {
    let value = warm_usable as f64;
    let limit = MIN_WARM_PART * pool.traffic_share * ready.warm as f64;
    let finding = Finding { rule: Rule::TooFewServers, server: None, value, limit };
    (value < limit.min(ready.warm as f64).floor()).then_some(finding)
}

fn slow_start_overload(
    limits: &Limits,
    line: &UsableLine,
    load_ratio: f64,
    ready: &ReadyServers,
) -> Option<Finding> {
    let value = load_ratio / limits.capacity_fraction(line.known);
    let limit = limits.overload_ratio;
    let finding = Finding { rule: Rule::SlowStartOverload, server: Some(line.server), value, limit };
    // Where no warm server is ready, one in slow start has to bear it.
    (!limits.is_warm(line.known) && ready.warm > 0 && value > limit).then_some(finding)
}

fn too_concentrated(line: &UsableLine, load_ratio: f64, ready: &ReadyServers) -> Option<Finding> {
    let at_max_traffic = MAX_TRAFFIC_PART * ready.capacity / line.known.capacity.max(f64::MIN_POSITIVE);
    let limit = at_max_traffic.clamp(ALWAYS_ALLOWED_LOAD_RATIO, MAX_LOAD_RATIO);
    let finding =
        Finding { rule: Rule::TooConcentrated, server: Some(line.server), value: load_ratio, limit };
    (ready.count >= MIN_SERVERS_FOR_LOAD_RATIO && load_ratio > limit).then_some(finding)
}
