//! Checks expectations on generated fleets, shrinks each violation to a small fleet, and reports contradictions.

use std::collections::BTreeMap;

use shalereel_xds_supervisor::Deployment;

use crate::expectation::{Bound, Expectation, ExpectationSet};
use crate::fleet::{simulate, Fleet, FleetShape, ServerEntry, TableView};

/// An expectation that a table does not meet.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Name of the expectation.
    pub name: String,
    /// Number of servers of the smallest fleet that was found.
    pub servers: u32,
    /// Shape of that fleet, in words.
    pub shape: String,
    /// Milliseconds since the fleet took that shape.
    pub at_ms: u64,
    /// The measured share or number of servers.
    pub value: f64,
    /// The expected bound, in words.
    pub bound: String,
    /// The server concerned, where the expectation is about each server.
    pub server: Option<u32>,
}

/// An expectation that no table can meet without violating a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Contradiction {
    /// Name of the expectation.
    pub name: String,
    /// Shape of the fleet, in words.
    pub shape: String,
    /// Number of servers of the fleet.
    pub servers: u32,
    /// Name of the rule.
    pub rule: &'static str,
    /// The largest share that the rule allows, or the smallest one if the bound is `at_most`.
    pub allowed: f64,
    /// The expected bound, in words.
    pub bound: String,
}

/// The result of checking all expectations of a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    /// At most one violation for each expectation.
    pub violations: Vec<Violation>,
    /// At most one contradiction for each expectation.
    pub contradictions: Vec<Contradiction>,
    /// Number of fleets that were generated.
    pub fleets: usize,
    /// Number of tables that were checked.
    pub tables: usize,
}

/// A violation in one table: milliseconds since the change, the measured value, and the server concerned.
type Finding = (u64, f64, Option<u32>);

/// The fleet sizes that are checked, as multiples of the size that the file names.
const SIZE_FACTORS: [u32; 3] = [1, 2, 3];

/// Tolerance on the shares that rules allow.
const ALLOWED_SHARE_TOLERANCE: f64 = 1e-9;

/// The tables of all fleets that were generated so far.
struct TableCache<'a> {
    deployment: &'a Deployment,
    expectations: &'a ExpectationSet,
    views: BTreeMap<(FleetShape, u32), Vec<TableView>>,
}

impl TableCache<'_> {
    /// The tables of a fleet, which is generated on first use.
    fn views(&mut self, shape: FleetShape, servers: u32) -> &[TableView] {
        let (deployment, sizes) = (self.deployment, &self.expectations.sizes);
        self.views
            .entry((shape, servers))
            .or_insert_with(|| simulate(deployment, sizes, Fleet { shape, servers }))
    }

    /// The first violation in a fleet's tables. Tables whose fleet contradicts the expectation are skipped.
    fn first_violation(
        &mut self,
        expectation: &Expectation,
        shape: FleetShape,
        servers: u32,
    ) -> Option<Finding> {
        let overload_ratio = self.deployment.config.overload_ratio;
        let applies = |view: &&TableView| expectation.from.is_none_or(|from| view.localities.contains(&from));
        let mut views = self.views(shape, servers).iter().filter(applies);
        views.find_map(|view| {
            let (value, server) = expectation.violation(view)?;
            contradiction_with_rules(expectation, view, overload_ratio)
                .is_none()
                .then_some((view.at_ms, value, server))
        })
    }
}

/// Checks all expectations on fleets of every shape, at the file's fleet size and at twice and three times that size.
pub fn check_expectations(deployment: &Deployment, expectations: &ExpectationSet) -> CheckReport {
    let mut cache = TableCache { deployment, expectations, views: BTreeMap::new() };
    let mut report = CheckReport::default();
    let shapes = FleetShape::all(deployment.config.locality_count);
    let describe = |shape: FleetShape| shape.description(&deployment.localities);
    for expectation in &expectations.expectations {
        let mut smallest: Option<(u32, FleetShape, Finding)> = None;
        let mut contradiction = None;
        for factor in SIZE_FACTORS {
            for &shape in &shapes {
                let servers = factor * expectations.servers;
                let overload_ratio = deployment.config.overload_ratio;
                for view in cache.views(shape, servers) {
                    if let Some((rule, allowed)) = contradiction_with_rules(expectation, view, overload_ratio)
                        .filter(|_| contradiction.is_none())
                    {
                        contradiction = Some(Contradiction {
                            name: expectation.name.clone(),
                            shape: describe(shape),
                            servers,
                            rule,
                            allowed,
                            bound: expectation.bound_text(),
                        });
                    }
                }
                if let Some(finding) = cache.first_violation(expectation, shape, servers) {
                    let (servers, finding) = shrink(&mut cache, expectation, shape, servers, finding);
                    if smallest.as_ref().is_none_or(|smallest| servers < smallest.0) {
                        smallest = Some((servers, shape, finding));
                    }
                }
            }
        }
        report.contradictions.extend(contradiction);
        report.violations.extend(smallest.map(|(servers, shape, (at_ms, value, server))| Violation {
            name: expectation.name.clone(),
            servers,
            shape: describe(shape),
            at_ms,
            value,
            bound: expectation.bound_text(),
            server,
        }));
    }
    report.fleets = cache.views.len();
    report.tables = cache.views.values().map(Vec::len).sum();
    report
}

/// Shrinks a fleet that violates an expectation: removes half of its servers as long as the violation remains, then
/// halves the number to remove, down to one. The result is a local minimum, which need not be the smallest fleet that violates it.
fn shrink(
    cache: &mut TableCache,
    expectation: &Expectation,
    shape: FleetShape,
    mut servers: u32,
    mut finding: Finding,
) -> (u32, Finding) {
    let mut step = servers / 2;
    while step > 0 {
        match servers.checked_sub(step).filter(|fewer| *fewer > 0).and_then(|fewer| {
            cache.first_violation(expectation, shape, fewer).map(|finding| (fewer, finding))
        }) {
            Some(smaller) => (servers, finding) = smaller,
            None => step /= 2,
        }
    }
    (servers, finding)
}

/// The rule that no table for these servers can keep together with the expectation, and the share that it allows.
fn contradiction_with_rules(
    expectation: &Expectation,
    view: &TableView,
    overload_ratio: f64,
) -> Option<(&'static str, f64)> {
    let available = |server: &&ServerEntry| !server.unavailable;
    let total_capacity: f64 =
        view.servers.iter().filter(available).map(|server| server.listed_capacity).sum();
    let any_warm = view.servers.iter().filter(available).any(|server| server.capacity_fraction >= 1.0);
    // The largest share that the rules allow: none for an unavailable server, and no overload of one in slow start.
    let max_share = |server: &ServerEntry| match () {
        () if server.unavailable => 0.0,
        () if server.capacity_fraction >= 1.0 || !any_warm => 1.0,
        () => (overload_ratio * server.capacity_fraction * server.listed_capacity / total_capacity).min(1.0),
    };
    let members: Vec<&ServerEntry> =
        view.servers.iter().filter(|server| expectation.group.contains(server)).collect();
    if members.is_empty() {
        return None;
    }
    match expectation.bound {
        Bound::AtLeast(bound) => {
            let allowed = if expectation.each {
                members.iter().map(|server| max_share(server)).fold(1.0, f64::min)
            } else {
                members.iter().map(|server| max_share(server)).sum::<f64>().min(1.0)
            };
            let rule = match members.iter().any(|server| !server.unavailable) {
                true => "no cold server pushed over",
                false => "drains kept",
            };
            (bound > allowed + ALLOWED_SHARE_TOLERANCE).then_some((rule, allowed))
        }
        Bound::AtMost(bound) => {
            // Every request goes to some server: if the servers outside the group get their largest shares, the group gets
            // the rest.
            let others = view.servers.iter().filter(|server| !expectation.group.contains(server));
            let others_share = others.map(max_share).sum::<f64>().min(1.0);
            let open_servers = members.iter().filter(|server| max_share(server) > 0.0).count().max(1);
            let allowed = (1.0 - others_share) / if expectation.each { open_servers as f64 } else { 1.0 };
            let any_available = view.servers.iter().any(|server| !server.unavailable);
            (any_available && bound < allowed - ALLOWED_SHARE_TOLERANCE)
                .then_some(("a line to pick", allowed))
        }
        _ => None,
    }
}
