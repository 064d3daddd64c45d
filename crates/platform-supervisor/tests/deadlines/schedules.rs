//! Tests random schedules on the simulated platform: joins in waves, drains, returns, removals, silent
//! proxies, lost acknowledgements, a slow channel and controller failures. All deadlines must be met if the
//! schedule is feasible for a simple plan: a small table for every joining proxy and every drain for every
//! proxy, sent by earliest deadline first over half of the channel's rate.
//!
//! Runs four seeds by default; more with `SHALEREEL_SEEDS=50 cargo test --release -p
//! shalereel-platform-supervisor --test deadlines schedules`.

use std::collections::BTreeSet;

use crate::common::{server_name, MS};
use crate::platform::{Platform, Scenario, SECOND, STEP};
use oorandom::Rand64;

const DEFAULT_SEEDS: u64 = 4;
/// Fraction of the channel's rate that the plan may use.
const PLAN_RATE_FRACTION: f64 = 0.5;
/// Number of lines of a message with a small table, without the overhead.
const SMALL_TABLE_LINES: f64 = 12.0;

/// Lines that must leave the channel between two times.
#[derive(Clone, Copy, Debug)]
struct DueLines {
    /// Earliest time at which they can be sent.
    from: u64,
    /// Time by which they must have left the channel.
    deadline: u64,
    lines: f64,
}

/// Whether a channel of this rate can send all lines in time if it sends those with the earliest deadline
/// first.
fn is_feasible(mut due: Vec<DueLines>, lines_per_s: f64) -> bool {
    let mut now = due.iter().map(|item| item.from).min().unwrap_or_default();
    due.sort_by_key(|item| item.deadline);
    let mut first_unsent = 0;
    while first_unsent < due.len() {
        let mut capacity = lines_per_s * STEP as f64 / SECOND as f64;
        for item in due[first_unsent..].iter_mut().filter(|item| item.from <= now && item.lines > 0.0) {
            let sent = capacity.min(item.lines);
            item.lines -= sent;
            capacity -= sent;
            if item.lines > 0.0 {
                break;
            }
        }
        now += STEP;
        if due[first_unsent..].iter().any(|item| item.lines > 0.0 && item.deadline < now) {
            return false;
        }
        while first_unsent < due.len() && due[first_unsent].lines <= 0.0 {
            first_unsent += 1;
        }
    }
    true
}

/// A random schedule on a platform, with the lines that the simple plan must send and when they are due.
struct Schedule {
    scenario: Scenario,
    platform: Platform,
    random: Rand64,
    joined: BTreeSet<u32>,
    unready: BTreeSet<u32>,
    due: Vec<DueLines>,
    /// Description of the events so far.
    events: Vec<String>,
}

impl Schedule {
    /// A schedule with random parameters.
    fn random(seed: u64) -> Self {
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
        Schedule { scenario, platform, random, joined, unready, due: Vec::new(), events: Vec::new() }
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.random.rand_range(least..most + 1)
    }

    fn record_event(&mut self, event: String) {
        self.events.push(format!("{:.2} s {event}", self.platform.now as f64 / SECOND as f64));
    }

    /// Adds a message with this number of lines that is due within the drain grace.
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

    /// Lets a random part of the absent proxies join within about a second.
    fn join_wave(&mut self) {
        let percentage = self.between(10, 100);
        let absent: Vec<u32> = (0..self.scenario.proxies).filter(|id| !self.joined.contains(id)).collect();
        let joining: Vec<u32> = absent.into_iter().filter(|_| self.between(1, 100) <= percentage).collect();
        self.record_event(format!("{} proxies join", joining.len()));
        let joins_per_step = (joining.len() / self.between(10, 80) as usize).max(1);
        for chunk in joining.chunks(joins_per_step) {
            chunk.iter().for_each(|&id| self.join(id));
            self.platform.run_for(STEP);
        }
    }

    fn list(&mut self, servers: Vec<u32>, state: &str) {
        self.record_event(format!("{} servers listed as {state}", servers.len()));
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
        self.platform.list_servers(servers, state);
    }

    /// Returns a random run of at most `max_count` of these servers.
    fn random_subset(&mut self, of: Vec<u32>, max_count: usize) -> Vec<u32> {
        let count = (max_count.min(of.len()) as u64).max(1);
        let count = self.between(1, count) as usize;
        let first = if of.is_empty() { 0 } else { self.between(0, of.len() as u64 - 1) as usize };
        of.iter().cycle().skip(first).take(count.min(of.len())).copied().collect()
    }

    fn random_event(&mut self) {
        let ready: Vec<u32> = (0..self.scenario.servers).filter(|id| !self.unready.contains(id)).collect();
        let unready: Vec<u32> = self.unready.iter().copied().collect();
        let max_count = self.scenario.servers as usize / 8;
        match self.between(0, 9) {
            0..=2 if ready.len() > 3 * max_count => {
                let servers = self.random_subset(ready, max_count);
                self.list(servers, "Terminating");
            }
            3 if ready.len() > 3 * max_count => {
                let servers = self.random_subset(ready, max_count);
                self.list(servers, "Gone");
            }
            4 | 5 if !unready.is_empty() => {
                let servers = self.random_subset(unready, 2 * max_count);
                self.list(servers, "Ready");
            }
            6 | 7 => self.join_wave(),
            8 => {
                let count = self.between(1, 10);
                let silent: Vec<u32> = self.joined.iter().copied().take(count as usize).collect();
                self.record_event(format!("{} proxies fall silent", silent.len()));
                silent.into_iter().for_each(|id| self.platform.vanish(id));
            }
            _ if self.between(0, 3) == 0 => {
                self.record_event("controller fails".into());
                // Nothing is sent until the restart, and the new controller sends all joined proxies tables
                // again.
                self.platform.fail_controller();
                (0..self.joined.len()).for_each(|_| self.add_due(SMALL_TABLE_LINES));
                let drain_time =
                    (self.scenario.channel_capacity / self.scenario.lines_per_s * SECOND as f64) as u64;
                self.platform.run_for(drain_time / 2);
            }
            _ => {}
        }
    }

    /// Runs the schedule. Returns whether it is feasible.
    ///
    /// # Errors
    /// A deadline of a feasible schedule was missed or another rule was violated. The text contains the
    /// measurements and the events.
    fn run(mut self, seed: u64) -> Result<bool, String> {
        for id in 0..self.scenario.proxies / 5 {
            self.platform.join(id, [server_name(id % 10)], true);
            self.joined.insert(id);
        }
        self.platform.run_for(8 * SECOND);
        for _ in 0..20 {
            self.random_event();
            let pause = self.between(100, 1_500) * MS;
            self.platform.run_for(pause);
        }
        self.platform.run_for(self.scenario.drain_grace + 2 * SECOND);
        let lines_per_s = self.scenario.lines_per_s * self.scenario.rate_factor * PLAN_RATE_FRACTION;
        let feasible = is_feasible(self.due.clone(), lines_per_s);
        let measurements = &self.platform.measurements;
        let drains_met = measurements.late_drains == 0 || !feasible;
        let fits_channel = measurements.max_queued_lines <= self.scenario.channel_capacity;
        if drains_met && measurements.unserved == 0 && fits_channel {
            return Ok(feasible);
        }
        let log =
            self.platform.log.iter().filter(|line| line.contains("missed")).cloned().collect::<Vec<_>>();
        Err(format!(
            "seed {seed}: {measurements:?}\n{:?}\n{}\n{}",
            self.scenario,
            self.events.join("\n"),
            log.join("\n")
        ))
    }
}

#[test]
fn feasible_schedules_meet_all_deadlines() {
    let seeds = std::env::var("SHALEREEL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: Vec<u64> = (1..=seeds.unwrap_or(DEFAULT_SEEDS)).collect();
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    let results: Vec<Result<bool, String>> = std::thread::scope(|scope| {
        let run = |worker: usize| {
            let seeds: Vec<u64> = seeds.iter().copied().skip(worker).step_by(workers).collect();
            scope.spawn(move || {
                seeds.into_iter().map(|seed| Schedule::random(seed).run(seed)).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..workers).map(run).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    let feasible = results.iter().filter(|result| matches!(result, Ok(true))).count();
    let failed: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    println!("{} seeds: {feasible} feasible, {} failed", results.len(), failed.len());
    assert!(feasible > 0, "no schedule was feasible, so no deadline was checked");
    assert!(
        failed.is_empty(),
        "{} of {} schedules failed; the first:\n{}",
        failed.len(),
        results.len(),
        failed[0]
    );
}
