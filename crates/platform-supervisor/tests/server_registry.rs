//! Tests of the registry of listed servers: their age when they are listed, and the identifiers of forgotten
//! servers.

mod common;

use common::{delta, empty_registry, list_entry, Cells, MS};
use rstest::rstest;
use serde_json::{json, Value};
use shalereel::interface::Action;
use shalereel_platform_supervisor::{Clocks, EndpointList, JoinKind, ProxyTables, ServerRegistry};

const SECOND: u64 = 1_000 * MS;

fn entry(index: u32, state: &str) -> Value {
    list_entry(index, state, Cells(1), 0.0)
}

fn list(version: u64, entries: Vec<Value>) -> EndpointList {
    serde_json::from_value(delta(version, entries)).unwrap()
}

fn apply(tables: &mut ProxyTables, actions: &[Action], registry: &ServerRegistry) -> String {
    let updates = tables.apply(actions, registry, &["look".to_owned()]).unwrap();
    updates.into_iter().map(|update| String::from_utf8(update.bytes.to_vec()).unwrap()).collect()
}

/// Guards against a permanent exclusion: a forgotten server that is listed again gets another identifier,
/// while a proxy still excludes it by name.
#[test]
fn forgotten_server_that_is_listed_again_is_included_again() {
    let mut registry = empty_registry();
    let clocks = |second: u64| Clocks { now: second * SECOND, unix_ms: 1e12 };
    registry.apply(list(1, vec![entry(0, "Ready"), entry(1, "Ready")]), clocks(10), None);
    let mut tables = ProxyTables::new(1);
    tables.join(4, JoinKind::New);
    let update = apply(&mut tables, &[Action::Exclude { server: 2, on: true }], &registry);
    assert!(update.contains("\"out\":[\"s1\"]"), "{update}");
    registry.apply(list(2, vec![entry(1, "Gone")]), clocks(11), None);
    for forgotten in registry.forget_removed(clocks(100).now, |_| false) {
        tables.forget(forgotten);
    }
    let mut again = entry(1, "Ready");
    again["started_ms"] = json!(5e11);
    registry.apply(list(3, vec![again]), clocks(101), None);
    let server = registry.id("s1").unwrap();
    let actions = [
        Action::SetWeight { table: 0, server, weight: 1.0 },
        Action::AssignTable { proxy: 4, table: 0, operations: 0 },
    ];
    let update = apply(&mut tables, &actions, &registry);
    assert!(update.contains("\"back\":[\"s1\"]"), "{update}");
}

/// Clocks at this second of the monotonic clock, with the wall clock stepped by `step_s` seconds.
fn stepped(second: u64, step_s: f64) -> Clocks {
    Clocks { now: second * SECOND, unix_ms: 1e12 + second as f64 * 1e3 + step_s * 1e3 }
}

/// Age that the registry computes for a server that started `started_s` seconds before it is listed, in
/// seconds.
fn age_at_listing(steps_s: [f64; 2], started_s: f64, last_heard_second: Option<u64>) -> f64 {
    let mut registry = empty_registry();
    registry.apply(list(1, vec![]), stepped(100, steps_s[0]), None);
    let now = stepped(200, steps_s[1]);
    let mut entry = entry(1, "Ready");
    // The start time is by the clocks of other machines, which were not stepped.
    entry["started_ms"] = json!(stepped(200, 0.0).unix_ms - started_s * 1e3);
    registry.apply(list(2, vec![entry]), now, last_heard_second.map(|second| second * SECOND));
    let endpoint = registry.iter().next().unwrap().1.endpoint;
    (now.controller_time() - endpoint.started_at) as f64 / 1e9
}

#[rstest]
#[case::no_step([0.0, 0.0], 3.0, Some(198), 3.0)]
#[case::an_hour_forward([0.0, 3_600.0], 3.0, Some(198), 3.0)]
#[case::a_second_back([0.0, -1.0], 3.0, Some(198), 2.0)]
#[case::an_hour_back([0.0, -3_600.0], 3.0, Some(198), 0.0)]
#[case::stepped_before_the_start([3_600.0, 3_600.0], 3.0, Some(198), 8.0)]
#[case::discovery_not_heard_before([0.0, 0.0], 300.0, None, 300.0)]
fn step_of_the_wall_clock_does_not_increase_the_age_of_a_server_beyond_its_bound(
    #[case] steps_s: [f64; 2],
    #[case] started_s: f64,
    #[case] last_heard_second: Option<u64>,
    #[case] expected_s: f64,
) {
    assert!((age_at_listing(steps_s, started_s, last_heard_second) - expected_s).abs() < 1e-3);
}
