//! The leader-led log, after Raft (Ongaro, Ousterhout 2014; Ongaro's thesis 2014): elections with a first round that
//! promises nothing, a quorum that is checked, commitment of the own term only, changes of one seat at a time,
//! snapshots. Nothing is promised before it is kept: what must be synced first is held back until it is.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;
use shalereel::interface::Nanos;

use crate::fault::InjectedFault;
use crate::log::Log;
use crate::storage::{record, StoredLog};
use crate::timing::Timing;
use crate::wire::{
    AppendEntries, AppendResponse, Body, Command, Configuration, Entry, LogIndex, MemberAddress, MemberId,
    RecordKind, RequestVote, Snapshot, StoredRecord, Vote, VoteResponse,
};

/// How a leader sees one other member.
#[derive(Debug, Default)]
struct FollowerProgress {
    next_index: LogIndex,
    match_index: LogIndex,
    /// The newest heartbeat that it answered.
    acknowledged_round: u64,
    /// Entries are under way since then.
    in_flight_since: Option<Nanos>,
}

#[derive(Debug)]
struct LeaderState {
    followers: BTreeMap<MemberId, FollowerProgress>,
    heartbeat_round: u64,
    /// When each heartbeat left that a quorum has not answered yet.
    unacknowledged_rounds: VecDeque<(u64, Nanos)>,
    /// When the newest heartbeat left that a quorum has answered; votes alone are no promise to stay.
    quorum_contact_at: Option<Nanos>,
    elected_at: Nanos,
    next_heartbeat_at: Nanos,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre_vote: bool, votes: BTreeSet<MemberId> },
    Leader(LeaderState),
}

/// Records to be kept, and whether they replace the file.
#[derive(Clone, Debug, PartialEq)]
pub struct LogWrite {
    pub sequence: u64,
    pub replaces_file: bool,
    pub records: Vec<StoredRecord>,
}

/// What a step brought about.
#[derive(Debug, Default)]
pub(crate) struct RaftOutput {
    pub messages: Vec<(MemberId, Body)>,
    pub write: Option<LogWrite>,
    /// Newly committed, in order.
    pub committed: Vec<Entry>,
    /// A leader's snapshot stands in place of all that was carried out.
    pub restored_snapshot: Option<Snapshot>,
}

/// One member of the log.
#[derive(Debug)]
pub(crate) struct Raft {
    id: MemberId,
    timing: Timing,
    rng: Rand64,
    boot: u64,
    term: u64,
    voted_for: Option<MemberId>,
    log: Log,
    role: Role,
    leader: Option<MemberId>,
    /// When a leader was last heard of; a start counts, since promises made before it are forgotten.
    leader_heard_at: Nanos,
    election_due_at: Nanos,
    commit_index: LogIndex,
    last_applied: LogIndex,
    /// How far the log agrees with the leader's of this term.
    match_index: LogIndex,
    /// The last write begun, and those not done yet.
    writes_started: u64,
    writes_done: u64,
    unwritten_records: Vec<StoredRecord>,
    rewrite_pending: bool,
    /// Waits until the write with its number is done.
    held_messages: VecDeque<(u64, MemberId, Body)>,
    outbox: Vec<(MemberId, Body)>,
    restored_snapshot: Option<Snapshot>,
    /// Its disk failed: it promises nothing any more.
    pub(crate) storage_failed: bool,
    injected_fault: Option<InjectedFault>,
}

fn seat(seats: &Configuration, number: MemberId) -> bool {
    seats.voters.iter().any(|seat| seat.id == number)
}

impl Raft {
    pub(crate) fn new(
        me: MemberId,
        now: Nanos,
        kept: StoredLog,
        timing: Timing,
        seed: u64,
        injected_fault: Option<InjectedFault>,
    ) -> Self {
        let boot = kept.start_count + 1;
        let base = kept.snapshot.last_included_index;
        let mut raft = Raft {
            id: me,
            timing,
            rng: Rand64::new((u128::from(seed) << 64) | (u128::from(boot) << 16) | u128::from(me)),
            boot,
            term: kept.vote.term.max(kept.snapshot.last_included_term),
            voted_for: kept.vote.voted_for,
            log: Log::recovered(kept.snapshot, kept.entries),
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            election_due_at: now,
            commit_index: base,
            last_applied: base,
            match_index: 0,
            writes_started: 0,
            writes_done: 0,
            unwritten_records: vec![record(RecordKind::StartCount(boot))],
            rewrite_pending: false,
            held_messages: VecDeque::new(),
            outbox: Vec::new(),
            restored_snapshot: None,
            storage_failed: false,
            injected_fault,
        };
        raft.election_due_at = now + raft.timing.election_timeout() + raft.randomized_timeout();
        raft
    }

    fn randomized_timeout(&mut self) -> Nanos {
        let draw = self.rng.rand_float();
        self.timing.randomized_election_timeout(draw)
    }

    pub(crate) fn boot(&self) -> u64 {
        self.boot
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
        self.log.last_index_and_term().0
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot().last_included_index
    }

    pub(crate) fn snapshot_state(&self) -> &[u8] {
        &self.log.snapshot().state
    }

    pub(crate) fn configuration(&self) -> Configuration {
        self.log.latest_configuration().1
    }

    /// Does it lead, and has it committed in its own term? Only then it knows all that was ever committed.
    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_)) && self.log.term_at(self.commit_index) == Some(self.term)
    }

    /// Since when it leads.
    pub(crate) fn elected_at(&self) -> Option<Nanos> {
        match &self.role {
            Role::Leader(lead) => Some(lead.elected_at),
            _ => None,
        }
    }

    /// May it speak for the group at this moment? Until a quorum may have turned to another leader.
    pub(crate) fn holds_quorum(&self, now: Nanos) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let span = self.timing.lower_bound(self.timing.election_timeout());
        self.is_leader() && lead.quorum_contact_at.is_some_and(|held| now < held + span)
    }

    /// When [`Raft::tick`] is due.
    pub(crate) fn next_deadline(&self) -> Nanos {
        match &self.role {
            Role::Leader(lead) => lead.next_heartbeat_at,
            _ => self.election_due_at,
        }
    }

    /// All that has to leave after a step.
    pub(crate) fn take_output(&mut self) -> RaftOutput {
        let writing = (!self.unwritten_records.is_empty()).then(|| {
            self.writes_started += 1;
            self.log.begin_write(self.writes_started);
            LogWrite {
                sequence: self.writes_started,
                replaces_file: std::mem::take(&mut self.rewrite_pending),
                records: std::mem::take(&mut self.unwritten_records),
            }
        });
        if self.injected_fault == Some(InjectedFault::NoSync) && writing.is_some() {
            self.handle_write_done(0, self.writes_started);
        }
        let mut committed = Vec::new();
        while self.last_applied < self.commit_index {
            let Some(entry) = self.log.entry(self.last_applied + 1) else { break };
            committed.push(entry.clone());
            self.last_applied += 1;
        }
        let sends = std::mem::take(&mut self.outbox);
        RaftOutput {
            messages: sends,
            write: writing,
            committed,
            restored_snapshot: self.restored_snapshot.take(),
        }
    }

    fn store(&mut self, kept: RecordKind) {
        self.unwritten_records.push(record(kept));
    }

    fn store_vote(&mut self) {
        self.store(RecordKind::Vote(Vote { term: self.term, voted_for: self.voted_for }));
    }

    /// Says something that promises what is not kept yet.
    fn promise(&mut self, to: MemberId, body: Body) {
        let needed = self.writes_started + u64::from(!self.unwritten_records.is_empty());
        if needed <= self.writes_done {
            self.outbox.push((to, body));
        } else {
            self.held_messages.push_back((needed, to, body));
        }
    }

    /// A write is done, and with it all before it.
    pub(crate) fn handle_write_done(&mut self, now: Nanos, number: u64) {
        if self.storage_failed {
            return;
        }
        self.writes_done = self.writes_done.max(number);
        self.log.finish_write(number);
        while self.held_messages.front().is_some_and(|(needed, ..)| *needed <= self.writes_done) {
            if let Some((_, to, body)) = self.held_messages.pop_front() {
                self.outbox.push((to, body));
            }
        }
        match &mut self.role {
            Role::Candidate { votes: granted, .. }
                if self.writes_started == self.writes_done && self.unwritten_records.is_empty() =>
            {
                granted.insert(self.id);
                self.count_votes(now);
            }
            Role::Leader(_) => self.advance_commit(now),
            _ => {
                if let Some(leader) = self.leader.filter(|_| self.match_index > 0) {
                    let index = self.match_index.min(self.log.stored_index());
                    self.outbox.push((
                        leader,
                        Body::AppendResponse(AppendResponse {
                            term: self.term,
                            success: true,
                            index,
                            heartbeat_round: 0,
                        }),
                    ));
                }
            }
        }
    }

    /// The disk does not keep what it is given: from now on this one neither leads, votes nor confirms.
    pub(crate) fn fail_storage(&mut self) {
        self.storage_failed = true;
        self.held_messages.clear();
        self.role = Role::Follower;
        self.leader = None;
    }

    pub(crate) fn tick(&mut self, now: Nanos) {
        if self.storage_failed {
            self.election_due_at = now + self.timing.election_timeout();
            return;
        }
        if let Role::Leader(lead) = &self.role {
            if now < lead.next_heartbeat_at {
                return;
            }
            // A leader that no quorum answers cannot know whether it still is one.
            if now
                > lead.quorum_contact_at.unwrap_or(lead.elected_at)
                    + self.timing.election_timeout()
                    + self.timing.heartbeat_interval()
                && !self.is_sole_voter()
            {
                return self.become_follower(now, self.term, None);
            }
            self.send_heartbeats(now);
        } else if now >= self.election_due_at {
            self.election_due_at = now + self.randomized_timeout();
            if seat(&self.configuration(), self.id) {
                self.start_election(now, true);
            }
        }
    }

    fn is_sole_voter(&self) -> bool {
        let seats = self.configuration();
        seats.voters.len() == 1 && seat(&seats, self.id)
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
        self.election_due_at = now + self.randomized_timeout();
    }

    fn voters(&self) -> Vec<MemberId> {
        self.configuration().voters.iter().map(|seat| seat.id).collect()
    }

    fn other_members(&self) -> Vec<MemberId> {
        let seats = self.configuration();
        let all = seats.voters.iter().chain(&seats.learners).map(|seat| seat.id);
        all.filter(|&number| number != self.id).collect()
    }

    fn start_election(&mut self, now: Nanos, pre: bool) {
        self.leader = None;
        let mut term = self.term + 1;
        let mut granted = BTreeSet::new();
        if pre {
            granted.insert(self.id);
        } else {
            self.term = term;
            self.voted_for = Some(self.id);
            self.match_index = 0;
            self.store_vote();
            term = self.term;
        }
        self.role = Role::Candidate { pre_vote: pre, votes: granted };
        let (last_index, last_term) = self.log.last_index_and_term();
        let me = self.id;
        for to in self.voters().into_iter().filter(|&to| to != me) {
            let ask = Body::RequestVote(RequestVote {
                term,
                last_log_index: last_index,
                last_log_term: last_term,
                pre_vote: pre,
            });
            if pre {
                self.outbox.push((to, ask));
            } else {
                self.promise(to, ask);
            }
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Nanos) {
        let voters = self.voters();
        let Role::Candidate { pre_vote: pre, votes: granted } = &self.role else { return };
        let yes = voters.iter().filter(|voter| granted.contains(voter)).count();
        if 2 * yes <= voters.len() {
            return;
        }
        if *pre {
            self.start_election(now, false);
        } else {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Nanos) {
        let next = self.log.last_index_and_term().0 + 1;
        let fresh =
            |number: MemberId| (number, FollowerProgress { next_index: next, ..FollowerProgress::default() });
        let followers = self.other_members().into_iter().map(fresh).collect();
        let (left, held) = (VecDeque::new(), None);
        self.role = Role::Leader(LeaderState {
            followers,
            heartbeat_round: 0,
            unacknowledged_rounds: left,
            quorum_contact_at: held,
            elected_at: now,
            next_heartbeat_at: now,
        });
        self.leader = Some(self.id);
        self.append(None, None);
        self.send_heartbeats(now);
    }

    fn append(&mut self, command: Option<Command>, seats: Option<Configuration>) -> LogIndex {
        let index = self.log.last_index_and_term().0 + 1;
        let entry = Entry { index, term: self.term, command, configuration: seats };
        self.log.append(entry.clone());
        self.store(RecordKind::Entry(entry));
        index
    }

    /// For the leader: one more command. Nothing where it does not lead.
    pub(crate) fn propose(&mut self, now: Nanos, command: Command) -> Option<LogIndex> {
        if !matches!(self.role, Role::Leader(_)) || self.storage_failed {
            return None;
        }
        let index = self.append(Some(command), None);
        self.replicate(now);
        Some(index)
    }

    /// Does a request stand in the log and wait to be committed?
    pub(crate) fn has_uncommitted(&self, request: u64) -> bool {
        let waiting = self.log.entries_from(self.commit_index + 1).iter();
        waiting.filter_map(|entry| entry.command.as_ref()).any(|command| command.request_id == request)
    }

    /// For the leader: one seat more or less. Errors: why not now.
    pub(crate) fn change_configuration(
        &mut self,
        now: Nanos,
        wanted: Configuration,
    ) -> Result<LogIndex, &'static str> {
        if !self.is_leader() {
            return Err("it has committed nothing in its term yet");
        }
        let (at, seats) = self.log.latest_configuration();
        if at > self.commit_index {
            return Err("another change of seats is under way");
        }
        let set = |seats: &Configuration| seats.voters.iter().map(|seat| seat.id).collect::<BTreeSet<_>>();
        if set(&seats).symmetric_difference(&set(&wanted)).count() > 1 || wanted.voters.is_empty() {
            return Err("one voter at a time");
        }
        let index = self.append(None, Some(wanted));
        let others = self.other_members();
        let next = self.log.last_index_and_term().0;
        if let Role::Leader(lead) = &mut self.role {
            lead.followers.retain(|number, _| others.contains(number));
            for number in others {
                lead.followers
                    .entry(number)
                    .or_insert(FollowerProgress { next_index: next, ..FollowerProgress::default() });
            }
        }
        self.replicate(now);
        Ok(index)
    }

    /// Does a learner have nearly all, so that its vote would hold nobody up?
    pub(crate) fn is_caught_up(&self, number: MemberId) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        lead.followers.get(&number).is_some_and(|follower| {
            follower.match_index + self.timing.max_batch_entries() as u64 > self.commit_index
                && follower.match_index > 0
        })
    }

    /// The next learner that could vote by now.
    pub(crate) fn learner_ready_to_vote(&self) -> Option<MemberAddress> {
        let (at, seats) = self.log.latest_configuration();
        seats.learners.into_iter().find(|seat| at <= self.commit_index && self.is_caught_up(seat.id))
    }

    fn send_heartbeats(&mut self, now: Nanos) {
        let beat = self.timing.heartbeat_interval();
        let Role::Leader(lead) = &mut self.role else { return };
        lead.next_heartbeat_at = now + beat;
        lead.heartbeat_round += 1;
        lead.unacknowledged_rounds.push_back((lead.heartbeat_round, now));
        let all: Vec<MemberId> = lead.followers.keys().copied().collect();
        for to in all {
            self.send_entries(now, to, true);
        }
        // With nobody else to answer, one's own word is a quorum.
        self.advance_commit(now);
    }

    fn replicate(&mut self, now: Nanos) {
        let Role::Leader(lead) = &self.role else { return };
        let all: Vec<MemberId> = lead.followers.keys().copied().collect();
        for to in all {
            self.send_entries(now, to, false);
        }
    }

    /// What a follower lacks, if nothing is under way to it; else, where `beat`, a sign of life.
    fn send_entries(&mut self, now: Nanos, to: MemberId, beat: bool) {
        let resend = self.timing.retransmit_interval();
        let (last, base) = (self.log.last_index_and_term().0, self.log.snapshot().last_included_index);
        let Role::Leader(lead) = &mut self.role else { return };
        let round = lead.heartbeat_round;
        let Some(follower) = lead.followers.get_mut(&to) else { return };
        let due = follower.in_flight_since.is_none_or(|sent| now >= sent + resend);
        let lacks = follower.next_index <= last;
        if !(beat || lacks && due) {
            return;
        }
        if follower.next_index <= base && due {
            follower.in_flight_since = Some(now);
            let snapshot =
                Snapshot { term: self.term, heartbeat_round: round, ..self.log.snapshot().clone() };
            return self.outbox.push((to, Body::InstallSnapshot(snapshot)));
        }
        let prev_log_index = follower.next_index.max(base + 1) - 1;
        let entries: Vec<Entry> = if lacks && due {
            self.log
                .entries_from(follower.next_index)
                .iter()
                .take(self.timing.max_batch_entries())
                .cloned()
                .collect()
        } else {
            Vec::new()
        };
        if !entries.is_empty() {
            follower.in_flight_since = Some(now);
        }
        let prev_log_term = self.log.term_at(prev_log_index).unwrap_or(0);
        let append = AppendEntries {
            term: self.term,
            prev_log_index,
            prev_log_term,
            entries,
            leader_commit: self.commit_index,
            heartbeat_round: round,
        };
        self.outbox.push((to, Body::AppendEntries(append)));
    }

    /// Commits what a quorum keeps, and notes how long a quorum has held to this leader.
    fn advance_commit(&mut self, now: Nanos) {
        let (voters, stored, term) = (self.voters(), self.log.stored_index(), self.term);
        let any_term = self.injected_fault == Some(InjectedFault::CommitOldTerm);
        let Role::Leader(lead) = &mut self.role else { return };
        let mut kept: Vec<LogIndex> = Vec::new();
        let mut rounds: Vec<u64> = Vec::new();
        for voter in &voters {
            let follower = lead.followers.get(voter);
            kept.push(if *voter == self.id {
                stored
            } else {
                follower.map_or(0, |follower| follower.match_index)
            });
            rounds.push(if *voter == self.id {
                lead.heartbeat_round
            } else {
                follower.map_or(0, |follower| follower.acknowledged_round)
            });
        }
        kept.sort_unstable();
        rounds.sort_unstable();
        let quorum = (voters.len().max(1) - 1) / 2;
        let (index, round) =
            (kept.get(quorum).copied().unwrap_or(0), rounds.get(quorum).copied().unwrap_or(0));
        while lead.unacknowledged_rounds.front().is_some_and(|(of, _)| *of <= round) {
            if let Some((_, at)) = lead.unacknowledged_rounds.pop_front() {
                lead.quorum_contact_at = lead.quorum_contact_at.max(Some(at));
            }
        }
        if index > self.commit_index && (any_term || self.log.term_at(index) == Some(term)) {
            self.commit_index = index;
            // Out by its own entry: the rest elect another.
            let (at, seats) = self.log.latest_configuration();
            let followers: Vec<MemberId> = match &self.role {
                Role::Leader(lead) => lead.followers.keys().copied().collect(),
                _ => Vec::new(),
            };
            for to in followers {
                self.send_entries(now, to, true);
            }
            if at <= index && !seat(&seats, self.id) {
                self.become_follower(now, term, None);
            }
        }
    }

    /// A message of the log.
    pub(crate) fn handle_message(&mut self, now: Nanos, from: MemberId, body: Body) {
        if self.storage_failed {
            return;
        }
        match body {
            Body::RequestVote(ask) => self.handle_vote_request(now, from, &ask),
            Body::VoteResponse(voted) => self.handle_vote_response(now, from, &voted),
            Body::AppendEntries(append) => self.handle_append(now, from, append),
            Body::AppendResponse(appended) => self.appended(now, from, &appended),
            Body::InstallSnapshot(snapshot) => self.handle_snapshot(now, from, snapshot),
            _ => {}
        }
    }

    fn handle_vote_request(&mut self, now: Nanos, from: MemberId, ask: &RequestVote) {
        // While a leader may still hold its lease by this one's word, that word is not given to another.
        let bound = match &self.role {
            Role::Leader(_) => ask.pre_vote || self.holds_quorum(now),
            _ => now < self.leader_heard_at + self.timing.election_timeout(),
        };
        if bound {
            return;
        }
        let fits = (ask.last_log_term, ask.last_log_index)
            >= (self.log.last_index_and_term().1, self.log.last_index_and_term().0);
        if ask.pre_vote {
            let granted = fits && ask.term > self.term;
            let term = if granted { ask.term } else { self.term };
            return self
                .outbox
                .push((from, Body::VoteResponse(VoteResponse { term, pre_vote: true, granted })));
        }
        if ask.term > self.term {
            self.become_follower(now, ask.term, None);
        }
        let granted = ask.term == self.term
            && fits
            && self.voted_for.is_none_or(|voted| voted == from)
            && !self.is_leader_role();
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.store_vote();
            self.election_due_at = now + self.randomized_timeout();
        }
        self.promise(from, Body::VoteResponse(VoteResponse { term: self.term, pre_vote: false, granted }));
    }

    fn is_leader_role(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    fn handle_vote_response(&mut self, now: Nanos, from: MemberId, voted: &VoteResponse) {
        if voted.term > self.term + 1 || (voted.term > self.term && !voted.granted) {
            return self.become_follower(now, voted.term, None);
        }
        let Role::Candidate { pre_vote: pre, votes: granted } = &mut self.role else { return };
        let asked_for = if *pre { self.term + 1 } else { self.term };
        if voted.granted && voted.pre_vote == *pre && voted.term == asked_for {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    fn reject_append(&mut self, to: MemberId, index: LogIndex, round: u64) {
        self.outbox.push((
            to,
            Body::AppendResponse(AppendResponse {
                term: self.term,
                success: false,
                index,
                heartbeat_round: round,
            }),
        ));
    }

    fn accept_leader(&mut self, now: Nanos, from: MemberId, term: u64) -> bool {
        if term < self.term {
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.leader_heard_at = now;
        true
    }

    fn handle_append(&mut self, now: Nanos, from: MemberId, append: AppendEntries) {
        if !self.accept_leader(now, from, append.term) {
            return self.reject_append(from, 0, append.heartbeat_round);
        }
        let base = self.log.snapshot().last_included_index;
        if append.prev_log_index > self.log.last_index_and_term().0 {
            return self.reject_append(from, self.log.last_index_and_term().0, append.heartbeat_round);
        }
        if append.prev_log_index >= base
            && self.log.term_at(append.prev_log_index) != Some(append.prev_log_term)
        {
            let begin = self.log.first_index_of_term(append.prev_log_index);
            return self.reject_append(from, (begin - 1).max(base), append.heartbeat_round);
        }
        let reach = append.prev_log_index + append.entries.len() as u64;
        for entry in append.entries {
            let known = entry.index <= base || self.log.term_at(entry.index) == Some(entry.term);
            if known {
                continue;
            }
            if entry.index <= self.commit_index {
                // It would undo what is committed: the sender is no leader of this log.
                return self.fail_storage();
            }
            self.log.append(entry.clone());
            self.store(RecordKind::Entry(entry));
        }
        self.match_index = self.match_index.max(reach);
        self.commit_index = self.commit_index.max(append.leader_commit.min(self.match_index));
        let index = self.match_index.min(self.log.stored_index());
        let answer =
            AppendResponse { term: self.term, success: true, index, heartbeat_round: append.heartbeat_round };
        self.outbox.push((from, Body::AppendResponse(answer)));
    }

    fn handle_snapshot(&mut self, now: Nanos, from: MemberId, snapshot: Snapshot) {
        if !self.accept_leader(now, from, snapshot.term) {
            return self.reject_append(from, 0, snapshot.heartbeat_round);
        }
        let round = snapshot.heartbeat_round;
        self.match_index = self.match_index.max(snapshot.last_included_index);
        if snapshot.last_included_index > self.commit_index {
            self.log.restore(snapshot.clone());
            self.commit_index = snapshot.last_included_index;
            self.last_applied = snapshot.last_included_index;
            self.rewrite_file();
            self.restored_snapshot = Some(snapshot);
        }
        let index = self.match_index.min(self.log.stored_index());
        self.outbox.push((
            from,
            Body::AppendResponse(AppendResponse {
                term: self.term,
                success: true,
                index,
                heartbeat_round: round,
            }),
        ));
    }

    /// The file anew.
    fn rewrite_file(&mut self) {
        self.rewrite_pending = true;
        self.unwritten_records = vec![
            record(RecordKind::StartCount(self.boot)),
            record(RecordKind::Vote(Vote { term: self.term, voted_for: self.voted_for })),
            record(RecordKind::Snapshot(self.log.snapshot().clone())),
        ];
        self.unwritten_records
            .extend(self.log.entries().iter().map(|entry| record(RecordKind::Entry(entry.clone()))));
    }

    /// All that was carried out up to `index` is in `state`.
    pub(crate) fn compact(&mut self, index: LogIndex, state: Vec<u8>) {
        if index <= self.last_applied && index > self.snapshot_index() && index <= self.log.stored_index() {
            self.log.compact(index, state);
            self.rewrite_file();
        }
    }

    fn appended(&mut self, now: Nanos, from: MemberId, appended: &AppendResponse) {
        if appended.term > self.term {
            return self.become_follower(now, appended.term, None);
        }
        let last = self.log.last_index_and_term().0;
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(follower) = lead.followers.get_mut(&from).filter(|_| appended.term == self.term) else {
            return;
        };
        follower.acknowledged_round = follower.acknowledged_round.max(appended.heartbeat_round);
        if appended.success {
            let index = appended.index.min(last);
            if index > follower.match_index {
                follower.match_index = index;
                follower.in_flight_since = None;
            }
            follower.next_index = follower.next_index.max(follower.match_index + 1);
            self.advance_commit(now);
        } else {
            // A refusal told twice, or of an older message, starts nothing a second time.
            let next = (appended.index + 1).clamp(follower.match_index + 1, last + 1);
            if next >= follower.next_index {
                return;
            }
            (follower.next_index, follower.in_flight_since) = (next, None);
        }
        self.send_entries(now, from, false);
    }
}
