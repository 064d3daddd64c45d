//! The controller's actions that change tables.

use shalereel::interface::{Action, ServerId, TableId};
use shalereel_guard::Guard;

use super::table::Table;
use super::{AffectedProxies, OperationIndex, OperationPolicy, Tables};

impl Tables {
    /// Applies an action if it changes tables, and returns the proxies that it affects.
    pub fn apply(&mut self, action: &Action, operation_count: usize) -> AffectedProxies {
        match *action {
            Action::SetWeight { table, server, weight } => self.set_weight(table, server, weight),
            Action::ClearTable { table } => self.clear(table),
            Action::Exclude { server, on: true } => self.exclude(server),
            Action::Exclude { server, on: false } => self.readmit(server),
            Action::LimitAdmission { table, operations, limit, retry_policy } => {
                // No bit set means all operations.
                let chosen = (0..operation_count as OperationIndex)
                    .filter(|index| operations == 0 || operations & (1 << index) != 0);
                let policy = OperationPolicy { admission_limit: limit, retry_policy };
                self.set_policies(table, chosen, policy)
            }
            _ => AffectedProxies::None,
        }
    }

    fn next_version(&mut self) -> u64 {
        self.last_version += 1;
        self.last_version
    }

    /// Returns a table with a new version; creates the table if it does not exist.
    fn changed_table(&mut self, id: TableId) -> &mut Table {
        let version = self.next_version();
        let guard_limits = self.guard_limits;
        let caps = &self.effective_caps;
        let table =
            self.tables.entry(id).or_insert_with(|| Table::new(guard_limits.map(Guard::new), caps.clone()));
        table.version = version;
        table
    }

    fn set_weight(&mut self, id: TableId, server: ServerId, weight: f64) -> AffectedProxies {
        let table = self.changed_table(id);
        table.changed.insert(server);
        if weight > 0.0 {
            table.weights.insert(server, weight);
        } else {
            table.weights.remove(&server);
            table.constraints.on_server_left(server);
        }
        AffectedProxies::UsingTable(id)
    }

    fn clear(&mut self, id: TableId) -> AffectedProxies {
        let table = self.changed_table(id);
        table.changed.extend(std::mem::take(&mut table.weights).into_keys());
        table.policies.clear();
        AffectedProxies::UsingTable(id)
    }

    fn exclude(&mut self, server: ServerId) -> AffectedProxies {
        self.excluded.insert(server);
        self.mark_exclusion_changed(server);
        for table in self.tables.values_mut().filter(|table| table.weights.contains_key(&server)) {
            table.constraints.on_server_left(server);
        }
        AffectedProxies::MayUseServer(server)
    }

    fn readmit(&mut self, server: ServerId) -> AffectedProxies {
        self.excluded.remove(&server);
        self.mark_exclusion_changed(server);
        AffectedProxies::MayUseServer(server)
    }

    fn mark_exclusion_changed(&mut self, server: ServerId) {
        let version = self.next_version();
        self.excluded_version = version;
        for table in self.tables.values_mut().filter(|table| table.weights.contains_key(&server)) {
            table.version = version;
            table.changed.insert(server);
        }
    }

    fn set_policies(
        &mut self,
        table: Option<TableId>,
        operations: impl Iterator<Item = OperationIndex>,
        policy: OperationPolicy,
    ) -> AffectedProxies {
        let policies = operations.map(|operation| (operation, policy));
        match table {
            Some(id) => {
                self.changed_table(id).policies.extend(policies);
                AffectedProxies::UsingTable(id)
            }
            None => {
                let version = self.next_version();
                self.policies.extend(policies);
                self.tables.values_mut().for_each(|table| table.version = version);
                AffectedProxies::All
            }
        }
    }
}
