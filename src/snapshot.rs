//! Snapshots: which state survives a restart, and how its weight decreases with its age. Servers and fleet
//! write their part of a [`Snapshot`] and restore it. Called by the controller.
//!
//! Guards against a restarted controller that has to learn again, through failed requests, which servers
//! fail. Servers that recovered in the meantime return after [`MAX_EJECTION_TIME`] at the latest.

use crate::ejection::{BASE_EJECTION_TIME, EXPECTED_FALSE_POSITIVES, MAX_EJECTION_TIME, RETURN_SHARE};
use crate::fleet::Fleet;
use crate::health::{Health, RESPONSE_TIME_CONSTANT};
use crate::interface::{Nanos, ServerSnapshot, Snapshot};
use crate::message::{Fault, SECOND};
use crate::server::Server;
use crate::slow_start::USUAL_WEIGHT_TIME_CONSTANT;
use crate::statistics::{DecayingSum, OUTCOME_TIME_CONSTANT};

#[cfg(test)]
mod tests;

/// Weight of restored sums, in addition to their decay by age.
const RESTORED_SHARE: f64 = 0.8;
/// Maximum age up to which states, such as health or a limit, are restored; sums are restored at any age.
const MAX_STATE_AGE: Nanos = 60 * SECOND;
/// Number of missing responses of a restored ejected server. It must be positive: the ejection of an
/// unresponsive server ends when a response resets the number to 0.
const RESTORED_MISSING_RESPONSES: f64 = 1.0 / EXPECTED_FALSE_POSITIVES;

/// Weight of a restored sum of this age.
fn restored_share(age: Nanos, time_constant: Nanos) -> f64 {
    RESTORED_SHARE * (-(age as f64) / time_constant as f64).exp()
}

impl Server {
    /// Returns the state learned about this server, as of `now`.
    pub(crate) fn snapshot(&mut self, now: Nanos) -> ServerSnapshot {
        let outcomes = self.outcomes.read(now);
        ServerSnapshot {
            server: self.endpoint.server,
            attempts: outcomes.attempts,
            failures: outcomes.failures,
            responses: self.response_times.responses.read(now, RESPONSE_TIME_CONSTANT),
            response_time_sum: self.response_times.total.read(now, RESPONSE_TIME_CONSTANT),
            missing_responses: self.responsiveness.missing_responses.max(0.0),
            applied_share: self.responsiveness.applied_share,
            health: self.health.health as u8,
            recovery: self.ejection.recovery,
            ejected_for: self.ejection.since.map(|since| now.saturating_sub(since)),
            unresponsive: self.ejection.fault == Some(Fault::Unresponsive),
            ejection_time: self.ejection.duration,
        }
    }

    /// Restores state learned `age` ago, unless the server has responded since. `feedback_delay`, ns, is the
    /// longest time until reports show the effect of an action.
    pub(crate) fn restore(
        &mut self,
        snapshot: &ServerSnapshot,
        age: Nanos,
        feedback_delay: Nanos,
        now: Nanos,
    ) {
        if self.responsiveness.last_response > 0 {
            return;
        }
        let restored = |sum: f64, time_constant: Nanos| DecayingSum {
            sum: sum * restored_share(age, time_constant),
            updated_at: now,
        };
        self.outcomes.attempts = restored(snapshot.attempts, OUTCOME_TIME_CONSTANT);
        self.outcomes.failures = restored(snapshot.failures, OUTCOME_TIME_CONSTANT);
        self.response_times.responses = restored(snapshot.responses, RESPONSE_TIME_CONSTANT);
        self.response_times.total = restored(snapshot.response_time_sum, RESPONSE_TIME_CONSTANT);
        if age > MAX_STATE_AGE {
            return;
        }
        self.health.health = Health::from_number(snapshot.health);
        // Proxies still apply the earlier tables, so a server that does not respond now did not respond
        // before either.
        self.responsiveness.responded = false;
        self.responsiveness.missing_responses =
            snapshot.missing_responses * restored_share(age, OUTCOME_TIME_CONSTANT);
        self.responsiveness.applied_share = snapshot.applied_share;
        if age < feedback_delay {
            self.state_since = now.saturating_sub(feedback_delay);
        }
        self.restore_ejection(snapshot, age, now);
    }

    /// Restores an ejection for its remaining time; the server returns if that time is over.
    fn restore_ejection(&mut self, snapshot: &ServerSnapshot, age: Nanos, now: Nanos) {
        self.ejection.recovery = snapshot.recovery.clamp(RETURN_SHARE, 1.0);
        self.ejection.duration = snapshot.ejection_time.clamp(BASE_EJECTION_TIME, MAX_EJECTION_TIME);
        let Some(ejected_for) = snapshot.ejected_for.map(|before| before.saturating_add(age)) else {
            return;
        };
        if ejected_for >= self.ejection.duration {
            return self.return_from_ejection(now);
        }
        let fault = if snapshot.unresponsive { Fault::Unresponsive } else { Fault::Score };
        self.ejection.since = Some(now.saturating_sub(ejected_for));
        self.ejection.fault = Some(fault);
        self.responsiveness.missing_responses = RESTORED_MISSING_RESPONSES;
    }
}

impl Fleet {
    /// Returns the state learned about all servers together, as of `now`; each server adds its own part.
    pub(crate) fn snapshot(&mut self, now: Nanos) -> Snapshot {
        let outcomes = self.outcomes.read(now);
        Snapshot {
            servers: Vec::new(),
            attempts: outcomes.attempts,
            failures: outcomes.failures,
            usual_weight: self.table_weights.usual_weight.read(now, USUAL_WEIGHT_TIME_CONSTANT),
            peak_load: self.admission.peak_load,
            load_limit: self.admission.load_limit,
            isolation_left: self.isolation.until.map_or(0, |until| until.saturating_sub(now)),
            isolation_time: self.isolation.duration,
        }
    }

    /// Restores state learned `age` ago.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot, age: Nanos, now: Nanos) {
        let share = restored_share(age, OUTCOME_TIME_CONSTANT);
        self.outcomes.add(now, snapshot.attempts * share, snapshot.failures * share);
        if age > MAX_STATE_AGE {
            return;
        }
        // The usual weight is not a sample of outcomes: it only decays, without the reduction of
        // [`RESTORED_SHARE`].
        let usual_share = restored_share(age, USUAL_WEIGHT_TIME_CONSTANT);
        self.table_weights.usual_weight =
            DecayingSum { sum: snapshot.usual_weight * usual_share / RESTORED_SHARE, updated_at: now };
        self.admission.peak_load = snapshot.peak_load;
        self.admission.load_limit = snapshot.load_limit;
        self.isolation.duration = snapshot.isolation_time;
        if snapshot.isolation_left > age {
            self.isolation.until = Some(now + snapshot.isolation_left - age);
        }
    }
}
