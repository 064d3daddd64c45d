//! `shalereel measure restart`: the service that callers lose by a restart of the supervisors, with and without their
//! stored state, in comparison with the same drill without a restart. All three runs have the same arrivals.

use std::path::Path;

use anyhow::{bail, Context, Result};
use shalereel_fault_scenarios::{run_scenario, FaultKind, Scenario, Verdict};

/// Length of the interval after the restart in which service is measured, in seconds.
const MEASURED_S: f64 = 30.0;
/// Smallest loss of service, as a share of the requested value, that counts as a loss.
const MIN_LOSS: f64 = 1e-3;

/// How a run of the drill differs from its file.
#[derive(Clone, Copy, PartialEq)]
enum RunKind {
    /// Without the restart.
    NoRestart,
    /// With the restart; the supervisors load their stored state.
    KeepsState,
    /// With the restart; the supervisors start without stored state.
    LosesState,
}

/// Runs the drill `rounds` times in each of the three ways and prints the service after the restart. With `healed`, the
/// hang, slow and fast_errors faults of servers end when the supervisors go down, so that the stored state is wrong.
pub fn restart(file: &Path, first: u32, rounds: u32, healed: bool) -> Result<()> {
    let scenario = Scenario::read(file)?;
    let crash = scenario.faults.iter().find(|fault| fault.kind == FaultKind::SupervisorCrash);
    let (crash_s, restart_s) = crash
        .map(|crash| (crash.at_s, crash.at_s + crash.for_s))
        .context("the drill has no supervisor_crash")?;
    println!(
        "service in the {MEASURED_S} s after a restart at {crash_s} s{}",
        if healed { ", servers healed" } else { "" }
    );
    println!("{:>5} {:>8} {:>11} {:>9} {:>9}", "round", "calm", "remembers", "forgets", "won back");
    let mut means = [0.0; 3];
    for round in first..first + rounds {
        let mut services = [0.0; 3];
        std::thread::scope(|scope| -> Result<()> {
            let threads = [RunKind::NoRestart, RunKind::KeepsState, RunKind::LosesState].map(|run| {
                let mut scenario = scenario.clone();
                scenario.seed += u64::from(round);
                scenario.supervisors.forget = run == RunKind::LosesState;
                if healed {
                    let server_faults = [FaultKind::Hang, FaultKind::Slow, FaultKind::FastErrors];
                    for fault in
                        scenario.faults.iter_mut().filter(|fault| server_faults.contains(&fault.kind))
                    {
                        fault.for_s = fault.for_s.min((crash_s - fault.at_s).max(0.0));
                    }
                }
                if run == RunKind::NoRestart {
                    scenario.faults.retain(|fault| fault.kind != FaultKind::SupervisorCrash);
                }
                scope.spawn(move || measure_service(&scenario, restart_s))
            });
            for (service, thread) in services.iter_mut().zip(threads) {
                *service = thread.join().map_err(|_| anyhow::anyhow!("a run of the drill panicked"))??;
            }
            Ok(())
        })?;
        print_row(&round.to_string(), services);
        means.iter_mut().zip(services).for_each(|(mean, service)| *mean += service / f64::from(rounds));
    }
    print_row("mean", means);
    Ok(())
}

/// Prints the service of the three runs, and the share of the loss that the stored state avoids.
fn print_row(name: &str, [no_restart, keeps_state, loses_state]: [f64; 3]) {
    // Without a loss there is nothing to avoid.
    let lost = no_restart - loses_state;
    let avoided =
        if lost > MIN_LOSS { format!("{:.2}", (keeps_state - loses_state) / lost) } else { "-".into() };
    println!("{name:>5} {no_restart:>8.4} {keeps_state:>11.4} {loses_state:>9.4} {avoided:>9}");
}

/// Runs a drill and returns the share of the requested value that was answered in the measured interval after
/// `restart_s`.
fn measure_service(scenario: &Scenario, restart_s: f64) -> Result<f64> {
    let thread = std::thread::current().id();
    let folder = std::env::temp_dir().join(format!("shalereel-restart-{}-{thread:?}", std::process::id()));
    let verdict: Verdict = run_scenario(&std::env::current_exe()?, &folder, scenario, &mut |_| {})?;
    let _ = std::fs::remove_dir_all(&folder);
    if let Some(broken) = verdict.violated_rules().next() {
        bail!("the drill broke a rule: {broken:?}");
    }
    let measured = verdict
        .windows
        .iter()
        .filter(|window| window.from_s >= restart_s.floor() && window.from_s < restart_s + MEASURED_S);
    let (requested, answered) = measured
        .fold((0.0, 0.0), |sum, window| (sum.0 + window.requested_value, sum.1 + window.answered_value));
    Ok(answered / requested)
}
