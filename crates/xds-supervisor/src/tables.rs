//! The tables of one supervisor: the controller's weights, operators' constraints on them, and the versions that are sent.
//! The [`Core`](crate::Core) applies actions and publishes; what goes out is the newest version in the store.

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

/// Number of an operation.
pub type OperationIndex = u16;

/// Proxies that an action concerns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AffectedProxies {
    /// None.
    None,
    /// Those that use a table.
    UsingTable(TableId),
    /// Those that may use a server: those on a table with it, and those without a table of this supervisor.
    MayUseServer(ServerId),
    /// All.
    All,
}

/// What a line is made from, besides the controller's actions.
pub struct TableContext<'a> {
    /// Addresses and starts of the servers.
    pub endpoints: &'a EndpointList,
    /// Monotonic time, ns.
    pub now: Nanos,
    /// The wall clock less the monotonic one, ns.
    pub wall_clock_offset: Nanos,
    /// How long a started server is warming up, ns.
    pub slow_start_duration: Nanos,
    /// Share of all requests that goes by each table.
    pub traffic_shares: &'a BTreeMap<TableId, f64>,
}

impl TableContext<'_> {
    fn is_warming_up(&self, server: ServerId) -> bool {
        self.endpoints.started_within(server, self.now, self.slow_start_duration)
    }
}

/// Admission and retries of an operation, as the controller limits them.
#[derive(Clone, Copy, Debug)]
struct OperationPolicy {
    /// Share of requests that is admitted.
    admission_limit: f64,
    retry_policy: RetryPolicy,
}

/// All tables of one supervisor. One counter numbers their changes.
#[derive(Debug)]
pub struct Tables {
    tables: BTreeMap<TableId, Table>,
    /// Policies of all tables.
    policies: BTreeMap<OperationIndex, OperationPolicy>,
    excluded: BTreeSet<ServerId>,
    excluded_version: u64,
    last_version: u64,
    /// Caps that the group has agreed on, as factors of weights.
    group_caps: BTreeMap<ServerId, f64>,
    /// Caps that operators have set at this supervisor.
    local_caps: BTreeMap<ServerId, WeightCap>,
    /// The lower of both.
    effective_caps: BTreeMap<ServerId, f64>,
    /// Versions of the tables.
    pub store: Store,
    /// Address version of the endpoint list at the last publication.
    address_version: u64,
    /// Drain version of the endpoint list at the last publication.
    drain_version: u64,
    /// Injected fault: a rollback restores weights against the controller's decisions.
    rollback_overrides_controller: bool,
    /// Limits of the guard; `None` where it is disabled.
    guard_limits: Option<Limits>,
    /// The list gives nominal capacities; where it gives rough ones or none, the guard counts every server as 1.
    nominal_capacity_listed: bool,
    removal_is_binding: bool,
    /// Lines that the guard has drained by itself since they were last taken, by table.
    drained_by_guard: BTreeMap<TableId, usize>,
    guard_log: Vec<String>,
    rendered: BTreeMap<(TableId, u64), RenderedTable>,
}

impl Tables {
    /// No tables yet.
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

    /// Whether no proxy may use a server.
    pub fn is_excluded(&self, server: ServerId) -> bool {
        self.excluded.contains(&server)
    }

    /// Weights of a table as the controller set them.
    pub fn weights(&self, table: TableId) -> impl Iterator<Item = (ServerId, f64)> + '_ {
        self.tables
            .get(&table)
            .into_iter()
            .flat_map(|table| table.weights.iter().map(|(&server, &weight)| (server, weight)))
    }

    /// Published weight of a server in a table; 0 where it has none or is draining.
    pub fn weight(&self, table: TableId, server: ServerId) -> f64 {
        let line = self.store.line(table, server).filter(|line| !line.draining);
        line.map_or(0.0, |line| f64::from(line.weight) / UNIT_WEIGHT)
    }

    /// Whether the controller has given a server a weight in a table.
    pub fn lists(&self, table: TableId, server: ServerId) -> bool {
        self.tables.get(&table).is_some_and(|table| table.weights.contains_key(&server))
    }

    /// Lines of a full table, with its policies and excluded servers.
    pub fn size(&self, table: TableId) -> usize {
        let Some(table) = self.tables.get(&table) else { return 0 };
        let excluded = self.excluded.iter().filter(|server| table.weights.contains_key(server)).count();
        table.weights.len() + table.policies.len() + self.policies.len() + excluded
    }

    /// Lines that a proxy with version `from` of a table lacks; all where `from` is 0 or not stored.
    pub fn lines_since(&self, table: TableId, from: VersionNumber) -> usize {
        let since = self.store.changes_since(table, from);
        since.map_or_else(|| self.store.lines(table).count(), |since| since.changed.len())
    }

    /// Whether the guard withholds a table from proxies: it has no usable line, while a server is ready.
    pub fn is_withheld(&self, table: TableId) -> bool {
        self.tables.get(&table).is_some_and(|table| table.withheld)
    }

    /// Grows whenever something changes that users of a table are to have.
    pub fn version(&self, table: TableId) -> u64 {
        self.tables.get(&table).map_or(0, |table| table.version)
    }

    /// Grows whenever the excluded servers change.
    pub fn excluded_version(&self) -> u64 {
        self.excluded_version
    }

    /// Share of an operation's requests that is admitted.
    pub fn admission_limit(&self, table: TableId, operation: OperationIndex) -> f64 {
        self.policy(table, operation).map_or(1.0, |policy| policy.admission_limit)
    }

    /// How an operation of a table is retried; never, unless the controller has said so.
    pub fn retry_policy(&self, table: TableId, operation: OperationIndex) -> RetryPolicy {
        self.policy(table, operation).map_or(RetryPolicy::Never, |policy| policy.retry_policy)
    }

    /// The lower admission limit of the table's policy and that of all tables; retries by the table's.
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
