use rstest::rstest;

use super::*;
use crate::interface::Endpoint;
use crate::message::{EvaluationInputs, Mailboxes, Message};
use crate::server::Server;
use crate::testing::{endpoint, fleet, server_config, status, warming, START};

#[rstest]
#[case(0, 0.2)]
#[case(5, 0.6)]
#[case(10, 1.0)]
fn restarted_server_gets_the_weight_share_of_its_age(#[case] age_s: u64, #[case] share: f64) {
    let mut server = Server::new(endpoint(1), 0);
    let restarted = Endpoint { started_at: START, ..endpoint(1) };
    server.handle(Message::Listed(restarted), &server_config(), &mut Mailboxes::at(START));
    let status = server.evaluate(EvaluationInputs::default(), &server_config(), START + age_s * SECOND);
    assert!((status.weight - share).abs() < 1e-9);
    assert_eq!(status.warm, share == 1.0);
}

#[rstest]
#[case::no_failures(1.0)]
#[case::some_failures(0.9)]
fn reduced_weights_of_others_do_not_raise_a_warming_servers_share(#[case] success_rate: f64) {
    let reduced = (2..10).map(|id| ServerStatus { weight: 0.1, ..status(id) });
    let mut fleet = fleet(reduced.chain([ServerStatus { weight: 0.3, ..warming(1, 0.3) }]));
    fleet.update_weights(&BTreeSet::new(), success_rate, START);
    let share = fleet.weights[&1] / fleet.weights.values().sum::<f64>();
    assert!(share <= 0.3 * success_rate / 9.0 + 1e-9, "{share}");
}

#[rstest]
#[case::avoidance_common(0.5, 8, 8, START, true)]
#[case::few_warm_left(0.8, 3, 3, START, true)]
#[case::no_report_since_the_start(1.0, 8, 8, 0, true)]
#[case::few_failures(0.95, 8, 8, START, false)]
#[case::failures_at_a_few_servers(0.5, 8, 3, START, false)]
fn warming_servers_are_held_back_while_proxies_avoid_warm_ones(
    #[case] success_rate: f64,
    #[case] warm: u32,
    #[case] failing: u32,
    #[case] last_report: Nanos,
    #[case] held_back: bool,
) {
    let error_rate = |id| if id <= failing { 1.0 - success_rate } else { 0.0 };
    let warm = (1..=warm).map(|id| ServerStatus { error_rate: error_rate(id), ..status(id) });
    let mut fleet = fleet(warm.chain((20..24).map(|id| warming(id, 0.5))));
    fleet.reports.last = last_report;
    fleet.update_weights(&BTreeSet::new(), success_rate, START);
    assert_eq!(fleet.weights[&20] == 0.0, held_back);
}

#[rstest]
#[case::regular(START, 1, false)]
#[case::gap(START, 3, true)]
#[case::first_reports(0, 1, true)]
fn warming_servers_are_held_back_at_fewer_failures_after_a_gap_in_the_reports(
    #[case] last_report: Nanos,
    #[case] gap_s: u64,
    #[case] held_back: bool,
) {
    let warm = (1..=8).map(|id| ServerStatus { error_rate: 0.2, ..status(id) });
    let mut fleet = fleet(warm.chain([warming(20, 0.5)]));
    fleet.report_interval = SECOND;
    fleet.table_weights.report_interval = SECOND;
    fleet.reports.last = last_report;
    for now in [START, START + gap_s * SECOND] {
        let observed =
            Message::ReportedOutcomes { attempts: 9.0, failures: 2.0, response_time_sum: 0.0, window: 0.0 };
        fleet.handle(observed, &mut Mailboxes::at(now));
    }
    fleet.update_weights(&BTreeSet::new(), 0.75, START + gap_s * SECOND);
    assert_eq!(fleet.weights[&20] == 0.0, held_back);
}

#[rstest]
#[case::most_still_listed(10, false)]
#[case::most_removed(30, true)]
fn warming_servers_are_held_back_at_fewer_failures_after_a_loss_of_weight(
    #[case] usual_weight: u32,
    #[case] held_back: bool,
) {
    let warm = (1..=8).map(|id| ServerStatus { error_rate: 0.1, ..status(id) });
    let mut fleet = fleet(warm.chain([warming(40, 0.5)]));
    fleet.table_weights.usual_weight.add(START, SECOND, f64::from(usual_weight));
    fleet.update_weights(&BTreeSet::new(), 0.9, START);
    assert_eq!(fleet.weights[&40] == 0.0, held_back);
}

#[rstest]
fn warming_servers_keep_a_weight_when_no_warm_server_is_left() {
    let mut fleet = fleet((1..5).map(|id| warming(id, 0.2)));
    fleet.update_weights(&BTreeSet::new(), 0.3, START);
    assert!(fleet.weights.values().all(|&weight| weight > 0.0));
}
