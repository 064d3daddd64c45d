//! Decaying sums, totals of outcomes, and the median, used by all decision rules.

use crate::interface::Nanos;
use crate::message::SECOND;

#[cfg(test)]
mod tests;

/// Time constant of sums of attempts and failures: health reflects about the last 5 s.
pub(crate) const OUTCOME_TIME_CONSTANT: Nanos = 5 * SECOND;
/// Number of successful attempts added to every failure rate as a prior, so that a few failures alone are not
/// significant.
pub(crate) const PRIOR_ATTEMPTS: f64 = 4.0;

/// A sum that decays exponentially; the decay is applied when it is read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    /// Value at `updated_at`.
    pub(crate) sum: f64,
    /// Time at which the decay was last applied.
    pub(crate) updated_at: Nanos,
}

impl DecayingSum {
    /// Returns the sum at `now`; an amount added one `time_constant` ago counts 1/e of its original value.
    pub(crate) fn read(&mut self, now: Nanos, time_constant: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.sum *= (-elapsed / time_constant as f64).exp();
        self.updated_at = now;
        self.sum
    }

    /// Adds an amount at `now`.
    pub(crate) fn add(&mut self, now: Nanos, time_constant: Nanos, amount: f64) {
        self.read(now, time_constant);
        self.sum += amount;
    }
}

/// Share of attempts that failed, 0 to 1, reduced by the prior of [`PRIOR_ATTEMPTS`].
pub(crate) fn failure_rate(failures: f64, attempts: f64) -> f64 {
    failures / (attempts + PRIOR_ATTEMPTS)
}

/// Decaying sums of attempts (or requests) and of their failures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptSums {
    pub(crate) attempts: DecayingSum,
    pub(crate) failures: DecayingSum,
}

impl AttemptSums {
    /// Adds attempts that ended at `now`.
    pub(crate) fn add(&mut self, now: Nanos, attempts: f64, failures: f64) {
        self.attempts.add(now, OUTCOME_TIME_CONSTANT, attempts);
        self.failures.add(now, OUTCOME_TIME_CONSTANT, failures);
    }

    /// Returns both sums at `now`.
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

/// Decaying sums of the outcomes at all servers together, over about one report interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentOutcomes {
    attempts: DecayingSum,
    failures: DecayingSum,
    successes: DecayingSum,
    /// Total time of the successes, ns.
    response_time_sum: DecayingSum,
}

impl RecentOutcomes {
    /// Adds the totals of one report; `response_time_sum` is the total time of its successes, ns.
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

    /// Returns the outcomes at `now`.
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
    /// Total time of the successes, ns.
    pub(crate) response_time_sum: f64,
}

impl OutcomeTotals {
    /// Share of attempts that failed, 0 to 1; see [`failure_rate`].
    pub(crate) fn failure_rate(&self) -> f64 {
        failure_rate(self.failures, self.attempts)
    }

    /// Mean response time, ns, reduced by the prior of [`PRIOR_ATTEMPTS`].
    pub(crate) fn mean_response_time(&self) -> f64 {
        self.response_time_sum / (self.successes + PRIOR_ATTEMPTS)
    }
}

/// Returns the median (of an even number of values, the upper middle one); 0 without values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
