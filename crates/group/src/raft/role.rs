//! Roles of a member in the log, and a leader's state of each follower.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel::interface::Nanos;

use crate::wire::{LogIndex, MemberId};

/// Role of a member in Raft.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Requests votes for itself. `votes` contains the members that have granted theirs.
    Candidate { vote_kind: VoteKind, votes: BTreeSet<MemberId> },
    /// Leads the current term.
    Leader(LeaderState),
}

/// Kind of vote that a candidate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VoteKind {
    /// Asks whether the receiver would grant its vote. The answer does not bind the receiver and no term is increased,
    /// so a member that returns from a network partition does not depose the leader.
    PreVote,
    /// Asks for the receiver's vote in the candidate's term.
    Vote,
}

impl VoteKind {
    pub fn is_pre_vote(self) -> bool {
        self == VoteKind::PreVote
    }
}

/// Replication progress of one follower, as its leader knows it.
#[derive(Debug)]
pub(super) struct FollowerProgress {
    /// Index of the next entry to be sent.
    pub next_index: LogIndex,
    /// Index up to which the follower's log is synced and agrees with the leader's.
    pub match_index: LogIndex,
    /// Number of the newest heartbeat that the follower has acknowledged.
    pub acknowledged_round: u64,
    /// When the unacknowledged entries or snapshot were last sent; `None` if there are none.
    pub in_flight_since: Option<Nanos>,
}

impl FollowerProgress {
    pub fn new(next_index: LogIndex) -> Self {
        FollowerProgress { next_index, match_index: 0, acknowledged_round: 0, in_flight_since: None }
    }
}

#[derive(Debug)]
struct SentRound {
    round: u64,
    sent_at: Nanos,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub followers: BTreeMap<MemberId, FollowerProgress>,
    pub heartbeat_round: u64,
    /// Heartbeats that a quorum has not acknowledged yet.
    unacknowledged_rounds: VecDeque<SentRound>,
    /// When the newest heartbeat that a quorum has acknowledged was sent. Votes do not count, since they do not keep
    /// the voters from electing another leader.
    pub quorum_contact_at: Option<Nanos>,
    pub elected_at: Nanos,
    pub next_heartbeat_at: Nanos,
}

impl LeaderState {
    /// State of a new leader that is elected now and whose next entry will have the index `next_index`.
    pub fn new(now: Nanos, others: impl IntoIterator<Item = MemberId>, next_index: LogIndex) -> Self {
        let followers = others.into_iter().map(|member| (member, FollowerProgress::new(next_index)));
        LeaderState {
            followers: followers.collect(),
            heartbeat_round: 0,
            unacknowledged_rounds: VecDeque::new(),
            quorum_contact_at: None,
            elected_at: now,
            next_heartbeat_at: now,
        }
    }

    pub fn begin_round(&mut self, now: Nanos) {
        self.heartbeat_round += 1;
        let round = SentRound { round: self.heartbeat_round, sent_at: now };
        self.unacknowledged_rounds.push_back(round);
    }

    /// Records that a quorum has acknowledged this heartbeat and all heartbeats before it.
    pub fn acknowledge_round(&mut self, round: u64) {
        while self.unacknowledged_rounds.front().is_some_and(|sent| sent.round <= round) {
            if let Some(sent) = self.unacknowledged_rounds.pop_front() {
                self.quorum_contact_at = self.quorum_contact_at.max(Some(sent.sent_at));
            }
        }
    }
}

/// The highest value that a majority of the given values has reached.
pub(super) fn quorum_value(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    let minority = (values.len().max(1) - 1) / 2;
    values.get(minority).copied().unwrap_or(0)
}
