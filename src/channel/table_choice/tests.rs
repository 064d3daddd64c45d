use rstest::rstest;

use super::*;
use crate::interface::{Action, ControllerConfig, Endpoint};
use crate::message::SECOND;
use crate::testing::{
    assignments, config, decide_acknowledged, draining, endpoint, large_deployment, list_changes, START,
};

#[rstest]
#[case::without_fallback_subsets(START, 0)]
#[case::with_fallback_subsets(0, 20)]
fn full_tables_are_not_assigned_while_they_would_delay_removals(
    config: ControllerConfig,
    #[case] started_at: Nanos,
    #[case] fallback_subsets: usize,
) {
    let mut controller = large_deployment(config, 400, 40);
    let channel = &mut controller.channel;
    for (position, proxy) in channel.proxies.by_id.values_mut().enumerate() {
        proxy.assigned_table = (position < 20).then_some(FULL_TABLE);
    }
    channel.pacing.queued_lines = channel.pacing.capacity_lines / 2.0;
    channel.pacing.updated_at = START + SECOND;
    let others = (201..=400).map(|id| Endpoint { started_at, ..endpoint(id) });
    let events = list_changes((1..=200).map(draining).chain(others));
    let actions = decide_acknowledged(&mut controller, START + SECOND, events);
    let assigns_full_table =
        |action: &Action| matches!(action, Action::AssignTable { table: FULL_TABLE, .. });
    assert!(!actions.iter().any(assigns_full_table));
    if fallback_subsets == 0 {
        // Draining servers leave the tables before newly joined proxies exclude them.
        let removes = matches!(actions[0], Action::SetWeight { table: FULL_TABLE, weight: 0.0, .. });
        assert!(removes, "{:?}", actions[0]);
        assert_eq!(assignments(&actions), 0);
    } else {
        // Newly joined proxies are assigned fallback subsets first, instead of 200 lines each.
        assert!(assignments(&actions) >= fallback_subsets, "{actions:?}");
        assert!(!actions.iter().any(|action| matches!(action, Action::Exclude { .. })));
    }
}
