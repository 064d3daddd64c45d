//! Messages of operators: one request and one response. Sent by `crates/fault-scenarios` (`control.rs`), answered by
//! `crates/xds-supervisor` (`group_member/operators.rs`).

use prost::Message;

use super::commands::Command;

/// An operator's request.
#[derive(Clone, PartialEq, Message)]
pub struct ControlRequest {
    /// A command to be agreed on; nothing: the group's status is wanted.
    #[prost(message, optional, tag = "1")]
    pub command: Option<Command>,
}

/// The response to [`ControlRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ControlResponse {
    /// JSON: the status of the group, or the index of the order that was committed.
    #[prost(string, tag = "1")]
    pub json: String,
}
