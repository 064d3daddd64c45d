//! Messages of the operators' listener. Only the tags of the fields are on the wire, not their names.

use prost::{Message, Oneof};

/// One request of an operator.
#[derive(Clone, PartialEq, Message)]
pub struct AdminRequest {
    /// Query or order; `None` if a client of a later version sends an unknown one.
    #[prost(oneof = "AdminQuery", tags = "1, 2, 3, 4, 5, 6")]
    pub query: Option<AdminQuery>,
}

/// A query or order of an operator.
#[derive(Clone, PartialEq, Oneof)]
pub enum AdminQuery {
    /// List the newest versions, and all rollbacks and caps.
    #[prost(message, tag = "1")]
    List(ListVersions),
    /// Show the lines of a version.
    #[prost(message, tag = "2")]
    Show(ShowVersion),
    /// Show the differences between two versions.
    #[prost(message, tag = "3")]
    Diff(DiffVersions),
    /// Restore a version's weights.
    #[prost(message, tag = "4")]
    StartRollback(StartRollback),
    /// End all rollbacks.
    #[prost(message, tag = "5")]
    EndRollbacks(EndRollbacks),
    /// Cap a server's weight, or end its cap.
    #[prost(message, tag = "6")]
    CapServer(CapServer),
}

/// Requests the newest versions, and all rollbacks and caps.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ListVersions {
    /// Maximum number of versions.
    #[prost(uint32, tag = "1")]
    pub last: u32,
}

/// Requests the lines of a version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ShowVersion {
    /// Number of the version; 0 means the newest of all tables.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Requests the differences between two versions of the same table.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DiffVersions {
    /// Number of the first version.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Number of the second version.
    #[prost(uint64, tag = "2")]
    pub to: u64,
}

/// Orders a rollback to a version's weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StartRollback {
    /// Number of the version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Duration of the rollback, ms.
    #[prost(uint64, tag = "2")]
    pub duration_ms: u64,
    /// The rollback is only planned, not started.
    #[prost(bool, tag = "3")]
    pub dry_run: bool,
    /// Operator who gives the order.
    #[prost(string, tag = "4")]
    pub actor: String,
    /// Reason for the order.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// Orders a cap on a server's weight.
#[derive(Clone, PartialEq, Message)]
pub struct CapServer {
    /// Number of the server.
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// Largest share of the controller's weight, above 0 and at most 1.
    #[prost(double, tag = "2")]
    pub factor: f64,
    /// Duration of the cap, ms; 0 ends the existing cap.
    #[prost(uint64, tag = "3")]
    pub duration_ms: u64,
    /// Operator who gives the order.
    #[prost(string, tag = "4")]
    pub actor: String,
    /// Reason for the order.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// Orders the end of all rollbacks.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EndRollbacks {}

/// Answer to a request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AdminResponse {
    /// Content of the answer, as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
}
