//! What of a wrong table is published, and for how long the rest is refused.

use std::collections::BTreeSet;

use shalereel::interface::{Nanos, ServerId};

use crate::inspect::{inspect, Finding, Rule};
use crate::limits::Limits;
use crate::pool::{put, Line, Lines, Pool};

/// A value that is so many times another one is worse; less is rounding.
const WORSE_RATIO: f64 = 1.05;
/// Attempts to mend a wrong table line by line.
const MAX_REPAIRS: usize = 3;
/// A refused table is inspected again so many times within `max_refusal_time`.
const INSPECTIONS_PER_MAX_REFUSAL_TIME: Nanos = 32;

/// Why some lines are refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// What is wrong with them.
    pub finding: Finding,
    /// Since when the guard has refused the table without a break, ns.
    pub since: Nanos,
}

/// What is published of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Servers whose lines stay as they were; all others are published.
    pub reverted: BTreeSet<ServerId>,
    /// Servers whose lines are published as draining, whatever was meant.
    pub drained: BTreeSet<ServerId>,
    /// To be logged: at the first refusal, and now and then while it lasts.
    pub refusals: Vec<Refusal>,
    /// Findings of rules that may be waived which were published after all: they were refused for too long, and no
    /// mandatory rule is broken.
    pub waived: Vec<Finding>,
}

/// The guard of one table.
#[derive(Clone, Debug)]
pub struct Guard {
    limits: Limits,
    refusing_since: Option<Nanos>,
    /// When a refusal was last reported; 0: never.
    reported_at: Nanos,
}

impl Guard {
    /// The guard of a table that was not published yet.
    pub fn new(limits: Limits) -> Self {
        Guard { limits, refusing_since: None, reported_at: 0 }
    }

    /// When a refused table is inspected again, ns, if nothing changes before: the pool changes by time alone.
    pub fn next_inspection(&self, now: Nanos) -> Option<Nanos> {
        self.refusing_since.map(|_| now + self.limits.max_refusal_time / INSPECTIONS_PER_MAX_REFUSAL_TIME)
    }

    /// Whether a table is to be withheld from proxies, which have something better: one without a usable line is, while a
    /// warm server is ready.
    pub fn must_withhold(&self, pool: &Pool, has_usable_line: bool) -> bool {
        !has_usable_line && pool.ready().any(|known| self.limits.is_warm(known))
    }

    /// Judges a table that is about to replace another one. Usable lines of draining or removed servers are published as
    /// draining in any case.
    ///
    /// Compares the new table with a fallback: the table before, without usable lines of draining or removed servers and
    /// with the reductions of servers in slow start. A finding that the fallback has to the same degree is ignored: the
    /// pool has changed, and the controller follows it piece by piece. For each other finding the lines concerned (its
    /// server's, or, where it names none, each that takes a ready server out) are set back to the fallback's, at most
    /// `MAX_REPAIRS` times; if findings remain, the fallback is published. If the fallback breaks worse rules than the
    /// new table, or rules that may be waived alone were refused for too long, the new table is published as it is.
    pub fn judge(&mut self, now: Nanos, pool: &Pool, before: &Lines, after: &Lines) -> Decision {
        let drained = usable_but_unavailable(pool, after);
        let next = with_drained(after, &drained);
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

    /// Rules that may be waived are waived where they alone have been refused for too long.
    fn may_waive(&self, now: Nanos, since: Nanos, findings: &[Finding]) -> bool {
        let refused_too_long = now.saturating_sub(since) >= self.limits.max_refusal_time;
        refused_too_long && !findings.iter().any(|finding| finding.rule.is_mandatory())
    }

    /// The findings as refusals if a report of them is due; else none.
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

    /// The new table with the lines of findings taken back to the fallback's; the fallback where that does not help.
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
                    put(&mut repaired, server, fallback.get(&server).copied());
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

/// Whether no better table than the new one is at hand: all that is wrong with it is wrong with the fallback too, or the
/// fallback is worse.
fn is_best_available(findings: &[Finding], new_findings: &[Finding], fallback_findings: &[Finding]) -> bool {
    new_findings.is_empty() || is_worse(fallback_findings, findings)
}

/// Servers with a usable line that are draining or removed.
fn usable_but_unavailable(pool: &Pool, lines: &Lines) -> BTreeSet<ServerId> {
    let unavailable = lines.iter().filter(|(&server, line)| !line.draining && pool.is_unavailable(server));
    unavailable.map(|(&server, _)| server).collect()
}

fn with_drained(lines: &Lines, drained: &BTreeSet<ServerId>) -> Lines {
    let mut lines = lines.clone();
    for server in drained {
        lines.entry(*server).and_modify(|line| line.draining = true);
    }
    lines
}

/// The table before, with the removals of the next one that keep a rule: those of unavailable servers and of servers in
/// slow start.
fn fallback(pool: &Pool, before: &Lines, next: &Lines) -> Lines {
    let mut fallback = before.clone();
    for (&server, line) in before {
        let unavailable = pool.is_unavailable(server);
        let in_slow_start = pool.servers.get(&server).is_some_and(|known| known.age.is_some());
        let next_line = next.get(&server).copied();
        let is_withdrawal = next_line.is_none_or(|next| next.draining || next.weight < line.weight);
        if (unavailable || in_slow_start) && is_withdrawal {
            put(&mut fallback, server, next_line);
        } else if unavailable {
            fallback.insert(server, Line { draining: true, ..*line });
        }
    }
    fallback
}

/// Servers whose lines a finding takes back.
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

fn differing_servers(one: &Lines, other: &Lines) -> BTreeSet<ServerId> {
    let servers = one.keys().chain(other.keys()).copied();
    servers.filter(|server| one.get(server) != other.get(server)).collect()
}

/// Findings of a table that the table before does not have, or less of.
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

/// Whether the first table is worse than the second: by the worst rule that one of them breaks more often.
fn is_worse(one: &[Finding], other: &[Finding]) -> bool {
    let count =
        |findings: &[Finding], rule: Rule| findings.iter().filter(|finding| finding.rule == rule).count();
    let counts = Rule::ALL.map(|rule| (count(one, rule), count(other, rule)));
    let first_difference = counts.into_iter().find(|(one, other)| one != other);
    first_difference.is_some_and(|(one, other)| one > other)
}
