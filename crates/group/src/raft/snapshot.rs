//! Snapshots: compaction of this member's log, and installation of a leader's snapshot on a follower that is far
//! behind.

use shalereel::interface::Nanos;

use super::Raft;
use crate::wire::{LogIndex, MemberId, Snapshot};

impl Raft {
    /// Replaces the entries up to `index` by a snapshot. `state` is the encoded state machine as of that entry.
    pub(crate) fn compact(&mut self, index: LogIndex, state: Vec<u8>) {
        let stored = index <= self.log.stored_index();
        if stored && index <= self.last_applied && index > self.snapshot_index() {
            self.log.compact(index, state);
            self.rewrite_file();
        }
    }

    pub(super) fn handle_snapshot(&mut self, now: Nanos, from: MemberId, snapshot: Snapshot) {
        let heartbeat_round = snapshot.heartbeat_round;
        if !self.follow_sender(now, from, snapshot.term, heartbeat_round) {
            return;
        }
        let index = snapshot.last_included_index;
        self.match_index = self.match_index.max(index);
        if index > self.commit_index {
            self.log.restore(snapshot.clone());
            self.commit_index = index;
            self.last_applied = index;
            self.rewrite_file();
            self.restored_snapshot = Some(snapshot);
        }
        self.acknowledge(from, heartbeat_round);
    }
}
