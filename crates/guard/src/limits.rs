//! The guard's limits as the settings give them.

use shalereel::interface::{ControllerConfig, Nanos};

use crate::pool::Server;

/// Rounds of reports until a rule that may be waived is waived: what a table did shows within one, and after two nothing
/// is on its way.
const MAX_REFUSAL_ROUNDS: Nanos = 2;
/// Part of the drain grace that the controller has to take a server out; the guard's own change needs the rest to arrive.
const DRAIN_CHECK_GRACE_DIVISOR: Nanos = 2;

/// Figures from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Part of its capacity that a server has at its start.
    pub(crate) slow_start_capacity: f64,
    /// Time until it has all of it, ns.
    pub(crate) slow_start_duration: Nanos,
    /// Most load of a server in slow start, in ratio to its capacity.
    pub(crate) overload_ratio: f64,
    /// Time between reports of a refusal that lasts, and until rules that may be waived are waived, ns.
    pub(crate) max_refusal_time: Nanos,
    /// Time until lines of a server that is draining or was removed are inspected again, ns.
    pub(crate) drain_check_delay: Nanos,
}

impl Limits {
    /// The limits for a controller's settings.
    pub fn new(config: &ControllerConfig) -> Self {
        Limits {
            slow_start_capacity: config.slow_start_capacity,
            slow_start_duration: config.slow_start_duration,
            overload_ratio: config.overload_ratio,
            max_refusal_time: MAX_REFUSAL_ROUNDS * (config.report_interval + config.worst_transit),
            drain_check_delay: config.drain_grace / DRAIN_CHECK_GRACE_DIVISOR,
        }
    }

    /// When a table is inspected again for servers that began to drain, or were removed, now.
    pub fn drain_check_at(&self, now: Nanos) -> Nanos {
        now + self.drain_check_delay
    }

    /// Part of its capacity that a server has reached, 0 to 1; 1: it is warm.
    pub fn capacity_fraction(&self, server: &Server) -> f64 {
        match server.age {
            Some(age) if age < self.slow_start_duration => {
                let progress =
                    (1.0 - self.slow_start_capacity) * age as f64 / self.slow_start_duration as f64;
                self.slow_start_capacity + progress
            }
            _ => 1.0,
        }
    }

    pub(crate) fn is_warm(&self, server: &Server) -> bool {
        self.capacity_fraction(server) >= 1.0
    }
}
