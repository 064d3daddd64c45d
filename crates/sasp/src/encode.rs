//! Encodes messages (RFC 4678, section 6). All integers are big-endian.

use bytes::{BufMut, Bytes, BytesMut};

use crate::message::*;
use crate::numbers::*;

/// Longest text: its length has 8 bits.
const MAX_TEXT_BYTES: usize = 255;

impl Message {
    /// Encodes the complete message, header included.
    pub fn encode(&self) -> Bytes {
        let mut body = BytesMut::new();
        self.body.encode(&mut body);
        let mut out = BytesMut::with_capacity(HEADER_BYTES + body.len());
        out.put_u16(HEADER);
        out.put_u16(HEADER_BYTES as u16);
        out.put_u8(VERSION);
        out.put_u32((HEADER_BYTES + body.len()) as u32);
        out.put_u32(self.id);
        out.put_slice(&body);
        out.freeze()
    }
}

impl Body {
    fn encode(&self, out: &mut BytesMut) {
        match self {
            Body::Register { from_balancer, groups } => put_registration(out, *from_balancer, groups),
            Body::Registered(code) => put_reply(out, REGISTRATION_REPLY, *code),
            Body::Deregister { from_balancer, reason, groups } => {
                put_deregistration(out, *from_balancer, *reason, groups);
            }
            Body::Deregistered(code) => put_reply(out, DEREGISTRATION_REPLY, *code),
            Body::GetWeights { groups } => put_get_weights(out, groups),
            Body::Weights { code, interval, groups } => put_weights(out, *code, *interval, groups),
            Body::SendWeights { groups } => put_send_weights(out, groups),
            Body::SetLbState { balancer, health, flags } => put_set_lb_state(out, balancer, *health, *flags),
            Body::LbStateSet(code) => put_reply(out, SET_LB_STATE_REPLY, *code),
            Body::SetMemberState { from_balancer, groups } => {
                put_set_member_state(out, *from_balancer, groups);
            }
            Body::MemberStateSet(code) => put_reply(out, SET_MEMBER_STATE_REPLY, *code),
        }
    }
}

fn put_reply(out: &mut BytesMut, message_type: u16, code: ReturnCode) {
    put_component(out, message_type, |out| out.put_u8(code.number()));
}

fn put_registration(out: &mut BytesMut, from_balancer: bool, groups: &[GroupOf<Member>]) {
    put_component(out, REGISTRATION_REQUEST, |out| {
        out.put_u8(flag(from_balancer, FLAG_FROM_BALANCER));
        out.put_u16(groups.len() as u16);
    });
    put_groups_of(out, GROUP_OF_MEMBER_DATA, groups, put_member);
}

fn put_deregistration(out: &mut BytesMut, from_balancer: bool, reason: u8, groups: &[GroupOf<Member>]) {
    put_component(out, DEREGISTRATION_REQUEST, |out| {
        out.put_u8(flag(from_balancer, FLAG_FROM_BALANCER));
        out.put_u8(reason);
        out.put_u16(groups.len() as u16);
    });
    put_groups_of(out, GROUP_OF_MEMBER_DATA, groups, put_member);
}

fn put_get_weights(out: &mut BytesMut, groups: &[Group]) {
    put_component(out, GET_WEIGHTS_REQUEST, |out| out.put_u16(groups.len() as u16));
    groups.iter().for_each(|group| put_group(out, group));
}

fn put_weights(out: &mut BytesMut, code: ReturnCode, interval: u16, groups: &[GroupOf<WeightEntry>]) {
    put_component(out, GET_WEIGHTS_REPLY, |out| {
        out.put_u8(code.number());
        out.put_u16(interval);
        out.put_u16(groups.len() as u16);
    });
    put_groups_of(out, GROUP_OF_WEIGHT_ENTRY_DATA, groups, put_weight_entry);
}

fn put_send_weights(out: &mut BytesMut, groups: &[GroupOf<WeightEntry>]) {
    put_component(out, SEND_WEIGHTS, |out| out.put_u16(groups.len() as u16));
    put_groups_of(out, GROUP_OF_WEIGHT_ENTRY_DATA, groups, put_weight_entry);
}

fn put_set_lb_state(out: &mut BytesMut, balancer: &[u8], health: u8, flags: LbFlags) {
    put_component(out, SET_LB_STATE_REQUEST, |out| {
        put_counted(out, balancer);
        out.put_u8(health);
        out.put_u8(
            flag(flags.push, LB_PUSH) | flag(flags.trust, LB_TRUST) | flag(flags.no_change, LB_NO_CHANGE),
        );
    });
}

fn put_set_member_state(out: &mut BytesMut, from_balancer: bool, groups: &[GroupOf<MemberState>]) {
    put_component(out, SET_MEMBER_STATE_REQUEST, |out| {
        out.put_u8(flag(from_balancer, FLAG_FROM_BALANCER));
        out.put_u16(groups.len() as u16);
    });
    put_groups_of(out, GROUP_OF_MEMBER_STATE_DATA, groups, put_member_state);
}

/// Writes components "Group of ...": for each group its number of items, the group, and the items.
fn put_groups_of<T>(
    out: &mut BytesMut,
    component: u16,
    groups: &[GroupOf<T>],
    put_item: fn(&mut BytesMut, &T),
) {
    for (group, items) in groups {
        put_component(out, component, |out| out.put_u16(items.len() as u16));
        put_group(out, group);
        items.iter().for_each(|item| put_item(out, item));
    }
}

fn put_member(out: &mut BytesMut, member: &Member) {
    put_component(out, MEMBER_DATA, |out| {
        out.put_u8(member.protocol);
        out.put_u16(member.port);
        out.put_slice(&member.address.octets());
        put_counted(out, &member.label);
    });
}

fn put_group(out: &mut BytesMut, group: &Group) {
    put_component(out, GROUP_DATA, |out| {
        put_counted(out, &group.balancer);
        put_counted(out, &group.name);
    });
}

fn put_weight_entry(out: &mut BytesMut, entry: &WeightEntry) {
    put_component(out, WEIGHT_ENTRY_DATA, |out| {
        out.put_u8(entry.state);
        out.put_u8(
            flag(entry.contact, CONTACT_SUCCESS)
                | flag(entry.quiesce, QUIESCE)
                | flag(entry.registered_by_balancer, REGISTERED_BY_BALANCER)
                | flag(entry.confident, CONFIDENT),
        );
        out.put_u16(entry.weight);
    });
    put_member(out, &entry.member);
}

fn put_member_state(out: &mut BytesMut, state: &MemberState) {
    put_component(out, MEMBER_STATE_INSTANCE, |out| {
        out.put_u8(state.state);
        out.put_u8(flag(state.contact, CONTACT_SUCCESS) | flag(state.quiesce, QUIESCE));
    });
    put_member(out, &state.member);
}

/// Writes a component's type, length and own fields.
fn put_component(out: &mut BytesMut, component: u16, put_fields: impl FnOnce(&mut BytesMut)) {
    let mut fields = BytesMut::new();
    put_fields(&mut fields);
    out.put_u16(component);
    out.put_u16((COMPONENT_BYTES + fields.len()) as u16);
    out.put_slice(&fields);
}

/// Writes a text with its length before it. A longer text than `MAX_TEXT_BYTES` is truncated.
fn put_counted(out: &mut BytesMut, text: &[u8]) {
    let text = &text[..text.len().min(MAX_TEXT_BYTES)];
    out.put_u8(text.len() as u8);
    out.put_slice(text);
}

/// Returns the bit if the flag is set, and otherwise 0.
fn flag(set: bool, bit: u8) -> u8 {
    if set {
        bit
    } else {
        0
    }
}
