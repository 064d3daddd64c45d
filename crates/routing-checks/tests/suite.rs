//! Suites of expectations against configurations, sound ones and such with planted faults.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;
use shalereel_routing_checks::{captured, read_expectations, run, Outcome};
use shalereel_xds_supervisor::Deployment;

const DEPLOYMENT: &str = include_str!("../../../expect/deployment.toml");

fn deployment(planted: &str) -> Deployment {
    let text =
        if planted.is_empty() { String::new() } else { format!("planted = {planted:?}\nunguarded = true\n") };
    Deployment::parse(Path::new("deployment.toml"), &(text + DEPLOYMENT)).unwrap()
}

fn file(text: &str) -> PathBuf {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let file =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("expect-{}-{number}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}

fn outcome(planted: &str, text: &str) -> Outcome {
    let deployment = deployment(planted);
    run(&deployment, &read_expectations(&file(text), &deployment).unwrap())
}

const SUITE: &str = include_str!("../../../expect/routing.toml");

#[test]
fn the_suite_that_ships_holds() {
    let found = outcome("", SUITE);
    assert_eq!((found.broken.clone(), found.contradictions.clone()), (vec![], vec![]));
    assert!(found.tables > 300, "{found:?}");
}

#[rstest]
#[case::cold_in_full("cold_in_full", "no fresh server gets over a fifth")]
#[case::empty_tables("empty_tables", "somebody is open")]
fn a_planted_fault_is_named(#[case] planted: &str, #[case] name: &str) {
    let found = outcome(planted, SUITE);
    assert!(found.broken.iter().any(|broken| broken.name.contains(name)), "{found:?}");
}

#[test]
fn what_fails_once_the_fleet_triples_is_found_with_the_smallest_fleet() {
    // Twelve servers have a twelfth each; thirty-six have less.
    let text = "[fleet]\nservers = 12\n\n[[expect]]\nname = \"a twentieth each\"\nof = \"warm\"\neach = true\nat_least = 0.05\n";
    let found = outcome("", text);
    let broken = &found.broken[0];
    assert!(broken.servers > 12 && broken.servers <= 24, "{broken:?}");
    let kept = outcome("", &text.replace("0.05", "0.02"));
    assert!(kept.broken.iter().all(|broken| broken.shape != "as it is"), "{kept:?}");
}

#[rstest]
#[case::drained("of = \"draining\"\nat_least = 0.1", "drains kept")]
#[case::cold("of = \"fresh\"\nat_least = 0.9", "no cold server pushed over")]
#[case::nobody("of = \"all\"\nat_most = 0.5", "a line to pick")]
#[case::locality("of = \"locality\"\nlocality = \"hal-b\"\nat_least = 0.2", "drains kept")]
fn an_expectation_against_a_rule_is_told(#[case] asked: &str, #[case] rule: &str) {
    let found = outcome("", &format!("[fleet]\nservers = 9\n\n[[expect]]\nname = \"wrong\"\n{asked}\n"));
    assert!(found.contradictions.iter().any(|one| one.rule == rule), "{found:?}");
}

#[rstest]
#[case::group("of = \"shiny\"\nat_most = 0.1", "expect.of")]
#[case::locality("of = \"locality\"\nlocality = \"hal-z\"\nat_most = 0.1", "no locality \"hal-z\"")]
#[case::operation("operation = \"box-eat\"\nof = \"all\"\nat_most = 0.1", "no operation \"box-eat\"")]
#[case::bound("of = \"all\"", "give one of at_most")]
#[case::part("of = \"all\"\nat_most = 7.0", "7 is no part")]
fn a_bad_file_is_refused_with_line_and_remedy(#[case] asked: &str, #[case] said: &str) {
    let path = file(&format!("\n[[expect]]\nname = \"x\"\n{asked}\n"));
    let error = read_expectations(&path, &deployment("")).unwrap_err().to_string();
    assert!(error.contains(said) && error.contains(".toml:2:"), "{error}");
}

#[test]
fn a_captured_table_is_looked_at_by_the_same_words() {
    let deployment = deployment("");
    let told = read_expectations(&file(SUITE), &deployment).unwrap();
    let line = |server: u32, weight: f64, able: f64| {
        format!(
            "{{\"server\": {server}, \"locality\": \"hal-a\", \"out\": false, \"able\": {able}, \"listed\": 1.0, \
             \"line\": {{\"weight\": {weight}, \"draining\": false}}}}"
        )
    };
    let text = format!("{{\"lines\": [{}, {}]}}", line(1, 1.0, 1.0), line(2, 0.9, 0.3));
    let view = captured(&text, &deployment).unwrap();
    let broken: Vec<&str> =
        told.all.iter().filter(|one| one.broken(&view).is_some()).map(|one| one.name.as_str()).collect();
    assert!(broken.iter().any(|name| name.contains("no fresh server")), "{broken:?}");
    assert!(captured("{}", &deployment).is_err());
}
