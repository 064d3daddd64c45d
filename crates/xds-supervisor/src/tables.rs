//! The tables of one supervisor: the controller's weights, operators' constraints on them, and published versions, each
//! of which the guard (`shalereel_guard`) inspects first unless it is disabled.
//! [`Core`](crate::Core) applies actions and publishes versions; proxies are sent the newest version in the store.

mod actions;
mod constraints;
mod inspection;
mod publication;
mod resources;
mod table;

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Nanos, RetryPolicy, ServerId, TableId};
use shalereel_guard::Limits;
use shalereel_store::{RetentionLimits, Store, VersionNumber, WeightCap, UNIT_WEIGHT};

use crate::deployment::{Deployment, InjectedFault};
use crate::endpoints::EndpointList;

use resources::RenderedTable;
use table::Table;

pub use constraints::{ActiveRollback, CapRequest, RollbackRequest};

/// Position of an operation in the deployment file.
pub type OperationIndex = u16;

/// Proxies that an action affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AffectedProxies {
    /// No proxy.
    None,
    /// Proxies that use a table.
    UsingTable(TableId),
    /// Proxies that may use a server: their tables list it, or they have no table of this supervisor.
    MayUseServer(ServerId),
    /// All proxies.
    All,
}

/// Inputs of a table's lines besides the controller's actions.
pub struct TableContext<'a> {
    /// Addresses and start times of the servers.
    pub endpoints: &'a EndpointList,
    /// Monotonic time, ns.
    pub now: Nanos,
    /// Wall clock minus monotonic clock, ns.
    pub wall_clock_offset: Nanos,
    /// Time for which a server is warming up after its start, ns.
    pub slow_start_duration: Nanos,
    /// Share of all requests that is sent by each table.
    pub traffic_shares: &'a BTreeMap<TableId, f64>,
}

impl TableContext<'_> {
    fn is_warming_up(&self, server: ServerId) -> bool {
        self.endpoints.started_within(server, self.now, self.slow_start_duration)
    }
}

/// The controller's limits on admission and retries of an operation.
#[derive(Clone, Copy, Debug)]
struct OperationPolicy {
    /// Share of requests that is admitted, 0 to 1.
    admission_limit: f64,
    retry_policy: RetryPolicy,
}

/// All tables of one supervisor. A single counter numbers the changes of all tables.
#[derive(Debug)]
pub struct Tables {
    tables: BTreeMap<TableId, Table>,
    /// Policies that apply to all tables.
    policies: BTreeMap<OperationIndex, OperationPolicy>,
    excluded: BTreeSet<ServerId>,
    excluded_version: u64,
    last_version: u64,
    /// Caps that the group has agreed on, as factors of weights.
    group_caps: BTreeMap<ServerId, f64>,
    /// Caps that operators have set at this supervisor.
    local_caps: BTreeMap<ServerId, WeightCap>,
    /// For each server, the lower of both caps.
    effective_caps: BTreeMap<ServerId, f64>,
    /// Published versions of the tables.
    pub store: Store,
    /// Address version of the endpoint list at the last publication.
    address_version: u64,
    /// Drain version of the endpoint list at the last publication.
    drain_version: u64,
    /// Injected fault: a rollback restores weights against the controller's decisions.
    rollback_overrides_controller: bool,
    /// Limits of the guard; `None` if it is disabled.
    guard_limits: Option<Limits>,
    /// The endpoint list has nominal capacities. If it has approximate ones or none, the guard counts every server as
    /// 1.
    nominal_capacity_listed: bool,
    /// A server that is no longer listed must not be used.
    removal_is_binding: bool,
    /// Number of lines that the guard has drained since they were last taken, by table.
    drained_by_guard: BTreeMap<TableId, usize>,
    guard_log: Vec<String>,
    /// Encoded tables, by table and bit pattern of the admission limit.
    rendered: BTreeMap<(TableId, u64), RenderedTable>,
}

impl Tables {
    /// Creates an empty set of tables.
    pub fn new(deployment: &Deployment, retention: RetentionLimits) -> Self {
        let config = &deployment.config;
        let injected_fault = deployment.injected_fault;
        Tables {
            tables: BTreeMap::new(),
            policies: BTreeMap::new(),
            excluded: BTreeSet::new(),
            excluded_version: 0,
            last_version: 0,
            group_caps: BTreeMap::new(),
            local_caps: BTreeMap::new(),
            effective_caps: BTreeMap::new(),
            store: Store::new(retention, config.seed),
            address_version: 0,
            drain_version: 0,
            rollback_overrides_controller: injected_fault == Some(InjectedFault::RollbackOverridesController),
            guard_limits: (!deployment.guard_disabled).then(|| Limits::new(config)),
            nominal_capacity_listed: config.listed_capacity == shalereel::interface::ListedCapacity::Nominal,
            removal_is_binding: !config.removal_is_advisory,
            drained_by_guard: BTreeMap::new(),
            guard_log: Vec::new(),
            rendered: BTreeMap::new(),
        }
    }

    /// Whether the controller has excluded a server from all tables.
    pub fn is_excluded(&self, server: ServerId) -> bool {
        self.excluded.contains(&server)
    }

    /// Weights of a table that the controller has set.
    pub fn weights(&self, table: TableId) -> impl Iterator<Item = (ServerId, f64)> + '_ {
        self.tables
            .get(&table)
            .into_iter()
            .flat_map(|table| table.weights.iter().map(|(&server, &weight)| (server, weight)))
    }

    /// Published weight of a server in a table; 0 if the server has no line or its line is draining.
    pub fn weight(&self, table: TableId, server: ServerId) -> f64 {
        let line = self.store.line(table, server).filter(|line| !line.draining);
        line.map_or(0.0, |line| f64::from(line.weight) / UNIT_WEIGHT)
    }

    /// Whether the controller has set a weight for a server in a table.
    pub fn lists(&self, table: TableId, server: ServerId) -> bool {
        self.tables.get(&table).is_some_and(|table| table.weights.contains_key(&server))
    }

    /// Number of lines of a full table, including its policies and excluded servers.
    pub fn full_line_count(&self, table: TableId) -> usize {
        let Some(table) = self.tables.get(&table) else { return 0 };
        let excluded = self.excluded.iter().filter(|server| table.weights.contains_key(server)).count();
        table.weights.len() + table.policies.len() + self.policies.len() + excluded
    }

    /// Number of lines that a proxy with version `from` of a table lacks; all lines if `from` is 0 or not stored.
    pub fn lines_since(&self, table: TableId, from: VersionNumber) -> usize {
        let since = self.store.changes_since(table, from);
        since.map_or_else(|| self.store.lines(table).count(), |since| since.changed.len())
    }

    /// Whether the guard withholds a table from proxies, because it has no usable line although a server is ready.
    pub fn is_withheld(&self, table: TableId) -> bool {
        self.tables.get(&table).is_some_and(|table| table.withheld)
    }

    /// Change counter of a table; grows with every change that the table's users have to receive.
    pub fn version(&self, table: TableId) -> u64 {
        self.tables.get(&table).map_or(0, |table| table.version)
    }

    /// Change counter of the excluded servers.
    pub fn excluded_version(&self) -> u64 {
        self.excluded_version
    }

    /// Share of an operation's requests that is admitted, 0 to 1; 1 without a policy.
    pub fn admission_limit(&self, table: TableId, operation: OperationIndex) -> f64 {
        self.policy(table, operation).map_or(1.0, |policy| policy.admission_limit)
    }

    /// Retry policy of an operation in a table; `Never` unless the controller has set one.
    pub fn retry_policy(&self, table: TableId, operation: OperationIndex) -> RetryPolicy {
        self.policy(table, operation).map_or(RetryPolicy::Never, |policy| policy.retry_policy)
    }

    /// Combines the table's policy with that for all tables: the lower admission limit, and the table's retry policy.
    fn policy(&self, table: TableId, operation: OperationIndex) -> Option<OperationPolicy> {
        let of_table = self.tables.get(&table).and_then(|table| table.policies.get(&operation)).copied();
        let of_all = self.policies.get(&operation).copied();
        match (of_table, of_all) {
            (Some(of_table), Some(of_all)) => Some(OperationPolicy {
                admission_limit: of_table.admission_limit.min(of_all.admission_limit),
                retry_policy: of_table.retry_policy,
            }),
            (of_table, of_all) => of_table.or(of_all),
        }
    }
}
