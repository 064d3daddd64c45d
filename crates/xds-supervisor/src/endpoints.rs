//! The endpoint list, built from the registry's lists, reports of SASP members, and operators' drains. `core` updates
//! it; tables, load reports and the guard read it. Free of I/O and clock, and makes no decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shalereel::interface::{Endpoint, Nanos, Readiness, ServerId, WatchEvent};
use shalereel_guard::Availability;
use shalereel_xds::{AssignedEndpoint, Assignment, Health, ServerInfo};

/// A server as it was last listed. The field names are those of `last-list.json`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// Address of the server.
    pub address: SocketAddr,
    /// Name of the server's locality.
    pub zone: String,
    /// Number of the server's last start.
    incarnation: u64,
    /// Time of the server's last start, ns; 0 if unknown.
    #[serde(rename = "ready_at")]
    started_at: Nanos,
    kind: u16,
    cell: u16,
    weight: f64,
    draining: bool,
    listed: bool,
}

impl ListedEndpoint {
    fn accepts_requests(&self) -> bool {
        self.listed && !self.draining
    }
}

/// Source of a report about a SASP member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporter {
    /// The member itself.
    Member,
    /// A balancer that uses the member.
    Balancer,
}

/// State of a SASP member, reported by the member or its balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// Address of the member.
    pub address: SocketAddr,
    /// Zone of the member. SASP has no field for it: it is the member's label if that names a zone, else the
    /// supervisor's own zone.
    pub zone: String,
    /// Source of the report.
    pub reporter: Reporter,
    /// The member is registered; false if it was removed.
    pub present: bool,
    /// The member accepts no new requests.
    pub quiesced: bool,
}

/// A row of the registry's list that was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedRow {
    /// Address in the row.
    pub address: SocketAddr,
    /// Reason for skipping the row.
    pub reason: SkipReason,
}

/// Reason for skipping a row of the registry's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// The row has no server metadata.
    NoServerInfo,
    /// The row's zone is not one of the deployment's localities.
    UnknownZone,
}

impl fmt::Display for SkipReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SkipReason::NoServerInfo => "no server metadata",
            SkipReason::UnknownZone => "unknown zone",
        })
    }
}

/// Result of applying a list from the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedList {
    /// Event for the controller.
    pub event: WatchEvent,
    /// Skipped rows; their servers count as not listed.
    pub skipped: Vec<SkippedRow>,
}

/// Number, locality and readiness of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// Number of the server.
    pub server: ServerId,
    /// Position of its locality among the deployment's localities.
    pub locality: u16,
    /// The server is drained by neither the registry, a SASP member's report, nor an operator.
    pub ready: bool,
}

/// The endpoint list as last received. Its servers are stored and reloaded at a restart.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: BTreeMap<ServerId, ListedEndpoint>,
    by_address: BTreeMap<SocketAddr, ServerId>,
    localities: Vec<String>,
    address_version: u64,
    drain_version: u64,
    /// Addresses of servers that they themselves or a balancer have reported as quiesced.
    quiesced: BTreeSet<SocketAddr>,
    /// Servers that registered themselves and are not in the registry's list.
    self_registered: BTreeMap<SocketAddr, ServerId>,
    /// Servers that operators drain by an order to the group.
    drained_by_operators: BTreeSet<ServerId>,
}

/// Lowest number of a server that registered itself; the registry's numbers are below it.
const FIRST_SELF_REGISTERED: ServerId = 1 << 31;

impl EndpointList {
    /// Creates an empty list for a deployment with these localities.
    pub fn new(localities: &[String]) -> Self {
        EndpointList { localities: localities.to_vec(), ..EndpointList::default() }
    }

    /// Applies a full list from the registry. Rows without server metadata or with an unknown zone are skipped.
    pub fn apply_list(&mut self, now: Nanos, list: &Assignment) -> AppliedList {
        let mut present = BTreeSet::new();
        let mut skipped = Vec::new();
        for row in &list.endpoints {
            if !self.localities.contains(&row.zone) {
                skipped.push(SkippedRow { address: row.address, reason: SkipReason::UnknownZone });
                continue;
            }
            let Some(info) = row.info else {
                skipped.push(SkippedRow { address: row.address, reason: SkipReason::NoServerInfo });
                continue;
            };
            present.insert(info.server);
            let endpoint = self.listed_endpoint(now, row, &info);
            self.insert(info.server, endpoint);
        }
        self.unlist_absent(&present);
        AppliedList { event: WatchEvent::Full(self.rows()), skipped }
    }

    fn listed_endpoint(&self, now: Nanos, row: &AssignedEndpoint, info: &ServerInfo) -> ListedEndpoint {
        // The start time is kept for the same incarnation: ages in two reports of one start differ by their transit
        // time.
        let same_start =
            self.endpoints.get(&info.server).filter(|endpoint| endpoint.incarnation == info.incarnation);
        let started_at = match (same_start, info.age) {
            (Some(endpoint), _) => endpoint.started_at,
            (None, Some(age)) => now.saturating_sub(age),
            (None, None) => 0,
        };
        ListedEndpoint {
            address: row.address,
            zone: row.zone.clone(),
            incarnation: info.incarnation,
            started_at,
            kind: info.kind,
            cell: info.cell,
            weight: row.weight,
            draining: row.health == Health::Draining,
            listed: row.health != Health::Unhealthy,
        }
    }

    /// Marks the servers that the registry's list omits as not listed, except for servers that registered themselves.
    fn unlist_absent(&mut self, present: &BTreeSet<ServerId>) {
        for (_, endpoint) in
            self.endpoints.range_mut(..FIRST_SELF_REGISTERED).filter(|(server, _)| !present.contains(server))
        {
            self.drain_version += u64::from(endpoint.accepts_requests());
            endpoint.listed = false;
        }
    }

    fn insert(&mut self, server: ServerId, endpoint: ListedEndpoint) {
        let old = self.endpoints.get(&server);
        let moved = old.is_none_or(|old| old.address != endpoint.address);
        let stops_accepting =
            !endpoint.accepts_requests() && old.is_some_and(ListedEndpoint::accepts_requests);
        if moved {
            self.address_version += 1;
            self.by_address.insert(endpoint.address, server);
        }
        self.drain_version += u64::from(stops_accepting);
        self.endpoints.insert(server, endpoint);
    }

    /// Applies the reported state of a SASP member. It does not override a registry's report that the server is
    /// draining or removed; a quiesced member overrides a registry's report that the server is ready.
    pub fn apply_member_state(&mut self, now: Nanos, member: &MemberReport) -> WatchEvent {
        if member.present && member.quiesced {
            self.quiesced.insert(member.address);
        } else {
            self.quiesced.remove(&member.address);
        }
        match self.by_address.get(&member.address).copied() {
            Some(server) if server >= FIRST_SELF_REGISTERED => {
                if let Some(endpoint) = self.endpoints.get_mut(&server) {
                    // A member that registers again may have been restarted.
                    let returned = member.present && !endpoint.listed;
                    endpoint.started_at = if returned { now } else { endpoint.started_at };
                    endpoint.listed = member.present;
                }
            }
            None if member.reporter == Reporter::Member && member.present => self.register(now, member),
            _ => {}
        }
        WatchEvent::Full(self.rows())
    }

    fn register(&mut self, now: Nanos, member: &MemberReport) {
        let server = FIRST_SELF_REGISTERED + self.self_registered.len() as ServerId;
        self.self_registered.insert(member.address, server);
        let endpoint = ListedEndpoint {
            address: member.address,
            zone: member.zone.clone(),
            incarnation: 0,
            started_at: now,
            kind: 0,
            cell: 0,
            weight: 1.0,
            draining: false,
            listed: true,
        };
        self.insert(server, endpoint);
    }

    /// Replaces the set of servers that operators drain.
    pub fn set_operator_drains(&mut self, drained: BTreeSet<ServerId>) -> WatchEvent {
        self.drained_by_operators = drained;
        WatchEvent::Full(self.rows())
    }

    /// Summaries of all listed servers.
    pub fn servers(&self) -> Vec<ServerSummary> {
        let summary = |row: &Endpoint| ServerSummary {
            server: row.server,
            locality: row.locality,
            ready: row.readiness == Readiness::Ready,
        };
        self.rows().iter().map(summary).collect()
    }

    fn rows(&self) -> Vec<Endpoint> {
        let listed = self.endpoints.iter().filter(|(_, endpoint)| endpoint.listed);
        listed.map(|(&server, endpoint)| self.row(server, endpoint)).collect()
    }

    fn row(&self, server: ServerId, endpoint: &ListedEndpoint) -> Endpoint {
        Endpoint {
            server,
            locality: self.locality(&endpoint.zone).unwrap_or(0),
            kind: endpoint.kind,
            cell: endpoint.cell,
            readiness: if self.is_drained(server, endpoint) { Readiness::Draining } else { Readiness::Ready },
            weight: endpoint.weight,
            started_at: endpoint.started_at,
        }
    }

    /// Whether the registry, a report about a SASP member, or an operator drains a server.
    fn is_drained(&self, server: ServerId, endpoint: &ListedEndpoint) -> bool {
        endpoint.draining
            || self.quiesced.contains(&endpoint.address)
            || self.drained_by_operators.contains(&server)
    }

    /// All servers that were ever listed, as input of the guard: with their listed weight, and the time since their
    /// start while it is below `slow_start`. `removal_is_binding` means that a server that is no longer listed must not
    /// be used.
    pub fn guard_servers(
        &self,
        now: Nanos,
        slow_start: Nanos,
        removal_is_binding: bool,
    ) -> impl Iterator<Item = (ServerId, shalereel_guard::Server)> + '_ {
        self.endpoints.iter().map(move |(&server, endpoint)| {
            let availability = match endpoint.listed {
                _ if self.is_drained(server, endpoint) => Availability::Unavailable,
                true => Availability::Ready,
                false if removal_is_binding => Availability::Unavailable,
                false => Availability::Unlisted,
            };
            let age = now.saturating_sub(endpoint.started_at);
            let age = (endpoint.started_at > 0 && age < slow_start).then_some(age);
            (server, shalereel_guard::Server { availability, capacity: endpoint.weight, age })
        })
    }

    /// Position of a zone among the deployment's localities.
    pub fn locality(&self, zone: &str) -> Option<u16> {
        self.localities.iter().position(|name| name == zone).map(|at| at as u16)
    }

    /// A server as last listed, even if it is no longer listed.
    pub fn endpoint(&self, server: ServerId) -> Option<&ListedEndpoint> {
        self.endpoints.get(&server)
    }

    /// Number of a server's last start; 0 if unknown.
    pub fn incarnation(&self, server: ServerId) -> u64 {
        self.endpoints.get(&server).map_or(0, |endpoint| endpoint.incarnation)
    }

    /// The server that was last listed at an address.
    pub fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        self.by_address.get(&address).copied()
    }

    /// Whether a server is listed as draining, no longer listed, or unknown. Operators' drains and quiesced members do
    /// not count.
    pub fn is_unlisted_or_listed_draining(&self, server: ServerId) -> bool {
        self.endpoints.get(&server).is_none_or(|endpoint| !endpoint.accepts_requests())
    }

    /// Whether a server started less than `duration` ago.
    pub fn started_within(&self, server: ServerId, now: Nanos, duration: Nanos) -> bool {
        let started_recently = |endpoint: &ListedEndpoint| {
            endpoint.started_at > 0 && now.saturating_sub(endpoint.started_at) < duration
        };
        self.endpoints.get(&server).is_some_and(started_recently)
    }

    /// Counter that grows whenever the list itself begins to drain or omit a server; operators' drains and reports
    /// about SASP members do not change it.
    pub fn drain_version(&self) -> u64 {
        self.drain_version
    }

    /// Counter that grows whenever a server is listed at a new address; 0 until the first server is listed.
    pub fn address_version(&self) -> u64 {
        self.address_version
    }

    /// Encodes the list in the format of `last-list.json`.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.endpoints).unwrap_or_default()
    }

    /// Loads the list that an earlier run stored. A start time in the future is replaced by `now`.
    ///
    /// # Errors
    ///
    /// The bytes are not a stored list; nothing is loaded.
    pub fn load(&mut self, now: Nanos, stored: &[u8]) -> Result<WatchEvent, serde_json::Error> {
        let endpoints: BTreeMap<ServerId, ListedEndpoint> = serde_json::from_slice(stored)?;
        for (server, mut endpoint) in endpoints {
            endpoint.started_at = endpoint.started_at.min(now);
            self.insert(server, endpoint);
        }
        Ok(WatchEvent::Cached(self.rows()))
    }
}
