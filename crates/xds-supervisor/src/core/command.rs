//! What the core has the shell do, and warnings for its log.

use std::net::SocketAddr;

use bytes::Bytes;
use shalereel::interface::{ProxyId, ServerId};
use shalereel_rpc::Status;
use shalereel_store::FileWrite;

use super::Peer;
use crate::endpoints::SkippedRow;
use crate::group_member::GroupCommand;

/// A command to the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum ShellCommand {
    /// Send a framed message; streams that are sent the same one share its bytes.
    Send {
        /// The stream.
        peer: Peer,
        /// With its frame's head.
        message: Bytes,
    },
    /// Write bytes to a SASP connection.
    WriteSasp {
        /// The connection.
        peer: Peer,
        /// An encoded message.
        bytes: Vec<u8>,
    },
    /// Close a stream or SASP connection; the core has forgotten it.
    CloseStream {
        /// The stream or connection.
        peer: Peer,
        /// Why.
        status: Status,
    },
    /// Watch the registry's endpoint list (true), or stop watching it (false).
    WatchEndpoints(bool),
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    /// Check a server's health; its outcome goes to [`Core::health_checked`](super::Core::health_checked).
    CheckHealth {
        /// Its number.
        server: ServerId,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Log a decision of the controller.
    LogDecision(String),
    /// Log a warning.
    Warn(Warning),
    /// Do something for the group.
    Group(GroupCommand),
    /// Append versions of tables to their history.
    StoreTables(FileWrite),
    /// Store the snapshot's record in place of the one before.
    StoreSnapshot(Vec<u8>),
    /// The endpoint list has changed: store [`Core::endpoint_list_json`](super::Core::endpoint_list_json) soon.
    StoreEndpointList,
}

/// Something that an operator should see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Warning {
    /// The endpoint list of an earlier run could not be decoded; the start goes on without.
    StoredListUnreadable {
        /// As the decoder has it.
        error: String,
    },
    /// A row of the registry's list was skipped.
    RowSkipped(SkippedRow),
    /// Load reports of the last interval name servers that were never listed.
    UnlistedServersReported {
        /// Number of their rows.
        rows: u64,
    },
    /// A client has asked for resources that do not exist.
    UnknownResources {
        /// Of the resources.
        type_url: String,
        /// As requested.
        names: Vec<String>,
    },
    /// A client has rejected a response.
    ResponseRejected {
        /// The client.
        proxy: ProxyId,
        /// Of the response.
        type_url: String,
        /// Of the response.
        nonce: u64,
        /// As the client has it.
        reason: String,
        /// What the supervisor does.
        consequence: Consequence,
    },
    /// What the guard did.
    Guard(String),
}

/// What follows from a rejected response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consequence {
    /// All that is not acknowledged is sent again after a backoff.
    SentAgainLater,
    /// It was the last of several in a row.
    StreamClosed,
}

impl Warning {
    /// Writes it to the log.
    pub fn log(&self) {
        match self {
            Warning::StoredListUnreadable { error } => {
                tracing::warn!(error, "stored endpoint list unreadable; starting without");
            }
            Warning::RowSkipped(row) => {
                tracing::warn!(address = %row.address, reason = %row.reason, "endpoint list row skipped");
            }
            Warning::UnlistedServersReported { rows } => {
                tracing::warn!(rows, "load reports name servers that were never listed");
            }
            Warning::UnknownResources { type_url, names } => {
                tracing::warn!(type_url, ?names, "unknown resources requested");
            }
            Warning::ResponseRejected { proxy, type_url, nonce, reason, consequence } => {
                tracing::warn!(proxy, type_url, nonce, reason, ?consequence, "response rejected by a client");
            }
            Warning::Guard(text) => tracing::warn!("{text}"),
        }
    }
}
