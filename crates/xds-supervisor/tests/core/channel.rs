//! The rate of the channel, observed by clients.

use super::*;

#[test]
fn messages_leave_the_channel_at_the_configured_rate() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut clients: Vec<ClientStream> =
        (0..4).map(|at| harness.open_client(at, &format!("f-{at}"), Variant::StateOfTheWorld)).collect();
    for (peer, client) in clients.iter_mut().enumerate() {
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned(), EXCLUDED.to_owned()]);
        harness.core.handle_message(harness.now, peer as Peer, &message);
    }
    // Each client is assigned a table of five servers. Its message costs 10 lines of overhead, 1 for the assignment, 5
    // for the servers, 2 for the admission limits and 1 for the mark: 19 lines, or 19 ms at 1 line per ms.
    harness.run_ms(18);
    assert_eq!(harness.sent.len(), 0);
    assert_eq!(harness.core.backlog().queued_lines, 4.0 * 19.0);
    harness.run_ms(22);
    assert_eq!(harness.sent.len(), 2);
    harness.run_ms(60);
    assert_eq!((harness.sent.len(), harness.core.backlog().queued_lines), (4, 0.0));
}
