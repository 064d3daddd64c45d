//! The supervisor without its sockets: what peers say goes in, what to write comes out. Messages become events,
//! the module decides, and its orders become messages again. Free of I/O and clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use shalereel::brain::Controller;
use shalereel::interface::{
    Action, Event, HealthCheckOutcome, Nanos, ProxyId, RetryPolicy, ServerId, TableId, WatchEvent,
};
use shalereel_group::ServerAvailability;
use shalereel_rpc::{frame, Code, Status};
use shalereel_snapshot::{FreshnessPolicy, RejectReason, StoredSnapshot};
use shalereel_store::{
    Check, DeliveryPolicy, FileWrite, Provenance, RetentionLimits, StoreError, Subscription, VersionNumber,
};
use shalereel_xds::{
    cluster, leds, listener, routes, types, Assignment, ClientRequest, LoadReport, LoadReportConfig,
    NodeInfo, Resource, Response, ServerStream, Variant, EXCLUDED,
};

use crate::admin;
use crate::channel::{Channel, Departure};
use crate::client_limits::{ClientLimits, NackResponse};
use crate::deployment::{Deployment, InjectedFault};
use crate::reports::Reports;
use crate::roster::Roster;
use crate::sasp_front::{BalancerView, SaspEvent, SaspFront};
use crate::shared::{Shared, Wanted};
use crate::tables::{AffectedProxies, TableContext, Tables};

/// A stream, numbered by the shell; never given twice.
pub type Peer = u64;

/// Name of the listener and its routes that clients start from.
pub const LISTENER: &str = "shalereel";
/// Path before an operation's name.
pub const PREFIX: &str = "/shalereel.work.v1.Work/";

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A framed message; streams that are told the same share its bytes.
    Say {
        peer: Peer,
        message: Bytes,
    },
    /// Bytes of the second front.
    Write {
        peer: Peer,
        bytes: Vec<u8>,
    },
    End {
        peer: Peer,
        status: Status,
    },
    /// Subscribe to the registry's list, or leave it.
    Listen(bool),
    /// Ask for the whole list once.
    AskList,
    Probe {
        server: ServerId,
        address: std::net::SocketAddr,
    },
    Remark(String),
    /// Something odd that costs nothing but a word.
    Odd(String),
    /// Something that the group wants.
    Group(Wanted),
    /// Versions of tables to be kept.
    History(FileWrite),
    /// What was learned so far, to be kept instead of what was before.
    Memory(Vec<u8>),
    /// The list has changed: [`Core::remember`] is to be kept, soon.
    Remember,
}

/// A group of responses said together, and the marks that their answers confirm.
#[derive(Debug)]
struct Said {
    assignment: Option<u64>,
    routes: Option<u64>,
    lines: Option<u64>,
    /// It names a collection that the client has not asked for yet.
    awaits: bool,
    serials: Vec<(u16, Nanos)>,
    at: Nanos,
}

impl Said {
    fn answered(&self) -> bool {
        self.assignment.is_none() && self.routes.is_none() && self.lines.is_none() && !self.awaits
    }
}

/// Of a table, and of the places of its servers.
type Version = (u64, u64);

/// What a resource is made of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    Shunned,
    Table(TableId, u16),
    /// An operation whose lines are a collection.
    Collection(TableId, u16),
    Routes(Vec<RetryPolicy>),
}

/// Streams of one kind that are told the same parts of what was ordered at one time.
type Group = (bool, Nanos, Vec<(Part, Version)>);

fn render(
    tables: &mut Tables,
    roster: &Roster,
    operations: &[String],
    part: &Part,
    version: Version,
) -> Resource {
    let (name, any) = match part {
        Part::Shunned => (EXCLUDED, tables.excluded_assignment(roster)),
        Part::Table(table, at) => {
            let name = &operations[usize::from(*at)];
            (name.as_str(), tables.assignment(*table, *at, name, roster))
        }
        Part::Collection(table, at) => {
            let name = &operations[usize::from(*at)];
            (name.as_str(), leds::assignment_of(name, *table, tables.admission_limit(*table, *at)))
        }
        Part::Routes(ways) => {
            let each = operations.iter().map(String::as_str).zip(ways.iter().copied());
            (LISTENER, routes(LISTENER, PREFIX, each))
        }
    };
    Resource { name: name.to_owned(), version: format!("{}.{}", version.0, version.1), any }
}

/// The lines of a delta as a message; gives it framed, and the version that it leads to.
fn delta_message(
    tables: &Tables,
    table: TableId,
    from: VersionNumber,
    (nonce, stamp): (u64, Nanos),
    epoch: Option<u64>,
    identity: &str,
) -> Option<(Bytes, VersionNumber)> {
    let delta = tables.store.delta_from(table, from)?;
    let number = delta.check.number;
    let told = format!("{}>{}", delta.base, delta.check);
    let version = epoch.map_or(told.clone(), |epoch| format!("{epoch}/{told}"));
    let resource = |(server, line): &(ServerId, shalereel_store::Line)| Resource {
        name: leds::line_name(table, *server),
        version: number.to_string(),
        any: leds::encode_line(&leds::Line {
            address: line.address,
            weight: line.weight,
            draining: line.draining,
        }),
    };
    let response = Response {
        type_url: types::LINE,
        version: &version,
        resources: delta.changed.iter().map(resource).collect(),
        removed: delta.removed.iter().map(|&server| leds::line_name(table, server)).collect(),
        nonce,
        stamp,
    };
    Some((frame(&response.encode(Variant::Incremental, identity)), number))
}

/// Owes a proxy lines; one message brings all that it lacks, however often it asks.
fn owe(owed: &mut VecDeque<(ProxyId, usize)>, proxy: ProxyId, lines: usize) {
    match owed.iter_mut().find(|one| one.0 == proxy) {
        Some(one) => one.1 = one.1.max(lines),
        None => owed.push_back((proxy, lines)),
    }
}

fn facts<'a>(
    roster: &'a Roster,
    deployment: &Deployment,
    parts: &'a BTreeMap<TableId, f64>,
    now: Nanos,
    wall: Nanos,
) -> TableContext<'a> {
    TableContext {
        roster,
        now,
        wall_clock_offset: wall,
        slow_start_duration: deployment.config.slow_start_duration,
        traffic_shares: parts,
    }
}

fn view<'a>(
    tables: &'a Tables,
    roster: &'a Roster,
    deployment: &'a Deployment,
    bound: &'a BTreeMap<u16, TableId>,
    now: Nanos,
) -> BalancerView<'a> {
    let (operations, cold_for) = (&deployment.operations[..], deployment.config.slow_start_duration);
    BalancerView { tables, roster, operations, assigned_tables: bound, now, slow_start_duration: cold_for }
}

/// How a proxy is spoken to. What is decided for it does not depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Front {
    /// Assignments, acknowledged by nonce.
    Discovery,
    /// Weights alone; pushed ones count as held once written, asked ones once asked for.
    Advice,
}

/// A joined proxy.
#[derive(Debug)]
struct Proxy {
    peer: Peer,
    front: Front,
    tables: BTreeMap<u16, TableId>,
    /// What left the channel and is not written yet: when it was ordered, and its marks.
    due: Option<(Nanos, Vec<(u16, Nanos)>)>,
    said: VecDeque<Said>,
    /// Versions of the resources written last.
    told: BTreeMap<String, Version>,
    turned_down: u32,
    /// Marks of what it turned down, and when that is said again.
    parked: Vec<(u16, Nanos)>,
    again_at: Option<Nanos>,
    /// It takes tables line by line.
    lines: bool,
    telling: BTreeMap<TableId, Subscription>,
    /// Tables whose lines the channel has borne, and that it has not asked for yet.
    borne: BTreeSet<TableId>,
    /// Responses with lines that are not confirmed: nonce, table and version.
    nonces: VecDeque<(u64, TableId, VersionNumber)>,
}

#[derive(Debug)]
struct Stream {
    serving: ServerStream,
    /// Known once its first message was read.
    proxy: Option<ProxyId>,
}

/// One supervisor.
pub struct Core {
    deployment: Deployment,
    brain: Controller,
    tables: Tables,
    channel: Channel,
    keeping: DeliveryPolicy,
    /// The wall clock less the monotonic one.
    wall: Nanos,
    /// Messages of which the module knows nothing, and that wait for room in the channel: to whom, how many lines.
    owed: VecDeque<(ProxyId, usize)>,
    ageing: FreshnessPolicy,
    /// What an earlier run had learned, how long ago that was when this one began, and when it began; its servers' part
    /// waits for the first list.
    memory: Option<(StoredSnapshot, Nanos, Nanos)>,
    recalled: bool,
    /// Invocations a second that came to each proxy in the last cycle.
    rates: BTreeMap<ProxyId, f64>,
    /// Part of all invocations that goes by each table.
    parts: BTreeMap<TableId, f64>,
    memorised: Nanos,
    patience: ClientLimits,
    roster: Roster,
    reports: Reports,
    advice: SaspFront,
    shared_with: Option<Shared>,
    /// The list has changed since the group was told of it.
    relisted: bool,
    streams: BTreeMap<Peer, Stream>,
    /// Load streams, and the proxy whose first report named it.
    loads: BTreeMap<Peer, Option<(ProxyId, u16)>>,
    proxies: BTreeMap<ProxyId, Proxy>,
    numbers: BTreeMap<String, ProxyId>,
    timers: BTreeMap<(Nanos, u64), u64>,
    events: Vec<Event>,
    effects: Vec<Effect>,
    /// What was said this turn: its nonce and its bytes.
    shared: BTreeMap<Group, (u64, Bytes)>,
    /// The same of lines: by table, from which version, and when it was ordered.
    shared_lines: BTreeMap<(TableId, VersionNumber, Nanos), (u64, Bytes, VersionNumber)>,
    nonce: u64,
    identity: String,
    reported: Nanos,
    decided: Option<Nanos>,
}

impl Core {
    /// `kept`: the list that an earlier run left behind.
    pub fn new(deployment: Deployment, now: Nanos, kept: Option<&[u8]>) -> Self {
        let facts = &deployment.config;
        let keeping = DeliveryPolicy::new(facts);
        let bounds = deployment.table_history.or_derived(RetentionLimits::new(facts));
        let mut core = Core {
            brain: Controller::new(facts),
            tables: Tables::new(&deployment, bounds),
            channel: Channel::new(facts, deployment.paced),
            keeping,
            wall: 0,
            owed: VecDeque::new(),
            ageing: FreshnessPolicy::new(facts),
            memory: None,
            recalled: false,
            rates: BTreeMap::new(),
            parts: BTreeMap::new(),
            memorised: now,
            patience: ClientLimits::new(facts),
            roster: Roster::new(&deployment.localities),
            reports: Reports::default(),
            advice: SaspFront::new(ClientLimits::new(facts).balancer()),
            shared_with: None,
            relisted: true,
            streams: BTreeMap::new(),
            loads: BTreeMap::new(),
            proxies: BTreeMap::new(),
            numbers: BTreeMap::new(),
            timers: BTreeMap::new(),
            events: Vec::new(),
            effects: Vec::new(),
            shared: BTreeMap::new(),
            shared_lines: BTreeMap::new(),
            nonce: 0,
            identity: format!("shalereel/{}", facts.supervisor_index),
            reported: now,
            decided: None,
            deployment,
        };
        match kept.map(|kept| core.roster.recall(now, kept)) {
            Some(Ok(news)) => core.events.push(Event::Endpoints(news)),
            Some(Err(error)) => {
                core.effects.push(Effect::Odd(format!("the kept list is left unread: {error}")))
            }
            None => {}
        }
        core
    }

    /// What an earlier run kept of its tables' versions, and by how much the wall clock is ahead of the monotonic one.
    /// Gives how many bytes of the file were whole. Errors: it cannot be believed, and is not used.
    pub fn recall(&mut self, wall: Nanos, file: Option<&[u8]>) -> Result<usize, StoreError> {
        self.wall = wall;
        file.map_or(Ok(0), |file| self.tables.store.load(file))
    }

    /// What an earlier run had learned. Errors: why nothing of it is recalled.
    pub fn reminisce(&mut self, now: Nanos, memory: StoredSnapshot) -> Result<Nanos, RejectReason> {
        let away = self.ageing.age(memory.taken_at, now + self.wall)?;
        self.memory = Some((memory, away, now));
        if self.events.iter().any(|event| matches!(event, Event::Endpoints(_))) {
            self.recall_servers(now);
        }
        Ok(away)
    }

    /// Hands what was learned to the module, behind the first list.
    fn recall_servers(&mut self, now: Nanos) {
        let Some((memory, away, begun)) = self.memory.as_ref().filter(|_| !self.recalled) else { return };
        let remembered = memory
            .for_current_incarnations(|server| self.roster.place(server).map(|_| self.roster.life(server)));
        let away = away + now.saturating_sub(*begun);
        self.events.push(Event::Restored { snapshot: remembered, age: away });
        self.recalled = true;
    }

    /// What was learned so far, as the file has it.
    fn memorise(&mut self, now: Nanos) -> Vec<u8> {
        let remembered = self.brain.snapshot(now);
        let lives = remembered.servers.iter().map(|one| (one.server, self.roster.life(one.server))).collect();
        let rate = |(name, id): (&String, &ProxyId)| Some((name.clone(), *self.rates.get(id)?));
        let rates = self.numbers.iter().filter_map(rate).collect();
        StoredSnapshot {
            taken_at: now + self.wall,
            learned: remembered,
            incarnations: lives,
            proxy_rates: rates,
        }
        .encode_record()
    }

    /// Versions were not kept, for whatever reason: they are written again with the next one.
    pub fn unkept(&mut self) {
        self.tables.store.write_failed();
    }

    /// An operator's question or order about tables.
    pub fn admin(&mut self, now: Nanos, message: &[u8]) -> Result<Vec<u8>, Status> {
        let facts = facts(&self.roster, &self.deployment, &self.parts, now, self.wall);
        admin::answer(&mut self.tables, &facts, message)
    }

    /// It shares its fleet with others from now on.
    pub fn share(&mut self, shared: Shared) {
        let orders = shared.orders();
        self.shared_with = Some(shared);
        if orders != Default::default() {
            self.ordered(orders);
        }
    }

    /// Its part in a group, if it has one.
    pub fn shared(&mut self) -> Option<(&mut Shared, &Roster)> {
        self.shared_with.as_mut().map(|shared| (shared, &self.roster))
    }

    /// Operators' orders as they stand now.
    fn ordered(&mut self, (drained, held): (BTreeSet<ServerId>, BTreeMap<ServerId, f64>)) {
        self.events.push(Event::Endpoints(self.roster.order(drained)));
        self.relisted = true;
        self.tables.set_group_caps(held);
    }

    /// What the group brought about, and what it is told in turn.
    fn group_turn(&mut self, now: Nanos) {
        let fits = (self.relisted && self.shared_with.is_some()).then(|| self.fits(now));
        let Some(shared) = &mut self.shared_with else { return };
        if let Some(fits) = fits {
            self.relisted = false;
            shared.relisted(fits, &self.roster);
        }
        let followed = shared.turn(now, &self.roster);
        self.effects.extend(followed.wanted.into_iter().map(Effect::Group));
        self.events.extend(followed.events);
        if let Some(orders) = followed.orders {
            self.ordered(orders);
        }
    }

    /// Which servers could own a key range: warm, ready and not withdrawn by the module.
    fn fits(&self, now: Nanos) -> BTreeMap<u32, ServerAvailability> {
        let cold_for = self.deployment.config.slow_start_duration;
        let fit = |(server, locality, ready): (ServerId, u16, bool)| {
            let warm = !self.roster.started_within(server, now, cold_for);
            let ready = ready && !self.tables.is_excluded(server);
            let open = ready && warm;
            (
                server,
                ServerAvailability { server, locality: locality.into(), accepts_ranges: open, listed: ready },
            )
        };
        self.roster.servers().into_iter().map(fit).collect()
    }

    /// A discovery stream was opened.
    pub fn opened(&mut self, peer: Peer, variant: Variant) {
        let serving = ServerStream::new(variant, &self.identity);
        self.streams.insert(peer, Stream { serving, proxy: None });
    }

    /// A load stream was opened.
    pub fn reporting(&mut self, peer: Peer) {
        self.loads.insert(peer, None);
    }

    /// A message on either kind of stream. What is wrong with it ends that stream.
    pub fn said(&mut self, now: Nanos, peer: Peer, message: &[u8]) {
        let result = if self.loads.contains_key(&peer) {
            self.report(peer, message)
        } else {
            self.discover(now, peer, message)
        };
        if let Err(status) = result {
            self.ended(peer);
            self.effects.push(Effect::End { peer, status });
        }
    }

    fn report(&mut self, peer: Peer, message: &[u8]) -> Result<(), Status> {
        let report = LoadReport::decode(message)?;
        if let Some(node) = &report.node {
            let proxy = self.numbers.get(&node.id).copied();
            let locality = self.roster.locality(&node.zone).unwrap_or(0);
            let first = self.loads.insert(peer, proxy.map(|proxy| (proxy, locality)));
            if first == Some(None) {
                let answer =
                    LoadReportConfig { interval: self.deployment.config.report_interval, by_endpoint: true };
                self.effects.push(Effect::Say { peer, message: frame(&answer.encode()) });
            }
        }
        // Reports of proxies that are not ours, or no longer, tell of tables that are not ours.
        if let Some(&Some((proxy, locality))) = self.loads.get(&peer) {
            if self.proxies.contains_key(&proxy) {
                self.reports.add(proxy, locality, &report, &self.deployment.operations, &self.roster);
            }
        }
        Ok(())
    }

    fn discover(&mut self, now: Nanos, peer: Peer, message: &[u8]) -> Result<(), Status> {
        let Some(stream) = self.streams.get_mut(&peer) else { return Ok(()) };
        for asked in stream.serving.handle(message)? {
            match asked {
                ClientRequest::Node(node) => self.join(peer, &node)?,
                ClientRequest::Subscribe { type_url, names } => {
                    if let (Some(shared), Some(stream)) = (&mut self.shared_with, self.streams.get(&peer)) {
                        shared.brought(stream.serving.initial_version(&type_url));
                    }
                    self.answer(now, peer, &type_url, names);
                }
                ClientRequest::Ack { type_url, nonce } => self.answered(now, peer, &type_url, nonce),
                ClientRequest::Nack { type_url, nonce, reason: why } => {
                    self.turned_down(now, peer, &type_url, nonce, &why);
                }
            }
        }
        Ok(())
    }

    fn join(&mut self, peer: Peer, node: &NodeInfo) -> Result<(), Status> {
        let Some(locality) = self.roster.locality(&node.zone) else {
            let text = format!("zone {:?} of node {:?} is not one of this deployment's", node.zone, node.id);
            return Err(Status::new(Code::FailedPrecondition, text));
        };
        let proxy = self.enter(peer, Front::Discovery, node, locality)?;
        if let Some(stream) = self.streams.get_mut(&peer) {
            stream.proxy = Some(proxy);
            // The specification has lines of their own on incremental streams alone.
            let incremental = stream.serving.variant() == Variant::Incremental;
            self.proxies.entry(proxy).and_modify(|proxy| proxy.lines &= incremental);
        }
        Ok(())
    }

    /// A proxy joins, on whichever front.
    fn enter(&mut self, peer: Peer, front: Front, node: &NodeInfo, locality: u16) -> Result<ProxyId, Status> {
        let proxy = self.number(&node.id)?;
        // The same node again: its older stream is half open at best.
        if let Some(older) = self.proxies.get(&proxy).map(|proxy| proxy.peer) {
            self.ended(older);
            let text = format!("node {:?} has opened another stream", node.id);
            self.effects.push(Effect::End { peer: older, status: Status::new(Code::Cancelled, text) });
        }
        let member = Proxy {
            peer,
            front,
            tables: BTreeMap::new(),
            due: None,
            said: VecDeque::new(),
            told: BTreeMap::new(),
            turned_down: 0,
            parked: Vec::new(),
            again_at: None,
            lines: node.supports_lines && front == Front::Discovery,
            telling: BTreeMap::new(),
            borne: BTreeSet::new(),
            nonces: VecDeque::new(),
        };
        self.proxies.insert(proxy, member);
        let rate = match &self.memory {
            Some((memory, away, _)) => {
                self.ageing.expected_rate(node.rate, memory.proxy_rates.get(&node.id).copied(), *away)
            }
            None => node.rate,
        };
        let standing_only = node.is_new;
        self.events.push(Event::Joined { proxy, locality, rate, is_new: standing_only });
        Ok(proxy)
    }

    /// A connection of the second front was opened.
    pub fn advised(&mut self, peer: Peer) {
        self.advice.on_opened(peer);
    }

    /// Bytes on a connection of the second front.
    pub fn advice_heard(&mut self, now: Nanos, peer: Peer, bytes: &[u8]) {
        let member = self.proxies.values().find(|proxy| proxy.peer == peer);
        let bound = member.map(|proxy| self.told(&proxy.tables)).unwrap_or_default();
        let view = view(&self.tables, &self.roster, &self.deployment, &bound, now);
        for outcome in self.advice.on_bytes(peer, bytes, &view) {
            self.follow(now, peer, outcome);
        }
    }

    fn follow(&mut self, now: Nanos, peer: Peer, outcome: SaspEvent) {
        match outcome {
            SaspEvent::Write(bytes) => self.effects.push(Effect::Write { peer, bytes }),
            SaspEvent::Joined { balancer } => {
                let locality = self.deployment.config.locality;
                let zone = self.deployment.localities[usize::from(locality)].clone();
                let node = NodeInfo {
                    id: format!("balancer {balancer}"),
                    zone,
                    is_new: true,
                    ..NodeInfo::default()
                };
                if let Err(status) = self.enter(peer, Front::Advice, &node, locality) {
                    self.ended(peer);
                    self.effects.push(Effect::End { peer, status });
                }
            }
            SaspEvent::MemberUpdate(mut word) => {
                if self.roster.locality(&word.zone).is_none() {
                    let own = usize::from(self.deployment.config.locality);
                    word.zone.clone_from(&self.deployment.localities[own]);
                }
                let news = self.roster.member(now, &word);
                self.relisted = true;
                // A balancer's own members are no news, thousands of them at its start.
                if word.itself || word.quiesce || !word.there {
                    self.events.push(Event::Endpoints(news));
                }
            }
            SaspEvent::WeightsTaken => {
                let id = self.proxies.iter().find(|(_, proxy)| proxy.peer == peer).map(|(&id, _)| id);
                if let Some(id) = id {
                    self.held(now, id);
                }
            }
            SaspEvent::Close(why) => {
                self.ended(peer);
                let status = Status::new(Code::InvalidArgument, why);
                self.effects.push(Effect::End { peer, status });
            }
        }
    }

    /// All that was said to a proxy without nonces is in force.
    fn held(&mut self, now: Nanos, id: ProxyId) {
        if let Some(proxy) = self.proxies.get_mut(&id) {
            for said in &mut proxy.said {
                (said.assignment, said.routes, said.lines, said.awaits) = (None, None, None, false);
            }
            self.confirm(now, id);
        }
    }

    /// A proxy's tables, without those that are not to be told.
    fn told(&self, tables: &BTreeMap<u16, TableId>) -> BTreeMap<u16, TableId> {
        let told = tables.iter().filter(|(_, &table)| !self.tables.is_withheld(table));
        told.map(|(&at, &table)| (at, table)).collect()
    }

    /// Writes weights to a balancer that wants them unasked; one that asks has them at its next request.
    fn advise(&mut self, now: Nanos, id: ProxyId) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let (_, mut serials) = proxy.due.take().unwrap_or((now, Vec::new()));
        serials.append(&mut proxy.parked);
        let (peer, bound) = (proxy.peer, proxy.tables.clone());
        let bound = self.told(&bound);
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        self.nonce += 1;
        proxy.said.push_back(Said {
            assignment: Some(self.nonce),
            routes: None,
            lines: None,
            awaits: false,
            serials,
            at: now,
        });
        if bound.is_empty() {
            return self.held(now, id);
        }
        let view = view(&self.tables, &self.roster, &self.deployment, &bound, now);
        if self.advice.wants_push(peer) {
            let bytes = self.advice.push(peer, &view);
            self.effects.extend(bytes.map(|bytes| Effect::Write { peer, bytes }));
            self.held(now, id);
        }
    }

    fn number(&mut self, id: &str) -> Result<ProxyId, Status> {
        if let Some(&number) = self.numbers.get(id) {
            return Ok(number);
        }
        let most = self.deployment.config.proxy_count as usize;
        if self.proxies.len() >= 2 * most {
            let text = format!("{} proxies are joined, twice what the deployment is for", self.proxies.len());
            return Err(Status::new(Code::ResourceExhausted, text));
        }
        if self.numbers.len() >= 4 * most {
            self.numbers.retain(|_, number| self.proxies.contains_key(number));
        }
        let taken: BTreeSet<ProxyId> = self.numbers.values().copied().collect();
        let number = (0..ProxyId::MAX).find(|number| !taken.contains(number)).unwrap_or(ProxyId::MAX);
        self.numbers.insert(id.to_owned(), number);
        Ok(number)
    }

    /// The stream is over, whoever ended it.
    pub fn ended(&mut self, peer: Peer) {
        self.loads.remove(&peer);
        let proxy = if self.advice.is_connected(peer) {
            for outcome in self.advice.on_closed(peer) {
                if let SaspEvent::MemberUpdate(word) = outcome {
                    let news = self.roster.member(self.decided.unwrap_or(0), &word);
                    self.events.extend(word.itself.then_some(Event::Endpoints(news)));
                }
            }
            self.proxies.iter().find(|(_, proxy)| proxy.peer == peer).map(|(&id, _)| id)
        } else {
            self.streams.remove(&peer).and_then(|stream| stream.proxy)
        };
        let Some(proxy) = proxy else { return };
        if self.proxies.get(&proxy).is_some_and(|member| member.peer == peer) {
            self.proxies.remove(&proxy);
            self.channel.forget(proxy);
            self.reports.forget(proxy);
            self.events.push(Event::Left { proxy });
        }
    }

    /// A whole list from the registry. Errors: the reason why it cannot be taken.
    pub fn listed(&mut self, now: Nanos, list: &Assignment) {
        let mut odd = Vec::new();
        let news = self.roster.hear(now, list, &mut odd);
        self.effects.extend(odd.into_iter().map(|text| Effect::Odd(format!("the list: {text}; left out"))));
        self.effects.push(Effect::Remember);
        self.relisted = true;
        self.events.push(Event::Endpoints(news));
        self.recall_servers(now);
    }

    /// The registry does not answer, or its stream broke.
    pub fn list_failed(&mut self) {
        self.events.push(Event::Endpoints(WatchEvent::Failed));
    }

    /// The list as last heard, for [`Core::new`] after a restart.
    pub fn remember(&self) -> Vec<u8> {
        self.roster.remember()
    }

    pub fn probed(&mut self, server: ServerId, ending: HealthCheckOutcome, took: Nanos) {
        self.events.push(Event::HealthChecked { server, outcome: ending, elapsed: took, load: Vec::new() });
    }

    /// The most lines that ever waited in the channel, and those that wait now.
    pub fn backlog(&self) -> (f64, f64) {
        (self.channel.most, self.channel.waiting())
    }

    pub fn joined(&self) -> usize {
        self.proxies.len()
    }

    /// When it wants its next turn, whatever comes.
    pub fn next(&self) -> Nanos {
        let batch = self.decided.map_or(0, |at| at + self.deployment.tick);
        let pending = (!self.events.is_empty()).then_some(batch);
        let timer = self.timers.keys().next().map(|key| key.0.max(batch));
        let cycle = self.reported + self.deployment.config.report_interval;
        let again = self.proxies.values().filter_map(|proxy| proxy.again_at).min();
        let group = self.shared_with.as_ref().map(Shared::next);
        let tellings = self.proxies.values().flat_map(|proxy| proxy.telling.values());
        let repeat = tellings
            .filter_map(|told| told.unacknowledged().map(|sent| self.keeping.retransmit_at(sent)))
            .min();
        let way = self.tables.next_timeout();
        let parts = [pending, timer, Some(cycle), self.channel.next(), again, group, repeat, way];
        parts.into_iter().flatten().min().unwrap_or(cycle)
    }

    /// One turn: a batch for the module if one is due, and all that has left the channel. `blocked` tells which
    /// peers have not taken what was written before.
    pub fn turn(&mut self, now: Nanos, blocked: impl Fn(Peer) -> bool) -> Vec<Effect> {
        if now >= self.reported + self.deployment.config.report_interval {
            self.reported = now;
            let reports = self.reports.take();
            if let Some(shared) = &mut self.shared_with {
                shared.report(&reports);
                // Servers warm up and are withdrawn without any word of a list.
                self.relisted = true;
            }
            self.rates.clear();
            for report in &reports {
                if let Event::DemandReport { proxy, total, window, .. } = report {
                    let a_second = f64::from(*total) * 1e9 / (*window).max(1) as f64;
                    *self.rates.entry(*proxy).or_default() += a_second;
                }
            }
            self.events.extend(reports);
            let strangers = std::mem::take(&mut self.reports.strangers);
            let word = || Effect::Odd(format!("{strangers} rows of load name servers that no list ever had"));
            self.effects.extend((strangers > 0).then(word));
            self.part_with_silent(now);
            self.advice.on_report_interval();
        }
        self.group_turn(now);
        if self.decided.is_none_or(|at| now >= at + self.deployment.tick) {
            while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
                self.events.push(Event::TimerFired { token: entry.remove() });
            }
            if !self.events.is_empty() {
                self.decided = Some(now);
                let orders = self.brain.decide(now, std::mem::take(&mut self.events));
                self.carry_out(now, orders);
            }
        }
        // What was learned before must not be written over by a run that has not met its servers yet.
        let met = self.decided.is_some() && (self.memory.is_none() || self.recalled);
        let due = now >= self.ageing.next_write(self.memorised);
        if met && due && !self.deployment.snapshot_disabled && self.roster.version() > 0 {
            self.memorised = now;
            let memory = self.memorise(now);
            self.effects.push(Effect::Memory(memory));
        }
        self.tables.publish(
            &facts(&self.roster, &self.deployment, &self.parts, now, self.wall),
            &Provenance::new("list", "servers are met at other addresses"),
        );
        self.owe_corrections();
        self.repeat(now);
        self.put_beside(now);
        while let Some(departure) = self.channel.depart(now) {
            self.departed(departure);
        }
        let again = |proxy: &Proxy| proxy.again_at.is_some_and(|at| at <= now);
        let ready: Vec<ProxyId> = self
            .proxies
            .iter()
            .filter(|(_, proxy)| (proxy.due.is_some() || again(proxy)) && !blocked(proxy.peer))
            .map(|(&id, _)| id)
            .collect();
        for id in ready {
            self.write(now, id);
        }
        self.shared.clear();
        self.shared_lines.clear();
        self.effects.extend(self.tables.take_guard_log().into_iter().map(Effect::Odd));
        self.effects.extend(self.tables.store.take_writes().into_iter().map(Effect::History));
        std::mem::take(&mut self.effects)
    }

    /// What the guard has shut by itself: no order concerns its users, and the next one may come after the grace.
    fn owe_corrections(&mut self) {
        for (table, lines) in self.tables.take_drained_by_guard() {
            let uses = |proxy: &Proxy| proxy.tables.values().any(|&at| at == table);
            for (&id, _) in self.proxies.iter().filter(|(_, proxy)| uses(proxy)) {
                owe(&mut self.owed, id, lines);
            }
        }
    }

    /// Lines that were told and that nobody confirmed are owed again.
    fn repeat(&mut self, now: Nanos) {
        for (&id, proxy) in &mut self.proxies {
            for (&table, telling) in &mut proxy.telling {
                if telling.unacknowledged().is_some_and(|sent| self.keeping.retransmit_at(sent) <= now) {
                    telling.retransmit();
                    let from = telling.next_base(&self.tables.store, table).unwrap_or(0);
                    owe(&mut self.owed, id, self.tables.lines_since(table, from));
                }
            }
        }
    }

    /// What operators' constraints have changed, and lines owed to single proxies, as the channel has room.
    fn put_beside(&mut self, now: Nanos) {
        self.tables.on_timeout(now);
        loop {
            while let Some(&(id, lines)) = self.owed.front() {
                let cost = self.keeping.message_cost(lines);
                if self.proxies.contains_key(&id) {
                    if cost > self.keeping.spare_lines(self.channel.waiting(), self.channel.beside()) {
                        return;
                    }
                    self.channel.put_beside(now, id, cost);
                }
                self.owed.pop_front();
            }
            let Some(table) = self.tables.next_with_pending_lines() else { return };
            let users: Vec<ProxyId> = self
                .proxies
                .iter()
                .filter(|(_, proxy)| proxy.tables.values().any(|&at| at == table))
                .map(|(&id, _)| id)
                .collect();
            let facts = facts(&self.roster, &self.deployment, &self.parts, now, self.wall);
            let changed = self.tables.publish_pending_lines(
                table,
                self.keeping.rollback_step_lines(users.len()),
                &facts,
            );
            if changed > 0 {
                self.owed.extend(users.into_iter().map(|id| (id, changed)));
            }
        }
    }

    fn departed(&mut self, departure: Departure) {
        let Some(proxy) = self.proxies.get_mut(&departure.proxy) else { return };
        let (_, serials) = proxy.due.get_or_insert((departure.ordered, Vec::new()));
        serials.extend(departure.serial.map(|serial| (serial, departure.ordered)));
    }

    /// Carries one reply out: state first, then one message for each proxy concerned.
    fn carry_out(&mut self, now: Nanos, orders: Vec<Action>) {
        let mut lines: BTreeMap<ProxyId, f64> = BTreeMap::new();
        let (mut serial, mut everyone) = (None, false);
        let mut remarks: Vec<String> = Vec::new();
        let mut installed = false;
        for order in self.planted(now, orders) {
            match order {
                Action::SetTimer { delay, token } => {
                    self.nonce += 1;
                    self.timers.insert((now + delay.max(1), self.nonce), token);
                }
                Action::CheckHealth { server } => {
                    let address = self.roster.place(server).map(|place| place.address);
                    self.effects.extend(address.map(|address| Effect::Probe { server, address }));
                }
                Action::Log(line) => {
                    remarks.push(line.clone());
                    self.effects.push(Effect::Remark(line));
                }
                Action::WatchEndpoints { on } => self.effects.push(Effect::Listen(on)),
                Action::FetchEndpoints => self.effects.push(Effect::AskList),
                // No peer message is ordered by the module as it stands; supervisors share nothing.
                Action::SendToPeer { .. } => {}
                Action::RequestAck { serial: number, everyone: all } => {
                    (serial, everyone) = (Some(number), all)
                }
                Action::AssignTable { proxy, table, operations: mask } => {
                    let Some(member) = self.proxies.get_mut(&proxy) else { continue };
                    let chosen = (0..self.deployment.operations.len() as u16)
                        .filter(|at| mask == 0 || mask & (1 << at) != 0);
                    member.tables.extend(chosen.map(|at| (at, table)));
                    installed = true;
                    // One that has said what it holds is told what differs.
                    let telling = member.telling.get(&table);
                    let from = telling.and_then(|telling| telling.next_base(&self.tables.store, table));
                    if member.lines && telling.is_none() {
                        member.borne.insert(table);
                    }
                    let whole = self.tables.size(table);
                    let size = match from {
                        Some(from) => whole.min(self.tables.lines_since(table, from)),
                        None => whole,
                    };
                    *lines.entry(proxy).or_default() += 1.0 + size as f64;
                }
                order => {
                    let reach = self.tables.apply(&order, self.deployment.operations.len());
                    for (&id, proxy) in &self.proxies {
                        let concerned = match reach {
                            AffectedProxies::None => false,
                            AffectedProxies::UsingTable(table) => {
                                proxy.tables.values().any(|&at| at == table)
                            }
                            AffectedProxies::MayUseServer(server) => {
                                proxy.tables.is_empty()
                                    || proxy.tables.values().any(|&at| self.tables.lists(at, server))
                            }
                            AffectedProxies::All => true,
                        };
                        if concerned {
                            *lines.entry(id).or_default() += 1.0;
                        }
                    }
                }
            }
        }
        if everyone {
            lines.extend(
                self.proxies
                    .keys()
                    .filter(|id| !lines.contains_key(id))
                    .map(|&id| (id, 0.0))
                    .collect::<Vec<_>>(),
            );
        }
        if serial.is_some() {
            lines.values_mut().for_each(|lines| *lines += 1.0);
        }
        if installed {
            self.weigh_tables();
        }
        let facts = facts(&self.roster, &self.deployment, &self.parts, now, self.wall);
        self.tables.publish(&facts, &Provenance::new("module", remarks.join("; ")));
        self.channel.put(now, &lines, serial);
    }

    /// By what came to each proxy in the last cycle; those that did not tell count as the mean of the others.
    fn weigh_tables(&mut self) {
        let known: f64 = self.rates.values().sum();
        let mean = if self.rates.is_empty() { 1.0 } else { known / self.rates.len() as f64 };
        let mut parts: BTreeMap<TableId, f64> = BTreeMap::new();
        for (id, proxy) in &self.proxies {
            let rate = self.rates.get(id).copied().unwrap_or(mean).max(f64::MIN_POSITIVE);
            for table in proxy.tables.values().copied().collect::<BTreeSet<_>>() {
                *parts.entry(table).or_default() += rate;
            }
        }
        let all: f64 = parts.values().sum();
        parts.values_mut().for_each(|part| *part /= all);
        self.parts = parts;
    }

    /// Orders as a supervisor with a planted fault would give them; as they are in service.
    fn planted(&self, now: Nanos, orders: Vec<Action>) -> Vec<Action> {
        let Some(fault) = self.deployment.injected_fault else { return orders };
        let cold =
            |server| self.roster.started_within(server, now, self.deployment.config.slow_start_duration);
        let bend = |order: Action| match (fault, order) {
            (InjectedFault::IgnoreDraining, Action::Exclude { .. }) => vec![],
            (InjectedFault::IgnoreDraining, Action::SetWeight { server, weight, .. })
                if weight == 0.0 && self.roster.draining(server) =>
            {
                vec![]
            }
            (
                InjectedFault::RetryEverything,
                Action::LimitAdmission { table, operations, limit: amount, .. },
            ) => {
                vec![Action::LimitAdmission {
                    table,
                    operations,
                    limit: amount,
                    retry_policy: RetryPolicy::Twice,
                }]
            }
            (InjectedFault::NoSlowStart, Action::SetWeight { table, server, .. }) if cold(server) => {
                vec![Action::SetWeight { table, server, weight: 1e4 }]
            }
            (InjectedFault::EmptyTables, Action::SetWeight { table, server, .. }) => {
                vec![Action::SetWeight { table, server, weight: 0.0 }]
            }
            (_, order) => vec![order],
        };
        let mut orders: Vec<Action> = orders.into_iter().flat_map(bend).collect();
        if fault == InjectedFault::FloodUpdates {
            orders.extend(self.tables.weights(0).map(|(server, weight)| {
                let weight = if weight > 1.2 { 1.0 } else { 1.3 };
                Action::SetWeight { table: 0, server, weight }
            }));
        }
        orders
    }

    /// Writes to a proxy all that changed since it was last written to.
    fn write(&mut self, now: Nanos, id: ProxyId) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        proxy.again_at = None;
        if proxy.front == Front::Advice {
            return self.advise(now, id);
        }
        let (ordered, mut serials) = proxy.due.take().unwrap_or((now, Vec::new()));
        serials.append(&mut proxy.parked);
        let Some(stream) = self.streams.get_mut(&proxy.peer) else { return };
        let tables = proxy.tables.clone();
        let mut said = Said { assignment: None, routes: None, lines: None, awaits: false, serials, at: now };
        let mut changed = |name: &str, version: Version| {
            let old = proxy.told.get(name).copied();
            (old != Some(version)).then(|| proxy.told.insert(name.to_owned(), version)).is_some()
        };
        let mut parts: Vec<(Part, Version)> = Vec::new();
        let mut collections = BTreeSet::new();
        let shun = (self.tables.excluded_version(), self.roster.version());
        if stream.serving.is_subscribed(types::ASSIGNMENT, EXCLUDED) && shun.0 > 0 && changed(EXCLUDED, shun)
        {
            parts.push((Part::Shunned, shun));
        }
        for (&at, &table) in &tables {
            let name = &self.deployment.operations[usize::from(at)];
            if !stream.serving.is_subscribed(types::ASSIGNMENT, name) || self.tables.is_withheld(table) {
                continue;
            }
            let (part, version) = if proxy.lines {
                let admitted = self.tables.admission_limit(table, at).to_bits();
                (Part::Collection(table, at), (admitted, table.into()))
            } else {
                (Part::Table(table, at), (self.tables.version(table), self.roster.version()))
            };
            if changed(name, version) {
                parts.push((part, version));
            }
            collections.insert(table);
        }
        let operations = 0..self.deployment.operations.len() as u16;
        let ways: Vec<RetryPolicy> = operations
            .map(|at| {
                tables.get(&at).map_or(RetryPolicy::Never, |&table| self.tables.retry_policy(table, at))
            })
            .collect();
        let number = ways.iter().fold(1, |sum, &way| sum * 4 + way as u64);
        let routed = !tables.is_empty() && stream.serving.is_subscribed(types::ROUTES, LISTENER);
        let routes = routed && changed(types::ROUTES, (number, 0));
        let variant = stream.serving.variant();
        for (type_url, parts) in [
            (types::ASSIGNMENT, parts),
            (types::ROUTES, if routes { vec![(Part::Routes(ways), (number, 0))] } else { Vec::new() }),
        ] {
            if parts.is_empty() {
                continue;
            }
            let group = (variant == Variant::Incremental, ordered, parts);
            let (nonce, message) = match self.shared.get(&group) {
                Some(shared) => shared.clone(),
                None => {
                    self.nonce += 1;
                    let resources = group.2.iter().map(|(part, version)| {
                        render(&mut self.tables, &self.roster, &self.deployment.operations, part, *version)
                    });
                    let response = Response {
                        type_url,
                        version: &match &self.shared_with {
                            Some(shared) => format!("{}/{}", shared.epoch(), self.nonce),
                            None => self.nonce.to_string(),
                        },
                        resources: resources.collect(),
                        removed: Vec::new(),
                        nonce: self.nonce,
                        stamp: ordered,
                    };
                    let shared = (self.nonce, frame(&response.encode(variant, &self.identity)));
                    self.shared.insert(group, shared.clone());
                    shared
                }
            };
            stream.serving.expect_ack(type_url, nonce);
            *if type_url == types::ROUTES { &mut said.routes } else { &mut said.assignment } = Some(nonce);
            self.effects.push(Effect::Say { peer: proxy.peer, message });
        }
        if proxy.lines {
            // One that is on no table yet has said what it holds, and will be.
            if !tables.is_empty() {
                proxy.telling.retain(|table, _| collections.contains(table));
            }
            for table in collections {
                let published = self.tables.store.newest_version(table) > 0;
                if !stream.serving.is_subscribed(types::LINE, &leds::collection(table)) {
                    said.awaits |= published;
                    continue;
                }
                let telling = proxy.telling.entry(table).or_default();
                let Some(from) = telling.next_base(&self.tables.store, table) else { continue };
                let shared = match self.shared_lines.get(&(table, from, ordered)) {
                    Some(shared) => shared.clone(),
                    None => {
                        self.nonce += 1;
                        let epoch = self.shared_with.as_ref().map(Shared::epoch);
                        let stamp = (self.nonce, ordered);
                        let message = delta_message(&self.tables, table, from, stamp, epoch, &self.identity);
                        let Some((message, number)) = message else { continue };
                        let shared = (self.nonce, message, number);
                        self.shared_lines.insert((table, from, ordered), shared.clone());
                        shared
                    }
                };
                let (nonce, message, number) = shared;
                telling.on_sent(now, number);
                proxy.borne.remove(&table);
                stream.serving.expect_ack(types::LINE, nonce);
                proxy.nonces.push_back((nonce, table, number));
                said.lines = Some(nonce);
                for earlier in proxy.said.iter_mut().filter(|said| said.awaits) {
                    (earlier.awaits, earlier.lines) = (false, Some(nonce));
                }
                self.effects.push(Effect::Say { peer: proxy.peer, message });
            }
        }
        proxy.said.push_back(said);
        self.confirm(now, id);
    }

    /// Answers what a client newly asks for: what stands at once, tables as they are.
    fn answer(&mut self, now: Nanos, peer: Peer, type_url: &str, names: Option<Vec<String>>) {
        let Some(stream) = self.streams.get_mut(&peer) else { return };
        let operations = &self.deployment.operations;
        let mut missing = Vec::new();
        let mut resources = Vec::new();
        match type_url {
            types::ASSIGNMENT | types::ROUTES => {
                let known = |name: &String| match type_url {
                    types::ROUTES => name == LISTENER,
                    _ => name == EXCLUDED || operations.contains(name),
                };
                let (ours, strange): (Vec<String>, Vec<String>) =
                    names.into_iter().flatten().partition(known);
                missing = strange;
                if let Some(proxy) = stream.proxy.and_then(|id| self.proxies.get_mut(&id)) {
                    for name in &ours {
                        proxy.told.remove(if type_url == types::ROUTES { types::ROUTES } else { name });
                        // Which collection an operation goes by says the same in any supervisor's words.
                        let held = stream.serving.resource_version(type_url, name).filter(|_| proxy.lines);
                        let held = held.and_then(|held| {
                            let (admitted, table) = held.split_once('.')?;
                            Some((admitted.parse().ok()?, table.parse().ok()?))
                        });
                        proxy.told.extend(held.map(|held| (name.clone(), held)));
                    }
                    // A table that it is on already goes with the next write; it cost the channel its lines.
                    if !ours.is_empty() && (!proxy.tables.is_empty() || !proxy.said.is_empty()) {
                        proxy.due.get_or_insert((now, Vec::new()));
                    }
                }
            }
            types::LINE => {
                let (ours, strange): (Vec<String>, Vec<String>) =
                    names.into_iter().flatten().partition(|name| leds::table_of(name).is_some());
                missing = strange;
                if let Some((id, proxy)) = stream.proxy.and_then(|id| Some((id, self.proxies.get_mut(&id)?)))
                {
                    for name in &ours {
                        let Some(table) = leds::table_of(name) else { continue };
                        let brought =
                            stream.serving.resource_version(types::LINE, name).and_then(Check::parse);
                        let telling = proxy.telling.entry(table).or_default();
                        telling.on_request(&self.tables.store, table, brought);
                        if proxy.borne.remove(&table) {
                            proxy.due.get_or_insert((now, Vec::new()));
                        } else if proxy.tables.values().any(|&at| at == table) {
                            let from = telling.next_base(&self.tables.store, table).unwrap_or(0);
                            owe(&mut self.owed, id, self.tables.lines_since(table, from));
                        }
                    }
                }
            }
            types::CLUSTER => {
                for name in names.unwrap_or_else(|| operations.clone()) {
                    if operations.contains(&name) {
                        resources.push(Resource { version: "1".into(), any: cluster(&name), name });
                    } else {
                        missing.push(name);
                    }
                }
            }
            _ => {
                for name in names.unwrap_or_else(|| vec![LISTENER.into()]) {
                    if name == LISTENER {
                        resources.push(Resource { version: "1".into(), any: listener(&name), name });
                    } else {
                        missing.push(name);
                    }
                }
            }
        }
        if !missing.is_empty() {
            self.effects
                .push(Effect::Odd(format!("asked for {missing:?} of {type_url}, which there is not")));
        }
        let stays_silent = resources.is_empty() && missing.is_empty();
        if !stays_silent
            && (![types::ASSIGNMENT, types::ROUTES, types::LINE].contains(&type_url) || !missing.is_empty())
        {
            self.nonce += 1;
            let (nonce, removed) = (self.nonce, missing);
            let response = Response { type_url, version: "1", resources, removed, nonce, stamp: now };
            let message = frame(&stream.serving.encode_response(response));
            self.effects.push(Effect::Say { peer, message });
        }
    }

    fn member(&mut self, peer: Peer) -> Option<(ProxyId, &mut Proxy)> {
        let id = self.streams.get(&peer)?.proxy?;
        self.proxies.get_mut(&id).map(|proxy| (id, proxy))
    }

    fn answered(&mut self, now: Nanos, peer: Peer, type_url: &str, nonce: u64) {
        let Some((id, proxy)) = self.member(peer) else { return };
        for said in &mut proxy.said {
            let open = match type_url {
                types::ASSIGNMENT => &mut said.assignment,
                types::ROUTES => &mut said.routes,
                types::LINE => &mut said.lines,
                _ => continue,
            };
            if open.is_some_and(|open| open <= nonce) {
                *open = None;
                proxy.turned_down = 0;
            }
        }
        if type_url == types::LINE {
            while let Some(&(said, table, number)) = proxy.nonces.front().filter(|said| said.0 <= nonce) {
                proxy.nonces.pop_front();
                // Older responses of the same table lead to older versions; what is confirmed is this one.
                if let Some(telling) = proxy.telling.get_mut(&table).filter(|_| said == nonce) {
                    telling.on_acknowledged(number);
                }
            }
        }
        self.confirm(now, id);
    }

    /// Marks count as answered once all that was said with them and before is.
    fn confirm(&mut self, now: Nanos, id: ProxyId) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        while proxy.said.front().is_some_and(Said::answered) {
            let serials = proxy.said.pop_front().map(|said| said.serials).unwrap_or_default();
            self.events.extend(serials.into_iter().map(|(serial, ordered)| Event::Acknowledged {
                proxy: id,
                serial: serial.into(),
                elapsed: now.saturating_sub(ordered),
            }));
        }
    }

    /// The proxy keeps what it had. Its marks stay unanswered until the same, said again, is held.
    fn turned_down(&mut self, now: Nanos, peer: Peer, type_url: &str, nonce: u64, why: &str) {
        let patience = self.patience;
        let Some((id, proxy)) = self.member(peer) else { return };
        proxy.turned_down += 1;
        proxy.told.clear();
        proxy.telling.values_mut().for_each(Subscription::retransmit);
        let verdict = patience.on_nack(now, proxy.turned_down);
        let mut text = format!("proxy {id} turned down response {nonce} of {type_url}: {why}");
        match verdict {
            NackResponse::ResendAt(at) => {
                // What was said and not answered is said anew as a whole, marks included.
                proxy.parked.extend(proxy.said.drain(..).flat_map(|said| said.serials));
                proxy.again_at = Some(at);
                text.push_str("; said again later");
            }
            NackResponse::Terminate => {
                let status =
                    Status::new(Code::FailedPrecondition, format!("turned down again and again: {why}"));
                self.ended(peer);
                self.effects.push(Effect::End { peer, status });
                text.push_str("; its stream is ended");
            }
        }
        self.effects.push(Effect::Odd(text));
    }

    /// Ends the streams of proxies that have not answered for too long: they join anew if they live.
    fn part_with_silent(&mut self, now: Nanos) {
        let since = |proxy: &Proxy| {
            let said = proxy.said.front().map(|said| said.at);
            said.into_iter().chain(proxy.due.as_ref().map(|due| due.0)).min()
        };
        let late = |proxy: &Proxy| since(proxy).is_some_and(|since| self.patience.ack_deadline(since) < now);
        let silent: Vec<Peer> =
            self.proxies.values().filter(|proxy| late(proxy)).map(|proxy| proxy.peer).collect();
        for peer in silent {
            self.ended(peer);
            let text = "tables were not acknowledged in time; join anew";
            self.effects.push(Effect::End { peer, status: Status::new(Code::DeadlineExceeded, text) });
        }
    }
}
