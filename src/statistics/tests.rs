use rstest::rstest;

use super::*;
use crate::testing::START;

#[rstest]
#[case(vec![], 0.0)]
#[case(vec![3.0, 1.0, 2.0], 2.0)]
fn median_is_the_middle_value(#[case] values: Vec<f64>, #[case] middle: f64) {
    assert_eq!(median(values), middle);
}

#[rstest]
fn sum_decays_when_read() {
    let mut sum = DecayingSum::default();
    sum.add(START, SECOND, 2.0);
    assert!((sum.read(START + SECOND, SECOND) - 2.0 / std::f64::consts::E).abs() < 1e-9);
}
