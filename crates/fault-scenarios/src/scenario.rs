//! The scenario file: fleet, demand, schedule of faults, and the expected service.

use std::path::Path;

use serde::Deserialize;
use shalereel_standins::{
    DeduplicationScope, EffectKind, LoadBalancing, OperationPlan, ServerKind as ServerKindPlan,
};
use shalereel_xds_supervisor::FileError;

/// Shortest run of a scenario, in seconds.
const MIN_LENGTH_S: f64 = 1.0;
/// Longest run of a scenario, in seconds.
const MAX_LENGTH_S: f64 = 86_400.0;
/// Largest number of servers of a fleet.
const MAX_SERVERS: f64 = 5_000.0;
/// Lowest rate of invocations, in invocations per second.
const MIN_RATE: f64 = 0.01;
/// Highest rate of invocations, in invocations per second.
const MAX_RATE: f64 = 1e6;
/// Largest multiple of a capacity that counts as overload.
const MAX_OVERLOAD_RATIO: f64 = 1e6;
/// Interval at which a supervisor polls a list that is not pushed, in milliseconds.
const LIST_POLL_INTERVAL_MS: f64 = 10_000.0;
pub(crate) const MS_PER_SECOND: f64 = 1e3;
const NANOS_PER_MS: f64 = 1e6;

/// A scenario, as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Title of the report.
    pub title: String,
    /// Length of the run, in seconds.
    pub length_s: f64,
    /// Seed of every random choice.
    #[serde(default)]
    pub seed: u64,
    /// Names of the localities; servers, forwarders and supervisors are assigned to them in turn.
    pub localities: Vec<String>,
    /// The servers, and the registry's list of them.
    pub fleet: Fleet,
    /// Machine models of the servers.
    #[serde(rename = "kind")]
    pub kinds: Vec<ServerKind>,
    /// Operations that callers invoke.
    #[serde(rename = "operation")]
    pub operations: Vec<Operation>,
    /// The callers' load.
    pub demand: Demand,
    /// The forwarders, which route invocations to servers.
    pub forwarders: Forwarders,
    /// The supervisors, which send tables to forwarders.
    pub supervisors: Supervisors,
    /// Settings of the supervisors' group; without them each supervisor acts alone.
    #[serde(rename = "shared", default)]
    pub group: Option<GroupSettings>,
    /// Limits of the rules.
    pub rules: Rules,
    /// The expected service.
    pub expect: Expect,
    /// The schedule of faults.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Fault>,
    /// A fault of the system under test, which the evaluation has to detect.
    #[serde(rename = "planted", default)]
    pub injected_fault: Option<InjectedFault>,
    /// Whether the supervisors' guard stays enabled and can prevent the injected fault; without it the fault takes effect.
    #[serde(default)]
    pub guarded: bool,
}

/// The servers, and how the registry lists them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of servers.
    pub servers: u32,
    /// Servers of a locality that form one cell.
    pub cell_size: u32,
    /// How supervisors get the list: `pushed` by the registry, or `asked` (polled).
    pub membership: String,
    /// How the list's capacities are understood: `untold` (unknown), `rough` (approximate) or `nominal`.
    pub sizes: String,
    /// Delay in seconds until the list shows that a server has crashed.
    #[serde(rename = "notice_s")]
    pub removal_delay_s: f64,
    /// Delay in seconds until the list shows that a server has started.
    #[serde(rename = "add_s")]
    pub addition_delay_s: f64,
}

/// A machine model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerKind {
    /// Relative share of the servers that are of this model.
    pub share: f64,
    /// Number of cores.
    pub cores: u32,
    /// Speed of a core, relative to a core of speed 1.
    pub speed: f64,
    /// Largest number of invocations that wait for a core.
    pub queue: u32,
    /// Largest number of open connections.
    pub connections: u32,
    /// Fraction of its capacity that a server has when it starts.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Seconds until a started server has its whole capacity.
    #[serde(rename = "cold_for_s")]
    pub slow_start_s: f64,
}

/// An operation that callers invoke.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Name in reports.
    pub name: String,
    /// Whether a second execution has an effect.
    pub effect: EffectKind,
    /// The servers that share their record of fingerprints, so that any of them drops a retry.
    #[serde(rename = "repeats", default)]
    pub deduplication_scope: DeduplicationScope,
    /// How long servers remember a fingerprint, in milliseconds.
    #[serde(rename = "repeat_window_ms", default)]
    pub deduplication_window_ms: f64,
    /// Invocations that take longer than this many milliseconds count as not served.
    pub latency_objective_ms: f64,
    /// Time in milliseconds after which an invocation times out.
    pub integration_timeout_ms: f64,
    /// Value of one invocation in the service ratio.
    pub billed_value: f64,
    /// Relative share of all invocations.
    pub share: f64,
    /// Mean work of an invocation, in milliseconds of a core of speed 1.
    pub work_ms: f64,
}

/// The callers' load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Invocations per second.
    pub rate: f64,
    /// Number of retries of a failed invocation.
    pub retries: u32,
    /// Delay of a retry after a failure, in milliseconds.
    pub backoff_ms: f64,
}

/// The forwarders, and how they route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Forwarders {
    /// Number of forwarders.
    pub count: u32,
    /// How a forwarder picks a server from its table.
    pub pick: LoadBalancing,
    /// Number of servers of the initial table that a forwarder uses until its supervisor sends one.
    #[serde(rename = "standing")]
    pub initial_table_size: usize,
    /// Number of consecutive failures after which a forwarder ejects a server from its choice; 0 disables ejection.
    #[serde(rename = "fails_to_avoid")]
    pub ejection_failure_threshold: u32,
    /// How long a forwarder ejects a server, in seconds.
    #[serde(rename = "avoid_s")]
    pub ejection_duration_s: f64,
    /// Timeout of an attempt that a retry may follow, as a multiple of the latency objective.
    #[serde(rename = "first_wait")]
    pub attempt_timeout_factor: f64,
    /// Smallest and largest delay before a forwarder reconnects to a supervisor, in milliseconds.
    #[serde(rename = "redial_ms")]
    pub reconnect_ms: (f64, f64),
    /// Interval of load reports, in milliseconds.
    pub report_cycle_ms: f64,
    /// How forwarders apply the supervisors' admission: `ratio` or `ignored`.
    pub admission: String,
    /// Whether forwarders use the incremental variant of xDS.
    #[serde(default)]
    pub incremental: bool,
    /// Whether forwarders receive tables line by line; implies `incremental`.
    #[serde(rename = "lines", default)]
    pub line_updates: bool,
    /// Number of the forwarders that are balancers, which take weights by SASP.
    #[serde(default)]
    pub balancers: u32,
}

/// The supervisors, and their channels to forwarders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Supervisors {
    /// Number of supervisors.
    pub count: u16,
    /// Interval at which the controller decides, in milliseconds.
    pub tick_ms: f64,
    /// Rate of a channel, in lines per second.
    pub lines_per_s: f64,
    /// Largest number of lines that wait in a channel.
    pub backlog: f64,
    /// Cost of a message, in lines.
    pub message_overhead: f64,
    /// Mean transit time of a message, in milliseconds.
    pub mean_transit_ms: f64,
    /// Longest transit time of a message, in milliseconds.
    pub worst_transit_ms: f64,
    /// Largest number of messages to a forwarder within `messages_over_ms`; 0 disables the limit.
    #[serde(default)]
    pub messages_max: u32,
    /// Window of `messages_max`, in milliseconds.
    #[serde(default)]
    pub messages_over_ms: f64,
    /// Supervisors neither read nor write snapshots, so that no learned state survives a restart.
    #[serde(default)]
    pub forget: bool,
}

/// Settings of the supervisors' group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// Election timeout, in milliseconds.
    pub election_ms: f64,
    /// Largest error of a clock's rate, as a fraction.
    pub drift: f64,
    /// Number of key ranges.
    #[serde(default)]
    pub ranges: u32,
    /// Time in milliseconds for which a forwarder may use a route of a key range, from when it requested the route.
    pub tenure_ms: f64,
    /// Longest time in milliseconds from when a forwarder sends a request until it takes effect; later it never does.
    pub in_flight_ms: f64,
    /// Name of the operation that is routed by key ranges; empty if none.
    #[serde(default)]
    pub keyed: String,
}

/// Limits of the rules that the evaluation checks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Longest time in seconds that a forwarder may lack a line for an operation.
    #[serde(rename = "empty_for_s")]
    pub max_empty_s: f64,
    /// Time in seconds after which a draining server gets no new invocations.
    pub drain_grace_s: f64,
    /// Load that overloads a server in slow start, as a multiple of its capacity.
    #[serde(rename = "tip_multiple")]
    pub overload_ratio: f64,
    /// Window in seconds over which that load is summed.
    #[serde(rename = "tip_after_s")]
    pub overload_after_s: f64,
    /// Whether servers that have left the list may still get invocations; draining servers never may.
    #[serde(rename = "gone_does_not_bind", default)]
    pub removal_is_advisory: bool,
}

/// The expected service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Smallest ratio of billed value that is served in time to billed value that is requested.
    pub service: f64,
    /// The smallest ratio for single operations, by name.
    #[serde(default)]
    pub operations: std::collections::BTreeMap<String, f64>,
}

/// The kind of a scheduled fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers crash and start again.
    Crash,
    /// Servers neither answer nor reset connections.
    Silence,
    /// Servers take invocations and answer none.
    Hang,
    /// Servers are slower by a factor.
    Slow,
    /// Servers fail a fraction of the invocations at once.
    FastErrors,
    /// Servers are slow for 2 of every 3 seconds, as with a noisy neighbour.
    Neighbour,
    /// All servers are slower by a factor.
    SharedSlow,
    /// Servers report next to no load.
    FalseReports,
    /// Servers hang and report next to no load.
    Misreport,
    /// Servers drain, and return in slow start.
    Drain,
    /// Servers drain and return in waves, as in a rolling deploy.
    Deploy,
    /// Servers crash and start again together.
    MassRestart,
    /// Servers accept only a fraction of their connections.
    Squeeze,
    /// Servers answer new connections late.
    Handshake,
    /// Forwarders send load reports late.
    LateReports,
    /// The registry wrongly leaves servers out of the list.
    WrongList,
    /// The registry wrongly sends an empty list.
    EmptyList,
    /// The registry ends streams and accepts none.
    RegistryAway,
    /// The registry sends no updates.
    RegistryMute,
    /// A locality is partitioned from all others.
    LocalityCut,
    /// Forwarders crash and start again.
    ForwarderCrash,
    /// Forwarders stall.
    ForwarderStall,
    /// Forwarders do not read their supervisor's stream.
    ForwarderDeaf,
    /// Forwarders reject updates.
    TurnDown,
    /// Forwarders report load of a server that never existed.
    GhostReports,
    /// Balancers violate the protocol.
    OddBalancers,
    /// Supervisors are killed and started again.
    SupervisorCrash,
    /// Supervisors are paused for 1.5 of every 2.5 seconds.
    SupervisorStall,
    /// Supervisors are paused once.
    SupervisorPause,
    /// Links of supervisors are cut in both directions.
    LinksCut,
    /// Supervisors receive from all others but reach none.
    LinksOneWay,
    /// Links of supervisors are cut and restored in turn.
    LinksFlap,
    /// An operator orders supervisors to drain servers or to hold their weights.
    Order,
    /// Table updates are lost, delayed or duplicated.
    LossyLinks,
    /// An operator rolls tables back at every supervisor.
    WayBack,
    /// An operator moves key ranges to other servers.
    MoveRanges,
    /// Forwarders read their streams only for a fifth of each second.
    SlowChannel,
    /// Callers raise their rate.
    Surge,
}

/// A scheduled fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, in seconds since the start of the run.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// What fails.
    pub kind: FaultKind,
    /// Fraction of the servers, forwarders or supervisors that are affected; of lost updates with `lossy_links`.
    #[serde(rename = "part", default)]
    pub fraction: f64,
    /// Number of those that are affected, instead of a fraction.
    #[serde(default)]
    pub count: u32,
    /// Factor of slowness or demand, fraction of connections that remain or of invocations that fail.
    #[serde(default)]
    pub factor: f64,
    /// Delay in seconds of reports, updates and handshakes; age of the tables that a rollback restores.
    #[serde(default)]
    pub delay_s: f64,
    /// The only locality that is affected; all if empty.
    #[serde(default)]
    pub locality: String,
}

/// A fault that is injected on purpose, to show that the evaluation detects it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InjectedFault {
    /// Forwarders acknowledge tables and do not apply them once servers drain.
    ForwarderIgnoresDrains,
    /// Every effect at a server takes place twice.
    ServerRepeatsEffects,
    /// Draining servers keep their weights.
    #[serde(rename = "supervisor_drops_suspensions")]
    SupervisorIgnoresDraining,
    /// Every failure is retried.
    #[serde(rename = "supervisor_repeats_all")]
    SupervisorRetriesEverything,
    /// Servers in slow start get many times their weight.
    #[serde(rename = "supervisor_cold_in_full")]
    SupervisorSkipsSlowStart,
    /// Every line changes and is sent again with each batch of actions.
    SupervisorFloods,
    /// Tables are sent without lines.
    SupervisorEmptiesTables,
    /// Supervisors and forwarders ignore epochs.
    #[serde(rename = "no_fence")]
    NoFencing,
    /// A rollback restores weights against the controller's decisions.
    #[serde(rename = "supervisor_way_outranks")]
    RollbackOverridesController,
}

impl InjectedFault {
    /// Name of the fault in a supervisor's configuration, if supervisors have it.
    pub fn supervisor_name(self) -> Option<&'static str> {
        Some(match self {
            InjectedFault::SupervisorIgnoresDraining => "drop_suspensions",
            InjectedFault::SupervisorRetriesEverything => "repeat_all",
            InjectedFault::SupervisorSkipsSlowStart => "cold_in_full",
            InjectedFault::SupervisorFloods => "flood",
            InjectedFault::SupervisorEmptiesTables => "empty_tables",
            InjectedFault::NoFencing => "no_fence",
            InjectedFault::RollbackOverridesController => "way_outranks",
            InjectedFault::ForwarderIgnoresDrains | InjectedFault::ServerRepeatsEffects => return None,
        })
    }
}

/// Converts milliseconds to nanoseconds, rounded; negative times become 0.
pub fn nanos_from_ms(ms: f64) -> u64 {
    (ms * NANOS_PER_MS).round().max(0.0) as u64
}

impl Scenario {
    /// Reads and checks a scenario file. Errors name file, line, key and remedy.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        Scenario::parse(file, &FileError::read(file)?)
    }

    /// Parses and checks a scenario; `file` is only named in errors. Errors name file, line, key and remedy.
    pub fn parse(file: &Path, text: &str) -> Result<Self, FileError> {
        let scenario: Scenario = FileError::parse(file, text)?;
        let invalid = |line: usize, key: &str, problem: String, remedy: &str| {
            let (key, remedy) = (key.to_owned(), remedy.to_owned());
            Err(FileError::InvalidSetting { file: file.to_owned(), line, key, problem, remedy })
        };
        let line_of = |key: &str| {
            let sets_key = |line: &str| line.split('=').next().is_some_and(|name| name.trim() == key);
            text.lines().position(sets_key).map_or(1, |index| index + 1)
        };
        let ranges = [
            ("length_s", scenario.length_s, MIN_LENGTH_S, MAX_LENGTH_S),
            ("servers", scenario.fleet.servers.into(), 1.0, MAX_SERVERS),
            ("rate", scenario.demand.rate, MIN_RATE, MAX_RATE),
            ("service", scenario.expect.service, 0.0, 1.0),
            ("tip_multiple", scenario.rules.overload_ratio, 1.0, MAX_OVERLOAD_RATIO),
        ];
        for (key, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                let remedy = format!("give a number from {min} to {max}");
                return invalid(line_of(key), key, format!("{value} is out of range"), &remedy);
            }
        }
        if scenario.localities.is_empty() || scenario.kinds.is_empty() || scenario.operations.is_empty() {
            return invalid(
                1,
                "localities, kind, operation",
                "one of them is empty".into(),
                "name at least one each",
            );
        }
        if let Some(group) = scenario.group.as_ref().filter(|group| !group.keyed.is_empty()) {
            if scenario.keyed_operation().is_none() || group.ranges == 0 {
                let problem = format!("{:?} by {} ranges", group.keyed, group.ranges);
                return invalid(
                    line_of("keyed"),
                    "shared.keyed",
                    problem,
                    "name an operation, and ranges above 0",
                );
            }
        }
        for name in scenario.expect.operations.keys() {
            if !scenario.operations.iter().any(|operation| operation.name == *name) {
                return invalid(
                    line_of(name),
                    name,
                    "no such operation".into(),
                    "name one that the file has",
                );
            }
        }
        let section_lines: Vec<usize> = (text.lines().enumerate())
            .filter(|(_, line)| line.trim() == "[[trouble]]")
            .map(|(index, _)| index + 1)
            .collect();
        for (index, fault) in scenario.faults.iter().enumerate() {
            let line = section_lines.get(index).copied().unwrap_or(1);
            let end = fault.at_s + fault.for_s;
            if fault.at_s < 0.0 || fault.for_s < 0.0 || end > scenario.length_s {
                let problem = format!("from {} s to {end} s", fault.at_s);
                return invalid(line, "trouble.at_s", problem, "keep within length_s");
            }
            if !(0.0..=1.0).contains(&fault.fraction) {
                let problem = format!("{} is not a fraction", fault.fraction);
                return invalid(line, "trouble.part", problem, "give a number from 0 to 1");
            }
            use FaultKind::{LinksCut, LinksFlap, LinksOneWay, MoveRanges, Order};
            if [LinksCut, LinksFlap, LinksOneWay, MoveRanges, Order].contains(&fault.kind)
                && scenario.group.is_none()
            {
                let problem = format!("{:?} among supervisors that form no group", fault.kind);
                return invalid(line, "trouble.kind", problem, "add a [shared] section");
            }
            if !fault.locality.is_empty() && !scenario.localities.contains(&fault.locality) {
                let problem = format!("no locality {:?}", fault.locality);
                return invalid(line, "trouble.locality", problem, "name one of `localities`");
            }
        }
        Ok(scenario)
    }

    /// Position of the operation that is routed by key ranges.
    pub fn keyed_operation(&self) -> Option<usize> {
        let group = self.group.as_ref()?;
        self.operations.iter().position(|operation| operation.name == group.keyed)
    }

    /// The machine models for the stand-ins.
    pub fn kind_plans(&self) -> Vec<ServerKindPlan> {
        let plan = |kind: &ServerKind| ServerKindPlan {
            cores: kind.cores,
            speed: kind.speed,
            queue_capacity: kind.queue,
            max_connections: kind.connections,
            cold_capacity_fraction: kind.initial_capacity,
            warm_up_duration: nanos_from_ms(kind.slow_start_s * MS_PER_SECOND),
        };
        self.kinds.iter().map(plan).collect()
    }

    /// The operations for the stand-ins.
    pub fn operation_plans(&self) -> Vec<OperationPlan> {
        let plan = |operation: &Operation| OperationPlan {
            name: operation.name.clone(),
            effect: operation.effect,
            deduplication_scope: operation.deduplication_scope,
            deduplication_window: nanos_from_ms(operation.deduplication_window_ms),
            latency_objective: nanos_from_ms(operation.latency_objective_ms),
            integration_timeout: nanos_from_ms(operation.integration_timeout_ms),
            billed_value: operation.billed_value,
            share: operation.share,
            mean_work: nanos_from_ms(operation.work_ms),
        };
        self.operations.iter().map(plan).collect()
    }

    /// Longest slow start of all machine models, in seconds.
    pub fn slow_start_s(&self) -> f64 {
        self.kinds.iter().map(|kind| kind.slow_start_s).fold(0.0, f64::max)
    }

    /// Text of the configuration file of one supervisor.
    ///
    /// `listen` has its addresses for forwarders, for balancers and for operators; `members` has those of the group.
    pub fn deployment(
        &self,
        number: u16,
        listen: [&str; 3],
        registry: &str,
        folder: &str,
        members: &[String],
    ) -> String {
        let [listen, sasp, admin] = listen;
        let (fleet, forwarders, supervisors, rules) =
            (&self.fleet, &self.forwarders, &self.supervisors, &self.rules);
        let initial_capacity = self.kinds.iter().map(|kind| kind.initial_capacity).fold(1.0, f64::min);
        let mut text = format!(
            "listen = {listen:?}\nregistry = {registry:?}\nfolder = {folder:?}\nseed = {seed}\n\
             supervisor = {number}\nsupervisors = {count}\nlocality = {locality:?}\nlocalities = {localities:?}\n\
             tick_ms = {tick:?}\n",
            seed = self.seed + u64::from(number),
            count = supervisors.count,
            locality = self.localities[usize::from(number) % self.localities.len()],
            localities = self.localities,
            tick = supervisors.tick_ms,
        );
        let effect_name = |effect| match effect {
            EffectKind::Idempotent => "idempotent",
            EffectKind::Fingerprinted => "fingerprinted",
            EffectKind::SideEffecting => "side_effecting",
        };
        let scope_name = |scope| match scope {
            DeduplicationScope::Everywhere => "everywhere",
            DeduplicationScope::Locality => "locality",
            DeduplicationScope::Cell => "cell",
        };
        text += &format!(
            "\n[list]\nmembership = {:?}\nsizes = {:?}\nask_every_ms = {LIST_POLL_INTERVAL_MS:?}\n\n[forwarders]\ncount = {}\n\
             admission = {:?}\nreport_cycle_ms = {:?}\nfails_to_avoid = {}\nfirst_wait = {:?}\n",
            fleet.membership,
            fleet.sizes,
            forwarders.count,
            forwarders.admission,
            forwarders.report_cycle_ms,
            forwarders.ejection_failure_threshold,
            forwarders.attempt_timeout_factor,
        );
        text += &format!(
            "\n[channel]\nlines_per_s = {:?}\nbacklog = {:?}\nmessage_overhead = {:?}\nmean_transit_ms = {:?}\n\
             worst_transit_ms = {:?}\nmessages_max = {}\nmessages_over_ms = {:?}\npaced = true\n",
            supervisors.lines_per_s,
            supervisors.backlog,
            supervisors.message_overhead,
            supervisors.mean_transit_ms,
            supervisors.worst_transit_ms,
            supervisors.messages_max,
            supervisors.messages_over_ms,
        );
        text += &format!(
            "\n[rules]\nempty_for_ms = {:?}\ndrain_grace_ms = {:?}\ncold_from = {initial_capacity:?}\ncold_for_ms = {:?}\n\
             tip_multiple = {:?}\ntip_after_ms = {:?}\ngone_does_not_bind = {}\n",
            rules.max_empty_s * MS_PER_SECOND,
            rules.drain_grace_s * MS_PER_SECOND,
            self.slow_start_s() * MS_PER_SECOND,
            rules.overload_ratio,
            rules.overload_after_s * MS_PER_SECOND,
            rules.removal_is_advisory,
        );
        for operation in &self.operations {
            text += &format!(
                "\n[[operation]]\nname = {:?}\neffect = {:?}\nrepeat_scope = {:?}\nrepeat_window_ms = {:?}\n\
                 latency_objective_ms = {:?}\nintegration_timeout_ms = {:?}\nbilled_value = {:?}\n",
                operation.name,
                effect_name(operation.effect),
                scope_name(operation.deduplication_scope),
                operation.deduplication_window_ms,
                operation.latency_objective_ms,
                operation.integration_timeout_ms,
                operation.billed_value,
            );
        }
        if let Some(group) = &self.group {
            text += &format!(
                "\n[shared]\nname = \"drill\"\nmembers = {members:?}\nelection_ms = {:?}\ndrift = {:?}\nranges = {}\n\
                 tenure_ms = {:?}\nin_flight_ms = {:?}\n",
                group.election_ms, group.drift, group.ranges, group.tenure_ms, group.in_flight_ms,
            );
        }
        text += &format!("\n[admin]\nlisten = {admin:?}\n");
        if self.forwarders.balancers > 0 {
            text += &format!("\n[sasp]\nlisten = {sasp:?}\n");
        }
        text = format!("forgets = {}\n{text}", supervisors.forget);
        match self.injected_fault.and_then(InjectedFault::supervisor_name) {
            Some(fault) => format!("planted = {fault:?}\nunguarded = {}\n{text}", !self.guarded),
            None => text,
        }
    }
}
