//! The workload manager's state of all connections: registers load balancers and members, checks which requests a sender may
//! make, and replies. Does no I/O and reads no clock. All connections share one state, since what a member may do depends on
//! its load balancer's connection.

mod authorization;
mod member_state;
mod registration;
mod weight_messages;

use std::collections::BTreeMap;

use crate::message::{Body, Group, LbFlags, Member, Message, ReturnCode};
use crate::weights::TableWeight;

/// Number of a connection, assigned by the caller; never reused.
pub type Peer = u64;

/// Limits of one load balancer and its connection.
#[derive(Clone, Copy, Debug)]
pub struct BalancerLimits {
    /// Largest number of members of one load balancer, in all its groups together.
    pub members: usize,
    /// Largest number of groups of one load balancer.
    pub groups: usize,
    /// Largest number of Get Weights Requests that a connection may send in a report interval; further ones are rejected with
    /// [`ReturnCode::TryLater`].
    pub weight_requests: u32,
    /// Time after which a polling load balancer is to send its next request, seconds.
    pub interval: u16,
}

/// A change of the state, reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A load balancer has sent its id for the first time on its connection.
    Joined {
        /// The load balancer's connection.
        peer: Peer,
        /// The load balancer's id (LB UID).
        balancer: Vec<u8>,
    },
    /// A load balancer's connection has ended.
    Left {
        /// The connection.
        peer: Peer,
    },
    /// A member was registered, deregistered, or changed its state, by itself or by its load balancer.
    Member {
        /// The group that the member is in.
        group: Group,
        /// The member.
        member: Member,
        /// Whether the member is registered; otherwise it was deregistered.
        registered: bool,
        /// Whether the member is to receive no new work.
        quiesce: bool,
    },
}

impl Change {
    fn deregistered(group: Group, member: Member) -> Self {
        Change::Member { group, member, registered: false, quiesce: false }
    }
}

/// What the caller must do in response to a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send this message to this peer.
    Send(Peer, Message),
    /// Close this peer's connection, for this reason.
    Close(Peer, &'static str),
}

/// Function that looks up the weight of a member of a group; it returns `None` if no table has the member.
pub type WeightLookup<'a> = &'a dyn Fn(&Group, &Member) -> Option<TableWeight>;

/// State of one registered member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Registration {
    /// The connection on which the member registered itself; `None` if its load balancer registered it.
    self_registered_by: Option<Peer>,
    state: u8,
    contact: bool,
    quiesce: bool,
    /// The weight that was last pushed to the load balancer.
    pushed: Option<PushedWeight>,
}

/// The fields of a weight entry whose changes are pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PushedWeight {
    weight: u16,
    quiesce: bool,
    confident: bool,
}

/// State of one connection.
#[derive(Debug, Default)]
struct Connection {
    /// The load balancer's id, once it has sent one.
    balancer: Option<Vec<u8>>,
    flags: LbFlags,
    /// Number of Get Weights Requests since the report interval began.
    weight_requests: u32,
}

/// The workload manager, with the state of all connections.
#[derive(Debug)]
pub struct Advisor {
    limits: BalancerLimits,
    connections: BTreeMap<Peer, Connection>,
    groups: BTreeMap<Group, BTreeMap<Member, Registration>>,
    last_id: u32,
}

impl Advisor {
    /// Creates a manager without connections.
    pub fn new(limits: BalancerLimits) -> Self {
        Advisor { limits, connections: BTreeMap::new(), groups: BTreeMap::new(), last_id: 0 }
    }

    /// Records that a connection was opened.
    pub fn opened(&mut self, peer: Peer) {
        self.connections.insert(peer, Connection::default());
    }

    /// Records that a connection has ended. If it was a load balancer's, its groups are removed, and so are members that
    /// registered themselves on the connection.
    pub fn closed(&mut self, peer: Peer, changes: &mut Vec<Change>) {
        let Some(connection) = self.connections.remove(&peer) else { return };
        if let Some(balancer) = connection.balancer {
            self.remove_balancer(peer, &balancer, changes);
        }
        self.remove_self_registered(peer, changes);
    }

    /// Resets the counts of requests; the caller does so at the start of each report interval.
    pub fn start_report_interval(&mut self) {
        self.connections.values_mut().for_each(|connection| connection.weight_requests = 0);
    }

    /// Handles one message of a peer; returns what the caller must do. Appends the resulting changes to `changes`.
    ///
    /// A peer that sends a reply is disconnected, since only a manager sends replies.
    pub fn handle_message(
        &mut self,
        peer: Peer,
        message: Message,
        lookup: WeightLookup<'_>,
        changes: &mut Vec<Change>,
    ) -> Vec<Answer> {
        let id = message.id;
        let body = match message.body {
            Body::Register { from_balancer, groups } => {
                let sender = Sender::new(peer, from_balancer);
                Body::Registered(return_code(self.register(sender, groups, changes)))
            }
            Body::Deregister { from_balancer, groups, .. } => {
                let sender = Sender::new(peer, from_balancer);
                Body::Deregistered(return_code(self.deregister(sender, groups, changes)))
            }
            Body::GetWeights { groups } => self.get_weights(peer, &groups, lookup),
            Body::SetLbState { balancer, flags, .. } => {
                Body::LbStateSet(return_code(self.set_balancer_state(peer, &balancer, flags, changes)))
            }
            Body::SetMemberState { from_balancer, groups } => {
                let sender = Sender::new(peer, from_balancer);
                Body::MemberStateSet(return_code(self.set_member_state(sender, groups, changes)))
            }
            Body::Registered(_)
            | Body::Deregistered(_)
            | Body::Weights { .. }
            | Body::SendWeights { .. }
            | Body::LbStateSet(_)
            | Body::MemberStateSet(_) => {
                return vec![Answer::Close(peer, "reply where a request was expected")]
            }
        };
        vec![Answer::Send(peer, Message { id, body })]
    }

    /// Whether this peer is a load balancer that has requested pushed weights.
    pub fn pushes(&self, peer: Peer) -> bool {
        self.connections.get(&peer).is_some_and(|connection| connection.flags.push)
    }

    /// Whether this peer is a load balancer, that is, has sent an id.
    pub fn is_balancer(&self, peer: Peer) -> bool {
        self.connections.get(&peer).is_some_and(|connection| connection.balancer.is_some())
    }

    /// Number of registered members, in all groups together.
    pub fn member_count(&self) -> usize {
        self.groups.values().map(BTreeMap::len).sum()
    }
}

/// The sender of a request.
#[derive(Clone, Copy)]
struct Sender {
    peer: Peer,
    role: Role,
}

/// The role in which a request is sent, according to its flag.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    LoadBalancer,
    /// A member that sends the request for itself.
    Member,
}

impl Sender {
    fn new(peer: Peer, from_balancer: bool) -> Self {
        Sender { peer, role: if from_balancer { Role::LoadBalancer } else { Role::Member } }
    }
}

fn return_code(result: Result<(), ReturnCode>) -> ReturnCode {
    result.err().unwrap_or(ReturnCode::Successful)
}
