use rstest::rstest;

use super::*;
use crate::interface::ControllerConfig;
use crate::message::SECOND;
use crate::testing::{
    assignments, config, decide_acknowledged, draining, endpoint, joined, large_deployment, list_changes,
    listed, running_controller, START,
};
use crate::Controller;

#[rstest]
fn newly_joined_proxy_is_assigned_the_full_table_at_once(config: ControllerConfig) {
    let actions = running_controller(&config).decide(START + 1, vec![joined(2)]);
    assert!(actions.contains(&Action::AssignTable { proxy: 2, table: FULL_TABLE, operations: 0 }));
    assert!(!actions.iter().any(|action| matches!(action, Action::SetWeight { .. })));
}

#[rstest]
fn assignments_beyond_the_capacity_of_the_channel_wait(mut config: ControllerConfig) {
    config.channel_capacity = 40.0;
    let actions = running_controller(&config).decide(START + 1, (2..30).map(joined).collect());
    let assigned = assignments(&actions);
    assert!(assigned < 4, "{assigned}");
}

#[rstest]
fn hundred_newly_joined_proxies_are_assigned_a_large_table_in_turn(config: ControllerConfig) {
    let mut controller = large_deployment(config, 400, 100);
    let proxies = controller.channel.proxies.by_id.values();
    let mut assigned = proxies.filter(|proxy| proxy.assigned_table.is_some()).count();
    assert!((1..12).contains(&assigned), "{assigned}");
    for tenth in 1..150 {
        let actions = decide_acknowledged(&mut controller, START + tenth * SECOND / 10, vec![]);
        assigned += assignments(&actions);
    }
    assert_eq!(assigned, 100);
}

#[rstest]
fn assignments_alternate_with_removals_and_neither_is_sent_behind_a_long_queue(mut config: ControllerConfig) {
    (config.proxy_count, config.channel_capacity, config.drain_grace) = (400, 60_000.0, 30 * SECOND);
    let mut controller = Controller::new(&config);
    controller.decide(START, vec![listed((1..=100).map(endpoint))]);
    let queue_target = controller.channel.pacing.configured_queue_target;
    controller.decide(START + 1, (0..400).map(joined).collect());
    let (mut removals, mut most_assigned_lines) = (0, 0.0);
    for quarter in 1..120u32 {
        // One server starts draining each second; everything sent is acknowledged as the queue empties.
        controller.channel.pacing.pending_marks.clear();
        let now = START + Nanos::from(quarter) * SECOND / 4;
        let queued = controller.channel.pacing.update_queue(now);
        let actions = controller.decide(now, list_changes([draining(1 + quarter / 4)]));
        let changes = actions.iter().filter(|action| matches!(action, Action::SetWeight { .. })).count();
        assert!(changes == 0 || queued <= queue_target, "{changes} behind {queued}");
        removals += changes;
        let sent = controller.channel.pacing.queued_lines - queued;
        most_assigned_lines = f64::max(most_assigned_lines, if changes == 0 { sent } else { 0.0 });
    }
    let proxies = controller.channel.proxies.by_id.values();
    let assigned = proxies.filter(|proxy| proxy.assigned_table.is_some()).count();
    // The channel sends 1,000 lines per second for 30 s; a full table takes 109. At least 47 % of
    // that goes to newly joined proxies.
    assert!(assigned >= 130, "{assigned} have a table");
    assert!(removals >= 20, "{removals} removals sent");
    assert!(most_assigned_lines <= queue_target, "{most_assigned_lines} at once");
}
