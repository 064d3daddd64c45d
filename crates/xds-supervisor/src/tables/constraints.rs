//! Operators' constraints on weights: caps on servers, and rollbacks to earlier versions. They change lines in steps,
//! as the channel has spare capacity, and expire.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, ServerId, TableId};
use shalereel_store::{
    lowest_factors, plan_rollback, ConstraintError, CurrentEndpoint, Provenance, Rollback, RollbackPlan,
    VersionNumber, WeightCap,
};

use super::table::Table;
use super::{TableContext, Tables};

/// An operator's order to cap a server's weight at this supervisor.
#[derive(Clone, Debug)]
pub struct CapRequest {
    /// Largest share of the controller's weight, above 0 and at most 1.
    pub factor: f64,
    /// Duration of the cap, ns.
    pub duration: Nanos,
    /// Operator and reason.
    pub provenance: Provenance,
}

/// An operator's order to restore the weights of an earlier version.
#[derive(Clone, Debug)]
pub struct RollbackRequest {
    /// Version whose weights are restored.
    pub target: VersionNumber,
    /// Duration of the rollback, ns.
    pub duration: Nanos,
    /// Operator and reason.
    pub provenance: Provenance,
    /// The rollback is only planned, not started.
    pub dry_run: bool,
}

/// A rollback that has not ended yet.
#[derive(Clone, Copy, Debug)]
pub struct ActiveRollback<'a> {
    /// Table that is rolled back.
    pub table: TableId,
    /// Target, expiry and progress.
    pub rollback: &'a Rollback,
    /// Operator and reason.
    pub provenance: &'a Provenance,
}

impl Tables {
    /// Replaces the caps that the group has agreed on.
    pub fn set_group_caps(&mut self, caps: BTreeMap<ServerId, f64>) {
        self.group_caps = caps;
        self.update_caps();
    }

    /// Caps a server's weight at this supervisor, in place of its previous cap.
    ///
    /// # Errors
    ///
    /// The factor or duration is invalid, or no table lists the server.
    pub fn cap_server(
        &mut self,
        server: ServerId,
        request: CapRequest,
        now: Nanos,
    ) -> Result<(), ConstraintError> {
        let CapRequest { factor, duration, provenance } = request;
        if !(factor > 0.0 && factor <= 1.0) {
            return Err(ConstraintError::InvalidFactor(factor));
        }
        if duration == 0 {
            return Err(ConstraintError::NoDuration);
        }
        if !self.tables.keys().any(|&table| self.lists(table, server)) {
            return Err(ConstraintError::UnknownServer(server));
        }
        let until = now.saturating_add(duration);
        self.local_caps.insert(server, WeightCap { factor, until, provenance });
        self.update_caps();
        Ok(())
    }

    /// Ends a server's cap at this supervisor.
    ///
    /// # Errors
    ///
    /// The server has no cap.
    pub fn release_server(&mut self, server: ServerId) -> Result<(), ConstraintError> {
        self.local_caps.remove(&server).ok_or(ConstraintError::UnknownServer(server))?;
        self.update_caps();
        Ok(())
    }

    /// Caps that operators have set at this supervisor.
    pub fn local_caps(&self) -> &BTreeMap<ServerId, WeightCap> {
        &self.local_caps
    }

    fn update_caps(&mut self) {
        self.effective_caps = lowest_factors(&self.group_caps, &self.local_caps);
        for table in self.tables.values_mut() {
            let changed = table.constraints.set_caps(self.effective_caps.clone());
            let listed = changed.into_iter().filter(|server| table.weights.contains_key(server));
            table.pending_lines.extend(listed);
        }
    }

    /// Plans a rollback from a table's current weights, and starts it unless it is a dry run.
    ///
    /// # Errors
    ///
    /// The target is not stored or is the newest version, no server's weight would be restored, or the duration is 0.
    pub fn start_rollback(
        &mut self,
        request: RollbackRequest,
        context: &TableContext,
    ) -> Result<(TableId, RollbackPlan), ConstraintError> {
        let RollbackRequest { target, duration, provenance, dry_run } = request;
        if duration == 0 {
            return Err(ConstraintError::NoDuration);
        }
        let (id, old_lines) = self.store.lines_at(target).ok_or(ConstraintError::UnknownVersion(target))?;
        if self.store.newest_version(id) == target {
            return Err(ConstraintError::AlreadyCurrent(target));
        }
        let since = self.store.changes_since(id, target).ok_or(ConstraintError::UnknownVersion(target))?;
        let current = self.current_endpoints(id, context).ok_or(ConstraintError::NoServerLeft(target))?;
        let plan = plan_rollback(&current, &old_lines, &since.unavailable);
        if plan.restored == 0 && !self.rollback_overrides_controller {
            return Err(ConstraintError::NoServerLeft(target));
        }
        if let Some(table) = self.tables.get_mut(&id).filter(|_| !dry_run) {
            let until = context.now.saturating_add(duration);
            let moved = table.constraints.start_rollback(Rollback::new(target, until, &plan));
            table.pending_lines.extend(moved);
            table.rollback_provenance = provenance;
            if self.rollback_overrides_controller {
                table.changed.extend(old_lines.keys());
                table.overriding_lines = old_lines;
            }
        }
        Ok((id, plan))
    }

    /// Servers of a table with their capped weights; `None` if the table does not exist.
    fn current_endpoints(&self, id: TableId, context: &TableContext) -> Option<Vec<CurrentEndpoint>> {
        let endpoint = |(&server, &weight): (&ServerId, &f64)| CurrentEndpoint {
            server,
            weight: weight * self.effective_caps.get(&server).copied().unwrap_or(1.0),
            draining: self.excluded.contains(&server),
            warming_up: context.is_warming_up(server),
            incarnation: context.endpoints.incarnation(server),
        };
        Some(self.tables.get(&id)?.weights.iter().map(endpoint).collect())
    }

    /// Ends all rollbacks, and returns how many there were.
    pub fn end_rollbacks(&mut self) -> usize {
        let active = self.tables.values_mut().filter(|table| table.constraints.rollback().is_some());
        active.map(|table| table.constraints.end_rollback()).count()
    }

    /// Rollbacks that have not ended yet, in order of their tables.
    pub fn rollbacks(&self) -> impl Iterator<Item = ActiveRollback<'_>> {
        self.tables.iter().filter_map(|(&id, table)| {
            let rollback = table.constraints.rollback()?;
            Some(ActiveRollback { table: id, rollback, provenance: &table.rollback_provenance })
        })
    }

    /// Time at which the next rollback or cap expires or the guard inspects lines again, ns.
    pub fn next_timeout(&self) -> Option<Nanos> {
        let inspections = self.tables.values().filter_map(|table| table.inspect_at);
        let rollbacks = self.rollbacks().filter(|active| !active.rollback.is_ending());
        let rollbacks = rollbacks.map(|active| active.rollback.until);
        rollbacks.chain(self.local_caps.values().map(|cap| cap.until)).chain(inspections).min()
    }

    /// Ends expired caps and rollbacks.
    pub fn on_timeout(&mut self, now: Nanos) {
        let before = self.local_caps.len();
        self.local_caps.retain(|_, cap| cap.until > now);
        if self.local_caps.len() < before {
            self.update_caps();
        }
        self.tables.values_mut().for_each(|table| table.constraints.on_time(now));
    }

    /// The first table with unpublished lines that constraints have changed.
    pub fn next_with_pending_lines(&self) -> Option<TableId> {
        self.tables.iter().find(|(_, table)| table.has_pending_lines()).map(|(&id, _)| id)
    }

    /// Marks at most `max_lines` pending lines of a table as changed, publishes all changed tables with the provenance
    /// of the operator's order, and returns the number of changed lines of this table. The caller has published all
    /// other changes before.
    pub fn publish_pending_lines(&mut self, id: TableId, max_lines: usize, context: &TableContext) -> usize {
        // Named as the origin of all capped lines, including those of group caps: which cap changed a pending line is
        // not recorded.
        let cap_of_highest_server = self.local_caps.values().next_back();
        let Some(table) = self.tables.get_mut(&id) else { return 0 };
        let provenance = table.constraint_provenance(cap_of_highest_server);
        table.mark_pending_changed(max_lines);
        self.last_version += 1;
        table.version = self.last_version;
        let before = self.store.newest_version(id);
        self.publish(context, &provenance);
        self.store.changes_since(id, before).map_or(0, |since| since.changed.len())
    }
}

impl Table {
    fn has_pending_lines(&self) -> bool {
        let rolling_back = self.constraints.rollback().is_some_and(|rollback| rollback.pending_lines() > 0);
        !self.pending_lines.is_empty() || rolling_back
    }

    /// Provenance of a version with pending lines: the rollback's if there is one, else a cap's.
    fn constraint_provenance(&self, cap_of_highest_server: Option<&WeightCap>) -> Provenance {
        let rollback_order = &self.rollback_provenance;
        // Texts of the stored history: "the way back" is the rollback, and "held" means capped.
        match (self.constraints.rollback(), cap_of_highest_server) {
            (Some(rollback), _) if rollback.is_ending() => Provenance::new(
                &rollback_order.actor,
                format!("the way back ends: {}", rollback_order.reason),
            ),
            (Some(_), _) => rollback_order.clone(),
            (None, Some(cap)) => {
                Provenance::new(&cap.provenance.actor, format!("weights held: {}", cap.provenance.reason))
            }
            (None, None) => Provenance::new("operator", "weights held, or held no longer"),
        }
    }

    fn mark_pending_changed(&mut self, max_lines: usize) {
        let first: Vec<ServerId> = self.pending_lines.iter().copied().take(max_lines).collect();
        self.pending_lines.retain(|server| !first.contains(server));
        self.changed.extend(self.constraints.advance_rollback(max_lines - first.len()));
        self.changed.extend(first);
        if self.constraints.rollback().is_none() {
            self.changed.extend(std::mem::take(&mut self.overriding_lines).into_keys());
        }
    }
}
