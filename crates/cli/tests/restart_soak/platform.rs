//! The platform around one supervisor process, in one event loop: discovery, proxies, the channel, collectors
//! and clients. Discovery, proxies and collectors are real connections on loopback; requests and servers are
//! simulated.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

use oorandom::Rand64;
use rustix::process::Signal;
use serde_json::json;
use shalereel_reactor::{now, Nanos, Reactor, Timers, Token, MILLI, SECOND};

use crate::channel::{Channel, ChannelSettings};
use crate::connection::Connection;
use crate::discovery::{server_name, Discovery};
use crate::judge::{Judge, Listing, RuleLimits};
use crate::process::{reported, Supervisor, LOCALITIES, OPERATIONS};
use crate::proxy::{Proxy, UpdateLine};
use crate::schedule::{KnownList, Schedule, Step, PROXIES, SERVERS};

/// Requests per second of a proxy.
const REQUESTS_PER_S: f64 = 8.0;
/// Longest time that the event loop waits.
const LOOP_INTERVAL: Nanos = 2 * MILLI;
/// Time between two attempts to reach a supervisor that does not answer yet.
const PROBE_INTERVAL: Nanos = 10 * MILLI;
const MAX_START_UP: Nanos = 10 * SECOND;
/// Time after which a proxy gives up on a server that does not respond.
const REQUEST_TIMEOUT: Nanos = 1_200 * MILLI;
const EMPTY_LINE_INTERVAL: Nanos = 2 * SECOND;
/// Number of servers that a proxy of another supervisor excludes.
const FOREIGN_EXCLUSIONS: usize = 20;

/// Something that happens at a time.
enum Timer {
    Step(Step),
    Dial(u32),
    Probe,
    /// A message arrives at a proxy, if its connection is still the one with this number.
    Deliver {
        proxy: u32,
        generation: u64,
        entered_at: Nanos,
        update: Vec<UpdateLine>,
    },
    Outcome(Outcome),
    /// Collectors report what they have counted.
    Report,
    ReportArrives {
        locality: usize,
        lines: Vec<u8>,
    },
    EmptyLine,
}

/// The result of a request at a server.
#[derive(Clone, Copy)]
struct Outcome {
    locality: usize,
    server: usize,
    /// `None` if the request failed.
    response_time: Option<Nanos>,
}

/// Counts of a report interval for one server, as the proxies of a locality see it.
#[derive(Clone, Copy, Default)]
struct OutcomeCounts {
    attempts: u32,
    failures: u32,
    response_time_ms: f64,
}

/// The measures of a run.
#[derive(Debug)]
pub struct Report {
    pub judge: Judge,
    pub readmissions_after_restart: usize,
    pub lines_by_traffic: usize,
    pub log: Vec<String>,
}

pub struct Platform {
    schedule: Schedule,
    random: Rand64,
    reactor: Reactor,
    timers: Timers<Timer>,
    started_at: Nanos,
    supervisor: Supervisor,
    is_alive: bool,
    restarts: u32,
    probe: Option<Connection>,
    discovery: Discovery,
    first_list: serde_json::Value,
    drained: Vec<usize>,
    channel: Channel,
    proxies: BTreeMap<u32, Proxy>,
    proxy_by_token: BTreeMap<Token, u32>,
    collectors: Vec<Option<Connection>>,
    silent_clients: Vec<Connection>,
    outcomes: BTreeMap<(usize, usize), OutcomeCounts>,
    demand: BTreeMap<(u32, usize), (u32, u32)>,
    last_requests_at: Nanos,
    judge: Judge,
    readmissions_after_restart: usize,
    lines_by_traffic: usize,
    trace: Option<std::fs::File>,
}

impl Platform {
    pub fn new(schedule: Schedule, name: &str) -> Self {
        let mut reactor = Reactor::new().unwrap();
        let started_at = now();
        let discovery = Discovery::new(SERVERS, &mut reactor);
        let channel = ChannelSettings {
            lines_per_s: reported::LINES_PER_S * schedule.channel_pace,
            overhead: reported::MESSAGE_OVERHEAD,
            mean_transit: reported::MEAN_TRANSIT_MS * MILLI,
            worst_transit: reported::WORST_TRANSIT_MS * MILLI,
        };
        let limits = RuleLimits {
            drain_grace: reported::DRAIN_GRACE_MS * MILLI,
            max_unserved: reported::MAX_UNSERVED_MS * MILLI,
            slow_start: reported::SLOW_START_MS * MILLI,
            channel_capacity: reported::CHANNEL_CAPACITY,
        };
        let supervisor = Supervisor::new(name, discovery.address);
        let trace = std::env::var_os("SHALEREEL_TRACE").map(|_| supervisor.create_file("trace"));
        Platform {
            random: Rand64::new(u128::from(schedule.seed) ^ 0x5eed),
            reactor,
            timers: Timers::default(),
            started_at,
            supervisor,
            is_alive: false,
            restarts: 0,
            probe: None,
            first_list: discovery.full_list(),
            discovery,
            drained: Vec::new(),
            channel: Channel::new(channel, schedule.seed),
            proxies: (0..PROXIES).map(|id| (id, Proxy::new(id, SERVERS))).collect(),
            proxy_by_token: BTreeMap::new(),
            collectors: LOCALITIES.iter().map(|_| None).collect(),
            silent_clients: Vec::new(),
            outcomes: BTreeMap::new(),
            demand: BTreeMap::new(),
            last_requests_at: started_at,
            judge: Judge::new(limits, SERVERS, started_at),
            readmissions_after_restart: 0,
            lines_by_traffic: 0,
            trace,
            schedule,
        }
    }

    /// Plays the schedule.
    pub fn run(mut self) -> Report {
        self.start(KnownList::First, now());
        while !self.is_alive {
            self.turn();
            assert!(now() < self.started_at + MAX_START_UP, "the supervisor does not start");
        }
        let begin = now();
        for (at, step) in self.schedule.steps.clone() {
            self.timers.set(begin + at, Timer::Step(step));
        }
        self.timers.set(begin + SECOND, Timer::Report);
        self.timers.set(begin, Timer::EmptyLine);
        for id in 0..PROXIES {
            let at = begin + self.between(0, 500) * MILLI;
            self.timers.set(at, Timer::Dial(id));
        }
        let end = begin + self.schedule.length;
        while now() < end {
            self.turn();
            if self.supervisor.has_ended() && self.is_alive {
                self.is_alive = false;
                self.judge.violation(now(), || "the supervisor has ended by itself".into());
            }
        }
        if !self.is_alive {
            self.judge.violation(now(), || "no supervisor at the end".into());
        }
        self.supervisor.kill();
        Report {
            judge: self.judge,
            readmissions_after_restart: self.readmissions_after_restart,
            lines_by_traffic: self.lines_by_traffic,
            log: ["missed", "late:", "account", "panic", "faults since"]
                .iter()
                .flat_map(|text| self.supervisor.log_lines(text))
                .collect(),
        }
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.random.rand_range(least..most + 1)
    }

    fn trace(&mut self, at: Nanos, text: impl FnOnce() -> String) {
        if let Some(file) = &mut self.trace {
            let at = at.saturating_sub(self.started_at) as f64 / SECOND as f64;
            let _ = writeln!(file, "{at:8.3} {}", text());
        }
    }

    /// Waits for the next event and handles all that are due.
    fn turn(&mut self) {
        let until = self.timers.next_at().unwrap_or(Nanos::MAX).min(now() + LOOP_INTERVAL);
        let tokens = self.reactor.wait(Some(until)).unwrap();
        self.discovery.ready(&tokens, &mut self.reactor);
        for token in &tokens {
            if let Some(&id) = self.proxy_by_token.get(token) {
                self.proxy_ready(id);
            }
        }
        self.read_other_connections();
        while let Some(timer) = self.timers.pop_due(now()) {
            self.handle(timer);
        }
        self.send_requests();
    }

    fn handle(&mut self, timer: Timer) {
        let at = now();
        match timer {
            Timer::Step(step) => self.take_step(step),
            Timer::Dial(id) => self.dial(id),
            Timer::Probe => self.dial_probe(),
            Timer::Deliver { proxy, generation, entered_at, update } => {
                self.deliver(proxy, generation, entered_at, &update);
            }
            Timer::Outcome(outcome) => self.count_outcome(outcome),
            Timer::Report => {
                self.timers.set(at + reported::REPORT_INTERVAL_MS * MILLI, Timer::Report);
                self.report();
            }
            Timer::ReportArrives { locality, lines } => self.report_arrives(locality, &lines),
            Timer::EmptyLine => {
                self.timers.set(at + EMPTY_LINE_INTERVAL, Timer::EmptyLine);
                self.discovery.write_empty_line();
            }
        }
    }

    fn take_step(&mut self, step: Step) {
        let at = now();
        self.trace(at, || format!("step {step:?}"));
        match step {
            Step::Rotate { drained } => self.rotate(drained),
            Step::Kill => {
                self.supervisor.kill();
                self.is_alive = false;
                self.channel.process_ended();
            }
            Step::Terminate => {
                self.supervisor.signal(Signal::TERM);
                self.is_alive = false;
            }
            Step::Reload => self.supervisor.signal(Signal::HUP),
            Step::Stop => self.supervisor.signal(Signal::STOP),
            Step::Continue => self.supervisor.signal(Signal::CONT),
            Step::Start(known) => {
                self.restarts += 1;
                self.readmissions_after_restart = 0;
                self.start(known, at);
            }
            Step::Crowd(count) => self.add_crowd(count),
            Step::ChannelPace(pace) => self.channel.set_rate(pace * reported::LINES_PER_S),
            Step::ResetProxies(count) => self.reset_proxies(count),
            Step::ResetWatch => self.discovery.reset_watches(),
            Step::SilentClients(count) => {
                for _ in 0..count {
                    let client = Connection::dial(self.supervisor.address, &mut self.reactor);
                    self.silent_clients.extend(client);
                }
            }
        }
    }

    fn rotate(&mut self, drained: Vec<usize>) {
        let at = now();
        let returned = std::mem::replace(&mut self.drained, drained);
        let returned = returned.into_iter().filter(|server| !self.drained.contains(server));
        let returned = returned.map(|server| (server, true));
        let changes: Vec<(usize, bool)> =
            self.drained.iter().map(|&server| (server, false)).chain(returned).collect();
        let unix_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let started_ms = self.schedule.returns_restarted.then_some(unix_ms.as_millis() as f64);
        self.discovery.change(&changes, started_ms);
        let returned = Listing::Ready { started_at: self.schedule.returns_restarted.then_some(at) };
        for (server, is_ready) in changes {
            self.judge.listed(server, if is_ready { returned } else { Listing::Draining }, at);
        }
    }

    fn start(&mut self, known: KnownList, at: Nanos) {
        let known = match known {
            KnownList::First => Some(self.first_list.clone()),
            KnownList::Newest => Some(self.discovery.full_list()),
            KnownList::None => None,
        };
        self.supervisor.start(known);
        self.timers.set(at, Timer::Probe);
    }

    fn dial_probe(&mut self) {
        if self.is_alive {
            return;
        }
        self.timers.set(now() + PROBE_INTERVAL, Timer::Probe);
        if self.probe.is_none() {
            self.probe = Connection::dial(self.supervisor.address, &mut self.reactor);
            if let Some(probe) = &mut self.probe {
                probe.send(b"{\"t\":\"probe\"}\n");
            }
        }
    }

    /// Reads the probe, the collectors' connections and those of silent clients.
    fn read_other_connections(&mut self) {
        if let Some(probe) = &mut self.probe {
            probe.flush();
            let (lines, is_open) = probe.read_lines();
            if !lines.is_empty() {
                self.is_alive = true;
                self.judge.supervisor_alive(now());
                self.trace(now(), || "alive".into());
            }
            if !is_open || !lines.is_empty() {
                self.probe = None;
            }
        }
        for collector in &mut self.collectors {
            if let Some(connection) = collector {
                connection.flush();
                if !connection.read_lines().1 {
                    *collector = None;
                }
            }
        }
        self.silent_clients.retain_mut(|client| client.read_lines().1);
    }

    /// Adds proxies whose supervisor has ended. They join within a second.
    fn add_crowd(&mut self, count: u32) {
        for id in PROXIES..PROXIES + count {
            let excluded: BTreeSet<usize> =
                (0..FOREIGN_EXCLUSIONS).map(|_| self.between(0, SERVERS as u64 - 1) as usize).collect();
            self.proxies.insert(id, Proxy::of_another_supervisor(id, SERVERS, excluded));
            let at = now() + self.between(0, 1_000) * MILLI;
            self.timers.set(at, Timer::Dial(id));
        }
    }

    /// Resets the connections of randomly chosen proxies.
    fn reset_proxies(&mut self, count: u32) {
        for _ in 0..count {
            let id = self.between(0, u64::from(PROXIES) - 1) as u32;
            let Some(proxy) = self.proxies.get_mut(&id) else { continue };
            let Some(connection) = proxy.connection.take() else { continue };
            connection.reset();
            proxy.joined_at = None;
            self.proxy_by_token.remove(&connection.token);
            self.dial_later(id);
        }
    }

    fn dial(&mut self, id: u32) {
        let connection = Connection::dial(self.supervisor.address, &mut self.reactor);
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let Some(mut connection) = connection else { return self.dial_later(id) };
        let hello = json!({"t": "hello", "id": id, "site": proxy.locality_name(), "rps": REQUESTS_PER_S,
            "new": proxy.is_new});
        connection.send(format!("{hello}\n").as_bytes());
        self.proxy_by_token.insert(connection.token, id);
        proxy.generation += 1;
        proxy.joined_at = None;
        proxy.connection = Some(connection);
        proxy.partial.clear();
    }

    fn dial_later(&mut self, id: u32) {
        let (from, to) = self.schedule.reconnect;
        let at = now() + self.between(from, to);
        self.timers.set(at, Timer::Dial(id));
    }

    /// Reads a proxy's connection; messages enter the channel as they are complete.
    fn proxy_ready(&mut self, id: u32) {
        let at = now();
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let Some(connection) = &mut proxy.connection else { return };
        connection.flush();
        let token = connection.token;
        let (lines, is_open) = connection.read_lines();
        if is_open && proxy.joined_at.is_none() {
            proxy.joined_at = Some(at);
        }
        for line in lines {
            let line: UpdateLine = serde_json::from_slice(&line).expect("an update");
            self.line_received(id, line, at);
        }
        if !is_open {
            self.proxy_by_token.remove(&token);
            if let Some(proxy) = self.proxies.get_mut(&id) {
                proxy.connection = None;
                proxy.joined_at = None;
            }
            self.dial_later(id);
        }
    }

    fn line_received(&mut self, id: u32, line: UpdateLine, at: Nanos) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let has_more = line.more;
        proxy.partial.push(line);
        if has_more {
            return;
        }
        let update = std::mem::take(&mut proxy.partial);
        let lines: usize = update.iter().map(UpdateLine::channel_lines).sum();
        let readmissions: usize = update.iter().map(UpdateLine::readmissions).sum();
        if self.restarts > 0 {
            self.readmissions_after_restart += readmissions;
        }
        self.lines_by_traffic += lines;
        let arrives_at = self.channel.enter(lines, at).max(proxy.last_arrival);
        proxy.last_arrival = arrives_at;
        let deliver = Timer::Deliver { proxy: id, generation: proxy.generation, entered_at: at, update };
        self.timers.set(arrives_at, deliver);
        let waiting = self.channel.waiting_lines(at);
        self.judge.lines_waiting(waiting, at);
        self.trace(at, || format!("to {id}: {lines} lines, {readmissions} back, {waiting:.0} waiting"));
    }

    fn deliver(&mut self, id: u32, generation: u64, entered_at: Nanos, update: &[UpdateLine]) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        if proxy.generation != generation {
            return;
        }
        let Some(connection) = &mut proxy.connection else { return };
        for serial in update.iter().filter_map(|line| line.ticket) {
            let elapsed_ms = now().saturating_sub(entered_at) as f64 / MILLI as f64;
            let ack = json!({"t": "ack", "id": id, "seq": serial, "ms": elapsed_ms});
            connection.send(format!("{ack}\n").as_bytes());
        }
        proxy.apply(update);
    }

    /// Sends the requests of all proxies since the last call.
    fn send_requests(&mut self) {
        let at = now();
        let span = at.saturating_sub(self.last_requests_at) as f64 / SECOND as f64;
        self.last_requests_at = at;
        let expected = span * REQUESTS_PER_S * self.proxies.len() as f64;
        let count = expected as u64 + u64::from(self.random.rand_float() < expected.fract());
        let ids: Vec<u32> = self.proxies.keys().copied().collect();
        for _ in 0..count {
            let id = ids[self.between(0, ids.len() as u64 - 1) as usize];
            let operation = self.between(0, OPERATIONS.len() as u64 - 1) as usize;
            self.send_request(id, operation, at);
        }
    }

    fn send_request(&mut self, id: u32, operation: usize, at: Nanos) {
        let Some(proxy) = self.proxies.get(&id) else { return };
        let joined_at = proxy.joined_at;
        let picked = proxy.pick(operation, &mut self.random);
        let demand = self.demand.entry((id, operation)).or_default();
        demand.0 += 1;
        let Some(server) = picked else {
            demand.1 += 1;
            if let Some(joined_at) = joined_at {
                self.judge.no_server(id, joined_at, at);
            }
            return;
        };
        if let Some(joined_at) = joined_at {
            self.judge.request_sent(id, joined_at, server, at);
        }
        let locality = id as usize % LOCALITIES.len();
        let is_hung = server >= SERVERS - self.schedule.hung_servers;
        let response_time = (!is_hung).then(|| self.between(150, 300) * MILLI);
        let ends_at = at + response_time.unwrap_or(REQUEST_TIMEOUT);
        self.timers.set(ends_at, Timer::Outcome(Outcome { locality, server, response_time }));
    }

    fn count_outcome(&mut self, Outcome { locality, server, response_time }: Outcome) {
        let counts = self.outcomes.entry((locality, server)).or_default();
        counts.attempts += 1;
        match response_time {
            Some(time) => counts.response_time_ms += time as f64 / MILLI as f64,
            None => counts.failures += 1,
        }
    }

    /// Collectors send what they have counted; it arrives 0.2 to 1.2 s later.
    fn report(&mut self) {
        let over = reported::REPORT_INTERVAL_MS;
        let mut lines = vec![String::new(); LOCALITIES.len()];
        for ((locality, server), counts) in std::mem::take(&mut self.outcomes) {
            let OutcomeCounts { attempts, failures, response_time_ms } = counts;
            let mean = response_time_ms / f64::from((attempts - failures).max(1));
            let line = json!({"t": "outcomes", "site": LOCALITIES[locality], "target": server_name(server),
                "count": attempts, "fail": failures, "mean": mean, "over": over});
            lines[locality] += &format!("{line}\n");
        }
        for ((id, operation), (total, failures)) in std::mem::take(&mut self.demand) {
            let line = json!({"t": "demand", "id": id, "lane": OPERATIONS[operation], "count": total,
                "fail": failures, "over": over});
            lines[id as usize % LOCALITIES.len()] += &format!("{line}\n");
        }
        for (locality, lines) in lines.into_iter().enumerate() {
            let at = now() + self.between(200, 1_200) * MILLI;
            self.timers.set(at, Timer::ReportArrives { locality, lines: lines.into_bytes() });
        }
    }

    fn report_arrives(&mut self, locality: usize, lines: &[u8]) {
        if self.collectors[locality].is_none() {
            let mut connection = Connection::dial(self.supervisor.address, &mut self.reactor);
            if let Some(connection) = &mut connection {
                let join = json!({"t": "agent", "site": LOCALITIES[locality]});
                connection.send(format!("{join}\n").as_bytes());
            }
            self.collectors[locality] = connection;
        }
        if let Some(connection) = &mut self.collectors[locality] {
            connection.send(lines);
        }
    }
}
