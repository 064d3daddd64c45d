//! Bytes to messages and back (RFC 4678, section 6). All integers are big-endian.

use std::net::Ipv6Addr;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::message::*;
use crate::numbers::*;

/// What is wrong with a stream. After any of these nothing more of it can be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("component {found:#06x} where {wanted:#06x} was due")]
    Component { found: u16, wanted: u16 },
    #[error("message type {0:#06x} is not known")]
    UnknownMessage(u16),
    #[error("version {0} is not spoken; version 1 is")]
    Version(u8),
    #[error("a header that says it has {0} bytes")]
    HeaderLength(u16),
    #[error("a message of {size} bytes is over the limit of {most}")]
    TooLong { size: usize, most: usize },
    #[error("{component:#06x} says it has {said} bytes and has {has}")]
    Length { component: u16, said: usize, has: usize },
    #[error("the message ends inside {0:#06x}")]
    CutShort(u16),
    #[error("{0} bytes after the message's last component")]
    Left(usize),
}

/// Cuts a stream into messages, whatever pieces it comes in. Holds one message at the most.
#[derive(Debug)]
pub struct Frames {
    held: BytesMut,
    most: usize,
}

impl Frames {
    /// `most`: bytes of one message, header included.
    pub fn new(most: usize) -> Self {
        Frames { held: BytesMut::new(), most }
    }

    pub fn push(&mut self, piece: &[u8]) {
        self.held.extend_from_slice(piece);
    }

    /// Bytes of a message that is not whole yet.
    pub fn unfinished(&self) -> usize {
        self.held.len()
    }

    /// The next whole message. Errors: the stream cannot be read any further.
    pub fn take(&mut self) -> Result<Option<Message>, DecodeError> {
        // What is wrong is told as soon as it is seen, not once the rest has come.
        let seen = |count: usize| self.held.len() >= count;
        let short = |at: usize| u16::from_be_bytes([self.held[at], self.held[at + 1]]);
        if seen(2) && short(0) != HEADER {
            return Err(DecodeError::Component { found: short(0), wanted: HEADER });
        }
        if seen(4) && usize::from(short(2)) != HEADER_BYTES {
            return Err(DecodeError::HeaderLength(short(2)));
        }
        if seen(5) && self.held[4] != VERSION {
            return Err(DecodeError::Version(self.held[4]));
        }
        if !seen(HEADER_BYTES) {
            return Ok(None);
        }
        let size = u32::from_be_bytes([self.held[5], self.held[6], self.held[7], self.held[8]]) as usize;
        if size > self.most {
            return Err(DecodeError::TooLong { size, most: self.most });
        }
        if size < HEADER_BYTES + COMPONENT_BYTES {
            return Err(DecodeError::CutShort(HEADER));
        }
        if !seen(size) {
            return Ok(None);
        }
        let id = u32::from_be_bytes([self.held[9], self.held[10], self.held[11], self.held[12]]);
        let mut rest = self.held.split_to(size).freeze();
        rest.advance(HEADER_BYTES);
        let body = Body::read(&mut rest)?;
        if rest.has_remaining() {
            return Err(DecodeError::Left(rest.remaining()));
        }
        Ok(Some(Message { id, body }))
    }
}

/// Reads inside one component; running out of it is an error that names it.
struct Reader<'a> {
    rest: &'a mut Bytes,
    component: u16,
}

impl Reader<'_> {
    fn byte(&mut self) -> Result<u8, DecodeError> {
        self.rest.try_get_u8().map_err(|_| DecodeError::CutShort(self.component))
    }

    fn short(&mut self) -> Result<u16, DecodeError> {
        self.rest.try_get_u16().map_err(|_| DecodeError::CutShort(self.component))
    }

    fn counted(&mut self) -> Result<Vec<u8>, DecodeError> {
        let count = usize::from(self.byte()?);
        if count > self.rest.len() {
            return Err(DecodeError::CutShort(self.component));
        }
        Ok(self.rest.split_to(count).to_vec())
    }
}

/// Type and length of the next component; the length counts its own fields, not the components after it.
fn open(rest: &mut Bytes, wanted: u16) -> Result<usize, DecodeError> {
    let found = rest.try_get_u16().map_err(|_| DecodeError::CutShort(wanted))?;
    if found != wanted {
        return Err(DecodeError::Component { found, wanted });
    }
    let length = rest.try_get_u16().map_err(|_| DecodeError::CutShort(wanted))?;
    Ok(usize::from(length))
}

/// Reads a component's own fields, and holds it to its length.
fn component<T>(
    rest: &mut Bytes,
    kind: u16,
    read: impl FnOnce(&mut Reader<'_>) -> Result<T, DecodeError>,
) -> Result<T, DecodeError> {
    let said = open(rest, kind)?;
    let before = rest.remaining() + COMPONENT_BYTES;
    let value = read(&mut Reader { rest, component: kind })?;
    let has = before - rest.remaining();
    if has == said {
        Ok(value)
    } else {
        Err(DecodeError::Length { component: kind, said, has })
    }
}

fn read_member(rest: &mut Bytes) -> Result<Member, DecodeError> {
    component(rest, MEMBER_DATA, |fields| {
        let (protocol, port) = (fields.byte()?, fields.short()?);
        let mut address = [0; 16];
        fields.rest.try_copy_to_slice(&mut address).map_err(|_| DecodeError::CutShort(MEMBER_DATA))?;
        Ok(Member { protocol, port, address: Ipv6Addr::from(address), label: fields.counted()? })
    })
}

fn read_group(rest: &mut Bytes) -> Result<Group, DecodeError> {
    component(rest, GROUP_DATA, |fields| Ok(Group { balancer: fields.counted()?, name: fields.counted()? }))
}

fn read_entry(rest: &mut Bytes) -> Result<WeightEntry, DecodeError> {
    let (state, flags, weight) =
        component(rest, WEIGHT_ENTRY_DATA, |fields| Ok((fields.byte()?, fields.byte()?, fields.short()?)))?;
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

fn read_state(rest: &mut Bytes) -> Result<MemberState, DecodeError> {
    let (state, flags) =
        component(rest, MEMBER_STATE_INSTANCE, |fields| Ok((fields.byte()?, fields.byte()?)))?;
    Ok(MemberState {
        state,
        contact: flags & CONTACT_SUCCESS != 0,
        quiesce: flags & QUIESCE != 0,
        member: read_member(rest)?,
    })
}

/// A group and its parts: how many there are, the group, then each of them.
fn read_parts<T>(
    rest: &mut Bytes,
    kind: u16,
    read: fn(&mut Bytes) -> Result<T, DecodeError>,
) -> Result<(Group, Vec<T>), DecodeError> {
    let count = component(rest, kind, |fields| fields.short())?;
    let group = read_group(rest)?;
    let parts = (0..count).map(|_| read(rest)).collect::<Result<_, _>>()?;
    Ok((group, parts))
}

fn several<T>(count: u16, mut read: impl FnMut() -> Result<T, DecodeError>) -> Result<Vec<T>, DecodeError> {
    (0..count).map(|_| read()).collect()
}

impl Body {
    fn read(rest: &mut Bytes) -> Result<Self, DecodeError> {
        let kind = u16::from_be_bytes([rest[0], rest[1]]);
        let code = |rest: &mut Bytes| component(rest, kind, |fields| fields.byte()).map(ReturnCode::read);
        let members = |rest: &mut Bytes| read_parts(rest, GROUP_OF_MEMBER_DATA, read_member);
        let entries = |rest: &mut Bytes| read_parts(rest, GROUP_OF_WEIGHT_ENTRY_DATA, read_entry);
        let states = |rest: &mut Bytes| read_parts(rest, GROUP_OF_MEMBER_STATE_DATA, read_state);
        Ok(match kind {
            REGISTRATION_REQUEST => {
                let (flags, count) = component(rest, kind, |f| Ok((f.byte()?, f.short()?)))?;
                let from_balancer = flags & FLAG_FROM_BALANCER != 0;
                Body::Register { from_balancer, groups: several(count, || members(rest))? }
            }
            REGISTRATION_REPLY => Body::Registered(code(rest)?),
            DEREGISTRATION_REQUEST => {
                let (flags, reason, count) =
                    component(rest, kind, |f| Ok((f.byte()?, f.byte()?, f.short()?)))?;
                let from_balancer = flags & FLAG_FROM_BALANCER != 0;
                Body::Deregister { from_balancer, reason, groups: several(count, || members(rest))? }
            }
            DEREGISTRATION_REPLY => Body::Deregistered(code(rest)?),
            GET_WEIGHTS_REQUEST => {
                let count = component(rest, kind, |fields| fields.short())?;
                Body::GetWeights { groups: several(count, || read_group(rest))? }
            }
            GET_WEIGHTS_REPLY => {
                let (code, interval, count) =
                    component(rest, kind, |f| Ok((f.byte()?, f.short()?, f.short()?)))?;
                let groups = several(count, || entries(rest))?;
                Body::Weights { code: ReturnCode::read(code), interval, groups }
            }
            SEND_WEIGHTS => {
                let count = component(rest, kind, |fields| fields.short())?;
                Body::SendWeights { groups: several(count, || entries(rest))? }
            }
            SET_LB_STATE_REQUEST => component(rest, kind, |fields| {
                let (balancer, health, flags) = (fields.counted()?, fields.byte()?, fields.byte()?);
                let flags = LbFlags {
                    push: flags & LB_PUSH != 0,
                    trust: flags & LB_TRUST != 0,
                    no_change: flags & LB_NO_CHANGE != 0,
                };
                Ok(Body::SetLbState { balancer, health, flags })
            })?,
            SET_LB_STATE_REPLY => Body::LbStateSet(code(rest)?),
            SET_MEMBER_STATE_REQUEST => {
                let (flags, count) = component(rest, kind, |f| Ok((f.byte()?, f.short()?)))?;
                let from_balancer = flags & FLAG_FROM_BALANCER != 0;
                Body::SetMemberState { from_balancer, groups: several(count, || states(rest))? }
            }
            SET_MEMBER_STATE_REPLY => Body::MemberStateSet(code(rest)?),
            other => return Err(DecodeError::UnknownMessage(other)),
        })
    }
}

fn flag(on: bool, bit: u8) -> u8 {
    if on {
        bit
    } else {
        0
    }
}

/// A counted text; what is over 255 bytes is cut, since the field cannot say more.
fn counted(out: &mut BytesMut, text: &[u8]) {
    let text = &text[..text.len().min(255)];
    out.put_u8(text.len() as u8);
    out.put_slice(text);
}

fn put(out: &mut BytesMut, kind: u16, fields: impl FnOnce(&mut BytesMut)) {
    let mut own = BytesMut::new();
    fields(&mut own);
    out.put_u16(kind);
    out.put_u16((COMPONENT_BYTES + own.len()) as u16);
    out.put_slice(&own);
}

fn put_member(out: &mut BytesMut, member: &Member) {
    put(out, MEMBER_DATA, |out| {
        out.put_u8(member.protocol);
        out.put_u16(member.port);
        out.put_slice(&member.address.octets());
        counted(out, &member.label);
    });
}

fn put_group(out: &mut BytesMut, group: &Group) {
    put(out, GROUP_DATA, |out| {
        counted(out, &group.balancer);
        counted(out, &group.name);
    });
}

fn put_entry(out: &mut BytesMut, entry: &WeightEntry) {
    put(out, WEIGHT_ENTRY_DATA, |out| {
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

fn put_state(out: &mut BytesMut, state: &MemberState) {
    put(out, MEMBER_STATE_INSTANCE, |out| {
        out.put_u8(state.state);
        out.put_u8(flag(state.contact, CONTACT_SUCCESS) | flag(state.quiesce, QUIESCE));
    });
    put_member(out, &state.member);
}

fn put_parts<T>(out: &mut BytesMut, kind: u16, groups: &[(Group, Vec<T>)], one: fn(&mut BytesMut, &T)) {
    for (group, parts) in groups {
        put(out, kind, |out| out.put_u16(parts.len() as u16));
        put_group(out, group);
        parts.iter().for_each(|part| one(out, part));
    }
}

impl Body {
    fn write(&self, out: &mut BytesMut) {
        let code =
            |out: &mut BytesMut, kind, code: ReturnCode| put(out, kind, |out| out.put_u8(code.number()));
        match self {
            Body::Register { from_balancer, groups } => {
                put(out, REGISTRATION_REQUEST, |out| {
                    out.put_u8(flag(*from_balancer, FLAG_FROM_BALANCER));
                    out.put_u16(groups.len() as u16);
                });
                put_parts(out, GROUP_OF_MEMBER_DATA, groups, put_member);
            }
            Body::Registered(ended) => code(out, REGISTRATION_REPLY, *ended),
            Body::Deregister { from_balancer, reason, groups } => {
                put(out, DEREGISTRATION_REQUEST, |out| {
                    out.put_u8(flag(*from_balancer, FLAG_FROM_BALANCER));
                    out.put_u8(*reason);
                    out.put_u16(groups.len() as u16);
                });
                put_parts(out, GROUP_OF_MEMBER_DATA, groups, put_member);
            }
            Body::Deregistered(ended) => code(out, DEREGISTRATION_REPLY, *ended),
            Body::GetWeights { groups } => {
                put(out, GET_WEIGHTS_REQUEST, |out| out.put_u16(groups.len() as u16));
                groups.iter().for_each(|group| put_group(out, group));
            }
            Body::Weights { code, interval, groups } => {
                put(out, GET_WEIGHTS_REPLY, |out| {
                    out.put_u8(code.number());
                    out.put_u16(*interval);
                    out.put_u16(groups.len() as u16);
                });
                put_parts(out, GROUP_OF_WEIGHT_ENTRY_DATA, groups, put_entry);
            }
            Body::SendWeights { groups } => {
                put(out, SEND_WEIGHTS, |out| out.put_u16(groups.len() as u16));
                put_parts(out, GROUP_OF_WEIGHT_ENTRY_DATA, groups, put_entry);
            }
            Body::SetLbState { balancer, health, flags } => put(out, SET_LB_STATE_REQUEST, |out| {
                counted(out, balancer);
                out.put_u8(*health);
                out.put_u8(
                    flag(flags.push, LB_PUSH)
                        | flag(flags.trust, LB_TRUST)
                        | flag(flags.no_change, LB_NO_CHANGE),
                );
            }),
            Body::LbStateSet(ended) => code(out, SET_LB_STATE_REPLY, *ended),
            Body::SetMemberState { from_balancer, groups } => {
                put(out, SET_MEMBER_STATE_REQUEST, |out| {
                    out.put_u8(flag(*from_balancer, FLAG_FROM_BALANCER));
                    out.put_u16(groups.len() as u16);
                });
                put_parts(out, GROUP_OF_MEMBER_STATE_DATA, groups, put_state);
            }
            Body::MemberStateSet(ended) => code(out, SET_MEMBER_STATE_REPLY, *ended),
        }
    }
}

impl Message {
    /// The whole message, header included.
    pub fn encode(&self) -> Bytes {
        let mut body = BytesMut::new();
        self.body.write(&mut body);
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
