//! Limits on the retained history of tables.

use shalereel::interface::{ControllerConfig, Nanos};

/// Largest number of retained versions: two days at one version per second.
const MAX_VERSIONS: usize = 2 * 24 * 3600;
/// Largest age of history, in report intervals: two days at an interval of one second.
const MAX_AGE_INTERVALS: Nanos = 2 * 24 * 3600;
/// Estimated bytes that one line of a version takes in the file.
const BYTES_PER_LINE: f64 = 50.0;
/// Largest number of lines in the history, as a multiple of the lines that the channel to the proxies can queue.
const MAX_CHANNEL_FILLS: f64 = 256.0;

/// Limits on the retained history: the oldest versions are dropped as soon as any limit is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Number of versions of all tables.
    pub versions: usize,
    /// Bytes of the encoded versions.
    pub bytes: usize,
    /// Age of a version, ns.
    pub age: Nanos,
}

impl RetentionLimits {
    /// The default limits for a controller's settings.
    pub fn new(config: &ControllerConfig) -> Self {
        RetentionLimits {
            versions: MAX_VERSIONS,
            bytes: (config.channel_capacity * BYTES_PER_LINE * MAX_CHANNEL_FILLS) as usize,
            age: config.report_interval.saturating_mul(MAX_AGE_INTERVALS),
        }
    }
}
