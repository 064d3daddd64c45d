//! Sums that decay over time, and the median. Used by all decision modules; nothing is decided here.

use crate::interface::Nanos;

/// A sum that decays exponentially; it is brought up to date when it is read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    /// The sum as of `updated_at`.
    pub(crate) sum: f64,
    /// When it was last brought up to date.
    pub(crate) updated_at: Nanos,
}

impl DecayingSum {
    /// The sum as of `now`, where what was added a `time_constant` ago counts 1/e of what it did.
    pub(crate) fn read(&mut self, now: Nanos, time_constant: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.sum *= (-elapsed / time_constant as f64).exp();
        self.updated_at = now;
        self.sum
    }

    /// Adds to the sum as of `now`.
    pub(crate) fn add(&mut self, now: Nanos, time_constant: Nanos, amount: f64) {
        self.read(now, time_constant);
        self.sum += amount;
    }
}

/// The middle value; 0 where there is none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
