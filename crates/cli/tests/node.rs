//! `shalereel node` as a process, with a discovery service, proxies and other clients simulated on loopback sockets.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

/// Limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `check` returns a value.
fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < deadline, "not within {TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A discovery service; the test writes the chunks of its watch responses.
struct Discovery {
    address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (watch_sender, watches)) = (listener.local_addr().unwrap(), channel());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
                let Some(Ok(request)) = lines.next() else { continue };
                let _ = lines.find(|line| line.as_ref().map_or(true, String::is_empty));
                let mut stream = stream;
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(head).is_err() || watch_sender.send((request, stream)).is_err() {
                    return;
                }
            }
        });
        Discovery { address, watches }
    }

    /// The request line and the connection of the next watch.
    fn next_watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(TIMEOUT).expect("no watch request arrived")
    }
}

/// One chunk of a chunked response.
fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Sends a server list as one line in two chunks, so that the line is split between them.
fn send_list(watch: &mut TcpStream, list: &Value) {
    let line = format!("{list}\n");
    let (first, second) = line.split_at(line.len() / 2);
    for part in [first, second] {
        watch.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes()).unwrap();
    }
}

/// Entry of a server in the list of the discovery service.
fn server_entry(number: u32, state: &str) -> Value {
    json!({"id": format!("s{number}"), "addr": "127.0.0.1:1", "zone": "north", "kind": "big", "cell": 0,
        "state": state, "weight": 1.0, "started_ms": 0})
}

/// The configuration file of the supervisor.
fn config_file(discovery: SocketAddr, listen: SocketAddr) -> Value {
    json!({"name": "n0", "listen": listen, "discovery": discovery, "seed": "00000000000000ff",
    "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 128},
    "known": {"version": 3, "full": true,
        "servers": [server_entry(0, "Ready"), server_entry(1, "Ready"), server_entry(2, "Ready")]},
    "settings": {
        "classes": [{"deadline_ms": 3000.0, "effect": "pure", "name": "look", "slo_ms": 1000.0, "worth": 1.0}],
        "family_info": {"admit": "off", "backlog": 4000.0, "cycle_ms": 500.0, "empty_for_ms": 3000.0,
            "first_wait": 0.8, "lines_per_s": 3000.0, "overhead": 10.0, "proxies": 9, "push_delay_ms": 100.0,
            "retry_default": 0, "worst_transit_ms": 300.0},
        "fleet_size": 1, "invariants": {"cold_from": 0.3, "cold_ms": 9000.0, "drain_grace_ms": 2000.0,
            "fall_ms": 2000.0, "tip_multiple": 2.5},
        "kinds": ["big"], "load_info": {"columns": ["cpu"], "how": "inline"}, "localities": ["north"],
        "locality": 0, "me": 0, "membership_mode": "pushed", "permissions": {"probes": true},
        "resolution_ms": 1.0, "weights": "nominal"}})
}

/// A supervisor process, killed when this value is dropped.
struct Supervisor {
    child: Child,
    config: PathBuf,
    address: SocketAddr,
    log: PathBuf,
}

impl Supervisor {
    /// Starts a supervisor and waits until it responds.
    fn start(name: &str, discovery: SocketAddr) -> Self {
        let supervisor = Supervisor::spawn(name, |config, address| {
            std::fs::write(config, config_file(discovery, address).to_string()).unwrap();
        });
        supervisor.wait_until_alive();
        supervisor
    }

    /// Starts a supervisor without waiting for it; `write` creates its configuration file.
    fn spawn(name: &str, write: impl FnOnce(&Path, SocketAddr)) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        // The kernel has just assigned and released this port.
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let (config, log) = (folder.join("config.json"), folder.join("log"));
        write(&config, address);
        let child = Command::new(env!("CARGO_BIN_EXE_shalereel"))
            .arg("node")
            .env("ROUTER_CONFIG", &config)
            .stderr(std::fs::File::create(&log).unwrap())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Supervisor { child, config, address, log }
    }

    /// Waits until the supervisor responds to a probe.
    fn wait_until_alive(&self) {
        wait_for("alive", || {
            let mut client = Client::connect(self.address).ok()?;
            client.send(&json!({"t": "probe"}));
            (client.receive()?["t"] == "alive").then_some(())
        });
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until the log contains a text.
    fn wait_for_log(&self, text: &str) {
        wait_for(text, || std::fs::read_to_string(&self.log).ok()?.contains(text).then_some(()));
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client of the supervisor: a proxy or any other.
struct Client {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    /// Weights that a proxy has received.
    table: BTreeMap<String, f64>,
}

impl Client {
    fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_millis(100)))?;
        Ok(Client { lines: BufReader::new(stream.try_clone()?), stream, table: BTreeMap::new() })
    }

    /// Connects and joins as a proxy.
    fn proxy(supervisor: &Supervisor, id: u32, new: bool) -> Self {
        let mut client = Client::connect(supervisor.address).unwrap();
        let hello = json!({"t": "hello", "id": id, "site": "north", "rps": 1.0, "new": new}).to_string();
        // The message arrives byte by byte, and its last byte together with the next message.
        for byte in hello.as_bytes() {
            client.stream.write_all(&[*byte]).unwrap();
        }
        client.stream.write_all(b"\n{\"t\":\"probe\"}\n").unwrap();
        client
    }

    fn send(&mut self, message: &Value) {
        let _ = self.stream.write_all(format!("{message}\n").as_bytes());
    }

    /// The next message; `None` if none arrives within the read timeout or it is not JSON.
    fn receive(&mut self) -> Option<Value> {
        let mut line = String::new();
        self.lines.read_line(&mut line).ok().filter(|count| *count > 0)?;
        serde_json::from_str(&line).ok()
    }

    /// Applies pushes and acknowledges those with a ticket, until the table contains exactly these servers.
    fn wait_for_table(&mut self, id: u32, servers: &[&str]) {
        wait_for(&format!("proxy {id} has the table {servers:?}"), || {
            if let Some(push) = self.receive().filter(|line| line["t"] == "push") {
                if push["whole"] == true {
                    self.table.clear();
                }
                for line in push["lines"].as_array().into_iter().flatten() {
                    self.table.insert(line[0].as_str()?.into(), line[1].as_f64()?);
                }
                self.table.retain(|_, weight| *weight > 0.0);
                if let Some(seq) = push["ticket"].as_u64() {
                    self.send(&json!({"t": "ack", "id": id, "seq": seq, "ms": 5.0}));
                }
            }
            self.table.keys().eq(servers).then_some(())
        });
    }

    /// Waits for the end of the connection. Returns whether any data arrived before it.
    fn wait_until_closed(&mut self) -> bool {
        let mut received_data = false;
        wait_for("closed", || {
            let mut buffer = [0; 512];
            match self.lines.read(&mut buffer) {
                Ok(0) => Some(()),
                Ok(_) => {
                    received_data = true;
                    None
                }
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => Some(()),
                Err(_) => None,
            }
        });
        received_data
    }
}

#[test]
fn drains_removals_broken_streams_and_config_reloads_are_handled() {
    let discovery = Discovery::new();
    let mut supervisor = Supervisor::start("node-lifecycle", discovery.address);
    let (request, mut watch) = discovery.next_watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=3 "), "{request}");
    let mut proxies: Vec<Client> = (0..4).map(|id| Client::proxy(&supervisor, id, true)).collect();
    let wait_for_tables = |proxies: &mut Vec<Client>, servers: &[&str]| {
        proxies.iter_mut().enumerate().for_each(|(id, proxy)| proxy.wait_for_table(id as u32, servers));
    };
    wait_for_tables(&mut proxies, &["s0", "s1", "s2"]);
    send_list(&mut watch, &json!({"version": 4, "full": false, "servers": [server_entry(1, "Terminating")]}));
    wait_for_tables(&mut proxies, &["s0", "s2"]);

    // A stream breaks; the proxy reconnects with its table and receives the whole table again.
    proxies[3] = Client::proxy(&supervisor, 3, false);
    proxies[3].wait_for_table(3, &["s0", "s2"]);
    send_list(
        &mut watch,
        &json!({"version": 5, "full": false, "servers": [server_entry(2, "Gone"), server_entry(7, "Ready")]}),
    );
    wait_for_tables(&mut proxies, &["s0", "s7"]);

    // An unreadable file leaves the old configuration in force; the next file names another discovery service.
    std::fs::write(&supervisor.config, "{").unwrap();
    supervisor.signal(Signal::HUP);
    supervisor.wait_for_log("config reload failed, the previous config stays in force");
    let next = Discovery::new();
    std::fs::write(&supervisor.config, config_file(next.address, supervisor.address).to_string()).unwrap();
    supervisor.signal(Signal::HUP);
    let (request, mut watch) = next.next_watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=5 "), "{request}");
    send_list(&mut watch, &json!({"version": 6, "full": true, "servers": [server_entry(0, "Ready")]}));
    wait_for_tables(&mut proxies, &["s0"]);

    // The watch breaks; it is requested again from the last version received.
    drop(watch);
    let (request, _watch) = next.next_watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=6 "), "{request}");

    supervisor.signal(Signal::TERM);
    let status = wait_for("exit of the supervisor", || supervisor.child.try_wait().unwrap());
    assert!(status.success(), "{status}");
}

#[test]
fn unknown_connections_beyond_the_limit_are_closed_and_joined_proxies_are_served() {
    let discovery = Discovery::new();
    let supervisor = Supervisor::start("node-connection-limit", discovery.address);
    let mut first = Client::proxy(&supervisor, 0, true);
    first.wait_for_table(0, &["s0", "s1", "s2"]);
    // More connections than the limit of 128 sockets.
    let silent: Vec<Client> = (0..150).map(|_| Client::connect(supervisor.address).unwrap()).collect();
    let mut invalid: Vec<Client> = Vec::new();
    for text in
        ["GET / HTTP/1.1\r\n\r\n", "\u{1}\u{2}\n", "{\"t\":\"agent\",\"site\":\"x\"}\n", "{\"t\":\"hel"]
    {
        let mut client = Client::connect(supervisor.address).unwrap();
        client.stream.write_all(text.as_bytes()).unwrap();
        invalid.push(client);
    }
    let mut late = Client::proxy(&supervisor, 1, true);
    late.wait_for_table(1, &["s0", "s1", "s2"]);
    for mut client in silent.into_iter().chain(invalid) {
        client.wait_until_closed();
    }
    first.send(&json!({"t": "probe"}));
    wait_for("alive", || (first.receive()?["t"] == "alive").then_some(()));
}

#[test]
fn a_client_that_reads_nothing_is_disconnected_and_the_others_are_served() {
    let discovery = Discovery::new();
    let supervisor = Supervisor::start("node-unread", discovery.address);
    let mut stalled = Client::proxy(&supervisor, 0, true);
    let probes = "{\"t\":\"probe\"}\n".repeat(4096);
    let disconnected = (0..2048).any(|_| stalled.stream.write_all(probes.as_bytes()).is_err());
    assert!(disconnected, "the supervisor accepts probes without end though no response is read");
    supervisor.wait_for_log("bytes left unread by the peer");
    Client::proxy(&supervisor, 1, true).wait_for_table(1, &["s0", "s1", "s2"]);
}

#[test]
fn a_signal_during_the_first_read_of_the_config_is_handled() {
    let discovery = Discovery::new();
    let mut listen = None;
    let mut supervisor = Supervisor::spawn("node-early-signal", |config, address| {
        let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
        rustix::fs::mknodat(rustix::fs::CWD, config, rustix::fs::FileType::Fifo, mode, 0).unwrap();
        listen = Some(address);
    });
    let text = config_file(discovery.address, listen.unwrap()).to_string();
    // A pipe opens for writing once the other side has opened it for reading: the supervisor now waits for its file.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&supervisor.config).unwrap();
    supervisor.signal(Signal::HUP);
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    // The signal was handled: the supervisor reads the file again after the first read.
    supervisor.wait_for_log("started");
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&supervisor.config).unwrap();
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    supervisor.wait_for_log("config reloaded: no change");
    supervisor.wait_until_alive();
    assert!(supervisor.child.try_wait().unwrap().is_none(), "the supervisor exited");
}

#[test]
fn a_failed_config_reload_is_retried_without_another_signal() {
    let discovery = Discovery::new();
    let supervisor = Supervisor::start("node-replaced", discovery.address);
    let _watch = discovery.next_watch();
    let (next, last) = (Discovery::new(), Discovery::new());
    for (broken, discovery) in [(Some("{\"name\":"), &next), (None, &last)] {
        let _ = std::fs::write(&supervisor.log, "");
        match broken {
            Some(text) => std::fs::write(&supervisor.config, text).unwrap(),
            None => std::fs::remove_file(&supervisor.config).unwrap(),
        }
        supervisor.signal(Signal::HUP);
        supervisor.wait_for_log("config reload failed, the previous config stays in force");
        // No second signal is sent.
        std::fs::write(&supervisor.config, config_file(discovery.address, supervisor.address).to_string())
            .unwrap();
        discovery.next_watch();
    }
}

#[test]
fn a_client_that_shuts_down_its_write_side_still_gets_its_response() {
    let discovery = Discovery::new();
    let supervisor = Supervisor::start("node-half-close", discovery.address);
    for _ in 0..20 {
        let mut client = Client::connect(supervisor.address).unwrap();
        client.stream.write_all(b"{\"t\":\"probe\"}\n").unwrap();
        client.stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut response = String::new();
        client.lines.read_to_string(&mut response).unwrap();
        assert_eq!(response, "{\"t\":\"alive\"}\n");
    }
}

#[test]
fn updates_after_an_unreadable_line_are_requested_again() {
    let discovery = Discovery::new();
    let supervisor = Supervisor::start("node-unreadable-list", discovery.address);
    let mut proxy = Client::proxy(&supervisor, 0, true);
    proxy.wait_for_table(0, &["s0", "s1", "s2"]);
    let (_, mut watch) = discovery.next_watch();
    let [drain, last] = [(4, 1), (6, 2)].map(|(version, number)| {
        json!({"version": version, "full": false, "servers": [server_entry(number, "Terminating")]})
            .to_string()
    });
    // One chunk in one write, and so in one read; versions 5 and 6 would be lost with the unreadable line.
    watch.write_all(&chunk(&format!("{drain}\n{{\"version\":5,\"fu\n{last}\n"))).unwrap();
    let (request, mut watch) = discovery.next_watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=4 "), "{request}");
    proxy.wait_for_table(0, &["s0", "s2"]);
    // The end of the response arrives with its last line, and the connection stays open.
    watch.write_all(&[chunk(&format!("{last}\n")), b"0\r\n\r\n".to_vec()].concat()).unwrap();
    let (request, mut watch) = discovery.next_watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=6 "), "{request}");
    proxy.wait_for_table(0, &["s0"]);
    // The discovery agent restarts its version numbers: its earlier updates no longer count, and a full list is
    // requested.
    send_list(&mut watch, &json!({"version": 2, "full": false, "servers": [server_entry(0, "Terminating")]}));
    let (request, mut watch) = discovery.next_watch();
    assert!(request.starts_with("GET /api/targets?watch=1 "), "{request}");
    send_list(
        &mut watch,
        &json!({"version": 2, "full": true, "servers": [server_entry(8, "Ready"), server_entry(9, "Ready")]}),
    );
    proxy.wait_for_table(0, &["s8", "s9"]);
}

#[test]
fn a_probe_received_before_termination_still_gets_its_response() {
    let discovery = Discovery::new();
    let mut supervisor = Supervisor::start("node-stop-answers", discovery.address);
    let mut proxy = Client::proxy(&supervisor, 0, true);
    proxy.wait_for_table(0, &["s0", "s1", "s2"]);
    // Both the probe and the signal are pending when the process continues; without TCP_NODELAY the probe could wait in
    // this side's kernel for an acknowledgement.
    proxy.stream.set_nodelay(true).unwrap();
    supervisor.signal(Signal::STOP);
    proxy.stream.write_all(b"{\"t\":\"probe\"}\n").unwrap();
    supervisor.signal(Signal::TERM);
    supervisor.signal(Signal::CONT);
    wait_for("alive", || (proxy.receive()?["t"] == "alive").then_some(()));
    let status = wait_for("exit of the supervisor", || supervisor.child.try_wait().unwrap());
    assert!(status.success(), "{status}");
}

/// Peak of a process's resident memory, in kB.
fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Writes to each of the clients in turn, as far as they take it, for a time.
fn write_to_all(clients: &mut [Client], bytes: &[u8], time: Duration) {
    clients.iter().for_each(|client| client.stream.set_nonblocking(true).unwrap());
    let mut written = vec![0; clients.len()];
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        for (client, written) in clients.iter_mut().zip(&mut written) {
            // An error means that the supervisor has closed the connection, or that its buffer is full.
            *written += client.stream.write(&bytes[*written % bytes.len()..]).unwrap_or_default();
        }
    }
}

/// Guards against memory beyond the limit, for which the platform kills the supervisor.
#[test]
fn clients_that_stop_within_messages_or_read_nothing_do_not_exhaust_the_memory() {
    let discovery = Discovery::new();
    let supervisor = Supervisor::start("node-memory", discovery.address);
    let connect = || {
        let mut client = Client::connect(supervisor.address).unwrap();
        client.send(&json!({"t": "agent", "site": "north"}));
        client
    };
    let mut not_reading: Vec<Client> = (0..40).map(|_| connect()).collect();
    let probes = "{\"t\":\"probe\"}\n".repeat(10_000);
    write_to_all(&mut not_reading, probes.as_bytes(), Duration::from_secs(3));
    drop(not_reading);
    let mut stopping: Vec<Client> = (0..40).map(|_| connect()).collect();
    let incomplete = [b"{\"t\":\"outcomes\",\"site\":\"".to_vec(), vec![b'a'; 900_000]].concat();
    write_to_all(&mut stopping, &incomplete, Duration::from_secs(1));
    let mut proxy = Client::proxy(&supervisor, 1, true);
    proxy.wait_for_table(1, &["s0", "s1", "s2"]);
    let peak = peak_memory_kb(supervisor.child.id());
    assert!(peak <= 32 << 10, "{peak} kB");
}
