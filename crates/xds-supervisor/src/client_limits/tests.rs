//! Deadlines and resends of [`ClientLimits`].

use super::*;

#[test]
fn third_rejection_terminates_the_stream_and_timeouts_follow_the_report_interval() {
    let limits = ClientLimits { report_interval: 40, round_trip_and_report: 100, channel_drain_time: 50 };
    assert_eq!(limits.on_nack(1000, 1), NackResponse::ResendAt(1100));
    assert_eq!(limits.on_nack(1000, 2), NackResponse::ResendAt(1200));
    assert_eq!(limits.on_nack(1000, 3), NackResponse::Terminate);
    assert_eq!(limits.ack_deadline(1000), 1600);
    assert_eq!(limits.registry_redial_at(1000), 1040);
    assert_eq!(limits.list_write_at(1000), 1010);
    assert_eq!(limits.health_check_deadline(1000), 1040);
    assert_eq!(limits.connection(1 << 26).user_timeout, 600);
    assert_eq!(limits.balancer().interval, 1);
}
