//! The clocks that a supervisor is given with each input.

use shalereel::interface::Nanos;

/// The controller's clock is ahead of the monotonic one by so much, so that it can express starts before this
/// machine's.
const CONTROLLER_CLOCK_OFFSET: Nanos = 24 * 3600 * 1_000_000_000;

/// One moment on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// Monotonic time.
    pub now: Nanos,
    /// Unix time, ms.
    pub unix_ms: f64,
}

impl Clocks {
    /// Time on the controller's clock.
    pub fn controller_time(&self) -> Nanos {
        self.now + CONTROLLER_CLOCK_OFFSET
    }

    /// Unix time at which the monotonic clock was 0, ms: it changes only when the wall clock is stepped.
    pub(crate) fn monotonic_epoch_ms(&self) -> f64 {
        self.unix_ms - self.now as f64 / 1e6
    }
}
