//! The daemon: sockets, the registry's stream, timers and files around a [`Core`]. `shalereeld` calls [`run`].

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

use group::GroupLinks;
use health_checks::HealthCheck;
use persistence::Persistence;
use registry::RegistryWatch;

pub use registry::ENDPOINT_LIST_RESOURCE;

/// Why the daemon cannot start or go on.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The deployment's folder cannot be created.
    #[error("folder {} cannot be made: {error}", folder.display())]
    Folder {
        /// Which folder.
        folder: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// An address cannot be listened on.
    #[error("{setting} {address}: {error}")]
    Listen {
        /// Setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// A file cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The group's log is damaged or of another kind.
    #[error("{}: {error}; move the file away only to add this supervisor as a new member", path.display())]
    GroupLog {
        /// Which file.
        path: PathBuf,
        /// What is wrong with it.
        error: StoredLogError,
    },
    /// Sockets or signals cannot be used.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Which listener a connection was accepted on.
#[derive(Clone, Copy, PartialEq)]
enum ListenerKind {
    Grpc,
    Sasp,
    Admin,
}

/// What a timer is for.
enum TimerKind {
    DialRegistry,
    StoreEndpointList,
    HealthCheckTimeout(ConnId),
}

/// A call of a connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallId {
    conn: ConnId,
    stream: StreamId,
}

/// What a call carries.
#[derive(Clone, Copy)]
enum CallKind {
    /// A proxy's discovery or load stream.
    Proxy(Peer),
    /// Messages from a member of the group.
    FromMember,
    /// Messages to that member of the group.
    ToMember(u32),
    /// A proxy that follows key ranges.
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
    /// Calls that messages to a peer go out on.
    peers: BTreeMap<Peer, CallId>,
    last_peer: Peer,
    registry: RegistryWatch,
    health_checks: BTreeMap<ConnId, HealthCheck>,
    /// Connections of balancers, by connection and by peer.
    balancer_peers: BTreeMap<ConnId, Peer>,
    balancer_conns: BTreeMap<Peer, ConnId>,
    /// Connections on the operators' listener.
    admin_conns: BTreeSet<ConnId>,
    group_links: GroupLinks,
    persistence: Persistence,
    stopping: bool,
}

/// Runs until a signal stops it. `ready` is called once with the addresses that are served: gRPC, then SASP and the
/// operators' listener where the file has them.
///
/// # Errors
///
/// The folder or an address cannot be used, the group's log is damaged, or `ready` fails.
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
        daemon.turn()?;
    }
    daemon.shut_down();
    Ok(())
}

impl Daemon {
    /// Takes one batch of inputs and carries out what follows from it.
    fn turn(&mut self) -> io::Result<()> {
        for input in self.hub.wait(Some(self.core.next_deadline().max(now())))? {
            self.on_input(input);
        }
        let (hub, peers, balancers) = (&self.hub, &self.peers, &self.balancer_conns);
        let blocked = |peer: Peer| match peers.get(&peer) {
            Some(call) => hub.unsent_call_bytes(call.conn, call.stream) > 0,
            None => balancers.get(&peer).is_some_and(|&conn| hub.unsent_plain_bytes(conn) > 0),
        };
        for command in self.core.poll(now(), blocked) {
            self.carry_out(command);
        }
        Ok(())
    }

    fn next_peer(&mut self) -> Peer {
        self.last_peer += 1;
        self.last_peer
    }

    /// Ends all streams with a status, so that proxies dial another supervisor at once.
    fn shut_down(&mut self) {
        self.store_endpoint_list();
        if let Some((group, _)) = self.core.group() {
            for command in group.leave(now()) {
                self.carry_out_for_group(command);
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
