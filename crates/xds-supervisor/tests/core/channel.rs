//! The channel's rate as clients see it.

use super::*;

#[test]
fn channel_keeps_its_rate_and_a_newer_state_is_sent_once() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut clients: Vec<ClientStream> =
        (0..4).map(|at| harness.open_client(at, &format!("f-{at}"), Variant::StateOfTheWorld)).collect();
    for (peer, client) in clients.iter_mut().enumerate() {
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned(), EXCLUDED.to_owned()]);
        harness.core.handle_message(harness.now, peer as Peer, &message);
    }
    // Each is assigned a table of five: 10 of overhead, 1 + 5 lines + 2 admission limits, 1 mark: 19 ms at 1 a ms.
    harness.run_ms(18);
    assert_eq!(harness.sent.len(), 0);
    assert_eq!(harness.core.backlog().queued_lines, 4.0 * 19.0);
    harness.run_ms(22);
    assert_eq!(harness.sent.len(), 2);
    harness.run_ms(60);
    assert_eq!((harness.sent.len(), harness.core.backlog().queued_lines), (4, 0.0));
}
