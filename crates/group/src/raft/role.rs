//! Roles of a member, and what a leader knows of the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel::interface::Nanos;

use crate::wire::{LogIndex, MemberId};

/// Role of a member of the log.
#[derive(Debug)]
pub(super) enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It stands for election.
    Candidate { ballot: Ballot, votes: BTreeSet<MemberId> },
    /// It leads.
    Leader(LeaderState),
}

/// What a candidate asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ballot {
    /// Whether a vote would be given. It binds nobody and raises no term, so that a member that was cut off deposes
    /// no leader.
    PreVote,
    /// The vote itself.
    Vote,
}

impl Ballot {
    pub fn is_pre_vote(self) -> bool {
        self == Ballot::PreVote
    }
}

/// How far a member has followed a leader.
#[derive(Debug)]
pub(super) struct FollowerProgress {
    /// The next entry to be sent.
    pub next_index: LogIndex,
    /// Synced and in agreement up to here.
    pub match_index: LogIndex,
    /// The newest heartbeat that it acknowledged.
    pub acknowledged_round: u64,
    /// When entries or a snapshot were last sent that are not acknowledged.
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
    /// Heartbeats that no quorum has acknowledged yet.
    unacknowledged_rounds: VecDeque<SentRound>,
    /// When the newest heartbeat was sent that a quorum has acknowledged. Votes do not count: they bind nobody to
    /// this leader.
    pub quorum_contact_at: Option<Nanos>,
    pub elected_at: Nanos,
    pub next_heartbeat_at: Nanos,
}

impl LeaderState {
    /// State of a leader whose next entry has the index `next_index`.
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

    /// A quorum has acknowledged this heartbeat, and with it all before it.
    pub fn acknowledge_round(&mut self, round: u64) {
        while self.unacknowledged_rounds.front().is_some_and(|sent| sent.round <= round) {
            if let Some(sent) = self.unacknowledged_rounds.pop_front() {
                self.quorum_contact_at = self.quorum_contact_at.max(Some(sent.sent_at));
            }
        }
    }
}

/// The highest value that a majority of these has reached.
pub(super) fn quorum_value(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    let minority = (values.len().max(1) - 1) / 2;
    values.get(minority).copied().unwrap_or(0)
}
