//! Inputs of the sockets: connections, calls and messages are dispatched to the parts of the daemon that handle them.

use prost::Message;
use shalereel::interface::HealthCheckOutcome;
use shalereel_group::wire::{CONTROL_PATH, MEMBER_STREAM_PATH, RANGES_STREAM_PATH};
use shalereel_reactor::now;
use shalereel_rpc::{Code, ConnId, Input, Status, StreamId};
use shalereel_xds::{Variant, ADS, DELTA_ADS, DELTA_EDS, DELTA_LEDS, EDS, HEALTH, LRS};

use super::health_checks::HealthCheckResponse;
use super::{CallId, CallKind, Daemon, ListenerKind, TimerKind};
use crate::admin::ADMIN_PATH;
use crate::core::Peer;

impl Daemon {
    pub(super) fn on_input(&mut self, input: Input<ListenerKind, TimerKind>) {
        match input {
            Input::Opened { conn, listener: ListenerKind::Sasp } => self.on_balancer_connected(conn),
            Input::Opened { conn, listener: ListenerKind::Admin } => drop(self.admin_conns.insert(conn)),
            Input::Call { conn, stream, path, .. } => self.on_call(CallId { conn, stream }, &path),
            Input::Message { conn, stream, message } => self.on_message(CallId { conn, stream }, &message),
            Input::Bytes { conn, bytes } => {
                if let Some(&peer) = self.balancer_peers.get(&conn) {
                    let incomplete = self.core.handle_sasp(now(), peer, &bytes);
                    self.hub.set_incomplete(conn, incomplete.bytes, incomplete.since);
                }
            }
            Input::HalfClosed { conn, stream } => self.on_half_closed(CallId { conn, stream }),
            Input::Ended { conn, stream, status } => {
                self.on_call_ended(CallId { conn, stream }, &status.to_string());
            }
            Input::Closed { conn, reason } => self.on_connection_closed(conn, &reason.to_string()),
            Input::Timer(timer) => self.on_timer(timer),
            Input::Woken => self.on_writes_done(),
            Input::Stop => self.stopping = true,
            // SIGHUP is not subscribed to: the deployment file is read once.
            Input::Opened { .. } | Input::Reload | Input::Line(_) | Input::EndOfLines => {}
        }
    }

    fn on_timer(&mut self, timer: TimerKind) {
        match timer {
            TimerKind::DialRegistry => self.dial_registry(),
            TimerKind::StoreEndpointList => self.store_endpoint_list(),
            TimerKind::HealthCheckTimeout(conn) => {
                self.finish_health_check(conn, HealthCheckOutcome::TimedOut);
            }
        }
    }

    fn on_balancer_connected(&mut self, conn: ConnId) {
        let peer = self.next_peer();
        self.core.sasp_opened(peer);
        self.balancer_peers.insert(conn, peer);
        self.balancer_conns.insert(peer, conn);
    }

    fn on_call(&mut self, call: CallId, path: &str) {
        let peer = self.next_peer();
        if self.admin_conns.contains(&call.conn) {
            return match path {
                ADMIN_PATH => self.accept(call, peer, CallKind::Admin),
                other => self.reject(call, format!("{other} is not served to operators")),
            };
        }
        match path {
            ADS | EDS => {
                self.core.stream_opened(peer, Variant::StateOfTheWorld);
                self.accept(call, peer, CallKind::Proxy(peer));
            }
            DELTA_ADS | DELTA_EDS | DELTA_LEDS => {
                self.core.stream_opened(peer, Variant::Incremental);
                self.accept(call, peer, CallKind::Proxy(peer));
            }
            LRS => {
                self.core.load_stream_opened(peer);
                self.accept(call, peer, CallKind::Proxy(peer));
            }
            MEMBER_STREAM_PATH | RANGES_STREAM_PATH | CONTROL_PATH => self.on_group_call(call, peer, path),
            HEALTH => {
                let serving = HealthCheckResponse::serving().encode_to_vec();
                self.hub.send(call.conn, call.stream, &serving);
                self.hub.finish(call.conn, call.stream, Status::OK);
            }
            other => self.reject(call, format!("{other} is not served here")),
        }
    }

    pub(super) fn accept(&mut self, call: CallId, peer: Peer, kind: CallKind) {
        self.calls.insert(call, kind);
        self.peers.insert(peer, call);
    }

    pub(super) fn reject(&mut self, call: CallId, text: impl Into<String>) {
        let status = Status::new(Code::Unimplemented, text.into());
        self.hub.finish(call.conn, call.stream, status);
    }

    fn on_message(&mut self, call: CallId, message: &[u8]) {
        let Some(&kind) = self.calls.get(&call) else { return };
        match kind {
            CallKind::Proxy(peer) => self.core.handle_message(now(), peer, message),
            CallKind::EndpointList => self.on_endpoint_list(call, message),
            CallKind::MemberInbound | CallKind::RangeClient(_) | CallKind::GroupOrder(_) => {
                self.on_group_message(call, kind, message);
            }
            CallKind::Admin => self.on_admin_request(call, message),
            CallKind::MemberOutbound(_) => {}
            CallKind::HealthCheck => self.on_health_check_response(call.conn, message),
        }
    }

    /// Answers the single message of an operator's call.
    fn on_admin_request(&mut self, call: CallId, message: &[u8]) {
        self.calls.remove(&call);
        let status = match self.core.handle_admin(now(), message) {
            Ok(answer) => {
                self.hub.send(call.conn, call.stream, &answer);
                Status::OK
            }
            Err(status) => status,
        };
        self.hub.finish(call.conn, call.stream, status);
    }

    /// Handles a call that the peer has half-closed. Operators' calls still wait for their answer; all other calls end,
    /// since discovery and load streams need both directions.
    fn on_half_closed(&mut self, call: CallId) {
        match self.calls.get(&call) {
            Some(CallKind::GroupOrder(_) | CallKind::Admin) | None => {}
            Some(_) => {
                self.on_call_ended(call, "half closed");
                self.hub.finish(call.conn, call.stream, Status::OK);
            }
        }
    }

    pub(super) fn on_call_ended(&mut self, call: CallId, reason: &str) {
        match self.calls.remove(&call) {
            Some(CallKind::Proxy(peer)) => {
                tracing::debug!(peer, reason, "stream ended");
                self.peers.remove(&peer);
                self.core.stream_closed(peer);
            }
            Some(CallKind::EndpointList) => {
                self.hub.close(call.conn);
                self.on_registry_lost(reason);
            }
            Some(CallKind::HealthCheck) => {
                self.finish_health_check(call.conn, HealthCheckOutcome::Errored);
            }
            Some(CallKind::MemberOutbound(member)) => self.on_member_lost(member),
            Some(CallKind::RangeClient(peer) | CallKind::GroupOrder(peer)) => {
                self.peers.remove(&peer);
                if let Some((group, _)) = self.core.group() {
                    group.stream_closed(peer);
                }
            }
            Some(CallKind::MemberInbound | CallKind::Admin) | None => {}
        }
    }

    fn on_connection_closed(&mut self, conn: ConnId, reason: &str) {
        self.admin_conns.remove(&conn);
        if let Some(peer) = self.balancer_peers.remove(&conn) {
            tracing::debug!(peer, reason, "balancer connection closed");
            self.balancer_conns.remove(&peer);
            return self.core.stream_closed(peer);
        }
        for call in self.calls_of(conn) {
            self.on_call_ended(call, reason);
        }
        if self.registry.conn == Some(conn) {
            self.on_registry_lost(reason);
        }
        self.finish_health_check(conn, HealthCheckOutcome::Unreachable);
    }

    fn calls_of(&self, conn: ConnId) -> Vec<CallId> {
        let first = CallId { conn, stream: 0 };
        let last = CallId { conn, stream: StreamId::MAX };
        self.calls.range(first..=last).map(|(&call, _)| call).collect()
    }

    /// Removes all calls of a connection that this side has closed.
    pub(super) fn remove_calls_of(&mut self, conn: ConnId) {
        self.calls.retain(|call, _| call.conn != conn);
    }
}
