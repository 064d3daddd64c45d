//! The controller's actions: tables are changed first, then one message for each affected proxy is put into the
//! channel, with as many lines as the changes cost.

use std::collections::BTreeMap;

use shalereel::interface::{Action, Nanos, ProxyId, TableId};
use shalereel_store::Provenance;

use super::proxy::Proxy;
use super::{Core, ShellCommand};
use crate::tables::AffectedProxies;

/// Effects of the actions of one decision: their cost in the channel, and the reasons for them.
#[derive(Default)]
struct Batch {
    /// Lines by proxy, without message overhead.
    lines: BTreeMap<ProxyId, f64>,
    mark: Option<RequestedMark>,
    log_lines: Vec<String>,
    tables_assigned: bool,
}

#[derive(Clone, Copy)]
struct RequestedMark {
    serial: u16,
    /// Proxies that are sent nothing else have to acknowledge it too.
    from_everyone: bool,
}

impl Batch {
    fn charge(&mut self, proxy: ProxyId, lines: f64) {
        *self.lines.entry(proxy).or_default() += lines;
    }
}

impl Core {
    /// Applies the actions of one decision and queues one message for each affected proxy.
    pub(super) fn apply_actions(&mut self, now: Nanos, actions: Vec<Action>) {
        let mut batch = Batch::default();
        for action in self.inject_fault(now, actions) {
            self.apply_action(now, action, &mut batch);
        }
        if let Some(mark) = batch.mark {
            if mark.from_everyone {
                self.proxies.keys().for_each(|&id| batch.charge(id, 0.0));
            }
            // The mark costs one line.
            batch.lines.values_mut().for_each(|lines| *lines += 1.0);
        }
        if batch.tables_assigned {
            self.update_table_shares();
        }
        // The stored history and operators' tools know the controller as "module".
        self.publish(now, &Provenance::new("module", batch.log_lines.join("; ")));
        self.channel.enqueue(now, &batch.lines, batch.mark.map(|mark| mark.serial));
    }

    fn apply_action(&mut self, now: Nanos, action: Action, batch: &mut Batch) {
        match action {
            Action::SetTimer { delay, token } => {
                let number = self.next_number();
                self.timers.insert((now + delay.max(1), number), token);
            }
            Action::CheckHealth { server } => {
                let address = self.endpoints.endpoint(server).map(|endpoint| endpoint.address);
                let check = address.map(|address| ShellCommand::CheckHealth { server, address });
                self.commands.extend(check);
            }
            Action::Log(line) => {
                batch.log_lines.push(line.clone());
                self.commands.push(ShellCommand::LogDecision(line));
            }
            Action::WatchEndpoints { on } => self.commands.push(ShellCommand::WatchEndpoints(on)),
            Action::FetchEndpoints => self.commands.push(ShellCommand::FetchEndpoints),
            // Controllers send each other no messages here: supervisors exchange only the messages of their group.
            Action::SendToPeer { .. } => {}
            Action::RequestAck { serial, everyone } => {
                batch.mark = Some(RequestedMark { serial, from_everyone: everyone });
            }
            Action::AssignTable { proxy, table, operations } => {
                self.assign_table(proxy, table, operations, batch);
            }
            action => self.change_tables(&action, batch),
        }
    }

    /// Assigns a table to a proxy. `operations` has one bit for each operation, by position; 0 means all.
    fn assign_table(&mut self, id: ProxyId, table: TableId, operations: u16, batch: &mut Batch) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let count = self.deployment.operations.len() as u16;
        let chosen = (0..count).filter(|at| operations == 0 || operations & (1 << at) != 0);
        proxy.tables.extend(chosen.map(|at| (at, table)));
        batch.tables_assigned = true;
        // A proxy that has reported the version that it holds is sent only the lines that differ.
        let subscription = proxy.subscriptions.get(&table);
        let base = subscription.and_then(|subscription| subscription.next_base(&self.tables.store, table));
        if proxy.supports_lines && subscription.is_none() {
            proxy.charged_tables.insert(table);
        }
        let full = self.tables.full_line_count(table);
        let lines = match base {
            Some(base) => full.min(self.tables.lines_since(table, base)),
            None => full,
        };
        // The assignment itself costs one line.
        batch.charge(id, 1.0 + lines as f64);
    }

    fn change_tables(&mut self, action: &Action, batch: &mut Batch) {
        let affected = self.tables.apply(action, self.deployment.operations.len());
        for (&id, proxy) in &self.proxies {
            if self.is_affected(proxy, affected) {
                batch.charge(id, 1.0);
            }
        }
    }

    fn is_affected(&self, proxy: &Proxy, affected: AffectedProxies) -> bool {
        match affected {
            AffectedProxies::None => false,
            AffectedProxies::UsingTable(table) => proxy.uses(table),
            AffectedProxies::MayUseServer(server) => {
                proxy.tables.is_empty()
                    || proxy.tables.values().any(|&table| self.tables.lists(table, server))
            }
            AffectedProxies::All => true,
        }
    }
}
