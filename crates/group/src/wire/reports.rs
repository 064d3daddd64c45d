//! Messages that carry merged load reports.

use prost::Message;

use super::ids::Epoch;

/// Reports of one cycle: one row per server and locality, in columns of equal length.
#[derive(Clone, PartialEq, Message)]
pub struct ReportTotals {
    /// Server numbers.
    #[prost(uint32, repeated, tag = "1")]
    pub servers: Vec<u32>,
    /// Positions of localities.
    #[prost(uint32, repeated, tag = "2")]
    pub localities: Vec<u32>,
    /// Attempts.
    #[prost(uint32, repeated, tag = "3")]
    pub attempts: Vec<u32>,
    /// Attempts that failed.
    #[prost(uint32, repeated, tag = "4")]
    pub failures: Vec<u32>,
    /// Microseconds, the mean of the attempts that succeeded.
    #[prost(uint32, repeated, tag = "5")]
    pub mean_response_time_us: Vec<u32>,
    /// Milliseconds that the row was counted over.
    #[prost(uint32, repeated, tag = "6")]
    pub window_ms: Vec<u32>,
    /// Rows omitted, since the message is bounded.
    #[prost(uint32, tag = "7")]
    pub omitted_rows: u32,
}

/// The merged reports of all members but the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct PeerReports {
    /// Epoch by which the sender holds the duty to merge.
    #[prost(uint64, tag = "1")]
    pub epoch: Epoch,
    /// The reports.
    #[prost(message, optional, tag = "2")]
    pub totals: Option<ReportTotals>,
    /// Number of members that reported.
    #[prost(uint32, tag = "3")]
    pub reporters: u32,
}
