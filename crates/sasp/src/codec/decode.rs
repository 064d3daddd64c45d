//! Decodes the components of one message.

use std::net::Ipv6Addr;

use bytes::{Buf, Bytes};

use super::DecodeError;
use crate::message::{Body, Group, LbFlags, Member, MemberState, ReturnCode, WeightEntry};
use crate::numbers::*;

/// Decodes the fields of one component; where the message ends within it, the error names it.
struct FieldReader<'a> {
    rest: &'a mut Bytes,
    component: u16,
}

impl FieldReader<'_> {
    fn u8(&mut self) -> Result<u8, DecodeError> {
        self.rest.try_get_u8().map_err(|_| DecodeError::Truncated(self.component))
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        self.rest.try_get_u16().map_err(|_| DecodeError::Truncated(self.component))
    }

    fn counted_bytes(&mut self) -> Result<Vec<u8>, DecodeError> {
        let count = usize::from(self.u8()?);
        if count > self.rest.len() {
            return Err(DecodeError::Truncated(self.component));
        }
        Ok(self.rest.split_to(count).to_vec())
    }
}

/// Type and length of the next component; the length counts its own fields, not the components after it.
fn component_head(rest: &mut Bytes, expected: u16) -> Result<usize, DecodeError> {
    let found = rest.try_get_u16().map_err(|_| DecodeError::Truncated(expected))?;
    if found != expected {
        return Err(DecodeError::UnexpectedComponent { found, expected });
    }
    let length = rest.try_get_u16().map_err(|_| DecodeError::Truncated(expected))?;
    Ok(usize::from(length))
}

/// Decodes a component's own fields.
///
/// # Errors
///
/// The component has another type, or its fields another length than it states.
fn component<T>(
    rest: &mut Bytes,
    kind: u16,
    read: impl FnOnce(&mut FieldReader<'_>) -> Result<T, DecodeError>,
) -> Result<T, DecodeError> {
    let stated = component_head(rest, kind)?;
    let before = rest.remaining() + COMPONENT_BYTES;
    let value = read(&mut FieldReader { rest, component: kind })?;
    let actual = before - rest.remaining();
    if actual == stated {
        Ok(value)
    } else {
        Err(DecodeError::ComponentLength { component: kind, stated, actual })
    }
}

fn decode_member(rest: &mut Bytes) -> Result<Member, DecodeError> {
    component(rest, MEMBER_DATA, |fields| {
        let (protocol, port) = (fields.u8()?, fields.u16()?);
        let mut address = [0; 16];
        fields.rest.try_copy_to_slice(&mut address).map_err(|_| DecodeError::Truncated(MEMBER_DATA))?;
        Ok(Member { protocol, port, address: Ipv6Addr::from(address), label: fields.counted_bytes()? })
    })
}

fn decode_group(rest: &mut Bytes) -> Result<Group, DecodeError> {
    component(rest, GROUP_DATA, |fields| {
        Ok(Group { balancer: fields.counted_bytes()?, name: fields.counted_bytes()? })
    })
}

fn decode_weight_entry(rest: &mut Bytes) -> Result<WeightEntry, DecodeError> {
    let (state, flags, weight) =
        component(rest, WEIGHT_ENTRY_DATA, |fields| Ok((fields.u8()?, fields.u8()?, fields.u16()?)))?;
    Ok(WeightEntry {
        state,
        contact: flags & CONTACT_SUCCESS != 0,
        quiesce: flags & QUIESCE != 0,
        registered_by_balancer: flags & REGISTERED_BY_BALANCER != 0,
        confident: flags & CONFIDENT != 0,
        weight,
        member: decode_member(rest)?,
    })
}

fn decode_member_state(rest: &mut Bytes) -> Result<MemberState, DecodeError> {
    let (state, flags) = component(rest, MEMBER_STATE_INSTANCE, |fields| Ok((fields.u8()?, fields.u8()?)))?;
    Ok(MemberState {
        state,
        contact: flags & CONTACT_SUCCESS != 0,
        quiesce: flags & QUIESCE != 0,
        member: decode_member(rest)?,
    })
}

/// A "group of" component: the count of its parts, the group, then each part.
fn decode_group_of<T>(
    rest: &mut Bytes,
    kind: u16,
    read: fn(&mut Bytes) -> Result<T, DecodeError>,
) -> Result<(Group, Vec<T>), DecodeError> {
    let count = component(rest, kind, |fields| fields.u16())?;
    let group = decode_group(rest)?;
    let parts = (0..count).map(|_| read(rest)).collect::<Result<_, _>>()?;
    Ok((group, parts))
}

fn repeat<T>(count: u16, mut read: impl FnMut() -> Result<T, DecodeError>) -> Result<Vec<T>, DecodeError> {
    (0..count).map(|_| read()).collect()
}

/// Flags and count of a request with groups.
fn flags_and_count(rest: &mut Bytes, kind: u16) -> Result<(u8, u16), DecodeError> {
    component(rest, kind, |fields| Ok((fields.u8()?, fields.u16()?)))
}

fn count(rest: &mut Bytes, kind: u16) -> Result<u16, DecodeError> {
    component(rest, kind, |fields| fields.u16())
}

fn return_code(rest: &mut Bytes, kind: u16) -> Result<ReturnCode, DecodeError> {
    component(rest, kind, |fields| fields.u8()).map(ReturnCode::from_number)
}

fn decode_groups_of_members(rest: &mut Bytes, count: u16) -> Result<Vec<(Group, Vec<Member>)>, DecodeError> {
    repeat(count, || decode_group_of(rest, GROUP_OF_MEMBER_DATA, decode_member))
}

fn decode_groups_of_weights(
    rest: &mut Bytes,
    count: u16,
) -> Result<Vec<(Group, Vec<WeightEntry>)>, DecodeError> {
    repeat(count, || decode_group_of(rest, GROUP_OF_WEIGHT_ENTRY_DATA, decode_weight_entry))
}

impl Body {
    /// Decodes all components of a message; `rest` has at least one component's head.
    pub(super) fn decode(rest: &mut Bytes) -> Result<Self, DecodeError> {
        let kind = u16::from_be_bytes([rest[0], rest[1]]);
        match kind {
            REGISTRATION_REQUEST => {
                let (flags, count) = flags_and_count(rest, kind)?;
                let groups = decode_groups_of_members(rest, count)?;
                Ok(Body::Register { from_balancer: flags & FLAG_FROM_BALANCER != 0, groups })
            }
            DEREGISTRATION_REQUEST => decode_deregistration(rest),
            GET_WEIGHTS_REQUEST => {
                let count = count(rest, kind)?;
                Ok(Body::GetWeights { groups: repeat(count, || decode_group(rest))? })
            }
            GET_WEIGHTS_REPLY => decode_weights(rest),
            SEND_WEIGHTS => {
                let count = count(rest, kind)?;
                Ok(Body::SendWeights { groups: decode_groups_of_weights(rest, count)? })
            }
            SET_LB_STATE_REQUEST => decode_lb_state(rest),
            SET_MEMBER_STATE_REQUEST => {
                let (flags, count) = flags_and_count(rest, kind)?;
                let one = || decode_group_of(rest, GROUP_OF_MEMBER_STATE_DATA, decode_member_state);
                let groups = repeat(count, one)?;
                Ok(Body::SetMemberState { from_balancer: flags & FLAG_FROM_BALANCER != 0, groups })
            }
            REGISTRATION_REPLY => return_code(rest, kind).map(Body::Registered),
            DEREGISTRATION_REPLY => return_code(rest, kind).map(Body::Deregistered),
            SET_LB_STATE_REPLY => return_code(rest, kind).map(Body::LbStateSet),
            SET_MEMBER_STATE_REPLY => return_code(rest, kind).map(Body::MemberStateSet),
            other => Err(DecodeError::UnknownMessage(other)),
        }
    }
}

fn decode_deregistration(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let (flags, reason, count) =
        component(rest, DEREGISTRATION_REQUEST, |fields| Ok((fields.u8()?, fields.u8()?, fields.u16()?)))?;
    let groups = decode_groups_of_members(rest, count)?;
    Ok(Body::Deregister { from_balancer: flags & FLAG_FROM_BALANCER != 0, reason, groups })
}

fn decode_weights(rest: &mut Bytes) -> Result<Body, DecodeError> {
    let (code, interval, count) =
        component(rest, GET_WEIGHTS_REPLY, |fields| Ok((fields.u8()?, fields.u16()?, fields.u16()?)))?;
    let groups = decode_groups_of_weights(rest, count)?;
    Ok(Body::Weights { code: ReturnCode::from_number(code), interval, groups })
}

fn decode_lb_state(rest: &mut Bytes) -> Result<Body, DecodeError> {
    component(rest, SET_LB_STATE_REQUEST, |fields| {
        let balancer = fields.counted_bytes()?;
        let health = fields.u8()?;
        let bits = fields.u8()?;
        let flags = LbFlags {
            push: bits & LB_PUSH != 0,
            trust: bits & LB_TRUST != 0,
            no_change: bits & LB_NO_CHANGE != 0,
        };
        Ok(Body::SetLbState { balancer, health, flags })
    })
}
