//! Balancers on real sockets: what an odd one does costs it alone, while a sound one is still told of drains.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::{Duration, Instant};

use shalereel_sasp::{Body, Frames, Group, LbFlags, Member, Message, ReturnCode};
use shalereel_standins::{Ready, RegistryEntry, RegistryPlan, RegistryState};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shalereel");

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

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

struct Balancer {
    socket: TcpStream,
    frames: Frames,
}

impl Balancer {
    fn dial(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        Balancer { socket, frames: Frames::new(4 << 20) }
    }

    fn say(&mut self, body: Body) {
        self.socket.write_all(&Message { id: 1, body }.encode()).unwrap();
    }

    /// The first message that `wanted` takes, within ten seconds; nothing where the connection ended.
    fn until<T>(&mut self, mut wanted: impl FnMut(Body) -> Option<T>) -> Option<T> {
        let end = Instant::now() + Duration::from_secs(10);
        let mut piece = [0; 65536];
        while Instant::now() < end {
            while let Some(message) = self.frames.take().unwrap() {
                if let Some(found) = wanted(message.body) {
                    return Some(found);
                }
            }
            match self.socket.read(&mut piece) {
                Ok(0) => return None,
                Ok(count) => self.frames.push(&piece[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
        panic!("not within 10 s")
    }
}

fn member(server: u32) -> Member {
    Member::tcp(SocketAddr::from((std::net::Ipv4Addr::from(0x7f01_0000 + server), 80)))
}

fn register(balancer: &str, servers: std::ops::Range<u32>) -> Body {
    let group = Group { balancer: balancer.into(), name: b"view".to_vec() };
    Body::Register { from_balancer: true, groups: vec![(group, servers.map(member).collect())] }
}

fn lb_state(balancer: &str) -> Body {
    let flags = LbFlags { push: true, trust: false, no_change: true };
    Body::SetLbState { balancer: balancer.into(), health: 0, flags }
}

fn listed(server: u32, state: RegistryState) -> RegistryEntry {
    let address = SocketAddr::from((std::net::Ipv4Addr::from(0x7f01_0000 + server), 80));
    let (zone, incarnation, started) = ("a".to_owned(), 1, 0);
    RegistryEntry {
        server,
        address,
        zone,
        kind: 0,
        cell: 0,
        weight: 1.0,
        state,
        incarnation,
        started_at: started,
    }
}

#[test]
fn an_odd_balancer_costs_itself_alone() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sasp-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let plan = RegistryPlan {
        trace_path: folder.join("registry.trace"),
        address: "127.0.0.1:0".parse().unwrap(),
        entries: (1..9).map(|server| listed(server, RegistryState::Ready)).collect(),
    };
    let (_registry, at, mut list) =
        start(&["stand-in", "registry"], Some(&serde_json::to_string(&plan).unwrap()));
    let file: PathBuf = folder.join("supervisor.toml");
    let text = include_str!("days/sasp-supervisor.toml")
        .replace("REGISTRY", &at.addresses[0].to_string())
        .replace("FOLDER", &folder.join("state").to_string_lossy());
    std::fs::write(&file, text).unwrap();
    let (_supervisor, at, _input) = start(&["daemon", "--config", &file.to_string_lossy()], None);
    let front = at.addresses[1];

    let mut sound = Balancer::dial(front);
    sound.say(lb_state("sound"));
    sound.say(register("sound", 1..9));
    let all = |body| match body {
        Body::SendWeights { groups } => (groups[0].1.len() == 8).then_some(()),
        _ => None,
    };
    sound.until(all).unwrap();

    // Registers ten thousand, and is served all of them.
    let mut large = Balancer::dial(front);
    large.say(lb_state("large"));
    large.say(register("large", 1..10_001));
    let registered = |body| if let Body::Registered(code) = body { Some(code) } else { None };
    assert_eq!(large.until(registered), Some(ReturnCode::Successful));
    // Registers more than anyone may.
    let mut larger = Balancer::dial(front);
    larger.say(register("larger", 1..20_002));
    assert_eq!(larger.until(registered), Some(ReturnCode::TryLater));
    // Takes away another's group.
    let mut thief = Balancer::dial(front);
    let group = Group { balancer: b"sound".to_vec(), name: b"view".to_vec() };
    thief.say(Body::Deregister { from_balancer: true, reason: 0, groups: vec![(group, vec![])] });
    let code = thief.until(|body| if let Body::Deregistered(code) = body { Some(code) } else { None });
    assert_eq!(code, Some(ReturnCode::WillNotAccept));
    // Asks without end: told to try later.
    let mut asker = Balancer::dial(front);
    asker.say(register("asker", 1..9));
    let group = Group { balancer: b"asker".to_vec(), name: b"view".to_vec() };
    (0..2000).for_each(|_| asker.say(Body::GetWeights { groups: vec![group.clone()] }));
    let later = |body| matches!(body, Body::Weights { code: ReturnCode::TryLater, .. }).then_some(());
    asker.until(later).unwrap();
    // Speaks no SASP, dies inside a message, sends what only a manager may.
    let mut stranger = Balancer::dial(front);
    stranger.socket.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(stranger.until(|_| Some(())), None);
    let mut dying = Balancer::dial(front);
    dying.socket.write_all(&Message { id: 1, body: register("dying", 1..9) }.encode()[..40]).unwrap();
    drop(dying);
    let mut liar = Balancer::dial(front);
    liar.say(Body::SendWeights { groups: vec![] });
    assert_eq!(liar.until(|_| Some(())), None);
    // Never reads its pushes: `large` from here on. A drain still reaches the sound one.
    let rows = vec![listed(3, RegistryState::Draining)];
    writeln!(
        list,
        "{}",
        serde_json::to_string(&shalereel_standins::Command::UpdateEntries { entries: rows }).unwrap()
    )
    .unwrap();
    let drained = |body| match body {
        Body::SendWeights { groups } => {
            let entry = groups[0].1.iter().find(|entry| entry.member == member(3))?;
            (entry.weight == 0 && entry.quiesce).then_some(())
        }
        _ => None,
    };
    sound.until(drained).unwrap();
    let _ = std::fs::remove_dir_all(folder);
}
