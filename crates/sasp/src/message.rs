//! The messages of SASP and their components (RFC 4678, sections 5 and 6). [`crate::Frames`] decodes them,
//! [`Message::encode`] encodes them.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use crate::numbers::*;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnCode {
    /// The request has been carried out.
    Successful,
    /// The manager did not understand the message.
    NotUnderstood,
    /// The sender is not permitted to make this request.
    WillNotAccept,
    /// A member is registered already.
    AlreadyRegistered,
    /// A member is not registered.
    NotRegistered,
    /// A member occurs twice in one request.
    DuplicateMember,
    /// The group is not registered.
    InvalidGroup,
    /// The group's name is empty.
    InvalidGroupNameSize,
    /// The load balancer's id is empty.
    InvalidUidSize,
    /// A load balancer tries to register a member that has registered itself.
    MemberRegistersItself,
    /// The load balancer of the group has not registered yet.
    NoGroupYet,
    /// A limit is reached; retry later.
    TryLater,
    /// A code that is not defined here, as received.
    Other(u8),
}

/// The defined return codes and their numbers on the wire.
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
    /// The number of the code on the wire.
    pub fn number(self) -> u8 {
        match self {
            ReturnCode::Other(number) => number,
            known => {
                CODES.iter().find(|(code, _)| *code == known).map_or(NOT_UNDERSTOOD, |(_, number)| *number)
            }
        }
    }

    /// The code with this number on the wire.
    pub fn from_number(number: u8) -> Self {
        CODES.iter().find(|(_, known)| *known == number).map_or(ReturnCode::Other(number), |(code, _)| *code)
    }
}

/// A member: a server as the protocol identifies it (Member Data Component).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// IP protocol number, such as 6 for TCP.
    pub protocol: u8,
    /// Port of the member.
    pub port: u16,
    /// IP address of the member; an IPv4 address in its IPv6-mapped form.
    pub address: Ipv6Addr,
    /// Label of the member, at most 255 bytes.
    pub label: Vec<u8>,
}

impl Member {
    /// The member that serves TCP at an address, without a label.
    pub fn tcp(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        Member { protocol: 6, port: address.port(), address: ip, label: Vec::new() }
    }

    /// Address and port of the member; a mapped IPv4 address is converted back to IPv4.
    pub fn socket(&self) -> SocketAddr {
        SocketAddr::new(self.address.to_canonical(), self.port)
    }
}

/// Identifies a group of a load balancer's members (Group Data Component).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// The load balancer's id (LB UID); at most 255 bytes.
    pub balancer: Vec<u8>,
    /// The group's name; at most 255 bytes.
    pub name: Vec<u8>,
}

/// A group and its items: one of the components Group of Member Data, Group of Weight Entry Data, and Group of Member
/// State Data.
pub type GroupOf<T> = (Group, Vec<T>);

/// One member's weight (Weight Entry Data Component).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightEntry {
    /// State of the member, which the protocol does not interpret.
    pub state: u8,
    /// Whether the load balancer has reported that it reaches the member.
    pub contact: bool,
    /// Whether the member is to receive no new work.
    pub quiesce: bool,
    /// Whether the load balancer registered the member; otherwise the member registered itself.
    pub registered_by_balancer: bool,
    /// Whether the workload manager knows the member, so that its weight is meaningful.
    pub confident: bool,
    /// Share of the group's work relative to the other members; 0 for no work.
    pub weight: u16,
    /// The member that has the weight.
    pub member: Member,
}

/// State of one member, as reported by the member itself or by its load balancer (Member State Instance).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// State of the member, which the protocol does not interpret.
    pub state: u8,
    /// Whether the load balancer reaches the member.
    pub contact: bool,
    /// Whether the member is to receive no new work.
    pub quiesce: bool,
    /// The member that has the state.
    pub member: Member,
}

/// Flags of a load balancer (Set Load Balancer State).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LbFlags {
    /// Whether weights are pushed: sent without a request.
    pub push: bool,
    /// Whether members are trusted: they may register themselves.
    pub trust: bool,
    /// Whether pushes contain only the members that have changed.
    pub no_change: bool,
}

/// The content of a message: a request, a reply, or pushed weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Registration Request.
    Register {
        /// Whether a load balancer sends the request; otherwise a member sends it for itself.
        from_balancer: bool,
        /// Members to register.
        groups: Vec<GroupOf<Member>>,
    },
    /// Registration Reply.
    Registered(ReturnCode),
    /// Deregistration Request.
    Deregister {
        /// Whether a load balancer sends the request; otherwise a member sends it for itself.
        from_balancer: bool,
        /// Reason given by the sender; not interpreted.
        reason: u8,
        /// Members to deregister; a group with an empty list stands for all of its members.
        groups: Vec<GroupOf<Member>>,
    },
    /// Deregistration Reply.
    Deregistered(ReturnCode),
    /// Get Weights Request.
    GetWeights {
        /// Groups of the requesting load balancer.
        groups: Vec<Group>,
    },
    /// Get Weights Reply.
    Weights {
        /// Result of the request.
        code: ReturnCode,
        /// Time until the load balancer is to send its next request, seconds.
        interval: u16,
        /// Weights of the requested groups; empty unless the request succeeded.
        groups: Vec<GroupOf<WeightEntry>>,
    },
    /// Send Weights: pushed weights.
    SendWeights {
        /// Weights of the groups that have changed.
        groups: Vec<GroupOf<WeightEntry>>,
    },
    /// Set Load Balancer State Request.
    SetLbState {
        /// The load balancer's id (LB UID).
        balancer: Vec<u8>,
        /// Health of the load balancer; not interpreted.
        health: u8,
        /// How the load balancer is to be served.
        flags: LbFlags,
    },
    /// Set Load Balancer State Reply.
    LbStateSet(ReturnCode),
    /// Set Member State Request.
    SetMemberState {
        /// Whether a load balancer sends the request; otherwise a member sends it for itself.
        from_balancer: bool,
        /// States of members, by group.
        groups: Vec<GroupOf<MemberState>>,
    },
    /// Set Member State Reply.
    MemberStateSet(ReturnCode),
}

/// A message of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Id of the message. The sender of a request chooses it, and the reply has the same id.
    pub id: u32,
    /// Content of the message.
    pub body: Body,
}
