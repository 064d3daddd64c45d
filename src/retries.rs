//! Retry policy: detects general failures and decides which retries proxies may make.
//! [`Fleet`](crate::fleet::Fleet) updates it at each evaluation.

use crate::interface::{ControllerConfig, Nanos, RetryPolicy};
use crate::message::{AdmissionLimit, Mailboxes};
use crate::statistics::{AttemptSums, PRIOR_ATTEMPTS};

#[cfg(test)]
mod tests;

/// Failure rate of the fleet above which failures count as general, 0 to 1.
pub(crate) const GENERAL_FAILURE_RATE: f64 = 0.2;
/// Failure rate at or below which failures stop counting as general.
const GENERAL_FAILURE_END_RATE: f64 = 0.1;
/// An operation is unaffected by failures while less than this share of its requests gets no response.
const MAX_UNAFFECTED_FAILURE_RATE: f64 = 0.05;
/// Number of recent requests above which an operation can count as unaffected.
const MIN_UNAFFECTED_REQUESTS: f64 = 2.0 * PRIOR_ATTEMPTS;

/// Decides whether failures are general and whether retries are allowed.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    /// Requests of each operation and how many of them got no response.
    operations: Vec<AttemptSums>,
    /// Failures are currently general.
    pub(crate) general_failure: bool,
}

impl Retries {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        Retries { operations: vec![AttemptSums::default(); config.operations.len()], general_failure: false }
    }

    /// Adds requests of an operation and the number of them that got no response.
    pub(crate) fn record_demand(&mut self, operation: usize, total: f64, failures: f64, now: Nanos) {
        if let Some(sums) = self.operations.get_mut(operation) {
            sums.add(now, total, failures);
        }
    }

    /// Returns whether at least one operation has hardly any failures. Failures are then not general,
    /// whatever their rate. Guards against mistaking servers that reject a single operation for a lack of
    /// capacity or connections, which affects all operations.
    pub(crate) fn has_unaffected_operation(&mut self, now: Nanos) -> bool {
        self.operations.iter_mut().any(|sums| {
            let totals = sums.read(now);
            totals.attempts > MIN_UNAFFECTED_REQUESTS
                && totals.failures < MAX_UNAFFECTED_FAILURE_RATE * totals.attempts
        })
    }

    /// Updates the retry policy. Retries are allowed only if the first attempt was provably not executed,
    /// which is safe for every operation. While failures are general and proxies are not isolated, retries
    /// are disabled: they would add load, and would bring warming servers the requests that warm ones
    /// rejected.
    pub(crate) fn update(
        &mut self,
        failure_rate: f64,
        isolated: bool,
        limits: &mut [AdmissionLimit],
        mailboxes: &mut Mailboxes,
    ) {
        let before = self.general_failure;
        let threshold = if before { GENERAL_FAILURE_END_RATE } else { GENERAL_FAILURE_RATE };
        self.general_failure = failure_rate > threshold;
        if before != self.general_failure {
            let line = if before {
                "general failure ends: retries enabled"
            } else {
                "general failure begins: retries disabled unless proxies are isolated"
            };
            mailboxes.log(line.into());
        }
        let allowed = !self.general_failure || isolated;
        let policy = if allowed { RetryPolicy::IfNotExecuted } else { RetryPolicy::Never };
        for limit in limits {
            limit.retry_policy = policy;
        }
    }
}
