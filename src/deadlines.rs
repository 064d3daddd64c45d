//! Obligations with deadlines, whether the channel can still meet them (earliest deadline first), and the
//! account of deadlines forecast to be met and missed for the log. Used by the channel and its pacing.

use crate::interface::Nanos;

#[cfg(test)]
mod tests;

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: Nanos = 1_000_000;

/// Lines that must have reached proxies by a deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Obligation {
    pub(crate) deadline: Nanos,
    pub(crate) lines: f64,
}

/// When a first-in-first-out channel delivers what is put into it now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeliveryForecast {
    pub(crate) now: Nanos,
    /// Lines that are in the queue already.
    pub(crate) queued_lines: f64,
    pub(crate) lines_per_ns: f64,
    /// Time from leaving the channel to arriving at the proxy.
    pub(crate) transit: Nanos,
}

impl DeliveryForecast {
    /// Time at which the last of `lines` more lines arrives.
    pub(crate) fn arrival(&self, lines: f64) -> Nanos {
        let sending = (self.queued_lines + lines) / self.lines_per_ns;
        self.now + sending as Nanos + self.transit
    }

    /// The longest time by which one of the obligations is late if the earliest deadlines go first; 0 if all
    /// are met. No order of sending has a lower one.
    pub(crate) fn max_lateness(&self, obligations: &mut [Obligation]) -> Nanos {
        obligations.sort_by_key(|obligation| obligation.deadline);
        let mut lines = 0.0;
        let mut max_lateness = 0;
        for obligation in obligations.iter() {
            lines += obligation.lines;
            max_lateness = max_lateness.max(self.arrival(lines).saturating_sub(obligation.deadline));
        }
        max_lateness
    }

    /// Whether the channel can meet all of the obligations.
    pub(crate) fn meets_all(&self, obligations: &mut [Obligation]) -> bool {
        self.max_lateness(obligations) == 0
    }
}

/// Messages whose forecast arrival meets or misses their deadline, since the last line in the log; nothing here is
/// measured, and a proxy that is sent two counts twice.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeadlineStatistics {
    /// Messages forecast to arrive in time.
    met: usize,
    /// Messages forecast to arrive late.
    missed: usize,
    /// The longest forecast lateness, ns.
    max_lateness: Nanos,
    logged_at: Option<Nanos>,
}

impl DeadlineStatistics {
    /// Counts a message to each of `proxies` proxies that is forecast to arrive at `arrival`.
    pub(crate) fn record(&mut self, proxies: usize, deadline: Nanos, arrival: Nanos) {
        if arrival > deadline {
            self.missed += proxies;
            self.max_lateness = self.max_lateness.max(arrival - deadline);
        } else {
            self.met += proxies;
        }
    }

    /// The line for the log if deadlines were missed, at most once in `interval`; `pending` proxies are yet
    /// to be notified.
    pub(crate) fn log_line(&mut self, pending: usize, now: Nanos, interval: Nanos) -> Option<String> {
        let logged_lately = self.logged_at.is_some_and(|at| now.saturating_sub(at) < interval);
        if self.missed == 0 || logged_lately {
            return None;
        }
        let DeadlineStatistics { met, missed, max_lateness, .. } = *self;
        *self = DeadlineStatistics { logged_at: Some(now), ..DeadlineStatistics::default() };
        let max_lateness_ms = max_lateness / NANOS_PER_MS;
        Some(format!(
            "deadlines missed: {missed} proxies notified late, {met} in time, {pending} not yet notified; latest by {max_lateness_ms} ms"
        ))
    }
}
