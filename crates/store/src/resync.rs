//! When a proxy whose table does not match requests it again.

use shalereel::interface::Nanos;

/// Doublings of the delay at most.
const MAX_DOUBLINGS: u32 = 6;

/// Exponential backoff with jitter, so that proxies that lose a table together do not request it together.
#[derive(Clone, Debug)]
pub struct ResyncBackoff {
    min_delay: Nanos,
    attempts: u32,
    random: oorandom::Rand64,
}

impl ResyncBackoff {
    /// `min_delay`: the first delay, ns; a delta that was only overtaken arrives within it.
    pub fn new(min_delay: Nanos, seed: u64) -> Self {
        ResyncBackoff { min_delay, attempts: 0, random: oorandom::Rand64::new(seed.into()) }
    }

    /// Time of the next attempt, ns: half to all of the delay from now.
    pub(crate) fn next(&mut self, now: Nanos) -> Nanos {
        let delay = (self.min_delay << self.attempts.min(MAX_DOUBLINGS)) as f64;
        self.attempts += 1;
        now + (delay * (0.5 + 0.5 * self.random.rand_float())) as Nanos
    }

    pub(crate) fn reset(&mut self) {
        self.attempts = 0;
    }
}
