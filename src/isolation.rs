//! Isolation: when proxies are isolated on subsets of the servers. [`Fleet`](crate::fleet::Fleet) updates it
//! at each evaluation; the channel assigns the subsets.

use std::collections::BTreeMap;

use crate::interface::{Nanos, ServerId};
use crate::message::{Mailboxes, ServerStatus, SECOND};
use crate::retries::GENERAL_FAILURE_RATE;
use crate::statistics::OutcomeTotals;

#[cfg(test)]
mod tests;

/// Duration of the first isolation. Each further isolation or extension lasts twice as long as the one
/// before, without a limit or a reset.
const BASE_ISOLATION_TIME: Nanos = 30 * SECOND;
/// Error rate above which a server counts as failing, 0 to 1.
const FAILING_ERROR_RATE: f64 = 0.1;
/// Minimum share of the ready servers that must be failing, 0 to 1.
const MIN_FAILING_SHARE: f64 = 0.4;
/// Lateness (mean response time divided by `overload_response_time`) at which proxies are not isolated
/// however many servers fail; at half of it, more than half of the servers must be failing. An overload also
/// makes many servers fail, but its responses are late.
const MAX_LATENESS_RATIO: f64 = 1.5;

/// Decides when proxies are isolated because connections are hard to establish.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    /// Time at which the isolation ends; `None` if proxies are not isolated.
    pub(crate) until: Option<Nanos>,
    /// Duration of the last isolation.
    pub(crate) duration: Nanos,
}

impl Isolation {
    /// Whether proxies are isolated.
    pub(crate) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// Begins, extends or ends isolation; nothing changes before the current isolation is over.
    ///
    /// Guards against connections that are hard to establish because servers accept few or are slow to accept
    /// them. Attempts then fail at many servers at once although responses are not late, and with a table of
    /// all servers nearly every request needs a new connection. `failure_rate` is the failure rate of the
    /// fleet; responses count as late above `overload_response_time`, ns.
    pub(crate) fn update(
        &mut self,
        failure_rate: f64,
        recent: &OutcomeTotals,
        overload_response_time: f64,
        statuses: &BTreeMap<ServerId, ServerStatus>,
        mailboxes: &mut Mailboxes,
    ) {
        if self.until.is_some_and(|until| mailboxes.now < until) {
            return;
        }
        let lateness = recent.mean_response_time() / overload_response_time;
        let min_share = MIN_FAILING_SHARE.max(lateness / MAX_LATENESS_RATIO);
        if failure_rate > GENERAL_FAILURE_RATE && failing_share(statuses) > min_share {
            self.duration = (2 * self.duration).max(BASE_ISOLATION_TIME);
            self.until = Some(mailboxes.now + self.duration);
            mailboxes.log("proxies isolated on subsets: connections fail".into());
        } else if self.is_active() {
            self.until = None;
            mailboxes.log("isolation ends: proxies return to the full table".into());
        }
    }
}

/// Share of the ready servers that are failing, 0 to 1.
fn failing_share(statuses: &BTreeMap<ServerId, ServerStatus>) -> f64 {
    let ready = || statuses.values().filter(|status| status.is_ready());
    let failing = ready().filter(|status| status.error_rate > FAILING_ERROR_RATE).count() as f64;
    failing / (ready().count() as f64).max(1.0)
}
