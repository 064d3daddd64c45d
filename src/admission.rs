//! Load shedding: how overloaded the fleet is, how much load it can serve, and which share of each operation
//! is admitted. [`Fleet`](crate::fleet::Fleet) updates it; it is active only where proxies apply limits as
//! ratios ([`AdmissionMode::Ratio`]).
//!
//! Guards against any lack of capacity: without shedding, responses are late, and a late response costs as
//! much as others but has hardly any value.

use crate::channel::MIN_WEIGHT_CHANGE;
use crate::interface::{AdmissionMode, ControllerConfig, Nanos};
use crate::message::{AdmissionLimit, Mailboxes};
use crate::retries::GENERAL_FAILURE_RATE;
use crate::statistics::{DecayingSum, OutcomeTotals};

#[cfg(test)]
mod tests;

/// Mean response time above which the fleet counts as overloaded, as a share of the operations' mean latency
/// objective (weighted by their value).
const OVERLOAD_LATENCY_SHARE: f64 = 0.65;
/// Overload below which the load limit is raised. Between this value and 1 the limit never falls and rises
/// only to the load that is served.
const LOW_OVERLOAD: f64 = 0.7;
/// Factor per report interval by which the load limit falls or (inverted) rises, and by which the peak load
/// decays.
const LIMIT_STEP: f64 = 0.95;
/// Minimum share of the load limit that is admitted while queues are drained.
const MIN_CATCH_UP_SHARE: f64 = 0.5;
/// Minimum share of an operation that is admitted.
const MIN_ADMITTED_SHARE: f64 = 0.1;
/// Minimum change of an admission limit (absolute, 0 to 1); smaller changes are not applied.
const MIN_LIMIT_CHANGE: f64 = MIN_WEIGHT_CHANGE / 2.0;

/// Mean response time above which the fleet counts as overloaded, ns; responses still have most of their
/// value at that time.
pub(crate) fn overload_response_time(config: &ControllerConfig) -> f64 {
    let value: f64 = config.operations.iter().map(|operation| operation.priority_weight).sum();
    let weighted = config
        .operations
        .iter()
        .map(|operation| operation.priority_weight * operation.latency_objective as f64);
    OVERLOAD_LATENCY_SHARE * weighted.sum::<f64>() / value.max(f64::MIN_POSITIVE)
}

/// Recent demand for one operation.
#[derive(Debug, Default)]
struct OperationDemand {
    operation: usize,
    /// Cost of one request: its latency objective, ns. It stands in for the work of a request, which is not
    /// reported.
    cost: f64,
    requests: DecayingSum,
    failures: DecayingSum,
}

impl OperationDemand {
    /// Cost of all recent requests, as of the last time they were read.
    fn total_cost(&self) -> f64 {
        (self.cost * self.requests.sum).max(f64::MIN_POSITIVE)
    }
}

/// Returns the operations in the order in which they are admitted: by value per cost, the highest first.
fn operations_by_value(config: &ControllerConfig) -> Vec<OperationDemand> {
    if config.admission_mode != AdmissionMode::Ratio {
        return Vec::new();
    }
    let cost = |operation: usize| config.operations[operation].latency_objective as f64;
    let value = |operation: usize| config.operations[operation].priority_weight / cost(operation);
    let mut order: Vec<usize> = (0..config.operations.len()).collect();
    order.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
    let demand =
        |operation| OperationDemand { operation, cost: cost(operation), ..OperationDemand::default() };
    order.into_iter().map(demand).collect()
}

/// Inputs of the computation of the limits.
pub(crate) struct AdmissionInputs {
    /// Outcomes over about the last report interval.
    pub(crate) recent: OutcomeTotals,
    /// See [`overload_response_time`].
    pub(crate) overload_response_time: f64,
    /// Total weight of the servers in the table; warming servers count up to their limit.
    pub(crate) included_weight: f64,
    /// Proxies are isolated: failures are then attributed to connections, not to load.
    pub(crate) isolated: bool,
}

/// Estimates the load that the fleet can serve, and limits admission to it.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Operations in the order in which they are admitted; empty where proxies do not apply ratios.
    demands: Vec<OperationDemand>,
    /// Time between two reports of a proxy, ns.
    report_interval: Nanos,
    /// Highest cost served recently, in ns of latency objective per unit of weight per report interval; it
    /// decays.
    pub(crate) peak_load: f64,
    /// Cost per unit of included weight that is admitted in a report interval; `None` while no load is shed.
    pub(crate) load_limit: Option<f64>,
    /// Last measured overload; above 1 the fleet is overloaded.
    overload: f64,
    adjusted_at: Nanos,
}

impl Admission {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        Admission {
            demands: operations_by_value(config),
            report_interval: config.report_interval,
            ..Admission::default()
        }
    }

    /// Adds requests of an operation and the number of them that got no response.
    pub(crate) fn record_demand(&mut self, operation: usize, total: f64, failures: f64, now: Nanos) {
        for demand in self.demands.iter_mut().filter(|demand| demand.operation == operation) {
            demand.requests.add(now, self.report_interval, total);
            demand.failures.add(now, self.report_interval, failures);
        }
    }

    /// Updates the limits once per report interval.
    pub(crate) fn update(
        &mut self,
        inputs: &AdmissionInputs,
        limits: &mut [AdmissionLimit],
        mailboxes: &mut Mailboxes,
    ) {
        let now = mailboxes.now;
        if self.demands.is_empty() || now.saturating_sub(self.adjusted_at) < self.report_interval {
            return;
        }
        self.adjusted_at = now;
        let overload = self.expected_overload(inputs);
        let was_limited = self.load_limit.is_some();
        let served_load = self.served_cost(limits, now) / inputs.included_weight.max(f64::MIN_POSITIVE);
        self.adjust_load_limit(overload, served_load);
        let all_admitted = self.allocate(self.budget(overload, inputs.included_weight), limits);
        if all_admitted && overload < LOW_OVERLOAD {
            self.load_limit = None;
        }
        if was_limited != self.load_limit.is_some() {
            let line =
                if was_limited { "load shedding ends" } else { "load shedding begins: responses are late" };
            mailboxes.log(line.into());
        }
    }

    /// Expected overload: the mean response time or the failure rate, relative to the value that counts as
    /// overload, whichever is higher. Since reports are late, its last change is extrapolated by one report
    /// interval.
    fn expected_overload(&mut self, inputs: &AdmissionInputs) -> f64 {
        let failing = if inputs.isolated { 0.0 } else { inputs.recent.failure_rate() / GENERAL_FAILURE_RATE };
        let overload = (inputs.recent.mean_response_time() / inputs.overload_response_time).max(failing);
        let before = std::mem::replace(&mut self.overload, overload);
        if before > 0.0 {
            2.0 * overload - before
        } else {
            overload
        }
    }

    /// Cost of the requests that were admitted and served in about the last report interval.
    fn served_cost(&mut self, limits: &[AdmissionLimit], now: Nanos) -> f64 {
        let mut served = 0.0;
        for demand in &mut self.demands {
            let admitted = demand.requests.read(now, self.report_interval) * limits[demand.operation].limit;
            let failures = demand.failures.read(now, self.report_interval);
            served += demand.cost * (admitted - failures).max(0.0);
        }
        served
    }

    /// Sets the load limit to the peak load when the fleet becomes overloaded, then lowers or raises it step
    /// by step.
    fn adjust_load_limit(&mut self, overload: f64, served_load: f64) {
        self.peak_load = served_load.max(self.peak_load * LIMIT_STEP);
        self.load_limit = match self.load_limit {
            None if overload > 1.0 => Some(self.peak_load),
            Some(limit) if overload > 1.0 => Some(limit.min(self.peak_load / LIMIT_STEP) * LIMIT_STEP),
            Some(limit) if overload < LOW_OVERLOAD => Some(served_load.max(limit / LIMIT_STEP)),
            limit => limit.map(|limit| limit.max(served_load)),
        };
    }

    /// Cost that may be admitted in a report interval; lower while queues must be drained.
    fn budget(&self, overload: f64, included_weight: f64) -> f64 {
        let catch_up_share = overload.max(1.0).powi(-2).max(MIN_CATCH_UP_SHARE);
        self.load_limit.map_or(f64::MAX, |limit| limit * included_weight * catch_up_share)
    }

    /// Allocates the budget to the operations in order of value per cost. Returns true if all requests are
    /// admitted.
    fn allocate(&self, mut budget: f64, limits: &mut [AdmissionLimit]) -> bool {
        let mut all_admitted = true;
        for demand in &self.demands {
            let cost = demand.total_cost();
            let admitted = (budget / cost).clamp(MIN_ADMITTED_SHARE, 1.0);
            budget = (budget - cost * admitted).max(0.0);
            all_admitted &= admitted >= 1.0;
            let limit = &mut limits[demand.operation].limit;
            if (*limit - admitted).abs() > MIN_LIMIT_CHANGE || admitted >= 1.0 {
                *limit = admitted;
            }
        }
        all_admitted
    }
}
