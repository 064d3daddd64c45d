//! Delivery deadlines: checks whether the channel can meet all of them (earliest deadline first), and counts
//! for the log how many are forecast to be met and missed. Used by the channel and its pacing.

use crate::interface::Nanos;

pub(crate) use acknowledged::AcknowledgedDeadlines;

mod acknowledged;
#[cfg(test)]
mod tests;

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: Nanos = 1_000_000;

/// A number of lines that must reach proxies by a deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Obligation {
    pub(crate) deadline: Nanos,
    pub(crate) lines: f64,
}

/// Forecast of when the first-in-first-out channel delivers lines that are sent now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeliveryForecast {
    pub(crate) now: Nanos,
    /// Lines that are already queued.
    pub(crate) queued_lines: f64,
    pub(crate) lines_per_ns: f64,
    /// Time between leaving the channel and arriving at the proxy.
    pub(crate) transit: Nanos,
}

impl DeliveryForecast {
    /// Returns when the last of `lines` additional lines arrives.
    pub(crate) fn arrival(&self, lines: f64) -> Nanos {
        let sending_time = (self.queued_lines + lines) / self.lines_per_ns;
        self.now + sending_time as Nanos + self.transit
    }

    /// Maximum lateness of the obligations if the earliest deadlines are served first; 0 if all are met. No
    /// other order has a lower maximum.
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

/// Number of messages that are forecast to meet or miss their deadlines, since the last log line. The counts
/// are forecasts, not measurements, and a proxy that is sent two messages counts twice.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeadlineStatistics {
    /// Messages forecast to arrive in time.
    met: usize,
    /// Messages forecast to arrive late.
    missed: usize,
    /// Longest forecast lateness, ns.
    max_lateness: Nanos,
    logged_at: Option<Nanos>,
}

impl DeadlineStatistics {
    /// Counts one message to each of `proxies` proxies, with a forecast arrival at `arrival`.
    pub(crate) fn record(&mut self, proxies: usize, deadline: Nanos, arrival: Nanos) {
        if arrival > deadline {
            self.missed += proxies;
            self.max_lateness = self.max_lateness.max(arrival - deadline);
        } else {
            self.met += proxies;
        }
    }

    /// Returns the log line if deadlines were missed, at most once per `interval`, and resets the counts;
    /// `pending` proxies have not been notified yet.
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
