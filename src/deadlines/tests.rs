use rstest::rstest;

use super::*;
use crate::message::SECOND;

/// A channel that sends 100 lines per second and has 50 lines in its queue.
fn forecast() -> DeliveryForecast {
    DeliveryForecast { now: 0, queued_lines: 50.0, lines_per_ns: 100.0 / SECOND as f64, transit: SECOND }
}

#[rstest]
#[case::both_in_time(4, 0)]
#[case::the_later_one_is_late(3, SECOND / 2)]
fn obligations_with_the_earliest_deadline_are_served_first(#[case] deadline_s: u64, #[case] lateness: Nanos) {
    let first = Obligation { deadline: 5 * SECOND / 2, lines: 100.0 };
    let second = Obligation { deadline: deadline_s * SECOND, lines: 100.0 };
    assert_eq!(forecast().max_lateness(&mut [second, first]), lateness);
    assert_eq!(forecast().meets_all(&mut [second, first]), lateness == 0);
}

/// Guards against a change of the log line that operators search for.
#[rstest]
fn missed_deadlines_are_logged_once_per_interval() {
    let mut statistics = DeadlineStatistics::default();
    statistics.record(3, 10 * SECOND, 9 * SECOND);
    assert_eq!(statistics.log_line(0, 10 * SECOND, SECOND), None, "all in time");
    statistics.record(21, 10 * SECOND, 10 * SECOND + SECOND / 4);
    let line = "deadlines missed: 21 proxies notified late, 3 in time, 7 not yet notified; latest by 250 ms";
    assert_eq!(statistics.log_line(7, 10 * SECOND, SECOND).as_deref(), Some(line));
    statistics.record(1, 10 * SECOND, 11 * SECOND);
    assert_eq!(statistics.log_line(0, 10 * SECOND + SECOND / 2, SECOND), None);
    assert!(statistics.log_line(0, 11 * SECOND, SECOND).is_some());
}

/// Guards against late drains that no forecast shows, since the channel is slower than assumed.
#[rstest]
fn messages_acknowledged_after_their_deadline_are_logged() {
    let mut deadlines = AcknowledgedDeadlines::default();
    for proxy in 1..=4 {
        deadlines.sent(proxy, 7, 20 * SECOND);
        deadlines.sent(proxy, 7, 10 * SECOND);
        deadlines.sent(proxy, 8, 30 * SECOND);
    }
    deadlines.acknowledge(1, 7, 10 * SECOND);
    deadlines.acknowledge(1, 7, 90 * SECOND);
    assert_eq!(deadlines.log_line(10 * SECOND, SECOND), None, "in time, and only once");
    // The acknowledgement of a later mark covers the earlier one.
    deadlines.acknowledge(2, 8, 11 * SECOND);
    deadlines.acknowledge(3, 7, 10 * SECOND + SECOND / 2);
    deadlines.remove_proxy(4);
    deadlines.acknowledge(4, 7, 99 * SECOND);
    let line = "drains acknowledged late: 2 messages after the deadline, 2 in time; latest by 1000 ms";
    assert_eq!(deadlines.log_line(11 * SECOND, SECOND).as_deref(), Some(line));
    assert_eq!(deadlines.log_line(12 * SECOND, SECOND), None, "the counts begin anew");
}
