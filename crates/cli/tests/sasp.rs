//! SASP balancers on real sockets: a misbehaving balancer is limited or disconnected, while drains still reach the
//! others.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::{Duration, Instant};

use shalereel_sasp::{Body, Frames, Group, LbFlags, Member, Message, ReturnCode};
use shalereel_standins::{Ready, RegistryEntry, RegistryPlan, RegistryState};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shalereel");
/// Limit of each wait for a message.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A process, killed when this value is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a command, writes `plan` to its input, and reads the addresses from its output.
fn start(arguments: &[&str], plan: Option<&str>) -> (Process, Ready, ChildStdin) {
    let mut child = Command::new(PROGRAM)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    plan.into_iter().for_each(|plan| writeln!(input, "{plan}").unwrap());
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (Process(child), serde_json::from_str(&line).unwrap(), input)
}

/// A balancer that speaks SASP on a socket with a read timeout.
struct Balancer {
    socket: TcpStream,
    frames: Frames,
}

impl Balancer {
    fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        Balancer { socket, frames: Frames::new(4 << 20) }
    }

    fn send(&mut self, body: Body) {
        self.socket.write_all(&Message { id: 1, body }.encode()).unwrap();
    }

    /// The value that `matches` returns for the first message that it accepts; `None` if the connection ended.
    fn receive_matching<T>(&mut self, mut matches: impl FnMut(Body) -> Option<T>) -> Option<T> {
        let deadline = Instant::now() + TIMEOUT;
        let mut buffer = [0; 65536];
        while Instant::now() < deadline {
            while let Some(message) = self.frames.take().unwrap() {
                if let Some(value) = matches(message.body) {
                    return Some(value);
                }
            }
            match self.socket.read(&mut buffer) {
                Ok(0) => return None,
                Ok(count) => self.frames.push(&buffer[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
        panic!("no matching message within {TIMEOUT:?}")
    }
}

/// First address of the servers, 127.1.0.0.
const SERVER_NETWORK: u32 = 0x7f01_0000;

fn member(server: u32) -> Member {
    Member::tcp(SocketAddr::from((std::net::Ipv4Addr::from(SERVER_NETWORK + server), 80)))
}

fn register(balancer: &str, servers: std::ops::Range<u32>) -> Body {
    let group = Group { balancer: balancer.into(), name: b"view".to_vec() };
    Body::Register { from_balancer: true, groups: vec![(group, servers.map(member).collect())] }
}

/// Message that requests pushed weights.
fn set_lb_state(balancer: &str) -> Body {
    let flags = LbFlags { push: true, trust: false, no_change: true };
    Body::SetLbState { balancer: balancer.into(), health: 0, flags }
}

fn registry_entry(server: u32, state: RegistryState) -> RegistryEntry {
    let address = SocketAddr::from((std::net::Ipv4Addr::from(SERVER_NETWORK + server), 80));
    let (zone, incarnation, started_at) = ("a".to_owned(), 1, 0);
    RegistryEntry { server, address, zone, kind: 0, cell: 0, weight: 1.0, state, incarnation, started_at }
}

#[test]
fn a_misbehaving_balancer_does_not_affect_the_others() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sasp-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let plan = RegistryPlan {
        trace_path: folder.join("registry.trace"),
        address: "127.0.0.1:0".parse().unwrap(),
        entries: (1..9).map(|server| registry_entry(server, RegistryState::Ready)).collect(),
    };
    let (_registry, registry_ready, mut registry_input) =
        start(&["stand-in", "registry"], Some(&serde_json::to_string(&plan).unwrap()));
    let file: PathBuf = folder.join("supervisor.toml");
    let text = include_str!("days/sasp-supervisor.toml")
        .replace("REGISTRY", &registry_ready.addresses[0].to_string())
        .replace("FOLDER", &folder.join("state").to_string_lossy());
    std::fs::write(&file, text).unwrap();
    let (_supervisor, supervisor_ready, _input) =
        start(&["daemon", "--config", &file.to_string_lossy()], None);
    let sasp_address = supervisor_ready.addresses[1];

    let mut healthy = Balancer::connect(sasp_address);
    healthy.send(set_lb_state("healthy"));
    healthy.send(register("healthy", 1..9));
    let all_weights = |body| match body {
        Body::SendWeights { groups } => (groups[0].1.len() == 8).then_some(()),
        _ => None,
    };
    healthy.receive_matching(all_weights).unwrap();

    // Registers 10,000 members; the registration is accepted.
    let mut large = Balancer::connect(sasp_address);
    large.send(set_lb_state("large"));
    large.send(register("large", 1..10_001));
    let registered = |body| if let Body::Registered(code) = body { Some(code) } else { None };
    assert_eq!(large.receive_matching(registered), Some(ReturnCode::Successful));
    // Registers more members than a balancer may.
    let mut over_limit = Balancer::connect(sasp_address);
    over_limit.send(register("over-limit", 1..20_002));
    assert_eq!(over_limit.receive_matching(registered), Some(ReturnCode::TryLater));
    // Deregisters the group of another balancer.
    let mut foreign = Balancer::connect(sasp_address);
    let group = Group { balancer: b"healthy".to_vec(), name: b"view".to_vec() };
    foreign.send(Body::Deregister { from_balancer: true, reason: 0, groups: vec![(group, vec![])] });
    let code =
        foreign.receive_matching(|body| if let Body::Deregistered(code) = body { Some(code) } else { None });
    assert_eq!(code, Some(ReturnCode::WillNotAccept));
    // Sends requests without pause and is told to try later.
    let mut flooding = Balancer::connect(sasp_address);
    flooding.send(register("flooding", 1..9));
    let group = Group { balancer: b"flooding".to_vec(), name: b"view".to_vec() };
    (0..2000).for_each(|_| flooding.send(Body::GetWeights { groups: vec![group.clone()] }));
    let try_later = |body| matches!(body, Body::Weights { code: ReturnCode::TryLater, .. }).then_some(());
    flooding.receive_matching(try_later).unwrap();
    // Speaks another protocol; disconnects within a message; sends a message that only a workload manager may send.
    let mut http_client = Balancer::connect(sasp_address);
    http_client.socket.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(http_client.receive_matching(|_| Some(())), None);
    let mut disconnecting = Balancer::connect(sasp_address);
    disconnecting
        .socket
        .write_all(&Message { id: 1, body: register("disconnecting", 1..9) }.encode()[..40])
        .unwrap();
    drop(disconnecting);
    let mut impostor = Balancer::connect(sasp_address);
    impostor.send(Body::SendWeights { groups: vec![] });
    assert_eq!(impostor.receive_matching(|_| Some(())), None);
    // `large` reads none of its pushes from here on. A drain still reaches the healthy balancer.
    let entries = vec![registry_entry(3, RegistryState::Draining)];
    writeln!(
        registry_input,
        "{}",
        serde_json::to_string(&shalereel_standins::Command::UpdateEntries { entries }).unwrap()
    )
    .unwrap();
    let drained = |body| match body {
        Body::SendWeights { groups } => {
            let entry = groups[0].1.iter().find(|entry| entry.member == member(3))?;
            (entry.weight == 0 && entry.quiesce).then_some(())
        }
        _ => None,
    };
    healthy.receive_matching(drained).unwrap();
    let _ = std::fs::remove_dir_all(folder);
}

/// Peak of a process's resident memory, in kB.
fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Guards against clients that stop within messages of maximum size and hold the supervisor's memory.
#[test]
fn balancers_that_stop_within_messages_do_not_exhaust_the_memory() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sasp-memory-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file: PathBuf = folder.join("supervisor.toml");
    let text = include_str!("days/sasp-supervisor.toml")
        .replace("REGISTRY", "127.0.0.1:9")
        .replace("FOLDER", &folder.join("state").to_string_lossy());
    std::fs::write(&file, format!("connections_mb = 8.0\n{text}")).unwrap();
    let (supervisor, ready, _input) = start(&["daemon", "--config", &file.to_string_lossy()], None);
    let stopping: Vec<Balancer> = (0..40).map(|_| Balancer::connect(ready.addresses[1])).collect();
    let mut start_of_message = Message { id: 1, body: set_lb_state("stopping") }.encode().to_vec();
    // The header says that the message has almost 4 MiB.
    start_of_message[5..9].copy_from_slice(&(4_u32 << 20).to_be_bytes());
    start_of_message.resize(3 << 20, 0);
    for mut socket in stopping.iter().map(|balancer| &balancer.socket) {
        socket.set_write_timeout(Some(TIMEOUT)).unwrap();
        // An error means that the supervisor has closed the connection.
        let _ = socket.write_all(&start_of_message);
    }
    let mut healthy = Balancer::connect(ready.addresses[1]);
    healthy.send(set_lb_state("healthy"));
    let accepted = healthy.receive_matching(|body| matches!(body, Body::LbStateSet(_)).then_some(()));
    assert_eq!(accepted, Some(()), "a balancer that sends complete messages is answered");
    let peak = peak_memory_kb(supervisor.0.id());
    assert!(peak <= 48 << 10, "{peak} kB");
}
