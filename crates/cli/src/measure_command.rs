//! `shalereel measure publish`, `reports` and `advice`: latency and processor time of publishing, in comparison with
//! plain sockets that carry the same bytes in the same run, and the parts that other measurements share.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use hdrhistogram::Histogram;
use shalereel_reactor::{now, Nanos, MILLI, SECOND};
use shalereel_rpc::{ConnId, ConnectionLimits, Hub, Input, Status, StreamId};
use shalereel_sasp::{Body, Group as SaspGroup, LbFlags, Member, Message, ReturnCode};
use shalereel_standins::Ready;
use shalereel_store::Check;
use shalereel_xds::{
    leds, types, AssignedEndpoint, Assignment, ClientRequest, ClientStream, ClusterLoad, EndpointLoad,
    Health, LoadReport, NodeInfo, Resource, Response, ServerInfo, ServerStream, Variant, ADS, DELTA_ADS, LRS,
};

/// Limits of the connections of the measurement's registry and forwarders.
const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_message_bytes: 16 << 20,
    max_concurrent_calls: 64,
    max_unsent_bytes: 64 << 20,
    max_held_bytes: usize::MAX,
    max_bytes_per_wait: usize::MAX,
    message_timeout: Nanos::MAX / 2,
    user_timeout: TIMEOUT,
    retry_delay: TIMEOUT / 100,
};
/// Operations of the measured deployment; each has a table of its own.
const OPERATIONS: [&str; 3] = ["box-view", "box-add", "order-place"];
/// Limit of each wait; only a measurement that hangs exceeds it.
const TIMEOUT: Nanos = 60 * SECOND;
/// Time for the forwarders' threads to begin a wait before a drain starts.
pub(crate) const WAIT_SETUP_TIME: Nanos = 20 * MILLI;
/// Time after which a forwarder that lost its connection dials again.
const REDIAL_DELAY: Nanos = 2 * MILLI;
/// Number of requests for weights that the balancer sends.
const WEIGHT_REQUESTS: u32 = 60;
/// Time between two requests for weights.
const WEIGHT_REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Largest SASP message that the balancer reads.
const MAX_SASP_MESSAGE_BYTES: usize = 8 << 20;
/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Size of a measured fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub servers: u32,
    pub forwarders: u32,
}

impl std::str::FromStr for FleetSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parsed = text.split_once('x').and_then(|(servers, forwarders)| {
            Some(FleetSize { servers: servers.parse().ok()?, forwarders: forwarders.parse().ok()? })
        });
        let in_range =
            |size: &FleetSize| (1..=5000).contains(&size.servers) && (1..=1000).contains(&size.forwarders);
        parsed.filter(in_range).ok_or_else(|| format!("{text:?}: give servers x forwarders, such as 120x40"))
    }
}

/// Text of the deployment file of a single supervisor.
pub(crate) fn deployment_text(size: FleetSize, listen: &str, registry: SocketAddr, folder: &Path) -> String {
    let mut text = format!(
        "listen = {listen:?}\nregistry = \"{registry}\"\nfolder = {folder:?}\nsupervisor = 0\nsupervisors = 1\n\
         locality = \"a\"\nlocalities = [\"a\"]\ntick_ms = 0.0\n\n[list]\nmembership = \"pushed\"\n\
         sizes = \"nominal\"\n\n[forwarders]\ncount = {}\nadmission = \"ignored\"\nreport_cycle_ms = 1000.0\n\
         fails_to_avoid = 5\nfirst_wait = 1.0\n\n[channel]\nlines_per_s = 1e8\nbacklog = 1e7\n\
         message_overhead = 10.0\nmean_transit_ms = 1.0\nworst_transit_ms = 1000.0\npaced = false\n\n[rules]\n\
         empty_for_ms = 2000.0\ndrain_grace_ms = 2000.0\ncold_from = 0.25\ncold_for_ms = 8000.0\n\
         tip_multiple = 2.5\ntip_after_ms = 2000.0\n",
        size.forwarders
    );
    for name in OPERATIONS {
        text += &format!(
            "\n[[operation]]\nname = {name:?}\neffect = \"idempotent\"\nlatency_objective_ms = 1000.0\n\
             integration_timeout_ms = 3000.0\nbilled_value = 1.0\n"
        );
    }
    text
}

/// A supervisor process, killed when this value is dropped.
pub(crate) struct Supervisor(Child);

impl Supervisor {
    /// Starts a supervisor and returns its first listening address.
    pub(crate) fn start(file: &Path) -> Result<(Self, SocketAddr)> {
        Supervisor::start_all(file).map(|(supervisor, addresses)| (supervisor, addresses[0]))
    }

    /// Starts a supervisor and returns all its listening addresses.
    fn start_all(file: &Path) -> Result<(Self, Vec<SocketAddr>)> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["daemon", "--config"])
            .arg(file)
            .env("SHALEREEL_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        BufReader::new(child.stdout.take().context("no standard output")?).read_line(&mut line)?;
        let ready: Ready = serde_json::from_str(&line).context("the supervisor did not start")?;
        Ok((Supervisor(child), ready.addresses))
    }

    /// Processor time so far in seconds and peak resident memory in MiB, from `/proc`.
    pub(crate) fn usage(&self) -> Result<(f64, f64)> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        // After the program's name the fields are counted from 0: user time is field 11, system time field 12.
        let ticks =
            |index: usize| fields.split_whitespace().nth(index).and_then(|text| text.parse::<f64>().ok());
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
        let peak: f64 = peak.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0.0);
        Ok(((ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / CLOCK_TICKS_PER_SECOND, peak / 1024.0))
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A forwarder of the measurement.
struct Forwarder {
    stream: ClientStream,
    connection: Option<(ConnId, StreamId)>,
    /// Lines that the forwarder has of the first operation's table.
    line_count: usize,
    /// Whether the watched server is one of these lines.
    has_watched: bool,
    /// Size of the last update.
    update_bytes: usize,
    /// Size of the ACK of the last update.
    ack_bytes: usize,
    /// Bytes of all updates since the last wait began.
    received_bytes: usize,
    /// Incremental transfer: the check of the version that the forwarder has, as text.
    version_check: String,
    /// Incremental transfer: the number of all lines received, plus 1 for the subscription to the lines.
    received_lines: usize,
}

/// The registry of a measurement, which pushes the server list to the supervisor.
pub(crate) struct Registry {
    hub: Hub<(), ()>,
    size: FleetSize,
    streams: BTreeMap<(ConnId, StreamId), ServerStream>,
    /// Server that the next list names as draining.
    pub(crate) draining: Option<u32>,
    version: u64,
}

/// Address of the server with this number. The measurements run no servers.
pub(crate) fn server_address(server: u32) -> SocketAddr {
    SocketAddr::from(([127, 8, (server >> 8) as u8, server as u8], 7000))
}

fn status_error(status: Status) -> anyhow::Error {
    anyhow::anyhow!("{status}")
}

impl Registry {
    pub(crate) fn new(size: FleetSize) -> Result<(Self, SocketAddr)> {
        let mut hub = Hub::new(CONNECTION_LIMITS)?;
        let (_, address) = hub.listen("127.0.0.1:0".parse()?, ())?;
        Ok((Registry { hub, size, streams: BTreeMap::new(), draining: None, version: 0 }, address))
    }

    /// Pushes the server list on all streams; returns the time at which the last message was encoded.
    pub(crate) fn push_list(&mut self) -> Nanos {
        self.version += 1;
        let endpoints = (0..self.size.servers).map(|server| AssignedEndpoint {
            address: server_address(server),
            zone: "a".into(),
            health: if self.draining == Some(server) { Health::Draining } else { Health::Ready },
            weight: 2.0,
            info: Some(ServerInfo { server, kind: 0, cell: 0, incarnation: 1, age: None }),
        });
        let encoded_list =
            Assignment { cluster: "fleet".into(), endpoints: endpoints.collect(), admitted: 1.0 }.encode();
        let version = self.version.to_string();
        let mut encoded_at = now();
        for (&(conn, stream), server_stream) in &mut self.streams {
            let resource =
                Resource { name: "fleet".into(), version: version.clone(), any: encoded_list.clone() };
            let (type_url, resources, removed) = (types::ASSIGNMENT, vec![resource], Vec::new());
            let (nonce, stamp) = (self.version, encoded_at);
            let message = server_stream.encode_response(Response {
                type_url,
                version: &version,
                resources,
                removed,
                nonce,
                stamp,
            });
            encoded_at = now();
            self.hub.send(conn, stream, &message);
        }
        encoded_at
    }

    /// Serves the registry's connections until an event arrives or the time is reached.
    pub(crate) fn serve(&mut self, until: Nanos) -> Result<()> {
        for input in self.hub.wait(Some(until))? {
            match input {
                Input::Call { conn, stream, .. } => {
                    self.streams
                        .insert((conn, stream), ServerStream::new(Variant::StateOfTheWorld, "registry"));
                }
                Input::Message { conn, stream, message } => {
                    let Some(server_stream) = self.streams.get_mut(&(conn, stream)) else { continue };
                    let requests = server_stream.handle(&message).map_err(status_error)?;
                    if requests.iter().any(|request| matches!(request, ClientRequest::Subscribe { .. })) {
                        self.push_list();
                    }
                }
                Input::Closed { conn, .. } => self.streams.retain(|(of, _), _| *of != conn),
                _ => {}
            }
        }
        Ok(())
    }

    /// Serves the list until all threads of forwarders have finished their wait. Returns the latest of their times, and
    /// the mean sizes of an update and of its ACK.
    pub(crate) fn serve_until_done(
        &mut self,
        what: &str,
        threads: &[ForwarderThread],
    ) -> Result<(Nanos, usize, usize)> {
        let (deadline, mut results) = (now() + TIMEOUT, Vec::new());
        while results.len() < threads.len() {
            self.serve(now() + MILLI / 2)?;
            for thread in threads {
                results.extend(thread.results.try_recv());
            }
            if now() > deadline {
                bail!("{what}: not finished within {} s", TIMEOUT / SECOND);
            }
        }
        let results: Vec<(Nanos, usize, usize)> = results.into_iter().collect::<Result<_>>()?;
        let mean = |size: fn(&(Nanos, usize, usize)) -> usize| {
            results.iter().map(size).sum::<usize>() / results.len().max(1)
        };
        let latest = results.iter().map(|result| result.0).max().unwrap_or(0);
        Ok((latest, mean(|result| result.1), mean(|result| result.2)))
    }
}

/// The condition that a thread of forwarders waits for.
pub(crate) enum Wait {
    /// All have a table with this number of lines from the supervisor at this address.
    Tables(SocketAddr, usize),
    /// No table contains this server any more.
    Without(SocketAddr),
    /// All reconnect and have tables with this number of lines again. With `resume` they announce the version that they
    /// have.
    Rejoin { lines: usize, resume: bool },
}

/// Handle of a thread of forwarders. Each wait that is sent yields one result: the time at which its condition was met,
/// and the sizes of an update and of its ACK.
pub(crate) struct ForwarderThread {
    pub(crate) waits: mpsc::Sender<Wait>,
    results: mpsc::Receiver<Result<(Nanos, usize, usize)>>,
}

/// Forwarders that share a thread. They only receive tables and send no requests.
pub(crate) struct Forwarders {
    /// Whether tables are transferred incrementally, line by line.
    incremental: bool,
    /// Whether a forwarder that reconnects announces the version that it has.
    resume: bool,
    /// Timers hold the index of a forwarder.
    hub: Hub<(), usize>,
    supervisor: SocketAddr,
    forwarders: Vec<Forwarder>,
    /// Index of the forwarder of each connection.
    connections: BTreeMap<ConnId, usize>,
    /// Server whose removal is waited for.
    watched: Option<SocketAddr>,
}

impl Forwarders {
    fn new(first: u32, count: u32, supervisor: SocketAddr, incremental: bool) -> Result<Self> {
        let forwarder = |number: u32| {
            let node = NodeInfo {
                id: format!("f-{number}"),
                zone: "a".into(),
                rate: 10.0,
                is_new: true,
                supports_lines: incremental,
            };
            let variant = if incremental { Variant::Incremental } else { Variant::StateOfTheWorld };
            let mut stream = ClientStream::new(variant, node);
            stream.subscribe(types::ASSIGNMENT, OPERATIONS.map(str::to_owned));
            Forwarder {
                stream,
                connection: None,
                line_count: 0,
                has_watched: false,
                update_bytes: 0,
                ack_bytes: 0,
                received_bytes: 0,
                version_check: String::new(),
                received_lines: 0,
            }
        };
        let forwarders = (first..first + count).map(forwarder).collect();
        let hub = Hub::new(CONNECTION_LIMITS)?;
        Ok(Forwarders {
            incremental,
            resume: true,
            hub,
            supervisor,
            forwarders,
            connections: BTreeMap::new(),
            watched: None,
        })
    }

    /// Starts all forwarders of a fleet on two threads; more would take the supervisor's core on a small machine.
    pub(crate) fn spawn(size: FleetSize, supervisor: SocketAddr, incremental: bool) -> Vec<ForwarderThread> {
        let half = size.forwarders.div_ceil(2);
        let ranges = [(0, half), (half, size.forwarders - half)].into_iter().filter(|range| range.1 > 0);
        ranges
            .map(|(first, count)| {
                let (waits, wait_receiver) = mpsc::channel();
                let (result_sender, results) = mpsc::channel();
                thread::spawn(move || {
                    let mut forwarders = match Forwarders::new(first, count, supervisor, incremental) {
                        Ok(forwarders) => forwarders,
                        Err(error) => return drop(result_sender.send(Err(error))),
                    };
                    while let Ok(wait) = wait_receiver.recv() {
                        if result_sender.send(forwarders.wait(&wait)).is_err() {
                            return;
                        }
                    }
                });
                ForwarderThread { waits, results }
            })
            .collect()
    }

    /// Connects a forwarder to the supervisor and subscribes to the tables.
    fn dial(&mut self, index: usize) -> Result<()> {
        let conn = self.hub.dial(self.supervisor)?;
        let stream = self
            .hub
            .call(conn, if self.incremental { DELTA_ADS } else { ADS }, None)
            .context("the connection was closed")?;
        let forwarder = &mut self.forwarders[index];
        forwarder.connection = Some((conn, stream));
        self.connections.insert(conn, index);
        let known_version =
            Some(forwarder.version_check.clone()).filter(|version| self.resume && !version.is_empty());
        forwarder.stream.set_resource_versions(
            types::LINE,
            known_version.map(|version| (leds::collection(0), version)).into_iter().collect(),
        );
        for message in forwarder.stream.reopen() {
            self.hub.send(conn, stream, &message);
        }
        Ok(())
    }

    /// Reconnects where a wait requires it, then waits until its condition is met. Returns the time at which it was
    /// met, the mean size of an update (after a rejoin, of all updates of a forwarder), and that of an ACK.
    fn wait(&mut self, wait: &Wait) -> Result<(Nanos, usize, usize)> {
        match wait {
            Wait::Tables(supervisor, _) => {
                self.supervisor = *supervisor;
                self.watched = None;
            }
            Wait::Without(server) => self.watched = Some(*server),
            Wait::Rejoin { resume, .. } => {
                (self.watched, self.resume) = (None, *resume);
                for (conn, _) in
                    self.forwarders.iter_mut().filter_map(|forwarder| forwarder.connection.take())
                {
                    self.connections.remove(&conn);
                    self.hub.close(conn);
                }
                self.forwarders.iter_mut().for_each(|forwarder| forwarder.line_count = 0);
            }
        }
        self.forwarders.iter_mut().for_each(|forwarder| forwarder.received_bytes = 0);
        self.forwarders.iter_mut().for_each(|forwarder| forwarder.has_watched = true);
        for index in 0..self.forwarders.len() {
            if self.forwarders[index].connection.is_none() {
                self.dial(index)?;
            }
        }
        let deadline = now() + TIMEOUT;
        while now() < deadline {
            for input in self.hub.wait(Some(now() + SECOND / 10))? {
                self.handle_input(input)?;
            }
            let done = match wait {
                Wait::Tables(_, lines) | Wait::Rejoin { lines, .. } => self
                    .forwarders
                    .iter()
                    .all(|forwarder| forwarder.connection.is_some() && forwarder.line_count == *lines),
                Wait::Without(_) => self.forwarders.iter().all(|forwarder| !forwarder.has_watched),
            };
            if done {
                let done_at = now();
                // The last ACKs are sent before this thread takes its next wait.
                self.hub.wait(Some(now()))?;
                let mean = |size: fn(&Forwarder) -> usize| {
                    self.forwarders.iter().map(size).sum::<usize>() / self.forwarders.len()
                };
                let bytes = match wait {
                    Wait::Rejoin { .. } => mean(|forwarder| forwarder.received_bytes),
                    _ => mean(|forwarder| forwarder.update_bytes),
                };
                return Ok((done_at, bytes, mean(|forwarder| forwarder.ack_bytes)));
            }
        }
        bail!("forwarders: condition not met within {} s", TIMEOUT / SECOND)
    }

    fn handle_input(&mut self, input: Input<(), usize>) -> Result<()> {
        match input {
            Input::Message { conn, stream, message } => {
                let Some(&index) = self.connections.get(&conn) else { return Ok(()) };
                if self.forwarders[index].connection == Some((conn, stream)) {
                    self.handle_update(index, conn, stream, &message)?;
                }
            }
            Input::Closed { conn, .. } => {
                if let Some(index) = self.connections.remove(&conn) {
                    (self.forwarders[index].connection, self.forwarders[index].line_count) = (None, 0);
                    self.hub.set_timer(now() + REDIAL_DELAY, index);
                }
            }
            Input::Timer(index) if self.forwarders[index].connection.is_none() => self.dial(index)?,
            _ => {}
        }
        Ok(())
    }

    /// Acknowledges an update before it decodes it. All forwarders receive the same whole tables, so that only the
    /// first one decodes them while a drain is waited for.
    fn handle_update(&mut self, index: usize, conn: ConnId, stream: StreamId, message: &[u8]) -> Result<()> {
        let forwarder = &mut self.forwarders[index];
        let update = forwarder.stream.handle(message).map_err(status_error)?;
        forwarder.received_bytes += message.len();
        if self.incremental && update.type_url == types::ASSIGNMENT {
            let ack = forwarder.stream.ack(&update);
            self.hub.send(conn, stream, &ack);
            if forwarder.version_check.is_empty() && forwarder.received_lines == 0 {
                forwarder.received_lines = 1;
                let subscription =
                    forwarder.stream.resubscribe(types::LINE, [(leds::collection(0), None)].into());
                self.hub.send(conn, stream, &subscription);
            }
            return Ok(());
        }
        if self.incremental {
            let ack = forwarder.stream.ack(&update);
            (forwarder.update_bytes, forwarder.ack_bytes) = (message.len(), ack.len());
            self.hub.send(conn, stream, &ack);
            let parsed =
                update.version.split_once('>').and_then(|(_, check)| Some((check, Check::parse(check)?)));
            let (text, check) = parsed.context("an incremental version has no check")?;
            forwarder.version_check = text.to_owned();
            forwarder.received_lines += update.names.len() + update.removed.len();
            forwarder.line_count = check.digest.count as usize;
            let removed_address = |name: &String| leds::line_of(name).map(|line| server_address(line.1));
            forwarder.has_watched &= !update.removed.iter().any(|name| removed_address(name) == self.watched);
            return Ok(());
        }
        let ack = forwarder.stream.ack(&update);
        (forwarder.update_bytes, forwarder.ack_bytes) = (message.len(), ack.len());
        self.hub.send(conn, stream, &ack);
        let decodes = self.watched.is_none() || index == 0;
        for any in update.resources.iter().take(usize::from(decodes)) {
            let table = Assignment::decode(any).map_err(status_error)?;
            forwarder.line_count = table.endpoints.len();
            forwarder.has_watched =
                table.endpoints.iter().any(|endpoint| Some(endpoint.address) == self.watched);
        }
        forwarder.has_watched &= decodes;
        Ok(())
    }
}

/// Sends the same bytes over as many plain sockets, each with a reply as long as an ACK, and measures the time from the
/// first write to the last reply.
fn measure_plain_sockets(
    size: FleetSize,
    bytes: usize,
    reply_bytes: usize,
    rounds: u32,
) -> Result<Histogram<u64>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let count = size.forwarders as usize;
    let peer = thread::spawn(move || -> std::io::Result<()> {
        let mut sockets: Vec<TcpStream> =
            (0..count).map(|_| TcpStream::connect(address)).collect::<Result<_, _>>()?;
        let (mut content, reply) = (vec![0; bytes], vec![1; reply_bytes]);
        for socket in &sockets {
            socket.set_nodelay(true)?;
        }
        for _ in 0..rounds {
            for socket in &mut sockets {
                socket.read_exact(&mut content)?;
                socket.write_all(&reply)?;
            }
        }
        Ok(())
    });
    let mut sockets: Vec<TcpStream> =
        (0..count).map(|_| listener.accept().map(|accepted| accepted.0)).collect::<Result<_, _>>()?;
    let (content, mut reply) = (vec![7; bytes], vec![0; reply_bytes]);
    let mut round_trips = Histogram::new(3)?;
    for socket in &sockets {
        socket.set_nodelay(true)?;
    }
    for _ in 0..rounds {
        let started = now();
        for socket in &mut sockets {
            socket.write_all(&content)?;
        }
        for socket in &mut sockets {
            socket.read_exact(&mut reply)?;
        }
        round_trips.record(now() - started)?;
    }
    peer.join().map_err(|_| anyhow::anyhow!("the peer thread panicked"))??;
    Ok(round_trips)
}

/// Nanoseconds as milliseconds.
pub(crate) fn ms(nanos: u64) -> f64 {
    nanos as f64 / MILLI as f64
}

/// Measures drains of one server after another and restarts of the supervisor at each size, and prints the results.
pub fn publish(sizes: &[FleetSize], rounds: u32, json: bool) -> Result<()> {
    let mut rows = Vec::new();
    for &size in sizes {
        let folder = std::env::temp_dir().join(format!("shalereel-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let measured = measure_publish(size, rounds, &folder);
        let _ = std::fs::remove_dir_all(&folder);
        rows.push(measured?);
        if let (false, Some(row)) = (json, rows.last()) {
            println!("{row}");
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    }
    Ok(())
}

/// Results at one size; pairs are the 50th and the 99th percentile.
#[derive(serde::Serialize)]
struct PublishResult {
    servers: u32,
    forwarders: u32,
    /// Mean size of a table update.
    update_bytes: usize,
    /// From a list with a draining server to the last forwarder's ACK.
    drain_ms: (f64, f64),
    /// Round trip of the same bytes over plain sockets.
    #[serde(rename = "bare_ms")]
    plain_ms: (f64, f64),
    /// Median of `drain_ms` divided by that of `plain_ms`.
    drain_ratio: f64,
    /// From the start of the supervisor until all forwarders have their tables.
    start_ms: (f64, f64),
    /// Processor time of the supervisor for a drain and its end.
    #[serde(rename = "cpu_s_a_drain")]
    cpu_s_per_drain: f64,
    /// Peak resident memory of the supervisor.
    peak_mib: f64,
}

impl std::fmt::Display for PublishResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} x {}: drain to last ACK {:.2} ms (p99 {:.2}); bare sockets, {} bytes each, {:.2} ms (p99 {:.2}); ratio \
             {:.2}; start to all tables {:.1} ms (p99 {:.1}); {:.1} ms of processor a drain and its return; peak {:.1} MiB",
            self.servers,
            self.forwarders,
            self.drain_ms.0,
            self.drain_ms.1,
            self.update_bytes,
            self.plain_ms.0,
            self.plain_ms.1,
            self.drain_ratio,
            self.start_ms.0,
            self.start_ms.1,
            1e3 * self.cpu_s_per_drain,
            self.peak_mib
        )
    }
}

fn measure_publish(size: FleetSize, rounds: u32, folder: &Path) -> Result<PublishResult> {
    let (mut registry, registry_address) = Registry::new(size)?;
    let file: PathBuf = folder.join("supervisor.toml");
    let server_count = size.servers as usize;
    let mut starts = Histogram::<u64>::new(3)?;
    let mut running = None;
    let mut listen = SocketAddr::from(([127, 0, 3, 1], 0));
    let threads = Forwarders::spawn(size, listen, false);
    let start_wait = |wait: fn(SocketAddr, usize) -> Wait, address| {
        threads.iter().try_for_each(|thread| {
            thread.waits.send(wait(address, server_count)).context("a forwarder thread ended")
        })
    };
    for round in 0..=rounds.div_ceil(4).max(3) {
        drop(running.take());
        std::fs::write(&file, deployment_text(size, &listen.to_string(), registry_address, folder))?;
        let started = now();
        let (supervisor, address) = Supervisor::start(&file)?;
        listen = address;
        start_wait(Wait::Tables, address)?;
        let received_at = registry.serve_until_done("all tables", &threads)?.0;
        // The first start is not counted: it has no stored list to load, and no forwarder waits for it yet.
        if round > 0 {
            starts.record(received_at - started)?;
        }
        running = Some(supervisor);
    }
    let Some(supervisor) = running else { bail!("no supervisor") };
    let mut drains = Histogram::<u64>::new(3)?;
    let (mut update_bytes, mut ack_bytes) = (0, 0);
    let cpu_before_s = supervisor.usage()?.0;
    for round in 0..rounds {
        let server = round % size.servers;
        start_wait(|address, _| Wait::Without(address), server_address(server))?;
        // Gives the threads time to begin their wait.
        registry.serve(now() + WAIT_SETUP_TIME)?;
        registry.draining = Some(server);
        let pushed_at = registry.push_list();
        let (removed_at, bytes, ack) = registry.serve_until_done("a drain", &threads)?;
        drains.record(removed_at - pushed_at)?;
        (update_bytes, ack_bytes) = (update_bytes + bytes, ack);
        registry.draining = None;
        registry.push_list();
        start_wait(Wait::Tables, listen)?;
        registry.serve_until_done("the end of a drain", &threads)?;
    }
    update_bytes /= rounds.max(1) as usize;
    let (cpu_after_s, peak_mib) = supervisor.usage()?;
    let plain = measure_plain_sockets(size, update_bytes.max(1), ack_bytes.max(1), rounds)?;
    let percentiles =
        |spans: &Histogram<u64>| (ms(spans.value_at_quantile(0.5)), ms(spans.value_at_quantile(0.99)));
    Ok(PublishResult {
        servers: size.servers,
        forwarders: size.forwarders,
        update_bytes,
        drain_ms: percentiles(&drains),
        plain_ms: percentiles(&plain),
        drain_ratio: drains.value_at_quantile(0.5) as f64 / plain.value_at_quantile(0.5) as f64,
        start_ms: percentiles(&starts),
        cpu_s_per_drain: (cpu_after_s - cpu_before_s) / f64::from(rounds),
        peak_mib,
    })
}

/// Sends load reports as fast as one supervisor processes them and prints the rate. Each report covers all servers, for
/// three operations.
pub fn reports(size: FleetSize, seconds: u32) -> Result<()> {
    let folder = std::env::temp_dir().join(format!("shalereel-measure-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (mut registry, registry_address) = Registry::new(size)?;
    let file = folder.join("supervisor.toml");
    std::fs::write(&file, deployment_text(size, "127.0.0.1:0", registry_address, &folder))?;
    let (supervisor, supervisor_address) = Supervisor::start(&file)?;
    let (mut fleet, server_count) =
        (Forwarders::new(0, size.forwarders, supervisor_address, false)?, size.servers as usize);
    (0..size.forwarders as usize).try_for_each(|index| fleet.dial(index))?;
    let deadline = now() + TIMEOUT;
    while fleet.forwarders.iter().any(|forwarder| forwarder.line_count != server_count) {
        registry.serve(now() + MILLI)?;
        for input in fleet.hub.wait(Some(now() + MILLI))? {
            fleet.handle_input(input)?;
        }
        if now() > deadline {
            bail!("tables: not received within {} s", TIMEOUT / SECOND);
        }
    }
    let clusters = OPERATIONS.map(|name| ClusterLoad {
        cluster: name.into(),
        interval: SECOND,
        issued: 0,
        failures: 0,
        dropped: 0,
        endpoints: (0..size.servers)
            .map(|server| EndpointLoad {
                address: server_address(server),
                zone: "a".into(),
                successes: 3,
                failures: 0,
                timed_responses: 3,
                response_time_sum: 300 * MILLI,
                metrics: BTreeMap::new(),
            })
            .collect(),
    });
    let report = LoadReport { node: None, clusters: clusters.to_vec() }.encode();
    let mut streams = Vec::new();
    for forwarder in &fleet.forwarders {
        let Some((conn, _)) = forwarder.connection else { continue };
        let Some(stream) = fleet.hub.call(conn, LRS, None) else { continue };
        let opening = LoadReport { node: Some(forwarder.stream.node.clone()), clusters: Vec::new() };
        fleet.hub.send(conn, stream, &opening.encode());
        streams.push((conn, stream));
    }
    let (cpu_before_s, started, mut sent) = (supervisor.usage()?.0, now(), 0_u64);
    let end = started + Nanos::from(seconds) * SECOND;
    while now() < end {
        for &(conn, stream) in &streams {
            // The next report is sent only once flow control has let the last one through.
            if fleet.hub.unsent_call_bytes(conn, stream) == 0 {
                fleet.hub.send(conn, stream, &report);
                sent += 1;
            }
        }
        for input in fleet.hub.wait(Some(now() + MILLI))? {
            fleet.handle_input(input)?;
        }
    }
    let elapsed_s = (now() - started) as f64 / SECOND as f64;
    let (cpu_after_s, peak_mib) = supervisor.usage()?;
    println!(
        "{} x {}: {:.0} reports a second of {} bytes, {} rows each; {:.0}% of a core; peak {peak_mib:.1} MiB",
        size.servers,
        size.forwarders,
        sent as f64 / elapsed_s,
        report.len(),
        3 * size.servers,
        100.0 * (cpu_after_s - cpu_before_s) / elapsed_s
    );
    drop(supervisor);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}

/// Measures weights by SASP at each number of members: requests of one balancer, and pushed drains in comparison with
/// the same drains at an xDS client in the same run.
pub fn advice(sizes: &[u32], rounds: u32) -> Result<()> {
    for &members in sizes {
        let folder = std::env::temp_dir().join(format!("shalereel-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let measured = measure_advice(FleetSize { servers: members, forwarders: 1 }, rounds, &folder);
        let _ = std::fs::remove_dir_all(&folder);
        measured?;
    }
    Ok(())
}

/// A balancer that speaks SASP on a blocking socket.
struct Balancer {
    socket: TcpStream,
    frames: shalereel_sasp::Frames,
}

impl Balancer {
    fn send(&mut self, body: Body) -> Result<()> {
        Ok(self.socket.write_all(&Message { id: 1, body }.encode())?)
    }

    /// The next message, the time at which it was complete, and the number of bytes read for it.
    fn next(&mut self) -> Result<(Nanos, Body, usize)> {
        let mut buffer = vec![0; 1 << 16];
        let mut bytes = 0;
        loop {
            if let Some(message) = self.frames.take()? {
                return Ok((now(), message.body, bytes));
            }
            let count = self.socket.read(&mut buffer)?;
            if count == 0 {
                bail!("the supervisor closed the connection");
            }
            bytes += count;
            self.frames.push(&buffer[..count]);
        }
    }
}

fn member_at(server: u32) -> Member {
    Member::tcp(server_address(server))
}

/// Measures SASP and xDS with one balancer and one forwarder at one number of members, and prints the results.
fn measure_advice(size: FleetSize, rounds: u32, folder: &Path) -> Result<()> {
    let (mut registry, registry_address) = Registry::new(size)?;
    let file = folder.join("supervisor.toml");
    let text = deployment_text(size, "127.0.0.1:0", registry_address, folder)
        .replace("\n[list]", "\n[sasp]\nlisten = \"127.0.0.1:0\"\n\n[list]");
    // The count of 2 stands for one forwarder and one balancer.
    std::fs::write(&file, text.replace("count = 1\n", "count = 2\n"))?;
    let (supervisor, addresses) = Supervisor::start_all(&file)?;
    let threads = Forwarders::spawn(size, addresses[0], false);
    let idle_mib = supervisor.usage()?.1;
    let (push_sender, push_receiver) = mpsc::channel();
    let (drain_sender, drain_receiver) = mpsc::channel::<Member>();
    let sasp_address = addresses[1];
    let balancer = thread::spawn(move || -> Result<(u64, usize)> {
        let group = SaspGroup { balancer: b"m".to_vec(), name: OPERATIONS[0].into() };
        let socket = TcpStream::connect(sasp_address)?;
        socket.set_read_timeout(Some(Duration::from_nanos(TIMEOUT)))?;
        let mut balancer = Balancer { socket, frames: shalereel_sasp::Frames::new(MAX_SASP_MESSAGE_BYTES) };
        let flags = LbFlags { push: true, trust: false, no_change: true };
        balancer.send(Body::SetLbState { balancer: b"m".to_vec(), health: 0, flags })?;
        let members = (0..size.servers).map(member_at).collect();
        balancer.send(Body::Register { from_balancer: true, groups: vec![(group.clone(), members)] })?;
        while let Ok(member) = drain_receiver.recv() {
            loop {
                let (at, body, bytes) = balancer.next()?;
                let Body::SendWeights { groups } = body else { continue };
                let is_drained =
                    |entry: &shalereel_sasp::WeightEntry| entry.member == member && entry.weight == 0;
                if groups.iter().flat_map(|group| &group.1).any(is_drained) {
                    let _ = push_sender.send((at, bytes));
                    break;
                }
            }
        }
        // Requests are spaced out: a supervisor answers a limited number per cycle and rejects more with "try later".
        let mut response_times = Histogram::<u64>::new(3)?;
        let mut response_bytes = 0;
        for _ in 0..WEIGHT_REQUESTS {
            let requested_at = now();
            balancer.send(Body::GetWeights { groups: vec![group.clone()] })?;
            let (at, body, bytes) = loop {
                match balancer.next()? {
                    (_, Body::SendWeights { .. }, _) => {}
                    other => break other,
                }
            };
            if let Body::Weights { code: ReturnCode::Successful, .. } = body {
                response_times.record(at - requested_at)?;
                response_bytes = bytes;
            }
            thread::sleep(WEIGHT_REQUEST_INTERVAL);
        }
        Ok((response_times.value_at_quantile(0.5), response_bytes))
    });
    let start_wait = |wait: fn(SocketAddr, usize) -> Wait, address| {
        let server_count = size.servers as usize;
        threads.iter().try_for_each(|thread| {
            thread.waits.send(wait(address, server_count)).context("a forwarder thread ended")
        })
    };
    start_wait(Wait::Tables, addresses[0])?;
    registry.serve_until_done("all tables", &threads)?;
    let (mut xds_times, mut sasp_times) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let cpu_before_s = supervisor.usage()?.0;
    for round in 0..rounds {
        let server = round % size.servers;
        start_wait(|address, _| Wait::Without(address), server_address(server))?;
        drain_sender.send(member_at(server))?;
        registry.serve(now() + WAIT_SETUP_TIME)?;
        registry.draining = Some(server);
        let pushed_at = registry.push_list();
        xds_times.record(registry.serve_until_done("a drain", &threads)?.0 - pushed_at)?;
        let (at, _) = push_receiver.recv_timeout(Duration::from_nanos(TIMEOUT))?;
        sasp_times.record(at.saturating_sub(pushed_at))?;
        registry.draining = None;
        registry.push_list();
        start_wait(Wait::Tables, addresses[0])?;
        registry.serve_until_done("the end of a drain", &threads)?;
    }
    let (cpu_after_s, peak_mib) = supervisor.usage()?;
    drop(drain_sender);
    let (response_time, bytes) =
        balancer.join().map_err(|_| anyhow::anyhow!("the balancer thread panicked"))??;
    println!(
        "{} members: drain to weight 0 pushed by SASP {:.2} ms (p99 {:.2}), to the table by xDS {:.2} ms (p99 {:.2}); \
         an asked answer of {bytes} bytes in {:.2} ms, {:.0} weights a second; {:.1} us of processor a member and \
         drain; {:.1} MiB with both connections, {idle_mib:.1} without",
        size.servers,
        ms(sasp_times.value_at_quantile(0.5)),
        ms(sasp_times.value_at_quantile(0.99)),
        ms(xds_times.value_at_quantile(0.5)),
        ms(xds_times.value_at_quantile(0.99)),
        ms(response_time),
        f64::from(size.servers) / (response_time as f64 / SECOND as f64),
        1e6 * (cpu_after_s - cpu_before_s) / f64::from(rounds) / f64::from(size.servers),
        peak_mib,
    );
    Ok(())
}
