//! What each stream was last sent, and what the module's orders of one time mean on it: at most one message a
//! proxy, changes alone. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use shalereel::interface::{Action, OperationMask, ProxyId, RetryPolicy, ServerId, TableId};
use thiserror::Error;

use crate::names::Names;
use crate::words::Push;

/// Lines of one part of a message: far below the protocol's longest.
const PART: usize = 4096;

/// An order that no supervisor can carry out.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("impossible order: {0}")]
pub struct Impossible(String);

type Gate = (f64, RetryPolicy);

#[derive(Clone, Debug, Default)]
struct Table {
    lines: BTreeMap<ServerId, f64>,
    gates: BTreeMap<u16, Gate>,
}

/// One joined proxy.
#[derive(Clone, Debug)]
struct Stream {
    /// Table of each operation, once installed on this stream.
    bound: Vec<Option<TableId>>,
    /// It came with something that others, or we on an earlier stream, had ordered.
    brought: bool,
    /// Servers that it shuts out by our word.
    shut: BTreeSet<ServerId>,
    /// Servers of which it has our word on this stream, out or back: what it brought along does not count.
    settled: BTreeSet<ServerId>,
    /// Marks that it has not answered, in the order in which they were sent.
    marks: VecDeque<Mark>,
}

/// A mark that is to be answered, and the lines of its message without the head.
#[derive(Clone, Copy, Debug)]
struct Mark {
    serial: u64,
    lines: u64,
}

/// What one operation of one stream is to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Telling {
    Nothing,
    Changes(TableId),
    Whole(TableId),
}

/// All that makes the content of one message; equal ones are encoded once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Content {
    tellings: Vec<Telling>,
    out: Vec<ServerId>,
    back: Vec<ServerId>,
    ticket: Option<u64>,
}

/// What the orders of one time change, against what was sent.
#[derive(Debug, Default)]
struct Draft {
    /// Lines touched, in the order in which they were, with their weight before.
    lines: BTreeMap<TableId, Vec<(ServerId, f64)>>,
    wiped: BTreeSet<TableId>,
    gates: BTreeSet<TableId>,
    all_gates: bool,
    shut: Vec<ServerId>,
    freed: Vec<ServerId>,
    installs: BTreeMap<ProxyId, Vec<Option<TableId>>>,
    mark: Option<(u64, bool)>,
}

/// What proxies were told since the start, as the protocol counts lines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    pub messages: u64,
    /// Without the heads of messages.
    pub lines: u64,
    /// Among them servers that were to be shut out, and let back.
    pub out: u64,
    pub back: u64,
}

#[derive(Debug)]
pub struct Streams {
    operations: usize,
    tables: BTreeMap<TableId, Table>,
    gates: BTreeMap<u16, Gate>,
    suspended: BTreeSet<ServerId>,
    joined: BTreeMap<ProxyId, Stream>,
    pub told: Told,
}

impl Streams {
    pub fn new(operations: usize) -> Self {
        Streams {
            operations,
            tables: BTreeMap::new(),
            gates: BTreeMap::new(),
            suspended: BTreeSet::new(),
            joined: BTreeMap::new(),
            told: Told::default(),
        }
    }

    pub fn join(&mut self, proxy: ProxyId, new: bool) {
        let bound = vec![None; self.operations];
        let (shut, settled, marks) = (BTreeSet::new(), BTreeSet::new(), VecDeque::new());
        self.joined.insert(proxy, Stream { bound, brought: !new, shut, settled, marks });
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        self.joined.remove(&proxy);
    }

    pub fn proxies(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.joined.keys().copied()
    }

    pub fn count(&self) -> usize {
        self.joined.len()
    }

    /// How many hold a table of ours.
    pub fn bound(&self) -> usize {
        self.joined.values().filter(|stream| stream.bound.iter().all(Option::is_some)).count()
    }

    /// Does a proxy owe an answer to this mark? It is settled with this, and so are those before it: an answer
    /// tells that all up to its mark is applied, and the answer to an earlier one may have been lost or spoilt.
    pub fn answered(&mut self, proxy: ProxyId, mark: u64) -> bool {
        let Some(stream) = self.joined.get_mut(&proxy) else { return false };
        let Some(at) = stream.marks.iter().position(|known| known.serial == mark) else { return false };
        stream.marks.drain(..=at);
        true
    }

    /// Does it owe any answer?
    pub fn owes(&self, proxy: ProxyId) -> bool {
        self.joined.get(&proxy).is_some_and(|stream| !stream.marks.is_empty())
    }

    /// Lines of messages that nobody has answered, with so many for each message's head.
    pub fn unanswered(&self, overhead: f64) -> f64 {
        let marks = self.joined.values().flat_map(|stream| &stream.marks);
        marks.map(|mark| mark.lines as f64 + overhead).sum()
    }

    /// Is a server still named by a table, or shut out?
    pub fn names(&self, server: ServerId) -> bool {
        self.tables.values().any(|table| table.lines.contains_key(&server))
    }

    /// Drops what is remembered of a server that was let go. Should it be listed again it gets another number:
    /// who shuts it out still does, as if others had told it.
    pub fn forget(&mut self, server: ServerId) {
        self.suspended.remove(&server);
        for stream in self.joined.values_mut() {
            stream.brought |= stream.shut.remove(&server);
            stream.settled.remove(&server);
        }
    }

    /// A module begins anew: proxies keep what they hold, and none of it is known as ordered any more.
    pub fn begin_anew(&mut self) {
        self.tables.clear();
        self.gates.clear();
        self.suspended.clear();
        for stream in self.joined.values_mut() {
            stream.bound.fill(None);
            stream.brought = true;
            stream.settled.clear();
        }
    }

    /// The messages that the orders of one time mean, none twice a proxy. Other orders than those to proxies are
    /// read over.
    pub fn take(
        &mut self,
        orders: &[Action],
        names: &Names,
        classes: &[String],
    ) -> Result<Vec<(ProxyId, Bytes)>, Impossible> {
        let mut draft = Draft::default();
        for order in orders {
            self.apply(order, names, &mut draft)?;
        }
        Ok(self.tell(draft, names, classes))
    }

    fn apply(&mut self, order: &Action, names: &Names, draft: &mut Draft) -> Result<(), Impossible> {
        let bad = |text: String| Err(Impossible(text));
        match *order {
            Action::SetWeight { table, server, weight } => {
                if !(weight >= 0.0 && weight.is_finite()) || table == TableId::MAX {
                    return bad(format!("{order:?}"));
                }
                if !names.was_given(server) {
                    return bad(format!("{order:?} of a server that was never listed"));
                }
                // One that was let go is named no more.
                let weight = if names.get(server).is_some() { weight } else { 0.0 };
                let lines = &mut self.tables.entry(table).or_default().lines;
                let before = if weight > 0.0 { lines.insert(server, weight) } else { lines.remove(&server) };
                let touched = draft.lines.entry(table).or_default();
                if touched.iter().all(|(known, _)| *known != server) {
                    touched.push((server, before.unwrap_or_default()));
                }
            }
            Action::ClearTable { table } => {
                self.tables.insert(table, Table::default());
                draft.wiped.insert(table);
            }
            Action::Exclude { server, on } => {
                if !names.was_given(server) {
                    return bad(format!("{order:?} of a server that was never listed"));
                }
                let on = on && names.get(server).is_some();
                let changed = if on { self.suspended.insert(server) } else { self.suspended.remove(&server) };
                // Said again it is for those who joined since.
                if on || changed {
                    draft.freed.retain(|&known| known != server);
                    draft.shut.retain(|&known| known != server);
                    if on { &mut draft.shut } else { &mut draft.freed }.push(server);
                }
            }
            Action::AssignTable { proxy, table, operations } if self.joined.contains_key(&proxy) => {
                self.tables.entry(table).or_default();
                let installs = draft.installs.entry(proxy).or_insert_with(|| vec![None; self.operations]);
                for at in of(operations, self.operations) {
                    installs[usize::from(at)] = Some(table);
                }
            }
            Action::LimitAdmission { table, operations, limit: amount, retry_policy: further } => {
                if !(amount >= 0.0 && amount.is_finite()) {
                    return bad(format!("{order:?}"));
                }
                let all = operations;
                let gates = match table {
                    Some(table) => {
                        draft.gates.insert(table);
                        &mut self.tables.entry(table).or_default().gates
                    }
                    None => {
                        draft.all_gates = true;
                        &mut self.gates
                    }
                };
                gates.extend(of(all, self.operations).map(|at| (at, (amount, further))));
            }
            Action::RequestAck { serial, everyone } => {
                let everyone = everyone || draft.mark.is_some_and(|(_, everyone)| everyone);
                draft.mark = Some((serial.into(), everyone));
            }
            _ => {}
        }
        Ok(())
    }

    fn tell(&mut self, draft: Draft, names: &Names, classes: &[String]) -> Vec<(ProxyId, Bytes)> {
        let Streams { tables, gates, suspended, joined, told: counts, .. } = self;
        let changed = |table: TableId| {
            let lines = draft.lines.get(&table).is_some_and(|touched| {
                let held = tables.get(&table).map(|table| &table.lines);
                touched.iter().any(|(server, before)| {
                    held.and_then(|held| held.get(server)).copied().unwrap_or_default() != *before
                })
            });
            lines || draft.gates.contains(&table) || draft.all_gates
        };
        let touched: BTreeSet<TableId> = tables.keys().copied().filter(|&table| changed(table)).collect();
        let quiet = touched.is_empty() && draft.wiped.is_empty() && draft.mark.is_none();
        if quiet && draft.installs.is_empty() && draft.shut.is_empty() && draft.freed.is_empty() {
            return Vec::new();
        }
        let returned: Vec<ServerId> =
            names.iter().filter(|(_, server)| server.returned).map(|(number, _)| number).collect();
        let mut encoded: BTreeMap<Content, (Bytes, u64)> = BTreeMap::new();
        let mut messages = Vec::new();
        for (&proxy, stream) in joined {
            let installs = draft.installs.get(&proxy);
            let mut tellings = vec![Telling::Nothing; stream.bound.len()];
            for (at, bound) in stream.bound.iter_mut().enumerate() {
                if let Some(table) = installs.and_then(|installs| installs[at]) {
                    *bound = Some(table);
                    tellings[at] = Telling::Whole(table);
                } else if let Some(table) = *bound {
                    if draft.wiped.contains(&table) {
                        tellings[at] = Telling::Whole(table);
                    } else if touched.contains(&table) {
                        tellings[at] = Telling::Changes(table);
                    }
                }
            }
            let unbound = stream.bound.iter().any(Option::is_none);
            let holds = |server: ServerId| {
                let tables = stream.bound.iter().flatten().filter_map(|table| tables.get(table));
                unbound || tables.into_iter().any(|table| table.lines.contains_key(&server))
            };
            // What is shut out stays out of a table, whoever brings its line.
            let told = tellings.iter().any(|telling| *telling != Telling::Nothing);
            let mut out: Vec<ServerId> = Vec::new();
            for &server in
                if told { suspended.iter().collect() } else { draft.shut.iter().collect::<Vec<_>>() }
            {
                if holds(server) && stream.shut.insert(server) {
                    out.push(server);
                }
            }
            let mut back: Vec<ServerId> = Vec::new();
            let stale = stream.shut.difference(suspended).filter(|_| told).copied();
            for server in draft.freed.iter().copied().chain(stale.collect::<Vec<_>>()) {
                if stream.shut.remove(&server) || (unbound && stream.brought && !back.contains(&server)) {
                    back.push(server);
                }
            }
            // What others had shut out, or we on an earlier stream, is let back once a table of ours holds it.
            for &server in returned.iter().filter(|_| told && stream.brought) {
                let known = suspended.contains(&server) || stream.settled.contains(&server);
                if !known && holds(server) && !back.contains(&server) {
                    back.push(server);
                }
            }
            stream.settled.extend(out.iter().chain(&back));
            let silent = tellings.iter().all(|telling| *telling == Telling::Nothing)
                && out.is_empty()
                && back.is_empty();
            let ticket = draft.mark.filter(|(_, everyone)| *everyone || !silent).map(|(serial, _)| serial);
            if silent && ticket.is_none() {
                continue;
            }
            let content = Content { tellings, out, back, ticket };
            counts.messages += 1;
            counts.out += content.out.len() as u64;
            counts.back += content.back.len() as u64;
            let (bytes, lines) = encoded.entry(content).or_insert_with_key(|content| {
                encode(content, &Known { tables, gates, draft: &draft, names, classes })
            });
            counts.lines += *lines;
            stream.marks.extend(ticket.map(|serial| Mark { serial, lines: *lines }));
            messages.push((proxy, bytes.clone()));
        }
        messages
    }
}

/// Positions of the operations in a mask; an empty one stands for all.
fn of(mask: OperationMask, operations: usize) -> impl Iterator<Item = u16> {
    (0..operations as u16).filter(move |at| mask == 0 || mask >> at & 1 == 1)
}

struct Known<'a> {
    tables: &'a BTreeMap<TableId, Table>,
    gates: &'a BTreeMap<u16, Gate>,
    draft: &'a Draft,
    names: &'a Names,
    classes: &'a [String],
}

impl<'a> Known<'a> {
    fn name(&self, server: ServerId) -> Option<&'a str> {
        self.names.get(server).map(|server| &*server.name)
    }

    /// What holds for an operation of a table: its own, no higher than what is set for all.
    fn gate(&self, table: TableId, operation: u16) -> Option<Gate> {
        let own = self.tables.get(&table).and_then(|table| table.gates.get(&operation)).copied();
        match (own, self.gates.get(&operation).copied()) {
            (Some(own), Some(all)) => Some((own.0.min(all.0), own.1)),
            (own, all) => own.or(all),
        }
    }

    fn lines(&self, telling: Telling) -> Vec<(&'a str, f32)> {
        // A weight above 0 stays above it: 0 would remove the line.
        let short = |weight: f64| if weight > 0.0 { (weight as f32).max(f32::MIN_POSITIVE) } else { 0.0 };
        let held = |table: &TableId| self.tables.get(table).map(|table| &table.lines);
        let mut lines = Vec::new();
        match telling {
            Telling::Nothing => {}
            Telling::Whole(table) => {
                let held = held(&table).into_iter().flatten();
                lines.extend(held.filter_map(|(&server, &weight)| Some((self.name(server)?, short(weight)))));
            }
            Telling::Changes(table) => {
                for &(server, before) in self.draft.lines.get(&table).into_iter().flatten() {
                    let weight = held(&table).and_then(|held| held.get(&server)).copied().unwrap_or_default();
                    lines.extend(self.name(server).filter(|_| weight != before).map(|n| (n, short(weight))));
                }
            }
        }
        lines
    }

    fn classes(&self, operations: &[u16]) -> Option<Vec<&'a str>> {
        let name = |at: &u16| self.classes.get(usize::from(*at)).map(String::as_str);
        (operations.len() < self.classes.len()).then(|| operations.iter().filter_map(name).collect())
    }
}

fn retry(further: RetryPolicy) -> u8 {
    match further {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// The message, and its lines as the protocol counts them.
fn encode(content: &Content, known: &Known<'_>) -> (Bytes, u64) {
    let mut groups: BTreeMap<Telling, Vec<u16>> = BTreeMap::new();
    for (at, telling) in content.tellings.iter().enumerate() {
        groups.entry(*telling).or_default().push(at as u16);
    }
    let mut parts: Vec<Push<'_>> = Vec::new();
    for (telling, operations) in &groups {
        let (table, whole) = match telling {
            Telling::Nothing => continue,
            Telling::Changes(table) => (*table, false),
            Telling::Whole(table) => (*table, true),
        };
        let lines = known.lines(*telling);
        let classes = known.classes(operations);
        for (at, piece) in lines.chunks(PART).enumerate() {
            let (classes, whole) = (classes.clone(), whole && at == 0);
            parts.push(Push { classes, whole, lines: Some(piece.to_vec()), ..Push::default() });
        }
        if whole && lines.is_empty() {
            let classes = classes.clone();
            parts.push(Push { classes, whole, lines: Some(Vec::new()), ..Push::default() });
        }
        let told = known.draft.gates.contains(&table) || known.draft.all_gates;
        let mut levels: Vec<(Gate, Vec<u16>)> = Vec::new();
        for &at in operations.iter().filter(|_| whole || told) {
            let Some(gate) = known.gate(table, at) else { continue };
            match levels.iter_mut().find(|(level, _)| *level == gate) {
                Some((_, at_level)) => at_level.push(at),
                None => levels.push((gate, vec![at])),
            }
        }
        for ((amount, further), at_level) in levels {
            let (level, retry) = (Some(amount.min(f64::from(f32::MAX)) as f32), Some(retry(further)));
            match parts.last_mut().filter(|_| at_level.len() == operations.len()) {
                Some(last) if last.classes == classes && last.level.is_none() => {
                    (last.level, last.retry) = (level, retry);
                }
                _ => {
                    let classes = known.classes(&at_level);
                    parts.push(Push { classes, level, retry, ..Push::default() });
                }
            }
        }
    }
    let named = |list: &[ServerId]| list.iter().filter_map(|&server| known.name(server)).collect::<Vec<_>>();
    let (out, back) = (named(&content.out), named(&content.back));
    if parts.is_empty() {
        parts.push(Push::default());
    }
    if let Some(last) = parts.last_mut() {
        (last.out, last.back, last.ticket) = (out, back, content.ticket);
    }
    let count = parts.len();
    let (mut bytes, mut counted) = (Vec::new(), 0);
    for (at, mut part) in parts.into_iter().enumerate() {
        part.more = at + 1 < count;
        part.write(&mut bytes);
        counted += part.counted();
    }
    (bytes.into(), counted)
}
