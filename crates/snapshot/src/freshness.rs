//! Freshness of stored snapshots: whether one may still be used, and how often one is written. Free of I/O
//! and of clocks.

use shalereel::interface::{ControllerConfig, Nanos};
use thiserror::Error;

/// Number of report intervals between two writes; a crash loses at most this much of the learned state.
const WRITE_INTERVALS: Nanos = 2;
/// Maximum age of a snapshot, in report intervals: ten minutes at an interval of one second.
const MAX_AGE_INTERVALS: Nanos = 600;
/// Maximum lead of a snapshot over the present time, in report intervals; a larger lead means that a clock
/// was set.
const MAX_LEAD_INTERVALS: Nanos = 1;
/// Weight of a proxy's stored request rate relative to the rate that it reports, 0 to 1, for a snapshot of
/// age zero.
const STORED_RATE_WEIGHT: f64 = 0.5;
/// Time constant with which that weight decays, in report intervals.
const STORED_RATE_DECAY_INTERVALS: f64 = 30.0;

/// One second, in [`Nanos`].
const SECOND: Nanos = 1_000_000_000;

/// Reason why an intact snapshot is not used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RejectReason {
    /// The snapshot was taken this far after the present time, ns: a clock was set back, so the snapshot's
    /// age is unknown.
    #[error("it was taken {} s after the present time by this clock", .0 / SECOND)]
    FromFuture(Nanos),
    /// The snapshot has this age, ns, which is above the maximum.
    #[error("it is {} s old", .0 / SECOND)]
    TooOld(Nanos),
}

/// Rules for the age of snapshots, relative to the report interval.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessPolicy {
    pub(crate) report_interval: Nanos,
}

impl FreshnessPolicy {
    /// Creates the policy for a controller's report interval.
    pub fn new(config: &ControllerConfig) -> Self {
        FreshnessPolicy { report_interval: config.report_interval }
    }

    /// Returns when the next snapshot must be written, ns, given the time of the last write.
    pub fn next_write(&self, last_write: Nanos) -> Nanos {
        last_write + WRITE_INTERVALS * self.report_interval
    }

    /// Returns the age of a snapshot, ns. Both times are by the wall clock, ns since 1970.
    ///
    /// # Errors
    ///
    /// Returns the reason if the snapshot must not be used.
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

    /// Returns the request rate expected of a proxy that joins, per second: between the rate that it reports
    /// and its stored rate.
    pub fn expected_rate(&self, reported: f64, stored: Option<f64>, age: Nanos) -> f64 {
        let Some(stored) = stored else { return reported };
        let time_constant = STORED_RATE_DECAY_INTERVALS * self.report_interval as f64;
        let decay = (-(age as f64) / time_constant).exp();
        reported + (stored - reported) * STORED_RATE_WEIGHT * decay
    }
}
