//! Rounding of weights to the 16 bits of a weight entry. Free of I/O.

/// What the tables say of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberWeight {
    /// Weight in its table; 0: it takes nothing new.
    pub weight: f64,
    /// It is warming up: its share must not grow by rounding.
    pub warming_up: bool,
}

impl MemberWeight {
    fn is_usable(&self) -> bool {
        self.weight.is_finite() && self.weight > 0.0
    }
}

/// Weights of 16 bits, in the order given.
///
/// The largest becomes 65,535, so that rounding loses least. A usable member that is not warming up keeps at least 1:
/// rounding must not drain it. One that is warming up is rounded down, and further down while its share of the sum
/// exceeds the share that it was given: rounding in a small pool must not overload it. Where all usable members are warming up,
/// the largest keeps its weight, since shares then say nothing of load.
pub fn to_wire_weights(members: &[MemberWeight]) -> Vec<u16> {
    let usable = || members.iter().filter(|member| member.is_usable());
    let largest = usable().map(|member| member.weight).fold(0.0, f64::max);
    if largest <= 0.0 {
        return vec![0; members.len()];
    }
    let scale = f64::from(u16::MAX) / largest;
    let mut rounded: Vec<u16> = members.iter().map(|member| round(member, scale)).collect();
    if usable().any(|member| !member.warming_up) {
        let sum: f64 = usable().map(|member| member.weight).sum();
        lower_warming_up(members, sum, &mut rounded);
    }
    rounded
}

fn round(member: &MemberWeight, scale: f64) -> u16 {
    if !member.is_usable() {
        0
    } else if member.warming_up {
        (member.weight * scale) as u16
    } else {
        (member.weight * scale).round().max(1.0) as u16
    }
}

/// Lowers members that are warming up to the shares that they were given. Each step lowers the sum, and so raises all
/// other shares: repeated until nothing changes.
fn lower_warming_up(members: &[MemberWeight], sum: f64, rounded: &mut [u16]) {
    loop {
        let total: f64 = rounded.iter().map(|&weight| f64::from(weight)).sum();
        let mut changed = false;
        for (member, weight) in members.iter().zip(&mut *rounded).filter(|(member, _)| member.warming_up) {
            let fair = (member.weight / sum * total) as u16;
            if *weight > fair {
                *weight = fair;
                changed = true;
            }
        }
        if !changed {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
