use rstest::rstest;

use super::*;
use crate::interface::Event;
use crate::testing::{config, endpoint, listed, running_controller, START};
use crate::Controller;

#[rstest]
fn server_absent_from_a_full_list_leaves_the_table(config: ControllerConfig) {
    let actions = running_controller(&config).decide(START + SECOND / 10, vec![listed((1..4).map(endpoint))]);
    assert!(actions.contains(&Action::SetWeight { table: 0, server: 4, weight: 0.0 }));
}

#[rstest]
fn failed_watch_is_retried_within_the_poll_interval(mut config: ControllerConfig) {
    config.polls_endpoints = true;
    let mut controller = Controller::new(&config);
    assert!(controller.decide(START, vec![]).contains(&Action::WatchEndpoints { on: true }));
    for _ in 0..9 {
        let actions = controller.decide(START, vec![Event::Endpoints(WatchEvent::Failed)]);
        let retry = |action: &&Action| matches!(action, Action::SetTimer { delay, token: WATCH_RETRY_TIMER } if *delay <= config.poll_interval);
        assert_eq!(actions.iter().filter(retry).count(), 1);
    }
    let actions = controller.decide(START, vec![Event::TimerFired { token: WATCH_RETRY_TIMER }]);
    assert!(actions.contains(&Action::WatchEndpoints { on: true }));
}
