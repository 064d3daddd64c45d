//! `shalereel measure restart`: what a restart of supervisors costs callers, with and without what they had learned, beside
//! the same day without a restart, all with the same arrivals.

use std::path::Path;

use anyhow::{bail, Context, Result};
use shalereel_fault_scenarios::{run_scenario, FaultKind, Scenario, Verdict};

/// Service is looked at for so long after the restart.
const AFTER_S: f64 = 30.0;
/// A loss of less is none.
const LEAST: f64 = 1e-3;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Calm,
    Remembers,
    Forgets,
}

/// `healed`: whatever ailed servers ends as the supervisors go down, so that what they knew is wrong.
pub fn restart(file: &Path, first: u32, rounds: u32, healed: bool) -> Result<()> {
    let day = Scenario::read(file)?;
    let crash = day.faults.iter().find(|trouble| trouble.kind == FaultKind::SupervisorCrash);
    let (from, back) = crash
        .map(|crash| (crash.at_s, crash.at_s + crash.for_s))
        .context("the day has no supervisor_crash")?;
    println!(
        "service in the {AFTER_S} s after a restart at {from} s{}",
        if healed { ", servers healed" } else { "" }
    );
    println!("{:>5} {:>8} {:>11} {:>9} {:>9}", "round", "calm", "remembers", "forgets", "won back");
    let mut sums = [0.0; 3];
    for round in first..first + rounds {
        let mut found = [0.0; 3];
        std::thread::scope(|scope| -> Result<()> {
            let threads = [Way::Calm, Way::Remembers, Way::Forgets].map(|way| {
                let mut day = day.clone();
                day.seed += u64::from(round);
                day.supervisors.forget = way == Way::Forgets;
                if healed {
                    let ill = [FaultKind::Hang, FaultKind::Slow, FaultKind::FastErrors];
                    for trouble in day.faults.iter_mut().filter(|trouble| ill.contains(&trouble.kind)) {
                        trouble.for_s = trouble.for_s.min((from - trouble.at_s).max(0.0));
                    }
                }
                if way == Way::Calm {
                    day.faults.retain(|trouble| trouble.kind != FaultKind::SupervisorCrash);
                }
                scope.spawn(move || one(&day, back))
            });
            for (found, thread) in found.iter_mut().zip(threads) {
                *found = thread.join().map_err(|_| anyhow::anyhow!("a day failed"))??;
            }
            Ok(())
        })?;
        line(&round.to_string(), found);
        sums.iter_mut().zip(found).for_each(|(sum, found)| *sum += found / f64::from(rounds));
    }
    line("mean", sums);
    Ok(())
}

fn line(name: &str, [calm, remembers, forgets]: [f64; 3]) {
    // Where nothing was lost nothing can be won back.
    let lost = calm - forgets;
    let won = if lost > LEAST { format!("{:.2}", (remembers - forgets) / lost) } else { "-".into() };
    println!("{name:>5} {calm:>8.4} {remembers:>11.4} {forgets:>9.4} {won:>9}");
}

fn one(day: &Scenario, back: f64) -> Result<f64> {
    let thread = std::thread::current().id();
    let folder = std::env::temp_dir().join(format!("shalereel-restart-{}-{thread:?}", std::process::id()));
    let verdict: Verdict = run_scenario(&std::env::current_exe()?, &folder, day, &mut |_| {})?;
    let _ = std::fs::remove_dir_all(&folder);
    if let Some(broken) = verdict.violated_rules().next() {
        bail!("a rule broke: {broken:?}");
    }
    let after = verdict
        .windows
        .iter()
        .filter(|window| window.from_s >= back.floor() && window.from_s < back + AFTER_S);
    let (asked, answered) =
        after.fold((0.0, 0.0), |sum, window| (sum.0 + window.requested_value, sum.1 + window.answered_value));
    Ok(answered / asked)
}
