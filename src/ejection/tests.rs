use rstest::rstest;

use super::*;
use crate::message::{Mailboxes, Message};
use crate::server::Server;
use crate::testing::{endpoint, fleet, record_report, server_config, status, warming, START};

#[rstest]
#[case::few_attempts(1, 1, None)]
#[case::few_failures(40, 4, None)]
#[case::most_fail(40, 36, Some(Fault::Errors))]
fn errors_are_a_fault_only_with_evidence(
    #[case] attempts: u32,
    #[case] failures: u32,
    #[case] fault: Option<Fault>,
) {
    let mut server = Server::new(endpoint(1), START);
    record_report(&mut server, attempts, failures, START);
    assert_eq!(server.evaluate(EvaluationInputs::default(), &server_config(), START).fault, fault);
}

#[rstest]
fn failure_rate_common_to_all_servers_is_not_a_fault_of_one() {
    let mut server = Server::new(endpoint(1), START);
    record_report(&mut server, 40, 30, START);
    let fleet = EvaluationInputs { median_error_rate: 0.7, ..EvaluationInputs::default() };
    assert_eq!(server.evaluate(fleet, &server_config(), START).fault, None);
}

#[rstest]
fn errors_are_not_a_fault_while_failures_are_general() {
    let mut server = Server::new(endpoint(1), START);
    record_report(&mut server, 40, 36, START);
    let fleet = EvaluationInputs { general_failure: true, ..EvaluationInputs::default() };
    assert_eq!(server.evaluate(fleet, &server_config(), START).fault, None);
}

#[rstest]
#[case::others_respond(30.0, 1, Some(Fault::Unresponsive))]
#[case::no_reports_on_any_server(0.0, 1, None)]
#[case::its_report_is_not_due(30.0, 20, None)]
fn server_is_unresponsive_while_others_respond_and_its_report_is_due(
    #[case] responses: f64,
    #[case] max_report_gap_s: u64,
    #[case] fault: Option<Fault>,
) {
    let mut server = Server::new(endpoint(1), START);
    server.responsiveness.applied_share = 0.25;
    let fleet = EvaluationInputs {
        responses,
        max_report_gap: (max_report_gap_s * SECOND) as f64,
        weight_share: 0.25,
        ..EvaluationInputs::default()
    };
    let status = server.evaluate(fleet, &server_config(), START + 10 * SECOND);
    assert_eq!(status.fault, fault);
}

#[rstest]
#[case::unresponsive_responds(Fault::Unresponsive, SECOND, false)]
#[case::failing_responds(Fault::Errors, SECOND, true)]
#[case::ejection_time_over(Fault::Errors, BASE_EJECTION_TIME, false)]
fn ejected_server_returns_after_the_ejection_time_and_an_unresponsive_one_when_it_responds(
    #[case] fault: Fault,
    #[case] after: Nanos,
    #[case] still_ejected: bool,
) {
    let mut server = Server::new(endpoint(1), START);
    server.ejection.fault = Some(fault);
    server.handle(Message::Ejection(true), &server_config(), &mut Mailboxes::at(START));
    record_report(&mut server, 4, 1, START + after);
    let status = server.evaluate(EvaluationInputs::default(), &server_config(), START + after);
    assert_eq!(status.ejected, still_ejected);
    if !still_ejected {
        assert!((status.weight - RETURN_SHARE).abs() < 1e-9);
    }
}

#[rstest]
fn returned_server_recovers_only_with_good_reports() {
    let mut server = Server::new(endpoint(1), START);
    server.return_from_ejection(START);
    let before = server.evaluate(EvaluationInputs::default(), &server_config(), START + 3 * SECOND).weight;
    assert_eq!(before, RETURN_SHARE);
    record_report(&mut server, 3, 0, START + 3 * SECOND);
    let after = server.evaluate(EvaluationInputs::default(), &server_config(), START + 4 * SECOND).weight;
    assert!(after > before);
}

#[rstest]
#[case::a_third_of_nine(9, 9, 3)]
#[case::all_outliers_within_the_limit(9, 2, 2)]
#[case::never_the_only_one(1, 1, 0)]
fn ejections_stop_at_a_third_of_the_ready_servers(
    #[case] servers: u32,
    #[case] outliers: u32,
    #[case] ejected: usize,
) {
    let fault = |id| if id <= outliers { Some(Fault::Errors) } else { None };
    let fleet = fleet((1..=servers).map(|id| ServerStatus { fault: fault(id), ..status(id) }));
    assert_eq!(servers_to_eject(&fleet.statuses).len(), ejected);
}

#[rstest]
fn last_warm_server_is_not_ejected_while_the_others_warm_up() {
    let failing = ServerStatus { fault: Some(Fault::Errors), severity: 2.0, ..status(1) };
    let fleet = fleet((2..10).map(|id| warming(id, 0.2)).chain([failing]));
    assert!(servers_to_eject(&fleet.statuses).is_empty());
}

#[rstest]
#[case::small(30, 5.0)]
#[case::large(600, 8.0)]
fn larger_fleet_needs_more_missing_responses_before_a_server_is_unresponsive(
    #[case] servers: u32,
    #[case] missing_responses: f64,
) {
    let mut mailboxes = Mailboxes::at(START);
    fleet((1..=servers).map(status)).request_statuses(vec![1], &mut mailboxes);
    let Some((_, Message::Evaluate(inputs))) = mailboxes.next() else {
        panic!("no evaluation was requested")
    };
    assert_eq!(inputs.unresponsive_after.round(), missing_responses);
}
