//! Simulated disks, and crashes that leave torn writes.

use shalereel::interface::Nanos;

use super::event::Event;
use super::schedule::{MILLISECOND, SECOND};
use super::simulation::Simulation;
use super::violation::Violation;
use crate::group::MemberRole;
use crate::storage::LOG_FILE_MAGIC;
use crate::wire::MemberId;

const SYNC_MIN: Nanos = MILLISECOND / 5;
const SYNC_MAX: Nanos = 8 * MILLISECOND;
const SLOW_SYNC_MAX: Nanos = 1500 * MILLISECOND;
const RESTART_AFTER_FAILURE: Nanos = SECOND;

impl Simulation {
    /// Starts the first queued write.
    pub fn begin_write(&mut self, id: MemberId) {
        let Some(member) = self.members.get(&id) else { return };
        let incarnation = member.incarnation;
        let sync_max = if member.disk.slow { SLOW_SYNC_MAX } else { SYNC_MAX };
        let at = self.now + SYNC_MIN + self.draw(sync_max);
        self.schedule(at, Event::Stored { member: id, incarnation });
    }

    pub fn finish_write(&mut self, id: MemberId, incarnation: u64) -> Result<(), Violation> {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return Ok(()) };
        if member.incarnation != incarnation {
            return Ok(());
        }
        let clock = member.clock(now);
        let Some(group) = &mut member.group else { return Ok(()) };
        if member.disk.fails {
            member.disk.queue.clear();
            group.handle_write_failed("no space left");
            return self.poll(id);
        }
        if let Some(write) = member.disk.queue.pop_front() {
            let file = member.disk.file.get_or_insert_with(|| LOG_FILE_MAGIC.to_vec());
            if write.replaces_file {
                *file = LOG_FILE_MAGIC.to_vec();
            }
            file.extend_from_slice(&write.bytes);
            group.handle_write_done(clock, write.sequence);
        }
        if !member.disk.queue.is_empty() {
            self.begin_write(id);
        }
        self.poll(id)
    }

    /// Ends a disk's faults. A member whose disk failed has stopped participating, so it is restarted.
    pub fn recover_disk(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.disk.slow = false;
        if std::mem::take(&mut member.disk.fails) {
            self.crash(id);
            self.schedule(self.now + RESTART_AFTER_FAILURE, Event::Restart(id));
        }
    }

    pub fn crash(&mut self, id: MemberId) {
        let part_written = self.rng.rand_float();
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        let Some(group) = member.group.take() else { return };
        self.stats.crashes += 1;
        if group.role() == MemberRole::Leader {
            self.leaderless_since = Some(now);
        }
        member.incarnation += 1;
        member.paused = false;
        member.deferred_events.clear();
        // A replacement is written to a separate file first, so that only an appended write can be torn.
        if let Some(write) = member.disk.queue.pop_front().filter(|write| !write.replaces_file) {
            let torn_at = (write.bytes.len() as f64 * part_written) as usize;
            let file = member.disk.file.get_or_insert_with(|| LOG_FILE_MAGIC.to_vec());
            file.extend_from_slice(&write.bytes[..torn_at]);
        }
        member.disk.queue.clear();
    }

    pub fn resume(&mut self, id: MemberId) -> Result<(), Violation> {
        let Some(member) = self.members.get_mut(&id) else { return Ok(()) };
        if !std::mem::take(&mut member.paused) {
            return Ok(());
        }
        let deferred_events = std::mem::take(&mut member.deferred_events);
        member.wake_at = 0;
        for event in deferred_events {
            self.schedule(self.now, event);
        }
        self.schedule(self.now, Event::Wake(id));
        Ok(())
    }
}
