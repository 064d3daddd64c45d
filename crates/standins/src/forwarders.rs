//! Forwarders: obey the published tables, avoid after failures, keep tables when the stream breaks, and report.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use anyhow::Result;
use oorandom::Rand64;
use prost::Message as _;
use shalereel::interface::{Nanos, RetryPolicy};
use shalereel_group::wire::{epoch_of_version, RangesRequest, RangesResponse, RANGES_STREAM_PATH};
use shalereel_group::{LeaseClient, RangeRoute, RouteTenure};
use shalereel_reactor::{now, TimerId, Token, SECOND};
use shalereel_rpc::{Code, ConnId, Hub, Input, Status, StreamId};
use shalereel_sasp::{Body, Frames, Group, LbFlags, Member, MemberState, Message, ReturnCode, WeightEntry};
use shalereel_store::{Check, Delta, DeltaOutcome, Replica, ResyncBackoff, UNIT_WEIGHT};
use shalereel_xds::{
    decode_retries, leds, types, Assignment, ClientStream, ClusterLoad, EndpointLoad, Health, LoadReport,
    LoadReportConfig, NodeInfo, Update, Variant, ADS, DELTA_ADS, EXCLUDED, LRS,
};

use crate::plan::{Command, ForwarderPlan, ForwardersPlan, Pick, Ready};
use crate::trace::{Seen, Trace};
use crate::work::{path, Answer, Invocation};
use crate::{read_plan, say_ready, BOUNDS};

/// Name under which a supervisor serves routes.
const ROUTES: &str = "shalereel";

enum Key {
    Redial(u32),
    Report(u32, u64),
    Send(u32, ConnId, Vec<u8>),
    TryOver(u64),
    Ranges(u32, u64),
    /// A lost time is over: an update that came late, on that stream.
    Late(u32, ConnId, Box<Update>),
    /// A table that did not add up is asked for anew.
    Again(u32),
    Odd,
}

/// What an odd balancer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Odd {
    Asks,
    ReadsNothing,
    Dies,
    TakesAway,
    Flaps,
}

#[derive(Clone, Debug)]
struct Line {
    address: SocketAddr,
    weight: f64,
    /// Where the wheel stands.
    credit: f64,
}

#[derive(Debug, Default)]
struct Table {
    lines: Vec<Line>,
    told: BTreeMap<SocketAddr, (u64, Health)>,
    admitted: f64,
    bare: bool,
}

#[derive(Debug, Default)]
struct Met {
    succeeded: u64,
    errored: u64,
    timed: u64,
    time: Nanos,
    cpu: Option<f64>,
}

#[derive(Debug, Default)]
struct Sums {
    dropped: u64,
    met: BTreeMap<SocketAddr, Met>,
}

/// One invocation in hand.
struct Trial {
    forwarder: u32,
    caller: (ConnId, StreamId),
    inv: Invocation,
    until: Nanos,
    address: SocketAddr,
    begun: Nanos,
    at: Option<(ConnId, StreamId)>,
    timer: Option<TimerId>,
    further: RetryPolicy,
    answer: Option<Answer>,
}

struct Forwarder {
    plan: ForwarderPlan,
    listener: Token,
    callers: BTreeSet<ConnId>,
    alive: bool,
    stalled: bool,
    supervisor: usize,
    link: Option<(ConnId, StreamId, StreamId)>,
    /// Where it takes weights by SASP: what is not whole yet of a message.
    frames: Frames,
    up: bool,
    list: ClientStream,
    generation: u64,
    tables: Vec<Table>,
    shunned: BTreeSet<SocketAddr>,
    further: Vec<RetryPolicy>,
    fails: BTreeMap<SocketAddr, u32>,
    avoided: BTreeMap<SocketAddr, Nanos>,
    conns: BTreeMap<SocketAddr, ConnId>,
    open: BTreeMap<SocketAddr, u32>,
    sums: Vec<Sums>,
    reported: Nanos,
    interval: Nanos,
    turns_down: u32,
    /// By table, where lines come one by one; and which table an operation goes by.
    followers: BTreeMap<u16, Replica>,
    collections: Vec<Option<u16>>,
    /// The epoch of its tables: none lower is taken.
    epoch: u64,
    /// Key ranges: the stream, what is held, where the owners are, of how many, and the timer's generation.
    hold: Option<StreamId>,
    tenant: LeaseClient,
    owners: BTreeMap<u32, SocketAddr>,
    ranges: u32,
    tenure: Nanos,
    held: u64,
}

struct Forwarders {
    hub: Hub<u32, Key>,
    plan: ForwardersPlan,
    forwarders: BTreeMap<u32, Forwarder>,
    /// Whose connection it is, and to which server.
    links: BTreeMap<ConnId, u32>,
    servers: BTreeMap<ConnId, (u32, SocketAddr)>,
    answered: BTreeSet<ConnId>,
    calls: BTreeMap<(ConnId, StreamId), u32>,
    trials: BTreeMap<u64, Trial>,
    by_call: BTreeMap<(ConnId, StreamId), u64>,
    by_caller: BTreeMap<(ConnId, StreamId), u64>,
    ids: BTreeMap<SocketAddr, u32>,
    zones: BTreeMap<SocketAddr, String>,
    cut: Vec<String>,
    late: Nanos,
    lossy: (f64, Nanos),
    ghost: bool,
    odd: BTreeMap<ConnId, Odd>,
    oddity: u32,
    last: u64,
    chance: Rand64,
    trace: Trace,
}

pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(BOUNDS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (ForwardersPlan, _) = read_plan(&mut hub)?;
    let trace = Trace::new(&plan.trace)?;
    let mut addresses = Vec::new();
    let mut all = Forwarders {
        forwarders: BTreeMap::new(),
        links: BTreeMap::new(),
        servers: BTreeMap::new(),
        answered: BTreeSet::new(),
        calls: BTreeMap::new(),
        trials: BTreeMap::new(),
        by_call: BTreeMap::new(),
        by_caller: BTreeMap::new(),
        ids: plan.servers.iter().map(|server| (server.address, server.server)).collect(),
        zones: plan.servers.iter().map(|server| (server.address, server.zone.clone())).collect(),
        cut: Vec::new(),
        late: 0,
        lossy: (0.0, 0),
        ghost: false,
        odd: BTreeMap::new(),
        oddity: 0,
        last: 0,
        chance: Rand64::new(plan.seed.into()),
        trace,
        hub,
        plan,
    };
    let standing: Vec<u32> = all.plan.servers.iter().map(|server| server.server).collect();
    for (at, mut told) in all.plan.forwarders.clone().into_iter().enumerate() {
        let (listener, address) = all.hub.listen(told.address, told.forwarder)?;
        told.address = address;
        addresses.push(address);
        all.start(told, listener, at, &standing);
    }
    say_ready(&Ready { addresses })?;
    let mut inputs = rest;
    loop {
        for input in inputs {
            if !all.take(input)? {
                return all.trace.finish();
            }
        }
        inputs = all.hub.wait(None)?;
    }
}

impl Forwarder {
    fn lines(&self, operation: usize) -> impl Iterator<Item = &Line> {
        self.tables[operation].lines.iter().filter(|line| !self.shunned.contains(&line.address))
    }
}

impl Forwarders {
    /// A forwarder with nothing but a standing table drawn by chance in its zone.
    fn start(&mut self, told: ForwarderPlan, listener: Token, supervisor: usize, standing: &[u32]) {
        let near =
            |server: &&crate::ServerPlan| standing.contains(&server.server) && server.zone == told.zone;
        let mut drawn: Vec<SocketAddr> = self.plan.servers.iter().filter(near).map(|s| s.address).collect();
        if drawn.len() < 3 {
            let listed = self.plan.servers.iter().filter(|server| standing.contains(&server.server));
            drawn = listed.map(|server| server.address).collect();
        }
        while drawn.len() > self.plan.standing {
            drawn.swap_remove(self.chance.rand_range(0..drawn.len() as u64) as usize);
        }
        let lines = || drawn.iter().map(|&address| Line { address, weight: 1.0, credit: 0.0 }).collect();
        let count = self.plan.operations.len();
        let variant = if self.plan.incremental || self.plan.lines {
            Variant::Incremental
        } else {
            Variant::StateOfTheWorld
        };
        let node = NodeInfo {
            id: format!("forwarder-{}", told.forwarder),
            zone: told.zone.clone(),
            rate: told.rate,
            is_new: true,
            supports_lines: self.plan.lines,
        };
        let mut list = ClientStream::new(variant, node);
        let names = self.plan.operations.iter().map(|operation| operation.name.clone());
        list.subscribe(types::ASSIGNMENT, names.chain([EXCLUDED.to_owned()]));
        list.subscribe(types::ROUTES, [ROUTES.to_owned()]);
        let id = told.forwarder;
        self.last += 1;
        let forwarder = Forwarder {
            plan: told,
            listener,
            callers: BTreeSet::new(),
            alive: true,
            stalled: false,
            supervisor: supervisor % self.plan.supervisors.len().max(1),
            link: None,
            frames: Frames::new(4 << 20),
            up: false,
            list,
            generation: self.last,
            tables: (0..count).map(|_| Table { lines: lines(), admitted: 1.0, ..Table::default() }).collect(),
            shunned: BTreeSet::new(),
            further: vec![RetryPolicy::Never; count],
            fails: BTreeMap::new(),
            avoided: BTreeMap::new(),
            conns: BTreeMap::new(),
            open: BTreeMap::new(),
            sums: (0..count).map(|_| Sums::default()).collect(),
            reported: now(),
            interval: 0,
            turns_down: 0,
            followers: BTreeMap::new(),
            collections: vec![None; count],
            epoch: 0,
            hold: None,
            tenant: LeaseClient::new(self.plan.unfenced),
            owners: BTreeMap::new(),
            ranges: 0,
            tenure: 0,
            held: 0,
        };
        self.forwarders.insert(id, forwarder);
        self.dial(id);
    }

    fn take(&mut self, input: Input<u32, Key>) -> Result<bool> {
        match input {
            Input::Opened { conn, listener: at } => {
                if let Some(forwarder) = self.forwarders.get_mut(&at) {
                    forwarder.callers.insert(conn);
                    self.hub.set_paused(conn, forwarder.stalled);
                }
            }
            Input::Call { conn, stream, .. } => {
                let owner = self.forwarders.values().find(|forwarder| forwarder.callers.contains(&conn));
                if let Some(owner) = owner {
                    self.calls.insert((conn, stream), owner.plan.forwarder);
                }
            }
            Input::Message { conn, stream, message } => {
                if let Some(&forwarder) = self.links.get(&conn) {
                    self.heard(forwarder, conn, stream, &message);
                } else if let Some(&trial) = self.by_call.get(&(conn, stream)) {
                    if let Some(trial) = self.trials.get_mut(&trial) {
                        trial.answer = Answer::decode(message).ok();
                    }
                } else if let Some(&forwarder) = self.calls.get(&(conn, stream)) {
                    match Invocation::decode(message) {
                        Ok(inv) => self.asked(forwarder, (conn, stream), inv),
                        Err(error) => {
                            self.hub.finish(
                                conn,
                                stream,
                                Status::new(Code::InvalidArgument, error.to_string()),
                            );
                        }
                    }
                }
            }
            Input::Bytes { conn, bytes } => {
                if let Some(&id) = self.links.get(&conn) {
                    self.weights(id, &bytes);
                }
            }
            Input::HalfClosed { .. } | Input::Woken | Input::Reload => {}
            Input::Ended { conn, stream, status } => self.ended(conn, stream, &status),
            Input::Closed { conn, reason } => self.closed(conn, &reason.to_string()),
            Input::Timer(Key::Redial(forwarder)) => self.dial(forwarder),
            Input::Timer(Key::Report(forwarder, generation)) => self.report(forwarder, generation),
            Input::Timer(Key::Send(forwarder, conn, message)) => {
                let link = self.forwarders.get(&forwarder).and_then(|forwarder| forwarder.link);
                if let Some((_, _, load)) = link.filter(|link| link.0 == conn) {
                    self.hub.send(conn, load, &message);
                }
            }
            Input::Timer(Key::TryOver(trial)) => {
                if let Some(held) = self.trials.get(&trial) {
                    if let Some((conn, stream)) = held.at {
                        self.hub.cancel(conn, stream);
                        self.by_call.remove(&(conn, stream));
                    }
                    self.tried(trial, Err((Status::new(Code::DeadlineExceeded, "no answer in time"), false)));
                }
            }
            Input::Timer(Key::Ranges(forwarder, generation)) => {
                let current = self.forwarders.get(&forwarder).is_some_and(|f| f.held == generation);
                if current {
                    self.ask_ranges(forwarder);
                }
            }
            Input::Timer(Key::Late(id, conn, update)) => {
                let link = self.forwarders.get(&id).and_then(|forwarder| forwarder.link);
                if let Some((_, stream, _)) = link.filter(|link| link.0 == conn) {
                    self.lines(id, conn, stream, &update, 0);
                }
            }
            Input::Timer(Key::Again(id)) => self.ask_again(id),
            Input::Timer(Key::Odd) => self.be_odd(),
            Input::Line(line) => self.command(serde_json::from_str(&line)?),
            Input::EndOfLines | Input::Stop => return Ok(false),
        }
        Ok(true)
    }

    // The supervisor's side.

    /// A balancer says how it wants to be served and registers all servers, a group an operation.
    fn dial_sasp(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|f| f.alive && f.link.is_none()) else {
            return;
        };
        let Some(&address) = self.plan.sasp.get(forwarder.supervisor) else { return };
        let Ok(conn) = self.hub.dial_plain(address) else { return self.redial(id) };
        forwarder.link = Some((conn, 0, 0));
        forwarder.frames = Frames::new(4 << 20);
        self.links.insert(conn, id);
        let balancer = format!("balancer-{id}").into_bytes();
        let flags = LbFlags { push: true, trust: false, no_change: true };
        let members: Vec<Member> =
            self.plan.servers.iter().map(|server| Member::tcp(server.address)).collect();
        let group = |operation: &crate::OperationPlan| {
            let group = Group { balancer: balancer.clone(), name: operation.name.clone().into_bytes() };
            (group, members.clone())
        };
        let groups = self.plan.operations.iter().map(group).collect();
        let state = Body::SetLbState { balancer: balancer.clone(), health: 0, flags };
        let register = Body::Register { from_balancer: true, groups };
        for (id, body) in [state, register].into_iter().enumerate() {
            self.hub.write(conn, &Message { id: id as u32, body }.encode());
        }
        self.hub.set_paused(conn, forwarder.stalled);
    }

    fn weights(&mut self, id: u32, bytes: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        forwarder.frames.push(bytes);
        loop {
            let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
            match forwarder.frames.take() {
                Ok(None) => return,
                Err(error) => {
                    eprintln!("balancer {id}: {error}");
                    return self.lost(id);
                }
                Ok(Some(Message { body: Body::Registered(ReturnCode::Successful), .. })) => {
                    if !std::mem::replace(&mut forwarder.up, true) {
                        let supervisor = forwarder.supervisor as u32;
                        self.trace.put(&Seen::Joined { at: now(), forwarder: id, supervisor });
                    }
                }
                Ok(Some(Message { body: Body::SendWeights { groups }, .. })) => {
                    self.take_weights(id, &groups, bytes);
                }
                Ok(Some(Message { body: Body::LbStateSet(ReturnCode::Successful), .. })) => {}
                Ok(Some(other)) => eprintln!("balancer {id}: {:?}", other.body),
            }
        }
    }

    /// Weights of some members: what is not named stays as it was.
    fn take_weights(&mut self, id: u32, groups: &[(Group, Vec<WeightEntry>)], bytes: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let mut changed = 0;
        for (group, entries) in groups {
            let named = |operation: &crate::OperationPlan| operation.name.as_bytes() == group.name;
            let Some(at) = self.plan.operations.iter().position(named) else { continue };
            let table = &mut forwarder.tables[at];
            // The first weights replace the standing table.
            if table.told.is_empty() {
                table.lines.clear();
            }
            changed = changed.max(entries.len());
            for entry in entries {
                let address = entry.member.socket();
                table.told.insert(address, (entry.weight.into(), Health::Ready));
                let weight = if entry.quiesce { 0.0 } else { f64::from(entry.weight) };
                let old = table.lines.iter_mut().find(|line| line.address == address);
                match old {
                    Some(line) => line.weight = weight,
                    None => table.lines.push(Line { address, weight, credit: 0.0 }),
                }
            }
            if !self.plan.ignore_drains {
                table.lines.retain(|line| line.weight > 0.0);
            }
        }
        let supervisor = forwarder.supervisor as u32;
        // SASP has no room for the time of an order; what waited shows at the other front.
        let at = now();
        let (lines, bytes) = (changed as u32, bytes.len() as u32);
        self.trace.put(&Seen::Told { at, forwarder: id, supervisor, lines, ordered: at, epoch: 0, bytes });
        self.close_unused(id);
        self.look_for_lines(id);
    }

    fn dial(&mut self, id: u32) {
        if self.forwarders.get(&id).is_some_and(|forwarder| forwarder.plan.sasp) {
            return self.dial_sasp(id);
        }
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|f| f.alive && f.link.is_none()) else {
            return;
        };
        let Some(&address) = self.plan.supervisors.get(forwarder.supervisor) else { return };
        let ads = if self.plan.incremental || self.plan.lines { DELTA_ADS } else { ADS };
        let Ok(conn) = self.hub.dial(address) else { return self.redial(id) };
        let (Some(stream), Some(load)) = (self.hub.call(conn, ads, None), self.hub.call(conn, LRS, None))
        else {
            return;
        };
        forwarder.link = Some((conn, stream, load));
        forwarder.hold = self.plan.keyed.and_then(|_| self.hub.call(conn, RANGES_STREAM_PATH, None));
        forwarder.tenant.stream_reopened();
        forwarder.up = false;
        self.links.insert(conn, id);
        let held = |(&table, follower): (&u16, &Replica)| {
            Some((leds::collection(table), follower.verified()?.to_string()))
        };
        let held = forwarder.followers.iter().filter_map(held).collect();
        forwarder.list.set_resource_versions(types::LINE, held);
        forwarder.followers.values_mut().for_each(Replica::stream_reopened);
        for message in forwarder.list.reopen() {
            self.hub.send(conn, stream, &message);
        }
        let report = LoadReport { node: Some(forwarder.list.node.clone()), clusters: Vec::new() };
        self.hub.send(conn, load, &report.encode());
        self.hub.set_paused(conn, forwarder.stalled);
        self.ask_ranges(id);
    }

    /// Asks for its key ranges, and again before what it holds ends.
    fn ask_ranges(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|forwarder| forwarder.alive) else {
            return;
        };
        let Some(((conn, ..), stream)) = forwarder.link.zip(forwarder.hold) else { return };
        let time = now();
        let request = forwarder.tenant.request(time);
        self.hub.send(
            conn,
            stream,
            &RangesRequest {
                sent_at: time,
                last_response_read: request.last_response_read,
                held: request.held,
            }
            .encode_to_vec(),
        );
        forwarder.held += 1;
        let wait = if forwarder.tenure > 0 { forwarder.tenure / 4 } else { self.plan.redial.0 };
        self.hub.set_timer(time + wait, Key::Ranges(id, forwarder.held));
    }

    fn ranges(&mut self, id: u32, message: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Ok(answer) = RangesResponse::decode(message) else { return };
        (forwarder.ranges, forwarder.tenure) = (answer.range_count, answer.tenure);
        let mut lines = Vec::new();
        for line in &answer.routes {
            if let Ok(address) = line.address.parse() {
                forwarder.owners.insert(line.owner, address);
                lines.push(RangeRoute { range: line.range, owner: line.owner, epoch: line.epoch });
            }
        }
        let tenure = RouteTenure { requested_at: answer.request_sent_at, duration: answer.tenure };
        let tenure = (answer.request_sent_at > 0).then_some(tenure);
        let lines = (!answer.routes_omitted).then_some(&lines[..]);
        if forwarder.tenant.handle_response(answer.sequence, tenure, lines) {
            self.ask_ranges(id);
        }
    }

    /// Another supervisor, a little later.
    fn redial(&mut self, id: u32) {
        let (least, most) = self.plan.redial;
        let wait = least + (self.chance.rand_float() * most.saturating_sub(least) as f64) as Nanos;
        if let Some(forwarder) = self.forwarders.get_mut(&id) {
            forwarder.supervisor = (forwarder.supervisor + 1) % self.plan.supervisors.len().max(1);
            self.hub.set_timer(now() + wait, Key::Redial(id));
        }
    }

    fn lost(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Some((conn, ..)) = forwarder.link.take() else { return };
        self.links.remove(&conn);
        if std::mem::replace(&mut forwarder.up, false) {
            self.trace.put(&Seen::Left { at: now(), forwarder: id });
        }
        forwarder.list.node.is_new = false;
        if forwarder.plan.sasp {
            // The next supervisor's first weights replace what is held.
            forwarder.tables.iter_mut().for_each(|table| table.told.clear());
        }
        self.hub.close(conn);
        self.redial(id);
    }

    fn heard(&mut self, id: u32, conn: ConnId, stream: StreamId, message: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Some((_, discovery, load)) = forwarder.link.filter(|link| link.0 == conn) else { return };
        if stream == load {
            if let Ok(answer) = LoadReportConfig::decode(message) {
                forwarder.interval = answer.interval.max(SECOND / 100);
                self.last += 1;
                forwarder.generation = self.last;
                self.hub.set_timer(now() + forwarder.interval, Key::Report(id, forwarder.generation));
                if !std::mem::replace(&mut forwarder.up, true) {
                    let supervisor = forwarder.supervisor as u32;
                    self.trace.put(&Seen::Joined { at: now(), forwarder: id, supervisor });
                }
            }
        } else if Some(stream) == forwarder.hold {
            self.ranges(id, message);
        } else if stream == discovery {
            match forwarder.list.handle(message) {
                Ok(update) if update.type_url == types::LINE => {
                    self.disturb(id, conn, stream, update, message.len());
                }
                Ok(update) => self.update(id, conn, stream, &update, message.len()),
                Err(status) => eprintln!("forwarder {id}: {status}"),
            }
        }
    }

    /// A link that loses, doubles and overtakes: what comes of it is as if nothing were known of that.
    fn disturb(&mut self, id: u32, conn: ConnId, stream: StreamId, update: Update, bytes: usize) {
        let (part, delay) = self.lossy;
        let drawn = if part > 0.0 { self.chance.rand_float() / part } else { f64::INFINITY };
        if drawn < 2.5 {
            self.trace.put(&Seen::Disturbed { at: now(), forwarder: id });
        }
        match drawn {
            drawn if drawn < 1.0 => {}
            drawn if drawn < 2.0 => {
                let at = now() + (delay as f64 * self.chance.rand_float()) as Nanos;
                self.hub.set_timer(at, Key::Late(id, conn, Box::new(update)));
            }
            drawn if drawn < 2.5 => {
                self.lines(id, conn, stream, &update, bytes);
                self.lines(id, conn, stream, &update, 0);
            }
            _ => self.lines(id, conn, stream, &update, bytes),
        }
    }

    /// Lines of one table, and what they add up to.
    fn lines(&mut self, id: u32, conn: ConnId, stream: StreamId, update: &Update, bytes: usize) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if forwarder.turns_down > 0 {
            forwarder.turns_down -= 1;
            let answer = forwarder.list.nack(update, "told to turn it down".into());
            return self.hub.send(conn, stream, &answer);
        }
        let (epoch, fenced) = (epoch_of_version(&update.version), update.version.contains('/'));
        let known = forwarder.collections.iter().flatten().next().copied();
        let read = read_lines(update, known);
        let delta = match read {
            _ if fenced && epoch < forwarder.epoch && !self.plan.unfenced => Err(Status::new(
                Code::InvalidArgument,
                format!("epoch {epoch} is older than {}", forwarder.epoch),
            )),
            read => read,
        };
        let (table, delta) = match delta {
            Ok(read) => read,
            Err(status) => {
                let answer = forwarder.list.nack(update, status.message);
                return self.hub.send(conn, stream, &answer);
            }
        };
        forwarder.epoch = if fenced { epoch } else { forwarder.epoch };
        let Some(follower) = forwarder.followers.get_mut(&table) else { return };
        let heard = follower.receive(now(), &delta);
        let due = follower.resync_due();
        if matches!(heard, DeltaOutcome::Applied | DeltaOutcome::Stale) {
            let answer = forwarder.list.ack(update);
            self.hub.send(conn, stream, &answer);
        }
        self.remind(id, due);
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let (_, ordered) = update.stamp().unwrap_or_default();
        let (supervisor, lines) = (forwarder.supervisor as u32, delta.line_count() as u32);
        let (epoch, bytes) = (forwarder.epoch, bytes as u32);
        self.trace.put(&Seen::Told { at: now(), forwarder: id, supervisor, lines, ordered, epoch, bytes });
        self.follow(id, table);
    }

    fn remind(&mut self, id: u32, due: Option<Nanos>) {
        if let Some(due) = due {
            self.hub.set_timer(due, Key::Again(id));
        }
    }

    fn ask_again(&mut self, id: u32) {
        let time = now();
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|f| f.alive && !f.stalled) else { return };
        let Some((conn, stream, _)) = forwarder.link else { return };
        let mut asked = BTreeMap::new();
        for (&table, follower) in &mut forwarder.followers {
            if follower.resync_due().is_some_and(|due| due <= time) {
                let brings = follower.resync(time).map(|check| check.to_string());
                asked.insert(leds::collection(table), brings);
            }
        }
        if asked.is_empty() {
            return;
        }
        let due = forwarder.followers.values().filter_map(Replica::resync_due).min();
        let message = forwarder.list.resubscribe(types::LINE, asked);
        self.hub.send(conn, stream, &message);
        self.trace.put(&Seen::AskedAnew { at: time, forwarder: id });
        self.remind(id, due);
    }

    /// Puts the lines of a table into force for the operations that go by it.
    fn follow(&mut self, id: u32, table: u16) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Some(follower) = forwarder.followers.get(&table).filter(|follower| !follower.lines().is_empty())
        else {
            return;
        };
        for (held, of) in forwarder.tables.iter_mut().zip(&forwarder.collections) {
            if *of != Some(table) {
                continue;
            }
            let credits: BTreeMap<SocketAddr, f64> =
                held.lines.iter().map(|line| (line.address, line.credit)).collect();
            let old = std::mem::take(&mut held.lines);
            held.lines.extend(follower.usable_lines().map(|(_, line)| Line {
                address: line.address,
                weight: f64::from(line.weight) / UNIT_WEIGHT,
                credit: credits.get(&line.address).copied().unwrap_or(0.0),
            }));
            if self.plan.ignore_drains {
                let known: BTreeSet<SocketAddr> = held.lines.iter().map(|line| line.address).collect();
                held.lines.extend(old.into_iter().filter(|line| !known.contains(&line.address)));
            }
        }
        self.close_unused(id);
        self.look_for_lines(id);
    }

    /// An operation's lines are this collection: it is asked for unless it is already.
    fn collect(
        &mut self,
        id: u32,
        conn: ConnId,
        stream: StreamId,
        at: usize,
        collection: &str,
    ) -> Result<(), Status> {
        let Some(table) = leds::table_of(collection) else {
            return Err(Status::new(
                Code::InvalidArgument,
                format!("{collection:?} is no collection of ours"),
            ));
        };
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return Ok(()) };
        forwarder.collections[at] = Some(table);
        let used: BTreeSet<u16> = forwarder.collections.iter().flatten().copied().collect();
        let left: Vec<u16> =
            forwarder.followers.keys().filter(|table| !used.contains(table)).copied().collect();
        for table in left {
            forwarder.followers.remove(&table);
            forwarder.list.unsubscribe(types::LINE, &leds::collection(table));
        }
        if let Entry::Vacant(vacant) = forwarder.followers.entry(table) {
            let seed = self.plan.seed ^ u64::from(id) << 16 ^ u64::from(table);
            vacant.insert(Replica::new(ResyncBackoff::new(self.plan.redial.0, seed)));
            let message =
                forwarder.list.resubscribe(types::LINE, BTreeMap::from([(collection.to_owned(), None)]));
            self.hub.send(conn, stream, &message);
        }
        self.follow(id, table);
        Ok(())
    }

    fn update(&mut self, id: u32, conn: ConnId, stream: StreamId, update: &Update, bytes: usize) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if forwarder.turns_down > 0 {
            forwarder.turns_down -= 1;
            let answer = forwarder.list.nack(update, "told to turn it down".into());
            return self.hub.send(conn, stream, &answer);
        }
        let epoch = epoch_of_version(&update.version);
        if epoch < forwarder.epoch && update.version.contains('/') && !self.plan.unfenced {
            let why = format!("epoch {epoch} is older than {} that is held", forwarder.epoch);
            let answer = forwarder.list.nack(update, why);
            return self.hub.send(conn, stream, &answer);
        }
        forwarder.epoch = if update.version.contains('/') { epoch } else { forwarder.epoch };
        let result = match update.type_url.as_str() {
            types::ROUTES => update.resources.iter().try_for_each(|any| {
                for (name, further) in decode_retries(any)? {
                    if let Some(at) = self.plan.operations.iter().position(|operation| operation.name == name)
                    {
                        forwarder.further[at] = further;
                    }
                }
                Ok::<(), Status>(())
            }),
            _ => self.assign(id, conn, stream, update, bytes),
        };
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let answer = match result {
            Ok(()) => forwarder.list.ack(update),
            Err(status) => forwarder.list.nack(update, status.message),
        };
        self.hub.send(conn, stream, &answer);
        self.look_for_lines(id);
    }

    fn assign(
        &mut self,
        id: u32,
        conn: ConnId,
        stream: StreamId,
        update: &Update,
        bytes: usize,
    ) -> Result<(), Status> {
        // All of an update or nothing of it.
        let tables: Vec<Assignment> =
            update.resources.iter().map(Assignment::decode).collect::<Result<_, _>>()?;
        let collections: Vec<Option<String>> =
            update.resources.iter().map(leds::collection_of).collect::<Result<_, _>>()?;
        let mut changed = 0;
        for (told, collection) in tables.into_iter().zip(collections) {
            let Some(forwarder) = self.forwarders.get_mut(&id) else { return Ok(()) };
            if told.cluster == EXCLUDED {
                let fresh: BTreeSet<SocketAddr> = told.endpoints.iter().map(|row| row.address).collect();
                changed = changed.max(fresh.symmetric_difference(&forwarder.shunned).count());
                if !self.plan.ignore_drains {
                    forwarder.shunned = fresh;
                }
                continue;
            }
            let Some(at) = self.plan.operations.iter().position(|operation| operation.name == told.cluster)
            else {
                continue;
            };
            let table = &mut forwarder.tables[at];
            if let Some(collection) = collection {
                table.admitted = told.admitted;
                self.collect(id, conn, stream, at, &collection)?;
                continue;
            }
            let fresh: BTreeMap<SocketAddr, (u64, Health)> =
                told.endpoints.iter().map(|row| (row.address, (row.weight.to_bits(), row.health))).collect();
            let differs = |key: &&SocketAddr| fresh.get(*key) != table.told.get(*key);
            let keys: BTreeSet<&SocketAddr> = fresh.keys().chain(table.told.keys()).collect();
            changed = changed.max(keys.iter().filter(|key| differs(key)).count());
            table.told = fresh;
            let credits: BTreeMap<SocketAddr, f64> =
                table.lines.iter().map(|line| (line.address, line.credit)).collect();
            let ready = told.endpoints.iter().filter(|row| row.health == Health::Ready);
            let mut lines: Vec<Line> = ready
                .map(|row| Line {
                    address: row.address,
                    weight: row.weight,
                    credit: credits.get(&row.address).copied().unwrap_or(0.0),
                })
                .collect();
            if self.plan.ignore_drains {
                let kept = table
                    .lines
                    .iter()
                    .filter(|old| !told.endpoints.iter().any(|row| row.address == old.address));
                lines.extend(kept.cloned());
            }
            table.lines = lines;
            table.admitted = told.admitted;
        }
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return Ok(()) };
        let (_, ordered) = update.stamp().unwrap_or_default();
        let supervisor = forwarder.supervisor as u32;
        let (lines, epoch, bytes) = (changed as u32, forwarder.epoch, bytes as u32);
        self.trace.put(&Seen::Told { at: now(), forwarder: id, supervisor, lines, ordered, epoch, bytes });
        self.close_unused(id);
        Ok(())
    }

    /// Connections to servers that left all tables are closed, once nothing runs on them.
    fn close_unused(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let held: BTreeSet<SocketAddr> =
            forwarder.tables.iter().flat_map(|table| table.lines.iter().map(|line| line.address)).collect();
        let idle = |address: &SocketAddr| {
            !held.contains(address) && forwarder.open.get(address).copied().unwrap_or(0) == 0
        };
        let unused: Vec<SocketAddr> =
            forwarder.conns.keys().filter(|address| idle(address)).copied().collect();
        for address in unused {
            if let Some(conn) = forwarder.conns.remove(&address) {
                self.servers.remove(&conn);
                self.hub.close(conn);
            }
        }
    }

    fn look_for_lines(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        for at in 0..forwarder.tables.len() {
            let bare = forwarder.lines(at).next().is_none();
            if bare != std::mem::replace(&mut forwarder.tables[at].bare, bare) {
                self.trace.put(&Seen::Bare { at: now(), forwarder: id, operation: at as u16, on: bare });
            }
        }
    }

    fn report(&mut self, id: u32, generation: u64) {
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|f| f.generation == generation) else {
            return;
        };
        self.hub.set_timer(now() + forwarder.interval, Key::Report(id, generation));
        let Some((conn, _, load)) = forwarder.link.filter(|_| !forwarder.stalled) else { return };
        let interval = now().saturating_sub(std::mem::replace(&mut forwarder.reported, now()));
        let mut clusters = Vec::new();
        for (operation, sums) in self.plan.operations.iter().zip(&mut forwarder.sums) {
            let sums = std::mem::take(sums);
            let mut endpoints: Vec<EndpointLoad> = sums
                .met
                .into_iter()
                .map(|(address, met)| EndpointLoad {
                    address,
                    zone: self.zones.get(&address).cloned().unwrap_or_default(),
                    successes: met.succeeded,
                    failures: met.errored,
                    timed_responses: met.timed,
                    response_time_sum: met.time,
                    metrics: met.cpu.map(|cpu| ("cpu".to_owned(), cpu)).into_iter().collect(),
                })
                .collect();
            if self.ghost {
                // A server that never was.
                let address = SocketAddr::from(([127, 9, 9, 9], 9));
                let zone = forwarder.plan.zone.clone();
                let (timed, time, metrics) = (0, 0, BTreeMap::new());
                endpoints.push(EndpointLoad {
                    address,
                    zone,
                    successes: 0,
                    failures: 50,
                    timed_responses: timed,
                    response_time_sum: time,
                    metrics,
                });
            }
            clusters.push(ClusterLoad {
                cluster: operation.name.clone(),
                interval,
                issued: endpoints.iter().map(|load| load.successes + load.failures).sum(),
                failures: endpoints.iter().map(|load| load.failures).sum(),
                dropped: sums.dropped,
                endpoints,
            });
        }
        let message = LoadReport { node: None, clusters }.encode();
        if self.late > 0 {
            self.hub.set_timer(now() + self.late, Key::Send(id, conn, message));
        } else {
            self.hub.send(conn, load, &message);
        }
    }

    // The callers' and servers' side.

    fn asked(&mut self, id: u32, caller: (ConnId, StreamId), inv: Invocation) {
        let at = inv.operation as usize;
        let Some(operation) = self.plan.operations.get(at) else {
            return self.hub.finish(
                caller.0,
                caller.1,
                Status::new(Code::Unimplemented, "no such operation"),
            );
        };
        let until = now() + operation.integration_timeout;
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if self.chance.rand_float() >= forwarder.tables[at].admitted {
            forwarder.sums[at].dropped += 1;
            let status = Status::new(Code::ResourceExhausted, "rate-limited by the operation's level");
            return self.hub.finish(caller.0, caller.1, status);
        }
        // By key: to the range's one owner, by a line that is still good, or nowhere.
        let by_key = self.plan.keyed == Some(at);
        let range = (inv.inv.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32 % forwarder.ranges.max(1);
        let line = forwarder.tenant.route(now(), range).filter(|_| by_key);
        let owner = line.and_then(|line| forwarder.owners.get(&line.owner).copied());
        let picked = if by_key { owner } else { self.pick(id, at, None) };
        let Some(address) = picked else {
            if let Some(forwarder) = self.forwarders.get_mut(&id) {
                forwarder.sums[at].dropped += 1;
            }
            return self.hub.finish(caller.0, caller.1, Status::new(Code::NotFound, "no line to pick"));
        };
        self.last += 1;
        let trial = Trial {
            forwarder: id,
            caller,
            inv: Invocation {
                forwarder: id,
                further: 0,
                range,
                epoch: line.map_or(0, |line| line.epoch),
                ..inv
            },
            until,
            address,
            begun: now(),
            at: None,
            timer: None,
            further: RetryPolicy::Never,
            answer: None,
        };
        self.trials.insert(self.last, trial);
        self.by_caller.insert(caller, self.last);
        self.attempt(self.last);
    }

    fn pick(&mut self, id: u32, at: usize, not: Option<SocketAddr>) -> Option<SocketAddr> {
        let time = now();
        let pick = self.plan.pick;
        let forwarder = self.forwarders.get_mut(&id)?;
        forwarder.avoided.retain(|_, until| *until > time);
        let lines: Vec<Line> =
            forwarder.lines(at).filter(|line| Some(line.address) != not).cloned().collect();
        let sound: Vec<&Line> =
            lines.iter().filter(|line| !forwarder.avoided.contains_key(&line.address)).collect();
        let from: Vec<&Line> = if sound.is_empty() { lines.iter().collect() } else { sound };
        let total: f64 = from.iter().map(|line| line.weight).sum();
        let chance = &mut self.chance;
        let mut draw = || {
            let mut left = chance.rand_float() * total;
            let drawn = from.iter().find(|line| {
                left -= line.weight;
                left <= 0.0
            });
            drawn.or(from.last()).map(|line| line.address)
        };
        match pick {
            Pick::Lottery => draw(),
            Pick::Pair => {
                let (one, other) = (draw()?, draw()?);
                let open = |address| forwarder.open.get(&address).copied().unwrap_or(0);
                Some(if open(other) < open(one) { other } else { one })
            }
            Pick::Wheel => {
                let chosen: BTreeSet<SocketAddr> = from.iter().map(|line| line.address).collect();
                let mut best: Option<&mut Line> = None;
                for line in forwarder.tables[at].lines.iter_mut().filter(|l| chosen.contains(&l.address)) {
                    line.credit += line.weight;
                    if best.as_ref().is_none_or(|best| line.credit > best.credit) {
                        best = Some(line);
                    }
                }
                best.map(|line| {
                    line.credit -= total;
                    line.address
                })
            }
        }
    }

    fn attempt(&mut self, number: u64) {
        let Some(trial) = self.trials.get_mut(&number) else { return };
        let (id, address, at) = (trial.forwarder, trial.address, trial.inv.operation as usize);
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        trial.further = if trial.inv.epoch > 0 { RetryPolicy::Never } else { forwarder.further[at] };
        trial.begun = now();
        trial.answer = None;
        *forwarder.open.entry(address).or_default() += 1;
        let tries = trial.inv.further;
        let followed = match trial.further {
            RetryPolicy::Once => tries < 1,
            RetryPolicy::Twice => tries < 2,
            _ => false,
        };
        let objective = self.plan.operations[at].latency_objective as f64;
        let wait = (objective * self.plan.first_wait) as Nanos;
        let until = if followed { trial.until.min(now() + wait) } else { trial.until };
        let server = self.ids.get(&address).copied().unwrap_or(u32::MAX);
        let (inv, further) = (trial.inv.inv, trial.inv.further);
        self.trace.put(&Seen::Tried { at: now(), forwarder: id, server, inv, further });
        trial.timer = Some(self.hub.set_timer(until, Key::TryOver(number)));
        // Across a cut nothing passes: the try ends by its time alone.
        let far = self.zones.get(&address).is_some_and(|zone| {
            *zone != forwarder.plan.zone
                && (self.cut.contains(zone) || self.cut.contains(&forwarder.plan.zone))
        });
        if far {
            return;
        }
        let conn = match forwarder.conns.get(&address) {
            Some(&conn) => Some(conn),
            None => self.hub.dial(address).ok(),
        };
        let call = conn.and_then(|conn| {
            forwarder.conns.insert(address, conn);
            self.servers.insert(conn, (id, address));
            let timeout = Some(until.saturating_sub(now()));
            Some((conn, self.hub.call(conn, &path(&self.plan.operations[at].name), timeout)?))
        });
        let Some((conn, stream)) = call else {
            forwarder.conns.remove(&address);
            return self.tried(number, Err((Status::new(Code::Unavailable, "no connection"), true)));
        };
        self.hub.send(conn, stream, &trial.inv.encode_to_vec());
        self.hub.finish(conn, stream, Status::OK);
        trial.at = Some((conn, stream));
        self.by_call.insert((conn, stream), number);
    }

    fn ended(&mut self, conn: ConnId, stream: StreamId, status: &Status) {
        if let Some(&id) = self.links.get(&conn) {
            return self.lost(id);
        }
        self.answered.insert(conn);
        if let Some(number) = self.by_call.remove(&(conn, stream)) {
            let result = match status.code {
                Code::Ok => Ok(()),
                // A full queue or a draining server says so before anything ran.
                Code::ResourceExhausted => Err((status.clone(), true)),
                _ => Err((status.clone(), false)),
            };
            return self.tried(number, result);
        }
        self.calls.remove(&(conn, stream));
        // The caller has given it up.
        if let Some(number) = self.by_caller.remove(&(conn, stream)) {
            if let Some(trial) = self.trials.remove(&number) {
                self.settle(&trial);
                if let Some((conn, stream)) = trial.at {
                    self.hub.cancel(conn, stream);
                    self.by_call.remove(&(conn, stream));
                }
                self.note(&trial, false);
            }
        }
    }

    fn closed(&mut self, conn: ConnId, why: &str) {
        if let Some(&id) = self.links.get(&conn) {
            return self.lost(id);
        }
        if self.odd.remove(&conn).is_some() {
            return;
        }
        if let Some((id, address)) = self.servers.remove(&conn) {
            if let Some(forwarder) = self.forwarders.get_mut(&id) {
                forwarder.conns.remove(&address);
            }
            // Refused before a connection stood: nothing of it ever ran.
            let proof = !self.answered.remove(&conn) && why.contains("refused");
            let open: Vec<u64> =
                self.by_call.range((conn, 0)..=(conn, StreamId::MAX)).map(|(_, &number)| number).collect();
            self.by_call.retain(|(of, _), _| *of != conn);
            for number in open {
                self.tried(number, Err((Status::new(Code::Unavailable, why), proof)));
            }
            return;
        }
        for forwarder in self.forwarders.values_mut() {
            forwarder.callers.remove(&conn);
        }
        let open: Vec<StreamId> =
            self.calls.range((conn, 0)..=(conn, StreamId::MAX)).map(|((_, stream), _)| *stream).collect();
        for stream in open {
            self.ended(conn, stream, &Status::new(Code::Cancelled, why));
        }
    }

    fn settle(&mut self, trial: &Trial) {
        if let Some(timer) = trial.timer {
            self.hub.cancel_timer(timer);
        }
        if let Some(forwarder) = self.forwarders.get_mut(&trial.forwarder) {
            if let Some(open) = forwarder.open.get_mut(&trial.address) {
                *open = open.saturating_sub(1);
            }
        }
    }

    /// Adds a try to what is reported, and to what is avoided.
    fn note(&mut self, trial: &Trial, succeeded: bool) {
        let Some(forwarder) = self.forwarders.get_mut(&trial.forwarder) else { return };
        let met = forwarder.sums[trial.inv.operation as usize].met.entry(trial.address).or_default();
        if succeeded {
            met.succeeded += 1;
            met.timed += 1;
            met.time += now().saturating_sub(trial.begun);
            met.cpu = trial.answer.as_ref().map(|answer| answer.cpu).or(met.cpu);
            forwarder.fails.remove(&trial.address);
        } else {
            met.errored += 1;
            let fails = forwarder.fails.entry(trial.address).or_default();
            *fails += 1;
            if self.plan.fails_to_avoid > 0 && *fails >= self.plan.fails_to_avoid {
                *fails = 0;
                forwarder.avoided.insert(trial.address, now() + self.plan.avoid_for);
            }
        }
    }

    /// One try is over; the error comes with whether it is proof that nothing ran.
    fn tried(&mut self, number: u64, result: Result<(), (Status, bool)>) {
        let Some(mut trial) = self.trials.remove(&number) else { return };
        self.settle(&trial);
        self.note(&trial, result.is_ok());
        if let Err((_, proof)) = &result {
            let tries = trial.inv.further;
            let again = match trial.further {
                RetryPolicy::Never => false,
                RetryPolicy::IfNotExecuted => tries < 1 && *proof,
                RetryPolicy::Once => tries < 1,
                RetryPolicy::Twice => tries < 2,
            };
            if again && now() < trial.until {
                let (id, at) = (trial.forwarder, trial.inv.operation as usize);
                if let Some(address) = self.pick(id, at, Some(trial.address)) {
                    trial.address = address;
                    trial.inv.further += 1;
                    trial.at = None;
                    self.trials.insert(number, trial);
                    return self.attempt(number);
                }
            }
        }
        let (conn, stream) = trial.caller;
        self.by_caller.remove(&trial.caller);
        self.calls.remove(&trial.caller);
        match result {
            Ok(()) => {
                self.hub.send(conn, stream, &trial.answer.unwrap_or_default().encode_to_vec());
                self.hub.finish(conn, stream, Status::OK);
            }
            Err((status, _)) => self.hub.finish(conn, stream, status),
        }
    }

    // Troubles.

    fn odd_group(balancer: &str, name: &str) -> Group {
        Group { balancer: balancer.into(), name: name.into() }
    }

    /// Opens what is missing at the first supervisor that answers, and does one more thing on each.
    fn be_odd(&mut self) {
        if self.oddity == 0 {
            return;
        }
        self.oddity += 1;
        self.hub.set_timer(now() + SECOND / 1000, Key::Odd);
        let operation = self.plan.operations[0].name.clone();
        let own = |servers: Vec<Member>| {
            let groups = vec![(Self::odd_group("odd", &operation), servers)];
            Body::Register { from_balancer: true, groups }
        };
        let address = |at: u16| SocketAddr::from(([127, 9, (at >> 8) as u8, at as u8], 9));
        for kind in [Odd::Asks, Odd::ReadsNothing, Odd::Dies, Odd::TakesAway, Odd::Flaps] {
            if self.odd.values().any(|&known| known == kind) || !self.oddity.is_multiple_of(50) {
                continue;
            }
            let at = (self.oddity as usize / 50) % self.plan.sasp.len().max(1);
            let Some(Ok(conn)) = self.plan.sasp.get(at).map(|&front| self.hub.dial_plain(front)) else {
                return;
            };
            self.odd.insert(conn, kind);
            let opening = match kind {
                Odd::Asks => {
                    let flags = LbFlags { push: false, trust: true, no_change: false };
                    let state = Body::SetLbState { balancer: b"odd".to_vec(), health: 0, flags };
                    vec![state, own(vec![Member::tcp(address(1))])]
                }
                Odd::ReadsNothing => {
                    let flags = LbFlags { push: true, trust: false, no_change: false };
                    let balancer = b"odd-large".to_vec();
                    let groups = vec![(
                        Self::odd_group("odd-large", &operation),
                        (0..10_000).map(|at| Member::tcp(address(at))).collect(),
                    )];
                    vec![
                        Body::SetLbState { balancer, health: 0, flags },
                        Body::Register { from_balancer: true, groups },
                    ]
                }
                Odd::Flaps => {
                    let groups = vec![(Self::odd_group("odd", &operation), vec![Member::tcp(address(2))])];
                    vec![Body::Register { from_balancer: false, groups }]
                }
                Odd::Dies | Odd::TakesAway => Vec::new(),
            };
            for body in opening {
                self.hub.write(conn, &Message { id: 1, body }.encode());
            }
        }
        let time = self.oddity;
        for (conn, kind) in self.odd.clone() {
            let body = match kind {
                Odd::Asks => Body::GetWeights { groups: vec![Self::odd_group("odd", &operation)] },
                Odd::ReadsNothing => {
                    self.hub.set_paused(conn, true);
                    continue;
                }
                Odd::Dies => {
                    // Half a message, then a reset.
                    if time.is_multiple_of(20) {
                        self.hub.write(conn, &Message { id: 1, body: own(Vec::new()) }.encode()[..20]);
                    } else if time % 20 == 10 {
                        self.odd.remove(&conn);
                        self.hub.reset(conn);
                    }
                    continue;
                }
                Odd::TakesAway => {
                    let groups = vec![(Self::odd_group("balancer-0", &operation), Vec::new())];
                    Body::Deregister { from_balancer: true, reason: 0, groups }
                }
                Odd::Flaps => {
                    let (state, contact, quiesce) = (0, true, time.is_multiple_of(2));
                    let states =
                        vec![MemberState { state, contact, quiesce, member: Member::tcp(address(2)) }];
                    let groups = vec![(Self::odd_group("odd", &operation), states)];
                    Body::SetMemberState { from_balancer: false, groups }
                }
            };
            if kind != Odd::TakesAway || time.is_multiple_of(20) {
                self.hub.write(conn, &Message { id: 2, body }.encode());
            }
        }
    }

    fn die(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|forwarder| forwarder.alive) else {
            return;
        };
        forwarder.alive = false;
        let link = forwarder.link.take().map(|link| link.0);
        let conns: Vec<ConnId> = link
            .into_iter()
            .chain(forwarder.conns.values().copied())
            .chain(forwarder.callers.iter().copied())
            .collect();
        self.hub.stop_listening(forwarder.listener);
        for conn in conns {
            self.links.remove(&conn);
            self.servers.remove(&conn);
            self.hub.reset(conn);
            self.by_call.retain(|(of, _), _| *of != conn);
            self.by_caller.retain(|(of, _), _| *of != conn);
            self.calls.retain(|(of, _), _| *of != conn);
        }
        let gone: Vec<u64> =
            self.trials.iter().filter(|(_, t)| t.forwarder == id).map(|(&number, _)| number).collect();
        for number in gone {
            if let Some(trial) = self.trials.remove(&number) {
                self.settle(&trial);
            }
        }
        self.trace.put(&Seen::Died { at: now(), forwarder: id });
    }

    fn stall(&mut self, id: u32, on: bool) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        forwarder.stalled = on;
        self.trace.put(&Seen::Reachable { at: now(), forwarder: id, on: !on });
        let link = forwarder.link.map(|link| link.0);
        let conns = link
            .into_iter()
            .chain(forwarder.conns.values().copied())
            .chain(forwarder.callers.iter().copied());
        conns.collect::<Vec<_>>().into_iter().for_each(|conn| self.hub.set_paused(conn, on));
        self.hub.set_listener_paused(forwarder.listener, on);
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Die { forwarders } => forwarders.into_iter().for_each(|id| self.die(id)),
            Command::Revive { forwarders, standing } => {
                for id in forwarders {
                    self.die(id);
                    let Some(forwarder) = self.forwarders.get(&id) else { continue };
                    let (plan, supervisor) = (forwarder.plan.clone(), forwarder.supervisor);
                    match self.hub.listen(plan.address, id) {
                        Ok((listener, _)) => self.start(plan, listener, supervisor, &standing),
                        Err(error) => eprintln!("forwarder {id} cannot come back: {error}"),
                    }
                }
            }
            Command::Stall { forwarders, on } => forwarders.into_iter().for_each(|id| self.stall(id, on)),
            Command::Deaf { forwarders, on } => {
                for id in forwarders {
                    self.trace.put(&Seen::Reachable { at: now(), forwarder: id, on: !on });
                    let link = self.forwarders.get(&id).and_then(|forwarder| forwarder.link);
                    if let Some((conn, ..)) = link {
                        self.hub.set_paused(conn, on);
                    }
                }
            }
            Command::TurnDown { forwarders, count } => {
                for id in forwarders {
                    if let Some(forwarder) = self.forwarders.get_mut(&id) {
                        forwarder.turns_down = count;
                    }
                }
            }
            Command::LateReports { delay } => self.late = delay,
            Command::Lossy { part, delay } => self.lossy = (part, delay),
            Command::Cut { zones } => self.cut = zones,
            Command::OddBalancers { on } => {
                self.oddity = u32::from(on);
                if on {
                    self.hub.set_timer(now(), Key::Odd);
                } else {
                    std::mem::take(&mut self.odd).into_keys().for_each(|conn| self.hub.reset(conn));
                }
            }
            Command::ReportGhost { on } => self.ghost = on,
            other => eprintln!("forwarders cannot {other:?}"),
        }
    }
}

/// The table of a message with lines, and what it says. `known`: where it names no line, the table that is asked for.
fn read_lines(update: &Update, known: Option<u16>) -> Result<(u16, Delta), Status> {
    let wrong = |what: &str| Status::new(Code::InvalidArgument, what.to_owned());
    let told = update.version.split_once('/').map_or(update.version.as_str(), |(_, told)| told);
    let (from, check) = told.split_once('>').ok_or_else(|| wrong("a version without its base"))?;
    let from = from.parse().map_err(|_| wrong("a base that is no number"))?;
    let check = Check::parse(check).ok_or_else(|| wrong("a version without its check"))?;
    let (mut table, mut changed) = (known, Vec::new());
    for (name, any) in update.names.iter().zip(&update.resources) {
        let (of, server) = leds::line_of(name).ok_or_else(|| wrong("a name that is no line's"))?;
        let line = leds::decode_line(any)?;
        let leds::Line { address, weight, draining } = line;
        changed.push((server, shalereel_store::Line { address, weight, draining, incarnation: 0 }));
        table = Some(of);
    }
    let mut removed = Vec::new();
    for name in &update.removed {
        let (of, server) = leds::line_of(name).ok_or_else(|| wrong("a name that is no line's"))?;
        removed.push(server);
        table = Some(of);
    }
    let table = table.ok_or_else(|| wrong("lines of no table"))?;
    Ok((table, Delta { check, base: from, changed, removed }))
}
