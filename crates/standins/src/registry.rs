//! The registry: serves the list of servers as an endpoint assignment, to whoever subscribes.

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
use crate::{read_plan, say_ready, BOUNDS};

const FLEET: &str = "fleet";

struct Registry {
    hub: Hub<(), ()>,
    listener: Token,
    list: BTreeMap<u32, RegistryEntry>,
    left_out: Vec<u32>,
    mute: bool,
    streams: BTreeMap<(ConnId, StreamId), (ServerStream, String)>,
    version: u64,
    trace: TraceWriter,
}

pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(BOUNDS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (RegistryPlan, _) = read_plan(&mut hub)?;
    let (listener, address) = hub.listen(plan.address, ())?;
    say_ready(&Ready { addresses: vec![address] })?;
    let mut registry = Registry {
        hub,
        listener,
        list: plan.entries.into_iter().map(|row| (row.server, row)).collect(),
        left_out: Vec::new(),
        mute: false,
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
                Input::Message { conn, stream, message } => registry.heard(conn, stream, &message),
                Input::HalfClosed { conn, stream } => registry.hub.finish(conn, stream, Status::OK),
                Input::Ended { conn, stream, .. } => drop(registry.streams.remove(&(conn, stream))),
                Input::Closed { conn, .. } => registry.streams.retain(|(of, _), _| *of != conn),
                Input::Line(line) => registry.command(serde_json::from_str(&line)?),
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
    fn heard(&mut self, conn: ConnId, stream: StreamId, message: &[u8]) {
        let Some((serving, who)) = self.streams.get_mut(&(conn, stream)) else { return };
        match serving.handle(message) {
            Ok(asked) => {
                let mut wants = false;
                for asked in asked {
                    match asked {
                        ClientRequest::Node(node) => *who = node.id,
                        ClientRequest::Subscribe { type_url, .. } => wants |= type_url == types::ASSIGNMENT,
                        ClientRequest::Nack { reason: why, .. } => {
                            eprintln!("the list was turned down: {why}")
                        }
                        ClientRequest::Ack { nonce, .. } => {
                            let (at, to) = (now(), who.clone());
                            self.trace.write(&TraceEvent::EntriesAcknowledged { at, to, version: nonce });
                        }
                    }
                }
                if wants {
                    self.say((conn, stream));
                }
            }
            Err(status) => self.hub.finish(conn, stream, status),
        }
    }

    fn say(&mut self, to: (ConnId, StreamId)) {
        let time = now();
        let listed = || self.list.values().filter(|row| !self.left_out.contains(&row.server));
        let rows = listed().filter(|row| row.state != RegistryState::Gone).map(|row| AssignedEndpoint {
            address: row.address,
            zone: row.zone.clone(),
            health: if row.state == RegistryState::Draining { Health::Draining } else { Health::Ready },
            weight: row.weight,
            info: Some(ServerInfo {
                server: row.server,
                kind: row.kind,
                cell: row.cell,
                incarnation: row.incarnation,
                age: (row.started_at > 0).then(|| time.saturating_sub(row.started_at) / MILLI * MILLI),
            }),
        });
        let any = Assignment { cluster: FLEET.into(), endpoints: rows.collect(), admitted: 1.0 }.encode();
        let ready = listed().filter(|row| row.state == RegistryState::Ready);
        let ready = ready.map(|row| (row.server, row.incarnation, row.started_at)).collect();
        let draining =
            listed().filter(|row| row.state == RegistryState::Draining).map(|row| row.server).collect();
        let out =
            |row: &&RegistryEntry| row.state == RegistryState::Gone || self.left_out.contains(&row.server);
        let gone = self.list.values().filter(out).map(|row| row.server).collect();
        let version = self.version.to_string();
        let Some((serving, who)) = self.streams.get_mut(&to) else { return };
        let resource = Resource { name: FLEET.into(), version: version.clone(), any };
        let resources = vec![resource];
        let (type_url, removed, nonce) = (types::ASSIGNMENT, Vec::new(), self.version);
        let message = serving.encode_response(Response {
            type_url,
            version: &version,
            resources,
            removed,
            nonce,
            stamp: time,
        });
        let to_whom = who.clone();
        self.trace.write(&TraceEvent::EntriesSent {
            at: time,
            to: to_whom,
            version: self.version,
            ready,
            draining,
            gone,
        });
        self.hub.send(to.0, to.1, &message);
    }

    fn say_all(&mut self) {
        self.version += 1;
        let all: Vec<(ConnId, StreamId)> = self.streams.keys().copied().collect();
        if !self.mute {
            all.into_iter().for_each(|to| self.say(to));
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::UpdateEntries { entries: rows } => {
                self.list.extend(rows.into_iter().map(|row| (row.server, row)));
                self.say_all();
            }
            Command::SuppressUpdates { on } => {
                self.mute = on;
                self.say_all();
            }
            Command::OmitServers { servers } => {
                self.left_out = servers;
                self.say_all();
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
            other => eprintln!("a registry cannot {other:?}"),
        }
    }
}
