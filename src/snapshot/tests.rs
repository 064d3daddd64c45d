use std::collections::BTreeMap;

use rstest::rstest;

use super::*;
use crate::interface::{Action, ControllerConfig, Event, ServerId, WatchEvent};
use crate::tables::FULL_TABLE;
use crate::testing::{config, endpoint, report, START};
use crate::Controller;

/// A snapshot of six servers, of which server 3 is ejected and server 4 is slow.
fn six_server_snapshot(ejected_for: Nanos, unresponsive: bool) -> Snapshot {
    let healthy = |server| ServerSnapshot {
        server,
        attempts: 40.0,
        responses: 60.0,
        response_time_sum: 60.0 * SECOND as f64 / 5.0,
        recovery: 1.0,
        ejection_time: 2 * BASE_EJECTION_TIME,
        ..ServerSnapshot::default()
    };
    let ejected = ServerSnapshot {
        health: 2,
        failures: 40.0,
        ejected_for: Some(ejected_for),
        unresponsive,
        ..healthy(3)
    };
    let slow = ServerSnapshot { response_time_sum: 60.0 * SECOND as f64 / 2.0, ..healthy(4) };
    let servers = vec![healthy(1), healthy(2), ejected, slow, healthy(5), healthy(6)];
    Snapshot { servers, attempts: 240.0, failures: 10.0, usual_weight: 6.0, ..Snapshot::default() }
}

/// Weights in the first table that a new controller sends, by server.
fn first_table(config: &ControllerConfig, age: Nanos) -> BTreeMap<ServerId, f64> {
    let mut controller = Controller::new(config);
    let events = vec![
        Event::Endpoints(WatchEvent::Cached((1..7).map(endpoint).collect())),
        Event::Restored { snapshot: six_server_snapshot(SECOND, false), age },
        Event::Joined { proxy: 0, locality: 0, rate: 10.0, is_new: true },
    ];
    let weights = controller.decide(START, events).into_iter().filter_map(|action| match action {
        Action::SetWeight { table: FULL_TABLE, server, weight } => Some((server, weight)),
        _ => None,
    });
    weights.collect()
}

#[rstest]
fn restored_state_weighs_less_with_the_age_of_the_snapshot(config: ControllerConfig) {
    let weights = first_table(&config, 2 * SECOND);
    assert!(!weights.contains_key(&3) && weights.len() == 5, "{weights:?}");
    assert!(weights[&4] < weights[&1], "{weights:?}");
    // The ejection time of 10 s is over by then: the server is back at a tenth of its weight.
    let weights = first_table(&config, 15 * SECOND);
    assert_eq!(weights[&3], RETURN_SHARE);
    // After a week, all servers are treated as if nothing were known.
    let weights = first_table(&config, 7 * 24 * 3600 * SECOND);
    assert!(weights.len() == 6 && weights.values().all(|weight| *weight == weights[&1]), "{weights:?}");
}

#[rstest]
fn restored_unresponsive_server_returns_when_it_responds_and_the_next_snapshot_weighs_less(
    config: ControllerConfig,
) {
    let mut controller = Controller::new(&config);
    let events = vec![
        Event::Endpoints(WatchEvent::Cached((1..7).map(endpoint).collect())),
        Event::Restored { snapshot: six_server_snapshot(SECOND, true), age: SECOND },
    ];
    controller.decide(START, events);
    let now = START + 3 * SECOND;
    let ejected_for = |controller: &mut Controller, now| controller.snapshot(now).servers[2].ejected_for;
    assert_eq!(ejected_for(&mut controller, now), Some(5 * SECOND));
    // After two restarts in a row, the second snapshot is older and weighs less, not more.
    let snapshot = controller.snapshot(now);
    assert!(snapshot.servers[0].attempts < 20.0 && snapshot.attempts < 120.0, "{snapshot:?}");
    controller.decide(now, vec![Event::EndpointReport(report(3, 9, 0))]);
    assert_eq!(ejected_for(&mut controller, now + SECOND), None);
}
