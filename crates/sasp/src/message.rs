//! The messages of SASP and their components (RFC 4678, sections 5 and 6). [`crate::Frames`] decodes them,
//! [`Message::encode`] encodes them.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use crate::numbers::*;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnCode {
    /// The request has been carried out.
    Successful,
    /// The message was not understood.
    NotUnderstood,
    /// The sender may not make this request.
    WillNotAccept,
    /// A member is registered already, by its load balancer or by the sender.
    AlreadyRegistered,
    /// A member is not registered.
    NotRegistered,
    /// A member stands twice in one request.
    DuplicateMember,
    /// The group is not registered.
    InvalidGroup,
    /// The group's name is empty.
    InvalidGroupNameSize,
    /// The load balancer's id is empty.
    InvalidUidSize,
    /// A load balancer registers a member that has registered itself.
    MemberRegistersItself,
    /// The load balancer of the group has not registered yet.
    NoGroupYet,
    /// A limit is reached; retry later.
    TryLater,
    /// A code that is not defined here; kept as received.
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

    /// The result that a code on the wire stands for.
    pub fn read(number: u8) -> Self {
        CODES.iter().find(|(_, known)| *known == number).map_or(ReturnCode::Other(number), |(code, _)| *code)
    }
}

/// A server as the protocol names it (Member Data Component).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// IP protocol number; 6: TCP.
    pub protocol: u8,
    /// Port at which the member serves.
    pub port: u16,
    /// IPv4 in its mapped form.
    pub address: Ipv6Addr,
    /// At most 255 bytes.
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

    /// Address and port; an IPv4 address in its own form.
    pub fn socket(&self) -> SocketAddr {
        SocketAddr::new(self.address.to_canonical(), self.port)
    }
}

/// The name of a group of members of a load balancer (Group Data Component).
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
    /// Opaque to the protocol.
    pub state: u8,
    /// The load balancer said that it reaches the member.
    pub contact: bool,
    /// The member is to receive no new work.
    pub quiesce: bool,
    /// The load balancer registered the member; otherwise it registered itself.
    pub registered_by_balancer: bool,
    /// The workload manager knows the member, so that its weight has a meaning.
    pub confident: bool,
    /// Share of the group's work relative to its other members; 0: none.
    pub weight: u16,
    /// The member that the weight is for.
    pub member: Member,
}

/// State of one member, as reported by itself or by its load balancer (Member State Instance).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Opaque to the protocol.
    pub state: u8,
    /// The load balancer reaches the member.
    pub contact: bool,
    /// The member is to receive no new work.
    pub quiesce: bool,
    /// The member that it is the state of.
    pub member: Member,
}

/// Flags of a load balancer (Set Load Balancer State).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LbFlags {
    /// Push weights: send them without a request.
    pub push: bool,
    /// Trust members: they may register themselves.
    pub trust: bool,
    /// Leave members without a change out of pushes.
    pub no_change: bool,
}

/// What a message says: a request, its reply, or pushed weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Registration Request.
    Register {
        /// A load balancer sends it; otherwise a member for itself.
        from_balancer: bool,
        /// Members to register.
        groups: Vec<GroupOf<Member>>,
    },
    /// Registration Reply.
    Registered(ReturnCode),
    /// Deregistration Request.
    Deregister {
        /// A load balancer sends it; otherwise a member for itself.
        from_balancer: bool,
        /// Why, by the sender; not interpreted.
        reason: u8,
        /// Members to deregister; a group without members stands for all of its members.
        groups: Vec<GroupOf<Member>>,
    },
    /// Deregistration Reply.
    Deregistered(ReturnCode),
    /// Get Weights Request.
    GetWeights {
        /// Groups of the load balancer that requests.
        groups: Vec<Group>,
    },
    /// Get Weights Reply.
    Weights {
        /// Result of the request.
        code: ReturnCode,
        /// Seconds until the next request is due.
        interval: u16,
        /// Weights of the requested groups; empty unless successful.
        groups: Vec<GroupOf<WeightEntry>>,
    },
    /// Send Weights: weights that are pushed.
    SendWeights {
        /// Weights of the groups in which something changed.
        groups: Vec<GroupOf<WeightEntry>>,
    },
    /// Set Load Balancer State Request.
    SetLbState {
        /// The load balancer's id (LB UID).
        balancer: Vec<u8>,
        /// Its health; not interpreted.
        health: u8,
        /// How it is to be served.
        flags: LbFlags,
    },
    /// Set Load Balancer State Reply.
    LbStateSet(ReturnCode),
    /// Set Member State Request.
    SetMemberState {
        /// A load balancer sends it; otherwise a member for itself.
        from_balancer: bool,
        /// States of members.
        groups: Vec<GroupOf<MemberState>>,
    },
    /// Set Member State Reply.
    MemberStateSet(ReturnCode),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Chosen by the sender of a request; a reply has the id of its request.
    pub id: u32,
    /// What it says.
    pub body: Body,
}
