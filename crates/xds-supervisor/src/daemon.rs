//! The daemon: the sockets, registry stream, timers and files around a [`Core`]. `shalereeld` calls [`run`].

mod calls;
mod effects;
mod group;
mod health_checks;
mod persistence;
mod registry;
mod startup;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use shalereel_group::StoredLogError;
use shalereel_reactor::now;
use shalereel_rpc::{Code, ConnId, Hub, Status, StreamId};
use thiserror::Error;

use crate::client_limits::ClientLimits;
use crate::core::{Core, Peer};
use crate::deployment::Deployment;
use crate::storage::{lock_folder, StorageError};

use group::MemberStreams;
use health_checks::HealthCheck;
use persistence::Persistence;
use registry::RegistryWatch;

pub use registry::ENDPOINT_LIST_RESOURCE;

/// Error that keeps the daemon from starting or running.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The deployment's folder cannot be created.
    #[error("cannot create folder {}: {error}", folder.display())]
    Folder {
        /// Folder of the deployment.
        folder: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The daemon cannot listen on an address.
    #[error("{setting}: cannot listen on {address}: {error}")]
    Listen {
        /// Setting that names the address.
        setting: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A file of the folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The group's log is damaged or is a file of another kind.
    #[error("{}: {error}; move the file away only to add this supervisor as a new member", path.display())]
    GroupLog {
        /// Path of the log.
        path: PathBuf,
        /// Reason why the log cannot be read.
        error: StoredLogError,
    },
    /// Sockets or signals cannot be used.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Listener that a connection was accepted on.
#[derive(Clone, Copy, PartialEq)]
enum ListenerKind {
    Grpc,
    Sasp,
    Admin,
}

/// Task that a timer starts.
enum TimerKind {
    DialRegistry,
    StoreEndpointList,
    HealthCheckTimeout(ConnId),
}

/// Identifier of a call: its connection and its stream.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallId {
    conn: ConnId,
    stream: StreamId,
}

/// Purpose of a call.
#[derive(Clone, Copy)]
enum CallKind {
    /// A proxy's discovery or load stream.
    Proxy(Peer),
    /// Messages that a member of the group sends to this supervisor.
    MemberInbound,
    /// Messages from this supervisor to the member of the group with this number.
    MemberOutbound(u32),
    /// A proxy that requests key ranges.
    RangeClient(Peer),
    /// An operator's order to the group.
    GroupOrder(Peer),
    /// An operator's request about tables.
    Admin,
    /// The endpoint list from the registry.
    EndpointList,
    HealthCheck,
}

struct Daemon {
    hub: Hub<ListenerKind, TimerKind>,
    core: Core,
    deployment: Deployment,
    limits: ClientLimits,
    calls: BTreeMap<CallId, CallKind>,
    /// Call of each peer, on which messages to it are sent.
    peers: BTreeMap<Peer, CallId>,
    last_peer: Peer,
    registry: RegistryWatch,
    health_checks: BTreeMap<ConnId, HealthCheck>,
    /// Peer of each SASP connection.
    balancer_peers: BTreeMap<ConnId, Peer>,
    /// SASP connection of each peer.
    balancer_conns: BTreeMap<Peer, ConnId>,
    /// Connections that were accepted on the operators' listener.
    admin_conns: BTreeSet<ConnId>,
    member_streams: MemberStreams,
    persistence: Persistence,
    stopping: bool,
}

/// Runs the daemon until a signal stops it. `ready` is called once with the listening addresses: gRPC first, then SASP
/// and the operators' listener if the deployment file has them.
///
/// # Errors
///
/// The folder or an address cannot be used, the group's log is damaged, `ready` fails, or the sockets fail.
pub fn run(
    deployment: Deployment,
    ready: impl FnOnce(Vec<SocketAddr>) -> io::Result<()>,
) -> Result<(), DaemonError> {
    let folder = deployment.folder.clone();
    std::fs::create_dir_all(&folder)
        .map_err(|error| DaemonError::Folder { folder: folder.clone(), error })?;
    let _lock = lock_folder(&folder)?;
    let mut daemon = Daemon::start(deployment, ready)?;
    while !daemon.stopping {
        daemon.run_once()?;
    }
    daemon.shut_down();
    Ok(())
}

impl Daemon {
    /// Waits for inputs, handles them, and executes the core's commands.
    fn run_once(&mut self) -> io::Result<()> {
        for input in self.hub.wait(Some(self.core.next_deadline().max(now())))? {
            self.on_input(input);
        }
        let (hub, peers, balancers) = (&self.hub, &self.peers, &self.balancer_conns);
        let blocked = |peer: Peer| match peers.get(&peer) {
            Some(call) => hub.unsent_call_bytes(call.conn, call.stream) > 0,
            None => balancers.get(&peer).is_some_and(|&conn| hub.unsent_plain_bytes(conn) > 0),
        };
        for command in self.core.poll(now(), blocked) {
            self.execute(command);
        }
        Ok(())
    }

    fn next_peer(&mut self) -> Peer {
        self.last_peer += 1;
        self.last_peer
    }

    /// Leaves the group, and ends all streams with a status, so that proxies dial another supervisor at once.
    fn shut_down(&mut self) {
        self.store_endpoint_list();
        if let Some((group, _)) = self.core.group() {
            for command in group.leave(now()) {
                self.execute_group_command(command);
            }
        }
        for call in std::mem::take(&mut self.peers).into_values() {
            let status = Status::new(Code::Unavailable, "this supervisor stops");
            self.hub.finish(call.conn, call.stream, status);
        }
        let _ = self.hub.wait(Some(now()));
        let max_queued_lines = self.core.backlog().peak_lines;
        tracing::info!(max_queued_lines, "stopped");
    }
}
