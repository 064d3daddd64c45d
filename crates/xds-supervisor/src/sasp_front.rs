//! SASP connections of balancers and members. Their messages become joins, member updates and acknowledgements for
//! [`Core`](crate::Core), and published tables become weights. Free of I/O and clock.

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

/// Inputs of a balancer's weights.
pub struct BalancerView<'a> {
    /// Published tables.
    pub tables: &'a Tables,
    /// Listed servers.
    pub endpoints: &'a EndpointList,
    /// Names of the operations, by position; a balancer's groups have these names.
    pub operations: &'a [String],
    /// The balancer's published table of each operation; empty if it has none yet.
    pub assigned_tables: &'a BTreeMap<u16, TableId>,
    /// Monotonic time, ns.
    pub now: Nanos,
    /// Time for which a server is warming up after its start, ns.
    pub slow_start_duration: Nanos,
}

impl BalancerView<'_> {
    /// Weight of a member; `None` if the group is not an operation with a table, or the member was never listed.
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

/// Result of bytes that a balancer or member has sent.
#[derive(Debug, PartialEq)]
pub enum SaspEvent {
    /// The bytes have to be written to the peer.
    Write(Vec<u8>),
    /// The peer has identified itself as a balancer.
    Joined {
        /// Id of the balancer.
        balancer: String,
    },
    /// A member or its balancer has reported the member's state.
    MemberUpdate(MemberReport),
    /// The peer has requested the current weights and is sent them; they count as acknowledged.
    WeightsTaken,
    /// The connection has to be closed, for this reason.
    Close(String),
}

/// State of all SASP connections.
#[derive(Debug)]
pub struct SaspFront {
    advisor: Advisor,
    /// Polling interval that balancers are told, s.
    interval: u16,
    frames: BTreeMap<Peer, Frames>,
    /// When the incomplete message of each connection began.
    incomplete_since: BTreeMap<Peer, Nanos>,
}

/// The incomplete message at the end of what a connection has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncompleteMessage {
    /// Bytes that are allocated for it.
    pub bytes: usize,
    /// When it began; `None` if there is none.
    pub since: Option<Nanos>,
}

impl SaspFront {
    /// Creates the state without connections.
    pub fn new(bounds: BalancerLimits) -> Self {
        SaspFront {
            advisor: Advisor::new(bounds),
            interval: bounds.interval,
            frames: BTreeMap::new(),
            incomplete_since: BTreeMap::new(),
        }
    }

    /// Handles a newly opened connection.
    pub fn on_opened(&mut self, peer: Peer) {
        self.frames.insert(peer, Frames::new(MAX_MESSAGE_BYTES));
        self.advisor.opened(peer);
    }

    /// Whether a peer is a SASP connection.
    pub fn is_connected(&self, peer: Peer) -> bool {
        self.frames.contains_key(&peer)
    }

    /// Resets the limit of weight requests for each balancer; to be called once per report interval.
    pub fn on_report_interval(&mut self) {
        self.advisor.start_report_interval();
    }

    /// Handles bytes of a connection; they may hold any number of messages and parts of messages.
    pub fn on_bytes(&mut self, peer: Peer, bytes: &[u8], view: &BalancerView<'_>) -> Vec<SaspEvent> {
        let Some(frames) = self.frames.get_mut(&peer) else { return Vec::new() };
        frames.push(bytes);
        let mut events = Vec::new();
        let mut changes = Vec::new();
        let began_before = self.incomplete_since.remove(&peer);
        let mut completes_message = false;
        while let Some(next) = self.frames.get_mut(&peer).and_then(|frames| frames.take().transpose()) {
            completes_message = true;
            match next {
                Ok(message) => self.on_message(peer, message, view, &mut events, &mut changes),
                Err(error) => {
                    events.push(SaspEvent::Close(error.to_string()));
                    break;
                }
            }
        }
        if self.frames.get(&peer).is_some_and(|frames| !frames.is_empty()) {
            let continues = began_before.filter(|_| !completes_message);
            self.incomplete_since.insert(peer, continues.unwrap_or(view.now));
        }
        events.extend(self.events_of(peer, changes));
        events
    }

    /// The incomplete message of a connection.
    pub fn incomplete_message(&self, peer: Peer) -> IncompleteMessage {
        let bytes = self.frames.get(&peer).map_or(0, Frames::buffered_bytes);
        IncompleteMessage { bytes, since: self.incomplete_since.get(&peer).copied() }
    }

    fn on_message(
        &mut self,
        peer: Peer,
        message: Message,
        view: &BalancerView<'_>,
        events: &mut Vec<SaspEvent>,
        changes: &mut Vec<Change>,
    ) {
        let requests_weights = matches!(message.body, Body::GetWeights { .. });
        // Guards against a balancer without a table receiving weights of 0, which would leave it without servers.
        if requests_weights && view.assigned_tables.is_empty() {
            let reply = try_later(message.id, self.interval);
            return events.push(SaspEvent::Write(reply.encode().to_vec()));
        }
        let lookup = |group: &Group, member: &Member| view.weight(group, member);
        for answer in self.advisor.handle_message(peer, message, &lookup, changes) {
            match answer {
                Answer::Send(_, reply) => {
                    if requests_weights
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

    /// Handles a closed connection: members that registered themselves or that a balancer registered on it are removed.
    /// All of these reports name [`Reporter::Member`], since the advisor no longer knows the peer as a balancer.
    pub fn on_closed(&mut self, peer: Peer) -> Vec<SaspEvent> {
        self.frames.remove(&peer);
        self.incomplete_since.remove(&peer);
        let mut changes = Vec::new();
        self.advisor.closed(peer, &mut changes);
        self.events_of(peer, changes)
    }

    /// Encodes the weights to push to a balancer; `None` if it polls or no weight has changed.
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
