//! Pending commands: each is sent to the leader until it is applied or expires.

use shalereel::interface::Nanos;

use super::action::{Action, OrderError};
use super::pending::PendingCommand;
use super::status::MemberRole;
use super::Group;
use crate::wire::{Body, Command, CommandPayload, MemberId, Proposal};

impl Group {
    /// Submits an operator's order. An [`Action::AnswerOrder`] with this `correlation_id` answers it.
    pub fn submit_order(&mut self, now: Nanos, correlation_id: u64, payload: CommandPayload) {
        let error = match self.role {
            MemberRole::Stopped => OrderError::StorageFailed,
            MemberRole::NoLeader => self.no_leader_error(),
            MemberRole::Leader | MemberRole::Follower(_) => {
                return self.add_command(now, payload, Some(correlation_id));
            }
        };
        self.actions.push(Action::AnswerOrder { correlation_id, result: Err(error) });
    }

    fn no_leader_error(&self) -> OrderError {
        let members = self.configured_members();
        OrderError::NoLeader {
            reachable: members.iter().filter(|&&member| self.membership.is_present(member)).count(),
            configured: members.len(),
            quorum: members.len() / 2 + 1,
        }
    }

    /// Submits a command of this member, unless an equal one is pending.
    pub(super) fn request_command(&mut self, now: Nanos, payload: CommandPayload) {
        let is_pending =
            self.pending.values().any(|pending| pending.command.payload.as_ref() == Some(&payload));
        if !is_pending {
            self.add_command(now, payload, None);
        }
    }

    fn add_command(&mut self, now: Nanos, payload: CommandPayload, correlation_id: Option<u64>) {
        self.last_request_id += 1;
        let pending = PendingCommand {
            command: Command { request_id: self.last_request_id, payload: Some(payload) },
            expires_at: now + self.timing.command_timeout(),
            correlation_id,
            sent_at: None,
            sent_in_term: 0,
        };
        self.pending.insert(self.last_request_id, pending);
        self.send_commands(now);
    }

    /// Removes expired commands, and sends those that are due.
    pub(super) fn send_commands(&mut self, now: Nanos) {
        self.expire_commands(now);
        let leader = self.raft.leader();
        for command in self.take_due_commands(now, leader) {
            match leader {
                Some(leader) if leader == self.config.id => self.append_command(now, command),
                Some(leader) => self.send(leader, Body::Proposal(Proposal { command: Some(command) })),
                None => {}
            }
        }
    }

    fn expire_commands(&mut self, now: Nanos) {
        let expired = self.pending.iter().filter(|(_, pending)| now >= pending.expires_at);
        let expired: Vec<u64> = expired.map(|(&request_id, _)| request_id).collect();
        for request_id in expired {
            let correlation_id = self.pending.remove(&request_id).and_then(|pending| pending.correlation_id);
            let answer =
                |correlation_id| Action::AnswerOrder { correlation_id, result: Err(OrderError::TimedOut) };
            self.actions.extend(correlation_id.map(answer));
        }
    }

    /// Commands that are due to be sent. A leader appends a command to its own log once per term. To another leader a
    /// command is sent repeatedly until it is applied, since messages may be lost.
    fn take_due_commands(&mut self, now: Nanos, leader: Option<MemberId>) -> Vec<Command> {
        let term = self.raft.term();
        let retransmit_interval = self.timing.retransmit_interval();
        let leader_is_remote = leader != Some(self.config.id);
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            let retransmission_due =
                pending.sent_at.is_none_or(|sent_at| now >= sent_at + retransmit_interval);
            if pending.sent_in_term != term || (leader_is_remote && retransmission_due) {
                pending.sent_at = Some(now);
                pending.sent_in_term = if leader.is_some() { term } else { 0 };
                due.push(pending.command.clone());
            }
        }
        due
    }

    /// Appends a command to the log if this member leads, unless it is already applied or in the log.
    pub(super) fn append_command(&mut self, now: Nanos, command: Command) {
        let request_id = command.request_id;
        if !self.state_machine.has_applied(request_id) && !self.raft.has_uncommitted(request_id) {
            self.raft.propose(now, command);
        }
    }
}
