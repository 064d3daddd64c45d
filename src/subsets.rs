//! Small tables: each of few servers, shared by some of the proxies. They keep connections few where these are hard to
//! get, and messages short where the channel cannot carry whole tables in time.

use std::collections::{BTreeMap, BTreeSet};

use crate::channel::{Channel, Member, WHOLE};
use crate::interface::*;

/// Where proxies are kept apart, so many at least share so many servers at least, and a table has at least so many
/// times a server's mean weight.
const GROUP_PROXIES: usize = 2;
const GROUP_SERVERS: usize = 6;
const LEAST_CHOICE: f64 = 3.0;
/// Servers on a table that stands in where whole ones would be late: enough to spread the work, few enough that a
/// message costs little more than its head.
const STAND_IN_SERVERS: usize = 8;
/// Numbers of two deals in turn, so that proxies on tables of the last one keep these until they have moved.
const DEAL_NUMBERS: TableId = 1 << 14;

impl Channel {
    /// Servers that stay in and are warm, with their weights.
    pub(crate) fn sound(&self) -> Vec<(ServerId, f64)> {
        let sound = self.wants.iter().filter(|(_, want)| want.weight > 0.0 && !want.urgent);
        sound.map(|(&server, want)| (server, want.weight)).collect()
    }

    /// The same, locality by locality.
    fn sound_by_locality(&self) -> Vec<(ServerId, f64)> {
        let mut sound = self.sound();
        sound.sort_by_key(|(server, _)| (self.wants[server].locality, *server));
        sound
    }

    /// Deals sound servers to small groups of proxies, each with a table, by the traffic that each brings;
    /// or brings all back to the whole table. Our window of the servers, all in one order, goes by our number
    /// and our part of the proxies, so supervisors need not agree.
    pub(crate) fn split(&mut self, apart: bool) {
        self.apart = apart;
        self.members.values_mut().for_each(|member| member.table = WHOLE);
        let sound = self.sound();
        let count = sound.len() as f64;
        let ours = (count * self.members.len() as f64 / self.proxies.max(1.0)).ceil().min(count) as usize;
        let first = (count * self.supervisor / self.supervisors.max(1.0)) as usize;
        let window: Vec<(ServerId, f64)> = sound.into_iter().cycle().skip(first).take(ours).collect();
        let groups = (self.members.len() / GROUP_PROXIES).min(ours / GROUP_SERVERS);
        let rates: f64 = self.members.values().map(|member| member.came.sum).sum();
        if !apart || groups < 2 || rates <= 0.0 {
            // Small tables that there are stand until the last proxy has left them.
            return;
        }
        self.begin_deal();
        self.dealt_apart = true;
        let weights: f64 = window.iter().map(|(_, weight)| weight).sum();
        let first_table = self.deal_from + 1;
        let (mut to, mut ends) = (0.0, BTreeMap::new());
        for member in self.members.values_mut() {
            let part = member.came.sum / rates;
            member.table = first_table + ((to + part / 2.0) * groups as f64) as TableId;
            to += part;
            ends.insert(member.table, to);
            *self.sizes.entry(member.table).or_default() += part * weights;
        }
        // A small group still gets some choice.
        let least = LEAST_CHOICE * weights / window.len() as f64;
        self.sizes.values_mut().for_each(|size| *size = size.max(least));
        self.deal(&window, &ends);
    }

    /// Puts each server on the table within whose part of all the weight its middle lies.
    fn deal(&mut self, servers: &[(ServerId, f64)], ends: &BTreeMap<TableId, f64>) {
        let weights: f64 = servers.iter().map(|(_, weight)| weight).sum();
        let mut at = 0.0;
        for &(server, weight) in servers {
            let middle = (at + weight / 2.0) / weights;
            at += weight;
            let table = ends.iter().find(|(_, &end)| end >= middle).map(|(&table, _)| table);
            self.parts.extend(table.map(|table| (table, server)));
        }
    }

    /// Tables of the last deal are kept for those who are on them yet, older ones are dropped.
    fn begin_deal(&mut self) {
        let used: BTreeSet<TableId> = self.members.values().filter_map(|member| member.bound).collect();
        self.parts.retain(|(table, _)| used.contains(table));
        self.sizes.clear();
        let first =
            |from: TableId| self.parts.iter().any(|part| part.0 > from && part.0 <= from + DEAL_NUMBERS);
        self.deal_from = if first(0) { DEAL_NUMBERS } else { 0 };
        let taken = self.deal_from..=self.deal_from + DEAL_NUMBERS;
        self.parts.retain(|(table, _)| !(*table > WHOLE && taken.contains(table)));
        self.dealt = self.wants.keys().copied().collect();
    }

    /// Servers that a table of few would have now.
    pub(crate) fn stand_in_servers(&self) -> usize {
        let sound = self.wants.values().filter(|want| want.weight > 0.0 && !want.urgent).count();
        sound.min(STAND_IN_SERVERS)
    }

    /// Deals all sound servers to tables that stand in for whole ones, unless some are there already.
    pub(crate) fn deal_stand_ins(&mut self) {
        let in_use = |member: &Member| self.sizes.contains_key(&member.table);
        if !self.dealt_apart && !self.sizes.is_empty() && self.members.values().any(in_use) {
            return;
        }
        let sound = self.sound_by_locality();
        let groups = (sound.len() / STAND_IN_SERVERS).max(1);
        self.begin_deal();
        self.dealt_apart = false;
        let first_table = self.deal_from + 1;
        // In turns, so that no table loses all at once with a locality or with servers that follow each other.
        for (at, (server, weight)) in sound.into_iter().enumerate() {
            let table = first_table + (at % groups) as TableId;
            self.parts.insert((table, server));
            *self.sizes.entry(table).or_default() += weight;
        }
    }

    /// What comes to the proxies of each small table, for its size.
    fn loads(&self) -> BTreeMap<TableId, f64> {
        let mut loads: BTreeMap<TableId, f64> = self.sizes.keys().map(|&table| (table, 0.0)).collect();
        for member in self.members.values() {
            if let Some(load) = loads.get_mut(&member.table) {
                *load += member.came.sum;
            }
        }
        loads.iter_mut().for_each(|(table, load)| *load /= self.sizes[table].max(f64::MIN_POSITIVE));
        loads
    }

    /// The small table to which least comes for its size.
    pub(crate) fn lightest(&self) -> Option<TableId> {
        let loads = self.loads();
        loads.into_iter().min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0))).map(|(table, _)| table)
    }

    /// Has these proxies go by tables that stand in, each by the one to which least comes.
    pub(crate) fn put_on_stand_ins(&mut self, proxies: &[ProxyId]) {
        self.deal_stand_ins();
        let mut loads = self.loads();
        for proxy in proxies {
            let lightest = loads.iter().min_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
            let Some(table) = lightest.map(|(&table, _)| table) else { return };
            if let Some(member) = self.members.get_mut(proxy) {
                member.table = table;
                // One that brings next to nothing counts too.
                let load = member.came.sum.max(1.0) / self.sizes[&table].max(f64::MIN_POSITIVE);
                loads.entry(table).and_modify(|sum| *sum += load);
            }
        }
    }

    /// A small table that has lost half of its warm weight gets more of the sound servers; others stay as dealt.
    /// A server first listed since goes, cold or not, to a table of the supervisor its number falls to.
    pub(crate) fn refill(&mut self) {
        let sound = self.sound();
        let dealt_apart = self.dealt_apart;
        let ours = |server: ServerId| {
            !dealt_apart || f64::from(server) % self.supervisors.max(1.0) == self.supervisor
        };
        let fresh = self.wants.keys().filter(|server| ours(**server) && !self.dealt.contains(server));
        for (&server, at) in fresh.zip(self.sizes.keys().cycle().skip(self.dealt.len())) {
            self.parts.insert((*at, server));
        }
        self.dealt.extend(self.wants.keys());
        let first_table = self.deal_from;
        self.strong.clear();
        for (&table, size) in &self.sizes {
            let warm =
                |&(_, server): &(TableId, ServerId)| self.wants.get(&server).filter(|want| !want.urgent);
            let lines = self.parts.range((table, 0)..(table + 1, 0));
            let mut sum: f64 = lines.filter_map(warm).map(|want| want.weight).sum();
            if sum >= size / 2.0 {
                self.strong.insert(table);
                continue;
            }
            let at = usize::from(table - first_table);
            for (server, weight) in self.refill_order(&sound, at) {
                if sum < *size && self.parts.insert((table, server)) {
                    sum += weight;
                }
            }
        }
    }

    /// The order in which a table takes more servers. Tables that keep proxies apart take neighbours, so that each
    /// server meets few proxies; those that stand in take none that follow each other before all others.
    fn refill_order(&self, sound: &[(ServerId, f64)], at: usize) -> Vec<(ServerId, f64)> {
        let tables = self.sizes.len();
        if self.dealt_apart {
            let first = sound.len() * at / (tables + 1);
            sound.iter().cycle().skip(first).take(sound.len()).copied().collect()
        } else {
            sound.iter().skip(at % tables).step_by(tables).chain(sound).copied().collect()
        }
    }
}
