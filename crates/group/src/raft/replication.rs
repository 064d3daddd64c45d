//! Replication: the leader's heartbeats and entries, the followers' acknowledgements, and commitment.

use shalereel::interface::Nanos;

use super::role::{quorum_value, Role};
use super::Raft;
use crate::fault::InjectedFault;
use crate::wire::{
    AppendEntries, AppendResponse, Body, Command, Configuration, Entry, LogIndex, MemberId, RecordKind,
    Snapshot,
};

/// Why a leader may send a message to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendTrigger {
    /// A heartbeat is due: a message is always sent.
    Heartbeat,
    /// The log has new entries: a message is sent only if the follower lacks entries and none are in flight to it.
    NewEntries,
}

impl Raft {
    pub(super) fn append(
        &mut self,
        command: Option<Command>,
        configuration: Option<Configuration>,
    ) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, command, configuration };
        self.log.append(entry.clone());
        self.store(RecordKind::Entry(entry));
        index
    }

    /// Appends a command to the log and returns its index; `None` if this member does not lead.
    pub(crate) fn propose(&mut self, now: Nanos, command: Command) -> Option<LogIndex> {
        if !self.has_leader_role() || self.has_stopped {
            return None;
        }
        let index = self.append(Some(command), None);
        self.send_to_followers(now, SendTrigger::NewEntries);
        Some(index)
    }

    /// Whether the log contains an uncommitted command with this request id.
    pub(crate) fn has_uncommitted(&self, request_id: u64) -> bool {
        let uncommitted = self.log.entries_from(self.commit_index + 1).iter();
        uncommitted.filter_map(|entry| entry.command.as_ref()).any(|command| command.request_id == request_id)
    }

    pub(super) fn other_members(&self) -> Vec<MemberId> {
        let configuration = self.log.configuration();
        configuration.members().map(|member| member.id).filter(|&id| id != self.id).collect()
    }

    pub(super) fn send_heartbeats(&mut self, now: Nanos) {
        let interval = self.timing.heartbeat_interval();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat_at = now + interval;
        leader.begin_round(now);
        self.send_to_followers(now, SendTrigger::Heartbeat);
        // A sole voter receives no acknowledgements that would advance the commit index.
        self.advance_commit(now);
    }

    pub(super) fn send_to_followers(&mut self, now: Nanos, trigger: SendTrigger) {
        let Role::Leader(leader) = &self.role else { return };
        let followers: Vec<MemberId> = leader.followers.keys().copied().collect();
        for to in followers {
            self.send_to_follower(now, to, trigger);
        }
    }

    /// Sends a follower the entries or the snapshot that it lacks, unless they are already in flight.
    fn send_to_follower(&mut self, now: Nanos, to: MemberId, trigger: SendTrigger) {
        let retransmit_interval = self.timing.retransmit_interval();
        let Role::Leader(leader) = &mut self.role else { return };
        let heartbeat_round = leader.heartbeat_round;
        let Some(follower) = leader.followers.get_mut(&to) else { return };
        let none_in_flight = follower.in_flight_since.is_none_or(|since| now >= since + retransmit_interval);
        let send_entries = none_in_flight && follower.next_index <= self.log.last_index();
        if trigger == SendTrigger::NewEntries && !send_entries {
            return;
        }
        if none_in_flight && follower.next_index <= self.log.snapshot_index() {
            follower.in_flight_since = Some(now);
            let snapshot = Snapshot { term: self.term, heartbeat_round, ..self.log.snapshot().clone() };
            return self.outbox.push((to, Body::InstallSnapshot(snapshot)));
        }
        let prev_log_index = follower.next_index.max(self.log.snapshot_index() + 1) - 1;
        let mut entries = Vec::new();
        if send_entries {
            let missing = self.log.entries_from(follower.next_index);
            entries.extend(missing.iter().take(self.timing.max_batch_entries()).cloned());
            follower.in_flight_since = Some(now);
        }
        let request = AppendEntries {
            term: self.term,
            prev_log_index,
            prev_log_term: self.log.term_at(prev_log_index).unwrap_or(0),
            entries,
            leader_commit: self.commit_index,
            heartbeat_round,
        };
        self.outbox.push((to, Body::AppendEntries(request)));
    }

    /// Commits the entries that a quorum has synced, and records which heartbeat a quorum has acknowledged.
    pub(super) fn advance_commit(&mut self, now: Nanos) {
        let voters = self.log.configuration().voters;
        let stored_index = self.log.stored_index();
        let own_id = self.id;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut match_indexes = Vec::new();
        let mut rounds = Vec::new();
        for voter in voters.iter().map(|voter| voter.id) {
            let follower = leader.followers.get(&voter);
            let is_self = voter == own_id;
            match_indexes.push(if is_self { stored_index } else { follower.map_or(0, |f| f.match_index) });
            rounds.push(if is_self {
                leader.heartbeat_round
            } else {
                follower.map_or(0, |follower| follower.acknowledged_round)
            });
        }
        leader.acknowledge_round(quorum_value(rounds));
        let index = quorum_value(match_indexes);
        // Entries of earlier terms are committed only through a later entry of this term (figure 8 of the paper).
        let any_term = self.injected_fault == Some(InjectedFault::CommitEarlierTerm);
        if index > self.commit_index && (any_term || self.log.term_at(index) == Some(self.term)) {
            self.commit_up_to(now, index);
        }
    }

    fn commit_up_to(&mut self, now: Nanos, index: LogIndex) {
        self.commit_index = index;
        self.send_to_followers(now, SendTrigger::Heartbeat);
        let removed = !self.log.configuration().is_voter(self.id);
        if removed && self.log.configuration_index() <= index {
            self.become_follower(now, self.term, None);
        }
    }

    fn reject_append(&mut self, to: MemberId, index: LogIndex, heartbeat_round: u64) {
        let response = AppendResponse { term: self.term, success: false, index, heartbeat_round };
        self.outbox.push((to, Body::AppendResponse(response)));
    }

    /// Follows the sender of a leader's message and returns true. A message of an earlier term is rejected instead.
    pub(super) fn follow_sender(
        &mut self,
        now: Nanos,
        from: MemberId,
        term: u64,
        heartbeat_round: u64,
    ) -> bool {
        if term < self.term {
            self.reject_append(from, 0, heartbeat_round);
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.leader_heard_at = now;
        true
    }

    pub(super) fn handle_append(&mut self, now: Nanos, from: MemberId, request: AppendEntries) {
        let heartbeat_round = request.heartbeat_round;
        if !self.follow_sender(now, from, request.term, heartbeat_round) {
            return;
        }
        let snapshot_index = self.log.snapshot_index();
        let prev_log_index = request.prev_log_index;
        if prev_log_index > self.log.last_index() {
            return self.reject_append(from, self.log.last_index(), heartbeat_round);
        }
        let agrees = self.log.term_at(prev_log_index) == Some(request.prev_log_term);
        if prev_log_index >= snapshot_index && !agrees {
            let retry_from = self.log.first_index_of_term(prev_log_index) - 1;
            return self.reject_append(from, retry_from.max(snapshot_index), heartbeat_round);
        }
        let last_sent = prev_log_index + request.entries.len() as u64;
        for entry in request.entries {
            if !self.append_from_leader(entry) {
                return self.stop_participating();
            }
        }
        self.match_index = self.match_index.max(last_sent);
        self.commit_index = self.commit_index.max(request.leader_commit.min(self.match_index));
        self.acknowledge(from, heartbeat_round);
    }

    /// Appends an entry that a leader sent. Returns false if the entry contradicts a committed one, which a leader of
    /// this log never sends.
    fn append_from_leader(&mut self, entry: Entry) -> bool {
        let in_snapshot = entry.index <= self.log.snapshot_index();
        if in_snapshot || self.log.term_at(entry.index) == Some(entry.term) {
            return true;
        }
        if entry.index <= self.commit_index {
            return false;
        }
        self.log.append(entry.clone());
        self.store(RecordKind::Entry(entry));
        true
    }

    pub(super) fn handle_append_response(&mut self, now: Nanos, from: MemberId, response: &AppendResponse) {
        if response.term > self.term {
            return self.become_follower(now, response.term, None);
        }
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(follower) = leader.followers.get_mut(&from) else { return };
        if response.term != self.term {
            return;
        }
        follower.acknowledged_round = follower.acknowledged_round.max(response.heartbeat_round);
        if response.success {
            let index = response.index.min(last_index);
            if index > follower.match_index {
                follower.match_index = index;
                follower.in_flight_since = None;
            }
            follower.next_index = follower.next_index.max(follower.match_index + 1);
            self.advance_commit(now);
        } else {
            // A duplicate or late rejection must not start a second retransmission.
            let next_index = (response.index + 1).clamp(follower.match_index + 1, last_index + 1);
            if next_index >= follower.next_index {
                return;
            }
            follower.next_index = next_index;
            follower.in_flight_since = None;
        }
        self.send_to_follower(now, from, SendTrigger::NewEntries);
    }
}
