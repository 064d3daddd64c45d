//! Pacing and line counts of the channel.

use super::*;

fn channel() -> Channel {
    Channel {
        lines_per_ns: Some(1e-6),
        message_overhead: 10.0,
        queue: VecDeque::new(),
        queued_lines: 0.0,
        front_since: 0,
        peak_lines: 0.0,
    }
}

#[test]
fn messages_leave_at_the_configured_rate_and_queued_lines_are_counted() {
    let mut channel = channel();
    channel.enqueue(1_000_000, &BTreeMap::from([(1, 5.0), (2, 20.0)]), Some(7));
    assert_eq!((channel.backlog().queued_lines, channel.next_departure()), (45.0, Some(16_000_000)));
    assert_eq!(channel.depart(15_999_999), None);
    let first = channel.depart(60_000_000).unwrap();
    assert_eq!((first.proxy, first.mark, channel.backlog().queued_lines), (1, Some(7), 30.0));
    // The second message began to leave when the first had left the channel, not when the first was taken.
    assert_eq!(channel.next_departure(), Some(46_000_000));
    channel.enqueue(50_000_000, &BTreeMap::from([(3, 0.0)]), None);
    channel.drop_messages_to(2);
    assert_eq!(channel.backlog(), Backlog { peak_lines: 45.0, queued_lines: 10.0 });
    assert_eq!(channel.depart(60_000_000).unwrap().proxy, 3);
    assert_eq!((channel.backlog().queued_lines, channel.next_departure()), (0.0, None));
}
