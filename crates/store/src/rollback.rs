//! Rollback of a table's weights to those of an earlier version. Decisions, free of I/O and clock.
//!
//! A rollback is a factor for each server by which the controller's own weight is multiplied, never a weight: a server that
//! the controller ejects or drains stays out, and what it does to a weight later it does to the multiplied one. So no rule
//! of the controller is overridden.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel::interface::{Nanos, ServerId};

use crate::line::{Lines, UNIT_WEIGHT};
use crate::version::VersionNumber;

/// A rollback raises no weight by more than this factor, nor lowers one below its inverse. Where the controller moved a
/// weight further, it had a reason that the earlier version did not know.
const MAX_FACTOR: f64 = 2.0;
/// A factor this near to 1 changes no line.
const MIN_FACTOR_CHANGE: f64 = 1.0 / UNIT_WEIGHT;

/// A server that the controller has in the table now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentEndpoint {
    /// Which server.
    pub server: ServerId,
    /// As ordered by the controller, above 0.
    pub weight: f64,
    /// No new requests go there.
    pub draining: bool,
    /// It is in its slow start.
    pub warming_up: bool,
    /// Number of its start.
    pub incarnation: u64,
}

/// Why a server keeps the weight that the controller has for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SkipReason {
    /// It is not in the table now.
    NotInTable,
    /// It is draining now.
    Draining,
    /// It was draining or not in the table at some time since the earlier version.
    UnavailableSince,
    /// It is in its slow start.
    WarmingUp,
    /// It has restarted since the earlier version.
    Restarted,
    /// It is not in the earlier version.
    NotInEarlierVersion,
    /// The controller moved its weight too far since.
    WeightMovedTooFar,
}

/// What a rollback would do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RollbackPlan {
    /// Factor of each weight that changes.
    pub factors: BTreeMap<ServerId, f64>,
    /// How many servers take the weights of the earlier version.
    pub restored: usize,
    /// Servers that do not.
    pub skipped: BTreeMap<ServerId, SkipReason>,
}

/// Weights of a server that may be rolled back.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    current: f64,
    earlier: f64,
}

impl Candidate {
    fn ratio(&self) -> f64 {
        self.earlier / self.current
    }
}

/// Plans a rollback of the current weights to those of `earlier`. `unavailable_since`: servers that were draining or not in
/// the table in any version since. The sum of the weights concerned stays as it is, so that no other server's share moves.
pub fn plan_rollback(
    endpoints: &[CurrentEndpoint],
    earlier: &Lines,
    unavailable_since: &BTreeSet<ServerId>,
) -> RollbackPlan {
    let mut plan = RollbackPlan::default();
    let mut candidates = BTreeMap::new();
    for endpoint in endpoints {
        match candidate(endpoint, earlier, unavailable_since) {
            Ok(candidate) => {
                candidates.insert(endpoint.server, candidate);
            }
            Err(reason) => {
                plan.skipped.insert(endpoint.server, reason);
            }
        }
    }
    let present: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
    let absent = earlier.keys().filter(|server| !present.contains(server));
    plan.skipped.extend(absent.map(|&server| (server, SkipReason::NotInTable)));
    let moved_too_far = remove_moved_too_far(&mut candidates);
    plan.skipped.extend(moved_too_far.into_iter().map(|server| (server, SkipReason::WeightMovedTooFar)));
    plan.restored = candidates.len();
    plan.factors = factors(&candidates);
    plan
}

fn candidate(
    endpoint: &CurrentEndpoint,
    earlier: &Lines,
    unavailable_since: &BTreeSet<ServerId>,
) -> Result<Candidate, SkipReason> {
    if endpoint.draining {
        return Err(SkipReason::Draining);
    }
    let line = earlier.get(&endpoint.server).ok_or(SkipReason::NotInEarlierVersion)?;
    if line.draining || unavailable_since.contains(&endpoint.server) {
        return Err(SkipReason::UnavailableSince);
    }
    if line.incarnation != endpoint.incarnation {
        return Err(SkipReason::Restarted);
    }
    if endpoint.warming_up {
        return Err(SkipReason::WarmingUp);
    }
    Ok(Candidate { current: endpoint.weight, earlier: f64::from(line.weight) / UNIT_WEIGHT })
}

/// Removes and gives servers whose weight moved far from what the median server's did. The median is the measure, since the
/// sum moves with a single server that moved far.
fn remove_moved_too_far(candidates: &mut BTreeMap<ServerId, Candidate>) -> Vec<ServerId> {
    let mut ratios: Vec<f64> = candidates.values().map(Candidate::ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let median = ratios.get(ratios.len() / 2).copied().unwrap_or(1.0);
    let mut removed = Vec::new();
    candidates.retain(|&server, candidate| {
        let near = (candidate.ratio() / median).ln().abs() <= MAX_FACTOR.ln();
        if !near {
            removed.push(server);
        }
        near
    });
    removed
}

fn factors(candidates: &BTreeMap<ServerId, Candidate>) -> BTreeMap<ServerId, f64> {
    let current_sum = candidates.values().fold(0.0, |sum, candidate| sum + candidate.current);
    let earlier_sum = candidates.values().fold(0.0, |sum, candidate| sum + candidate.earlier);
    let factor = |candidate: &Candidate| {
        let unbounded = current_sum / earlier_sum * candidate.earlier / candidate.current;
        unbounded.clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    };
    let all = candidates.iter().map(|(&server, candidate)| (server, factor(candidate)));
    all.filter(|(_, factor)| (factor - 1.0).abs() > MIN_FACTOR_CHANGE).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Applying,
    Ending,
}

/// A rollback in force. Its factors are applied in steps, those that raise weights first, and end in steps in the opposite
/// order.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollback {
    /// The earlier version.
    pub target: VersionNumber,
    /// When it begins to end, ns of the monotonic clock.
    pub until: Nanos,
    factors: BTreeMap<ServerId, f64>,
    /// Servers whose factor is in force.
    applied: BTreeSet<ServerId>,
    /// Servers whose factor comes into force, or ends, next.
    pending: VecDeque<ServerId>,
    phase: Phase,
}

impl Rollback {
    /// A rollback by a plan, with no factor in force yet.
    pub fn new(target: VersionNumber, until: Nanos, plan: &RollbackPlan) -> Self {
        let mut rollback = Rollback {
            target,
            until,
            factors: plan.factors.clone(),
            applied: BTreeSet::new(),
            pending: VecDeque::new(),
            phase: Phase::Applying,
        };
        rollback.pending = rollback.by_falling_factor(rollback.factors.keys().copied().collect()).into();
        rollback
    }

    fn planned_factor(&self, server: &ServerId) -> f64 {
        self.factors.get(server).copied().unwrap_or(1.0)
    }

    fn by_falling_factor(&self, mut servers: Vec<ServerId>) -> Vec<ServerId> {
        servers.sort_by(|a, b| self.planned_factor(b).total_cmp(&self.planned_factor(a)).then(a.cmp(b)));
        servers
    }

    fn by_rising_factor(&self, mut servers: Vec<ServerId>) -> Vec<ServerId> {
        servers.sort_by(|a, b| self.planned_factor(a).total_cmp(&self.planned_factor(b)).then(a.cmp(b)));
        servers
    }

    /// Lines that are still to change.
    pub fn pending_lines(&self) -> usize {
        self.pending.len()
    }

    /// Whether its factors are being taken back.
    pub fn is_ending(&self) -> bool {
        self.phase == Phase::Ending
    }

    /// Whether no factor is in force any more.
    pub(crate) fn has_ended(&self) -> bool {
        self.is_ending() && self.pending.is_empty()
    }

    pub(crate) fn into_applied(self) -> BTreeSet<ServerId> {
        self.applied
    }

    /// Begins to take its factors back.
    pub(crate) fn end(&mut self) {
        if self.is_ending() {
            return;
        }
        self.phase = Phase::Ending;
        self.pending = self.by_rising_factor(self.applied.iter().copied().collect()).into();
    }

    /// Changes at most so many lines; gives their servers.
    pub(crate) fn advance(&mut self, max_lines: usize) -> BTreeSet<ServerId> {
        let count = max_lines.min(self.pending.len());
        let changed: BTreeSet<ServerId> = self.pending.drain(..count).collect();
        match self.phase {
            Phase::Applying => self.applied.extend(&changed),
            Phase::Ending => self.applied.retain(|server| !changed.contains(server)),
        }
        changed
    }

    pub(crate) fn remove(&mut self, server: ServerId) {
        self.factors.remove(&server);
        self.applied.remove(&server);
        self.pending.retain(|pending| *pending != server);
    }

    /// Factor that is in force for a server.
    pub(crate) fn factor(&self, server: ServerId) -> f64 {
        let factor = self.factors.get(&server).filter(|_| self.applied.contains(&server));
        factor.copied().unwrap_or(1.0)
    }
}
