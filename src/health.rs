//! Health of a server: its score relative to the fleet, its health state with hysteresis, and the capacity
//! learned from its response times. [`Server`](crate::server::Server) evaluates it.

use crate::interface::Nanos;
use crate::message::{EvaluationInputs, SECOND};
use crate::statistics::DecayingSum;

#[cfg(test)]
mod tests;

/// Health score (one minus the mean fault score) below which a server is unhealthy.
const UNHEALTHY_SCORE: f64 = 0.3;
/// Health score above which a server is healthy.
const HEALTHY_SCORE: f64 = 0.7;
/// Difference between a server's error rate and the fleet's median at which the error score is 1.
const CRITICAL_ERROR_RATE: f64 = 0.5;
/// Ratio of a server's response time to the fleet's median at which the latency score is 1.
const CRITICAL_LATENCY_RATIO: f64 = 3.0;
/// How long the health score must stay beyond a threshold before the health state changes.
pub(crate) const STATE_CHANGE_DELAY: Nanos = 3 * SECOND;
/// Minimum share of its weight that a degraded or unhealthy server keeps.
const MIN_HEALTH_SHARE: f64 = 0.1;

/// Time constant of learned response times; longer than that of outcomes, since capacity changes more slowly
/// than health.
pub(crate) const RESPONSE_TIME_CONSTANT: Nanos = 10 * SECOND;
/// Weight of the prior in a server's mean response time, as a number of responses with the mean time of its
/// kind. Also the minimum number of responses from which the mean of a kind is known.
pub(crate) const KIND_PRIOR_RESPONSES: f64 = 24.0;
/// Number of responses above which a mean response time is known.
const MIN_RESPONSES: f64 = 1.0;
/// Exponent of the response time ratio in the capacity factor; below 1, since part of a slow response is
/// queueing.
pub(crate) const CAPACITY_EXPONENT: f64 = 0.75;
/// Exponent of the ratio of response times between kinds of servers, where listed weights are nominal
/// capacities.
pub(crate) const NOMINAL_KIND_EXPONENT: f64 = 0.5;
/// Upper bound of the learned capacity factor; its inverse is the lower bound.
const MAX_CAPACITY_FACTOR: f64 = 3.0;

/// Fault scores of a server relative to the fleet, each from 0 (no worse than the median) to 1 (critical).
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultScores {
    pub(crate) errors: f64,
    pub(crate) latency: f64,
}

impl FaultScores {
    /// Computes the scores of an error rate, 0 to 1, and a mean response time, ns.
    pub(crate) fn new(error_rate: f64, response_time: Option<f64>, fleet: &EvaluationInputs) -> Self {
        let latency_ratio = response_time
            .filter(|_| fleet.median_response_time > 0.0)
            .map_or(1.0, |time| time / fleet.median_response_time);
        FaultScores {
            errors: ((error_rate - fleet.median_error_rate) / CRITICAL_ERROR_RATE).clamp(0.0, 1.0),
            latency: ((latency_ratio - 1.0) / (CRITICAL_LATENCY_RATIO - 1.0)).clamp(0.0, 1.0),
        }
    }

    /// One minus the mean fault score: 1 is as good as the fleet, 0 is critical in all respects.
    pub(crate) fn health_score(&self) -> f64 {
        1.0 - (self.errors + self.latency) / 2.0
    }

    /// Whether the error rate alone is critical.
    pub(crate) fn has_critical_errors(&self) -> bool {
        self.errors >= 1.0
    }
}

/// Health of a server, derived from its health score.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Health {
    /// The server keeps its full weight.
    #[default]
    Healthy,
    /// The server's weight is reduced.
    Degraded,
    /// The server is an outlier.
    Unhealthy,
}

impl Health {
    /// Converts the number stored in a snapshot.
    pub(crate) fn from_number(number: u8) -> Self {
        [Health::Healthy, Health::Degraded, Health::Unhealthy][usize::from(number.min(2))]
    }

    /// The health that corresponds to a health score, without hysteresis.
    fn from_score(health_score: f64) -> Self {
        match health_score {
            score if score < UNHEALTHY_SCORE => Health::Unhealthy,
            score if score > HEALTHY_SCORE => Health::Healthy,
            _ => Health::Degraded,
        }
    }
}

/// Health with hysteresis: it changes after the score has been beyond a threshold for [`STATE_CHANGE_DELAY`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HealthState {
    pub(crate) health: Health,
    /// Time since which the health score has corresponded to another health.
    changing_since: Option<Nanos>,
}

impl HealthState {
    /// Updates the health by the health score at `now`.
    pub(crate) fn update(&mut self, health_score: f64, now: Nanos) {
        let next = Health::from_score(health_score);
        if next == self.health {
            self.changing_since = None;
        } else if now.saturating_sub(*self.changing_since.get_or_insert(now)) >= STATE_CHANGE_DELAY {
            *self = HealthState { health: next, changing_since: None };
        }
    }

    /// Share of its weight that a server keeps: all of it if healthy, otherwise a share that grows with its
    /// health score.
    pub(crate) fn weight_share(&self, health_score: f64) -> f64 {
        if self.health == Health::Healthy {
            return 1.0;
        }
        let ratio = (health_score - UNHEALTHY_SCORE) / (HEALTHY_SCORE - UNHEALTHY_SCORE);
        ratio.clamp(MIN_HEALTH_SHARE, 1.0)
    }
}

/// Recent response times of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseTimes {
    /// Number of responses whose time is known.
    pub(crate) responses: DecayingSum,
    /// Total time of these responses, ns.
    pub(crate) total: DecayingSum,
}

impl ResponseTimes {
    /// Adds responses with a total time of `total` ns.
    pub(crate) fn add(&mut self, now: Nanos, responses: f64, total: f64) {
        self.responses.add(now, RESPONSE_TIME_CONSTANT, responses);
        self.total.add(now, RESPONSE_TIME_CONSTANT, total);
    }

    /// Mean response time, ns, weighted with the mean of its kind of servers by [`KIND_PRIOR_RESPONSES`];
    /// `None` with too few responses.
    pub(crate) fn mean(&mut self, now: Nanos, kind_response_time: f64) -> Option<f64> {
        let responses = self.responses.read(now, RESPONSE_TIME_CONSTANT);
        let prior = if kind_response_time > 0.0 { KIND_PRIOR_RESPONSES } else { 0.0 };
        (responses > MIN_RESPONSES).then(|| {
            let total = self.total.read(now, RESPONSE_TIME_CONSTANT);
            (total + prior * kind_response_time) / (responses + prior)
        })
    }
}

/// Factor on a listed weight for capacity that the list does not show: how fast a server responds relative to
/// its kind and, with exponent `kind_exponent`, how fast its kind responds relative to all servers.
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
