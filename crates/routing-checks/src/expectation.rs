//! The file of expectations, and what each asks of a table.

use std::path::Path;

use serde::Deserialize;
use shalereel_xds_supervisor::{Deployment, FileError};

use crate::fleet::{Seen, View};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    fleet: FleetFile,
    #[serde(rename = "expect")]
    expectations: Vec<ExpectationFile>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    servers: Option<u32>,
    #[serde(default)]
    sizes: Vec<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectationFile {
    name: String,
    operation: Option<String>,
    from: Option<String>,
    of: String,
    locality: Option<String>,
    #[serde(default)]
    each: bool,
    at_most: Option<f64>,
    at_least: Option<f64>,
    servers_at_least: Option<usize>,
}

/// Which servers an expectation is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Drain or are gone.
    Out,
    /// Not warm yet.
    Fresh,
    Warm,
    Locality(u16),
    All,
}

/// What is asked of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Bound {
    AtMost(f64),
    AtLeast(f64),
    Servers(usize),
}

#[derive(Clone, Debug)]
pub struct Expectation {
    pub name: String,
    /// Only forwarders of this locality.
    pub from: Option<u16>,
    pub group: Group,
    /// Each server of the group alone.
    pub(crate) each: bool,
    pub(crate) bound: Bound,
}

#[derive(Clone, Debug)]
pub struct Expectations {
    pub all: Vec<Expectation>,
    /// Servers of the fleet as it is, and their sizes in turn.
    pub servers: u32,
    pub sizes: Vec<f64>,
}

/// Where the file names no fleet: one server for each forwarder, eight at least.
const LEAST: u32 = 8;

/// Reads a file of expectations for a deployment. Errors: named with file, line, key and remedy.
pub fn read_expectations(file: &Path, deployment: &Deployment) -> Result<Expectations, FileError> {
    let text = FileError::read(file)?;
    let told: File = FileError::parse(file, &text)?;
    let places: Vec<usize> = (text.lines().enumerate())
        .filter(|(_, line)| line.trim() == "[[expect]]")
        .map(|(at, _)| at + 1)
        .collect();
    let mut all = Vec::new();
    for (at, one) in told.expectations.into_iter().enumerate() {
        let refuse = |key: &str, problem: String, remedy: &str| FileError::InvalidSetting {
            file: file.to_owned(),
            line: places.get(at).copied().unwrap_or(1),
            key: format!("expect.{key}"),
            problem: format!("{:?}: {problem}", one.name),
            remedy: remedy.to_owned(),
        };
        let locality = |key: &str, name: &str| {
            let found = deployment.localities.iter().position(|known| known == name);
            found.map(|at| at as u16).ok_or_else(|| {
                refuse(key, format!("no locality {name:?}"), "name one of the configuration's `localities`")
            })
        };
        if let Some(operation) = one.operation.as_ref().filter(|name| !deployment.operations.contains(name)) {
            let problem = format!("no operation {operation:?}");
            return Err(refuse("operation", problem, "name one of the configuration's operations"));
        }
        let from = one.from.as_deref().map(|name| locality("from", name)).transpose()?;
        let group = match (one.of.as_str(), one.locality.as_deref()) {
            ("draining", None) => Group::Out,
            ("fresh", None) => Group::Fresh,
            ("warm", None) => Group::Warm,
            ("all", None) => Group::All,
            ("locality", Some(name)) => Group::Locality(locality("locality", name)?),
            (other, _) => {
                let remedy = "say draining, fresh, warm, all, or locality with a `locality`";
                return Err(refuse("of", format!("{other:?} is no group"), remedy));
            }
        };
        let bound = match (one.at_most, one.at_least, one.servers_at_least) {
            (Some(part), None, None) => Bound::AtMost(part),
            (None, Some(part), None) => Bound::AtLeast(part),
            (None, None, Some(count)) => Bound::Servers(count),
            _ => {
                let remedy = "give one of at_most, at_least and servers_at_least";
                return Err(refuse("at_most", "not one bound".into(), remedy));
            }
        };
        if let Bound::AtMost(part) | Bound::AtLeast(part) = bound {
            if !(0.0..=1.0).contains(&part) {
                let key = if one.at_most.is_some() { "at_most" } else { "at_least" };
                return Err(refuse(key, format!("{part} is no part"), "give a number from 0 to 1"));
            }
        }
        all.push(Expectation { name: one.name, from, group, each: one.each, bound });
    }
    let servers = told.fleet.servers.unwrap_or(deployment.config.proxy_count.max(LEAST));
    let sizes = if told.fleet.sizes.is_empty() { vec![1.0] } else { told.fleet.sizes };
    Ok(Expectations { all, servers: servers.clamp(1, 1000), sizes })
}

impl Group {
    pub(crate) fn has(self, seen: &Seen) -> bool {
        match self {
            Group::Out => seen.out,
            Group::Fresh => seen.able < 1.0 && !seen.out,
            Group::Warm => seen.able >= 1.0 && !seen.out,
            Group::Locality(locality) => seen.locality == locality,
            Group::All => true,
        }
    }
}

impl Expectation {
    /// What a table has of it, where that is not what is expected: the figure, and of which server.
    pub fn broken(&self, view: &View) -> Option<(f64, Option<u32>)> {
        let total: f64 = view.servers.iter().map(Seen::open).sum();
        let share = |seen: &Seen| if total > 0.0 { seen.open() / total } else { 0.0 };
        let members = || view.servers.iter().filter(|seen| self.group.has(seen));
        // Of a group without a server nothing is expected.
        members().next()?;
        match self.bound {
            Bound::Servers(count) => {
                let open = members().filter(|seen| seen.open() > 0.0).count();
                (open < count.min(members().filter(|seen| !seen.out).count())).then_some((open as f64, None))
            }
            Bound::AtMost(part) if self.each => {
                let most = members().max_by(|a, b| share(a).total_cmp(&share(b)))?;
                (share(most) > part + SLACK).then_some((share(most), Some(most.server)))
            }
            Bound::AtLeast(part) if self.each => {
                let least = members().min_by(|a, b| share(a).total_cmp(&share(b)))?;
                (share(least) < part - SLACK).then_some((share(least), Some(least.server)))
            }
            Bound::AtMost(part) => {
                let sum: f64 = members().map(share).sum();
                (sum > part + SLACK).then_some((sum, None))
            }
            Bound::AtLeast(part) => {
                let sum: f64 = members().map(share).sum();
                (sum < part - SLACK).then_some((sum, None))
            }
        }
    }

    pub(crate) fn asked(&self) -> String {
        match self.bound {
            Bound::AtMost(part) => format!("{part} at most"),
            Bound::AtLeast(part) => format!("{part} at least"),
            Bound::Servers(count) => format!("{count} servers at least"),
        }
    }
}

/// Weights are rounded on the wire.
const SLACK: f64 = 1e-6;
