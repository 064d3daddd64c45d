//! Reports of a verdict: text for operators, and JSON.

use crate::evaluation::{Rule, Verdict};

/// Name of a rule in the text report.
fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::LineToPick => "a line to pick",
        Rule::NoEffectTwice => "no effect twice",
        Rule::DrainsKept => "drains kept",
        Rule::NoColdServerPushedOver => "no cold server pushed over",
        Rule::ShortQueue => "a short queue",
        Rule::Fenced => "no way back to an earlier epoch or owner",
    }
}

const BYTES_PER_MB: f64 = 1e6;
/// Largest number of violations of a rule, and of invocations of a violation, that the text report lists; the JSON
/// report has all of them.
const MAX_LISTED: usize = 5;

/// The report that `shalereel drill` prints.
pub fn text_report(verdict: &Verdict) -> String {
    let mut report = String::new();
    let mut line = |text: String| report.extend([text.as_str(), "\n"]);
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
    let traffic = &verdict.traffic;
    line(format!(
        "tables: {} messages, {} lines, {:.2} MB; {} lost, late or doubled on the way, {} asked for anew",
        traffic.messages,
        traffic.lines,
        traffic.bytes as f64 / BYTES_PER_MB,
        traffic.disturbed,
        traffic.repeated_requests
    ));
    line("rules".into());
    for result in &verdict.rules {
        let status = if result.violations.is_empty() { "kept  " } else { "BROKEN" };
        let percent = 100.0 * result.nearest;
        line(format!(
            "  {status} {:<28} came to {percent:.0}% of its limit ({})",
            rule_name(result.rule),
            result.limit
        ));
        for violation in result.violations.iter().take(MAX_LISTED) {
            line(format!("         at {} s: {}", violation.at_s, violation.description));
            if !violation.invocations.is_empty() {
                let listed: Vec<String> =
                    violation.invocations.iter().take(MAX_LISTED).map(u64::to_string).collect();
                line(format!(
                    "           invocations {} ({} in all)",
                    listed.join(", "),
                    violation.invocations.len()
                ));
            }
        }
        if result.violations.len() > MAX_LISTED {
            line(format!("         and {} more", result.violations.len() - MAX_LISTED));
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
    report
}

/// The whole verdict as JSON, with all violations.
pub fn json_report(verdict: &Verdict) -> String {
    serde_json::to_string_pretty(verdict).unwrap_or_default()
}
