//! Binary codec of the simulator's wire: batches of events in, replies of orders out. It decides nothing.

mod decode;
mod encode;
mod profile;

pub use decode::{decode_batch, Batch, DecodeError, Incoming};
pub use encode::{encode_action, encode_bug, encode_reply, Reply};
pub use profile::{read_profile, ProfileError};

use shalereel::interface::Nanos;

/// Number by which the simulator tells instances apart.
pub type InstanceId = u32;

const NANOS_PER_MS: f64 = 1e6;

/// Milliseconds as whole nanoseconds; nothing where the figure is no time.
pub(crate) fn nanos(ms: f64) -> Option<Nanos> {
    (ms.is_finite() && ms >= 0.0 && ms < Nanos::MAX as f64 / NANOS_PER_MS)
        .then(|| (ms * NANOS_PER_MS).round() as Nanos)
}

pub(crate) fn millis(span: Nanos) -> f64 {
    span as f64 / NANOS_PER_MS
}
