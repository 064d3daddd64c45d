//! A simulated member: a group on a machine with its own clock and disk.

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

#[derive(Default)]
pub(super) struct Disk {
    pub file: Option<Vec<u8>>,
    pub queue: VecDeque<QueuedWrite>,
    pub slow: bool,
    pub fails: bool,
}

pub(super) struct SimulatedMember {
    /// Nothing while it is crashed.
    pub group: Option<Group>,
    /// Rises with each start and crash.
    pub incarnation: u64,
    pub disk: Disk,
    /// Its clock's offset.
    pub clock_ahead: Nanos,
    /// How much faster its clock runs.
    pub clock_rate: f64,
    pub paused: bool,
    /// What has happened to it while it was paused.
    pub waiting: Vec<Event>,
    /// When it is woken next.
    pub wake_at: Nanos,
    /// As of the last check.
    pub applied: LogIndex,
}

impl SimulatedMember {
    pub fn new(clock_ahead: Nanos, clock_rate: f64) -> Self {
        SimulatedMember {
            group: None,
            incarnation: 0,
            disk: Disk::default(),
            clock_ahead,
            clock_rate,
            paused: false,
            waiting: Vec::new(),
            wake_at: 0,
            applied: 0,
        }
    }

    /// Its clock at a simulated time.
    pub fn clock(&self, now: Nanos) -> Nanos {
        self.clock_ahead + (now as f64 * self.clock_rate) as Nanos
    }

    /// The simulated time at which its clock says this.
    pub fn true_time(&self, clock: Nanos) -> Nanos {
        (clock.saturating_sub(self.clock_ahead) as f64 / self.clock_rate).ceil() as Nanos
    }
}
