//! Decides which lines of a wrong table are published, and for how long the others are refused.

use std::collections::BTreeSet;

use shalereel::interface::{Nanos, ServerId};

use crate::inspect::{inspect, Finding, Rule};
use crate::limits::Limits;
use crate::pool::{replace_line, Line, Lines, Pool};

/// A value counts as worse than another one if it is more than this many times as large; smaller differences are rounding.
const WORSE_RATIO: f64 = 1.05;
/// Largest number of attempts to repair a wrong table line by line.
const MAX_REPAIRS: usize = 3;
/// Number of times that a refused table is inspected again within `max_refusal_time`.
const INSPECTIONS_PER_MAX_REFUSAL_TIME: Nanos = 32;

/// A refusal of lines, as it is reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// What is wrong with the lines.
    pub finding: Finding,
    /// Time since which the guard has refused lines of the table without a break, ns.
    pub since: Nanos,
}

/// The guard's decision on a table: which of its lines are published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Servers whose lines stay as they were in the table before; the lines of all other servers are published.
    pub reverted: BTreeSet<ServerId>,
    /// Servers that are draining or removed but have a usable line; their lines are published as draining.
    pub drained: BTreeSet<ServerId>,
    /// Refusals that the caller logs: at the first refusal, and every `max_refusal_time` while it lasts.
    pub refusals: Vec<Refusal>,
    /// Findings that are published nevertheless, since they were refused for too long. All are of rules that may be waived.
    pub waived: Vec<Finding>,
}

/// The guard of one table.
#[derive(Clone, Debug)]
pub struct Guard {
    limits: Limits,
    refusing_since: Option<Nanos>,
    /// When a refusal was last reported, ns; 0 if never.
    reported_at: Nanos,
}

impl Guard {
    /// Creates the guard of a table that was not published yet.
    pub fn new(limits: Limits) -> Self {
        Guard { limits, refusing_since: None, reported_at: 0 }
    }

    /// Time at which a refused table is inspected again if nothing changes before, ns; `None` if nothing is refused. The
    /// inspection is repeated since servers in slow start warm up as time passes.
    pub fn next_inspection(&self, now: Nanos) -> Option<Nanos> {
        self.refusing_since.map(|_| now + self.limits.max_refusal_time / INSPECTIONS_PER_MAX_REFUSAL_TIME)
    }

    /// Whether a table is to be withheld from proxies: it has no usable line although a warm server is ready, so whatever the
    /// proxies have is better.
    pub fn must_withhold(&self, pool: &Pool, has_usable_line: bool) -> bool {
        !has_usable_line && pool.ready().any(|ready| self.limits.is_warm(ready))
    }

    /// Decides which lines of a new table replace those of the table before. Usable lines of draining or removed servers are
    /// always published as draining.
    ///
    /// The new table is compared with a fallback: the table before, without usable lines of draining or removed servers and
    /// with the lower weights that the new table has for servers in slow start.
    ///
    /// - A finding that the fallback has to the same degree is ignored: the pool has changed, and the controller adapts the
    ///   table to it step by step.
    /// - For each other finding, the lines concerned are reverted to those of the fallback: the line of the finding's server
    ///   or, if it names none, each line that takes a ready server out of use. This is repeated at most `MAX_REPAIRS` times;
    ///   if findings remain, the fallback is published.
    /// - The new table is published as it is if the fallback breaks worse rules, or if only rules that may be waived are
    ///   broken and they were refused for too long.
    pub fn judge(&mut self, now: Nanos, pool: &Pool, before: &Lines, after: &Lines) -> Decision {
        let drained = usable_but_unavailable(pool, after);
        let next = with_lines_draining(after, &drained);
        let mut decision = Decision { drained, ..Decision::default() };
        let findings = inspect(&self.limits, pool, &next);
        if findings.is_empty() {
            self.refusing_since = None;
            return decision;
        }
        let fallback = fallback(pool, before, &next);
        let fallback_findings = inspect(&self.limits, pool, &fallback);
        let new_findings = new_findings(&fallback_findings, findings.clone());
        if is_best_available(&findings, &new_findings, &fallback_findings) {
            self.refusing_since = None;
            return decision;
        }
        let since = *self.refusing_since.get_or_insert(now);
        if self.may_waive(now, since, &new_findings) {
            self.refusing_since = None;
            decision.waived = new_findings;
            return decision;
        }
        let repaired = self.repair(pool, &next, fallback, &fallback_findings, &new_findings);
        decision.reverted = differing_servers(&next, &repaired);
        decision.refusals = self.due_refusals(now, since, new_findings);
        decision
    }

    /// Whether the findings are waived: none is of a mandatory rule, and they were refused for too long.
    fn may_waive(&self, now: Nanos, since: Nanos, findings: &[Finding]) -> bool {
        let refused_too_long = now.saturating_sub(since) >= self.limits.max_refusal_time;
        refused_too_long && !findings.iter().any(|finding| finding.rule.is_mandatory())
    }

    /// Returns the findings as refusals if a report is due, and otherwise nothing.
    fn due_refusals(&mut self, now: Nanos, since: Nanos, findings: Vec<Finding>) -> Vec<Refusal> {
        if !self.is_report_due(now, since) {
            return Vec::new();
        }
        self.reported_at = now;
        findings.into_iter().map(|finding| Refusal { finding, since }).collect()
    }

    fn is_report_due(&self, now: Nanos, since: Nanos) -> bool {
        let first = self.reported_at == 0 || since == now;
        first || now.saturating_sub(self.reported_at) >= self.limits.max_refusal_time
    }

    /// Reverts the lines that the findings concern to those of the fallback. Returns the fallback if findings remain.
    fn repair(
        &self,
        pool: &Pool,
        next: &Lines,
        fallback: Lines,
        fallback_findings: &[Finding],
        findings: &[Finding],
    ) -> Lines {
        let mut repaired = next.clone();
        let mut remaining = findings.to_vec();
        for _ in 0..MAX_REPAIRS {
            for finding in &remaining {
                for server in servers_to_revert(finding, pool, &fallback, &repaired) {
                    replace_line(&mut repaired, server, fallback.get(&server).copied());
                }
            }
            remaining = new_findings(fallback_findings, inspect(&self.limits, pool, &repaired));
            if remaining.is_empty() {
                return repaired;
            }
        }
        fallback
    }
}

/// Whether the new table is at least as good as the fallback: the fallback has all of its findings too, or is worse.
fn is_best_available(findings: &[Finding], new_findings: &[Finding], fallback_findings: &[Finding]) -> bool {
    new_findings.is_empty() || is_worse(fallback_findings, findings)
}

/// Servers that have a usable line although they are draining or removed.
fn usable_but_unavailable(pool: &Pool, lines: &Lines) -> BTreeSet<ServerId> {
    let unavailable = lines.iter().filter(|(&server, line)| !line.draining && pool.is_unavailable(server));
    unavailable.map(|(&server, _)| server).collect()
}

fn with_lines_draining(lines: &Lines, drained: &BTreeSet<ServerId>) -> Lines {
    let mut lines = lines.clone();
    for server in drained {
        lines.entry(*server).and_modify(|line| line.draining = true);
    }
    lines
}

/// The table before, with those removals and reductions of the new table that are safe in any case: those of unavailable
/// servers and of servers in slow start.
fn fallback(pool: &Pool, before: &Lines, next: &Lines) -> Lines {
    let mut fallback = before.clone();
    for (&server, line) in before {
        let unavailable = pool.is_unavailable(server);
        let in_slow_start = pool.servers.get(&server).is_some_and(|state| state.age.is_some());
        let next_line = next.get(&server).copied();
        let is_withdrawal = next_line.is_none_or(|next| next.draining || next.weight < line.weight);
        if (unavailable || in_slow_start) && is_withdrawal {
            replace_line(&mut fallback, server, next_line);
        } else if unavailable {
            fallback.insert(server, Line { draining: true, ..*line });
        }
    }
    fallback
}

/// Servers whose lines are reverted because of a finding.
fn servers_to_revert(finding: &Finding, pool: &Pool, fallback: &Lines, next: &Lines) -> Vec<ServerId> {
    match finding.server {
        Some(server) => vec![server],
        None => ready_servers_taken_out(pool, fallback, next),
    }
}

fn ready_servers_taken_out(pool: &Pool, before: &Lines, after: &Lines) -> Vec<ServerId> {
    let is_usable = |line: Option<&Line>| line.is_some_and(Line::is_usable);
    let taken_out = |server: &ServerId| {
        is_usable(before.get(server)) && !is_usable(after.get(server)) && pool.is_ready(*server)
    };
    before.keys().copied().filter(taken_out).collect()
}

fn differing_servers(first: &Lines, second: &Lines) -> BTreeSet<ServerId> {
    let servers = first.keys().chain(second.keys()).copied();
    servers.filter(|server| first.get(server) != second.get(server)).collect()
}

/// Findings of a table that another table (`before`) does not have, or has to a lesser degree.
fn new_findings(before: &[Finding], mut after: Vec<Finding>) -> Vec<Finding> {
    after.retain(|finding| {
        let same = before.iter().find(|old| old.rule == finding.rule && old.server == finding.server);
        same.is_none_or(|old| match finding.rule {
            Rule::TooFewServers => finding.value < old.value,
            Rule::SlowStartOverload | Rule::TooConcentrated => finding.value > old.value * WORSE_RATIO,
            Rule::NoUsableLine | Rule::UnavailableServer => false,
        })
    });
    after
}

/// Whether the first table is worse than the second. The worst rule that one table breaks more often than the other decides.
fn is_worse(first: &[Finding], second: &[Finding]) -> bool {
    let count =
        |findings: &[Finding], rule: Rule| findings.iter().filter(|finding| finding.rule == rule).count();
    let counts = Rule::ALL.map(|rule| (count(first, rule), count(second, rule)));
    let first_difference = counts.into_iter().find(|(first, second)| first != second);
    first_difference.is_some_and(|(first, second)| first > second)
}
