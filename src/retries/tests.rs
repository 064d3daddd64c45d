use rstest::rstest;

use super::*;
use crate::interface::{Event, WatchEvent};
use crate::message::SECOND;
use crate::testing::{config, endpoint, fleet, report, START};
use crate::Controller;

#[rstest]
fn retries_stop_while_failures_are_general_and_resume_after() {
    let mut fleet = fleet([]);
    fleet.limits =
        vec![AdmissionLimit { operation: 0, limit: 1.0, retry_policy: RetryPolicy::IfNotExecuted }];
    for (failure_rate, retry_policy) in [
        (0.15, RetryPolicy::IfNotExecuted),
        (0.3, RetryPolicy::Never),
        (0.15, RetryPolicy::Never),
        (0.05, RetryPolicy::IfNotExecuted),
    ] {
        fleet.update_retries_and_send_limits(failure_rate, &mut Mailboxes::default());
        assert_eq!(fleet.limits[0].retry_policy, retry_policy);
    }
}

#[rstest]
#[case::one_operation_unaffected(0, true)]
#[case::all_operations_fail(12, false)]
fn failures_are_not_general_while_an_operation_is_unaffected(
    config: ControllerConfig,
    #[case] failures: u32,
    #[case] unaffected: bool,
) {
    let mut controller = Controller::new(&config);
    controller.decide(START, vec![Event::Endpoints(WatchEvent::Full((1..=5).map(endpoint).collect()))]);
    let demand = |operation, failures| Event::DemandReport {
        proxy: 1,
        operation,
        total: 30,
        failures,
        window: SECOND,
    };
    let mut events = vec![demand(0, 12), demand(1, failures)];
    events.extend((1..=5).map(|server| Event::EndpointReport(report(server, 20, 10))));
    controller.decide(START + SECOND, events);
    controller.decide(START + SECOND + 1, Vec::new());
    let fleet = &controller.fleet;
    assert_eq!((!fleet.isolation.is_active(), fleet.retries.general_failure), (unaffected, !unaffected));
}
