//! What goes to the log: a limit on its rate, counts of faults, and the status report.

use std::fmt::Debug;

use shalereel::interface::{Nanos, Readiness};

use super::{Command, Role, Supervisor};
use crate::limits::LogRate;
use crate::protocol::RejectReason;

/// A fault that is counted, in the order in which the status report names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// A client was told why and disconnected.
    Rejected(RejectReason),
    /// A line of a joined client is not JSON.
    MalformedLine,
    /// A message of a joined client was dropped: it is not one of the protocol.
    InvalidMessage,
    /// A joined client has joined again.
    AlreadyJoined,
    /// An acknowledgement was dropped: nothing was requested.
    UnexpectedAcknowledgement,
    /// A report was dropped: it names something unknown, or a figure is out of range.
    InvalidReport,
    /// A proxy owed acknowledgements for too long.
    UnresponsiveProxy,
    /// A list is older than the one that is known.
    OutdatedList,
    /// An entry of a list was left out.
    InvalidListEntry,
    ControllerFailure,
}

impl Fault {
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

/// Counts log lines per window of time.
#[derive(Debug)]
pub(super) struct LogLimiter {
    window_started_at: Nanos,
    written: u32,
    suppressed: u32,
}

/// What becomes of a log line.
enum LogVerdict {
    Write {
        /// Lines that were suppressed in the window before.
        suppressed_before: u32,
    },
    Suppress,
}

impl LogLimiter {
    pub fn new(now: Nanos) -> Self {
        LogLimiter { window_started_at: now, written: 0, suppressed: 0 }
    }

    fn check(&mut self, now: Nanos, rate: LogRate) -> LogVerdict {
        if now.saturating_sub(self.window_started_at) >= rate.window {
            let suppressed_before = self.suppressed;
            *self = LogLimiter { window_started_at: now, written: 1, suppressed: 0 };
            return LogVerdict::Write { suppressed_before };
        }
        if self.written >= rate.max_lines {
            self.suppressed += 1;
            return LogVerdict::Suppress;
        }
        self.written += 1;
        LogVerdict::Write { suppressed_before: 0 }
    }
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// Writes a log line, unless there were too many in this window.
    pub(super) fn log(&mut self, now: Nanos, line: String) {
        let LogVerdict::Write { suppressed_before } = self.log_limiter.check(now, self.limits.log_rate())
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

    /// One line on the state of proxies, servers and connections, and on what was sent and rejected since the
    /// start.
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
