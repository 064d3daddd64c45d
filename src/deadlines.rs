//! What proxies must have been told by when, and whether the channel can still deliver it: earliest deadline first.

use crate::interface::Nanos;

/// Lines that must have reached proxies by a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Obligation {
    pub(crate) due: Nanos,
    pub(crate) lines: f64,
}

/// A channel that delivers first in, first out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    pub(crate) now: Nanos,
    /// Lines that wait in it already.
    pub(crate) queued: f64,
    pub(crate) lines_per_ns: f64,
    /// From leaving the channel to the proxy.
    pub(crate) transit: Nanos,
}

impl Capacity {
    /// When the last of so many more lines arrives.
    pub(crate) fn arrival(&self, lines: f64) -> Nanos {
        let sending = (self.queued + lines) / self.lines_per_ns;
        self.now + sending as Nanos + self.transit
    }

    /// By how much the latest arrives after its deadline, if the earliest deadlines go first; 0 where all are kept.
    /// No order of sending has a lower one.
    pub(crate) fn worst_lateness(&self, obligations: &mut [Obligation]) -> Nanos {
        obligations.sort_by_key(|obligation| obligation.due);
        let (mut lines, mut worst) = (0.0, 0);
        for obligation in obligations.iter() {
            lines += obligation.lines;
            worst = worst.max(self.arrival(lines).saturating_sub(obligation.due));
        }
        worst
    }

    pub(crate) fn keeps(&self, obligations: &mut [Obligation]) -> bool {
        self.worst_lateness(obligations) == 0
    }
}

/// How deadlines fared, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ledger {
    kept: usize,
    missed: usize,
    worst: Nanos,
    said: Option<Nanos>,
}

impl Ledger {
    /// So many proxies are told something that arrives then.
    pub(crate) fn enter(&mut self, proxies: usize, due: Nanos, arrival: Nanos) {
        if arrival > due {
            self.missed += proxies;
            self.worst = self.worst.max(arrival - due);
        } else {
            self.kept += proxies;
        }
    }

    /// The line for the log where deadlines were missed, at most once in such a span.
    pub(crate) fn report(&mut self, owed: usize, now: Nanos, span: Nanos) -> Option<String> {
        if self.missed == 0 || self.said.is_some_and(|said| now.saturating_sub(said) < span) {
            return None;
        }
        let Ledger { kept, missed, worst, .. } = *self;
        *self = Ledger { said: Some(now), ..Ledger::default() };
        let worst = worst / 1_000_000;
        Some(format!(
            "deadlines missed: {missed} proxies are told late, {kept} in time, {owed} yet to be told; the worst by {worst} ms"
        ))
    }
}
