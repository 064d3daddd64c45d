//! Weights of all servers in the tables, with limits for servers that are warming up (slow start).
//! [`Server`](crate::server::Server) asks for the share of a warming server, [`Fleet`](crate::fleet::Fleet)
//! for all weights.
//!
//! Guards warming servers against the load that shifts to them when other servers are ejected, reduced in
//! weight or removed.

use std::collections::{BTreeMap, BTreeSet};

use crate::ejection::weight_in_table;
use crate::interface::{ControllerConfig, Nanos, ServerId};
use crate::message::{ServerStatus, SECOND};
use crate::statistics::{median, DecayingSum};

#[cfg(test)]
mod tests;

/// Load that a warming server may get, as a share of `overload_ratio` times its capacity; at least its capacity.
const SLOW_START_OVERLOAD_SHARE: f64 = 0.6;
/// Factor on the failure rate at which warming servers are held back, as a share of `overload_ratio`; the
/// factor is at least 1.
const HOLD_BACK_OVERLOAD_SHARE: f64 = 0.4;
/// Probability, 0 to 1, that a proxy sees `failures_to_avoid` consecutive failures and avoids the server. From
/// this probability on, avoidance counts as common.
const AVOIDANCE_PROBABILITY: f64 = 0.01;
/// Upper bound of the failure rate, as a multiple of the warm servers' median error rate, so that failures of
/// a few servers do not count.
const MAX_FAILURE_TO_MEDIAN_RATIO: f64 = 2.0;
/// How long after a gap in the reports warming servers are held back at a lower failure rate, since the known
/// state may be outdated.
const REPORT_GAP_CAUTION_TIME: Nanos = 20 * SECOND;
/// Number of report intervals without a report that count as a gap when exceeded.
const REPORT_GAP_INTERVALS: Nanos = 2;
/// Factor on the failure rate at which warming servers are held back after a gap in the reports, 0 to 1.
pub(crate) const CAUTIOUS_FAILURE_SHARE: f64 = 0.4;
/// Share of the usual ready weight below which the remaining warm servers are about to be overloaded.
const MIN_WARM_SHARE: f64 = 0.4;
/// Time constant of the usual ready weight.
pub(crate) const USUAL_WEIGHT_TIME_CONSTANT: Nanos = 40 * SECOND;

/// Parameters of the slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    /// Share of its full capacity that a server has when it starts, 0 to 1.
    pub(crate) capacity: f64,
    /// Time from a server's start until it has its full capacity, ns.
    pub(crate) duration: Nanos,
    /// Load that a warming server may get, as a multiple of its current capacity.
    pub(crate) overload_factor: f64,
}

impl SlowStart {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        SlowStart {
            capacity: config.slow_start_capacity,
            duration: config.slow_start_duration,
            overload_factor: (config.overload_ratio * SLOW_START_OVERLOAD_SHARE).max(1.0),
        }
    }

    /// Share of its weight that a server with the start time `started_at` (0: unknown or long ago) may get; 1
    /// once it is warm.
    pub(crate) fn weight_share(&self, started_at: Nanos, now: Nanos) -> f64 {
        let age = now.saturating_sub(started_at);
        if started_at == 0 || age >= self.duration {
            return 1.0;
        }
        let capacity = self.capacity + (1.0 - self.capacity) * age as f64 / self.duration as f64;
        // Below 1, since a share of 1 means that the server is warm.
        (capacity * self.overload_factor).min(1.0 - f64::EPSILON)
    }
}

/// Inputs of one computation of the weights.
pub(crate) struct WeightInputs<'a> {
    /// The last status of each server.
    pub(crate) statuses: &'a BTreeMap<ServerId, ServerStatus>,
    /// Servers that are ejected or are about to be.
    pub(crate) ejected_servers: &'a BTreeSet<ServerId>,
    /// Share of all attempts that succeed, 0 to 1.
    pub(crate) success_rate: f64,
    /// Time of the last report; 0: none yet.
    pub(crate) last_report: Nanos,
    pub(crate) now: Nanos,
}

/// Total weight of a table in which each warming server has its limited share. That share is its limit
/// divided by the weight of all ready servers, so that ejections and reduced weights of other servers do not
/// raise it. `weight_with_repeats` is the listed weight of all ready servers divided by the success rate:
/// failed attempts are repeated, so correspondingly more weight is needed.
fn total_weight(warm_weight: f64, warming: &[&ServerStatus], weight_with_repeats: f64) -> f64 {
    let limits = warming.iter().filter_map(|status| status.slow_start_limit).sum::<f64>();
    let limited_share = limits / weight_with_repeats.max(f64::MIN_POSITIVE);
    if warm_weight > 0.0 {
        warm_weight / (1.0 - limited_share)
    } else {
        // Without warm servers, warming servers keep their own weight.
        f64::MAX
    }
}

/// Computes the weights of all servers in the tables.
#[derive(Debug, Default)]
pub(crate) struct TableWeights {
    /// Total listed weight that is usually ready.
    pub(crate) usual_weight: DecayingSum,
    /// Time between two reports of a proxy, ns.
    pub(crate) report_interval: Nanos,
    /// Time after which an overloaded server fails, ns.
    pub(crate) overload_delay: Nanos,
    /// Failure rate from which warming servers are held back while the usual warm weight is available and
    /// reports are regular; above 1 they are never held back in that case.
    pub(crate) avoidance_failure_rate: f64,
    /// Time until which reports count as incomplete after a gap.
    pub(crate) cautious_until: Nanos,
    /// Factor on `avoidance_failure_rate` while reports are incomplete or little warm weight is left, 0 to 1;
    /// 0: warming servers are held back at any failure rate. Keeps its value until the next gap.
    pub(crate) cautious_failure_share: f64,
}

impl TableWeights {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        let hold_back_factor = (config.overload_ratio * HOLD_BACK_OVERLOAD_SHARE).max(1.0);
        // 0 (proxies avoid no server) counts as 1: warming servers are then held back at the lowest failure
        // rate.
        let failures_to_avoid = f64::from(config.failures_to_avoid.max(1));
        TableWeights {
            report_interval: config.report_interval,
            overload_delay: config.overload_delay,
            avoidance_failure_rate: AVOIDANCE_PROBABILITY.powf(1.0 / failures_to_avoid) * hold_back_factor,
            cautious_failure_share: CAUTIOUS_FAILURE_SHARE,
            ..TableWeights::default()
        }
    }

    /// Records the arrival of a report. A gap before it means that reports were late, or that this process
    /// was paused or has just started.
    pub(crate) fn record_report(&mut self, last_report: Nanos, now: Nanos) {
        let max_gap = REPORT_GAP_INTERVALS * self.report_interval;
        let gap = now.saturating_sub(last_report);
        if gap > max_gap {
            let overload_unseen = last_report > 0 && gap > max_gap + self.overload_delay;
            self.cautious_until = now + REPORT_GAP_CAUTION_TIME;
            self.cautious_failure_share = if overload_unseen { 0.0 } else { CAUTIOUS_FAILURE_SHARE };
        }
    }

    /// Returns the weights of all ready servers that are not ejected. Warming servers are limited to their
    /// share of [`total_weight`], or get 0 while they are held back.
    pub(crate) fn weights(&mut self, inputs: &WeightInputs) -> BTreeMap<ServerId, f64> {
        let ready = inputs.statuses.values().filter(|status| status.is_ready());
        let weight_with_repeats = ready.map(|status| status.listed_weight).sum::<f64>() / inputs.success_rate;
        let included = |status: &ServerStatus| {
            status.is_ready() && !inputs.ejected_servers.contains(&status.endpoint.server)
        };
        let (warming, warm): (Vec<&ServerStatus>, Vec<&ServerStatus>) = inputs
            .statuses
            .values()
            .filter(|status| included(status))
            .partition(|status| status.slow_start_limit.is_some());
        let warm_weight: f64 = warm.iter().map(|status| weight_in_table(status)).sum();
        let total_weight = total_weight(warm_weight, &warming, weight_with_repeats);
        let hold_back_warming =
            self.update_usual_weight_and_check_hold_back(&warm, weight_with_repeats, inputs)
                && warm_weight > 0.0;
        let limit = |status: &ServerStatus| match status.slow_start_limit {
            _ if hold_back_warming => 0.0,
            Some(limit) => limit / weight_with_repeats * total_weight,
            None => f64::MAX,
        };
        let limited = |status: &ServerStatus| weight_in_table(status).min(limit(status));
        let mut weights = BTreeMap::new();
        weights.extend(warm.iter().map(|status| (status.endpoint.server, weight_in_table(status))));
        weights.extend(warming.iter().map(|status| (status.endpoint.server, limited(status))));
        weights
    }

    /// Updates the usual weight. Returns whether warming servers are held back from the table: most warm
    /// servers fail so often, or would if they were the few left, that proxies avoid them of their own accord
    /// and send their load to the warming servers.
    ///
    /// Failures of a few servers do not count: without the warming servers, the warm ones alone would be
    /// overloaded. `weight_with_repeats`: see [`total_weight`].
    fn update_usual_weight_and_check_hold_back(
        &mut self,
        warm: &[&ServerStatus],
        weight_with_repeats: f64,
        inputs: &WeightInputs,
    ) -> bool {
        let (now, success_rate) = (inputs.now, inputs.success_rate);
        // A loss of listed weight shows an overload before any report does.
        let usual_weight = self.usual_weight.read(now, USUAL_WEIGHT_TIME_CONSTANT);
        self.usual_weight.sum = usual_weight.max(weight_with_repeats * success_rate);
        let warm_weight = warm.iter().map(|status| status.listed_weight).sum::<f64>();
        let warm_share = warm_weight / self.usual_weight.sum;
        let max_failure_rate =
            MAX_FAILURE_TO_MEDIAN_RATIO * median(warm.iter().map(|status| status.error_rate).collect());
        let failure_rate = max_failure_rate.min(1.0 - success_rate);
        let failure_share = self.failure_share(warm_share, inputs.last_report, now);
        failure_rate >= self.avoidance_failure_rate * warm_share * failure_share
    }

    /// Factor on [`Self::avoidance_failure_rate`], 0 to 1: 1 with regular reports, 0 before the first report.
    fn failure_share(&self, warm_share: f64, last_report: Nanos, now: Nanos) -> f64 {
        if last_report == 0 {
            return 0.0;
        }
        let gap = now.saturating_sub(last_report) > REPORT_GAP_INTERVALS * self.report_interval;
        let cautious = gap || now < self.cautious_until || warm_share < MIN_WARM_SHARE;
        if cautious {
            self.cautious_failure_share
        } else {
            1.0
        }
    }
}
