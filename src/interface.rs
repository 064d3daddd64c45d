//! What the controller takes and gives, free of any wire format: its configuration, events and actions.

/// Whole nanoseconds: a duration, or a time on the controller's clock.
pub type Nanos = u64;
/// Identifies a server; given by whoever lists it.
pub type ServerId = u32;
/// Identifies a proxy.
pub type ProxyId = u16;
/// Identifies a table of weighted endpoints.
pub type TableId = u16;
/// Position in the list of localities.
pub type LocalityId = u16;
/// Set of operations: bit k stands for the operation at position k.
pub type OperationMask = u16;

/// Whether an operation may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// Servers drop a repeat that carries the same idempotency key.
    Keyed,
    /// A second execution has a second effect.
    NonIdempotent,
}

/// Which servers recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    Everywhere,
    /// Servers of the locality that executed the request first.
    Locality,
    /// Servers of the cell that executed the request first.
    Cell,
}

/// An operation that clients invoke, with its objectives.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether it may be executed more than once. No rule uses it.
    pub idempotency: Idempotency,
    /// Which servers recognise its idempotency keys. No rule uses it.
    pub deduplication_scope: DeduplicationScope,
    /// How long they remember a key. No rule uses it.
    pub deduplication_window: Nanos,
    /// Response time below which a response has its full value.
    pub latency_objective: Nanos,
    /// Time after which a client gives up. No rule uses it.
    pub timeout: Nanos,
    /// Value of a response in time, relative to other operations.
    pub priority_weight: f64,
    /// It may go only to servers of the proxy's own locality. No rule uses it.
    pub local_only: bool,
    /// It changes state on the server. No rule uses it.
    pub writes: bool,
}

/// How proxies apply admission limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Not at all.
    Ignored,
    /// As the share of requests to admit, 0 to 1.
    Ratio,
    /// As requests per second.
    Rate,
}

/// What a value of a server's load report means; columns not known here are skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// Requests being executed.
    Active,
    /// Requests queued.
    Waiting,
    /// Share of the processor in use.
    Cpu,
    /// Mean time of execution.
    ServiceTime,
    /// Not known here.
    Other,
}

/// Where servers' load values come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// Proxies' load reports.
    Reports,
    /// Answers to health checks.
    HealthChecks,
    /// There are none.
    None,
}

/// How much a listed weight says about the capacity of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedCapacity {
    /// Nothing: no weights are listed.
    Unknown,
    /// A rough measure, such as the number of cores.
    Approximate,
    /// The capacity itself.
    Nominal,
}

/// Everything that a controller is configured with when it starts.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of this supervisor, from 0.
    pub supervisor_index: u16,
    /// Supervisors that there are.
    pub supervisor_count: u16,
    /// Locality of this supervisor. No rule uses it.
    pub locality: LocalityId,
    /// Localities that there are. No rule uses it.
    pub locality_count: u16,
    /// The operations, by position.
    pub operations: Vec<Operation>,
    /// The endpoint list has to be polled; otherwise it is pushed.
    pub polls_endpoints: bool,
    /// How proxies apply admission limits.
    pub admission_mode: AdmissionMode,
    /// Where servers' load values come from. No rule uses it.
    pub load_source: LoadSource,
    /// What the values of a load report mean, by position. No rule uses it.
    pub load_columns: Vec<LoadColumn>,
    /// Whether health checks may be sent. No rule uses it.
    pub health_checks_allowed: bool,
    /// What listed weights say.
    pub listed_capacity: ListedCapacity,
    /// Proxies that all supervisors have together.
    pub proxy_count: u32,
    /// Lines that may wait in the channel to the proxies.
    pub channel_capacity: f64,
    /// Lines that the channel sends per second.
    pub lines_per_s: f64,
    /// Cost of a message beside its lines, in lines.
    pub message_overhead: f64,
    /// Time between two reports of a proxy.
    pub report_interval: Nanos,
    /// How long a joined proxy may be without a usable server. No rule uses it.
    pub max_unserved_time: Nanos,
    /// Share of the latency objective that a first attempt may take where a retry may follow. No rule uses it.
    pub first_wait: f64,
    /// A proxy avoids a server after so many consecutive failures of its own there; 0: never.
    pub failures_to_avoid: u32,
    /// Key ranges that operations are partitioned into; 0: none. No rule uses it.
    pub slices: u16,
    /// A key range has one owner at a time. No rule uses it.
    pub sole_owner: bool,
    /// How long a lease of a key range is valid. No rule uses it.
    pub lease_duration: Nanos,
    /// Longest time that a request is in flight. No rule uses it.
    pub in_flight_max: Nanos,
    /// Mean time from leaving the channel to the proxy.
    pub mean_transit: Nanos,
    /// Longest time from leaving the channel to the proxy.
    pub worst_transit: Nanos,
    /// Messages to all proxies that are allowed per window; 0: no limit.
    pub message_limit: u32,
    /// Window of that limit.
    pub message_limit_window: Nanos,
    /// Retries of a proxy that was told nothing. No rule uses it.
    pub retry_default: u8,
    /// Least time between two polls of the endpoint list.
    pub poll_interval: Nanos,
    /// Share of its capacity that a server has when it starts, 0 to 1.
    pub slow_start_capacity: f64,
    /// Time from its start until a server has its full capacity.
    pub slow_start_duration: Nanos,
    /// A server fails when it gets this multiple of what it can do.
    pub overload_ratio: f64,
    /// For how long it must get that much.
    pub overload_delay: Nanos,
    /// Time within which no request may go to a draining or removed server any more.
    pub drain_grace: Nanos,
    /// Requests may still go to a server that was removed without having drained.
    pub removal_is_advisory: bool,
}

/// Whether a server takes requests, as listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It is not listed any more.
    #[default]
    Removed,
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// One server of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Which server.
    pub server: ServerId,
    /// Where it runs.
    pub locality: LocalityId,
    /// Hardware kind; servers of a kind are comparable.
    pub kind: u16,
    /// Group of servers within a locality. No rule uses it.
    pub cell: u16,
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Listed weight, see [`ListedCapacity`].
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_at: Nanos,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// Servers that changed; all others are as they were.
    Delta(Vec<Endpoint>),
    /// The whole list: servers that it lacks are removed.
    Full(Vec<Endpoint>),
    /// The whole list as an earlier process stored it.
    Cached(Vec<Endpoint>),
    /// The list could not be fetched.
    Failed,
}

/// What a controller has learned of one server, for the controller of a later process. Sums decay from when they
/// were read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSnapshot {
    /// Which server.
    pub server: ServerId,
    /// Recent attempts there.
    pub attempts: f64,
    /// Those of them that failed.
    pub failures: f64,
    /// Responses that its response time was learned from.
    pub responses: f64,
    /// Time of these responses together, ns.
    pub response_time_sum: f64,
    /// Responses expected of it since its last one.
    pub missing_responses: f64,
    /// Share of all requests that proxies have recently given it, 0 to 1.
    pub applied_share: f64,
    /// 0 healthy, 1 degraded, 2 unhealthy.
    pub health: u8,
    /// Share of its weight that it has recovered to, 0 to 1.
    pub recovery: f64,
    /// For how long it has been ejected, where it is.
    pub ejected_for: Option<Nanos>,
    /// It was ejected because it did not respond.
    pub unresponsive: bool,
    /// How long an ejection lasts.
    pub ejection_time: Nanos,
}

/// What a controller has learned, for the controller of a later process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Of each server.
    pub servers: Vec<ServerSnapshot>,
    /// Recent attempts at all servers together.
    pub attempts: f64,
    /// Those of them that failed.
    pub failures: f64,
    /// Weight that is usually ready.
    pub usual_weight: f64,
    /// Most work per unit of ready weight that was served in a report interval.
    pub peak_load: f64,
    /// Limit on that work, where one was in force.
    pub load_limit: Option<f64>,
    /// For how long proxies are still isolated on subsets.
    pub isolation_left: Nanos,
    /// For how long they were last isolated.
    pub isolation_time: Nanos,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// The server said that it is well.
    Answered,
    /// It answered with an error.
    Errored,
    /// It rejected the check for lack of capacity.
    Rejected,
    /// It did not answer in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection ended within the answer.
    Broken,
    /// Anything else.
    Other,
}

/// What the joined proxies of one locality observed at one server.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Which server.
    pub server: ServerId,
    /// Locality of the proxies.
    pub locality: LocalityId,
    /// Attempts that ended.
    pub attempts: u32,
    /// Those of them that failed.
    pub failures: u32,
    /// Mean time of the successful attempts; 0 where none was successful.
    pub response_time: Nanos,
    /// Time that the report covers.
    pub window: Nanos,
    /// The server's own load values, see [`LoadColumn`].
    pub load: Vec<f64>,
}

/// Something that the controller takes into account.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    Endpoints(WatchEvent),
    /// What an earlier process had learned; comes after the first list.
    Restored {
        /// What it had learned.
        snapshot: Snapshot,
        /// How long ago that was.
        age: Nanos,
    },
    /// Lines that were sent to proxies before this controller began and are not acknowledged: they may still wait.
    Backlog {
        /// So many lines, with the overhead of their messages.
        lines: f64,
    },
    /// A proxy connected.
    Joined {
        /// Which proxy.
        proxy: ProxyId,
        /// Where it runs.
        locality: LocalityId,
        /// Requests per second that it ordinarily gets.
        rate: f64,
        /// No supervisor has sent it anything yet; otherwise it may hold tables and exclusions of another one.
        is_new: bool,
    },
    /// A proxy disconnected.
    Left {
        /// Which proxy.
        proxy: ProxyId,
    },
    /// What proxies observed at a server.
    EndpointReport(EndpointReport),
    /// Requests of an operation that came to a proxy.
    DemandReport {
        /// Which proxy.
        proxy: ProxyId,
        /// Position of the operation.
        operation: u16,
        /// Requests that came.
        total: u32,
        /// Those of them that got no response.
        failures: u32,
        /// Time that the report covers.
        window: Nanos,
    },
    /// Requests of an operation that came to the users of a table. Not used by the controller.
    TableDemand {
        /// Which table.
        table: TableId,
        /// Position of the operation.
        operation: u16,
        /// Requests that came.
        total: u32,
        /// Those of them that got no response.
        failures: u32,
        /// Time that the report covers.
        window: Nanos,
    },
    /// A health check ended. Not used by the controller.
    HealthChecked {
        /// Which server.
        server: ServerId,
        /// How it ended.
        outcome: HealthCheckOutcome,
        /// Time from the request to the end.
        elapsed: Nanos,
        /// The server's load values, see [`LoadColumn`].
        load: Vec<f64>,
    },
    /// A proxy has applied everything up to a mark.
    Acknowledged {
        /// Which proxy.
        proxy: ProxyId,
        /// The mark, see [`Action::RequestAck`].
        serial: u64,
        /// Time from sending the mark until it was applied.
        elapsed: Nanos,
    },
    /// A lease of a table began or ended. Not used by the controller.
    LeaseChanged {
        /// Which table.
        table: TableId,
        /// Whether it began.
        on: bool,
    },
    /// A weight as it is recorded. Not used by the controller.
    RecordedWeight {
        /// Which table.
        table: TableId,
        /// Which server.
        server: ServerId,
        /// Its weight.
        weight: f64,
    },
    /// Another supervisor sent a message. Not used by the controller.
    PeerMessage {
        /// Number of the other supervisor.
        from: u16,
        /// What it sent.
        content: Vec<u8>,
    },
    /// A timer set by [`Action::SetTimer`] has fired.
    TimerFired {
        /// As the timer was set.
        token: u64,
    },
}

/// When a proxy tries another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Once, if the first attempt provably was not executed.
    IfNotExecuted,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// Something that the caller of the controller is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give [`Event::TimerFired`] after a delay.
    SetTimer {
        /// The delay.
        delay: Nanos,
        /// Names the timer.
        token: u64,
    },
    /// Send a health check. The controller never does.
    CheckHealth {
        /// To which server.
        server: ServerId,
    },
    /// Send a message to one or all other supervisors. The controller never does.
    SendToPeer {
        /// Number of the other supervisor; `None`: all.
        to: Option<u16>,
        /// What to send.
        content: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// Begin or end the watch of the endpoint list.
    WatchEndpoints {
        /// Whether it is to begin.
        on: bool,
    },
    /// Fetch the whole endpoint list. The controller never does.
    FetchEndpoints,
    /// Set the weight of a server in a table.
    SetWeight {
        /// Which table.
        table: TableId,
        /// Which server.
        server: ServerId,
        /// Its weight; 0 removes it.
        weight: f64,
    },
    /// Remove all servers from a table. The controller never does.
    ClearTable {
        /// Which table.
        table: TableId,
    },
    /// Have proxies exclude a server, whatever their tables say, or readmit it.
    Exclude {
        /// Which server.
        server: ServerId,
        /// Whether it is to be excluded.
        on: bool,
    },
    /// Have a proxy use a table.
    AssignTable {
        /// Which proxy.
        proxy: ProxyId,
        /// Which table.
        table: TableId,
        /// For which operations; 0: all of them.
        operations: OperationMask,
    },
    /// Limit what is admitted of operations, and set when they are retried.
    LimitAdmission {
        /// For the users of which table; `None`: for all joined proxies.
        table: Option<TableId>,
        /// For which operations; 0: all of them.
        operations: OperationMask,
        /// The limit, in the unit of [`AdmissionMode`].
        limit: f64,
        /// When they are retried.
        retry_policy: RetryPolicy,
    },
    /// Ask for [`Event::Acknowledged`] from the proxies that these actions reach.
    RequestAck {
        /// Names the mark.
        serial: u16,
        /// From all joined proxies, also those that the actions do not reach.
        everyone: bool,
    },
}
