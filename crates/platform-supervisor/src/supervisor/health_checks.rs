//! Health checks that the controller requests. Each is one HTTP request on a connection of its own, whose
//! outcome is reported to the controller as an event.

use std::fmt::Debug;
use std::net::SocketAddr;

use shalereel::interface::{Event, HealthCheckOutcome, Nanos, ServerId};

use super::connections::{CloseMode, CloseReason};
use super::{Command, Connection, DialTarget, Role, Supervisor, Timer};
use crate::http_response::HttpResponse;

/// A health check whose response is pending.
#[derive(Debug)]
pub(super) struct HealthCheck {
    server: ServerId,
    sent_at: Nanos,
    response: HttpResponse,
    body: Vec<u8>,
}

impl HealthCheck {
    /// The outcome that the status code of the response indicates.
    fn outcome(&self) -> HealthCheckOutcome {
        match self.response.status() {
            Some(200) => HealthCheckOutcome::Answered,
            Some(503) => HealthCheckOutcome::Rejected,
            _ => HealthCheckOutcome::Errored,
        }
    }
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// Connects to a server, if health checks are allowed and its address is known.
    pub(super) fn start_health_check(&mut self, server: ServerId) {
        let address = self.registry.get(server).and_then(|server| server.address);
        if let Some(address) = address.filter(|_| self.config.controller.health_checks_allowed) {
            self.commands.push(Command::Dial(DialTarget::HealthCheck(server, address)));
        }
    }

    pub(super) fn health_check_dialled(
        &mut self,
        connection: C,
        server: ServerId,
        address: SocketAddr,
        now: Nanos,
    ) {
        let check = HealthCheck { server, sent_at: now, response: HttpResponse::default(), body: Vec::new() };
        self.add_connection(connection, Role::HealthCheck(Box::new(check)), now);
        let path = if self.config.load_columns.is_empty() { "/-/healthy" } else { "/-/load" };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        self.commands.push(Command::Write(connection, request.into_bytes().into()));
        let deadline = self.limits.health_check_deadline(now);
        self.timers.set(deadline, Timer::HealthCheckDeadline(connection));
    }

    /// Reports that this process could not open a socket, which says nothing about the server.
    pub(super) fn health_check_not_dialled(&mut self, server: ServerId) {
        self.report_health_check(server, HealthCheckOutcome::Other, 0, Vec::new());
    }

    pub(super) fn health_check_received(&mut self, connection: C, bytes: &[u8], now: Nanos) {
        let max_body_bytes = self.limits.max_unidentified_message_bytes();
        let Some(Connection { role: Role::HealthCheck(check), .. }) = self.connections.get_mut(&connection)
        else {
            return;
        };
        let result = check.response.push(bytes, &mut check.body);
        if result.is_ok() && check.response.is_complete() {
            if let Some(check) = self.take_health_check(connection, CloseMode::Graceful) {
                self.health_check_answered(&check, now);
            }
        } else if result.is_err() || check.body.len() > max_body_bytes {
            self.close(connection, CloseMode::Reset, &CloseReason::HealthCheckResponse, now);
        }
    }

    /// Handles the end of the connection of a check, which may also mark the end of its response.
    pub(super) fn health_check_closed(&mut self, check: &HealthCheck, now: Nanos) {
        if check.response.is_complete_at_close() {
            return self.health_check_answered(check, now);
        }
        let outcome = match check.response.status() {
            Some(_) => HealthCheckOutcome::Broken,
            None => HealthCheckOutcome::Unreachable,
        };
        self.report_health_check(check.server, outcome, now - check.sent_at, Vec::new());
    }

    pub(super) fn health_check_timed_out(&mut self, connection: C, now: Nanos) {
        if let Some(check) = self.take_health_check(connection, CloseMode::Reset) {
            let elapsed = now - check.sent_at;
            self.report_health_check(check.server, HealthCheckOutcome::TimedOut, elapsed, Vec::new());
        }
    }

    /// Closes a connection and returns its health check, if it has one.
    fn take_health_check(&mut self, connection: C, mode: CloseMode) -> Option<Box<HealthCheck>> {
        if !matches!(self.connections.get(&connection)?.role, Role::HealthCheck(_)) {
            return None;
        }
        let Role::HealthCheck(check) = self.connections.remove(&connection)?.role else { return None };
        self.commands.push(Command::Close { connection, reset: mode == CloseMode::Reset });
        Some(check)
    }

    fn health_check_answered(&mut self, check: &HealthCheck, now: Nanos) {
        let load = self.load_values(serde_json::from_slice(&check.body).ok());
        self.report_health_check(check.server, check.outcome(), now - check.sent_at, load);
    }

    /// Reports the outcome of a health check to the controller.
    fn report_health_check(
        &mut self,
        server: ServerId,
        outcome: HealthCheckOutcome,
        elapsed: Nanos,
        load: Vec<f64>,
    ) {
        self.controller.push(Event::HealthChecked { server, outcome, elapsed, load });
    }
}
