//! Operators' constraints on a table's weights: caps (`tables hold`) and a rollback (`tables back`). The controller's weights
//! pass through them. Decisions, free of I/O and clock.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Nanos, ServerId};
use thiserror::Error;

use crate::line::UNIT_WEIGHT;
use crate::rollback::Rollback;
use crate::version::{Provenance, VersionNumber};

/// Weights of servers in slow start follow the sum of the others down in steps of this size, so that they do not change with
/// each change of it.
const SLOW_START_FACTOR_STEP: f64 = 0.1;

/// Why an operator's constraint is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum ConstraintError {
    /// The version is not retained.
    #[error("version {0} is not kept, or never was; `tables list` names those that are")]
    UnknownVersion(VersionNumber),
    /// The version is the newest of its table.
    #[error("version {0} is what stands now; there is nothing to go back to")]
    AlreadyCurrent(VersionNumber),
    /// No server qualifies for the rollback.
    #[error("no server of version {0} has stood in the table ever since; its weights say nothing about those that do")]
    NoServerLeft(VersionNumber),
    /// A duration of 0.
    #[error("a rollback (tables back) or a cap (tables hold) must end: give it a time above 0")]
    NoDuration,
    /// A cap's factor that is not above 0 and up to 1.
    #[error("{0} is not a valid factor; give a number above 0 and up to 1, or drain the server")]
    InvalidFactor(f64),
    /// No table has the server now.
    #[error("no table has server {0} now")]
    UnknownServer(ServerId),
}

/// An operator's cap on one server's weight, at one supervisor, for a time.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightCap {
    /// Part of the controller's weight that the server gets, above 0 and up to 1.
    pub factor: f64,
    /// When it ends, ns of the monotonic clock.
    pub until: Nanos,
    /// Who ordered it and why.
    pub provenance: Provenance,
}

/// Factors of all caps: those that a group agreed on and those of this supervisor's operators; the lower one counts.
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
    /// Sets the caps, in place of those before; gives servers whose factor changed.
    pub fn set_caps(&mut self, factors: BTreeMap<ServerId, f64>) -> BTreeSet<ServerId> {
        let servers: BTreeSet<ServerId> = factors.keys().chain(self.cap_factors.keys()).copied().collect();
        let differs = |server: &ServerId| factors.get(server) != self.cap_factors.get(server);
        let changed = servers.into_iter().filter(differs).collect();
        self.cap_factors = factors;
        changed
    }

    /// The rollback in force.
    pub fn rollback(&self) -> Option<&Rollback> {
        self.rollback.as_ref()
    }

    /// Starts a rollback in place of the one before, whose factors end at once; gives servers whose factor changed.
    pub fn start_rollback(&mut self, rollback: Rollback) -> BTreeSet<ServerId> {
        self.rollback.replace(rollback).map(Rollback::into_applied).unwrap_or_default()
    }

    /// Ends the rollback, in steps as it came.
    pub fn end_rollback(&mut self) {
        if let Some(rollback) = &mut self.rollback {
            rollback.end();
        }
    }

    /// Ends the rollback if its time is over.
    pub fn on_time(&mut self, now: Nanos) {
        if self.rollback.as_ref().is_some_and(|rollback| now >= rollback.until) {
            self.end_rollback();
        }
    }

    /// Changes at most so many lines of the rollback; gives their servers.
    pub fn advance_rollback(&mut self, max_lines: usize) -> BTreeSet<ServerId> {
        let Some(rollback) = &mut self.rollback else { return BTreeSet::new() };
        let changed = rollback.advance(max_lines);
        if rollback.has_ended() {
            self.rollback = None;
        }
        changed
    }

    /// A server left the table: when it is back, no earlier weight of it counts.
    pub fn on_server_left(&mut self, server: ServerId) {
        if let Some(rollback) = &mut self.rollback {
            rollback.remove(server);
        }
    }

    /// Whether there is any constraint.
    pub fn is_active(&self) -> bool {
        !self.cap_factors.is_empty() || self.rollback.is_some()
    }

    /// Factor of the weight of a server that is not in its slow start.
    pub fn factor(&self, server: ServerId) -> f64 {
        let rollback = self.rollback.as_ref().map_or(1.0, |rollback| rollback.factor(server));
        rollback * self.cap_factors.get(&server).copied().unwrap_or(1.0)
    }

    /// Factor of the weights of servers in slow start: it keeps their share from growing where the sum of the others is
    /// constrained. `warm`: those others, with their weights as ordered.
    pub fn slow_start_factor(&self, warm: impl Iterator<Item = (ServerId, f64)>) -> f64 {
        if !self.is_active() {
            return 1.0;
        }
        let mut ordered = 0.0;
        let mut constrained = 0.0;
        for (server, weight) in warm {
            ordered += weight;
            constrained += weight * self.factor(server);
        }
        let factor: f64 = if ordered > 0.0 { (constrained / ordered).min(1.0) } else { 1.0 };
        // Sums of products are not exact: slightly below 1 is 1.
        if factor > 1.0 - SLOW_START_FACTOR_STEP / 10.0 {
            return 1.0;
        }
        let step_down = (factor / SLOW_START_FACTOR_STEP).floor() * SLOW_START_FACTOR_STEP;
        step_down.max(1.0 / UNIT_WEIGHT)
    }
}
