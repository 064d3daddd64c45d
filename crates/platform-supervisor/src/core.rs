//! One supervisor, free of sockets and clocks: bytes come in, the module decides, pushes go out.

use std::any::Any;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};

use bytes::Bytes;
use shalereel::brain::Controller;
use shalereel::interface::{
    Action, ControllerConfig, EndpointReport, Event, HealthCheckOutcome, Nanos, ProxyId, Readiness, ServerId,
    WatchEvent,
};
use shalereel_reactor::Timers;

use crate::http::Answer;
use crate::lines::Lines;
use crate::manners::Manners;
use crate::names::{Clocks, Names};
use crate::start::Start;
use crate::streams::Streams;
use crate::watch::{request, Watch};
use crate::words::{error, read, Said, Unread, ALIVE};

/// Whom a connection of ours is made to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Discovery(SocketAddr),
    Probe(ServerId, SocketAddr),
}

/// What the shell is to do. `C` names connections.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<C> {
    Write(C, Bytes),
    /// `abrupt`: with a reset.
    Close {
        conn: C,
        abrupt: bool,
    },
    /// Answered by [`Core::dialled`].
    Dial(Way),
    Log(String),
}

#[derive(Debug)]
enum Role {
    /// Has not joined.
    Stranger,
    Collector,
    Stream(ProxyId),
    Discovery(Box<Watch>),
    Probe {
        server: ServerId,
        answer: Answer,
        body: Vec<u8>,
        sent: Nanos,
    },
}

#[derive(Debug)]
struct Conn {
    role: Role,
    lines: Lines,
    heard: Nanos,
    /// Lines in a row that could not be read.
    noise: u32,
    /// Since when it has owed answers to marks and given none.
    owes_since: Option<Nanos>,
}

impl Conn {
    fn is_joined(&self) -> bool {
        matches!(self.role, Role::Collector | Role::Stream(_))
    }
}

#[derive(Clone, Copy, Debug)]
enum Due<C> {
    Module(u64),
    JoinBy(C),
    Dial,
    ProbeLate(C),
    /// Silent streams, silent discovery, servers that can be let go.
    Sweep,
}

pub struct Core<C> {
    start: Start,
    manners: Manners,
    names: Names,
    streams: Streams,
    brain: Controller,
    facts: ControllerConfig,
    conns: BTreeMap<C, Conn>,
    by_proxy: BTreeMap<ProxyId, C>,
    watch: Option<C>,
    /// Dialled, and its answer is awaited.
    dialling: bool,
    dial_failures: u32,
    /// The next watch asks for the whole list.
    whole: bool,
    /// When discovery last told something, be it that nothing has changed.
    discovery_heard: Option<Nanos>,
    /// The watch that stands has told its first list.
    watch_has_told: bool,
    chance: oorandom::Rand64,
    timers: Timers<Due<C>>,
    pending: Vec<Event>,
    decided: Nanos,
    /// Failures of the module in a row, and until when it rests.
    failures: u32,
    anew_at: Option<Nanos>,
    held: usize,
    effects: Vec<Effect<C>>,
    refused: BTreeMap<&'static str, u64>,
    log: (Nanos, u32, u32),
    reported: Nanos,
    bytes_told: u64,
}

impl<C: Copy + Ord + Debug> Core<C> {
    pub fn new(mut start: Start, clocks: Clocks) -> Self {
        let (facts, known) = (start.facts.clone(), start.known.take());
        let mut core = Core {
            manners: Manners::new(&facts, start.limits),
            names: Names::new(start.localities.clone(), start.kinds.clone()),
            streams: Streams::new(start.operations.len()),
            brain: Controller::new(&facts),
            conns: BTreeMap::new(),
            by_proxy: BTreeMap::new(),
            watch: None,
            dialling: false,
            dial_failures: 0,
            whole: false,
            discovery_heard: None,
            watch_has_told: false,
            chance: oorandom::Rand64::new(facts.seed.into()),
            timers: Timers::default(),
            pending: Vec::new(),
            decided: 0,
            failures: 0,
            anew_at: None,
            held: 0,
            effects: Vec::new(),
            refused: BTreeMap::new(),
            log: (clocks.now, 0, 0),
            reported: clocks.now,
            bytes_told: 0,
            facts,
            start,
        };
        match known {
            Some(known) => {
                let (news, faults) = core.names.take(known, clocks, None);
                core.faults(faults, clocks.now);
                let rows = match news {
                    WatchEvent::Full(rows) | WatchEvent::Delta(rows) => rows,
                    _ => Vec::new(),
                };
                core.pending.push(Event::Endpoints(WatchEvent::Cached(rows)));
            }
            None => {
                core.whole = true;
                core.pending.push(Event::Endpoints(WatchEvent::Cached(Vec::new())));
            }
        }
        core.timers.set(clocks.now, Due::Dial);
        core.timers.set(core.manners.sweep_at(clocks.now), Due::Sweep);
        core
    }

    pub fn manners(&self) -> &Manners {
        &self.manners
    }

    /// When [`Core::turn`] is due next.
    pub fn next(&self) -> Option<Nanos> {
        let batch = (!self.pending.is_empty()).then(|| self.batch_at());
        self.timers.next().into_iter().chain(batch).min()
    }

    fn batch_at(&self) -> Nanos {
        (self.decided + self.start.resolution).max(self.anew_at.unwrap_or_default())
    }

    pub fn effects(&mut self) -> Vec<Effect<C>> {
        std::mem::take(&mut self.effects)
    }

    /// Somebody has connected.
    pub fn opened(&mut self, conn: C, now: Nanos) {
        self.hold(conn, Role::Stranger, now);
        self.timers.set(self.manners.join_by(now), Due::JoinBy(conn));
    }

    fn hold(&mut self, conn: C, role: Role, now: Nanos) {
        self.conns
            .insert(conn, Conn { role, lines: Lines::default(), heard: now, noise: 0, owes_since: None });
    }

    /// A connection is over, by the peer or the network.
    pub fn closed(&mut self, conn: C, why: &str, now: Nanos) {
        let Some(Conn { role, lines, .. }) = self.conns.remove(&conn) else { return };
        self.held -= lines.held();
        match role {
            Role::Stranger => {}
            Role::Collector => self.say(now, format!("collector left: {why}")),
            Role::Stream(proxy) => self.left(proxy, conn, why, now),
            Role::Discovery(_) => self.watch_lost(why, now),
            Role::Probe { server, answer, body, sent } => {
                if answer.is_whole_at_close() {
                    self.probed(server, &answer, &body, now - sent);
                } else {
                    let ending = if answer.status().is_some() {
                        HealthCheckOutcome::Broken
                    } else {
                        HealthCheckOutcome::Unreachable
                    };
                    self.pending.push(Event::HealthChecked {
                        server,
                        outcome: ending,
                        elapsed: now - sent,
                        load: Vec::new(),
                    });
                }
            }
        }
    }

    fn left(&mut self, proxy: ProxyId, conn: C, why: &str, now: Nanos) {
        // The end of a stream that another has replaced tells nothing.
        if self.by_proxy.get(&proxy) == Some(&conn) {
            self.by_proxy.remove(&proxy);
            self.streams.leave(proxy);
            self.pending.push(Event::Left { proxy });
            self.say(now, format!("proxy {proxy} left: {why}"));
        }
    }

    /// Ends a connection from our side.
    fn close(&mut self, conn: C, abrupt: bool, why: &str, now: Nanos) {
        if self.conns.contains_key(&conn) {
            self.effects.push(Effect::Close { conn, abrupt });
            self.closed(conn, why, now);
        }
    }

    fn refuse(&mut self, conn: C, why: &'static str, now: Nanos) {
        *self.refused.entry(why).or_default() += 1;
        self.effects.push(Effect::Write(conn, error(why).into()));
        self.close(conn, false, why, now);
    }

    /// A message is dropped, and its connection stays.
    fn drop_message(&mut self, why: &'static str) {
        *self.refused.entry(why).or_default() += 1;
    }

    pub fn bytes(&mut self, conn: C, bytes: &[u8], clocks: Clocks) {
        let Some(held) = self.conns.get_mut(&conn) else { return };
        held.heard = clocks.now;
        match &mut held.role {
            Role::Discovery(watch) => {
                let (lists, end) = watch.take(bytes, self.manners.held(), clocks.now);
                self.listed(conn, lists, end, clocks);
                // An empty line tells that nothing has changed, once this watch has told what had.
                if self.watch == Some(conn) && self.watch_has_told {
                    self.discovery_heard = Some(clocks.now);
                }
                return;
            }
            Role::Probe { server, answer, body, sent } => {
                let taken = answer.take(bytes, body);
                if answer.is_over() && taken.is_ok() {
                    let (server, took) = (*server, clocks.now - *sent);
                    let (answer, body) = (std::mem::take(answer), std::mem::take(body));
                    self.conns.remove(&conn);
                    self.effects.push(Effect::Close { conn, abrupt: false });
                    self.probed(server, &answer, &body, took);
                } else if taken.is_err() || body.len() > self.manners.message(false) {
                    self.close(conn, true, "an answer to a probe that cannot be read", clocks.now);
                }
                return;
            }
            _ => {}
        }
        let mut lines = std::mem::take(&mut held.lines);
        let (before, most) = (lines.held(), self.manners.message(held.is_joined()));
        let read = lines.take(bytes, most, |line| self.line(conn, line, clocks.now));
        let Some(held) = self.conns.get_mut(&conn) else {
            // Closed meanwhile, when its lines were here.
            self.held -= before;
            return;
        };
        self.held = self.held - before + lines.held();
        held.lines = lines;
        if read.is_err() || self.held > self.manners.held() {
            self.refuse(conn, "message without end", clocks.now);
        }
    }

    fn line(&mut self, conn: C, line: &[u8], now: Nanos) {
        let Some(held) = self.conns.get_mut(&conn) else { return };
        let joined = held.is_joined();
        let said = match read(line) {
            Ok(said) => said,
            Err(_) if joined && line.trim_ascii().is_empty() => return,
            Err(Unread::Noise) if joined => {
                held.noise += 1;
                if self.manners.tired_of(held.noise) || line.first() != Some(&b'{') {
                    self.drop_message("unreadable");
                    return self.close(conn, true, "goes on with what cannot be read", now);
                }
                return self.drop_message("unreadable");
            }
            Err(Unread::Spoilt(_)) if joined => return self.drop_message("spoilt message"),
            Err(Unread::Noise) => return self.refuse(conn, "not JSON", now),
            Err(Unread::Spoilt(_)) => return self.refuse(conn, "no message of the protocol", now),
        };
        held.noise = 0;
        match (said, &held.role) {
            (Said::Probe {}, _) => self.effects.push(Effect::Write(conn, Bytes::from_static(ALIVE))),
            (Said::Agent { site }, Role::Stranger) => match self.names.locality(&site) {
                Some(_) => {
                    held.role = Role::Collector;
                    self.say(now, format!("collector of {site} joined"));
                }
                None => self.refuse(conn, "collector of an unknown zone", now),
            },
            (Said::Hello { id, site, rps, new }, Role::Stranger) => {
                let known = id < self.facts.proxy_count && rps >= 0.0 && rps.is_finite();
                match self.names.locality(&site).filter(|_| known) {
                    Some(locality) => self.joined(conn, id as ProxyId, locality, rps, new, now),
                    None => self.refuse(conn, "proxy that does not exist", now),
                }
            }
            (Said::Agent { .. } | Said::Hello { .. }, _) => self.drop_message("joined twice"),
            (_, Role::Stranger) => self.refuse(conn, "report before joining", now),
            (Said::Ack { id, seq, ms }, &Role::Stream(proxy)) if id == u32::from(proxy) => {
                if self.manners.is_span(ms) && self.streams.answered(proxy, seq) {
                    held.owes_since = self.streams.owes(proxy).then_some(now);
                    let took = (ms * 1e6) as Nanos;
                    self.pending.push(Event::Acknowledged { proxy, serial: seq, elapsed: took });
                } else {
                    self.drop_message("answer to no mark");
                }
            }
            (Said::Ack { .. }, _) => self.drop_message("answer to no mark"),
            (Said::Outcomes { site, target, count, fail, mean, over, util }, _) => {
                let mean = mean.filter(|_| count > fail).or((count == fail).then_some(0.0));
                let (locality, server) = (self.names.locality(&site), self.names.number(&target));
                match (locality, server, mean.filter(|&mean| self.manners.is_time(mean))) {
                    (Some(locality), Some(server), Some(mean))
                        if fail <= count && self.manners.is_span(over) =>
                    {
                        let load = self.load(util);
                        let answer_time = (mean * 1e6) as Nanos;
                        let window = (over * 1e6) as Nanos;
                        let (tries, lost) = (count, fail);
                        let digest = EndpointReport {
                            server,
                            locality,
                            attempts: tries,
                            failures: lost,
                            response_time: answer_time,
                            window,
                            load,
                        };
                        self.pending.push(Event::EndpointReport(digest));
                    }
                    _ => self.drop_message("impossible report"),
                }
            }
            (Said::Demand { id, lane, count, fail, over }, _) => {
                let operation = self.start.operations.iter().position(|name| *name == lane);
                let proxy = ProxyId::try_from(id).ok().filter(|proxy| self.by_proxy.contains_key(proxy));
                match (operation, proxy) {
                    (Some(operation), Some(proxy)) if fail <= count && self.manners.is_span(over) => {
                        let window = (over * 1e6) as Nanos;
                        let (operation, total, lost) = (operation as u16, count, fail);
                        self.pending.push(Event::DemandReport {
                            proxy,
                            operation,
                            total,
                            failures: lost,
                            window,
                        });
                    }
                    (Some(_), None) if id < self.facts.proxy_count => {}
                    _ => self.drop_message("impossible report"),
                }
            }
        }
    }

    /// Values of a load report in the order of the settings' columns; a name that is not there counts as 0.
    fn load(&self, util: Option<BTreeMap<String, f64>>) -> Vec<f64> {
        let Some(util) = util else { return Vec::new() };
        self.start.columns.iter().map(|name| util.get(name).copied().unwrap_or_default()).collect()
    }

    fn joined(&mut self, conn: C, proxy: ProxyId, locality: u16, rate: f64, new: bool, now: Nanos) {
        if let Some(old) = self.by_proxy.get(&proxy).copied() {
            self.close(old, true, "a new stream has come", now);
        }
        if let Some(held) = self.conns.get_mut(&conn) {
            held.role = Role::Stream(proxy);
        }
        self.by_proxy.insert(proxy, conn);
        self.streams.join(proxy, new);
        self.pending.push(Event::Joined { proxy, locality, rate, is_new: new });
        self.say(now, format!("proxy {proxy} joined{}", if new { "" } else { ", holding what it was told" }));
    }

    /// The answer to [`Effect::Dial`].
    pub fn dialled(&mut self, way: Way, result: Result<C, String>, now: Nanos) {
        match (way, result) {
            (Way::Discovery(address), Ok(conn)) => {
                self.dialling = false;
                self.hold(conn, Role::Discovery(Box::new(Watch::new(now))), now);
                self.watch = Some(conn);
                self.watch_has_told = false;
                let after = (!self.whole).then_some(self.names.version);
                self.effects.push(Effect::Write(conn, request(address, after).into()));
            }
            (Way::Discovery(_), Err(why)) => {
                self.dialling = false;
                self.watch_lost(&why, now);
            }
            (Way::Probe(server, address), Ok(conn)) => {
                let role = Role::Probe { server, answer: Answer::default(), body: Vec::new(), sent: now };
                self.hold(conn, role, now);
                let path = if self.start.columns.is_empty() { "/-/healthy" } else { "/-/load" };
                let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
                self.effects.push(Effect::Write(conn, text.into_bytes().into()));
                self.timers.set(self.manners.probed_by(now), Due::ProbeLate(conn));
            }
            (Way::Probe(server, _), Err(_)) => {
                // A lack of descriptors of ours says nothing of the server.
                let ending = HealthCheckOutcome::Other;
                self.pending.push(Event::HealthChecked {
                    server,
                    outcome: ending,
                    elapsed: 0,
                    load: Vec::new(),
                });
            }
        }
    }

    fn probed(&mut self, server: ServerId, answer: &Answer, body: &[u8], took: Nanos) {
        let ending = match answer.status() {
            Some(200) => HealthCheckOutcome::Answered,
            Some(503) => HealthCheckOutcome::Rejected,
            _ => HealthCheckOutcome::Errored,
        };
        let load = self.load(serde_json::from_slice(body).ok());
        self.pending.push(Event::HealthChecked { server, outcome: ending, elapsed: took, load });
    }

    /// Takes in the lists that came, then the end of the watch, if it came with them.
    fn listed(&mut self, conn: C, lists: Vec<crate::words::List>, end: Option<String>, clocks: Clocks) {
        for list in lists {
            if !list.full && list.version < self.names.version {
                // Another agent, or the same begun anew, counts otherwise: what it has told since is not known,
                // and would be missing for good. The whole list settles it.
                self.drop_message("old list");
                self.whole = true;
                return self.close(conn, true, "versions go back: the whole list is asked for", clocks.now);
            }
            self.dial_failures = 0;
            self.whole = false;
            let (version, full, count) = (list.version, list.full, list.servers.len());
            let (news, faults) = self.names.take(list, clocks, self.discovery_heard);
            self.watch_has_told = true;
            self.faults(faults, clocks.now);
            if full || count > 0 {
                let kind = if full { "whole" } else { "changes" };
                self.say(clocks.now, format!("list version {version}, {kind}: {count} servers"));
                self.pending.push(Event::Endpoints(news));
            }
        }
        if let Some(why) = end {
            self.close(conn, true, &why, clocks.now);
        }
    }

    fn faults(&mut self, faults: Vec<String>, now: Nanos) {
        for fault in faults {
            self.drop_message("entry of the list");
            self.say(now, format!("the list: {fault}; the entry is left as it was"));
        }
    }

    fn watch_lost(&mut self, why: &str, now: Nanos) {
        self.watch = None;
        let chance = self.chance.rand_float();
        self.timers.set(self.manners.dial_again(now, self.dial_failures, chance), Due::Dial);
        self.dial_failures += 1;
        self.say(now, format!("discovery lost: {why}"));
    }

    /// The file was read again: discovery is elsewhere. List, tables and streams live on.
    pub fn move_discovery(&mut self, discovery: SocketAddr, now: Nanos) {
        if self.start.discovery == discovery {
            return self.say(now, "settings read again: nothing has moved".into());
        }
        self.say(now, format!("settings read again: discovery moves to {discovery}"));
        self.start.discovery = discovery;
        self.dial_failures = 0;
        match self.watch.take() {
            Some(conn) => self.close(conn, false, "discovery has moved", now),
            None => drop(self.timers.set(now, Due::Dial)),
        }
    }

    /// Does what is due: timers, and a batch for the module.
    pub fn turn(&mut self, clocks: Clocks) {
        let now = clocks.now;
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Module(token) => self.pending.push(Event::TimerFired { token }),
                Due::JoinBy(conn) => {
                    if matches!(self.conns.get(&conn), Some(Conn { role: Role::Stranger, .. })) {
                        self.refuse(conn, "not joined in time", now);
                    }
                }
                Due::ProbeLate(conn) => {
                    if let Some(Conn { role: Role::Probe { server, sent, .. }, .. }) = self.conns.get(&conn) {
                        let (server, took) = (*server, now - sent);
                        self.conns.remove(&conn);
                        self.effects.push(Effect::Close { conn, abrupt: true });
                        let ending = HealthCheckOutcome::TimedOut;
                        self.pending.push(Event::HealthChecked {
                            server,
                            outcome: ending,
                            elapsed: took,
                            load: Vec::new(),
                        });
                    }
                }
                Due::Dial => {
                    if self.watch.is_none() && !self.dialling {
                        self.dialling = true;
                        self.effects.push(Effect::Dial(Way::Discovery(self.start.discovery)));
                    }
                }
                Due::Sweep => self.sweep(now),
            }
        }
        if !self.pending.is_empty() && now >= self.batch_at() {
            self.consult(clocks);
        }
    }

    fn sweep(&mut self, now: Nanos) {
        self.timers.set(self.manners.sweep_at(now), Due::Sweep);
        if let Some(conn) = self.watch {
            let heard = self.conns.get(&conn).map_or(now, |held| held.heard);
            if now.saturating_sub(heard) > self.manners.watch_silence() {
                self.close(conn, true, "discovery is silent", now);
            }
        }
        let patience = self.manners.stream_silence();
        // A proxy to which nothing comes has nothing to say until it is told something.
        let silent = |conn: &Conn| {
            let owed = conn.owes_since.map(|since| now.saturating_sub(since.max(conn.heard)));
            owed.is_some_and(|owed| owed > patience)
        };
        let silent: Vec<C> = self
            .conns
            .iter()
            .filter(|(_, conn)| matches!(conn.role, Role::Stream(_)) && silent(conn))
            .map(|(&conn, _)| conn)
            .collect();
        for conn in silent {
            self.drop_message("silent stream");
            self.close(conn, true, "silent, and owes answers", now);
        }
        let (before, streams) = (self.manners.let_go_before(now), &mut self.streams);
        for server in self.names.let_go(before, |server| streams.names(server)) {
            streams.forget(server);
        }
        if now >= self.manners.report_at(self.reported) {
            self.report(now);
        }
    }

    /// Lets the module decide on what has come, and carries its orders out.
    fn consult(&mut self, clocks: Clocks) {
        self.decided = clocks.now;
        if self.anew_at.take().is_some() {
            self.begin_anew(clocks.now);
        }
        let (events, time) = (std::mem::take(&mut self.pending), clocks.module());
        tracing::debug!(?events, "batch");
        let brain = &mut self.brain;
        let decided = catch_unwind(AssertUnwindSafe(|| brain.decide(time, events)));
        let orders = match decided {
            Ok(orders) => orders,
            Err(panic) => return self.failed(panic_text(panic.as_ref()).to_owned(), clocks.now),
        };
        tracing::debug!(?orders, "decided");
        match self.streams.take(&orders, &self.names, &self.start.operations) {
            Ok(messages) => {
                self.failures = 0;
                tracing::debug!(told = ?self.streams.told, "told");
                for (proxy, bytes) in messages {
                    if let Some(&conn) = self.by_proxy.get(&proxy) {
                        self.bytes_told += bytes.len() as u64;
                        if let Some(held) = self.conns.get_mut(&conn).filter(|_| self.streams.owes(proxy)) {
                            held.owes_since.get_or_insert(clocks.now);
                        }
                        self.effects.push(Effect::Write(conn, bytes));
                    }
                }
            }
            Err(impossible) => return self.failed(impossible.to_string(), clocks.now),
        }
        for order in orders {
            match order {
                Action::SetTimer { delay, token } => {
                    self.timers.set(clocks.now.saturating_add(delay), Due::Module(token));
                }
                Action::Log(line) => {
                    let line = self.named(&line);
                    self.say(clocks.now, line);
                }
                Action::CheckHealth { server } => {
                    let address = self.names.get(server).and_then(|server| server.address);
                    if let Some(address) = address.filter(|_| self.facts.health_checks_allowed) {
                        self.effects.push(Effect::Dial(Way::Probe(server, address)));
                    }
                }
                Action::FetchEndpoints => {
                    self.whole = true;
                    match self.watch {
                        Some(conn) => self.close(conn, false, "the whole list is asked for", clocks.now),
                        None => drop(self.timers.set(clocks.now, Due::Dial)),
                    }
                }
                _ => {}
            }
        }
    }

    /// The module has failed: its reply is dropped, and another begins when its pause is over.
    pub fn failed(&mut self, why: String, now: Nanos) {
        self.failures += 1;
        self.drop_message("failure of the module");
        self.say(now, format!("the module has failed and begins anew: {why}"));
        self.anew_at = Some(self.manners.anew_at(now, self.failures));
        // So that there is a batch to begin with.
        self.pending.push(Event::Endpoints(WatchEvent::Delta(Vec::new())));
    }

    /// A new module hears of the list and of the proxies that are joined, then of what came meanwhile.
    fn begin_anew(&mut self, now: Nanos) {
        self.brain = Controller::new(&self.facts);
        self.streams.begin_anew();
        let mut timers = Timers::default();
        std::mem::swap(&mut timers, &mut self.timers);
        while let Some((at, due)) = timers.pop() {
            if !matches!(due, Due::Module(_)) {
                self.timers.set(at, due);
            }
        }
        let lines = self.streams.unanswered(self.facts.message_overhead);
        let mut events =
            vec![Event::Backlog { lines }, Event::Endpoints(WatchEvent::Full(self.names.rows()))];
        let rate = 0.0;
        events.extend(self.streams.proxies().map(|proxy| Event::Joined {
            proxy,
            locality: self.facts.locality,
            rate,
            is_new: false,
        }));
        let known = |event: &Event| {
            !matches!(
                event,
                Event::Endpoints(_) | Event::Joined { .. } | Event::Left { .. } | Event::TimerFired { .. }
            )
        };
        events.extend(std::mem::take(&mut self.pending).into_iter().filter(known));
        self.pending = events;
        self.say(now, format!("a new module hears of {} proxies", self.streams.count()));
    }

    /// The module's numbers of servers, as the platform's names.
    fn named(&self, line: &str) -> String {
        let mut words = line.split(' ').peekable();
        let mut out: Vec<&str> = Vec::new();
        while let Some(word) = words.next() {
            out.push(word);
            if word == "server" {
                let number = words.peek().and_then(|word| word.trim_end_matches(':').parse().ok());
                if let Some(server) = number.and_then(|number| self.names.get(number)) {
                    words.next();
                    out.push(&server.name);
                }
            }
        }
        out.join(" ")
    }

    /// One line on how things stand, and one on what the module believes of servers that are not well.
    fn report(&mut self, now: Nanos) {
        self.reported = now;
        let told = self.streams.told;
        let count = |readiness| self.names.iter().filter(|(_, s)| s.row.readiness == readiness).count();
        let strangers = self.conns.values().filter(|conn| matches!(conn.role, Role::Stranger)).count();
        let refused: Vec<String> = self.refused.iter().map(|(why, count)| format!("{why} {count}")).collect();
        let line = format!(
            "{} proxies joined, {} with tables; servers: {} ready, {} draining, {} gone; list version {}{}; \
             {} connections, {strangers} not joined; {} messages, {} lines, {} bytes, {} out, {} back; refused: {}",
            self.streams.count(),
            self.streams.bound(),
            count(Readiness::Ready),
            count(Readiness::Draining),
            count(Readiness::Removed),
            self.names.version,
            if self.watch.is_some() { "" } else { ", no watch" },
            self.conns.len(),
            told.messages,
            told.lines,
            self.bytes_told,
            told.out,
            told.back,
            if refused.is_empty() { "nothing".into() } else { refused.join(", ") },
        );
        self.say(now, line);
    }

    /// A line of log, unless there were too many in this second.
    fn say(&mut self, now: Nanos, line: String) {
        let (since, said, left_out) = self.log;
        let (span, most) = self.manners.log();
        if now.saturating_sub(since) >= span {
            if left_out > 0 {
                self.effects.push(Effect::Log(format!("{left_out} lines left out")));
            }
            self.log = (now, 1, 0);
        } else if said >= most {
            self.log.2 += 1;
            return;
        } else {
            self.log.1 += 1;
        }
        self.effects.push(Effect::Log(line));
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without text")
}
