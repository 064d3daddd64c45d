//! The stream to the registry, on which the endpoint list is watched or polled.

use shalereel_reactor::now;
use shalereel_rpc::{ConnId, Status};
use shalereel_xds::{types, Assignment, ClientStream, NodeInfo, Variant, ADS};

use super::{CallId, CallKind, Daemon, TimerKind};
use crate::deployment::Deployment;

/// Resource name of the endpoint list at the registry.
pub const ENDPOINT_LIST_RESOURCE: &str = "fleet";

/// State of the stream to the registry.
pub(super) struct RegistryWatch {
    pub(super) conn: Option<ConnId>,
    client: ClientStream,
    /// The stream stays open for changes; otherwise it is closed after the first list.
    watching: bool,
}

impl RegistryWatch {
    /// Creates the state of an undialled stream; the list is watched unless the deployment polls it.
    pub(super) fn new(deployment: &Deployment) -> Self {
        let config = &deployment.config;
        let node = NodeInfo {
            id: format!("supervisor-{}", config.supervisor_index),
            zone: deployment.localities[usize::from(config.locality)].clone(),
            ..NodeInfo::default()
        };
        let mut client = ClientStream::new(Variant::StateOfTheWorld, node);
        // The message is dropped: `reopen` repeats the subscription on each new stream.
        client.subscribe(types::ASSIGNMENT, [ENDPOINT_LIST_RESOURCE.to_owned()]);
        RegistryWatch { conn: None, client, watching: !config.polls_endpoints }
    }
}

impl Daemon {
    pub(super) fn dial_registry(&mut self) {
        if self.registry.conn.is_some() {
            return;
        }
        match self.hub.dial(self.deployment.registry) {
            Ok(conn) => {
                self.registry.conn = Some(conn);
                let Some(stream) = self.hub.call(conn, ADS, None) else { return };
                self.calls.insert(CallId { conn, stream }, CallKind::EndpointList);
                for message in self.registry.client.reopen() {
                    self.hub.send(conn, stream, &message);
                }
            }
            // Has no effect, since no connection is open: the error is not logged, and the dial is not retried.
            Err(error) => self.on_registry_lost(&error.to_string()),
        }
    }

    fn close_registry(&mut self) {
        if let Some(conn) = self.registry.conn.take() {
            self.hub.close(conn);
            self.remove_calls_of(conn);
        }
    }

    /// Starts or stops watching the list.
    pub(super) fn set_watching(&mut self, watching: bool) {
        self.registry.watching = watching;
        self.close_registry();
        if watching {
            self.dial_registry();
        }
    }

    /// Requests the full list on a new stream.
    pub(super) fn fetch_list(&mut self) {
        self.close_registry();
        self.dial_registry();
    }

    /// Handles the loss of the stream to the registry. A watched registry is dialled again after a report interval; a
    /// polled one when the controller requests the list.
    pub(super) fn on_registry_lost(&mut self, reason: &str) {
        if self.registry.conn.take().is_none() {
            return;
        }
        tracing::warn!(reason, "registry stream lost");
        self.core.endpoint_list_failed();
        if !self.deployment.config.polls_endpoints {
            self.hub.set_timer(self.limits.registry_redial_at(now()), TimerKind::DialRegistry);
        }
    }

    pub(super) fn on_endpoint_list(&mut self, call: CallId, message: &[u8]) {
        let update = match self.registry.client.handle(message) {
            Ok(update) => update,
            Err(status) => {
                tracing::warn!(%status, "registry message malformed");
                self.hub.cancel(call.conn, call.stream);
                return self.on_call_ended(call, "unreadable");
            }
        };
        let lists: Result<Vec<Assignment>, Status> =
            update.resources.iter().map(Assignment::decode).collect();
        let answer = match lists {
            Ok(lists) => {
                for list in lists.iter().filter(|list| list.cluster == ENDPOINT_LIST_RESOURCE) {
                    self.core.handle_endpoint_list(now(), list);
                }
                self.registry.client.ack(&update)
            }
            Err(status) => {
                tracing::warn!(%status, version = update.version, "endpoint list rejected");
                self.registry.client.nack(&update, status.message)
            }
        };
        self.hub.send(call.conn, call.stream, &answer);
        if !self.registry.watching {
            self.calls.remove(&call);
            self.hub.close(call.conn);
            self.registry.conn = None;
        }
    }
}
