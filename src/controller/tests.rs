use rstest::rstest;

use super::*;
use crate::interface::{Endpoint, HealthCheckOutcome, Readiness, WatchEvent};
use crate::tables::{TableLine, FULL_TABLE};
use crate::testing::{config, endpoint, report, running_controller, START};

#[rstest]
fn identical_events_lead_to_identical_actions(config: ControllerConfig) {
    let run = || {
        let mut controller = running_controller(&config);
        let reports = |at: u64| {
            (1..5).map(move |server| Event::EndpointReport(report(server, 9, (at % server as u64) as u32)))
        };
        (1..40).map(|at| controller.decide(START + at * SECOND, reports(at).collect())).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[rstest]
fn events_on_unknown_servers_and_proxies_lead_to_no_action(config: ControllerConfig) {
    let events = vec![
        Event::EndpointReport(report(99, 5, 5)),
        Event::EndpointReport(report(1, 0, 0)),
        Event::Left { proxy: 77 },
        Event::DemandReport { proxy: 1, operation: 9, total: 5, failures: 5, window: 0 },
        Event::Acknowledged { proxy: 77, serial: u64::MAX, elapsed: Nanos::MAX },
        Event::HealthChecked {
            server: 99,
            outcome: HealthCheckOutcome::Other,
            elapsed: 0,
            load: vec![f64::NAN],
        },
        Event::TimerFired { token: u64::MAX },
    ];
    assert_eq!(running_controller(&config).decide(START + 2 * SECOND, events), []);
}

#[rstest]
fn removed_server_is_forgotten_unless_a_table_contains_it(config: ControllerConfig) {
    let mut controller = Controller::new(&config);
    let list = WatchEvent::Full(vec![endpoint(1), endpoint(2), endpoint(3)]);
    controller.decide(START, vec![Event::Endpoints(list)]);
    controller.channel.sent.weights.insert(TableLine { table: FULL_TABLE, server: 3 }, 1.0);
    let removed = |server| Endpoint { readiness: Readiness::Removed, ..endpoint(server) };
    let change = WatchEvent::Delta(vec![removed(2), removed(3)]);
    controller.decide(START + 1, vec![Event::Endpoints(change)]);
    // Each call of `decide` removes the line again, since the server is no longer desired.
    controller.channel.sent.weights.insert(TableLine { table: FULL_TABLE, server: 3 }, 1.0);
    controller.decide(START + REMOVED_SERVER_RETENTION, Vec::new());
    assert_eq!(controller.servers.len(), 3);
    controller.channel.sent.weights.insert(TableLine { table: FULL_TABLE, server: 3 }, 1.0);
    controller.decide(START + REMOVED_SERVER_RETENTION + 2, Vec::new());
    assert_eq!(controller.servers.keys().copied().collect::<Vec<_>>(), [1, 3]);
    assert!(
        !controller.channel.desired_states.contains_key(&2) && !controller.fleet.statuses.contains_key(&2)
    );
    let listed_again = Event::Endpoints(WatchEvent::Delta(vec![endpoint(2)]));
    controller.decide(START + REMOVED_SERVER_RETENTION + 3, vec![listed_again]);
    assert!(controller.servers.contains_key(&2), "a server that is listed again is created again");
}
