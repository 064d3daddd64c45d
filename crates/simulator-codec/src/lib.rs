//! The codec of the operators' simulator. It decodes batches of events and encodes replies of actions. It
//! also decodes the controller's settings, which the platform writes in the same form as the simulator. It
//! makes no decisions and does no I/O.
//!
//! `shalereel-wirehost` uses the whole codec; `shalereel node` decodes the `settings` of its configuration
//! with [`decode_settings`].
//!
//! The simulator has its own names for the records of its protocol (`enlist`, `roster`, `digest` and so on)
//! and for the keys of its settings (`worth`, `cycle_ms`, `tip_multiple` and so on). Only this crate maps
//! them to the terms of `shalereel::interface`: records by their codes (`codes`), settings by `serde`
//! attributes. The names of operations, kinds and zones, which the controller does not need, are decoded in
//! `crates/platform-supervisor/src/config.rs`.

#![deny(missing_docs)]

mod codes;
mod decode;
mod encode;
mod settings;

pub use decode::{decode_batch, Batch, DecodeError, Record};
pub use encode::{encode_action, encode_failure, encode_reply, Reply};
pub use settings::{decode_settings, SettingsError};

use shalereel::interface::Nanos;

/// Number by which the simulator distinguishes instances of the controller.
pub type InstanceId = u32;

const NANOS_PER_MS: f64 = 1e6;

/// Converts milliseconds to nanoseconds, rounded; `None` if the number is negative, not finite or too large.
pub(crate) fn nanos(ms: f64) -> Option<Nanos> {
    let is_valid = ms.is_finite() && ms >= 0.0 && ms < Nanos::MAX as f64 / NANOS_PER_MS;
    is_valid.then(|| (ms * NANOS_PER_MS).round() as Nanos)
}

/// Converts nanoseconds to milliseconds.
pub(crate) fn millis(span: Nanos) -> f64 {
    span as f64 / NANOS_PER_MS
}
