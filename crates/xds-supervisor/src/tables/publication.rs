//! Publication of new versions of the tables whose lines have changed.

use shalereel::interface::TableId;
use shalereel_guard::Pool;
use shalereel_store::Provenance;

use super::inspection::pool_servers;
use super::{TableContext, Tables};

impl Tables {
    /// Publishes a version of each table whose lines have changed, without the changes that the guard reverts.
    pub fn publish(&mut self, context: &TableContext, provenance: &Provenance) {
        self.mark_endpoint_changes(context);
        let mut pool = None;
        let ids: Vec<TableId> = self.tables.keys().copied().collect();
        for id in ids {
            self.publish_table(id, &mut pool, context, provenance);
        }
    }

    /// Marks all lines as changed if an address has changed, and schedules a check of draining servers if the list has
    /// begun to drain or omit one.
    fn mark_endpoint_changes(&mut self, context: &TableContext) {
        let moved = self.address_version != context.endpoints.address_version();
        let drained = self.drain_version != context.endpoints.drain_version();
        self.address_version = context.endpoints.address_version();
        self.drain_version = context.endpoints.drain_version();
        for (&id, table) in &mut self.tables {
            if moved {
                table.mark_all_changed();
            }
            if let Some(limits) = self.guard_limits.filter(|_| drained) {
                table.schedule_drain_check(id, &self.store, limits, context);
            }
        }
    }

    /// Publishes a version of a table if its lines have changed. `pool` is filled for the first inspected table.
    fn publish_table(
        &mut self,
        id: TableId,
        pool: &mut Option<Pool>,
        context: &TableContext,
        provenance: &Provenance,
    ) {
        let Some(table) = self.tables.get_mut(&id) else { return };
        table.mark_lines_to_inspect(context.now);
        if table.changed.is_empty() {
            return;
        }
        let published_at = context.now + context.wall_clock_offset;
        let mut lines = table.take_changed_lines(context, &self.excluded);
        if table.guard.is_none() {
            self.store.publish(id, lines, published_at, provenance);
            return;
        }
        let pool = pool.get_or_insert_with(|| Pool {
            servers: pool_servers(context, self.removal_is_binding, self.nominal_capacity_listed),
            traffic_share: 1.0,
        });
        // Table 0 lists all servers, and serves all traffic if no shares are known.
        let default_share = if id == 0 { 1.0 } else { 0.0 };
        pool.traffic_share = context.traffic_shares.get(&id).copied().unwrap_or(default_share);
        let inspection = table.inspect(id, &mut lines, pool, &self.store, context.now);
        if inspection.newly_drained > 0 {
            self.last_version += 1;
            table.version = self.last_version;
            *self.drained_by_guard.entry(id).or_default() += inspection.newly_drained;
        }
        self.guard_log.extend(inspection.log);
        self.store.publish(id, lines, published_at, provenance);
        self.guard_log.extend(table.update_withheld(id, pool, &self.store));
    }
}
