//! The deployment's file: TOML in, startup facts and addresses out. Unknown or missing keys, wrong units and
//! figures out of range are refused with file, line, key and remedy.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Deserialize;
use shalereel::interface::{
    AdmissionMode, ControllerConfig, DeduplicationScope, Idempotency, ListedCapacity, LoadColumn, LoadSource,
    Nanos, Operation,
};
use shalereel_group::wire::{Duty, MemberAddress};
use shalereel_group::{GroupConfig, TimingSettings};
use shalereel_store::RetentionLimits;
use thiserror::Error;

use crate::patience::Patience;

/// What is wrong with a file that an operator wrote.
#[derive(Debug, Error)]
pub enum FileError {
    #[error("{file}: cannot be read: {error}")]
    Unreadable { file: PathBuf, error: std::io::Error },
    #[error("{file}: {error}")]
    Malformed { file: PathBuf, error: Box<toml::de::Error> },
    #[error("{file}:{line}: {key}: {problem}; {remedy}")]
    Refused { file: PathBuf, line: usize, key: String, problem: String, remedy: String },
}

impl FileError {
    /// The whole text of a file.
    pub fn read(file: &Path) -> Result<String, FileError> {
        fs::read_to_string(file).map_err(|error| FileError::Unreadable { file: file.to_owned(), error })
    }

    /// The text as what it should be.
    pub fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, FileError> {
        toml::from_str(text)
            .map_err(|error| FileError::Malformed { file: file.to_owned(), error: Box::new(error) })
    }
}

/// What the file says, as it stands there. Times are milliseconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    registry: SocketAddr,
    folder: PathBuf,
    #[serde(default)]
    seed: u64,
    supervisor: u16,
    supervisors: u16,
    locality: String,
    localities: Vec<String>,
    tick_ms: f64,
    #[serde(rename = "operation")]
    operations: Vec<OperationFile>,
    list: ListFile,
    /// The second front; off unless given.
    sasp: Option<ListenFile>,
    /// A group of supervisors; none unless given.
    shared: Option<SharedFile>,
    /// Bounds of the tables' history; derived ones unless given.
    #[serde(default)]
    tables: TablesFile,
    /// Nothing that is learned survives a restart.
    #[serde(default)]
    forgets: bool,
    /// Where operators ask; nowhere unless given.
    admin: Option<ListenFile>,
    forwarders: ForwardersFile,
    channel: ChannelFile,
    rules: RulesFile,
    planted: Option<Planted>,
    /// No guard looks at tables: to show what planted faults do. Never in service.
    #[serde(default)]
    unguarded: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperationFile {
    name: String,
    effect: EffectFile,
    #[serde(default)]
    repeat_scope: ScopeFile,
    #[serde(default)]
    repeat_window_ms: f64,
    latency_objective_ms: f64,
    integration_timeout_ms: f64,
    billed_value: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectFile {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ScopeFile {
    Everywhere,
    Locality,
    #[default]
    Cell,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenFile {
    listen: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TablesFile {
    versions: Option<u32>,
    megabytes: Option<f64>,
    hours: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SharedFile {
    name: String,
    /// Where each is reached, by number; this one's own among them.
    members: Vec<SocketAddr>,
    #[serde(default)]
    joining: bool,
    election_ms: f64,
    drift: f64,
    #[serde(default)]
    ranges: u32,
    tenure_ms: f64,
    in_flight_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListFile {
    membership: MembershipFile,
    #[serde(default)]
    ask_every_ms: f64,
    sizes: SizesFile,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MembershipFile {
    Pushed,
    Asked,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SizesFile {
    Untold,
    Rough,
    Nominal,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ForwardersFile {
    count: u32,
    admission: AdmissionFile,
    report_cycle_ms: f64,
    #[serde(default)]
    fails_to_avoid: u32,
    first_wait: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum AdmissionFile {
    Ignored,
    Ratio,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChannelFile {
    lines_per_s: f64,
    backlog: f64,
    message_overhead: f64,
    mean_transit_ms: f64,
    worst_transit_ms: f64,
    #[serde(default)]
    messages_max: u32,
    #[serde(default)]
    messages_over_ms: f64,
    paced: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RulesFile {
    empty_for_ms: f64,
    drain_grace_ms: f64,
    cold_from: f64,
    cold_for_ms: f64,
    tip_multiple: f64,
    tip_after_ms: f64,
    #[serde(default)]
    gone_does_not_bind: bool,
}

/// A fault put into a supervisor on purpose, to show that a judge of traffic can find it. Never in service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Planted {
    /// Servers that drain keep their lines.
    DropSuspensions,
    /// Any failure is tried again, twice.
    RepeatAll,
    /// Cold servers get the weight of many.
    ColdInFull,
    /// Every line is written again and again.
    Flood,
    /// Tables go out with no line.
    EmptyTables,
    /// Neither epochs nor leases bind this member of a group.
    NoFence,
    /// A way back brings its servers back whatever the module says.
    WayOutranks,
}

/// What the file says of the tables' history; what it leaves out is derived.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    versions: Option<usize>,
    bytes: Option<usize>,
    age: Option<Nanos>,
}

impl History {
    /// The derived bounds, with those that the file names in their place.
    pub fn bounds(&self, derived: RetentionLimits) -> RetentionLimits {
        RetentionLimits {
            versions: self.versions.unwrap_or(derived.versions),
            bytes: self.bytes.unwrap_or(derived.bytes),
            age: self.age.unwrap_or(derived.age),
        }
    }
}

/// What a supervisor needs to run.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub listen: SocketAddr,
    pub registry: SocketAddr,
    /// Where balancers are served by SASP; nowhere unless given.
    pub sasp: Option<SocketAddr>,
    pub history: History,
    /// Nothing that is learned survives a restart.
    pub forgets: bool,
    /// Where operators ask about tables; nowhere unless given.
    pub admin: Option<SocketAddr>,
    /// The group that it belongs to, and how many key ranges that has.
    pub shared: Option<(GroupConfig, u32)>,
    /// Where the last list is kept.
    pub folder: PathBuf,
    /// Batches are at least so far apart.
    pub tick: Nanos,
    pub operations: Vec<String>,
    pub localities: Vec<String>,
    /// Does the channel keep to its pace? Off only to measure what the rest costs.
    pub paced: bool,
    pub facts: ControllerConfig,
    pub planted: Option<Planted>,
    /// No guard looks at tables. Never in service.
    pub unguarded: bool,
}

struct Checker<'a> {
    file: &'a Path,
    text: &'a str,
}

impl Checker<'_> {
    /// The line on which a key of a section stands; sections that come again are counted from 0.
    fn line(&self, section: &str, at: usize, key: &str) -> usize {
        let (mut here, mut seen) = (section.is_empty(), 0);
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                let named = line.trim_matches(|letter| letter == '[' || letter == ']') == section;
                here = named && seen == at;
                seen += usize::from(named);
            } else if here && line.split('=').next().is_some_and(|name| name.trim() == key) {
                return number + 1;
            }
        }
        1
    }

    fn refuse(&self, (section, at, key): (&str, usize, &str), problem: String, remedy: &str) -> FileError {
        FileError::Refused {
            file: self.file.to_owned(),
            line: self.line(section, at, key),
            key: if section.is_empty() { key.to_owned() } else { format!("{section}.{key}") },
            problem,
            remedy: remedy.to_owned(),
        }
    }

    fn within(
        &self,
        place: (&str, usize, &str),
        value: f64,
        (least, most): (f64, f64),
    ) -> Result<f64, FileError> {
        if value.is_finite() && (least..=most).contains(&value) {
            return Ok(value);
        }
        let remedy = format!("give a number from {least} to {most}");
        Err(self.refuse(place, format!("{value} is out of range"), &remedy))
    }

    fn span(&self, place: (&str, usize, &str), ms: f64, least: f64) -> Result<Nanos, FileError> {
        Ok((self.within(place, ms, (least, 86_400_000.0))? * 1e6).round() as Nanos)
    }
}

impl Checker<'_> {
    fn shared(
        &self,
        shared: &SharedFile,
        told: &File,
        facts: &ControllerConfig,
    ) -> Result<(GroupConfig, u32), FileError> {
        let at = |key| ("shared", 0, key);
        if let Some(address) = shared.members.iter().find(|address| !address.ip().is_loopback()) {
            let problem = format!("{address} is not a loopback address");
            return Err(self.refuse(at("members"), problem, "use 127.0.0.0/8 or [::1]"));
        }
        let own = usize::from(told.supervisor);
        if shared.members.len() < 1 + if shared.joining { 0 } else { own } || shared.members.len() > 9 {
            let problem = format!("{} addresses, for supervisor number {own}", shared.members.len());
            let remedy = "give one to nine, one for each number from 0 that the group began with";
            return Err(self.refuse(at("members"), problem, remedy));
        }
        self.within(at("drift"), shared.drift, (0.0, 0.2))?;
        self.within(at("ranges"), shared.ranges.into(), (0.0, 4096.0))?;
        let seat = |(number, address): (usize, &SocketAddr)| MemberAddress {
            id: number as u32,
            address: address.to_string(),
        };
        let tables = (0..told.operations.len() as u32).map(Duty::FenceTable);
        let drains = (0..told.localities.len() as u32).map(Duty::RunDrains);
        let charter = GroupConfig {
            id: own as u32,
            address: shared.members.get(own).unwrap_or(&told.listen).to_string(),
            name: shared.name.clone(),
            initial_voters: shared.members.iter().enumerate().map(seat).collect(),
            joining: shared.joining,
            timing: TimingSettings {
                election_timeout: self.span(at("election_ms"), shared.election_ms, 50.0)?,
                max_clock_drift: shared.drift,
                tenure: self.span(at("tenure_ms"), shared.tenure_ms, 50.0)?,
                max_in_flight: self.span(at("in_flight_ms"), shared.in_flight_ms, 0.0)?,
                max_batch_entries: Patience::new(facts).entries(),
            },
            seed: told.seed,
            duties: tables
                .chain(drains)
                .chain((0..shared.ranges).map(Duty::PlaceRange))
                .chain([Duty::MergeReports])
                .collect(),
            injected_fault: (told.planted == Some(Planted::NoFence))
                .then_some(shalereel_group::InjectedFault::NoFence),
        };
        Ok((charter, shared.ranges))
    }
}

impl Deployment {
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        Deployment::parse(file, &FileError::read(file)?)
    }

    /// `file` is only named in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, FileError> {
        let told: File = FileError::parse(file, text)?;
        let check = Checker { file, text };
        for (key, address) in [("listen", told.listen), ("registry", told.registry)] {
            if !address.ip().is_loopback() {
                let problem = format!("{address} is not a loopback address");
                return Err(check.refuse(("", 0, key), problem, "use 127.0.0.0/8 or [::1]"));
            }
        }
        let fronts = [("sasp", told.sasp.as_ref()), ("admin", told.admin.as_ref())];
        for (section, listen) in fronts {
            if let Some(address) = listen.map(|front| front.listen).filter(|at| !at.ip().is_loopback()) {
                let problem = format!("{address} is not a loopback address");
                return Err(check.refuse((section, 0, "listen"), problem, "use 127.0.0.0/8 or [::1]"));
            }
        }
        let Some(locality) = told.localities.iter().position(|name| *name == told.locality) else {
            let problem = format!("{:?} is not one of the localities", told.locality);
            return Err(check.refuse(("", 0, "locality"), problem, "name one of `localities`"));
        };
        if told.supervisor >= told.supervisors {
            let problem = format!("number {} of {} supervisors", told.supervisor, told.supervisors);
            return Err(check.refuse(("", 0, "supervisor"), problem, "count from 0"));
        }
        if told.operations.is_empty() || told.operations.len() > 16 {
            let problem = format!("{} operations", told.operations.len());
            return Err(check.refuse(("operation", 0, "name"), problem, "give 1 to 16 of them"));
        }
        let mut names = BTreeSet::new();
        let mut operations = Vec::new();
        for (at, operation) in told.operations.iter().enumerate() {
            let place = |key| ("operation", at, key);
            let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
            if operation.name.is_empty() || !operation.name.chars().all(plain) {
                let problem = format!("{:?} is no plain name", operation.name);
                return Err(check.refuse(place("name"), problem, "use letters, digits, '-', '_' and '.'"));
            }
            if !names.insert(&operation.name) {
                let problem = format!("{:?} comes twice", operation.name);
                return Err(check.refuse(place("name"), problem, "give each operation a name of its own"));
            }
            let latency_objective =
                check.span(place("latency_objective_ms"), operation.latency_objective_ms, 1.0)?;
            operations.push(Operation {
                idempotency: match operation.effect {
                    EffectFile::Idempotent => Idempotency::Idempotent,
                    EffectFile::Fingerprinted => Idempotency::Keyed,
                    EffectFile::SideEffecting => Idempotency::NonIdempotent,
                },
                deduplication_scope: match operation.repeat_scope {
                    ScopeFile::Everywhere => DeduplicationScope::Everywhere,
                    ScopeFile::Locality => DeduplicationScope::Locality,
                    ScopeFile::Cell => DeduplicationScope::Cell,
                },
                deduplication_window: check.span(
                    place("repeat_window_ms"),
                    operation.repeat_window_ms,
                    0.0,
                )?,
                latency_objective,
                timeout: check.span(
                    place("integration_timeout_ms"),
                    operation.integration_timeout_ms,
                    operation.latency_objective_ms,
                )?,
                priority_weight: check.within(place("billed_value"), operation.billed_value, (0.0, 1e6))?,
                local_only: false,
                writes: !matches!(operation.effect, EffectFile::Idempotent),
            });
        }
        let (channel, rules, forwarders) = (&told.channel, &told.rules, &told.forwarders);
        let at = |key| ("channel", 0, key);
        let rule = |key| ("rules", 0, key);
        let proxy = |key| ("forwarders", 0, key);
        let overhead = check.within(at("message_overhead"), channel.message_overhead, (0.0, 1e6))?;
        let worst_transit = check.span(at("worst_transit_ms"), channel.worst_transit_ms, 0.0)?;
        let facts = ControllerConfig {
            seed: told.seed,
            supervisor_index: told.supervisor,
            supervisor_count: told.supervisors,
            locality: locality as u16,
            locality_count: told.localities.len() as u16,
            operations,
            polls_endpoints: matches!(told.list.membership, MembershipFile::Asked),
            admission_mode: match forwarders.admission {
                AdmissionFile::Ignored => AdmissionMode::Ignored,
                AdmissionFile::Ratio => AdmissionMode::Ratio,
            },
            load_source: LoadSource::Reports,
            load_columns: vec![LoadColumn::Cpu],
            health_checks_allowed: true,
            listed_capacity: match told.list.sizes {
                SizesFile::Untold => ListedCapacity::Unknown,
                SizesFile::Rough => ListedCapacity::Approximate,
                SizesFile::Nominal => ListedCapacity::Nominal,
            },
            proxy_count: check.within(proxy("count"), forwarders.count.into(), (1.0, 60_000.0))? as u32,
            channel_capacity: check.within(at("backlog"), channel.backlog, (overhead + 2.0, 1e9))?,
            lines_per_s: check.within(at("lines_per_s"), channel.lines_per_s, (1.0, 1e9))?,
            message_overhead: overhead,
            report_interval: check.span(proxy("report_cycle_ms"), forwarders.report_cycle_ms, 10.0)?,
            max_unserved_time: check.span(rule("empty_for_ms"), rules.empty_for_ms, 0.0)?,
            first_wait: check.within(proxy("first_wait"), forwarders.first_wait, (0.0, 100.0))?,
            failures_to_avoid: forwarders.fails_to_avoid,
            slices: 0,
            sole_owner: false,
            lease_duration: 0,
            in_flight_max: 0,
            mean_transit: check.span(at("mean_transit_ms"), channel.mean_transit_ms, 0.0)?,
            worst_transit,
            message_limit: channel.messages_max,
            message_limit_window: check.span(at("messages_over_ms"), channel.messages_over_ms, 0.0)?,
            retry_default: 0,
            poll_interval: check.span(("list", 0, "ask_every_ms"), told.list.ask_every_ms, 0.0)?,
            slow_start_capacity: check.within(rule("cold_from"), rules.cold_from, (0.001, 1.0))?,
            slow_start_duration: check.span(rule("cold_for_ms"), rules.cold_for_ms, 0.0)?,
            overload_ratio: check.within(rule("tip_multiple"), rules.tip_multiple, (1.0, 1e6))?,
            overload_delay: check.span(rule("tip_after_ms"), rules.tip_after_ms, 0.0)?,
            drain_grace: check.span(rule("drain_grace_ms"), rules.drain_grace_ms, 0.0)?,
            removal_is_advisory: rules.gone_does_not_bind,
        };
        let (kept, place) = (&told.tables, |key| ("tables", 0, key));
        let within =
            |key, value: Option<f64>, range| value.map(|value| check.within(place(key), value, range));
        let versions = within("versions", kept.versions.map(f64::from), (1.0, 1e7)).transpose()?;
        let megabytes = within("megabytes", kept.megabytes, (0.1, 1e5)).transpose()?;
        let hours = within("hours", kept.hours, (0.01, 1e5)).transpose()?;
        let history = History {
            versions: versions.map(|versions| versions as usize),
            bytes: megabytes.map(|megabytes| (megabytes * 1e6) as usize),
            age: hours.map(|hours| (hours * 3600e9) as Nanos),
        };
        let shared = told.shared.as_ref().map(|shared| check.shared(shared, &told, &facts)).transpose()?;
        Ok(Deployment {
            shared,
            history,
            forgets: told.forgets,
            listen: told.listen,
            registry: told.registry,
            sasp: told.sasp.map(|front| front.listen),
            admin: told.admin.map(|front| front.listen),
            folder: told.folder,
            tick: check.span(("", 0, "tick_ms"), told.tick_ms, 0.0)?,
            operations: told.operations.into_iter().map(|operation| operation.name).collect(),
            localities: told.localities,
            paced: told.channel.paced,
            facts,
            planted: told.planted,
            unguarded: told.unguarded,
        })
    }
}
