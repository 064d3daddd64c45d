//! Finds what is wrong with a table, given the servers of its pool.

use std::fmt;

use shalereel::interface::ServerId;

use crate::limits::Limits;
use crate::pool::{Line, Lines, Pool, Server};

/// Smallest fraction of the warm, ready servers that a table must contain: the controller may eject a third of them, and
/// further changes may still be in progress.
const MIN_WARM_FRACTION: f64 = 0.5;
/// Largest load of a server, as a multiple of its capacity. Learned capacity may triple its share, and the weights of the
/// others may have fallen to a quarter: 3 x 4.
const MAX_LOAD_RATIO: f64 = 12.0;
/// Largest fraction of all requests that one server may get.
const MAX_TRAFFIC_FRACTION: f64 = 0.6;
/// A load up to this multiple of a server's capacity is allowed, whatever fraction of all requests it is.
const ALWAYS_ALLOWED_LOAD_RATIO: f64 = 4.0;
/// The load ratio is not checked in smaller pools, where it is not meaningful.
const MIN_SERVERS_FOR_LOAD_RATIO: usize = 4;

/// The rules for tables, in order of severity: a violation of the first is the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No line is usable although a warm server is ready.
    NoUsableLine,
    /// A draining or removed server has a usable line.
    UnavailableServer,
    /// A server in slow start would get more load than it can bear.
    SlowStartOverload,
    /// Too few of the warm servers have a usable line.
    TooFewServers,
    /// One server would get too large a share of the requests.
    TooConcentrated,
}

impl Rule {
    /// All rules, the worst first.
    pub(crate) const ALL: [Rule; 5] = [
        Rule::NoUsableLine,
        Rule::UnavailableServer,
        Rule::SlowStartOverload,
        Rule::TooFewServers,
        Rule::TooConcentrated,
    ];

    /// Whether the rule is never waived. Only `TooFewServers` and `TooConcentrated` may be waived.
    pub fn is_mandatory(self) -> bool {
        self < Rule::TooFewServers
    }
}

/// A violation of a rule by a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// The rule that the table breaks.
    pub rule: Rule,
    /// The server concerned, if the finding concerns a single one.
    pub server: Option<ServerId>,
    /// Measured value: for `SlowStartOverload` and `TooConcentrated` a load as a multiple of capacity, for the other rules a
    /// number of servers or lines.
    pub value: f64,
    /// Limit that the value violates, in the same unit; for `NoUsableLine` the number of warm servers that are ready.
    pub limit: f64,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { value, limit, .. } = self;
        let server = self.server.unwrap_or_default();
        match self.rule {
            Rule::NoUsableLine => write!(f, "no usable line although {limit} warm servers are ready"),
            Rule::UnavailableServer => {
                write!(f, "server {server} is draining or removed but has a usable line")
            }
            Rule::SlowStartOverload => write!(
                f,
                "server {server} is in slow start and would get {value:.2} times the capacity that it has reached; \
                 at most {limit:.2} is allowed"
            ),
            Rule::TooFewServers => write!(
                f,
                "only {value} warm servers (past slow start) have a usable line; at least {limit:.1}, rounded down, \
                 are needed"
            ),
            Rule::TooConcentrated => write!(
                f,
                "server {server} would get {value:.1} times its share of the pool's capacity; at most {limit:.1} is \
                 allowed"
            ),
        }
    }
}

/// A line whose server may get new requests.
struct UsableLine<'a> {
    server: ServerId,
    weight: f64,
    state: &'a Server,
}

/// Totals of the ready servers of a pool.
struct ReadyServers {
    count: usize,
    warm: usize,
    capacity: f64,
}

impl ReadyServers {
    fn of(limits: &Limits, pool: &Pool) -> Self {
        let mut ready = ReadyServers { count: 0, warm: 0, capacity: 0.0 };
        for state in pool.ready() {
            ready.count += 1;
            ready.warm += usize::from(limits.is_warm(state));
            ready.capacity += state.capacity;
        }
        ready
    }
}

/// Finds all violations of a table, the worst rule first. A line of an unavailable server counts as a violation, and otherwise
/// as if it were missing.
pub fn inspect(limits: &Limits, pool: &Pool, lines: &Lines) -> Vec<Finding> {
    let ready = ReadyServers::of(limits, pool);
    let (usable, mut findings) = usable_lines(pool, lines);
    let warm_usable = usable.iter().filter(|line| limits.is_warm(line.state)).count();
    findings.extend(no_usable_line(&usable, &ready));
    findings.extend(too_few_servers(warm_usable, pool, &ready));
    let total_weight: f64 = usable.iter().map(|line| line.weight).sum();
    for line in &usable {
        let traffic_fraction = line.weight / total_weight * pool.traffic_share;
        let load_ratio = traffic_fraction * ready.capacity / line.state.capacity.max(f64::MIN_POSITIVE);
        findings.extend(slow_start_overload(limits, line, load_ratio, &ready));
        // A single warm server in the table gets all requests in any case.
        if limits.is_warm(line.state) && warm_usable > 1 {
            findings.extend(too_concentrated(line, load_ratio, &ready));
        }
    }
    findings.sort_by(|a, b| a.rule.cmp(&b.rule).then(a.server.cmp(&b.server)));
    findings
}

fn usable_lines<'a>(pool: &'a Pool, lines: &Lines) -> (Vec<UsableLine<'a>>, Vec<Finding>) {
    let mut usable = Vec::with_capacity(lines.len());
    let mut findings = Vec::new();
    let marked_usable = lines.iter().filter(|(_, line): &(&ServerId, &Line)| line.is_usable());
    for (&server, line) in marked_usable {
        match pool.servers.get(&server).filter(|_| !pool.is_unavailable(server)) {
            Some(state) => usable.push(UsableLine { server, weight: line.weight, state }),
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
    let limit = MIN_WARM_FRACTION * pool.traffic_share * ready.warm as f64;
    let finding = Finding { rule: Rule::TooFewServers, server: None, value, limit };
    (value < limit.min(ready.warm as f64).floor()).then_some(finding)
}

fn slow_start_overload(
    limits: &Limits,
    line: &UsableLine,
    load_ratio: f64,
    ready: &ReadyServers,
) -> Option<Finding> {
    let value = load_ratio / limits.capacity_fraction(line.state);
    let limit = limits.overload_ratio;
    let finding = Finding { rule: Rule::SlowStartOverload, server: Some(line.server), value, limit };
    // If no warm server is ready, the servers in slow start have to take the load.
    (!limits.is_warm(line.state) && ready.warm > 0 && value > limit).then_some(finding)
}

fn too_concentrated(line: &UsableLine, load_ratio: f64, ready: &ReadyServers) -> Option<Finding> {
    let load_ratio_at_max_traffic =
        MAX_TRAFFIC_FRACTION * ready.capacity / line.state.capacity.max(f64::MIN_POSITIVE);
    let limit = load_ratio_at_max_traffic.clamp(ALWAYS_ALLOWED_LOAD_RATIO, MAX_LOAD_RATIO);
    let finding =
        Finding { rule: Rule::TooConcentrated, server: Some(line.server), value: load_ratio, limit };
    (ready.count >= MIN_SERVERS_FOR_LOAD_RATIO && load_ratio > limit).then_some(finding)
}
