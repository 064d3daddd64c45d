//! What the decision module takes and gives, free of any wire: startup facts, events and orders.

/// Whole nanoseconds, a span or a time on the batch clock.
pub type Nanos = u64;
pub type ServerId = u32;
pub type ProxyId = u16;
pub type TableId = u16;
/// Position in the list of localities.
pub type LocalityId = u16;
/// Set of operations: bit k stands for the operation at position k.
pub type OperationMask = u16;

/// May an operation run again?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}

/// Which servers drop a repeat of a fingerprinted invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatScope {
    Everywhere,
    Locality,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Operation {
    pub effect: Effect,
    pub repeat_scope: RepeatScope,
    pub repeat_window: Nanos,
    pub latency_objective: Nanos,
    pub integration_timeout: Nanos,
    pub billed_value: f64,
    /// It may go only to servers of the proxy's own locality.
    pub home_only: bool,
    pub writes: bool,
}

/// How levels are heeded by proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Ignored,
    Ratio,
    Rate,
}

/// What a value of a load report means; columns not known here are read over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    Active,
    Waiting,
    Cpu,
    ServiceTime,
    Other,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    Digest,
    Probe,
    Nowhere,
}

/// How far a listed weight tells the size of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedSize {
    Untold,
    Rough,
    Nominal,
}

/// Everything that an instance is told at its start.
#[derive(Clone, Debug)]
pub struct StartupFacts {
    pub seed: u64,
    pub supervisor: u16,
    pub supervisors: u16,
    pub locality: LocalityId,
    pub localities: u16,
    pub operations: Vec<Operation>,
    pub membership_on_request: bool,
    pub admission: Admission,
    pub load_source: LoadSource,
    pub load_columns: Vec<LoadColumn>,
    pub probes_allowed: bool,
    pub listed_size: ListedSize,
    pub proxies: u32,
    pub backlog: f64,
    pub lines_per_s: f64,
    pub message_overhead: f64,
    pub report_cycle: Nanos,
    pub empty_for: Nanos,
    pub first_wait: f64,
    /// A proxy avoids a server after so many of its own losses there in a row; 0: never.
    pub fails_to_avoid: u32,
    pub slices: u16,
    pub sole_owner: bool,
    pub tenure: Nanos,
    pub in_flight_max: Nanos,
    pub mean_transit: Nanos,
    pub worst_transit: Nanos,
    pub messages_max: u32,
    pub messages_over: Nanos,
    pub retry_default: u8,
    pub ask_every: Nanos,
    pub cold_from: f64,
    pub cold_for: Nanos,
    pub tip_multiple: f64,
    pub tip_after: Nanos,
    pub drain_grace: Nanos,
    pub gone_does_not_bind: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    #[default]
    Gone,
    Ready,
    Draining,
}

/// One row of the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RosterRow {
    pub server: ServerId,
    pub locality: LocalityId,
    pub kind: u16,
    pub cell: u16,
    pub readiness: Readiness,
    pub weight: f64,
    /// When it last started; 0 means long ago.
    pub ready_at: Nanos,
}

#[derive(Clone, Debug, PartialEq)]
pub enum RosterNews {
    Delta(Vec<RosterRow>),
    Full(Vec<RosterRow>),
    Cached(Vec<RosterRow>),
    Failed,
}

/// What an instance has learned of one server, as plain values; sums fade on from when they were told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Learned {
    pub server: ServerId,
    pub tries: f64,
    pub lost: f64,
    pub answered: f64,
    /// Of all answers together, ns.
    pub time: f64,
    /// Answers expected of it since its last one, and the share of the work that it was given.
    pub unanswered: f64,
    pub felt: f64,
    /// 0 green, 1 yellow, 2 red.
    pub band: u8,
    /// Part of its weight that it has come back to.
    pub level: f64,
    /// Withdrawn for so long by now, and whether for silence.
    pub out_for: Option<Nanos>,
    pub silent: bool,
    /// How long it stays out.
    pub term: Nanos,
}

/// What an instance has learned, for one that starts after it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Remembered {
    pub servers: Vec<Learned>,
    /// Tries at all servers together, and those lost.
    pub tries: f64,
    pub lost: f64,
    /// Weight that is usually ready.
    pub usual: f64,
    /// Cost that a unit of weight has borne in a cycle, and the limit where one stood.
    pub peak: f64,
    pub capacity: Option<f64>,
    /// Proxies are kept apart for so long yet, and for so long the next time.
    pub apart_left: Nanos,
    pub apart_for: Nanos,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeEnding {
    Answered,
    Errored,
    Rejected,
    TimedOut,
    Unreachable,
    Broken,
    Other,
}

/// What the joined proxies of one locality met at one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    pub server: ServerId,
    pub locality: LocalityId,
    pub tries: u32,
    pub lost: u32,
    /// Mean time of the succeeded tries, 0 where none succeeded.
    pub answer_time: Nanos,
    pub window: Nanos,
    pub load: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Roster(RosterNews),
    /// What an instance before this one had learned, and how long ago that was; after the first list.
    Recalled {
        remembered: Remembered,
        away: Nanos,
    },
    /// Lines that were written to proxies before this instance began and are not answered: they may still wait.
    Backlog {
        lines: f64,
    },
    Joined {
        proxy: ProxyId,
        locality: LocalityId,
        rate: f64,
        standing_only: bool,
    },
    Left {
        proxy: ProxyId,
    },
    Digest(Digest),
    Intake {
        proxy: ProxyId,
        operation: u16,
        total: u32,
        lost: u32,
        window: Nanos,
    },
    Hotness {
        table: TableId,
        operation: u16,
        total: u32,
        lost: u32,
        window: Nanos,
    },
    Probed {
        server: ServerId,
        ending: ProbeEnding,
        took: Nanos,
        load: Vec<f64>,
    },
    Confirmed {
        proxy: ProxyId,
        serial: u64,
        took: Nanos,
    },
    Leased {
        table: TableId,
        on: bool,
    },
    OnRecord {
        table: TableId,
        server: ServerId,
        weight: f64,
    },
    Mail {
        from: u16,
        content: Vec<u8>,
    },
    Fired {
        ctx: u64,
    },
}

/// When a proxy tries another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FurtherTry {
    Never,
    /// One, after proof that the first never ran.
    AfterProof,
    /// One, after any failure.
    Once,
    /// Two, after any failure.
    Twice,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Remind {
        span: Nanos,
        ctx: u64,
    },
    Probe {
        server: ServerId,
    },
    Mail {
        to: Option<u16>,
        content: Vec<u8>,
    },
    Remark(String),
    Listen {
        on: bool,
    },
    GetList,
    Line {
        table: TableId,
        server: ServerId,
        weight: f64,
    },
    Truncate {
        table: TableId,
    },
    Suspend {
        server: ServerId,
        on: bool,
    },
    Install {
        proxy: ProxyId,
        table: TableId,
        operations: OperationMask,
    },
    /// `table` absent: for all joined proxies. `operations` 0: all of them.
    Gate {
        table: Option<TableId>,
        operations: OperationMask,
        amount: f64,
        further: FurtherTry,
    },
    FencePost {
        serial: u16,
        everyone: bool,
    },
}
