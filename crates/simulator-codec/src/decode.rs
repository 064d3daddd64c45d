//! Decodes batches. A batch consists of a header with the time and a sequence of records.

use bytes::{Buf, TryGetError};
use shalereel::interface::{
    Endpoint, EndpointReport, Event, HealthCheckOutcome, Nanos, Readiness, WatchEvent,
};
use thiserror::Error;

use crate::codes::incoming;
use crate::{nanos, InstanceId};

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Time of the batch, ns.
    pub now: Nanos,
    /// The records, in the order in which they were sent.
    pub records: Vec<Record>,
}

/// A record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// An instance of the controller starts and replaces an earlier one with the same number.
    Start {
        /// Number of the instance.
        instance: InstanceId,
        /// Seed of its random number generator.
        seed: u64,
        /// Its encoded settings, for [`crate::decode_settings`].
        settings: Vec<u8>,
    },
    /// An instance stops.
    Stop {
        /// Number of the instance.
        instance: InstanceId,
    },
    /// An event for an instance.
    Event {
        /// Number of the instance.
        instance: InstanceId,
        /// The event.
        event: Event,
    },
    /// A record of valid length with an invalid value: a time that is negative, not finite or out of range,
    /// or an unknown code of a field. The receiver ignores it.
    InvalidValue {
        /// Number of the instance.
        instance: InstanceId,
    },
}

/// Why a batch is rejected. Offsets are in bytes from the start of the frame's content.
#[derive(Debug, Error, PartialEq)]
pub enum DecodeError {
    /// The time in the header is negative, not finite or out of range.
    #[error("the header of the batch has an invalid time in milliseconds: {0}")]
    InvalidTime(f64),
    /// The batch ends inside its header.
    #[error("the batch ends inside its header")]
    TruncatedHeader,
    /// A record has an unknown code.
    #[error("record {record} at byte {offset}: unknown code {code}")]
    UnknownCode {
        /// Index of the record in the batch.
        record: usize,
        /// Offset of the record.
        offset: usize,
        /// The unknown code.
        code: u8,
    },
    /// The batch ends inside a record.
    #[error("record {record} at byte {offset}: extends beyond the end of the frame")]
    TruncatedRecord {
        /// Index of the record in the batch.
        record: usize,
        /// Offset of the record.
        offset: usize,
    },
}

/// Decodes the content of a frame as a batch.
///
/// # Errors
///
/// The batch is malformed. The error describes the first fault, and none of the records may be used.
pub fn decode_batch(frame: &[u8]) -> Result<Batch, DecodeError> {
    let mut rest = frame;
    let time_ms = rest.try_get_f64().map_err(|_| DecodeError::TruncatedHeader)?;
    let now = nanos(time_ms).ok_or(DecodeError::InvalidTime(time_ms))?;
    let mut records = Vec::new();
    while rest.has_remaining() {
        let record = records.len();
        let offset = frame.len() - rest.len();
        let decoded = read_record(&mut rest).map_err(|error| match error {
            RecordError::UnknownCode(code) => DecodeError::UnknownCode { record, offset, code },
            RecordError::Truncated => DecodeError::TruncatedRecord { record, offset },
        })?;
        records.push(decoded);
    }
    Ok(Batch { now, records })
}

/// Why a record cannot be decoded.
enum RecordError {
    UnknownCode(u8),
    Truncated,
}

impl From<TryGetError> for RecordError {
    fn from(_: TryGetError) -> Self {
        RecordError::Truncated
    }
}

/// The result of decoding a field or a sequence of fields.
type Read<T> = Result<T, TryGetError>;

/// Decodes the next record. All its fields are read even if a value is invalid, so that the next record can
/// be decoded.
fn read_record(rest: &mut &[u8]) -> Result<Record, RecordError> {
    let code = rest.try_get_u8()?;
    if !incoming::is_known(code) {
        return Err(RecordError::UnknownCode(code));
    }
    let instance = rest.try_get_u32()?;
    let event = match code {
        incoming::START => return Ok(start(instance, rest)?),
        incoming::STOP => return Ok(Record::Stop { instance }),
        incoming::TIMER_FIRED => Some(Event::TimerFired { token: rest.try_get_u64()? }),
        incoming::DEMAND_REPORT => demand_report(rest)?,
        incoming::PEER_MESSAGE => Some(peer_message(rest)?),
        incoming::HEALTH_CHECKED => health_checked(rest)?,
        incoming::LEASE_CHANGED => Some(Event::LeaseChanged { table: rest.try_get_u16()?, on: flag(rest)? }),
        incoming::ENDPOINT_REPORT => endpoint_report(rest)?,
        incoming::LEFT => Some(Event::Left { proxy: rest.try_get_u16()? }),
        incoming::JOINED => Some(joined(rest)?),
        incoming::RECORDED_WEIGHT => Some(recorded_weight(rest)?),
        incoming::ENDPOINTS => endpoints(rest)?,
        incoming::TABLE_DEMAND => table_demand(rest)?,
        incoming::ACKNOWLEDGED => acknowledged(rest)?,
        unknown => return Err(RecordError::UnknownCode(unknown)),
    };
    Ok(event.map_or(Record::InvalidValue { instance }, |event| Record::Event { instance, event }))
}

fn start(instance: InstanceId, rest: &mut &[u8]) -> Read<Record> {
    let seed = rest.try_get_u64()?;
    let length = rest.try_get_u32()?;
    Ok(Record::Start { instance, seed, settings: bytes(rest, length as usize)? })
}

fn demand_report(rest: &mut &[u8]) -> Read<Option<Event>> {
    let total = rest.try_get_u32()?;
    let operation = rest.try_get_u16()?;
    let proxy = rest.try_get_u16()?;
    let failures = rest.try_get_u32()?;
    let window = nanos(rest.try_get_f64()?);
    Ok(window.map(|window| Event::DemandReport { proxy, operation, total, failures, window }))
}

fn peer_message(rest: &mut &[u8]) -> Read<Event> {
    let from = rest.try_get_u16()?;
    let length = rest.try_get_u16()?;
    Ok(Event::PeerMessage { from, content: bytes(rest, length.into())? })
}

fn health_checked(rest: &mut &[u8]) -> Read<Option<Event>> {
    let outcome = match rest.try_get_u8()? {
        0 => HealthCheckOutcome::Answered,
        1 => HealthCheckOutcome::Errored,
        2 => HealthCheckOutcome::Rejected,
        3 => HealthCheckOutcome::TimedOut,
        4 => HealthCheckOutcome::Unreachable,
        5 => HealthCheckOutcome::Broken,
        _ => HealthCheckOutcome::Other,
    };
    let elapsed = nanos(rest.try_get_f64()?);
    let server = rest.try_get_u32()?;
    let load = load(rest)?;
    Ok(elapsed.map(|elapsed| Event::HealthChecked { server, outcome, elapsed, load }))
}

fn endpoint_report(rest: &mut &[u8]) -> Read<Option<Event>> {
    let server = rest.try_get_u32()?;
    let response_time = nanos(rest.try_get_f64()?);
    let window = nanos(rest.try_get_f64()?);
    let failures = rest.try_get_u32()?;
    let attempts = rest.try_get_u32()?;
    let locality = rest.try_get_u16()?;
    let load = load(rest)?;
    Ok(response_time.zip(window).map(|(response_time, window)| {
        Event::EndpointReport(EndpointReport {
            server,
            locality,
            attempts,
            failures,
            response_time,
            window,
            load,
        })
    }))
}

fn joined(rest: &mut &[u8]) -> Read<Event> {
    let proxy = rest.try_get_u16()?;
    let locality = rest.try_get_u16()?;
    let rate = f64::from(rest.try_get_f32()?);
    Ok(Event::Joined { proxy, locality, rate, is_new: flag(rest)? })
}

fn recorded_weight(rest: &mut &[u8]) -> Read<Event> {
    let table = rest.try_get_u16()?;
    let server = rest.try_get_u32()?;
    Ok(Event::RecordedWeight { table, server, weight: f64::from(rest.try_get_f32()?) })
}

fn endpoints(rest: &mut &[u8]) -> Read<Option<Event>> {
    let kind = rest.try_get_u8()?;
    let _serial = rest.try_get_u64()?;
    let count = rest.try_get_u32()?;
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.extend(endpoint(rest)?);
    }
    let watch_event = match kind {
        0 => WatchEvent::Delta(endpoints),
        1 => WatchEvent::Failed,
        2 => WatchEvent::Cached(endpoints),
        3 => WatchEvent::Full(endpoints),
        _ => return Ok(None),
    };
    Ok(Some(Event::Endpoints(watch_event)))
}

/// Decodes an endpoint of a list; `None` if the code of its readiness is unknown.
fn endpoint(rest: &mut &[u8]) -> Read<Option<Endpoint>> {
    let server = rest.try_get_u32()?;
    let locality = rest.try_get_u16()?;
    let kind = rest.try_get_u16()?;
    let cell = rest.try_get_u16()?;
    let readiness = match rest.try_get_u8()? {
        0 => Some(Readiness::Removed),
        1 => Some(Readiness::Ready),
        2 => Some(Readiness::Draining),
        _ => None,
    };
    let weight = f64::from(rest.try_get_f32()?);
    let started_at = nanos(rest.try_get_f64()?).unwrap_or(0);
    Ok(readiness.map(|readiness| Endpoint { server, locality, kind, cell, readiness, weight, started_at }))
}

fn table_demand(rest: &mut &[u8]) -> Read<Option<Event>> {
    let window = nanos(rest.try_get_f64()?);
    let table = rest.try_get_u16()?;
    let operation = rest.try_get_u16()?;
    let failures = rest.try_get_u32()?;
    let total = rest.try_get_u32()?;
    Ok(window.map(|window| Event::TableDemand { table, operation, total, failures, window }))
}

fn acknowledged(rest: &mut &[u8]) -> Read<Option<Event>> {
    let proxy = rest.try_get_u16()?;
    let serial = rest.try_get_u64()?;
    let elapsed = nanos(rest.try_get_f64()?);
    Ok(elapsed.map(|elapsed| Event::Acknowledged { proxy, serial, elapsed }))
}

fn flag(rest: &mut &[u8]) -> Read<bool> {
    Ok(rest.try_get_u8()? != 0)
}

fn load(rest: &mut &[u8]) -> Read<Vec<f64>> {
    let count = rest.try_get_u8()?;
    (0..count).map(|_| Ok(f64::from(rest.try_get_f32()?))).collect()
}

/// Reads a field of this length in bytes.
fn bytes(rest: &mut &[u8], length: usize) -> Read<Vec<u8>> {
    let (content, remaining) =
        rest.split_at_checked(length).ok_or(TryGetError { requested: length, available: rest.len() })?;
    *rest = remaining;
    Ok(content.to_vec())
}
