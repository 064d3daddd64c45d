//! Plans and commands that stand-ins read from standard input, each as one line of JSON. The first line is the plan
//! of the role; every later line is a [`Command`]. The serialized names are read by other builds and must not change.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use shalereel::interface::Nanos;

/// What a second execution of the same invocation does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectKind {
    /// A second execution changes nothing.
    Idempotent,
    /// Servers drop a second execution that carries the same fingerprint.
    Fingerprinted,
    /// Each execution takes effect.
    SideEffecting,
}

/// The servers that share their record of fingerprints, so that any of them drops a repeated invocation.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// All servers.
    #[default]
    Everywhere,
    /// The servers of one zone.
    Locality,
    /// The servers of one cell of a zone.
    Cell,
}

/// An operation that callers invoke.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperationPlan {
    /// Name of the operation: the last segment of the gRPC path and the cluster name of its table.
    pub name: String,
    /// What a repeated execution does.
    pub effect: EffectKind,
    /// The servers that drop repeats of a fingerprinted invocation.
    #[serde(rename = "repeats")]
    pub deduplication_scope: DeduplicationScope,
    /// How long servers remember a fingerprint, in nanoseconds.
    #[serde(rename = "repeat_window")]
    pub deduplication_window: Nanos,
    /// Latency that an invocation should not exceed, in nanoseconds.
    pub latency_objective: Nanos,
    /// Time after which a caller gives an invocation up, in nanoseconds.
    pub integration_timeout: Nanos,
    /// Value of one invocation that succeeds within its objective.
    pub billed_value: f64,
    /// Relative share of all arrivals.
    pub share: f64,
    /// Mean work of one invocation, in nanoseconds of a core of speed 1.
    #[serde(rename = "work")]
    pub mean_work: Nanos,
}

/// Capacity of one kind of server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerKind {
    /// Number of invocations that run at the same time.
    pub cores: u32,
    /// Speed of a core; 1 does a nanosecond of work in a nanosecond.
    pub speed: f64,
    /// Maximum number of invocations that wait for a core.
    #[serde(rename = "queue")]
    pub queue_capacity: u32,
    /// Maximum number of open connections.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Fraction of the capacity that a server has right after its start.
    #[serde(rename = "cold_from")]
    pub cold_capacity_fraction: f64,
    /// Time from the start to full capacity, in nanoseconds; the capacity grows linearly.
    #[serde(rename = "cold_for")]
    pub warm_up_duration: Nanos,
}

/// One server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerPlan {
    /// Number of the server.
    pub server: u32,
    /// Address that the server listens on; port 0 lets the system choose one.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Cell of the server within its zone.
    pub cell: u16,
    /// Index into [`ServersPlan::kinds`].
    pub kind: u16,
}

/// Plan of the role `servers`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServersPlan {
    /// File that the trace is written to.
    #[serde(rename = "trace")]
    pub trace_path: PathBuf,
    /// Seed of the random generator.
    pub seed: u64,
    /// The servers that this process plays.
    pub servers: Vec<ServerPlan>,
    /// Kinds of server, which [`ServerPlan::kind`] refers to by index.
    pub kinds: Vec<ServerKind>,
    /// Operations that the servers execute; an invocation refers to them by index.
    pub operations: Vec<OperationPlan>,
    /// A cold server crashes when the work that arrives within `overload_window` exceeds this multiple of what the
    /// server can do in that time.
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// Time over which arriving work is summed, in nanoseconds.
    #[serde(rename = "tip_after")]
    pub overload_window: Nanos,
    /// Injected fault: every effect is applied twice.
    #[serde(rename = "repeat_effects")]
    pub duplicate_effects: bool,
}

/// How a forwarder chooses a line of its table.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBalancing {
    /// Weighted random choice.
    #[serde(rename = "lottery")]
    WeightedRandom,
    /// Smooth weighted round robin.
    #[serde(rename = "wheel")]
    WeightedRoundRobin,
    /// Power of two choices: of two weighted random choices, the server with fewer open attempts.
    #[serde(rename = "pair")]
    TwoChoices,
}

/// One forwarder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwarderPlan {
    /// Number of the forwarder.
    pub forwarder: u32,
    /// Address that callers connect to; it stays the same after a restart.
    pub address: SocketAddr,
    /// Zone of the forwarder.
    pub zone: String,
    /// Invocations per second that the forwarder usually receives.
    #[serde(rename = "rate")]
    pub usual_rate: f64,
    /// Whether this is a balancer that receives weights by SASP and sends no load reports.
    #[serde(rename = "sasp")]
    pub uses_sasp: bool,
}

/// Plan of the role `forwarders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardersPlan {
    /// File that the trace is written to.
    #[serde(rename = "trace")]
    pub trace_path: PathBuf,
    /// Seed of the random generator.
    pub seed: u64,
    /// The forwarders that this process plays.
    pub forwarders: Vec<ForwarderPlan>,
    /// Operations that the forwarders route; an invocation refers to them by index.
    pub operations: Vec<OperationPlan>,
    /// Addresses at which the supervisors serve tables by xDS.
    pub supervisors: Vec<SocketAddr>,
    /// Addresses at which the same supervisors serve balancers by SASP.
    #[serde(rename = "sasp")]
    pub sasp_supervisors: Vec<SocketAddr>,
    /// Servers that the bootstrap table of a forwarder is drawn from.
    pub servers: Vec<ServerPlan>,
    /// Maximum number of lines of a bootstrap table, which a forwarder uses until a supervisor sends one.
    #[serde(rename = "standing")]
    pub bootstrap_table_size: usize,
    /// How a forwarder chooses a line of its table.
    #[serde(rename = "pick")]
    pub load_balancing: LoadBalancing,
    /// Whether forwarders use the incremental variant of xDS.
    pub incremental: bool,
    /// Whether forwarders receive tables line by line; implies `incremental`.
    #[serde(rename = "lines")]
    pub supports_lines: bool,
    /// Consecutive failures after which a forwarder ejects a server; 0 turns ejection off.
    #[serde(rename = "fails_to_avoid")]
    pub ejection_failure_threshold: u32,
    /// Time for which an ejected server is avoided, in nanoseconds.
    #[serde(rename = "avoid_for")]
    pub ejection_duration: Nanos,
    /// Timeout of an attempt that may be retried after any failure, as a multiple of the latency objective.
    #[serde(rename = "first_wait")]
    pub attempt_timeout_factor: f64,
    /// Shortest and longest delay before a lost supervisor connection is replaced, in nanoseconds.
    #[serde(rename = "redial")]
    pub reconnect_delay: (Nanos, Nanos),
    /// Index of the operation that is routed by key ranges; without it all operations are routed by weight.
    #[serde(rename = "keyed")]
    pub keyed_operation: Option<usize>,
    /// Injected fault: tables and leases of every epoch are accepted, however old.
    pub unfenced: bool,
    /// Injected fault: tables are acknowledged, but lines that a table drains or removes stay in use.
    pub ignore_drains: bool,
}

/// Plan of the role `links`: one listening address for each ordered pair of supervisors.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LinksPlan {
    /// Number of supervisors.
    pub members: u32,
}

/// Plan of the role `callers`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallersPlan {
    /// File that the trace is written to.
    #[serde(rename = "trace")]
    pub trace_path: PathBuf,
    /// Seed of the random generator.
    pub seed: u64,
    /// Addresses of the forwarders, each with its relative share of the invocations.
    pub forwarders: Vec<(SocketAddr, f64)>,
    /// Operations that the callers invoke.
    pub operations: Vec<OperationPlan>,
    /// Invocations per second over all callers.
    pub rate: f64,
    /// Maximum number of retries of one invocation.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Delay before a retry, in nanoseconds.
    #[serde(rename = "backoff")]
    pub retry_delay: Nanos,
}

/// State of a server in the registry.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryState {
    /// Listed as ready.
    Ready,
    /// Listed as draining.
    Draining,
    /// No longer listed.
    Gone,
}

/// One server in the registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RegistryEntry {
    /// Number of the server.
    pub server: u32,
    /// Address of the server.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Kind of the server, an index into [`ServersPlan::kinds`].
    pub kind: u16,
    /// Cell of the server within its zone.
    pub cell: u16,
    /// Weight that the registry announces for the server.
    pub weight: f64,
    /// State of the server.
    pub state: RegistryState,
    /// Number of the server's current run; it grows with each start.
    pub incarnation: u64,
    /// Start time of the server, in nanoseconds of the monotonic clock; 0 for a server that
    /// started long ago and is warm.
    #[serde(rename = "started")]
    pub started_at: Nanos,
}

/// Plan of the role `registry`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RegistryPlan {
    /// File that the trace is written to.
    #[serde(rename = "trace")]
    pub trace_path: PathBuf,
    /// Address that the registry listens on.
    pub address: SocketAddr,
    /// The servers at the start.
    #[serde(rename = "list")]
    pub entries: Vec<RegistryEntry>,
}

/// Line that a process writes to standard output once it serves.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ready {
    /// Addresses that the process listens on, in the order of its plan.
    pub addresses: Vec<SocketAddr>,
}

/// A command to a stand-in. Most commands inject a fault: the flag `on` starts or ends it; a factor of 1, a fraction of 0
/// and a delay of 0 also end it, unless the command says otherwise.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    // Commands to servers.
    /// Servers reset their connections and stop listening.
    #[serde(rename = "crash")]
    CrashServers { servers: Vec<u32> },
    /// Servers start again, cold.
    #[serde(rename = "start")]
    StartServers { servers: Vec<u32>, incarnation: u64 },
    /// Servers neither answer nor reset their connections.
    #[serde(rename = "silence")]
    SilenceServers { servers: Vec<u32>, on: bool },
    /// Servers accept invocations and answer none.
    #[serde(rename = "hang")]
    HangServers { servers: Vec<u32>, on: bool },
    /// Work takes `factor` times as long.
    #[serde(rename = "slow")]
    SlowServers { servers: Vec<u32>, factor: f64 },
    /// Servers fail this fraction of the invocations at once.
    #[serde(rename = "fail")]
    FailInvocations {
        servers: Vec<u32>,
        #[serde(rename = "part")]
        fraction: f64,
    },
    /// Servers report next to no load.
    #[serde(rename = "misreport")]
    MisreportLoad { servers: Vec<u32>, on: bool },
    /// Servers finish the invocations that they have and reject new ones after `grace` nanoseconds.
    #[serde(rename = "drain")]
    DrainServers { servers: Vec<u32>, grace: Nanos },
    /// Servers accept only this fraction of their maximum number of connections; 1 lifts the limit.
    #[serde(rename = "squeeze")]
    LimitConnections {
        servers: Vec<u32>,
        #[serde(rename = "part")]
        fraction: f64,
    },
    /// Servers read from a new connection only after this delay, in nanoseconds.
    #[serde(rename = "handshake")]
    DelayConnections { servers: Vec<u32>, delay: Nanos },
    // Commands to forwarders.
    /// Forwarders lose their state, reset their connections and stop listening.
    #[serde(rename = "die")]
    CrashForwarders { forwarders: Vec<u32> },
    /// Forwarders start again with a bootstrap table of these servers.
    #[serde(rename = "revive")]
    RestartForwarders {
        forwarders: Vec<u32>,
        #[serde(rename = "standing")]
        bootstrap_servers: Vec<u32>,
    },
    /// Forwarders stop reading from all connections.
    #[serde(rename = "stall")]
    StallForwarders { forwarders: Vec<u32>, on: bool },
    /// Forwarders stop reading from the connection to their supervisor.
    #[serde(rename = "deaf")]
    PauseSupervisorConnection { forwarders: Vec<u32>, on: bool },
    /// Forwarders reject the next `count` updates.
    #[serde(rename = "turn_down")]
    RejectUpdates { forwarders: Vec<u32>, count: u32 },
    /// This fraction of the updates with lines is lost, as many are delayed by up to `delay` nanoseconds, and half
    /// as many are delivered twice.
    #[serde(rename = "lossy")]
    DisturbUpdates {
        #[serde(rename = "part")]
        fraction: f64,
        delay: Nanos,
    },
    /// Forwarders send load reports this much later, in nanoseconds.
    #[serde(rename = "late_reports")]
    DelayReports { delay: Nanos },
    /// Attempts between one of these zones and any other zone get no answer.
    #[serde(rename = "cut")]
    IsolateZones { zones: Vec<String> },
    /// Balancers violate the protocol: they ask every millisecond, read nothing, register ten thousand members,
    /// reset the connection within a message or deregister another balancer's group. A member changes its own
    /// state all the time.
    #[serde(rename = "odd_balancers")]
    RunFaultyBalancers { on: bool },
    /// Load reports include a server that never existed.
    #[serde(rename = "report_ghost")]
    ReportUnknownServer { on: bool },
    // Commands to links.
    /// Sets the address at which a supervisor listens.
    #[serde(rename = "member")]
    SetMemberAddress { member: u32, address: SocketAddr },
    /// Nothing passes the links of these pairs (from, to); links of other pairs pass traffic.
    #[serde(rename = "cut_links")]
    BlockLinks { pairs: Vec<(u32, u32)> },
    // Commands to callers.
    /// Invocations arrive at `factor` times the planned rate.
    #[serde(rename = "rate")]
    ScaleRate { factor: f64 },
    /// Callers start no more invocations and end once all of theirs are finished.
    #[serde(rename = "quit")]
    StopCallers,
    // Commands to the registry.
    /// Adds or replaces these entries.
    #[serde(rename = "list")]
    UpdateEntries {
        #[serde(rename = "rows")]
        entries: Vec<RegistryEntry>,
    },
    /// The registry sends no updates, whatever changes.
    #[serde(rename = "mute")]
    SuppressUpdates { on: bool },
    /// The registry wrongly omits these servers from what it sends.
    #[serde(rename = "leave_out")]
    OmitServers { servers: Vec<u32> },
    /// The registry resets its connections and accepts none.
    #[serde(rename = "away")]
    StopRegistry { on: bool },
}
