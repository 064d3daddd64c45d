//! The channel's rate as learned from acknowledgements; at most the configured rate. Pacing feeds it an
//! observation per mark.

/// Maximum slowdown: additional time in multiples of the configured time; 12 means 13 times as long.
pub(super) const MAX_SLOWDOWN: f64 = 12.0;
/// Share by which an observation moves the learned slowdown towards the observed one.
const SLOWDOWN_GAIN: f64 = 0.5;

/// Observed time that lines took to leave the channel; all times are in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    /// Time at the configured rate.
    pub(super) configured_time: f64,
    /// Time shown by acknowledgements, less the mean transit time.
    pub(super) time: f64,
    /// Longest transit time less the mean transit time.
    pub(super) jitter: f64,
}

/// Estimate of the channel's rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LearnedRate {
    /// Additional time that messages take, in multiples of the time at the configured rate.
    slowdown: f64,
}

impl LearnedRate {
    /// Scales a rate or an amount of lines from the configured rate to the learned one.
    pub(super) fn scale(&self, at_configured_rate: f64) -> f64 {
        at_configured_rate / (1.0 + self.slowdown)
    }

    /// Learns from an observation that differs from the expected time by more than the jitter.
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
