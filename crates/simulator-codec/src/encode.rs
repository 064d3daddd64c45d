//! Replies: header, then one record for each order.

use bytes::BufMut;
use shalereel::interface::{Action, RetryPolicy};

use crate::{millis, InstanceId};

/// The table number that stands for all joined proxies.
const ALL_TABLES: u16 = u16::MAX;

/// Records gathered for one reply.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
}

fn text(out: &mut Vec<u8>, line: &str) {
    let mut end = line.len().min(u16::MAX.into());
    while !line.is_char_boundary(end) {
        end -= 1;
    }
    out.put_u16(end as u16);
    out.put_slice(&line.as_bytes()[..end]);
}

/// Adds the word that the decision code of an instance has failed.
pub fn encode_bug(reply: &mut Reply, instance: InstanceId, line: &str) {
    reply.count += 1;
    reply.records.put_u8(69);
    reply.records.put_u32(instance);
    text(&mut reply.records, line);
}

pub fn encode_action(reply: &mut Reply, instance: InstanceId, order: &Action) {
    reply.count += 1;
    let out = &mut reply.records;
    let mut head = |code: u8| {
        out.put_u8(code);
        out.put_u32(instance);
    };
    match order {
        Action::SetTimer { delay, token } => {
            head(65);
            out.put_f64(millis(*delay));
            out.put_u64(*token);
        }
        Action::CheckHealth { server } => {
            head(66);
            out.put_u32(*server);
        }
        Action::SendToPeer { to, content } => {
            head(67);
            out.put_u16(to.unwrap_or(u16::MAX));
            out.put_u16(content.len() as u16);
            out.put_slice(content);
        }
        Action::Log(line) => {
            head(68);
            text(out, line);
        }
        Action::WatchEndpoints { on } => {
            head(70);
            out.put_u8((*on).into());
        }
        Action::FetchEndpoints => head(71),
        Action::SetWeight { table, server, weight } => {
            head(72);
            out.put_u16(*table);
            out.put_u32(*server);
            out.put_f32(*weight as f32);
        }
        Action::ClearTable { table } => {
            head(73);
            out.put_u16(*table);
        }
        Action::Exclude { server, on } => {
            head(74);
            out.put_u32(*server);
            out.put_u8((*on).into());
        }
        Action::AssignTable { proxy, table, operations } => {
            head(75);
            out.put_u16(*proxy);
            out.put_u16(*table);
            out.put_u16(*operations);
        }
        Action::LimitAdmission { table, operations, limit: amount, retry_policy: further } => {
            head(76);
            out.put_u16(table.unwrap_or(ALL_TABLES));
            out.put_u16(*operations);
            out.put_f32(*amount as f32);
            out.put_u8(match further {
                RetryPolicy::Never => 0,
                RetryPolicy::IfNotExecuted => 1,
                RetryPolicy::Once => 2,
                RetryPolicy::Twice => 3,
            });
        }
        Action::RequestAck { serial, everyone } => {
            head(77);
            out.put_u64((*serial).into());
            out.put_u8((*everyone).into());
        }
    }
}

/// The whole frame, ready to be written and flushed.
pub fn encode_reply(reply: Reply) -> Vec<u8> {
    let mut frame = Vec::with_capacity(reply.records.len() + 8);
    frame.put_u32(reply.count);
    frame.put_u32(reply.records.len() as u32);
    frame.extend(reply.records);
    frame
}
