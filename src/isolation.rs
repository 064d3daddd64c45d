//! Isolation: when proxies are isolated on subsets of the servers. Updated by [`Fleet`](crate::fleet::Fleet) at each
//! evaluation; the channel assigns the subsets.

use std::collections::BTreeMap;

use crate::interface::{Nanos, ServerId};
use crate::message::{Mailboxes, ServerStatus, SECOND};
use crate::retries::GENERAL_FAILURE_RATE;
use crate::statistics::OutcomeTotals;

#[cfg(test)]
mod tests;

/// How long proxies are isolated the first time. Each further time and each extension lasts twice as long as the one
/// before; nothing limits or resets it.
const BASE_ISOLATION_TIME: Nanos = 30 * SECOND;
/// Error rate above which a server counts as failing, 0 to 1.
const FAILING_ERROR_RATE: f64 = 0.1;
/// Share of the ready servers that must be failing, 0 to 1.
const MIN_FAILING_SHARE: f64 = 0.4;
/// Lateness (mean response time over `overload_response_time`) from which proxies are not isolated however many
/// servers fail; at half of it more than half of the servers must be failing. In an overload as many fail, but
/// responses are late.
const MAX_LATENESS_RATIO: f64 = 1.5;

/// Isolates proxies while connections are hard to get.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    /// Until when proxies are isolated, where they are.
    pub(crate) until: Option<Nanos>,
    /// For how long they were last isolated.
    pub(crate) duration: Nanos,
}

impl Isolation {
    /// Whether proxies are isolated.
    pub(crate) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// Begins, extends or ends isolation; nothing changes before its time is over.
    ///
    /// Guards against connections that are hard to get: servers accept few, or are slow to set them up. Attempts then
    /// fail at many servers at once though responses are not late, and with a table of all servers nearly each
    /// request needs a new connection. `failure_rate` is that of the fleet; `overload_response_time`, ns, is where
    /// responses count as late.
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

/// Share of the ready servers that are failing.
fn failing_share(statuses: &BTreeMap<ServerId, ServerStatus>) -> f64 {
    let ready = || statuses.values().filter(|status| status.is_ready());
    let failing = ready().filter(|status| status.error_rate > FAILING_ERROR_RATE).count() as f64;
    failing / (ready().count() as f64).max(1.0)
}
