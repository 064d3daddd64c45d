//! What a schedule is made of, and what it held.

use shalereel::interface::Nanos;

use crate::fault::InjectedFault;
use crate::wire::MemberId;

pub(super) const MILLISECOND: Nanos = 1_000_000;
pub(super) const SECOND: Nanos = 1_000 * MILLISECOND;

/// Settings of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// Members of the group.
    pub members: MemberId,
    /// Forwarders that lease key ranges.
    pub forwarders: u64,
    /// Key ranges.
    pub ranges: u32,
    /// Nanoseconds with faults; as long again as it takes to settle follows.
    pub fault_span: Nanos,
    /// Log entries in one message at most; 1 strains the log most.
    pub max_batch_entries: usize,
    /// Nanoseconds from one fault to the next at most, on top of a fifth of a second.
    pub max_fault_gap: Nanos,
    /// A fault that the checks should find.
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

/// What a schedule held, to see that the checks had something to check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScheduleStats {
    /// Events.
    pub steps: u64,
    /// Terms with a leader.
    pub elections: u64,
    /// Committed entries.
    pub committed: u64,
    /// Crashes of members.
    pub crashes: u64,
    /// Assignments of ranges, as applied by each member.
    pub range_assignments: u64,
    /// Writes that took effect at a server.
    pub writes: u64,
    /// Orders submitted by operators.
    pub orders: u64,
    /// Nanoseconds from the crash of a leader to the next one that may speak for the group, the longest.
    pub longest_leaderless: Nanos,
}

impl ScheduleStats {
    /// Adds another schedule's.
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
