use rstest::rstest;

use super::*;
use crate::pacing::PendingMark;
use crate::testing::{config, running_controller, START};

#[rstest]
fn unacknowledged_lines_of_a_proxy_that_left_are_not_queued(config: ControllerConfig) {
    let mut channel = running_controller(&config).channel;
    let mark = PendingMark {
        sent_at: START,
        lines: 900.0,
        queued_lines: 900.0,
        messages: 1,
        awaiting: [1].into(),
        due: START,
    };
    channel.pacing.pending_marks.insert(9, mark);
    channel.handle(Message::Left(1), &mut Mailboxes::at(START));
    assert!(channel.pacing.update_queue(START + SECOND) < 1.0);
}
