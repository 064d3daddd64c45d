//! Harness around a supervisor without sockets and with a simulated clock, and helpers for its clients.

use std::path::Path;

use shalereel_reactor::{Nanos, MILLI, SECOND};
use shalereel_rpc::{Code, Framer};
use shalereel_xds::*;
use shalereel_xds_supervisor::{Core, Deployment, Peer, ShellCommand};

pub const DEPLOYMENT: &str = r#"
listen = "127.0.0.1:0"
registry = "127.0.0.1:1"
folder = "/nowhere"
supervisor = 0
supervisors = 1
locality = "a"
localities = ["a", "b"]
tick_ms = 1.0

[list]
membership = "pushed"
sizes = "nominal"

[forwarders]
count = 4
admission = "ignored"
report_cycle_ms = 1000.0
first_wait = 1.0

[channel]
lines_per_s = 1000.0
backlog = 2000.0
message_overhead = 10.0
mean_transit_ms = 10.0
worst_transit_ms = 100.0
paced = true

[rules]
empty_for_ms = 2000.0
drain_grace_ms = 2000.0
cold_from = 0.25
cold_for_ms = 8000.0
tip_multiple = 2.5
tip_after_ms = 2000.0

[[operation]]
name = "view"
effect = "idempotent"
latency_objective_ms = 1000.0
integration_timeout_ms = 3000.0
billed_value = 1.0

[[operation]]
name = "order"
effect = "side_effecting"
latency_objective_ms = 1000.0
integration_timeout_ms = 3000.0
billed_value = 5.0
"#;

/// A core with a simulated clock, and the messages that it has sent.
pub struct Harness {
    pub core: Core,
    pub now: Nanos,
    pub sent: Vec<(Peer, Vec<u8>)>,
    pub sasp_written: Vec<(Peer, Vec<u8>)>,
    pub closed: Vec<(Peer, Code)>,
    /// Listed capacity of servers 1 to 5.
    pub capacities: Vec<f64>,
    /// Records of the table history.
    pub history: Vec<bytes::Bytes>,
}

impl Harness {
    pub fn new(stored_list: Option<&[u8]>) -> Self {
        Harness::with_deployment(DEPLOYMENT, stored_list)
    }

    pub fn with_deployment(file: &str, stored_list: Option<&[u8]>) -> Self {
        let deployment = Deployment::parse(Path::new("file"), file).unwrap();
        let mut harness = Harness {
            core: Core::new(deployment, SECOND, stored_list),
            now: SECOND,
            sent: vec![],
            sasp_written: vec![],
            closed: vec![],
            capacities: vec![1.0; 5],
            history: vec![],
        };
        harness.run_ms(1);
        harness
    }

    /// Polls the core once per millisecond, and collects what it sends and stores.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += MILLI;
            for command in self.core.poll(self.now, |_| false) {
                match command {
                    ShellCommand::Send { peer, message } => {
                        let mut framer = Framer::new(1 << 20);
                        framer.push(&message);
                        self.sent.push((peer, framer.take().unwrap().unwrap().to_vec()));
                    }
                    ShellCommand::WriteSasp { peer, bytes } => self.sasp_written.push((peer, bytes)),
                    ShellCommand::StoreTables(write) => {
                        if write.replaces_file {
                            self.history.clear();
                        }
                        self.history.extend(write.records);
                    }
                    ShellCommand::CloseStream { peer, status } => self.closed.push((peer, status.code)),
                    _ => {}
                }
            }
        }
    }

    /// Sends the core a list of servers 1 to 5, with the given ones draining.
    pub fn list_draining(&mut self, draining: &[u32]) {
        self.list_servers(draining, &self.capacities.clone());
    }

    /// Sends the core a list of servers 1 to 5 with new capacities, which later lists keep.
    pub fn list_capacities(&mut self, capacities: &[f64]) {
        self.capacities = capacities.to_vec();
        self.list_draining(&[]);
    }

    fn list_servers(&mut self, draining: &[u32], capacities: &[f64]) {
        let row = |server: u32| AssignedEndpoint {
            address: ([127, 1, 0, server as u8], 80).into(),
            zone: "a".into(),
            health: if draining.contains(&server) { Health::Draining } else { Health::Ready },
            weight: capacities[server as usize - 1],
            info: Some(ServerInfo { server, kind: 0, cell: 0, incarnation: 1, age: None }),
        };
        let list =
            Assignment { cluster: "fleet".into(), endpoints: (1..6).map(row).collect(), admitted: 1.0 };
        self.core.handle_endpoint_list(self.now, &list);
    }

    /// Opens a discovery stream of a client that has not sent a message yet.
    pub fn open_client(&mut self, peer: Peer, id: &str, variant: Variant) -> ClientStream {
        self.core.stream_opened(peer, variant);
        ClientStream::new(variant, NodeInfo { id: id.into(), zone: "a".into(), ..NodeInfo::default() })
    }

    /// Joins a client that subscribes to the operation `view`.
    pub fn join_viewer(&mut self, peer: Peer, id: &str) -> ClientStream {
        let mut client = self.open_client(peer, id, Variant::StateOfTheWorld);
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
        self.core.handle_message(self.now, peer, &message);
        client
    }

    /// Takes the messages that were sent to a peer.
    pub fn take_sent(&mut self, peer: Peer) -> Vec<Vec<u8>> {
        let (to_peer, to_others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.sent).into_iter().partition(|(to, _)| *to == peer);
        self.sent = to_others;
        to_peer.into_iter().map(|(_, message)| message).collect()
    }

    /// Has a client read and acknowledge all messages that were sent to it, and returns the updates.
    pub fn read_and_acknowledge(&mut self, peer: Peer, client: &mut ClientStream) -> Vec<Update> {
        self.take_sent(peer)
            .into_iter()
            .map(|message| {
                let update = client.handle(&message).unwrap();
                let answer = client.ack(&update);
                self.core.handle_message(self.now, peer, &answer);
                update
            })
            .collect()
    }
}

/// Number of endpoints in an operation's table, and how many of them are draining.
#[derive(Debug, PartialEq, Eq)]
pub struct TableSummary {
    pub operation: String,
    pub endpoints: usize,
    pub draining: usize,
}

pub fn summary(operation: &str, endpoints: usize, draining: usize) -> TableSummary {
    TableSummary { operation: operation.to_owned(), endpoints, draining }
}

/// Summaries of the tables in an update.
pub fn summaries(update: &Update) -> Vec<TableSummary> {
    let tables = update.resources.iter().map(|any| Assignment::decode(any).unwrap());
    let draining =
        |table: &Assignment| table.endpoints.iter().filter(|row| row.health == Health::Draining).count();
    tables.map(|table| summary(&table.cluster, table.endpoints.len(), draining(&table))).collect()
}
