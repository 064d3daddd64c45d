//! Encodes the components of one message.

use bytes::{BufMut, BytesMut};

use crate::message::{Body, Group, LbFlags, Member, MemberState, ReturnCode, WeightEntry};
use crate::numbers::*;

fn bit_if(on: bool, bit: u8) -> u8 {
    if on {
        bit
    } else {
        0
    }
}

/// Encodes a length of 8 bits and the bytes, of which the field has room for 255.
fn encode_counted(out: &mut BytesMut, text: &[u8]) {
    let text = &text[..text.len().min(255)];
    out.put_u8(text.len() as u8);
    out.put_slice(text);
}

fn encode_component(out: &mut BytesMut, kind: u16, fields: impl FnOnce(&mut BytesMut)) {
    let mut fields_bytes = BytesMut::new();
    fields(&mut fields_bytes);
    out.put_u16(kind);
    out.put_u16((COMPONENT_BYTES + fields_bytes.len()) as u16);
    out.put_slice(&fields_bytes);
}

fn encode_member(out: &mut BytesMut, member: &Member) {
    encode_component(out, MEMBER_DATA, |out| {
        out.put_u8(member.protocol);
        out.put_u16(member.port);
        out.put_slice(&member.address.octets());
        encode_counted(out, &member.label);
    });
}

fn encode_group(out: &mut BytesMut, group: &Group) {
    encode_component(out, GROUP_DATA, |out| {
        encode_counted(out, &group.balancer);
        encode_counted(out, &group.name);
    });
}

fn encode_weight_entry(out: &mut BytesMut, entry: &WeightEntry) {
    encode_component(out, WEIGHT_ENTRY_DATA, |out| {
        out.put_u8(entry.state);
        out.put_u8(
            bit_if(entry.contact, CONTACT_SUCCESS)
                | bit_if(entry.quiesce, QUIESCE)
                | bit_if(entry.registered_by_balancer, REGISTERED_BY_BALANCER)
                | bit_if(entry.confident, CONFIDENT),
        );
        out.put_u16(entry.weight);
    });
    encode_member(out, &entry.member);
}

fn encode_member_state(out: &mut BytesMut, state: &MemberState) {
    encode_component(out, MEMBER_STATE_INSTANCE, |out| {
        out.put_u8(state.state);
        out.put_u8(bit_if(state.contact, CONTACT_SUCCESS) | bit_if(state.quiesce, QUIESCE));
    });
    encode_member(out, &state.member);
}

fn encode_groups_of<T>(
    out: &mut BytesMut,
    kind: u16,
    groups: &[(Group, Vec<T>)],
    one: fn(&mut BytesMut, &T),
) {
    for (group, parts) in groups {
        encode_component(out, kind, |out| out.put_u16(parts.len() as u16));
        encode_group(out, group);
        parts.iter().for_each(|part| one(out, part));
    }
}

/// Encodes the first component of a request with groups.
fn encode_flags_and_count(out: &mut BytesMut, kind: u16, from_balancer: bool, count: usize) {
    encode_component(out, kind, |out| {
        out.put_u8(bit_if(from_balancer, FLAG_FROM_BALANCER));
        out.put_u16(count as u16);
    });
}

fn encode_return_code(out: &mut BytesMut, kind: u16, code: ReturnCode) {
    encode_component(out, kind, |out| out.put_u8(code.number()));
}

fn encode_lb_state(out: &mut BytesMut, balancer: &[u8], health: u8, flags: LbFlags) {
    encode_component(out, SET_LB_STATE_REQUEST, |out| {
        encode_counted(out, balancer);
        out.put_u8(health);
        out.put_u8(
            bit_if(flags.push, LB_PUSH)
                | bit_if(flags.trust, LB_TRUST)
                | bit_if(flags.no_change, LB_NO_CHANGE),
        );
    });
}

impl Body {
    pub(super) fn encode(&self, out: &mut BytesMut) {
        match self {
            Body::Register { from_balancer, groups } => {
                encode_flags_and_count(out, REGISTRATION_REQUEST, *from_balancer, groups.len());
                encode_groups_of(out, GROUP_OF_MEMBER_DATA, groups, encode_member);
            }
            Body::Deregister { from_balancer, reason, groups } => {
                encode_component(out, DEREGISTRATION_REQUEST, |out| {
                    out.put_u8(bit_if(*from_balancer, FLAG_FROM_BALANCER));
                    out.put_u8(*reason);
                    out.put_u16(groups.len() as u16);
                });
                encode_groups_of(out, GROUP_OF_MEMBER_DATA, groups, encode_member);
            }
            Body::GetWeights { groups } => {
                encode_component(out, GET_WEIGHTS_REQUEST, |out| out.put_u16(groups.len() as u16));
                groups.iter().for_each(|group| encode_group(out, group));
            }
            Body::Weights { code, interval, groups } => {
                encode_component(out, GET_WEIGHTS_REPLY, |out| {
                    out.put_u8(code.number());
                    out.put_u16(*interval);
                    out.put_u16(groups.len() as u16);
                });
                encode_groups_of(out, GROUP_OF_WEIGHT_ENTRY_DATA, groups, encode_weight_entry);
            }
            Body::SendWeights { groups } => {
                encode_component(out, SEND_WEIGHTS, |out| out.put_u16(groups.len() as u16));
                encode_groups_of(out, GROUP_OF_WEIGHT_ENTRY_DATA, groups, encode_weight_entry);
            }
            Body::SetLbState { balancer, health, flags } => encode_lb_state(out, balancer, *health, *flags),
            Body::SetMemberState { from_balancer, groups } => {
                encode_flags_and_count(out, SET_MEMBER_STATE_REQUEST, *from_balancer, groups.len());
                encode_groups_of(out, GROUP_OF_MEMBER_STATE_DATA, groups, encode_member_state);
            }
            Body::Registered(code) => encode_return_code(out, REGISTRATION_REPLY, *code),
            Body::Deregistered(code) => encode_return_code(out, DEREGISTRATION_REPLY, *code),
            Body::LbStateSet(code) => encode_return_code(out, SET_LB_STATE_REPLY, *code),
            Body::MemberStateSet(code) => encode_return_code(out, SET_MEMBER_STATE_REPLY, *code),
        }
    }
}
