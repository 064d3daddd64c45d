//! Operators' constraints on a table's weights: caps (`tables hold`) and a rollback (`tables back`). The controller's weights
//! are multiplied by their factors. The module only decides; it does no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Nanos, ServerId};
use thiserror::Error;

use crate::line::UNIT_WEIGHT;
use crate::rollback::Rollback;
use crate::version::{Provenance, VersionNumber};

/// Step of the factor by which the weights of servers in slow start are multiplied while constraints lower the sum of the
/// other weights. Without steps, each change of the sum would change these weights too.
const SLOW_START_FACTOR_STEP: f64 = 0.1;

/// Why an operator's constraint is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum ConstraintError {
    /// The version is no longer retained, or never existed.
    #[error("version {0} is not retained or never existed; `tables list` shows the retained versions")]
    UnknownVersion(VersionNumber),
    /// The version is the newest of its table.
    #[error("version {0} is the current version of its table; there is nothing to roll back")]
    AlreadyCurrent(VersionNumber),
    /// No server qualifies for the rollback.
    #[error("cannot roll back to version {0}: none of its servers has stayed in the table since, so its weights do not apply \
             to the current servers")]
    NoServerLeft(VersionNumber),
    /// The duration is 0.
    #[error("a rollback or a cap must end: give a duration above 0")]
    NoDuration,
    /// The factor of a cap is not above 0 and up to 1.
    #[error("{0} is not a valid factor; give a number above 0 and up to 1, or drain the server")]
    InvalidFactor(f64),
    /// The server is not in any table.
    #[error("server {0} is not in any table")]
    UnknownServer(ServerId),
}

/// An operator's temporary cap on one server's weight, at one supervisor.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightCap {
    /// Fraction of the controller's weight that the server gets, above 0 and up to 1.
    pub factor: f64,
    /// When the cap ends, ns of the monotonic clock.
    pub until: Nanos,
    /// Who set the cap, and why.
    pub provenance: Provenance,
}

/// Merges the factors of the caps that the group agreed on with those of this supervisor's operators (`own`). Where both cap
/// a server, the lower factor applies.
pub fn lowest_factors(
    agreed: &BTreeMap<ServerId, f64>,
    own: &BTreeMap<ServerId, WeightCap>,
) -> BTreeMap<ServerId, f64> {
    let mut factors = agreed.clone();
    for (&server, cap) in own {
        factors.entry(server).and_modify(|factor| *factor = factor.min(cap.factor)).or_insert(cap.factor);
    }
    factors
}

/// All constraints on a table's weights.
#[derive(Clone, Debug, Default)]
pub struct WeightConstraints {
    cap_factors: BTreeMap<ServerId, f64>,
    rollback: Option<Rollback>,
}

impl WeightConstraints {
    /// Replaces all caps; returns the servers whose factor has changed.
    pub fn set_caps(&mut self, factors: BTreeMap<ServerId, f64>) -> BTreeSet<ServerId> {
        let servers: BTreeSet<ServerId> = factors.keys().chain(self.cap_factors.keys()).copied().collect();
        let differs = |server: &ServerId| factors.get(server) != self.cap_factors.get(server);
        let changed = servers.into_iter().filter(differs).collect();
        self.cap_factors = factors;
        changed
    }

    /// The rollback that is in force, if there is one.
    pub fn rollback(&self) -> Option<&Rollback> {
        self.rollback.as_ref()
    }

    /// Starts a rollback. It replaces the one before, whose factors end at once; returns the servers whose factor has changed.
    pub fn start_rollback(&mut self, rollback: Rollback) -> BTreeSet<ServerId> {
        self.rollback.replace(rollback).map(Rollback::into_applied).unwrap_or_default()
    }

    /// Begins to end the rollback; its factors are removed in steps, as they were applied.
    pub fn end_rollback(&mut self) {
        if let Some(rollback) = &mut self.rollback {
            rollback.end();
        }
    }

    /// Begins to end the rollback if it has expired.
    pub fn on_time(&mut self, now: Nanos) {
        if self.rollback.as_ref().is_some_and(|rollback| now >= rollback.until) {
            self.end_rollback();
        }
    }

    /// Applies or removes the factors of at most `max_lines` servers; returns these servers.
    pub fn advance_rollback(&mut self, max_lines: usize) -> BTreeSet<ServerId> {
        let Some(rollback) = &mut self.rollback else { return BTreeSet::new() };
        let changed = rollback.advance(max_lines);
        if rollback.has_ended() {
            self.rollback = None;
        }
        changed
    }

    /// Drops a server that has left the table from the rollback, so that no earlier weight applies when it returns.
    pub fn on_server_left(&mut self, server: ServerId) {
        if let Some(rollback) = &mut self.rollback {
            rollback.remove(server);
        }
    }

    /// Whether any cap or rollback is set.
    pub fn is_active(&self) -> bool {
        !self.cap_factors.is_empty() || self.rollback.is_some()
    }

    /// Factor by which the weight of a server that is not in slow start is multiplied.
    pub fn factor(&self, server: ServerId) -> f64 {
        let rollback = self.rollback.as_ref().map_or(1.0, |rollback| rollback.factor(server));
        rollback * self.cap_factors.get(&server).copied().unwrap_or(1.0)
    }

    /// Factor by which the weights of servers in slow start are multiplied, so that their share does not grow where
    /// constraints lower the sum of the other weights. `warm`: all servers that are not in slow start, with the weights that
    /// the controller gives them.
    pub fn slow_start_factor(&self, warm: impl Iterator<Item = (ServerId, f64)>) -> f64 {
        if !self.is_active() {
            return 1.0;
        }
        let mut controller_sum = 0.0;
        let mut constrained_sum = 0.0;
        for (server, weight) in warm {
            controller_sum += weight;
            constrained_sum += weight * self.factor(server);
        }
        let factor: f64 =
            if controller_sum > 0.0 { (constrained_sum / controller_sum).min(1.0) } else { 1.0 };
        // Floating-point sums are not exact, so a factor slightly below 1 counts as 1.
        if factor > 1.0 - SLOW_START_FACTOR_STEP / 10.0 {
            return 1.0;
        }
        let step_down = (factor / SLOW_START_FACTOR_STEP).floor() * SLOW_START_FACTOR_STEP;
        step_down.max(1.0 / UNIT_WEIGHT)
    }
}
