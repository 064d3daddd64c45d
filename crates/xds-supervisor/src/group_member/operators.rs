//! Operators' requests about the group: orders, and the group's status as JSON.

use prost::Message;
use serde_json::{json, Value};
use shalereel::interface::Nanos;
use shalereel_group::wire::{Command, ControlRequest, ControlResponse, Duty, MemberStatus};
use shalereel_group::MemberRole;
use shalereel_rpc::{Code, Status};

use super::{malformed, GroupCommand, GroupMember};
use crate::core::Peer;

impl GroupMember {
    /// Answers an operator's request for the status, or submits the order to the group. An order is answered once it is
    /// in force.
    ///
    /// # Errors
    ///
    /// The request cannot be decoded, or is of a later version; the stream has to be closed with this status.
    pub fn handle_control(&mut self, now: Nanos, peer: Peer, message: &[u8]) -> Result<(), Status> {
        // The text has an earlier name of the message, since clients may match it.
        let request = ControlRequest::decode(message).map_err(|error| malformed("ControlAsk", &error))?;
        match request.command {
            None => {
                let status = self.status(now).to_string();
                self.answer_operator(peer, Ok(status));
            }
            Some(Command { payload: Some(order), .. }) => {
                self.pending_orders.insert(peer);
                self.group.submit_order(now, peer, order);
            }
            Some(_) => return Err(Status::new(Code::InvalidArgument, "an order of a later version")),
        }
        Ok(())
    }

    pub(super) fn answer_operator(&mut self, peer: Peer, result: Result<String, Status>) {
        let result = result.map(|json| ControlResponse { json }.encode_to_vec());
        self.commands.push(GroupCommand::AnswerOperator { peer, result });
    }

    /// Status of the group from this member's point of view. `shalereel members` and `shalereel duties` read the keys.
    pub fn status(&self, now: Nanos) -> Value {
        let log = self.group.log_status();
        let (state, leader) = self.role();
        json!({
            "me": self.group.id(), "state": state, "leader": leader, "term": log.term,
            "log": {
                "last": log.last_index, "committed": log.commit_index, "carried_out": log.last_applied,
                "begins": log.snapshot_index, "checksum": self.group.state_machine().history_checksum(),
            },
            "localities": self.settings.localities, "may_lease": self.group.may_grant_ranges(now),
            "epoch": self.epoch(),
            "told": { "messages": self.sent.messages, "bytes": self.sent.bytes },
            "members": self.members(now, leader), "duties": self.duties(),
            "ranges": self.ranges(), "orders": self.orders_in_force(),
        })
    }

    fn role(&self) -> (&'static str, Option<u32>) {
        match self.group.role() {
            MemberRole::Leader => ("leads", Some(self.group.id())),
            MemberRole::Follower(leader) => ("follows", Some(leader)),
            MemberRole::NoLeader => ("alone", None),
            MemberRole::Stopped => ("broken", None),
        }
    }

    fn members(&self, now: Nanos, leader: Option<u32>) -> Vec<Value> {
        let members = self.group.membership().members().iter().map(|(&number, member)| {
            let standing = match member.status {
                MemberStatus::Alive => "alive",
                MemberStatus::Suspect => "suspect",
                MemberStatus::Dead => "dead",
                MemberStatus::Left => "left",
            };
            json!({
                "number": number, "address": member.address, "standing": standing, "seat": self.seat(number),
                "incarnation": member.incarnation, "since_s": now.saturating_sub(member.since) / 1_000_000_000,
                "leads": Some(number) == leader,
            })
        });
        members.collect()
    }

    fn seat(&self, member: u32) -> &'static str {
        let configuration = self.group.configuration();
        if configuration.voters.iter().any(|voter| voter.id == member) {
            "votes"
        } else if configuration.learners.iter().any(|learner| learner.id == member) {
            "learns"
        } else {
            "none"
        }
    }

    fn duties(&self) -> Vec<Value> {
        let duties = self.group.state_machine().duties().iter().map(|(&duty, held)| {
            json!({ "duty": self.duty_name(duty), "holder": held.holder, "epoch": held.epoch })
        });
        duties.collect()
    }

    fn duty_name(&self, duty: Duty) -> String {
        let name =
            |names: &[String], at: u32| names.get(at as usize).cloned().unwrap_or_else(|| at.to_string());
        match duty {
            Duty::MergeReports => "reports".into(),
            Duty::FenceTable(operation) => format!("table {}", name(&self.settings.operations, operation)),
            Duty::RunDrains(locality) => format!("drains {}", name(&self.settings.localities, locality)),
            Duty::PlaceRange(range) => format!("range {range}"),
        }
    }

    fn ranges(&self) -> Vec<Value> {
        let ranges = self.group.state_machine().ranges().iter().map(|(&range, owned)| {
            json!({
                "range": range, "owner": owned.owner, "epoch": owned.epoch,
                "moves_to": owned.pending_move.as_ref().map(|pending| pending.to_server),
                "cleared_by": owned.pending_move.as_ref().map(|pending| pending.cleared_by.clone()),
            })
        });
        ranges.collect()
    }

    fn orders_in_force(&self) -> Vec<Value> {
        let orders = self.group.state_machine().orders().iter().map(|(&order, standing)| {
            let cap = standing.order.weight_cap_millionths;
            json!({
                "order": order, "server": standing.order.server, "begun": standing.active,
                "does": if cap.is_some() { "hold" } else { "drain" },
                "at_most": cap.map(|part| f64::from(part) / 1e6),
            })
        });
        orders.collect()
    }
}
