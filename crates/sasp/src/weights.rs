//! Rounds the weights of a table to the 16 bits of the protocol. [`crate::Advisor`] does so for each group.

#[cfg(test)]
mod tests;

/// The weight of one member in a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TableWeight {
    /// Weight as sent to proxies, relative to the other weights of the table; 0 if the member is to receive no work.
    pub weight: f64,
    /// Whether the member is in slow start. Rounding must then not raise its share of the group's work.
    pub warming_up: bool,
}

impl TableWeight {
    fn is_usable(&self) -> bool {
        self.weight.is_finite() && self.weight > 0.0
    }
}

/// Rounds weights to 16 bits; returns them in the given order.
///
/// The greatest weight becomes 65,535, so that the rounding error is smallest. A warm member with a weight above 0 gets at
/// least 1, since a healthy server must stay in use. The weight of a member that is warming up is rounded down, and lowered
/// further as long as its share exceeds its share before rounding, since in a group of few members rounding could overload it.
/// If all members are warming up, no weight is lowered further, since shares then do not indicate load.
pub fn round_to_u16(weights: &[TableWeight]) -> Vec<u16> {
    let usable = || weights.iter().filter(|weight| weight.is_usable());
    let greatest = usable().map(|weight| weight.weight).fold(0.0, f64::max);
    if greatest <= 0.0 {
        return vec![0; weights.len()];
    }
    let scale = f64::from(u16::MAX) / greatest;
    let mut rounded: Vec<u16> = weights.iter().map(|weight| scaled(weight, scale)).collect();
    if usable().any(|weight| !weight.warming_up) {
        let sum: f64 = usable().map(|weight| weight.weight).sum();
        lower_shares_of_warming_up(weights, sum, &mut rounded);
    }
    rounded
}

fn scaled(weight: &TableWeight, scale: f64) -> u16 {
    if !weight.is_usable() {
        0
    } else if weight.warming_up {
        (weight.weight * scale) as u16
    } else {
        (weight.weight * scale).round().max(1.0) as u16
    }
}

/// Lowers the weights of members that are warming up until the share of none exceeds its share of `sum`, the total before
/// rounding. Each step lowers the total and so raises the other shares; therefore the steps repeat until nothing changes.
fn lower_shares_of_warming_up(weights: &[TableWeight], sum: f64, rounded: &mut [u16]) {
    loop {
        let total: f64 = rounded.iter().map(|&weight| f64::from(weight)).sum();
        let mut changed = false;
        let warming_up = weights.iter().zip(rounded.iter_mut()).filter(|(weight, _)| weight.warming_up);
        for (weight, rounded) in warming_up {
            let max_weight = (weight.weight / sum * total) as u16;
            if *rounded > max_weight {
                *rounded = max_weight;
                changed = true;
            }
        }
        if !changed {
            return;
        }
    }
}
