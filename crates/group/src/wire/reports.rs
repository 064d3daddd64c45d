//! Messages that carry merged load reports.

use prost::Message;

use super::ids::Epoch;

/// Load reports of one cycle, with one row per server and locality. The columns have equal length.
#[derive(Clone, PartialEq, Message)]
pub struct ReportTotals {
    /// Server numbers.
    #[prost(uint32, repeated, tag = "1")]
    pub servers: Vec<u32>,
    /// Positions of localities.
    #[prost(uint32, repeated, tag = "2")]
    pub localities: Vec<u32>,
    /// Numbers of attempts.
    #[prost(uint32, repeated, tag = "3")]
    pub attempts: Vec<u32>,
    /// Numbers of failed attempts.
    #[prost(uint32, repeated, tag = "4")]
    pub failures: Vec<u32>,
    /// Mean response times of the successful attempts, in microseconds.
    #[prost(uint32, repeated, tag = "5")]
    pub mean_response_time_us: Vec<u32>,
    /// Lengths of the time windows in which the attempts were counted, in milliseconds.
    #[prost(uint32, repeated, tag = "6")]
    pub window_ms: Vec<u32>,
    /// Number of rows that were omitted because the size of the message is bounded.
    #[prost(uint32, tag = "7")]
    pub omitted_rows: u32,
}

/// The merged load reports of all members except the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct PeerReports {
    /// Epoch of the sender's assignment to [`Duty::MergeReports`](super::Duty::MergeReports).
    #[prost(uint64, tag = "1")]
    pub epoch: Epoch,
    /// Totals of the reports.
    #[prost(message, optional, tag = "2")]
    pub totals: Option<ReportTotals>,
    /// Number of members whose reports are included.
    #[prost(uint32, tag = "3")]
    pub reporters: u32,
}
