//! The servers that discovery has listed, by the controller's identifiers. A server gets an identifier when
//! it is first listed and loses it when it is forgotten; no identifier is assigned twice.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use shalereel::interface::{Endpoint, LocalityId, Nanos, Readiness, ServerId, WatchEvent};
use thiserror::Error;

use crate::clocks::Clocks;
use crate::protocol::{EndpointList, ListEntry, ListedState};
use crate::server_age::{server_age, AgeEvidence};

/// Why an entry of an endpoint list is left out.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A field is missing or mistyped.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// Its locality is not configured.
    #[error("server {server}: unknown zone {locality:?}")]
    UnknownLocality {
        /// Name of the server.
        server: String,
        /// Name of the locality.
        locality: String,
    },
    /// Its hardware kind is not configured.
    #[error("server {server}: unknown kind {kind:?}")]
    UnknownKind {
        /// Name of the server.
        server: String,
        /// Name of the kind.
        kind: String,
    },
    /// Its weight or start time is out of range.
    #[error("server {server}: invalid weight {weight} or start time {started_ms}")]
    OutOfRange {
        /// Name of the server.
        server: String,
        /// Listed weight.
        weight: f64,
        /// Unix time of its start, ms.
        started_ms: f64,
    },
}

/// One server as it was last listed.
#[derive(Clone, Debug)]
pub struct RegisteredServer {
    /// Its name on the platform.
    pub name: Arc<str>,
    /// Where it answers health checks; none where the listed address cannot be parsed.
    pub address: Option<SocketAddr>,
    /// The server for the controller.
    pub endpoint: Endpoint,
    /// A start of it was listed, or it became ready again: proxies of earlier connections may still exclude it. Never reset.
    pub was_started_or_returned: bool,
    /// Since when it is not ready.
    pub unready_since: Option<Nanos>,
    /// Unix time of its start as listed, ms.
    started_ms: f64,
}

/// What a list has changed.
#[derive(Debug)]
pub struct RegistryUpdate {
    /// The change for the controller.
    pub event: WatchEvent,
    /// Entries that were left out; their servers stay as they were.
    pub errors: Vec<EntryError>,
}

/// All servers that are known, by identifier and by name.
#[derive(Debug)]
pub struct ServerRegistry {
    localities: Vec<String>,
    kinds: Vec<String>,
    ids: HashMap<Arc<str>, ServerId>,
    servers: BTreeMap<ServerId, RegisteredServer>,
    last_id: ServerId,
    version: u64,
    /// Unix time at which the monotonic clock was 0, as at the first list: a later step of the wall clock
    /// shows against it.
    first_epoch_ms: Option<f64>,
}

fn position(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|known| known == name).map(|position| position as u16)
}

impl ServerRegistry {
    /// An empty registry. `localities` and `kinds`: the configured names, by position.
    pub fn new(localities: Vec<String>, kinds: Vec<String>) -> Self {
        ServerRegistry {
            localities,
            kinds,
            ids: HashMap::new(),
            servers: BTreeMap::new(),
            last_id: 0,
            version: 0,
            first_epoch_ms: None,
        }
    }

    /// Version of the last list; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Identifier of the server with this name.
    pub fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Whether this identifier was ever assigned.
    pub fn was_assigned(&self, server: ServerId) -> bool {
        (1..=self.last_id).contains(&server)
    }

    /// The server with this identifier, unless it was forgotten.
    pub fn get(&self, server: ServerId) -> Option<&RegisteredServer> {
        self.servers.get(&server)
    }

    /// All servers with their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &RegisteredServer)> {
        self.servers.iter().map(|(&id, server)| (id, server))
    }

    /// Identifier of the locality with this name.
    pub fn locality_id(&self, name: &str) -> Option<LocalityId> {
        position(&self.localities, name)
    }

    /// All servers for a restarted controller, removed ones too: proxies may still have them in their tables.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.servers.values().map(|server| server.endpoint).collect()
    }

    /// Applies a list. An invalid entry leaves its server as it was. `last_heard_at`: when discovery was
    /// heard before.
    pub fn apply(
        &mut self,
        list: EndpointList,
        clocks: Clocks,
        last_heard_at: Option<Nanos>,
    ) -> RegistryUpdate {
        let evidence = self.age_evidence(clocks, last_heard_at);
        let mut errors = Vec::new();
        let mut endpoints: BTreeMap<ServerId, Endpoint> = BTreeMap::new();
        for entry in list.entries {
            // Looked up before the entry is decoded: a full list must not remove a server whose entry is
            // invalid.
            let listed_id = entry.get("id").and_then(|name| name.as_str()).and_then(|name| self.id(name));
            match self.apply_entry(entry, clocks, &evidence) {
                Ok(changed) => endpoints.extend(changed.map(|endpoint| (endpoint.server, endpoint))),
                Err(error) => {
                    errors.push(error);
                    let unchanged = listed_id.and_then(|id| self.get(id)).filter(|_| list.is_full);
                    endpoints.extend(unchanged.map(|server| (server.endpoint.server, server.endpoint)));
                }
            }
        }
        self.version = list.version;
        if list.is_full {
            self.remove_unlisted(&endpoints, clocks.now);
        }
        let endpoints = endpoints.into_values().collect();
        let event = if list.is_full { WatchEvent::Full(endpoints) } else { WatchEvent::Delta(endpoints) };
        RegistryUpdate { event, errors }
    }

    fn age_evidence(&mut self, clocks: Clocks, last_heard_at: Option<Nanos>) -> AgeEvidence {
        let first_epoch_ms = *self.first_epoch_ms.get_or_insert(clocks.monotonic_epoch_ms());
        AgeEvidence {
            unix_ms: clocks.unix_ms,
            unix_by_first_list_ms: first_epoch_ms + clocks.now as f64 / 1e6,
            since_heard: last_heard_at.map(|heard_at| clocks.now.saturating_sub(heard_at)),
        }
    }

    fn remove_unlisted(&mut self, listed: &BTreeMap<ServerId, Endpoint>, now: Nanos) {
        for (id, server) in &mut self.servers {
            if !listed.contains_key(id) {
                server.endpoint.readiness = Readiness::Removed;
                server.unready_since.get_or_insert(now);
            }
        }
    }

    /// The server as it is now; none where it is removed and was never known.
    fn apply_entry(
        &mut self,
        entry: serde_json::Value,
        clocks: Clocks,
        evidence: &AgeEvidence,
    ) -> Result<Option<Endpoint>, EntryError> {
        let entry: ListEntry = serde_json::from_value(entry)?;
        let (locality, kind) = self.check_entry(&entry)?;
        let id = match self.id(&entry.name) {
            Some(id) => id,
            None if entry.state == ListedState::Removed => return Ok(None),
            None => self.assign_id(&entry.name),
        };
        let server = self.servers.entry(id).or_insert_with(|| RegisteredServer {
            name: Arc::from(entry.name.as_str()),
            address: None,
            endpoint: Endpoint::default(),
            was_started_or_returned: entry.started_ms > 0.0,
            unready_since: None,
            started_ms: f64::NAN,
        });
        server.apply_start(entry.started_ms, clocks, evidence);
        let readiness = server.apply_state(entry.state, clocks.now);
        server.address = entry.address.parse().ok();
        server.endpoint = Endpoint {
            server: id,
            locality,
            kind,
            cell: entry.cell,
            readiness,
            weight: entry.weight,
            started_at: server.endpoint.started_at,
        };
        Ok(Some(server.endpoint))
    }

    /// Positions of the entry's locality and kind.
    fn check_entry(&self, entry: &ListEntry) -> Result<(u16, u16), EntryError> {
        let server = || entry.name.clone();
        let locality = position(&self.localities, &entry.locality).ok_or_else(|| {
            EntryError::UnknownLocality { server: server(), locality: entry.locality.clone() }
        })?;
        let kind = position(&self.kinds, &entry.kind)
            .ok_or_else(|| EntryError::UnknownKind { server: server(), kind: entry.kind.clone() })?;
        if !(entry.weight >= 0.0 && entry.weight.is_finite() && entry.started_ms.is_finite()) {
            let (weight, started_ms) = (entry.weight, entry.started_ms);
            return Err(EntryError::OutOfRange { server: server(), weight, started_ms });
        }
        Ok((locality, kind))
    }

    fn assign_id(&mut self, name: &str) -> ServerId {
        self.last_id += 1;
        self.ids.insert(Arc::from(name), self.last_id);
        tracing::debug!(server = name, id = self.last_id, "identifier assigned");
        self.last_id
    }

    /// Forgets servers that were removed before a time and are not in use, and returns them.
    pub fn forget_removed(&mut self, before: Nanos, is_in_use: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        let was_removed = |server: &RegisteredServer| {
            server.endpoint.readiness == Readiness::Removed
                && server.unready_since.is_some_and(|since| since < before)
        };
        let forgotten: Vec<ServerId> = self
            .iter()
            .filter(|(id, server)| was_removed(server) && !is_in_use(*id))
            .map(|(id, _)| id)
            .collect();
        for id in &forgotten {
            if let Some(server) = self.servers.remove(id) {
                self.ids.remove(&server.name);
            }
        }
        forgotten
    }
}

impl RegisteredServer {
    /// Its age is determined once per start: a step of the wall clock must not look like another start.
    fn apply_start(&mut self, started_ms: f64, clocks: Clocks, evidence: &AgeEvidence) {
        if self.started_ms == started_ms {
            return;
        }
        let age = server_age(started_ms, evidence);
        self.endpoint.started_at = age.map_or(0, |age| clocks.controller_time().saturating_sub(age));
        self.was_started_or_returned |= started_ms > 0.0;
        self.started_ms = started_ms;
    }

    fn apply_state(&mut self, state: ListedState, now: Nanos) -> Readiness {
        let readiness = match state {
            ListedState::Ready => Readiness::Ready,
            ListedState::Draining => Readiness::Draining,
            ListedState::Removed => Readiness::Removed,
        };
        if readiness == Readiness::Ready {
            self.was_started_or_returned |= self.unready_since.take().is_some();
        } else {
            self.unready_since.get_or_insert(now);
        }
        readiness
    }
}
