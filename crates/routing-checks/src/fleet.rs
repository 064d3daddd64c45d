//! Generator of fleets of any size and shape, the tables that the controller computes for them, and captured tables.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use shalereel::interface::{Action, EndpointReport, Event, Nanos, ProxyId, ServerId, TableId};
use shalereel::Controller;
use shalereel_guard::{Availability, Limits, Server};
use shalereel_store::{Provenance, RetentionLimits};
use shalereel_xds::{AssignedEndpoint, Assignment, Health, ServerInfo};
use shalereel_xds_supervisor::{Deployment, EndpointList, InjectedFault, TableContext, Tables};

/// One second, in nanoseconds.
const SECOND: Nanos = 1_000_000_000;
/// Number of batches of events in a run.
const BATCHES: u64 = 28;
/// Index of the batch in which the fleet takes its shape.
const CHANGE_BATCH: u64 = 12;
const BATCHES_PER_SECOND: u64 = 4;
/// Interval between batches, in nanoseconds.
const BATCH_INTERVAL: Nanos = SECOND / BATCHES_PER_SECOND;
/// Time of the first batch, in nanoseconds.
const START_TIME: Nanos = 1000 * SECOND;
/// Rate of each proxy, in requests per second.
const PROXY_RATE: f64 = 10.0;
/// Number of attempts that each endpoint report has.
const REPORTED_ATTEMPTS: u32 = 20;
/// Latency objective of an operation, divided by the response time that endpoint reports have.
const OBJECTIVE_PER_RESPONSE_TIME: Nanos = 4;
/// Id of the first server; the others follow in turn.
const FIRST_SERVER: ServerId = 1000;

/// How a generated fleet changes during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetShape {
    /// The fleet does not change.
    Unchanged,
    /// All servers of the locality at this position leave the list.
    LocalityGone(u16),
    /// One server has just started.
    OneFresh,
    /// Four of five servers have just started.
    MostFresh,
    /// Every second server of a locality drains.
    HalfDraining,
    /// One third of the servers drains and another has just started, as in a rolling deploy.
    Deploy,
    /// All servers but one leave the list.
    OneLeft,
}

impl FleetShape {
    /// All shapes of a fleet with this number of localities.
    pub fn all(localities: u16) -> Vec<FleetShape> {
        let gone = (0..localities).map(FleetShape::LocalityGone);
        let others = [
            FleetShape::Unchanged,
            FleetShape::OneFresh,
            FleetShape::MostFresh,
            FleetShape::HalfDraining,
            FleetShape::Deploy,
            FleetShape::OneLeft,
        ];
        others.into_iter().chain(gone).collect()
    }

    /// The shape in words, for reports.
    pub fn description(self, localities: &[String]) -> String {
        match self {
            FleetShape::Unchanged => "as it is".into(),
            FleetShape::LocalityGone(position) => format!("with {} gone", localities[usize::from(position)]),
            FleetShape::OneFresh => "with one just started".into(),
            FleetShape::MostFresh => "with four of five just started".into(),
            FleetShape::HalfDraining => "with every second one draining".into(),
            FleetShape::Deploy => "in a deploy".into(),
            FleetShape::OneLeft => "with one left".into(),
        }
    }
}

/// A server of the list, together with its line of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server's id.
    pub server: ServerId,
    /// Position of its locality.
    pub locality: u16,
    /// Weight of its line; 0 where the table has no line for it.
    pub weight: f64,
    /// Whether its line says that it gets no new requests.
    pub draining: bool,
    /// Whether the list says that it drains, or no longer has it.
    pub unavailable: bool,
    /// Fraction of its capacity that it has reached in slow start.
    pub capacity_fraction: f64,
    /// Capacity according to the list.
    pub listed_capacity: f64,
}

impl ServerEntry {
    /// Weight for new requests: 0 while the server drains.
    pub(crate) fn effective_weight(&self) -> f64 {
        if self.draining {
            0.0
        } else {
            self.weight
        }
    }
}

/// A table together with the server list, as forwarders of some localities use it.
#[derive(Clone, Debug)]
pub struct TableView {
    /// The servers that are listed, with their lines.
    pub servers: Vec<ServerEntry>,
    /// Positions of the localities whose forwarders use the table.
    pub localities: BTreeSet<u16>,
    /// Milliseconds since the fleet took its shape.
    pub at_ms: u64,
}

/// The shape and the number of servers of a fleet to generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fleet {
    pub shape: FleetShape,
    pub servers: u32,
}

/// Runs the controller on a fleet. Returns, for each batch from the change on, the tables that forwarders would use.
pub(crate) fn simulate(deployment: &Deployment, sizes: &[f64], fleet: Fleet) -> Vec<TableView> {
    let config = &deployment.config;
    let mut tables = Tables::new(deployment, RetentionLimits::new(config));
    let mut endpoints = EndpointList::new(&deployment.localities);
    let mut controller = Controller::new(config);
    let mut table_of_proxy: BTreeMap<ProxyId, TableId> = BTreeMap::new();
    let traffic_shares = BTreeMap::new();
    let mut views = Vec::new();
    for batch in 0..BATCHES {
        let now = START_TIME + batch * BATCH_INTERVAL;
        let mut events = Vec::new();
        if batch == 0 || batch == CHANGE_BATCH {
            let list = server_list(deployment, sizes, fleet, batch > 0);
            events.push(Event::Endpoints(endpoints.apply_list(now, &list).event));
        }
        if batch == 0 {
            events.extend((0..config.locality_count).map(|locality| Event::Joined {
                proxy: locality,
                locality,
                rate: PROXY_RATE,
                is_new: true,
            }));
        }
        events.extend(
            (0..fleet.servers).filter(|_| batch % BATCHES_PER_SECOND == BATCHES_PER_SECOND - 1).map(
                |index| {
                    let response_time =
                        config.operations.first().map_or(SECOND, |operation| operation.latency_objective)
                            / OBJECTIVE_PER_RESPONSE_TIME;
                    let (server, locality) = (FIRST_SERVER + index, 0);
                    Event::EndpointReport(EndpointReport {
                        server,
                        locality,
                        attempts: REPORTED_ATTEMPTS,
                        failures: 0,
                        response_time,
                        window: SECOND,
                        load: vec![],
                    })
                },
            ),
        );
        events.push(Event::TimerFired { token: 1 });
        for action in controller.decide(now, events) {
            let action = apply_injected_fault(deployment, &endpoints, now, action);
            if let Action::AssignTable { proxy, table, .. } = action {
                table_of_proxy.insert(proxy, table);
            }
            // The channel is unlimited here, so every action is acknowledged at once.
            tables.apply(&action, deployment.operations.len());
        }
        let context = TableContext {
            endpoints: &endpoints,
            now,
            wall_clock_offset: 0,
            slow_start_duration: config.slow_start_duration,
            traffic_shares: &traffic_shares,
        };
        tables.publish(&context, &Provenance::default());
        if batch >= CHANGE_BATCH {
            let localities_of = |table: TableId| -> BTreeSet<u16> {
                table_of_proxy.iter().filter(|(_, held)| **held == table).map(|(&proxy, _)| proxy).collect()
            };
            let used: BTreeSet<TableId> = table_of_proxy.values().copied().collect();
            views.extend(used.into_iter().map(|table| TableView {
                servers: table_entries(deployment, &endpoints, &tables, table, now),
                localities: localities_of(table),
                at_ms: (batch - CHANGE_BATCH) * BATCH_INTERVAL / 1_000_000,
            }));
        }
    }
    views
}

/// Weight that overloads any server in slow start.
const OVERLOADING_WEIGHT: f64 = 1e4;

/// Changes an action as the injected fault of the deployment does; other faults, which only traffic can show, are not
/// simulated.
fn apply_injected_fault(
    deployment: &Deployment,
    endpoints: &EndpointList,
    now: Nanos,
    action: Action,
) -> Action {
    match (deployment.injected_fault, action) {
        (Some(InjectedFault::NoSlowStart), Action::SetWeight { table, server, .. })
            if endpoints.started_within(server, now, deployment.config.slow_start_duration) =>
        {
            Action::SetWeight { table, server, weight: OVERLOADING_WEIGHT }
        }
        (Some(InjectedFault::EmptyTables), Action::SetWeight { table, server, .. }) => {
            Action::SetWeight { table, server, weight: 0.0 }
        }
        (_, action) => action,
    }
}

/// The listed servers as the guard sees them, with their lines of a table.
fn table_entries(
    deployment: &Deployment,
    endpoints: &EndpointList,
    tables: &Tables,
    table: TableId,
    now: Nanos,
) -> Vec<ServerEntry> {
    let config = &deployment.config;
    let limits = Limits::new(config);
    let entry = |(server, known): (ServerId, Server)| {
        let line = tables.store.line(table, server);
        Some(ServerEntry {
            server,
            locality: endpoints.locality(&endpoints.endpoint(server)?.zone)?,
            weight: line.map_or(0.0, |line| f64::from(line.weight)),
            draining: line.is_some_and(|line| line.draining),
            unavailable: known.availability == Availability::Unavailable,
            capacity_fraction: limits.capacity_fraction(&known),
            listed_capacity: known.capacity,
        })
    };
    endpoints
        .guard_servers(now, config.slow_start_duration, !config.removal_is_advisory)
        .filter_map(entry)
        .collect()
}

/// The server list of a fleet, before or after it has taken its shape.
fn server_list(deployment: &Deployment, sizes: &[f64], fleet: Fleet, changed: bool) -> Assignment {
    let localities = &deployment.localities;
    let row = |index: u32| {
        let locality = index as usize % localities.len();
        let index_in_locality = index as usize / localities.len();
        let (mut health, mut incarnation) = (Health::Ready, 1);
        match fleet.shape {
            _ if !changed => {}
            FleetShape::Unchanged => {}
            FleetShape::LocalityGone(gone) if locality == usize::from(gone) => return None,
            FleetShape::LocalityGone(_) => {}
            FleetShape::OneFresh if index == 0 => incarnation = 2,
            FleetShape::MostFresh if !index.is_multiple_of(5) => incarnation = 2,
            FleetShape::HalfDraining if index_in_locality % 2 == 1 => health = Health::Draining,
            FleetShape::Deploy if index_in_locality % 3 == 1 => health = Health::Draining,
            FleetShape::Deploy if index_in_locality % 3 == 2 => incarnation = 2,
            FleetShape::OneLeft if index > 0 => return None,
            _ => {}
        }
        let [high, low] = (index as u16).to_be_bytes();
        let age = (incarnation > 1).then_some(0);
        Some(AssignedEndpoint {
            address: ([127, 20, high, low], 80).into(),
            zone: localities[locality].clone(),
            health,
            weight: sizes[index as usize % sizes.len()],
            info: Some(ServerInfo { server: FIRST_SERVER + index, kind: 0, cell: 0, incarnation, age }),
        })
    };
    let rows = (0..fleet.servers).filter_map(row).collect();
    Assignment { cluster: "fleet".into(), endpoints: rows, admitted: 1.0 }
}

/// Parses a table as `shalereel tables ... --json show` prints it.
///
/// Errors: the text is not such a table, or the table is of another deployment.
pub fn parse_captured_table(text: &str, deployment: &Deployment) -> Result<TableView, String> {
    let parsed: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let rows = parsed["lines"]
        .as_array()
        .ok_or("the table has no `lines`; give what `tables --json show` prints")?;
    let row = |row: &Value| -> Option<ServerEntry> {
        let locality = row["locality"].as_str()?;
        Some(ServerEntry {
            server: u32::try_from(row["server"].as_u64()?).ok()?,
            locality: deployment.localities.iter().position(|name| name == locality)? as u16,
            weight: row["line"]["weight"].as_f64()?,
            draining: row["line"]["draining"].as_bool()?,
            unavailable: row["out"].as_bool()?,
            capacity_fraction: row["able"].as_f64()?,
            listed_capacity: row["listed"].as_f64()?,
        })
    };
    let servers: Option<Vec<ServerEntry>> = rows.iter().map(row).collect();
    let servers = servers.ok_or("a line is incomplete, or its locality is not in this deployment")?;
    Ok(TableView { servers, localities: (0..deployment.config.locality_count).collect(), at_ms: 0 })
}
