//! Rounding of weights, by example and by generated weights.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn positive_weight_stays_positive_and_zero_stays_zero() {
    let member = |weight, warming_up| MemberWeight { weight, warming_up };
    let given = [member(1e6, false), member(1e-6, false), member(0.0, false), member(f64::NAN, false)];
    assert_eq!(to_wire_weights(&given), [u16::MAX, 1, 0, 0]);
    assert_eq!(to_wire_weights(&[member(0.0, false); 2]), [0, 0]);
    assert_eq!(to_wire_weights(&[member(0.5, true), member(1.0, true)]), [32767, 65535]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]
    #[test]
    fn share_of_warming_up_server_never_grows(weights in prop::collection::vec((1e-6..1e3_f64, any::<bool>()), 1..60)) {
        let mut given: Vec<MemberWeight> =
            weights.into_iter().map(|(weight, warming_up)| MemberWeight { weight, warming_up }).collect();
        given[0].warming_up = false;
        let rounded = to_wire_weights(&given);
        let total: f64 = rounded.iter().map(|&weight| f64::from(weight)).sum();
        let sum: f64 = given.iter().map(|member| member.weight).sum();
        for (member, weight) in given.iter().zip(rounded) {
            let (share, fair) = (f64::from(weight) / total, member.weight / sum);
            prop_assert!(!member.warming_up || share <= fair * (1.0 + 1e-12));
            prop_assert!(member.warming_up || weight > 0);
        }
    }
}
