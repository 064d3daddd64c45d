//! Messages from clients: proxies and collectors join and send reports, and proxies acknowledge updates.

use std::collections::BTreeMap;
use std::fmt::Debug;

use bytes::Bytes;
use shalereel::interface::{EndpointReport, Event, Nanos, ProxyId};

use super::connections::{CloseMode, CloseReason};
use super::status::Fault;
use super::{Command, Role, Supervisor};
use crate::protocol::{
    decode_message, Acknowledgement, DecodeError, DemandReportMessage, EndpointReportMessage, Message,
    ProxyJoin, RejectReason, ALIVE_LINE,
};
use crate::proxy_tables::JoinKind;

const NANOS_PER_MS: f64 = 1e6;

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// Handles a line from a client.
    pub(super) fn line_received(&mut self, connection: C, line: &[u8], now: Nanos) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        match decode_message(line) {
            Ok(message) => {
                client.malformed_lines = 0;
                self.message_received(connection, message, now);
            }
            Err(error) if client.is_joined() => {
                // Blank lines are ignored.
                if !line.trim_ascii().is_empty() {
                    self.invalid_line_received(connection, line, &error, now);
                }
            }
            Err(DecodeError::MalformedJson) => self.reject(connection, RejectReason::MalformedJson, now),
            Err(DecodeError::InvalidMessage(_)) => {
                self.reject(connection, RejectReason::InvalidMessage, now);
            }
        }
    }

    /// Handles a line from a joined client that is not a message. If the line is a JSON object, it is dropped
    /// and the connection stays open. Malformed JSON may mean that line ends were lost, so the connection is
    /// closed if it recurs or if the line does not start with an opening brace.
    fn invalid_line_received(&mut self, connection: C, line: &[u8], error: &DecodeError, now: Nanos) {
        if matches!(error, DecodeError::InvalidMessage(_)) {
            return self.count_fault(Fault::InvalidMessage);
        }
        self.count_fault(Fault::MalformedLine);
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.malformed_lines += 1;
        if self.limits.reaches_malformed_line_limit(client.malformed_lines) || line.first() != Some(&b'{') {
            self.close(connection, CloseMode::Reset, &CloseReason::MalformedLines, now);
        }
    }

    fn message_received(&mut self, connection: C, message: Message<'_>, now: Nanos) {
        let Some(client) = self.connections.get(&connection) else { return };
        let is_unidentified = matches!(client.role, Role::Unidentified);
        match message {
            Message::LivenessProbe {} => {
                self.commands.push(Command::Write(connection, Bytes::from_static(ALIVE_LINE)));
            }
            Message::CollectorJoin { locality } if is_unidentified => {
                self.handle_collector_join(connection, &locality, now);
            }
            Message::ProxyJoin(join) if is_unidentified => self.handle_proxy_join(connection, &join, now),
            Message::CollectorJoin { .. } | Message::ProxyJoin(_) => self.count_fault(Fault::AlreadyJoined),
            _ if is_unidentified => self.reject(connection, RejectReason::ReportBeforeJoin, now),
            Message::Acknowledgement(ack) => self.acknowledged(connection, &ack, now),
            Message::EndpointReport(report) => self.endpoint_reported(report),
            Message::DemandReport(report) => self.demand_reported(&report),
        }
    }

    fn handle_collector_join(&mut self, connection: C, locality: &str, now: Nanos) {
        if self.registry.locality_id(locality).is_none() {
            return self.reject(connection, RejectReason::UnknownLocality, now);
        }
        if let Some(client) = self.connections.get_mut(&connection) {
            client.role = Role::Collector;
        }
        self.log(now, format!("collector of {locality} joined"));
    }

    fn handle_proxy_join(&mut self, connection: C, join: &ProxyJoin<'_>, now: Nanos) {
        let rate = join.requests_per_s;
        let is_valid = join.proxy < self.config.controller.proxy_count && rate >= 0.0 && rate.is_finite();
        let Some(locality) = self.registry.locality_id(&join.locality).filter(|_| is_valid) else {
            return self.reject(connection, RejectReason::UnknownProxy, now);
        };
        let kind = JoinKind::from_is_new(join.is_new);
        self.add_proxy(connection, join.proxy as ProxyId, locality, rate, kind, now);
    }

    fn acknowledged(&mut self, connection: C, ack: &Acknowledgement, now: Nanos) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let proxy = match client.role {
            Role::Proxy(proxy) if ack.proxy == u32::from(proxy) => proxy,
            _ => return self.count_fault(Fault::UnexpectedAcknowledgement),
        };
        if !self.limits.is_valid_window_or_ack_delay(ack.elapsed_ms)
            || !self.tables.acknowledge(proxy, ack.serial)
        {
            return self.count_fault(Fault::UnexpectedAcknowledgement);
        }
        client.acks_pending_since = self.tables.has_pending_acks(proxy).then_some(now);
        let elapsed = nanos(ack.elapsed_ms);
        self.controller.push(Event::Acknowledged { proxy, serial: ack.serial, elapsed });
    }

    fn endpoint_reported(&mut self, report: EndpointReportMessage<'_>) {
        match self.valid_endpoint_report(report) {
            Some(report) => self.controller.push(Event::EndpointReport(report)),
            None => self.count_fault(Fault::InvalidReport),
        }
    }

    /// Converts a report for the controller; `None` if a name in it is unknown or a figure is out of range.
    fn valid_endpoint_report(&self, report: EndpointReportMessage<'_>) -> Option<EndpointReport> {
        let EndpointReportMessage { attempts, failures, window_ms, .. } = report;
        let response_time_ms = if attempts == failures { Some(0.0) } else { report.response_time_ms };
        let response_time_ms = response_time_ms.filter(|&ms| self.limits.is_valid_response_time(ms))?;
        if failures > attempts || !self.limits.is_valid_window_or_ack_delay(window_ms) {
            return None;
        }
        Some(EndpointReport {
            server: self.registry.id(&report.server)?,
            locality: self.registry.locality_id(&report.locality)?,
            attempts,
            failures,
            response_time: nanos(response_time_ms),
            window: nanos(window_ms),
            load: self.load_values(report.load),
        })
    }

    fn demand_reported(&mut self, report: &DemandReportMessage<'_>) {
        let operations = &self.config.operations;
        let Some(operation) = operations.iter().position(|name| *name == report.operation) else {
            return self.count_fault(Fault::InvalidReport);
        };
        let proxy = ProxyId::try_from(report.proxy).ok();
        match proxy.filter(|proxy| self.proxy_connections.contains_key(proxy)) {
            Some(proxy)
                if report.failures <= report.total
                    && self.limits.is_valid_window_or_ack_delay(report.window_ms) =>
            {
                self.controller.push(Event::DemandReport {
                    proxy,
                    operation: operation as u16,
                    total: report.total,
                    failures: report.failures,
                    window: nanos(report.window_ms),
                });
            }
            // A collector also reports for proxies that are connected to other supervisors.
            None if report.proxy < self.config.controller.proxy_count => {}
            _ => self.count_fault(Fault::InvalidReport),
        }
    }

    /// Returns the values of a load report in the order of the configured columns. A missing column counts as
    /// 0.
    pub(super) fn load_values(&self, load: Option<BTreeMap<String, f64>>) -> Vec<f64> {
        let Some(load) = load else { return Vec::new() };
        let columns = self.config.load_columns.iter();
        columns.map(|name| load.get(name).copied().unwrap_or_default()).collect()
    }
}

fn nanos(ms: f64) -> Nanos {
    (ms * NANOS_PER_MS) as Nanos
}
