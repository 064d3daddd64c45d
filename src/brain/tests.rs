use rstest::rstest;

use super::*;

#[rstest]
#[case(vec![], 0.0)]
#[case(vec![3.0, 1.0, 2.0], 2.0)]
fn median_takes_the_middle(#[case] values: Vec<f64>, #[case] middle: f64) {
    assert_eq!(median(values), middle);
}
