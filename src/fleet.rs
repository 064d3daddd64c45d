//! Decisions across all servers: collects their statuses at each evaluation and applies the rules of
//! `ejection`, `slow_start`, `admission`, `retries` and `isolation`. The controller delivers its messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::{overload_response_time, Admission, AdmissionInputs};
use crate::ejection::{servers_to_eject, unresponsive_after};
use crate::health::KIND_PRIOR_RESPONSES;
use crate::interface::{ControllerConfig, Nanos, ServerId};
use crate::isolation::Isolation;
use crate::message::{
    AdmissionLimit, Component, DesiredState, EvaluationInputs, Mailboxes, Message, ResponseTotals,
    ServerStatus,
};
use crate::retries::Retries;
use crate::slow_start::{TableWeights, WeightInputs};
use crate::statistics::{
    median, AttemptSums, DecayingSum, OutcomeTotals, RecentOutcomes, OUTCOME_TIME_CONSTANT,
};

/// Arrival and time span of recent reports from all proxies.
#[derive(Debug, Default)]
pub(crate) struct ReportTimes {
    /// Time of the last report; 0: none yet.
    pub(crate) last: Nanos,
    /// Total time span of the reports, ns.
    windows: DecayingSum,
    count: DecayingSum,
}

impl ReportTimes {
    /// Adds a report with a time span of `window` ns.
    fn record(&mut self, window: f64, now: Nanos) {
        self.last = now;
        self.windows.add(now, OUTCOME_TIME_CONSTANT, window);
        self.count.add(now, OUTCOME_TIME_CONSTANT, 1.0);
    }

    /// Mean time span of a report, ns.
    fn mean_window(&self) -> f64 {
        self.windows.sum / self.count.sum.max(1.0)
    }
}

/// State of all servers together.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// Last status of each server.
    pub(crate) statuses: BTreeMap<ServerId, ServerStatus>,
    /// Number of statuses that this evaluation still waits for.
    pub(crate) pending_statuses: usize,
    /// Number of responses reported since the last evaluation.
    pub(crate) new_responses: f64,
    pub(crate) reports: ReportTimes,
    /// Recent attempts at all servers and their failures.
    pub(crate) outcomes: AttemptSums,
    /// Outcomes over about one report interval: load shedding must not act on older reports.
    pub(crate) recent_outcomes: RecentOutcomes,
    /// Time between two reports of a proxy, ns.
    pub(crate) report_interval: Nanos,
    /// Mean response time above which the fleet counts as overloaded, ns.
    pub(crate) overload_response_time: f64,
    /// Weights from the last evaluation.
    pub(crate) weights: BTreeMap<ServerId, f64>,
    /// Servers that this supervisor's proxies use while they are isolated on subsets; otherwise empty.
    pub(crate) subset_servers: BTreeSet<ServerId>,
    pub(crate) table_weights: TableWeights,
    pub(crate) admission: Admission,
    pub(crate) retries: Retries,
    pub(crate) isolation: Isolation,
    /// Admission limit and retry policy of each operation.
    pub(crate) limits: Vec<AdmissionLimit>,
}

impl Fleet {
    /// Creates a fleet without servers; `limits` are the admission limits that proxies start with.
    pub(crate) fn new(config: &ControllerConfig, limits: Vec<AdmissionLimit>) -> Self {
        Fleet {
            report_interval: config.report_interval,
            overload_response_time: overload_response_time(config),
            table_weights: TableWeights::new(config),
            admission: Admission::new(config),
            retries: Retries::new(config),
            limits,
            ..Fleet::default()
        }
    }

    pub(crate) fn handle(&mut self, message: Message, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        match message {
            Message::ReportedOutcomes { attempts, failures, response_time_sum, window } => {
                self.record_report(attempts, failures, response_time_sum, window, now)
            }
            Message::Demand { operation, total, failures } => {
                self.retries.record_demand(operation, total, failures, now);
                self.admission.record_demand(operation, total, failures, now);
            }
            Message::SubsetServers(servers) => self.subset_servers = servers,
            Message::EvaluateAll(servers) => self.request_statuses(servers, mailboxes),
            Message::Status(status) => {
                self.statuses.insert(status.endpoint.server, status);
                self.pending_statuses = self.pending_statuses.saturating_sub(1);
                if self.pending_statuses == 0 {
                    self.conclude_evaluation(mailboxes);
                }
            }
            _ => {}
        }
    }

    /// Adds a report on one server. `response_time_sum` is the total time of all responses and `window` the
    /// report's time span, both in ns.
    fn record_report(
        &mut self,
        attempts: f64,
        failures: f64,
        response_time_sum: f64,
        window: f64,
        now: Nanos,
    ) {
        self.table_weights.record_report(self.reports.last, now);
        self.reports.record(window, now);
        self.new_responses += attempts - failures;
        self.recent_outcomes.add(now, self.report_interval, attempts, failures, response_time_sum);
        self.outcomes.add(now, attempts, failures);
    }

    /// Requests the status of each server; the last response concludes the evaluation.
    pub(crate) fn request_statuses(&mut self, servers: Vec<ServerId>, mailboxes: &mut Mailboxes) {
        // Servers outside the subsets get no requests from this supervisor's proxies, so no response is
        // expected of them.
        let subsets = &self.subset_servers;
        self.weights.retain(|server, _| subsets.is_empty() || subsets.contains(server));
        let total_weight: f64 = self.weights.values().sum();
        let common_inputs = self.take_evaluation_inputs();
        let kinds = self.response_times_by_kind();
        self.pending_statuses = servers.len();
        if servers.is_empty() {
            self.conclude_evaluation(mailboxes);
        }
        for server in servers {
            let weight = self.weights.get(&server);
            let weight_share = weight.map_or(0.0, |weight| weight / total_weight.max(f64::MIN_POSITIVE));
            let kind = self.statuses.get(&server).map(|status| status.endpoint.kind);
            let kind_response_time = kind.and_then(|kind| kinds.get(&kind)).copied().unwrap_or(0.0);
            let inputs = EvaluationInputs { weight_share, kind_response_time, ..common_inputs };
            mailboxes.send(Component::Server(server), Message::Evaluate(inputs));
        }
    }

    /// Returns the evaluation inputs that all servers share, and resets the count of new responses.
    fn take_evaluation_inputs(&mut self) -> EvaluationInputs {
        let responses = std::mem::take(&mut self.new_responses);
        let ready = || self.statuses.values().filter(|status| status.is_ready());
        EvaluationInputs {
            median_response_time: median(ready().filter_map(|status| status.response_time).collect()),
            median_error_rate: median(ready().map(|status| status.error_rate).collect()),
            responses,
            general_failure: self.retries.general_failure,
            unresponsive_after: unresponsive_after(ready().count()),
            // The time of a late response plus the time until it is reported.
            max_report_gap: self.overload_response_time + self.reports.mean_window(),
            ..EvaluationInputs::default()
        }
    }

    /// Mean response time of each kind of servers, ns, where enough responses are known.
    fn response_times_by_kind(&self) -> BTreeMap<u16, f64> {
        let mut kinds: BTreeMap<u16, ResponseTotals> = BTreeMap::new();
        for status in self.statuses.values() {
            let totals = kinds.entry(status.endpoint.kind).or_default();
            totals.time += status.recent_responses.time;
            totals.count += status.recent_responses.count;
        }
        kinds.retain(|_, totals| totals.count > KIND_PRIOR_RESPONSES);
        kinds.into_iter().map(|(kind, totals)| (kind, totals.time / totals.count)).collect()
    }

    /// Applies all rules to the statuses of this evaluation, and sends the decisions to the servers and the
    /// channel.
    fn conclude_evaluation(&mut self, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        let ejected_servers = servers_to_eject(&self.statuses);
        let failure_rate = self.outcomes.failure_rate(now);
        let recent = self.recent_outcomes.read(now, self.report_interval);
        // Admission uses the isolation state of the previous evaluation.
        self.update_admission(recent, self.included_weight(&ejected_servers), mailboxes);
        // If failures leave an operation unaffected, isolation and retries are decided as if there were no
        // failures.
        let general_failure_rate =
            if self.retries.has_unaffected_operation(now) { 0.0 } else { failure_rate };
        self.update_and_send_isolation(general_failure_rate, &recent, mailboxes);
        self.update_retries_and_send_limits(general_failure_rate, mailboxes);
        self.update_weights(&ejected_servers, 1.0 - failure_rate.max(recent.failure_rate()), now);
        self.send_decisions(&ejected_servers, mailboxes);
    }

    /// Total weight of the servers that are ready and not ejected; warming servers count up to their limit.
    fn included_weight(&self, ejected_servers: &BTreeSet<ServerId>) -> f64 {
        let included = self
            .statuses
            .values()
            .filter(|status| status.is_ready() && !ejected_servers.contains(&status.endpoint.server));
        included.map(|status| status.slow_start_limit.unwrap_or(status.listed_weight)).sum()
    }

    pub(crate) fn update_admission(
        &mut self,
        recent: OutcomeTotals,
        included_weight: f64,
        mailboxes: &mut Mailboxes,
    ) {
        let inputs = AdmissionInputs {
            recent,
            overload_response_time: self.overload_response_time,
            included_weight,
            isolated: self.isolation.is_active(),
        };
        self.admission.update(&inputs, &mut self.limits, mailboxes);
    }

    pub(crate) fn update_and_send_isolation(
        &mut self,
        failure_rate: f64,
        recent: &OutcomeTotals,
        mailboxes: &mut Mailboxes,
    ) {
        let overload_response_time = self.overload_response_time;
        self.isolation.update(failure_rate, recent, overload_response_time, &self.statuses, mailboxes);
        mailboxes.send(Component::Channel, Message::Isolate(self.isolation.is_active()));
    }

    pub(crate) fn update_retries_and_send_limits(&mut self, failure_rate: f64, mailboxes: &mut Mailboxes) {
        let isolated = self.isolation.is_active();
        self.retries.update(failure_rate, isolated, &mut self.limits, mailboxes);
        mailboxes.send(Component::Channel, Message::AdmissionLimits(self.limits.clone()));
    }

    pub(crate) fn update_weights(
        &mut self,
        ejected_servers: &BTreeSet<ServerId>,
        success_rate: f64,
        now: Nanos,
    ) {
        let statuses = &self.statuses;
        let last_report = self.reports.last;
        self.weights = self.table_weights.weights(&WeightInputs {
            statuses,
            ejected_servers,
            success_rate,
            last_report,
            now,
        });
    }

    /// Sends each server its ejection decision, and the channel the desired state of each server.
    fn send_decisions(&self, ejected_servers: &BTreeSet<ServerId>, mailboxes: &mut Mailboxes) {
        for (&server, status) in &self.statuses {
            let is_ejected = ejected_servers.contains(&server);
            mailboxes.send(Component::Server(server), Message::Ejection(is_ejected));
            let included = status.is_ready() && !is_ejected;
            let weight = self.weights.get(&server).copied().unwrap_or(status.weight);
            let desired = DesiredState {
                weight: if included { weight } else { 0.0 },
                unstable: !status.is_ready() || !status.warm,
                must_exclude: status.must_exclude,
                unready: !status.is_ready(),
                locality: status.endpoint.locality,
                has_returned: status.has_returned,
            };
            mailboxes.send(Component::Channel, Message::DesiredState(server, desired));
        }
    }
}
