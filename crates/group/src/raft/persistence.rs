//! Records that must be synced, and the messages that are held back until they are.

use shalereel::interface::Nanos;

use super::role::Role;
use super::write::{HeldMessage, LogWrite};
use super::Raft;
use crate::wire::{AppendResponse, Body, MemberId, RecordKind, StoredRecord, Vote};

impl Raft {
    pub(super) fn store(&mut self, kind: RecordKind) {
        self.unwritten_records.push(kind.into());
    }

    fn vote_record(&self) -> RecordKind {
        RecordKind::Vote(Vote { term: self.term, voted_for: self.voted_for })
    }

    pub(super) fn store_vote(&mut self) {
        self.store(self.vote_record());
    }

    /// Replaces all unwritten records by a rewrite of the whole file with the current state.
    pub(super) fn rewrite_file(&mut self) {
        let mut records: Vec<StoredRecord> = vec![
            RecordKind::StartCount(self.start_count).into(),
            self.vote_record().into(),
            RecordKind::Snapshot(self.log.snapshot().clone()).into(),
        ];
        let entries = self.log.entries().iter().cloned();
        records.extend(entries.map(|entry| StoredRecord::from(RecordKind::Entry(entry))));
        self.rewrite_pending = true;
        self.unwritten_records = records;
    }

    /// Starts the next write; `None` if there are no unwritten records.
    pub(super) fn take_write(&mut self) -> Option<LogWrite> {
        if self.unwritten_records.is_empty() {
            return None;
        }
        self.writes_started += 1;
        self.log.begin_write(self.writes_started);
        Some(LogWrite {
            sequence: self.writes_started,
            replaces_file: std::mem::take(&mut self.rewrite_pending),
            records: std::mem::take(&mut self.unwritten_records),
        })
    }

    /// Sends a message once all current records are synced.
    pub(super) fn send_when_stored(&mut self, to: MemberId, body: Body) {
        let after_write = self.writes_started + u64::from(!self.unwritten_records.is_empty());
        if after_write <= self.writes_done {
            self.outbox.push((to, body));
        } else {
            self.held_messages.push_back(HeldMessage { after_write, to, body });
        }
    }

    /// Handles the completion of all writes up to this sequence number.
    pub(crate) fn handle_write_done(&mut self, now: Nanos, sequence: u64) {
        if self.has_stopped {
            return;
        }
        self.writes_done = self.writes_done.max(sequence);
        self.log.finish_write(sequence);
        self.release_held_messages();
        let all_stored = self.writes_started == self.writes_done && self.unwritten_records.is_empty();
        match &mut self.role {
            Role::Candidate { votes, .. } if all_stored => {
                votes.insert(self.id);
                self.count_votes(now);
            }
            Role::Leader(_) => self.advance_commit(now),
            _ => self.acknowledge_stored_entries(),
        }
    }

    fn release_held_messages(&mut self) {
        while self.held_messages.front().is_some_and(|held| held.after_write <= self.writes_done) {
            if let Some(held) = self.held_messages.pop_front() {
                self.outbox.push((held.to, held.body));
            }
        }
    }

    fn acknowledge_stored_entries(&mut self) {
        let Some(leader) = self.leader.filter(|_| self.match_index > 0) else { return };
        self.acknowledge(leader, 0);
    }

    /// Acknowledges to the leader the entries that are synced and agree with its log.
    pub(super) fn acknowledge(&mut self, leader: MemberId, heartbeat_round: u64) {
        let index = self.match_index.min(self.log.stored_index());
        let response = AppendResponse { term: self.term, success: true, index, heartbeat_round };
        self.outbox.push((leader, Body::AppendResponse(response)));
    }

    /// Stops participation until a restart: this member then neither leads, votes nor acknowledges anything. Called
    /// when a write failed, the log contradicts a leader's, or a snapshot cannot be decoded.
    pub(crate) fn stop_participating(&mut self) {
        self.has_stopped = true;
        self.held_messages.clear();
        self.role = Role::Follower;
        self.leader = None;
    }
}
