//! Converts the faults of a bench scenario, as the bench's `draw` prints it, to a scenario file for a given fleet.

use std::fmt::Write;

use anyhow::{bail, Context, Result};
use serde::Deserialize;

/// The fields of a bench scenario that are read. Its times are in microseconds.
#[derive(Deserialize)]
struct BenchScenario {
    length: u64,
    servers: Vec<serde_json::Value>,
    balancers: Vec<serde_json::Value>,
    #[serde(rename = "fam", default)]
    family: Family,
    #[serde(rename = "troubles")]
    faults: Vec<BenchFault>,
}

/// The control plane of a bench scenario.
#[derive(Default, Deserialize)]
struct Family {
    #[serde(default)]
    controllers: Vec<serde_json::Value>,
}

/// A fault of a bench scenario. The meaning of `size` and `extra` depends on the kind.
#[derive(Deserialize)]
struct BenchFault {
    kind: String,
    at: u64,
    #[serde(rename = "len")]
    duration: u64,
    size: f64,
    extra: f64,
    #[serde(rename = "on")]
    targets: Vec<u64>,
    #[serde(rename = "which", default)]
    locality: usize,
    #[serde(default)]
    steps: Vec<Step>,
}

/// A step of a fault that stops its targets one group after the other.
#[derive(Deserialize)]
struct Step {
    #[serde(rename = "stop", default)]
    stopped: Vec<u64>,
}

/// One fault of a scenario file, as keys and values.
struct FaultSection<'a> {
    at_s: f64,
    for_s: f64,
    kind: &'a str,
    settings: Vec<(&'a str, String)>,
}

/// Converts microseconds to seconds, rounded to hundredths.
fn seconds(micros: u64) -> f64 {
    (micros as f64 / 1e4).round() / 100.0
}

impl BenchFault {
    /// Fraction of the servers that are affected, rounded to thousandths.
    fn fraction(&self, bench: &BenchScenario) -> f64 {
        let affected = if self.steps.is_empty() {
            self.targets.len()
        } else {
            self.steps.iter().map(|step| step.stopped.len()).sum()
        };
        ((affected as f64 / bench.servers.len().max(1) as f64).min(1.0) * 1000.0).round() / 1000.0
    }

    /// The faults of a scenario file that stand for this one; none if there is no such kind.
    fn sections(&self, bench: &BenchScenario, localities: &[String]) -> Vec<FaultSection<'static>> {
        let (at_s, for_s) = (seconds(self.at), seconds(self.duration));
        let fraction = ("part", format!("{:?}", self.fraction(bench)));
        let one = |kind, settings| vec![FaultSection { at_s, for_s, kind, settings }];
        let factor = |factor: f64| ("factor", format!("{:?}", (factor * 1000.0).round() / 1000.0));
        let controllers = bench.family.controllers.len() as u64;
        // A fault of the control path targets either supervisors or proxies, and has only their numbers. It is taken to
        // target supervisors if all of these are numbers of supervisors.
        let targets_supervisors = self.targets.len() as u64 <= controllers
            && self.targets.iter().all(|&number| number < controllers);
        let candidates = if targets_supervisors { controllers } else { bench.balancers.len() as u64 };
        let control_path_fraction = (
            "part",
            format!("{:?}", (self.targets.len() as f64 / candidates.max(1) as f64 * 1000.0).round() / 1000.0),
        );
        match self.kind.as_str() {
            "crash" => one("crash", vec![fraction]),
            "vanish" => one("silence", vec![fraction]),
            "hang" => one("hang", vec![fraction]),
            "slow" => one("slow", vec![fraction, factor(self.size)]),
            "ageing" => one("slow", vec![fraction, factor(self.extra)]),
            "fast_errors" => one("fast_errors", vec![fraction, factor(self.size)]),
            "neighbour" => one("neighbour", vec![fraction, factor(1.0 / (1.0 - self.size).max(0.1))]),
            "shared_slow" => one("shared_slow", vec![factor(self.size)]),
            "deploy" => one("deploy", vec![fraction]),
            "shrink" => one("drain", vec![fraction]),
            "mass_restart" => one("mass_restart", vec![fraction]),
            "false_reports" => one("false_reports", vec![fraction]),
            "report_late" => {
                // The size is a delay in seconds.
                one("late_reports", vec![("delay_s", format!("{:?}", (self.size * 100.0).round() / 100.0))])
            }
            "conn_squeeze" => one("squeeze", vec![fraction, factor(1.0 / self.size.max(1.0))]),
            "handshake_slow" => {
                // The size is a delay in milliseconds.
                one("handshake", vec![fraction, ("delay_s", format!("{:?}", self.size.round() / 1000.0))])
            }
            "wrong_list" => one("wrong_list", vec![("part", format!("{:?}", self.extra.min(1.0)))]),
            "zone_cut" => {
                let locality = &localities[self.locality % localities.len()];
                one("locality_cut", vec![("locality", format!("{locality:?}"))])
            }
            "balancer_crash" if targets_supervisors => one("supervisor_crash", vec![control_path_fraction]),
            "balancer_crash" => one("forwarder_crash", vec![control_path_fraction]),
            "balancer_stall" if targets_supervisors => one("supervisor_stall", vec![control_path_fraction]),
            "balancer_stall" => one("forwarder_stall", vec![control_path_fraction]),
            "flapping" => {
                // Silent for a fraction of each period.
                let (period_s, silent_s) = (self.size.max(1.0), (self.size * self.extra).max(0.2));
                let periods = (for_s / period_s).floor().max(1.0) as u32;
                let silence = |index: u32| FaultSection {
                    at_s: at_s + f64::from(index) * period_s,
                    for_s: silent_s,
                    kind: "silence",
                    settings: vec![fraction.clone()],
                };
                (0..periods).map(silence).collect()
            }
            _ => Vec::new(),
        }
    }
}

/// Time that a scenario continues after the end of the bench scenario, in seconds.
const TRAILING_TIME_S: f64 = 5.0;

/// Returns the text of a scenario file with the fleet of `template`, itself such a text, and the faults of a bench
/// scenario. Faults of unknown kinds are listed in comments.
///
/// Errors: one of the texts is invalid, or the bench scenario has no servers.
pub fn convert_bench_scenario(bench: &str, template: &str) -> Result<String> {
    let bench: BenchScenario = serde_json::from_str(bench).context("the bench scenario cannot be parsed")?;
    let fleet = template.split("[[trouble]]").next().unwrap_or_default().trim_end();
    let parsed = crate::Scenario::parse(std::path::Path::new("template"), fleet)?;
    if bench.servers.is_empty() {
        bail!("the bench scenario has no servers");
    }
    let length_s = seconds(bench.length) + TRAILING_TIME_S;
    let length_line =
        fleet.lines().find(|line| line.starts_with("length_s")).context("the template has no length_s")?;
    let mut out = fleet.replacen(length_line, &format!("length_s = {length_s:?}"), 1);
    out.push('\n');
    for fault in &bench.faults {
        let sections = fault.sections(&bench, &parsed.localities);
        if sections.is_empty() {
            writeln!(out, "\n# left out: {}, for which a drill has no word", fault.kind)?;
        }
        for section in sections {
            let for_s = section.for_s.min(length_s - section.at_s);
            writeln!(
                out,
                "\n[[trouble]]\nat_s = {:?}\nfor_s = {for_s:?}\nkind = {:?}",
                section.at_s, section.kind
            )?;
            section.settings.iter().try_for_each(|(key, value)| writeln!(out, "{key} = {value}"))?;
        }
    }
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::FaultKind;

    #[test]
    fn faults_of_a_bench_scenario_become_a_valid_scenario_file() {
        let bench = r#"{"length": 40000000, "servers": [0, 0, 0, 0], "balancers": [0, 0, 0], "fam": {"controllers": [0, 0]},
            "troubles": [
            {"kind": "slow", "at": 5000000, "len": 20000000, "size": 4.5, "extra": 0.0, "on": [2]},
            {"kind": "balancer_crash", "at": 7000000, "len": 1500000, "size": 0.0, "extra": 0.0, "on": [1]},
            {"kind": "balancer_stall", "at": 7000000, "len": 1500000, "size": 0.0, "extra": 0.0, "on": [0, 2]},
            {"kind": "flapping", "at": 10000000, "len": 20000000, "size": 10.0, "extra": 0.3, "on": [0, 1]},
            {"kind": "tide", "at": 0, "len": 1, "size": 0.0, "extra": 0.0, "on": []}]}"#;
        let text = convert_bench_scenario(bench, include_str!("../../../drills/bad-day.toml")).unwrap();
        let scenario = crate::Scenario::parse(std::path::Path::new("out"), &text).unwrap();
        let kinds: Vec<FaultKind> = scenario.faults.iter().map(|fault| fault.kind).collect();
        use FaultKind::*;
        assert_eq!(kinds, [Slow, SupervisorCrash, ForwarderStall, Silence, Silence]);
        assert_eq!(
            (scenario.faults[0].fraction, scenario.faults[0].factor, scenario.length_s),
            (0.25, 4.5, 45.0)
        );
        assert_eq!((scenario.faults[4].at_s, scenario.faults[4].for_s), (20.0, 3.0));
        assert!(text.contains("left out: tide"));
    }
}
