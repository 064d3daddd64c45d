use rstest::rstest;

use crate::interface::ControllerConfig;
use crate::message::DesiredState;
use crate::testing::{config, running_controller, START};

#[rstest]
#[case::by_a_twentieth(1.05, false)]
#[case::by_a_fifth(1.2, true)]
fn weight_is_sent_again_when_it_changed_by_more_than_a_tenth(
    config: ControllerConfig,
    #[case] weight: f64,
    #[case] differs: bool,
) {
    let mut channel = running_controller(&config).channel;
    let desired = DesiredState { weight, ..channel.desired_states[&1] };
    channel.desired_states.insert(1, desired);
    assert_eq!(!channel.differing_lines(START).is_empty(), differs);
}
