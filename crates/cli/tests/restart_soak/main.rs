//! Restarts of `shalereel node` at the size of a pre-production incident: 320 proxies, 200 servers, an endpoint
//! list that moves on, and kills in a series, drawn from a seed. The supervisor is a real process; the judge
//! knows only requests, what discovery wrote and what entered the channel.
//!
//! Runs a few seeds by default; more with `SHALEREEL_SEEDS=1-50 cargo test --release -p shalereel-cli --test
//! restart_soak soak -- --nocapture`. `SHALEREEL_TRACE=1` writes a trace beside the supervisor's log, in the
//! target directory's `tmp`.

mod channel;
mod connection;
mod discovery;
mod judge;
mod platform;
mod process;
mod proxy;
mod schedule;

use platform::{Platform, Report};
use schedule::Schedule;
use shalereel_reactor::{Nanos, SECOND};

const DEFAULT_SEEDS: [u64; 4] = [1, 16, 28, 34];
/// Number of runs at the same time.
const WORKERS: usize = 2;

/// The seeds in `SHALEREEL_SEEDS`, which is a number or a range such as `1-50`.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SHALEREEL_SEEDS") else { return DEFAULT_SEEDS.to_vec() };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    (first.parse().expect("a seed")..=last.parse().expect("a seed")).collect()
}

fn workers() -> usize {
    std::env::var("SHALEREEL_WORKERS").ok().and_then(|workers| workers.parse().ok()).unwrap_or(WORKERS)
}

fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND as f64
}

/// One line on a run.
fn summary(schedule: &Schedule, report: &Report) -> String {
    let judge = &report.judge;
    format!(
        "seed {}: pace {} then {}, {} violations, latest drain {:.2} s, {} of {} requests late, longest without a server {:.2} s, \
         at most {:.0} lines waiting, {} readmissions after the last start, {} lines in all",
        schedule.seed,
        schedule.channel_pace,
        schedule.last_pace(),
        judge.violations,
        seconds(judge.latest_drain),
        judge.late_requests,
        judge.requests,
        seconds(judge.max_unserved),
        judge.max_waiting_lines,
        report.readmissions_after_restart,
        report.lines_by_traffic,
    )
}

/// Plays a seed. Returns the description of its violations.
fn play(seed: u64) -> Result<(), String> {
    let schedule = Schedule::random(seed);
    let report = Platform::new(schedule.clone(), &format!("restart-soak-{seed}")).run();
    let summary = summary(&schedule, &report);
    println!("{summary}");
    if report.judge.violations == 0 {
        return Ok(());
    }
    Err(format!(
        "{summary}\n{}\n{schedule:?}\n{}",
        report.judge.descriptions.join("\n"),
        report.log.join("\n")
    ))
}

/// Guards against drains that reach proxies too late after a restart with an outdated endpoint list.
#[test]
fn restart_soak_keeps_all_rules() {
    let seeds = seeds();
    let workers = workers();
    let failed: Vec<String> = std::thread::scope(|scope| {
        let run = |worker: usize| {
            let seeds: Vec<u64> = seeds.iter().copied().skip(worker).step_by(workers).collect();
            scope.spawn(move || seeds.into_iter().filter_map(|seed| play(seed).err()).collect::<Vec<_>>())
        };
        let threads: Vec<_> = (0..workers).map(run).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    assert!(failed.is_empty(), "{} of {} seeds failed:\n{}", failed.len(), seeds.len(), failed.join("\n\n"));
}

/// Shows that the judge finds a late drain: a supervisor that is stopped for longer than the grace.
#[test]
fn judge_finds_a_supervisor_that_stalls_beyond_the_grace() {
    let schedule = Schedule::with_stall(1, 4 * SECOND);
    let report = Platform::new(schedule, "restart-soak-stall").run();
    assert!(report.judge.late_requests > 0, "{:?}", report.judge);
}
