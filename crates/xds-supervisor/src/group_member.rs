//! Membership of this supervisor in its group: the group's changes become operators' orders and events for the
//! controller, and load reports are passed to the group. `core` owns the member if the deployment has a group. Free of
//! I/O.

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

/// A command of the group to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupCommand {
    /// Send a message to another member; it may be lost.
    SendToMember {
        /// Number of the receiver.
        to: u32,
        /// Address of the receiver.
        address: String,
        /// An encoded `Envelope`.
        message: Vec<u8>,
    },
    /// Write and sync records of the log.
    StoreLog(LogWrite),
    /// Answer an operator's stream with one message, or close it with an error status.
    AnswerOperator {
        /// The operator's stream.
        peer: Peer,
        /// An encoded `ControlResponse`, or the status with which the stream is closed.
        result: Result<Vec<u8>, Status>,
    },
    /// Send key ranges on a forwarder's stream.
    SendRanges {
        /// The forwarder's stream.
        peer: Peer,
        /// An encoded `RangesResponse`.
        message: Vec<u8>,
    },
    /// Write a log line about the group.
    Log(String),
}

/// Operators' orders in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorOrders {
    /// Servers that are drained.
    pub drained: BTreeSet<u32>,
    /// Largest share of the controller's weight, by server.
    pub weight_caps: BTreeMap<u32, f64>,
}

/// Result of polling the group.
#[derive(Debug, Default)]
pub struct AppliedChanges {
    /// Commands for the daemon, in order.
    pub commands: Vec<GroupCommand>,
    /// Events for the controller: failures that other members' proxies reported.
    pub events: Vec<Event>,
    /// All operators' orders in force, if they have changed.
    pub orders: Option<OperatorOrders>,
}

/// Settings of the deployment that a member needs.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Names of the operations, by position.
    pub operations: Vec<String>,
    /// Names of the localities, by position.
    pub localities: Vec<String>,
    /// Number of key ranges that the group assigns to servers.
    pub range_count: u32,
}

/// Totals of the messages sent to other members.
#[derive(Clone, Copy, Debug, Default)]
struct SentTotals {
    messages: u64,
    bytes: u64,
}

/// State of this supervisor as a member of its group.
#[derive(Debug)]
pub struct GroupMember {
    group: Group,
    settings: GroupSettings,
    /// Streams of forwarders that request key ranges.
    range_streams: BTreeSet<Peer>,
    /// Operators' streams with an order that is not answered yet.
    pending_orders: BTreeSet<Peer>,
    /// Highest epoch that a proxy has reported; published tables carry at least this epoch.
    adopted_epoch: u64,
    sent: SentTotals,
    /// Owners of ranges that are drained or missing in the last endpoint list.
    unavailable_owners: BTreeSet<u32>,
    commands: Vec<GroupCommand>,
}

impl GroupMember {
    /// Creates a member that starts from the log that an earlier run stored.
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

    /// Latest time of the next [`poll`](GroupMember::poll), ns.
    pub fn next_deadline(&self) -> Nanos {
        self.group.next_deadline()
    }

    /// Epoch that published tables carry; never below the epoch of a table that one of the supervisor's proxies holds.
    pub fn epoch(&self) -> u64 {
        self.group.min_table_epoch().max(self.adopted_epoch)
    }

    /// Raises the epoch to that of a table version that a proxy holds. A supervisor may send weights to any proxy, with
    /// or without the group; the epoch only fences late tables, so it continues from the proxy's epoch.
    pub fn adopt_epoch(&mut self, version: &str) {
        self.adopted_epoch = self.adopted_epoch.max(epoch_of_version(version));
    }

    /// Handles a message of another member.
    ///
    /// # Errors
    ///
    /// The message cannot be decoded; the stream has to be closed with this status.
    pub fn handle_member_message(&mut self, now: Nanos, message: &[u8]) -> Result<(), Status> {
        let envelope = Envelope::decode(message).map_err(|error| malformed("Envelope", &error))?;
        self.group.handle_message(now, envelope);
        Ok(())
    }

    /// Handles the result of a log write: the number of a synced write, or the reason of a failure.
    pub fn handle_log_write(&mut self, now: Nanos, result: Result<u64, String>) {
        match result {
            Ok(number) => self.group.handle_write_done(now, number),
            Err(reason) => self.group.handle_write_failed(&reason),
        }
    }

    /// Passes the load reports of this supervisor's own proxies in a report interval to the group.
    pub fn handle_load_reports(&mut self, events: &[Event]) {
        let reports = events.iter().filter_map(|event| match event {
            Event::EndpointReport(report) => Some(report),
            _ => None,
        });
        self.group.handle_reports(reports);
    }

    /// Removes a closed stream of a forwarder or an operator.
    pub fn stream_closed(&mut self, peer: Peer) {
        self.range_streams.remove(&peer);
        self.pending_orders.remove(&peer);
    }

    /// Does all work of the group that is due, and returns the resulting changes.
    pub fn poll(&mut self, now: Nanos, endpoints: &EndpointList) -> AppliedChanges {
        let mut changes = AppliedChanges::default();
        let mut routes_changed = false;
        for action in self.group.poll(now) {
            match action {
                Action::Send { to, address, envelope } => self.send(to, address, envelope.encode_to_vec()),
                Action::Store(write) => self.commands.push(GroupCommand::StoreLog(write)),
                // Orders are submitted with the operator's stream as their id.
                Action::AnswerOrder { correlation_id: peer, result } => self.answer_order(peer, result),
                Action::Applied(change) => {
                    routes_changed |= matches!(change, AppliedChange::RangeWithdrawn { .. });
                    self.on_change_applied(&change, &mut changes);
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

    fn answer_order(&mut self, peer: Peer, result: Result<u64, OrderError>) {
        if !self.pending_orders.remove(&peer) {
            return;
        }
        let result = match result {
            Ok(order) => Ok(json!({ "order": order }).to_string()),
            Err(error) => Err(Status::new(Code::FailedPrecondition, error.to_string())),
        };
        self.answer_operator(peer, result);
    }

    fn on_change_applied(&self, change: &AppliedChange, changes: &mut AppliedChanges) {
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

    /// Leaves the group, and returns the last messages to other members.
    pub fn leave(&mut self, now: Nanos) -> Vec<GroupCommand> {
        let send_command = |action| match action {
            Action::Send { to, address, envelope } => {
                Some(GroupCommand::SendToMember { to, address, message: envelope.encode_to_vec() })
            }
            _ => None,
        };
        self.group.leave(now).into_iter().filter_map(send_command).collect()
    }
}

fn malformed(message: &str, error: &prost::DecodeError) -> Status {
    Status::new(Code::InvalidArgument, format!("not a {message}: {error}"))
}
