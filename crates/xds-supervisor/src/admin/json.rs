//! JSON content of the answers to operators. `shalereel tables`, the drills and operators' scripts read the keys.
//!
//! Some keys have terms that the code does not use: `ways` are rollbacks and `holds` are caps; `takes`, `moves` and
//! `stays` describe the restored, moved and skipped servers of a rollback; `out` means unavailable, and `able` is the
//! warmed-up share of a server's capacity.

use std::collections::BTreeSet;

use serde_json::{json, Value};
use shalereel::interface::{Nanos, ServerId, TableId};
use shalereel_guard::Availability;
use shalereel_store::{Line, Lines, RollbackPlan, SkipReason, Version, WeightCap, UNIT_WEIGHT};

use super::NANOS_PER_MS;
use crate::tables::{ActiveRollback, TableContext, Tables};

const NANOS_PER_S: Nanos = 1_000_000_000;

/// The `last` newest versions, and all active rollbacks and caps.
pub(super) fn versions(tables: &Tables, context: &TableContext, last: usize) -> Value {
    let size = tables.store.size();
    let newest = tables.store.tables().filter_map(|table| tables.store.check(table));
    let newest: Vec<Value> = newest.map(|check| json!(check.number)).collect();
    let rollbacks: Vec<Value> = tables.rollbacks().map(|active| rollback(&active, context.now)).collect();
    let caps = tables.local_caps().iter();
    let caps: Vec<Value> = caps.map(|(&server, weight_cap)| cap(server, weight_cap, context.now)).collect();
    let versions: Vec<Value> =
        tables.store.versions().iter().rev().take(last).map(|version| version_summary(version)).collect();
    json!({
        "kept": size.versions, "bytes": size.bytes, "newest": newest, "ways": rollbacks, "holds": caps,
        "versions": versions,
    })
}

fn rollback(active: &ActiveRollback, now: Nanos) -> Value {
    let ActiveRollback { table, rollback, provenance } = active;
    json!({
        "table": table, "to": rollback.target, "who": provenance.actor, "why": provenance.reason,
        "lines_to_move": rollback.pending_lines(), "ends_in_s": seconds_until(rollback.until, now),
        "ending": rollback.is_ending(),
    })
}

fn cap(server: ServerId, cap: &WeightCap, now: Nanos) -> Value {
    json!({
        "server": server, "at_most": cap.factor, "ends_in_s": seconds_until(cap.until, now),
        "who": cap.provenance.actor, "why": cap.provenance.reason,
    })
}

fn seconds_until(until: Nanos, now: Nanos) -> u64 {
    until.saturating_sub(now) / NANOS_PER_S
}

pub(super) fn version_summary(version: &Version) -> Value {
    json!({
        "version": version.number, "table": version.table, "parent": version.parent,
        "at_ms": version.published_at / NANOS_PER_MS, "who": version.provenance.actor, "why": version.provenance.reason,
        "lines": version.digest.count, "changed": version.changes.len(), "check": version.check().to_string(),
    })
}

fn line(line: &Line) -> Value {
    json!({
        "address": line.address.to_string(),
        "weight": f64::from(line.weight) / UNIT_WEIGHT,
        "draining": line.draining,
    })
}

/// Lines with the current state of their servers in the endpoint list, so that expectations can be checked against
/// them.
pub(super) fn lines_with_servers(tables: &Tables, context: &TableContext, lines: &Lines) -> Vec<Value> {
    let pool = tables.pool(context);
    let row = |(server, published): (&ServerId, &Line)| {
        let listed = pool.get(server);
        let unavailable = |availability| availability == Availability::Unavailable;
        json!({
            "server": server, "line": line(published),
            "locality": context.endpoints.endpoint(*server).map(|endpoint| endpoint.zone.clone()),
            "out": listed.is_none_or(|listed| unavailable(listed.server.availability)),
            "able": listed.map_or(0.0, |listed| listed.warmed_part),
            "listed": listed.map_or(0.0, |listed| listed.server.capacity),
        })
    };
    lines.iter().map(row).collect()
}

pub(super) fn differing_lines(old: &Lines, new: &Lines) -> Vec<Value> {
    let servers: BTreeSet<ServerId> = old.keys().chain(new.keys()).copied().collect();
    let differing = servers.into_iter().filter(|server| old.get(server) != new.get(server));
    let row = |server: ServerId| json!({ "server": server, "from": old.get(&server).map(line), "to": new.get(&server).map(line) });
    differing.map(row).collect()
}

pub(super) fn moved_servers(tables: &Tables, table: TableId, plan: &RollbackPlan) -> Vec<Value> {
    let row = |(server, factor): (&ServerId, &f64)| json!({ "server": server, "now": tables.weight(table, *server), "times": factor });
    plan.factors.iter().map(row).collect()
}

pub(super) fn skipped_servers(plan: &RollbackPlan) -> Vec<Value> {
    let row =
        |(server, reason): (&ServerId, &SkipReason)| json!({ "server": server, "why": skip_text(*reason) });
    plan.skipped.iter().map(row).collect()
}

fn skip_text(reason: SkipReason) -> &'static str {
    match reason {
        SkipReason::NotInTable => "it is out of the table",
        SkipReason::Draining => "it drains",
        SkipReason::UnavailableSince => "it was out of the table or draining since",
        SkipReason::WarmingUp => "it is cold",
        SkipReason::Restarted => "it has restarted since",
        SkipReason::NotInEarlierVersion => "that version did not have it",
        SkipReason::WeightMovedTooFar => "its weight was moved too far since",
    }
}
