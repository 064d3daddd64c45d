//! Groups on a simulated network, for tests and for `shalereel rehearse`: messages dropped, delayed, duplicated,
//! reordered and cut, one way or both; members crashed, restarted and paused; disks slow, failing and torn; clocks
//! that drift. After each step the invariants are checked. A schedule is a seed: the same seed runs the same schedule.

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

/// Runs one schedule and returns what it held.
///
/// # Errors
///
/// The first invariant that is violated.
pub fn run_schedule(seed: u64, settings: ScheduleSettings) -> Result<ScheduleStats, Violation> {
    simulation::Simulation::new(seed, settings).run()
}
