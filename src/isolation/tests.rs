use rstest::rstest;

use super::*;
use crate::statistics::RecentOutcomes;
use crate::testing::*;

#[rstest]
#[case::rejected_at_once(0.2, true)]
#[case::overload_responds_late(3.0, false)]
fn failures_at_most_servers_isolate_proxies_unless_responses_are_late(
    #[case] response_time_s: f64,
    #[case] isolated: bool,
) {
    let fleet = fleet((1..=10).map(|id| ServerStatus { error_rate: 0.5, ..status(id) }));
    let mut outcomes = RecentOutcomes::default();
    outcomes.add(START, fleet.report_interval, 90.0, 45.0, 45.0 * response_time_s * SECOND as f64);
    let recent = outcomes.read(START, fleet.report_interval);
    let mut isolation = Isolation::default();
    isolation.update(0.5, &recent, fleet.overload_response_time, &fleet.statuses, &mut Mailboxes::at(START));
    assert_eq!(isolation.until.is_some_and(|until| until > START), isolated);
}
