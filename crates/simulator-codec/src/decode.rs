//! Decodes batches: a header with the time, then records.

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
    /// Its records, in order.
    pub records: Vec<Record>,
}

/// A record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// An instance starts, in place of one with the same number.
    Start {
        /// Its number.
        instance: InstanceId,
        /// Seed of its random choices.
        seed: u64,
        /// Its settings, to be decoded by [`crate::decode_settings`].
        settings: Vec<u8>,
    },
    /// An instance ends.
    Stop {
        /// Its number.
        instance: InstanceId,
    },
    /// An event of an instance.
    Event {
        /// Number of the instance.
        instance: InstanceId,
        /// The event.
        event: Event,
    },
    /// A well-formed record with a value that is of no use: not a number, negative or out of range.
    InvalidValue {
        /// Number of the instance.
        instance: InstanceId,
    },
}

/// Why a batch is rejected. Offsets count from behind the frame's length, in bytes.
#[derive(Debug, Error, PartialEq)]
pub enum DecodeError {
    /// The time of the header is no time.
    #[error("the clock of the batch is no time: {0}")]
    InvalidTime(f64),
    /// The batch ends inside its header.
    #[error("the batch is cut short inside its header")]
    TruncatedHeader,
    /// No record has this code.
    #[error("record {record} at byte {offset}: unknown code {code}")]
    UnknownCode {
        /// Position of the record, from 0.
        record: usize,
        /// Its offset.
        offset: usize,
        /// Its code.
        code: u8,
    },
    /// The batch ends inside a record.
    #[error("record {record} at byte {offset}: runs past its frame")]
    TruncatedRecord {
        /// Position of the record, from 0.
        record: usize,
        /// Its offset.
        offset: usize,
    },
}

/// Decodes a frame without its length.
///
/// # Errors
///
/// The first thing that is wrong, with the record concerned; nothing of the batch is to be used then.
pub fn decode_batch(frame: &[u8]) -> Result<Batch, DecodeError> {
    let mut rest = frame;
    let clock = rest.try_get_f64().map_err(|_| DecodeError::TruncatedHeader)?;
    let now = nanos(clock).ok_or(DecodeError::InvalidTime(clock))?;
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

/// Why a record is rejected.
enum RecordError {
    UnknownCode(u8),
    Truncated,
}

impl From<TryGetError> for RecordError {
    fn from(_: TryGetError) -> Self {
        RecordError::Truncated
    }
}

type Read<T> = Result<T, TryGetError>;

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

/// An endpoint of a list; `None` where its readiness is unknown.
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

fn bytes(rest: &mut &[u8], length: usize) -> Read<Vec<u8>> {
    let (content, behind) =
        rest.split_at_checked(length).ok_or(TryGetError { requested: length, available: rest.len() })?;
    *rest = behind;
    Ok(content.to_vec())
}
