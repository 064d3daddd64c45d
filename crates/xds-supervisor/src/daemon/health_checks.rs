//! Health checks of servers by `grpc.health.v1`, each one call on a separate connection.

use std::net::SocketAddr;

use prost::Message;
use shalereel::interface::{HealthCheckOutcome, Nanos, ServerId};
use shalereel_reactor::now;
use shalereel_rpc::{ConnId, Status};
use shalereel_xds::HEALTH;

use super::{CallId, CallKind, Daemon, TimerKind};

/// `HealthCheckResponse.ServingStatus.SERVING`.
const SERVING: i32 = 1;

/// `grpc.health.v1.HealthCheckResponse`.
#[derive(Clone, PartialEq, Message)]
pub(super) struct HealthCheckResponse {
    #[prost(int32, tag = "1")]
    status: i32,
}

impl HealthCheckResponse {
    pub(super) fn serving() -> Self {
        HealthCheckResponse { status: SERVING }
    }
}

/// A health check that waits for its response.
pub(super) struct HealthCheck {
    server: ServerId,
    sent_at: Nanos,
}

impl Daemon {
    pub(super) fn start_health_check(&mut self, server: ServerId, address: SocketAddr) {
        let Some(call) = self.call_health_check(address) else {
            return self.core.health_checked(server, HealthCheckOutcome::Unreachable, 0);
        };
        self.calls.insert(call, CallKind::HealthCheck);
        self.health_checks.insert(call.conn, HealthCheck { server, sent_at: now() });
        self.hub
            .set_timer(self.limits.health_check_deadline(now()), TimerKind::HealthCheckTimeout(call.conn));
    }

    fn call_health_check(&mut self, address: SocketAddr) -> Option<CallId> {
        let conn = self.hub.dial(address).ok()?;
        let stream = self.hub.call(conn, HEALTH, None)?;
        self.hub.send(conn, stream, &[]);
        self.hub.finish(conn, stream, Status::OK);
        Some(CallId { conn, stream })
    }

    pub(super) fn on_health_check_response(&mut self, conn: ConnId, message: &[u8]) {
        let serving = HealthCheckResponse::decode(message).is_ok_and(|response| response.status == SERVING);
        let outcome = if serving { HealthCheckOutcome::Answered } else { HealthCheckOutcome::Rejected };
        self.finish_health_check(conn, outcome);
    }

    /// Reports the outcome of a connection's health check to the core, if the connection has an unfinished one.
    pub(super) fn finish_health_check(&mut self, conn: ConnId, outcome: HealthCheckOutcome) {
        if let Some(check) = self.health_checks.remove(&conn) {
            self.remove_calls_of(conn);
            self.hub.close(conn);
            self.core.health_checked(check.server, outcome, now() - check.sent_at);
        }
    }
}
