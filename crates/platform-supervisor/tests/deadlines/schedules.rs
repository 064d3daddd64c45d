//! Drawn schedules on the platform's model: joins in waves, drains, returns, losses, silent proxies, lost answers, a
//! slow channel, a module that fails. No deadline may be missed wherever a plan that keeps all of them plainly exists:
//! every newcomer on a small table, every drain told to every proxy, earliest deadline first, with room to spare.
//!
//! Four seeds by default; `SHALEREEL_SEEDS=50 cargo test --release -p shalereel-platform-supervisor --test deadlines schedules` plays more.

use std::collections::BTreeSet;

use crate::platform::{name, Platform, Setting, MS, SECOND};
use oorandom::Rand64;

const SEEDS_BY_DEFAULT: u64 = 4;
/// Part of the channel that the plan may take.
const PLAN_PART: f64 = 0.5;
/// Lines of a message that puts a proxy on a small table, beside its head.
const SMALL_TABLE: f64 = 12.0;
const STEP: u64 = 20 * MS;

/// Lines that may be sent from a time on and must have left by another.
#[derive(Clone, Copy, Debug)]
struct Owed {
    from: u64,
    by: u64,
    lines: f64,
}

/// Could a channel of this pace send all of it in time, the earliest deadline first?
fn plan_exists(mut owed: Vec<Owed>, lines_per_s: f64) -> bool {
    let mut now = owed.iter().map(|owed| owed.from).min().unwrap_or_default();
    owed.sort_by_key(|owed| owed.by);
    let mut first_open = 0;
    while first_open < owed.len() {
        let mut left = lines_per_s * STEP as f64 / SECOND as f64;
        for item in owed[first_open..].iter_mut().filter(|item| item.from <= now && item.lines > 0.0) {
            let sent = left.min(item.lines);
            item.lines -= sent;
            left -= sent;
            if item.lines > 0.0 {
                break;
            }
        }
        now += STEP;
        if owed[first_open..].iter().any(|item| item.lines > 0.0 && item.by < now) {
            return false;
        }
        while first_open < owed.len() && owed[first_open].lines <= 0.0 {
            first_open += 1;
        }
    }
    true
}

/// A platform and what is owed on it by a plain reading of the rules.
struct Schedule {
    setting: Setting,
    platform: Platform,
    chance: Rand64,
    joined: BTreeSet<u32>,
    unready: BTreeSet<u32>,
    owed: Vec<Owed>,
    script: Vec<String>,
}

impl Schedule {
    fn draw(seed: u64) -> Self {
        let mut chance = Rand64::new(seed.into());
        let mut between = |least: u64, most: u64| chance.rand_range(least..most + 1);
        let setting = Setting {
            servers: between(60, 200) as u32,
            proxies: between(100, 400) as u32,
            lines_per_s: between(3_000, 9_000) as f64,
            overhead: between(6, 10) as f64,
            grace: between(1_700, 7_000) * MS,
            mean_transit: between(100, 350) * MS,
            lost_marks: [0, 0, 3, 5][between(0, 3) as usize],
            pace: [1.0, 1.0, 1.0, 0.6][between(0, 3) as usize],
            ..Setting::default()
        };
        let backlog = setting.lines_per_s * between(1_500, 2_200) as f64 / 1e3;
        let setting = Setting { backlog, worst_transit: setting.mean_transit * 5 / 2, ..setting };
        let platform = Platform::new(setting.clone(), seed);
        let (joined, unready) = (BTreeSet::new(), BTreeSet::new());
        Schedule { setting, platform, chance, joined, unready, owed: Vec::new(), script: Vec::new() }
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.chance.rand_range(least..most + 1)
    }

    fn note(&mut self, what: String) {
        self.script.push(format!("{:.2} s {what}", self.platform.now as f64 / SECOND as f64));
    }

    fn owe(&mut self, lines: f64) {
        let from = self.platform.now;
        let by = from + self.setting.grace - self.setting.worst_transit.min(self.setting.grace / 2);
        self.owed.push(Owed { from, by, lines: self.setting.overhead + 2.0 + lines });
    }

    fn join(&mut self, id: u32) {
        let table: Vec<String> = (0..self.setting.servers).map(name).collect();
        self.platform.join(id, table, false);
        self.joined.insert(id);
        if !self.unready.is_empty() {
            self.owe(SMALL_TABLE);
        }
    }

    /// Part of those who are not joined come within a second or so.
    fn wave(&mut self) {
        let part = self.between(10, 100);
        let absent: Vec<u32> = (0..self.setting.proxies).filter(|id| !self.joined.contains(id)).collect();
        let coming: Vec<u32> = absent.into_iter().filter(|_| self.between(1, 100) <= part).collect();
        self.note(format!("{} proxies come", coming.len()));
        let a_step = (coming.len() / self.between(10, 80) as usize).max(1);
        for some in coming.chunks(a_step) {
            some.iter().for_each(|&id| self.join(id));
            self.platform.pass(STEP);
        }
    }

    fn list(&mut self, servers: Vec<u32>, state: &str) {
        self.note(format!("{} servers {state}", servers.len()));
        if state != "Ready" {
            let told = servers.len() as f64;
            (0..self.joined.len()).for_each(|_| self.owe(told.min(SMALL_TABLE)));
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

    fn happen(&mut self) {
        let ready: Vec<u32> = (0..self.setting.servers).filter(|id| !self.unready.contains(id)).collect();
        let unready: Vec<u32> = self.unready.iter().copied().collect();
        let most = self.setting.servers as usize / 8;
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
                self.note("the module fails".into());
                // Nothing is sent while it rests, and all are newcomers to the next one.
                self.platform.fail_module();
                (0..self.joined.len()).for_each(|_| self.owe(SMALL_TABLE));
                let rest = (self.setting.backlog / self.setting.lines_per_s * SECOND as f64) as u64;
                self.platform.pass(rest / 2);
            }
            _ => {}
        }
    }

    fn play(mut self, seed: u64) -> Result<bool, String> {
        for id in 0..self.setting.proxies / 5 {
            self.platform.join(id, [name(id % 10)], true);
            self.joined.insert(id);
        }
        self.platform.pass(8 * SECOND);
        for _ in 0..20 {
            self.happen();
            let pause = self.between(100, 1_500) * MS;
            self.platform.pass(pause);
        }
        self.platform.pass(self.setting.grace + 2 * SECOND);
        let pace = self.setting.lines_per_s * self.setting.pace * PLAN_PART;
        let plain = plan_exists(self.owed.clone(), pace);
        let verdict = &self.platform.verdict;
        let kept = verdict.drains == 0 || !plain;
        if kept && verdict.starved == 0 && verdict.most_waiting <= self.setting.backlog {
            return Ok(plain);
        }
        let log =
            self.platform.log.iter().filter(|line| line.contains("missed")).cloned().collect::<Vec<_>>();
        Err(format!(
            "seed {seed}: {verdict:?}\n{:?}\n{}\n{}",
            self.setting,
            self.script.join("\n"),
            log.join("\n")
        ))
    }
}

#[test]
fn no_deadline_is_missed_where_a_plan_keeps_all() {
    let seeds = std::env::var("SHALEREEL_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: Vec<u64> = (1..=seeds.unwrap_or(SEEDS_BY_DEFAULT)).collect();
    let lanes = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    let results: Vec<Result<bool, String>> = std::thread::scope(|scope| {
        let play = |lane: usize| {
            let seeds: Vec<u64> = seeds.iter().copied().skip(lane).step_by(lanes).collect();
            scope.spawn(move || {
                seeds.into_iter().map(|seed| Schedule::draw(seed).play(seed)).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..lanes).map(play).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    let plain = results.iter().filter(|result| matches!(result, Ok(true))).count();
    let failed: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    println!("{} seeds: a plan plainly exists for {plain}, failed {}", results.len(), failed.len());
    assert!(plain > 0, "schedules that no plan could keep show nothing");
    assert!(failed.is_empty(), "{} of {} failed; the first:\n{}", failed.len(), results.len(), failed[0]);
}
