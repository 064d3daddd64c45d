//! Decides when a proxy whose replica does not match its digest requests the table again.

use shalereel::interface::Nanos;

/// Largest number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Exponential backoff with jitter, so that proxies that lose a table at the same time do not all request it at once.
#[derive(Clone, Debug)]
pub struct ResyncBackoff {
    initial_delay: Nanos,
    attempts: u32,
    random: oorandom::Rand64,
}

impl ResyncBackoff {
    /// Creates a backoff. `initial_delay`: upper bound of the first delay, ns; it must leave an overtaken delta time to arrive.
    /// `seed` determines the jitter.
    pub fn new(initial_delay: Nanos, seed: u64) -> Self {
        ResyncBackoff { initial_delay, attempts: 0, random: oorandom::Rand64::new(seed.into()) }
    }

    /// Time of the next attempt, ns: between half the delay and the whole delay from now.
    pub(crate) fn next(&mut self, now: Nanos) -> Nanos {
        let delay = (self.initial_delay << self.attempts.min(MAX_DOUBLINGS)) as f64;
        self.attempts += 1;
        now + (delay * (0.5 + 0.5 * self.random.rand_float())) as Nanos
    }

    pub(crate) fn reset(&mut self) {
        self.attempts = 0;
    }
}
