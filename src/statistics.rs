//! Sums that decay over time, totals of outcomes, and the median. Used by all decision rules; nothing is decided
//! here.

use crate::interface::Nanos;
use crate::message::SECOND;

#[cfg(test)]
mod tests;

/// Time constant of sums of attempts and failures: health is judged by about the last 5 s.
pub(crate) const OUTCOME_TIME_CONSTANT: Nanos = 5 * SECOND;
/// Successful attempts that every failure rate is computed with in addition: a few failures are no evidence.
pub(crate) const PRIOR_ATTEMPTS: f64 = 4.0;

/// A sum that decays exponentially; it is brought up to date when it is read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    /// The sum as of `updated_at`.
    pub(crate) sum: f64,
    /// When it was last brought up to date.
    pub(crate) updated_at: Nanos,
}

impl DecayingSum {
    /// The sum as of `now`, where what was added a `time_constant` ago counts 1/e of what it did.
    pub(crate) fn read(&mut self, now: Nanos, time_constant: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.sum *= (-elapsed / time_constant as f64).exp();
        self.updated_at = now;
        self.sum
    }

    /// Adds to the sum as of `now`.
    pub(crate) fn add(&mut self, now: Nanos, time_constant: Nanos, amount: f64) {
        self.read(now, time_constant);
        self.sum += amount;
    }
}

/// Share of attempts that failed, 0 to 1, drawn towards 0 by [`PRIOR_ATTEMPTS`].
pub(crate) fn failure_rate(failures: f64, attempts: f64) -> f64 {
    failures / (attempts + PRIOR_ATTEMPTS)
}

/// Recent attempts, or requests, and those of them that failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptSums {
    pub(crate) attempts: DecayingSum,
    pub(crate) failures: DecayingSum,
}

impl AttemptSums {
    /// Adds attempts that ended, as of `now`.
    pub(crate) fn add(&mut self, now: Nanos, attempts: f64, failures: f64) {
        self.attempts.add(now, OUTCOME_TIME_CONSTANT, attempts);
        self.failures.add(now, OUTCOME_TIME_CONSTANT, failures);
    }

    /// Both as of `now`.
    pub(crate) fn read(&mut self, now: Nanos) -> AttemptTotals {
        AttemptTotals {
            attempts: self.attempts.read(now, OUTCOME_TIME_CONSTANT),
            failures: self.failures.read(now, OUTCOME_TIME_CONSTANT),
        }
    }

    /// Share of recent attempts that failed, 0 to 1; see [`failure_rate`].
    pub(crate) fn failure_rate(&mut self, now: Nanos) -> f64 {
        let totals = self.read(now);
        failure_rate(totals.failures, totals.attempts)
    }
}

/// [`AttemptSums`] at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTotals {
    pub(crate) attempts: f64,
    pub(crate) failures: f64,
}

/// Outcomes of attempts at all servers together, over about one report interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentOutcomes {
    attempts: DecayingSum,
    failures: DecayingSum,
    successes: DecayingSum,
    /// Time of the successes together, ns.
    response_time_sum: DecayingSum,
}

impl RecentOutcomes {
    /// Adds what one report says; `response_time_sum` is the time of all successes, ns.
    pub(crate) fn add(
        &mut self,
        now: Nanos,
        interval: Nanos,
        attempts: f64,
        failures: f64,
        response_time_sum: f64,
    ) {
        self.attempts.add(now, interval, attempts);
        self.failures.add(now, interval, failures);
        self.successes.add(now, interval, attempts - failures);
        self.response_time_sum.add(now, interval, response_time_sum);
    }

    /// The outcomes as of `now`.
    pub(crate) fn read(&mut self, now: Nanos, interval: Nanos) -> OutcomeTotals {
        OutcomeTotals {
            attempts: self.attempts.read(now, interval),
            failures: self.failures.read(now, interval),
            successes: self.successes.read(now, interval),
            response_time_sum: self.response_time_sum.read(now, interval),
        }
    }
}

/// [`RecentOutcomes`] at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeTotals {
    pub(crate) attempts: f64,
    pub(crate) failures: f64,
    pub(crate) successes: f64,
    /// Time of the successes together, ns.
    pub(crate) response_time_sum: f64,
}

impl OutcomeTotals {
    /// Share of attempts that failed, 0 to 1; see [`failure_rate`].
    pub(crate) fn failure_rate(&self) -> f64 {
        failure_rate(self.failures, self.attempts)
    }

    /// Mean response time, ns, drawn towards 0 by [`PRIOR_ATTEMPTS`].
    pub(crate) fn mean_response_time(&self) -> f64 {
        self.response_time_sum / (self.successes + PRIOR_ATTEMPTS)
    }
}

/// The middle value; 0 where there is none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
