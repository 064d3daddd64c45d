//! The monotonic clock, and the type and units of its times.

use rustix::time::{clock_gettime, ClockId};

/// A duration, or a time on the monotonic clock, in nanoseconds.
pub type Nanos = u64;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
/// One millisecond.
pub const MILLI: Nanos = 1_000_000;

/// Returns the time on the monotonic clock, which steps of the wall clock do not affect.
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Nanos * SECOND + time.tv_nsec as Nanos
}
