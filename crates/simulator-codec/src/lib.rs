//! Codec of the operators' simulator: batches of events in, replies of actions out; and of the settings, which the platform
//! writes in the same form. It decides nothing and is free of I/O. `shalereel-wirehost` uses all of it; `shalereel node`
//! decodes the `settings` of its configuration with [`decode_settings`].
//!
//! The simulator has names of its own for the records of its wire (`enlist`, `roster`, `digest` and so on) and for the keys of
//! its settings (`worth`, `cycle_ms`, `tip_multiple` and so on). They are mapped to the terms of `shalereel::interface` once,
//! here: records by their codes (`codes`), settings by `serde` attributes. Names of operations,
//! kinds and zones, which the controller does not need, are read in `crates/platform-supervisor/src/config.rs`.

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

/// Whole nanoseconds of a time in milliseconds; `None` where the number is no time.
pub(crate) fn nanos(ms: f64) -> Option<Nanos> {
    let is_time = ms.is_finite() && ms >= 0.0 && ms < Nanos::MAX as f64 / NANOS_PER_MS;
    is_time.then(|| (ms * NANOS_PER_MS).round() as Nanos)
}

/// Milliseconds of a time in nanoseconds.
pub(crate) fn millis(span: Nanos) -> f64 {
    span as f64 / NANOS_PER_MS
}
