//! Settings and statistics of a schedule.

use shalereel::interface::Nanos;

use crate::fault::InjectedFault;
use crate::wire::MemberId;

pub(super) const MILLISECOND: Nanos = 1_000_000;
pub(super) const SECOND: Nanos = 1_000 * MILLISECOND;

/// Settings of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// Number of members in the group.
    pub members: MemberId,
    /// Number of forwarders that lease key ranges.
    pub forwarders: u64,
    /// Number of key ranges.
    pub ranges: u32,
    /// How long faults occur, in nanoseconds. After that the schedule goes on until the group has converged.
    pub fault_span: Nanos,
    /// Maximum number of log entries in one message; 1 stresses replication the most.
    pub max_batch_entries: usize,
    /// Greatest random time between two faults in nanoseconds, in addition to a minimum of 0.2 s.
    pub max_fault_gap: Nanos,
    /// A fault that the checks are expected to detect.
    pub injected_fault: Option<InjectedFault>,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        ScheduleSettings {
            members: 3,
            forwarders: 3,
            ranges: 2,
            fault_span: 30 * SECOND,
            max_batch_entries: 64,
            max_fault_gap: 3 * SECOND,
            injected_fault: None,
        }
    }
}

/// Statistics of a schedule, which show whether the checks had anything to check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScheduleStats {
    /// Number of handled events.
    pub steps: u64,
    /// Number of terms in which a leader was elected.
    pub elections: u64,
    /// Number of committed entries.
    pub committed: u64,
    /// Number of member crashes.
    pub crashes: u64,
    /// Number of range assignments, counted each time that a member applies one.
    pub range_assignments: u64,
    /// Number of writes that took effect at a server.
    pub writes: u64,
    /// Number of orders submitted by operators.
    pub orders: u64,
    /// Longest time from the crash of a leader until a leader has committed an entry of its term, in nanoseconds.
    pub longest_leaderless: Nanos,
}

impl ScheduleStats {
    /// Adds the statistics of another schedule.
    pub fn add(&mut self, other: &ScheduleStats) {
        self.steps += other.steps;
        self.elections += other.elections;
        self.committed += other.committed;
        self.crashes += other.crashes;
        self.range_assignments += other.range_assignments;
        self.writes += other.writes;
        self.orders += other.orders;
        self.longest_leaderless = self.longest_leaderless.max(other.longest_leaderless);
    }
}
