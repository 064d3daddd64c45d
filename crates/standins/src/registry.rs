//! Stand-in for the registry: serves all servers as one endpoint assignment to every subscriber.

use std::collections::BTreeMap;

use anyhow::Result;
use shalereel_reactor::{now, Token, MILLI};
use shalereel_rpc::{ConnId, Hub, Input, Status, StreamId};
use shalereel_xds::{
    types, AssignedEndpoint, Assignment, ClientRequest, Health, Resource, Response, ServerInfo, ServerStream,
    Variant, DELTA_ADS,
};

use crate::plan::{Command, Ready, RegistryEntry, RegistryPlan, RegistryState};
use crate::trace::{TraceEvent, TraceWriter};
use crate::{read_plan, write_ready, CONNECTION_LIMITS};

/// Cluster name of the assignment with all servers.
const CLUSTER: &str = "fleet";

/// State of the registry.
struct Registry {
    hub: Hub<(), ()>,
    listener: Token,
    entries: BTreeMap<u32, RegistryEntry>,
    /// Servers that are wrongly left out of what is sent.
    omitted: Vec<u32>,
    /// Whether updates are held back.
    suppressed: bool,
    /// Discovery streams, each with the node id of its client.
    streams: BTreeMap<(ConnId, StreamId), (ServerStream, String)>,
    /// Version of the entries; it grows with each change.
    version: u64,
    trace: TraceWriter,
}

/// Runs the role `registry`.
pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(CONNECTION_LIMITS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (RegistryPlan, _) = read_plan(&mut hub)?;
    let (listener, address) = hub.listen(plan.address, ())?;
    write_ready(&Ready { addresses: vec![address] })?;
    let mut registry = Registry {
        hub,
        listener,
        entries: plan.entries.into_iter().map(|entry| (entry.server, entry)).collect(),
        omitted: Vec::new(),
        suppressed: false,
        streams: BTreeMap::new(),
        version: 1,
        trace: TraceWriter::new(&plan.trace_path)?,
    };
    let mut inputs = rest;
    loop {
        for input in inputs {
            match input {
                Input::Call { conn, stream, path, .. } => {
                    let variant =
                        if path == DELTA_ADS { Variant::Incremental } else { Variant::StateOfTheWorld };
                    registry
                        .streams
                        .insert((conn, stream), (ServerStream::new(variant, "registry"), String::new()));
                }
                Input::Message { conn, stream, message } => registry.handle_message(conn, stream, &message),
                Input::HalfClosed { conn, stream } => registry.hub.finish(conn, stream, Status::OK),
                Input::Ended { conn, stream, .. } => drop(registry.streams.remove(&(conn, stream))),
                Input::Closed { conn, .. } => registry.streams.retain(|(of, _), _| *of != conn),
                Input::Line(line) => registry.handle_command(serde_json::from_str(&line)?),
                Input::EndOfLines | Input::Stop => return registry.trace.finish(),
                Input::Opened { .. }
                | Input::Bytes { .. }
                | Input::Timer(())
                | Input::Woken
                | Input::Reload => {}
            }
        }
        inputs = registry.hub.wait(None)?;
    }
}

impl Registry {
    /// Handles a message of a client, and answers a subscription.
    fn handle_message(&mut self, conn: ConnId, stream: StreamId, message: &[u8]) {
        let Some((server_stream, node_id)) = self.streams.get_mut(&(conn, stream)) else { return };
        match server_stream.handle(message) {
            Ok(requests) => {
                let mut subscribed = false;
                for request in requests {
                    match request {
                        ClientRequest::Node(node) => *node_id = node.id,
                        ClientRequest::Subscribe { type_url, .. } => {
                            subscribed |= type_url == types::ASSIGNMENT
                        }
                        ClientRequest::Nack { reason, .. } => {
                            eprintln!("a client rejected the entries: {reason}")
                        }
                        ClientRequest::Ack { nonce, .. } => {
                            // The nonce of a response is the version of its entries.
                            let (at, to) = (now(), node_id.clone());
                            self.trace.write(&TraceEvent::EntriesAcknowledged { at, to, version: nonce });
                        }
                    }
                }
                if subscribed {
                    self.send_entries((conn, stream));
                }
            }
            Err(status) => self.hub.finish(conn, stream, status),
        }
    }

    /// Sends all entries on a stream.
    fn send_entries(&mut self, call: (ConnId, StreamId)) {
        let time = now();
        let sent = || self.entries.values().filter(|entry| !self.omitted.contains(&entry.server));
        let endpoints =
            sent().filter(|entry| entry.state != RegistryState::Gone).map(|entry| AssignedEndpoint {
                address: entry.address,
                zone: entry.zone.clone(),
                health: if entry.state == RegistryState::Draining { Health::Draining } else { Health::Ready },
                weight: entry.weight,
                info: Some(ServerInfo {
                    server: entry.server,
                    kind: entry.kind,
                    cell: entry.cell,
                    incarnation: entry.incarnation,
                    age: (entry.started_at > 0)
                        .then(|| time.saturating_sub(entry.started_at) / MILLI * MILLI),
                }),
            });
        let any =
            Assignment { cluster: CLUSTER.into(), endpoints: endpoints.collect(), admitted: 1.0 }.encode();
        let ready = sent().filter(|entry| entry.state == RegistryState::Ready);
        let ready = ready.map(|entry| (entry.server, entry.incarnation, entry.started_at)).collect();
        let draining =
            sent().filter(|entry| entry.state == RegistryState::Draining).map(|entry| entry.server).collect();
        let missing = |entry: &&RegistryEntry| {
            entry.state == RegistryState::Gone || self.omitted.contains(&entry.server)
        };
        let gone = self.entries.values().filter(missing).map(|entry| entry.server).collect();
        let version = self.version.to_string();
        let Some((server_stream, node_id)) = self.streams.get_mut(&call) else { return };
        let resource = Resource { name: CLUSTER.into(), version: version.clone(), any };
        let resources = vec![resource];
        let (type_url, removed, nonce) = (types::ASSIGNMENT, Vec::new(), self.version);
        let message = server_stream.encode_response(Response {
            type_url,
            version: &version,
            resources,
            removed,
            nonce,
            stamp: time,
        });
        let node_id = node_id.clone();
        self.trace.write(&TraceEvent::EntriesSent {
            at: time,
            to: node_id,
            version: self.version,
            ready,
            draining,
            gone,
        });
        self.hub.send(call.0, call.1, &message);
    }

    /// Raises the version, and sends the entries on all streams unless updates are suppressed.
    fn publish(&mut self) {
        self.version += 1;
        let calls: Vec<(ConnId, StreamId)> = self.streams.keys().copied().collect();
        if !self.suppressed {
            calls.into_iter().for_each(|call| self.send_entries(call));
        }
    }

    /// Carries out a command.
    fn handle_command(&mut self, command: Command) {
        match command {
            Command::UpdateEntries { entries } => {
                self.entries.extend(entries.into_iter().map(|entry| (entry.server, entry)));
                self.publish();
            }
            Command::SuppressUpdates { on } => {
                self.suppressed = on;
                self.publish();
            }
            Command::OmitServers { servers } => {
                self.omitted = servers;
                self.publish();
            }
            Command::StopRegistry { on } => {
                self.hub.set_listener_paused(self.listener, on);
                if on {
                    let conns: std::collections::BTreeSet<ConnId> =
                        self.streams.keys().map(|key| key.0).collect();
                    conns.into_iter().for_each(|conn| self.hub.reset(conn));
                    self.streams.clear();
                }
            }
            other => eprintln!("the registry does not support the command {other:?}"),
        }
    }
}
