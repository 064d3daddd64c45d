//! One server: its observed state and its evaluation, which applies the rules of `health`, `ejection` and
//! `slow_start`. The controller delivers its messages; the fleet requests its status at each evaluation.

use crate::ejection::{update_health_and_detect_fault, Ejection, Responsiveness};
use crate::health::{
    capacity_factor, FaultScores, HealthState, ResponseTimes, CAPACITY_EXPONENT, NOMINAL_KIND_EXPONENT,
    RESPONSE_TIME_CONSTANT,
};
use crate::interface::{ControllerConfig, Endpoint, EndpointReport, ListedCapacity, Nanos, Readiness};
use crate::message::{Component, EvaluationInputs, Mailboxes, Message, ResponseTotals, ServerStatus};
use crate::slow_start::SlowStart;
use crate::statistics::{AttemptSums, PRIOR_ATTEMPTS};

#[cfg(test)]
mod tests;

/// Number of recent attempts (decayed with a time constant of 5 s) above which proxies are considered to be
/// still sending to a removed server.
const MIN_RECENT_ATTEMPTS: f64 = 0.1;
/// Number of recent responses above which an unlisted server still counts as ready, where removal from the
/// list is advisory because the list may drop servers by mistake.
const MIN_RESPONSES_UNLISTED: f64 = PRIOR_ATTEMPTS;

/// Configuration of the evaluation, the same for all servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerConfig {
    pub(crate) slow_start: SlowStart,
    /// Longest time until reports show the effect of an action, ns.
    pub(crate) feedback_delay: Nanos,
    /// Listed weights are nominal capacities; otherwise all servers count as 1.
    pub(crate) capacities_listed: bool,
    /// Exponent of the ratio of response times between kinds of servers.
    pub(crate) kind_exponent: f64,
    /// Requests may still go to a server that was removed from the list without draining first.
    pub(crate) removal_is_advisory: bool,
}

impl ServerConfig {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        let capacities_listed = config.listed_capacity == ListedCapacity::Nominal;
        ServerConfig {
            slow_start: SlowStart::new(config),
            feedback_delay: (config.worst_transit + 2 * config.report_interval).max(1),
            capacities_listed,
            kind_exponent: if capacities_listed { NOMINAL_KIND_EXPONENT } else { CAPACITY_EXPONENT },
            removal_is_advisory: config.removal_is_advisory,
        }
    }
}

/// The state of one server, as observed by the proxies of this supervisor.
#[derive(Debug, Default)]
pub(crate) struct Server {
    /// The server's last entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Time at which it was listed, was removed, or returned from an ejection. After a restore the time may
    /// be earlier, so that missing responses are counted soon.
    pub(crate) state_since: Nanos,
    /// Recent attempts at this server and their failures.
    pub(crate) outcomes: AttemptSums,
    pub(crate) response_times: ResponseTimes,
    pub(crate) responsiveness: Responsiveness,
    pub(crate) health: HealthState,
    pub(crate) ejection: Ejection,
    evaluated_at: Nanos,
    /// The server became ready again since it was first listed.
    became_ready_again: bool,
}

impl Server {
    pub(crate) fn new(endpoint: Endpoint, now: Nanos) -> Self {
        Server { endpoint, state_since: now, evaluated_at: now, ..Server::default() }
    }

    /// Time of its last response or change of state.
    pub(crate) fn last_active(&self) -> Nanos {
        self.state_since.max(self.responsiveness.last_response)
    }

    pub(crate) fn handle(&mut self, message: Message, config: &ServerConfig, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        match message {
            Message::Listed(endpoint) => self.apply_listing(endpoint, now),
            Message::Removed => {
                if self.endpoint.readiness == Readiness::Ready {
                    self.endpoint.readiness = Readiness::Removed;
                }
                self.state_since = now;
            }
            Message::Report(report) => self.record_report(&report, mailboxes),
            Message::Evaluate(fleet) => {
                let status = self.evaluate(fleet, config, now);
                mailboxes.send(Component::Fleet, Message::Status(status));
            }
            Message::Ejection(true) if !self.ejection.is_active() => {
                let fault = self.ejection.begin(now);
                mailboxes.log(format!("server {} ejected: {fault}", self.endpoint.server));
            }
            _ => {}
        }
    }

    /// Applies a list entry: a server that restarted or became ready again loses its learned state.
    fn apply_listing(&mut self, endpoint: Endpoint, now: Nanos) {
        let before = self.endpoint.readiness;
        let became_ready = endpoint.readiness == Readiness::Ready && before != Readiness::Ready;
        if endpoint.started_at > self.endpoint.started_at || became_ready {
            let became_ready_again = self.became_ready_again || became_ready;
            *self = Server { became_ready_again, ..Server::new(endpoint, now) };
        }
        let before = self.endpoint.readiness;
        if endpoint.readiness == Readiness::Removed && before != Readiness::Removed {
            self.state_since = now;
        }
        // A server that drained must stay excluded once it is removed.
        let drained = before == Readiness::Draining && endpoint.readiness == Readiness::Removed;
        let readiness = if drained { before } else { endpoint.readiness };
        self.endpoint = Endpoint { readiness, ..endpoint };
    }

    /// Records what proxies observed at this server, and forwards the totals to the fleet.
    pub(crate) fn record_report(&mut self, report: &EndpointReport, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        let attempts = f64::from(report.attempts);
        let failures = f64::from(report.failures.min(report.attempts));
        let responses = attempts - failures;
        self.outcomes.add(now, attempts, failures);
        let mut response_time_sum = 0.0;
        if responses > 0.0 && report.response_time > 0 {
            response_time_sum = report.response_time as f64 * responses;
            self.response_times.add(now, responses, response_time_sum);
        }
        if responses > 0.0 {
            self.responsiveness.record_response(now);
        }
        self.ejection.last_report_good = responses > failures;
        let window = report.window as f64;
        mailboxes.send(
            Component::Fleet,
            Message::ReportedOutcomes { attempts, failures, response_time_sum, window },
        );
    }

    /// Compares this server with the fleet, updates its ejection, and returns its status.
    pub(crate) fn evaluate(
        &mut self,
        fleet: EvaluationInputs,
        config: &ServerConfig,
        now: Nanos,
    ) -> ServerStatus {
        let elapsed = now.saturating_sub(self.evaluated_at);
        self.evaluated_at = now;
        self.responsiveness.apply_share(fleet.weight_share, elapsed, config.feedback_delay);
        let feedback_due = now.saturating_sub(self.state_since) > config.feedback_delay;
        self.responsiveness.count_missing(fleet.responses, feedback_due);

        let error_rate = self.outcomes.failure_rate(now);
        let response_time = self.response_times.mean(now, fleet.kind_response_time);
        let fault_scores = FaultScores::new(error_rate, response_time, &fleet);
        let unresponsive = self.responsiveness.is_unresponsive(self.state_since, &fleet, now);
        let fault =
            update_health_and_detect_fault(unresponsive, &fault_scores, &mut self.health, &fleet, now);
        let missing_responses = self.responsiveness.missing_responses;
        if self.ejection.update(fault, missing_responses, elapsed, now) {
            self.return_from_ejection(now);
        }
        let evaluation = Evaluation { error_rate, response_time, fault_scores };
        self.status(&evaluation, &fleet, config, now)
    }

    /// Returns the server from its ejection with a small share of its weight; other learned state is lost.
    pub(crate) fn return_from_ejection(&mut self, now: Nanos) {
        *self = Server {
            ejection: self.ejection.ended(),
            became_ready_again: self.became_ready_again,
            ..Server::new(self.endpoint, now)
        };
    }

    /// Returns the server's status after an evaluation.
    fn status(
        &mut self,
        evaluation: &Evaluation,
        fleet: &EvaluationInputs,
        config: &ServerConfig,
        now: Nanos,
    ) -> ServerStatus {
        let Evaluation { error_rate, response_time, fault_scores } = *evaluation;
        let slow_start_share = config.slow_start.weight_share(self.endpoint.started_at, now);
        let warm = slow_start_share >= 1.0;
        let listed_weight = if config.capacities_listed { self.endpoint.weight } else { 1.0 };
        let factor = capacity_factor(response_time, fleet, config.kind_exponent);
        let health_share = self.health.weight_share(fault_scores.health_score());
        let endpoint = self.effective_endpoint(config, now);
        let missing_share = self.responsiveness.missing_responses / fleet.unresponsive_after.max(1.0);
        ServerStatus {
            endpoint,
            must_exclude: self.must_exclude(endpoint.readiness, config),
            has_returned: self.became_ready_again || endpoint.started_at > 0,
            warm,
            ejected: self.ejection.is_active(),
            fault: self.ejection.fault,
            severity: fault_scores.errors + fault_scores.latency + missing_share,
            weight: listed_weight * factor * health_share * self.ejection.recovery.min(slow_start_share),
            listed_weight,
            slow_start_limit: (!warm).then_some(listed_weight * slow_start_share),
            response_time: response_time.filter(|_| !self.ejection.is_active()),
            recent_responses: ResponseTotals {
                count: self.response_times.responses.sum,
                time: self.response_times.total.sum,
            },
            error_rate,
        }
    }

    /// Returns the list entry to decide by: where removal is advisory, a removed server that still responds
    /// counts as ready.
    fn effective_endpoint(&mut self, config: &ServerConfig, now: Nanos) -> Endpoint {
        let responds = config.removal_is_advisory
            && self.response_times.responses.read(now, RESPONSE_TIME_CONSTANT) > MIN_RESPONSES_UNLISTED;
        let mut endpoint = self.endpoint;
        if responds && endpoint.readiness == Readiness::Removed {
            endpoint.readiness = Readiness::Ready;
        }
        endpoint
    }

    /// Returns whether all proxies must exclude this server, regardless of their tables.
    fn must_exclude(&self, readiness: Readiness, config: &ServerConfig) -> bool {
        match readiness {
            Readiness::Ready => false,
            Readiness::Draining => true,
            Readiness::Removed => {
                !config.removal_is_advisory && self.outcomes.attempts.sum > MIN_RECENT_ATTEMPTS
            }
        }
    }
}

/// Values that an evaluation computes before it ends an ejection whose time is over, since the end of the
/// ejection discards the learned state.
struct Evaluation {
    /// Share of recent attempts that failed, 0 to 1.
    error_rate: f64,
    /// Mean response time, ns; `None` with too few responses.
    response_time: Option<f64>,
    fault_scores: FaultScores,
}
