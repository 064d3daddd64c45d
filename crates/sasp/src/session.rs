//! All connections of one workload manager: who has registered what, who may, and what they are answered. Called with
//! decoded messages; free of I/O and clock.

mod authorization;
mod registration;
mod weight_replies;

use std::collections::BTreeMap;

use crate::message::{Body, Group, LbFlags, Member, Message};
use crate::weights::MemberWeight;

/// Number of a connection, given by the caller and never given twice.
pub type Peer = u64;

/// What one balancer may cost.
#[derive(Clone, Copy, Debug)]
pub struct SessionLimits {
    /// Most members of one balancer, all its groups together.
    pub max_members: usize,
    /// Most groups of one balancer.
    pub max_groups: usize,
    /// Requests for weights that are answered in a report interval; more are told to try later.
    pub max_weight_requests: u32,
    /// After how long a polling balancer is to ask again, s.
    pub poll_interval: u16,
}

/// What has changed, for those who decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// A connection has said which balancer it is.
    BalancerJoined {
        /// The connection.
        peer: Peer,
        /// The balancer's id.
        balancer: Vec<u8>,
    },
    /// A balancer's connection was closed.
    BalancerLeft {
        /// The connection.
        peer: Peer,
    },
    /// A member was registered, deregistered, or has another state.
    MemberUpdated {
        /// Its group.
        group: Group,
        /// The member.
        member: Member,
        /// It is registered.
        registered: bool,
        /// It takes no new work.
        quiesce: bool,
    },
}

impl SessionEvent {
    fn registered(group: &Group, member: Member) -> Self {
        SessionEvent::MemberUpdated { group: group.clone(), member, registered: true, quiesce: false }
    }

    fn deregistered(group: &Group, member: Member) -> Self {
        SessionEvent::MemberUpdated { group: group.clone(), member, registered: false, quiesce: false }
    }
}

/// What a connection gets for its message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A message.
    Send(Peer, Message),
    /// Its end, and why.
    Close(Peer, &'static str),
}

/// Weight of a member of a group by the tables; `None` where they do not know it.
pub type WeightLookup<'a> = &'a dyn Fn(&Group, &Member) -> Option<MemberWeight>;

/// A member as it was registered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Registration {
    /// The connection of the member itself; `None` where its balancer has registered it.
    registered_itself: Option<Peer>,
    state: u8,
    contact: bool,
    quiesce: bool,
    last_pushed: Option<PushedEntry>,
}

/// What a push has said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PushedEntry {
    weight: u16,
    quiesce: bool,
    confident: bool,
}

#[derive(Debug, Default)]
struct Connection {
    /// Id of the balancer, once it has said one.
    balancer: Option<Vec<u8>>,
    flags: LbFlags,
    /// Requests for weights in this report interval.
    weight_requests: u32,
}

/// The workload manager's side of all connections.
#[derive(Debug)]
pub struct WorkloadManager {
    limits: SessionLimits,
    connections: BTreeMap<Peer, Connection>,
    groups: BTreeMap<Group, BTreeMap<Member, Registration>>,
    last_message_id: u32,
}

impl WorkloadManager {
    /// No connections yet.
    pub fn new(limits: SessionLimits) -> Self {
        WorkloadManager { limits, connections: BTreeMap::new(), groups: BTreeMap::new(), last_message_id: 0 }
    }

    /// A connection was opened.
    pub fn on_opened(&mut self, peer: Peer) {
        self.connections.insert(peer, Connection::default());
    }

    /// A connection was closed. A balancer's groups go with it, and members that registered themselves on it.
    pub fn on_closed(&mut self, peer: Peer, events: &mut Vec<SessionEvent>) {
        let Some(connection) = self.connections.remove(&peer) else { return };
        if let Some(balancer) = connection.balancer {
            if self.connection_of(&balancer).is_none() {
                let groups = self.groups.keys().filter(|group| group.balancer == balancer);
                let groups: Vec<Group> = groups.cloned().collect();
                groups.into_iter().for_each(|group| self.remove_group(&group, events));
                events.push(SessionEvent::BalancerLeft { peer });
            }
        }
        for (group, members) in &mut self.groups {
            members.retain(|member, registration| {
                let removed = registration.registered_itself == Some(peer);
                if removed {
                    events.push(SessionEvent::deregistered(group, member.clone()));
                }
                !removed
            });
        }
    }

    /// A report interval is over: requests for weights count anew.
    pub fn on_report_interval(&mut self) {
        self.connections.values_mut().for_each(|connection| connection.weight_requests = 0);
    }

    /// Takes one message. A reply where only requests are expected closes the connection: its peer is no balancer.
    pub fn on_message(
        &mut self,
        peer: Peer,
        message: Message,
        lookup: WeightLookup<'_>,
        events: &mut Vec<SessionEvent>,
    ) -> Vec<Reply> {
        let body = match message.body {
            Body::Register { from_balancer, groups } => {
                Body::Registered(self.register(peer, from_balancer, groups, events))
            }
            Body::Deregister { from_balancer, groups, .. } => {
                Body::Deregistered(self.deregister(peer, from_balancer, groups, events))
            }
            Body::GetWeights { groups } => self.get_weights(peer, &groups, lookup),
            Body::SetLbState { balancer, flags, .. } => {
                Body::LbStateSet(self.set_lb_state(peer, &balancer, flags, events))
            }
            Body::SetMemberState { from_balancer, groups } => {
                Body::MemberStateSet(self.set_member_state(peer, from_balancer, groups, events))
            }
            Body::Registered(_)
            | Body::Deregistered(_)
            | Body::Weights { .. }
            | Body::SendWeights { .. }
            | Body::LbStateSet(_)
            | Body::MemberStateSet(_) => {
                return vec![Reply::Close(peer, "a reply where a request is expected")]
            }
        };
        vec![Reply::Send(peer, Message { id: message.id, body })]
    }

    /// Whether a balancer wants weights pushed.
    pub fn wants_push(&self, peer: Peer) -> bool {
        self.connections.get(&peer).is_some_and(|connection| connection.flags.push)
    }

    /// Whether a connection has said that it is a balancer's.
    pub fn is_balancer(&self, peer: Peer) -> bool {
        self.connections.get(&peer).is_some_and(|connection| connection.balancer.is_some())
    }

    /// Count of registered members, all groups together.
    pub fn member_count(&self) -> usize {
        self.groups.values().map(BTreeMap::len).sum()
    }

    fn connection_of(&self, balancer: &[u8]) -> Option<Peer> {
        let of_balancer =
            |(_, connection): &(&Peer, &Connection)| connection.balancer.as_deref() == Some(balancer);
        self.connections.iter().find(of_balancer).map(|(&peer, _)| peer)
    }

    fn remove_group(&mut self, group: &Group, events: &mut Vec<SessionEvent>) {
        for member in self.groups.remove(group).unwrap_or_default().into_keys() {
            events.push(SessionEvent::deregistered(group, member));
        }
    }
}
