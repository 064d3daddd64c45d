use rstest::rstest;

use super::*;
use crate::testing::START;

#[rstest]
#[case::healthy(0.9, Health::Healthy)]
#[case::degraded(0.5, Health::Degraded)]
#[case::unhealthy(0.1, Health::Unhealthy)]
fn health_changes_after_the_state_change_delay(#[case] health_score: f64, #[case] health: Health) {
    let mut state = HealthState::default();
    state.update(health_score, START);
    assert_eq!(state.health, Health::Healthy);
    state.update(health_score, START + STATE_CHANGE_DELAY);
    assert_eq!(state.health, health);
}

#[rstest]
fn capacity_factor_of_a_server_slower_than_its_kind_is_below_one_and_bounded() {
    let fleet = EvaluationInputs {
        median_response_time: 100.0,
        kind_response_time: 100.0,
        ..EvaluationInputs::default()
    };
    assert_eq!(capacity_factor(Some(100.0), &fleet, NOMINAL_KIND_EXPONENT), 1.0);
    assert!(capacity_factor(Some(200.0), &fleet, NOMINAL_KIND_EXPONENT) < 1.0);
    assert_eq!(capacity_factor(Some(1e9), &fleet, NOMINAL_KIND_EXPONENT), 1.0 / MAX_CAPACITY_FACTOR);
    assert_eq!(capacity_factor(None, &fleet, NOMINAL_KIND_EXPONENT), 1.0);
}
