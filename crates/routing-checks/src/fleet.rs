//! Fleets of any size and shape, and the tables that the real decisions make for them; captured tables.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use shalereel::interface::{Action, EndpointReport, Event, Nanos, ProxyId, ServerId, TableId};
use shalereel::Controller;
use shalereel_guard::{Availability, Limits, Server};
use shalereel_store::{Provenance, RetentionLimits};
use shalereel_xds::{AssignedEndpoint, Assignment, Health, ServerInfo};
use shalereel_xds_supervisor::{Deployment, EndpointList, InjectedFault, TableContext, Tables};

const SECOND: Nanos = 1_000_000_000;
/// Batches of a run, and which of them sees the fleet change; four a second.
const BATCHES: u64 = 28;
const CHANGES: u64 = 12;
const BATCH: Nanos = SECOND / 4;

/// What becomes of a fleet while it is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shape {
    AsItIs,
    LocalityGone(u16),
    /// One has just started.
    OneFresh,
    /// Four of five have just started.
    MostFresh,
    /// Every second one drains.
    HalfDraining,
    /// A third drains, a third has just started: a deploy under way.
    Deploy,
    /// All but one are gone.
    OneLeft,
}

impl Shape {
    pub fn all(localities: u16) -> Vec<Shape> {
        let gone = (0..localities).map(Shape::LocalityGone);
        let others = [
            Shape::AsItIs,
            Shape::OneFresh,
            Shape::MostFresh,
            Shape::HalfDraining,
            Shape::Deploy,
            Shape::OneLeft,
        ];
        others.into_iter().chain(gone).collect()
    }

    pub fn text(self, localities: &[String]) -> String {
        match self {
            Shape::AsItIs => "as it is".into(),
            Shape::LocalityGone(at) => format!("with {} gone", localities[usize::from(at)]),
            Shape::OneFresh => "with one just started".into(),
            Shape::MostFresh => "with four of five just started".into(),
            Shape::HalfDraining => "with every second one draining".into(),
            Shape::Deploy => "in a deploy".into(),
            Shape::OneLeft => "with one left".into(),
        }
    }
}

/// A server as a table has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub server: ServerId,
    pub locality: u16,
    /// 0 where the table does not have it.
    pub weight: f64,
    /// The line says that nothing new goes there.
    pub draining: bool,
    /// The list says so, or has it no more.
    pub out: bool,
    /// Part of its capacity that it has by now.
    pub able: f64,
    pub listed: f64,
}

impl Seen {
    pub(crate) fn open(&self) -> f64 {
        if self.draining {
            0.0
        } else {
            self.weight
        }
    }
}

/// A table beside the list, for forwarders of some localities.
#[derive(Clone, Debug)]
pub struct View {
    pub servers: Vec<Seen>,
    /// Localities whose forwarders use it.
    pub users: BTreeSet<u16>,
    /// When in the run, in ms.
    pub at_ms: u64,
}

/// A fleet in its shape and size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fleet {
    pub shape: Shape,
    pub servers: u32,
}

/// Plays a fleet through the decisions; gives each table that forwarders would hold from the change on.
pub(crate) fn play(deployment: &Deployment, sizes: &[f64], fleet: Fleet) -> Vec<View> {
    let facts = &deployment.config;
    let mut tables = Tables::new(deployment, RetentionLimits::new(facts));
    let mut roster = EndpointList::new(&deployment.localities);
    let mut brain = Controller::new(facts);
    let mut bound: BTreeMap<ProxyId, TableId> = BTreeMap::new();
    let parts = BTreeMap::new();
    let mut views = Vec::new();
    for batch in 0..BATCHES {
        let now = 1000 * SECOND + batch * BATCH;
        let mut events = Vec::new();
        if batch == 0 || batch == CHANGES {
            let list = listed(deployment, sizes, fleet, batch > 0);
            events.push(Event::Endpoints(roster.apply_list(now, &list).event));
        }
        if batch == 0 {
            events.extend((0..facts.locality_count).map(|locality| Event::Joined {
                proxy: locality,
                locality,
                rate: 10.0,
                is_new: true,
            }));
        }
        events.extend((0..fleet.servers).filter(|_| batch % 4 == 3).map(|at| {
            let answer_time = facts.operations.first().map_or(SECOND, |one| one.latency_objective) / 4;
            let (server, locality) = (1000 + at, 0);
            Event::EndpointReport(EndpointReport {
                server,
                locality,
                attempts: 20,
                failures: 0,
                response_time: answer_time,
                window: SECOND,
                load: vec![],
            })
        }));
        events.push(Event::TimerFired { token: 1 });
        for order in brain.decide(now, events) {
            let order = bend(deployment, &roster, now, order);
            if let Action::AssignTable { proxy, table, .. } = order {
                bound.insert(proxy, table);
            }
            // The channel is as wide as it takes: what is ordered is confirmed at once.
            tables.apply(&order, deployment.operations.len());
        }
        let context = TableContext {
            endpoints: &roster,
            now,
            wall_clock_offset: 0,
            slow_start_duration: facts.slow_start_duration,
            traffic_shares: &parts,
        };
        tables.publish(&context, &Provenance::default());
        if batch >= CHANGES {
            let users = |table: TableId| -> BTreeSet<u16> {
                bound.iter().filter(|(_, of)| **of == table).map(|(&proxy, _)| proxy).collect()
            };
            let used: BTreeSet<TableId> = bound.values().copied().collect();
            views.extend(used.into_iter().map(|table| View {
                servers: seen(deployment, &roster, &tables, table, now),
                users: users(table),
                at_ms: (batch - CHANGES) * BATCH / 1_000_000,
            }));
        }
    }
    views
}

/// Injected faults of a supervisor's orders that show without traffic.
fn bend(deployment: &Deployment, roster: &EndpointList, now: Nanos, order: Action) -> Action {
    match (deployment.injected_fault, order) {
        (Some(InjectedFault::NoSlowStart), Action::SetWeight { table, server, .. })
            if roster.started_within(server, now, deployment.config.slow_start_duration) =>
        {
            Action::SetWeight { table, server, weight: 1e4 }
        }
        (Some(InjectedFault::EmptyTables), Action::SetWeight { table, server, .. }) => {
            Action::SetWeight { table, server, weight: 0.0 }
        }
        (_, order) => order,
    }
}

fn seen(
    deployment: &Deployment,
    roster: &EndpointList,
    tables: &Tables,
    table: TableId,
    now: Nanos,
) -> Vec<Seen> {
    let facts = &deployment.config;
    let limits = Limits::new(facts);
    let place = |(server, known): (ServerId, Server)| {
        let line = tables.store.line(table, server);
        Some(Seen {
            server,
            locality: roster.locality(&roster.endpoint(server)?.zone)?,
            weight: line.map_or(0.0, |line| f64::from(line.weight)),
            draining: line.is_some_and(|line| line.draining),
            out: known.availability == Availability::Unavailable,
            able: limits.capacity_fraction(&known),
            listed: known.capacity,
        })
    };
    roster
        .guard_servers(now, facts.slow_start_duration, !facts.removal_is_advisory)
        .filter_map(place)
        .collect()
}

fn listed(deployment: &Deployment, sizes: &[f64], fleet: Fleet, changed: bool) -> Assignment {
    let localities = &deployment.localities;
    let row = |at: u32| {
        let locality = at as usize % localities.len();
        let nth = at as usize / localities.len();
        let (mut health, mut incarnation) = (Health::Ready, 1);
        match fleet.shape {
            _ if !changed => {}
            Shape::AsItIs => {}
            Shape::LocalityGone(gone) if locality == usize::from(gone) => return None,
            Shape::LocalityGone(_) => {}
            Shape::OneFresh if at == 0 => incarnation = 2,
            Shape::MostFresh if !at.is_multiple_of(5) => incarnation = 2,
            Shape::HalfDraining if nth % 2 == 1 => health = Health::Draining,
            Shape::Deploy if nth % 3 == 1 => health = Health::Draining,
            Shape::Deploy if nth % 3 == 2 => incarnation = 2,
            Shape::OneLeft if at > 0 => return None,
            _ => {}
        }
        let [high, low] = (at as u16).to_be_bytes();
        let age = (incarnation > 1).then_some(0);
        Some(AssignedEndpoint {
            address: ([127, 20, high, low], 80).into(),
            zone: localities[locality].clone(),
            health,
            weight: sizes[at as usize % sizes.len()],
            info: Some(ServerInfo { server: 1000 + at, kind: 0, cell: 0, incarnation, age }),
        })
    };
    let rows = (0..fleet.servers).filter_map(row).collect();
    Assignment { cluster: "fleet".into(), endpoints: rows, admitted: 1.0 }
}

/// A table as `shalereel tables ... --json show` printed it. Errors: it is none.
pub fn captured(text: &str, deployment: &Deployment) -> Result<View, String> {
    let told: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let rows = told["lines"].as_array().ok_or("no lines in it; give what `tables --json show` prints")?;
    let row = |row: &Value| -> Option<Seen> {
        let locality = row["locality"].as_str()?;
        Some(Seen {
            server: u32::try_from(row["server"].as_u64()?).ok()?,
            locality: deployment.localities.iter().position(|name| name == locality)? as u16,
            weight: row["line"]["weight"].as_f64()?,
            draining: row["line"]["draining"].as_bool()?,
            out: row["out"].as_bool()?,
            able: row["able"].as_f64()?,
            listed: row["listed"].as_f64()?,
        })
    };
    let servers: Option<Vec<Seen>> = rows.iter().map(row).collect();
    let servers = servers.ok_or("a line lacks its locality, or is of another deployment")?;
    Ok(View { servers, users: (0..deployment.config.locality_count).collect(), at_ms: 0 })
}
