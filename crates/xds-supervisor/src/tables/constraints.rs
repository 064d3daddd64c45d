//! Operators' constraints on weights: caps on servers, and rollbacks to earlier versions. They change lines step by step,
//! as the channel has capacity, and end by themselves.

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
    /// Largest part of the controller's weight, above 0 and at most 1.
    pub factor: f64,
    /// How long, ns.
    pub duration: Nanos,
    /// Who, and why.
    pub provenance: Provenance,
}

/// An operator's order to go back to an earlier version's weights.
#[derive(Clone, Debug)]
pub struct RollbackRequest {
    /// The earlier version.
    pub target: VersionNumber,
    /// How long, ns.
    pub duration: Nanos,
    /// Who, and why.
    pub provenance: Provenance,
    /// Only the plan is wanted.
    pub dry_run: bool,
}

/// A rollback that is not over yet.
#[derive(Clone, Copy, Debug)]
pub struct ActiveRollback<'a> {
    /// The table.
    pub table: TableId,
    /// How far it is.
    pub rollback: &'a Rollback,
    /// Who ordered it, and why.
    pub provenance: &'a Provenance,
}

impl Tables {
    /// Replaces the caps that the group has agreed on.
    pub fn set_group_caps(&mut self, caps: BTreeMap<ServerId, f64>) {
        self.group_caps = caps;
        self.update_caps();
    }

    /// Caps a server at this supervisor, in place of its cap so far.
    ///
    /// # Errors
    ///
    /// The factor or duration cannot be used, or no table has the server.
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
    /// It has none.
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

    /// Plans a rollback from a table's weights as they are, and starts it unless it is a dry run.
    ///
    /// # Errors
    ///
    /// The version is not stored or is the newest, no server would get its weight back, or the duration is 0.
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

    /// Servers of a table with their weights under caps; `None` where there is no such table.
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

    /// Ends all rollbacks; gives how many.
    pub fn end_rollbacks(&mut self) -> usize {
        let active = self.tables.values_mut().filter(|table| table.constraints.rollback().is_some());
        active.map(|table| table.constraints.end_rollback()).count()
    }

    /// Rollbacks that are not over yet, by table.
    pub fn rollbacks(&self) -> impl Iterator<Item = ActiveRollback<'_>> {
        self.tables.iter().filter_map(|(&id, table)| {
            let rollback = table.constraints.rollback()?;
            Some(ActiveRollback { table: id, rollback, provenance: &table.rollback_provenance })
        })
    }

    /// When the next rollback or cap ends or the guard inspects again, ns.
    pub fn next_timeout(&self) -> Option<Nanos> {
        let inspections = self.tables.values().filter_map(|table| table.inspect_at);
        let rollbacks = self.rollbacks().filter(|active| !active.rollback.is_ending());
        let rollbacks = rollbacks.map(|active| active.rollback.until);
        rollbacks.chain(self.local_caps.values().map(|cap| cap.until)).chain(inspections).min()
    }

    /// Ends caps and rollbacks whose time is over.
    pub fn on_timeout(&mut self, now: Nanos) {
        let before = self.local_caps.len();
        self.local_caps.retain(|_, cap| cap.until > now);
        if self.local_caps.len() < before {
            self.update_caps();
        }
        self.tables.values_mut().for_each(|table| table.constraints.on_time(now));
    }

    /// The first table with lines that constraints have changed and that are not published.
    pub fn next_with_pending_lines(&self) -> Option<TableId> {
        self.tables.iter().find(|(_, table)| table.has_pending_lines()).map(|(&id, _)| id)
    }

    /// Marks at most so many pending lines of a table as changed, and publishes all changed tables with the order's
    /// provenance; the caller has published all others before. Gives how many lines of this table have changed.
    pub fn publish_pending_lines(&mut self, id: TableId, max_lines: usize, context: &TableContext) -> usize {
        // Stands for all caps: which cap a pending line comes from is not recorded. A group cap's lines bear this
        // name too.
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

    /// Who and what a version with pending lines comes from: a rollback, else a cap.
    fn constraint_provenance(&self, cap_of_highest_server: Option<&WeightCap>) -> Provenance {
        let ordered = &self.rollback_provenance;
        // Operators' words: the way back is the rollback, held is capped.
        match (self.constraints.rollback(), cap_of_highest_server) {
            (Some(rollback), _) if rollback.is_ending() => {
                Provenance::new(&ordered.actor, format!("the way back ends: {}", ordered.reason))
            }
            (Some(_), _) => ordered.clone(),
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
