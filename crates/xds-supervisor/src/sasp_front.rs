//! Balancers that take weights by SASP. Their messages become joins, member updates and acknowledgements for the
//! [`Core`](crate::Core), which calls this; published tables become weights. Free of I/O and clock.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, TableId};
use shalereel_sasp::weights::TableWeight;
use shalereel_sasp::{
    Advisor, Answer, BalancerLimits, Body, Change, Frames, Group, Member, Message, ReturnCode,
};

use crate::client_limits::MAX_MESSAGE_BYTES;
use crate::core::Peer;
use crate::endpoints::{EndpointList, MemberReport, Reporter};
use crate::tables::Tables;

/// What a balancer's weights are made from.
pub struct BalancerView<'a> {
    /// Published tables.
    pub tables: &'a Tables,
    /// Listed servers.
    pub endpoints: &'a EndpointList,
    /// Names of the operations: a balancer's groups are named by them.
    pub operations: &'a [String],
    /// The balancer's table by operation; empty where it has none yet.
    pub assigned_tables: &'a BTreeMap<u16, TableId>,
    /// Monotonic time, ns.
    pub now: Nanos,
    /// How long a started server is warming up, ns.
    pub slow_start_duration: Nanos,
}

impl BalancerView<'_> {
    /// Weight of a member; `None` where the group is no operation or the member is not listed.
    fn weight(&self, group: &Group, member: &Member) -> Option<TableWeight> {
        let operation = self.operations.iter().position(|name| name.as_bytes() == group.name)? as u16;
        let table = *self.assigned_tables.get(&operation)?;
        let server = self.endpoints.server_at(member.socket())?;
        Some(TableWeight {
            weight: self.tables.weight(table, server),
            warming_up: self.endpoints.started_within(server, self.now, self.slow_start_duration),
        })
    }
}

/// What follows from a balancer's or member's bytes.
#[derive(Debug, PartialEq)]
pub enum SaspEvent {
    /// Bytes to be written to the peer.
    Write(Vec<u8>),
    /// The peer has said which balancer it is.
    Joined {
        /// Its id.
        balancer: String,
    },
    /// A member, or its balancer, has said whether the member is there and takes new work.
    MemberUpdate(MemberReport),
    /// The peer has asked for the weights as they are, and gets them: they count as acknowledged.
    WeightsTaken,
    /// The connection is to be closed, and why.
    Close(String),
}

/// All SASP connections.
#[derive(Debug)]
pub struct SaspFront {
    advisor: Advisor,
    /// Interval that balancers are told to ask at, s.
    interval: u16,
    frames: BTreeMap<Peer, Frames>,
}

impl SaspFront {
    /// No connections yet.
    pub fn new(bounds: BalancerLimits) -> Self {
        SaspFront { advisor: Advisor::new(bounds), interval: bounds.interval, frames: BTreeMap::new() }
    }

    /// A connection was opened.
    pub fn on_opened(&mut self, peer: Peer) {
        self.frames.insert(peer, Frames::new(MAX_MESSAGE_BYTES));
        self.advisor.opened(peer);
    }

    /// Whether a peer is a SASP connection.
    pub fn is_connected(&self, peer: Peer) -> bool {
        self.frames.contains_key(&peer)
    }

    /// To be called once a report interval: balancers may ask again.
    pub fn on_report_interval(&mut self) {
        self.advisor.start_report_interval();
    }

    /// Takes bytes from a connection, in pieces of any size.
    pub fn on_bytes(&mut self, peer: Peer, bytes: &[u8], view: &BalancerView<'_>) -> Vec<SaspEvent> {
        let Some(frames) = self.frames.get_mut(&peer) else { return Vec::new() };
        frames.push(bytes);
        let mut events = Vec::new();
        let mut changes = Vec::new();
        while let Some(next) = self.frames.get_mut(&peer).and_then(|frames| frames.take().transpose()) {
            match next {
                Ok(message) => self.on_message(peer, message, view, &mut events, &mut changes),
                Err(error) => {
                    events.push(SaspEvent::Close(error.to_string()));
                    break;
                }
            }
        }
        events.extend(self.events_of(peer, changes));
        events
    }

    fn on_message(
        &mut self,
        peer: Peer,
        message: Message,
        view: &BalancerView<'_>,
        events: &mut Vec<SaspEvent>,
        changes: &mut Vec<Change>,
    ) {
        let asks_weights = matches!(message.body, Body::GetWeights { .. });
        // Guards against weights of 0 that empty a balancer which has no table yet.
        if asks_weights && view.assigned_tables.is_empty() {
            let reply = try_later(message.id, self.interval);
            return events.push(SaspEvent::Write(reply.encode().to_vec()));
        }
        let lookup = |group: &Group, member: &Member| view.weight(group, member);
        for answer in self.advisor.handle_message(peer, message, &lookup, changes) {
            match answer {
                Answer::Send(_, reply) => {
                    if asks_weights
                        && matches!(reply.body, Body::Weights { code: ReturnCode::Successful, .. })
                    {
                        events.push(SaspEvent::WeightsTaken);
                    }
                    events.push(SaspEvent::Write(reply.encode().to_vec()));
                }
                Answer::Close(_, reason) => events.push(SaspEvent::Close(reason.to_owned())),
            }
        }
    }

    /// Takes the end of a connection: what its members said of themselves is void, and so are the members that a
    /// balancer registered. All of these reports name [`Reporter::Member`], as the advisor has forgotten by then who
    /// the peer was.
    pub fn on_closed(&mut self, peer: Peer) -> Vec<SaspEvent> {
        self.frames.remove(&peer);
        let mut changes = Vec::new();
        self.advisor.closed(peer, &mut changes);
        self.events_of(peer, changes)
    }

    /// Weights to be pushed to a balancer; `None` where it polls, or nothing has changed.
    pub fn push(&mut self, peer: Peer, view: &BalancerView<'_>) -> Option<Vec<u8>> {
        let lookup = |group: &Group, member: &Member| view.weight(group, member);
        self.advisor.push(peer, &lookup).map(|message| message.encode().to_vec())
    }

    /// Whether a balancer wants weights pushed.
    pub fn wants_push(&self, peer: Peer) -> bool {
        self.advisor.pushes(peer)
    }

    fn events_of(&self, peer: Peer, changes: Vec<Change>) -> Vec<SaspEvent> {
        let by_balancer = self.advisor.is_balancer(peer);
        let reporter = if by_balancer { Reporter::Balancer } else { Reporter::Member };
        let event = |change| match change {
            Change::Joined { balancer, .. } => {
                Some(SaspEvent::Joined { balancer: String::from_utf8_lossy(&balancer).into_owned() })
            }
            Change::Left { .. } => None,
            Change::Member { member, registered, quiesce, .. } => {
                Some(SaspEvent::MemberUpdate(MemberReport {
                    address: member.socket(),
                    zone: String::from_utf8_lossy(&member.label).into_owned(),
                    reporter,
                    present: registered,
                    quiesced: quiesce,
                }))
            }
        };
        changes.into_iter().filter_map(event).collect()
    }
}

fn try_later(id: u32, interval: u16) -> Message {
    Message { id, body: Body::Weights { code: ReturnCode::TryLater, interval, groups: Vec::new() } }
}
