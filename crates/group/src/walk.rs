//! Random walks of the log alone, without time but for elections: far more interleavings than a timed network meets,
//! such as entries that an earlier leader left with few, which a later one spreads.

use std::collections::BTreeMap;

use oorandom::Rand64;

use crate::fault::InjectedFault;
use crate::raft::Raft;
use crate::storage::StoredLog;
use crate::timing::{Timing, TimingSettings};
use crate::wire::{
    Body, Command, CommandPayload, Configuration, MemberAddress, MemberId, RecordKind, ReleaseOrder,
    StoredRecord,
};

const ELECTION: u64 = 1_000_000_000;

struct Walker {
    raft: Option<Raft>,
    kept: Vec<StoredRecord>,
}

struct Walk {
    now: u64,
    seed: u64,
    rng: Rand64,
    walkers: Vec<Walker>,
    under_way: Vec<(MemberId, MemberId, Body)>,
    committed: BTreeMap<u64, (u64, u64)>,
    leaders: BTreeMap<u64, MemberId>,
    injected_fault: Option<InjectedFault>,
    requests: u64,
}

fn recover(kept: &[StoredRecord], nodes: MemberId) -> StoredLog {
    let mut found = StoredLog::default();
    let seat = |number| MemberAddress { id: number, address: String::new() };
    found.snapshot.configuration =
        Some(Configuration { voters: (0..nodes).map(seat).collect(), learners: Vec::new() });
    for record in kept {
        match record.kind.clone() {
            Some(RecordKind::StartCount(boot)) => found.start_count = boot,
            Some(RecordKind::Vote(vote)) => found.vote = vote,
            Some(RecordKind::Entry(entry)) => {
                found.entries.retain(|old| old.index < entry.index);
                found.entries.push(entry);
            }
            _ => {}
        }
    }
    found
}

impl Walk {
    fn start(&mut self, at: usize) {
        let told = TimingSettings {
            election_timeout: ELECTION,
            max_clock_drift: 0.0,
            tenure: 0,
            max_in_flight: 0,
            max_batch_entries: 1,
        };
        let kept = recover(&self.walkers[at].kept, self.walkers.len() as MemberId);
        let raft =
            Raft::new(at as MemberId, self.now, kept, Timing::new(told), self.seed, self.injected_fault);
        self.walkers[at].raft = Some(raft);
    }

    /// Carries out what a step brought about; what is to be kept is kept at once.
    fn settle(&mut self, at: usize) -> Result<(), String> {
        loop {
            let Some(raft) = &mut self.walkers[at].raft else { return Ok(()) };
            let turn = raft.take_output();
            if turn.messages.is_empty() && turn.write.is_none() && turn.committed.is_empty() {
                break;
            }
            if let Some(writing) = turn.write {
                raft.handle_write_done(self.now, writing.sequence);
                self.walkers[at].kept.extend(writing.records);
            }
            self.under_way.extend(turn.messages.into_iter().map(|(to, body)| (at as MemberId, to, body)));
            for entry in turn.committed {
                let request = entry.command.as_ref().map_or(0, |command| command.request_id);
                let agreed = *self.committed.entry(entry.index).or_insert((entry.term, request));
                if agreed != (entry.term, request) {
                    return Err(format!(
                        "entry {} was committed as {agreed:?}, now as {:?}",
                        entry.index,
                        (entry.term, request)
                    ));
                }
            }
        }
        if let Some(raft) = &self.walkers[at].raft {
            if raft.leader() == Some(at as MemberId) {
                let leader = *self.leaders.entry(raft.term()).or_insert(at as MemberId);
                if leader != at as MemberId {
                    return Err(format!("two leaders in term {}", raft.term()));
                }
            }
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        let at = self.rng.rand_range(0..self.walkers.len() as u64) as usize;
        match self.rng.rand_range(0..100) {
            0..=79 if !self.under_way.is_empty() => {
                let which = self.rng.rand_range(0..self.under_way.len() as u64) as usize;
                let (from, to, body) = self.under_way.swap_remove(which);
                if let Some(raft) = &mut self.walkers[to as usize].raft {
                    raft.handle_message(self.now, from, body);
                    return self.settle(to as usize);
                }
            }
            80 if !self.under_way.is_empty() => {
                let keep = self.rng.rand_range(0..self.under_way.len() as u64 + 1) as usize;
                self.under_way.truncate(keep);
            }
            81..=87 => {
                return self.propose(at as MemberId);
            }
            88..=90 => {
                // So much silence that this one stands for election, and those it asks are bound to nobody.
                self.now += 4 * ELECTION;
                if let Some(raft) = &mut self.walkers[at].raft {
                    raft.tick(self.now);
                    return self.settle(at);
                }
            }
            91..=96 => {
                self.now += ELECTION / 5;
                if let Some(raft) = &mut self.walkers[at].raft {
                    raft.tick(self.now);
                    return self.settle(at);
                }
            }
            _ => {
                self.walkers[at].raft = None;
                self.start(at);
                // Whoever starts waits before it votes; here that time is over at once.
                self.now += 2 * ELECTION;
            }
        }
        Ok(())
    }

    fn propose(&mut self, at: MemberId) -> Result<(), String> {
        self.requests += 1;
        let payload = Some(CommandPayload::ReleaseOrder(ReleaseOrder { order_index: 0 }));
        let command = Command { request_id: self.requests, payload };
        if let Some(raft) = &mut self.walkers[at as usize].raft {
            raft.propose(self.now, command);
        }
        self.settle(at as usize)
    }

    fn new(seed: u64, nodes: usize, injected_fault: Option<InjectedFault>) -> Self {
        let walkers = (0..nodes).map(|_| Walker { raft: None, kept: Vec::new() }).collect();
        let mut walk = Walk {
            now: 10 * ELECTION,
            seed,
            rng: Rand64::new(seed.into()),
            walkers,
            under_way: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            injected_fault,
            requests: 0,
        };
        (0..nodes).for_each(|at| walk.start(at));
        walk.now += 4 * ELECTION;
        walk
    }
}

fn walk(seed: u64, nodes: usize, steps: u32) -> Result<usize, String> {
    let mut walk = Walk::new(seed, nodes, None);
    for _ in 0..steps {
        walk.step().map_err(|what| format!("walk {seed}: {what}"))?;
    }
    Ok(walk.committed.len())
}

#[test]
fn what_is_committed_stays_on_every_walk() {
    let committed: Result<Vec<usize>, String> = (0..1500).map(|seed| walk(seed, 5, 400)).collect();
    let committed = committed.unwrap();
    // The walks had something to lose.
    assert!(committed.iter().sum::<usize>() > 1500 * 2, "{}", committed.iter().sum::<usize>());
}

/// Delivers what passes between these, of the kinds let through, until nothing is left; the rest is lost.
fn pass(walk: &mut Walk, between: &[MemberId], through: fn(&Body) -> bool) -> Result<(), String> {
    while !walk.under_way.is_empty() {
        let (from, to, body) = walk.under_way.remove(0);
        if between.contains(&from) && between.contains(&to) && through(&body) {
            if let Some(raft) = &mut walk.walkers[to as usize].raft {
                raft.handle_message(walk.now, from, body);
                walk.settle(to as usize)?;
            }
        }
    }
    Ok(())
}

fn votes(body: &Body) -> bool {
    matches!(body, Body::RequestVote(_) | Body::VoteResponse(_))
}

fn elect(walk: &mut Walk, at: MemberId, voters: &[MemberId]) -> Result<(), String> {
    for _ in 0..4 {
        walk.now += 4 * ELECTION;
        let Some(raft) = &mut walk.walkers[at as usize].raft else { break };
        raft.tick(walk.now);
        walk.settle(at as usize)?;
        pass(walk, voters, votes)?;
        if walk.walkers[at as usize].raft.as_ref().is_some_and(|raft| raft.leader() == Some(at)) {
            return Ok(());
        }
    }
    Err(format!("{at} was not elected by {voters:?}"))
}

fn beat(walk: &mut Walk, at: MemberId, to: &[MemberId], through: fn(&Body) -> bool) -> Result<(), String> {
    // Several times: a follower that refuses is tried from further back.
    for _ in 0..4 {
        walk.now += ELECTION / 4;
        if let Some(raft) = &mut walk.walkers[at as usize].raft {
            raft.tick(walk.now);
        }
        walk.settle(at as usize)?;
        pass(walk, to, through)?;
    }
    Ok(())
}

/// Figure 8 of the paper: an entry of an earlier term with a quorum, which a later leader does not have.
fn an_entry_left_behind(injected_fault: Option<InjectedFault>) -> Result<(u64, u64), String> {
    let mut walk = Walk::new(8, 5, injected_fault);
    elect(&mut walk, 0, &[0, 1, 2])?;
    beat(&mut walk, 0, &[0, 1, 2, 3, 4], |_| true)?;
    // The second entry of the first term reaches one other; then this leader is gone.
    walk.propose(0)?;
    pass(&mut walk, &[0, 1], |_| true)?;
    elect(&mut walk, 4, &[2, 3, 4])?;
    // Elected again, it spreads its old entry to a quorum, but nothing of its new term.
    elect(&mut walk, 0, &[0, 1, 2])?;
    let old = |body: &Body| match body {
        Body::AppendEntries(append) => {
            append.leader_commit < 2 && append.entries.iter().all(|entry| entry.index < 3)
        }
        _ => true,
    };
    beat(&mut walk, 0, &[0, 1, 2], old)?;
    elect(&mut walk, 4, &[2, 3, 4])?;
    beat(&mut walk, 4, &[2, 3, 4], |_| true)?;
    walk.committed.get(&2).copied().ok_or_else(|| "nothing was committed".to_owned())
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    assert_eq!(an_entry_left_behind(None), Ok((2, 0)));
    let found = an_entry_left_behind(Some(InjectedFault::CommitOldTerm));
    assert_eq!(found, Err("entry 2 was committed as (1, 1), now as (2, 0)".to_owned()));
}
