//! The expectation file, and the check of one expectation on one table.

use std::path::Path;

use serde::Deserialize;
use shalereel_xds_supervisor::{Deployment, FileError};

use crate::fleet::{ServerEntry, TableView};

/// The content of an expectation file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectationFile {
    #[serde(default)]
    fleet: FleetSection,
    #[serde(rename = "expect")]
    expectations: Vec<ExpectationSection>,
}

/// The fleet that expectations are checked on.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetSection {
    servers: Option<u32>,
    #[serde(default)]
    sizes: Vec<f64>,
}

/// One expectation as the file has it; `of` names the group of servers, `from` the locality of the forwarders.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectationSection {
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

/// The servers of a table that an expectation applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerGroup {
    /// Servers that drain or have left the list; `draining` in the file.
    Unavailable,
    /// Available servers in slow start, which do not have their whole capacity yet.
    Fresh,
    /// Available servers that have their whole capacity.
    Warm,
    /// All servers of the locality at this position of `localities`.
    Locality(u16),
    /// All servers.
    All,
}

/// The bound that a group of servers must keep. A server is open if it has weight for new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Bound {
    /// The largest share of the table's weight, from 0 to 1.
    AtMost(f64),
    /// The smallest share of the table's weight, from 0 to 1.
    AtLeast(f64),
    /// The smallest number of open servers. A group with fewer available servers needs only all of those.
    ServersAtLeast(usize),
}

/// One expectation: a bound on a group of servers, either on its share of the weight or on its number of open servers.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The name of the expectation in reports.
    pub name: String,
    /// Position of the only locality whose forwarders it applies to; `None` applies to all.
    pub from: Option<u16>,
    /// The servers that it applies to.
    pub group: ServerGroup,
    /// Whether the bound applies to each server of the group instead of to the sum of the group.
    pub(crate) each: bool,
    pub(crate) bound: Bound,
}

/// The expectations of a file, and the fleet that they are checked on.
#[derive(Clone, Debug)]
pub struct ExpectationSet {
    /// All expectations, in the order of the file.
    pub expectations: Vec<Expectation>,
    /// Number of servers of the unchanged fleet.
    pub servers: u32,
    /// Listed capacities; the servers get them in turn, repeatedly.
    pub sizes: Vec<f64>,
}

/// Smallest number of servers of the default fleet, which has one server for each forwarder.
const MIN_DEFAULT_SERVERS: u32 = 8;

/// Largest number of servers of a fleet; larger ones are reduced to it.
const MAX_SERVERS: u32 = 1000;

/// Reads the expectation file of a deployment.
///
/// Errors: the file cannot be read or is invalid; the error names file, line, key and remedy.
pub fn read_expectations(file: &Path, deployment: &Deployment) -> Result<ExpectationSet, FileError> {
    let text = FileError::read(file)?;
    let parsed: ExpectationFile = FileError::parse(file, &text)?;
    let section_lines: Vec<usize> = (text.lines().enumerate())
        .filter(|(_, line)| line.trim() == "[[expect]]")
        .map(|(index, _)| index + 1)
        .collect();
    let mut expectations = Vec::new();
    for (index, section) in parsed.expectations.into_iter().enumerate() {
        let invalid = |key: &str, problem: String, remedy: &str| FileError::InvalidSetting {
            file: file.to_owned(),
            line: section_lines.get(index).copied().unwrap_or(1),
            key: format!("expect.{key}"),
            problem: format!("{:?}: {problem}", section.name),
            remedy: remedy.to_owned(),
        };
        let locality = |key: &str, name: &str| {
            let position = deployment.localities.iter().position(|known| known == name);
            position.map(|position| position as u16).ok_or_else(|| {
                invalid(key, format!("no locality {name:?}"), "name one of the configuration's `localities`")
            })
        };
        if let Some(operation) =
            section.operation.as_ref().filter(|name| !deployment.operations.contains(name))
        {
            let problem = format!("no operation {operation:?}");
            return Err(invalid("operation", problem, "name one of the configuration's operations"));
        }
        let from = section.from.as_deref().map(|name| locality("from", name)).transpose()?;
        let group = match (section.of.as_str(), section.locality.as_deref()) {
            ("draining", None) => ServerGroup::Unavailable,
            ("fresh", None) => ServerGroup::Fresh,
            ("warm", None) => ServerGroup::Warm,
            ("all", None) => ServerGroup::All,
            ("locality", Some(name)) => ServerGroup::Locality(locality("locality", name)?),
            (unknown, _) => {
                let remedy = "say draining, fresh, warm, all, or locality with a `locality`";
                return Err(invalid("of", format!("{unknown:?} is not a group"), remedy));
            }
        };
        let bound = match (section.at_most, section.at_least, section.servers_at_least) {
            (Some(share_bound), None, None) => Bound::AtMost(share_bound),
            (None, Some(share_bound), None) => Bound::AtLeast(share_bound),
            (None, None, Some(count)) => Bound::ServersAtLeast(count),
            _ => {
                let remedy = "give one of at_most, at_least and servers_at_least";
                return Err(invalid("at_most", "not exactly one bound".into(), remedy));
            }
        };
        if let Bound::AtMost(share_bound) | Bound::AtLeast(share_bound) = bound {
            if !(0.0..=1.0).contains(&share_bound) {
                let key = if section.at_most.is_some() { "at_most" } else { "at_least" };
                return Err(invalid(
                    key,
                    format!("{share_bound} is not a fraction"),
                    "give a number from 0 to 1",
                ));
            }
        }
        expectations.push(Expectation { name: section.name, from, group, each: section.each, bound });
    }
    let servers = parsed.fleet.servers.unwrap_or(deployment.config.proxy_count.max(MIN_DEFAULT_SERVERS));
    let sizes = if parsed.fleet.sizes.is_empty() { vec![1.0] } else { parsed.fleet.sizes };
    Ok(ExpectationSet { expectations, servers: servers.clamp(1, MAX_SERVERS), sizes })
}

impl ServerGroup {
    /// Whether a server of a table belongs to the group.
    pub(crate) fn contains(self, server: &ServerEntry) -> bool {
        match self {
            ServerGroup::Unavailable => server.unavailable,
            ServerGroup::Fresh => server.capacity_fraction < 1.0 && !server.unavailable,
            ServerGroup::Warm => server.capacity_fraction >= 1.0 && !server.unavailable,
            ServerGroup::Locality(locality) => server.locality == locality,
            ServerGroup::All => true,
        }
    }
}

impl Expectation {
    /// The measured value if a table does not keep the bound, and the server concerned if the bound applies to each server.
    pub fn violation(&self, view: &TableView) -> Option<(f64, Option<u32>)> {
        let total: f64 = view.servers.iter().map(ServerEntry::effective_weight).sum();
        let share = |server: &ServerEntry| if total > 0.0 { server.effective_weight() / total } else { 0.0 };
        let members = || view.servers.iter().filter(|server| self.group.contains(server));
        // A group without servers meets every expectation.
        members().next()?;
        match self.bound {
            Bound::ServersAtLeast(count) => {
                let open_servers = members().filter(|server| server.effective_weight() > 0.0).count();
                (open_servers < count.min(members().filter(|server| !server.unavailable).count()))
                    .then_some((open_servers as f64, None))
            }
            Bound::AtMost(share_bound) if self.each => {
                let largest = members().max_by(|a, b| share(a).total_cmp(&share(b)))?;
                (share(largest) > share_bound + SHARE_TOLERANCE)
                    .then_some((share(largest), Some(largest.server)))
            }
            Bound::AtLeast(share_bound) if self.each => {
                let smallest = members().min_by(|a, b| share(a).total_cmp(&share(b)))?;
                (share(smallest) < share_bound - SHARE_TOLERANCE)
                    .then_some((share(smallest), Some(smallest.server)))
            }
            Bound::AtMost(share_bound) => {
                let sum: f64 = members().map(share).sum();
                (sum > share_bound + SHARE_TOLERANCE).then_some((sum, None))
            }
            Bound::AtLeast(share_bound) => {
                let sum: f64 = members().map(share).sum();
                (sum < share_bound - SHARE_TOLERANCE).then_some((sum, None))
            }
        }
    }

    /// The bound in words, for reports.
    pub(crate) fn bound_text(&self) -> String {
        match self.bound {
            Bound::AtMost(share_bound) => format!("{share_bound} at most"),
            Bound::AtLeast(share_bound) => format!("{share_bound} at least"),
            Bound::ServersAtLeast(count) => format!("{count} servers at least"),
        }
    }
}

/// Tolerance on shares of a table, since weights are rounded on the wire.
const SHARE_TOLERANCE: f64 = 1e-6;
