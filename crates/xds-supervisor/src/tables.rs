//! The tables as ordered, what operators' constraints make of them, and what they look like as resources. What goes out
//! is the newest version of each in the store. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Action, ControllerConfig, ListedCapacity, Nanos, RetryPolicy, ServerId, TableId};
use shalereel_guard::{Decision, Guard, Limits, Line as GuardLine, Pool, Refusal, Server};
use shalereel_store::{
    lowest_factors, plan_rollback, ConstraintError, CurrentEndpoint, Line, Lines, Provenance,
    RetentionLimits, Rollback, RollbackPlan, Store, VersionNumber, WeightCap, WeightConstraints, UNIT_WEIGHT,
};
use shalereel_xds::{Any, AssignedEndpoint, Assignment, EncodedAssignment, Health, EXCLUDED};

use crate::endpoints::EndpointList;

/// Position of an operation.
pub type OperationAt = u16;

#[derive(Clone, Debug, Default)]
struct Table {
    /// As ordered by the module.
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<OperationAt, (f64, RetryPolicy)>,
    version: u64,
    bending: WeightConstraints,
    /// Lines that constraints have changed and that wait for room in the channel.
    bent: BTreeSet<ServerId>,
    /// Servers whose lines may have changed since the last version.
    touched: BTreeSet<ServerId>,
    /// By which part cold servers' weights follow the warm ones' sum.
    shrink: f64,
    /// Weights are scaled down by so many times sixteen, so that their sum keeps to 32 bits.
    scaled: i32,
    /// Why the way back was ordered, and planted: lines that it brings back whatever the module says.
    way_why: Provenance,
    outranked: Lines,
    /// Looks at each version before it is one; nothing where it is planted away.
    guard: Option<Guard>,
    /// It has no open line, though a warm server is ready: whoever holds anything keeps it.
    hollow: bool,
    /// Lines that it holds back, and when they are looked at again.
    back: BTreeSet<ServerId>,
    again_at: Option<Nanos>,
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
#[derive(Debug)]
pub struct Tables {
    tables: BTreeMap<TableId, Table>,
    levels: BTreeMap<OperationAt, (f64, RetryPolicy)>,
    suspended: BTreeSet<ServerId>,
    /// Operators hold these servers at most at a part of their weight: as a group agreed, here alone, and both.
    agreed: BTreeMap<ServerId, f64>,
    holds: BTreeMap<ServerId, WeightCap>,
    held: BTreeMap<ServerId, f64>,
    shunned_version: u64,
    last: u64,
    pub store: Store,
    /// Version of the roster that the lines' addresses are of.
    placed: u64,
    closings: u64,
    /// Planted: a way back outranks the module.
    outranks: bool,
    limits: Option<Limits>,
    /// Sizes are told: without, all count as one.
    sized: bool,
    gone_binds: bool,
    /// Lines that the guard has shut by itself, by table.
    corrected: BTreeMap<TableId, usize>,
    /// What the guard has to say.
    words: Vec<String>,
    /// Encoded tables by level; operations with one level differ in the name alone.
    rendered: BTreeMap<(TableId, u64), ((u64, u64), EncodedAssignment)>,
}

/// What a line is made from, beside the orders.
pub struct Facts<'a> {
    pub roster: &'a EndpointList,
    pub now: Nanos,
    /// The wall clock less the monotonic one.
    pub wall: Nanos,
    pub cold_for: Nanos,
    /// Part of all invocations that goes by each table.
    pub parts: &'a BTreeMap<TableId, f64>,
}

impl Facts<'_> {
    fn cold(&self, server: ServerId) -> bool {
        self.roster.started_within(server, self.now, self.cold_for)
    }
}

impl Tables {
    pub fn new(facts: &ControllerConfig, bounds: RetentionLimits, outranks: bool, guarded: bool) -> Self {
        Tables {
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
            suspended: BTreeSet::new(),
            agreed: BTreeMap::new(),
            holds: BTreeMap::new(),
            held: BTreeMap::new(),
            shunned_version: 0,
            last: 0,
            store: Store::new(bounds, facts.seed),
            placed: 0,
            closings: 0,
            outranks,
            limits: guarded.then(|| Limits::new(facts)),
            sized: facts.listed_capacity == ListedCapacity::Nominal,
            gone_binds: !facts.removal_is_advisory,
            corrected: BTreeMap::new(),
            words: Vec::new(),
            rendered: BTreeMap::new(),
        }
    }

    /// Carries an order out, if it is one about tables.
    pub fn apply(&mut self, order: &Action, operations: usize) -> Reach {
        let (held, limits) = (&self.held, self.limits);
        let mut touch = |table: TableId, tables: &mut BTreeMap<TableId, Table>| {
            self.last += 1;
            let table = tables.entry(table).or_insert_with(|| {
                let guard = limits.map(Guard::new);
                let mut table = Table { shrink: 1.0, guard, ..Table::default() };
                table.bending.set_caps(held.clone());
                table
            });
            table.version = self.last;
        };
        match *order {
            Action::SetWeight { table, server, weight } => {
                touch(table, &mut self.tables);
                let table_of = self.tables.entry(table).or_default();
                table_of.touched.insert(server);
                if weight > 0.0 {
                    table_of.lines.insert(server, weight);
                } else {
                    table_of.lines.remove(&server);
                    table_of.bending.on_server_left(server);
                }
                Reach::Users(table)
            }
            Action::ClearTable { table } => {
                touch(table, &mut self.tables);
                let held = self.tables.entry(table).or_default();
                held.touched.extend(std::mem::take(&mut held.lines).into_keys());
                held.levels.clear();
                Reach::Users(table)
            }
            Action::Exclude { server, on } => {
                self.last += 1;
                self.shunned_version = self.last;
                if on {
                    self.suspended.insert(server);
                } else {
                    self.suspended.remove(&server);
                }
                for table in self.tables.values_mut().filter(|table| table.lines.contains_key(&server)) {
                    table.version = self.last;
                    table.touched.insert(server);
                    if on {
                        table.bending.on_server_left(server);
                    }
                }
                Reach::Holders(server)
            }
            Action::LimitAdmission { table, operations: mask, limit: amount, retry_policy: further } => {
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

    /// A group agreed to hold these servers' weights and no others. What that changes goes out as the channel has room.
    pub fn agree(&mut self, agreed: BTreeMap<ServerId, f64>) {
        self.agreed = agreed;
        self.hold();
    }

    /// An operator holds one server here, for a time; nothing ends the hold that there is.
    pub fn hold_one(
        &mut self,
        server: ServerId,
        hold: Option<(f64, Nanos, Provenance)>,
        now: Nanos,
    ) -> Result<(), ConstraintError> {
        let Some((part, span, why)) = hold else {
            self.holds.remove(&server).ok_or(ConstraintError::UnknownServer(server))?;
            self.hold();
            return Ok(());
        };
        if !(part > 0.0 && part <= 1.0) {
            return Err(ConstraintError::InvalidFactor(part));
        }
        if span == 0 {
            return Err(ConstraintError::NoDuration);
        }
        if !self.tables.keys().any(|&table| self.lists(table, server)) {
            return Err(ConstraintError::UnknownServer(server));
        }
        self.holds
            .insert(server, WeightCap { factor: part, until: now.saturating_add(span), provenance: why });
        self.hold();
        Ok(())
    }

    /// Operators' holds at this supervisor alone.
    pub fn holds(&self) -> &BTreeMap<ServerId, WeightCap> {
        &self.holds
    }

    fn hold(&mut self) {
        let held = lowest_factors(&self.agreed, &self.holds);
        for table in self.tables.values_mut() {
            let changed = table.bending.set_caps(held.clone());
            table.bent.extend(changed.into_iter().filter(|server| table.lines.contains_key(server)));
        }
        self.held = held;
    }

    /// The way back from a table's weights as they are to those of an earlier version of it; carried out unless `dry`.
    pub fn back(
        &mut self,
        to: VersionNumber,
        span: Nanos,
        why: Provenance,
        dry: bool,
        facts: &Facts,
    ) -> Result<(TableId, RollbackPlan), ConstraintError> {
        if span == 0 {
            return Err(ConstraintError::NoDuration);
        }
        let (id, old) = self.store.lines_at(to).ok_or(ConstraintError::UnknownVersion(to))?;
        if self.store.newest_version(id) == to {
            return Err(ConstraintError::AlreadyCurrent(to));
        }
        let since = self.store.changes_since(id, to).ok_or(ConstraintError::UnknownVersion(to))?;
        let table = self.tables.get(&id).ok_or(ConstraintError::NoServerLeft(to))?;
        let facing = |(&server, &weight): (&ServerId, &f64)| CurrentEndpoint {
            server,
            weight: weight * self.held.get(&server).copied().unwrap_or(1.0),
            draining: self.suspended.contains(&server),
            warming_up: facts.cold(server),
            incarnation: facts.roster.incarnation(server),
        };
        let now: Vec<CurrentEndpoint> = table.lines.iter().map(facing).collect();
        let plan = plan_rollback(&now, &old, &since.unavailable);
        if plan.restored == 0 && !self.outranks {
            return Err(ConstraintError::NoServerLeft(to));
        }
        if let Some(table) = self.tables.get_mut(&id).filter(|_| !dry) {
            let moved =
                table.bending.start_rollback(Rollback::new(to, facts.now.saturating_add(span), &plan));
            table.bent.extend(moved);
            table.way_why = why;
            if self.outranks {
                table.touched.extend(old.keys());
                table.outranked = old;
            }
        }
        Ok((id, plan))
    }

    /// Ends the ways back that there are; gives how many.
    pub fn onward(&mut self) -> usize {
        let ways = self.tables.values_mut().filter(|table| table.bending.rollback().is_some());
        ways.map(|table| table.bending.end_rollback()).count()
    }

    /// The ways back that there are, by table.
    pub fn ways(&self) -> impl Iterator<Item = (TableId, &Rollback, &Provenance)> {
        let ways = self
            .tables
            .iter()
            .filter_map(|(&id, table)| Some((id, table.bending.rollback()?, &table.way_why)));
        ways
    }

    /// Servers as the guard sees them, each with the part of its capacity that it has by now.
    pub fn pool(&self, facts: &Facts) -> BTreeMap<ServerId, (Server, f64)> {
        let able = |server: &Server| self.limits.map_or(1.0, |limits| limits.warmed_part(server));
        let servers = servers(facts, self.gone_binds, self.sized);
        servers.into_iter().map(|(id, server)| (id, (server, able(&server)))).collect()
    }

    /// Lines that the guard has shut since it was last asked though no order did: their users are owed them.
    pub fn corrected(&mut self) -> BTreeMap<TableId, usize> {
        std::mem::take(&mut self.corrected)
    }

    /// What the guard has said since it was last asked.
    pub fn words(&mut self) -> Vec<String> {
        std::mem::take(&mut self.words)
    }

    /// When the next way back or hold ends, or the guard looks again.
    pub fn next(&self) -> Option<Nanos> {
        let again = self.tables.values().filter_map(|table| table.again_at);
        let ways = self.ways().filter(|(_, way, _)| !way.is_ending()).map(|(_, way, _)| way.until);
        ways.chain(self.holds.values().map(|hold| hold.until)).chain(again).min()
    }

    /// Ends what has had its time.
    pub fn tick(&mut self, now: Nanos) {
        let before = self.holds.len();
        self.holds.retain(|_, hold| hold.until > now);
        if self.holds.len() < before {
            self.hold();
        }
        self.tables.values_mut().for_each(|table| table.bending.on_time(now));
    }

    /// The first table with lines that constraints have changed and that wait.
    pub fn waiting(&self) -> Option<TableId> {
        let waits = |table: &Table| {
            !table.bent.is_empty() || table.bending.rollback().is_some_and(|way| way.pending_lines() > 0)
        };
        self.tables.iter().find(|(_, table)| waits(table)).map(|(&id, _)| id)
    }

    /// Moves so many of them on, as a version of their own; gives how many lines it changed.
    pub fn step(&mut self, id: TableId, most: usize, facts: &Facts) -> usize {
        let Some(table) = self.tables.get_mut(&id) else { return 0 };
        let why = match (table.bending.rollback(), self.holds.values().next_back()) {
            (Some(way), _) if way.is_ending() => {
                Provenance::new(&table.way_why.actor, format!("the way back ends: {}", table.way_why.reason))
            }
            (Some(_), _) => table.way_why.clone(),
            (None, Some(hold)) => {
                Provenance::new(&hold.provenance.actor, format!("weights held: {}", hold.provenance.reason))
            }
            (None, None) => Provenance::new("operator", "weights held, or held no longer"),
        };
        let first: Vec<ServerId> = table.bent.iter().copied().take(most).collect();
        table.bent.retain(|server| !first.contains(server));
        table.touched.extend(table.bending.advance_rollback(most - first.len()));
        table.touched.extend(first);
        if table.bending.rollback().is_none() {
            table.touched.extend(std::mem::take(&mut table.outranked).into_keys());
        }
        self.last += 1;
        table.version = self.last;
        let before = self.store.newest_version(id);
        self.publish(facts, &why);
        self.store.changes_since(id, before).map_or(0, |since| since.changed.len())
    }

    /// Makes a version of each table whose lines have changed.
    pub fn publish(&mut self, facts: &Facts, why: &Provenance) {
        let moved = std::mem::replace(&mut self.placed, facts.roster.address_version())
            != facts.roster.address_version();
        let closed = std::mem::replace(&mut self.closings, facts.roster.drain_version())
            != facts.roster.drain_version();
        let mut pool = None;
        for (&id, table) in &mut self.tables {
            if moved {
                table.touched.extend(table.lines.keys());
            }
            if let Some(limits) = self.limits.filter(|_| closed) {
                // Should nobody take these out, nothing else may come to be judged before the grace is over.
                let open = |(_, line): &(ServerId, &Line)| !line.draining;
                let lines = self.store.lines(id).filter(open).map(|(server, _)| server);
                table.back.extend(lines.filter(|&server| facts.roster.is_draining(server)));
                let look_at = limits.drain_check_at(facts.now);
                table.again_at = Some(table.again_at.map_or(look_at, |at| at.min(look_at)));
            }
            if table.again_at.is_some_and(|at| at <= facts.now) || !table.touched.is_empty() {
                table.again_at = None;
                table.touched.append(&mut table.back);
            }
            if table.touched.is_empty() {
                continue;
            }
            let sum: f64 = table.lines.values().sum();
            let most = f64::from(u32::MAX / 2);
            let scaled = (0..8).find(|&at| sum * UNIT_WEIGHT * 0.0625_f64.powi(at) < most).unwrap_or(8);
            let mut shrink = 1.0;
            if table.bending.is_active() {
                let warm = table.lines.iter().filter(|(server, _)| !facts.cold(**server));
                shrink = table.bending.slow_start_factor(warm.map(|(&server, &weight)| (server, weight)));
            }
            if scaled != table.scaled {
                table.touched.extend(table.lines.keys());
            } else if shrink != table.shrink {
                let cold = table.lines.keys().filter(|server| facts.cold(**server));
                table.touched.extend(cold.collect::<Vec<_>>());
            }
            (table.scaled, table.shrink) = (scaled, shrink);
            let unit = UNIT_WEIGHT * 0.0625_f64.powi(scaled);
            let line = |server: ServerId| {
                if let Some(&line) = table.outranked.get(&server).filter(|_| self.outranks) {
                    return Some(Line { draining: false, ..line });
                }
                let place = facts.roster.endpoint(server)?;
                let bent = if facts.cold(server) { shrink } else { table.bending.factor(server) };
                let weight = table.lines.get(&server)? * bent * unit;
                Some(Line {
                    address: place.address,
                    weight: (weight.round() as u32).max(1),
                    draining: self.suspended.contains(&server),
                    incarnation: facts.roster.incarnation(server),
                })
            };
            let mut lines: BTreeMap<ServerId, Option<Line>> =
                table.touched.iter().map(|&server| (server, line(server))).collect();
            table.touched.clear();
            if let Some(guard) = &mut table.guard {
                let pool = pool.get_or_insert_with(|| Pool {
                    servers: servers(facts, self.gone_binds, self.sized),
                    traffic_share: 1.0,
                });
                pool.traffic_share = facts.parts.get(&id).copied().unwrap_or(if id == 0 { 1.0 } else { 0.0 });
                let judged = judge(guard, facts.now, pool, &self.store, id, &mut lines);
                let open =
                    |server: &&ServerId| self.store.line(id, **server).is_some_and(|line| !line.draining);
                let shut = judged.drained.iter().filter(open).count();
                if shut > 0 {
                    self.last += 1;
                    table.version = self.last;
                    *self.corrected.entry(id).or_default() += shut;
                }
                self.words.extend(said(id, &judged, facts.now));
                table.again_at = guard.next_inspection(facts.now).filter(|_| !judged.reverted.is_empty());
                table.back = judged.reverted;
                self.store.publish(id, lines, facts.now + facts.wall, why);
                let open = self.store.lines(id).any(|(_, line)| !line.draining);
                let hollow = guard.must_withhold(pool, open);
                if hollow && !std::mem::replace(&mut table.hollow, hollow) {
                    self.words.push(format!("the guard keeps table {id} back: no line of it is open"));
                }
                table.hollow = hollow;
                continue;
            }
            self.store.publish(id, lines, facts.now + facts.wall, why);
        }
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
        let line = self.store.line(table, server).filter(|line| !line.draining);
        line.map_or(0.0, |line| f64::from(line.weight) / UNIT_WEIGHT)
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

    /// Lines that whoever holds a version of a table is told; from 0, all.
    pub fn lines_since(&self, table: TableId, from: VersionNumber) -> usize {
        let since = self.store.changes_since(table, from);
        since.map_or_else(|| self.store.lines(table).count(), |since| since.changed.len())
    }

    /// Is it to be told? One without an open line is not, while a server is ready.
    pub fn told(&self, table: TableId) -> bool {
        self.tables.get(&table).is_none_or(|table| !table.hollow)
    }

    /// Grows whenever what a table's users should hold changes.
    pub fn version(&self, table: TableId) -> u64 {
        self.tables.get(&table).map_or(0, |table| table.version)
    }

    pub fn shunned_version(&self) -> u64 {
        self.shunned_version
    }

    /// Part of an operation's invocations that is let in.
    pub fn admitted(&self, table: TableId, at: OperationAt) -> f64 {
        self.level(table, at).map_or(1.0, |level| level.0)
    }

    fn level(&self, table: TableId, at: OperationAt) -> Option<(f64, RetryPolicy)> {
        let own = self.tables.get(&table).and_then(|table| table.levels.get(&at)).copied();
        match (own, self.levels.get(&at).copied()) {
            (Some(own), Some(all)) => Some((own.0.min(all.0), own.1)),
            (own, all) => own.or(all),
        }
    }

    /// How an operation of a table is tried again; never, where nothing was ordered.
    pub fn further(&self, table: TableId, at: OperationAt) -> RetryPolicy {
        self.level(table, at).map_or(RetryPolicy::Never, |level| level.1)
    }

    /// A table as the endpoints of an operation's cluster; kept until it changes, since many hold the same.
    pub fn assignment(&mut self, table: TableId, at: OperationAt, name: &str, roster: &EndpointList) -> Any {
        let version = (self.version(table), roster.address_version());
        let admitted = self.admitted(table, at);
        let key = (table, admitted.to_bits());
        let fresh = self.rendered.get(&key).is_some_and(|(of, _)| *of == version);
        if !fresh {
            let rows =
                self.store.lines(table).filter_map(|(server, line)| row(server, line, roster)).collect();
            let body = Assignment { cluster: String::new(), endpoints: rows, admitted }.body();
            // Levels that no operation has any more are not kept.
            self.rendered.retain(|other, (of, _)| other.0 != table || *of == version);
            self.rendered.insert(key, (version, body));
        }
        self.rendered.get(&key).map(|(_, body)| body.named(name)).unwrap_or_default()
    }

    /// What nobody may send to, whatever tables they hold.
    pub fn shunned(&self, roster: &EndpointList) -> Any {
        let rows = self.suspended.iter().filter_map(|&server| {
            let place = roster.endpoint(server)?;
            let (address, zone) = (place.address, place.zone.clone());
            Some(AssignedEndpoint { address, zone, health: Health::Draining, weight: 1.0, info: None })
        });
        Assignment { cluster: EXCLUDED.into(), endpoints: rows.collect(), admitted: 1.0 }.encode()
    }
}

fn servers(facts: &Facts, gone_binds: bool, sized: bool) -> BTreeMap<ServerId, Server> {
    let pool = facts.roster.guard_servers(facts.now, facts.cold_for, gone_binds);
    pool.map(|(server, known)| {
        let capacity = if sized { known.capacity } else { 1.0 };
        (server, Server { capacity, ..known })
    })
    .collect()
}

/// Shows the guard what a table is and what it is about to be; takes back from `lines` what it holds.
fn judge(
    guard: &mut Guard,
    now: Nanos,
    pool: &Pool,
    store: &Store,
    id: TableId,
    lines: &mut BTreeMap<ServerId, Option<Line>>,
) -> Decision {
    let shown = |line: &Line| GuardLine { weight: f64::from(line.weight), draining: line.draining };
    let before: BTreeMap<ServerId, GuardLine> =
        store.lines(id).map(|(server, line)| (server, shown(line))).collect();
    let mut after = before.clone();
    for (&server, line) in lines.iter() {
        match line {
            Some(line) => after.insert(server, shown(line)),
            None => after.remove(&server),
        };
    }
    let judged = guard.judge(now, pool, &before, &after);
    lines.retain(|server, _| !judged.reverted.contains(server));
    for &server in &judged.drained {
        let line = lines.get(&server).copied().flatten().or(store.line(id, server).copied());
        lines.insert(server, line.map(|line| Line { draining: true, ..line }));
    }
    judged
}

fn said(table: TableId, judged: &Decision, now: Nanos) -> Vec<String> {
    let mut words = Vec::new();
    for Refusal { finding, since } in &judged.refusals {
        let lasts = now.saturating_sub(*since) / 1_000_000;
        words.push(format!(
            "the guard refuses a change of table {table} ({} lines stay as they were, for {lasts} ms so far): {finding}",
            judged.reverted.len()
        ));
    }
    words.extend(
        judged.waived.iter().map(|finding| {
            format!("the guard yields on table {table}, since no rule hangs on it: {finding}")
        }),
    );
    words
}

fn row(server: ServerId, line: &Line, roster: &EndpointList) -> Option<AssignedEndpoint> {
    let place = roster.endpoint(server)?;
    let health = if line.draining { Health::Draining } else { Health::Ready };
    let weight = f64::from(line.weight) / UNIT_WEIGHT;
    Some(AssignedEndpoint { address: line.address, zone: place.zone.clone(), health, weight, info: None })
}
