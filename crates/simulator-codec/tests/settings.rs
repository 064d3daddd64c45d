//! Tests of the decoding of an instance's settings, as the simulator writes them.

use rstest::rstest;
use shalereel::interface::{
    AdmissionMode, ControllerConfig, DeduplicationScope, Idempotency, ListedCapacity, LoadColumn, LoadSource,
    Operation,
};
use shalereel_simulator_codec::decode_settings;

const SETTINGS: &str = r#"{
  "classes": [
    {"slo_ms": 1.0, "deadline_ms": 2.0, "effect": "pure", "group": "all", "window_ms": 3.0, "worth": 4.0},
    {"slo_ms": 5.0, "deadline_ms": 6.0, "effect": "token", "group": "zone", "window_ms": 7.0, "worth": 8.0},
    {"slo_ms": 9.0, "deadline_ms": 10.0, "effect": "side_effect", "group": "cell", "window_ms": 11.0, "worth": 12.0},
    {"slo_ms": 13.0, "deadline_ms": 14.0, "effect": "pure", "worth": 15.0}],
  "family_info": {
    "admit": "rps", "backlog": 16.0, "cycle_ms": 17.0, "empty_for_ms": 18.0, "fails_to_eject": 19, "first_wait": 20.0,
    "home_only": [true, false], "in_flight_max_ms": 21.0, "key_ranges": 22, "lines_per_s": 23.0, "messages_over_ms": 24.0,
    "mutating": [false, true], "overhead": 25.0, "proxies": 26, "push_delay_ms": 27.0, "reloads_max": 28,
    "retry_default": 29, "sole_owner": true, "tenure_ms": 30.0, "worst_transit_ms": 31.0},
  "fleet_size": 32,
  "invariants": {
    "ask_every_ms": 33.0, "cold_from": 34.0, "cold_ms": 35.0, "drain_grace_ms": 36.0, "fall_ms": 37.0,
    "tip_multiple": 38.0, "drain_binds_alone": true},
  "load_info": {"columns": ["active", "waiting", "cpu", "avg_ms", "other"], "how": "on_probe"},
  "localities": ["a", "b", "c"], "locality": 39, "me": 40, "membership_mode": "pushed",
  "permissions": {"probes": true}, "weights": "live"}"#;

const MS: u64 = 1_000_000;

/// An operation. `figures` are the latency objective, the timeout and the deduplication window in milliseconds,
/// and the priority weight; `flags` are `local_only` and `writes`.
fn operation(
    idempotency: Idempotency,
    deduplication_scope: DeduplicationScope,
    figures: [u64; 4],
    flags: [bool; 2],
) -> Operation {
    Operation {
        idempotency,
        deduplication_scope,
        latency_objective: figures[0] * MS,
        timeout: figures[1] * MS,
        deduplication_window: figures[2] * MS,
        priority_weight: figures[3] as f64,
        local_only: flags[0],
        writes: flags[1],
    }
}

fn expected() -> ControllerConfig {
    let operations = vec![
        operation(Idempotency::Idempotent, DeduplicationScope::Everywhere, [1, 2, 3, 4], [true, false]),
        operation(Idempotency::Keyed, DeduplicationScope::Locality, [5, 6, 7, 8], [false, true]),
        operation(Idempotency::NonIdempotent, DeduplicationScope::Cell, [9, 10, 11, 12], [false, false]),
        operation(Idempotency::Idempotent, DeduplicationScope::Cell, [13, 14, 0, 15], [false, false]),
    ];
    ControllerConfig {
        seed: 41,
        supervisor_index: 40,
        supervisor_count: 32,
        locality: 39,
        locality_count: 3,
        operations,
        polls_endpoints: false,
        admission_mode: AdmissionMode::Rate,
        load_source: LoadSource::HealthChecks,
        load_columns: vec![
            LoadColumn::Active,
            LoadColumn::Waiting,
            LoadColumn::Cpu,
            LoadColumn::ServiceTime,
            LoadColumn::Other,
        ],
        health_checks_allowed: true,
        listed_capacity: ListedCapacity::Approximate,
        proxy_count: 26,
        channel_capacity: 16.0,
        lines_per_s: 23.0,
        message_overhead: 25.0,
        report_interval: 17 * MS,
        max_unserved_time: 18 * MS,
        first_wait: 20.0,
        failures_to_avoid: 19,
        key_range_count: 22,
        sole_owner: true,
        lease_duration: 30 * MS,
        in_flight_max: 21 * MS,
        mean_transit: 27 * MS,
        worst_transit: 31 * MS,
        message_limit: 28,
        message_limit_window: 24 * MS,
        retry_default: 29,
        poll_interval: 33 * MS,
        slow_start_capacity: 34.0,
        slow_start_duration: 35 * MS,
        overload_ratio: 38.0,
        overload_delay: 37 * MS,
        drain_grace: 36 * MS,
        removal_is_advisory: true,
    }
}

/// Guards against a renamed field that is no longer decoded from the simulator's key.
#[rstest]
fn each_setting_is_decoded_from_its_key() {
    let settings = decode_settings(41, SETTINGS.as_bytes()).unwrap();
    assert_eq!(format!("{settings:#?}"), format!("{:#?}", expected()));
}

#[rstest]
#[case::polled(r#""pushed""#, r#""on_request""#, "polls_endpoints: true")]
#[case::admission_ignored(r#""rps""#, r#""off""#, "admission_mode: Ignored")]
#[case::admission_by_ratio(r#""rps""#, r#""ratio""#, "admission_mode: Ratio")]
#[case::load_in_reports(r#""on_probe""#, r#""inline""#, "load_source: Reports")]
#[case::no_load(r#""on_probe""#, r#""off""#, "load_source: None")]
#[case::weights_off(r#""live""#, r#""off""#, "listed_capacity: Unknown")]
#[case::weights_nominal(r#""live""#, r#""nominal""#, "listed_capacity: Nominal")]
#[case::weights_rough(r#""live""#, r#""rough""#, "listed_capacity: Approximate")]
fn each_choice_is_decoded_from_its_value(#[case] value: &str, #[case] other: &str, #[case] decoded: &str) {
    let text = SETTINGS.replacen(value, other, 1);
    let settings = format!("{:?}", decode_settings(41, text.as_bytes()).unwrap());
    assert!(settings.contains(decoded), "{settings}");
}

/// Guards against error messages with names other than the simulator's keys.
#[rstest]
#[case::missing_key("cold_from", "warm_from", "settings of the instance: missing field `cold_from` at line")]
#[case::duplicate_key(
    r#""cold_ms""#,
    r#""cold_from""#,
    "settings of the instance: duplicate field `cold_from` at line"
)]
#[case::invalid_duration(
    "33.0",
    "-1.0",
    "settings of the instance: invalid duration in milliseconds: -1 at line"
)]
#[case::unknown_choice(
    "pushed",
    "pulled",
    "settings of the instance: unknown variant `pulled`, expected `pushed` or `on_request` at line"
)]
#[case::invalid_section(
    r#"{"probes": true}"#,
    "7",
    "settings of the instance: invalid type: integer `7`, expected struct Permissions at line"
)]
#[case::not_an_object(
    "{",
    "7{",
    "settings of the instance: invalid type: integer `7`, expected struct Profile at line"
)]
fn malformed_setting_is_named_by_its_key(#[case] part: &str, #[case] other: &str, #[case] text: &str) {
    let error = decode_settings(41, SETTINGS.replacen(part, other, 1).as_bytes()).unwrap_err();
    assert!(error.to_string().starts_with(text), "{error}");
}
