//! The rate of the channel that acknowledgements show: at most the configured one. Pacing has it learn from
//! marks.

/// Greatest slowdown, in multiples of the configured time on top of it: 12 means 13 times as long.
pub(super) const MAX_SLOWDOWN: f64 = 12.0;
/// Share by which an acknowledgement out of time moves the learned slowdown towards what it shows.
const SLOWDOWN_GAIN: f64 = 0.5;

/// How long lines took to leave the channel; all times are in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    /// At the configured rate.
    pub(super) configured_time: f64,
    /// As acknowledgements show, less the mean transit.
    pub(super) time: f64,
    /// By how much transits differ.
    pub(super) jitter: f64,
}

/// What was learned of the channel's rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LearnedRate {
    /// Time by which messages take longer than at the configured rate, in multiples of that time.
    slowdown: f64,
}

impl LearnedRate {
    /// A figure of the channel at the configured rate, scaled to the learned one.
    pub(super) fn scale(&self, at_configured_rate: f64) -> f64 {
        at_configured_rate / (1.0 + self.slowdown)
    }

    /// Learns from an observation that differs from what was learned by more than the jitter.
    pub(super) fn learn(&mut self, observation: Observation) {
        let Observation { configured_time, time, jitter } = observation;
        let expected_time = configured_time * (1.0 + self.slowdown);
        let slowdown = if time > expected_time + jitter {
            (time - jitter) / configured_time - 1.0
        } else if time < expected_time - jitter {
            time / configured_time - 1.0
        } else {
            return;
        };
        self.slowdown += SLOWDOWN_GAIN * (slowdown.clamp(0.0, MAX_SLOWDOWN) - self.slowdown);
    }
}
