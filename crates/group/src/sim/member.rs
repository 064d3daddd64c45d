//! A simulated member with its own clock and disk.

use std::collections::VecDeque;

use shalereel::interface::Nanos;

use super::event::Event;
use crate::group::Group;
use crate::wire::LogIndex;

/// A write that is not synced yet.
pub(super) struct QueuedWrite {
    pub sequence: u64,
    pub replaces_file: bool,
    pub bytes: Vec<u8>,
}

/// A simulated disk with the log file.
#[derive(Default)]
pub(super) struct Disk {
    pub file: Option<Vec<u8>>,
    pub queue: VecDeque<QueuedWrite>,
    pub slow: bool,
    pub fails: bool,
}

pub(super) struct SimulatedMember {
    /// `None` while the member is crashed.
    pub group: Option<Group>,
    /// Increases with each start and crash, so that events of an earlier run can be recognized.
    pub incarnation: u64,
    pub disk: Disk,
    /// What its clock shows at simulated time 0.
    pub clock_offset: Nanos,
    /// Speed of its clock relative to simulated time.
    pub clock_rate: f64,
    pub paused: bool,
    /// Events that it handles when its pause ends.
    pub deferred_events: Vec<Event>,
    /// Simulated time of its next scheduled wake-up.
    pub wake_at: Nanos,
    /// Index of the last applied entry at the last check.
    pub applied: LogIndex,
}

impl SimulatedMember {
    pub fn new(clock_offset: Nanos, clock_rate: f64) -> Self {
        SimulatedMember {
            group: None,
            incarnation: 0,
            disk: Disk::default(),
            clock_offset,
            clock_rate,
            paused: false,
            deferred_events: Vec::new(),
            wake_at: 0,
            applied: 0,
        }
    }

    /// What its clock shows at a simulated time.
    pub fn clock(&self, now: Nanos) -> Nanos {
        self.clock_offset + (now as f64 * self.clock_rate) as Nanos
    }

    /// The simulated time at which its clock shows `clock`.
    pub fn true_time(&self, clock: Nanos) -> Nanos {
        (clock.saturating_sub(self.clock_offset) as f64 / self.clock_rate).ceil() as Nanos
    }
}
