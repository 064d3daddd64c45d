//! A verdict as a person reads it, and as JSON.

use crate::evaluation::{Rule, Verdict};

fn name(rule: Rule) -> &'static str {
    match rule {
        Rule::LineToPick => "a line to pick",
        Rule::NoEffectTwice => "no effect twice",
        Rule::DrainsKept => "drains kept",
        Rule::NoColdServerPushedOver => "no cold server pushed over",
        Rule::ShortQueue => "a short queue",
        Rule::Fenced => "no way back to an earlier epoch or owner",
    }
}

/// Breaches and invocations shown of each; JSON has them all.
const SHOWN: usize = 5;

pub fn text_report(verdict: &Verdict) -> String {
    let mut out = String::new();
    let mut line = |text: String| out.extend([text.as_str(), "\n"]);
    line(format!("{}: {} invocations, {} tries", verdict.title, verdict.invocations, verdict.attempts));
    line(format!("service {:.4}, expected {:.4}", verdict.service, verdict.expected));
    for (operation, service) in &verdict.operations {
        line(format!("  {operation:<24} {service:.4}"));
    }
    line("from     service by operation".into());
    for window in &verdict.windows {
        let parts = window.service.iter().map(|(name, service)| format!("{name} {service:.3}"));
        line(format!("{:>5} s  {}", window.from_s, parts.collect::<Vec<_>>().join("  ")));
    }
    let told = &verdict.traffic;
    line(format!(
        "tables: {} messages, {} lines, {:.2} MB; {} lost, late or doubled on the way, {} asked for anew",
        told.messages,
        told.lines,
        told.bytes as f64 / 1e6,
        told.disturbed,
        told.repeated_requests
    ));
    line("rules".into());
    for measure in &verdict.rules {
        let word = if measure.violations.is_empty() { "kept  " } else { "BROKEN" };
        let part = 100.0 * measure.nearest;
        line(format!(
            "  {word} {:<28} came to {part:.0}% of its limit ({})",
            name(measure.rule),
            measure.limit
        ));
        for violation in measure.violations.iter().take(SHOWN) {
            line(format!("         at {} s: {}", violation.at_s, violation.description));
            if !violation.invocations.is_empty() {
                let some: Vec<String> =
                    violation.invocations.iter().take(SHOWN).map(u64::to_string).collect();
                line(format!(
                    "           invocations {} ({} in all)",
                    some.join(", "),
                    violation.invocations.len()
                ));
            }
        }
        if measure.violations.len() > SHOWN {
            line(format!("         and {} more", measure.violations.len() - SHOWN));
        }
    }
    if !verdict.remarks.is_empty() {
        line("remarks of the supervisors".into());
        verdict.remarks.iter().for_each(|remark| line(format!("  {remark}")));
    }
    for missed in &verdict.missed_expectations {
        line(format!("MISSED: {missed}"));
    }
    line(
        if verdict.passed() { "all rules kept, service as expected" } else { "the day does not stand" }
            .into(),
    );
    out
}

/// The whole verdict, all breaches included.
pub fn json_report(verdict: &Verdict) -> String {
    serde_json::to_string_pretty(verdict).unwrap_or_default()
}
