//! The controller's interface, independent of any wire format: its configuration, the events that it receives
//! and the actions that it returns.

/// A duration or a point in time on the controller's clock, in whole nanoseconds.
pub type Nanos = u64;
/// Id of a server, as the endpoint list gives it.
pub type ServerId = u32;
/// Id of a proxy.
pub type ProxyId = u16;
/// Number of a table of weighted endpoints.
pub type TableId = u16;
/// Index into the list of localities.
pub type LocalityId = u16;
/// Set of operations: bit k stands for the operation with index k.
pub type OperationMask = u16;

/// Whether an operation may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated executions have the same effect as one.
    Idempotent,
    /// Servers ignore a repeated request that carries the same idempotency key.
    Keyed,
    /// Each execution has an effect of its own.
    NonIdempotent,
}

/// Which servers recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    Everywhere,
    /// Servers of the locality in which the request was first executed.
    Locality,
    /// Servers of the cell (see [`Endpoint::cell`]) in which the request was first executed.
    Cell,
}

/// An operation that clients invoke, with its latency objective and its value.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether the operation may be executed more than once. Not used by the controller.
    pub idempotency: Idempotency,
    /// Which servers recognise the operation's idempotency keys. Not used by the controller.
    pub deduplication_scope: DeduplicationScope,
    /// How long servers remember an idempotency key. Not used by the controller.
    pub deduplication_window: Nanos,
    /// Response time below which a response has its full value.
    pub latency_objective: Nanos,
    /// Time after which a client gives up. Not used by the controller.
    pub timeout: Nanos,
    /// Value of a response that meets the latency objective, relative to other operations.
    pub priority_weight: f64,
    /// Requests may go only to servers of the proxy's own locality. Not used by the controller.
    pub local_only: bool,
    /// The operation changes state on the server. Not used by the controller.
    pub writes: bool,
}

/// How proxies apply admission limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Proxies ignore admission limits.
    Ignored,
    /// A limit is the share of requests that a proxy admits, 0 to 1.
    Ratio,
    /// A limit is the number of requests per second that a proxy admits.
    Rate,
}

/// Meaning of one value in a server's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// Number of requests being executed.
    Active,
    /// Number of requests queued.
    Waiting,
    /// CPU utilisation, 0 to 1.
    Cpu,
    /// Mean execution time.
    ServiceTime,
    /// A value that this program does not know; it is skipped.
    Other,
}

/// Source of the servers' load values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// Proxies' load reports.
    Reports,
    /// Responses to health checks.
    HealthChecks,
    /// No load values are available.
    None,
}

/// How well a listed weight describes the capacity of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedCapacity {
    /// No weights are listed.
    Unknown,
    /// A rough measure, such as the number of cores.
    Approximate,
    /// The weight is the capacity.
    Nominal,
}

/// Configuration of a controller.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// Seed of the controller's random number generator.
    pub seed: u64,
    /// Index of this supervisor, from 0.
    pub supervisor_index: u16,
    /// Number of supervisors.
    pub supervisor_count: u16,
    /// Locality of this supervisor. Not used by the controller.
    pub locality: LocalityId,
    /// Number of localities. Not used by the controller.
    pub locality_count: u16,
    /// The operations; their position is the index that events and actions use.
    pub operations: Vec<Operation>,
    /// The endpoint list must be polled; otherwise it is pushed.
    pub polls_endpoints: bool,
    /// How proxies apply admission limits.
    pub admission_mode: AdmissionMode,
    /// Source of the servers' load values. Not used by the controller.
    pub load_source: LoadSource,
    /// Meaning of the values of a load report, by position. Not used by the controller.
    pub load_columns: Vec<LoadColumn>,
    /// Whether health checks may be sent. Not used by the controller.
    pub health_checks_allowed: bool,
    /// How well listed weights describe the servers' capacity.
    pub listed_capacity: ListedCapacity,
    /// Number of proxies of all supervisors together.
    pub proxy_count: u32,
    /// Number of lines that the channel to the proxies can queue.
    pub channel_capacity: f64,
    /// Rate of the channel, in lines per second.
    pub lines_per_s: f64,
    /// Cost of a message in addition to its lines, in lines.
    pub message_overhead: f64,
    /// Time between two reports of a proxy.
    pub report_interval: Nanos,
    /// How long a connected proxy may be without a usable server. Not used by the controller.
    pub max_unserved_time: Nanos,
    /// Share of the latency objective that a first attempt may take if a retry can follow. Not used by the
    /// controller.
    pub first_wait: f64,
    /// Number of consecutive failures after which a proxy avoids a server of its own accord; 0: it never
    /// does.
    pub failures_to_avoid: u32,
    /// Number of key ranges that operations are partitioned into; 0: none. Not used by the controller.
    pub key_range_count: u16,
    /// Each key range has a single owner at a time. Not used by the controller.
    pub sole_owner: bool,
    /// How long a lease of a key range is valid. Not used by the controller.
    pub lease_duration: Nanos,
    /// Longest time that a request can be in flight. Not used by the controller.
    pub in_flight_max: Nanos,
    /// Mean time between leaving the channel and arriving at the proxy.
    pub mean_transit: Nanos,
    /// Longest time between leaving the channel and arriving at the proxy.
    pub worst_transit: Nanos,
    /// Number of messages to all proxies together that may be written per window; 0: no limit.
    pub message_limit: u32,
    /// Window of the message limit.
    pub message_limit_window: Nanos,
    /// Number of retries of a proxy that was sent no retry policy. Not used by the controller.
    pub retry_default: u8,
    /// Minimum time between two polls of the endpoint list; also the maximum backoff after failed polls.
    pub poll_interval: Nanos,
    /// Share of its full capacity that a server has when it starts, 0 to 1.
    pub slow_start_capacity: f64,
    /// Time from a server's start until it has its full capacity.
    pub slow_start_duration: Nanos,
    /// A server fails when its load reaches this multiple of its capacity.
    pub overload_ratio: f64,
    /// How long a server must be overloaded before it fails.
    pub overload_delay: Nanos,
    /// Grace period after which no request may go to a draining or removed server any more.
    pub drain_grace: Nanos,
    /// Requests may still go to a server that was removed from the list without draining first.
    pub removal_is_advisory: bool,
}

/// Whether a server accepts requests, as listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The server is not listed any more.
    #[default]
    Removed,
    /// The server accepts requests.
    Ready,
    /// The server finishes its current requests and accepts no new ones.
    Draining,
}

/// A server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Id of the server.
    pub server: ServerId,
    /// Locality that it runs in.
    pub locality: LocalityId,
    /// Hardware kind; servers of the same kind have comparable response times.
    pub kind: u16,
    /// Group of servers within the locality. Not used by the controller.
    pub cell: u16,
    /// Whether the server accepts requests.
    pub readiness: Readiness,
    /// Listed weight; [`ListedCapacity`] tells its meaning.
    pub weight: f64,
    /// Time of its last start; 0: unknown or long ago.
    pub started_at: Nanos,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The servers that changed; all others are unchanged.
    Delta(Vec<Endpoint>),
    /// The full list: servers absent from it are removed.
    Full(Vec<Endpoint>),
    /// The full list as an earlier process stored it.
    Cached(Vec<Endpoint>),
    /// The list could not be fetched.
    Failed,
}

/// State that a controller has learned about one server, to be restored by a later process. Sums decay from
/// the time of the snapshot on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSnapshot {
    /// Id of the server.
    pub server: ServerId,
    /// Recent attempts at the server, decayed.
    pub attempts: f64,
    /// Recent attempts that failed, decayed.
    pub failures: f64,
    /// Responses from which the server's response time was learned, decayed.
    pub responses: f64,
    /// Total time of these responses, ns.
    pub response_time_sum: f64,
    /// Number of responses expected since the server's last one.
    pub missing_responses: f64,
    /// Share of all requests that proxies have recently sent to the server, 0 to 1.
    pub applied_share: f64,
    /// Health: 0 healthy, 1 degraded, 2 unhealthy.
    pub health: u8,
    /// Share of its weight that the server has regained since an ejection, 0 to 1.
    pub recovery: f64,
    /// Time since the server was ejected; `None` if it is not ejected.
    pub ejected_for: Option<Nanos>,
    /// The server was ejected because it did not respond.
    pub unresponsive: bool,
    /// Duration of the current ejection, or of the next one.
    pub ejection_time: Nanos,
}

/// State that a controller has learned, to be restored by a later process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// State learned about each server.
    pub servers: Vec<ServerSnapshot>,
    /// Recent attempts at all servers together, decayed.
    pub attempts: f64,
    /// Recent attempts that failed, decayed.
    pub failures: f64,
    /// Total weight of the servers that are usually ready.
    pub usual_weight: f64,
    /// Highest recent load that was served per report interval and unit of weight. The load of a request is the
    /// latency objective of its operation, ns.
    pub peak_load: f64,
    /// Limit on the admitted load, in the unit of `peak_load`; `None` if no load is shed.
    pub load_limit: Option<f64>,
    /// Remaining time for which proxies are isolated on subsets; 0: they are not.
    pub isolation_left: Nanos,
    /// Duration of the last isolation.
    pub isolation_time: Nanos,
}

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// The server reported itself healthy.
    Answered,
    /// The server responded with an error.
    Errored,
    /// The server rejected the check for lack of capacity.
    Rejected,
    /// The server did not respond in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection was closed before the response was complete.
    Broken,
    /// Any other result.
    Other,
}

/// Outcomes of attempts at one server, as observed by the connected proxies of one locality.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Id of the server.
    pub server: ServerId,
    /// Locality of the reporting proxies.
    pub locality: LocalityId,
    /// Number of attempts that ended.
    pub attempts: u32,
    /// Number of these attempts that failed.
    pub failures: u32,
    /// Mean time of the successful attempts; 0 if none was successful.
    pub response_time: Nanos,
    /// Time span that the report covers.
    pub window: Nanos,
    /// Load values that the server itself reported; see [`LoadColumn`].
    pub load: Vec<f64>,
}

/// An input of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    Endpoints(WatchEvent),
    /// State learned by an earlier process; follows the first endpoint list.
    Restored {
        /// State learned by the earlier process.
        snapshot: Snapshot,
        /// Age of the snapshot.
        age: Nanos,
    },
    /// Lines that an earlier controller sent to proxies and that are not acknowledged: they may still be
    /// queued.
    Backlog {
        /// Number of lines, including the overhead of their messages.
        lines: f64,
    },
    /// A proxy connected.
    Joined {
        /// Id of the proxy.
        proxy: ProxyId,
        /// Locality that it runs in.
        locality: LocalityId,
        /// Request rate that the proxy usually receives, per second.
        rate: f64,
        /// No supervisor has sent it anything yet; otherwise it may hold tables and exclusions from another
        /// supervisor.
        is_new: bool,
    },
    /// A proxy disconnected.
    Left {
        /// Id of the proxy.
        proxy: ProxyId,
    },
    /// Proxies reported the outcomes of their attempts at a server.
    EndpointReport(EndpointReport),
    /// A proxy reported the requests of an operation that it received.
    DemandReport {
        /// Id of the proxy.
        proxy: ProxyId,
        /// Index of the operation.
        operation: u16,
        /// Number of requests received.
        total: u32,
        /// Number of these requests that got no response.
        failures: u32,
        /// Time span that the report covers.
        window: Nanos,
    },
    /// Requests of an operation that the users of a table received. Not used by the controller.
    TableDemand {
        /// Number of the table.
        table: TableId,
        /// Index of the operation.
        operation: u16,
        /// Number of requests received.
        total: u32,
        /// Number of these requests that got no response.
        failures: u32,
        /// Time span that the report covers.
        window: Nanos,
    },
    /// A health check ended. Not used by the controller.
    HealthChecked {
        /// Id of the server.
        server: ServerId,
        /// Result of the check.
        outcome: HealthCheckOutcome,
        /// Time from sending the check to its result.
        elapsed: Nanos,
        /// The server's load values; see [`LoadColumn`].
        load: Vec<f64>,
    },
    /// The actual size of the messages that the actions of a batch resulted in. A shell that encodes messages
    /// itself reports it, since it may add lines to what the controller has accounted for.
    Sent {
        /// Serial number of the mark that the batch requested; see [`Action::RequestAck`].
        serial: u16,
        /// Number of lines of all messages together, including their overhead.
        lines: f64,
    },
    /// A proxy has applied everything that was sent to it before a mark; see [`Action::RequestAck`].
    Acknowledged {
        /// Id of the proxy.
        proxy: ProxyId,
        /// Serial number of the mark.
        serial: u64,
        /// Time from sending the mark to its application.
        elapsed: Nanos,
    },
    /// A lease of a table began or ended. Not used by the controller.
    LeaseChanged {
        /// Number of the table.
        table: TableId,
        /// Whether the lease began; otherwise it ended.
        on: bool,
    },
    /// The recorded weight of a server in a table. Not used by the controller.
    RecordedWeight {
        /// Number of the table.
        table: TableId,
        /// Id of the server.
        server: ServerId,
        /// Weight of the server.
        weight: f64,
    },
    /// A message arrived from another supervisor. Not used by the controller.
    PeerMessage {
        /// Index of the sending supervisor.
        from: u16,
        /// Content of the message.
        content: Vec<u8>,
    },
    /// A timer set by [`Action::SetTimer`] has fired.
    TimerFired {
        /// Token that the timer was set with.
        token: u64,
    },
}

/// When a proxy retries a request at another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// Requests are never retried.
    Never,
    /// A request is retried once, if the first attempt was provably not executed.
    IfNotExecuted,
    /// A request is retried once, after any failure.
    Once,
    /// A request is retried up to twice, after any failure.
    Twice,
}

/// An instruction that the supervisor carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass [`Event::TimerFired`] to the controller after a delay.
    SetTimer {
        /// Time until the timer fires.
        delay: Nanos,
        /// Token that the event carries.
        token: u64,
    },
    /// Send a health check. The controller does not return this action.
    CheckHealth {
        /// Id of the server to check.
        server: ServerId,
    },
    /// Send a message to one or all other supervisors. The controller does not return this action.
    SendToPeer {
        /// Index of the receiving supervisor; `None`: all others.
        to: Option<u16>,
        /// Content of the message.
        content: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// Start or stop watching the endpoint list.
    WatchEndpoints {
        /// Whether to start; otherwise stop.
        on: bool,
    },
    /// Fetch the full endpoint list. The controller does not return this action.
    FetchEndpoints,
    /// Set the weight of a server in a table.
    SetWeight {
        /// Number of the table.
        table: TableId,
        /// Id of the server.
        server: ServerId,
        /// Weight of the server; 0 removes it from the table.
        weight: f64,
    },
    /// Remove all servers from a table. The controller does not return this action.
    ClearTable {
        /// Number of the table.
        table: TableId,
    },
    /// Tell proxies to exclude a server regardless of their tables, or to readmit it.
    Exclude {
        /// Id of the server.
        server: ServerId,
        /// Whether to exclude the server; otherwise readmit it.
        on: bool,
    },
    /// Assign a table to a proxy.
    AssignTable {
        /// Id of the proxy.
        proxy: ProxyId,
        /// Number of the table.
        table: TableId,
        /// Operations that it applies to; 0: all of them.
        operations: OperationMask,
    },
    /// Limit the admission of operations, and set their retry policy.
    LimitAdmission {
        /// Table whose users the limit applies to; `None`: all connected proxies.
        table: Option<TableId>,
        /// Operations that it applies to; 0: all of them.
        operations: OperationMask,
        /// The limit, in the unit of [`AdmissionMode`].
        limit: f64,
        /// When requests of these operations are retried.
        retry_policy: RetryPolicy,
    },
    /// Send a mark to the proxies that receive the actions before this one. A proxy acknowledges the mark with
    /// [`Event::Acknowledged`] when it has applied these actions.
    RequestAck {
        /// Serial number of the mark.
        serial: u16,
        /// Send the mark to all connected proxies, including those that receive none of the actions.
        everyone: bool,
    },
}
