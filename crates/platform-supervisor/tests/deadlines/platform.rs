//! A simulation of the platform around one supervisor, without sockets: the proxies with their tables,
//! discovery, and the channel that carries all updates. The channel is a queue of limited rate, first in,
//! first out. The state of each proxy is checked at every step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;

use serde_json::{json, Value};
use shalereel_platform_supervisor::{Clocks, Command, Config, ControllerFailure, DialTarget, Supervisor};

use crate::common::{
    ack_line, config_file, delta, hello_line, list_chunk, list_entry, server_name, Cells, ConfigOptions,
    EMPTY_LINE_CHUNK, MESSAGE_WINDOW_MS, MS, WATCH_HEAD,
};

pub const SECOND: u64 = 1_000 * MS;
/// Time between two checks of the simulated platform.
pub const STEP: u64 = 20 * MS;
/// Time on the monotonic clock at which the simulation starts.
const START: u64 = 10 * SECOND;
/// Unix time at which the simulation starts, ms.
const UNIX_MS: f64 = 1e12;
/// The connection of the watch.
const WATCH: u32 = u32::MAX;
const CELLS: Cells = Cells(20);
/// Maximum time that a proxy may be without a usable server, as configured.
const MAX_UNSERVED_TIME: u64 = 3 * SECOND;
/// The tolerance that the protocol grants on its time limits.
const TOLERANCE: u64 = 300 * MS;

/// The parameters of one run. Durations are in nanoseconds; the capacity of the channel and the overhead of a
/// message are in lines.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub servers: u32,
    pub proxies: u32,
    pub lines_per_s: f64,
    pub channel_capacity: f64,
    pub message_overhead: f64,
    pub drain_grace: u64,
    pub mean_transit: u64,
    pub worst_transit: u64,
    /// The actual rate of the channel as a fraction of the configured one.
    pub rate_factor: f64,
    /// If this is n, every n-th ack request is never acknowledged; 0 means that all are acknowledged.
    pub lost_acks: usize,
    /// Maximum number of messages to one proxy within [`MESSAGE_WINDOW_MS`]; 0: no limit.
    pub message_limit: u32,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            servers: 200,
            proxies: 400,
            lines_per_s: 6_000.0,
            channel_capacity: 14_000.0,
            message_overhead: 8.0,
            drain_grace: 2 * SECOND,
            mean_transit: 200 * MS,
            worst_transit: 500 * MS,
            rate_factor: 1.0,
            lost_acks: 0,
            message_limit: 0,
        }
    }
}

impl Scenario {
    fn config_options(&self) -> ConfigOptions {
        let milliseconds = |span: u64| span as f64 / MS as f64;
        ConfigOptions {
            servers: self.servers,
            cells: CELLS,
            proxies: self.proxies,
            supervisors: 5,
            memory_mb: 192,
            sockets: 2048,
            lines_per_s: self.lines_per_s,
            channel_capacity: self.channel_capacity,
            message_overhead: self.message_overhead,
            mean_transit_ms: milliseconds(self.mean_transit),
            worst_transit_ms: milliseconds(self.worst_transit),
            drain_grace_ms: milliseconds(self.drain_grace),
            message_limit: self.message_limit,
            load_info: json!({"columns": [], "how": "off"}),
            permissions: json!({}),
        }
    }
}

/// An entry of the endpoint list.
pub fn entry(index: u32, state: &str, started_ms: f64) -> Value {
    list_entry(index, state, CELLS, started_ms)
}

/// A simulated proxy, which applies the updates that it receives.
#[derive(Debug, Default)]
struct Proxy {
    connection: Option<u32>,
    joined_at: u64,
    /// Since when it has had no usable server; `None` if it has one.
    unserved_since: Option<u64>,
    /// Whether its machine has vanished: it applies and acknowledges nothing, but its connection stays open.
    has_vanished: bool,
    table: BTreeSet<String>,
    /// Weights that the supervisor has sent for the servers in the table.
    weights: BTreeMap<String, f64>,
    excluded: BTreeSet<String>,
    /// When messages to the proxy were written, within the last [`MESSAGE_WINDOW_MS`].
    written_at: VecDeque<u64>,
}

impl Proxy {
    fn apply(&mut self, update: &Value) {
        if update["whole"] == true {
            self.table.clear();
            self.weights.clear();
        }
        for line in update["lines"].as_array().into_iter().flatten() {
            let server = line[0].as_str().unwrap().to_owned();
            let weight = line[1].as_f64().unwrap();
            if weight > 0.0 {
                self.table.insert(server.clone());
                self.weights.insert(server, weight);
            } else {
                self.table.remove(&server);
                self.weights.remove(&server);
            }
        }
        let names = |field: &str| {
            let list = update[field].as_array().cloned().unwrap_or_default();
            list.into_iter().map(|name| name.as_str().unwrap().to_owned()).collect::<Vec<_>>()
        };
        self.excluded.extend(names("out"));
        for server in names("back") {
            self.excluded.remove(&server);
        }
    }

    /// Counts a written message. Returns the number within the last [`MESSAGE_WINDOW_MS`], including this one.
    fn record_message(&mut self, now: u64) -> usize {
        self.written_at.push_back(now);
        self.written_at.retain(|at| now - at < MESSAGE_WINDOW_MS * MS);
        self.written_at.len()
    }

    fn uses(&self, server: &str) -> bool {
        self.table.contains(server) && !self.excluded.contains(server)
    }
}

/// Number of lines that an update occupies in the channel.
fn channel_lines(update: &Value) -> f64 {
    let list = |field: &str| update[field].as_array().map_or(0, Vec::len);
    let flags = [update["whole"] == true, !update["level"].is_null(), !update["ticket"].is_null()];
    let set_flags = flags.into_iter().filter(|&is_set| is_set).count();
    (list("lines") + list("out") + list("back") + set_flags) as f64
}

/// A message in the channel.
#[derive(Debug)]
struct Message {
    proxy: u32,
    connection: u32,
    updates: Vec<Value>,
    lines: f64,
    /// When its last line leaves the channel.
    leaves_at: u64,
    /// When the proxy receives it.
    arrives_at: u64,
}

/// Violations of the rules and the load of the channel, as measured in a run.
#[derive(Debug, Default)]
pub struct Measurements {
    /// Number of pairs of a proxy and a server that the proxy used after the drain grace.
    pub late_drains: usize,
    /// Description of the first violation.
    pub first_violation: Option<String>,
    /// Maximum time for which a proxy used a server after it was listed as not ready, ns.
    pub latest_drain: u64,
    /// Maximum time for which a proxy used a server after the drain grace, ns.
    pub max_lateness: u64,
    /// Number of steps, summed over proxies, in which a proxy was without a usable server for longer than
    /// configured.
    pub unserved: usize,
    /// The first time that a proxy was without a usable server for too long.
    pub first_unserved: Option<String>,
    /// Maximum number of lines that were queued in the channel.
    pub max_queued_lines: f64,
    /// Maximum number of messages that were written to one proxy within [`MESSAGE_WINDOW_MS`].
    pub max_messages: usize,
}

fn start_supervisor(scenario: &Scenario, clocks: Clocks) -> Supervisor<u32> {
    let file = config_file(&scenario.config_options()).to_string();
    let config = Config::parse(Path::new("c"), file.as_bytes()).unwrap();
    Supervisor::new(config, clocks)
}

pub struct Platform {
    scenario: Scenario,
    supervisor: Supervisor<u32>,
    pub now: u64,
    proxies: BTreeMap<u32, Proxy>,
    proxy_by_connection: BTreeMap<u32, u32>,
    last_connection: u32,
    /// Servers that are not listed as ready, and since when.
    unready_since: BTreeMap<String, u64>,
    version: u64,
    /// The latest entry of each server that was listed since the start, for the watch of a restarted
    /// supervisor.
    changed_entries: BTreeMap<u32, Value>,
    channel: VecDeque<Message>,
    /// When the channel has sent all queued messages.
    channel_busy_until: u64,
    ack_requests: usize,
    random: oorandom::Rand64,
    /// Pairs of a proxy and a server that it used after the drain grace.
    late_uses: BTreeSet<(u32, String)>,
    pub measurements: Measurements,
    pub log: Vec<String>,
    /// Time limits count from no earlier time.
    pub limits_start_at: u64,
    /// Entries that are appended to each list.
    pub invalid_entries: Vec<Value>,
}

impl Platform {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let supervisor = start_supervisor(&scenario, Clocks { now: START, unix_ms: UNIX_MS });
        let mut platform = Platform {
            scenario,
            supervisor,
            now: START,
            proxies: BTreeMap::new(),
            proxy_by_connection: BTreeMap::new(),
            last_connection: 0,
            unready_since: BTreeMap::new(),
            version: 3,
            changed_entries: BTreeMap::new(),
            channel: VecDeque::new(),
            channel_busy_until: START,
            ack_requests: 0,
            random: oorandom::Rand64::new(seed.into()),
            late_uses: BTreeSet::new(),
            measurements: Measurements::default(),
            log: Vec::new(),
            limits_start_at: START,
            invalid_entries: Vec::new(),
        };
        platform.advance();
        platform
    }

    fn clocks(&self) -> Clocks {
        Clocks { now: self.now, unix_ms: UNIX_MS + (self.now - START) as f64 / MS as f64 }
    }

    pub fn unix_ms(&self) -> f64 {
        self.clocks().unix_ms
    }

    /// Advances the supervisor and carries out its commands. What it writes is queued in the channel.
    fn advance(&mut self) {
        let clocks = self.clocks();
        self.supervisor.advance(clocks);
        loop {
            let commands = self.supervisor.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out(command);
            }
        }
    }

    fn carry_out(&mut self, command: Command<u32>) {
        match command {
            Command::Log(line) => self.log.push(line),
            Command::Dial(target @ DialTarget::Discovery(_)) => {
                self.supervisor.dialled(target, Ok(WATCH), self.now);
                self.supervisor.received(WATCH, WATCH_HEAD.as_bytes(), self.clocks());
            }
            Command::Dial(target) => {
                let error = std::io::Error::other("health checks are not simulated");
                self.supervisor.dialled(target, Err(error), self.now);
            }
            Command::Write(connection, bytes) => self.written(connection, &bytes),
            Command::Close { connection, .. } => {
                if let Some(proxy) = self.proxy_by_connection.remove(&connection) {
                    self.proxies.get_mut(&proxy).unwrap().connection = None;
                }
            }
        }
    }

    fn written(&mut self, connection: u32, bytes: &[u8]) {
        let Some(&proxy) = self.proxy_by_connection.get(&connection) else { return };
        let messages = self.proxies.get_mut(&proxy).unwrap().record_message(self.now);
        self.measurements.max_messages = self.measurements.max_messages.max(messages);
        let parsed = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        let updates: Vec<Value> = parsed.map(|line| serde_json::from_slice(line).unwrap()).collect();
        let lines = self.scenario.message_overhead + updates.iter().map(channel_lines).sum::<f64>();
        let lines_per_s = self.scenario.lines_per_s * self.scenario.rate_factor;
        self.channel_busy_until =
            self.channel_busy_until.max(self.now) + (lines / lines_per_s * SECOND as f64) as u64;
        let (leaves_at, transit) = (self.channel_busy_until, self.transit());
        let earlier = self.channel.iter().filter(|message| message.connection == connection);
        let arrives_at = earlier.map(|message| message.arrives_at).fold(leaves_at + transit, u64::max);
        self.channel.push_back(Message { proxy, connection, updates, lines, leaves_at, arrives_at });
        let queued = self.channel.iter().filter(|message| message.leaves_at > self.now);
        let queued_lines: f64 = queued.map(|message| message.lines).sum();
        self.measurements.max_queued_lines = self.measurements.max_queued_lines.max(queued_lines);
    }

    fn transit(&mut self) -> u64 {
        let (mean, worst) = (self.scenario.mean_transit as f64, self.scenario.worst_transit as f64);
        let transit = mean * (0.5 + self.random.rand_float());
        transit.min(worst) as u64
    }

    /// Connects a proxy, which joins with this table.
    pub fn join(&mut self, id: u32, table: impl IntoIterator<Item = String>, is_new: bool) {
        self.last_connection += 1;
        let (connection, now) = (self.last_connection, self.now);
        let table = table.into_iter().collect();
        let written_at = self.proxies.remove(&id).map(|proxy| proxy.written_at).unwrap_or_default();
        let proxy =
            Proxy { connection: Some(connection), joined_at: now, table, written_at, ..Proxy::default() };
        self.proxies.insert(id, proxy);
        self.proxy_by_connection.insert(connection, id);
        self.supervisor.opened(connection, now);
        self.supervisor.received(connection, hello_line(id, is_new).as_bytes(), self.clocks());
    }

    /// Changes the actual rate of the channel, as a fraction of the configured one.
    pub fn set_rate_factor(&mut self, rate_factor: f64) {
        self.scenario.rate_factor = rate_factor;
    }

    /// Makes the controller fail.
    pub fn fail_controller(&mut self) {
        self.supervisor.controller_failed(&ControllerFailure::Panic("planted".into()), self.now);
    }

    /// Sends an acknowledgement from this proxy that the supervisor has not requested.
    pub fn send_unrequested_ack(&mut self, id: u32) {
        let connection = self.proxies[&id].connection.unwrap();
        self.supervisor.received(connection, ack_line(id, 60_000, 1.0).as_bytes(), self.clocks());
    }

    /// Ends the supervisor and starts another one, which knows the list as of the first start. Proxies lose
    /// their connections; what is queued in the channel still leaves it.
    pub fn restart_supervisor(&mut self) {
        for proxy in self.proxies.values_mut() {
            proxy.connection = None;
        }
        self.proxy_by_connection.clear();
        self.supervisor = start_supervisor(&self.scenario, self.clocks());
        self.advance();
        let entries = self.changed_entries.values().cloned().collect();
        let chunk = list_chunk(&delta(self.version, entries));
        self.supervisor.received(WATCH, chunk.as_bytes(), self.clocks());
        self.advance();
    }

    /// Connects a proxy again, with the tables and exclusions that it has.
    pub fn rejoin(&mut self, id: u32) {
        let proxy = self.proxies.get_mut(&id).unwrap();
        let (table, excluded) = (std::mem::take(&mut proxy.table), std::mem::take(&mut proxy.excluded));
        self.join(id, table, false);
        self.proxies.get_mut(&id).unwrap().excluded = excluded;
    }

    /// Sends a collector's report on the ready servers, with a response time for each.
    pub fn report(&mut self, mut response_time_ms: impl FnMut(u32) -> f64) {
        let ready =
            (0..self.scenario.servers).filter(|index| !self.unready_since.contains_key(&server_name(*index)));
        let line = |index: u32| {
            format!(
                "{}\n",
                json!({"t": "outcomes", "site": "north", "target": server_name(index), "count": 40, "fail": 0,
                "mean": response_time_ms(index), "over": 1000.0})
            )
        };
        let lines: String = ready.map(line).collect();
        self.last_connection += 1;
        let collector = self.last_connection;
        self.supervisor.opened(collector, self.now);
        let join = format!("{}\n", json!({"t": "agent", "site": "north"}));
        self.supervisor.received(collector, (join + &lines).as_bytes(), self.clocks());
        self.supervisor.closed(collector, "closed by the peer", self.now);
    }

    /// Makes a proxy vanish without closing its connection.
    pub fn vanish(&mut self, id: u32) {
        self.proxies.get_mut(&id).unwrap().has_vanished = true;
    }

    /// Sends an endpoint list in which this server, which is ready, has this weight.
    pub fn list_weight(&mut self, server: u32, weight: f64) {
        self.version += 1;
        let mut changed = self.changed_entries.get(&server).cloned().unwrap();
        changed["weight"] = weight.into();
        self.changed_entries.insert(server, changed.clone());
        let chunk = list_chunk(&delta(self.version, vec![changed]));
        self.supervisor.received(WATCH, chunk.as_bytes(), self.clocks());
        self.advance();
    }

    /// Sends an endpoint list in which these servers have this state.
    pub fn list_servers(&mut self, servers: impl IntoIterator<Item = u32>, state: &str) {
        self.version += 1;
        let started_ms = if state == "Ready" { self.unix_ms() } else { 0.0 };
        let mut entries = Vec::new();
        for index in servers {
            entries.push(entry(index, state, started_ms));
            self.changed_entries.insert(index, entry(index, state, started_ms));
            if state == "Ready" {
                self.unready_since.remove(&server_name(index));
                self.late_uses.retain(|(_, server)| *server != server_name(index));
            } else {
                self.unready_since.entry(server_name(index)).or_insert(self.now);
            }
        }
        entries.extend(self.invalid_entries.iter().cloned());
        let chunk = list_chunk(&delta(self.version, entries));
        self.supervisor.received(WATCH, chunk.as_bytes(), self.clocks());
        self.advance();
    }

    /// Advances the time in steps. Each step delivers and acknowledges the messages that arrive, runs the
    /// supervisor, and checks the rules.
    pub fn run_for(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            if self.now.is_multiple_of(2 * SECOND) {
                self.supervisor.received(WATCH, EMPTY_LINE_CHUNK.as_bytes(), self.clocks());
            }
            self.deliver();
            self.advance();
            self.check_rules();
        }
    }

    fn deliver(&mut self) {
        let (arrived, in_transit): (VecDeque<Message>, VecDeque<Message>) =
            std::mem::take(&mut self.channel).into_iter().partition(|message| message.arrives_at <= self.now);
        self.channel = in_transit;
        for message in arrived {
            self.deliver_message(&message);
        }
    }

    fn deliver_message(&mut self, message: &Message) {
        let proxy = self.proxies.get_mut(&message.proxy).unwrap();
        if proxy.connection != Some(message.connection) || proxy.has_vanished {
            return;
        }
        for update in &message.updates {
            proxy.apply(update);
        }
        for serial in message.updates.iter().filter_map(|update| update["ticket"].as_u64()) {
            self.ack_requests += 1;
            if !self.ack_requests.is_multiple_of(self.scenario.lost_acks) {
                let ack = ack_line(message.proxy, serial, 1.0);
                self.supervisor.received(message.connection, ack.as_bytes(), self.clocks());
            }
        }
    }

    /// Checks that no joined proxy uses a server for longer than the drain grace after it was listed as not
    /// ready or after the proxy joined, whichever is later, and that none is without a usable server for
    /// longer than configured.
    fn check_rules(&mut self) {
        let mut proxies = std::mem::take(&mut self.proxies);
        for (&id, proxy) in &mut proxies {
            if proxy.connection.is_some() && !proxy.has_vanished {
                self.check_drains(id, proxy);
                self.check_served(id, proxy);
            }
        }
        self.proxies = proxies;
    }

    fn check_drains(&mut self, id: u32, proxy: &Proxy) {
        for (server, &listed_at) in &self.unready_since {
            let since = listed_at.max(proxy.joined_at).max(self.limits_start_at);
            let deadline = since + self.scenario.drain_grace + TOLERANCE;
            if self.now <= since || !proxy.uses(server) {
                continue;
            }
            self.measurements.latest_drain = self.measurements.latest_drain.max(self.now - since);
            if self.now <= deadline {
                continue;
            }
            self.measurements.max_lateness = self.measurements.max_lateness.max(self.now - deadline);
            if self.late_uses.insert((id, server.clone())) {
                self.measurements.late_drains += 1;
                let after = (self.now - since) as f64 / SECOND as f64;
                let at = (self.now - START) as f64 / SECOND as f64;
                let line = format!(
                    "at {at:.2} s proxy {id} still uses {server}, {after:.2} s after the grace began"
                );
                self.measurements.first_violation.get_or_insert(line);
            }
        }
    }

    fn check_served(&mut self, id: u32, proxy: &mut Proxy) {
        let is_usable = |server: &String| proxy.uses(server) && !self.unready_since.contains_key(server);
        if proxy.table.iter().any(is_usable) {
            proxy.unserved_since = None;
            return;
        }
        let since = (*proxy.unserved_since.get_or_insert(self.now)).max(self.limits_start_at);
        if self.now <= since + MAX_UNSERVED_TIME + TOLERANCE {
            return;
        }
        self.measurements.unserved += 1;
        let seconds = |at: u64| (at - START) as f64 / SECOND as f64;
        self.measurements.first_unserved.get_or_insert(format!(
            "at {:.2} s proxy {id}, which joined at {:.2} s, has had no usable server since {:.2} s: table {:?}, excluded {:?}",
            seconds(self.now),
            seconds(proxy.joined_at),
            seconds(since),
            proxy.table,
            proxy.excluded
        ));
    }

    /// Number of servers that a proxy may use.
    pub fn usable_servers(&self, id: u32) -> usize {
        let proxy = &self.proxies[&id];
        proxy.table.iter().filter(|server| proxy.uses(server)).count()
    }

    /// Weight that a proxy was sent for a server; 0 if the server is not in its table.
    pub fn weight(&self, id: u32, server: u32) -> f64 {
        self.proxies[&id].weights.get(&server_name(server)).copied().unwrap_or_default()
    }

    /// Whether a proxy may use a server.
    pub fn uses(&self, id: u32, server: u32) -> bool {
        self.proxies[&id].uses(&server_name(server))
    }
}
