//! A supervisor's part in its group: what the group agrees on becomes events and bounds for this one, and what this
//! one sees becomes reports for the group. Free of I/O; whoever shares nothing has none of it.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;
use serde_json::json;
use shalereel::interface::{EndpointReport, Event, Nanos};
use shalereel_group::wire::{
    epoch_of_version, AddressedRoute, Command, ControlRequest, ControlResponse, Duty, Envelope, MemberStatus,
    RangesRequest, RangesResponse,
};
use shalereel_group::{
    Action as GroupAction, AppliedChange, Group, GroupConfig, LogWrite, MemberRole, RangeRoute, RouteRequest,
    ServerAvailability, StoredLog,
};
use shalereel_rpc::{Code, Status};

use crate::core::Peer;
use crate::endpoints::EndpointList;
use crate::evidence::of_others;

/// What the group wants of the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Wanted {
    /// To another member; it may get lost.
    Tell {
        to: u32,
        address: String,
        message: Vec<u8>,
    },
    /// To be kept and synced.
    Keep(LogWrite),
    /// The one message of an operator's stream, or why there is none.
    Answer {
        peer: Peer,
        result: Result<Vec<u8>, Status>,
    },
    /// On a forwarder's stream of key ranges.
    Ranges {
        peer: Peer,
        message: Vec<u8>,
    },
    Remark(String),
}

/// What changed for the supervisor itself.
#[derive(Debug, Default)]
pub struct Followed {
    pub wanted: Vec<Wanted>,
    /// What others met, for the module.
    pub events: Vec<Event>,
    /// Operators' orders changed: servers to be drained, and bounds of weights.
    pub orders: Option<(BTreeSet<u32>, BTreeMap<u32, f64>)>,
}

/// The group as this supervisor has it.
#[derive(Debug)]
pub struct Shared {
    group: Group,
    ranges: u32,
    operations: Vec<String>,
    localities: Vec<String>,
    /// Streams of forwarders that hold key ranges.
    tenants: BTreeSet<Peer>,
    /// Operators' streams whose order is not answered yet.
    asked: BTreeSet<Peer>,
    /// Highest epoch that a proxy brought along: what is published carries at least that.
    adopted: u64,
    /// Messages told to members, and their bytes.
    told: (u64, u64),
    /// Owners of ranges that nothing may go to, as of the last list.
    lost: BTreeSet<u32>,
    wanted: Vec<Wanted>,
}

impl Shared {
    pub fn new(
        charter: GroupConfig,
        now: Nanos,
        kept: Option<StoredLog>,
        names: (&[String], &[String]),
        ranges: u32,
    ) -> Self {
        Shared {
            group: Group::new(charter, now, kept),
            ranges,
            operations: names.0.to_vec(),
            localities: names.1.to_vec(),
            tenants: BTreeSet::new(),
            asked: BTreeSet::new(),
            adopted: 0,
            told: (0, 0),
            lost: BTreeSet::new(),
            wanted: Vec::new(),
        }
    }

    pub fn next(&self) -> Nanos {
        self.group.next_deadline()
    }

    /// The epoch that tables carry: never lower than what any of its proxies holds.
    pub fn epoch(&self) -> u64 {
        self.group.min_table_epoch().max(self.adopted)
    }

    /// A proxy holds a table with this version. By its own rules a supervisor may tell any proxy its weights, with
    /// or without the group; the fence is against what is late, so it goes on from where the proxy stands.
    pub fn brought(&mut self, version: &str) {
        self.adopted = self.adopted.max(epoch_of_version(version));
    }

    /// A message of another member. Errors: it cannot be read.
    pub fn heard(&mut self, now: Nanos, message: &[u8]) -> Result<(), Status> {
        let envelope = Envelope::decode(message).map_err(|error| unreadable("Envelope", &error))?;
        self.group.handle_message(now, envelope);
        Ok(())
    }

    pub fn stored(&mut self, now: Nanos, number: Result<u64, String>) {
        match number {
            Ok(number) => self.group.handle_write_done(now, number),
            Err(why) => self.group.handle_write_failed(&why),
        }
    }

    pub fn report(&mut self, events: &[Event]) {
        let digests = events.iter().filter_map(|event| match event {
            Event::EndpointReport(digest) => Some(digest),
            _ => None,
        });
        self.group.handle_reports(digests);
    }

    // Forwarders.

    pub fn holds(&mut self, peer: Peer) {
        self.tenants.insert(peer);
    }

    pub fn ended(&mut self, peer: Peer) {
        self.tenants.remove(&peer);
        self.asked.remove(&peer);
    }

    pub fn ranges_asked(
        &mut self,
        now: Nanos,
        peer: Peer,
        message: &[u8],
        roster: &EndpointList,
    ) -> Result<(), Status> {
        let ask = RangesRequest::decode(message).map_err(|error| unreadable("RangesAsk", &error))?;
        let request = RouteRequest { last_response_read: ask.last_response_read, held: ask.held };
        let response = self.group.handle_range_request(now, peer, &request);
        let silent = response.routes.is_none();
        let lines = told(&response.routes.unwrap_or_default(), roster);
        let (asked, tenure, ranges) = (ask.sent_at, self.group.tenure(), self.ranges);
        let message = RangesResponse {
            request_sent_at: asked,
            sequence: response.sequence,
            tenure,
            routes_omitted: silent,
            routes: lines,
            range_count: ranges,
        }
        .encode_to_vec();
        self.wanted.push(Wanted::Ranges { peer, message });
        Ok(())
    }

    /// The list has changed: forwarders are told at once of owners that drain or are gone.
    pub fn relisted(&mut self, fits: BTreeMap<u32, ServerAvailability>, roster: &EndpointList) {
        let owners = self.group.state_machine().ranges().values().filter_map(|owned| owned.owner);
        let lost =
            owners.filter(|owner| !fits.get(owner).is_some_and(|fit| fit.listed)).collect::<BTreeSet<_>>();
        self.group.update_servers(fits);
        if !lost.is_subset(&self.lost) {
            self.say_standing(roster);
        }
        self.lost = lost;
    }

    fn say_standing(&mut self, roster: &EndpointList) {
        for peer in self.tenants.clone() {
            let response = self.group.current_routes();
            let lines = told(&response.routes.unwrap_or_default(), roster);
            let (tenure, ranges) = (self.group.tenure(), self.ranges);
            let message = RangesResponse {
                request_sent_at: 0,
                sequence: response.sequence,
                tenure,
                routes_omitted: false,
                routes: lines,
                range_count: ranges,
            }
            .encode_to_vec();
            self.wanted.push(Wanted::Ranges { peer, message });
        }
    }

    // Operators.

    pub fn control(&mut self, now: Nanos, peer: Peer, message: &[u8]) -> Result<(), Status> {
        let ask = ControlRequest::decode(message).map_err(|error| unreadable("ControlAsk", &error))?;
        match ask.command {
            None => {
                let told = self.standing(now).to_string();
                self.answer(peer, Ok(told));
            }
            Some(Command { payload: Some(act), .. }) => {
                self.asked.insert(peer);
                self.group.submit_order(now, peer, act);
            }
            Some(_) => return Err(Status::new(Code::InvalidArgument, "an order of a later version")),
        }
        Ok(())
    }

    fn answer(&mut self, peer: Peer, result: Result<String, Status>) {
        let result = result.map(|told| ControlResponse { json: told }.encode_to_vec());
        self.wanted.push(Wanted::Answer { peer, result });
    }

    fn duty(&self, duty: Duty) -> String {
        let named =
            |names: &[String], at: u32| names.get(at as usize).cloned().unwrap_or_else(|| at.to_string());
        match duty {
            Duty::MergeReports => "reports".into(),
            Duty::FenceTable(at) => format!("table {}", named(&self.operations, at)),
            Duty::RunDrains(at) => format!("drains {}", named(&self.localities, at)),
            Duty::PlaceRange(at) => format!("range {at}"),
        }
    }

    /// How things stand, for operators.
    pub fn standing(&self, now: Nanos) -> serde_json::Value {
        let log = self.group.log_status();
        let seats = self.group.configuration();
        let (state, leader) = match self.group.role() {
            MemberRole::Leader => ("leads", Some(self.group.id())),
            MemberRole::Follower(leader) => ("follows", Some(leader)),
            MemberRole::NoLeader => ("alone", None),
            MemberRole::StorageFailed => ("broken", None),
        };
        let votes = |number| seats.voters.iter().any(|seat| seat.id == number);
        let learns = |number| seats.learners.iter().any(|seat| seat.id == number);
        let members = self.group.membership().members().iter().map(|(&number, member)| {
            let standing = match member.status {
                MemberStatus::Alive => "alive",
                MemberStatus::Suspect => "suspect",
                MemberStatus::Dead => "dead",
                MemberStatus::Left => "left",
            };
            let seat = if votes(number) { "votes" } else if learns(number) { "learns" } else { "none" };
            json!({
                "number": number, "address": member.address, "standing": standing, "seat": seat,
                "incarnation": member.incarnation, "since_s": now.saturating_sub(member.since) / 1_000_000_000,
                "leads": Some(number) == leader,
            })
        });
        let duties = self.group.state_machine();
        let held = duties.duties().iter().map(
            |(&duty, held)| json!({ "duty": self.duty(duty), "holder": held.holder, "epoch": held.epoch }),
        );
        let ranges = duties.ranges().iter().map(|(&range, owned)| {
            json!({
                "range": range, "owner": owned.owner, "epoch": owned.epoch,
                "moves_to": owned.pending_move.as_ref().map(|moving| moving.to_server),
                "cleared_by": owned.pending_move.as_ref().map(|moving| moving.cleared_by.clone()),
            })
        });
        let orders = duties.orders().iter().map(|(&order, standing)| {
            json!({
                "order": order, "server": standing.order.server, "begun": standing.active,
                "does": if standing.order.weight_cap_millionths.is_some() { "hold" } else { "drain" },
                "at_most": standing.order.weight_cap_millionths.map(|part| f64::from(part) / 1e6),
            })
        });
        json!({
            "me": self.group.id(), "state": state, "leader": leader, "term": log.term,
            "log": { "last": log.last_index, "committed": log.commit_index, "carried_out": log.last_applied, "begins": log.snapshot_index,
                     "checksum": duties.history_checksum() },
            "localities": self.localities, "may_lease": self.group.may_grant_ranges(now), "epoch": self.epoch(),
            "told": { "messages": self.told.0, "bytes": self.told.1 },
            "members": members.collect::<Vec<_>>(), "duties": held.collect::<Vec<_>>(),
            "ranges": ranges.collect::<Vec<_>>(), "orders": orders.collect::<Vec<_>>(),
        })
    }

    /// All that is due.
    pub fn turn(&mut self, now: Nanos, roster: &EndpointList) -> Followed {
        let mut followed = Followed::default();
        let mut leaving = false;
        for effect in self.group.poll(now) {
            match effect {
                GroupAction::Send { to, address, envelope } => {
                    let message = envelope.encode_to_vec();
                    self.told = (self.told.0 + 1, self.told.1 + message.len() as u64);
                    self.wanted.push(Wanted::Tell { to, address, message });
                }
                GroupAction::Store(writing) => self.wanted.push(Wanted::Keep(writing)),
                GroupAction::Answer { ticket, result } => {
                    if self.asked.remove(&ticket) {
                        let refused = |refusal: shalereel_group::OrderError| {
                            Status::new(Code::FailedPrecondition, refusal.to_string())
                        };
                        let result =
                            result.map(|order| json!({ "order": order }).to_string()).map_err(refused);
                        self.answer(ticket, result);
                    }
                }
                GroupAction::Applied(changed) => {
                    leaving |= matches!(changed, AppliedChange::RangeWithdrawn { .. });
                    let ordered = matches!(
                        changed,
                        AppliedChange::OrderActivated { .. } | AppliedChange::OrderReleased { .. }
                    );
                    if ordered {
                        followed.orders = Some(self.orders());
                    }
                    if !matches!(
                        changed,
                        AppliedChange::Rejected(_)
                            | AppliedChange::Duplicate
                            | AppliedChange::RangeCleared { .. }
                    ) {
                        tracing::debug!(?changed, "agreed");
                    }
                }
                GroupAction::PeerReports(rows) => {
                    let known = |row: &EndpointReport| roster.endpoint(row.server).is_some();
                    followed.events.extend(of_others(rows).filter(known).map(Event::EndpointReport));
                }
                GroupAction::SnapshotRestored => {
                    followed.orders = Some(self.orders());
                    leaving = true;
                }
                GroupAction::Log(event) => self.wanted.push(Wanted::Remark(event.to_string())),
            }
        }
        if leaving {
            self.say_standing(roster);
        }
        followed.wanted = std::mem::take(&mut self.wanted);
        followed
    }

    /// Operators' orders in force: servers drained, and bounds of weights.
    pub fn orders(&self) -> (BTreeSet<u32>, BTreeMap<u32, f64>) {
        (self.group.state_machine().drained_servers(), self.group.state_machine().weight_caps())
    }

    pub fn leave(&mut self, now: Nanos) -> Vec<Wanted> {
        let told = self.group.leave(now).into_iter().filter_map(|effect| match effect {
            GroupAction::Send { to, address, envelope } => {
                Some(Wanted::Tell { to, address, message: envelope.encode_to_vec() })
            }
            _ => None,
        });
        told.collect()
    }
}

fn unreadable(what: &str, error: &prost::DecodeError) -> Status {
    Status::new(Code::InvalidArgument, format!("not a {what}: {error}"))
}

/// Lines with addresses. Nothing goes to a server that drains or is gone, whatever is agreed: its line is left out,
/// which takes it from whoever holds it.
fn told(lines: &[RangeRoute], roster: &EndpointList) -> Vec<AddressedRoute> {
    let ready: BTreeSet<u32> =
        roster.servers().into_iter().filter(|server| server.ready).map(|server| server.server).collect();
    let line = |line: &RangeRoute| {
        if !ready.contains(&line.owner) {
            return None;
        }
        let address = roster.endpoint(line.owner)?.address.to_string();
        Some(AddressedRoute { range: line.range, owner: line.owner, epoch: line.epoch, address })
    };
    lines.iter().filter_map(line).collect()
}
