//! Slow start: how much a server gets while it warms up, and when warming servers must wait outside the table.
//! [`Server`](crate::server::Server) asks for the first, [`Fleet`](crate::fleet::Fleet) for the second.
//!
//! Guards warming servers against the load that ejections, reduced weights or removals of others send their way.

use std::collections::{BTreeMap, BTreeSet};

use crate::ejection::weight_in_table;
use crate::interface::*;
use crate::message::*;
use crate::statistics::{median, DecayingSum};

#[cfg(test)]
mod tests;

/// Share of the overload ratio that a warming server may be brought to, relative to its capacity.
const LIMIT_OVERLOAD_SHARE: f64 = 0.6;
/// Where the overload ratio is large, warming servers wait only at a failure rate raised by this share of it.
const WAIT_OVERLOAD_SHARE: f64 = 0.4;
/// Chance of as many failures in a row as make a proxy avoid a server, from which avoidance counts as common.
const AVOIDANCE_PROBABILITY: f64 = 0.01;
/// Multiple of the warm servers' median error rate that the recent failure rate counts up to.
const MAX_FAILURE_RISE: f64 = 2.0;
/// How long after a gap in the reports warming servers wait at fewer failures: what is known may be old.
const REPORT_GAP_CAUTION_TIME: Nanos = 20 * SECOND;
/// A gap is longer than this many report intervals.
const REPORT_GAP_INTERVALS: Nanos = 2;
/// Share of the failure rate at which warming servers otherwise wait that is enough then.
pub(crate) const CAUTIOUS_FAILURE_SHARE: f64 = 0.4;
/// With less than this share of the usual ready weight warm, the warm servers are about to be overloaded.
const MIN_WARM_SHARE: f64 = 0.4;
/// Time constant of the weight that is usually ready.
pub(crate) const USUAL_WEIGHT_TIME_CONSTANT: Nanos = 40 * SECOND;

/// How a server warms up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    /// Share of its capacity that a server has when it starts, 0 to 1.
    pub(crate) capacity: f64,
    /// Time from its start until it has its full capacity, ns.
    pub(crate) duration: Nanos,
    /// Multiple of its capacity that a warming server may get.
    pub(crate) overload_factor: f64,
}

impl SlowStart {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        SlowStart {
            capacity: config.slow_start_capacity,
            duration: config.slow_start_duration,
            overload_factor: (config.overload_ratio * LIMIT_OVERLOAD_SHARE).max(1.0),
        }
    }

    /// Share of its weight that a server may get which started at `started_at` (0: long ago); 1 once it is warm.
    pub(crate) fn weight_share(&self, started_at: Nanos, now: Nanos) -> f64 {
        let age = now.saturating_sub(started_at);
        if started_at == 0 || age >= self.duration {
            return 1.0;
        }
        let capacity = self.capacity + (1.0 - self.capacity) * age as f64 / self.duration as f64;
        (capacity * self.overload_factor).min(1.0 - f64::EPSILON)
    }
}

/// What the weights of one evaluation are computed from.
pub(crate) struct WeightInputs<'a> {
    pub(crate) statuses: &'a BTreeMap<ServerId, ServerStatus>,
    pub(crate) ejected: &'a BTreeSet<ServerId>,
    /// Share of all attempts that succeed, 0 to 1.
    pub(crate) success_rate: f64,
    /// When the last report came; 0: none yet.
    pub(crate) last_report: Nanos,
    pub(crate) now: Nanos,
}

/// Weight of a table in which each warming server stands with its limit: its share there is its limit over the weight of
/// all ready servers, so that ejections and reduced weights of others don't raise it. `ready_weight` is the listed weight
/// of all ready servers over the success rate, since failed attempts come again.
fn total_weight(warm_weight: f64, warming: &[&ServerStatus], ready_weight: f64) -> f64 {
    let limits = warming.iter().filter_map(|status| status.slow_start_limit).sum::<f64>();
    let limited_share = limits / ready_weight.max(f64::MIN_POSITIVE);
    if warm_weight > 0.0 {
        warm_weight / (1.0 - limited_share)
    } else {
        f64::MAX
    }
}

/// Decides on the weights of servers that warm up.
#[derive(Debug, Default)]
pub(crate) struct SlowStartGuard {
    /// Ready weight that there usually is.
    pub(crate) usual_weight: DecayingSum,
    /// Time between two reports of a proxy, ns.
    pub(crate) report_interval: Nanos,
    /// Time in which a server fails that gets too much, ns.
    pub(crate) overload_delay: Nanos,
    /// Failure rate from which proxies avoid many servers by themselves, 0 to 1.
    pub(crate) avoidance_failure_rate: f64,
    /// Until when reports count as incomplete after a gap.
    pub(crate) cautious_until: Nanos,
    /// Share of the failure rate that is enough meanwhile, 0 to 1.
    pub(crate) cautious_failure_share: f64,
}

impl SlowStartGuard {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        let wait_factor = (config.overload_ratio * WAIT_OVERLOAD_SHARE).max(1.0);
        let failures_to_avoid = f64::from(config.failures_to_avoid.max(1));
        SlowStartGuard {
            report_interval: config.report_interval,
            overload_delay: config.overload_delay,
            avoidance_failure_rate: AVOIDANCE_PROBABILITY.powf(1.0 / failures_to_avoid) * wait_factor,
            cautious_failure_share: CAUTIOUS_FAILURE_SHARE,
            ..SlowStartGuard::default()
        }
    }

    /// Notes that a report came: after a gap reports were late, or this process stood still or has just started.
    pub(crate) fn record_report(&mut self, last_report: Nanos, now: Nanos) {
        let max_gap = REPORT_GAP_INTERVALS * self.report_interval;
        let gap = now.saturating_sub(last_report);
        if gap > max_gap {
            let overload_unseen = last_report > 0 && gap > max_gap + self.overload_delay;
            self.cautious_until = now + REPORT_GAP_CAUTION_TIME;
            self.cautious_failure_share = if overload_unseen { 0.0 } else { CAUTIOUS_FAILURE_SHARE };
        }
    }

    /// Weights of all ready servers that are not ejected, warming ones limited to their share of [`total_weight`], or to
    /// 0 while they must wait.
    pub(crate) fn weights(&mut self, inputs: &WeightInputs) -> BTreeMap<ServerId, f64> {
        let ready = inputs.statuses.values().filter(|status| status.is_ready());
        let ready_weight = ready.map(|status| status.listed_weight).sum::<f64>() / inputs.success_rate;
        let included =
            |status: &ServerStatus| status.is_ready() && !inputs.ejected.contains(&status.endpoint.server);
        let (warming, warm): (Vec<&ServerStatus>, Vec<&ServerStatus>) = inputs
            .statuses
            .values()
            .filter(|status| included(status))
            .partition(|status| status.slow_start_limit.is_some());
        let warm_weight: f64 = warm.iter().map(|status| weight_in_table(status)).sum();
        let total_weight = total_weight(warm_weight, &warming, ready_weight);
        let must_wait = self.must_wait(&warm, ready_weight, inputs) && warm_weight > 0.0;
        let limit = |status: &ServerStatus| match status.slow_start_limit {
            _ if must_wait => 0.0,
            Some(limit) => limit / ready_weight * total_weight,
            None => f64::MAX,
        };
        let limited = |status: &ServerStatus| weight_in_table(status).min(limit(status));
        let mut weights = BTreeMap::new();
        weights.extend(warm.iter().map(|status| (status.endpoint.server, weight_in_table(status))));
        weights.extend(warming.iter().map(|status| (status.endpoint.server, limited(status))));
        weights
    }

    /// Whether warming servers wait outside the table: most warm servers fail so often, or would if they were the few
    /// left, that proxies avoid them by themselves and send their load to the warming ones.
    ///
    /// Failures of a few servers do not count: with the warming ones outside, the warm ones alone would be overloaded.
    /// `ready_weight` is the listed weight of all ready servers over the success rate.
    fn must_wait(&mut self, warm: &[&ServerStatus], ready_weight: f64, inputs: &WeightInputs) -> bool {
        let (now, success_rate) = (inputs.now, inputs.success_rate);
        // Weight that the list removes shows an overload before any report does.
        let usual_weight = self.usual_weight.read(now, USUAL_WEIGHT_TIME_CONSTANT);
        self.usual_weight.sum = usual_weight.max(ready_weight * success_rate);
        let warm_weight = warm.iter().map(|status| status.listed_weight).sum::<f64>();
        let warm_share = warm_weight / self.usual_weight.sum;
        let common = MAX_FAILURE_RISE * median(warm.iter().map(|status| status.error_rate).collect());
        let failure_rate = common.min(1.0 - success_rate);
        let failure_share = self.failure_share(warm_share, inputs.last_report, now);
        failure_rate >= self.avoidance_failure_rate * warm_share * failure_share
    }

    /// Share of [`Self::avoidance_failure_rate`] at which warming servers wait: 1 with regular reports, 0 before the first
    /// one.
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
