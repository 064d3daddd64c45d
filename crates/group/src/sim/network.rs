//! The simulated network between members.

use shalereel::interface::Nanos;

use super::event::Event;
use super::member::QueuedWrite;
use super::schedule::MILLISECOND;
use super::simulation::Simulation;
use super::violation::Violation;
use crate::group::Action;
use crate::raft::LogWrite;
use crate::state_machine::AppliedChange;
use crate::storage::encode_records;
use crate::wire::{Envelope, MemberId};

/// One message in this many is delayed for up to [`SLOW_TRAVEL_MAX`], so that later ones overtake it.
const SLOW_ONE_IN: u64 = 20;
const SLOW_TRAVEL_MAX: Nanos = 800 * MILLISECOND;
const TRAVEL_MAX: Nanos = 15 * MILLISECOND;
const TRAVEL_MIN: Nanos = MILLISECOND / 2;
/// One message in this many arrives twice.
const DUPLICATE_ONE_IN: u64 = 50;
/// Least time between two wake-ups of a member.
const WAKE_INTERVAL_MIN: Nanos = MILLISECOND / 10;

impl Simulation {
    /// Draws the arrival time of a message that is sent now.
    pub fn arrival(&mut self) -> Nanos {
        let travel_max = if self.draw(SLOW_ONE_IN) == 0 { SLOW_TRAVEL_MAX } else { TRAVEL_MAX };
        self.now + TRAVEL_MIN + self.draw(travel_max)
    }

    pub fn deliver(&mut self, envelope: Envelope) -> Result<(), Violation> {
        let to = envelope.to;
        let now = self.now;
        let Some(member) = self.members.get_mut(&to) else { return Ok(()) };
        let clock = member.clock(now);
        let Some(group) = &mut member.group else { return Ok(()) };
        group.handle_message(clock, envelope);
        self.poll(to)
    }

    /// Polls a member and performs its actions.
    pub fn poll(&mut self, id: MemberId) -> Result<(), Violation> {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return Ok(()) };
        let clock = member.clock(now);
        let Some(group) = &mut member.group else { return Ok(()) };
        let actions = group.poll(clock);
        let next_deadline = group.next_deadline();
        for action in actions {
            match action {
                Action::Send { to, envelope, .. } => self.send(id, to, envelope),
                Action::Store(write) => self.queue_write(id, write),
                Action::Applied(AppliedChange::RangeWithdrawn { .. }) => self.push_routes(id),
                Action::Applied(AppliedChange::RangeAssigned { .. }) => self.stats.range_assignments += 1,
                Action::AnswerOrder { .. }
                | Action::Applied(_)
                | Action::SnapshotRestored
                | Action::PeerReports(_)
                | Action::Log(_) => {}
            }
        }
        self.schedule_wake(id, next_deadline);
        self.check_member(id)
    }

    fn send(&mut self, from: MemberId, to: MemberId, envelope: Envelope) {
        let lost = self.cut_links.contains(&(from, to)) || self.rng.rand_float() < self.loss;
        if lost {
            return;
        }
        if self.draw(DUPLICATE_ONE_IN) == 0 {
            let at = self.arrival();
            self.schedule(at, Event::Deliver(envelope.clone()));
        }
        let at = self.arrival();
        self.schedule(at, Event::Deliver(envelope));
    }

    fn queue_write(&mut self, id: MemberId, write: LogWrite) {
        let bytes = shalereel_journal::frame(&encode_records(&write.records));
        let Some(member) = self.members.get_mut(&id) else { return };
        let queued = QueuedWrite { sequence: write.sequence, replaces_file: write.replaces_file, bytes };
        member.disk.queue.push_back(queued);
        if member.disk.queue.len() == 1 {
            self.begin_write(id);
        }
    }

    fn schedule_wake(&mut self, id: MemberId, next_deadline: Nanos) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        let at = member.true_time(next_deadline).max(now + WAKE_INTERVAL_MIN);
        if member.wake_at <= now || at < member.wake_at {
            member.wake_at = at;
            self.schedule(at, Event::Wake(id));
        }
    }
}
