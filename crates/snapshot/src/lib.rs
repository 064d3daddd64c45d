//! What a supervisor has learned, as one file that survives its restart; free of I/O and clock. `docs/memory.md` has the
//! design.
//!
//! The file is a frame of `shalereel_journal` behind a head of its own: checksummed, whole or not there. In it stand the
//! number of a schema and a [`Memory`] in postcard's format (`postcard` 1, its published specification). What is read is
//! trusted by its age, which [`Ageing`] decides; what a server's part of it weighs is the module's decision.

mod ageing;

use std::collections::BTreeMap;

pub use ageing::{Ageing, Distrust};
use serde::{Deserialize, Serialize};
use shalereel::interface::{Nanos, ServerId, ServerSnapshot, Snapshot};
use shalereel_journal::JournalError;
use thiserror::Error;

/// What the file begins with.
pub const HEAD: &shalereel_journal::Magic = b"shlrmem1";
/// Of what stands behind it.
const SCHEMA: u16 = 2;

/// Why a file is not used. Nothing is lost by that but what it said.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MemoryError {
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error("nothing was written into it yet")]
    Empty,
    #[error("it was written with schema {0}, and this program reads 1 and 2; it is written anew")]
    Schema(u16),
    #[error("its checksum is right and its content is none; it is written anew")]
    Content,
    #[error("a figure in it is not finite; it is written anew")]
    Figure,
}

/// One server's part, with the number of the start that it was learned of.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct ServerPart {
    server: u32,
    life: u64,
    tries: f32,
    lost: f32,
    answered: f32,
    /// Mean answer time, ns.
    answer_time: u64,
    unanswered: f32,
    felt: f32,
    band: u8,
    level: f32,
    out_for: Option<u64>,
    silent: bool,
    term: u64,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
struct FleetPart {
    tries: f64,
    lost: f64,
    usual: f64,
    peak: f64,
    capacity: Option<f64>,
    apart_left: u64,
    apart_for: u64,
}

/// Schema 1: no proxies' rates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct First {
    at: u64,
    servers: Vec<ServerPart>,
    fleet: FleetPart,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Second {
    at: u64,
    servers: Vec<ServerPart>,
    fleet: FleetPart,
    rates: BTreeMap<String, f32>,
}

/// All that is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// When it was told, by the wall clock, since 1970.
    pub at: Nanos,
    pub remembered: Snapshot,
    /// Numbers of the servers' starts: what was learned of an earlier one says nothing.
    pub lives: BTreeMap<ServerId, u64>,
    /// Invocations a second that came to proxies, by name.
    pub rates: BTreeMap<String, f64>,
}

impl Memory {
    /// The body of the file, to be framed.
    pub fn encode(&self) -> Vec<u8> {
        let part = |learned: &ServerSnapshot| ServerPart {
            server: learned.server,
            life: self.lives.get(&learned.server).copied().unwrap_or(0),
            tries: learned.attempts as f32,
            lost: learned.failures as f32,
            answered: learned.responses as f32,
            answer_time: if learned.responses > 0.0 {
                (learned.response_time_sum / learned.responses) as u64
            } else {
                0
            },
            unanswered: learned.missing_responses as f32,
            felt: learned.applied_share as f32,
            band: learned.health,
            level: learned.recovery as f32,
            out_for: learned.ejected_for,
            silent: learned.unresponsive,
            term: learned.ejection_time,
        };
        let told = &self.remembered;
        let second = Second {
            at: self.at,
            servers: told.servers.iter().map(part).collect(),
            fleet: FleetPart {
                tries: told.attempts,
                lost: told.failures,
                usual: told.usual_weight,
                peak: told.peak_load,
                capacity: told.load_limit,
                apart_left: told.isolation_left,
                apart_for: told.isolation_time,
            },
            rates: self.rates.iter().map(|(name, &rate)| (name.clone(), rate as f32)).collect(),
        };
        // A vector takes all that is put into it.
        postcard::to_extend(&(SCHEMA, second), Vec::new()).unwrap_or_default()
    }

    /// Reads a whole file. Errors: damage, another schema, or what no supervisor writes; nothing of it is used then.
    pub fn read(file: &[u8]) -> Result<Self, MemoryError> {
        let records = shalereel_journal::records(file, HEAD)?;
        let body = records.last().ok_or(MemoryError::Empty)?.payload;
        let (schema, rest) = postcard::take_from_bytes::<u16>(body).map_err(|_| MemoryError::Content)?;
        let second = match schema {
            1 => {
                let First { at, servers, fleet } = whole(rest)?;
                Second { at, servers, fleet, rates: BTreeMap::new() }
            }
            2 => whole(rest)?,
            other => return Err(MemoryError::Schema(other)),
        };
        Memory::settle(second)
    }

    fn settle(told: Second) -> Result<Self, MemoryError> {
        let Second { at, servers, fleet, rates } = told;
        let figures = [fleet.tries, fleet.lost, fleet.usual, fleet.peak, fleet.capacity.unwrap_or(0.0)];
        let of_servers = servers
            .iter()
            .flat_map(|part| [part.tries, part.lost, part.answered, part.unanswered, part.felt, part.level]);
        let of_servers = of_servers.chain(rates.values().copied()).map(f64::from);
        if figures.into_iter().chain(of_servers).any(|figure| !figure.is_finite() || figure < 0.0) {
            return Err(MemoryError::Figure);
        }
        let learned = |part: &ServerPart| ServerSnapshot {
            server: part.server,
            attempts: part.tries.into(),
            failures: part.lost.into(),
            responses: part.answered.into(),
            response_time_sum: f64::from(part.answered) * part.answer_time as f64,
            missing_responses: part.unanswered.into(),
            applied_share: part.felt.into(),
            health: part.band,
            recovery: part.level.into(),
            ejected_for: part.out_for,
            unresponsive: part.silent,
            ejection_time: part.term,
        };
        let FleetPart { tries, lost, usual, peak, capacity, apart_left, apart_for } = fleet;
        Ok(Memory {
            at,
            lives: servers.iter().map(|part| (part.server, part.life)).collect(),
            rates: rates.into_iter().map(|(name, rate)| (name, rate.into())).collect(),
            remembered: Snapshot {
                servers: servers.iter().map(learned).collect(),
                attempts: tries,
                failures: lost,
                usual_weight: usual,
                peak_load: peak,
                load_limit: capacity,
                isolation_left: apart_left,
                isolation_time: apart_for,
            },
        })
    }

    /// What concerns servers in the lives that they have now. `life`: number of a listed server's start.
    pub fn of_these(&self, life: impl Fn(ServerId) -> Option<u64>) -> Snapshot {
        let same = |learned: &&ServerSnapshot| {
            let server = learned.server;
            life(server).is_some_and(|life| self.lives.get(&server) == Some(&life))
        };
        let servers = self.remembered.servers.iter().filter(same).copied().collect();
        Snapshot { servers, ..self.remembered.clone() }
    }
}

fn whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, MemoryError> {
    match postcard::take_from_bytes(bytes) {
        Ok((told, [])) => Ok(told),
        _ => Err(MemoryError::Content),
    }
}

#[cfg(test)]
mod tests;
