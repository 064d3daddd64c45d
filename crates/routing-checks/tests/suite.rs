//! Expectation files checked on deployments without and with an injected fault.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;
use shalereel_routing_checks::{check_expectations, parse_captured_table, read_expectations, CheckReport};
use shalereel_xds_supervisor::Deployment;

const DEPLOYMENT: &str = include_str!("../../../expect/deployment.toml");

/// The deployment, with the fault of this name injected and not guarded against; with none if the name is empty.
fn deployment(injected_fault: &str) -> Deployment {
    let text = if injected_fault.is_empty() {
        String::new()
    } else {
        format!("planted = {injected_fault:?}\nunguarded = true\n")
    };
    Deployment::parse(Path::new("deployment.toml"), &(text + DEPLOYMENT)).unwrap()
}

/// Writes a new file in the directory for test files.
fn write_file(text: &str) -> PathBuf {
    static LAST_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = LAST_NUMBER.fetch_add(1, Ordering::Relaxed);
    let file =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("expect-{}-{number}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}

fn check(injected_fault: &str, text: &str) -> CheckReport {
    let deployment = deployment(injected_fault);
    check_expectations(&deployment, &read_expectations(&write_file(text), &deployment).unwrap())
}

/// The expectation file that is shipped with the product.
const SHIPPED_EXPECTATIONS: &str = include_str!("../../../expect/routing.toml");

#[test]
fn the_shipped_expectation_file_has_no_violations() {
    let report = check("", SHIPPED_EXPECTATIONS);
    assert_eq!((report.violations.clone(), report.contradictions.clone()), (vec![], vec![]));
    assert!(report.tables > 300, "{report:?}");
}

#[rstest]
#[case::cold_in_full("cold_in_full", "no fresh server gets over a fifth")]
#[case::empty_tables("empty_tables", "somebody is open")]
fn an_injected_fault_violates_the_matching_expectation(#[case] injected_fault: &str, #[case] name: &str) {
    let report = check(injected_fault, SHIPPED_EXPECTATIONS);
    assert!(report.violations.iter().any(|violation| violation.name.contains(name)), "{report:?}");
}

#[test]
fn a_violation_in_a_larger_fleet_is_shrunk_to_a_small_fleet() {
    // Each of 12 servers gets 1/12 of the weight, which meets the bound; each of 36 servers gets less than the bound.
    let text = "[fleet]\nservers = 12\n\n[[expect]]\nname = \"a twentieth each\"\nof = \"warm\"\neach = true\nat_least = 0.05\n";
    let report = check("", text);
    let violation = &report.violations[0];
    assert!(violation.servers > 12 && violation.servers <= 24, "{violation:?}");
    let report_of_lower_bound = check("", &text.replace("0.05", "0.02"));
    assert!(
        report_of_lower_bound.violations.iter().all(|violation| violation.shape != "as it is"),
        "{report_of_lower_bound:?}"
    );
}

#[rstest]
#[case::drained("of = \"draining\"\nat_least = 0.1", "drains kept")]
#[case::cold("of = \"fresh\"\nat_least = 0.9", "no cold server pushed over")]
#[case::nobody("of = \"all\"\nat_most = 0.5", "a line to pick")]
#[case::locality("of = \"locality\"\nlocality = \"hal-b\"\nat_least = 0.2", "drains kept")]
fn an_expectation_that_contradicts_a_rule_is_reported(#[case] keys: &str, #[case] rule: &str) {
    let report = check("", &format!("[fleet]\nservers = 9\n\n[[expect]]\nname = \"wrong\"\n{keys}\n"));
    assert!(report.contradictions.iter().any(|contradiction| contradiction.rule == rule), "{report:?}");
}

#[rstest]
#[case::group("of = \"shiny\"\nat_most = 0.1", "expect.of")]
#[case::locality("of = \"locality\"\nlocality = \"hal-z\"\nat_most = 0.1", "no locality \"hal-z\"")]
#[case::operation("operation = \"box-eat\"\nof = \"all\"\nat_most = 0.1", "no operation \"box-eat\"")]
#[case::bound("of = \"all\"", "give one of at_most")]
#[case::fraction("of = \"all\"\nat_most = 7.0", "7 is not a fraction")]
fn an_invalid_file_is_rejected_with_line_and_remedy(#[case] keys: &str, #[case] expected: &str) {
    let path = write_file(&format!("\n[[expect]]\nname = \"x\"\n{keys}\n"));
    let error = read_expectations(&path, &deployment("")).unwrap_err().to_string();
    assert!(error.contains(expected) && error.contains(".toml:2:"), "{error}");
}

#[test]
fn a_captured_table_is_checked_by_the_same_expectations() {
    let deployment = deployment("");
    let expectations = read_expectations(&write_file(SHIPPED_EXPECTATIONS), &deployment).unwrap();
    let line = |server: u32, weight: f64, capacity_fraction: f64| {
        format!(
            "{{\"server\": {server}, \"locality\": \"hal-a\", \"out\": false, \"able\": {capacity_fraction}, \"listed\": 1.0, \
             \"line\": {{\"weight\": {weight}, \"draining\": false}}}}"
        )
    };
    let text = format!("{{\"lines\": [{}, {}]}}", line(1, 1.0, 1.0), line(2, 0.9, 0.3));
    let view = parse_captured_table(&text, &deployment).unwrap();
    let violated: Vec<&str> = (expectations.expectations.iter())
        .filter(|expectation| expectation.violation(&view).is_some())
        .map(|expectation| expectation.name.as_str())
        .collect();
    assert!(violated.iter().any(|name| name.contains("no fresh server")), "{violated:?}");
    assert!(parse_captured_table("{}", &deployment).is_err());
}
