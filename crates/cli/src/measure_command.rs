//! `shalereel measure`: what publishing costs, beside bare sockets that carry the same bytes in the same run.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;

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

const BOUNDS: ConnectionLimits = ConnectionLimits {
    max_message_bytes: 16 << 20,
    max_concurrent_calls: 64,
    max_unsent_bytes: 64 << 20,
    user_timeout: PATIENCE,
    retry_delay: PATIENCE / 100,
};
const OPERATIONS: [&str; 3] = ["box-view", "box-add", "order-place"];
/// Nothing takes so long unless it hangs.
const PATIENCE: Nanos = 60 * SECOND;

/// One size: so many servers and so many forwarders.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub servers: u32,
    pub forwarders: u32,
}

impl std::str::FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parsed = text.split_once('x').and_then(|(servers, forwarders)| {
            Some(Size { servers: servers.parse().ok()?, forwarders: forwarders.parse().ok()? })
        });
        let fits = |size: &Size| (1..=5000).contains(&size.servers) && (1..=1000).contains(&size.forwarders);
        parsed.filter(fits).ok_or_else(|| format!("{text:?}: give servers x forwarders, such as 120x40"))
    }
}

pub(crate) fn deployment(size: Size, listen: &str, registry: SocketAddr, folder: &Path) -> String {
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

/// A supervisor's process, ended with this value.
pub(crate) struct Supervisor(Child);

impl Supervisor {
    pub(crate) fn start(file: &Path) -> Result<(Self, SocketAddr)> {
        Supervisor::start_all(file).map(|(supervisor, addresses)| (supervisor, addresses[0]))
    }

    fn start_all(file: &Path) -> Result<(Self, Vec<SocketAddr>)> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["daemon", "--config"])
            .arg(file)
            .env("SHALEREEL_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        BufReader::new(child.stdout.take().context("no output")?).read_line(&mut line)?;
        let ready: Ready = serde_json::from_str(&line).context("the supervisor did not come up")?;
        Ok((Supervisor(child), ready.addresses))
    }

    /// Processor time so far, and the most memory that it ever had: seconds and MiB, as `/proc` tells.
    pub(crate) fn cost(&self) -> Result<(f64, f64)> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let after = stat.rsplit(')').next().unwrap_or_default();
        let ticks = |at: usize| after.split_whitespace().nth(at).and_then(|text| text.parse::<f64>().ok());
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
        let peak: f64 = peak.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0.0);
        Ok(((ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / 100.0, peak / 1024.0))
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Client {
    list: ClientStream,
    link: Option<(ConnId, StreamId)>,
    /// Of the first operation's table: how many lines are held, and whether the watched server is one of them.
    held: usize,
    watched: bool,
    bytes: usize,
    answer: usize,
    /// All bytes of tables since the last wait began.
    total: usize,
    /// Line by line: the version that is held, as text, and the sum of all lines told.
    check: String,
    told: usize,
}

/// The registry of a measurement.
pub(crate) struct Registry {
    hub: Hub<(), ()>,
    size: Size,
    streams: BTreeMap<(ConnId, StreamId), ServerStream>,
    pub(crate) draining: Option<u32>,
    version: u64,
}

pub(crate) fn address(server: u32) -> SocketAddr {
    SocketAddr::from(([127, 8, (server >> 8) as u8, server as u8], 7000))
}

fn plain(status: Status) -> anyhow::Error {
    anyhow::anyhow!("{status}")
}

impl Registry {
    pub(crate) fn new(size: Size) -> Result<(Self, SocketAddr)> {
        let mut hub = Hub::new(BOUNDS)?;
        let (_, address) = hub.listen("127.0.0.1:0".parse()?, ())?;
        Ok((Registry { hub, size, streams: BTreeMap::new(), draining: None, version: 0 }, address))
    }

    /// Says the list; gives the time when its message stood ready.
    pub(crate) fn say_list(&mut self) -> Nanos {
        self.version += 1;
        let rows = (0..self.size.servers).map(|server| AssignedEndpoint {
            address: address(server),
            zone: "a".into(),
            health: if self.draining == Some(server) { Health::Draining } else { Health::Ready },
            weight: 2.0,
            info: Some(ServerInfo { server, kind: 0, cell: 0, incarnation: 1, age: None }),
        });
        let any = Assignment { cluster: "fleet".into(), endpoints: rows.collect(), admitted: 1.0 }.encode();
        let version = self.version.to_string();
        let mut begun = now();
        for (&(conn, stream), serving) in &mut self.streams {
            let resource = Resource { name: "fleet".into(), version: version.clone(), any: any.clone() };
            let (type_url, resources, removed) = (types::ASSIGNMENT, vec![resource], Vec::new());
            let (nonce, stamp) = (self.version, begun);
            let message = serving.encode_response(Response {
                type_url,
                version: &version,
                resources,
                removed,
                nonce,
                stamp,
            });
            begun = now();
            self.hub.send(conn, stream, &message);
        }
        begun
    }

    pub(crate) fn turn(&mut self, until: Nanos) -> Result<()> {
        for input in self.hub.wait(Some(until))? {
            match input {
                Input::Call { conn, stream, .. } => {
                    self.streams
                        .insert((conn, stream), ServerStream::new(Variant::StateOfTheWorld, "registry"));
                }
                Input::Message { conn, stream, message } => {
                    let Some(serving) = self.streams.get_mut(&(conn, stream)) else { continue };
                    let asked = serving.handle(&message).map_err(plain)?;
                    if asked.iter().any(|asked| matches!(asked, ClientRequest::Subscribe { .. })) {
                        self.say_list();
                    }
                }
                Input::Closed { conn, .. } => self.streams.retain(|(of, _), _| *of != conn),
                _ => {}
            }
        }
        Ok(())
    }

    /// Serves the list until all groups of forwarders have answered; the latest of their times.
    pub(crate) fn until(&mut self, what: &str, groups: &[GroupHandle]) -> Result<(Nanos, usize, usize)> {
        let (end, mut got) = (now() + PATIENCE, Vec::new());
        while got.len() < groups.len() {
            self.turn(now() + MILLI / 2)?;
            for group in groups {
                got.extend(group.answers.try_recv());
            }
            if now() > end {
                bail!("{what}: not within {} s", PATIENCE / SECOND);
            }
        }
        let got: Vec<(Nanos, usize, usize)> = got.into_iter().collect::<Result<_>>()?;
        let sum =
            |of: fn(&(Nanos, usize, usize)) -> usize| got.iter().map(of).sum::<usize>() / got.len().max(1);
        Ok((got.iter().map(|one| one.0).max().unwrap_or(0), sum(|one| one.1), sum(|one| one.2)))
    }
}

/// What a group of forwarders is to wait for.
pub(crate) enum Wait {
    /// All hold a table of so many lines from a supervisor at this address.
    Tables(SocketAddr, usize),
    /// None holds this server any more.
    Without(SocketAddr),
    /// All break their streams and hold tables of so many lines again; they say what they hold, or nothing.
    Rejoin { lines: usize, resume: bool },
}

/// A thread of forwarders: waits go in; the time of the last answer, and the bytes of an update and an answer,
/// come out.
pub(crate) struct GroupHandle {
    pub(crate) waits: mpsc::Sender<Wait>,
    answers: mpsc::Receiver<Result<(Nanos, usize, usize)>>,
}

/// Forwarders that share a thread: scripted, idle otherwise.
pub(crate) struct Group {
    /// Tables are taken line by line.
    lines: bool,
    resume: bool,
    hub: Hub<(), usize>,
    supervisor: SocketAddr,
    clients: Vec<Client>,
    links: BTreeMap<ConnId, usize>,
    watched: Option<SocketAddr>,
}

impl Group {
    fn new(first: u32, count: u32, supervisor: SocketAddr, lines: bool) -> Result<Self> {
        let client = |at: u32| {
            let node = NodeInfo {
                id: format!("f-{at}"),
                zone: "a".into(),
                rate: 10.0,
                is_new: true,
                supports_lines: lines,
            };
            let variant = if lines { Variant::Incremental } else { Variant::StateOfTheWorld };
            let mut list = ClientStream::new(variant, node);
            list.subscribe(types::ASSIGNMENT, OPERATIONS.map(str::to_owned));
            Client {
                list,
                link: None,
                held: 0,
                watched: false,
                bytes: 0,
                answer: 0,
                total: 0,
                check: String::new(),
                told: 0,
            }
        };
        let clients = (first..first + count).map(client).collect();
        let hub = Hub::new(BOUNDS)?;
        Ok(Group { lines, resume: true, hub, supervisor, clients, links: BTreeMap::new(), watched: None })
    }

    /// Two threads of forwarders: more would take the supervisor's core on a small machine.
    pub(crate) fn spawn(size: Size, supervisor: SocketAddr, lines: bool) -> Vec<GroupHandle> {
        let half = size.forwarders.div_ceil(2);
        let parts = [(0, half), (half, size.forwarders - half)].into_iter().filter(|part| part.1 > 0);
        parts
            .map(|(first, count)| {
                let (waits, orders) = mpsc::channel();
                let (results, answers) = mpsc::channel();
                thread::spawn(move || {
                    let mut group = match Group::new(first, count, supervisor, lines) {
                        Ok(group) => group,
                        Err(error) => return drop(results.send(Err(error))),
                    };
                    while let Ok(wait) = orders.recv() {
                        if results.send(group.wait(&wait)).is_err() {
                            return;
                        }
                    }
                });
                GroupHandle { waits, answers }
            })
            .collect()
    }

    fn dial(&mut self, at: usize) -> Result<()> {
        let conn = self.hub.dial(self.supervisor)?;
        let stream = self
            .hub
            .call(conn, if self.lines { DELTA_ADS } else { ADS }, None)
            .context("the connection is gone")?;
        let client = &mut self.clients[at];
        client.link = Some((conn, stream));
        self.links.insert(conn, at);
        let held = Some(client.check.clone()).filter(|check| self.resume && !check.is_empty());
        client.list.set_resource_versions(
            types::LINE,
            held.map(|check| (leds::collection(0), check)).into_iter().collect(),
        );
        for message in client.list.reopen() {
            self.hub.send(conn, stream, &message);
        }
        Ok(())
    }

    fn wait(&mut self, wait: &Wait) -> Result<(Nanos, usize, usize)> {
        match wait {
            Wait::Tables(supervisor, _) => {
                self.supervisor = *supervisor;
                self.watched = None;
            }
            Wait::Without(server) => self.watched = Some(*server),
            Wait::Rejoin { resume, .. } => {
                (self.watched, self.resume) = (None, *resume);
                for (conn, _) in self.clients.iter_mut().filter_map(|client| client.link.take()) {
                    self.links.remove(&conn);
                    self.hub.close(conn);
                }
                self.clients.iter_mut().for_each(|client| client.held = 0);
            }
        }
        self.clients.iter_mut().for_each(|client| client.total = 0);
        self.clients.iter_mut().for_each(|client| client.watched = true);
        for at in 0..self.clients.len() {
            if self.clients[at].link.is_none() {
                self.dial(at)?;
            }
        }
        let end = now() + PATIENCE;
        while now() < end {
            for input in self.hub.wait(Some(now() + SECOND / 10))? {
                self.take(input)?;
            }
            let done = match wait {
                Wait::Tables(_, lines) | Wait::Rejoin { lines, .. } => {
                    self.clients.iter().all(|client| client.link.is_some() && client.held == *lines)
                }
                Wait::Without(_) => self.clients.iter().all(|client| !client.watched),
            };
            if done {
                let at = now();
                // The last answers leave before anything else is asked of this thread.
                self.hub.wait(Some(now()))?;
                let sum = |of: fn(&Client) -> usize| {
                    self.clients.iter().map(of).sum::<usize>() / self.clients.len()
                };
                let bytes = match wait {
                    Wait::Rejoin { .. } => sum(|client| client.total),
                    _ => sum(|client| client.bytes),
                };
                return Ok((at, bytes, sum(|client| client.answer)));
            }
        }
        bail!("forwarders: not within {} s", PATIENCE / SECOND)
    }

    fn take(&mut self, input: Input<(), usize>) -> Result<()> {
        match input {
            Input::Message { conn, stream, message } => {
                let Some(&at) = self.links.get(&conn) else { return Ok(()) };
                if self.clients[at].link == Some((conn, stream)) {
                    self.update(at, conn, stream, &message)?;
                }
            }
            Input::Closed { conn, .. } => {
                if let Some(at) = self.links.remove(&conn) {
                    (self.clients[at].link, self.clients[at].held) = (None, 0);
                    self.hub.set_timer(now() + 2 * MILLI, at);
                }
            }
            Input::Timer(at) if self.clients[at].link.is_none() => self.dial(at)?,
            _ => {}
        }
        Ok(())
    }

    /// Answers first; all forwarders of a group are told the same, so one of them reads a drain for all.
    fn update(&mut self, at: usize, conn: ConnId, stream: StreamId, message: &[u8]) -> Result<()> {
        let client = &mut self.clients[at];
        let update = client.list.handle(message).map_err(plain)?;
        client.total += message.len();
        if self.lines && update.type_url == types::ASSIGNMENT {
            let answer = client.list.ack(&update);
            self.hub.send(conn, stream, &answer);
            if client.check.is_empty() && client.told == 0 {
                client.told = 1;
                let ask = client.list.resubscribe(types::LINE, [(leds::collection(0), None)].into());
                self.hub.send(conn, stream, &ask);
            }
            return Ok(());
        }
        if self.lines {
            let answer = client.list.ack(&update);
            (client.bytes, client.answer) = (message.len(), answer.len());
            self.hub.send(conn, stream, &answer);
            let told =
                update.version.split_once('>').and_then(|(_, check)| Some((check, Check::parse(check)?)));
            let (text, check) = told.context("a version without its check")?;
            client.check = text.to_owned();
            client.told += update.names.len() + update.removed.len();
            client.held = check.digest.count as usize;
            let server = |name: &String| leds::line_of(name).map(|line| address(line.1));
            client.watched &= !update.removed.iter().any(|name| server(name) == self.watched);
            return Ok(());
        }
        let answer = client.list.ack(&update);
        (client.bytes, client.answer) = (message.len(), answer.len());
        self.hub.send(conn, stream, &answer);
        let reads = self.watched.is_none() || at == 0;
        for any in update.resources.iter().take(usize::from(reads)) {
            let table = Assignment::decode(any).map_err(plain)?;
            client.held = table.endpoints.len();
            client.watched = table.endpoints.iter().any(|row| Some(row.address) == self.watched);
        }
        client.watched &= reads;
        Ok(())
    }
}

/// The same bytes to as many sockets, and as many short answers back: from the first write to the last answer.
fn bare(size: Size, bytes: usize, answer: usize, rounds: u32) -> Result<Histogram<u64>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let count = size.forwarders as usize;
    let far = thread::spawn(move || -> std::io::Result<()> {
        let mut sockets: Vec<TcpStream> =
            (0..count).map(|_| TcpStream::connect(address)).collect::<Result<_, _>>()?;
        let (mut content, reply) = (vec![0; bytes], vec![1; answer]);
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
    let (content, mut reply) = (vec![7; bytes], vec![0; answer]);
    let mut spans = Histogram::new(3)?;
    for socket in &sockets {
        socket.set_nodelay(true)?;
    }
    for _ in 0..rounds {
        let begun = now();
        for socket in &mut sockets {
            socket.write_all(&content)?;
        }
        for socket in &mut sockets {
            socket.read_exact(&mut reply)?;
        }
        spans.record(now() - begun)?;
    }
    far.join().map_err(|_| anyhow::anyhow!("the far side failed"))??;
    Ok(spans)
}

pub(crate) fn ms(nanos: u64) -> f64 {
    nanos as f64 / MILLI as f64
}

/// Drains one server after another, and restarts the supervisor some times, at each size.
pub fn publish(sizes: &[Size], rounds: u32, json: bool) -> Result<()> {
    let mut rows = Vec::new();
    for &size in sizes {
        let folder = std::env::temp_dir().join(format!("shalereel-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let measured = publish_one(size, rounds, &folder);
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

#[derive(serde::Serialize)]
struct Published {
    servers: u32,
    forwarders: u32,
    update_bytes: usize,
    drain_ms: (f64, f64),
    bare_ms: (f64, f64),
    drain_ratio: f64,
    start_ms: (f64, f64),
    cpu_s_a_drain: f64,
    peak_mib: f64,
}

impl std::fmt::Display for Published {
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
            self.bare_ms.0,
            self.bare_ms.1,
            self.drain_ratio,
            self.start_ms.0,
            self.start_ms.1,
            1e3 * self.cpu_s_a_drain,
            self.peak_mib
        )
    }
}

fn publish_one(size: Size, rounds: u32, folder: &Path) -> Result<Published> {
    let (mut registry, list) = Registry::new(size)?;
    let file: PathBuf = folder.join("supervisor.toml");
    let all = size.servers as usize;
    let mut starts = Histogram::<u64>::new(3)?;
    let mut running = None;
    let mut listen = SocketAddr::from(([127, 0, 3, 1], 0));
    let groups = Group::spawn(size, listen, false);
    let tell = |wait: fn(SocketAddr, usize) -> Wait, address| {
        groups.iter().try_for_each(|group| group.waits.send(wait(address, all)).context("a thread is gone"))
    };
    for round in 0..=rounds.div_ceil(4).max(3) {
        drop(running.take());
        std::fs::write(&file, deployment(size, &listen.to_string(), list, folder))?;
        let begun = now();
        let (supervisor, address) = Supervisor::start(&file)?;
        listen = address;
        tell(Wait::Tables, address)?;
        let held = registry.until("all tables held", &groups)?.0;
        // The first start has no kept list, and nobody waits for it yet.
        if round > 0 {
            starts.record(held - begun)?;
        }
        running = Some(supervisor);
    }
    let Some(supervisor) = running else { bail!("no supervisor") };
    let mut drains = Histogram::<u64>::new(3)?;
    let (mut update_bytes, mut answer) = (0, 0);
    let before = supervisor.cost()?.0;
    for round in 0..rounds {
        let server = round % size.servers;
        tell(|address, _| Wait::Without(address), address(server))?;
        // The threads wait by now.
        registry.turn(now() + 20 * MILLI)?;
        registry.draining = Some(server);
        let begun = registry.say_list();
        let (held, bytes, short) = registry.until("a drain", &groups)?;
        drains.record(held - begun)?;
        (update_bytes, answer) = (update_bytes + bytes, short);
        registry.draining = None;
        registry.say_list();
        tell(Wait::Tables, listen)?;
        registry.until("a return", &groups)?;
    }
    update_bytes /= rounds.max(1) as usize;
    let (after, peak_mib) = supervisor.cost()?;
    let bare = bare(size, update_bytes.max(1), answer.max(1), rounds)?;
    let both = |spans: &Histogram<u64>| (ms(spans.value_at_quantile(0.5)), ms(spans.value_at_quantile(0.99)));
    Ok(Published {
        servers: size.servers,
        forwarders: size.forwarders,
        update_bytes,
        drain_ms: both(&drains),
        bare_ms: both(&bare),
        drain_ratio: drains.value_at_quantile(0.5) as f64 / bare.value_at_quantile(0.5) as f64,
        start_ms: both(&starts),
        cpu_s_a_drain: (after - before) / f64::from(rounds),
        peak_mib,
    })
}

/// Reports as fast as one supervisor takes them: each of all servers, for three operations.
pub fn reports(size: Size, seconds: u32) -> Result<()> {
    let folder = std::env::temp_dir().join(format!("shalereel-measure-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (mut registry, list) = Registry::new(size)?;
    let file = folder.join("supervisor.toml");
    std::fs::write(&file, deployment(size, "127.0.0.1:0", list, &folder))?;
    let (supervisor, served) = Supervisor::start(&file)?;
    let (mut group, all) = (Group::new(0, size.forwarders, served, false)?, size.servers as usize);
    (0..size.forwarders as usize).try_for_each(|at| group.dial(at))?;
    let end = now() + PATIENCE;
    while group.clients.iter().any(|client| client.held != all) {
        registry.turn(now() + MILLI)?;
        for input in group.hub.wait(Some(now() + MILLI))? {
            group.take(input)?;
        }
        if now() > end {
            bail!("tables: not within {} s", PATIENCE / SECOND);
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
                address: address(server),
                zone: "a".into(),
                successes: 3,
                failures: 0,
                timed_responses: 3,
                response_time_sum: 300 * MILLI,
                metrics: BTreeMap::new(),
            })
            .collect(),
    });
    let message = LoadReport { node: None, clusters: clusters.to_vec() }.encode();
    let mut streams = Vec::new();
    for client in &group.clients {
        let Some((conn, _)) = client.link else { continue };
        let Some(stream) = group.hub.call(conn, LRS, None) else { continue };
        let opening = LoadReport { node: Some(client.list.node.clone()), clusters: Vec::new() };
        group.hub.send(conn, stream, &opening.encode());
        streams.push((conn, stream));
    }
    let (before, begun, mut sent) = (supervisor.cost()?.0, now(), 0_u64);
    let end = begun + Nanos::from(seconds) * SECOND;
    while now() < end {
        for &(conn, stream) in &streams {
            // Flow control holds back what the supervisor does not take.
            if group.hub.unsent_call_bytes(conn, stream) == 0 {
                group.hub.send(conn, stream, &message);
                sent += 1;
            }
        }
        for input in group.hub.wait(Some(now() + MILLI))? {
            group.take(input)?;
        }
    }
    let span = (now() - begun) as f64 / SECOND as f64;
    let (after, peak) = supervisor.cost()?;
    println!(
        "{} x {}: {:.0} reports a second of {} bytes, {} rows each; {:.0}% of a core; peak {peak:.1} MiB",
        size.servers,
        size.forwarders,
        sent as f64 / span,
        message.len(),
        3 * size.servers,
        100.0 * (after - before) / span
    );
    drop(supervisor);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}

/// Weights by SASP: one balancer with so many members, asked again and again, and pushed drains beside the
/// same drains at an xDS client in the same run.
pub fn advice(sizes: &[u32], rounds: u32) -> Result<()> {
    for &members in sizes {
        let folder = std::env::temp_dir().join(format!("shalereel-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let measured = advice_one(Size { servers: members, forwarders: 1 }, rounds, &folder);
        let _ = std::fs::remove_dir_all(&folder);
        measured?;
    }
    Ok(())
}

/// A balancer of the measurement on a blocking socket.
struct Balancer {
    socket: TcpStream,
    frames: shalereel_sasp::Frames,
}

impl Balancer {
    fn say(&mut self, body: Body) -> Result<()> {
        Ok(self.socket.write_all(&Message { id: 1, body }.encode())?)
    }

    /// The next message and the time when it was whole.
    fn next(&mut self) -> Result<(Nanos, Body, usize)> {
        let mut piece = vec![0; 1 << 16];
        let mut bytes = 0;
        loop {
            if let Some(message) = self.frames.take()? {
                return Ok((now(), message.body, bytes));
            }
            let count = self.socket.read(&mut piece)?;
            if count == 0 {
                bail!("the supervisor ended the connection");
            }
            bytes += count;
            self.frames.push(&piece[..count]);
        }
    }
}

fn member_at(server: u32) -> Member {
    Member::tcp(address(server))
}

fn advice_one(size: Size, rounds: u32, folder: &Path) -> Result<()> {
    let (mut registry, list) = Registry::new(size)?;
    let file = folder.join("supervisor.toml");
    let text = deployment(size, "127.0.0.1:0", list, folder)
        .replace("\n[list]", "\n[sasp]\nlisten = \"127.0.0.1:0\"\n\n[list]");
    // One forwarder and one balancer.
    std::fs::write(&file, text.replace("count = 1\n", "count = 2\n"))?;
    let (supervisor, served) = Supervisor::start_all(&file)?;
    let groups = Group::spawn(size, served[0], false);
    let idle = supervisor.cost()?.1;
    let (results, pushed) = mpsc::channel();
    let (drains, drained) = mpsc::channel::<Member>();
    let front = served[1];
    let balancer = thread::spawn(move || -> Result<(u64, usize)> {
        let group = SaspGroup { balancer: b"m".to_vec(), name: OPERATIONS[0].into() };
        let socket = TcpStream::connect(front)?;
        socket.set_read_timeout(Some(std::time::Duration::from_nanos(PATIENCE)))?;
        let mut balancer = Balancer { socket, frames: shalereel_sasp::Frames::new(8 << 20) };
        let flags = LbFlags { push: true, trust: false, no_change: true };
        balancer.say(Body::SetLbState { balancer: b"m".to_vec(), health: 0, flags })?;
        let all = (0..size.servers).map(member_at).collect();
        balancer.say(Body::Register { from_balancer: true, groups: vec![(group.clone(), all)] })?;
        while let Ok(member) = drained.recv() {
            loop {
                let (at, body, bytes) = balancer.next()?;
                let Body::SendWeights { groups } = body else { continue };
                let out = |entry: &shalereel_sasp::WeightEntry| entry.member == member && entry.weight == 0;
                if groups.iter().flat_map(|group| &group.1).any(out) {
                    let _ = results.send((at, bytes));
                    break;
                }
            }
        }
        // Asked now and then: a supervisor answers some requests a cycle, and tells more to try later.
        let mut answers = Histogram::<u64>::new(3)?;
        let mut size = 0;
        for _ in 0..60 {
            let begun = now();
            balancer.say(Body::GetWeights { groups: vec![group.clone()] })?;
            let (at, body, bytes) = loop {
                match balancer.next()? {
                    (_, Body::SendWeights { .. }, _) => {}
                    other => break other,
                }
            };
            if let Body::Weights { code: ReturnCode::Successful, .. } = body {
                answers.record(at - begun)?;
                size = bytes;
            }
            thread::sleep(std::time::Duration::from_millis(25));
        }
        Ok((answers.value_at_quantile(0.5), size))
    });
    let tell = |wait: fn(SocketAddr, usize) -> Wait, address| {
        let all = size.servers as usize;
        groups.iter().try_for_each(|group| group.waits.send(wait(address, all)).context("a thread is gone"))
    };
    tell(Wait::Tables, served[0])?;
    registry.until("all tables held", &groups)?;
    let (mut by_xds, mut by_sasp) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let before = supervisor.cost()?.0;
    for round in 0..rounds {
        let server = round % size.servers;
        tell(|address, _| Wait::Without(address), address(server))?;
        drains.send(member_at(server))?;
        registry.turn(now() + 20 * MILLI)?;
        registry.draining = Some(server);
        let begun = registry.say_list();
        by_xds.record(registry.until("a drain", &groups)?.0 - begun)?;
        let (at, _) = pushed.recv_timeout(std::time::Duration::from_nanos(PATIENCE))?;
        by_sasp.record(at.saturating_sub(begun))?;
        registry.draining = None;
        registry.say_list();
        tell(Wait::Tables, served[0])?;
        registry.until("a return", &groups)?;
    }
    let (after, peak) = supervisor.cost()?;
    drop(drains);
    let (answer, bytes) = balancer.join().map_err(|_| anyhow::anyhow!("the balancer failed"))??;
    println!(
        "{} members: drain to weight 0 pushed by SASP {:.2} ms (p99 {:.2}), to the table by xDS {:.2} ms (p99 {:.2}); \
         an asked answer of {bytes} bytes in {:.2} ms, {:.0} weights a second; {:.1} us of processor a member and \
         drain; {:.1} MiB with both connections, {idle:.1} without",
        size.servers,
        ms(by_sasp.value_at_quantile(0.5)),
        ms(by_sasp.value_at_quantile(0.99)),
        ms(by_xds.value_at_quantile(0.5)),
        ms(by_xds.value_at_quantile(0.99)),
        ms(answer),
        f64::from(size.servers) / (answer as f64 / SECOND as f64),
        1e6 * (after - before) / f64::from(rounds) / f64::from(size.servers),
        peak,
    );
    Ok(())
}
