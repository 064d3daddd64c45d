//! Rollbacks and caps of weights.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use shalereel::interface::ServerId;
use shalereel_store::{
    plan_rollback, CurrentEndpoint, Line, Lines, Rollback, SkipReason, WeightConstraints, UNIT_WEIGHT,
};

fn endpoint(server: ServerId, weight: f64) -> CurrentEndpoint {
    CurrentEndpoint { server, weight, draining: false, warming_up: false, incarnation: 1 }
}

fn earlier(weights: &[(ServerId, f64)]) -> Lines {
    let line = |weight: f64| Line {
        address: ([127, 1, 0, 1], 80).into(),
        weight: (weight * UNIT_WEIGHT) as u32,
        draining: false,
        incarnation: 1,
    };
    weights.iter().map(|&(server, weight)| (server, line(weight))).collect()
}

#[test]
fn rollback_restores_earlier_weights_and_keeps_their_sum() {
    let now = [endpoint(1, 2.0), endpoint(2, 1.0), endpoint(3, 1.0)];
    let plan = plan_rollback(&now, &earlier(&[(1, 1.0), (2, 1.0), (3, 2.0)]), &BTreeSet::new());
    assert_eq!((plan.restored, plan.skipped.len()), (3, 0));
    let restored: Vec<f64> = now
        .iter()
        .map(|endpoint| endpoint.weight * plan.factors.get(&endpoint.server).copied().unwrap_or(1.0))
        .collect();
    assert_eq!(restored, [1.0, 1.0, 2.0]);
}

#[rstest]
#[case::draining(CurrentEndpoint { draining: true, ..endpoint(1, 1.0) }, SkipReason::Draining)]
#[case::warming_up(CurrentEndpoint { warming_up: true, ..endpoint(1, 1.0) }, SkipReason::WarmingUp)]
#[case::restarted(CurrentEndpoint { incarnation: 2, ..endpoint(1, 1.0) }, SkipReason::Restarted)]
#[case::not_in_earlier_version(endpoint(7, 1.0), SkipReason::NotInEarlierVersion)]
#[case::lowered_by_the_controller(endpoint(1, 0.1), SkipReason::WeightMovedTooFar)]
#[case::raised_by_the_controller(endpoint(1, 9.0), SkipReason::WeightMovedTooFar)]
fn rollback_skips_server_that_cannot_take_its_earlier_weight(
    #[case] server: CurrentEndpoint,
    #[case] reason: SkipReason,
) {
    let now = [server, endpoint(2, 1.0), endpoint(3, 1.2), endpoint(4, 1.0), endpoint(5, 1.0)];
    let earlier_lines = earlier(&[(1, 1.0), (2, 1.2), (3, 1.0), (4, 1.0), (5, 1.0), (6, 1.0)]);
    let plan = plan_rollback(&now, &earlier_lines, &BTreeSet::from([5]));
    assert_eq!(plan.skipped.get(&server.server), Some(&reason), "{plan:?}");
    assert_eq!(
        (plan.skipped.get(&5), plan.skipped.get(&6)),
        (Some(&SkipReason::UnavailableSince), Some(&SkipReason::NotInTable))
    );
    assert!(!plan.factors.contains_key(&server.server) && !plan.factors.contains_key(&6));
    assert!((plan.factors[&2] - 1.2).abs() < 0.01 && (plan.factors[&3] - 1.0 / 1.2).abs() < 0.01);
}

#[test]
fn rollback_raises_weights_first_and_is_applied_and_removed_in_steps() {
    let now = [endpoint(1, 2.0), endpoint(2, 1.0), endpoint(3, 1.0)];
    let plan = plan_rollback(&now, &earlier(&[(1, 1.4), (2, 1.2), (3, 1.4)]), &BTreeSet::new());
    let mut constraints = WeightConstraints::default();
    assert!(constraints.start_rollback(Rollback::new(5, 100, &plan)).is_empty());
    assert_eq!(constraints.factor(1), 1.0);
    assert_eq!(constraints.advance_rollback(2), BTreeSet::from([2, 3]));
    assert!(constraints.factor(3) > 1.0 && constraints.factor(1) == 1.0);
    constraints.on_time(99);
    assert_eq!(constraints.advance_rollback(9), BTreeSet::from([1]));
    // A server that leaves the table and returns has no factor.
    constraints.on_server_left(3);
    assert_eq!(constraints.factor(3), 1.0);
    constraints.on_time(100);
    assert_eq!(constraints.advance_rollback(1), BTreeSet::from([1]));
    assert_eq!(constraints.advance_rollback(1), BTreeSet::from([2]));
    assert!(constraints.rollback().is_none() && !constraints.is_active());
}

#[test]
fn slow_start_weights_are_lowered_with_a_capped_sum() {
    let mut constraints = WeightConstraints::default();
    assert_eq!(constraints.slow_start_factor([(1, 1.0), (2, 1.0)].into_iter()), 1.0);
    assert_eq!(constraints.set_caps(BTreeMap::from([(1, 0.5)])), BTreeSet::from([1]));
    let factor = constraints.slow_start_factor([(1, 1.0), (2, 1.0)].into_iter());
    assert!(factor <= 0.75 && factor > 0.65, "{factor}");
    assert_eq!(constraints.set_caps(BTreeMap::new()), BTreeSet::from([1]));
}
