//! Elections: pre-votes, votes, and the rule that a voter does not vote while it may be bound to a leader.

use std::collections::BTreeSet;

use shalereel::interface::Nanos;

use super::role::{LeaderState, Role, VoteKind};
use super::Raft;
use crate::wire::{Body, MemberId, RequestVote, VoteResponse};

impl Raft {
    pub(super) fn start_election(&mut self, now: Nanos, vote_kind: VoteKind) {
        self.leader = None;
        let term = self.term + 1;
        let mut votes = BTreeSet::new();
        match vote_kind {
            VoteKind::PreVote => {
                votes.insert(self.id);
            }
            // This member's own vote counts once it is synced.
            VoteKind::Vote => {
                self.term = term;
                self.voted_for = Some(self.id);
                self.match_index = 0;
                self.store_vote();
            }
        }
        self.role = Role::Candidate { vote_kind, votes };
        self.request_votes(term, vote_kind);
        self.count_votes(now);
    }

    fn request_votes(&mut self, term: u64, vote_kind: VoteKind) {
        let request = RequestVote {
            term,
            last_log_index: self.log.last_index(),
            last_log_term: self.log.last_term(),
            pre_vote: vote_kind.is_pre_vote(),
        };
        let own_id = self.id;
        let voters = self.log.configuration().voters;
        for to in voters.iter().map(|voter| voter.id).filter(|&voter| voter != own_id) {
            let body = Body::RequestVote(request.clone());
            match vote_kind {
                VoteKind::PreVote => self.outbox.push((to, body)),
                VoteKind::Vote => self.send_when_stored(to, body),
            }
        }
    }

    pub(super) fn count_votes(&mut self, now: Nanos) {
        let voters = self.log.configuration().voters;
        let Role::Candidate { vote_kind, votes } = &self.role else { return };
        let given = voters.iter().filter(|voter| votes.contains(&voter.id)).count();
        if 2 * given <= voters.len() {
            return;
        }
        match vote_kind {
            VoteKind::PreVote => self.start_election(now, VoteKind::Vote),
            VoteKind::Vote => self.become_leader(now),
        }
    }

    fn become_leader(&mut self, now: Nanos) {
        let next_index = self.log.last_index() + 1;
        self.role = Role::Leader(LeaderState::new(now, self.other_members(), next_index));
        self.leader = Some(self.id);
        // The no-op entry of the new term: committing it also commits all earlier entries.
        self.append(None, None);
        self.send_heartbeats(now);
    }

    /// Whether this member must not vote now. While a leader may rely on this member's acknowledgement for leases, this
    /// member votes for no other candidate.
    fn is_bound(&self, now: Nanos, vote_kind: VoteKind) -> bool {
        match &self.role {
            Role::Leader(_) => vote_kind.is_pre_vote() || self.holds_quorum(now),
            _ => now < self.leader_heard_at + self.timing.election_timeout(),
        }
    }

    pub(super) fn handle_vote_request(&mut self, now: Nanos, from: MemberId, request: &RequestVote) {
        let vote_kind = if request.pre_vote { VoteKind::PreVote } else { VoteKind::Vote };
        if self.is_bound(now, vote_kind) {
            return;
        }
        let own_log = (self.log.last_term(), self.log.last_index());
        let up_to_date = (request.last_log_term, request.last_log_index) >= own_log;
        match vote_kind {
            VoteKind::PreVote => self.answer_pre_vote(from, request.term, up_to_date),
            VoteKind::Vote => self.answer_vote(now, from, request.term, up_to_date),
        }
    }

    fn answer_pre_vote(&mut self, candidate: MemberId, term: u64, up_to_date: bool) {
        let granted = up_to_date && term > self.term;
        let term = if granted { term } else { self.term };
        let response = VoteResponse { term, pre_vote: true, granted };
        self.outbox.push((candidate, Body::VoteResponse(response)));
    }

    fn answer_vote(&mut self, now: Nanos, candidate: MemberId, term: u64, up_to_date: bool) {
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let free = self.voted_for.is_none_or(|voted_for| voted_for == candidate);
        let granted = term == self.term && up_to_date && free && !self.has_leader_role();
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(candidate);
            self.store_vote();
            self.election_due_at = now + self.random_election_timeout();
        }
        let response = VoteResponse { term: self.term, pre_vote: false, granted };
        self.send_when_stored(candidate, Body::VoteResponse(response));
    }

    pub(super) fn handle_vote_response(&mut self, now: Nanos, from: MemberId, response: &VoteResponse) {
        // A granted pre-vote carries the next term, which has not begun.
        let newer_term = response.term > self.term + 1 || (response.term > self.term && !response.granted);
        if newer_term {
            return self.become_follower(now, response.term, None);
        }
        let Role::Candidate { vote_kind, votes } = &mut self.role else { return };
        let requested_term = if vote_kind.is_pre_vote() { self.term + 1 } else { self.term };
        let same_kind = response.pre_vote == vote_kind.is_pre_vote();
        if response.granted && same_kind && response.term == requested_term {
            votes.insert(from);
            self.count_votes(now);
        }
    }
}
