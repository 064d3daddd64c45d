//! Encodes replies. A reply consists of a header with the number of records and their total length in bytes,
//! and one record for each action.

use bytes::BufMut;
use shalereel::interface::{Action, RetryPolicy};

use crate::codes::outgoing;
use crate::{millis, InstanceId};

/// The table number that stands for all tables.
const ALL_TABLES: u16 = u16::MAX;
/// The peer number that stands for all peers.
const ALL_PEERS: u16 = u16::MAX;
/// Length of a reply's header: the number of records and their total length, four bytes each.
const REPLY_HEADER_BYTES: usize = 8;

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    /// Number of records.
    count: u32,
    /// The encoded records.
    records: Vec<u8>,
}

impl Reply {
    /// Starts a record. Returns the buffer to which its fields are appended.
    fn begin_record(&mut self, code: u8, instance: InstanceId) -> &mut Vec<u8> {
        self.count += 1;
        self.records.put_u8(code);
        self.records.put_u32(instance);
        &mut self.records
    }
}

/// Appends the record of a failure to the reply: the controller of an instance panicked with the message
/// `text`.
pub fn encode_failure(reply: &mut Reply, instance: InstanceId, text: &str) {
    put_text(reply.begin_record(outgoing::FAILURE, instance), text);
}

/// Appends the record of an action to the reply.
pub fn encode_action(reply: &mut Reply, instance: InstanceId, action: &Action) {
    let fields = reply.begin_record(record_code(action), instance);
    match action {
        Action::SetTimer { delay, token } => {
            fields.put_f64(millis(*delay));
            fields.put_u64(*token);
        }
        Action::CheckHealth { server } => fields.put_u32(*server),
        Action::SendToPeer { to, content } => {
            fields.put_u16(to.unwrap_or(ALL_PEERS));
            fields.put_u16(content.len() as u16);
            fields.put_slice(content);
        }
        Action::Log(text) => put_text(fields, text),
        Action::WatchEndpoints { on } => fields.put_u8((*on).into()),
        Action::FetchEndpoints => {}
        Action::SetWeight { table, server, weight } => {
            fields.put_u16(*table);
            fields.put_u32(*server);
            fields.put_f32(*weight as f32);
        }
        Action::ClearTable { table } => fields.put_u16(*table),
        Action::Exclude { server, on } => {
            fields.put_u32(*server);
            fields.put_u8((*on).into());
        }
        Action::AssignTable { proxy, table, operations } => {
            fields.put_u16(*proxy);
            fields.put_u16(*table);
            fields.put_u16(*operations);
        }
        Action::LimitAdmission { table, operations, limit, retry_policy } => {
            fields.put_u16(table.unwrap_or(ALL_TABLES));
            fields.put_u16(*operations);
            fields.put_f32(*limit as f32);
            fields.put_u8(retry_policy_code(*retry_policy));
        }
        Action::RequestAck { serial, everyone } => {
            fields.put_u64((*serial).into());
            fields.put_u8((*everyone).into());
        }
    }
}

fn record_code(action: &Action) -> u8 {
    match action {
        Action::SetTimer { .. } => outgoing::SET_TIMER,
        Action::CheckHealth { .. } => outgoing::CHECK_HEALTH,
        Action::SendToPeer { .. } => outgoing::SEND_TO_PEER,
        Action::Log(_) => outgoing::LOG,
        Action::WatchEndpoints { .. } => outgoing::WATCH_ENDPOINTS,
        Action::FetchEndpoints => outgoing::FETCH_ENDPOINTS,
        Action::SetWeight { .. } => outgoing::SET_WEIGHT,
        Action::ClearTable { .. } => outgoing::CLEAR_TABLE,
        Action::Exclude { .. } => outgoing::EXCLUDE,
        Action::AssignTable { .. } => outgoing::ASSIGN_TABLE,
        Action::LimitAdmission { .. } => outgoing::LIMIT_ADMISSION,
        Action::RequestAck { .. } => outgoing::REQUEST_ACK,
    }
}

fn retry_policy_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// Appends a text and its length. A text that is too long for the 16-bit length is truncated at a character
/// boundary.
fn put_text(fields: &mut Vec<u8>, text: &str) {
    let mut end = text.len().min(u16::MAX.into());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    fields.put_u16(end as u16);
    fields.put_slice(&text.as_bytes()[..end]);
}

/// Encodes the complete frame of a reply.
pub fn encode_reply(reply: Reply) -> Vec<u8> {
    let mut frame = Vec::with_capacity(reply.records.len() + REPLY_HEADER_BYTES);
    frame.put_u32(reply.count);
    frame.put_u32(reply.records.len() as u32);
    frame.extend(reply.records);
    frame
}
