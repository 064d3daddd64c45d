//! `shalereel node` as a process, between a discovery, proxies and strangers that this file plays on loopback.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

const BOUND: Duration = Duration::from_secs(10);

/// Waits until something holds, with a bound.
fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let by = Instant::now() + BOUND;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < by, "not within {BOUND:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A discovery whose watch is written by hand.
struct Discovery {
    address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (to, watches)) = (listener.local_addr().unwrap(), channel());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
                let Some(Ok(request)) = lines.next() else { continue };
                let _ = lines.find(|line| line.as_ref().map_or(true, String::is_empty));
                let mut stream = stream;
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(head).is_err() || to.send((request, stream)).is_err() {
                    return;
                }
            }
        });
        Discovery { address, watches }
    }

    fn watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(BOUND).expect("a watch")
    }
}

/// One chunk, in one write.
fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn tell(watch: &mut TcpStream, list: &Value) {
    let line = format!("{list}\n");
    // In two chunks, cut in the middle.
    let (one, two) = line.split_at(line.len() / 2);
    for piece in [one, two] {
        watch.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes()).unwrap();
    }
}

fn server(at: u32, state: &str) -> Value {
    json!({"id": format!("s{at}"), "addr": "127.0.0.1:1", "zone": "north", "kind": "big", "cell": 0,
        "state": state, "weight": 1.0, "started_ms": 0})
}

fn file(discovery: SocketAddr, listen: SocketAddr) -> Value {
    json!({"name": "n0", "listen": listen, "discovery": discovery, "seed": "00000000000000ff",
    "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 128},
    "known": {"version": 3, "full": true, "servers": [server(0, "Ready"), server(1, "Ready"), server(2, "Ready")]},
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

/// A supervisor, ended with its test.
struct Node {
    child: Child,
    config: PathBuf,
    address: SocketAddr,
    log: PathBuf,
}

impl Node {
    fn start(name: &str, discovery: SocketAddr) -> Self {
        let node = Node::spawn(name, |config, address| {
            std::fs::write(config, file(discovery, address).to_string()).unwrap();
        });
        node.alive();
        node
    }

    /// Started, not awaited; `write` lays its file.
    fn spawn(name: &str, write: impl FnOnce(&Path, SocketAddr)) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        // A port that the kernel has just given and taken back.
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
        Node { child, config, address, log }
    }

    fn alive(&self) {
        until("alive", || {
            let mut peer = Peer::dial(self.address).ok()?;
            peer.say(&json!({"t": "probe"}));
            (peer.line()?["t"] == "alive").then_some(())
        });
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    fn logged(&self, word: &str) {
        until(word, || std::fs::read_to_string(&self.log).ok()?.contains(word).then_some(()));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A party at the supervisor's address.
struct Peer {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    table: BTreeMap<String, f64>,
}

impl Peer {
    fn dial(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_millis(100)))?;
        Ok(Peer { lines: BufReader::new(stream.try_clone()?), stream, table: BTreeMap::new() })
    }

    fn proxy(node: &Node, id: u32, new: bool) -> Self {
        let mut peer = Peer::dial(node.address).unwrap();
        let hello = json!({"t": "hello", "id": id, "site": "north", "rps": 1.0, "new": new}).to_string();
        // Byte by byte, and its end together with the next message.
        for byte in hello.as_bytes() {
            peer.stream.write_all(&[*byte]).unwrap();
        }
        peer.stream.write_all(b"\n{\"t\":\"probe\"}\n").unwrap();
        peer
    }

    fn say(&mut self, message: &Value) {
        let _ = self.stream.write_all(format!("{message}\n").as_bytes());
    }

    fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        self.lines.read_line(&mut line).ok().filter(|count| *count > 0)?;
        serde_json::from_str(&line).ok()
    }

    /// Takes what has come and answers marks, until the table names these servers alone.
    fn holds(&mut self, id: u32, servers: &[&str]) {
        until(&format!("proxy {id} holds {servers:?}"), || {
            if let Some(push) = self.line().filter(|line| line["t"] == "push") {
                if push["whole"] == true {
                    self.table.clear();
                }
                for line in push["lines"].as_array().into_iter().flatten() {
                    self.table.insert(line[0].as_str()?.into(), line[1].as_f64()?);
                }
                self.table.retain(|_, weight| *weight > 0.0);
                if let Some(seq) = push["ticket"].as_u64() {
                    self.say(&json!({"t": "ack", "id": id, "seq": seq, "ms": 5.0}));
                }
            }
            self.table.keys().eq(servers).then_some(())
        });
    }

    /// Waits for the end of the connection; was there a word before?
    fn closed(&mut self) -> bool {
        let mut said = false;
        until("closed", || {
            let mut piece = [0; 512];
            match self.lines.read(&mut piece) {
                Ok(0) => Some(()),
                Ok(_) => {
                    said = true;
                    None
                }
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => Some(()),
                Err(_) => None,
            }
        });
        said
    }
}

#[test]
fn a_day_with_a_drain_a_crash_a_broken_stream_and_a_moved_discovery() {
    let discovery = Discovery::new();
    let mut node = Node::start("node-day", discovery.address);
    let (request, mut watch) = discovery.watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=3 "), "{request}");
    let mut proxies: Vec<Peer> = (0..4).map(|id| Peer::proxy(&node, id, true)).collect();
    let all = |proxies: &mut Vec<Peer>, servers: &[&str]| {
        proxies.iter_mut().enumerate().for_each(|(id, proxy)| proxy.holds(id as u32, servers));
    };
    all(&mut proxies, &["s0", "s1", "s2"]);
    tell(&mut watch, &json!({"version": 4, "full": false, "servers": [server(1, "Terminating")]}));
    all(&mut proxies, &["s0", "s2"]);

    // A stream breaks; the proxy comes back with what it holds and is told all anew.
    proxies[3] = Peer::proxy(&node, 3, false);
    proxies[3].holds(3, &["s0", "s2"]);
    tell(
        &mut watch,
        &json!({"version": 5, "full": false, "servers": [server(2, "Gone"), server(7, "Ready")]}),
    );
    all(&mut proxies, &["s0", "s7"]);

    // A file that cannot be read leaves the old one in force; the next one moves discovery.
    std::fs::write(&node.config, "{").unwrap();
    node.signal(Signal::HUP);
    node.logged("config reload failed, the previous config stays in force");
    let next = Discovery::new();
    std::fs::write(&node.config, file(next.address, node.address).to_string()).unwrap();
    node.signal(Signal::HUP);
    let (request, mut watch) = next.watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=5 "), "{request}");
    tell(&mut watch, &json!({"version": 6, "full": true, "servers": [server(0, "Ready")]}));
    all(&mut proxies, &["s0"]);

    // The watch breaks off: it is dialled again, from the version that was heard.
    drop(watch);
    let (request, _watch) = next.watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=6 "), "{request}");

    node.signal(Signal::TERM);
    let status = until("ended", || node.child.try_wait().unwrap());
    assert!(status.success(), "{status}");
}

#[test]
fn strangers_by_hundreds_get_an_end_and_take_nothing_from_those_who_joined() {
    let discovery = Discovery::new();
    let node = Node::start("node-strangers", discovery.address);
    let mut first = Peer::proxy(&node, 0, true);
    first.holds(0, &["s0", "s1", "s2"]);
    // More than there are descriptors for.
    let silent: Vec<Peer> = (0..150).map(|_| Peer::dial(node.address).unwrap()).collect();
    let mut rude: Vec<Peer> = Vec::new();
    for text in
        ["GET / HTTP/1.1\r\n\r\n", "\u{1}\u{2}\n", "{\"t\":\"agent\",\"site\":\"x\"}\n", "{\"t\":\"hel"]
    {
        let mut peer = Peer::dial(node.address).unwrap();
        peer.stream.write_all(text.as_bytes()).unwrap();
        rude.push(peer);
    }
    let mut late = Peer::proxy(&node, 1, true);
    late.holds(1, &["s0", "s1", "s2"]);
    for mut peer in silent.into_iter().chain(rude) {
        peer.closed();
    }
    first.say(&json!({"t": "probe"}));
    until("alive", || (first.line()?["t"] == "alive").then_some(()));
}

#[test]
fn a_stream_that_reads_nothing_is_reset_and_the_others_are_served() {
    let discovery = Discovery::new();
    let node = Node::start("node-unread", discovery.address);
    let mut deaf = Peer::proxy(&node, 0, true);
    let questions = "{\"t\":\"probe\"}\n".repeat(4096);
    let ended = (0..2048).any(|_| deaf.stream.write_all(questions.as_bytes()).is_err());
    assert!(ended, "it may ask on and on without reading an answer");
    node.logged("bytes left unread by the peer");
    Peer::proxy(&node, 1, true).holds(1, &["s0", "s1", "s2"]);
}

#[test]
fn a_signal_that_comes_while_the_file_is_read_finds_its_handler() {
    let discovery = Discovery::new();
    let mut at = None;
    let mut node = Node::spawn("node-early-signal", |config, address| {
        let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
        rustix::fs::mknodat(rustix::fs::CWD, config, rustix::fs::FileType::Fifo, mode, 0).unwrap();
        at = Some(address);
    });
    let text = file(discovery.address, at.unwrap()).to_string();
    // A pipe opens for writing once the other side reads it: now it waits for its settings.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&node.config).unwrap();
    node.signal(Signal::HUP);
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    // The signal was heard: the file is read again, once the first reading is over.
    node.logged("started");
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&node.config).unwrap();
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    node.logged("config reloaded: no change");
    node.alive();
    assert!(node.child.try_wait().unwrap().is_none(), "it lives");
}

#[test]
fn a_file_in_the_middle_of_its_replacement_is_read_again() {
    let discovery = Discovery::new();
    let node = Node::start("node-replaced", discovery.address);
    let _watch = discovery.watch();
    let (next, last) = (Discovery::new(), Discovery::new());
    for (broken, to) in [(Some("{\"name\":"), &next), (None, &last)] {
        let _ = std::fs::write(&node.log, "");
        match broken {
            Some(text) => std::fs::write(&node.config, text).unwrap(),
            None => std::fs::remove_file(&node.config).unwrap(),
        }
        node.signal(Signal::HUP);
        node.logged("config reload failed, the previous config stays in force");
        // No signal follows.
        std::fs::write(&node.config, file(to.address, node.address).to_string()).unwrap();
        to.watch();
    }
}

#[test]
fn whoever_ends_its_side_first_still_gets_its_answer() {
    let discovery = Discovery::new();
    let node = Node::start("node-half-close", discovery.address);
    for _ in 0..20 {
        let mut peer = Peer::dial(node.address).unwrap();
        peer.stream.write_all(b"{\"t\":\"probe\"}\n").unwrap();
        peer.stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut said = String::new();
        peer.lines.read_to_string(&mut said).unwrap();
        assert_eq!(said, "{\"t\":\"alive\"}\n");
    }
}

#[test]
fn what_stands_behind_an_unreadable_line_of_the_list_is_asked_for_again() {
    let discovery = Discovery::new();
    let node = Node::start("node-unreadable-list", discovery.address);
    let mut proxy = Peer::proxy(&node, 0, true);
    proxy.holds(0, &["s0", "s1", "s2"]);
    let (_, mut watch) = discovery.watch();
    let [drain, last] = [(4, 1), (6, 2)].map(|(version, at)| {
        json!({"version": version, "full": false, "servers": [server(at, "Terminating")]}).to_string()
    });
    // All in one chunk, one write and so one read; versions 5 and 6 would be lost with the line.
    watch.write_all(&chunk(&format!("{drain}\n{{\"version\":5,\"fu\n{last}\n"))).unwrap();
    let (request, mut watch) = discovery.watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=4 "), "{request}");
    proxy.holds(0, &["s0", "s2"]);
    // The end of the answer comes with its last line, and the connection stays open.
    watch.write_all(&[chunk(&format!("{last}\n")), b"0\r\n\r\n".to_vec()].concat()).unwrap();
    let (request, mut watch) = discovery.watch();
    assert!(request.starts_with("GET /api/targets?watch=1&after=6 "), "{request}");
    proxy.holds(0, &["s0"]);
    // An agent that counts from the start again: what it has told before is not known.
    tell(&mut watch, &json!({"version": 2, "full": false, "servers": [server(0, "Terminating")]}));
    let (request, mut watch) = discovery.watch();
    assert!(request.starts_with("GET /api/targets?watch=1 "), "{request}");
    tell(
        &mut watch,
        &json!({"version": 2, "full": true, "servers": [server(8, "Ready"), server(9, "Ready")]}),
    );
    proxy.holds(0, &["s8", "s9"]);
}

#[test]
fn what_was_read_before_a_stop_still_gets_its_answer() {
    let discovery = Discovery::new();
    let mut node = Node::start("node-stop-answers", discovery.address);
    let mut proxy = Peer::proxy(&node, 0, true);
    proxy.holds(0, &["s0", "s1", "s2"]);
    // Both wait when it goes on; without this the question would wait in our own kernel for an acknowledgement.
    proxy.stream.set_nodelay(true).unwrap();
    node.signal(Signal::STOP);
    proxy.stream.write_all(b"{\"t\":\"probe\"}\n").unwrap();
    node.signal(Signal::TERM);
    node.signal(Signal::CONT);
    until("alive", || (proxy.line()?["t"] == "alive").then_some(()));
    let status = until("ended", || node.child.try_wait().unwrap());
    assert!(status.success(), "{status}");
}
