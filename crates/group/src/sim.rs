//! Deterministic simulation of groups, for tests and for `shalereel rehearse`. The network drops, delays, duplicates
//! and reorders messages and cuts links in one or both directions; members crash, restart and pause; disks are slow,
//! fail and leave torn writes; clocks drift. The invariants are checked after each step. A schedule is the sequence of
//! events that follows from a seed: the same seed always produces the same schedule.

mod disk;
mod event;
mod faults;
mod forwarder;
mod forwarders;
mod invariants;
mod member;
mod network;
mod operators;
mod schedule;
mod simulation;
mod violation;

pub use schedule::{ScheduleSettings, ScheduleStats};
pub use violation::{ConvergenceFailure, Violation, ViolationKind};

/// Runs the schedule of a seed and returns its statistics.
///
/// # Errors
///
/// Returns the first violation of an invariant.
pub fn run_schedule(seed: u64, settings: ScheduleSettings) -> Result<ScheduleStats, Violation> {
    simulation::Simulation::new(seed, settings).run()
}
