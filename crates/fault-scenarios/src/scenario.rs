//! A drill's file: fleet, demand, troubles with times, and the service that is expected.

use std::path::Path;

use serde::Deserialize;
use shalereel_standins::{KindPlan, OperationPlan, Pick, Repeats, WhichEffect};
use shalereel_xds_supervisor::FileError;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub title: String,
    pub length_s: f64,
    #[serde(default)]
    pub seed: u64,
    pub localities: Vec<String>,
    pub fleet: Fleet,
    #[serde(rename = "kind")]
    pub kinds: Vec<ServerKind>,
    #[serde(rename = "operation")]
    pub operations: Vec<Operation>,
    pub demand: Demand,
    pub forwarders: Forwarders,
    pub supervisors: Supervisors,
    /// The supervisors are a group; each acts alone unless given.
    #[serde(rename = "shared", default)]
    pub group: Option<GroupSettings>,
    pub rules: Rules,
    pub expect: Expect,
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Fault>,
    #[serde(rename = "planted", default)]
    pub injected_fault: Option<InjectedFault>,
    /// The guard stands before a planted fault; without, the fault shows.
    #[serde(default)]
    pub guarded: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub servers: u32,
    pub cell_size: u32,
    /// `pushed` or `asked`.
    pub membership: String,
    /// `untold`, `rough` or `nominal`.
    pub sizes: String,
    /// The list tells that a server died so much later, and that one started.
    pub notice_s: f64,
    pub add_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerKind {
    pub share: f64,
    pub cores: u32,
    pub speed: f64,
    pub queue: u32,
    pub connections: u32,
    pub cold_from: f64,
    pub cold_for_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    pub name: String,
    pub effect: WhichEffect,
    #[serde(default)]
    pub repeats: Repeats,
    #[serde(default)]
    pub repeat_window_ms: f64,
    pub latency_objective_ms: f64,
    pub integration_timeout_ms: f64,
    pub billed_value: f64,
    pub share: f64,
    pub work_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Invocations a second.
    pub rate: f64,
    pub retries: u32,
    pub backoff_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Forwarders {
    pub count: u32,
    pub pick: Pick,
    pub standing: usize,
    pub fails_to_avoid: u32,
    pub avoid_s: f64,
    pub first_wait: f64,
    pub redial_ms: (f64, f64),
    pub report_cycle_ms: f64,
    /// `ratio` or `ignored`.
    pub admission: String,
    #[serde(default)]
    pub incremental: bool,
    /// They take tables line by line.
    #[serde(default)]
    pub lines: bool,
    /// So many of them are balancers that take weights by SASP.
    #[serde(default)]
    pub balancers: u32,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Supervisors {
    pub count: u16,
    pub tick_ms: f64,
    pub lines_per_s: f64,
    pub backlog: f64,
    pub message_overhead: f64,
    pub mean_transit_ms: f64,
    pub worst_transit_ms: f64,
    #[serde(default)]
    pub messages_max: u32,
    #[serde(default)]
    pub messages_over_ms: f64,
    /// Nothing that they learn survives a restart.
    #[serde(default)]
    pub forget: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    pub election_ms: f64,
    pub drift: f64,
    #[serde(default)]
    pub ranges: u32,
    pub tenure_ms: f64,
    pub in_flight_ms: f64,
    /// The operation that goes by key ranges, by name.
    #[serde(default)]
    pub keyed: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    pub empty_for_s: f64,
    pub drain_grace_s: f64,
    pub tip_multiple: f64,
    pub tip_after_s: f64,
    #[serde(default)]
    pub gone_does_not_bind: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Billed value answered in time over billed value asked for.
    pub service: f64,
    /// The same for single operations, by name.
    #[serde(default)]
    pub operations: std::collections::BTreeMap<String, f64>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    Crash,
    Silence,
    Hang,
    Slow,
    FastErrors,
    Neighbour,
    SharedSlow,
    FalseReports,
    Misreport,
    Drain,
    Deploy,
    MassRestart,
    Squeeze,
    Handshake,
    LateReports,
    WrongList,
    EmptyList,
    RegistryAway,
    RegistryMute,
    LocalityCut,
    ForwarderCrash,
    ForwarderStall,
    ForwarderDeaf,
    TurnDown,
    GhostReports,
    OddBalancers,
    SupervisorCrash,
    SupervisorStall,
    SupervisorPause,
    LinksCut,
    LinksOneWay,
    LinksFlap,
    Order,
    LossyLinks,
    WayBack,
    MoveRanges,
    SlowChannel,
    Surge,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub for_s: f64,
    pub kind: FaultKind,
    /// Part of the servers, forwarders or supervisors that it hits; of failed invocations with `fast_errors`.
    #[serde(default)]
    pub part: f64,
    /// How many it hits, instead of a part.
    #[serde(default)]
    pub count: u32,
    /// Slowness, surge, or part of the connections left.
    #[serde(default)]
    pub factor: f64,
    /// Lateness of reports and handshakes.
    #[serde(default)]
    pub delay_s: f64,
    /// Only in this locality.
    #[serde(default)]
    pub locality: String,
}

/// A fault put in on purpose, to show that the judge finds it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InjectedFault {
    ForwarderIgnoresDrains,
    ServerRepeatsEffects,
    SupervisorDropsSuspensions,
    SupervisorRepeatsAll,
    SupervisorColdInFull,
    SupervisorFloods,
    SupervisorEmptiesTables,
    NoFence,
    SupervisorWayOutranks,
}

impl InjectedFault {
    /// The supervisor's own name for it, where it is one of its faults.
    pub fn of_supervisor(self) -> Option<&'static str> {
        Some(match self {
            InjectedFault::SupervisorDropsSuspensions => "drop_suspensions",
            InjectedFault::SupervisorRepeatsAll => "repeat_all",
            InjectedFault::SupervisorColdInFull => "cold_in_full",
            InjectedFault::SupervisorFloods => "flood",
            InjectedFault::SupervisorEmptiesTables => "empty_tables",
            InjectedFault::NoFence => "no_fence",
            InjectedFault::SupervisorWayOutranks => "way_outranks",
            InjectedFault::ForwarderIgnoresDrains | InjectedFault::ServerRepeatsEffects => return None,
        })
    }
}

pub fn nanos(ms: f64) -> u64 {
    (ms * 1e6).round().max(0.0) as u64
}

impl Scenario {
    pub fn read(file: &Path) -> Result<Self, FileError> {
        Scenario::parse(file, &FileError::read(file)?)
    }

    /// `file` is only named in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, FileError> {
        let day: Scenario = FileError::parse(file, text)?;
        let refuse = |line: usize, key: &str, problem: String, remedy: &str| {
            let (key, remedy) = (key.to_owned(), remedy.to_owned());
            Err(FileError::InvalidSetting { file: file.to_owned(), line, key, problem, remedy })
        };
        let line_of = |key: &str| {
            let stands = |line: &str| line.split('=').next().is_some_and(|name| name.trim() == key);
            text.lines().position(stands).map_or(1, |at| at + 1)
        };
        let figures = [
            ("length_s", day.length_s, 1.0, 86_400.0),
            ("servers", day.fleet.servers.into(), 1.0, 5_000.0),
            ("rate", day.demand.rate, 0.01, 1e6),
            ("service", day.expect.service, 0.0, 1.0),
            ("tip_multiple", day.rules.tip_multiple, 1.0, 1e6),
        ];
        for (key, value, least, most) in figures {
            if !(least..=most).contains(&value) {
                let remedy = format!("give a number from {least} to {most}");
                return refuse(line_of(key), key, format!("{value} is out of range"), &remedy);
            }
        }
        if day.localities.is_empty() || day.kinds.is_empty() || day.operations.is_empty() {
            return refuse(
                1,
                "localities, kind, operation",
                "one of them is empty".into(),
                "name at least one each",
            );
        }
        if let Some(shared) = day.group.as_ref().filter(|shared| !shared.keyed.is_empty()) {
            if day.keyed().is_none() || shared.ranges == 0 {
                let problem = format!("{:?} by {} ranges", shared.keyed, shared.ranges);
                return refuse(
                    line_of("keyed"),
                    "shared.keyed",
                    problem,
                    "name an operation, and ranges above 0",
                );
            }
        }
        for name in day.expect.operations.keys() {
            if !day.operations.iter().any(|operation| operation.name == *name) {
                return refuse(line_of(name), name, "no such operation".into(), "name one that the file has");
            }
        }
        let places: Vec<usize> = (text.lines().enumerate())
            .filter(|(_, line)| line.trim() == "[[trouble]]")
            .map(|(at, _)| at + 1)
            .collect();
        for (at, trouble) in day.faults.iter().enumerate() {
            let line = places.get(at).copied().unwrap_or(1);
            let end = trouble.at_s + trouble.for_s;
            if trouble.at_s < 0.0 || trouble.for_s < 0.0 || end > day.length_s {
                let problem = format!("from {} s to {end} s", trouble.at_s);
                return refuse(line, "trouble.at_s", problem, "keep within length_s");
            }
            if !(0.0..=1.0).contains(&trouble.part) {
                let problem = format!("{} is no part", trouble.part);
                return refuse(line, "trouble.part", problem, "give a number from 0 to 1");
            }
            use FaultKind::{LinksCut, LinksFlap, LinksOneWay, MoveRanges, Order};
            if [LinksCut, LinksFlap, LinksOneWay, MoveRanges, Order].contains(&trouble.kind)
                && day.group.is_none()
            {
                let problem = format!("{:?} among supervisors that share nothing", trouble.kind);
                return refuse(line, "trouble.kind", problem, "add a [shared] section");
            }
            if !trouble.locality.is_empty() && !day.localities.contains(&trouble.locality) {
                let problem = format!("no locality {:?}", trouble.locality);
                return refuse(line, "trouble.locality", problem, "name one of `localities`");
            }
        }
        Ok(day)
    }

    /// Position of the operation that goes by key ranges.
    pub fn keyed(&self) -> Option<usize> {
        let shared = self.group.as_ref()?;
        self.operations.iter().position(|operation| operation.name == shared.keyed)
    }

    pub fn kind_plans(&self) -> Vec<KindPlan> {
        let plan = |kind: &ServerKind| KindPlan {
            cores: kind.cores,
            speed: kind.speed,
            queue: kind.queue,
            connections: kind.connections,
            cold_from: kind.cold_from,
            cold_for: nanos(kind.cold_for_s * 1e3),
        };
        self.kinds.iter().map(plan).collect()
    }

    pub fn operation_plans(&self) -> Vec<OperationPlan> {
        let plan = |operation: &Operation| OperationPlan {
            name: operation.name.clone(),
            effect: operation.effect,
            repeats: operation.repeats,
            repeat_window: nanos(operation.repeat_window_ms),
            latency_objective: nanos(operation.latency_objective_ms),
            integration_timeout: nanos(operation.integration_timeout_ms),
            billed_value: operation.billed_value,
            share: operation.share,
            work: nanos(operation.work_ms),
        };
        self.operations.iter().map(plan).collect()
    }

    pub fn cold_for_s(&self) -> f64 {
        self.kinds.iter().map(|kind| kind.cold_for_s).fold(0.0, f64::max)
    }

    /// A supervisor's own file for this day.
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
        let cold_from = self.kinds.iter().map(|kind| kind.cold_from).fold(1.0, f64::min);
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
        let name = |effect| match effect {
            WhichEffect::Idempotent => "idempotent",
            WhichEffect::Fingerprinted => "fingerprinted",
            WhichEffect::SideEffecting => "side_effecting",
        };
        let scope = |repeats| match repeats {
            Repeats::Everywhere => "everywhere",
            Repeats::Locality => "locality",
            Repeats::Cell => "cell",
        };
        text += &format!(
            "\n[list]\nmembership = {:?}\nsizes = {:?}\nask_every_ms = 10000.0\n\n[forwarders]\ncount = {}\n\
             admission = {:?}\nreport_cycle_ms = {:?}\nfails_to_avoid = {}\nfirst_wait = {:?}\n",
            fleet.membership,
            fleet.sizes,
            forwarders.count,
            forwarders.admission,
            forwarders.report_cycle_ms,
            forwarders.fails_to_avoid,
            forwarders.first_wait,
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
            "\n[rules]\nempty_for_ms = {:?}\ndrain_grace_ms = {:?}\ncold_from = {cold_from:?}\ncold_for_ms = {:?}\n\
             tip_multiple = {:?}\ntip_after_ms = {:?}\ngone_does_not_bind = {}\n",
            rules.empty_for_s * 1e3,
            rules.drain_grace_s * 1e3,
            self.cold_for_s() * 1e3,
            rules.tip_multiple,
            rules.tip_after_s * 1e3,
            rules.gone_does_not_bind,
        );
        for operation in &self.operations {
            text += &format!(
                "\n[[operation]]\nname = {:?}\neffect = {:?}\nrepeat_scope = {:?}\nrepeat_window_ms = {:?}\n\
                 latency_objective_ms = {:?}\nintegration_timeout_ms = {:?}\nbilled_value = {:?}\n",
                operation.name,
                name(operation.effect),
                scope(operation.repeats),
                operation.repeat_window_ms,
                operation.latency_objective_ms,
                operation.integration_timeout_ms,
                operation.billed_value,
            );
        }
        if let Some(shared) = &self.group {
            text += &format!(
                "\n[shared]\nname = \"drill\"\nmembers = {members:?}\nelection_ms = {:?}\ndrift = {:?}\nranges = {}\n\
                 tenure_ms = {:?}\nin_flight_ms = {:?}\n",
                shared.election_ms, shared.drift, shared.ranges, shared.tenure_ms, shared.in_flight_ms,
            );
        }
        text += &format!("\n[admin]\nlisten = {admin:?}\n");
        if self.forwarders.balancers > 0 {
            text += &format!("\n[sasp]\nlisten = {sasp:?}\n");
        }
        text = format!("forgets = {}\n{text}", supervisors.forget);
        match self.injected_fault.and_then(InjectedFault::of_supervisor) {
            Some(fault) => format!("planted = {fault:?}\nunguarded = {}\n{text}", !self.guarded),
            None => text,
        }
    }
}
