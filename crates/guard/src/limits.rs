//! The guard's limits, derived from the controller's settings.

use shalereel::interface::{ControllerConfig, Nanos};

use crate::pool::Server;

/// Number of report rounds after which a rule that may be waived is waived. The effect of a table shows within one round, and
/// after two no report from before is still on its way.
const MAX_REFUSAL_ROUNDS: Nanos = 2;
/// The drain grace period divided by this is the time that the controller has to take a server out of use. The guard's own
/// change needs the rest of the period to reach the proxies.
const DRAIN_CHECK_GRACE_DIVISOR: Nanos = 2;

/// The guard's limits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Fraction of its capacity that a server has at its start.
    pub(crate) slow_start_capacity: f64,
    /// Time after its start until a server has its full capacity, ns.
    pub(crate) slow_start_duration: Nanos,
    /// Largest load of a server in slow start, as a multiple of the capacity that it has reached.
    pub(crate) overload_ratio: f64,
    /// Time between reports of a lasting refusal, and time until rules that may be waived are waived, ns.
    pub(crate) max_refusal_time: Nanos,
    /// Time from the start of a server's drain, or from its removal, until the table is inspected again, ns.
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

    /// Time at which a table is inspected again for servers that begin to drain, or are removed, now.
    pub fn drain_check_at(&self, now: Nanos) -> Nanos {
        now + self.drain_check_delay
    }

    /// Fraction of its full capacity that a server has reached, 0 to 1. A server at 1 is warm.
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
