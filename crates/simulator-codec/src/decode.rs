//! Batches: header, then records of a code and its fields.

use bytes::{Buf, TryGetError};
use shalereel::interface::{
    Endpoint, EndpointReport, Event, HealthCheckOutcome, Nanos, Readiness, WatchEvent,
};
use thiserror::Error;

use crate::{nanos, InstanceId};

/// What one batch brought, in the order written.
#[derive(Debug, PartialEq)]
pub struct Batch {
    pub now: Nanos,
    pub incoming: Vec<Incoming>,
}

#[derive(Debug, PartialEq)]
pub enum Incoming {
    Enlist {
        instance: InstanceId,
        seed: u64,
        profile: Vec<u8>,
    },
    Kill {
        instance: InstanceId,
    },
    Event {
        instance: InstanceId,
        event: Event,
    },
    /// Well formed, but it holds a figure that no one can use (not a number, negative, out of range).
    Unusable {
        instance: InstanceId,
    },
}

#[derive(Debug, Error, PartialEq)]
pub enum DecodeError {
    #[error("the clock of the batch is no time: {0}")]
    Clock(f64),
    #[error("the batch is cut short inside its header")]
    Header,
    #[error("record {record} at byte {offset}: unknown code {code}")]
    UnknownCode { record: usize, offset: usize, code: u8 },
    #[error("record {record} at byte {offset}: runs past its frame")]
    Overrun { record: usize, offset: usize },
}

/// Reads what follows the length field of a frame. Offsets in errors count from that place.
pub fn decode_batch(frame: &[u8]) -> Result<Batch, DecodeError> {
    let mut rest = frame;
    let clock = rest.try_get_f64().map_err(|_| DecodeError::Header)?;
    let now = nanos(clock).ok_or(DecodeError::Clock(clock))?;
    let mut incoming = Vec::new();
    while rest.has_remaining() {
        let (record, offset) = (incoming.len(), frame.len() - rest.len());
        match read_record(&mut rest) {
            Ok(Ok(item)) => incoming.push(item),
            Ok(Err(code)) => return Err(DecodeError::UnknownCode { record, offset, code }),
            Err(_) => return Err(DecodeError::Overrun { record, offset }),
        }
    }
    Ok(Batch { now, incoming })
}

type Read<T> = Result<T, TryGetError>;

fn flag(rest: &mut &[u8]) -> Read<bool> {
    Ok(rest.try_get_u8()? != 0)
}

fn counted(rest: &mut &[u8], count: usize) -> Read<Vec<u8>> {
    let mut content = vec![0; count.min(rest.len())];
    if count > rest.len() {
        return Err(TryGetError { requested: count, available: rest.len() });
    }
    rest.copy_to_slice(&mut content);
    Ok(content)
}

fn load(rest: &mut &[u8]) -> Read<Vec<f64>> {
    let count = rest.try_get_u8()?;
    (0..count).map(|_| Ok(f64::from(rest.try_get_f32()?))).collect()
}

fn roster_row(rest: &mut &[u8]) -> Read<Option<Endpoint>> {
    let server = rest.try_get_u32()?;
    let (locality, kind, cell) = (rest.try_get_u16()?, rest.try_get_u16()?, rest.try_get_u16()?);
    let readiness = match rest.try_get_u8()? {
        0 => Some(Readiness::Removed),
        1 => Some(Readiness::Ready),
        2 => Some(Readiness::Draining),
        _ => None,
    };
    let weight = f64::from(rest.try_get_f32()?);
    let ready_at = nanos(rest.try_get_f64()?).unwrap_or(0);
    Ok(readiness.map(|readiness| Endpoint {
        server,
        locality,
        kind,
        cell,
        readiness,
        weight,
        started_at: ready_at,
    }))
}

fn roster(rest: &mut &[u8]) -> Read<Option<Event>> {
    let kind = rest.try_get_u8()?;
    let _serial = rest.try_get_u64()?;
    let count = rest.try_get_u32()?;
    let mut rows = Vec::new();
    for _ in 0..count {
        rows.extend(roster_row(rest)?);
    }
    Ok(match kind {
        0 => Some(WatchEvent::Delta(rows)),
        1 => Some(WatchEvent::Failed),
        2 => Some(WatchEvent::Cached(rows)),
        3 => Some(WatchEvent::Full(rows)),
        _ => None,
    }
    .map(Event::Endpoints))
}

fn digest(rest: &mut &[u8]) -> Read<Option<Event>> {
    let server = rest.try_get_u32()?;
    let (answer_time, window) = (nanos(rest.try_get_f64()?), nanos(rest.try_get_f64()?));
    let (lost, tries, locality) = (rest.try_get_u32()?, rest.try_get_u32()?, rest.try_get_u16()?);
    let load = load(rest)?;
    Ok(answer_time.zip(window).map(|(answer_time, window)| {
        Event::EndpointReport(EndpointReport {
            server,
            locality,
            attempts: tries,
            failures: lost,
            response_time: answer_time,
            window,
            load,
        })
    }))
}

fn probed(rest: &mut &[u8]) -> Read<Option<Event>> {
    let ending = match rest.try_get_u8()? {
        0 => HealthCheckOutcome::Answered,
        1 => HealthCheckOutcome::Errored,
        2 => HealthCheckOutcome::Rejected,
        3 => HealthCheckOutcome::TimedOut,
        4 => HealthCheckOutcome::Unreachable,
        5 => HealthCheckOutcome::Broken,
        _ => HealthCheckOutcome::Other,
    };
    let (took, server) = (nanos(rest.try_get_f64()?), rest.try_get_u32()?);
    let load = load(rest)?;
    Ok(took.map(|took| Event::HealthChecked { server, outcome: ending, elapsed: took, load }))
}

/// One record; the inner error is a code that the page does not know.
fn read_record(rest: &mut &[u8]) -> Read<Result<Incoming, u8>> {
    let code = rest.try_get_u8()?;
    if !(1..=14).contains(&code) {
        return Ok(Err(code));
    }
    let instance = rest.try_get_u32()?;
    let event = match code {
        1 => Some(Event::TimerFired { token: rest.try_get_u64()? }),
        2 => {
            let (total, operation, proxy) = (rest.try_get_u32()?, rest.try_get_u16()?, rest.try_get_u16()?);
            let lost = rest.try_get_u32()?;
            nanos(rest.try_get_f64()?).map(|window| Event::DemandReport {
                proxy,
                operation,
                total,
                failures: lost,
                window,
            })
        }
        3 => {
            let (from, count) = (rest.try_get_u16()?, rest.try_get_u16()?);
            Some(Event::PeerMessage { from, content: counted(rest, count.into())? })
        }
        4 => probed(rest)?,
        5 => Some(Event::LeaseChanged { table: rest.try_get_u16()?, on: flag(rest)? }),
        6 => digest(rest)?,
        7 => {
            let (seed, count) = (rest.try_get_u64()?, rest.try_get_u32()?);
            let profile = counted(rest, count as usize)?;
            return Ok(Ok(Incoming::Enlist { instance, seed, profile }));
        }
        8 => Some(Event::Left { proxy: rest.try_get_u16()? }),
        9 => {
            let (proxy, locality) = (rest.try_get_u16()?, rest.try_get_u16()?);
            let rate = f64::from(rest.try_get_f32()?);
            Some(Event::Joined { proxy, locality, rate, is_new: flag(rest)? })
        }
        10 => {
            let (table, server) = (rest.try_get_u16()?, rest.try_get_u32()?);
            Some(Event::RecordedWeight { table, server, weight: f64::from(rest.try_get_f32()?) })
        }
        11 => return Ok(Ok(Incoming::Kill { instance })),
        12 => roster(rest)?,
        13 => {
            let window = nanos(rest.try_get_f64()?);
            let (table, operation) = (rest.try_get_u16()?, rest.try_get_u16()?);
            let (lost, total) = (rest.try_get_u32()?, rest.try_get_u32()?);
            window.map(|window| Event::TableDemand { table, operation, total, failures: lost, window })
        }
        _ => {
            let (proxy, serial) = (rest.try_get_u16()?, rest.try_get_u64()?);
            nanos(rest.try_get_f64()?).map(|took| Event::Acknowledged { proxy, serial, elapsed: took })
        }
    };
    Ok(Ok(event.map_or(Incoming::Unusable { instance }, |event| Incoming::Event { instance, event })))
}
