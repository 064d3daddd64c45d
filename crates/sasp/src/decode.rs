//! Decodes messages (RFC 4678, section 6). All integers are big-endian. [`crate::Frames`] passes one message at a time.

use std::net::Ipv6Addr;

use bytes::{Buf, Bytes};
use thiserror::Error;

use crate::message::*;
use crate::numbers::*;

/// Why a stream is malformed. Nothing after the error can be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// A component has another type than the message requires at this position.
    #[error("component {found:#06x} where {expected:#06x} was expected")]
    UnexpectedComponent {
        /// Type of the component.
        found: u16,
        /// The type that is required.
        expected: u16,
    },
    /// The type of the message is not defined.
    #[error("unknown message type {0:#06x}")]
    UnknownMessage(u16),
    /// The header has an unsupported protocol version.
    #[error("unsupported version {0}, expected 1")]
    Version(u8),
    /// The header has a wrong length, in bytes.
    #[error("header length of {0} bytes, expected 13")]
    HeaderLength(u16),
    /// A message is longer than the limit that was passed to [`crate::Frames::new`].
    #[error("message of {size} bytes is over the limit of {limit}")]
    MessageTooLong {
        /// Length of the message according to its header, in bytes, header included.
        size: usize,
        /// Longest message that is accepted, in bytes.
        limit: usize,
    },
    /// The length field of a component does not match its fields.
    #[error(
        "the length field of component {component:#06x} is {stated} bytes, but its fields have {actual}"
    )]
    ComponentLength {
        /// Type of the component.
        component: u16,
        /// Value of its length field, in bytes.
        stated: usize,
        /// Bytes of its fields as decoded, type and length included.
        actual: usize,
    },
    /// The message ends inside a component; the type of the component.
    #[error("message ends inside component {0:#06x}")]
    Truncated(u16),
    /// Bytes follow the last component of the message; their number.
    #[error("{0} bytes follow the last component of the message")]
    TrailingBytes(usize),
}

/// Reads the fields of one component. If the bytes run out, the error contains the type of the component.
struct Fields<'a> {
    rest: &'a mut Bytes,
    component: u16,
}

impl Fields<'_> {
    fn read_u8(&mut self) -> Result<u8, DecodeError> {
        self.rest.try_get_u8().map_err(|_| self.truncated())
    }

    fn read_u16(&mut self) -> Result<u16, DecodeError> {
        self.rest.try_get_u16().map_err(|_| self.truncated())
    }

    fn read_address(&mut self) -> Result<Ipv6Addr, DecodeError> {
        let mut octets = [0; 16];
        self.rest.try_copy_to_slice(&mut octets).map_err(|_| self.truncated())?;
        Ok(Ipv6Addr::from(octets))
    }

    /// Reads a text that its length precedes: one byte, the number of bytes.
    fn read_counted(&mut self) -> Result<Vec<u8>, DecodeError> {
        let count = usize::from(self.read_u8()?);
        if count > self.rest.len() {
            return Err(self.truncated());
        }
        Ok(self.rest.split_to(count).to_vec())
    }

    fn truncated(&self) -> DecodeError {
        DecodeError::Truncated(self.component)
    }
}

/// Reads the type and the length field of the next component. The length covers the component's own fields, type and length
/// included, but not the components nested after it.
fn read_component_length(rest: &mut Bytes, expected: u16) -> Result<usize, DecodeError> {
    let mut fields = Fields { rest, component: expected };
    let found = fields.read_u16()?;
    if found != expected {
        return Err(DecodeError::UnexpectedComponent { found, expected });
    }
    Ok(usize::from(fields.read_u16()?))
}

/// Reads a component's own fields, and checks its length field.
fn read_component<T>(
    rest: &mut Bytes,
    component: u16,
    read: impl FnOnce(&mut Fields<'_>) -> Result<T, DecodeError>,
) -> Result<T, DecodeError> {
    let stated = read_component_length(rest, component)?;
    let before = rest.remaining() + COMPONENT_BYTES;
    let value = read(&mut Fields { rest, component })?;
    let actual = before - rest.remaining();
    if actual != stated {
        return Err(DecodeError::ComponentLength { component, stated, actual });
    }
    Ok(value)
}

fn read_member(rest: &mut Bytes) -> Result<Member, DecodeError> {
    read_component(rest, MEMBER_DATA, |fields| {
        let protocol = fields.read_u8()?;
        let port = fields.read_u16()?;
        let address = fields.read_address()?;
        let label = fields.read_counted()?;
        Ok(Member { protocol, port, address, label })
    })
}

fn read_group(rest: &mut Bytes) -> Result<Group, DecodeError> {
    read_component(rest, GROUP_DATA, |fields| {
        let balancer = fields.read_counted()?;
        let name = fields.read_counted()?;
        Ok(Group { balancer, name })
    })
}

fn read_weight_entry(rest: &mut Bytes) -> Result<WeightEntry, DecodeError> {
    let (state, flags, weight) = read_component(rest, WEIGHT_ENTRY_DATA, |fields| {
        Ok((fields.read_u8()?, fields.read_u8()?, fields.read_u16()?))
    })?;
    Ok(WeightEntry {
        state,
        contact: flags & CONTACT_SUCCESS != 0,
        quiesce: flags & QUIESCE != 0,
        registered_by_balancer: flags & REGISTERED_BY_BALANCER != 0,
        confident: flags & CONFIDENT != 0,
        weight,
        member: read_member(rest)?,
    })
}

fn read_member_state(rest: &mut Bytes) -> Result<MemberState, DecodeError> {
    let (state, flags) =
        read_component(rest, MEMBER_STATE_INSTANCE, |fields| Ok((fields.read_u8()?, fields.read_u8()?)))?;
    Ok(MemberState {
        state,
        contact: flags & CONTACT_SUCCESS != 0,
        quiesce: flags & QUIESCE != 0,
        member: read_member(rest)?,
    })
}

/// Reads one of the three components "Group of ...": a count, the group, and as many items.
fn read_group_of<T>(
    rest: &mut Bytes,
    component: u16,
    read_item: fn(&mut Bytes) -> Result<T, DecodeError>,
) -> Result<GroupOf<T>, DecodeError> {
    let count = read_component(rest, component, |fields| fields.read_u16())?;
    let group = read_group(rest)?;
    let items = repeat(count, || read_item(rest))?;
    Ok((group, items))
}

fn read_groups_of_members(rest: &mut Bytes, count: u16) -> Result<Vec<GroupOf<Member>>, DecodeError> {
    repeat(count, || read_group_of(rest, GROUP_OF_MEMBER_DATA, read_member))
}

fn read_groups_of_weights(rest: &mut Bytes, count: u16) -> Result<Vec<GroupOf<WeightEntry>>, DecodeError> {
    repeat(count, || read_group_of(rest, GROUP_OF_WEIGHT_ENTRY_DATA, read_weight_entry))
}

fn read_groups_of_states(rest: &mut Bytes, count: u16) -> Result<Vec<GroupOf<MemberState>>, DecodeError> {
    repeat(count, || read_group_of(rest, GROUP_OF_MEMBER_STATE_DATA, read_member_state))
}

fn repeat<T>(count: u16, mut read: impl FnMut() -> Result<T, DecodeError>) -> Result<Vec<T>, DecodeError> {
    (0..count).map(|_| read()).collect()
}

impl Body {
    /// Decodes the body of a message. `rest` must have at least the two bytes of the type.
    pub(crate) fn decode(rest: &mut Bytes) -> Result<Self, DecodeError> {
        let message_type = u16::from_be_bytes([rest[0], rest[1]]);
        match message_type {
            REGISTRATION_REQUEST => read_registration(rest),
            REGISTRATION_REPLY => Ok(Body::Registered(read_reply(rest, message_type)?)),
            DEREGISTRATION_REQUEST => read_deregistration(rest),
            DEREGISTRATION_REPLY => Ok(Body::Deregistered(read_reply(rest, message_type)?)),
            GET_WEIGHTS_REQUEST => read_get_weights(rest),
            GET_WEIGHTS_REPLY => read_weights(rest),
            SEND_WEIGHTS => read_send_weights(rest),
            SET_LB_STATE_REQUEST => read_set_lb_state(rest),
            SET_LB_STATE_REPLY => Ok(Body::LbStateSet(read_reply(rest, message_type)?)),
            SET_MEMBER_STATE_REQUEST => read_set_member_state(rest),
            SET_MEMBER_STATE_REPLY => Ok(Body::MemberStateSet(read_reply(rest, message_type)?)),
            unknown => Err(DecodeError::UnknownMessage(unknown)),
        }
    }
}

/// Reads a reply that consists of a return code.
fn read_reply(rest: &mut Bytes, message_type: u16) -> Result<ReturnCode, DecodeError> {
    read_component(rest, message_type, |fields| fields.read_u8()).map(ReturnCode::from_number)
}

fn read_registration(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let (flags, count) =
        read_component(rest, REGISTRATION_REQUEST, |fields| Ok((fields.read_u8()?, fields.read_u16()?)))?;
    let from_balancer = flags & FLAG_FROM_BALANCER != 0;
    Ok(Body::Register { from_balancer, groups: read_groups_of_members(rest, count)? })
}

fn read_deregistration(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let (flags, reason, count) = read_component(rest, DEREGISTRATION_REQUEST, |fields| {
        Ok((fields.read_u8()?, fields.read_u8()?, fields.read_u16()?))
    })?;
    let from_balancer = flags & FLAG_FROM_BALANCER != 0;
    Ok(Body::Deregister { from_balancer, reason, groups: read_groups_of_members(rest, count)? })
}

fn read_get_weights(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let count = read_component(rest, GET_WEIGHTS_REQUEST, |fields| fields.read_u16())?;
    Ok(Body::GetWeights { groups: repeat(count, || read_group(rest))? })
}

fn read_weights(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let (code, interval, count) = read_component(rest, GET_WEIGHTS_REPLY, |fields| {
        Ok((fields.read_u8()?, fields.read_u16()?, fields.read_u16()?))
    })?;
    let groups = read_groups_of_weights(rest, count)?;
    Ok(Body::Weights { code: ReturnCode::from_number(code), interval, groups })
}

fn read_send_weights(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let count = read_component(rest, SEND_WEIGHTS, |fields| fields.read_u16())?;
    Ok(Body::SendWeights { groups: read_groups_of_weights(rest, count)? })
}

fn read_set_lb_state(rest: &mut Bytes) -> Result<Body, DecodeError> {
    read_component(rest, SET_LB_STATE_REQUEST, |fields| {
        let balancer = fields.read_counted()?;
        let health = fields.read_u8()?;
        let flags = fields.read_u8()?;
        let flags = LbFlags {
            push: flags & LB_PUSH != 0,
            trust: flags & LB_TRUST != 0,
            no_change: flags & LB_NO_CHANGE != 0,
        };
        Ok(Body::SetLbState { balancer, health, flags })
    })
}

fn read_set_member_state(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let (flags, count) =
        read_component(rest, SET_MEMBER_STATE_REQUEST, |fields| Ok((fields.read_u8()?, fields.read_u16()?)))?;
    let from_balancer = flags & FLAG_FROM_BALANCER != 0;
    Ok(Body::SetMemberState { from_balancer, groups: read_groups_of_states(rest, count)? })
}
