//! Restart with a stored endpoint list.

use super::*;

#[test]
fn restart_serves_the_stored_list_and_ignores_a_damaged_one() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[2]);
    let stored = harness.core.endpoint_list_json();
    for (stored, rows) in [(&stored[..], 4), (&b"{half a li"[..], 0)] {
        let mut harness = Harness::new(Some(stored));
        let mut client = harness.join_viewer(1, "f");
        harness.run_ms(500);
        let received = harness
            .read_and_acknowledge(1, &mut client)
            .last()
            .map_or(0, |update| summaries(update)[0].endpoints);
        assert_eq!(received, rows);
    }
}
