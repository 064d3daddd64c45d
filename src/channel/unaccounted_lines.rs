//! Lines that were sent in addition to those accounted for. All forecasts depend on the account, so it is
//! corrected, and a difference is logged.

use super::Channel;
use crate::interface::Nanos;

/// Accounted and actual lines of the messages with a difference, since the last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnaccountedLines {
    accounted: f64,
    actual: f64,
    logged_at: Option<Nanos>,
}

impl UnaccountedLines {
    fn record(&mut self, accounted: f64, actual: f64) {
        if actual > accounted {
            self.accounted += accounted;
            self.actual += actual;
        }
    }

    /// Returns the log line if there were unaccounted lines, at most once per `interval`, and resets the
    /// counts.
    pub(super) fn log_line(&mut self, now: Nanos, interval: Nanos) -> Option<String> {
        let logged_lately = self.logged_at.is_some_and(|at| now.saturating_sub(at) < interval);
        if self.actual == 0.0 || logged_lately {
            return None;
        }
        let UnaccountedLines { accounted, actual, .. } = *self;
        *self = UnaccountedLines { logged_at: Some(now), ..UnaccountedLines::default() };
        Some(format!("channel account too low: {actual:.0} lines sent, {accounted:.0} accounted for"))
    }
}

impl Channel {
    /// Corrects the account of the messages of a mark by their actual size.
    pub(super) fn record_actual_size(&mut self, serial: u64, lines: f64) {
        if let Some(mark) = self.pacing.pending_marks.get(&serial) {
            self.unaccounted_lines.record(mark.lines, lines);
            self.pacing.correct_lines(serial, lines);
        }
    }
}
