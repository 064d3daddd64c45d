//! The monotonic clock and units of time.

use rustix::time::{clock_gettime, ClockId};

/// Whole nanoseconds: a duration, or a time on the monotonic clock.
pub type Nanos = u64;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
/// One millisecond.
pub const MILLI: Nanos = 1_000_000;

/// Time on the monotonic clock; a step of the wall clock does not show.
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Nanos * SECOND + time.tv_nsec as Nanos
}
