//! The servers that discovery has listed, by the identifiers that the controller uses. A server gets an
//! identifier when it is first listed and loses it when it is forgotten. No identifier is assigned twice.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use shalereel::interface::{Endpoint, LocalityId, Nanos, Readiness, ServerId, WatchEvent};
use thiserror::Error;

use crate::clocks::Clocks;
use crate::protocol::{EndpointList, ListEntry, ListedState};
use crate::server_age::{server_age, ListingTime};

/// Why an entry of an endpoint list is ignored.
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

/// A server, as it was last listed.
#[derive(Clone, Debug)]
pub struct RegisteredServer {
    /// Its name on the platform.
    pub name: Arc<str>,
    /// Address for health checks; `None` if the listed address cannot be parsed.
    pub address: Option<SocketAddr>,
    /// The server as the controller knows it.
    pub endpoint: Endpoint,
    /// Whether a start of it was listed, or it became ready again. Proxies that were connected earlier may
    /// still exclude such a server. The flag is never reset.
    pub was_started_or_returned: bool,
    /// Since when it has not been ready; `None` if it is ready.
    pub unready_since: Option<Nanos>,
    /// Unix time of its start as it was last listed, ms; NaN before the first entry is applied.
    started_ms: f64,
}

/// The result of applying an endpoint list.
#[derive(Debug)]
pub struct RegistryUpdate {
    /// The change for the controller.
    pub event: WatchEvent,
    /// Errors of the entries that were ignored. Their servers stay unchanged.
    pub errors: Vec<EntryError>,
}

/// All known servers, by identifier and by name.
#[derive(Debug)]
pub struct ServerRegistry {
    localities: Vec<String>,
    kinds: Vec<String>,
    ids: HashMap<Arc<str>, ServerId>,
    servers: BTreeMap<ServerId, RegisteredServer>,
    last_id: ServerId,
    version: u64,
    /// Unix time at which the monotonic clock was 0, as computed at the first list, ms. A later step of the
    /// wall clock is detected by comparison with it.
    first_epoch_ms: Option<f64>,
}

fn position(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|known| known == name).map(|position| position as u16)
}

impl ServerRegistry {
    /// Creates an empty registry. `localities` and `kinds` are the configured names, in the order of the
    /// controller's identifiers for them.
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

    /// Version of the last list; 0 before the first list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Identifier of the server with this name, if it is known.
    pub fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Whether this identifier was ever assigned, including to a server that was forgotten.
    pub fn was_assigned(&self, server: ServerId) -> bool {
        (1..=self.last_id).contains(&server)
    }

    /// The server with this identifier; `None` if it was forgotten or never listed.
    pub fn get(&self, server: ServerId) -> Option<&RegisteredServer> {
        self.servers.get(&server)
    }

    /// All servers with their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &RegisteredServer)> {
        self.servers.iter().map(|(&id, server)| (id, server))
    }

    /// Identifier of the locality with this name, if it is configured.
    pub fn locality_id(&self, name: &str) -> Option<LocalityId> {
        position(&self.localities, name)
    }

    /// All servers, for a restarted controller. Removed servers are included, since proxies may still have
    /// them in their tables.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.servers.values().map(|server| server.endpoint).collect()
    }

    /// Applies an endpoint list. The server of an invalid entry stays unchanged. `last_heard_at` is the time
    /// at which discovery last sent anything before this list.
    pub fn apply(
        &mut self,
        list: EndpointList,
        clocks: Clocks,
        last_heard_at: Option<Nanos>,
    ) -> RegistryUpdate {
        let listed_at = self.listing_time(clocks, last_heard_at);
        let mut errors = Vec::new();
        let mut endpoints: BTreeMap<ServerId, Endpoint> = BTreeMap::new();
        for entry in list.entries {
            // The server is looked up before the entry is decoded, since a full list must not remove a server
            // whose entry is invalid.
            let listed_id = entry.get("id").and_then(|name| name.as_str()).and_then(|name| self.id(name));
            match self.apply_entry(entry, clocks, &listed_at) {
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

    fn listing_time(&mut self, clocks: Clocks, last_heard_at: Option<Nanos>) -> ListingTime {
        let first_epoch_ms = *self.first_epoch_ms.get_or_insert(clocks.monotonic_epoch_ms());
        ListingTime {
            unix_ms: clocks.unix_ms,
            unix_by_first_list_ms: first_epoch_ms + clocks.now as f64 / 1e6,
            since_last_heard: last_heard_at.map(|heard_at| clocks.now.saturating_sub(heard_at)),
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

    /// Applies one entry and returns the changed server. Returns `None` if the entry removes a server that is
    /// not known.
    fn apply_entry(
        &mut self,
        entry: serde_json::Value,
        clocks: Clocks,
        listed_at: &ListingTime,
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
        server.apply_start(entry.started_ms, clocks, listed_at);
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

    /// Returns the identifiers of the entry's locality and kind.
    ///
    /// # Errors
    /// The locality or kind is not configured, or the weight or start time is out of range.
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

    /// Forgets the servers that were removed before a time and are not in use. Returns their identifiers.
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
    /// Updates the start time. The age is computed only once per start, so that a later step of the wall
    /// clock does not appear as another start.
    fn apply_start(&mut self, started_ms: f64, clocks: Clocks, listed_at: &ListingTime) {
        if self.started_ms == started_ms {
            return;
        }
        let age = server_age(started_ms, listed_at);
        self.endpoint.started_at = age.map_or(0, |age| clocks.controller_time().saturating_sub(age));
        self.was_started_or_returned |= started_ms > 0.0;
        self.started_ms = started_ms;
    }

    /// Updates the time since which the server has not been ready. Returns its new readiness.
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
