//! Rounding of weights to 16 bits.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

#[test]
fn usable_weight_is_rounded_to_at_least_1_and_unusable_weight_to_0() {
    let row = |weight, warming_up| TableWeight { weight, warming_up };
    let weights = [row(1e6, false), row(1e-6, false), row(0.0, false), row(f64::NAN, false)];
    assert_eq!(round_to_u16(&weights), [u16::MAX, 1, 0, 0]);
    assert_eq!(round_to_u16(&[row(0.0, false); 2]), [0, 0]);
    assert_eq!(round_to_u16(&[row(0.5, true), row(1.0, true)]), [32767, 65535]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]
    #[test]
    fn rounding_never_raises_the_share_of_a_member_that_is_warming_up(
        rows in prop::collection::vec((1e-6..1e3_f64, any::<bool>()), 1..60)
    ) {
        let mut weights: Vec<TableWeight> =
            rows.into_iter().map(|(weight, warming_up)| TableWeight { weight, warming_up }).collect();
        weights[0].warming_up = false;
        let rounded = round_to_u16(&weights);
        let total: f64 = rounded.iter().map(|&weight| f64::from(weight)).sum();
        let sum: f64 = weights.iter().map(|row| row.weight).sum();
        for (row, weight) in weights.iter().zip(rounded) {
            let (share, share_before) = (f64::from(weight) / total, row.weight / sum);
            prop_assert!(!row.warming_up || share <= share_before * (1.0 + 1e-12));
            prop_assert!(row.warming_up || weight > 0);
        }
    }
}
