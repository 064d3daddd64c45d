//! Inspection of a version by the guard before it is published.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, ServerId, TableId};
use shalereel_guard::{Decision, Line as GuardLine, Pool, Server};
use shalereel_store::{Line, Store};

use super::table::Table;
use super::{TableContext, Tables};

const NANOS_PER_MS: Nanos = 1_000_000;

/// A server as the guard's input, with its current capacity.
#[derive(Clone, Copy, Debug)]
pub struct PoolServer {
    /// Availability, capacity and age.
    pub server: Server,
    /// Share of its capacity that a warming-up server has reached; 1 if it is warm or the guard is disabled.
    pub warmed_part: f64,
}

/// Result of an inspection.
#[derive(Debug, Default)]
pub(super) struct Inspection {
    /// Number of usable lines of the last version that the guard drains on its own.
    pub(super) newly_drained: usize,
    pub(super) log: Vec<String>,
}

impl Tables {
    /// All servers that were ever listed, as the guard's input.
    pub fn pool(&self, context: &TableContext) -> BTreeMap<ServerId, PoolServer> {
        let servers = pool_servers(context, self.removal_is_binding, self.nominal_capacity_listed);
        let with_part = |(id, server): (ServerId, Server)| {
            let warmed_part = self.guard_limits.map_or(1.0, |limits| limits.capacity_fraction(&server));
            (id, PoolServer { server, warmed_part })
        };
        servers.into_iter().map(with_part).collect()
    }

    /// Number of lines that the guard has drained on its own since the last call, by table. Users of the table lack
    /// these lines, and no action of the controller accounts for them.
    pub fn take_drained_by_guard(&mut self) -> BTreeMap<TableId, usize> {
        std::mem::take(&mut self.drained_by_guard)
    }

    /// Takes the guard's log lines since the last call.
    pub fn take_guard_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.guard_log)
    }
}

pub(super) fn pool_servers(
    context: &TableContext,
    removal_is_binding: bool,
    nominal_capacity_listed: bool,
) -> BTreeMap<ServerId, Server> {
    let pool = context.endpoints.guard_servers(context.now, context.slow_start_duration, removal_is_binding);
    let with_capacity = |(id, server): (ServerId, Server)| {
        let capacity = if nominal_capacity_listed { server.capacity } else { 1.0 };
        (id, Server { capacity, ..server })
    };
    pool.map(with_capacity).collect()
}

impl Table {
    /// Has the guard inspect the lines that are about to be published, and reverts or drains lines by its decision.
    pub(super) fn inspect(
        &mut self,
        id: TableId,
        lines: &mut BTreeMap<ServerId, Option<Line>>,
        pool: &Pool,
        store: &Store,
        now: Nanos,
    ) -> Inspection {
        let Some(guard) = &mut self.guard else { return Inspection::default() };
        let before: BTreeMap<ServerId, GuardLine> =
            store.lines(id).map(|(server, line)| (server, guard_line(line))).collect();
        let after = with_changes(&before, lines);
        let decision = guard.judge(now, pool, &before, &after);
        lines.retain(|server, _| !decision.reverted.contains(server));
        for &server in &decision.drained {
            let line = lines.get(&server).copied().flatten().or(store.line(id, server).copied());
            lines.insert(server, line.map(|line| Line { draining: true, ..line }));
        }
        self.inspect_at = guard.next_inspection(now).filter(|_| !decision.reverted.is_empty());
        let usable = |server: &ServerId| store.line(id, *server).is_some_and(|line| !line.draining);
        let newly_drained = decision.drained.iter().filter(|server| usable(server)).count();
        let log = log_lines(id, &decision, now);
        self.to_inspect_again = decision.reverted;
        Inspection { newly_drained, log }
    }

    /// Updates whether the published table is withheld from proxies; returns a log line if it is newly withheld.
    pub(super) fn update_withheld(&mut self, id: TableId, pool: &Pool, store: &Store) -> Option<String> {
        let guard = self.guard.as_ref()?;
        let has_usable_line = store.lines(id).any(|(_, line)| !line.draining);
        let was_withheld = self.withheld;
        self.withheld = guard.must_withhold(pool, has_usable_line);
        let newly_withheld = self.withheld && !was_withheld;
        newly_withheld.then(|| {
            format!("the guard withholds table {id}: it has no usable line although a server is ready")
        })
    }
}

fn guard_line(line: &Line) -> GuardLine {
    GuardLine { weight: f64::from(line.weight), draining: line.draining }
}

fn with_changes(
    before: &BTreeMap<ServerId, GuardLine>,
    lines: &BTreeMap<ServerId, Option<Line>>,
) -> BTreeMap<ServerId, GuardLine> {
    let mut after = before.clone();
    for (&server, line) in lines {
        match line {
            Some(line) => after.insert(server, guard_line(line)),
            None => after.remove(&server),
        };
    }
    after
}

fn log_lines(table: TableId, decision: &Decision, now: Nanos) -> Vec<String> {
    let reverted = decision.reverted.len();
    let rejected = decision.refusals.iter().map(|refusal| {
        let elapsed_ms = now.saturating_sub(refusal.since) / NANOS_PER_MS;
        let finding = &refusal.finding;
        format!(
            "the guard rejects a change of table {table} ({reverted} lines reverted, {elapsed_ms} ms so far): {finding}"
        )
    });
    let waived = decision.waived.iter().map(|finding| {
        format!("the guard accepts a change of table {table} after all, as no mandatory rule forbids it: {finding}")
    });
    rejected.chain(waived).collect()
}
