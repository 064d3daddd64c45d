//! Tests, on the simulated platform, that whatever differs from what proxies hold is sent in bounded time, at any
//! setting of the channel: servers are replaced one after another, then nothing changes. In the end each proxy
//! may use exactly the ready servers, at the weights listed.
//!
//! Runs four seeds by default; more with `SHALEREEL_SEEDS=200 cargo test --release -p
//! shalereel-platform-supervisor --test deadlines liveness`.

use std::fmt::Write;

use crate::common::{server_name, MESSAGE_WINDOW_MS, MS};
use crate::platform::{Platform, Scenario, SECOND, STEP};
use oorandom::Rand64;

const DEFAULT_SEEDS: u64 = 4;
/// Time from which a started server is warm, as configured.
const SLOW_START: u64 = 9 * SECOND;
/// Listed weight of the server whose weight changes at the end; all others have 1.
const CHANGED_WEIGHT: f64 = 4.0;
/// Number of messages within [`MESSAGE_WINDOW_MS`] with which one can go out every two seconds twice over.
const MESSAGES_FOR_DRAINS: u32 = 10;
/// Lines of a message with a fallback subset, without the overhead.
const FALLBACK_LINES: f64 = 13.0;
/// Number of servers that a proxy on a fallback subset has at least: half of such a subset.
const MIN_FALLBACK_SERVERS: usize = 4;
/// Time that a server drains until it is removed, and from then until its successor is listed.
const DRAIN_TIME: u64 = 3 * SECOND;
const SUCCESSOR_DELAY: u64 = 1_500 * MS;

/// A change of the endpoint list: at a time, a server gets a state.
struct ListChange {
    at: u64,
    server: u32,
    state: &'static str,
}

/// One run: settings and pace are drawn from the seed.
struct Replacement {
    scenario: Scenario,
    /// Time from one replacement to the next.
    pause: u64,
    /// Whether the channel could move all proxies to fallback subsets within half of the grace, so that all may
    /// use full tables.
    fits_full_tables: bool,
}

impl Replacement {
    /// Settings at which what cannot be put off fits twice: a message to each proxy into the channel, and
    /// into two thirds of the drain grace.
    fn random(seed: u64) -> Self {
        let mut random = Rand64::new(seed.into());
        let mut between = |least: u64, most: u64| random.rand_range(least..most + 1);
        let servers = between(6, 30) as u32;
        let proxies = [between(1, 20), between(20, 220)][between(0, 1) as usize] as u32;
        let message_overhead = between(0, 12) as f64;
        let mean_transit = between(50, 170) * MS;
        let drain_grace = between(2_200, 6_000) * MS;
        let message_limit = [0, 0, 0, 1, 2, 3, 6, 10, 20][between(0, 8) as usize];
        // With few messages, one holds what has changed of a third of the servers, which leave and are added.
        let lines = if message_limit > 0 { 2.0 * f64::from(servers) / 3.0 } else { 1.0 };
        let message_to_each = f64::from(proxies) * (message_overhead + 1.0 + lines);
        let channel_capacity = message_to_each * between(20, 60) as f64 / 10.0;
        let seconds = |span: u64| span as f64 / SECOND as f64;
        let worst_transit = mean_transit * 5 / 2;
        let rate = message_to_each * between(30, 60) as f64 / 10.0 / seconds(drain_grace);
        let moves = f64::from(proxies) * (message_overhead + FALLBACK_LINES);
        let rate_for_full_tables = 2.0 * moves / seconds(drain_grace - worst_transit);
        let fits_full_tables = between(0, 2) > 0;
        let lines_per_s = if fits_full_tables { rate.max(rate_for_full_tables) } else { rate };
        let scenario = Scenario {
            servers,
            proxies,
            message_overhead,
            drain_grace,
            mean_transit,
            worst_transit,
            lines_per_s,
            channel_capacity: channel_capacity.max(message_overhead + FALLBACK_LINES),
            message_limit,
            ..Scenario::default()
        };
        let pause = between(600, 2_500) * MS;
        // Some warm servers are listed at any time.
        let mut least_pause = (DRAIN_TIME + SUCCESSOR_DELAY + SLOW_START) / u64::from(servers - 3);
        // A message to each proxy fits twice between two replacements.
        let message_time = (message_to_each / lines_per_s * SECOND as f64) as u64;
        least_pause = least_pause.max(2 * message_time);
        if message_limit > 0 {
            // With few messages, at most a third of the table changes between two of them.
            let between_messages = MESSAGE_WINDOW_MS * MS / u64::from(message_limit.min(5));
            least_pause = least_pause.max(3 * between_messages / u64::from(servers));
        }
        Replacement { scenario, pause: pause.max(least_pause), fits_full_tables }
    }

    /// Number of a server's successor.
    fn successor(&self, server: u32) -> u32 {
        server + self.scenario.servers
    }

    /// Replaces each server by a new one, one after another.
    fn list_changes(&self) -> Vec<ListChange> {
        let mut changes = Vec::new();
        for server in 0..self.scenario.servers {
            let drains_at = u64::from(server) * self.pause;
            let removed_at = drains_at + DRAIN_TIME;
            changes.push(ListChange { at: drains_at, server, state: "Terminating" });
            changes.push(ListChange { at: removed_at, server, state: "Gone" });
            let successor = self.successor(server);
            changes.push(ListChange { at: removed_at + SUCCESSOR_DELAY, server: successor, state: "Ready" });
        }
        changes.sort_by_key(|change| change.at);
        changes
    }

    /// Time within which a channel at rest must have sent all that differs: each message may hold a single line
    /// in the narrowest settings, and with a limit of one message the last window counts twice.
    fn settling_time(&self) -> u64 {
        SLOW_START + 2 * MESSAGE_WINDOW_MS * MS + 2 * SECOND * u64::from(self.scenario.servers)
    }

    fn run(&self, seed: u64) -> Result<(), String> {
        let mut platform = Platform::new(self.scenario.clone(), seed);
        for id in 0..self.scenario.proxies {
            platform.join(id, (0..self.scenario.servers).map(server_name), true);
            if id % 10 == 0 {
                platform.run_for(STEP);
            }
        }
        platform.run_for(MESSAGE_WINDOW_MS * MS);
        let start = platform.now;
        for change in self.list_changes() {
            let until = start + change.at;
            platform.run_for(until.saturating_sub(platform.now));
            platform.list_servers([change.server], change.state);
        }
        platform.run_for(self.settling_time());
        let mut faults = self.wrong_tables(&platform);
        let changed = self.successor(0);
        platform.list_weight(changed, CHANGED_WEIGHT);
        platform.run_for(self.settling_time());
        faults += &self.wrong_weights(&platform, changed);
        faults += &self.broken_rules(&platform);
        if faults.is_empty() {
            return Ok(());
        }
        Err(format!("seed {seed}, one every {} ms, {:?}:\n{faults}", self.pause / MS, self.scenario))
    }

    /// Number of servers in the table of a proxy in the end.
    fn least_servers(&self) -> usize {
        if self.fits_full_tables {
            self.scenario.servers as usize
        } else {
            MIN_FALLBACK_SERVERS
        }
    }

    /// Proxies that may use too few servers, or others than the ready ones.
    fn wrong_tables(&self, platform: &Platform) -> String {
        let successors = || self.scenario.servers..2 * self.scenario.servers;
        let ready = |id: &u32| successors().filter(|&server| platform.uses(*id, server)).count();
        let is_wrong =
            |id: &u32| ready(id) < self.least_servers() || platform.usable_servers(*id) != ready(id);
        let wrong: Vec<u32> = (0..self.scenario.proxies).filter(is_wrong).collect();
        let Some(first) = wrong.first() else { return String::new() };
        let (usable, ready) = (platform.usable_servers(*first), ready(first));
        format!("{} wrong tables in the end; proxy {first} uses {usable}, {ready} ready\n", wrong.len())
    }

    /// Proxies that use a server and were not sent its new weight.
    fn wrong_weights(&self, platform: &Platform, changed: u32) -> String {
        let is_wrong = |id: &u32| {
            let weight = platform.weight(*id, changed);
            weight > 0.0 && weight < CHANGED_WEIGHT / 2.0
        };
        let wrong = (0..self.scenario.proxies).filter(is_wrong).count();
        if wrong == 0 {
            return String::new();
        }
        format!("{wrong} proxies were not told of a changed weight\n")
    }

    fn broken_rules(&self, platform: &Platform) -> String {
        let mut faults = String::new();
        let (measurements, scenario) = (&platform.measurements, &self.scenario);
        if measurements.unserved > 0 {
            writeln!(faults, "proxies without a usable server: {measurements:?}").unwrap();
        }
        let judges_drains = scenario.message_limit == 0 || scenario.message_limit >= MESSAGES_FOR_DRAINS;
        if judges_drains && measurements.late_drains > 0 {
            writeln!(faults, "late drains: {measurements:?}").unwrap();
        }
        if measurements.max_queued_lines > scenario.channel_capacity {
            writeln!(faults, "{} lines queued", measurements.max_queued_lines).unwrap();
        }
        let limit = scenario.message_limit as usize;
        if limit > 0 && measurements.max_messages > limit {
            writeln!(faults, "{} messages to one proxy", measurements.max_messages).unwrap();
        }
        faults
    }
}

/// Runs seeds on several threads. Returns a description of each that failed.
fn failing_seeds(seeds: &[u64]) -> Vec<String> {
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    std::thread::scope(|scope| {
        let run = |worker: usize| {
            let seeds: Vec<u64> = seeds.iter().copied().skip(worker).step_by(workers).collect();
            scope.spawn(move || {
                let results = seeds.into_iter().map(|seed| Replacement::random(seed).run(seed));
                results.filter_map(Result::err).collect::<Vec<String>>()
            })
        };
        let threads: Vec<_> = (0..workers).map(run).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Guards against bounds on lines or messages that exclude the smallest change for good.
#[test]
fn liveness_whatever_differs_is_sent_once_the_channel_idles() {
    let seeds = std::env::var("SHALEREEL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: Vec<u64> = (1..=seeds.unwrap_or(DEFAULT_SEEDS)).collect();
    let failed = failing_seeds(&seeds);
    println!("{} seeds, {} failed", seeds.len(), failed.len());
    assert!(failed.is_empty(), "{} of {} seeds failed:\n{}", failed.len(), seeds.len(), failed.join("\n"));
}

/// Guards against a full table that gets no successors of its servers, since one line to each of 150 proxies is
/// more than deferrable changes may take.
#[test]
fn liveness_servers_are_replaced_where_all_proxies_came_to_one_supervisor() {
    let scenario = Scenario {
        servers: 30,
        proxies: 150,
        lines_per_s: 3_600.0,
        channel_capacity: 5_400.0,
        message_overhead: 10.0,
        drain_grace: 2_200 * MS,
        mean_transit: 164 * MS,
        worst_transit: 410 * MS,
        ..Scenario::default()
    };
    let result = Replacement { scenario, pause: 1_333 * MS, fits_full_tables: true }.run(1);
    assert_eq!(result, Ok(()));
}

/// Guards against a limit on messages that lets only removals out while servers are replaced.
#[test]
fn liveness_servers_are_replaced_where_messages_are_limited() {
    let scenario = Scenario {
        servers: 18,
        proxies: 12,
        lines_per_s: 2_900.0,
        channel_capacity: 4_400.0,
        message_overhead: 10.0,
        drain_grace: 2_200 * MS,
        mean_transit: 164 * MS,
        worst_transit: 410 * MS,
        message_limit: 10,
        ..Scenario::default()
    };
    let result = Replacement { scenario, pause: 1_500 * MS, fits_full_tables: true }.run(1);
    assert_eq!(result, Ok(()));
}
