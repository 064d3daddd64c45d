//! Measured delivery: compares the deadlines of messages with the times at which proxies acknowledge them.
//! Unlike the forecasts, this shows messages that are late because the channel is slower than assumed.

use std::collections::{BTreeMap, VecDeque};

use super::NANOS_PER_MS;
use crate::interface::{Nanos, ProxyId};

/// Maximum number of deadlines that are remembered per proxy; a proxy that acknowledges nothing would
/// otherwise collect them without limit.
const MAX_PENDING_PER_PROXY: usize = 64;

/// The deadline of a message that its proxy has not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct PendingDeadline {
    /// Serial number of the message's mark.
    serial: u64,
    deadline: Nanos,
}

/// Number of messages that were acknowledged before or after their deadlines, since the last log line.
#[derive(Clone, Debug, Default)]
pub(crate) struct AcknowledgedDeadlines {
    pending: BTreeMap<ProxyId, VecDeque<PendingDeadline>>,
    met: usize,
    missed: usize,
    /// Longest time from a deadline to the acknowledgement, ns.
    max_lateness: Nanos,
    logged_at: Option<Nanos>,
}

impl AcknowledgedDeadlines {
    /// Records that the message with the mark `serial` must reach a proxy by a deadline. Of several deadlines
    /// of one message the earliest counts.
    pub(crate) fn sent(&mut self, proxy: ProxyId, serial: u64, deadline: Nanos) {
        let pending = self.pending.entry(proxy).or_default();
        match pending.back_mut().filter(|last| last.serial == serial) {
            Some(last) => last.deadline = last.deadline.min(deadline),
            None => pending.push_back(PendingDeadline { serial, deadline }),
        }
        if pending.len() > MAX_PENDING_PER_PROXY {
            pending.pop_front();
        }
    }

    /// Records that a proxy has applied everything up to the mark `serial`.
    pub(crate) fn acknowledge(&mut self, proxy: ProxyId, serial: u64, now: Nanos) {
        let Some(pending) = self.pending.get_mut(&proxy) else { return };
        let Some(position) = pending.iter().position(|message| message.serial == serial) else { return };
        for message in pending.drain(..=position) {
            if now > message.deadline {
                self.missed += 1;
                self.max_lateness = self.max_lateness.max(now - message.deadline);
            } else {
                self.met += 1;
            }
        }
    }

    /// Forgets a proxy that has left.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.pending.remove(&proxy);
    }

    /// Returns the log line if messages were acknowledged late, at most once per `interval`, and resets the
    /// counts.
    pub(crate) fn log_line(&mut self, now: Nanos, interval: Nanos) -> Option<String> {
        let logged_lately = self.logged_at.is_some_and(|at| now.saturating_sub(at) < interval);
        if self.missed == 0 || logged_lately {
            return None;
        }
        let (met, missed, max_lateness_ms) = (self.met, self.missed, self.max_lateness / NANOS_PER_MS);
        (self.met, self.missed, self.max_lateness, self.logged_at) = (0, 0, 0, Some(now));
        Some(format!(
            "drains acknowledged late: {missed} messages after the deadline, {met} in time; latest by {max_lateness_ms} ms"
        ))
    }
}
