//! Limits and timeouts of connections, buffers, the log and restarts. They are derived from the platform's
//! resource limits and the controller's configuration, and used by every part of the supervisor.

use shalereel::interface::{ControllerConfig, Nanos};

use crate::config::ResourceLimits;

const SECOND: Nanos = 1_000_000_000;

/// Time within which a client must join. The protocol allows the supervisor to disconnect it afterwards.
const JOIN_TIMEOUT: Nanos = SECOND;
/// Added to the join timeout, since received data may wait in the kernel before it is read.
const JOIN_TIMEOUT_MARGIN: Nanos = SECOND / 20;
/// Maximum length of a message in the protocol.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum bytes that are queued for a peer that does not read them.
const MAX_UNREAD_BYTES: usize = 128 << 10;
/// Maximum length of a message from a client that has not joined; no message that such a client may send is
/// longer.
const MAX_UNIDENTIFIED_MESSAGE_BYTES: usize = 4 << 10;
/// Incomplete messages of all connections together may take the memory limit divided by this.
const BUFFERED_MEMORY_DIVISOR: usize = 8;
/// Part of the buffered bytes from which a client's share of them is large.
const LARGE_SHARE_DIVISOR: usize = 8;
/// Bytes that peers have not read, of all connections together, may take the memory limit divided by this.
const UNSENT_MEMORY_DIVISOR: usize = 8;
/// Received bytes that are handled at once may take the memory limit divided by this.
const RECEIVED_MEMORY_DIVISOR: usize = 64;
/// Sockets reserved for discovery, health checks and the process: the socket limit divided by this, but no
/// fewer than the minimum.
const RESERVED_SOCKETS_DIVISOR: u64 = 16;
const MIN_RESERVED_SOCKETS: u64 = 48;
/// Time without data after which the discovery watch is closed. Discovery sends an empty line every 2 s, and
/// may notify of a change up to 6 s late: after two missed lines there is still time to open another watch.
const WATCH_SILENCE_TIMEOUT: Nanos = 4 * SECOND + SECOND / 4;
/// Exponential backoff between attempts to dial discovery.
const DIAL_BACKOFF_MIN: Nanos = SECOND / 20;
const DIAL_BACKOFF_MAX: Nanos = SECOND;
/// Limits the doublings so that the shift cannot overflow.
const DIAL_BACKOFF_MAX_DOUBLINGS: u32 = 16;
/// Delay before the retry of a system call that failed because the kernel lacked memory or descriptors.
const KERNEL_RETRY_DELAY: Nanos = SECOND / 20;
/// Delay between attempts to read the configuration file after SIGHUP. The file may be unreadable while it is
/// replaced, so reading is retried for 4 s.
const CONFIG_RETRY_DELAY: Nanos = SECOND / 10;
const MAX_CONFIG_RETRIES: u32 = 40;
/// A proxy with unacknowledged updates counts as unresponsive after this multiple of the sum of
/// `max_ack_delay` and `channel_drain_time`.
const PROXY_SILENCE_FACTOR: Nanos = 4;
/// Number of consecutive malformed lines at which a joined connection is closed.
const MALFORMED_LINE_LIMIT: u32 = 2;
/// A reported time is invalid if it exceeds this multiple of the report interval, or of 1 s if that is longer.
/// For response times it is a multiple of the longest timeout of an operation instead.
const MAX_REPORTED_TIME_FACTOR: f64 = 64.0;
/// A removed server is forgotten after this multiple of the time in which operations may still use it: the
/// longest timeout of an operation plus the drain grace.
const FORGET_REMOVED_FACTOR: Nanos = 4;
/// A failed controller is restarted after this fraction of the time in which a full channel drains, since the
/// new controller does not know which messages are still queued in the channel. The delay doubles with each
/// consecutive failure.
const RESTART_DELAY_DRAIN_TIME_FRACTION: f64 = 0.4;
const RESTART_DELAY_MAX_DOUBLINGS: u32 = 3;
/// Maximum number of log lines in a window of [`LOG_WINDOW`].
const MAX_LOG_LINES_PER_WINDOW: u32 = 40;
const LOG_WINDOW: Nanos = SECOND;
/// Number of report intervals between two status reports.
const STATUS_REPORT_INTERVALS: Nanos = 5;
/// Number of sweeps for silent connections and removed servers in a report interval.
const SWEEPS_PER_REPORT_INTERVAL: Nanos = 4;

/// Maximum rate of log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogRate {
    /// Length of a window, ns.
    pub window: Nanos,
    /// Maximum number of lines in a window.
    pub max_lines: u32,
}

/// The limits and timeouts derived from one configuration.
#[derive(Clone, Debug)]
pub struct Limits {
    resources: ResourceLimits,
    report_interval: Nanos,
    /// Maximum time from sending an ack request to receiving its acknowledgement, without the time spent in
    /// the channel's queue: a report interval plus twice the worst transit time.
    max_ack_delay: Nanos,
    /// Time in which a full channel drains. The channel is the platform's queue of limited rate through
    /// which all updates reach the proxies.
    channel_drain_time: Nanos,
    /// Longest timeout of the configured operations.
    longest_timeout: Nanos,
    drain_grace: Nanos,
}

impl Limits {
    /// Derives the limits from the controller's configuration and the platform's resource limits.
    pub fn new(controller: &ControllerConfig, resources: ResourceLimits) -> Self {
        let timeouts = controller.operations.iter().map(|operation| operation.timeout);
        let lines_per_s = controller.lines_per_s.max(f64::MIN_POSITIVE);
        Limits {
            resources,
            report_interval: controller.report_interval.max(1),
            max_ack_delay: 2 * controller.worst_transit + controller.report_interval,
            channel_drain_time: (controller.channel_capacity / lines_per_s * 1e9) as Nanos,
            longest_timeout: timeouts.max().unwrap_or_default().max(1),
            drain_grace: controller.drain_grace.max(SECOND),
        }
    }

    /// Deadline by which a client whose connection was accepted at `opened_at` must join.
    pub fn join_deadline(&self, opened_at: Nanos) -> Nanos {
        opened_at + JOIN_TIMEOUT + JOIN_TIMEOUT_MARGIN
    }

    /// Maximum number of concurrent client connections.
    pub fn max_client_connections(&self) -> usize {
        let reserved = (self.resources.sockets / RESERVED_SOCKETS_DIVISOR).max(MIN_RESERVED_SOCKETS);
        self.resources.sockets.saturating_sub(reserved).max(1) as usize
    }

    /// Maximum length of a message from a client that has joined, in bytes.
    pub fn max_message_bytes(&self) -> usize {
        MAX_MESSAGE_BYTES.min(self.max_buffered_bytes() / 2)
    }

    /// Maximum length of a message from a client that has not joined, in bytes; also of the body of a
    /// response to a health check.
    pub fn max_unidentified_message_bytes(&self) -> usize {
        MAX_UNIDENTIFIED_MESSAGE_BYTES
    }

    fn memory_bytes(&self) -> usize {
        (self.resources.memory_mb as usize).max(1) * (1 << 20)
    }

    /// Maximum bytes that peers have not read, of all connections together.
    pub fn max_unread_bytes_of_all(&self) -> usize {
        self.memory_bytes() / UNSENT_MEMORY_DIVISOR
    }

    /// Number of received bytes that are handled before more is read.
    pub fn max_bytes_per_wait(&self) -> usize {
        self.memory_bytes() / RECEIVED_MEMORY_DIVISOR
    }

    /// Maximum bytes of incomplete messages that are buffered for all connections together; also the maximum
    /// length of a line from discovery.
    pub fn max_buffered_bytes(&self) -> usize {
        self.memory_bytes() / BUFFERED_MEMORY_DIVISOR
    }

    /// Bytes of an incomplete message above which a client has a large share of what may be buffered.
    pub fn large_buffered_bytes(&self) -> usize {
        self.max_buffered_bytes() / LARGE_SHARE_DIVISOR
    }

    /// Delay before the retry of a system call that failed because the kernel lacked memory or descriptors.
    pub fn kernel_retry_delay(&self) -> Nanos {
        KERNEL_RETRY_DELAY
    }

    /// Maximum bytes that may be queued for a peer before its connection is reset.
    pub fn max_unread_bytes(&self) -> usize {
        MAX_UNREAD_BYTES
    }

    /// Time after which a silent proxy with unacknowledged updates is disconnected; also the user timeout of
    /// TCP connections.
    pub fn proxy_silence_timeout(&self) -> Nanos {
        PROXY_SILENCE_FACTOR * (self.max_ack_delay + self.channel_drain_time)
    }

    /// Time without data from discovery after which its watch is closed.
    pub fn watch_silence_timeout(&self) -> Nanos {
        WATCH_SILENCE_TIMEOUT
    }

    /// When discovery is dialled again after `failures` consecutive failures, with jitter. `random` is in
    /// 0..1.
    pub fn discovery_dial_at(&self, now: Nanos, failures: u32, random: f64) -> Nanos {
        let backoff = (DIAL_BACKOFF_MIN << failures.min(DIAL_BACKOFF_MAX_DOUBLINGS)).min(DIAL_BACKOFF_MAX);
        now + (backoff as f64 * (0.5 + 0.5 * random)) as Nanos
    }

    /// When the configuration file is read again after `attempts` failed attempts; `None` if no attempt
    /// is left.
    pub fn config_retry_at(&self, now: Nanos, attempts: u32) -> Option<Nanos> {
        (attempts < MAX_CONFIG_RETRIES).then_some(now + CONFIG_RETRY_DELAY)
    }

    /// Whether a joined connection is closed after this number of consecutive malformed lines.
    pub fn reaches_malformed_line_limit(&self, lines: u32) -> bool {
        lines >= MALFORMED_LINE_LIMIT
    }

    /// Deadline for the response to a health check that was sent at `sent_at`.
    pub fn health_check_deadline(&self, sent_at: Nanos) -> Nanos {
        sent_at + self.report_interval
    }

    /// Time of the next sweep for silent connections and removed servers.
    pub fn next_sweep_at(&self, now: Nanos) -> Nanos {
        now + self.report_interval / SWEEPS_PER_REPORT_INTERVAL
    }

    /// Time of the next status report.
    pub fn next_status_report_at(&self, last_report_at: Nanos) -> Nanos {
        last_report_at + STATUS_REPORT_INTERVALS * self.report_interval
    }

    /// Maximum rate of log lines.
    pub fn log_rate(&self) -> LogRate {
        LogRate { window: LOG_WINDOW, max_lines: MAX_LOG_LINES_PER_WINDOW }
    }

    /// Whether a time is plausible as the window of a report or as the delay of an acknowledgement.
    pub fn is_valid_window_or_ack_delay(&self, ms: f64) -> bool {
        ms > 0.0 && ms * 1e6 <= MAX_REPORTED_TIME_FACTOR * (self.report_interval as f64).max(SECOND as f64)
    }

    /// Whether a time is plausible as the mean response time of a report.
    pub fn is_valid_response_time(&self, ms: f64) -> bool {
        ms >= 0.0 && ms * 1e6 <= MAX_REPORTED_TIME_FACTOR * self.longest_timeout as f64
    }

    /// Returns the time before which a server must have been removed to be forgotten now.
    pub fn forget_removed_before(&self, now: Nanos) -> Nanos {
        now.saturating_sub(FORGET_REMOVED_FACTOR * (self.longest_timeout + self.drain_grace))
    }

    /// When a controller is restarted after `failures` consecutive failures.
    pub fn controller_restart_at(&self, now: Nanos, failures: u32) -> Nanos {
        let delay = (RESTART_DELAY_DRAIN_TIME_FRACTION * self.channel_drain_time as f64) as Nanos;
        now + (delay << failures.saturating_sub(1).min(RESTART_DELAY_MAX_DOUBLINGS))
    }
}
