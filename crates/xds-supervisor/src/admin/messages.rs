//! Messages of the operators' listener. The names of the fields are not on the wire, their tags are.

use prost::{Message, Oneof};

/// One request of an operator.
#[derive(Clone, PartialEq, Message)]
pub struct AdminRequest {
    /// What is asked; `None` where a later version's client asks something else.
    #[prost(oneof = "AdminQuery", tags = "1, 2, 3, 4, 5, 6")]
    pub query: Option<AdminQuery>,
}

/// What an operator asks or orders.
#[derive(Clone, PartialEq, Oneof)]
pub enum AdminQuery {
    /// The newest versions, rollbacks and caps.
    #[prost(message, tag = "1")]
    List(ListVersions),
    /// The lines of a version.
    #[prost(message, tag = "2")]
    Show(ShowVersion),
    /// What differs between two versions.
    #[prost(message, tag = "3")]
    Diff(DiffVersions),
    /// Go back to a version's weights.
    #[prost(message, tag = "4")]
    StartRollback(StartRollback),
    /// End all rollbacks.
    #[prost(message, tag = "5")]
    EndRollbacks(EndRollbacks),
    /// Cap a server's weight, or end its cap.
    #[prost(message, tag = "6")]
    CapServer(CapServer),
}

/// Asks for the newest versions.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ListVersions {
    /// At most so many.
    #[prost(uint32, tag = "1")]
    pub last: u32,
}

/// Asks for the lines of a version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ShowVersion {
    /// Its number; 0: the newest of all tables.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Asks what differs between two versions of the same table.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DiffVersions {
    /// Number of the one.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Number of the other.
    #[prost(uint64, tag = "2")]
    pub to: u64,
}

/// Orders a rollback to a version's weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StartRollback {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// How long, ms.
    #[prost(uint64, tag = "2")]
    pub duration_ms: u64,
    /// Only the plan is wanted.
    #[prost(bool, tag = "3")]
    pub dry_run: bool,
    /// Who orders it.
    #[prost(string, tag = "4")]
    pub actor: String,
    /// Why.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// Orders a cap on a server's weight.
#[derive(Clone, PartialEq, Message)]
pub struct CapServer {
    /// Number of the server.
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// Largest part of the controller's weight.
    #[prost(double, tag = "2")]
    pub factor: f64,
    /// How long, ms; 0: the cap that there is ends.
    #[prost(uint64, tag = "3")]
    pub duration_ms: u64,
    /// Who orders it.
    #[prost(string, tag = "4")]
    pub actor: String,
    /// Why.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// Orders an end to all rollbacks.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EndRollbacks {}

/// The answer to a request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AdminResponse {
    /// Content as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
}
