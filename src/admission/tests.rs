use rstest::rstest;

use super::*;
use crate::message::{Message, SECOND};
use crate::testing::{config, START};
use crate::Controller;

/// Limits of both operations after two report intervals with the given mean response times.
fn limits_after(config: &ControllerConfig, response_times: [Nanos; 2]) -> Vec<f64> {
    let mut fleet = Controller::new(config).fleet;
    let mut mailboxes = Mailboxes::default();
    for (interval, response_time) in response_times.into_iter().enumerate() {
        mailboxes.now = START + interval as u64 * 10 * SECOND;
        let response_time_sum = 50.0 * response_time as f64;
        fleet.handle(
            Message::ReportedOutcomes { attempts: 50.0, failures: 0.0, response_time_sum, window: 0.0 },
            &mut mailboxes,
        );
        for operation in 0..2 {
            fleet.handle(Message::Demand { operation, total: 25.0, failures: 0.0 }, &mut mailboxes);
        }
        let recent = fleet.recent_outcomes.read(mailboxes.now, fleet.report_interval);
        fleet.update_admission(recent, 4.0, &mut mailboxes);
    }
    fleet.limits.iter().map(|limit| limit.limit).collect()
}

#[rstest]
fn late_responses_limit_the_operation_with_the_least_value_per_cost(config: ControllerConfig) {
    let limits = limits_after(&config, [SECOND / 5, 3 * SECOND]);
    assert!(limits[0] < 0.8 && limits[1] == 1.0, "{limits:?}");
}

#[rstest]
#[case::quick([SECOND / 5, SECOND / 5])]
#[case::first_measurement_is_not_extrapolated([0, SECOND / 2])]
fn all_requests_are_admitted_while_responses_are_quick(
    config: ControllerConfig,
    #[case] response_times: [Nanos; 2],
) {
    assert_eq!(limits_after(&config, response_times), [1.0, 1.0]);
}

#[rstest]
fn everything_is_admitted_where_limits_are_ignored(mut config: ControllerConfig) {
    config.admission_mode = AdmissionMode::Ignored;
    assert_eq!(limits_after(&config, [SECOND, 9 * SECOND]), [1.0, 1.0]);
}
