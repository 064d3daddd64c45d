//! Start of the daemon: opens listeners, loads stored files and dials the registry. Called by [`super::run`].

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use shalereel_reactor::now;
use shalereel_rpc::Hub;

use super::group::MemberStreams;
use super::persistence::{read_endpoint_list, Persistence};
use super::registry::RegistryWatch;
use super::{Daemon, DaemonError, ListenerKind, TimerKind};
use crate::client_limits::ClientLimits;
use crate::core::Core;
use crate::deployment::Deployment;

impl Daemon {
    /// Opens the listeners, loads the files that an earlier run stored, reports the addresses to `ready`, and dials a
    /// watched registry.
    pub(super) fn start(
        deployment: Deployment,
        ready: impl FnOnce(Vec<SocketAddr>) -> io::Result<()>,
    ) -> Result<Self, DaemonError> {
        let stored_list = read_endpoint_list(&deployment.folder);
        let limits = ClientLimits::new(&deployment.config);
        let mut hub = Hub::new(limits.connection(deployment.max_held_bytes))?;
        hub.stop_on_signals()?;
        let addresses = listen(&mut hub, &deployment)?;
        let watches_registry = !deployment.config.polls_endpoints;
        let mut daemon = Daemon {
            core: Core::new(deployment.clone(), now(), stored_list.as_deref()),
            hub,
            limits,
            calls: BTreeMap::new(),
            peers: BTreeMap::new(),
            last_peer: 0,
            registry: RegistryWatch::new(&deployment),
            health_checks: BTreeMap::new(),
            balancer_peers: BTreeMap::new(),
            balancer_conns: BTreeMap::new(),
            admin_conns: BTreeSet::new(),
            member_streams: MemberStreams::default(),
            persistence: Persistence::default(),
            stopping: false,
            deployment,
        };
        let wake = daemon.hub.wake_stream()?;
        daemon.join_group(wake.try_clone()?)?;
        // Also sets the wall clock's offset, which the snapshot's age is computed from.
        daemon.load_table_history(wake.try_clone()?);
        daemon.load_snapshot(wake);
        let supervisor = daemon.deployment.config.supervisor_index;
        tracing::info!(address = %addresses[0], supervisor, "serving");
        ready(addresses)?;
        if watches_registry {
            daemon.dial_registry();
        }
        Ok(daemon)
    }
}

/// Opens the listeners of the deployment file, and returns their addresses with that of gRPC first.
fn listen(
    hub: &mut Hub<ListenerKind, TimerKind>,
    deployment: &Deployment,
) -> Result<Vec<SocketAddr>, DaemonError> {
    let failed = |setting, address| move |error| DaemonError::Listen { setting, address, error };
    let address = deployment.listen;
    let mut addresses = vec![hub.listen(address, ListenerKind::Grpc).map_err(failed("listen", address))?.1];
    if let Some(address) = deployment.sasp_listen {
        let listening = hub.listen_plain(address, ListenerKind::Sasp);
        addresses.push(listening.map_err(failed("sasp.listen", address))?.1);
    }
    if let Some(address) = deployment.admin_listen {
        let listening = hub.listen(address, ListenerKind::Admin);
        addresses.push(listening.map_err(failed("admin.listen", address))?.1);
    }
    Ok(addresses)
}
