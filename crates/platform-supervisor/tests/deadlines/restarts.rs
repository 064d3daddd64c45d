//! Restarts at the size of a pre-production incident, on the simulated platform: servers drain and return in
//! steps, the supervisor restarts with an outdated endpoint list, and the channel is slower than configured
//! or becomes so.
//!
//! Runs 16 seeds by default; more with `SHALEREEL_SEEDS=200 cargo test --release -p
//! shalereel-platform-supervisor --test deadlines restarts`.

use oorandom::Rand64;

use crate::common::{server_name, MS};
use crate::platform::{Platform, Scenario, SECOND, STEP};

const DEFAULT_SEEDS: u64 = 16;
const SERVERS: u32 = 200;
const PROXIES: u32 = 320;
/// Time after a restart from which the protocol counts time limits.
const START_UP: u64 = SECOND;
const REPORT_INTERVAL: u64 = SECOND;

/// The figures of the incident's settings.
fn reported_scenario(rate_factor: f64) -> Scenario {
    Scenario {
        servers: SERVERS,
        proxies: PROXIES,
        lines_per_s: 38_400.0,
        channel_capacity: 115_200.0,
        message_overhead: 10.0,
        drain_grace: 2_500 * MS,
        mean_transit: 153 * MS,
        worst_transit: 382 * MS,
        rate_factor,
        lost_acks: 0,
        message_limit: 0,
    }
}

/// One run: what distinguishes it is drawn from the seed.
struct Run {
    random: Rand64,
    platform: Platform,
    /// Number of servers that drain at each step, and time between two steps.
    drained_at_once: u32,
    interval: u64,
    next_step_at: u64,
    next_report_at: u64,
    steps: u32,
    /// Proxies that join later, in order of time.
    joins: Vec<(u64, u32)>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut random = Rand64::new(seed.into());
        let rate_factor = [1.0, 1.0, 0.7, 0.5, 0.4][random.rand_range(0..5) as usize];
        let mut platform = Platform::new(reported_scenario(rate_factor), seed);
        for id in 0..PROXIES {
            platform.join(id, [server_name(id % SERVERS)], true);
        }
        platform.run_for(4 * SECOND);
        let (next_step_at, next_report_at) = (platform.now, platform.now);
        let drained_at_once = random.rand_range(15..41) as u32;
        let interval = random.rand_range(2_500..4_000) * MS;
        Run {
            random,
            platform,
            drained_at_once,
            interval,
            next_step_at,
            next_report_at,
            steps: 0,
            joins: Vec::new(),
        }
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.random.rand_range(least..most + 1)
    }

    /// Lists the servers of the next step as draining, and those of the last one as ready.
    fn rotate(&mut self) {
        let group = |step: u32| {
            let first = step * self.drained_at_once;
            (first..first + self.drained_at_once).map(|index| index % SERVERS).collect::<Vec<u32>>()
        };
        let (draining, returned) = (group(self.steps), self.steps.checked_sub(1).map(group));
        if let Some(returned) = returned {
            self.platform.list_servers(returned, "Ready");
        }
        self.platform.list_servers(draining, "Terminating");
        self.steps += 1;
        self.next_step_at += self.interval;
    }

    /// Advances the time, with the steps and joins that are due.
    fn run_for(&mut self, span: u64) {
        let until = self.platform.now + span;
        while self.platform.now < until {
            if self.platform.now >= self.next_step_at {
                self.rotate();
            }
            while self.joins.first().is_some_and(|(at, _)| *at <= self.platform.now) {
                let (_, id) = self.joins.remove(0);
                self.platform.rejoin(id);
            }
            if self.platform.now >= self.next_report_at {
                self.next_report_at += REPORT_INTERVAL;
                let random = &mut self.random;
                self.platform.report(|_| 150.0 + 300.0 * random.rand_float());
            }
            self.platform.run_for(STEP);
        }
    }

    /// Restarts the supervisor. Proxies join again within a time that is drawn.
    fn restart(&mut self) {
        let first = self.between(200, 2_000);
        let last = self.between(first + 100, 2_400);
        self.platform.restart_supervisor();
        let now = self.platform.now;
        self.joins = (0..PROXIES).map(|id| (now + self.between(first, last) * MS, id)).collect();
        self.joins.sort_unstable();
        // No limit counts from an earlier time than this.
        self.platform.limits_start_at = now + START_UP;
    }

    fn play(mut self) -> Platform {
        let before = self.between(3_000, 8_000) * MS;
        self.run_for(before);
        for _ in 0..self.between(1, 2) {
            self.restart();
            if self.between(0, 2) == 0 {
                self.platform.set_rate_factor(0.4);
            }
            let after = self.between(500, 3_000) * MS;
            self.run_for(after);
        }
        self.run_for(8 * SECOND);
        self.platform
    }
}

#[test]
fn restarts_with_an_outdated_list_and_a_slow_channel_meet_deadlines() {
    let seeds = std::env::var("SHALEREEL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: Vec<u64> = (1..=seeds.unwrap_or(DEFAULT_SEEDS)).collect();
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    let failed: Vec<String> = std::thread::scope(|scope| {
        let run = |worker: usize| {
            let seeds: Vec<u64> = seeds.iter().copied().skip(worker).step_by(workers).collect();
            scope.spawn(move || seeds.into_iter().filter_map(play).collect::<Vec<String>>())
        };
        let threads: Vec<_> = (0..workers).map(run).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    println!("{} seeds, {} failed", seeds.len(), failed.len());
    assert!(failed.is_empty(), "{} of {} seeds failed:\n{}", failed.len(), seeds.len(), failed.join("\n"));
}

/// Plays a seed. Returns its measurements if a rule was violated.
fn play(seed: u64) -> Option<String> {
    let platform = Run::new(seed).play();
    let measurements = &platform.measurements;
    println!("seed {seed}: latest drain {:.2} s", measurements.latest_drain as f64 / SECOND as f64);
    let fits = measurements.max_queued_lines <= reported_scenario(1.0).channel_capacity;
    let holds = measurements.late_drains == 0 && measurements.unserved == 0 && fits;
    (!holds).then(|| format!("seed {seed}: {measurements:?}"))
}
