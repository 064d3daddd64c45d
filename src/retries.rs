//! Retries: when failures are general, and which retries proxies may make. Updated by [`Fleet`](crate::fleet::Fleet)
//! at each evaluation.

use crate::interface::{ControllerConfig, Nanos, RetryPolicy};
use crate::message::{AdmissionLimit, Mailboxes};
use crate::statistics::{AttemptSums, PRIOR_ATTEMPTS};

#[cfg(test)]
mod tests;

/// Failure rate of the fleet above which failures are general, 0 to 1.
pub(crate) const GENERAL_FAILURE_RATE: f64 = 0.2;
/// Failure rate under which they are general no longer.
const GENERAL_FAILURE_END_RATE: f64 = 0.1;
/// An operation is spared by failures while at most this share of its requests gets no response.
const MAX_UNAFFECTED_FAILURE_RATE: f64 = 0.05;
/// Recent requests from which an operation can count as spared.
const MIN_UNAFFECTED_REQUESTS: f64 = 2.0 * PRIOR_ATTEMPTS;

/// Knows whether failures are general.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    /// Requests of each operation, and those that got no response.
    operations: Vec<AttemptSums>,
    /// Failures are general.
    pub(crate) general_failure: bool,
}

impl Retries {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        Retries { operations: vec![AttemptSums::default(); config.operations.len()], general_failure: false }
    }

    /// Adds requests of an operation and those that got no response.
    pub(crate) fn record_demand(&mut self, operation: usize, total: f64, failures: f64, now: Nanos) {
        if let Some(sums) = self.operations.get_mut(operation) {
            sums.add(now, total, failures);
        }
    }

    /// Whether an operation hardly fails: then failures are not general, whatever their rate. Guards against taking
    /// servers that reject one operation for a lack of capacity or connections, which spares none.
    pub(crate) fn has_unaffected_operation(&mut self, now: Nanos) -> bool {
        self.operations.iter_mut().any(|sums| {
            let totals = sums.read(now);
            totals.attempts > MIN_UNAFFECTED_REQUESTS
                && totals.failures < MAX_UNAFFECTED_FAILURE_RATE * totals.attempts
        })
    }

    /// Retries are allowed only where the first attempt provably was not executed, which is safe for every operation.
    /// While failures are general, and proxies are not isolated, they are not allowed at all: they would add load,
    /// and bring warming servers what warm ones rejected.
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
