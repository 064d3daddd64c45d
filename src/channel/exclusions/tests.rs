use std::collections::BTreeSet;

use rstest::rstest;

use crate::channel::capacity_shares::ASSIGNMENT_CAPACITY_SHARE;
use crate::interface::{Action, ControllerConfig, Endpoint, ProxyId, Readiness};
use crate::message::SECOND;
use crate::tables::FULL_TABLE;
use crate::testing::{
    config, decide_acknowledged, draining, endpoint, joined, list_changes, listed, running_controller, START,
};
use crate::Controller;

#[rstest]
#[case::draining_server_is_excluded(Readiness::Draining, true)]
#[case::removed_server_is_not_excluded(Readiness::Removed, false)]
fn proxy_without_a_table_is_sent_exclusions_when_a_table_would_be_late(
    mut config: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] is_excluded: bool,
) {
    (config.removal_is_advisory, config.drain_grace) = (true, 4 * SECOND);
    let mut controller = running_controller(&config);
    let queued = config.channel_capacity * ASSIGNMENT_CAPACITY_SHARE;
    let excludes = |actions: Vec<Action>| actions.contains(&Action::Exclude { server: 4, on: true });
    controller.channel.pacing.queued_lines = queued;
    controller.channel.pacing.updated_at = START;
    let mut events = list_changes([Endpoint { readiness, ..endpoint(4) }]);
    events.push(joined(2));
    let actions = controller.decide(START + 1, events);
    assert!(!excludes(actions), "its table may still come in time");
    // There is still no capacity for a table; a quarter of the grace period, less the time in the queue, has
    // passed.
    let later = START + config.drain_grace / 8 + 2;
    controller.channel.pacing.queued_lines = queued;
    controller.channel.pacing.updated_at = later;
    assert_eq!(excludes(controller.decide(later, vec![])), is_excluded);
}

#[rstest]
fn exclusions_are_repeated_to_newly_joined_proxies_only(mut config: ControllerConfig) {
    (config.proxy_count, config.channel_capacity) = (200, 5_000.0);
    let mut controller = Controller::new(&config);
    // All other servers are warming up, so no fallback subset can be formed.
    let warming_up = (1..=50).map(|id| Endpoint { started_at: START, ..endpoint(id) });
    controller.decide(START, vec![listed(warming_up.chain((51..=100).map(draining)))]);
    // Full tables cannot be sent in time, so all proxies wait and are sent the exclusions.
    let fill = |controller: &mut Controller, at: u64| {
        let pacing = &mut controller.channel.pacing;
        pacing.pending_marks.clear();
        pacing.queued_lines = 4_000.0 * ASSIGNMENT_CAPACITY_SHARE;
        pacing.updated_at = START + at;
    };
    fill(&mut controller, 1);
    controller.decide(START + 1, (0..20).map(joined).collect());
    // A message takes 5 lines of overhead, the mark and 50 exclusions.
    assert_eq!(controller.channel.pacing.queued_lines, 2_000.0 + 20.0 * (5.0 + 1.0 + 50.0));
    for at in 2..20 {
        fill(&mut controller, at);
        let proxy = 20 + at as ProxyId;
        let actions = controller.decide(START + at, vec![joined(proxy)]);
        let excluded =
            actions.iter().filter(|action| matches!(action, Action::Exclude { on: true, .. })).count();
        let pacing = &controller.channel.pacing;
        assert_eq!((excluded, pacing.queued_lines), (50, 2_000.0 + 5.0 + 1.0 + 50.0), "{at}");
        let mark = pacing.pending_marks.values().next_back().unwrap();
        assert!(mark.awaiting.iter().eq([&proxy]), "{:?}", mark.awaiting);
    }
}

#[rstest]
fn assigned_table_replaces_exclusions(config: ControllerConfig) {
    let mut controller = running_controller(&config);
    controller.decide(START + 1, list_changes([draining(4)]));
    let actions = decide_acknowledged(&mut controller, START + SECOND, vec![joined(7)]);
    let assigns = |action: &Action| matches!(action, Action::AssignTable { proxy: 7, .. });
    assert!(actions.iter().any(assigns));
    assert!(!actions.iter().any(|action| matches!(action, Action::Exclude { .. })));
}

/// Guards against sending exclusions while a table still contains the server: users of that table then
/// receive them too, without a record of it.
#[rstest]
fn server_leaves_the_tables_before_it_is_excluded(mut config: ControllerConfig) {
    (config.proxy_count, config.channel_capacity, config.drain_grace) = (100, 2_000.0, SECOND / 10);
    let mut controller = Controller::new(&config);
    // All servers are warming up, so no fallback subset can be formed.
    let warming_up = |id| Endpoint { started_at: START, ..endpoint(id) };
    controller.decide(START, vec![listed((1..=60).map(warming_up))]);
    controller.decide(START + 1, (0..60).map(joined).collect());
    let proxies = controller.channel.proxies.by_id.values_mut();
    proxies.take(40).for_each(|proxy| proxy.assigned_table = Some(FULL_TABLE));
    let draining = (1..=50).map(|id| Endpoint { readiness: Readiness::Draining, ..warming_up(id) });
    let mut events = list_changes(draining);
    let (mut removed, mut excluded) = (BTreeSet::new(), 0);
    for tenth in 1..100 {
        let now = START + tenth * SECOND / 10;
        for action in decide_acknowledged(&mut controller, now, std::mem::take(&mut events)) {
            match action {
                Action::SetWeight { table: FULL_TABLE, server, weight: 0.0 } => {
                    removed.insert(server);
                }
                Action::Exclude { server, on: true } => {
                    assert!(removed.contains(&server), "{server} is still in the table");
                    excluded += 1;
                }
                _ => {}
            }
        }
    }
    assert!(removed.len() == 50 && excluded > 0, "{removed:?}, {excluded}");
}
