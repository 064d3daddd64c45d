//! Request and response of operators' commands. `crates/fault-scenarios` (`control.rs`) sends the request,
//! `crates/xds-supervisor` (`group_member/operators.rs`) answers it.

use prost::Message;

use super::commands::Command;

/// An operator's request.
#[derive(Clone, PartialEq, Message)]
pub struct ControlRequest {
    /// A command to be committed; `None` to request the group's status.
    #[prost(message, optional, tag = "1")]
    pub command: Option<Command>,
}

/// The response to [`ControlRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ControlResponse {
    /// JSON: the status of the group, or the index of the committed order.
    #[prost(string, tag = "1")]
    pub json: String,
}
