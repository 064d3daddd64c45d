//! Random schedules on the simulated platform: joins in waves, drains, returns, removals, silent proxies,
//! lost acknowledgements, a slow channel, a failing controller. No deadline may be missed where a plan that
//! meets all of them plainly exists: a small table for every joining proxy, every drain sent to every proxy,
//! earliest deadline first, with capacity to spare.
//!
//! Four seeds by default; more with `SHALEREEL_SEEDS=50 cargo test --release -p shalereel-platform-supervisor
//! --test deadlines schedules`.

use std::collections::BTreeSet;

use crate::common::{server_name, MS};
use crate::platform::{Platform, Scenario, SECOND};
use oorandom::Rand64;

const SEEDS_BY_DEFAULT: u64 = 4;
/// Part of the channel's rate that the plan may take.
const PLAN_RATE_PART: f64 = 0.5;
/// Lines of a message with a small table, without the overhead.
const SMALL_TABLE_LINES: f64 = 12.0;
const STEP: u64 = 20 * MS;

/// Lines that may be sent from a time on and must have left the channel by another.
#[derive(Clone, Copy, Debug)]
struct DueLines {
    from: u64,
    deadline: u64,
    lines: f64,
}

/// Whether a channel of this rate can send everything in time, the earliest deadline first.
fn plan_exists(mut due: Vec<DueLines>, lines_per_s: f64) -> bool {
    let mut now = due.iter().map(|item| item.from).min().unwrap_or_default();
    due.sort_by_key(|item| item.deadline);
    let mut first_open = 0;
    while first_open < due.len() {
        let mut left = lines_per_s * STEP as f64 / SECOND as f64;
        for item in due[first_open..].iter_mut().filter(|item| item.from <= now && item.lines > 0.0) {
            let sent = left.min(item.lines);
            item.lines -= sent;
            left -= sent;
            if item.lines > 0.0 {
                break;
            }
        }
        now += STEP;
        if due[first_open..].iter().any(|item| item.lines > 0.0 && item.deadline < now) {
            return false;
        }
        while first_open < due.len() && due[first_open].lines <= 0.0 {
            first_open += 1;
        }
    }
    true
}

/// A platform, and what is due on it by a plain reading of the rules.
struct Schedule {
    scenario: Scenario,
    platform: Platform,
    random: Rand64,
    joined: BTreeSet<u32>,
    unready: BTreeSet<u32>,
    due: Vec<DueLines>,
    script: Vec<String>,
}

impl Schedule {
    fn draw(seed: u64) -> Self {
        let mut random = Rand64::new(seed.into());
        let mut between = |least: u64, most: u64| random.rand_range(least..most + 1);
        let scenario = Scenario {
            servers: between(60, 200) as u32,
            proxies: between(100, 400) as u32,
            lines_per_s: between(3_000, 9_000) as f64,
            message_overhead: between(6, 10) as f64,
            drain_grace: between(1_700, 7_000) * MS,
            mean_transit: between(100, 350) * MS,
            lost_acks: [0, 0, 3, 5][between(0, 3) as usize],
            rate_factor: [1.0, 1.0, 1.0, 0.6][between(0, 3) as usize],
            ..Scenario::default()
        };
        let channel_capacity = scenario.lines_per_s * between(1_500, 2_200) as f64 / 1e3;
        let scenario =
            Scenario { channel_capacity, worst_transit: scenario.mean_transit * 5 / 2, ..scenario };
        let platform = Platform::new(scenario.clone(), seed);
        let (joined, unready) = (BTreeSet::new(), BTreeSet::new());
        Schedule { scenario, platform, random, joined, unready, due: Vec::new(), script: Vec::new() }
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.random.rand_range(least..most + 1)
    }

    fn note(&mut self, what: String) {
        self.script.push(format!("{:.2} s {what}", self.platform.now as f64 / SECOND as f64));
    }

    /// A message with so many lines is due within the grace.
    fn add_due(&mut self, lines: f64) {
        let from = self.platform.now;
        let grace = self.scenario.drain_grace;
        let deadline = from + grace - self.scenario.worst_transit.min(grace / 2);
        self.due.push(DueLines { from, deadline, lines: self.scenario.message_overhead + 2.0 + lines });
    }

    fn join(&mut self, id: u32) {
        let table: Vec<String> = (0..self.scenario.servers).map(server_name).collect();
        self.platform.join(id, table, false);
        self.joined.insert(id);
        if !self.unready.is_empty() {
            self.add_due(SMALL_TABLE_LINES);
        }
    }

    /// A part of the absent proxies joins within a second or so.
    fn wave(&mut self) {
        let part = self.between(10, 100);
        let absent: Vec<u32> = (0..self.scenario.proxies).filter(|id| !self.joined.contains(id)).collect();
        let joining: Vec<u32> = absent.into_iter().filter(|_| self.between(1, 100) <= part).collect();
        self.note(format!("{} proxies join", joining.len()));
        let a_step = (joining.len() / self.between(10, 80) as usize).max(1);
        for some in joining.chunks(a_step) {
            some.iter().for_each(|&id| self.join(id));
            self.platform.pass(STEP);
        }
    }

    fn list(&mut self, servers: Vec<u32>, state: &str) {
        self.note(format!("{} servers {state}", servers.len()));
        if state != "Ready" {
            let lines = (servers.len() as f64).min(SMALL_TABLE_LINES);
            (0..self.joined.len()).for_each(|_| self.add_due(lines));
        }
        for &server in &servers {
            if state == "Ready" {
                self.unready.remove(&server)
            } else {
                self.unready.insert(server)
            };
        }
        self.platform.list(servers, state);
    }

    fn some(&mut self, of: Vec<u32>, most: usize) -> Vec<u32> {
        let count = (most.min(of.len()) as u64).max(1);
        let count = self.between(1, count) as usize;
        let first = if of.is_empty() { 0 } else { self.between(0, of.len() as u64 - 1) as usize };
        of.iter().cycle().skip(first).take(count.min(of.len())).copied().collect()
    }

    fn random_event(&mut self) {
        let ready: Vec<u32> = (0..self.scenario.servers).filter(|id| !self.unready.contains(id)).collect();
        let unready: Vec<u32> = self.unready.iter().copied().collect();
        let most = self.scenario.servers as usize / 8;
        match self.between(0, 9) {
            0..=2 if ready.len() > 3 * most => {
                let servers = self.some(ready, most);
                self.list(servers, "Terminating");
            }
            3 if ready.len() > 3 * most => {
                let servers = self.some(ready, most);
                self.list(servers, "Gone");
            }
            4 | 5 if !unready.is_empty() => {
                let servers = self.some(unready, 2 * most);
                self.list(servers, "Ready");
            }
            6 | 7 => self.wave(),
            8 => {
                let count = self.between(1, 10);
                let silent: Vec<u32> = self.joined.iter().copied().take(count as usize).collect();
                self.note(format!("{} proxies fall silent", silent.len()));
                silent.into_iter().for_each(|id| self.platform.vanish(id));
            }
            _ if self.between(0, 3) == 0 => {
                self.note("the controller fails".into());
                // Nothing is sent until its restart, and all proxies join the next one anew.
                self.platform.fail_controller();
                (0..self.joined.len()).for_each(|_| self.add_due(SMALL_TABLE_LINES));
                let rest =
                    (self.scenario.channel_capacity / self.scenario.lines_per_s * SECOND as f64) as u64;
                self.platform.pass(rest / 2);
            }
            _ => {}
        }
    }

    /// Whether a plan plainly exists.
    ///
    /// # Errors
    /// A rule was violated; the text says which, and what had happened.
    fn run(mut self, seed: u64) -> Result<bool, String> {
        for id in 0..self.scenario.proxies / 5 {
            self.platform.join(id, [server_name(id % 10)], true);
            self.joined.insert(id);
        }
        self.platform.pass(8 * SECOND);
        for _ in 0..20 {
            self.random_event();
            let pause = self.between(100, 1_500) * MS;
            self.platform.pass(pause);
        }
        self.platform.pass(self.scenario.drain_grace + 2 * SECOND);
        let lines_per_s = self.scenario.lines_per_s * self.scenario.rate_factor * PLAN_RATE_PART;
        let has_plan = plan_exists(self.due.clone(), lines_per_s);
        let verdict = &self.platform.verdict;
        let drains_met = verdict.late_drains == 0 || !has_plan;
        let fits_channel = verdict.max_waiting_lines <= self.scenario.channel_capacity;
        if drains_met && verdict.unserved == 0 && fits_channel {
            return Ok(has_plan);
        }
        let log =
            self.platform.log.iter().filter(|line| line.contains("missed")).cloned().collect::<Vec<_>>();
        Err(format!(
            "seed {seed}: {verdict:?}\n{:?}\n{}\n{}",
            self.scenario,
            self.script.join("\n"),
            log.join("\n")
        ))
    }
}

#[test]
fn no_deadline_is_missed_where_a_plan_meets_all() {
    let seeds = std::env::var("SHALEREEL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: Vec<u64> = (1..=seeds.unwrap_or(SEEDS_BY_DEFAULT)).collect();
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    let results: Vec<Result<bool, String>> = std::thread::scope(|scope| {
        let run = |worker: usize| {
            let seeds: Vec<u64> = seeds.iter().copied().skip(worker).step_by(workers).collect();
            scope.spawn(move || {
                seeds.into_iter().map(|seed| Schedule::draw(seed).run(seed)).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..workers).map(run).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    let with_plan = results.iter().filter(|result| matches!(result, Ok(true))).count();
    let failed: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    println!("{} seeds: a plan plainly exists for {with_plan}, failed {}", results.len(), failed.len());
    assert!(with_plan > 0, "schedules that no plan could keep show nothing");
    assert!(failed.is_empty(), "{} of {} failed; the first:\n{}", failed.len(), results.len(), failed[0]);
}
