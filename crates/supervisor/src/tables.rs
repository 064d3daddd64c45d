//! The tables as ordered, and what they look like as resources. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{FurtherTry, Order, ServerId, TableId};
use shalereel_xds::{Any, Assignment, Body, Health, Row, SHUNNED};

use crate::roster::Roster;

/// Position of an operation.
pub type OperationAt = u16;

#[derive(Clone, Debug, Default)]
struct Table {
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<OperationAt, (f64, FurtherTry)>,
    version: u64,
}

/// Whom an order concerns, and how many lines it costs each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    Nobody,
    /// Proxies that use a table.
    Users(TableId),
    /// Proxies that may hold a server: those on a table with it, and those on no table of ours.
    Holders(ServerId),
    Everyone,
}

/// All tables of one supervisor, with one number that grows whenever anything in them changes.
#[derive(Debug, Default)]
pub struct Tables {
    tables: BTreeMap<TableId, Table>,
    levels: BTreeMap<OperationAt, (f64, FurtherTry)>,
    suspended: BTreeSet<ServerId>,
    /// Operators hold these servers at most at a part of their weight.
    held: BTreeMap<ServerId, f64>,
    shunned_version: u64,
    last: u64,
    /// Encoded tables by level; operations with one level differ in the name alone.
    rendered: BTreeMap<(TableId, u64), ((u64, u64), Body)>,
}

impl Tables {
    /// Carries an order out, if it is one about tables.
    pub fn apply(&mut self, order: &Order, operations: usize) -> Reach {
        let mut touch = |table: TableId, tables: &mut BTreeMap<TableId, Table>| {
            self.last += 1;
            tables.entry(table).or_default().version = self.last;
        };
        match *order {
            Order::Line { table, server, weight } => {
                touch(table, &mut self.tables);
                let lines = &mut self.tables.entry(table).or_default().lines;
                if weight > 0.0 {
                    lines.insert(server, weight);
                } else {
                    lines.remove(&server);
                }
                Reach::Users(table)
            }
            Order::Truncate { table } => {
                touch(table, &mut self.tables);
                let held = self.tables.entry(table).or_default();
                held.lines.clear();
                held.levels.clear();
                Reach::Users(table)
            }
            Order::Suspend { server, on } => {
                self.last += 1;
                self.shunned_version = self.last;
                if on {
                    self.suspended.insert(server);
                } else {
                    self.suspended.remove(&server);
                }
                for table in self.tables.values_mut().filter(|table| table.lines.contains_key(&server)) {
                    table.version = self.last;
                }
                Reach::Holders(server)
            }
            Order::Gate { table, operations: mask, amount, further } => {
                let chosen = (0..operations as u16).filter(|at| mask == 0 || mask & (1 << at) != 0);
                match table {
                    Some(table) => {
                        touch(table, &mut self.tables);
                        let levels = &mut self.tables.entry(table).or_default().levels;
                        levels.extend(chosen.map(|at| (at, (amount, further))));
                        Reach::Users(table)
                    }
                    None => {
                        self.last += 1;
                        self.levels.extend(chosen.map(|at| (at, (amount, further))));
                        self.tables.values_mut().for_each(|table| table.version = self.last);
                        Reach::Everyone
                    }
                }
            }
            _ => Reach::Nobody,
        }
    }

    /// Operators hold these servers' weights and no others; gives whom it concerns.
    pub fn hold(&mut self, held: BTreeMap<ServerId, f64>) -> Reach {
        if held == self.held {
            return Reach::Nobody;
        }
        self.held = held;
        self.last += 1;
        self.tables.values_mut().for_each(|table| table.version = self.last);
        Reach::Everyone
    }

    fn bounded(&self, server: ServerId, weight: f64) -> f64 {
        weight * self.held.get(&server).copied().unwrap_or(1.0)
    }

    pub fn suspended(&self, server: ServerId) -> bool {
        self.suspended.contains(&server)
    }

    pub fn lines(&self, table: TableId) -> impl Iterator<Item = (ServerId, f64)> + '_ {
        self.tables
            .get(&table)
            .into_iter()
            .flat_map(|table| table.lines.iter().map(|(&server, &weight)| (server, weight)))
    }

    /// What a server gets by a table; 0 where it is not in it or suspended.
    pub fn weight(&self, table: TableId, server: ServerId) -> f64 {
        let weight = self.tables.get(&table).and_then(|table| table.lines.get(&server)).copied();
        let weight = weight.filter(|_| !self.suspended.contains(&server)).unwrap_or(0.0);
        self.bounded(server, weight)
    }

    pub fn lists(&self, table: TableId, server: ServerId) -> bool {
        self.tables.get(&table).is_some_and(|table| table.lines.contains_key(&server))
    }

    /// Lines that a whole table is, with its levels and what is suspended in it.
    pub fn size(&self, table: TableId) -> usize {
        let Some(held) = self.tables.get(&table) else { return 0 };
        let suspended = self.suspended.iter().filter(|server| held.lines.contains_key(server)).count();
        held.lines.len() + held.levels.len() + self.levels.len() + suspended
    }

    /// Grows whenever what a table's users should hold changes.
    pub fn version(&self, table: TableId) -> u64 {
        self.tables.get(&table).map_or(0, |table| table.version)
    }

    pub fn shunned_version(&self) -> u64 {
        self.shunned_version
    }

    fn level(&self, table: TableId, at: OperationAt) -> Option<(f64, FurtherTry)> {
        let own = self.tables.get(&table).and_then(|table| table.levels.get(&at)).copied();
        match (own, self.levels.get(&at).copied()) {
            (Some(own), Some(all)) => Some((own.0.min(all.0), own.1)),
            (own, all) => own.or(all),
        }
    }

    /// How an operation of a table is tried again; never, where nothing was ordered.
    pub fn further(&self, table: TableId, at: OperationAt) -> FurtherTry {
        self.level(table, at).map_or(FurtherTry::Never, |level| level.1)
    }

    /// A table as the endpoints of an operation's cluster; kept until it changes, since many hold the same.
    pub fn assignment(&mut self, table: TableId, at: OperationAt, name: &str, roster: &Roster) -> Any {
        let version = (self.version(table), roster.version());
        let admitted = self.level(table, at).map_or(1.0, |level| level.0);
        let key = (table, admitted.to_bits());
        let fresh = self.rendered.get(&key).is_some_and(|(of, _)| *of == version);
        if !fresh {
            let lines = self.tables.get(&table).into_iter().flat_map(|table| &table.lines);
            let rows = lines.filter_map(|(server, weight)| self.row(*server, *weight, roster)).collect();
            let body = Assignment { cluster: String::new(), rows, admitted }.body();
            // Levels that no operation has any more are not kept.
            self.rendered.retain(|other, (of, _)| other.0 != table || *of == version);
            self.rendered.insert(key, (version, body));
        }
        self.rendered.get(&key).map(|(_, body)| body.named(name)).unwrap_or_default()
    }

    fn row(&self, server: ServerId, weight: f64, roster: &Roster) -> Option<Row> {
        let place = roster.place(server)?;
        let health = if self.suspended.contains(&server) { Health::Draining } else { Health::Ready };
        let weight = self.bounded(server, weight);
        Some(Row { address: place.address, zone: place.zone.clone(), health, weight, facts: None })
    }

    /// What nobody may send to, whatever tables they hold.
    pub fn shunned(&self, roster: &Roster) -> Any {
        let rows = self.suspended.iter().filter_map(|server| self.row(*server, 1.0, roster));
        Assignment { cluster: SHUNNED.into(), rows: rows.collect(), admitted: 1.0 }.encode()
    }
}
