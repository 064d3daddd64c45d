//! Random walks of the replicated log alone. Messages have no delays; time only advances to start elections and send
//! heartbeats. This covers far more interleavings than a network with delays, such as entries that an earlier leader
//! replicated to a few members and a later leader replicates to the others.

use std::collections::BTreeMap;

use oorandom::Rand64;
use thiserror::Error;

use super::Raft;
use crate::fault::InjectedFault;
use crate::storage::StoredLog;
use crate::timing::{Timing, TimingSettings};
use crate::wire::{
    Body, Command, CommandPayload, Configuration, LogIndex, MemberAddress, MemberId, RecordKind,
    ReleaseOrder, StoredRecord,
};

const ELECTION_TIMEOUT: u64 = 1_000_000_000;

/// Term and request id of an entry, which identify its content.
type EntryIdentity = (u64, u64);

#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum WalkError {
    #[error("entry {index} was committed as {first:?} and then as {second:?}")]
    CommittedTwice { index: LogIndex, first: EntryIdentity, second: EntryIdentity },
    #[error("two leaders in term {term}")]
    TwoLeaders { term: u64 },
    #[error("{candidate} was not elected")]
    NotElected { candidate: MemberId },
    #[error("nothing was committed")]
    NothingCommitted,
}

struct WalkMember {
    raft: Option<Raft>,
    stored: Vec<StoredRecord>,
}

struct MessageInFlight {
    from: MemberId,
    to: MemberId,
    body: Body,
}

struct RandomWalk {
    now: u64,
    seed: u64,
    rng: Rand64,
    members: Vec<WalkMember>,
    in_flight: Vec<MessageInFlight>,
    committed: BTreeMap<LogIndex, EntryIdentity>,
    leaders: BTreeMap<u64, MemberId>,
    injected_fault: Option<InjectedFault>,
    last_request_id: u64,
}

fn recover(records: &[StoredRecord], members: MemberId) -> StoredLog {
    let mut log = StoredLog::default();
    let voter = |id| MemberAddress { id, address: String::new() };
    log.snapshot.configuration =
        Some(Configuration { voters: (0..members).map(voter).collect(), learners: Vec::new() });
    for record in records {
        match record.kind.clone() {
            Some(RecordKind::StartCount(start_count)) => log.start_count = start_count,
            Some(RecordKind::Vote(vote)) => log.vote = vote,
            Some(RecordKind::Entry(entry)) => {
                log.entries.retain(|old| old.index < entry.index);
                log.entries.push(entry);
            }
            _ => {}
        }
    }
    log
}

impl RandomWalk {
    fn new(seed: u64, members: usize, injected_fault: Option<InjectedFault>) -> Self {
        let mut walk = RandomWalk {
            now: 10 * ELECTION_TIMEOUT,
            seed,
            rng: Rand64::new(seed.into()),
            members: (0..members).map(|_| WalkMember { raft: None, stored: Vec::new() }).collect(),
            in_flight: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            injected_fault,
            last_request_id: 0,
        };
        (0..members).for_each(|at| walk.start(at));
        walk.now += 4 * ELECTION_TIMEOUT;
        walk
    }

    fn start(&mut self, at: usize) {
        let settings = TimingSettings {
            election_timeout: ELECTION_TIMEOUT,
            max_clock_drift: 0.0,
            tenure: 0,
            max_in_flight: 0,
            max_batch_entries: 1,
        };
        let stored = recover(&self.members[at].stored, self.members.len() as MemberId);
        let timing = Timing::new(settings);
        let raft = Raft::new(at as MemberId, self.now, stored, timing, self.seed, self.injected_fault);
        self.members[at].raft = Some(raft);
    }

    /// Processes the output of a member's step. Writes are synced at once.
    fn process_output(&mut self, at: usize) -> Result<(), WalkError> {
        loop {
            let Some(raft) = &mut self.members[at].raft else { return Ok(()) };
            let output = raft.take_output();
            if output.messages.is_empty() && output.write.is_none() && output.committed.is_empty() {
                break;
            }
            if let Some(write) = output.write {
                raft.handle_write_done(self.now, write.sequence);
                self.members[at].stored.extend(write.records);
            }
            let from = at as MemberId;
            let messages = output.messages.into_iter();
            self.in_flight.extend(messages.map(|(to, body)| MessageInFlight { from, to, body }));
            for entry in output.committed {
                let request_id = entry.command.as_ref().map_or(0, |command| command.request_id);
                self.check_committed(entry.index, (entry.term, request_id))?;
            }
        }
        self.check_leader(at as MemberId)
    }

    fn check_committed(&mut self, index: LogIndex, second: EntryIdentity) -> Result<(), WalkError> {
        let first = *self.committed.entry(index).or_insert(second);
        if first != second {
            return Err(WalkError::CommittedTwice { index, first, second });
        }
        Ok(())
    }

    fn check_leader(&mut self, member: MemberId) -> Result<(), WalkError> {
        let Some(raft) = &self.members[member as usize].raft else { return Ok(()) };
        if raft.leader() != Some(member) {
            return Ok(());
        }
        let term = raft.term();
        let leader = *self.leaders.entry(term).or_insert(member);
        if leader != member {
            return Err(WalkError::TwoLeaders { term });
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), WalkError> {
        let at = self.rng.rand_range(0..self.members.len() as u64) as usize;
        match self.rng.rand_range(0..100) {
            0..=79 if !self.in_flight.is_empty() => self.deliver_any(),
            80 if !self.in_flight.is_empty() => {
                let kept = self.rng.rand_range(0..self.in_flight.len() as u64 + 1) as usize;
                self.in_flight.truncate(kept);
                Ok(())
            }
            81..=87 => self.propose(at as MemberId),
            // Long enough that this member starts an election and no voter is bound to a leader.
            88..=90 => self.tick_after(at, 4 * ELECTION_TIMEOUT),
            91..=96 => self.tick_after(at, ELECTION_TIMEOUT / 5),
            _ => {
                self.members[at].raft = None;
                self.start(at);
                // A restarted member does not vote for an election timeout; this skips that time.
                self.now += 2 * ELECTION_TIMEOUT;
                Ok(())
            }
        }
    }

    fn deliver_any(&mut self) -> Result<(), WalkError> {
        let which = self.rng.rand_range(0..self.in_flight.len() as u64) as usize;
        let message = self.in_flight.swap_remove(which);
        self.deliver(message)
    }

    fn deliver(&mut self, message: MessageInFlight) -> Result<(), WalkError> {
        let to = message.to as usize;
        let Some(raft) = &mut self.members[to].raft else { return Ok(()) };
        raft.handle_message(self.now, message.from, message.body);
        self.process_output(to)
    }

    fn tick_after(&mut self, at: usize, span: u64) -> Result<(), WalkError> {
        self.now += span;
        if let Some(raft) = &mut self.members[at].raft {
            raft.tick(self.now);
        }
        self.process_output(at)
    }

    fn propose(&mut self, at: MemberId) -> Result<(), WalkError> {
        self.last_request_id += 1;
        let payload = Some(CommandPayload::ReleaseOrder(ReleaseOrder { order_index: 0 }));
        let command = Command { request_id: self.last_request_id, payload };
        if let Some(raft) = &mut self.members[at as usize].raft {
            raft.propose(self.now, command);
        }
        self.process_output(at as usize)
    }

    /// Delivers the messages between these members for which `is_delivered` is true, until none is left, and drops all
    /// other messages.
    fn deliver_between(
        &mut self,
        members: &[MemberId],
        is_delivered: fn(&Body) -> bool,
    ) -> Result<(), WalkError> {
        while !self.in_flight.is_empty() {
            let message = self.in_flight.remove(0);
            let between = members.contains(&message.from) && members.contains(&message.to);
            if between && is_delivered(&message.body) {
                self.deliver(message)?;
            }
        }
        Ok(())
    }

    fn elect(&mut self, candidate: MemberId, voters: &[MemberId]) -> Result<(), WalkError> {
        for _ in 0..4 {
            self.tick_after(candidate as usize, 4 * ELECTION_TIMEOUT)?;
            self.deliver_between(voters, is_vote_message)?;
            let raft = self.members[candidate as usize].raft.as_ref();
            if raft.is_some_and(|raft| raft.leader() == Some(candidate)) {
                return Ok(());
            }
        }
        Err(WalkError::NotElected { candidate })
    }

    fn replicate(
        &mut self,
        leader: MemberId,
        to: &[MemberId],
        is_delivered: fn(&Body) -> bool,
    ) -> Result<(), WalkError> {
        // Several rounds, since the leader sends earlier entries to a follower that rejects.
        for _ in 0..4 {
            self.tick_after(leader as usize, ELECTION_TIMEOUT / 4)?;
            self.deliver_between(to, is_delivered)?;
        }
        Ok(())
    }
}

fn is_vote_message(body: &Body) -> bool {
    matches!(body, Body::RequestVote(_) | Body::VoteResponse(_))
}

/// Runs a random walk and returns the number of entries that were committed.
fn walk(seed: u64, members: usize, steps: u32) -> usize {
    let mut walk = RandomWalk::new(seed, members, None);
    for _ in 0..steps {
        walk.step().unwrap_or_else(|error| panic!("walk {seed}: {error}"));
    }
    walk.committed.len()
}

#[test]
fn committed_entries_stay_committed_on_random_walks() {
    let committed: usize = (0..1500).map(|seed| walk(seed, 5, 400)).sum();
    // Shows that the walks committed enough entries to check.
    assert!(committed > 1500 * 2, "{committed}");
}

/// Figure 8 of the Raft paper: a quorum stores an entry of an earlier term, but a member without it is elected later.
/// Returns the entry that is finally committed at index 2.
fn figure_8(injected_fault: Option<InjectedFault>) -> Result<EntryIdentity, WalkError> {
    let mut walk = RandomWalk::new(8, 5, injected_fault);
    walk.elect(0, &[0, 1, 2])?;
    walk.replicate(0, &[0, 1, 2, 3, 4], |_| true)?;
    // The second entry of the first term reaches one other member before the leader is partitioned.
    walk.propose(0)?;
    walk.deliver_between(&[0, 1], |_| true)?;
    walk.elect(4, &[2, 3, 4])?;
    // The first leader is elected again and replicates its old entry to a quorum, but no entry of its new term.
    walk.elect(0, &[0, 1, 2])?;
    let only_old_entries = |body: &Body| match body {
        Body::AppendEntries(append) => {
            append.leader_commit < 2 && append.entries.iter().all(|entry| entry.index < 3)
        }
        _ => true,
    };
    walk.replicate(0, &[0, 1, 2], only_old_entries)?;
    walk.elect(4, &[2, 3, 4])?;
    walk.replicate(4, &[2, 3, 4], |_| true)?;
    walk.committed.get(&2).copied().ok_or(WalkError::NothingCommitted)
}

/// Guards against a leader that commits an earlier term's entry because a quorum stores it: a later leader without the
/// entry would then replace a committed entry.
#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    assert_eq!(figure_8(None), Ok((2, 0)));
    let found = figure_8(Some(InjectedFault::CommitEarlierTerm));
    assert_eq!(found, Err(WalkError::CommittedTwice { index: 2, first: (1, 1), second: (2, 0) }));
}
