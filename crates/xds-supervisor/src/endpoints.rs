//! The endpoint list as the registry, SASP members and operators' drains make it. `core` feeds it; tables, load reports
//! and the guard read it. Free of I/O and clock; nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shalereel::interface::{Endpoint, Nanos, Readiness, ServerId, WatchEvent};
use shalereel_guard::Availability;
use shalereel_xds::{AssignedEndpoint, Assignment, Health, ServerInfo};

/// A server as last listed: its address, and its last start. The field names are those of `last-list.json`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Name of its locality.
    pub zone: String,
    incarnation: u64,
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

/// Who reported the state of a SASP member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporter {
    /// The member itself.
    Member,
    /// A balancer that uses it.
    Balancer,
}

/// State of a SASP member as it or its balancer reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// Of the member.
    pub address: SocketAddr,
    /// SASP has no field for it: the member's label where that is a zone, else the supervisor's own.
    pub zone: String,
    /// Who reported it.
    pub reporter: Reporter,
    /// False: it is removed.
    pub present: bool,
    /// It takes nothing new.
    pub quiesced: bool,
}

/// A row of the registry's list that was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedRow {
    /// As listed.
    pub address: SocketAddr,
    /// Why it was skipped.
    pub reason: SkipReason,
}

/// Why a row of the registry's list was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// It has no metadata of a server.
    NoServerInfo,
    /// Its zone is none of the deployment's localities.
    UnknownZone,
}

impl fmt::Display for SkipReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SkipReason::NoServerInfo => "no metadata of a server",
            SkipReason::UnknownZone => "unknown zone",
        })
    }
}

/// What a list from the registry led to.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedList {
    /// For the controller.
    pub event: WatchEvent,
    /// Rows that were not taken; their servers count as not listed.
    pub skipped: Vec<SkippedRow>,
}

/// A listed server, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// Its number.
    pub server: ServerId,
    /// Position of its locality.
    pub locality: u16,
    /// Neither draining nor drained by an operator.
    pub ready: bool,
}

/// The endpoint list as last received; also what is stored over a restart.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: BTreeMap<ServerId, ListedEndpoint>,
    by_address: BTreeMap<SocketAddr, ServerId>,
    localities: Vec<String>,
    address_version: u64,
    drain_version: u64,
    /// Addresses of servers that, by themselves or a balancer, were reported to take nothing new.
    quiesced: BTreeSet<SocketAddr>,
    /// Servers that registered themselves, and that no registry lists.
    self_registered: BTreeMap<SocketAddr, ServerId>,
    /// Servers that operators of the group drain.
    drained_by_operators: BTreeSet<ServerId>,
}

/// Numbers of servers that register themselves begin here; a registry's are below.
const FIRST_SELF_REGISTERED: ServerId = 1 << 31;

impl EndpointList {
    /// An empty list of a deployment with these localities.
    pub fn new(localities: &[String]) -> Self {
        EndpointList { localities: localities.to_vec(), ..EndpointList::default() }
    }

    /// Takes a full list from the registry. Rows without metadata of a server or of an unknown zone are skipped.
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
        // An age reported twice for one start would differ by its transit time.
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

    /// The registry's servers that its list has no more; those that registered themselves are not its own.
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
        let stops = !endpoint.accepts_requests() && old.is_some_and(ListedEndpoint::accepts_requests);
        if moved {
            self.address_version += 1;
            self.by_address.insert(endpoint.address, server);
        }
        self.drain_version += u64::from(stops);
        self.endpoints.insert(server, endpoint);
    }

    /// Takes the reported state of a SASP member. A registry's report that a server drains or is removed stands above
    /// it; a member's report that it takes nothing new stands above a registry's that it is ready.
    pub fn apply_member_state(&mut self, now: Nanos, member: &MemberReport) -> WatchEvent {
        if member.present && member.quiesced {
            self.quiesced.insert(member.address);
        } else {
            self.quiesced.remove(&member.address);
        }
        match self.by_address.get(&member.address).copied() {
            Some(server) if server >= FIRST_SELF_REGISTERED => {
                if let Some(endpoint) = self.endpoints.get_mut(&server) {
                    // Whoever comes back may have been restarted.
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

    /// Operators drain these servers and no others.
    pub fn set_operator_drains(&mut self, drained: BTreeSet<ServerId>) -> WatchEvent {
        self.drained_by_operators = drained;
        WatchEvent::Full(self.rows())
    }

    /// Every listed server, in short.
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
            readiness: if self.is_drained_by_anyone(server, endpoint) {
                Readiness::Draining
            } else {
                Readiness::Ready
            },
            weight: endpoint.weight,
            started_at: endpoint.started_at,
        }
    }

    /// Whether the registry, a SASP member's report, or an operator drains a server.
    fn is_drained_by_anyone(&self, server: ServerId, endpoint: &ListedEndpoint) -> bool {
        endpoint.draining
            || self.quiesced.contains(&endpoint.address)
            || self.drained_by_operators.contains(&server)
    }

    /// Every server that was ever listed, as the guard sees it: with its listed weight, and the time since its start
    /// while that is below `slow_start`. `removal_binds`: a server that is listed no more must not be used.
    pub fn guard_servers(
        &self,
        now: Nanos,
        slow_start: Nanos,
        removal_binds: bool,
    ) -> impl Iterator<Item = (ServerId, shalereel_guard::Server)> + '_ {
        self.endpoints.iter().map(move |(&server, endpoint)| {
            let availability = match endpoint.listed {
                _ if self.is_drained_by_anyone(server, endpoint) => Availability::Unavailable,
                true => Availability::Ready,
                false if removal_binds => Availability::Unavailable,
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

    /// A server as last listed, whether it is still or not.
    pub fn endpoint(&self, server: ServerId) -> Option<&ListedEndpoint> {
        self.endpoints.get(&server)
    }

    /// Number of a server's start; 0 where it is not known.
    pub fn incarnation(&self, server: ServerId) -> u64 {
        self.endpoints.get(&server).map_or(0, |endpoint| endpoint.incarnation)
    }

    /// The server at an address, if one ever was.
    pub fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        self.by_address.get(&address).copied()
    }

    /// Whether a server's row is draining, not listed, or missing. Does not count operators' drains or quiesced
    /// members.
    pub fn is_unlisted_or_listed_draining(&self, server: ServerId) -> bool {
        self.endpoints.get(&server).is_none_or(|endpoint| !endpoint.accepts_requests())
    }

    /// Whether a server started less than `span` ago.
    pub fn started_within(&self, server: ServerId, now: Nanos, span: Nanos) -> bool {
        let young = |endpoint: &ListedEndpoint| {
            endpoint.started_at > 0 && now.saturating_sub(endpoint.started_at) < span
        };
        self.endpoints.get(&server).is_some_and(young)
    }

    /// Grows whenever the list itself begins to drain a server or to leave it out; not by operators' drains or by
    /// reports of SASP members.
    pub fn drain_version(&self) -> u64 {
        self.drain_version
    }

    /// Grows whenever a server is listed at another address; 0 while none was ever listed.
    pub fn address_version(&self) -> u64 {
        self.address_version
    }

    /// The list as `last-list.json` has it.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.endpoints).unwrap_or_default()
    }

    /// Takes the list as an earlier run stored it. A start in the future of this clock is a start just now.
    ///
    /// # Errors
    ///
    /// The bytes are no stored list; nothing is taken.
    pub fn load(&mut self, now: Nanos, stored: &[u8]) -> Result<WatchEvent, serde_json::Error> {
        let endpoints: BTreeMap<ServerId, ListedEndpoint> = serde_json::from_slice(stored)?;
        for (server, mut endpoint) in endpoints {
            endpoint.started_at = endpoint.started_at.min(now);
            self.insert(server, endpoint);
        }
        Ok(WatchEvent::Cached(self.rows()))
    }
}
