//! Limits and time-outs of connections, buffers, the log and restarts. Every part of the supervisor asks
//! them; they are derived from the platform's resource limits and the controller's configuration.

use shalereel::interface::{ControllerConfig, Nanos};

use crate::config::ResourceLimits;

const SECOND: Nanos = 1_000_000_000;

/// A client may be disconnected if it has not joined within a second; the margin covers its wait in the
/// kernel.
const JOIN_TIMEOUT: Nanos = SECOND;
const JOIN_TIMEOUT_MARGIN: Nanos = SECOND / 20;
/// Longest message of the protocol.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Most that a peer may leave unread.
const MAX_UNREAD_BYTES: usize = 128 << 10;
/// A client that has not joined has no longer message to send.
const MAX_UNIDENTIFIED_MESSAGE_BYTES: usize = 4 << 10;
/// Unended messages of all connections together may take this part of the memory.
const BUFFERED_MEMORY_DIVISOR: usize = 8;
/// Sockets reserved for discovery, health checks and the process: this part of all, and a minimum.
const RESERVED_SOCKETS_DIVISOR: u64 = 16;
const MIN_RESERVED_SOCKETS: u64 = 48;
/// Discovery sends an empty line every 2 s, and a change may be 6 s late: after two missed lines there is
/// time for another watch.
const WATCH_SILENCE_TIMEOUT: Nanos = 4 * SECOND + SECOND / 4;
/// Backoff between attempts to dial discovery.
const DIAL_BACKOFF_MIN: Nanos = SECOND / 20;
const DIAL_BACKOFF_MAX: Nanos = SECOND;
/// Keeps the shift of the backoff in range.
const DIAL_BACKOFF_MAX_DOUBLINGS: u32 = 16;
/// Delay until a system call is repeated that the kernel refused for lack of memory or descriptors.
const KERNEL_RETRY_DELAY: Nanos = SECOND / 20;
/// After SIGHUP the configuration file may be unreadable while it is replaced: for 4 s it is read again at this interval.
const CONFIG_REREAD_DELAY: Nanos = SECOND / 10;
const MAX_CONFIG_REREADS: u32 = 40;
/// A proxy that owes acknowledgements is taken for unresponsive after this multiple of `max_ack_delay` and
/// `channel_drain_time` together.
const PROXY_SILENCE_FACTOR: Nanos = 4;
/// Consecutive malformed lines after which a joined connection is closed.
const MAX_MALFORMED_LINES: u32 = 2;
/// Reported times longer than this multiple of what is configured are invalid.
const MAX_REPORTED_TIME_FACTOR: f64 = 64.0;
/// A removed server is forgotten after this multiple of the time in which it could still matter.
const FORGET_REMOVED_FACTOR: Nanos = 4;
/// A controller that has failed is restarted when this part of a full channel has emptied, since a new one
/// does not know what still waits there. The delay doubles with each consecutive failure.
const RESTART_DELAY_CHANNEL_PART: f64 = 0.4;
const RESTART_DELAY_MAX_DOUBLINGS: u32 = 3;
/// Log lines per second.
const MAX_LOG_LINES_PER_WINDOW: u32 = 40;
const LOG_WINDOW: Nanos = SECOND;
/// Report intervals between two status reports.
const STATUS_REPORT_INTERVALS: Nanos = 5;
/// Looks for silent connections and removed servers per report interval.
const SWEEPS_PER_REPORT_INTERVAL: Nanos = 4;

/// How many log lines may be written in a window of time.
#[derive(Clone, Copy, Debug)]
pub struct LogRate {
    /// Length of the window.
    pub window: Nanos,
    /// Lines per window.
    pub max_lines: u32,
}

/// The limits and time-outs that follow from one configuration.
#[derive(Clone, Debug)]
pub struct Limits {
    resources: ResourceLimits,
    report_interval: Nanos,
    /// Longest time from sending a mark to its acknowledgement without the channel's queue: twice the worst transit and a
    /// report interval.
    max_ack_delay: Nanos,
    /// Time in which a full channel empties.
    channel_drain_time: Nanos,
    longest_timeout: Nanos,
    drain_grace: Nanos,
}

impl Limits {
    /// Derives them.
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

    /// Until when a connection accepted at `opened_at` must have joined.
    pub fn join_deadline(&self, opened_at: Nanos) -> Nanos {
        opened_at + JOIN_TIMEOUT + JOIN_TIMEOUT_MARGIN
    }

    /// Most connections of clients at once.
    pub fn max_client_connections(&self) -> usize {
        let reserved = (self.resources.sockets / RESERVED_SOCKETS_DIVISOR).max(MIN_RESERVED_SOCKETS);
        self.resources.sockets.saturating_sub(reserved).max(1) as usize
    }

    /// Longest message of a client that has joined, in bytes.
    pub fn max_message_bytes(&self) -> usize {
        MAX_MESSAGE_BYTES.min(self.max_buffered_bytes() / 2)
    }

    /// Longest message of anyone else, in bytes; also the longest body of a health check's response.
    pub fn max_unidentified_message_bytes(&self) -> usize {
        MAX_UNIDENTIFIED_MESSAGE_BYTES
    }

    /// Most bytes of unended messages, all connections together; also the longest line of the endpoint list.
    pub fn max_buffered_bytes(&self) -> usize {
        (self.resources.memory_mb as usize).max(1) * (1 << 20) / BUFFERED_MEMORY_DIVISOR
    }

    /// Delay until a system call is repeated that the kernel refused for lack of memory or descriptors.
    pub fn kernel_retry_delay(&self) -> Nanos {
        KERNEL_RETRY_DELAY
    }

    /// Bytes that a peer may leave unread before it is reset.
    pub fn max_unread_bytes(&self) -> usize {
        MAX_UNREAD_BYTES
    }

    /// How long a proxy may owe acknowledgements before it is taken for gone; also the user timeout of TCP.
    pub fn proxy_silence_timeout(&self) -> Nanos {
        PROXY_SILENCE_FACTOR * (self.max_ack_delay + self.channel_drain_time)
    }

    /// How long discovery may be silent before its watch is closed.
    pub fn watch_silence_timeout(&self) -> Nanos {
        WATCH_SILENCE_TIMEOUT
    }

    /// When discovery is dialled again after `failures` consecutive failures; `random` is in 0..1.
    pub fn discovery_dial_at(&self, now: Nanos, failures: u32, random: f64) -> Nanos {
        let backoff = (DIAL_BACKOFF_MIN << failures.min(DIAL_BACKOFF_MAX_DOUBLINGS)).min(DIAL_BACKOFF_MAX);
        now + (backoff as f64 * (0.5 + 0.5 * random)) as Nanos
    }

    /// When a configuration file that could not be read `attempts` times is read again, if it is.
    pub fn config_reread_at(&self, now: Nanos, attempts: u32) -> Option<Nanos> {
        (attempts < MAX_CONFIG_REREADS).then_some(now + CONFIG_REREAD_DELAY)
    }

    /// Whether so many consecutive malformed lines cost a joined connection.
    pub fn exceeds_malformed_lines(&self, lines: u32) -> bool {
        lines >= MAX_MALFORMED_LINES
    }

    /// Until when a health check sent at `sent_at` may be answered.
    pub fn health_check_deadline(&self, sent_at: Nanos) -> Nanos {
        sent_at + self.report_interval
    }

    /// When silent connections and removed servers are looked for next.
    pub fn next_sweep_at(&self, now: Nanos) -> Nanos {
        now + self.report_interval / SWEEPS_PER_REPORT_INTERVAL
    }

    /// When the status is reported again.
    pub fn next_status_report_at(&self, last_report_at: Nanos) -> Nanos {
        last_report_at + STATUS_REPORT_INTERVALS * self.report_interval
    }

    /// How many log lines may be written.
    pub fn log_rate(&self) -> LogRate {
        LogRate { window: LOG_WINDOW, max_lines: MAX_LOG_LINES_PER_WINDOW }
    }

    /// Whether a report can cover so long, or an acknowledgement have taken it.
    pub fn is_valid_window(&self, ms: f64) -> bool {
        ms > 0.0 && ms * 1e6 <= MAX_REPORTED_TIME_FACTOR * (self.report_interval as f64).max(SECOND as f64)
    }

    /// Whether responses can have taken so long on average.
    pub fn is_valid_response_time(&self, ms: f64) -> bool {
        ms >= 0.0 && ms * 1e6 <= MAX_REPORTED_TIME_FACTOR * self.longest_timeout as f64
    }

    /// Servers removed before this time may be forgotten.
    pub fn forget_removed_before(&self, now: Nanos) -> Nanos {
        now.saturating_sub(FORGET_REMOVED_FACTOR * (self.longest_timeout + self.drain_grace))
    }

    /// When a controller that has failed `failures` times in a row is restarted.
    pub fn controller_restart_at(&self, now: Nanos, failures: u32) -> Nanos {
        let delay = (RESTART_DELAY_CHANNEL_PART * self.channel_drain_time as f64) as Nanos;
        now + (delay << failures.saturating_sub(1).min(RESTART_DELAY_MAX_DOUBLINGS))
    }
}
