//! The shell: sockets, the registry's stream and the kept list round a [`Core`].

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::SystemTime;

use anyhow::{Context, Result};
use prost::Message;
use shalereel::interface::{HealthCheckOutcome, Nanos, ServerId};
use shalereel_group::wire::{CONTROL_PATH, MEMBER_STREAM_PATH, RANGES_STREAM_PATH};
use shalereel_group::{encode, StoredLog, LOG_FILE_HEAD};
use shalereel_reactor::{now, MILLI};
use shalereel_rpc::{Code, ConnId, Hub, Input, Status, StreamId};
use shalereel_snapshot::{SnapshotError, StoredSnapshot};
use shalereel_xds::{
    types, Assignment, ClientStream, NodeInfo, Variant, ADS, DELTA_ADS, DELTA_EDS, DELTA_LEDS, EDS, HEALTH,
    LRS,
};

use crate::admin::ADMIN;
use crate::core::{Core, Peer, ShellCommand};
use crate::deployment::Deployment;
use crate::group_member::{GroupCommand, GroupMember, GroupSettings};
use crate::keeper::{kept, lock, Block, Keeper, LOG, MEMORY, TABLES};
use crate::patience::Patience;

/// Resource name of the whole fleet at the registry.
pub const FLEET: &str = "fleet";
/// File of the kept list, in the deployment's folder.
const KEPT: &str = "last-list.json";

/// `grpc.health.v1.HealthCheckResponse`; 1 is serving.
#[derive(Clone, PartialEq, Message)]
struct HealthAnswer {
    #[prost(int32, tag = "1")]
    status: i32,
}

/// Which listener a connection came by.
#[derive(Clone, Copy, PartialEq)]
enum Front {
    Calls,
    Sasp,
    Admin,
}

enum Key {
    Dial,
    Keep,
    ProbeLate(ConnId),
}

enum Call {
    Peer(Peer),
    /// A member of the group speaks here.
    Member,
    /// We speak to that member.
    ToMember(u32),
    /// A forwarder that holds key ranges.
    Tenant(Peer),
    Operator(Peer),
    /// Someone asks about tables.
    Admin,
    List,
    Probe(ServerId),
}

struct Daemon {
    hub: Hub<Front, Key>,
    core: Core,
    deployment: Deployment,
    patience: Patience,
    calls: BTreeMap<(ConnId, StreamId), Call>,
    peers: BTreeMap<Peer, (ConnId, StreamId)>,
    last_peer: Peer,
    registry: Option<ConnId>,
    list: ClientStream,
    listening: bool,
    probes: BTreeMap<ConnId, (ServerId, Nanos)>,
    /// Connections of the second front, both ways.
    advised: BTreeMap<ConnId, Peer>,
    balancers: BTreeMap<Peer, ConnId>,
    to_keep: bool,
    stopping: bool,
    /// Of the group's log.
    keeper: Option<Keeper>,
    /// Of the tables' versions and of what was learned, each with whether its last write failed.
    tables: Option<Keeper>,
    memory: Option<Keeper>,
    unkept: bool,
    forgetful: bool,
    /// Number of the last write.
    kept: u64,
    /// Connections of operators.
    operators: BTreeSet<ConnId>,
    /// Streams to members of the group, and when one that was not reached is dialled again.
    members: BTreeMap<u32, (ConnId, StreamId)>,
    again: BTreeMap<u32, Nanos>,
}

/// Runs until it is told to stop. `ready` is called once with the addresses that are served: the first front's, then
/// the second's and the operators', where the file has them.
pub fn run(
    deployment: Deployment,
    ready: impl FnOnce(Vec<std::net::SocketAddr>) -> Result<()>,
) -> Result<()> {
    fs::create_dir_all(&deployment.folder)
        .with_context(|| format!("folder {} cannot be made", deployment.folder.display()))?;
    let _lock = lock(&deployment.folder)?;
    let kept = deployment.folder.join(KEPT);
    let list = match fs::read(&kept) {
        Ok(list) => Some(list),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => {
            tracing::warn!(file = %kept.display(), %error, "the kept list cannot be read; starting without");
            None
        }
    };
    let patience = Patience::new(&deployment.facts);
    let mut hub = Hub::new(patience.connection())?;
    hub.stop_on_signals()?;
    let (_, address) = hub
        .listen(deployment.listen, Front::Calls)
        .with_context(|| format!("listen {}", deployment.listen))?;
    let sasp = match deployment.sasp {
        Some(address) => {
            let (_, address) =
                hub.listen_plain(address, Front::Sasp).with_context(|| format!("sasp.listen {address}"))?;
            Some(address)
        }
        None => None,
    };
    let admin = match deployment.admin {
        Some(address) => {
            let (_, address) =
                hub.listen(address, Front::Admin).with_context(|| format!("admin.listen {address}"))?;
            Some(address)
        }
        None => None,
    };
    let facts = &deployment.facts;
    let node = NodeInfo {
        id: format!("supervisor-{}", facts.supervisor_index),
        zone: deployment.localities[usize::from(facts.locality)].clone(),
        ..NodeInfo::default()
    };
    let pushed = !facts.polls_endpoints;
    let mut daemon = Daemon {
        core: Core::new(deployment.clone(), now(), list.as_deref()),
        hub,
        patience,
        calls: BTreeMap::new(),
        peers: BTreeMap::new(),
        last_peer: 0,
        registry: None,
        list: ClientStream::new(Variant::StateOfTheWorld, node),
        listening: pushed,
        probes: BTreeMap::new(),
        advised: BTreeMap::new(),
        balancers: BTreeMap::new(),
        to_keep: false,
        stopping: false,
        keeper: None,
        tables: None,
        memory: None,
        unkept: false,
        forgetful: false,
        kept: 0,
        operators: BTreeSet::new(),
        members: BTreeMap::new(),
        again: BTreeMap::new(),
        deployment,
    };
    let nudge = daemon.hub.wake_stream()?;
    daemon.share(nudge.try_clone()?)?;
    daemon.recall(nudge.try_clone()?);
    daemon.reminisce(nudge);
    // What opens the list's stream, whenever it is dialled.
    daemon.list.subscribe(types::ASSIGNMENT, [FLEET.to_owned()]);
    tracing::info!(%address, supervisor = daemon.deployment.facts.supervisor_index, "serving");
    ready([address].into_iter().chain(sasp).chain(admin).collect())?;
    if pushed {
        daemon.dial();
    }
    while !daemon.stopping {
        daemon.turn()?;
    }
    daemon.part();
    Ok(())
}

impl Daemon {
    /// Takes part in its group, if the file names one.
    fn share(&mut self, nudge: UnixStream) -> Result<()> {
        let Some((charter, ranges)) = self.deployment.shared.clone() else { return Ok(()) };
        let folder = &self.deployment.folder;
        let log = kept(folder, LOG)?;
        let path = folder.join(LOG);
        let found = log.as_deref().map(StoredLog::read).transpose().with_context(|| {
            format!("{} (move the file away only to add this supervisor as a new member)", path.display())
        })?;
        let whole = found.as_ref().map(|found| found.complete_bytes);
        if let Some(torn) = log.zip(whole).map(|(log, whole)| log.len() - whole).filter(|torn| *torn > 0) {
            tracing::warn!(file = %path.display(), torn, "a torn tail is cut away");
        }
        self.keeper = Some(Keeper::open(folder, LOG, LOG_FILE_HEAD, whole, nudge)?);
        let settings = GroupSettings {
            operations: self.deployment.operations.clone(),
            localities: self.deployment.localities.clone(),
            range_count: ranges,
        };
        self.core.join_group(GroupMember::new(charter, now(), found, settings));
        Ok(())
    }

    /// Reads the versions that an earlier run kept. What cannot be believed is moved aside: tables are served without.
    fn recall(&mut self, nudge: UnixStream) {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos();
        let wall = Nanos::try_from(wall).unwrap_or(0).saturating_sub(now());
        let folder = self.deployment.folder.clone();
        let path = folder.join(TABLES);
        let file = kept(&folder, TABLES).unwrap_or_else(|error| {
            tracing::warn!(error = %format!("{error:#}"), "the tables' history cannot be read");
            None
        });
        let whole = match self.core.load_tables(wall, file.as_deref()) {
            Ok(whole) => file.map(|_| whole),
            Err(error) => {
                let aside = folder.join(format!("{TABLES}.refused"));
                let moved = fs::rename(&path, &aside).is_ok();
                let (file, aside) = (path.display(), aside.display());
                tracing::warn!(%file, %error, moved, %aside, "the tables' history is not believed");
                None
            }
        };
        match Keeper::open(&folder, TABLES, shalereel_store::MAGIC, whole, nudge) {
            Ok(keeper) => self.tables = Some(keeper),
            Err(error) => {
                let error = format!("{error:#}");
                tracing::warn!(error, "the tables' history is not kept");
            }
        }
    }

    /// Reads what an earlier run had learned, and keeps what this one learns.
    fn reminisce(&mut self, nudge: UnixStream) {
        if self.deployment.forgets {
            return;
        }
        let folder = self.deployment.folder.clone();
        let file = match kept(&folder, MEMORY) {
            Ok(file) => file,
            Err(error) => {
                let error = format!("{error:#}");
                return tracing::warn!(error, "what was learned cannot be read, and is not kept");
            }
        };
        let mut whole = None;
        match file.as_deref().map(StoredSnapshot::decode_file) {
            Some(Ok(memory)) => {
                whole = file.as_ref().map(Vec::len);
                match self.core.restore_snapshot(now(), memory) {
                    Ok(away) => tracing::info!(away_ms = away / MILLI, "what was learned is recalled"),
                    Err(why) => tracing::warn!(%why, "what was learned is not recalled"),
                }
            }
            Some(Err(SnapshotError::Empty)) | None => {}
            Some(Err(error)) => tracing::warn!(%error, "what was learned is not believed"),
        }
        match Keeper::open(&folder, MEMORY, shalereel_snapshot::MAGIC, whole, nudge) {
            Ok(keeper) => self.memory = Some(keeper),
            Err(error) => {
                let error = format!("{error:#}");
                tracing::warn!(error, "what is learned is not kept");
            }
        }
    }

    /// What became of writes.
    fn nudged(&mut self) {
        let done = self.keeper.as_ref().and_then(Keeper::done);
        if let Some((done, (shared, _))) = done.zip(self.core.group()) {
            shared.handle_log_write(now(), done);
        }
        match self.tables.as_ref().and_then(Keeper::done) {
            Some(Err(error)) => {
                self.core.table_write_failed();
                if !std::mem::replace(&mut self.unkept, true) {
                    tracing::warn!(
                        error,
                        "the tables' history could not be written; tried again with each version"
                    );
                }
            }
            Some(Ok(_)) if std::mem::replace(&mut self.unkept, false) => {
                tracing::info!("the tables' history is written again");
            }
            _ => {}
        }
        match self.memory.as_ref().and_then(Keeper::done) {
            Some(Err(error)) if !std::mem::replace(&mut self.forgetful, true) => {
                tracing::warn!(error, "what was learned could not be written; tried again each time");
            }
            Some(Ok(_)) if std::mem::replace(&mut self.forgetful, false) => {
                tracing::info!("what is learned is written again");
            }
            _ => {}
        }
    }

    /// One ask, one answer.
    fn asked(&mut self, conn: ConnId, stream: StreamId, message: &[u8]) {
        self.calls.remove(&(conn, stream));
        let status = match self.core.handle_admin(now(), message) {
            Ok(answer) => {
                self.hub.send(conn, stream, &answer);
                Status::OK
            }
            Err(status) => status,
        };
        self.hub.finish(conn, stream, status);
    }

    fn turn(&mut self) -> Result<()> {
        for input in self.hub.wait(Some(self.core.next_deadline().max(now())))? {
            self.take(input);
        }
        let (hub, peers, balancers) = (&self.hub, &self.peers, &self.balancers);
        let blocked = |peer: Peer| match peers.get(&peer) {
            Some(&(conn, stream)) => hub.unsent_call_bytes(conn, stream) > 0,
            None => balancers.get(&peer).is_some_and(|&conn| hub.unsent_plain_bytes(conn) > 0),
        };
        for effect in self.core.poll(now(), blocked) {
            self.carry_out(effect);
        }
        Ok(())
    }

    fn take(&mut self, input: Input<Front, Key>) {
        match input {
            Input::Call { conn, stream, path, .. } => self.called(conn, stream, &path),
            Input::Message { conn, stream, message } => match self.calls.get(&(conn, stream)) {
                Some(Call::Peer(peer)) => self.core.handle_message(now(), *peer, &message),
                Some(Call::List) => self.listed(conn, stream, &message),
                Some(Call::Member | Call::Tenant(_) | Call::Operator(_)) => {
                    self.group_said(conn, stream, &message);
                }
                Some(Call::Admin) => self.asked(conn, stream, &message),
                Some(Call::ToMember(_)) => {}
                Some(&Call::Probe(server)) => {
                    let serving = HealthAnswer::decode(message).is_ok_and(|answer| answer.status == 1);
                    let ending =
                        if serving { HealthCheckOutcome::Answered } else { HealthCheckOutcome::Rejected };
                    self.probe_over(conn, server, ending);
                }
                None => {}
            },
            // A client that says no more has left: discovery and load streams live by both directions.
            Input::HalfClosed { conn, stream }
                if matches!(
                    self.calls.get(&(conn, stream)),
                    Some(Call::Operator(_) | Call::Admin) | None
                ) => {}
            Input::HalfClosed { conn, stream } => {
                self.over(conn, stream, "half closed");
                self.hub.finish(conn, stream, Status::OK);
            }
            Input::Ended { conn, stream, status } => self.over(conn, stream, &status.to_string()),
            Input::Closed { conn, reason } => self.closed(conn, &reason.to_string()),
            Input::Timer(Key::Dial) => self.dial(),
            Input::Timer(Key::Keep) => self.keep(),
            Input::Timer(Key::ProbeLate(conn)) => {
                if let Some(&(server, _)) = self.probes.get(&conn) {
                    self.probe_over(conn, server, HealthCheckOutcome::TimedOut);
                }
            }
            Input::Woken => self.nudged(),
            // Not asked for: its file is read once.
            Input::Reload => {}
            Input::Stop => self.stopping = true,
            Input::Opened { conn, at: Front::Sasp } => {
                self.last_peer += 1;
                self.core.sasp_opened(self.last_peer);
                self.advised.insert(conn, self.last_peer);
                self.balancers.insert(self.last_peer, conn);
            }
            Input::Bytes { conn, bytes } => {
                if let Some(&peer) = self.advised.get(&conn) {
                    self.core.handle_sasp(now(), peer, &bytes);
                }
            }
            Input::Opened { conn, at: Front::Admin } => drop(self.operators.insert(conn)),
            Input::Opened { .. } | Input::Line(_) | Input::EndOfLines => {}
        }
    }

    fn called(&mut self, conn: ConnId, stream: StreamId, path: &str) {
        self.last_peer += 1;
        let peer = self.last_peer;
        match path {
            ADMIN if self.operators.contains(&conn) => drop(self.calls.insert((conn, stream), Call::Admin)),
            other if self.operators.contains(&conn) => {
                let status = Status::new(Code::Unimplemented, format!("{other} is not served to operators"));
                return self.hub.finish(conn, stream, status);
            }
            ADS | EDS => self.core.stream_opened(peer, Variant::StateOfTheWorld),
            DELTA_ADS | DELTA_EDS | DELTA_LEDS => self.core.stream_opened(peer, Variant::Incremental),
            LRS => self.core.load_stream_opened(peer),
            MEMBER_STREAM_PATH | RANGES_STREAM_PATH | CONTROL_PATH if self.core.group().is_none() => {
                let text = "this supervisor shares nothing: its file has no [shared]";
                return self.hub.finish(conn, stream, Status::new(Code::Unimplemented, text));
            }
            MEMBER_STREAM_PATH => drop(self.calls.insert((conn, stream), Call::Member)),
            RANGES_STREAM_PATH => {
                if let Some((shared, _)) = self.core.group() {
                    shared.range_stream_opened(peer);
                }
                self.calls.insert((conn, stream), Call::Tenant(peer));
            }
            CONTROL_PATH => drop(self.calls.insert((conn, stream), Call::Operator(peer))),
            HEALTH => {
                self.hub.send(conn, stream, &HealthAnswer { status: 1 }.encode_to_vec());
                return self.hub.finish(conn, stream, Status::OK);
            }
            other => {
                let status = Status::new(Code::Unimplemented, format!("{other} is not served here"));
                return self.hub.finish(conn, stream, status);
            }
        }
        self.calls.entry((conn, stream)).or_insert(Call::Peer(peer));
        self.peers.insert(peer, (conn, stream));
    }

    fn over(&mut self, conn: ConnId, stream: StreamId, why: &str) {
        match self.calls.remove(&(conn, stream)) {
            Some(Call::Peer(peer)) => {
                tracing::debug!(peer, why, "a stream is over");
                self.peers.remove(&peer);
                self.core.stream_closed(peer);
            }
            Some(Call::List) => {
                self.hub.close(conn);
                self.registry_lost(why);
            }
            Some(Call::Probe(server)) => self.probe_over(conn, server, HealthCheckOutcome::Errored),
            Some(Call::ToMember(member)) => self.member_lost(member),
            Some(Call::Tenant(peer) | Call::Operator(peer)) => {
                self.peers.remove(&peer);
                if let Some((shared, _)) = self.core.group() {
                    shared.stream_closed(peer);
                }
            }
            Some(Call::Member | Call::Admin) | None => {}
        }
    }

    fn closed(&mut self, conn: ConnId, why: &str) {
        self.operators.remove(&conn);
        if let Some(peer) = self.advised.remove(&conn) {
            tracing::debug!(peer, why, "a balancer's connection is over");
            self.balancers.remove(&peer);
            return self.core.stream_closed(peer);
        }
        let streams: Vec<StreamId> =
            self.calls.range((conn, 0)..=(conn, StreamId::MAX)).map(|((_, stream), _)| *stream).collect();
        streams.into_iter().for_each(|stream| self.over(conn, stream, why));
        if self.registry == Some(conn) {
            self.registry_lost(why);
        }
        if let Some(&(server, _)) = self.probes.get(&conn) {
            self.probe_over(conn, server, HealthCheckOutcome::Unreachable);
        }
    }

    fn group_said(&mut self, conn: ConnId, stream: StreamId, message: &[u8]) {
        let Some((shared, roster)) = self.core.group() else { return };
        let result = match self.calls.get(&(conn, stream)) {
            Some(Call::Member) => shared.handle_member_message(now(), message),
            Some(&Call::Tenant(peer)) => shared.handle_ranges_request(now(), peer, message, roster),
            Some(&Call::Operator(peer)) => shared.handle_control(now(), peer, message),
            _ => Ok(()),
        };
        if let Err(status) = result {
            self.over(conn, stream, &status.to_string());
            self.hub.finish(conn, stream, status);
        }
    }

    /// Says something to a member. What cannot leave now is lost, as on any network: all of it is said again.
    fn tell(&mut self, to: u32, address: &str, message: &[u8]) {
        if !self.members.contains_key(&to) && self.again.get(&to).is_none_or(|again| now() >= *again) {
            self.again.insert(to, self.patience.member_again(now()));
            let conn = address.parse().ok().and_then(|address| self.hub.dial(address).ok());
            if let Some((conn, stream)) =
                conn.and_then(|conn| Some((conn, self.hub.call(conn, MEMBER_STREAM_PATH, None)?)))
            {
                self.calls.insert((conn, stream), Call::ToMember(to));
                self.members.insert(to, (conn, stream));
            }
        }
        if let Some(&(conn, stream)) = self.members.get(&to) {
            // One that stands still is not told all that it missed.
            if self.hub.unsent_call_bytes(conn, stream) < self.patience.connection().max_message_bytes {
                self.hub.send(conn, stream, message);
            }
        }
    }

    fn member_lost(&mut self, member: u32) {
        if let Some((conn, stream)) = self.members.remove(&member) {
            self.calls.remove(&(conn, stream));
            self.hub.close(conn);
        }
    }

    fn wanted(&mut self, wanted: GroupCommand) {
        match wanted {
            GroupCommand::SendToMember { to, address, message } => self.tell(to, &address, &message),
            GroupCommand::StoreLog(writing) => {
                if let Some(keeper) = &self.keeper {
                    let parts = vec![encode(&writing.records).into()];
                    keeper.keep(Block { number: writing.sequence, whole: writing.replaces_file, parts });
                }
            }
            GroupCommand::AnswerOperator { peer, result } => {
                let Some((conn, stream)) = self.peers.remove(&peer) else { return };
                self.calls.remove(&(conn, stream));
                let status = match result {
                    Ok(message) => {
                        self.hub.send(conn, stream, &message);
                        Status::OK
                    }
                    Err(status) => status,
                };
                self.hub.finish(conn, stream, status);
            }
            GroupCommand::SendRanges { peer, message } => {
                if let Some(&(conn, stream)) = self.peers.get(&peer) {
                    self.hub.send(conn, stream, &message);
                }
            }
            GroupCommand::Log(line) => tracing::info!(group = line),
        }
    }

    fn carry_out(&mut self, effect: ShellCommand) {
        match effect {
            ShellCommand::Group(wanted) => self.wanted(wanted),
            ShellCommand::StoreSnapshot(body) => {
                self.kept += 1;
                if let Some(keeper) = &self.memory {
                    keeper.keep(Block { number: self.kept, whole: true, parts: vec![body.into()] });
                }
            }
            ShellCommand::StoreTables(writing) => {
                self.kept += 1;
                if let Some(keeper) = &self.tables {
                    keeper.keep(Block {
                        number: self.kept,
                        whole: writing.replaces_file,
                        parts: writing.records,
                    });
                }
            }
            ShellCommand::Send { peer, message } => {
                if let Some(&(conn, stream)) = self.peers.get(&peer) {
                    self.hub.send_framed(conn, stream, message);
                }
            }
            ShellCommand::WriteSasp { peer, bytes } => {
                if let Some(&conn) = self.balancers.get(&peer) {
                    self.hub.write(conn, &bytes);
                }
            }
            ShellCommand::CloseStream { peer, status } => {
                tracing::warn!(peer, %status, "a stream is ended");
                if let Some(conn) = self.balancers.remove(&peer) {
                    self.advised.remove(&conn);
                    self.hub.close(conn);
                }
                if let Some((conn, stream)) = self.peers.remove(&peer) {
                    self.calls.remove(&(conn, stream));
                    // One that reads nothing would never see a status.
                    if self.hub.unsent_call_bytes(conn, stream) > 0 {
                        self.hub.cancel(conn, stream);
                    } else {
                        self.hub.finish(conn, stream, status);
                    }
                }
            }
            ShellCommand::WatchEndpoints(on) => {
                self.listening = on;
                if let Some(conn) = self.registry.take() {
                    self.hub.close(conn);
                    self.calls.retain(|(of, _), _| *of != conn);
                }
                if on {
                    self.dial();
                }
            }
            ShellCommand::FetchEndpoints => {
                if let Some(conn) = self.registry.take() {
                    self.hub.close(conn);
                    self.calls.retain(|(of, _), _| *of != conn);
                }
                self.dial();
            }
            ShellCommand::CheckHealth { server, address } => self.probe(server, address),
            ShellCommand::LogDecision(line) => tracing::info!(remark = line),
            ShellCommand::Warn(warning) => warning.log(),
            ShellCommand::StoreEndpointList => {
                // Off the publishing path: what follows from the list leaves first.
                if !std::mem::replace(&mut self.to_keep, true) {
                    self.hub.set_timer(self.patience.keep_by(now()), Key::Keep);
                }
            }
        }
    }

    fn dial(&mut self) {
        if self.registry.is_some() {
            return;
        }
        match self.hub.dial(self.deployment.registry) {
            Ok(conn) => {
                self.registry = Some(conn);
                let Some(stream) = self.hub.call(conn, ADS, None) else { return };
                self.calls.insert((conn, stream), Call::List);
                for message in self.list.reopen() {
                    self.hub.send(conn, stream, &message);
                }
            }
            Err(error) => self.registry_lost(&error.to_string()),
        }
    }

    /// Where the list is pushed it is dialled again a report cycle later; where it is asked for, the module
    /// says when.
    fn registry_lost(&mut self, why: &str) {
        if self.registry.take().is_none() {
            return;
        }
        tracing::warn!(why, "the registry's stream is lost");
        self.core.endpoint_list_failed();
        if !self.deployment.facts.polls_endpoints {
            self.hub.set_timer(self.patience.list_again(now()), Key::Dial);
        }
    }

    fn listed(&mut self, conn: ConnId, stream: StreamId, message: &[u8]) {
        let update = match self.list.handle(message) {
            Ok(update) => update,
            Err(status) => {
                tracing::warn!(%status, "the registry's message cannot be read");
                self.hub.cancel(conn, stream);
                return self.over(conn, stream, "unreadable");
            }
        };
        let lists: Result<Vec<Assignment>, Status> =
            update.resources.iter().map(Assignment::decode).collect();
        let answer = match lists {
            Ok(lists) => {
                for list in lists.iter().filter(|list| list.cluster == FLEET) {
                    self.core.handle_endpoint_list(now(), list);
                }
                self.list.ack(&update)
            }
            Err(status) => {
                tracing::warn!(%status, version = update.version, "the list is turned down");
                self.list.nack(&update, status.message)
            }
        };
        self.hub.send(conn, stream, &answer);
        if !self.listening {
            // Asked for once.
            self.calls.remove(&(conn, stream));
            self.hub.close(conn);
            self.registry = None;
        }
    }

    fn probe(&mut self, server: ServerId, address: std::net::SocketAddr) {
        let called = self.hub.dial(address).ok().and_then(|conn| {
            let stream = self.hub.call(conn, HEALTH, None)?;
            self.hub.send(conn, stream, &[]);
            self.hub.finish(conn, stream, Status::OK);
            Some((conn, stream))
        });
        let Some((conn, stream)) = called else {
            return self.core.health_checked(server, HealthCheckOutcome::Unreachable, 0);
        };
        self.calls.insert((conn, stream), Call::Probe(server));
        self.probes.insert(conn, (server, now()));
        self.hub.set_timer(self.patience.probed_by(now()), Key::ProbeLate(conn));
    }

    fn probe_over(&mut self, conn: ConnId, server: ServerId, ending: HealthCheckOutcome) {
        if let Some((_, begun)) = self.probes.remove(&conn) {
            self.calls.retain(|(of, _), _| *of != conn);
            self.hub.close(conn);
            self.core.health_checked(server, ending, now() - begun);
        }
    }

    fn keep(&mut self) {
        if !std::mem::take(&mut self.to_keep) {
            return;
        }
        if let Err(error) = keep(&self.deployment.folder, &self.core.endpoint_list_json()) {
            tracing::warn!(%error, "the list could not be kept");
        }
    }

    /// Ends all streams with a status, so that proxies dial another supervisor at once.
    fn part(&mut self) {
        self.keep();
        if let Some((shared, _)) = self.core.group() {
            for wanted in shared.leave(now()) {
                self.wanted(wanted);
            }
        }
        for (conn, stream) in std::mem::take(&mut self.peers).into_values() {
            self.hub.finish(conn, stream, Status::new(Code::Unavailable, "this supervisor stops"));
        }
        let _ = self.hub.wait(Some(now()));
        let most = self.core.backlog().peak_lines;
        tracing::info!(most_lines_waiting = most, "stopped");
    }
}

/// Written whole beside the old one, then renamed.
fn keep(folder: &Path, list: &[u8]) -> std::io::Result<()> {
    let fresh = folder.join(format!("{KEPT}.new"));
    let mut file = fs::File::create(&fresh)?;
    file.write_all(list)?;
    fs::rename(fresh, folder.join(KEPT))
}
