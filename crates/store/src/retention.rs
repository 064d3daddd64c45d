//! How much history of tables is retained.

use shalereel::interface::{ControllerConfig, Nanos};

/// Most versions retained: two days at one version per second.
const MAX_VERSIONS: usize = 2 * 24 * 3600;
/// Age of history in report intervals: two days at an interval of a second.
const MAX_AGE_INTERVALS: Nanos = 2 * 24 * 3600;
/// Bytes that a line of a version takes in the file.
const BYTES_PER_LINE: f64 = 50.0;
/// Bytes of history, in ratio to the bytes of the lines that fill the channel once.
const CHANNEL_FILLS: f64 = 256.0;

/// How much history is retained: the oldest versions go as soon as one limit is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Versions of all tables.
    pub versions: usize,
    /// Bytes of the versions as they are written.
    pub bytes: usize,
    /// Age of a version, ns.
    pub age: Nanos,
}

impl RetentionLimits {
    /// The limits where the settings name none.
    pub fn new(config: &ControllerConfig) -> Self {
        RetentionLimits {
            versions: MAX_VERSIONS,
            bytes: (config.channel_capacity * BYTES_PER_LINE * CHANNEL_FILLS) as usize,
            age: config.report_interval.saturating_mul(MAX_AGE_INTERVALS),
        }
    }
}
