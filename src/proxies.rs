//! The proxies that are connected to this supervisor and what each of them holds. The channel keeps it;
//! nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Nanos, ProxyId, TableId};
use crate::message::SECOND;
use crate::statistics::DecayingSum;
use crate::tables::{EXCLUSIONS, FULL_TABLE};

/// Time constant over which each proxy's requests are summed.
const REQUEST_TIME_CONSTANT: Nanos = 10 * SECOND;

/// A connected proxy.
#[derive(Debug, Default)]
pub(crate) struct Proxy {
    /// Requests that came to it.
    pub(crate) requests: DecayingSum,
    /// The table that it should use.
    pub(crate) intended_table: TableId,
    /// The table that it was last assigned.
    pub(crate) assigned_table: Option<TableId>,
    pub(crate) joined_at: Nanos,
    /// It came with state that another supervisor had sent.
    pub(crate) holds_foreign_state: bool,
    /// It was sent all servers that it must not send to.
    pub(crate) has_exclusions: bool,
}

impl Proxy {
    /// Whether this supervisor has sent it neither a table nor the exclusions, however long ago it joined.
    pub(crate) fn is_newly_joined(&self) -> bool {
        self.assigned_table.is_none() && !self.has_exclusions
    }

    /// The table whose lines are sent to it.
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
    /// Enters a proxy to which `rate` requests per second come.
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

    /// Counts requests that came to a proxy.
    pub(crate) fn record_requests(&mut self, id: ProxyId, total: f64, now: Nanos) {
        if let Some(proxy) = self.by_id.get_mut(&id) {
            proxy.requests.add(now, REQUEST_TIME_CONSTANT, total);
        }
    }

    /// Proxies that were sent neither a table nor the exclusions, see [`Proxy::is_newly_joined`].
    pub(crate) fn newly_joined(&self) -> impl Iterator<Item = &Proxy> {
        self.by_id.values().filter(|proxy| proxy.is_newly_joined())
    }

    /// Users of each table; unassigned proxies stand under [`EXCLUSIONS`].
    pub(crate) fn users_by_table(&self) -> BTreeMap<TableId, f64> {
        let mut users = BTreeMap::new();
        for proxy in self.by_id.values() {
            *users.entry(proxy.receives_table()).or_insert(0.0) += 1.0;
        }
        users
    }

    /// Tables that proxies are assigned.
    pub(crate) fn assigned_tables(&self) -> BTreeSet<TableId> {
        self.by_id.values().filter_map(|proxy| proxy.assigned_table).collect()
    }

    /// Tables that proxies use or are to use; the full table too where a proxy has none yet.
    pub(crate) fn used_or_intended_tables(&self) -> BTreeSet<TableId> {
        let tables = |proxy: &Proxy| [proxy.intended_table, proxy.assigned_table.unwrap_or(FULL_TABLE)];
        self.by_id.values().flat_map(tables).collect()
    }

    /// Proxies for which a condition holds, by number.
    pub(crate) fn ids_where(&self, condition: impl Fn(&Proxy) -> bool) -> Vec<ProxyId> {
        self.by_id.iter().filter(|(_, proxy)| condition(proxy)).map(|(&id, _)| id).collect()
    }

    /// Proxies that wait for the full table as their first.
    pub(crate) fn awaiting_full_table(&self) -> Vec<ProxyId> {
        self.ids_where(Proxy::awaits_full_table)
    }

    /// Number of proxies that are to use the full table, on it already or not.
    pub(crate) fn count_intended_for_full_table(&self) -> usize {
        self.by_id.values().filter(|proxy| proxy.intended_table == FULL_TABLE).count()
    }
}
