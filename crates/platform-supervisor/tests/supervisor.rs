//! Tests of the supervisor's state machine without sockets: each test builds a state and checks the resulting
//! commands.

mod common;

use std::path::Path;

use common::{
    ack_line, config_file, delta, hello_line, list_chunk, list_entry, Cells, ConfigOptions, EMPTY_LINE_CHUNK,
    MS, WATCH_HEAD,
};
use rstest::rstest;
use serde_json::{json, Value};
use shalereel_platform_supervisor::{Clocks, Command, Config, ControllerFailure, DialTarget, Supervisor};

/// The connection of the first watch.
const WATCH: u32 = 1000;
/// Unix time of the simulated wall clock, ms. It stands still.
const UNIX_MS: f64 = 1e12;

fn entry(index: u32, state: &str) -> Value {
    list_entry(index, state, Cells(1), 0.0)
}

fn config(servers: u32) -> Config {
    let options = ConfigOptions {
        servers,
        cells: Cells(1),
        proxies: 9,
        supervisors: 1,
        memory_mb: 32,
        sockets: 256,
        lines_per_s: 3000.0,
        channel_capacity: 4000.0,
        message_overhead: 10.0,
        mean_transit_ms: 100.0,
        worst_transit_ms: 300.0,
        drain_grace_ms: 2000.0,
        message_limit: 0,
        load_info: json!({"columns": ["cpu"], "how": "inline"}),
        permissions: json!({"probes": true}),
    };
    Config::parse(Path::new("c"), config_file(&options).to_string().as_bytes()).unwrap()
}

fn discovery(port: u16) -> DialTarget {
    DialTarget::Discovery(([127, 0, 0, 1], port).into())
}

/// A supervisor with a simulated clock and the log lines that it has written.
struct Harness {
    supervisor: Supervisor<u32>,
    now: u64,
    log: Vec<String>,
}

impl Harness {
    fn new(servers: u32) -> Self {
        let now = 10_000 * MS;
        let supervisor = Supervisor::new(config(servers), Clocks { now, unix_ms: UNIX_MS });
        let mut harness = Harness { supervisor, now, log: Vec::new() };
        assert_eq!(harness.advance(), [Command::Dial(discovery(1))]);
        harness.supervisor.dialled(discovery(1), Ok(WATCH), harness.now);
        harness
    }

    /// A harness whose watch has received the head of its response.
    fn with_watch(servers: u32) -> Self {
        let mut harness = Harness::new(servers);
        harness.send(WATCH, WATCH_HEAD);
        harness
    }

    fn clocks(&self) -> Clocks {
        Clocks { now: self.now, unix_ms: UNIX_MS }
    }

    /// Advances the supervisor at the present time. Returns its commands without the log lines.
    fn advance(&mut self) -> Vec<Command<u32>> {
        self.supervisor.advance(self.clocks());
        let mut commands = Vec::new();
        for command in self.supervisor.take_commands() {
            match command {
                Command::Log(line) => self.log.push(line),
                other => commands.push(other),
            }
        }
        commands
    }

    /// Advances the clock from one wake-up to the next. Returns all commands of that time.
    fn run_for(&mut self, ms: u64) -> Vec<Command<u32>> {
        let until = self.now + ms * MS;
        let mut commands = Vec::new();
        while let Some(next) = self.supervisor.next_wakeup().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            commands.extend(self.advance());
        }
        self.now = until;
        commands.extend(self.advance());
        commands
    }

    fn send(&mut self, connection: u32, text: &str) -> Vec<Command<u32>> {
        let clocks = self.clocks();
        self.supervisor.received(connection, text.as_bytes(), clocks);
        self.run_for(6)
    }

    fn connect(&mut self, connection: u32, text: &str) -> Vec<Command<u32>> {
        self.supervisor.opened(connection, self.now);
        self.send(connection, text)
    }

    fn join(&mut self, connection: u32, proxy: u32) -> Vec<Command<u32>> {
        self.connect(connection, &hello_line(proxy, true))
    }

    fn send_list(&mut self, list: &Value) -> Vec<Command<u32>> {
        self.send(WATCH, &list_chunk(list))
    }

    /// Whether the last status report contains a fault with this label.
    fn reports_fault(&self, label: &str) -> bool {
        let report = self.log.iter().rev().find(|line| line.contains("faults since the start:"));
        report.is_some_and(|line| line.contains(label))
    }

    fn has_logged(&self, text: &str) -> bool {
        self.log.iter().any(|line| line.contains(text))
    }
}

fn closes(commands: &[Command<u32>], connection: u32) -> bool {
    let expected = connection;
    commands
        .iter()
        .any(|command| matches!(command, Command::Close { connection, .. } if *connection == expected))
}

fn written(commands: &[Command<u32>], connection: u32) -> String {
    let text = |command: &Command<u32>| match command {
        Command::Write(to, bytes) if *to == connection => Some(String::from_utf8_lossy(bytes).into_owned()),
        _ => None,
    };
    commands.iter().filter_map(text).collect()
}

#[rstest]
#[case::bytes("\u{1}\u{2}\n")]
#[case::http("GET / HTTP/1.1\r\n")]
#[case::push("{\"t\":\"push\",\"whole\":true,\"lines\":[]}\n")]
#[case::unknown_proxy("{\"t\":\"hello\",\"id\":9,\"site\":\"north\",\"rps\":1.0,\"new\":true}\n")]
#[case::unknown_locality("{\"t\":\"agent\",\"site\":\"south\"}\n")]
#[case::report("{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":1,\"fail\":0,\"over\":1000.0}\n")]
fn client_that_cannot_join_is_sent_an_error_and_closed(#[case] text: &str) {
    let mut harness = Harness::new(3);
    let commands = harness.connect(1, text);
    assert!(written(&commands, 1).starts_with("{\"t\":\"error\"") && closes(&commands, 1), "{commands:?}");
}

#[rstest]
#[case::silent("", 1_100)]
#[case::incomplete_message("{\"t\":\"hel", 1_100)]
#[case::liveness_probe("{\"t\":\"probe\"}\n", 1_100)]
fn client_that_has_not_joined_is_closed_after_the_join_timeout(#[case] text: &str, #[case] within_ms: u64) {
    let mut harness = Harness::new(3);
    let commands = harness.connect(1, text);
    assert_eq!(written(&commands, 1), if text.ends_with('\n') { "{\"t\":\"alive\"}\n" } else { "" });
    assert!(!closes(&commands, 1) && !closes(&harness.run_for(900), 1), "a client has a second to join");
    assert!(closes(&harness.run_for(within_ms - 900), 1));
}

#[test]
fn message_beyond_the_limit_closes_the_connection() {
    let mut harness = Harness::new(3);
    assert!(closes(&harness.connect(1, &"x".repeat(8 << 10)), 1));
    harness.join(2, 1);
    assert!(!closes(&harness.send(2, &"x".repeat(64 << 10)), 2), "a joined client may send a long message");
    assert!(closes(&harness.send(2, &"x".repeat(1 << 20)), 2));
}

#[rstest]
#[case::mistyped(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":\"nan\",\"fail\":0,\"over\":1000.0}\n",
    "invalid message"
)]
#[case::more_failures_than_requests(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":1,\"fail\":2,\"over\":1000.0}\n",
    "invalid report"
)]
#[case::negative_window(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"look\",\"count\":1,\"fail\":0,\"over\":-3}\n",
    "invalid report"
)]
#[case::unknown_operation(
    "{\"t\":\"demand\",\"id\":1,\"lane\":\"sell\",\"count\":1,\"fail\":0,\"over\":1000.0}\n",
    "invalid report"
)]
#[case::unknown_server("{\"t\":\"outcomes\",\"site\":\"north\",\"target\":\"s-zz\",\"count\":1,\"fail\":0,\"mean\":9,\"over\":1000.0}\n", "invalid report")]
#[case::response_time_out_of_range("{\"t\":\"outcomes\",\"site\":\"north\",\"target\":\"s1\",\"count\":1,\"fail\":0,\"mean\":1e12,\"over\":1000.0}\n", "invalid report")]
#[case::acknowledgement_without_request(
    "{\"t\":\"ack\",\"id\":1,\"seq\":65000,\"ms\":3.0}\n",
    "unexpected acknowledgement"
)]
#[case::second_join(
    "{\"t\":\"hello\",\"id\":1,\"site\":\"north\",\"rps\":1.0,\"new\":true}\n",
    "already joined"
)]
fn invalid_message_is_dropped_and_counted_and_the_connection_stays(#[case] text: &str, #[case] fault: &str) {
    let mut harness = Harness::new(3);
    harness.join(1, 1);
    let commands = harness.send(1, text);
    assert!(commands.is_empty(), "{commands:?}");
    harness.run_for(6_000);
    assert!(harness.reports_fault(fault), "{:?}", harness.log);
    assert_eq!(written(&harness.send(1, "{\"t\":\"probe\"}\n"), 1), "{\"t\":\"alive\"}\n");
}

#[test]
fn malformed_line_that_does_not_start_with_a_brace_closes_the_connection() {
    let mut harness = Harness::new(3);
    harness.join(1, 1);
    assert!(closes(&harness.send(1, "\u{fd}\u{d9}\r\n"), 1));
}

#[test]
fn end_of_a_replaced_connection_does_not_remove_the_proxy() {
    let mut harness = Harness::new(3);
    harness.join(1, 4);
    harness.run_for(2_000);
    let commands = harness.join(2, 4);
    assert!(closes(&commands, 1) && written(&commands, 2).contains("\"whole\":true"), "{commands:?}");
    harness.supervisor.closed(1, "reset", harness.now);
    harness.send(WATCH, WATCH_HEAD);
    let commands = harness.send_list(&delta(4, vec![entry(1, "Terminating")]));
    assert!(written(&commands, 2).contains("[\"s1\",0.0]"), "{commands:?}");
}

#[test]
fn joining_proxy_gets_the_full_table_and_a_removed_server_is_removed_from_it() {
    let mut harness = Harness::new(3);
    assert!(written(&harness.join(1, 1), 1).contains("\"whole\":true"));
    harness.send(WATCH, WATCH_HEAD);
    // The server of an invalid entry stays unchanged; the other entries are applied.
    let mut invalid = entry(0, "Ready");
    invalid["zone"] = json!("nowhere");
    let list = json!({"version": 5, "full": true, "servers": [invalid, entry(1, "Ready")]});
    let text = written(&harness.send_list(&list), 1);
    assert!(text.contains("[\"s2\",0.0]") && !text.contains("\"s0\""), "{text}");
}

#[test]
fn silent_watch_is_closed_after_the_timeout_and_dialled_again() {
    let mut harness = Harness::new(3);
    harness.send(WATCH, &format!("{WATCH_HEAD}{EMPTY_LINE_CHUNK}"));
    assert!(!closes(&harness.run_for(4_000), WATCH));
    let commands = harness.run_for(1_000);
    let is_dial = |command: &&Command<u32>| matches!(command, Command::Dial(DialTarget::Discovery(_)));
    let dials = commands.iter().filter(is_dial).count();
    assert!(closes(&commands, WATCH) && dials == 1, "{commands:?}");
}

#[test]
fn changed_discovery_address_reopens_the_watch_and_keeps_proxies_connected() {
    let mut harness = Harness::new(3);
    harness.join(1, 1);
    harness.supervisor.move_discovery(([127, 0, 0, 1], 2).into(), harness.now);
    let commands = harness.run_for(100);
    assert!(commands.contains(&Command::Dial(discovery(2))) && !closes(&commands, 1), "{commands:?}");
    harness.supervisor.dialled(discovery(2), Ok(2000), harness.now);
    assert!(written(&harness.run_for(1), 2000).starts_with("GET /api/targets?watch=1&after=3 HTTP/1.1\r\n"));
}

#[test]
fn removed_servers_are_forgotten() {
    let mut harness = Harness::new(11);
    harness.join(1, 1);
    harness.send(WATCH, WATCH_HEAD);
    for version in 10..40u32 {
        // Each server drains first and is then removed: it must not be used in either state.
        let draining = version.max(11) - 1;
        let removed = version.max(12) - 2;
        let entries = vec![entry(version, "Ready"), entry(draining, "Terminating"), entry(removed, "Gone")];
        harness.send_list(&delta(version.into(), entries));
        // A join makes the controller repeat its exclusions of removed servers, including forgotten ones. The
        // proxy is not sent those of forgotten servers.
        harness.join(version, 2 + version % 5);
        harness.run_for(1_000);
        harness.send(WATCH, EMPTY_LINE_CHUNK);
    }
    for _ in 0..15 {
        harness.run_for(2_000);
        harness.send(WATCH, EMPTY_LINE_CHUNK);
    }
    assert!(!harness.has_logged("failed"), "{:?}", harness.log);
    let last = harness.log.iter().rev().find(|line| line.contains("servers:")).unwrap();
    assert!(last.contains("11 ready, 1 draining, 0 removed"), "{last}");
}

#[test]
fn failed_controller_is_restarted_with_the_list_and_the_joined_proxies() {
    let mut harness = Harness::new(3);
    harness.join(1, 1);
    harness.run_for(2_000);
    harness.supervisor.controller_failed(&ControllerFailure::Panic("planted".into()), harness.now);
    let commands = harness.run_for(200);
    assert!(commands.is_empty(), "the restart is delayed while the channel drains: {commands:?}");
    let update = written(&harness.run_for(1_000), 1);
    assert!(update.contains("\"whole\":true") && update.contains("\"s2\""), "{update}");
    assert!(harness.has_logged("controller failed, restarting: panic: planted"), "{:?}", harness.log);
}

/// Guards against the disconnection of a proxy whose acknowledgement was lost although a later one was
/// received.
#[test]
fn acknowledgement_covers_earlier_ack_requests() {
    let mut harness = Harness::new(3);
    let first = written(&harness.join(1, 1), 1);
    harness.send(WATCH, WATCH_HEAD);
    let second = written(&harness.send_list(&delta(4, vec![entry(1, "Terminating")])), 1);
    let serial = |text: &str| serde_json::from_str::<Value>(text.trim()).unwrap()["ticket"].as_u64().unwrap();
    assert_ne!(serial(&first), serial(&second));
    let ack = |serial| ack_line(1, serial, 3.0);
    harness.send(1, &ack(serial(&second)));
    // From here on the proxy acknowledges each update and sends nothing else, so no ack request stays
    // pending.
    for _ in 0..60 {
        let commands = harness.run_for(1_000);
        assert!(!closes(&commands, 1), "{:?}", harness.log);
        for update in written(&commands, 1).lines() {
            harness.send(1, &ack(serial(update)));
        }
        harness.send(WATCH, EMPTY_LINE_CHUNK);
    }
    harness.send(1, &ack(serial(&first)));
    harness.run_for(6_000);
    assert!(harness.reports_fault("unexpected acknowledgement"), "{:?}", harness.log);
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
fn each_error_line_has_its_exact_bytes(#[case] text: &str, #[case] why: &str) {
    let mut harness = Harness::new(3);
    let mut commands = harness.connect(1, text);
    commands.extend(harness.run_for(1_100));
    assert_eq!(written(&commands, 1), format!("{{\"t\":\"error\",\"why\":\"{why}\"}}\n"));
}

#[test]
fn error_line_for_a_message_beyond_the_limit_has_its_exact_bytes() {
    let mut harness = Harness::new(3);
    let commands = harness.connect(1, &"x".repeat(8 << 10));
    assert_eq!(written(&commands, 1), "{\"t\":\"error\",\"why\":\"message without end\"}\n");
}

#[test]
fn requests_to_discovery_and_servers_have_their_exact_bytes() {
    let mut harness = Harness::new(3);
    let after =
        "GET /api/targets?watch=1&after=3 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAccept: application/json\r\n\r\n";
    assert_eq!(written(&harness.run_for(1), WATCH), after);
    let address = "127.0.0.9:5000".parse().unwrap();
    harness.supervisor.dialled(DialTarget::HealthCheck(1, address), Ok(50), harness.now);
    let check = "GET /-/load HTTP/1.1\r\nHost: 127.0.0.9:5000\r\nConnection: close\r\n\r\n";
    assert_eq!(written(&harness.run_for(1), 50), check);
    // A list with a lower version than the known one makes the supervisor request the full list.
    harness.send(WATCH, WATCH_HEAD);
    let commands = harness.send_list(&delta(1, vec![]));
    assert!(closes(&commands, WATCH), "{commands:?}");
    assert!(harness.run_for(1_000).contains(&Command::Dial(discovery(1))));
    harness.supervisor.dialled(discovery(1), Ok(2000), harness.now);
    let full = "GET /api/targets?watch=1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAccept: application/json\r\n\r\n";
    assert_eq!(written(&harness.run_for(1), 2000), full);
}

#[rstest]
#[case::content_length("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"cpu\": 0.5}", false)]
#[case::until_close("HTTP/1.1 503 Busy\r\n\r\n", true)]
fn health_check_completes_with_its_response(#[case] response: &str, #[case] peer_closes: bool) {
    let mut harness = Harness::with_watch(3);
    let address = "127.0.0.9:5000".parse().unwrap();
    harness.supervisor.dialled(DialTarget::HealthCheck(1, address), Ok(50), harness.now);
    let commands = harness.send(50, response);
    assert_eq!(closes(&commands, 50), !peer_closes, "{commands:?}");
    if peer_closes {
        harness.supervisor.closed(50, "closed by the peer", harness.now);
    }
    assert!(!closes(&harness.run_for(2_000), 50), "a completed health check does not time out");
}

#[test]
fn health_check_without_response_is_reset_at_its_deadline() {
    let mut harness = Harness::with_watch(3);
    let address = "127.0.0.9:5000".parse().unwrap();
    harness.supervisor.dialled(DialTarget::HealthCheck(1, address), Ok(50), harness.now);
    assert!(!closes(&harness.run_for(990), 50));
    assert!(harness.run_for(20).contains(&Command::Close { connection: 50, reset: true }));
}
