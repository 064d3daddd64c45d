//! One table: the controller's weights and policies, operators' constraints, and the lines that follow from them.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Nanos, ServerId, TableId};
use shalereel_guard::{Guard, Limits};
use shalereel_store::{Line, Lines, Provenance, Store, WeightConstraints, UNIT_WEIGHT};

use super::{OperationIndex, OperationPolicy, TableContext};

/// Largest sum of a table's weights, in units of 1/`UNIT_WEIGHT`: half of what the 32 bits on the wire hold.
const MAX_WEIGHT_SUM: f64 = (u32::MAX / 2) as f64;
/// Factor by which one scaling step lowers a table's weights.
const SCALE_STEP: f64 = 0.0625;
/// Maximum number of scaling steps; weights that need more stay too large.
const MAX_SCALE_STEPS: i32 = 8;

#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    /// Weights that the controller has set.
    pub(super) weights: BTreeMap<ServerId, f64>,
    pub(super) policies: BTreeMap<OperationIndex, OperationPolicy>,
    pub(super) version: u64,
    pub(super) constraints: WeightConstraints,
    /// Servers whose constraints have changed; their lines wait for spare capacity of the channel.
    pub(super) pending_lines: BTreeSet<ServerId>,
    /// Servers whose lines may differ from the last version.
    pub(super) changed: BTreeSet<ServerId>,
    /// Factor on the weights of servers that are warming up, if constraints lower the weights of others.
    slow_start_factor: f64,
    /// Number of steps by which the weights are scaled down.
    scale_steps: i32,
    /// Operator and reason of the rollback.
    pub(super) rollback_provenance: Provenance,
    /// Injected fault: lines that a rollback restores against the controller's decisions.
    pub(super) overriding_lines: Lines,
    /// `None` if the guard is disabled.
    pub(super) guard: Option<Guard>,
    /// The guard withholds the table from proxies.
    pub(super) withheld: bool,
    /// Servers whose lines the guard has to inspect again: lines that it has reverted, and usable lines of draining
    /// servers.
    pub(super) to_inspect_again: BTreeSet<ServerId>,
    /// Time at which the guard inspects those lines again, ns.
    pub(super) inspect_at: Option<Nanos>,
}

impl Table {
    pub(super) fn new(guard: Option<Guard>, caps: BTreeMap<ServerId, f64>) -> Self {
        let mut table = Table { slow_start_factor: 1.0, guard, ..Table::default() };
        table.constraints.set_caps(caps);
        table
    }

    pub(super) fn mark_all_changed(&mut self) {
        self.changed.extend(self.weights.keys());
    }

    /// Schedules an inspection of draining servers whose published lines are still usable. Guards against such lines
    /// staying usable: without it, the table might not be inspected before the drain grace ends.
    pub(super) fn schedule_drain_check(
        &mut self,
        id: TableId,
        store: &Store,
        limits: Limits,
        context: &TableContext,
    ) {
        let usable = store.lines(id).filter(|(_, line)| !line.draining).map(|(server, _)| server);
        self.to_inspect_again
            .extend(usable.filter(|&server| context.endpoints.is_unlisted_or_listed_draining(server)));
        let check_at = limits.drain_check_at(context.now);
        self.inspect_at = Some(self.inspect_at.map_or(check_at, |at| at.min(check_at)));
    }

    /// Marks the lines that the guard has to inspect again as changed, if an inspection is due or any other line has
    /// changed.
    pub(super) fn mark_lines_to_inspect(&mut self, now: Nanos) {
        if self.inspect_at.is_some_and(|at| at <= now) || !self.changed.is_empty() {
            self.inspect_at = None;
            self.changed.append(&mut self.to_inspect_again);
        }
    }

    /// Takes the lines that may have changed; `None` for a server that no longer has a line.
    pub(super) fn take_changed_lines(
        &mut self,
        context: &TableContext,
        excluded: &BTreeSet<ServerId>,
    ) -> BTreeMap<ServerId, Option<Line>> {
        self.update_factors(context);
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|server| (server, self.line(server, context, excluded))).collect()
    }

    /// Recomputes the factors that apply to many lines, and marks the lines whose factor has changed.
    fn update_factors(&mut self, context: &TableContext) {
        let sum: f64 = self.weights.values().sum();
        let fits = |&steps: &i32| sum * UNIT_WEIGHT * SCALE_STEP.powi(steps) < MAX_WEIGHT_SUM;
        let scale_steps = (0..MAX_SCALE_STEPS).find(fits).unwrap_or(MAX_SCALE_STEPS);
        let mut slow_start_factor = 1.0;
        if self.constraints.is_active() {
            let warm = self.weights.iter().filter(|(server, _)| !context.is_warming_up(**server));
            slow_start_factor =
                self.constraints.slow_start_factor(warm.map(|(&server, &weight)| (server, weight)));
        }
        if scale_steps != self.scale_steps {
            self.mark_all_changed();
        } else if slow_start_factor != self.slow_start_factor {
            let warming_up = self.weights.keys().filter(|server| context.is_warming_up(**server));
            self.changed.extend(warming_up);
        }
        self.scale_steps = scale_steps;
        self.slow_start_factor = slow_start_factor;
    }

    fn line(&self, server: ServerId, context: &TableContext, excluded: &BTreeSet<ServerId>) -> Option<Line> {
        if let Some(&line) = self.overriding_lines.get(&server) {
            return Some(Line { draining: false, ..line });
        }
        let listed = context.endpoints.endpoint(server)?;
        let factor = if context.is_warming_up(server) {
            self.slow_start_factor
        } else {
            self.constraints.factor(server)
        };
        let unit = UNIT_WEIGHT * SCALE_STEP.powi(self.scale_steps);
        let weight = self.weights.get(&server)? * factor * unit;
        Some(Line {
            address: listed.address,
            weight: (weight.round() as u32).max(1),
            draining: excluded.contains(&server),
            incarnation: context.endpoints.incarnation(server),
        })
    }
}
