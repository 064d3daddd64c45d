//! The workload manager's side of all connections: which load balancer registered which members, who may send which
//! request, and the replies. Free of I/O and clock. One state for all connections, since what a member may do depends
//! on its load balancer's connection.

mod authorization;
mod member_state;
mod registration;
mod weight_messages;

use std::collections::BTreeMap;

use crate::message::{Body, Group, LbFlags, Member, Message, ReturnCode};
use crate::weights::TableWeight;

/// Number of a connection, given by the owner of the connections; never given twice.
pub type Peer = u64;

/// Limits of one load balancer and its connection.
#[derive(Clone, Copy, Debug)]
pub struct BalancerLimits {
    /// Members of one load balancer, in all its groups together.
    pub members: usize,
    /// Groups of one load balancer.
    pub groups: usize,
    /// Get Weights Requests that a connection may send in a report interval; further ones are rejected with
    /// [`ReturnCode::TryLater`].
    pub weight_requests: u32,
    /// Seconds until a load balancer that polls is to send its next request.
    pub interval: u16,
}

/// What has changed, for the caller's decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A load balancer gave its id for the first time.
    Joined {
        /// Its connection.
        peer: Peer,
        /// Its id (LB UID).
        balancer: Vec<u8>,
    },
    /// A load balancer's connection has ended.
    Left {
        /// Its connection.
        peer: Peer,
    },
    /// A member was registered, deregistered, or changed its state, by itself or by its load balancer.
    Member {
        /// The group it is in.
        group: Group,
        /// The member.
        member: Member,
        /// It is registered; otherwise it has been deregistered.
        registered: bool,
        /// It is to receive no new work.
        quiesce: bool,
    },
}

impl Change {
    fn deregistered(group: Group, member: Member) -> Self {
        Change::Member { group, member, registered: false, quiesce: false }
    }
}

/// What the caller is to do for a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send this message to this peer.
    Send(Peer, Message),
    /// Close this peer's connection, for this reason.
    Close(Peer, &'static str),
}

/// Looks up the weight of a member of a group; `None` where no table has the member.
pub type WeightLookup<'a> = &'a dyn Fn(&Group, &Member) -> Option<TableWeight>;

/// State of a registered member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Registration {
    /// The connection on which the member registered itself; `None`: its load balancer registered it.
    self_registered_by: Option<Peer>,
    state: u8,
    contact: bool,
    quiesce: bool,
    /// What the load balancer was sent last.
    pushed: Option<PushedWeight>,
}

/// The part of a weight entry whose change is pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PushedWeight {
    weight: u16,
    quiesce: bool,
    confident: bool,
}

/// State of one connection.
#[derive(Debug, Default)]
struct Connection {
    /// The load balancer's id, once it has given one.
    balancer: Option<Vec<u8>>,
    flags: LbFlags,
    /// Since the report interval began.
    weight_requests: u32,
}

/// The workload manager's side of all connections.
#[derive(Debug)]
pub struct Advisor {
    limits: BalancerLimits,
    connections: BTreeMap<Peer, Connection>,
    groups: BTreeMap<Group, BTreeMap<Member, Registration>>,
    last_id: u32,
}

impl Advisor {
    /// A manager without connections.
    pub fn new(limits: BalancerLimits) -> Self {
        Advisor { limits, connections: BTreeMap::new(), groups: BTreeMap::new(), last_id: 0 }
    }

    /// A connection was opened.
    pub fn opened(&mut self, peer: Peer) {
        self.connections.insert(peer, Connection::default());
    }

    /// A connection has ended. A load balancer's groups are removed, and so are members that registered themselves on
    /// the connection.
    pub fn closed(&mut self, peer: Peer, changes: &mut Vec<Change>) {
        let Some(connection) = self.connections.remove(&peer) else { return };
        if let Some(balancer) = connection.balancer {
            self.remove_balancer(peer, &balancer, changes);
        }
        self.remove_self_registered(peer, changes);
    }

    /// Starts a new count of requests; called once a report interval.
    pub fn start_report_interval(&mut self) {
        self.connections.values_mut().for_each(|connection| connection.weight_requests = 0);
    }

    /// Handles one message of a peer. Appends what has changed to `changes`.
    ///
    /// A reply closes the connection: only a manager sends replies.
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

    /// Whether this peer is a load balancer that wants weights pushed.
    pub fn pushes(&self, peer: Peer) -> bool {
        self.connections.get(&peer).is_some_and(|connection| connection.flags.push)
    }

    /// Whether this peer is a load balancer: it has given an id.
    pub fn is_balancer(&self, peer: Peer) -> bool {
        self.connections.get(&peer).is_some_and(|connection| connection.balancer.is_some())
    }

    /// Registered members, in all groups together.
    pub fn member_count(&self) -> usize {
        self.groups.values().map(BTreeMap::len).sum()
    }
}

/// Who sends a request.
#[derive(Clone, Copy)]
struct Sender {
    peer: Peer,
    role: Role,
}

/// For whom a request is sent, by its flag.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    LoadBalancer,
    /// A member that sends it for itself.
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
