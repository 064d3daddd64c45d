//! The troubles of a bench day, as the operators' `draw` prints it, on a fleet of our own.

use std::fmt::Write;

use anyhow::{bail, Context, Result};
use serde::Deserialize;

/// What is read of a bench day; its times are microseconds.
#[derive(Deserialize)]
struct BenchDay {
    length: u64,
    servers: Vec<serde_json::Value>,
    balancers: Vec<serde_json::Value>,
    #[serde(default)]
    fam: Family,
    troubles: Vec<BenchTrouble>,
}

#[derive(Default, Deserialize)]
struct Family {
    #[serde(default)]
    controllers: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct BenchTrouble {
    kind: String,
    at: u64,
    len: u64,
    size: f64,
    extra: f64,
    on: Vec<u64>,
    #[serde(default)]
    which: usize,
    #[serde(default)]
    steps: Vec<Step>,
}

#[derive(Deserialize)]
struct Step {
    #[serde(default)]
    stop: Vec<u64>,
}

/// One trouble of a drill's file.
struct Written<'a> {
    at_s: f64,
    for_s: f64,
    kind: &'a str,
    figures: Vec<(&'a str, String)>,
}

fn seconds(us: u64) -> f64 {
    (us as f64 / 1e4).round() / 100.0
}

impl BenchTrouble {
    fn part(&self, day: &BenchDay) -> f64 {
        let hit = if self.steps.is_empty() {
            self.on.len()
        } else {
            self.steps.iter().map(|step| step.stop.len()).sum()
        };
        ((hit as f64 / day.servers.len().max(1) as f64).min(1.0) * 1000.0).round() / 1000.0
    }

    /// In a drill's words; nothing where a drill has none.
    fn written(&self, day: &BenchDay, localities: &[String]) -> Vec<Written<'static>> {
        let (at_s, for_s) = (seconds(self.at), seconds(self.len));
        let part = ("part", format!("{:?}", self.part(day)));
        let one = |kind, figures| vec![Written { at_s, for_s, kind, figures }];
        let factor = |factor: f64| ("factor", format!("{:?}", (factor * 1000.0).round() / 1000.0));
        let controllers = day.fam.controllers.len() as u64;
        // A trouble of the path names either supervisors or proxies by number.
        let of_supervisors =
            self.on.len() as u64 <= controllers && self.on.iter().all(|&number| number < controllers);
        let all = if of_supervisors { controllers } else { day.balancers.len() as u64 };
        let path =
            ("part", format!("{:?}", (self.on.len() as f64 / all.max(1) as f64 * 1000.0).round() / 1000.0));
        match self.kind.as_str() {
            "crash" => one("crash", vec![part]),
            "vanish" => one("silence", vec![part]),
            "hang" => one("hang", vec![part]),
            "slow" => one("slow", vec![part, factor(self.size)]),
            "ageing" => one("slow", vec![part, factor(self.extra)]),
            "fast_errors" => one("fast_errors", vec![part, factor(self.size)]),
            "neighbour" => one("neighbour", vec![part, factor(1.0 / (1.0 - self.size).max(0.1))]),
            "shared_slow" => one("shared_slow", vec![factor(self.size)]),
            "deploy" => one("deploy", vec![part]),
            "shrink" => one("drain", vec![part]),
            "mass_restart" => one("mass_restart", vec![part]),
            "false_reports" => one("false_reports", vec![part]),
            "report_late" => {
                one("late_reports", vec![("delay_s", format!("{:?}", (self.size * 100.0).round() / 100.0))])
            }
            "conn_squeeze" => one("squeeze", vec![part, factor(1.0 / self.size.max(1.0))]),
            "handshake_slow" => {
                one("handshake", vec![part, ("delay_s", format!("{:?}", self.size.round() / 1000.0))])
            }
            "wrong_list" => one("wrong_list", vec![("part", format!("{:?}", self.extra.min(1.0)))]),
            "zone_cut" => {
                let locality = &localities[self.which % localities.len()];
                one("locality_cut", vec![("locality", format!("{locality:?}"))])
            }
            "balancer_crash" if of_supervisors => one("supervisor_crash", vec![path]),
            "balancer_crash" => one("forwarder_crash", vec![path]),
            "balancer_stall" if of_supervisors => one("supervisor_stall", vec![path]),
            "balancer_stall" => one("forwarder_stall", vec![path]),
            "flapping" => {
                // Silent for a part of each period.
                let (period, silent) = (self.size.max(1.0), (self.size * self.extra).max(0.2));
                let times = (for_s / period).floor().max(1.0) as u32;
                let each = |time: u32| Written {
                    at_s: at_s + f64::from(time) * period,
                    for_s: silent,
                    kind: "silence",
                    figures: vec![part.clone()],
                };
                (0..times).map(each).collect()
            }
            _ => Vec::new(),
        }
    }
}

/// The text of a drill: the fleet of `template`, itself a drill's text, and the troubles of a bench day. What a
/// drill has no word for stands in a comment.
pub fn convert_bench_scenario(day: &str, template: &str) -> Result<String> {
    let bench: BenchDay = serde_json::from_str(day).context("the bench day cannot be read")?;
    let fleet = template.split("[[trouble]]").next().unwrap_or_default().trim_end();
    let parsed = crate::Scenario::parse(std::path::Path::new("template"), fleet)?;
    if bench.servers.is_empty() {
        bail!("the bench day has no servers");
    }
    let length = seconds(bench.length) + 5.0;
    let old =
        fleet.lines().find(|line| line.starts_with("length_s")).context("the template has no length_s")?;
    let mut out = fleet.replacen(old, &format!("length_s = {length:?}"), 1);
    out.push('\n');
    for trouble in &bench.troubles {
        let all = trouble.written(&bench, &parsed.localities);
        if all.is_empty() {
            writeln!(out, "\n# left out: {}, for which a drill has no word", trouble.kind)?;
        }
        for written in all {
            let for_s = written.for_s.min(length - written.at_s);
            writeln!(
                out,
                "\n[[trouble]]\nat_s = {:?}\nfor_s = {for_s:?}\nkind = {:?}",
                written.at_s, written.kind
            )?;
            written.figures.iter().try_for_each(|(key, value)| writeln!(out, "{key} = {value}"))?;
        }
    }
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::FaultKind;

    #[test]
    fn troubles_of_a_bench_day_become_a_drill_that_can_be_read() {
        let day = r#"{"length": 40000000, "servers": [0, 0, 0, 0], "balancers": [0, 0, 0], "fam": {"controllers": [0, 0]},
            "troubles": [
            {"kind": "slow", "at": 5000000, "len": 20000000, "size": 4.5, "extra": 0.0, "on": [2]},
            {"kind": "balancer_crash", "at": 7000000, "len": 1500000, "size": 0.0, "extra": 0.0, "on": [1]},
            {"kind": "balancer_stall", "at": 7000000, "len": 1500000, "size": 0.0, "extra": 0.0, "on": [0, 2]},
            {"kind": "flapping", "at": 10000000, "len": 20000000, "size": 10.0, "extra": 0.3, "on": [0, 1]},
            {"kind": "tide", "at": 0, "len": 1, "size": 0.0, "extra": 0.0, "on": []}]}"#;
        let text = convert_bench_scenario(day, include_str!("../../../drills/bad-day.toml")).unwrap();
        let drill = crate::Scenario::parse(std::path::Path::new("out"), &text).unwrap();
        let kinds: Vec<FaultKind> = drill.faults.iter().map(|trouble| trouble.kind).collect();
        use FaultKind::*;
        assert_eq!(kinds, [Slow, SupervisorCrash, ForwarderStall, Silence, Silence]);
        assert_eq!((drill.faults[0].part, drill.faults[0].factor, drill.length_s), (0.25, 4.5, 45.0));
        assert_eq!((drill.faults[4].at_s, drill.faults[4].for_s), (20.0, 3.0));
        assert!(text.contains("left out: tide"));
    }
}
