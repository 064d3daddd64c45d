//! This supervisor as a member of its group: what the group agrees on becomes events and weight bounds for the
//! controller, and load reports go to the group. `core` owns it where the deployment has a group. Free of I/O.

mod forwarders;
mod operators;

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;
use serde_json::json;
use shalereel::interface::{EndpointReport, Event, Nanos};
use shalereel_group::wire::{epoch_of_version, Envelope};
use shalereel_group::{Action, AppliedChange, Group, GroupConfig, LogWrite, OrderError, StoredLog};
use shalereel_rpc::{Code, Status};

use crate::core::Peer;
use crate::endpoints::EndpointList;
use crate::peer_reports::failures_of_peers;

/// What the group has the shell do.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupCommand {
    /// Send a message to another member; it may be lost.
    SendToMember {
        /// Number of the receiver.
        to: u32,
        /// Where it is reached.
        address: String,
        /// An encoded `Envelope`.
        message: Vec<u8>,
    },
    /// Write and sync records of the log.
    StoreLog(LogWrite),
    /// Send the one message of an operator's stream, or close it with the reason why there is none.
    AnswerOperator {
        /// The operator's stream.
        peer: Peer,
        /// An encoded `ControlResponse`, or the status that the stream is closed with.
        result: Result<Vec<u8>, Status>,
    },
    /// Send on a forwarder's stream of key ranges.
    SendRanges {
        /// The forwarder's stream.
        peer: Peer,
        /// An encoded `RangesResponse`.
        message: Vec<u8>,
    },
    /// Write a line of the group to the log.
    Log(String),
}

/// Operators' orders in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorOrders {
    /// Servers to be drained.
    pub drained: BTreeSet<u32>,
    /// Greatest weight of a server, as a part of its own.
    pub weight_caps: BTreeMap<u32, f64>,
}

/// What changed for the supervisor itself.
#[derive(Debug, Default)]
pub struct AppliedChanges {
    /// For the shell, in order.
    pub commands: Vec<GroupCommand>,
    /// What proxies of other members observed, for the controller.
    pub events: Vec<Event>,
    /// Orders, where they changed.
    pub orders: Option<OperatorOrders>,
}

/// What a member knows of its deployment.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Names, by position.
    pub operations: Vec<String>,
    /// Names, by position.
    pub localities: Vec<String>,
    /// Key ranges that the group places.
    pub range_count: u32,
}

/// Messages sent to other members so far.
#[derive(Clone, Copy, Debug, Default)]
struct SentTotals {
    messages: u64,
    bytes: u64,
}

/// The group as this supervisor has it.
#[derive(Debug)]
pub struct GroupMember {
    group: Group,
    settings: GroupSettings,
    /// Streams of forwarders that hold key ranges.
    range_streams: BTreeSet<Peer>,
    /// Operators' streams whose order is not answered yet.
    pending_orders: BTreeSet<Peer>,
    /// Highest epoch that a proxy reported: what is published carries at least that.
    adopted_epoch: u64,
    sent: SentTotals,
    /// Owners of ranges that the last list drains or does not have.
    unavailable_owners: BTreeSet<u32>,
    commands: Vec<GroupCommand>,
}

impl GroupMember {
    /// A member that starts from the log that an earlier run stored.
    pub fn new(config: GroupConfig, now: Nanos, stored: Option<StoredLog>, settings: GroupSettings) -> Self {
        GroupMember {
            group: Group::new(config, now, stored),
            settings,
            range_streams: BTreeSet::new(),
            pending_orders: BTreeSet::new(),
            adopted_epoch: 0,
            sent: SentTotals::default(),
            unavailable_owners: BTreeSet::new(),
            commands: Vec::new(),
        }
    }

    /// When it has to be polled next.
    pub fn next_deadline(&self) -> Nanos {
        self.group.next_deadline()
    }

    /// The epoch that tables carry: never below that of a table that one of its proxies holds.
    pub fn epoch(&self) -> u64 {
        self.group.min_table_epoch().max(self.adopted_epoch)
    }

    /// A proxy holds a table with this version. A supervisor may send weights to any proxy, with or without the group;
    /// the epoch fences late tables alone, so it goes on from where the proxy stands.
    pub fn adopt_epoch(&mut self, version: &str) {
        self.adopted_epoch = self.adopted_epoch.max(epoch_of_version(version));
    }

    /// Takes a message of another member.
    ///
    /// # Errors
    ///
    /// It cannot be decoded; the stream is to be closed with this status.
    pub fn handle_member_message(&mut self, now: Nanos, message: &[u8]) -> Result<(), Status> {
        let envelope = Envelope::decode(message).map_err(|error| malformed("Envelope", &error))?;
        self.group.handle_message(now, envelope);
        Ok(())
    }

    /// The log's write of this number is synced, or the log cannot be written.
    pub fn handle_log_write(&mut self, now: Nanos, result: Result<u64, String>) {
        match result {
            Ok(number) => self.group.handle_write_done(now, number),
            Err(reason) => self.group.handle_write_failed(&reason),
        }
    }

    /// Takes a cycle's load reports of this supervisor's own proxies.
    pub fn handle_load_reports(&mut self, events: &[Event]) {
        let reports = events.iter().filter_map(|event| match event {
            Event::EndpointReport(report) => Some(report),
            _ => None,
        });
        self.group.handle_reports(reports);
    }

    /// A stream of a forwarder or an operator is closed.
    pub fn stream_closed(&mut self, peer: Peer) {
        self.range_streams.remove(&peer);
        self.pending_orders.remove(&peer);
    }

    /// Carries out all that is due.
    pub fn poll(&mut self, now: Nanos, endpoints: &EndpointList) -> AppliedChanges {
        let mut changes = AppliedChanges::default();
        let mut routes_changed = false;
        for action in self.group.poll(now) {
            match action {
                Action::Send { to, address, envelope } => self.send(to, address, envelope.encode_to_vec()),
                Action::Store(write) => self.commands.push(GroupCommand::StoreLog(write)),
                Action::AnswerOrder { correlation_id, result } => self.answer_order(correlation_id, result),
                Action::Applied(change) => {
                    routes_changed |= matches!(change, AppliedChange::RangeWithdrawn { .. });
                    self.applied(&change, &mut changes);
                }
                Action::PeerReports(reports) => {
                    let listed = |report: &EndpointReport| endpoints.endpoint(report.server).is_some();
                    let failures = failures_of_peers(reports).filter(listed);
                    changes.events.extend(failures.map(Event::EndpointReport));
                }
                Action::SnapshotRestored => {
                    changes.orders = Some(self.orders());
                    routes_changed = true;
                }
                Action::Log(event) => self.commands.push(GroupCommand::Log(event.to_string())),
            }
        }
        if routes_changed {
            self.push_routes(endpoints);
        }
        changes.commands = std::mem::take(&mut self.commands);
        changes
    }

    fn send(&mut self, to: u32, address: String, message: Vec<u8>) {
        self.sent.messages += 1;
        self.sent.bytes += message.len() as u64;
        self.commands.push(GroupCommand::SendToMember { to, address, message });
    }

    fn answer_order(&mut self, ticket: u64, result: Result<u64, OrderError>) {
        if !self.pending_orders.remove(&ticket) {
            return;
        }
        let result = match result {
            Ok(order) => Ok(json!({ "order": order }).to_string()),
            Err(error) => Err(Status::new(Code::FailedPrecondition, error.to_string())),
        };
        self.answer_operator(ticket, result);
    }

    fn applied(&self, change: &AppliedChange, changes: &mut AppliedChanges) {
        match change {
            AppliedChange::OrderActivated { .. } | AppliedChange::OrderReleased { .. } => {
                changes.orders = Some(self.orders());
            }
            AppliedChange::Rejected(_) | AppliedChange::Duplicate | AppliedChange::RangeCleared { .. } => {
                return
            }
            _ => {}
        }
        tracing::debug!(?change, "group change applied");
    }

    /// Operators' orders in force.
    pub fn orders(&self) -> OperatorOrders {
        let state = self.group.state_machine();
        OperatorOrders { drained: state.drained_servers(), weight_caps: state.weight_caps() }
    }

    /// Leaves the group; gives the last messages to other members.
    pub fn leave(&mut self, now: Nanos) -> Vec<GroupCommand> {
        let farewell = |action| match action {
            Action::Send { to, address, envelope } => {
                Some(GroupCommand::SendToMember { to, address, message: envelope.encode_to_vec() })
            }
            _ => None,
        };
        self.group.leave(now).into_iter().filter_map(farewell).collect()
    }
}

fn malformed(message: &str, error: &prost::DecodeError) -> Status {
    Status::new(Code::InvalidArgument, format!("not a {message}: {error}"))
}
