//! What proxies are told, when, and in which order: every proxy's table, what it is to shun, and the deadlines that
//! rules set on both. The channel is one queue, first in first out: what is put into it stands before all that follows.

use std::collections::{BTreeMap, BTreeSet};

use crate::deadlines::{DeadlineStatistics, Obligation};
use crate::interface::*;
use crate::message::*;
use crate::pacing::Pacing;
use crate::statistics::DecayingSum;

#[cfg(test)]
mod tests;

/// A weight moves only by more than this part of what was told.
pub(crate) const WEIGHT_STEP: f64 = 0.1;
/// Ordinary changes leave at most this often.
const BATCH_GAP: Nanos = SECOND;
/// Traffic of each proxy is learned over this.
const TRAFFIC_MEMORY: Nanos = 10 * SECOND;
/// Heads of ordinary messages take at most this part of the channel: where there are many proxies changes gather
/// for longer, since a message that says little costs as much.
const HEADS_PART: f64 = 0.4;
/// Part of the channel's room that ordinary changes, joins, and what a rule hangs on may fill.
const ORDINARY_ROOM: f64 = 0.3;
pub(crate) const JOIN_ROOM: f64 = 0.5;
const URGENT_ROOM: f64 = 0.8;
/// A newcomer without a table of ours is told what to shun when this part of a drain's grace has passed.
const WARN_PART: f64 = 0.25;
/// Joiners' lines for one of changes, an eighth of the grace at most: no table is worse than an old one.
const TURN: f64 = 3.0;
/// Small tables stand in for so many graces after whole ones were last too long to be told in time.
const CALM_GRACES: Nanos = 4;
/// As many proxies again as came within this part of the grace are expected to come.
const WAVE_PART: f64 = 0.25;
/// Part of what the channel sends within a grace that moving all users of the whole table to small ones may take.
const MOVE_PART: f64 = 0.8;
/// A table with fewer usable servers is filled at once.
const LEAST_USABLE: usize = 2;
/// In a small table, which may have lost half of its weight, a cold server gets this part of its weight.
pub(crate) const SMALL_COLD: f64 = 0.5;

/// The table of all proxies on the ordinary path; small ones are numbered after it. What joiners are told to
/// shun, whatever they hold, is kept like one more table.
pub(crate) const WHOLE: TableId = 0;
pub(crate) const SHUNNED: TableId = TableId::MAX;

/// A line that differs from what was told, how it ranks and how much weight it moves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub(crate) table: TableId,
    pub(crate) server: ServerId,
    pub(crate) weight: f64,
    pub(crate) rank: u8,
    pub(crate) moved: f64,
    /// It was told before, and goes to those alone that joined since.
    pub(crate) again: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Member {
    /// Invocations that came to it.
    pub(crate) came: DecayingSum,
    /// The table that it should use, and the one that it was put on.
    pub(crate) table: TableId,
    pub(crate) bound: Option<TableId>,
    pub(crate) joined: Nanos,
    /// It came with what others had ordered.
    pub(crate) brought: bool,
    /// It was told all that is to be shunned.
    pub(crate) warned: bool,
}

/// Knows what was told to proxies, tells them what changed, and keeps the channel short.
#[derive(Debug, Default)]
pub(crate) struct Channel {
    pub(crate) pacing: Pacing,
    pub(crate) members: BTreeMap<ProxyId, Member>,
    pub(crate) wants: BTreeMap<ServerId, DesiredWeight>,
    /// Servers that are not ready, and since when that is known.
    unready: BTreeMap<ServerId, Nanos>,
    /// The lines of small tables, and the weight that each table should have.
    pub(crate) parts: BTreeSet<(TableId, ServerId)>,
    pub(crate) sizes: BTreeMap<TableId, f64>,
    /// Those with warm servers enough that a cold one's share stays small.
    pub(crate) strong: BTreeSet<TableId>,
    /// Servers that were known when they were dealt.
    pub(crate) dealt: BTreeSet<ServerId>,
    /// They were dealt to keep proxies apart, from our window of the servers.
    pub(crate) dealt_apart: bool,
    /// Numbers of the last deal's tables follow this one.
    pub(crate) deal_from: TableId,
    pub(crate) told: BTreeMap<(TableId, ServerId), f64>,
    pub(crate) gates: Vec<AdmissionLimit>,
    pub(crate) gates_told: BTreeMap<(TableId, usize), AdmissionLimit>,
    flushed: Nanos,
    pub(crate) apart: bool,
    pub(crate) grace: Nanos,
    /// When whole tables were last too long to be told in time.
    pressed: Option<Nanos>,
    ledger: DeadlineStatistics,
    /// Lines that joiners may take before the next changes to others.
    pub(crate) turn: f64,
    pub(crate) supervisor: f64,
    pub(crate) supervisors: f64,
    pub(crate) proxies: f64,
}

/// Changes and levels that one flush puts into the channel.
struct Sending {
    /// Users of each table, those of none under [`SHUNNED`], and those among them that were told nothing.
    readers: BTreeMap<TableId, f64>,
    newcomers: f64,
    heads: f64,
    cost: f64,
    full: bool,
    touched: BTreeSet<(TableId, bool)>,
}

impl Sending {
    /// Takes one more line where it fits into what is left of the room.
    fn fits(&mut self, table: TableId, again: bool, room: f64) -> bool {
        let all = self.readers.get(&table).copied().unwrap_or_default();
        let readers = if again { self.newcomers } else { all };
        let headed = self.touched.contains(&(table, false)) || self.touched.contains(&(table, again));
        let more = readers * if headed { 1.0 } else { 1.0 + self.heads };
        self.full |= readers > 0.0 && self.cost + more > room;
        if !self.full {
            self.touched.insert((table, again));
            self.cost += more;
        }
        !self.full
    }
}

/// Which installs are meant.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Joins {
    /// Those that a rule hangs on.
    Urgent,
    /// All, in such a part of the room.
    Within(f64),
}

impl Channel {
    pub(crate) fn new(config: &ControllerConfig, gates: Vec<AdmissionLimit>) -> Self {
        Channel {
            supervisor: config.supervisor_index.into(),
            supervisors: config.supervisor_count.into(),
            proxies: config.proxy_count.into(),
            pacing: Pacing::new(config),
            gates,
            grace: config.drain_grace,
            ..Channel::default()
        }
    }

    pub(crate) fn handle(&mut self, note: Message, mailboxes: &mut Mailboxes) {
        match note {
            Message::DesiredWeight(server, want) => {
                self.wants.insert(server, want);
                if want.unready {
                    self.unready.entry(server).or_insert(mailboxes.now);
                } else {
                    self.unready.remove(&server);
                }
            }
            Message::AdmissionLimits(gates) => self.gates = gates,
            Message::Isolate(apart) => {
                if apart != self.apart {
                    self.split(apart);
                }
                self.refill();
                let used = self.parts.iter().filter(|_| self.apart).map(|part| part.1);
                mailboxes.send(Component::Fleet, Message::SubsetServers(used.collect()));
            }
            Message::Joined { proxy, rate, is_new: new } => {
                let came = DecayingSum {
                    sum: rate * TRAFFIC_MEMORY as f64 / SECOND as f64,
                    updated_at: mailboxes.now,
                };
                // While kept apart it goes where least comes for the size.
                let table = if self.apart { self.lightest() } else { None }.unwrap_or(WHOLE);
                let (brought, joined) = (!new, mailboxes.now);
                self.members.insert(proxy, Member { came, table, brought, joined, ..Member::default() });
                // What was ordered before has not reached it.
                self.told.range_mut((SHUNNED, 0)..).for_each(|(_, told)| *told /= 2.0);
            }
            Message::ProxyDemand { proxy, total } => {
                if let Some(member) = self.members.get_mut(&proxy) {
                    member.came.add(mailboxes.now, TRAFFIC_MEMORY, total);
                }
            }
            Message::Left(proxy) => {
                self.members.remove(&proxy);
                self.pacing.remove_proxy(proxy);
            }
            Message::Acknowledged { proxy, serial } => self.pacing.acknowledge(proxy, serial, mailboxes.now),
            Message::Backlog(lines) => self.pacing.take_over_backlog(lines, mailboxes.now),
            Message::Flush => self.flush(mailboxes),
            _ => {}
        }
    }

    /// Forgets a server that no table names any more.
    pub(crate) fn let_go(&mut self, server: ServerId) -> bool {
        let named = |(table, named): &(TableId, ServerId)| *named == server && *table != SHUNNED;
        if self.told.iter().any(|(line, weight)| named(line) && *weight > 0.0) {
            return false;
        }
        self.wants.remove(&server);
        self.unready.remove(&server);
        self.dealt.remove(&server);
        self.told.retain(|line, _| line.1 != server);
        self.parts.retain(|line| line.1 != server);
        true
    }

    /// What has a deadline goes first, by the earliest; whole tables and what only serves better share the rest.
    fn flush(&mut self, mailboxes: &mut Mailboxes) {
        self.pacing.update_queue(mailboxes.now);
        self.choose_tables(mailboxes.now);
        self.fill_unused(mailboxes);
        let newcomers_due = self.newcomers().map(|member| self.newcomer_due(member)).min();
        let changes_due = self.unready.values().map(|told| told + self.grace).min();
        // Newcomers are bound by what was told before them too: theirs may be due first.
        if newcomers_due < changes_due {
            self.install(Joins::Urgent, mailboxes);
        }
        let owed = self.differing(mailboxes.now);
        let mut told_all =
            self.tell(owed.into_iter().filter(|change| change.rank == 0 && !change.again), mailboxes);
        self.install(Joins::Urgent, mailboxes);
        if self.turn > 0.0 || told_all {
            self.install(Joins::Within(JOIN_ROOM), mailboxes);
        }
        told_all &= self.tell(self.differing(mailboxes.now).into_iter(), mailboxes);
        self.install(Joins::Within(if told_all { JOIN_ROOM } else { ORDINARY_ROOM }), mailboxes);
        self.report(mailboxes);
    }

    fn report(&mut self, mailboxes: &mut Mailboxes) {
        let owed = self.newcomers().count();
        if let Some(line) = self.ledger.log_line(owed, mailboxes.now, SECOND) {
            mailboxes.log(line);
        }
    }

    /// Proxies that may hold anything: no table of ours was ordered for them since they joined.
    fn newcomers(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.bound.is_none() && !member.warned)
    }

    /// By when a newcomer must have left what is known as not ready, whatever it holds.
    fn newcomer_due(&self, member: &Member) -> Nanos {
        let first = self.unready.values().min().copied().unwrap_or(Nanos::MAX / 2);
        member.joined.max(first) + self.grace
    }

    /// Lines of a message that puts a proxy on a small table.
    fn stand_in_lines(&self) -> f64 {
        self.pacing.message_overhead + 2.0 + self.gates.len() as f64 + self.stand_in_servers() as f64
    }

    fn urgent_by_table(&self, now: Nanos) -> BTreeMap<TableId, (f64, Nanos)> {
        let mut urgent: BTreeMap<TableId, (f64, Nanos)> = BTreeMap::new();
        for change in self.differing(now).iter().filter(|change| change.rank == 0 && change.table != SHUNNED)
        {
            let due = self.unready.get(&change.server).copied().unwrap_or(now) + self.grace;
            let (lines, first) = urgent.entry(change.table).or_insert((0.0, due));
            (*lines, *first) = (*lines + 1.0, (*first).min(due));
        }
        urgent
    }

    fn users(&self) -> BTreeMap<TableId, f64> {
        let mut users = BTreeMap::new();
        for member in self.members.values() {
            *users.entry(member.bound.unwrap_or(SHUNNED)).or_insert(0.0) += 1.0;
        }
        users
    }

    /// Decides who goes by the whole table. Guards drains, and what newcomers hold, against a channel that cannot
    /// carry whole tables and their changes to all in time: where that is so, newcomers, and then all, go by small
    /// tables, whose messages are short. It could harm service, since a small table evens out less.
    fn choose_tables(&mut self, now: Nanos) {
        if self.apart || self.stand_in_servers() == 0 {
            return;
        }
        self.limit_whole();
        let capacity = self.pacing.forecast(now);
        let urgent = self.urgent_by_table(now);
        let users = self.users();
        let heads = self.pacing.message_overhead + 1.0;
        let short = self.stand_in_lines();
        let changes: Vec<Obligation> = urgent
            .iter()
            .map(|(table, (lines, due))| {
                let users = users.get(table).copied().unwrap_or_default();
                Obligation { deadline: *due, lines: users * (heads + lines) }
            })
            .collect();
        let newcomers_whole = self.newcomer_obligations(now);
        let mut whole: Vec<Obligation> = changes.iter().chain(&newcomers_whole).copied().collect();
        if capacity.meets_all(&mut whole) {
            return self.restore_whole(now, urgent.is_empty());
        }
        self.pressed = Some(now);
        let waiting = if newcomers_whole.is_empty() { Vec::new() } else { self.unbound_on_whole() };
        self.put_on_stand_ins(&waiting);
        // Do the others keep theirs as they are?
        let newcomers_short = newcomers_whole.iter().map(|owed| Obligation { lines: short, ..*owed });
        let mut rest: Vec<Obligation> = changes.into_iter().chain(newcomers_short).collect();
        let whole_lines = urgent.get(&WHOLE).map_or(0.0, |(lines, _)| *lines);
        if whole_lines + heads > short && !capacity.meets_all(&mut rest) {
            let on_whole = |member: &Member| member.bound == Some(WHOLE) && member.table == WHOLE;
            let moving = self.members.iter().filter(|(_, member)| on_whole(member));
            let moving: Vec<ProxyId> = moving.map(|(&proxy, _)| proxy).collect();
            self.put_on_stand_ins(&moving);
        }
        self.keep_on_stand_ins();
    }

    /// What newcomers are owed if they get whole tables; as many again are expected as came of late.
    fn newcomer_obligations(&self, now: Nanos) -> Vec<Obligation> {
        if self.unready.is_empty() {
            return Vec::new();
        }
        let lines = self.lines();
        let (held, back) = lines.get(&WHOLE).copied().unwrap_or_default();
        let message = |member: &Member| {
            let small = member.table != WHOLE;
            let table = if small { self.stand_in_lines() } else { self.pacing.message_overhead + held };
            table + if member.brought && !small { back } else { 0.0 }
        };
        let owed = self.newcomers().map(|member| (member.joined, self.newcomer_due(member), message(member)));
        let mut obligations = Vec::new();
        let (mut came, since) = (0, now.saturating_sub((WAVE_PART * self.grace as f64) as Nanos));
        for (joined, due, lines) in owed {
            came += usize::from(joined >= since);
            obligations.push(Obligation { deadline: due, lines });
        }
        let others = (self.proxies as usize).saturating_sub(self.members.len());
        let expected =
            Obligation { deadline: now + self.grace, lines: self.pacing.message_overhead + held + back };
        obligations.extend(std::iter::repeat_n(expected, came.min(others)));
        obligations
    }

    fn unbound_on_whole(&self) -> Vec<ProxyId> {
        let unbound = |member: &Member| member.bound.is_none() && member.table == WHOLE;
        self.members.iter().filter(|(_, member)| unbound(member)).map(|(&proxy, _)| proxy).collect()
    }

    /// As many proxies go by the whole table as could all be moved to small ones within a grace.
    fn whole_most(&self) -> usize {
        let sending = self.pacing.deliverable_lines(self.grace) - self.pacing.configured_queue_target;
        (MOVE_PART * sending.max(0.0) / self.stand_in_lines()) as usize
    }

    /// Puts those who came last, beyond what a grace allows for, on small tables.
    fn limit_whole(&mut self) {
        let most = self.whole_most();
        let on_whole = self.members.values().filter(|member| member.table == WHOLE).count();
        if on_whole <= most {
            return;
        }
        let mut unbound = self.unbound_on_whole();
        unbound.sort_by(|a, b| self.members[a].came.sum.total_cmp(&self.members[b].came.sum));
        unbound.truncate(on_whole - most);
        self.put_on_stand_ins(&unbound);
    }

    /// Who was on the way back to the whole table stays on its small one.
    fn keep_on_stand_ins(&mut self) {
        for member in self.members.values_mut() {
            let small = member.bound.filter(|&bound| bound != WHOLE && self.sizes.contains_key(&bound));
            if member.table == WHOLE {
                member.table = small.unwrap_or(WHOLE);
            }
        }
    }

    /// Whole tables were not too long to be told in time for a while.
    fn is_calm(&self, now: Nanos) -> bool {
        self.pressed.is_none_or(|at| now.saturating_sub(at) > CALM_GRACES * self.grace)
    }

    /// Brings proxies back to the whole table, the busiest first, once the channel has been calm for a while.
    fn restore_whole(&mut self, now: Nanos, nothing_urgent: bool) {
        if !self.is_calm(now) || !nothing_urgent || self.newcomers().next().is_some() {
            return;
        }
        let on_whole = self.members.values().filter(|member| member.table == WHOLE).count();
        let mut small: Vec<ProxyId> = self
            .members
            .iter()
            .filter(|(_, member)| member.table != WHOLE)
            .map(|(&proxy, _)| proxy)
            .collect();
        small.sort_by(|a, b| self.members[b].came.sum.total_cmp(&self.members[a].came.sum));
        for proxy in small.into_iter().take(self.whole_most().saturating_sub(on_whole)) {
            if let Some(member) = self.members.get_mut(&proxy) {
                member.table = WHOLE;
            }
        }
    }

    /// Whoever is on the whole table is to leave it: a message to all of them would go to those who have not moved.
    fn is_leaving_whole(&self) -> bool {
        !self.apart
            && self.members.values().any(|member| member.bound == Some(WHOLE) && member.table != WHOLE)
    }

    /// Brings tables that nobody uses up to date: that costs the channel nothing, and who is put on one gets it so.
    fn fill_unused(&mut self, mailboxes: &mut Mailboxes) {
        let users = self.users();
        let unused = |table: TableId| table != SHUNNED && !users.contains_key(&table);
        for change in self.differing(mailboxes.now) {
            if unused(change.table) {
                // The first table ever begins the gap to the next changes.
                self.flushed = if self.flushed == 0 { mailboxes.now } else { self.flushed };
                self.order_line(&change, mailboxes);
            }
        }
        let tables: BTreeSet<TableId> =
            self.members.values().map(|member| member.table).filter(|&table| unused(table)).collect();
        for (table, gate) in self.differing_gates(tables) {
            self.order_gate(table, gate, mailboxes);
        }
    }

    fn order_line(&mut self, change: &Change, mailboxes: &mut Mailboxes) {
        let &Change { table, server, weight, .. } = change;
        mailboxes.actions.push(match table {
            SHUNNED => Action::Exclude { server, on: weight > 0.0 },
            _ => Action::SetWeight { table, server, weight },
        });
        if weight > 0.0 || table == WHOLE || table == SHUNNED {
            self.told.insert((table, server), weight);
        } else {
            self.told.remove(&(table, server));
        }
    }

    fn order_gate(&mut self, table: TableId, gate: AdmissionLimit, mailboxes: &mut Mailboxes) {
        let (operations, amount, further) = (1 << gate.operation, gate.limit, gate.retry_policy);
        mailboxes.actions.push(Action::LimitAdmission {
            table: Some(table),
            operations,
            limit: amount,
            retry_policy: further,
        });
        self.gates_told.insert((table, gate.operation), gate);
    }

    fn differing_gates(&self, tables: BTreeSet<TableId>) -> Vec<(TableId, AdmissionLimit)> {
        let gates = tables.into_iter().flat_map(|table| self.gates.iter().map(move |gate| (table, *gate)));
        gates.filter(|(table, gate)| self.gates_told.get(&(*table, gate.operation)) != Some(gate)).collect()
    }

    /// What a table should say of a server. A small one may have lost half of its weight: the cold get half, and
    /// nothing where it has lost more.
    pub(crate) fn wanted(&self, table: TableId, server: ServerId) -> f64 {
        let want = self.wants.get(&server).copied().unwrap_or_default();
        match table {
            WHOLE => want.weight,
            SHUNNED if want.urgent && want.weight == 0.0 => 1.0,
            _ if !self.parts.contains(&(table, server)) => 0.0,
            _ if !want.urgent => want.weight,
            _ if self.strong.contains(&table) => want.weight * SMALL_COLD,
            _ => 0.0,
        }
    }

    /// Are newcomers told what to shun? Only where a table of few servers takes no fewer lines, or there is none.
    fn warns(&self, now: Nanos) -> bool {
        let binding = self.wants.values().filter(|want| want.must_exclude).count();
        let small = self.stand_in_servers();
        if small > 0 && binding > small {
            return false;
        }
        // A whole table does as well: until it cannot be there in time, it is waited for.
        let warn =
            now + self.grace.min((self.pacing.queued_lines / self.pacing.learned_lines_per_ns()) as Nanos);
        let late = |member: &Member| warn >= member.joined + (WARN_PART * self.grace as f64) as Nanos;
        self.members.values().any(|member| member.bound.is_none() && late(member))
    }

    /// Servers on each table that were told and are still wanted, and their weight.
    fn usable(&self) -> BTreeMap<TableId, (usize, f64)> {
        let mut usable: BTreeMap<TableId, (usize, f64)> = BTreeMap::new();
        for (&(table, server), &told) in self.told.iter().filter(|(_, told)| **told > 0.0) {
            let wanted = self.wanted(table, server);
            let (count, weight) = usable.entry(table).or_default();
            *count += usize::from(wanted > 0.0);
            *weight += told.min(wanted);
        }
        usable
    }

    /// Lines whose standing value differs enough, those that keep a rule first, then withdrawals, then by how
    /// much of the work they move.
    pub(crate) fn differing(&self, now: Nanos) -> Vec<Change> {
        let warns = self.warns(now);
        let mut lines: BTreeSet<(TableId, ServerId)> = self.told.keys().chain(&self.parts).copied().collect();
        lines.extend(self.wants.keys().map(|&server| (WHOLE, server)));
        let binds = self.wants.iter().filter(|(_, want)| warns && want.must_exclude);
        lines.extend(binds.map(|(&server, _)| (SHUNNED, server)));
        let usable = self.usable();
        // While the channel is pressed only a table that has next to nothing left is filled at once.
        let roomy = self.apart || self.is_calm(now);
        let bare = |table: TableId| usable.get(&table).is_none_or(|(count, _)| *count < LEAST_USABLE);
        let weak = |table: TableId| {
            let held = usable.get(&table).map_or(0.0, |(_, weight)| *weight);
            self.sizes.get(&table).is_some_and(|size| held < size / 2.0)
        };
        let mut changes: Vec<Change> = Vec::new();
        for (table, server) in lines {
            let told = self.told.get(&(table, server)).copied().unwrap_or_default();
            let weight = self.wanted(table, server);
            let moved = (weight - told).abs();
            let again = table == SHUNNED && told > 0.0 && weight > 0.0;
            if moved > WEIGHT_STEP * told && (warns || !again) {
                let want = self.wants.get(&server).copied().unwrap_or_default();
                let urgent = weight < told && want.urgent;
                // What drains goes ahead of all, out of tables first: users of a table shun what it still holds.
                let moved = if want.must_exclude { f64::MAX / (1.0 + f64::from(table)) } else { moved };
                let adds = told == 0.0 && weight > 0.0 && table > WHOLE;
                let missed = bare(table) || (roomy && weak(table) && !want.urgent);
                let fills = (adds && missed) || (table == SHUNNED && weight > told);
                let rank =
                    if urgent || fills { 0 } else { 1 + u8::from(weight > 0.0 && (self.apart || !adds)) };
                changes.push(Change { table, server, weight, rank, moved, again });
            }
        }
        changes.sort_by(|a, b| a.rank.cmp(&b.rank).then(b.moved.total_cmp(&a.moved)));
        changes
    }

    /// Changed lines, as many as the channel takes: what is left out stays owed and goes later. Is all told that
    /// a rule hangs on?
    ///
    /// Guards the channel's limit against anything that changes many lines at once, a mass restart, a wrong
    /// list or noise. Drained or gone servers must be left, and cold ones kept from a full share, whatever
    /// else waits. It could harm where much changes for good reasons: then the table lags behind by seconds.
    fn tell(&mut self, changes: impl Iterator<Item = Change>, mailboxes: &mut Mailboxes) -> bool {
        let now = mailboxes.now;
        let readers = self.users();
        let newcomers = self.newcomers().count() as f64;
        let mut changes: Vec<Change> = changes.collect();
        let leaving_whole = self.is_leaving_whole();
        // Those who leave the whole table get a small one in place of its changes.
        changes.retain(|change| !(leaving_whole && change.table == WHOLE));
        let mut urgent: BTreeMap<TableId, f64> = BTreeMap::new();
        for change in changes.iter().filter(|change| change.rank == 0) {
            *urgent.entry(change.table).or_default() += 1.0;
        }
        let owed = changes.iter().filter(|change| change.rank == 0).count();
        let heads = self.pacing.message_overhead + 1.0;
        let all_heads = heads * self.members.len() as f64;
        let gap = BATCH_GAP.max((all_heads / HEADS_PART / self.pacing.configured_lines_per_ns) as Nanos);
        let due = now.saturating_sub(self.flushed) >= gap || self.flushed == 0;
        // What is urgent may need as many lines as its heads.
        let ordinary = URGENT_ROOM - 2.0 * all_heads / self.pacing.capacity_lines;
        let ordinary = ordinary.clamp(ORDINARY_ROOM, JOIN_ROOM);
        let waiting = self.pacing.update_queue(now);
        let room = |part: f64| part * self.pacing.capacity_lines - waiting;
        // What is thought to travel waits where the channel has just become slow.
        let rule = (URGENT_ROOM - self.pacing.lines_in_transit() / self.pacing.capacity_lines).max(JOIN_ROOM);
        let strangers = readers.contains_key(&SHUNNED);
        let bound = readers.len() > usize::from(strangers);
        // Joiners have their turn. What would only wait in the channel waits here, and gathers: it arrives no
        // later, in fewer messages.
        let theirs = strangers && self.turn > 0.0 && room(JOIN_ROOM) > 0.0;
        let long = waiting > self.pacing.queue_target() && !self.pacing.is_probe_due(now);
        let prompt = due && !long && !theirs;
        // Of what only serves better, no more than goes until the next: what is urgent would stand behind it.
        let until_next =
            if self.is_calm(now) { self.pacing.learned_lines_per_ns() * gap as f64 } else { 0.0 };
        let ordinary = ordinary.min((self.pacing.queue_target() + until_next) / self.pacing.capacity_lines);
        // Half of what a limit on messages leaves is for what is urgent.
        let most = self.pacing.half_message_limit * if owed > 0 { 1.0 } else { ORDINARY_ROOM };
        if !(owed > 0 || prompt) || self.pacing.recent_messages + 1.0 > most.max(1.0) {
            return owed == 0;
        }
        let mut sending =
            Sending { readers, newcomers, heads, cost: 0.0, full: false, touched: BTreeSet::new() };
        // Pieces smaller than their own heads are not worth sending.
        let worth = |table: &TableId| {
            let users = sending.readers.get(table).copied().unwrap_or_default();
            let lines = urgent.get(table).copied().unwrap_or_default();
            room(rule) >= users * (heads + heads.min(lines))
        };
        let mut worth: BTreeSet<TableId> = urgent.keys().copied().filter(worth).collect();
        if leaving_whole || urgent.contains_key(&WHOLE) && !worth.contains(&WHOLE) {
            // Users of a table that still holds a server are told to shun it too.
            worth.remove(&SHUNNED);
        }
        if long && self.can_gather(&changes, &sending, now) {
            return false;
        }
        // Changes that only serve better wait while joiners still lack the table.
        changes.retain(|change| match change.rank {
            0 => worth.contains(&change.table) && sending.fits(change.table, change.again, room(rule)),
            rank => {
                prompt
                    && (rank < 2 || !strangers || !bound)
                    && sending.fits(change.table, false, room(ordinary))
            }
        });
        let used = |member: &Member| [member.table, member.bound.unwrap_or(WHOLE)];
        let tables: BTreeSet<TableId> = self.members.values().flat_map(used).collect();
        let mut gates = if prompt { self.differing_gates(tables) } else { Vec::new() };
        gates.retain(|(table, _)| sending.fits(*table, false, room(JOIN_ROOM)));
        let sent = changes.iter().filter(|change| change.rank == 0).count();
        if changes.is_empty() && gates.is_empty() {
            return sent == owed;
        }
        let ordinary_sent = changes.iter().any(|change| change.rank > 0) || !gates.is_empty();
        self.flushed = if ordinary_sent { now } else { self.flushed };
        self.enter(&changes, &sending, now);
        for change in &changes {
            self.order_line(change, mailboxes);
        }
        for (table, gate) in gates {
            self.order_gate(table, gate, mailboxes);
        }
        let reached = self.reached(&sending.touched);
        if !reached.is_empty() {
            self.turn = (TURN * sending.cost)
                .min(WARN_PART / 2.0 * self.grace as f64 * self.pacing.configured_lines_per_ns);
            self.pacing.record_sent(sending.cost, reached, mailboxes);
        }
        if sent == owed && sending.touched.iter().any(|(table, _)| *table == SHUNNED) {
            self.members.values_mut().for_each(|member| member.warned |= member.bound.is_none());
        }
        sent == owed
    }

    /// May what is urgent wait outside a channel that is long anyway? It arrives no later and in fewer messages, as
    /// long as all of it would still arrive well before it is due.
    fn can_gather(&self, changes: &[Change], sending: &Sending, now: Nanos) -> bool {
        let users = |table: &TableId| sending.readers.get(table).copied().unwrap_or_default();
        let urgent = changes.iter().filter(|change| change.rank == 0);
        // A table that lost its servers is filled at once.
        if urgent.clone().any(|change| change.weight > 0.0) {
            return false;
        }
        let lines: f64 = urgent.clone().map(|change| users(&change.table)).sum();
        let tables: BTreeSet<TableId> = urgent.clone().map(|change| change.table).collect();
        let heads: f64 = tables.iter().map(|table| users(table) * sending.heads).sum();
        let due =
            urgent.map(|change| self.unready.get(&change.server).copied().unwrap_or(now) + self.grace).min();
        let margin = (WARN_PART * self.grace as f64) as Nanos;
        due.is_some_and(|due| self.pacing.forecast(now).arrival(lines + heads) + margin < due)
    }

    /// Notes when drains that are told now arrive.
    fn enter(&mut self, changes: &[Change], sending: &Sending, now: Nanos) {
        let arrival = self.pacing.forecast(now).arrival(sending.cost);
        let mut dues: BTreeMap<TableId, Nanos> = BTreeMap::new();
        for change in changes.iter().filter(|change| change.table != SHUNNED) {
            if let Some(told) = self.unready.get(&change.server) {
                let due = dues.entry(change.table).or_insert(Nanos::MAX);
                *due = (*due).min(told + self.grace);
            }
        }
        for (table, due) in dues {
            let users = sending.readers.get(&table).copied().unwrap_or_default();
            self.ledger.record(users as usize, due, arrival);
        }
    }

    /// Whom lines of these tables reach; those marked were told before, and go to newcomers alone.
    fn reached(&self, touched: &BTreeSet<(TableId, bool)>) -> BTreeSet<ProxyId> {
        let reached = |member: &Member| {
            let table = member.bound.unwrap_or(SHUNNED);
            touched.contains(&(table, false)) || (touched.contains(&(table, true)) && !member.warned)
        };
        self.members.iter().filter(|(_, member)| reached(member)).map(|(&proxy, _)| proxy).collect()
    }

    /// Lines that each table takes, its mark and levels among them, and servers that whoever was told to shun
    /// them is to let back.
    fn lines(&self) -> BTreeMap<TableId, (f64, f64)> {
        let mut lines: BTreeMap<TableId, (f64, f64)> = BTreeMap::new();
        for ((table, server), _) in self.told.iter().filter(|(_, &weight)| weight > 0.0) {
            let counts = lines.entry(*table).or_insert((2.0 + self.gates.len() as f64, 0.0));
            let started = self.wants.get(server).is_some_and(|want| want.restarted);
            *counts = (counts.0 + 1.0, counts.1 + f64::from(u8::from(started)));
        }
        lines
    }

    /// A rule hangs on that it gets its small table: it holds what nobody here knows, or a table whose drains are
    /// told in this way.
    fn hangs_on_install(&self, member: &Member) -> bool {
        let newcomer = member.bound.is_none() && !self.unready.is_empty();
        let moved = member.bound == Some(WHOLE) && !self.apart;
        member.table != WHOLE && (newcomer || moved)
    }

    /// Tables for those that joined or are to change theirs, as many as the channel has room for: what is due
    /// first, then the busiest proxies first.
    fn install(&mut self, joins: Joins, mailboxes: &mut Mailboxes) {
        let lines = self.lines();
        let urgent = joins == Joins::Urgent;
        let urgent_changes = if urgent { self.urgent_by_table(mailboxes.now) } else { BTreeMap::new() };
        let moved_due = urgent_changes.get(&WHOLE).map_or(mailboxes.now + self.grace, |(_, due)| *due);
        let due = |member: &Member| match (urgent, member.bound) {
            (false, _) => 0,
            (true, None) => self.newcomer_due(member),
            (true, Some(_)) => moved_due,
        };
        let mut waiting: Vec<(Nanos, ProxyId, &Member)> = self
            .members
            .iter()
            .filter(|(_, member)| member.bound != Some(member.table) && lines.contains_key(&member.table))
            .filter(|(_, member)| !urgent || self.hangs_on_install(member))
            .map(|(&proxy, member)| (due(member), proxy, member))
            .collect();
        waiting.sort_by(|(due_a, _, a), (due_b, _, b)| {
            due_a.cmp(due_b).then(a.bound.cmp(&b.bound)).then(b.came.sum.total_cmp(&a.came.sum))
        });
        let queued = self.pacing.update_queue(mailboxes.now);
        let rule = (URGENT_ROOM - self.pacing.lines_in_transit() / self.pacing.capacity_lines).max(JOIN_ROOM);
        let room = match joins {
            Joins::Urgent => self.pacing.capacity_lines * rule - queued,
            Joins::Within(part) => {
                (self.pacing.capacity_lines * part).min(self.pacing.queue_target()) - queued
            }
        };
        // One goes where nothing waits, or to see whether the channel is slow or proxies are gone.
        let probes =
            self.pacing.is_probe_due(mailboxes.now) && self.pacing.capacity_lines * JOIN_ROOM > queued;
        let one = !urgent && (self.pacing.queued_lines == 0.0 || probes);
        let (mut cost, mut reached) = (0.0, BTreeSet::new());
        let mut entries = Vec::new();
        for (due, proxy, member) in waiting {
            let (held, back) = lines[&member.table];
            let more = self.pacing.message_overhead + held + if member.brought { back } else { 0.0 };
            if cost + more > room && !(one && reached.is_empty()) {
                break;
            }
            mailboxes.actions.push(Action::AssignTable { proxy, table: member.table, operations: 0 });
            cost += more;
            reached.insert(proxy);
            entries.push((due, cost));
        }
        if reached.is_empty() {
            return;
        }
        let capacity = self.pacing.forecast(mailboxes.now);
        for (due, lines) in entries.into_iter().filter(|_| urgent) {
            self.ledger.record(1, due, capacity.arrival(lines));
        }
        for proxy in &reached {
            if let Some(member) = self.members.get_mut(proxy) {
                member.bound = Some(member.table);
            }
        }
        self.turn -= cost;
        self.pacing.record_sent(cost, reached, mailboxes);
    }
}
