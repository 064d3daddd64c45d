//! The rate limit of the log, the counters of faults, and the status report.

use std::fmt::Debug;

use shalereel::interface::{Nanos, Readiness};

use super::{Command, Role, Supervisor};
use crate::limits::LogRate;
use crate::protocol::RejectReason;

/// A kind of fault that is counted. The status report lists them in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// A client was sent an error and disconnected.
    Rejected(RejectReason),
    /// A line from a joined client is not a JSON object.
    MalformedLine,
    /// A message from a joined client was dropped because it is not valid in the protocol.
    InvalidMessage,
    /// A client that has joined sent another join message.
    AlreadyJoined,
    /// An acknowledgement was dropped because it matches no pending ack request, names another proxy, or has
    /// an implausible time.
    UnexpectedAcknowledgement,
    /// A report was dropped because it contains an unknown name or a figure out of range.
    InvalidReport,
    /// A proxy was disconnected because it was silent for too long while ack requests were pending.
    UnresponsiveProxy,
    /// A list of changes has a lower version than the known list.
    OutdatedList,
    /// An entry of an endpoint list was ignored because it is invalid.
    InvalidListEntry,
    /// The controller failed and is restarted.
    ControllerFailure,
}

impl Fault {
    /// The name of the fault in the status report.
    fn label(self) -> &'static str {
        match self {
            Fault::Rejected(reason) => reason.label(),
            Fault::MalformedLine => "malformed line",
            Fault::InvalidMessage => "invalid message",
            Fault::AlreadyJoined => "already joined",
            Fault::UnexpectedAcknowledgement => "unexpected acknowledgement",
            Fault::InvalidReport => "invalid report",
            Fault::UnresponsiveProxy => "unresponsive proxy",
            Fault::OutdatedList => "outdated list",
            Fault::InvalidListEntry => "invalid list entry",
            Fault::ControllerFailure => "controller failure",
        }
    }
}

/// Limits the number of log lines in each window of time.
#[derive(Debug)]
pub(super) struct LogLimiter {
    window_started_at: Nanos,
    /// Lines that were written in this window.
    written: u32,
    /// Lines that were suppressed in this window.
    suppressed: u32,
}

/// Whether a log line is written.
enum LogDecision {
    Write {
        /// Number of lines that were suppressed in the previous window, to be logged before this one.
        suppressed_before: u32,
    },
    Suppress,
}

impl LogLimiter {
    pub fn new(now: Nanos) -> Self {
        LogLimiter { window_started_at: now, written: 0, suppressed: 0 }
    }

    fn check(&mut self, now: Nanos, rate: LogRate) -> LogDecision {
        if now.saturating_sub(self.window_started_at) >= rate.window {
            let suppressed_before = self.suppressed;
            *self = LogLimiter { window_started_at: now, written: 1, suppressed: 0 };
            return LogDecision::Write { suppressed_before };
        }
        if self.written >= rate.max_lines {
            self.suppressed += 1;
            return LogDecision::Suppress;
        }
        self.written += 1;
        LogDecision::Write { suppressed_before: 0 }
    }
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// Writes a log line, unless the rate limit is exceeded.
    pub(super) fn log(&mut self, now: Nanos, line: String) {
        let LogDecision::Write { suppressed_before } = self.log_limiter.check(now, self.limits.log_rate())
        else {
            return;
        };
        if suppressed_before > 0 {
            self.commands.push(Command::Log(format!("{suppressed_before} log lines suppressed")));
        }
        self.commands.push(Command::Log(line));
    }

    pub(super) fn count_fault(&mut self, fault: Fault) {
        *self.faults.entry(fault).or_default() += 1;
    }

    /// Logs a line with the state of proxies, servers and connections, and with counts of what was sent and
    /// of faults since the start.
    pub(super) fn report_status(&mut self, now: Nanos) {
        self.last_status_report_at = now;
        let line = [
            self.proxy_status(),
            self.server_status(),
            self.connection_status(),
            self.sent_status(),
            self.fault_status(),
        ];
        self.log(now, line.join("; "));
    }

    fn proxy_status(&self) -> String {
        let (joined, assigned) = (self.tables.proxy_count(), self.tables.assigned_proxy_count());
        format!("{joined} proxies joined, {assigned} with tables")
    }

    fn server_status(&self) -> String {
        let count = |readiness| {
            self.registry.iter().filter(|(_, server)| server.endpoint.readiness == readiness).count()
        };
        let ready = count(Readiness::Ready);
        let draining = count(Readiness::Draining);
        let removed = count(Readiness::Removed);
        let version = self.registry.version();
        let watch = if self.discovery.watch.is_some() { "" } else { ", discovery watch is down" };
        format!(
            "servers: {ready} ready, {draining} draining, {removed} removed; list version {version}{watch}"
        )
    }

    fn connection_status(&self) -> String {
        let is_unidentified = |role: &Role| matches!(role, Role::Unidentified);
        let unidentified = self.connections.values().filter(|known| is_unidentified(&known.role)).count();
        format!("{} connections, {unidentified} not joined", self.connections.len())
    }

    fn sent_status(&self) -> String {
        let sent = self.tables.sent();
        format!(
            "sent since the start: {} messages, {} lines, {} bytes, {} exclusions, {} inclusions",
            sent.messages, sent.lines, self.sent_bytes, sent.exclusions, sent.inclusions
        )
    }

    fn fault_status(&self) -> String {
        let counts: Vec<String> =
            self.faults.iter().map(|(fault, count)| format!("{} {count}", fault.label())).collect();
        let counts = if counts.is_empty() { "none".to_owned() } else { counts.join(", ") };
        format!("faults since the start: {counts}")
    }
}
