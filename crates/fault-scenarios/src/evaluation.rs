//! Evaluates the traces of a run by rules.
//!
//! The traces have the traffic at forwarders, servers, callers and the registry, with its times. Nothing that a
//! supervisor reports of itself is used, except the time at which it ordered an update, which the update carries: without
//! that time the queue of a channel could not be observed from outside.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use shalereel::interface::Nanos;
use shalereel_reactor::SECOND;
use shalereel_standins::{EffectKind, Outcome, TraceEvent};

use crate::scenario::{nanos_from_ms, Scenario, MS_PER_SECOND};

/// A rule that every run has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// No connected forwarder lacks a line for an operation for too long while a warm server is listed.
    LineToPick,
    /// Retries of an operation that is not idempotent take effect once.
    NoEffectTwice,
    /// Servers that drain or are gone get no invocations after the grace time.
    DrainsKept,
    /// No server in slow start is overloaded.
    NoColdServerPushedOver,
    /// The queue of a supervisor's channel stays within its limit.
    ShortQueue,
    /// In a group, no forwarder returns to an earlier epoch and no key range has two owners.
    Fenced,
}

/// A violation of a rule, with the invocations that prove it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Seconds since the start of the run.
    pub at_s: f64,
    /// What violated the rule.
    #[serde(rename = "what")]
    pub description: String,
    /// Ids of the invocations.
    pub invocations: Vec<u64>,
}

/// The result of checking one rule.
#[derive(Clone, Debug, Serialize)]
pub struct RuleResult {
    /// The rule.
    pub rule: Rule,
    /// The limit of the rule, in words.
    pub limit: String,
    /// The largest observed value as a fraction of the limit: above 1 the rule is violated.
    pub nearest: f64,
    /// All violations.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// Service of the invocations that started in one window of the run.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceWindow {
    /// Start of the window, in seconds since the start of the run.
    pub from_s: f64,
    /// Billed value that was requested.
    #[serde(rename = "asked")]
    pub requested_value: f64,
    /// Billed value that was answered in time.
    #[serde(rename = "answered")]
    pub answered_value: f64,
    /// Service by operation; operations without invocations are left out.
    pub service: BTreeMap<String, f64>,
}

/// The verdict on a run: its service, the results of the rules, and its traffic.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Title of the scenario.
    pub title: String,
    /// Ratio of the billed value that was answered in time to the billed value that was requested.
    pub service: f64,
    /// The smallest expected value of `service`.
    pub expected: f64,
    /// Service by operation; operations without invocations are left out.
    pub operations: BTreeMap<String, f64>,
    /// Descriptions of the expectations that were not met.
    #[serde(rename = "missed")]
    pub missed_expectations: Vec<String>,
    /// Service by window, in the order of time.
    pub windows: Vec<ServiceWindow>,
    /// Results of all rules.
    pub rules: Vec<RuleResult>,
    /// Number of invocations.
    #[serde(rename = "asked")]
    pub invocations: usize,
    /// Number of attempts that forwarders sent to servers.
    #[serde(rename = "tries")]
    pub attempts: usize,
    /// Traffic of table updates.
    pub traffic: TableTraffic,
    /// Remarks in the supervisors' logs.
    pub remarks: Vec<String>,
}

/// Traffic of table updates from supervisors to forwarders.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TableTraffic {
    /// Number of messages.
    pub messages: u64,
    /// Number of changed lines.
    pub lines: u64,
    /// Size of all messages.
    pub bytes: u64,
    /// Messages that were lost, late or duplicated.
    pub disturbed: u64,
    /// Tables that forwarders requested again.
    #[serde(rename = "asked_anew")]
    pub repeated_requests: u64,
}

impl TableTraffic {
    fn of(trace: &[TraceEvent]) -> Self {
        let mut sum = TableTraffic::default();
        for event in trace {
            match event {
                TraceEvent::UpdateReceived { changed_lines, bytes, .. } => {
                    sum.messages += 1;
                    sum.lines += u64::from(*changed_lines);
                    sum.bytes += u64::from(*bytes);
                }
                TraceEvent::UpdateDisturbed { .. } => sum.disturbed += 1,
                TraceEvent::ResyncRequested { .. } => sum.repeated_requests += 1,
                _ => {}
            }
        }
        sum
    }
}

impl Verdict {
    /// Results of the rules that were violated.
    pub fn violated_rules(&self) -> impl Iterator<Item = &RuleResult> {
        self.rules.iter().filter(|result| !result.violations.is_empty())
    }

    /// Whether all rules were kept and all expectations met.
    pub fn passed(&self) -> bool {
        self.violated_rules().next().is_none() && self.missed_expectations.is_empty()
    }
}

/// Cost of the mark that a message carries, in lines.
const MARK_LINES: f64 = 1.0;
/// Width of the windows of service, in seconds.
const WINDOW_WIDTH_S: f64 = 5.0;
/// Value of `nearest` for a violated rule whose limit is not a quantity.
const VIOLATED: f64 = 2.0;
/// Stands in place of an epoch where a forwarder was restarted.
const RESTARTED: u64 = u64::MAX;

/// An interval of time, from its start up to but excluding its end.
type Interval = (Nanos, Nanos);

/// A version of the server list that the registry sent and a supervisor acknowledged.
struct KnownList<'a> {
    /// When the registry sent it.
    sent: Nanos,
    /// When the supervisor acknowledged it, which is shortly after its first actions.
    from: Nanos,
    /// Id, incarnation and start time of each ready server.
    ready: &'a [(u32, u64, Nanos)],
    draining: &'a [u32],
    gone: &'a [u32],
}

/// The parts of a run's trace that several rules need.
struct TraceIndex<'a> {
    scenario: &'a Scenario,
    start: Nanos,
    end: Nanos,
    /// By forwarder: the supervisor that it was connected to, and when.
    connections: BTreeMap<u32, Vec<(u32, Interval)>>,
    /// By forwarder: when it did not read its supervisor's stream.
    unreachable: BTreeMap<u32, Vec<Interval>>,
    /// By supervisor: the lists that it knew, in the order of time.
    known_lists: BTreeMap<u32, Vec<KnownList<'a>>>,
}

/// Intervals between events that begin a state (`true`) and end it; an interval that is still open ends at `end`.
fn intervals(mut events: Vec<(Nanos, bool)>, end: Nanos) -> Vec<Interval> {
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

impl<'a> TraceIndex<'a> {
    fn new(scenario: &'a Scenario, (start, end): Interval, trace: &'a [TraceEvent]) -> Self {
        // Later than all events of the run.
        let far_future = end + 3600 * SECOND;
        let mut connections: BTreeMap<u32, Vec<(u32, Interval)>> = BTreeMap::new();
        let mut unreachable: BTreeMap<u32, Vec<(Nanos, bool)>> = BTreeMap::new();
        let mut known_lists: BTreeMap<u32, Vec<KnownList>> = BTreeMap::new();
        let mut sent_lists: BTreeMap<(&str, u64), &TraceEvent> = BTreeMap::new();
        for event in trace {
            match event {
                TraceEvent::SupervisorConnected { at, forwarder, supervisor } => {
                    connections.entry(*forwarder).or_default().push((*supervisor, (*at, far_future)));
                }
                TraceEvent::SupervisorDisconnected { at, forwarder }
                | TraceEvent::ForwarderCrashed { at, forwarder } => {
                    let last = connections.get_mut(forwarder).and_then(|connections| connections.last_mut());
                    if let Some((_, interval)) = last {
                        interval.1 = interval.1.min(*at);
                    }
                }
                TraceEvent::ReadsSupervisor { at, forwarder, on } => {
                    unreachable.entry(*forwarder).or_default().push((*at, !on))
                }
                TraceEvent::EntriesSent { to, version, .. } => {
                    sent_lists.insert((to, *version), event);
                }
                TraceEvent::EntriesAcknowledged { at, to, version } => {
                    let number = to.rsplit('-').next().and_then(|number| number.parse().ok());
                    if let (
                        Some(number),
                        Some(TraceEvent::EntriesSent { at: sent, ready, draining, gone, .. }),
                    ) = (number, sent_lists.get(&(to.as_str(), *version)))
                    {
                        known_lists.entry(number).or_default().push(KnownList {
                            sent: *sent,
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
        let unreachable = unreachable
            .into_iter()
            .map(|(forwarder, events)| (forwarder, intervals(events, far_future)))
            .collect();
        TraceIndex { scenario, start, end, connections, unreachable, known_lists }
    }

    /// Seconds since the start of the run, rounded to hundredths.
    fn seconds(&self, at: Nanos) -> f64 {
        (at.saturating_sub(self.start) as f64 / SECOND as f64 * 100.0).round() / 100.0
    }

    /// The supervisor that a forwarder was connected to at a time, and the interval of that connection.
    fn connection_at(&self, forwarder: u32, at: Nanos) -> Option<(u32, Interval)> {
        let connections = self.connections.get(&forwarder)?;
        connections.iter().rev().find(|(_, interval)| interval.0 <= at && at < interval.1).copied()
    }

    /// Start of the time up to `at` in which a forwarder always read its supervisor's stream.
    fn reachable_since(&self, forwarder: u32, at: Nanos) -> Nanos {
        let unreachable = self.unreachable.get(&forwarder).map_or(&[][..], Vec::as_slice);
        unreachable
            .iter()
            .filter(|interval| interval.0 <= at)
            .map(|interval| interval.1.min(at))
            .max()
            .unwrap_or(0)
    }

    /// The newest list that a supervisor knew at a time.
    fn list_at(&self, supervisor: u32, at: Nanos) -> Option<&KnownList<'a>> {
        self.known_lists.get(&supervisor)?.iter().rev().find(|known| known.from <= at)
    }

    /// Whether a supervisor knew a ready server that was past its slow start.
    fn lists_warm_server_at(&self, supervisor: u32, at: Nanos) -> bool {
        let slow_start = nanos_from_ms(self.scenario.slow_start_s() * MS_PER_SECOND);
        let warm = |row: &(u32, u64, Nanos)| row.2 == 0 || row.2 + slow_start <= at;
        self.list_at(supervisor, at).is_some_and(|known| known.ready.iter().any(warm))
    }

    /// Checks that no connected forwarder lacks a line for longer than the limit while a warm server is listed.
    fn line_to_pick(&self, trace: &[TraceEvent]) -> RuleResult {
        let limit = nanos_from_ms(self.scenario.rules.max_empty_s * MS_PER_SECOND);
        let mut without_line: BTreeMap<(u32, u16), Vec<(Nanos, bool)>> = BTreeMap::new();
        for event in trace {
            match event {
                TraceEvent::LacksLine { at, forwarder, operation, on } => {
                    without_line.entry((*forwarder, *operation)).or_default().push((*at, *on));
                }
                // A restarted forwarder has its initial table, so that it lacks no line.
                TraceEvent::ForwarderCrashed { at, forwarder } => {
                    for (_, events) in without_line.range_mut((*forwarder, 0)..=(*forwarder, u16::MAX)) {
                        events.push((*at, false));
                    }
                }
                _ => {}
            }
        }
        let (mut nearest, mut violations) = (0.0_f64, Vec::new());
        for ((forwarder, operation), events) in without_line {
            for (from, to) in intervals(events, self.end) {
                for (supervisor, connected) in self.connections.get(&forwarder).into_iter().flatten() {
                    let end = to.min(connected.1).min(self.end);
                    let begin = from.max(connected.0).max(self.reachable_since(forwarder, end));
                    if begin >= end
                        || !self.lists_warm_server_at(*supervisor, begin)
                        || !self.lists_warm_server_at(*supervisor, end)
                    {
                        continue;
                    }
                    let fraction = (end - begin) as f64 / limit as f64;
                    nearest = nearest.max(fraction);
                    if fraction > 1.0 {
                        let name = &self.scenario.operations[usize::from(operation)].name;
                        let seconds = (end - begin) as f64 / SECOND as f64;
                        violations.push(Violation {
                            at_s: self.seconds(begin),
                            description: format!(
                                "forwarder {forwarder} had no line for {name} for {seconds:.2} s"
                            ),
                            invocations: Vec::new(),
                        });
                    }
                }
            }
        }
        let limit = format!("{} s without a line", self.scenario.rules.max_empty_s);
        RuleResult { rule: Rule::LineToPick, limit, nearest, violations }
    }

    /// Checks that retries by forwarders, that is within one attempt of a caller, take effect once.
    fn no_effect_twice(&self, trace: &[TraceEvent]) -> RuleResult {
        /// Time, server, and number of the forwarder's attempt.
        type Effect = (Nanos, u32, u32);
        let mut effects: BTreeMap<(u64, u32), Vec<Effect>> = BTreeMap::new();
        for event in trace {
            if let TraceEvent::EffectApplied {
                at,
                server,
                operation,
                invocation,
                caller_attempt,
                forwarder_attempt,
                ..
            } = event
            {
                if self.scenario.operations[usize::from(*operation)].effect != EffectKind::Idempotent {
                    effects.entry((*invocation, *caller_attempt)).or_default().push((
                        *at,
                        *server,
                        *forwarder_attempt,
                    ));
                }
            }
        }
        let twice = effects.into_iter().filter(|(_, effects)| effects.len() > 1);
        let violations: Vec<Violation> = twice
            .map(|((invocation, _), effects)| Violation {
                at_s: self.seconds(effects[1].0),
                description: format!(
                    "took effect {} times: at {}",
                    effects.len(),
                    effects
                        .iter()
                        .map(|effect| format!("server {} (try {})", effect.1, effect.2))
                        .collect::<Vec<_>>()
                        .join(", ")
                ),
                invocations: vec![invocation],
            })
            .collect();
        let nearest = if violations.is_empty() { 0.0 } else { VIOLATED };
        RuleResult { rule: Rule::NoEffectTwice, limit: "one effect".into(), nearest, violations }
    }

    /// By server: when a supervisor knew it as draining or gone, so that no invocation may go to it.
    fn closed_intervals(&self, supervisor: u32) -> BTreeMap<u32, Vec<Interval>> {
        let mut closed: BTreeMap<u32, Vec<Interval>> = BTreeMap::new();
        let mut closed_since: BTreeMap<u32, Nanos> = BTreeMap::new();
        for known in self.known_lists.get(&supervisor).into_iter().flatten() {
            let gone = if self.scenario.rules.removal_is_advisory { &[][..] } else { known.gone };
            let now_closed: BTreeSet<u32> = known.draining.iter().chain(gone).copied().collect();
            let ready: BTreeSet<u32> = known.ready.iter().map(|row| row.0).collect();
            for server in now_closed {
                closed_since.entry(server).or_insert(known.from);
            }
            for server in ready {
                if let Some(from) = closed_since.remove(&server) {
                    closed.entry(server).or_default().push((from, known.from));
                }
            }
        }
        for (server, from) in closed_since {
            closed.entry(server).or_default().push((from, Nanos::MAX));
        }
        closed
    }

    /// Checks that no invocation goes to a server after the grace time since its supervisor knew it as draining or gone.
    fn drains_kept(&self, trace: &[TraceEvent]) -> RuleResult {
        let grace = nanos_from_ms(self.scenario.rules.drain_grace_s * MS_PER_SECOND);
        let closed: BTreeMap<u32, BTreeMap<u32, Vec<Interval>>> = self
            .known_lists
            .keys()
            .map(|&supervisor| (supervisor, self.closed_intervals(supervisor)))
            .collect();
        let mut nearest = 0.0_f64;
        // By supervisor, forwarder and server: time of the first late attempt, and all invocations.
        let mut late: BTreeMap<_, (Nanos, Vec<u64>)> = BTreeMap::new();
        for event in trace {
            let TraceEvent::AttemptStarted { at, forwarder, server, invocation, .. } = event else {
                continue;
            };
            let Some((supervisor, connected)) = self.connection_at(*forwarder, *at) else { continue };
            let intervals = closed.get(&supervisor).and_then(|servers| servers.get(server));
            let Some(interval) =
                intervals.into_iter().flatten().find(|interval| interval.0 <= *at && *at < interval.1)
            else {
                continue;
            };
            let since = interval.0.max(connected.0).max(self.reachable_since(*forwarder, *at));
            let fraction = (at - since) as f64 / grace as f64;
            nearest = nearest.max(fraction);
            if fraction > 1.0 {
                let entry = late.entry((supervisor, *forwarder, *server)).or_insert((*at, Vec::new()));
                entry.1.push(*invocation);
            }
        }
        let violations = late.into_iter().map(|((supervisor, forwarder, server), (at, invocations))| Violation {
            at_s: self.seconds(at),
            description: format!(
                "forwarder {forwarder} of supervisor {supervisor} still sends to server {server}, which drains or is gone"
            ),
            invocations,
        });
        let limit = format!("{} s after it was told", self.scenario.rules.drain_grace_s);
        RuleResult { rule: Rule::DrainsKept, limit, nearest, violations: violations.collect() }
    }

    /// Whether a forwarder's supervisor knew of a server's start, and has sent the forwarder a table since then or
    /// has had the grace time to do so. `start` is id and incarnation of the server;
    /// `update_times` has the times at which the updates to each forwarder were ordered.
    fn is_accountable(
        &self,
        update_times: &BTreeMap<u32, Vec<Nanos>>,
        forwarder: u32,
        at: Nanos,
        start: (u32, u64),
    ) -> bool {
        let Some((supervisor, _)) = self.connection_at(forwarder, at) else { return false };
        let lists = |known: &&KnownList| known.ready.iter().any(|row| (row.0, row.1) == start);
        let Some(known) = self.known_lists.get(&supervisor).and_then(|known| known.iter().find(lists)) else {
            return false;
        };
        let sent_since = update_times
            .get(&forwarder)
            .is_some_and(|times| times.iter().any(|&time| known.sent <= time && time <= at));
        sent_since || known.from + nanos_from_ms(self.scenario.rules.drain_grace_s * MS_PER_SECOND) <= at
    }

    /// Checks that no server in slow start gets more work within the window than a multiple of its capacity.
    fn no_cold_server_pushed_over(&self, trace: &[TraceEvent]) -> RuleResult {
        let (window, multiple) = (
            nanos_from_ms(self.scenario.rules.overload_after_s * MS_PER_SECOND),
            self.scenario.rules.overload_ratio,
        );
        let mut update_times: BTreeMap<u32, Vec<Nanos>> = BTreeMap::new();
        /// Time, work, forwarder, invocation, and the server's capacity at that time.
        type Arrival = (Nanos, f64, u32, u64, f64);
        let mut arrivals_by_start: BTreeMap<(u32, u64), Vec<Arrival>> = BTreeMap::new();
        for event in trace {
            match event {
                TraceEvent::UpdateReceived { forwarder, ordered_at, .. } => {
                    update_times.entry(*forwarder).or_default().push(*ordered_at)
                }
                TraceEvent::InvocationArrived {
                    at,
                    server,
                    incarnation,
                    invocation,
                    forwarder,
                    work,
                    capacity,
                    cold: true,
                    ..
                } => {
                    let arrivals = arrivals_by_start.entry((*server, *incarnation)).or_default();
                    arrivals.push((*at, *work as f64, *forwarder, *invocation, *capacity));
                }
                _ => {}
            }
        }
        let (mut nearest, mut violations) = (0.0_f64, Vec::new());
        for (start, arrivals) in arrivals_by_start {
            let mut first = 0;
            let mut sum = 0.0;
            for (last, &(at, work, _, _, capacity)) in arrivals.iter().enumerate() {
                sum += work;
                while arrivals[first].0 + window < at {
                    sum -= arrivals[first].1;
                    first += 1;
                }
                let fraction = sum / (multiple * capacity * window as f64);
                if fraction <= nearest.min(1.0) {
                    continue;
                }
                let within = &arrivals[first..=last];
                let accountable = within
                    .iter()
                    .filter(|arrival| self.is_accountable(&update_times, arrival.2, arrival.0, start));
                let accountable_work: f64 = accountable.map(|arrival| arrival.1).sum();
                // Work from forwarders that could not know of the start does not result from a supervisor's decision:
                // an overload violates the rule only if accountable forwarders sent at least two thirds of its work.
                if fraction <= 1.0 || accountable_work >= sum * 2.0 / 3.0 {
                    nearest = nearest.max(fraction);
                }
                if fraction > 1.0 && accountable_work >= sum * 2.0 / 3.0 {
                    violations.push(Violation {
                        at_s: self.seconds(at),
                        description: format!(
                            "server {} was sent {fraction:.2} times what pushes it over",
                            start.0
                        ),
                        invocations: within.iter().map(|arrival| arrival.3).collect(),
                    });
                    break;
                }
            }
        }
        let limit = format!("{multiple} times its capacity for {} s", self.scenario.rules.overload_after_s);
        RuleResult { rule: Rule::NoColdServerPushedOver, limit, nearest, violations }
    }

    /// Checks that the queue of each supervisor's channel, which drains at its rate, stays within its limit, and that no
    /// forwarder gets more messages in a window than allowed.
    fn short_queue(&self, trace: &[TraceEvent]) -> RuleResult {
        let channel = &self.scenario.supervisors;
        // By supervisor: the time at which each message was ordered, its forwarder, and its cost in lines.
        let mut messages: BTreeMap<u32, Vec<(Nanos, u32, f64)>> = BTreeMap::new();
        for event in trace {
            if let TraceEvent::UpdateReceived { supervisor, forwarder, changed_lines, ordered_at, .. } = event
            {
                // A message costs its overhead, the mark that asks for an acknowledgement, and its changed lines.
                let lines = channel.message_overhead + MARK_LINES + f64::from(*changed_lines);
                messages.entry(*supervisor).or_default().push((*ordered_at, *forwarder, lines));
            }
        }
        let (mut nearest, mut violations) = (0.0_f64, Vec::new());
        for (supervisor, mut sent) in messages {
            sent.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
            let (mut queued, mut last, mut over_limit) = (0.0_f64, 0, false);
            let mut sent_times: BTreeMap<u32, Vec<Nanos>> = BTreeMap::new();
            for (ordered_at, forwarder, lines) in sent {
                let drained = ordered_at.saturating_sub(last) as f64 / SECOND as f64 * channel.lines_per_s;
                queued = (queued - drained).max(0.0) + lines;
                last = ordered_at;
                let fraction = queued / channel.backlog;
                nearest = nearest.max(fraction);
                if fraction > 1.0 && !over_limit {
                    violations.push(Violation {
                        at_s: self.seconds(ordered_at),
                        description: format!(
                            "{queued:.0} lines wait in the channel of supervisor {supervisor}"
                        ),
                        invocations: Vec::new(),
                    });
                }
                over_limit = fraction > 1.0;
                if channel.messages_max > 0 {
                    let times = sent_times.entry(forwarder).or_default();
                    times.push(ordered_at);
                    let since = ordered_at.saturating_sub(nanos_from_ms(channel.messages_over_ms));
                    times.retain(|&at| at > since);
                    let fraction = times.len() as f64 / f64::from(channel.messages_max);
                    nearest = nearest.max(fraction);
                    if fraction > 1.0 {
                        violations.push(Violation {
                            at_s: self.seconds(ordered_at),
                            description: format!("{} messages to forwarder {forwarder}", times.len()),
                            invocations: Vec::new(),
                        });
                    }
                }
            }
        }
        let limit = format!("{} lines", channel.backlog);
        RuleResult { rule: Rule::ShortQueue, limit, nearest, violations }
    }
}

impl TraceIndex<'_> {
    /// Checks that epochs only rise at each forwarder, and that writes of a range never return to a former owner.
    fn fenced(&self, trace: &[TraceEvent]) -> RuleResult {
        let mut violations = Vec::new();
        // By forwarder: time and epoch of each update, and time and `RESTARTED` of each crash.
        let mut epochs: BTreeMap<u32, Vec<(Nanos, u64)>> = BTreeMap::new();
        // By key range: time, epoch, server and invocation of each write.
        let mut writes: BTreeMap<u32, Vec<(Nanos, u64, u32, u64)>> = BTreeMap::new();
        for event in trace {
            match event {
                TraceEvent::UpdateReceived { at, forwarder, epoch, .. } => {
                    epochs.entry(*forwarder).or_default().push((*at, *epoch))
                }
                // A restarted forwarder has lost its epoch.
                TraceEvent::ForwarderCrashed { at, forwarder } => {
                    epochs.entry(*forwarder).or_default().push((*at, RESTARTED))
                }
                TraceEvent::EffectApplied { at, server, invocation, range, epoch, .. } if *epoch > 0 => {
                    writes.entry(*range).or_default().push((*at, *epoch, *server, *invocation));
                }
                _ => {}
            }
        }
        for (forwarder, mut epochs) in epochs {
            epochs.sort_by_key(|event| event.0);
            let mut highest = 0;
            for (at, epoch) in epochs {
                if epoch == RESTARTED {
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
            writes.sort_by_key(|write| write.0);
            let (mut epoch, mut owner) = (0, 0);
            for (at, write_epoch, server, invocation) in writes {
                if write_epoch < epoch || (write_epoch == epoch && server != owner) {
                    let description = format!(
                        "range {range}: server {server} (epoch {write_epoch}) took a write after {owner} ({epoch})"
                    );
                    violations.push(Violation {
                        at_s: self.seconds(at),
                        description,
                        invocations: vec![invocation],
                    });
                } else {
                    (epoch, owner) = (write_epoch, server);
                }
            }
        }
        let nearest = if violations.is_empty() { 0.0 } else { VIOLATED };
        RuleResult { rule: Rule::Fenced, limit: "no way back".into(), nearest, violations }
    }
}

/// Evaluates a run of a scenario, which took place in `interval`, by its traces.
pub fn evaluate(scenario: &Scenario, interval: (Nanos, Nanos), trace: &[TraceEvent]) -> Verdict {
    let index = TraceIndex::new(scenario, interval, trace);
    let rules = vec![
        index.line_to_pick(trace),
        index.no_effect_twice(trace),
        index.drains_kept(trace),
        index.no_cold_server_pushed_over(trace),
        index.short_queue(trace),
        index.fenced(trace),
    ];
    // Billed value that was answered in time, and billed value that was requested.
    let mut by_operation = vec![(0.0, 0.0); scenario.operations.len()];
    let mut by_window: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
    let mut invocations = 0;
    for event in trace {
        let TraceEvent::InvocationFinished { started_at, at, operation, outcome, .. } = event else {
            continue;
        };
        let settings = &scenario.operations[usize::from(*operation)];
        invocations += 1;
        let in_time =
            *outcome == Outcome::Succeeded && at - started_at <= nanos_from_ms(settings.latency_objective_ms);
        let window = (index.seconds(*started_at) / WINDOW_WIDTH_S) as u64;
        let windows = by_window.entry(window).or_insert_with(|| vec![(0.0, 0.0); scenario.operations.len()]);
        for sum in [&mut by_operation[usize::from(*operation)], &mut windows[usize::from(*operation)]] {
            sum.0 += settings.billed_value * f64::from(u8::from(in_time));
            sum.1 += settings.billed_value;
        }
    }
    let ratio = |sum: &(f64, f64)| if sum.1 > 0.0 { sum.0 / sum.1 } else { 1.0 };
    let by_name = |sums: &[(f64, f64)]| -> BTreeMap<String, f64> {
        let requested = scenario.operations.iter().zip(sums).filter(|(_, sum)| sum.1 > 0.0);
        requested.map(|(operation, sum)| (operation.name.clone(), ratio(sum))).collect()
    };
    let total =
        by_operation.iter().fold((0.0, 0.0), |sum, operation| (sum.0 + operation.0, sum.1 + operation.1));
    let (service, operations) = (ratio(&total), by_name(&by_operation));
    let mut missed = Vec::new();
    if invocations == 0 {
        missed.push("nothing was asked for".to_owned());
    }
    if service < scenario.expect.service {
        missed.push(format!("service {service:.4} is under {}", scenario.expect.service));
    }
    for (name, expected) in &scenario.expect.operations {
        let measured = operations.get(name).copied().unwrap_or(0.0);
        if measured < *expected {
            missed.push(format!("service of {name} {measured:.4} is under {expected}"));
        }
    }
    let windows = by_window.iter().map(|(&at, sums)| ServiceWindow {
        from_s: at as f64 * WINDOW_WIDTH_S,
        requested_value: sums.iter().map(|sum| sum.1).sum(),
        answered_value: sums.iter().map(|sum| sum.0).sum(),
        service: by_name(sums),
    });
    Verdict {
        title: scenario.title.clone(),
        service,
        expected: scenario.expect.service,
        operations,
        missed_expectations: missed,
        windows: windows.collect(),
        rules,
        invocations,
        traffic: TableTraffic::of(trace),
        attempts: trace.iter().filter(|event| matches!(event, TraceEvent::AttemptStarted { .. })).count(),
        remarks: Vec::new(),
    }
}
