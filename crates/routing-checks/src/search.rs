//! Runs expectations against fleets, finds the smallest fleet that breaks one, and tells which can't be kept.

use std::collections::BTreeMap;

use shalereel_xds_supervisor::Deployment;

use crate::expectation::{Bound, Expectation, Expectations};
use crate::fleet::{play, Fleet, Seen, Shape, View};

/// An expectation that a table does not meet.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub name: String,
    /// The smallest fleet found: how many servers, and in which shape.
    pub servers: u32,
    pub shape: String,
    /// After the fleet took that shape.
    pub at_ms: u64,
    pub figure: f64,
    pub asked: String,
    pub server: Option<u32>,
}

/// An expectation that no table can meet without breaking a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Contradiction {
    pub name: String,
    pub shape: String,
    pub servers: u32,
    pub rule: &'static str,
    /// The most, or the least, that the rule allows.
    pub allows: f64,
    pub asked: String,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub broken: Vec<Broken>,
    pub contradictions: Vec<Contradiction>,
    /// Fleets played, and tables looked at.
    pub fleets: usize,
    pub tables: usize,
}

/// When after the change, the figure, and of which server.
type Found = (u64, f64, Option<u32>);

/// A fleet is tried at these multiples of what it is.
const TIMES: [u32; 3] = [1, 2, 3];

struct Run<'a> {
    deployment: &'a Deployment,
    told: &'a Expectations,
    views: BTreeMap<(Shape, u32), Vec<View>>,
}

impl Run<'_> {
    fn views(&mut self, shape: Shape, servers: u32) -> &[View] {
        let (deployment, sizes) = (self.deployment, &self.told.sizes);
        self.views
            .entry((shape, servers))
            .or_insert_with(|| play(deployment, sizes, Fleet { shape, servers }))
    }

    /// The first table of a fleet that breaks an expectation, unless no table could keep it.
    fn breaks(&mut self, one: &Expectation, shape: Shape, servers: u32) -> Option<Found> {
        let tip = self.deployment.config.overload_ratio;
        let concerns = |view: &&View| one.from.is_none_or(|from| view.users.contains(&from));
        let mut views = self.views(shape, servers).iter().filter(concerns);
        views.find_map(|view| {
            let (figure, server) = one.broken(view)?;
            contradicts(one, view, tip).is_none().then_some((view.at_ms, figure, server))
        })
    }
}

/// Runs all expectations at the fleet's size, twice and three times that, in every shape.
pub fn run(deployment: &Deployment, told: &Expectations) -> Outcome {
    let mut run = Run { deployment, told, views: BTreeMap::new() };
    let mut outcome = Outcome::default();
    let shapes = Shape::all(deployment.config.locality_count);
    let text = |shape: Shape| shape.text(&deployment.localities);
    for one in &told.all {
        let mut smallest: Option<(u32, Shape, Found)> = None;
        let mut contradiction = None;
        for times in TIMES {
            for &shape in &shapes {
                let servers = times * told.servers;
                let tip = deployment.config.overload_ratio;
                for view in run.views(shape, servers) {
                    if let Some((rule, allows)) =
                        contradicts(one, view, tip).filter(|_| contradiction.is_none())
                    {
                        contradiction = Some(Contradiction {
                            name: one.name.clone(),
                            shape: text(shape),
                            servers,
                            rule,
                            allows,
                            asked: one.asked(),
                        });
                    }
                }
                if let Some(found) = run.breaks(one, shape, servers) {
                    let (servers, found) = shrink(&mut run, one, shape, servers, found);
                    if smallest.as_ref().is_none_or(|smallest| servers < smallest.0) {
                        smallest = Some((servers, shape, found));
                    }
                }
            }
        }
        outcome.contradictions.extend(contradiction);
        outcome.broken.extend(smallest.map(|(servers, shape, (at_ms, figure, server))| Broken {
            name: one.name.clone(),
            servers,
            shape: text(shape),
            at_ms,
            figure,
            asked: one.asked(),
            server,
        }));
    }
    outcome.fleets = run.views.len();
    outcome.tables = run.views.values().map(Vec::len).sum();
    outcome
}

/// Halves a fleet as long as it still breaks the expectation, then takes servers away one by one: the smallest found
/// that way, which need not be the smallest there is.
fn shrink(
    run: &mut Run,
    one: &Expectation,
    shape: Shape,
    mut servers: u32,
    mut found: Found,
) -> (u32, Found) {
    let mut step = servers / 2;
    while step > 0 {
        match servers
            .checked_sub(step)
            .filter(|fewer| *fewer > 0)
            .and_then(|fewer| run.breaks(one, shape, fewer).map(|found| (fewer, found)))
        {
            Some(fewer) => (servers, found) = fewer,
            None => step /= 2,
        }
    }
    (servers, found)
}

/// Can any table keep both the rules and this expectation, with these servers? If not: which rule, and what it allows.
fn contradicts(one: &Expectation, view: &View, tip: f64) -> Option<(&'static str, f64)> {
    let ready = |seen: &&Seen| !seen.out;
    let size: f64 = view.servers.iter().filter(ready).map(|seen| seen.listed).sum();
    let warm = view.servers.iter().filter(ready).any(|seen| seen.able >= 1.0);
    // The most that a server may be given: nothing while it is out, what it bears while it is cold.
    let most = |seen: &Seen| match () {
        () if seen.out => 0.0,
        () if seen.able >= 1.0 || !warm => 1.0,
        () => (tip * seen.able * seen.listed / size).min(1.0),
    };
    let members: Vec<&Seen> = view.servers.iter().filter(|seen| one.group.has(seen)).collect();
    if members.is_empty() {
        return None;
    }
    match one.bound {
        Bound::AtLeast(part) => {
            let allows = if one.each {
                members.iter().map(|seen| most(seen)).fold(1.0, f64::min)
            } else {
                members.iter().map(|seen| most(seen)).sum::<f64>().min(1.0)
            };
            let rule = match members.iter().any(|seen| !seen.out) {
                true => "no cold server pushed over",
                false => "drains kept",
            };
            (part > allows + 1e-9).then_some((rule, allows))
        }
        Bound::AtMost(part) => {
            // Somebody must be sent to: those outside the group take what they may, the group the rest.
            let others = view.servers.iter().filter(|seen| !one.group.has(seen));
            let elsewhere = others.map(most).sum::<f64>().min(1.0);
            let open = members.iter().filter(|seen| most(seen) > 0.0).count().max(1);
            let least = (1.0 - elsewhere) / if one.each { open as f64 } else { 1.0 };
            let any = view.servers.iter().any(|seen| !seen.out);
            (any && part < least - 1e-9).then_some(("a line to pick", least))
        }
        _ => None,
    }
}
