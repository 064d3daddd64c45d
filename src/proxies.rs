//! The proxies connected to this supervisor and the state that each of them holds. The channel owns this data
//! and makes all decisions on it.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Nanos, ProxyId, TableId};
use crate::message::SECOND;
use crate::statistics::DecayingSum;
use crate::tables::{EXCLUSIONS, FULL_TABLE};

/// Time constant of each proxy's sum of requests.
const REQUEST_TIME_CONSTANT: Nanos = 10 * SECOND;

/// A connected proxy.
#[derive(Debug, Default)]
pub(crate) struct Proxy {
    /// Requests that the proxy received.
    pub(crate) requests: DecayingSum,
    /// Table that the proxy should use.
    pub(crate) intended_table: TableId,
    /// Table that the proxy was last assigned; `None` before the first assignment.
    pub(crate) assigned_table: Option<TableId>,
    pub(crate) joined_at: Nanos,
    /// The proxy joined with state that another supervisor had sent.
    pub(crate) holds_foreign_state: bool,
    /// The proxy was sent all servers that it must exclude.
    pub(crate) has_exclusions: bool,
}

impl Proxy {
    /// Whether this supervisor has sent the proxy neither a table nor the exclusions, regardless of how long
    /// ago it joined.
    pub(crate) fn is_newly_joined(&self) -> bool {
        self.assigned_table.is_none() && !self.has_exclusions
    }

    /// The table whose lines the proxy receives.
    pub(crate) fn receives_table(&self) -> TableId {
        self.assigned_table.unwrap_or(EXCLUSIONS)
    }

    fn awaits_full_table(&self) -> bool {
        self.assigned_table.is_none() && self.intended_table == FULL_TABLE
    }
}

/// All connected proxies.
#[derive(Debug, Default)]
pub(crate) struct Proxies {
    pub(crate) by_id: BTreeMap<ProxyId, Proxy>,
}

impl Proxies {
    /// Adds a proxy that receives `rate` requests per second.
    pub(crate) fn join(&mut self, id: ProxyId, rate: f64, is_new: bool, intended_table: TableId, now: Nanos) {
        let requests =
            DecayingSum { sum: rate * REQUEST_TIME_CONSTANT as f64 / SECOND as f64, updated_at: now };
        let proxy = Proxy {
            requests,
            intended_table,
            holds_foreign_state: !is_new,
            joined_at: now,
            ..Proxy::default()
        };
        self.by_id.insert(id, proxy);
    }

    /// Counts requests that a proxy received.
    pub(crate) fn record_requests(&mut self, id: ProxyId, total: f64, now: Nanos) {
        if let Some(proxy) = self.by_id.get_mut(&id) {
            proxy.requests.add(now, REQUEST_TIME_CONSTANT, total);
        }
    }

    /// Proxies that were sent neither a table nor the exclusions, see [`Proxy::is_newly_joined`].
    pub(crate) fn newly_joined(&self) -> impl Iterator<Item = &Proxy> {
        self.by_id.values().filter(|proxy| proxy.is_newly_joined())
    }

    /// Number of users of each table; unassigned proxies are counted under [`EXCLUSIONS`].
    pub(crate) fn users_by_table(&self) -> BTreeMap<TableId, f64> {
        let mut users = BTreeMap::new();
        for proxy in self.by_id.values() {
            *users.entry(proxy.receives_table()).or_insert(0.0) += 1.0;
        }
        users
    }

    /// Tables that are assigned to at least one proxy.
    pub(crate) fn assigned_tables(&self) -> BTreeSet<TableId> {
        self.by_id.values().filter_map(|proxy| proxy.assigned_table).collect()
    }

    /// Tables that proxies use or should use, including the full table for each unassigned proxy.
    pub(crate) fn used_or_intended_tables(&self) -> BTreeSet<TableId> {
        let tables = |proxy: &Proxy| [proxy.intended_table, proxy.assigned_table.unwrap_or(FULL_TABLE)];
        self.by_id.values().flat_map(tables).collect()
    }

    /// Ids of the proxies that satisfy a condition, in ascending order.
    pub(crate) fn ids_where(&self, condition: impl Fn(&Proxy) -> bool) -> Vec<ProxyId> {
        self.by_id.iter().filter(|(_, proxy)| condition(proxy)).map(|(&id, _)| id).collect()
    }

    /// Proxies that wait for the full table as their first one.
    pub(crate) fn awaiting_full_table(&self) -> Vec<ProxyId> {
        self.ids_where(Proxy::awaits_full_table)
    }

    /// Number of proxies that should use the full table, whether they already do or not.
    pub(crate) fn count_intended_for_full_table(&self) -> usize {
        self.by_id.values().filter(|proxy| proxy.intended_table == FULL_TABLE).count()
    }
}
