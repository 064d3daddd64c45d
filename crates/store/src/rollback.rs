//! Rollback of a table's weights to those of an earlier version. The module only decides; it does no I/O and reads no clock.
//!
//! A rollback never sets a weight: it multiplies the controller's weight of each server by a factor. So it overrides no rule
//! of the controller: a server that the controller ejects or drains stays out of use, and later changes of a weight by the
//! controller take effect on the multiplied weight.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel::interface::{Nanos, ServerId};

use crate::line::{Lines, UNIT_WEIGHT};
use crate::version::VersionNumber;

/// A rollback multiplies no weight by more than this factor or by less than its inverse. If the controller has moved a weight
/// further, it had a reason that the earlier version does not reflect.
const MAX_FACTOR: f64 = 2.0;
/// A factor that differs from 1 by no more than this changes no line.
const MIN_FACTOR_CHANGE: f64 = 1.0 / UNIT_WEIGHT;

/// A server that the controller has in the table now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentEndpoint {
    /// Number of the server.
    pub server: ServerId,
    /// Weight from the controller, above 0.
    pub weight: f64,
    /// Whether the server is draining: it receives no new requests.
    pub draining: bool,
    /// Whether the server is in slow start.
    pub warming_up: bool,
    /// Number that identifies the current start of the server.
    pub incarnation: u64,
}

/// Why the rollback leaves the controller's weight of a server unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SkipReason {
    /// The server is not in the table now.
    NotInTable,
    /// The server is draining now.
    Draining,
    /// The server was draining or not in the table at some time since the earlier version.
    UnavailableSince,
    /// The server is in slow start.
    WarmingUp,
    /// The server has restarted since the earlier version.
    Restarted,
    /// The server is not in the earlier version.
    NotInEarlierVersion,
    /// The controller has moved the server's weight too far since the earlier version.
    WeightMovedTooFar,
}

/// The effect that a rollback would have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RollbackPlan {
    /// Factors of the weights that change, by server.
    pub factors: BTreeMap<ServerId, f64>,
    /// Number of servers that get their weight of the earlier version, changed or not.
    pub restored: usize,
    /// Servers that keep the controller's weight, with the reason.
    pub skipped: BTreeMap<ServerId, SkipReason>,
}

/// Current and earlier weight of a server that may be rolled back.
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
/// the table in any version since. The rollback preserves the sum of the weights that it changes, so that the shares of the
/// other servers do not change.
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

/// Removes and returns the servers whose weight has changed by a much different ratio than the median server's. The median is
/// used rather than the sum of the weights, since a single server whose weight has moved far would shift the sum.
fn remove_moved_too_far(candidates: &mut BTreeMap<ServerId, Candidate>) -> Vec<ServerId> {
    let mut ratios: Vec<f64> = candidates.values().map(Candidate::ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let median = ratios.get(ratios.len() / 2).copied().unwrap_or(1.0);
    let mut removed = Vec::new();
    candidates.retain(|&server, candidate| {
        let is_near_median = (candidate.ratio() / median).ln().abs() <= MAX_FACTOR.ln();
        if !is_near_median {
            removed.push(server);
        }
        is_near_median
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

/// Whether the factors of a rollback are being applied or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Applying,
    Ending,
}

/// A rollback in force. Its factors are applied in steps, the largest first, so that weights are
/// raised before others are lowered, and removed in steps in the opposite order.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollback {
    /// The earlier version whose weights are restored.
    pub target: VersionNumber,
    /// Time at which the removal of the factors begins, ns of the monotonic clock.
    pub until: Nanos,
    factors: BTreeMap<ServerId, f64>,
    /// Servers whose factor is applied.
    applied: BTreeSet<ServerId>,
    /// Servers whose factor is still to be applied or removed, in this order.
    pending: VecDeque<ServerId>,
    phase: Phase,
}

impl Rollback {
    /// Starts a rollback from a plan; no factor is applied yet.
    pub fn new(target: VersionNumber, until: Nanos, plan: &RollbackPlan) -> Self {
        let mut rollback = Rollback {
            target,
            until,
            factors: plan.factors.clone(),
            applied: BTreeSet::new(),
            pending: VecDeque::new(),
            phase: Phase::Applying,
        };
        rollback.pending =
            rollback.sorted_by_falling_factor(rollback.factors.keys().copied().collect()).into();
        rollback
    }

    fn planned_factor(&self, server: &ServerId) -> f64 {
        self.factors.get(server).copied().unwrap_or(1.0)
    }

    fn sorted_by_falling_factor(&self, mut servers: Vec<ServerId>) -> Vec<ServerId> {
        servers.sort_by(|a, b| self.planned_factor(b).total_cmp(&self.planned_factor(a)).then(a.cmp(b)));
        servers
    }

    fn sorted_by_rising_factor(&self, mut servers: Vec<ServerId>) -> Vec<ServerId> {
        servers.sort_by(|a, b| self.planned_factor(a).total_cmp(&self.planned_factor(b)).then(a.cmp(b)));
        servers
    }

    /// Number of lines that are still to change.
    pub fn pending_lines(&self) -> usize {
        self.pending.len()
    }

    /// Whether the factors are being removed.
    pub fn is_ending(&self) -> bool {
        self.phase == Phase::Ending
    }

    /// Whether all factors have been removed.
    pub(crate) fn has_ended(&self) -> bool {
        self.is_ending() && self.pending.is_empty()
    }

    pub(crate) fn into_applied(self) -> BTreeSet<ServerId> {
        self.applied
    }

    /// Begins to remove the factors.
    pub(crate) fn end(&mut self) {
        if self.is_ending() {
            return;
        }
        self.phase = Phase::Ending;
        self.pending = self.sorted_by_rising_factor(self.applied.iter().copied().collect()).into();
    }

    /// Applies or removes the factors of at most `max_lines` servers; returns these servers.
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

    /// The factor that is applied to a server's weight; 1 if there is none.
    pub(crate) fn factor(&self, server: ServerId) -> f64 {
        let factor = self.factors.get(&server).filter(|_| self.applied.contains(&server));
        factor.copied().unwrap_or(1.0)
    }
}
