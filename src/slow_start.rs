//! Decides the weights of all servers in the tables; those that warm up are limited, or wait.
//! [`Server`](crate::server::Server) asks for a warming server's share, [`Fleet`](crate::fleet::Fleet) for all weights.
//!
//! Guards warming servers against the load that ejections, reduced weights or removals of others send their way.

use std::collections::{BTreeMap, BTreeSet};

use crate::ejection::weight_in_table;
use crate::interface::{ControllerConfig, Nanos, ServerId};
use crate::message::{ServerStatus, SECOND};
use crate::statistics::{median, DecayingSum};

#[cfg(test)]
mod tests;

/// A warming server is given at most `overload_ratio` times this of its capacity, and no less than its capacity.
const LIMIT_OVERLOAD_SHARE: f64 = 0.6;
/// The failure rate at which warming servers wait is multiplied by `overload_ratio` times this, where above 1.
const WAIT_OVERLOAD_SHARE: f64 = 0.4;
/// Avoidance counts as common once a proxy sees `failures_to_avoid` failures in a row with this probability, 0 to 1.
const AVOIDANCE_PROBABILITY: f64 = 0.01;
/// The failure rate counts at most as this multiple of the warm servers' median error rate: failures of a few servers
/// do not count.
const MAX_FAILURE_RISE: f64 = 2.0;
/// How long after a gap in the reports warming servers wait at fewer failures: what is known may be old.
const REPORT_GAP_CAUTION_TIME: Nanos = 20 * SECOND;
/// A gap is longer than this many report intervals.
const REPORT_GAP_INTERVALS: Nanos = 2;
/// After a gap in the reports, warming servers wait from this share of the usual failure rate on, 0 to 1.
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
    /// The last status of each server.
    pub(crate) statuses: &'a BTreeMap<ServerId, ServerStatus>,
    /// Servers that are ejected or begin to be.
    pub(crate) ejected_servers: &'a BTreeSet<ServerId>,
    /// Share of all attempts that succeed, 0 to 1.
    pub(crate) success_rate: f64,
    /// When the last report came; 0: none yet.
    pub(crate) last_report: Nanos,
    pub(crate) now: Nanos,
}

/// Weight of a table in which each warming server stands with its limit: its share there is its limit over the weight
/// of all ready servers, so that ejections and reduced weights of others don't raise it. `weight_with_repeats`:
/// listed weight of all ready servers over the success rate: failed attempts come again, so that as much weight is
/// needed.
fn total_weight(warm_weight: f64, warming: &[&ServerStatus], weight_with_repeats: f64) -> f64 {
    let limits = warming.iter().filter_map(|status| status.slow_start_limit).sum::<f64>();
    let limited_share = limits / weight_with_repeats.max(f64::MIN_POSITIVE);
    if warm_weight > 0.0 {
        warm_weight / (1.0 - limited_share)
    } else {
        // No warm server: warming ones stand with their own weight.
        f64::MAX
    }
}

/// Decides the weights of all servers in the tables.
#[derive(Debug, Default)]
pub(crate) struct TableWeights {
    /// Ready weight that there usually is.
    pub(crate) usual_weight: DecayingSum,
    /// Time between two reports of a proxy, ns.
    pub(crate) report_interval: Nanos,
    /// Time in which a server fails that gets too much, ns.
    pub(crate) overload_delay: Nanos,
    /// Failure rate from which warming servers wait with all warm weight left and regular reports; above 1: they
    /// never wait for it then.
    pub(crate) avoidance_failure_rate: f64,
    /// Until when reports count as incomplete after a gap.
    pub(crate) cautious_until: Nanos,
    /// What `avoidance_failure_rate` is multiplied by while reports are incomplete or little warm weight is left, 0
    /// to 1; 0: warming servers wait whatever the failure rate. Keeps its value until the next gap.
    pub(crate) cautious_failure_share: f64,
}

impl TableWeights {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        let wait_factor = (config.overload_ratio * WAIT_OVERLOAD_SHARE).max(1.0);
        // 0, proxies avoid nothing, counts as 1: warming servers then wait at the fewest failures.
        let failures_to_avoid = f64::from(config.failures_to_avoid.max(1));
        TableWeights {
            report_interval: config.report_interval,
            overload_delay: config.overload_delay,
            avoidance_failure_rate: AVOIDANCE_PROBABILITY.powf(1.0 / failures_to_avoid) * wait_factor,
            cautious_failure_share: CAUTIOUS_FAILURE_SHARE,
            ..TableWeights::default()
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

    /// Weights of all ready servers that are not left out, warming ones limited to their share of [`total_weight`],
    /// or to 0 while they must wait.
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
        let must_wait =
            self.update_usual_weight_and_must_wait(&warm, weight_with_repeats, inputs) && warm_weight > 0.0;
        let limit = |status: &ServerStatus| match status.slow_start_limit {
            _ if must_wait => 0.0,
            Some(limit) => limit / weight_with_repeats * total_weight,
            None => f64::MAX,
        };
        let limited = |status: &ServerStatus| weight_in_table(status).min(limit(status));
        let mut weights = BTreeMap::new();
        weights.extend(warm.iter().map(|status| (status.endpoint.server, weight_in_table(status))));
        weights.extend(warming.iter().map(|status| (status.endpoint.server, limited(status))));
        weights
    }

    /// Brings the usual weight up to date; returns whether warming servers wait outside the table: most warm servers
    /// fail so often, or would if they were the few left, that proxies avoid them by themselves and send their load
    /// to the warming ones.
    ///
    /// Failures of a few servers do not count: with the warming ones outside, the warm ones alone would be
    /// overloaded. `weight_with_repeats`: see [`total_weight`].
    fn update_usual_weight_and_must_wait(
        &mut self,
        warm: &[&ServerStatus],
        weight_with_repeats: f64,
        inputs: &WeightInputs,
    ) -> bool {
        let (now, success_rate) = (inputs.now, inputs.success_rate);
        // Weight that the list removes shows an overload before any report does.
        let usual_weight = self.usual_weight.read(now, USUAL_WEIGHT_TIME_CONSTANT);
        self.usual_weight.sum = usual_weight.max(weight_with_repeats * success_rate);
        let warm_weight = warm.iter().map(|status| status.listed_weight).sum::<f64>();
        let warm_share = warm_weight / self.usual_weight.sum;
        let common = MAX_FAILURE_RISE * median(warm.iter().map(|status| status.error_rate).collect());
        let failure_rate = common.min(1.0 - success_rate);
        let failure_share = self.failure_share(warm_share, inputs.last_report, now);
        failure_rate >= self.avoidance_failure_rate * warm_share * failure_share
    }

    /// What [`Self::avoidance_failure_rate`] is multiplied by, 0 to 1: 1 with regular reports, 0 before the first
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
