//! The core, fed by hand: each test builds a state and looks at what is to be done.

use std::path::Path;

use rstest::rstest;
use serde_json::{json, Value};
use shalereel::interface::Action;
use shalereel_platform_supervisor::{Clocks, Core, Effect, List, Names, Start, Streams, Way};

const MS: u64 = 1_000_000;
const DISCOVERY: u32 = 1000;

fn server(at: u32, state: &str) -> Value {
    json!({"id": format!("s{at}"), "addr": "127.0.0.9:5000", "zone": "north", "kind": "big", "cell": 0,
        "state": state, "weight": 1.0, "started_ms": 0})
}

fn file(servers: u32) -> Value {
    let servers: Vec<Value> = (0..servers).map(|at| server(at, "Ready")).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "00000000000000ff",
    "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256},
    "known": {"version": 3, "full": true, "servers": servers},
    "settings": {
        "classes": [{"deadline_ms": 3000.0, "effect": "pure", "name": "look", "slo_ms": 1000.0, "worth": 1.0}],
        "family_info": {"admit": "off", "backlog": 4000.0, "cycle_ms": 1000.0, "empty_for_ms": 3000.0,
            "first_wait": 0.8, "lines_per_s": 3000.0, "overhead": 10.0, "proxies": 9, "push_delay_ms": 100.0,
            "retry_default": 0, "worst_transit_ms": 300.0},
        "fleet_size": 1, "invariants": {"cold_from": 0.3, "cold_ms": 9000.0, "drain_grace_ms": 2000.0,
            "fall_ms": 2000.0, "tip_multiple": 2.5},
        "kinds": ["big"], "load_info": {"columns": ["cpu"], "how": "inline"}, "localities": ["north"],
        "locality": 0, "me": 0, "membership_mode": "pushed", "permissions": {"probes": true},
        "resolution_ms": 5.0, "weights": "nominal"}})
}

/// A core, its time, and what it has written.
struct Played {
    core: Core<u32>,
    now: u64,
    /// Effects of the last call, without log lines.
    did: Vec<Effect<u32>>,
    log: Vec<String>,
}

impl Played {
    fn new(servers: u32) -> Self {
        let start = Start::parse(Path::new("c"), file(servers).to_string().as_bytes()).unwrap();
        let now = 10_000 * MS;
        let core = Core::new(start, Clocks { now, unix_ms: 1e12 });
        let mut played = Played { core, now, did: Vec::new(), log: Vec::new() };
        let address = "127.0.0.1:1".parse().unwrap();
        assert_eq!(played.turn(), [Effect::Dial(Way::Discovery(address))]);
        played.core.dialled(Way::Discovery(address), Ok(DISCOVERY), played.now);
        played
    }

    fn clocks(&self) -> Clocks {
        Clocks { now: self.now, unix_ms: 1e12 }
    }

    fn turn(&mut self) -> Vec<Effect<u32>> {
        self.core.turn(self.clocks());
        self.did = Vec::new();
        for effect in self.core.effects() {
            match effect {
                Effect::Log(line) => self.log.push(line),
                other => self.did.push(other),
            }
        }
        self.did.clone()
    }

    /// Lets time pass, turn by turn; all that was done.
    fn pass(&mut self, ms: u64) -> Vec<Effect<u32>> {
        let (until, mut all) = (self.now + ms * MS, Vec::new());
        while let Some(next) = self.core.next().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            all.extend(self.turn());
        }
        self.now = until;
        all.extend(self.turn());
        all
    }

    fn say(&mut self, conn: u32, text: &str) -> Vec<Effect<u32>> {
        let clocks = self.clocks();
        self.core.bytes(conn, text.as_bytes(), clocks);
        self.pass(6)
    }

    fn open(&mut self, conn: u32, text: &str) -> Vec<Effect<u32>> {
        self.core.opened(conn, self.now);
        self.say(conn, text)
    }

    fn discovery(&mut self, list: Value) -> Vec<Effect<u32>> {
        let line = format!("{list}\n");
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        self.say(DISCOVERY, &chunk)
    }

    fn refused(&self, kind: &str) -> bool {
        self.log.iter().rev().find(|line| line.contains("refused")).is_some_and(|line| line.contains(kind))
    }
}

fn hello(id: u32) -> String {
    format!("{}\n", json!({"t": "hello", "id": id, "site": "north", "rps": 1.0, "new": true}))
}

fn closed(did: &[Effect<u32>], of: u32) -> bool {
    did.iter().any(|effect| matches!(effect, Effect::Close { conn, .. } if *conn == of))
}

fn written(did: &[Effect<u32>], of: u32) -> String {
    let to = |effect: &Effect<u32>| match effect {
        Effect::Write(conn, bytes) if *conn == of => Some(String::from_utf8_lossy(bytes).into_owned()),
        _ => None,
    };
    did.iter().filter_map(to).collect()
}

#[rstest]
#[case::bytes("\u{1}\u{2}\n")]
#[case::http("GET / HTTP/1.1\r\n")]
#[case::order("{\"t\":\"push\",\"whole\":true,\"lines\":[]}\n")]
#[case::nobody("{\"t\":\"hello\",\"id\":9,\"site\":\"north\",\"rps\":1.0,\"new\":true}\n")]
#[case::nowhere("{\"t\":\"agent\",\"site\":\"south\"}\n")]
#[case::unjoined("{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":1,\"fail\":0,\"over\":1000.0}\n")]
fn a_stranger_who_cannot_join_is_told_so_and_closed(#[case] text: &str) {
    let mut played = Played::new(3);
    let did = played.open(1, text);
    assert!(written(&did, 1).starts_with("{\"t\":\"error\"") && closed(&did, 1), "{did:?}");
}

#[rstest]
#[case::silent("", 1_100)]
#[case::half("{\"t\":\"hel", 1_100)]
#[case::alive("{\"t\":\"probe\"}\n", 1_100)]
fn whoever_has_not_joined_makes_room(#[case] text: &str, #[case] within: u64) {
    let mut played = Played::new(3);
    let did = played.open(1, text);
    assert_eq!(written(&did, 1), if text.ends_with('\n') { "{\"t\":\"alive\"}\n" } else { "" });
    assert!(!closed(&did, 1) && !closed(&played.pass(900), 1), "a second is granted");
    assert!(closed(&played.pass(within - 900), 1));
}

#[test]
fn a_message_without_end_is_cut_off() {
    let mut played = Played::new(3);
    assert!(closed(&played.open(1, &"x".repeat(8 << 10)), 1));
    played.open(2, &hello(1));
    assert!(!closed(&played.say(2, &"x".repeat(64 << 10)), 2), "a joined one may have a long message");
    assert!(closed(&played.say(2, &"x".repeat(1 << 20)), 2));
}

#[rstest]
#[case::type_(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":\"nan\",\"fail\":0,\"over\":1000.0}\n",
    "spoilt message"
)]
#[case::more_failures(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":1,\"fail\":2,\"over\":1000.0}\n",
    "impossible report"
)]
#[case::span(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":1,\"fail\":0,\"over\":-3}\n",
    "impossible report"
)]
#[case::operation(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"sell\",\"count\":1,\"fail\":0,\"over\":1000.0}\n",
    "impossible report"
)]
#[case::server("{\"t\":\"outcomes\",\"site\":\"north\",\"target\":\"s-zz\",\"count\":1,\"fail\":0,\"mean\":9,\"over\":1000.0}\n", "impossible report")]
#[case::time("{\"t\":\"outcomes\",\"site\":\"north\",\"target\":\"s1\",\"count\":1,\"fail\":0,\"mean\":1e12,\"over\":1000.0}\n", "impossible report")]
#[case::mark("{\"t\":\"ack\",\"id\":1,\"seq\":65000,\"ms\":3.0}\n", "answer to no mark")]
#[case::twice("{\"t\":\"hello\",\"id\":1,\"site\":\"north\",\"rps\":1.0,\"new\":true}\n", "joined twice")]
fn a_spoilt_message_is_dropped_and_counted_and_its_stream_stays(#[case] text: &str, #[case] kind: &str) {
    let mut played = Played::new(3);
    played.open(1, &hello(1));
    let did = played.say(1, text);
    assert!(did.is_empty(), "{did:?}");
    played.pass(6_000);
    assert!(played.refused(kind), "{:?}", played.log);
    assert_eq!(written(&played.say(1, "{\"t\":\"probe\"}\n"), 1), "{\"t\":\"alive\"}\n");
}

#[test]
fn a_stream_that_goes_on_with_what_cannot_be_read_is_closed() {
    let mut played = Played::new(3);
    played.open(1, &hello(1));
    assert!(closed(&played.say(1, "\u{fd}\u{d9}\r\n"), 1));
}

#[test]
fn the_end_of_a_stream_that_was_replaced_tells_nothing() {
    let mut played = Played::new(3);
    played.open(1, &hello(4));
    played.pass(2_000);
    let did = played.open(2, &hello(4));
    assert!(closed(&did, 1) && written(&did, 2).contains("\"whole\":true"), "{did:?}");
    played.core.closed(1, "reset", played.now);
    let drain = json!({"version": 4, "full": false, "servers": [server(1, "Terminating")]});
    played.say(DISCOVERY, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let did = played.discovery(drain);
    assert!(written(&did, 2).contains("[\"s1\",0.0]"), "{did:?}");
}

#[test]
fn a_joiner_gets_the_whole_table_and_a_gone_server_leaves_it() {
    let mut played = Played::new(3);
    assert!(written(&played.open(1, &hello(1)), 1).contains("\"whole\":true"));
    played.say(DISCOVERY, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    // An entry that cannot be read leaves its server; the rest of the list counts.
    let mut spoilt = server(0, "Ready");
    spoilt["zone"] = json!("nowhere");
    let did = played.discovery(json!({"version": 5, "full": true, "servers": [spoilt, server(1, "Ready")]}));
    let text = written(&did, 1);
    assert!(text.contains("[\"s2\",0.0]") && !text.contains("\"s0\""), "{text}");
}

#[test]
fn a_silent_watch_is_given_up_in_time_and_dialled_again() {
    let mut played = Played::new(3);
    played.say(DISCOVERY, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let did = played.pass(4_000);
    assert!(!closed(&did, DISCOVERY));
    let did = played.pass(1_000);
    let dials = did.iter().filter(|effect| matches!(effect, Effect::Dial(Way::Discovery(_)))).count();
    assert!(closed(&did, DISCOVERY) && dials == 1, "{did:?}");
}

#[test]
fn discovery_moves_and_the_streams_live_on() {
    let mut played = Played::new(3);
    played.open(1, &hello(1));
    let address = "127.0.0.1:2".parse().unwrap();
    played.core.move_discovery(address, played.now);
    let did = played.pass(100);
    assert!(did.contains(&Effect::Dial(Way::Discovery(address))) && !closed(&did, 1), "{did:?}");
    played.core.dialled(Way::Discovery(address), Ok(2000), played.now);
    assert!(written(&played.pass(1), 2000).starts_with("GET /api/targets?watch=1&after=3 HTTP/1.1\r\n"));
}

#[test]
fn servers_that_are_gone_are_let_go() {
    let mut played = Played::new(11);
    played.open(1, &hello(1));
    played.say(DISCOVERY, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for version in 10..40u32 {
        // Those that drained bind also when they are gone.
        let fresh = server(version, "Ready");
        let (old, older) = (version.max(11) - 1, version.max(12) - 2);
        let servers = [fresh, server(old, "Terminating"), server(older, "Gone")];
        played.discovery(json!({"version": version, "full": false, "servers": servers}));
        // Whoever joins is told to shun what is gone, also when that was let go already.
        played.open(version, &hello(2 + version % 5));
        played.pass(1_000);
        played.say(DISCOVERY, "1\r\n\n\r\n");
    }
    for _ in 0..15 {
        played.pass(2_000);
        played.say(DISCOVERY, "1\r\n\n\r\n");
    }
    assert!(!played.log.iter().any(|line| line.contains("failed")), "{:?}", played.log);
    let last = played.log.iter().rev().find(|line| line.contains("servers:")).unwrap();
    assert!(last.contains("11 ready, 1 draining, 0 gone"), "{last}");
}

#[test]
fn a_module_that_failed_begins_anew_from_the_list_and_the_joined() {
    let mut played = Played::new(3);
    played.open(1, &hello(1));
    played.pass(2_000);
    played.core.failed("planted".into(), played.now);
    let did = played.pass(200);
    assert!(did.is_empty(), "what may still wait in the channel is given time: {did:?}");
    let told = written(&played.pass(1_000), 1);
    assert!(told.contains("\"whole\":true") && told.contains("\"s2\""), "{told}");
    assert!(played.log.iter().any(|line| line.contains("begins anew: planted")), "{:?}", played.log);
}

/// An answer tells that all up to its mark is applied: the one before it may have been lost or spoilt.
#[test]
fn an_answer_settles_the_marks_before_it() {
    let mut played = Played::new(3);
    let first = written(&played.open(1, &hello(1)), 1);
    played.say(DISCOVERY, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let drain = json!({"version": 4, "full": false, "servers": [server(1, "Terminating")]});
    let second = written(&played.discovery(drain), 1);
    let mark = |text: &str| serde_json::from_str::<Value>(text.trim()).unwrap()["ticket"].as_u64().unwrap();
    assert_ne!(mark(&first), mark(&second));
    let ack = |mark| format!("{}\n", json!({"t": "ack", "id": 1, "seq": mark, "ms": 3.0}));
    played.say(1, &ack(mark(&second)));
    // It has nothing to say for long but to answer what else comes, and owes nothing.
    for _ in 0..60 {
        let did = played.pass(1_000);
        assert!(!closed(&did, 1), "{:?}", played.log);
        for push in written(&did, 1).lines() {
            played.say(1, &ack(mark(push)));
        }
        played.say(DISCOVERY, "1\r\n\n\r\n");
    }
    played.say(1, &ack(mark(&first)));
    played.pass(6_000);
    assert!(played.refused("answer to no mark"), "{:?}", played.log);
}

/// A server that was let go and is listed again has another number; whoever was told to shut out its name still
/// does, on the stream of then.
#[test]
fn a_server_that_was_let_go_and_returns_is_let_back() {
    let orders = |orders: &[Action], streams: &mut Streams, names: &Names| {
        let told = streams.take(orders, names, &["look".to_owned()]).unwrap();
        told.into_iter().map(|(_, bytes)| String::from_utf8(bytes.to_vec()).unwrap()).collect::<String>()
    };
    let list = |version: u64, entries: Vec<Value>| {
        let list = json!({"version": version, "full": false, "servers": entries});
        serde_json::from_value::<List>(list).unwrap()
    };
    let mut names = Names::new(vec!["north".into()], vec!["big".into()]);
    let clocks = |s: u64| Clocks { now: s * 1_000 * MS, unix_ms: 1e12 };
    names.take(list(1, vec![server(0, "Ready"), server(1, "Ready")]), clocks(10), None);
    let mut streams = Streams::new(1);
    streams.join(4, true);
    let told = orders(&[Action::Exclude { server: 2, on: true }], &mut streams, &names);
    assert!(told.contains("\"out\":[\"s1\"]"), "{told}");
    names.take(list(2, vec![server(1, "Gone")]), clocks(11), None);
    for gone in names.let_go(clocks(100).now, |_| false) {
        streams.forget(gone);
    }
    let mut again = server(1, "Ready");
    again["started_ms"] = json!(5e11);
    names.take(list(3, vec![again]), clocks(101), None);
    let number = names.number("s1").unwrap();
    let table = [
        Action::SetWeight { table: 0, server: number, weight: 1.0 },
        Action::AssignTable { proxy: 4, table: 0, operations: 0 },
    ];
    let told = orders(&table, &mut streams, &names);
    assert!(told.contains("\"back\":[\"s1\"]"), "{told}");
}

/// Clocks at a second of the monotonic one, the wall clock stepped by so many.
fn stepped(second: u64, step: f64) -> Clocks {
    Clocks { now: second * 1_000 * MS, unix_ms: 1e12 + second as f64 * 1e3 + step * 1e3 }
}

/// Age in seconds that a server has at listing, which started so many seconds before.
fn age_at_listing(steps: [f64; 2], started: f64, heard: Option<u64>) -> f64 {
    let mut names = Names::new(vec!["north".into()], vec!["big".into()]);
    let list = |version, servers: Vec<Value>| -> List {
        serde_json::from_value(json!({"version": version, "full": false, "servers": servers})).unwrap()
    };
    names.take(list(1, vec![]), stepped(100, steps[0]), None);
    let (mut entry, now) = (server(1, "Ready"), stepped(200, steps[1]));
    // What the other machines' clocks told when it started.
    entry["started_ms"] = json!(stepped(200, 0.0).unix_ms - started * 1e3);
    names.take(list(2, vec![entry]), now, heard.map(|second| second * 1_000 * MS));
    let row = names.iter().next().unwrap().1.row;
    (now.module() - row.started_at) as f64 / 1e9
}

#[rstest]
#[case::no_step([0.0, 0.0], 3.0, Some(198), 3.0)]
#[case::an_hour_forward([0.0, 3_600.0], 3.0, Some(198), 3.0)]
#[case::a_second_back([0.0, -1.0], 3.0, Some(198), 2.0)]
#[case::an_hour_back([0.0, -3_600.0], 3.0, Some(198), 0.0)]
#[case::stepped_before_the_start([3_600.0, 3_600.0], 3.0, Some(198), 8.0)]
#[case::first_heard_of_at_the_start([0.0, 0.0], 300.0, None, 300.0)]
fn a_step_of_the_wall_clock_makes_no_cold_server_warm(
    #[case] steps: [f64; 2],
    #[case] started: f64,
    #[case] heard: Option<u64>,
    #[case] age: f64,
) {
    assert!((age_at_listing(steps, started, heard) - age).abs() < 1e-3);
}

#[rstest]
#[case::bytes("\u{1}\u{2}\n", "not JSON")]
#[case::push("{\"t\":\"push\",\"whole\":true,\"lines\":[]}\n", "no message of the protocol")]
#[case::proxy(
    "{\"t\":\"hello\",\"id\":9,\"site\":\"north\",\"rps\":1.0,\"new\":true}\n",
    "proxy that does not exist"
)]
#[case::collector("{\"t\":\"agent\",\"site\":\"south\"}\n", "collector of an unknown zone")]
#[case::report(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":1,\"fail\":0,\"over\":1000.0}\n",
    "report before joining"
)]
#[case::silent("", "not joined in time")]
fn the_exact_bytes_of_each_error_line(#[case] text: &str, #[case] why: &str) {
    let mut played = Played::new(3);
    let mut did = played.open(1, text);
    did.extend(played.pass(1_100));
    assert_eq!(written(&did, 1), format!("{{\"t\":\"error\",\"why\":\"{why}\"}}\n"));
}

#[test]
fn the_exact_bytes_of_the_error_line_for_a_message_without_end() {
    let mut played = Played::new(3);
    let did = played.open(1, &"x".repeat(8 << 10));
    assert_eq!(written(&did, 1), "{\"t\":\"error\",\"why\":\"message without end\"}\n");
}

#[test]
fn the_exact_bytes_of_requests_to_discovery_and_servers() {
    let mut played = Played::new(3);
    let after =
        "GET /api/targets?watch=1&after=3 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAccept: application/json\r\n\r\n";
    assert_eq!(written(&played.pass(1), DISCOVERY), after);
    let address = "127.0.0.9:5000".parse().unwrap();
    played.core.dialled(Way::Probe(1, address), Ok(50), played.now);
    let probe = "GET /-/load HTTP/1.1\r\nHost: 127.0.0.9:5000\r\nConnection: close\r\n\r\n";
    assert_eq!(written(&played.pass(1), 50), probe);
    // Versions that go back: the complete list is requested.
    played.say(DISCOVERY, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let did = played.discovery(json!({"version": 1, "full": false, "servers": []}));
    assert!(closed(&did, DISCOVERY), "{did:?}");
    let way = Way::Discovery("127.0.0.1:1".parse().unwrap());
    assert!(played.pass(1_000).contains(&Effect::Dial(way)));
    played.core.dialled(way, Ok(2000), played.now);
    let full = "GET /api/targets?watch=1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAccept: application/json\r\n\r\n";
    assert_eq!(written(&played.pass(1), 2000), full);
}
