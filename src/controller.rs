//! The decision module. `Controller::new` is called once with the startup facts, `Controller::decide` for each batch
//! that holds events of this instance; it gives back the orders to carry out, in order. All types that go
//! in and out are in `crate::interface`. Inside, each server is an actor; the registry, the servers, the
//! fleet and the channel talk only by notes put into inboxes, which `decide` empties.

use std::collections::{BTreeMap, BTreeSet};

use crate::channel::{Channel, MIN_WEIGHT_CHANGE};
use crate::interface::*;
use crate::message::*;
use crate::state::*;
use crate::statistics::{median, DecayingSum};

#[cfg(test)]
mod tests;

// The design page's own figures.
/// A server's score is its mean over this long.
const SCORE_MEMORY: Nanos = 5 * SECOND;
/// One minus the score: below the first red, above the second green.
const CRITICAL_GOODNESS: f64 = 0.3;
const GOOD_GOODNESS: f64 = 0.7;
/// Error share, over the fleet's own, and answer time, as a multiple of its median, at which a score is 1.
const CRITICAL_ERROR: f64 = 0.5;
const CRITICAL_TIME: f64 = 3.0;
/// Past an edge for this long before a band changes.
const DWELL: Nanos = 3 * SECOND;
/// A withdrawn server stays out this long the first time (the page: 10 s; a try at a tenth is cheap).
const FIRST_TERM: Nanos = 5 * SECOND;
/// Part of its weight with which a server returns.
const RETURN_LEVEL: f64 = 0.1;
/// At most this part of the ready servers is withdrawn for their health.
const WITHDRAWN_PART: f64 = 1.0 / 3.0;

/// Tries that a server is credited with beforehand: a few bad ones of a heavy tail are no evidence.
const CREDIT: f64 = 4.0;
/// Answers that a server's kind stands for when its own time is learned.
const KIND_CREDIT: f64 = 24.0;
/// A server owes so many answers, as other servers' reports lead us to expect, that this many sound ones of the
/// fleet owe as many by chance: silence. Of a large fleet more is needed (30 servers: 5 answers, 600: 8).
const FALSE_SILENCE: f64 = 0.2;
/// Answer times are learned over this many score memories, since a capacity changes slower than health.
const LEARNING: Nanos = 2 * SCORE_MEMORY;
/// Power of the answer time ratio in the learned factor: below 1, since slow answers are partly waiting.
const FACTOR_POWER: f64 = 0.75;
const KIND_POWER: f64 = 0.5;
/// The learned factor on a listed weight stays within this and its inverse.
const FACTOR_BOUND: f64 = 3.0;
/// A listed weight beyond this or its inverse is no size.
const SIZE_BOUND: f64 = 1e6;
/// Part of the multiple at which it falls over that a cold server may be brought, in work that it can do.
const TIP_PART: f64 = 0.6;
/// Cold servers wait later, by this part of that multiple, where it is large.
const WAIT_PART: f64 = 0.4;
/// Fleet-wide share of lost tries above which further tries feed the trouble, and below which they return.
const FURTHER_CUT: f64 = 0.2;
const FURTHER_BACK: f64 = 0.1;
/// Failures that spare an operation, at most this part of which gets no answer, are not general.
const SPARED: f64 = 0.05;
/// Mean answer time, as a part of the mean objective, from which the fleet counts as overloaded.
const PATIENCE: f64 = 0.65;
/// While answers are late, no less than this part of what servers bear is let in: what waits is worked off.
const DRAINING: f64 = 0.5;
/// What was borne is forgotten, and a limit raised or lowered, by this part each cycle.
const PEAK_KEPT: f64 = 0.95;
/// Heat below which a limit is raised; between it and 1 it holds.
const HEAT_LOW: f64 = 0.7;
/// Least part of an operation that is let in.
const LEAST_LEVEL: f64 = 0.1;
/// Chance of as many losses in a row as make a proxy avoid a server, from which avoidance counts as common.
const AVOIDED: f64 = 0.01;
/// A server that is gone is forgotten after so long; whoever joins before is told to shun it where that binds.
const GONE_KEPT: Nanos = 12 * SCORE_MEMORY;
/// What most warm servers lose now is at most this multiple of what they lost over the score's memory.
const RISING: f64 = 2.0;
/// In a gap in the reports, and for so long after, this part of as many losses keeps cold servers waiting.
const BLIND_FOR: Nanos = 4 * SCORE_MEMORY;
const BLIND_PART: f64 = 0.4;
/// With less than this part of the usual ready weight warm, the warm are about to jam.
const WARM_LEAST: f64 = 0.4;
/// What an earlier instance learned weighs this part of what it did, faded by the time since; its states, a
/// term or a band, stand only where that is not longer ago than this.
const RECALLED: f64 = 0.8;
const RECALLED_FOR: Nanos = 12 * SCORE_MEMORY;

/// Where connections are hard to get: so many of the servers lose tries, and answers take at most this
/// multiple of that part of what is late; for so long at first.
const WIDE: f64 = 0.4;
const QUICK: f64 = 1.5;
const APART_FOR: Nanos = 6 * SCORE_MEMORY;

const BEAT: u64 = 1;
const LISTEN_AGAIN: u64 = 2;

impl Registry {
    fn handle(&mut self, note: Message, mailboxes: &mut Mailboxes) {
        match note {
            Message::Endpoints(WatchEvent::Failed) => {
                // Guards against a crowd of calls at a list service that is late, in the time told for it.
                let wait = (self.patience >> 4 << self.failures.min(4)) as f64;
                self.failures += 1;
                let span = (wait * (0.5 + 0.5 * self.chance.rand_float())) as Nanos;
                mailboxes.actions.push(Action::SetTimer { delay: span, token: LISTEN_AGAIN });
            }
            Message::Endpoints(WatchEvent::Delta(rows)) => self.follow(rows, mailboxes),
            Message::Endpoints(WatchEvent::Full(rows) | WatchEvent::Cached(rows)) => {
                let present: BTreeSet<ServerId> = rows.iter().map(|row| row.server).collect();
                for &server in self.listed.difference(&present) {
                    mailboxes.send(Component::Server(server), Message::Removed);
                }
                self.listed = present;
                self.follow(rows, mailboxes);
            }
            // Behind the list that it speaks of, and to those alone that it has.
            Message::Restored { snapshot: remembered, age: away } => {
                for &learned in &remembered.servers {
                    mailboxes.send(
                        Component::Server(learned.server),
                        Message::RestoredServer { snapshot: learned, age: away },
                    );
                }
                mailboxes.send(Component::Fleet, Message::Restored { snapshot: remembered, age: away });
            }
            Message::RetryWatch if self.asks => mailboxes.actions.push(Action::WatchEndpoints { on: true }),
            _ => {}
        }
    }

    fn follow(&mut self, rows: Vec<Endpoint>, mailboxes: &mut Mailboxes) {
        self.failures = 0;
        for mut row in rows {
            let size = row.weight > 1.0 / SIZE_BOUND && row.weight < SIZE_BOUND;
            row.weight = if size { row.weight } else { 1.0 };
            if row.readiness == Readiness::Removed {
                self.listed.remove(&row.server);
            } else {
                self.listed.insert(row.server);
            }
            mailboxes.send(Component::Server(row.server), Message::Listed(row));
        }
    }
}

impl Server {
    fn new(row: Endpoint, now: Nanos) -> Self {
        Server {
            row,
            level: 1.0,
            clean: true,
            term: FIRST_TERM,
            since: now,
            weighed: now,
            ..Server::default()
        }
    }

    fn handle(&mut self, note: Message, thresholds: &Thresholds, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        match note {
            Message::Listed(row) => {
                let started = row.started_at > self.row.started_at
                    || (row.readiness == Readiness::Ready && self.row.readiness != Readiness::Ready);
                if started {
                    *self = Server::new(row, now);
                }
                let gone = row.readiness == Readiness::Removed && self.row.readiness != Readiness::Removed;
                self.since = if gone { now } else { self.since };
                // A drain that was told still binds when the server is gone.
                let drained =
                    self.row.readiness == Readiness::Draining && row.readiness == Readiness::Removed;
                self.row =
                    Endpoint { readiness: if drained { self.row.readiness } else { row.readiness }, ..row };
            }
            Message::Removed => {
                let ready = self.row.readiness == Readiness::Ready;
                self.row.readiness = if ready { Readiness::Removed } else { self.row.readiness };
                self.since = now;
            }
            Message::RestoredServer { snapshot: learned, age: away } if self.heard == 0 => {
                self.recall(&learned, away, thresholds.feedback_delay, now)
            }
            Message::Report(digest) => self.hear(&digest, now, mailboxes),
            Message::Evaluate(picture) => {
                let standing = self.weigh(picture, thresholds, now);
                mailboxes.send(Component::Fleet, Message::Status(standing));
            }
            Message::Ejection(true) if self.out_since.is_none() => {
                let fault = self.fault.unwrap_or(Fault::Score);
                self.out_since = Some(now);
                mailboxes.log(format!("server {} withdrawn: {fault:?}", self.row.server));
            }
            _ => {}
        }
    }

    /// Takes what was known of it before a restart of ours. Guards callers against learning anew, at their cost,
    /// which servers fail; it could harm where they were healed meanwhile: they are back after their term at most.
    fn recall(&mut self, learned: &ServerSnapshot, away: Nanos, echo: Nanos, now: Nanos) {
        let kept =
            |sum: f64, memory: Nanos| DecayingSum { sum: sum * recalled(away, memory), updated_at: now };
        self.tries = kept(learned.attempts, SCORE_MEMORY);
        self.lost = kept(learned.failures, SCORE_MEMORY);
        self.answered = kept(learned.responses, LEARNING);
        self.time = kept(learned.response_time_sum, LEARNING);
        if away > RECALLED_FOR {
            return;
        }
        self.level = learned.recovery.clamp(RETURN_LEVEL, 1.0);
        self.band =
            [Health::Healthy, Health::Degraded, Health::Unhealthy][usize::from(learned.health.min(2))];
        self.term = learned.ejection_time.clamp(FIRST_TERM, 4 * FIRST_TERM);
        // Proxies have gone by the tables of then: what is silent now was silent before.
        (self.unanswered, self.felt_share) =
            (learned.missing_responses * recalled(away, SCORE_MEMORY), learned.applied_share);
        if away < echo {
            self.since = now.saturating_sub(echo);
        }
        let out_for = learned.ejected_for.map(|out_for| out_for.saturating_add(away));
        match out_for.filter(|&out_for| out_for < self.term) {
            Some(out_for) => {
                self.out_since = Some(now.saturating_sub(out_for));
                self.fault = Some(if learned.unresponsive { Fault::Unresponsive } else { Fault::Score });
                // So that its first answer shows: it has been expected to speak.
                self.unanswered = 1.0 / FALSE_SILENCE;
            }
            None if out_for.is_some() => self.come_back(now),
            None => {}
        }
    }

    fn hear(&mut self, digest: &EndpointReport, now: Nanos, mailboxes: &mut Mailboxes) {
        let (tries, lost) = (f64::from(digest.attempts), f64::from(digest.failures.min(digest.attempts)));
        let answered = tries - lost;
        self.tries.add(now, SCORE_MEMORY, tries);
        self.lost.add(now, SCORE_MEMORY, lost);
        let mut time = 0.0;
        if answered > 0.0 && digest.response_time > 0 {
            time = digest.response_time as f64 * answered;
            self.answered.add(now, LEARNING, answered);
            self.time.add(now, LEARNING, time);
        }
        if answered > 0.0 {
            (self.unanswered, self.heard) = (-1.0, now);
        }
        self.clean = answered > lost;
        mailboxes.send(
            Component::Fleet,
            Message::Observed { attempts: tries, failures: lost, time, window: digest.window as f64 },
        );
    }

    /// Mean answer time, drawn towards its kind's by some tries' worth of credit.
    fn answer_time(&mut self, now: Nanos, kind_time: f64) -> Option<f64> {
        let answered = self.answered.read(now, LEARNING);
        let credit = if kind_time > 0.0 { KIND_CREDIT } else { 0.0 };
        (answered > 1.0).then(|| (self.time.read(now, LEARNING) + credit * kind_time) / (answered + credit))
    }

    fn warm_part(&self, thresholds: &Thresholds, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.row.started_at);
        if self.row.started_at == 0 || age >= thresholds.slow_start_duration {
            return 1.0;
        }
        let able = thresholds.slow_start_capacity
            + (1.0 - thresholds.slow_start_capacity) * age as f64 / thresholds.slow_start_duration as f64;
        (able * thresholds.slow_start_stretch).min(1.0 - f64::EPSILON)
    }

    fn weigh(&mut self, picture: FleetStatistics, thresholds: &Thresholds, now: Nanos) -> ServerStatus {
        let elapsed = now.saturating_sub(self.weighed);
        self.weighed = now;
        let felt = 1.0 - (-(elapsed as f64) / thresholds.feedback_delay as f64).exp();
        self.felt_share += (picture.weight_share - self.felt_share) * felt;
        // Guards against servers that take invocations and answer none, long before their time-outs are
        // reported; also against dead machines and cut links. It could harm where reports lack lines for
        // other reasons, so only reports that tell of other servers' answers count.
        if self.unanswered < 0.0 {
            self.unanswered = 0.0;
        } else if now.saturating_sub(self.since) > thresholds.feedback_delay {
            self.unanswered += picture.responses * self.felt_share;
        }
        let error = self.lost.read(now, SCORE_MEMORY) / (self.tries.read(now, SCORE_MEMORY) + CREDIT);
        let time = self.answer_time(now, picture.kind_response_time);
        let error_score = ((error - picture.median_error_rate) / CRITICAL_ERROR).clamp(0.0, 1.0);
        let slower = time
            .filter(|_| picture.median_response_time > 0.0)
            .map_or(1.0, |time| time / picture.median_response_time);
        let time_score = ((slower - 1.0) / (CRITICAL_TIME - 1.0)).clamp(0.0, 1.0);
        let goodness = 1.0 - (error_score + time_score) / 2.0;
        let hushed = now.saturating_sub(self.heard.max(self.since)) as f64 > picture.max_report_gap;
        let fault = if self.unanswered > picture.unresponsive_after && hushed {
            Some(Fault::Unresponsive)
        } else if picture.general_failure {
            None
        } else if error_score >= 1.0 {
            Some(Fault::Errors)
        } else {
            self.settle_band(goodness, now);
            (self.band == Health::Unhealthy).then_some(Fault::Score)
        };
        if self.out_since.is_none() {
            self.fault = fault;
        }
        if let Some(since) = self.out_since {
            let answers = self.unanswered <= 0.0 && self.fault == Some(Fault::Unresponsive);
            if now.saturating_sub(since) >= self.term || answers {
                self.come_back(now);
            }
        } else if fault.is_none() && self.clean {
            self.level = (self.level + elapsed as f64 / SCORE_MEMORY as f64).min(1.0);
        }
        let ratio = (goodness - CRITICAL_GOODNESS) / (GOOD_GOODNESS - CRITICAL_GOODNESS);
        let band = if self.band == Health::Healthy { 1.0 } else { ratio.clamp(RETURN_LEVEL, 1.0) };
        let warm_part = self.warm_part(thresholds, now);
        let listed = if thresholds.capacities_listed { self.row.weight } else { 1.0 };
        let mut row = self.row;
        // Where a list may drop servers wrongly, one that still answers counts as ready.
        let answers = thresholds.removal_is_advisory && self.answered.read(now, LEARNING) > CREDIT;
        if answers && row.readiness == Readiness::Removed {
            row.readiness = Readiness::Ready;
        }
        ServerStatus {
            endpoint: row,
            must_exclude: match row.readiness {
                Readiness::Ready => false,
                Readiness::Draining => true,
                Readiness::Removed => !thresholds.removal_is_advisory && self.tries.sum > RETURN_LEVEL,
            },
            warm: warm_part >= 1.0,
            ejected: self.out_since.is_some(),
            fault: self.fault,
            severity: error_score + time_score + self.unanswered / picture.unresponsive_after.max(1.0),
            weight: listed * factor(time, &picture, thresholds.kind_power) * band * self.level.min(warm_part),
            listed_weight: listed,
            slow_start_limit: (warm_part < 1.0).then_some(listed * warm_part),
            response_time: time.filter(|_| self.out_since.is_none()),
            recent_responses: (self.time.sum, self.answered.sum),
            error_rate: error,
        }
    }

    fn settle_band(&mut self, goodness: f64, now: Nanos) {
        let next = match goodness {
            g if g < CRITICAL_GOODNESS => Health::Unhealthy,
            g if g > GOOD_GOODNESS => Health::Healthy,
            _ => Health::Degraded,
        };
        if next == self.band {
            self.edge = None;
        } else if now.saturating_sub(*self.edge.get_or_insert(now)) >= DWELL {
            self.band = next;
            self.edge = None;
        }
    }

    /// Back at a tenth; a server that fails again soon stays out twice as long.
    fn come_back(&mut self, now: Nanos) {
        let term = (2 * self.term).min(4 * FIRST_TERM);
        *self = Server { level: RETURN_LEVEL, clean: false, term, ..Server::new(self.row, now) };
    }
}

/// What the list does not tell of a capacity, learned from answer times and bounded: how a server does among
/// its kind, and, less where sizes are listed, how its kind does among all.
fn factor(time: Option<f64>, picture: &FleetStatistics, kind_power: f64) -> f64 {
    let (kind, median) = (picture.kind_response_time, picture.median_response_time);
    let Some(time) = time.filter(|&time| time > 0.0 && kind > 0.0 && median > 0.0) else { return 1.0 };
    let ratio = (kind / time).powf(FACTOR_POWER) * (median / kind).powf(kind_power);
    ratio.clamp(1.0 / FACTOR_BOUND, FACTOR_BOUND)
}

/// How much of a sum an earlier instance's is worth.
fn recalled(away: Nanos, memory: Nanos) -> f64 {
    RECALLED * (-(away as f64) / memory as f64).exp()
}

impl Fleet {
    fn recall(&mut self, remembered: &Snapshot, away: Nanos, now: Nanos) {
        self.tries.add(now, SCORE_MEMORY, remembered.attempts * recalled(away, SCORE_MEMORY));
        self.lost.add(now, SCORE_MEMORY, remembered.failures * recalled(away, SCORE_MEMORY));
        if away > RECALLED_FOR {
            return;
        }
        self.usual = DecayingSum {
            sum: remembered.usual_weight * recalled(away, 2 * BLIND_FOR) / RECALLED,
            updated_at: now,
        };
        (self.peak, self.capacity) = (remembered.peak_load, remembered.load_limit);
        self.apart_for = remembered.isolation_time;
        if remembered.isolation_left > away {
            self.apart_until = now + remembered.isolation_left - away;
        }
    }

    fn handle(&mut self, note: Message, mailboxes: &mut Mailboxes) {
        match note {
            Message::Restored { snapshot: remembered, age: away } => {
                self.recall(&remembered, away, mailboxes.now)
            }
            Message::Observed { attempts: tries, failures: lost, time, window } => {
                // A gap in the reports: they come late, or this instance stood still or has just started.
                let gap = mailboxes.now.saturating_sub(self.heard);
                if gap > 2 * self.cycle {
                    self.blind_until = mailboxes.now + BLIND_FOR;
                    let tips_unseen = self.heard > 0 && gap > 2 * self.cycle + self.tip_after;
                    self.blind_part = if tips_unseen { 0.0 } else { BLIND_PART };
                }
                self.heard = mailboxes.now;
                self.rounds.0.add(mailboxes.now, SCORE_MEMORY, window);
                self.rounds.1.add(mailboxes.now, SCORE_MEMORY, 1.0);
                self.answered += tries - lost;
                for (sum, amount) in self.recent.iter_mut().zip([tries, lost, tries - lost, time]) {
                    sum.add(mailboxes.now, self.cycle, amount);
                }
                self.tries.add(mailboxes.now, SCORE_MEMORY, tries);
                self.lost.add(mailboxes.now, SCORE_MEMORY, lost);
            }
            Message::Demand { operation, total, failures: lost } => {
                for (sum, amount) in self.asked.get_mut(operation).into_iter().flatten().zip([total, lost]) {
                    sum.add(mailboxes.now, SCORE_MEMORY, amount);
                }
                for demand in self.demands.iter_mut().filter(|demand| demand.operation == operation) {
                    demand.total.add(mailboxes.now, self.cycle, total);
                    demand.failures.add(mailboxes.now, self.cycle, lost);
                }
            }
            Message::SubsetServers(used) => self.used = used,
            Message::Tick(ids) => self.ask_all(ids, mailboxes),
            Message::Status(standing) => {
                self.standings.insert(standing.endpoint.server, standing);
                self.awaited = self.awaited.saturating_sub(1);
                if self.awaited == 0 {
                    self.conclude(mailboxes);
                }
            }
            _ => {}
        }
    }

    fn ask_all(&mut self, ids: Vec<ServerId>, mailboxes: &mut Mailboxes) {
        let ready = || self.standings.values().filter(|s| s.is_ready());
        self.told.retain(|id, _| self.used.is_empty() || self.used.contains(id));
        let total: f64 = self.told.values().sum();
        let picture = FleetStatistics {
            median_response_time: median(ready().filter_map(|s| s.response_time).collect()),
            median_error_rate: median(ready().map(|s| s.error_rate).collect()),
            responses: std::mem::take(&mut self.answered),
            general_failure: self.general,
            unresponsive_after: (ready().count().max(1) as f64 / FALSE_SILENCE).ln(),
            max_report_gap: self.patience + self.rounds.0.sum / self.rounds.1.sum.max(1.0),
            ..FleetStatistics::default()
        };
        let mut kinds: BTreeMap<u16, (f64, f64)> = BTreeMap::new();
        for standing in self.standings.values() {
            let sums = kinds.entry(standing.endpoint.kind).or_default();
            *sums = (sums.0 + standing.recent_responses.0, sums.1 + standing.recent_responses.1);
        }
        self.awaited = ids.len();
        if ids.is_empty() {
            self.conclude(mailboxes);
        }
        for id in ids {
            let share = self.told.get(&id).map_or(0.0, |weight| weight / total.max(f64::MIN_POSITIVE));
            let kind = self.standings.get(&id).and_then(|standing| kinds.get(&standing.endpoint.kind));
            let kind_time = kind.filter(|sums| sums.1 > KIND_CREDIT).map_or(0.0, |sums| sums.0 / sums.1);
            mailboxes.send(
                Component::Server(id),
                Message::Evaluate(FleetStatistics {
                    weight_share: share,
                    kind_response_time: kind_time,
                    ..picture
                }),
            );
        }
    }

    /// Grants withdrawals, worst first, up to a third of the ready servers, and never the last warm one that
    /// proxies could pick: what a shared cause does to all must not empty the tables.
    fn granted(&self) -> BTreeSet<ServerId> {
        let ready = || self.standings.values().filter(|s| s.is_ready());
        let mut warm = ready().filter(|s| s.warm).count();
        let mut suspects: Vec<&ServerStatus> = ready().filter(|s| s.fault.is_some() || s.ejected).collect();
        suspects.sort_by(|a, b| {
            b.ejected
                .cmp(&a.ejected)
                .then(b.severity.total_cmp(&a.severity))
                .then(a.endpoint.server.cmp(&b.endpoint.server))
        });
        let allowed = (ready().count() as f64 * WITHDRAWN_PART) as usize;
        let mut out = BTreeSet::new();
        for suspect in suspects {
            let others = warm - usize::from(suspect.warm);
            if out.len() < allowed && others > 0 {
                warm = others;
                out.insert(suspect.endpoint.server);
            }
        }
        out
    }

    fn conclude(&mut self, mailboxes: &mut Mailboxes) {
        let out = self.granted();
        let lost = self.lost.read(mailboxes.now, SCORE_MEMORY);
        let lost_share = lost / (self.tries.read(mailboxes.now, SCORE_MEMORY) + CREDIT);
        self.told.clear();
        let inside = self.standings.values().filter(|s| s.is_ready() && !out.contains(&s.endpoint.server));
        let able = inside.map(|s| s.slow_start_limit.unwrap_or(s.listed_weight)).sum();
        self.set_levels(able, mailboxes);
        let general = if self.spares(mailboxes.now) { 0.0 } else { lost_share };
        self.keep_apart(general, mailboxes);
        self.set_gates(general, mailboxes);
        let [tries, lost, ..] = self.recent.each_mut().map(|sum| sum.read(mailboxes.now, self.cycle));
        self.weights(&out, 1.0 - lost_share.max(lost / (tries + CREDIT)), mailboxes.now);
        for (&id, standing) in &self.standings {
            let (ready, held) = (standing.is_ready(), out.contains(&id));
            mailboxes.send(Component::Server(id), Message::Ejection(held));
            let weight = self.told.get(&id).copied().unwrap_or(if ready { standing.weight } else { 0.0 });
            let weight = if ready && !held { weight } else { 0.0 };
            let (urgent, binds) = (!ready || !standing.warm, standing.must_exclude);
            let started = standing.endpoint.started_at > 0;
            let (unready, locality) = (!ready, standing.endpoint.locality);
            let want =
                DesiredWeight { weight, urgent, must_exclude: binds, unready, locality, restarted: started };
            mailboxes.send(Component::Channel, Message::DesiredWeight(id, want));
        }
    }

    /// Weights of the servers that stay in. A fault that may not be withdrawn keeps the least weight.
    ///
    /// Guards cold servers against the work that others' withdrawals, damping or death send their way: a cold
    /// one's share never exceeds what it would be if all ready servers were in at full weight, less the part
    /// by which lost tries come again. When most warm ones lose so many, or would on the few warm ones left, that
    /// proxies avoid these by themselves, the cold wait outside, while a warm one is in; sooner where what
    /// is known may be old. It costs capacity whenever losses have another cause. What a few servers lose does
    /// not count: the cold kept out for it leave the warm with all the work, which then jam.
    fn weights(&mut self, out: &BTreeSet<ServerId>, kept: f64, now: Nanos) {
        let ready = self.standings.values().filter(|s| s.is_ready());
        let known = ready.map(|s| s.listed_weight).sum::<f64>() / kept;
        let inside = |s: &ServerStatus| s.is_ready() && !out.contains(&s.endpoint.server);
        let damped = |s: &ServerStatus| if s.fault.is_some() { RETURN_LEVEL * s.weight } else { s.weight };
        let (cold, warm): (Vec<&ServerStatus>, Vec<&ServerStatus>) =
            self.standings.values().filter(|s| inside(s)).partition(|s| s.slow_start_limit.is_some());
        let warm_sum: f64 = warm.iter().map(|s| damped(s)).sum();
        let caps: f64 =
            cold.iter().filter_map(|s| s.slow_start_limit).sum::<f64>() / known.max(f64::MIN_POSITIVE);
        let total = if warm_sum > 0.0 { warm_sum / (1.0 - caps) } else { f64::MAX };
        self.told.extend(warm.iter().map(|s| (s.endpoint.server, damped(s))));
        // What the list has taken away tells of a jam before any report does.
        self.usual.sum = self.usual.read(now, 2 * BLIND_FOR).max(known * kept);
        let warm_part = warm.iter().map(|s| s.listed_weight).sum::<f64>() / self.usual.sum;
        let gap = now.saturating_sub(self.heard) > 2 * self.cycle;
        let sight = match gap || now < self.blind_until || warm_part < WARM_LEAST {
            _ if self.heard == 0 => 0.0,
            true => self.blind_part,
            false => 1.0,
        };
        let common = RISING * median(warm.iter().map(|s| s.error_rate).collect());
        let wait = common.min(1.0 - kept) >= self.avoided_from * warm_part * sight && warm_sum > 0.0;
        let most = |s: &ServerStatus| {
            if wait {
                0.0
            } else {
                s.slow_start_limit.map_or(f64::MAX, |cap| cap / known * total)
            }
        };
        let capped = |s: &ServerStatus| damped(s).min(most(s));
        self.told.extend(cold.iter().map(|s| (s.endpoint.server, capped(s))));
    }

    /// Is there an operation that hardly fails? Guards against taking servers that turn one operation away, or
    /// fail at it, for a lack of capacity or of connections, which spares none.
    fn spares(&mut self, now: Nanos) -> bool {
        self.asked.iter_mut().any(|sums| {
            let [came, lost] = sums.each_mut().map(|sum| sum.read(now, SCORE_MEMORY));
            came > 2.0 * CREDIT && lost < SPARED * came
        })
    }

    /// Guards against connections that are hard to get, whatever the cause: servers accept few, or take long
    /// to set them up. Tries then fail at most servers though answers are not late; a table of all makes
    /// nearly each try at a large fleet a new connection. For a term, few proxies share few servers. It could
    /// harm in a failure of another kind that hits most servers at once, by uneven load.
    fn keep_apart(&mut self, lost_share: f64, mailboxes: &mut Mailboxes) {
        if mailboxes.now < self.apart_until {
            return mailboxes.send(Component::Channel, Message::Isolate(true));
        }
        let ready = || self.standings.values().filter(|s| s.is_ready());
        let losing = ready().filter(|s| s.error_rate > FURTHER_BACK).count() as f64;
        let [.., served, time] = self.recent.each_mut().map(|sum| sum.read(mailboxes.now, self.cycle));
        let wide = losing / (ready().count() as f64).max(1.0);
        let slow = time / (served + CREDIT) / self.patience;
        if lost_share > FURTHER_CUT && wide > WIDE.max(slow / QUICK) {
            self.apart_for = (2 * self.apart_for).max(APART_FOR);
            self.apart_until = mailboxes.now + self.apart_for;
            mailboxes.log("proxies kept apart: connections are hard to get".into());
        } else if self.apart_until > 0 {
            self.apart_until = 0;
            mailboxes.log("proxies back on one table".into());
        }
        mailboxes.send(Component::Channel, Message::Isolate(self.apart_until > 0));
    }

    /// Further tries only after proof that the first never ran, safe for every operation. When failures are
    /// general even those only feed the load, and bring cold servers what the warm turned away.
    fn set_gates(&mut self, share: f64, mailboxes: &mut Mailboxes) {
        let before = self.general;
        self.general = share > if before { FURTHER_BACK } else { FURTHER_CUT };
        if before != self.general {
            let line = ["further tries restored", "further tries cut back: failures are general"];
            mailboxes.log(line[usize::from(self.general)].into());
        }
        let further = !self.general || self.apart_until > 0;
        for gate in &mut self.gates {
            gate.retry_policy = if !further { RetryPolicy::Never } else { RetryPolicy::IfNotExecuted };
        }
        mailboxes.send(Component::Channel, Message::AdmissionLimits(self.gates.clone()));
    }

    /// Where levels are heeded: once answers come late, lets in what ready servers have shown to bear, kept
    /// for each unit of ready weight, the highest billed value for its objective first, and feels its way up.
    /// Guards against any lack of capacity, since late answers are worth next to nothing and cost as much. It
    /// could harm where answers are slow for reasons that less work does not mend.
    fn set_levels(&mut self, ready: f64, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        if self.demands.is_empty() || now.saturating_sub(self.levelled) < self.cycle {
            return;
        }
        self.levelled = now;
        let [tries, lost, served, time] = self.recent.each_mut().map(|sum| sum.read(now, self.cycle));
        let failing = if self.apart_until > 0 { 0.0 } else { lost / (tries + CREDIT) / FURTHER_CUT };
        let heat = (time / (served + CREDIT) / self.patience).max(failing);
        // Reports are late: heat is taken as where it will be a cycle on.
        let before = std::mem::replace(&mut self.heat, heat);
        let heat = if before > 0.0 { 2.0 * heat - before } else { heat };
        let mut borne = 0.0;
        for demand in &mut self.demands {
            let came = demand.total.read(now, self.cycle) * self.gates[demand.operation].limit;
            borne += demand.cost * (came - demand.failures.read(now, self.cycle)).max(0.0);
        }
        let borne = borne / ready.max(f64::MIN_POSITIVE);
        self.peak = borne.max(self.peak * PEAK_KEPT);
        let limited = self.capacity.is_some();
        self.capacity = match self.capacity {
            None if heat > 1.0 => Some(self.peak),
            Some(capacity) if heat > 1.0 => Some(capacity.min(self.peak / PEAK_KEPT) * PEAK_KEPT),
            Some(capacity) if heat < HEAT_LOW => Some(borne.max(capacity / PEAK_KEPT)),
            other => other.map(|capacity| capacity.max(borne)),
        };
        let draining = heat.max(1.0).powi(-2).max(DRAINING);
        let mut budget = self.capacity.map_or(f64::MAX, |capacity| capacity * ready * draining);
        let mut all_in = true;
        for demand in &self.demands {
            let asked = (demand.cost * demand.total.sum).max(f64::MIN_POSITIVE);
            let amount = (budget / asked).clamp(LEAST_LEVEL, 1.0);
            budget = (budget - asked * amount).max(0.0);
            all_in &= amount >= 1.0;
            let gate = &mut self.gates[demand.operation];
            if (gate.limit - amount).abs() > MIN_WEIGHT_CHANGE / 2.0 || amount >= 1.0 {
                gate.limit = amount;
            }
        }
        if all_in && heat < HEAT_LOW {
            self.capacity = None;
        }
        if limited != self.capacity.is_some() {
            mailboxes.log(if limited { "shedding ends" } else { "shedding: answers come late" }.into());
        }
    }
}

/// Where levels are heeded, the operations in the order in which they are let in.
fn demands(config: &ControllerConfig) -> Vec<OperationDemand> {
    if config.admission_mode != AdmissionMode::Ratio {
        return Vec::new();
    }
    let cost = |at: usize| config.operations[at].latency_objective as f64;
    let value = |at: usize| config.operations[at].priority_weight / cost(at);
    let mut order: Vec<usize> = (0..config.operations.len()).collect();
    order.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
    let demand =
        |operation| OperationDemand { operation, cost: cost(operation), ..OperationDemand::default() };
    order.into_iter().map(demand).collect()
}

/// One instance of the decisions.
#[derive(Debug)]
pub struct Controller {
    pub(crate) mailboxes: Mailboxes,
    pub(crate) registry: Registry,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) thresholds: Thresholds,
    pub(crate) fleet: Fleet,
    pub(crate) channel: Channel,
    pub(crate) tick_interval: Nanos,
    pub(crate) started: bool,
}

impl Controller {
    pub fn new(config: &ControllerConfig) -> Self {
        let cold_stretch = (config.overload_ratio * TIP_PART).max(1.0);
        let wait_stretch = (config.overload_ratio * WAIT_PART).max(1.0);
        let amount = if config.admission_mode == AdmissionMode::Rate { f64::from(u32::MAX) } else { 1.0 };
        let gate =
            |operation| AdmissionLimit { operation, limit: amount, retry_policy: RetryPolicy::IfNotExecuted };
        let gates: Vec<AdmissionLimit> = (0..config.operations.len()).map(gate).collect();
        Controller {
            mailboxes: Mailboxes::default(),
            registry: Registry {
                asks: config.polls_endpoints,
                patience: config.poll_interval.max(SECOND),
                listed: BTreeSet::new(),
                failures: 0,
                chance: oorandom::Rand64::new(config.seed.into()),
            },
            servers: BTreeMap::new(),
            thresholds: Thresholds {
                slow_start_capacity: config.slow_start_capacity,
                slow_start_duration: config.slow_start_duration,
                slow_start_stretch: cold_stretch,
                feedback_delay: (config.worst_transit + 2 * config.report_interval).max(1),
                capacities_listed: config.listed_capacity == ListedCapacity::Nominal,
                kind_power: if config.listed_capacity == ListedCapacity::Nominal {
                    KIND_POWER
                } else {
                    FACTOR_POWER
                },
                removal_is_advisory: config.removal_is_advisory,
            },
            fleet: Fleet {
                demands: demands(config),
                asked: vec![Default::default(); config.operations.len()],
                patience: patience(config),
                cycle: config.report_interval,
                tip_after: config.overload_delay,
                gates: gates.clone(),
                blind_part: BLIND_PART,
                avoided_from: AVOIDED.powf(1.0 / f64::from(config.failures_to_avoid.max(1))) * wait_stretch,
                ..Fleet::default()
            },
            channel: Channel::new(config, gates),
            tick_interval: tick_interval(config),
            started: false,
        }
    }

    /// What it has learned so far, for an instance that starts after it.
    pub fn remember(&mut self, now: Nanos) -> Snapshot {
        let servers =
            self.servers.values_mut().map(|server| server.remember(now, SCORE_MEMORY, LEARNING)).collect();
        Snapshot { servers, ..self.fleet.remember(now, SCORE_MEMORY, 2 * BLIND_FOR) }
    }

    /// Takes the events of one batch and gives the orders, in order.
    pub fn decide(&mut self, now: Nanos, events: Vec<Event>) -> Vec<Action> {
        self.mailboxes.now = now;
        if !self.started {
            self.started = true;
            self.mailboxes.actions.push(Action::SetTimer { delay: self.tick_interval, token: BEAT });
            self.mailboxes.send(Component::Endpoints, Message::RetryWatch);
        }
        // Servers compare themselves with what the others said a beat before: after a recall nobody has yet.
        let beats = 1 + usize::from(events.iter().any(|event| matches!(event, Event::Restored { .. })));
        for event in events {
            self.sort(event);
        }
        self.empty_inboxes();
        self.forget();
        for _ in 0..beats {
            self.mailboxes.send(Component::Fleet, Message::Tick(self.servers.keys().copied().collect()));
            self.empty_inboxes();
        }
        self.mailboxes.send(Component::Channel, Message::Flush);
        self.empty_inboxes();
        std::mem::take(&mut self.mailboxes.actions)
    }

    /// Lets go of servers that are gone for good. Guards memory where servers are replaced all day under new ids.
    fn forget(&mut self) {
        let Controller { servers, registry, fleet, channel, mailboxes, .. } = self;
        servers.retain(|id, server| {
            let unlisted = !registry.listed.contains(id);
            let long = mailboxes.now.saturating_sub(server.since.max(server.heard)) > GONE_KEPT;
            if unlisted && long && channel.forget_server(*id) {
                fleet.standings.remove(id);
                return false;
            }
            true
        });
    }

    /// Turns an event into a note for the part that it concerns.
    fn sort(&mut self, event: Event) {
        let (part, note) = match event {
            Event::Endpoints(news) => (Component::Endpoints, Message::Endpoints(news)),
            Event::Restored { snapshot: remembered, age: away } => {
                (Component::Endpoints, Message::Restored { snapshot: remembered, age: away })
            }
            Event::Joined { proxy, rate, is_new: new, .. } => {
                (Component::Channel, Message::Joined { proxy, rate, is_new: new })
            }
            Event::Left { proxy } => (Component::Channel, Message::Left(proxy)),
            Event::Backlog { lines } => (Component::Channel, Message::Backlog(lines)),
            Event::EndpointReport(digest) if digest.attempts > 0 => {
                (Component::Server(digest.server), Message::Report(digest))
            }
            Event::DemandReport { proxy, operation, total, failures: lost, .. } => {
                let (total, lost) = (f64::from(total), f64::from(lost));
                self.mailboxes.send(Component::Channel, Message::ProxyDemand { proxy, total });
                (Component::Fleet, Message::Demand { operation: operation.into(), total, failures: lost })
            }
            Event::Acknowledged { proxy, serial, .. } => {
                (Component::Channel, Message::Acknowledged { proxy, serial })
            }
            Event::TimerFired { token: BEAT } => {
                return self
                    .mailboxes
                    .actions
                    .push(Action::SetTimer { delay: self.tick_interval, token: BEAT });
            }
            Event::TimerFired { token: LISTEN_AGAIN } => (Component::Endpoints, Message::RetryWatch),
            _ => return,
        };
        self.mailboxes.send(part, note);
    }

    /// The one loop that empties all inboxes.
    fn empty_inboxes(&mut self) {
        while let Some((part, note)) = self.mailboxes.next() {
            match part {
                Component::Endpoints => self.registry.handle(note, &mut self.mailboxes),
                Component::Server(id) => {
                    if let Message::Listed(row) = note {
                        self.servers.entry(id).or_insert_with(|| Server::new(row, self.mailboxes.now));
                    }
                    if let Some(server) = self.servers.get_mut(&id) {
                        server.handle(note, &self.thresholds, &mut self.mailboxes);
                    }
                }
                Component::Fleet => self.fleet.handle(note, &mut self.mailboxes),
                Component::Channel => self.channel.handle(note, &mut self.mailboxes),
            }
        }
    }
}

/// Mean answer time that still keeps most of the billed value.
fn patience(config: &ControllerConfig) -> f64 {
    let value: f64 = config.operations.iter().map(|operation| operation.priority_weight).sum();
    let weighed = config.operations.iter().map(|o| o.priority_weight * o.latency_objective as f64);
    PATIENCE * weighed.sum::<f64>() / value.max(f64::MIN_POSITIVE)
}
