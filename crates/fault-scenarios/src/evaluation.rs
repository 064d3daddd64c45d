//! The judge: sees traffic and times at forwarders, servers, callers and the registry, never a supervisor's word.
//! (Of a table it sees the stamp of its order, without which nobody could tell from outside what waited.)

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use shalereel::interface::Nanos;
use shalereel_reactor::SECOND;
use shalereel_standins::{Outcome, Seen, WhichEffect};

use crate::scenario::{nanos, Scenario};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    LineToPick,
    NoEffectTwice,
    DrainsKept,
    NoColdServerPushedOver,
    ShortQueue,
    /// Of a group: no forwarder goes back to an earlier epoch, no range has two owners.
    Fenced,
}

/// One time that a rule was broken, with the invocations that prove it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub at_s: f64,
    #[serde(rename = "what")]
    pub description: String,
    pub invocations: Vec<u64>,
}

/// How near a rule came to its limit, 1 being the limit, and each time that it was broken.
#[derive(Clone, Debug, Serialize)]
pub struct RuleResult {
    pub rule: Rule,
    pub limit: String,
    pub nearest: f64,
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// Service by operation over some seconds; nothing where nothing was asked for.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceWindow {
    pub from_s: f64,
    /// Billed value asked for, and answered in time.
    #[serde(rename = "asked")]
    pub requested_value: f64,
    #[serde(rename = "answered")]
    pub answered_value: f64,
    pub service: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub title: String,
    pub service: f64,
    pub expected: f64,
    pub operations: BTreeMap<String, f64>,
    /// What was expected and not reached.
    #[serde(rename = "missed")]
    pub missed_expectations: Vec<String>,
    pub windows: Vec<ServiceWindow>,
    pub rules: Vec<RuleResult>,
    #[serde(rename = "asked")]
    pub invocations: usize,
    #[serde(rename = "tries")]
    pub attempts: usize,
    pub traffic: TableTraffic,
    pub remarks: Vec<String>,
}

/// What supervisors told forwarders of their tables.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TableTraffic {
    pub messages: u64,
    pub lines: u64,
    pub bytes: u64,
    /// Lost, late or doubled on the way, and asked for anew.
    pub disturbed: u64,
    #[serde(rename = "asked_anew")]
    pub repeated_requests: u64,
}

impl TableTraffic {
    fn of(seen: &[Seen]) -> Self {
        let mut sum = TableTraffic::default();
        for one in seen {
            match one {
                Seen::Told { lines, bytes, .. } => {
                    sum.messages += 1;
                    sum.lines += u64::from(*lines);
                    sum.bytes += u64::from(*bytes);
                }
                Seen::Disturbed { .. } => sum.disturbed += 1,
                Seen::AskedAnew { .. } => sum.repeated_requests += 1,
                _ => {}
            }
        }
        sum
    }
}

impl Verdict {
    pub fn violated_rules(&self) -> impl Iterator<Item = &RuleResult> {
        self.rules.iter().filter(|measure| !measure.violations.is_empty())
    }

    /// All rules kept and all that was expected reached?
    pub fn passed(&self) -> bool {
        self.violated_rules().next().is_none() && self.missed_expectations.is_empty()
    }
}

/// A stretch of time, open at its end.
type Span = (Nanos, Nanos);

/// The list as a supervisor knew it from a time on.
struct Known<'a> {
    /// When it was said, and when the supervisor acknowledged it, which is a moment after its first orders.
    said: Nanos,
    from: Nanos,
    ready: &'a [(u32, u64, Nanos)],
    draining: &'a [u32],
    gone: &'a [u32],
}

struct Scene<'a> {
    day: &'a Scenario,
    start: Nanos,
    end: Nanos,
    /// By forwarder: to which supervisor it was joined, and when.
    joined: BTreeMap<u32, Vec<(u32, Span)>>,
    /// By forwarder: when it did not read what it was told.
    deaf: BTreeMap<u32, Vec<Span>>,
    known: BTreeMap<u32, Vec<Known<'a>>>,
}

fn spans(mut events: Vec<(Nanos, bool)>, end: Nanos) -> Vec<Span> {
    events.sort_by_key(|event| event.0);
    let (mut found, mut since) = (Vec::new(), None);
    for (at, on) in events {
        match (on, since) {
            (true, None) => since = Some(at),
            (false, Some(from)) => {
                found.push((from, at));
                since = None;
            }
            _ => {}
        }
    }
    found.extend(since.map(|from| (from, end)));
    found
}

impl<'a> Scene<'a> {
    fn new(day: &'a Scenario, (start, end): Span, seen: &'a [Seen]) -> Self {
        let far = end + 3600 * SECOND;
        let mut joined: BTreeMap<u32, Vec<(u32, Span)>> = BTreeMap::new();
        let mut deaf: BTreeMap<u32, Vec<(Nanos, bool)>> = BTreeMap::new();
        let mut known: BTreeMap<u32, Vec<Known>> = BTreeMap::new();
        let mut said: BTreeMap<(&str, u64), &Seen> = BTreeMap::new();
        for one in seen {
            match one {
                Seen::Joined { at, forwarder, supervisor } => {
                    joined.entry(*forwarder).or_default().push((*supervisor, (*at, far)));
                }
                Seen::Left { at, forwarder } | Seen::Died { at, forwarder } => {
                    let last = joined.get_mut(forwarder).and_then(|spans| spans.last_mut());
                    if let Some((_, span)) = last {
                        span.1 = span.1.min(*at);
                    }
                }
                Seen::Reachable { at, forwarder, on } => deaf.entry(*forwarder).or_default().push((*at, !on)),
                Seen::Said { to, version, .. } => drop(said.insert((to, *version), one)),
                Seen::Acknowledged { at, to, version } => {
                    let number = to.rsplit('-').next().and_then(|number| number.parse().ok());
                    if let (Some(number), Some(Seen::Said { at: said, ready, draining, gone, .. })) =
                        (number, said.get(&(to.as_str(), *version)))
                    {
                        known.entry(number).or_default().push(Known {
                            said: *said,
                            from: *at,
                            ready,
                            draining,
                            gone,
                        });
                    }
                }
                _ => {}
            }
        }
        let deaf = deaf.into_iter().map(|(forwarder, events)| (forwarder, spans(events, far))).collect();
        Scene { day, start, end, joined, deaf, known }
    }

    fn seconds(&self, at: Nanos) -> f64 {
        (at.saturating_sub(self.start) as f64 / SECOND as f64 * 100.0).round() / 100.0
    }

    fn joined_at(&self, forwarder: u32, at: Nanos) -> Option<(u32, Span)> {
        let spans = self.joined.get(&forwarder)?;
        spans.iter().rev().find(|(_, span)| span.0 <= at && at < span.1).copied()
    }

    /// Since when a forwarder could be reached without a break, as of `at`.
    fn reachable_since(&self, forwarder: u32, at: Nanos) -> Nanos {
        let deaf = self.deaf.get(&forwarder).map_or(&[][..], Vec::as_slice);
        deaf.iter().filter(|span| span.0 <= at).map(|span| span.1.min(at)).max().unwrap_or(0)
    }

    fn list_at(&self, supervisor: u32, at: Nanos) -> Option<&Known<'a>> {
        self.known.get(&supervisor)?.iter().rev().find(|known| known.from <= at)
    }

    fn warm_at(&self, supervisor: u32, at: Nanos) -> bool {
        let cold_for = nanos(self.day.cold_for_s() * 1e3);
        let warm = |row: &(u32, u64, Nanos)| row.2 == 0 || row.2 + cold_for <= at;
        self.list_at(supervisor, at).is_some_and(|known| known.ready.iter().any(warm))
    }

    /// A joined forwarder is never without a line for longer than the stated time, while a warm server is listed.
    fn line_to_pick(&self, seen: &[Seen]) -> RuleResult {
        let limit = nanos(self.day.rules.empty_for_s * 1e3);
        let mut bare: BTreeMap<(u32, u16), Vec<(Nanos, bool)>> = BTreeMap::new();
        for one in seen {
            match one {
                Seen::Bare { at, forwarder, operation, on } => {
                    bare.entry((*forwarder, *operation)).or_default().push((*at, *on));
                }
                // What comes back has a standing table.
                Seen::Died { at, forwarder } => {
                    for (_, events) in bare.range_mut((*forwarder, 0)..=(*forwarder, u16::MAX)) {
                        events.push((*at, false));
                    }
                }
                _ => {}
            }
        }
        let (mut nearest, mut violations) = (0.0_f64, Vec::new());
        for ((forwarder, operation), events) in bare {
            for (from, to) in spans(events, self.end) {
                for (supervisor, joined) in self.joined.get(&forwarder).into_iter().flatten() {
                    let end = to.min(joined.1).min(self.end);
                    let begin = from.max(joined.0).max(self.reachable_since(forwarder, end));
                    if begin >= end || !self.warm_at(*supervisor, begin) || !self.warm_at(*supervisor, end) {
                        continue;
                    }
                    let part = (end - begin) as f64 / limit as f64;
                    nearest = nearest.max(part);
                    if part > 1.0 {
                        let name = &self.day.operations[usize::from(operation)].name;
                        let span = (end - begin) as f64 / SECOND as f64;
                        violations.push(Violation {
                            at_s: self.seconds(begin),
                            description: format!(
                                "forwarder {forwarder} had no line for {name} for {span:.2} s"
                            ),
                            invocations: Vec::new(),
                        });
                    }
                }
            }
        }
        let limit = format!("{} s without a line", self.day.rules.empty_for_s);
        RuleResult { rule: Rule::LineToPick, limit, nearest, violations }
    }

    /// Repeats by forwarders, that is within one try of a caller, take effect once.
    fn no_effect_twice(&self, seen: &[Seen]) -> RuleResult {
        // When, where, and in which try of its forwarder.
        type EffectSeen = (Nanos, u32, u32);
        let mut effects: BTreeMap<(u64, u32), Vec<EffectSeen>> = BTreeMap::new();
        for one in seen {
            if let Seen::Effect { at, server, operation, inv, attempt, further, .. } = one {
                if self.day.operations[usize::from(*operation)].effect != WhichEffect::Idempotent {
                    effects.entry((*inv, *attempt)).or_default().push((*at, *server, *further));
                }
            }
        }
        let twice = effects.into_iter().filter(|(_, effects)| effects.len() > 1);
        let violations: Vec<Violation> = twice
            .map(|((inv, _), effects)| Violation {
                at_s: self.seconds(effects[1].0),
                description: format!(
                    "took effect {} times: at {}",
                    effects.len(),
                    effects
                        .iter()
                        .map(|e| format!("server {} (try {})", e.1, e.2))
                        .collect::<Vec<_>>()
                        .join(", ")
                ),
                invocations: vec![inv],
            })
            .collect();
        let nearest = if violations.is_empty() { 0.0 } else { 2.0 };
        RuleResult { rule: Rule::NoEffectTwice, limit: "one effect".into(), nearest, violations }
    }

    /// When a supervisor knew a server as one that nothing may go to.
    fn bound(&self, supervisor: u32) -> BTreeMap<u32, Vec<Span>> {
        let mut found: BTreeMap<u32, Vec<Span>> = BTreeMap::new();
        let mut open: BTreeMap<u32, Nanos> = BTreeMap::new();
        for known in self.known.get(&supervisor).into_iter().flatten() {
            let gone = if self.day.rules.gone_does_not_bind { &[][..] } else { known.gone };
            let now_bound: BTreeSet<u32> = known.draining.iter().chain(gone).copied().collect();
            let ready: BTreeSet<u32> = known.ready.iter().map(|row| row.0).collect();
            for server in now_bound {
                open.entry(server).or_insert(known.from);
            }
            for server in ready {
                if let Some(from) = open.remove(&server) {
                    found.entry(server).or_default().push((from, known.from));
                }
            }
        }
        for (server, from) in open {
            found.entry(server).or_default().push((from, Nanos::MAX));
        }
        found
    }

    /// Within the grace nothing goes to a server known as draining or gone.
    fn drains_kept(&self, seen: &[Seen]) -> RuleResult {
        let grace = nanos(self.day.rules.drain_grace_s * 1e3);
        let bound: BTreeMap<u32, BTreeMap<u32, Vec<Span>>> =
            self.known.keys().map(|&supervisor| (supervisor, self.bound(supervisor))).collect();
        let mut nearest = 0.0_f64;
        // By supervisor, forwarder and server: the first time, and the invocations.
        let mut late: BTreeMap<_, (Nanos, Vec<u64>)> = BTreeMap::new();
        for one in seen {
            let Seen::Tried { at, forwarder, server, inv, .. } = one else { continue };
            let Some((supervisor, joined)) = self.joined_at(*forwarder, *at) else { continue };
            let spans = bound.get(&supervisor).and_then(|servers| servers.get(server));
            let Some(span) = spans.into_iter().flatten().find(|span| span.0 <= *at && *at < span.1) else {
                continue;
            };
            let since = span.0.max(joined.0).max(self.reachable_since(*forwarder, *at));
            let part = (at - since) as f64 / grace as f64;
            nearest = nearest.max(part);
            if part > 1.0 {
                let entry = late.entry((supervisor, *forwarder, *server)).or_insert((*at, Vec::new()));
                entry.1.push(*inv);
            }
        }
        let violations = late.into_iter().map(|((supervisor, forwarder, server), (at, invocations))| Violation {
            at_s: self.seconds(at),
            description: format!(
                "forwarder {forwarder} of supervisor {supervisor} still sends to server {server}, which drains or is gone"
            ),
            invocations,
        });
        let limit = format!("{} s after it was told", self.day.rules.drain_grace_s);
        RuleResult { rule: Rule::DrainsKept, limit, nearest, violations: violations.collect() }
    }

    /// Has a forwarder's supervisor had its say about this start?
    fn answers_for(
        &self,
        told: &BTreeMap<u32, Vec<Nanos>>,
        forwarder: u32,
        at: Nanos,
        start: (u32, u64),
    ) -> bool {
        let Some((supervisor, _)) = self.joined_at(forwarder, at) else { return false };
        let lists = |known: &&Known| known.ready.iter().any(|row| (row.0, row.1) == start);
        let Some(known) = self.known.get(&supervisor).and_then(|known| known.iter().find(lists)) else {
            return false;
        };
        let spoken = told
            .get(&forwarder)
            .is_some_and(|told| told.iter().any(|&said| known.said <= said && said <= at));
        spoken || known.from + nanos(self.day.rules.drain_grace_s * 1e3) <= at
    }

    /// A cold server gets less than the stated multiple of what it can do, over the stated time.
    fn no_cold_server_pushed_over(&self, seen: &[Seen]) -> RuleResult {
        let (window, multiple) = (nanos(self.day.rules.tip_after_s * 1e3), self.day.rules.tip_multiple);
        let mut told: BTreeMap<u32, Vec<Nanos>> = BTreeMap::new();
        // When, how much work, from whom, which invocation, and the capacity at that moment.
        type Arrival = (Nanos, f64, u32, u64, f64);
        let mut sent: BTreeMap<(u32, u64), Vec<Arrival>> = BTreeMap::new();
        for one in seen {
            match one {
                Seen::Told { forwarder, ordered, .. } => told.entry(*forwarder).or_default().push(*ordered),
                Seen::Arrived {
                    at, server, incarnation, inv, forwarder, work, capacity, cold: true, ..
                } => {
                    let arrivals = sent.entry((*server, *incarnation)).or_default();
                    arrivals.push((*at, *work as f64, *forwarder, *inv, *capacity));
                }
                _ => {}
            }
        }
        let (mut nearest, mut violations) = (0.0_f64, Vec::new());
        for (start, arrivals) in sent {
            let mut from = 0;
            let mut sum = 0.0;
            for (to, &(at, work, _, _, capacity)) in arrivals.iter().enumerate() {
                sum += work;
                while arrivals[from].0 + window < at {
                    sum -= arrivals[from].1;
                    from += 1;
                }
                let part = sum / (multiple * capacity * window as f64);
                if part <= nearest.min(1.0) {
                    continue;
                }
                let within = &arrivals[from..=to];
                let ours = within.iter().filter(|a| self.answers_for(&told, a.2, a.0, start));
                let blamed: f64 = ours.map(|a| a.1).sum();
                // What comes from forwarders that could not know of the start is nobody's order.
                if part <= 1.0 || blamed >= sum * 2.0 / 3.0 {
                    nearest = nearest.max(part);
                }
                if part > 1.0 && blamed >= sum * 2.0 / 3.0 {
                    violations.push(Violation {
                        at_s: self.seconds(at),
                        description: format!(
                            "server {} was sent {part:.2} times what pushes it over",
                            start.0
                        ),
                        invocations: within.iter().map(|a| a.3).collect(),
                    });
                    break;
                }
            }
        }
        let limit = format!("{multiple} times its capacity for {} s", self.day.rules.tip_after_s);
        RuleResult { rule: Rule::NoColdServerPushedOver, limit, nearest, violations }
    }

    /// What was ordered and could not have left at the told pace waited; messages a forwarder where limited.
    fn short_queue(&self, seen: &[Seen]) -> RuleResult {
        let told = &self.day.supervisors;
        let mut messages: BTreeMap<u32, Vec<(Nanos, u32, f64)>> = BTreeMap::new();
        for one in seen {
            if let Seen::Told { supervisor, forwarder, lines, ordered, .. } = one {
                // Its head, its mark, and the lines that changed.
                let lines = told.message_overhead + 1.0 + f64::from(*lines);
                messages.entry(*supervisor).or_default().push((*ordered, *forwarder, lines));
            }
        }
        let (mut nearest, mut violations) = (0.0_f64, Vec::new());
        for (supervisor, mut sent) in messages {
            sent.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
            let (mut waiting, mut last, mut over) = (0.0_f64, 0, false);
            let mut written: BTreeMap<u32, Vec<Nanos>> = BTreeMap::new();
            for (ordered, forwarder, lines) in sent {
                let left = ordered.saturating_sub(last) as f64 / SECOND as f64 * told.lines_per_s;
                waiting = (waiting - left).max(0.0) + lines;
                last = ordered;
                let part = waiting / told.backlog;
                nearest = nearest.max(part);
                if part > 1.0 && !over {
                    violations.push(Violation {
                        at_s: self.seconds(ordered),
                        description: format!(
                            "{waiting:.0} lines wait in the channel of supervisor {supervisor}"
                        ),
                        invocations: Vec::new(),
                    });
                }
                over = part > 1.0;
                if told.messages_max > 0 {
                    let times = written.entry(forwarder).or_default();
                    times.push(ordered);
                    let since = ordered.saturating_sub(nanos(told.messages_over_ms));
                    times.retain(|&at| at > since);
                    let part = times.len() as f64 / f64::from(told.messages_max);
                    nearest = nearest.max(part);
                    if part > 1.0 {
                        violations.push(Violation {
                            at_s: self.seconds(ordered),
                            description: format!("{} messages to forwarder {forwarder}", times.len()),
                            invocations: Vec::new(),
                        });
                    }
                }
            }
        }
        let limit = format!("{} lines", told.backlog);
        RuleResult { rule: Rule::ShortQueue, limit, nearest, violations }
    }
}

impl Scene<'_> {
    /// Epochs only rise at each forwarder, and writes of a range never go back to a former owner.
    fn fenced(&self, seen: &[Seen]) -> RuleResult {
        let mut violations = Vec::new();
        let mut told: BTreeMap<u32, Vec<(Nanos, u64)>> = BTreeMap::new();
        let mut writes: BTreeMap<u32, Vec<(Nanos, u64, u32, u64)>> = BTreeMap::new();
        for one in seen {
            match one {
                Seen::Told { at, forwarder, epoch, .. } => {
                    told.entry(*forwarder).or_default().push((*at, *epoch))
                }
                // What comes back knows nothing any more.
                Seen::Died { at, forwarder } => told.entry(*forwarder).or_default().push((*at, u64::MAX)),
                Seen::Effect { at, server, inv, range, epoch, .. } if *epoch > 0 => {
                    writes.entry(*range).or_default().push((*at, *epoch, *server, *inv));
                }
                _ => {}
            }
        }
        for (forwarder, mut told) in told {
            told.sort_by_key(|one| one.0);
            let mut highest = 0;
            for (at, epoch) in told {
                if epoch == u64::MAX {
                    highest = 0;
                } else if epoch < highest {
                    let description =
                        format!("forwarder {forwarder} went back from epoch {highest} to {epoch}");
                    violations.push(Violation {
                        at_s: self.seconds(at),
                        description,
                        invocations: Vec::new(),
                    });
                } else {
                    highest = epoch;
                }
            }
        }
        for (range, mut writes) in writes {
            writes.sort_by_key(|one| one.0);
            let (mut epoch, mut owner) = (0, 0);
            for (at, of, server, inv) in writes {
                if of < epoch || (of == epoch && server != owner) {
                    let description = format!(
                        "range {range}: server {server} (epoch {of}) took a write after {owner} ({epoch})"
                    );
                    violations.push(Violation {
                        at_s: self.seconds(at),
                        description,
                        invocations: vec![inv],
                    });
                } else {
                    (epoch, owner) = (of, server);
                }
            }
        }
        let nearest = if violations.is_empty() { 0.0 } else { 2.0 };
        RuleResult { rule: Rule::Fenced, limit: "no way back".into(), nearest, violations }
    }
}

/// Judges a day that was played from `span.0` to `span.1` by what was seen of it.
pub fn evaluate(day: &Scenario, span: (Nanos, Nanos), seen: &[Seen]) -> Verdict {
    let scene = Scene::new(day, span, seen);
    let rules = vec![
        scene.line_to_pick(seen),
        scene.no_effect_twice(seen),
        scene.drains_kept(seen),
        scene.no_cold_server_pushed_over(seen),
        scene.short_queue(seen),
        scene.fenced(seen),
    ];
    let width = 5.0;
    let mut by_operation = vec![(0.0, 0.0); day.operations.len()];
    let mut by_window: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
    let mut asked_for = 0;
    for one in seen {
        let Seen::Done { asked, at, operation, outcome, .. } = one else { continue };
        let told = &day.operations[usize::from(*operation)];
        asked_for += 1;
        let in_time = *outcome == Outcome::Succeeded && at - asked <= nanos(told.latency_objective_ms);
        let window = (scene.seconds(*asked) / width) as u64;
        let windows = by_window.entry(window).or_insert_with(|| vec![(0.0, 0.0); day.operations.len()]);
        for sum in [&mut by_operation[usize::from(*operation)], &mut windows[usize::from(*operation)]] {
            sum.0 += told.billed_value * f64::from(u8::from(in_time));
            sum.1 += told.billed_value;
        }
    }
    let ratio = |sum: &(f64, f64)| if sum.1 > 0.0 { sum.0 / sum.1 } else { 1.0 };
    let named = |sums: &[(f64, f64)]| -> BTreeMap<String, f64> {
        let asked = day.operations.iter().zip(sums).filter(|(_, sum)| sum.1 > 0.0);
        asked.map(|(operation, sum)| (operation.name.clone(), ratio(sum))).collect()
    };
    let whole = by_operation.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let (service, operations) = (ratio(&whole), named(&by_operation));
    let mut missed = Vec::new();
    if asked_for == 0 {
        missed.push("nothing was asked for".to_owned());
    }
    if service < day.expect.service {
        missed.push(format!("service {service:.4} is under {}", day.expect.service));
    }
    for (name, expected) in &day.expect.operations {
        let got = operations.get(name).copied().unwrap_or(0.0);
        if got < *expected {
            missed.push(format!("service of {name} {got:.4} is under {expected}"));
        }
    }
    let windows = by_window.iter().map(|(&at, sums)| ServiceWindow {
        from_s: at as f64 * width,
        requested_value: sums.iter().map(|sum| sum.1).sum(),
        answered_value: sums.iter().map(|sum| sum.0).sum(),
        service: named(sums),
    });
    Verdict {
        title: day.title.clone(),
        service,
        expected: day.expect.service,
        operations,
        missed_expectations: missed,
        windows: windows.collect(),
        rules,
        invocations: asked_for,
        traffic: TableTraffic::of(seen),
        attempts: seen.iter().filter(|one| matches!(one, Seen::Tried { .. })).count(),
        remarks: Vec::new(),
    }
}
