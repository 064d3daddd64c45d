//! Schemas of the stored snapshot. Postcard stores fields in order and without names, so the order of fields
//! must not change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shalereel::interface::{ServerSnapshot, Snapshot};

use crate::stored::{SnapshotError, StoredSnapshot};

/// Number of the schema that this program writes.
pub(crate) const CURRENT_SCHEMA: u16 = 2;

/// State learned about one incarnation of a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ServerRecord {
    server: u32,
    incarnation: u64,
    attempts: f32,
    failures: f32,
    responses: f32,
    /// In nanoseconds.
    mean_response_time: u64,
    missing_responses: f32,
    applied_share: f32,
    health: u8,
    recovery: f32,
    /// In nanoseconds.
    ejected_for: Option<u64>,
    unresponsive: bool,
    /// In nanoseconds.
    ejection_time: u64,
}

/// State learned about all servers together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct FleetRecord {
    attempts: f64,
    failures: f64,
    usual_weight: f64,
    peak_load: f64,
    load_limit: Option<f64>,
    /// In nanoseconds.
    isolation_left: u64,
    /// In nanoseconds.
    isolation_time: u64,
}

/// Schema 1, which lacks the proxies' request rates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct SchemaV1 {
    pub(crate) taken_at: u64,
    pub(crate) servers: Vec<ServerRecord>,
    pub(crate) fleet: FleetRecord,
}

/// Schema 2, the current one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct SchemaV2 {
    /// Time of the snapshot by the wall clock, ns since 1970.
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
    fn new(snapshot: &ServerSnapshot, incarnation: u64) -> Self {
        let has_responses = snapshot.responses > 0.0;
        let mean = if has_responses { snapshot.response_time_sum / snapshot.responses } else { 0.0 };
        ServerRecord {
            server: snapshot.server,
            incarnation,
            attempts: snapshot.attempts as f32,
            failures: snapshot.failures as f32,
            responses: snapshot.responses as f32,
            mean_response_time: mean as u64,
            missing_responses: snapshot.missing_responses as f32,
            applied_share: snapshot.applied_share as f32,
            health: snapshot.health,
            recovery: snapshot.recovery as f32,
            ejected_for: snapshot.ejected_for,
            unresponsive: snapshot.unresponsive,
            ejection_time: snapshot.ejection_time,
        }
    }

    fn snapshot(&self) -> ServerSnapshot {
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
    fn new(snapshot: &Snapshot) -> Self {
        FleetRecord {
            attempts: snapshot.attempts,
            failures: snapshot.failures,
            usual_weight: snapshot.usual_weight,
            peak_load: snapshot.peak_load,
            load_limit: snapshot.load_limit,
            isolation_left: snapshot.isolation_left,
            isolation_time: snapshot.isolation_time,
        }
    }

    fn snapshot(&self, servers: Vec<ServerSnapshot>) -> Snapshot {
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
        let record = |snapshot: &ServerSnapshot| {
            let incarnation = stored.incarnations.get(&snapshot.server).copied().unwrap_or(0);
            ServerRecord::new(snapshot, incarnation)
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
        let server_numbers = record.servers.iter().flat_map(ServerRecord::numbers_to_validate);
        let proxy_numbers = record.proxy_rates.values().copied();
        let mut numbers = record
            .fleet
            .numbers_to_validate()
            .into_iter()
            .chain(server_numbers.chain(proxy_numbers).map(f64::from));
        if numbers.any(|number| !number.is_finite() || number < 0.0) {
            return Err(SnapshotError::InvalidNumber);
        }
        let servers = record.servers.iter().map(ServerRecord::snapshot).collect();
        Ok(StoredSnapshot {
            taken_at: record.taken_at,
            incarnations: record.servers.iter().map(|server| (server.server, server.incarnation)).collect(),
            proxy_rates: record.proxy_rates.into_iter().map(|(id, rate)| (id, rate.into())).collect(),
            learned: record.fleet.snapshot(servers),
        })
    }
}
