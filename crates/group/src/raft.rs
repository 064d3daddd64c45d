//! The replicated log, an implementation of Raft (Ongaro, Ousterhout 2014; Ongaro's thesis 2014) with pre-votes, a
//! leader that steps down without a quorum, configuration changes of one voter at a time, and snapshots. A leader
//! counts replicas only for entries of its own term. A message that acknowledges data is sent after that data is
//! synced. Performs no I/O and reads no clock; called by [`Group`](crate::Group).

mod configuration;
mod election;
mod persistence;
mod replication;
mod role;
mod snapshot;
#[cfg(test)]
mod tests;
mod write;

use std::collections::VecDeque;

use oorandom::Rand64;
use shalereel::interface::Nanos;

use crate::fault::InjectedFault;
use crate::log::Log;
use crate::storage::StoredLog;
use crate::timing::Timing;
use crate::wire::{Body, Configuration, Entry, LogIndex, MemberId, RecordKind, Snapshot, StoredRecord};

use role::{Role, VoteKind};
use write::HeldMessage;

pub use write::LogWrite;

/// Output of the steps since the last call of [`Raft::take_output`].
#[derive(Debug, Default)]
pub(crate) struct RaftOutput {
    /// Messages to be sent, with their receivers.
    pub messages: Vec<(MemberId, Body)>,
    /// Records to be written and synced.
    pub write: Option<LogWrite>,
    /// Newly committed entries, in order.
    pub committed: Vec<Entry>,
    /// A snapshot from a leader, which replaces the state of all applied entries.
    pub restored_snapshot: Option<Snapshot>,
}

impl RaftOutput {
    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.write.is_none()
            && self.committed.is_empty()
            && self.restored_snapshot.is_none()
    }
}

/// One member of the replicated log.
#[derive(Debug)]
pub(crate) struct Raft {
    id: MemberId,
    timing: Timing,
    rng: Rand64,
    start_count: u64,
    term: u64,
    voted_for: Option<MemberId>,
    log: Log,
    role: Role,
    leader: Option<MemberId>,
    /// When the last message of a leader was received. Initially the time of the start: this member may have
    /// acknowledged a leader just before, and then must not yet vote for another one.
    leader_heard_at: Nanos,
    election_due_at: Nanos,
    commit_index: LogIndex,
    last_applied: LogIndex,
    /// Index up to which the log is known to agree with the current leader's log; 0 if nothing is known.
    match_index: LogIndex,
    writes_started: u64,
    writes_done: u64,
    unwritten_records: Vec<StoredRecord>,
    rewrite_pending: bool,
    held_messages: VecDeque<HeldMessage>,
    outbox: Vec<(MemberId, Body)>,
    restored_snapshot: Option<Snapshot>,
    has_stopped: bool,
    injected_fault: Option<InjectedFault>,
}

impl Raft {
    /// A follower that starts with the content of its log file. `seed` is used for its random election timeouts.
    pub(crate) fn new(
        id: MemberId,
        now: Nanos,
        stored: StoredLog,
        timing: Timing,
        seed: u64,
        injected_fault: Option<InjectedFault>,
    ) -> Self {
        let start_count = stored.start_count + 1;
        let snapshot_index = stored.snapshot.last_included_index;
        let mut raft = Raft {
            id,
            timing,
            rng: Rand64::new((u128::from(seed) << 64) | (u128::from(start_count) << 16) | u128::from(id)),
            start_count,
            term: stored.vote.term.max(stored.snapshot.last_included_term),
            voted_for: stored.vote.voted_for,
            log: Log::recovered(stored.snapshot, stored.entries),
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            election_due_at: now,
            commit_index: snapshot_index,
            last_applied: snapshot_index,
            match_index: 0,
            writes_started: 0,
            writes_done: 0,
            unwritten_records: vec![RecordKind::StartCount(start_count).into()],
            rewrite_pending: false,
            held_messages: VecDeque::new(),
            outbox: Vec::new(),
            restored_snapshot: None,
            has_stopped: false,
            injected_fault,
        };
        raft.election_due_at = now + raft.timing.election_timeout() + raft.random_election_timeout();
        raft
    }

    fn random_election_timeout(&mut self) -> Nanos {
        let draw = self.rng.rand_float();
        self.timing.randomized_election_timeout(draw)
    }

    /// How many times this member has started, including this start.
    pub(crate) fn start_count(&self) -> u64 {
        self.start_count
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    pub(crate) fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// The newest configuration, committed or not.
    pub(crate) fn configuration(&self) -> Configuration {
        self.log.configuration()
    }

    /// Whether this member has stopped participating until its restart: it neither votes, leads nor acknowledges.
    pub(crate) fn has_stopped(&self) -> bool {
        self.has_stopped
    }

    fn has_leader_role(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this member leads and has committed an entry of its term. Only then does it know every committed entry.
    pub(crate) fn is_leader(&self) -> bool {
        self.has_leader_role() && self.log.term_at(self.commit_index) == Some(self.term)
    }

    /// When this member was elected, if it leads.
    pub(crate) fn elected_at(&self) -> Option<Nanos> {
        match &self.role {
            Role::Leader(leader) => Some(leader.elected_at),
            _ => None,
        }
    }

    /// Whether this member leads and no other leader can have been elected yet, since a quorum acknowledged one of its
    /// heartbeats within the election timeout.
    pub(crate) fn holds_quorum(&self, now: Nanos) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let span = self.timing.lower_bound(self.timing.election_timeout());
        self.is_leader() && leader.quorum_contact_at.is_some_and(|contact| now < contact + span)
    }

    /// When [`Raft::tick`] must be called next.
    pub(crate) fn next_deadline(&self) -> Nanos {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat_at,
            _ => self.election_due_at,
        }
    }

    /// Performs what is due: sends heartbeats, starts an election, or steps down without a quorum.
    pub(crate) fn tick(&mut self, now: Nanos) {
        if self.has_stopped {
            self.election_due_at = now + self.timing.election_timeout();
            return;
        }
        if let Role::Leader(leader) = &self.role {
            if now < leader.next_heartbeat_at {
                return;
            }
            // Without acknowledgements of a quorum, another leader may have been elected.
            let quorum_span = self.timing.election_timeout() + self.timing.heartbeat_interval();
            let quorum_lost = now > leader.quorum_contact_at.unwrap_or(leader.elected_at) + quorum_span;
            if quorum_lost && !self.is_sole_voter() {
                return self.become_follower(now, self.term, None);
            }
            self.send_heartbeats(now);
        } else if now >= self.election_due_at {
            self.election_due_at = now + self.random_election_timeout();
            if self.log.configuration().is_voter(self.id) {
                self.start_election(now, VoteKind::PreVote);
            }
        }
    }

    fn is_sole_voter(&self) -> bool {
        let configuration = self.log.configuration();
        configuration.voters.len() == 1 && configuration.is_voter(self.id)
    }

    fn become_follower(&mut self, now: Nanos, term: u64, leader: Option<MemberId>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.match_index = 0;
            self.store_vote();
        }
        if self.leader != leader {
            self.match_index = 0;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.election_due_at = now + self.random_election_timeout();
    }

    /// Handles a message of another member. Messages that do not belong to the log are ignored.
    pub(crate) fn handle_message(&mut self, now: Nanos, from: MemberId, body: Body) {
        if self.has_stopped {
            return;
        }
        match body {
            Body::RequestVote(request) => self.handle_vote_request(now, from, &request),
            Body::VoteResponse(response) => self.handle_vote_response(now, from, &response),
            Body::AppendEntries(request) => self.handle_append(now, from, request),
            Body::AppendResponse(response) => self.handle_append_response(now, from, &response),
            Body::InstallSnapshot(snapshot) => self.handle_snapshot(now, from, snapshot),
            _ => {}
        }
    }

    /// Removes and returns the output of all steps since the last call.
    pub(crate) fn take_output(&mut self) -> RaftOutput {
        let write = self.take_write();
        if self.injected_fault == Some(InjectedFault::NoSync) && write.is_some() {
            self.handle_write_done(0, self.writes_started);
        }
        let mut committed = Vec::new();
        while self.last_applied < self.commit_index {
            let Some(entry) = self.log.entry(self.last_applied + 1) else { break };
            committed.push(entry.clone());
            self.last_applied += 1;
        }
        RaftOutput {
            messages: std::mem::take(&mut self.outbox),
            write,
            committed,
            restored_snapshot: self.restored_snapshot.take(),
        }
    }
}
