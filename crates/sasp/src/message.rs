//! Messages of the protocol and their parts.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use crate::numbers::*;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnCode {
    /// Carried out.
    Successful,
    /// The request is malformed.
    NotUnderstood,
    /// The peer may not ask for this.
    WillNotAccept,
    /// The member is registered.
    AlreadyRegistered,
    /// The member is not registered.
    NotRegistered,
    /// The request names a member twice.
    DuplicateMember,
    /// The group is not registered.
    InvalidGroup,
    /// The group's name is empty.
    InvalidGroupNameSize,
    /// The balancer's id is empty.
    InvalidUidSize,
    /// The member has registered itself.
    MemberRegistersItself,
    /// The balancer has not registered yet.
    NoGroupYet,
    /// The limits are reached.
    TryLater,
    /// A code that the table of numbers does not have.
    Other(u8),
}

const CODES: [(ReturnCode, u8); 12] = [
    (ReturnCode::Successful, SUCCESSFUL),
    (ReturnCode::NotUnderstood, NOT_UNDERSTOOD),
    (ReturnCode::WillNotAccept, WILL_NOT_ACCEPT),
    (ReturnCode::AlreadyRegistered, ALREADY_REGISTERED),
    (ReturnCode::NotRegistered, NOT_REGISTERED),
    (ReturnCode::DuplicateMember, DUPLICATE_MEMBER),
    (ReturnCode::InvalidGroup, INVALID_GROUP),
    (ReturnCode::InvalidGroupNameSize, INVALID_GROUP_NAME_SIZE),
    (ReturnCode::InvalidUidSize, INVALID_UID_SIZE),
    (ReturnCode::MemberRegistersItself, MEMBER_REGISTERS_ITSELF),
    (ReturnCode::NoGroupYet, NO_GROUP_YET),
    (ReturnCode::TryLater, TRY_LATER),
];

impl ReturnCode {
    /// The code on the wire.
    pub fn number(self) -> u8 {
        match self {
            ReturnCode::Other(number) => number,
            known => {
                CODES.iter().find(|(code, _)| *code == known).map_or(NOT_UNDERSTOOD, |(_, number)| *number)
            }
        }
    }

    /// The result with this code on the wire.
    pub fn from_number(number: u8) -> Self {
        CODES.iter().find(|(_, known)| *known == number).map_or(ReturnCode::Other(number), |(code, _)| *code)
    }
}

/// A server as the protocol names it (Member Data Component).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// IP protocol number; 6: TCP.
    pub protocol: u8,
    /// TCP or UDP port.
    pub port: u16,
    /// IPv4 in its mapped form.
    pub address: Ipv6Addr,
    /// Free text of at most 255 bytes; a locality, where the member names one.
    pub label: Vec<u8>,
}

impl Member {
    /// A server that is reached by TCP at an address.
    pub fn tcp(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        Member { protocol: 6, port: address.port(), address: ip, label: Vec::new() }
    }

    /// Address and port, IPv4 where it is mapped.
    pub fn socket(&self) -> SocketAddr {
        SocketAddr::new(self.address.to_canonical(), self.port)
    }
}

/// A group of members, known by the balancer that has it (Group Data Component).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// The balancer's id, of at most 255 bytes.
    pub balancer: Vec<u8>,
    /// Name of the group, of at most 255 bytes.
    pub name: Vec<u8>,
}

/// One member's weight (Weight Entry Data Component).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightEntry {
    /// Opaque to the protocol.
    pub state: u8,
    /// The balancer reaches the member.
    pub contact: bool,
    /// The member takes nothing new.
    pub quiesce: bool,
    /// The balancer has registered the member, not the member itself.
    pub registered_by_balancer: bool,
    /// The manager knows the member, so that the weight means something.
    pub confident: bool,
    /// Share of the work, relative to the group's other members.
    pub weight: u16,
    /// The member.
    pub member: Member,
}

/// State of one member (Member State Instance).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Opaque to the protocol.
    pub state: u8,
    /// The balancer reaches the member; meaningless from a member.
    pub contact: bool,
    /// The member takes nothing new.
    pub quiesce: bool,
    /// The member.
    pub member: Member,
}

/// How a balancer wants to be served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LbFlags {
    /// Push weights when they change.
    pub push: bool,
    /// Members may register themselves.
    pub trust: bool,
    /// Push only entries that have changed.
    pub no_change: bool,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Request to register members.
    Register {
        /// A balancer asks, not a member for itself.
        from_balancer: bool,
        /// The members, by group.
        groups: Vec<(Group, Vec<Member>)>,
    },
    /// Reply to [`Body::Register`].
    Registered(ReturnCode),
    /// Request to deregister members.
    Deregister {
        /// A balancer asks, not a member for itself.
        from_balancer: bool,
        /// Opaque to the manager.
        reason: u8,
        /// The members, by group; a group without members stands for all of them.
        groups: Vec<(Group, Vec<Member>)>,
    },
    /// Reply to [`Body::Deregister`].
    Deregistered(ReturnCode),
    /// Request for weights.
    GetWeights {
        /// Of these groups.
        groups: Vec<Group>,
    },
    /// Reply to [`Body::GetWeights`].
    Weights {
        /// Whether there are weights.
        code: ReturnCode,
        /// After how long to ask again, s.
        interval: u16,
        /// The weights, by group.
        groups: Vec<(Group, Vec<WeightEntry>)>,
    },
    /// Pushed weights; no reply.
    SendWeights {
        /// The weights, by group.
        groups: Vec<(Group, Vec<WeightEntry>)>,
    },
    /// Request of a balancer to be served in some way.
    SetLbState {
        /// The balancer's id.
        balancer: Vec<u8>,
        /// The balancer's own health; the manager does not use it.
        health: u8,
        /// How it wants to be served.
        flags: LbFlags,
    },
    /// Reply to [`Body::SetLbState`].
    LbStateSet(ReturnCode),
    /// Request to set members' states.
    SetMemberState {
        /// A balancer asks, not a member for itself.
        from_balancer: bool,
        /// The states, by group.
        groups: Vec<(Group, Vec<MemberState>)>,
    },
    /// Reply to [`Body::SetMemberState`].
    MemberStateSet(ReturnCode),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Number of a request, repeated in its reply.
    pub id: u32,
    /// Content.
    pub body: Body,
}
