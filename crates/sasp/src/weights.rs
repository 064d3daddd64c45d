//! How weights become whole numbers of 16 bits. A decision, free of I/O.

/// What the tables say of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// As told to forwarders; 0: nothing may go there.
    pub weight: f64,
    /// It has just started, and its share of the whole must not grow by rounding.
    pub cold: bool,
}

/// Whole weights in the order given.
///
/// The largest becomes 65,535, so that what is lost is least. A warm member with any weight keeps at least 1: a
/// sound server must not become nothing. A cold one is rounded down, and further down as long as its share of
/// the whole would exceed what it was given: a pool with few members must not push it over. Where only cold
/// ones are left, the largest keeps its weight, since shares then say nothing of load.
pub fn whole(figures: &[Figure]) -> Vec<u16> {
    let usable = |figure: &Figure| figure.weight.is_finite() && figure.weight > 0.0;
    let most = figures.iter().filter(|f| usable(f)).map(|f| f.weight).fold(0.0, f64::max);
    if most <= 0.0 {
        return vec![0; figures.len()];
    }
    let scale = f64::from(u16::MAX) / most;
    let sum: f64 = figures.iter().filter(|f| usable(f)).map(|f| f.weight).sum();
    let first = figures.iter().map(|figure| match figure {
        figure if !usable(figure) => 0,
        Figure { weight, cold: true } => (weight * scale) as u16,
        Figure { weight, .. } => (weight * scale).round().max(1.0) as u16,
    });
    let mut whole: Vec<u16> = first.collect();
    if !figures.iter().any(|figure| usable(figure) && !figure.cold) {
        return whole;
    }
    // Each step makes the whole smaller, and with it every other share larger: until nothing moves.
    loop {
        let total: f64 = whole.iter().map(|&weight| f64::from(weight)).sum();
        let mut moved = false;
        for (figure, weight) in figures.iter().zip(&mut whole).filter(|(figure, _)| figure.cold) {
            let fair = (figure.weight / sum * total) as u16;
            if *weight > fair {
                *weight = fair;
                moved = true;
            }
        }
        if !moved {
            return whole;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn a_sound_server_never_becomes_nothing_and_a_drained_one_always_is() {
        let figure = |weight, cold| Figure { weight, cold };
        let told = [figure(1e6, false), figure(1e-6, false), figure(0.0, false), figure(f64::NAN, false)];
        assert_eq!(whole(&told), [u16::MAX, 1, 0, 0]);
        assert_eq!(whole(&[figure(0.0, false); 2]), [0, 0]);
        assert_eq!(whole(&[figure(0.5, true), figure(1.0, true)]), [32767, 65535]);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
        })]
        #[test]
        fn a_cold_share_never_grows(figures in prop::collection::vec((1e-6..1e3_f64, any::<bool>()), 1..60)) {
            let mut told: Vec<Figure> =
                figures.into_iter().map(|(weight, cold)| Figure { weight, cold }).collect();
            told[0].cold = false;
            let got = whole(&told);
            let total: f64 = got.iter().map(|&weight| f64::from(weight)).sum();
            let sum: f64 = told.iter().map(|figure| figure.weight).sum();
            for (figure, weight) in told.iter().zip(got) {
                let (share, fair) = (f64::from(weight) / total, figure.weight / sum);
                prop_assert!(!figure.cold || share <= fair * (1.0 + 1e-12));
                prop_assert!(figure.cold || weight > 0);
            }
        }
    }
}
