//! Outlier detection and ejection: which servers are outliers, how many of them may be ejected at once, how
//! long an ejection lasts, and how a server returns. [`Server`](crate::server::Server) holds the state;
//! [`Fleet`](crate::fleet::Fleet) decides which servers are ejected.

use std::collections::{BTreeMap, BTreeSet};

use crate::health::{FaultScores, Health, HealthState};
use crate::interface::{Nanos, ServerId};
use crate::message::{EvaluationInputs, Fault, ServerStatus, SECOND};

#[cfg(test)]
mod tests;

/// Duration of a server's first ejection; each further ejection lasts twice as long as the one before.
pub(crate) const BASE_EJECTION_TIME: Nanos = 5 * SECOND;
/// Maximum duration of an ejection.
pub(crate) const MAX_EJECTION_TIME: Nanos = 4 * BASE_EJECTION_TIME;
/// Maximum share of the ready servers that are ejected at once.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;
/// Share of its weight with which a server returns from an ejection. An outlier that may not be ejected keeps
/// the same share, on top of the reduction by its health.
pub(crate) const RETURN_SHARE: f64 = 0.1;
/// Time with good reports in which the share of a returned server would rise from 0 to 1.
const RECOVERY_TIME: Nanos = 5 * SECOND;
/// Number of healthy servers in the whole fleet that are expected to appear unresponsive by chance at any one
/// time. A server misses n expected responses by chance with probability e^-n: a fleet of 30 servers needs 5
/// missing responses, one of 600 needs 8.
pub(crate) const EXPECTED_FALSE_POSITIVES: f64 = 0.2;

/// Number of missing responses above which a server is unresponsive, in a fleet with this many ready servers.
pub(crate) fn unresponsive_after(ready_servers: usize) -> f64 {
    (ready_servers.max(1) as f64 / EXPECTED_FALSE_POSITIVES).ln()
}

/// Tracks whether a server responds as often as the reports on other servers lead to expect.
///
/// Detects servers that accept requests and never respond, long before their timeouts are reported, and also
/// crashed machines and broken links. A missing response is counted only when the same reports contain
/// responses of other servers, since reports can be late for other reasons.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Responsiveness {
    /// The server's share of the total weight that proxies currently apply, 0 to 1; it lags behind the share
    /// that was sent.
    pub(crate) applied_share: f64,
    /// Number of responses expected since the server's last one.
    pub(crate) missing_responses: f64,
    /// Time of the last known response; 0: none.
    pub(crate) last_response: Nanos,
    /// The server has responded since the last evaluation.
    pub(crate) responded: bool,
}

impl Responsiveness {
    /// Records a response.
    pub(crate) fn record_response(&mut self, now: Nanos) {
        self.missing_responses = 0.0;
        self.responded = true;
        self.last_response = now;
    }

    /// Moves the applied share towards the share that was sent, with the feedback delay (ns) as time
    /// constant.
    pub(crate) fn apply_share(&mut self, sent_share: f64, elapsed: Nanos, feedback_delay: Nanos) {
        let applied = 1.0 - (-(elapsed as f64) / feedback_delay as f64).exp();
        self.applied_share += (sent_share - self.applied_share) * applied;
    }

    /// Counts the responses that were expected of this server, given `fleet_responses` from all servers,
    /// unless it has itself responded. `feedback_due`: enough time has passed for reports to show its responses.
    pub(crate) fn count_missing(&mut self, fleet_responses: f64, feedback_due: bool) {
        if std::mem::take(&mut self.responded) {
            return;
        }
        if feedback_due {
            self.missing_responses += fleet_responses * self.applied_share;
        }
    }

    /// Whether too many responses are missing and a report with one should have arrived by now.
    /// `state_since`: when the server was listed or returned from an ejection.
    pub(crate) fn is_unresponsive(&self, state_since: Nanos, fleet: &EvaluationInputs, now: Nanos) -> bool {
        let silent_for = now.saturating_sub(self.last_response.max(state_since)) as f64;
        self.missing_responses > fleet.unresponsive_after && silent_for > fleet.max_report_gap
    }
}

/// Returns why a server is an outlier, if it is one. While failures are general, errors and slow responses
/// are not attributed to a single server.
///
/// Updates `health` only if no other fault is found and failures are not general; otherwise `health` is
/// unchanged.
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

/// The ejection state of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    /// Why the server is an outlier; while it is ejected, why it was ejected.
    pub(crate) fault: Option<Fault>,
    /// Time at which the server was ejected; `None` if it is not.
    pub(crate) since: Option<Nanos>,
    /// Duration of the current ejection, or of the next one.
    pub(crate) duration: Nanos,
    /// Share of its weight that the server has regained, 0 to 1.
    pub(crate) recovery: f64,
    /// The server's last report had more successes than failures.
    pub(crate) last_report_good: bool,
}

impl Default for Ejection {
    /// The state of a server that was never ejected.
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

    /// Ejects the server and returns the reason.
    pub(crate) fn begin(&mut self, now: Nanos) -> Fault {
        self.since = Some(now);
        self.fault.unwrap_or(Fault::Score)
    }

    /// Applies the fault found in this evaluation; the regained share rises while reports are good. Returns
    /// true if the ejection ends: its time is over, or an unresponsive server has responded.
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

    /// The state after the ejection: the server has [`RETURN_SHARE`] of its weight, and its next ejection
    /// lasts twice as long.
    pub(crate) fn ended(&self) -> Self {
        Ejection {
            duration: (2 * self.duration).min(MAX_EJECTION_TIME),
            recovery: RETURN_SHARE,
            last_report_good: false,
            ..Ejection::default()
        }
    }
}

/// Returns the servers to eject, up to [`MAX_EJECTED_SHARE`] of the ready servers and never the last warm one:
/// first the servers that are ejected already, then other outliers, the most severe first. Guards against empty tables when all servers fail for a common cause.
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

/// Weight of a server that is not ejected; an outlier gets [`RETURN_SHARE`] of its weight.
pub(crate) fn weight_in_table(status: &ServerStatus) -> f64 {
    if status.fault.is_some() {
        RETURN_SHARE * status.weight
    } else {
        status.weight
    }
}
