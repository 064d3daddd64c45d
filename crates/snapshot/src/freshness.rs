//! Whether a stored snapshot is fresh enough to be used, and how often one is written. Decisions, free of I/O and clock.

use shalereel::interface::{ControllerConfig, Nanos};
use thiserror::Error;

/// Report intervals between two writes: a crash loses at most so many intervals of learning.
const WRITE_INTERVALS: Nanos = 2;
/// Age beyond which a snapshot is rejected, in report intervals: ten minutes at an interval of a second.
const MAX_AGE_INTERVALS: Nanos = 600;
/// How far ahead of the clock a snapshot may be, in report intervals; beyond, a clock was set.
const MAX_LEAD_INTERVALS: Nanos = 1;
/// Weight of a proxy's stored request rate beside the one that it reports, for a snapshot of age zero.
const STORED_RATE_WEIGHT: f64 = 0.5;
/// Time constant by which that weight decays, in report intervals.
const STORED_RATE_DECAY_INTERVALS: f64 = 30.0;

const SECOND: Nanos = 1_000_000_000;

/// Why an intact snapshot is not used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RejectReason {
    /// It was taken this far after the present time, ns: a clock was set back, and its age is unknown.
    #[error("it was taken {} s in the future by this clock", .0 / SECOND)]
    FromFuture(Nanos),
    /// Its age, ns.
    #[error("it is {} s old", .0 / SECOND)]
    TooOld(Nanos),
}

/// Rules for the age of snapshots, in ratios to the report interval.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessPolicy {
    pub(crate) report_interval: Nanos,
}

impl FreshnessPolicy {
    /// The policy for a controller's report interval.
    pub fn new(config: &ControllerConfig) -> Self {
        FreshnessPolicy { report_interval: config.report_interval }
    }

    /// When the next snapshot is due, ns, by the time of the last write.
    pub fn next_write(&self, last_write: Nanos) -> Nanos {
        last_write + WRITE_INTERVALS * self.report_interval
    }

    /// Age of a snapshot, ns. Both times are of the wall clock, ns since 1970.
    ///
    /// # Errors
    ///
    /// The reason why the snapshot is not to be used.
    pub fn age(&self, taken_at: Nanos, now: Nanos) -> Result<Nanos, RejectReason> {
        let max_age = MAX_AGE_INTERVALS * self.report_interval;
        let max_lead = MAX_LEAD_INTERVALS * self.report_interval;
        match now.checked_sub(taken_at) {
            Some(age) if age > max_age => Err(RejectReason::TooOld(age)),
            Some(age) => Ok(age),
            None if taken_at - now <= max_lead => Ok(0),
            None => Err(RejectReason::FromFuture(taken_at - now)),
        }
    }

    /// Request rate that a joining proxy is expected to bring, per second: between the rate that it reports and the stored one.
    pub fn expected_rate(&self, reported: f64, stored: Option<f64>, age: Nanos) -> f64 {
        let Some(stored) = stored else { return reported };
        let decay = STORED_RATE_DECAY_INTERVALS * self.report_interval as f64;
        let remaining = (-(age as f64) / decay).exp();
        reported + (stored - reported) * STORED_RATE_WEIGHT * remaining
    }
}
