use rstest::rstest;

use super::*;
use crate::message::Message;
use crate::testing::{fleet, status, START};

#[rstest]
#[case::rejected_at_once(0.2, true)]
#[case::overload_responds_late(3.0, false)]
fn failures_at_many_servers_isolate_proxies_unless_responses_are_late(
    #[case] response_time_s: f64,
    #[case] isolated: bool,
) {
    let mut fleet = fleet((1..=10).map(|id| ServerStatus { error_rate: 0.5, ..status(id) }));
    let mailboxes = &mut Mailboxes::at(START);
    let response_time_sum = 45.0 * response_time_s * SECOND as f64;
    fleet.handle(
        Message::ReportedOutcomes { attempts: 90.0, failures: 45.0, response_time_sum, window: 0.0 },
        mailboxes,
    );
    let recent = fleet.recent_outcomes.read(START, fleet.report_interval);
    fleet.update_and_send_isolation(0.5, &recent, mailboxes);
    assert_eq!(fleet.isolation.until.is_some_and(|until| until > START), isolated);
}
