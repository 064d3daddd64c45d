use rstest::rstest;

use super::*;
use crate::testing::{config, START};

/// Of 1,200 lines, 900 are unacknowledged after one of four acknowledgements; 200 of these are in transit. A mark
/// counts as lost after 12 times the second in which the full channel empties.
#[rstest]
#[case::acknowledged(4, 1, 0.0)]
#[case::three_of_four_unacknowledged(1, 1, 700.0)]
#[case::counts_as_lost(1, 13, 0.0)]
fn unacknowledged_lines_are_still_queued(
    config: ControllerConfig,
    #[case] acknowledgements: ProxyId,
    #[case] seconds: u64,
    #[case] queued: f64,
) {
    let mut pacing = Pacing::new(&config);
    let mark = PendingMark {
        sent_at: START,
        lines: 1_200.0,
        queued_lines: 1_200.0,
        messages: 4,
        awaiting: (0..4).collect(),
        due: START + 20 * SECOND,
    };
    pacing.pending_marks.insert(1, mark);
    (0..acknowledgements).for_each(|proxy| pacing.acknowledge(proxy, 1, START));
    assert!((pacing.update_queue(START + seconds * SECOND) - queued).abs() < 1e-6);
}

#[rstest]
fn acknowledgement_counts_once_and_for_all_earlier_marks(config: ControllerConfig) {
    let mut pacing = Pacing::new(&config);
    let mut send = |at: u64, proxies: &[ProxyId]| {
        let mut mailboxes = Mailboxes::at(START + at);
        pacing.record_sent(1_000.0, proxies.iter().copied().collect(), &mut mailboxes);
        mailboxes.actions.len()
    };
    // Everything sent in one flush forms one message per proxy, with a single mark.
    assert_eq!((send(0, &[1, 2]), send(0, &[2, 3]), send(1, &[1, 2])), (1, 0, 1));
    let awaiting =
        |pacing: &Pacing| pacing.pending_marks.values().map(|mark| mark.awaiting.len()).collect::<Vec<_>>();
    assert_eq!(awaiting(&pacing), [3, 2]);
    let first = &pacing.pending_marks[&1];
    assert_eq!((first.lines, first.messages), (2_000.0, 3));
    // A repeated acknowledgement, one from a proxy with nothing to acknowledge, and one with an unknown
    // serial number.
    for (proxy, serial) in [(1, 1), (1, 1), (9, 1), (2, 7)] {
        pacing.acknowledge(proxy, serial, START);
    }
    assert_eq!(awaiting(&pacing), [2, 2]);
    pacing.acknowledge(2, 2, START);
    assert_eq!(awaiting(&pacing), [1], "messages leave in order: the first ones have left");
    pacing.remove_proxy(1);
    assert_eq!(awaiting(&pacing), [0]);
}

/// Guards against mistaking a channel at a tenth of its rate for an idle one: lines that would be in transit
/// at the configured rate are still queued, which shows once most acknowledgements are late. In time, 2,000 of
/// the 6,000 lines are acknowledged and 200 are taken to be in transit.
#[rstest]
#[case::in_time(0, 6_000.0 - 2_000.0 - 200.0)]
#[case::late(2, 6_000.0)]
fn late_acknowledgements_show_a_slow_channel(
    config: ControllerConfig,
    #[case] seconds_late: u64,
    #[case] queued: f64,
) {
    let mut pacing = Pacing::new(&ControllerConfig { channel_capacity: 20_000.0, ..config });
    let mut mailboxes = Mailboxes::at(START);
    pacing.updated_at = START;
    pacing.record_sent(6_000.0, (0..6).collect(), &mut mailboxes);
    let now = START + 6 * SECOND + seconds_late * SECOND;
    if seconds_late == 0 {
        (0..2).for_each(|proxy| pacing.acknowledge(proxy, 1, START));
    }
    assert_eq!(pacing.update_queue(now), queued);
}
