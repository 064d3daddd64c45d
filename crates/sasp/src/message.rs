use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use crate::numbers::*;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnCode {
    Successful,
    NotUnderstood,
    WillNotAccept,
    AlreadyRegistered,
    NotRegistered,
    DuplicateMember,
    InvalidGroup,
    InvalidGroupNameSize,
    InvalidUidSize,
    MemberRegistersItself,
    NoGroupYet,
    TryLater,
    /// One that this table does not have: told, never guessed at.
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
    pub fn number(self) -> u8 {
        match self {
            ReturnCode::Other(number) => number,
            known => {
                CODES.iter().find(|(code, _)| *code == known).map_or(NOT_UNDERSTOOD, |(_, number)| *number)
            }
        }
    }

    pub fn read(number: u8) -> Self {
        CODES.iter().find(|(_, known)| *known == number).map_or(ReturnCode::Other(number), |(code, _)| *code)
    }
}

/// A server as the protocol names it (Member Data Component).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// IP protocol number; 6: TCP.
    pub protocol: u8,
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

    pub fn socket(&self) -> SocketAddr {
        SocketAddr::new(self.address.to_canonical(), self.port)
    }
}

/// A group of members, known by the balancer that has it (Group Data Component).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// The balancer's own id; at most 255 bytes each.
    pub balancer: Vec<u8>,
    pub name: Vec<u8>,
}

/// One member's weight (Weight Entry Data Component).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightEntry {
    /// Opaque to the protocol.
    pub state: u8,
    /// The balancer said that it reaches the member.
    pub contact: bool,
    /// Nothing new may go there.
    pub quiesce: bool,
    pub registered_by_balancer: bool,
    /// The manager knows enough of the member to mean the weight.
    pub confident: bool,
    pub weight: u16,
    pub member: Member,
}

/// What is said of one member (Member State Instance).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberState {
    pub state: u8,
    pub contact: bool,
    pub quiesce: bool,
    pub member: Member,
}

/// How a balancer wants to be served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LbFlags {
    /// Send weights unasked.
    pub push: bool,
    /// Members may register themselves.
    pub trust: bool,
    /// Leave out of pushes what did not change.
    pub no_change: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    Register {
        from_balancer: bool,
        groups: Vec<(Group, Vec<Member>)>,
    },
    Registered(ReturnCode),
    /// A group without members stands for all of them.
    Deregister {
        from_balancer: bool,
        reason: u8,
        groups: Vec<(Group, Vec<Member>)>,
    },
    Deregistered(ReturnCode),
    GetWeights {
        groups: Vec<Group>,
    },
    /// `interval`: seconds after which to ask again.
    Weights {
        code: ReturnCode,
        interval: u16,
        groups: Vec<(Group, Vec<WeightEntry>)>,
    },
    SendWeights {
        groups: Vec<(Group, Vec<WeightEntry>)>,
    },
    SetLbState {
        balancer: Vec<u8>,
        health: u8,
        flags: LbFlags,
    },
    LbStateSet(ReturnCode),
    SetMemberState {
        from_balancer: bool,
        groups: Vec<(Group, Vec<MemberState>)>,
    },
    MemberStateSet(ReturnCode),
}

/// One message; a reply bears the id of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub id: u32,
    pub body: Body,
}
