//! Outlier detection and ejection: which servers are outliers, how many of them may be ejected at once, for how long,
//! and how a server returns. [`Server`](crate::server::Server) keeps the state, [`Fleet`](crate::fleet::Fleet)
//! decides who is ejected.

use std::collections::{BTreeMap, BTreeSet};

use crate::health::{FaultScores, Health, HealthState};
use crate::interface::{Nanos, ServerId};
use crate::message::{EvaluationInputs, Fault, ServerStatus, SECOND};

#[cfg(test)]
mod tests;

/// How long the first ejection of a server lasts; each further one lasts twice as long.
pub(crate) const BASE_EJECTION_TIME: Nanos = 5 * SECOND;
/// How long an ejection lasts at most.
pub(crate) const MAX_EJECTION_TIME: Nanos = 4 * BASE_EJECTION_TIME;
/// Share of the ready servers that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;
/// Share of its weight with which a server returns, and that an outlier keeps which may not be ejected, on top of
/// what its health leaves it.
pub(crate) const RETURN_SHARE: f64 = 0.1;
/// Time of good reports in which a returned server's share would rise from 0 to 1.
const RECOVERY_TIME: Nanos = 5 * SECOND;
/// Healthy servers that may look unresponsive by chance at one time, in the whole fleet. A server misses n expected
/// responses by chance with probability e^-n: 30 servers need 5 missing responses, 600 need 8.
pub(crate) const EXPECTED_FALSE_POSITIVES: f64 = 0.2;

/// Missing responses that make a server unresponsive in a fleet of so many ready servers.
pub(crate) fn unresponsive_after(ready_servers: usize) -> f64 {
    (ready_servers.max(1) as f64 / EXPECTED_FALSE_POSITIVES).ln()
}

/// Whether a server responds as the reports on other servers lead to expect.
///
/// Guards against servers that accept requests and never respond, long before their timeouts are reported; also
/// against crashed machines and cut links. Only responses of other servers in the same reports count, since reports
/// may be late for other reasons.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Responsiveness {
    /// Its share of the weight as proxies apply it, 0 to 1: what they were sent, late.
    pub(crate) applied_share: f64,
    /// Responses expected of it since its last one.
    pub(crate) missing_responses: f64,
    /// When it was last known to respond; 0: never.
    pub(crate) last_response: Nanos,
    /// It has responded since the last evaluation.
    pub(crate) responded: bool,
}

impl Responsiveness {
    /// Notes a response.
    pub(crate) fn record_response(&mut self, now: Nanos) {
        self.missing_responses = 0.0;
        self.responded = true;
        self.last_response = now;
    }

    /// Lets the applied share follow the share that was sent, over the feedback delay, ns.
    pub(crate) fn apply_share(&mut self, sent_share: f64, elapsed: Nanos, feedback_delay: Nanos) {
        let applied = 1.0 - (-(elapsed as f64) / feedback_delay as f64).exp();
        self.applied_share += (sent_share - self.applied_share) * applied;
    }

    /// Counts responses expected of it where `fleet_responses` came from all servers, unless it has itself responded.
    /// `expected`: reports have had the time to show what it does.
    pub(crate) fn count_missing(&mut self, fleet_responses: f64, expected: bool) {
        if std::mem::take(&mut self.responded) {
            return;
        }
        if expected {
            self.missing_responses += fleet_responses * self.applied_share;
        }
    }

    /// Whether too many responses are missing, and a report with one could have come by now. `state_since`: since
    /// when the server is listed, or back from an ejection.
    pub(crate) fn is_unresponsive(&self, state_since: Nanos, fleet: &EvaluationInputs, now: Nanos) -> bool {
        let silent_for = now.saturating_sub(self.last_response.max(state_since)) as f64;
        self.missing_responses > fleet.unresponsive_after && silent_for > fleet.max_report_gap
    }
}

/// Why a server is an outlier, if it is one. While failures are general, errors and slowness are no fault of its own.
///
/// Updates `health` only where no other fault is found and failures are not general; otherwise it stays as it was.
pub(crate) fn update_health_and_detect_fault(
    unresponsive: bool,
    fault_scores: &FaultScores,
    health: &mut HealthState,
    fleet: &EvaluationInputs,
    now: Nanos,
) -> Option<Fault> {
    if unresponsive {
        return Some(Fault::Unresponsive);
    }
    if fleet.general_failure {
        return None;
    }
    if fault_scores.has_critical_errors() {
        return Some(Fault::Errors);
    }
    health.update(fault_scores.health_score(), now);
    (health.health == Health::Unhealthy).then_some(Fault::Score)
}

/// One server's ejection and its return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    /// Why it is an outlier; while it is ejected, why it was.
    pub(crate) fault: Option<Fault>,
    /// Since when it is ejected.
    pub(crate) since: Option<Nanos>,
    /// How long its ejection lasts, or the next one would.
    pub(crate) duration: Nanos,
    /// Share of its weight that it has recovered to, 0 to 1.
    pub(crate) recovery: f64,
    /// In its last report successes outnumbered failures.
    pub(crate) last_report_good: bool,
}

impl Default for Ejection {
    /// A server that was never ejected.
    fn default() -> Self {
        Ejection {
            fault: None,
            since: None,
            duration: BASE_EJECTION_TIME,
            recovery: 1.0,
            last_report_good: true,
        }
    }
}

impl Ejection {
    /// Whether the server is ejected.
    pub(crate) fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Ejects the server, and gives the reason.
    pub(crate) fn begin(&mut self, now: Nanos) -> Fault {
        self.since = Some(now);
        self.fault.unwrap_or(Fault::Score)
    }

    /// Takes this evaluation's fault; recovery rises while reports are good. True: the ejection ends, since its time
    /// is over, or an unresponsive server responds.
    pub(crate) fn update(
        &mut self,
        fault: Option<Fault>,
        missing_responses: f64,
        elapsed: Nanos,
        now: Nanos,
    ) -> bool {
        if let Some(since) = self.since {
            let responds = missing_responses <= 0.0 && self.fault == Some(Fault::Unresponsive);
            return now.saturating_sub(since) >= self.duration || responds;
        }
        self.fault = fault;
        if fault.is_none() && self.last_report_good {
            self.recovery = (self.recovery + elapsed as f64 / RECOVERY_TIME as f64).min(1.0);
        }
        false
    }

    /// The state after it: back at [`RETURN_SHARE`], and the next ejection lasts twice as long.
    pub(crate) fn ended(&self) -> Self {
        Ejection {
            duration: (2 * self.duration).min(MAX_EJECTION_TIME),
            recovery: RETURN_SHARE,
            last_report_good: false,
            ..Ejection::default()
        }
    }
}

/// Servers that are to be ejected: outliers, the worst first, up to [`MAX_EJECTED_SHARE`] of the ready ones, and
/// never the last warm one. Guards against empty tables where all servers fail for one cause.
pub(crate) fn servers_to_eject(statuses: &BTreeMap<ServerId, ServerStatus>) -> BTreeSet<ServerId> {
    let ready = || statuses.values().filter(|status| status.is_ready());
    let mut outliers: Vec<&ServerStatus> =
        ready().filter(|status| status.fault.is_some() || status.ejected).collect();
    outliers.sort_by(|a, b| {
        b.ejected
            .cmp(&a.ejected)
            .then(b.severity.total_cmp(&a.severity))
            .then(a.endpoint.server.cmp(&b.endpoint.server))
    });
    let allowed = (ready().count() as f64 * MAX_EJECTED_SHARE) as usize;
    let mut warm = ready().filter(|status| status.warm).count();
    let mut ejected = BTreeSet::new();
    for outlier in outliers {
        let warm_left = warm - usize::from(outlier.warm);
        if ejected.len() < allowed && warm_left > 0 {
            warm = warm_left;
            ejected.insert(outlier.endpoint.server);
        }
    }
    ejected
}

/// Weight of a server that is not ejected: an outlier keeps [`RETURN_SHARE`] of it.
pub(crate) fn weight_in_table(status: &ServerStatus) -> f64 {
    if status.fault.is_some() {
        RETURN_SHARE * status.weight
    } else {
        status.weight
    }
}
