use rstest::rstest;

use super::*;
use crate::testing::{endpoint, record_report, server_config, START};

#[rstest]
#[case::removal_is_advisory(true, true)]
#[case::removal_is_binding(false, false)]
fn removed_server_that_responds_stays_ready_where_removal_is_advisory(
    #[case] removal_is_advisory: bool,
    #[case] ready: bool,
) {
    let mut server = Server::new(endpoint(1), START);
    record_report(&mut server, 9, 0, START);
    server.handle(Message::Removed, &server_config(), &mut Mailboxes::default());
    let config = ServerConfig { removal_is_advisory, ..server_config() };
    assert_eq!(server.evaluate(EvaluationInputs::default(), &config, START).is_ready(), ready);
}

#[rstest]
fn drained_server_stays_excluded_after_it_is_removed() {
    let config = ServerConfig { removal_is_advisory: true, ..server_config() };
    let mut server = Server::new(endpoint(1), START);
    record_report(&mut server, 9, 0, START);
    for readiness in [Readiness::Draining, Readiness::Removed] {
        let listed = Endpoint { readiness, ..endpoint(1) };
        server.handle(Message::Listed(listed), &config, &mut Mailboxes::default());
    }
    let status = server.evaluate(EvaluationInputs::default(), &config, START);
    assert!(status.must_exclude && !status.is_ready());
}
