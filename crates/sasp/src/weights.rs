//! Rounds the weights of a table to the 16 bits of the protocol. [`crate::Advisor`] calls it for each group.

#[cfg(test)]
mod tests;

/// The weight of one member in a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TableWeight {
    /// As sent to proxies, relative to the table's other weights; 0: the member is to receive nothing.
    pub weight: f64,
    /// The member is in slow start: its share of the group's work must not grow by rounding.
    pub warming_up: bool,
}

impl TableWeight {
    fn is_usable(&self) -> bool {
        self.weight.is_finite() && self.weight > 0.0
    }
}

/// Weights of 16 bits, in the order given.
///
/// The greatest becomes 65,535, so that rounding costs least. A warm member with any weight keeps at least 1: a healthy
/// server must stay in use. A member that is warming up is rounded down, and further down as long as its share exceeds
/// the share it was given: in a group of few members rounding could overload it. Where all members are warming up, the
/// greatest keeps its weight, since shares then say nothing of load.
pub fn round_to_u16(weights: &[TableWeight]) -> Vec<u16> {
    let usable = || weights.iter().filter(|weight| weight.is_usable());
    let greatest = usable().map(|weight| weight.weight).fold(0.0, f64::max);
    if greatest <= 0.0 {
        return vec![0; weights.len()];
    }
    let scale = f64::from(u16::MAX) / greatest;
    let mut rounded: Vec<u16> = weights.iter().map(|weight| scale_one(weight, scale)).collect();
    if usable().any(|weight| !weight.warming_up) {
        let sum: f64 = usable().map(|weight| weight.weight).sum();
        lower_shares_of_warming_up(weights, sum, &mut rounded);
    }
    rounded
}

fn scale_one(weight: &TableWeight, scale: f64) -> u16 {
    if !weight.is_usable() {
        0
    } else if weight.warming_up {
        (weight.weight * scale) as u16
    } else {
        (weight.weight * scale).round().max(1.0) as u16
    }
}

/// Lowers weights of members that are warming up until no share exceeds its share of `sum`. Each step lowers the total,
/// and with it raises every other share, so that it repeats until nothing changes.
fn lower_shares_of_warming_up(weights: &[TableWeight], sum: f64, rounded: &mut [u16]) {
    loop {
        let total: f64 = rounded.iter().map(|&weight| f64::from(weight)).sum();
        let mut changed = false;
        let warming_up = weights.iter().zip(rounded.iter_mut()).filter(|(weight, _)| weight.warming_up);
        for (weight, rounded) in warming_up {
            let fair = (weight.weight / sum * total) as u16;
            if *rounded > fair {
                *rounded = fair;
                changed = true;
            }
        }
        if !changed {
            return;
        }
    }
}
