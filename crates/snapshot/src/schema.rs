//! Schemas of the stored snapshot. Postcard stores fields in their order and without names: the order must not change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shalereel::interface::{ServerSnapshot, Snapshot};

use crate::stored::{SnapshotError, StoredSnapshot};

/// Number of the schema that is written.
pub(crate) const CURRENT_SCHEMA: u16 = 2;

/// What was learned of one incarnation of a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ServerRecord {
    server: u32,
    incarnation: u64,
    attempts: f32,
    failures: f32,
    responses: f32,
    /// In ns.
    mean_response_time: u64,
    missing_responses: f32,
    applied_share: f32,
    health: u8,
    recovery: f32,
    /// In ns.
    ejected_for: Option<u64>,
    unresponsive: bool,
    /// In ns.
    ejection_time: u64,
}

/// What was learned of all servers together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct FleetRecord {
    attempts: f64,
    failures: f64,
    usual_weight: f64,
    peak_load: f64,
    load_limit: Option<f64>,
    /// In ns.
    isolation_left: u64,
    /// In ns.
    isolation_time: u64,
}

/// Schema 1: without proxies' request rates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct SchemaV1 {
    pub(crate) taken_at: u64,
    pub(crate) servers: Vec<ServerRecord>,
    pub(crate) fleet: FleetRecord,
}

/// Schema 2.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct SchemaV2 {
    /// By the wall clock, ns since 1970.
    pub(crate) taken_at: u64,
    pub(crate) servers: Vec<ServerRecord>,
    pub(crate) fleet: FleetRecord,
    pub(crate) proxy_rates: BTreeMap<String, f32>,
}

impl From<SchemaV1> for SchemaV2 {
    fn from(old: SchemaV1) -> Self {
        let SchemaV1 { taken_at, servers, fleet } = old;
        SchemaV2 { taken_at, servers, fleet, proxy_rates: BTreeMap::new() }
    }
}

impl ServerRecord {
    fn new(learned: &ServerSnapshot, incarnation: u64) -> Self {
        let has_responses = learned.responses > 0.0;
        let mean = if has_responses { learned.response_time_sum / learned.responses } else { 0.0 };
        ServerRecord {
            server: learned.server,
            incarnation,
            attempts: learned.attempts as f32,
            failures: learned.failures as f32,
            responses: learned.responses as f32,
            mean_response_time: mean as u64,
            missing_responses: learned.missing_responses as f32,
            applied_share: learned.applied_share as f32,
            health: learned.health,
            recovery: learned.recovery as f32,
            ejected_for: learned.ejected_for,
            unresponsive: learned.unresponsive,
            ejection_time: learned.ejection_time,
        }
    }

    fn learned(&self) -> ServerSnapshot {
        ServerSnapshot {
            server: self.server,
            attempts: self.attempts.into(),
            failures: self.failures.into(),
            responses: self.responses.into(),
            response_time_sum: f64::from(self.responses) * self.mean_response_time as f64,
            missing_responses: self.missing_responses.into(),
            applied_share: self.applied_share.into(),
            health: self.health,
            recovery: self.recovery.into(),
            ejected_for: self.ejected_for,
            unresponsive: self.unresponsive,
            ejection_time: self.ejection_time,
        }
    }

    fn numbers_to_validate(&self) -> [f32; 6] {
        [
            self.attempts,
            self.failures,
            self.responses,
            self.missing_responses,
            self.applied_share,
            self.recovery,
        ]
    }
}

impl FleetRecord {
    fn new(learned: &Snapshot) -> Self {
        FleetRecord {
            attempts: learned.attempts,
            failures: learned.failures,
            usual_weight: learned.usual_weight,
            peak_load: learned.peak_load,
            load_limit: learned.load_limit,
            isolation_left: learned.isolation_left,
            isolation_time: learned.isolation_time,
        }
    }

    fn learned(&self, servers: Vec<ServerSnapshot>) -> Snapshot {
        Snapshot {
            servers,
            attempts: self.attempts,
            failures: self.failures,
            usual_weight: self.usual_weight,
            peak_load: self.peak_load,
            load_limit: self.load_limit,
            isolation_left: self.isolation_left,
            isolation_time: self.isolation_time,
        }
    }

    fn numbers_to_validate(&self) -> [f64; 5] {
        let load_limit = self.load_limit.unwrap_or(0.0);
        [self.attempts, self.failures, self.usual_weight, self.peak_load, load_limit]
    }
}

impl From<&StoredSnapshot> for SchemaV2 {
    fn from(stored: &StoredSnapshot) -> Self {
        let record = |learned: &ServerSnapshot| {
            let incarnation = stored.incarnations.get(&learned.server).copied().unwrap_or(0);
            ServerRecord::new(learned, incarnation)
        };
        SchemaV2 {
            taken_at: stored.taken_at,
            servers: stored.learned.servers.iter().map(record).collect(),
            fleet: FleetRecord::new(&stored.learned),
            proxy_rates: stored.proxy_rates.iter().map(|(id, &rate)| (id.clone(), rate as f32)).collect(),
        }
    }
}

impl TryFrom<SchemaV2> for StoredSnapshot {
    type Error = SnapshotError;

    fn try_from(record: SchemaV2) -> Result<Self, SnapshotError> {
        let of_servers = record.servers.iter().flat_map(ServerRecord::numbers_to_validate);
        let of_proxies = record.proxy_rates.values().copied();
        let mut numbers =
            record.fleet.numbers_to_validate().into_iter().chain(of_servers.chain(of_proxies).map(f64::from));
        if numbers.any(|number| !number.is_finite() || number < 0.0) {
            return Err(SnapshotError::InvalidNumber);
        }
        let servers = record.servers.iter().map(ServerRecord::learned).collect();
        Ok(StoredSnapshot {
            taken_at: record.taken_at,
            incarnations: record.servers.iter().map(|server| (server.server, server.incarnation)).collect(),
            proxy_rates: record.proxy_rates.into_iter().map(|(id, rate)| (id, rate.into())).collect(),
            learned: record.fleet.learned(servers),
        })
    }
}
