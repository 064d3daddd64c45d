//! Health of one server: its score against the fleet, its state with hysteresis, and the capacity learned from its
//! response times. Evaluated by [`Server`](crate::server::Server).

use crate::interface::Nanos;
use crate::message::{EvaluationInputs, SECOND};
use crate::statistics::DecayingSum;

#[cfg(test)]
mod tests;

/// Health score, one minus the mean fault score, below which a server is unhealthy.
const UNHEALTHY_SCORE: f64 = 0.3;
/// Health score above which a server is healthy.
const HEALTHY_SCORE: f64 = 0.7;
/// Error rate above the fleet's median at which the error score is 1.
const CRITICAL_ERROR_RATE: f64 = 0.5;
/// Multiple of the fleet's median response time at which the latency score is 1.
const CRITICAL_LATENCY_RATIO: f64 = 3.0;
/// The health score must stay beyond a threshold for this long before the state changes.
pub(crate) const STATE_CHANGE_DELAY: Nanos = 3 * SECOND;
/// Least share of its weight that health leaves a degraded or unhealthy server.
const MIN_HEALTH_SHARE: f64 = 0.1;

/// Time constant of learned response times: capacity changes slower than health.
pub(crate) const RESPONSE_TIME_CONSTANT: Nanos = 10 * SECOND;
/// Responses of the servers of its kind that a server's mean response time is computed with in addition; also
/// the responses from which a kind's mean is known at all.
pub(crate) const KIND_PRIOR_RESPONSES: f64 = 24.0;
/// Responses from which a mean response time is known at all.
const MIN_RESPONSES: f64 = 1.0;
/// Power of the response time ratio in the capacity factor: below 1, since slow responses are partly queueing.
pub(crate) const CAPACITY_EXPONENT: f64 = 0.75;
/// Power of the ratio of kinds' response times, where listed weights are nominal capacities.
pub(crate) const NOMINAL_KIND_EXPONENT: f64 = 0.5;
/// The learned capacity factor stays within this and its inverse.
const MAX_CAPACITY_FACTOR: f64 = 3.0;

/// Fault scores of a server against the fleet, each from 0, as good as the median, to 1, critical.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultScores {
    pub(crate) errors: f64,
    pub(crate) latency: f64,
}

impl FaultScores {
    /// Scores an error rate, 0 to 1, and a mean response time, ns.
    pub(crate) fn new(error_rate: f64, response_time: Option<f64>, fleet: &EvaluationInputs) -> Self {
        let latency_ratio = response_time
            .filter(|_| fleet.median_response_time > 0.0)
            .map_or(1.0, |time| time / fleet.median_response_time);
        FaultScores {
            errors: ((error_rate - fleet.median_error_rate) / CRITICAL_ERROR_RATE).clamp(0.0, 1.0),
            latency: ((latency_ratio - 1.0) / (CRITICAL_LATENCY_RATIO - 1.0)).clamp(0.0, 1.0),
        }
    }

    /// One minus the mean fault score: 1 is as good as the fleet, 0 critical in all respects.
    pub(crate) fn health_score(&self) -> f64 {
        1.0 - (self.errors + self.latency) / 2.0
    }

    /// Whether the error rate alone is critical.
    pub(crate) fn has_critical_errors(&self) -> bool {
        self.errors >= 1.0
    }
}

/// Health of a server by its score.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Health {
    /// It keeps its weight.
    #[default]
    Healthy,
    /// Its weight is reduced.
    Degraded,
    /// It is an outlier.
    Unhealthy,
}

impl Health {
    /// Reads the number that a snapshot holds.
    pub(crate) fn from_number(number: u8) -> Self {
        [Health::Healthy, Health::Degraded, Health::Unhealthy][usize::from(number.min(2))]
    }

    /// The health that a health score by itself stands for.
    fn of(health_score: f64) -> Self {
        match health_score {
            score if score < UNHEALTHY_SCORE => Health::Unhealthy,
            score if score > HEALTHY_SCORE => Health::Healthy,
            _ => Health::Degraded,
        }
    }
}

/// Health with hysteresis: it changes after [`STATE_CHANGE_DELAY`] beyond a threshold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HealthState {
    pub(crate) health: Health,
    /// Since when the health score has stood for another health.
    changing_since: Option<Nanos>,
}

impl HealthState {
    /// Takes the health score as of `now`.
    pub(crate) fn update(&mut self, health_score: f64, now: Nanos) {
        let next = Health::of(health_score);
        if next == self.health {
            self.changing_since = None;
        } else if now.saturating_sub(*self.changing_since.get_or_insert(now)) >= STATE_CHANGE_DELAY {
            *self = HealthState { health: next, changing_since: None };
        }
    }

    /// Share of its weight that health leaves a server: all if healthy, else by its health score.
    pub(crate) fn weight_share(&self, health_score: f64) -> f64 {
        if self.health == Health::Healthy {
            return 1.0;
        }
        let ratio = (health_score - UNHEALTHY_SCORE) / (HEALTHY_SCORE - UNHEALTHY_SCORE);
        ratio.clamp(MIN_HEALTH_SHARE, 1.0)
    }
}

/// Response times of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseTimes {
    /// Responses that their time is known of.
    pub(crate) responses: DecayingSum,
    /// Their time together, ns.
    pub(crate) total: DecayingSum,
}

impl ResponseTimes {
    /// Adds responses that took `total` ns together.
    pub(crate) fn add(&mut self, now: Nanos, responses: f64, total: f64) {
        self.responses.add(now, RESPONSE_TIME_CONSTANT, responses);
        self.total.add(now, RESPONSE_TIME_CONSTANT, total);
    }

    /// Mean response time, ns, drawn towards that of its kind of servers by [`KIND_PRIOR_RESPONSES`].
    pub(crate) fn mean(&mut self, now: Nanos, kind_response_time: f64) -> Option<f64> {
        let responses = self.responses.read(now, RESPONSE_TIME_CONSTANT);
        let prior = if kind_response_time > 0.0 { KIND_PRIOR_RESPONSES } else { 0.0 };
        (responses > MIN_RESPONSES).then(|| {
            let total = self.total.read(now, RESPONSE_TIME_CONSTANT);
            (total + prior * kind_response_time) / (responses + prior)
        })
    }
}

/// Factor on a listed weight for capacity that the list does not tell: how fast a server responds among its kind and,
/// to the power of `kind_exponent`, its kind among all.
pub(crate) fn capacity_factor(
    response_time: Option<f64>,
    fleet: &EvaluationInputs,
    kind_exponent: f64,
) -> f64 {
    let kind = fleet.kind_response_time;
    let median = fleet.median_response_time;
    let Some(own) = response_time.filter(|&time| time > 0.0 && kind > 0.0 && median > 0.0) else {
        return 1.0;
    };
    let factor = (kind / own).powf(CAPACITY_EXPONENT) * (median / kind).powf(kind_exponent);
    factor.clamp(1.0 / MAX_CAPACITY_FACTOR, MAX_CAPACITY_FACTOR)
}
