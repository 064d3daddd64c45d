//! The time that the runtime passes to the supervisor with each input.

use shalereel::interface::Nanos;

/// How far the controller's clock is ahead of the monotonic clock. The offset lets it represent server starts
/// that precede the boot of this machine.
const CONTROLLER_CLOCK_OFFSET: Nanos = 24 * 3600 * 1_000_000_000;

/// One point in time, read from the monotonic clock and from the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// Monotonic time, ns.
    pub now: Nanos,
    /// Unix time by the wall clock, ms.
    pub unix_ms: f64,
}

impl Clocks {
    /// This time on the controller's clock, ns.
    pub fn controller_time(&self) -> Nanos {
        self.now + CONTROLLER_CLOCK_OFFSET
    }

    /// Unix time at which the monotonic clock was 0, ms. It changes only when the wall clock is stepped.
    pub(crate) fn monotonic_epoch_ms(&self) -> f64 {
        self.unix_ms - self.now as f64 / 1e6
    }
}
