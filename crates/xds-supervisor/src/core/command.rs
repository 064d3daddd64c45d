//! Commands of the core to the daemon, and warnings for the log.

use std::net::SocketAddr;

use bytes::Bytes;
use shalereel::interface::{ProxyId, ServerId};
use shalereel_rpc::Status;
use shalereel_store::FileWrite;

use super::Peer;
use crate::endpoints::SkippedRow;
use crate::group_member::GroupCommand;

/// A command of the core to the daemon (the shell around it).
#[derive(Clone, Debug, PartialEq)]
pub enum ShellCommand {
    /// Send a framed message; streams that receive the same message share its bytes.
    Send {
        /// Receiving stream.
        peer: Peer,
        /// Message with its frame header.
        message: Bytes,
    },
    /// Write bytes to a SASP connection.
    WriteSasp {
        /// Receiving connection.
        peer: Peer,
        /// Encoded SASP message.
        bytes: Vec<u8>,
    },
    /// Close a stream or SASP connection; the core has already removed it.
    CloseStream {
        /// Stream or connection to close.
        peer: Peer,
        /// Status that names the reason.
        status: Status,
    },
    /// Watch the registry's endpoint list (true), or stop watching it (false).
    WatchEndpoints(bool),
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    /// Check a server's health; the outcome is passed to [`Core::health_checked`](super::Core::health_checked).
    CheckHealth {
        /// Number of the server.
        server: ServerId,
        /// Address of the server.
        address: SocketAddr,
    },
    /// Log a decision of the controller.
    LogDecision(String),
    /// Log a warning.
    Warn(Warning),
    /// Execute a command of the group.
    Group(GroupCommand),
    /// Write versions of tables to the table history.
    StoreTables(FileWrite),
    /// Store the record of a snapshot in place of the previous one.
    StoreSnapshot(Vec<u8>),
    /// The endpoint list has changed: store [`Core::endpoint_list_json`](super::Core::endpoint_list_json) soon.
    StoreEndpointList,
}

/// A condition that an operator should see in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Warning {
    /// The endpoint list of an earlier run could not be decoded; the supervisor starts without it.
    StoredListUnreadable {
        /// Message of the decoder.
        error: String,
    },
    /// A row of the registry's list was skipped.
    RowSkipped(SkippedRow),
    /// Load reports of the last report interval name servers that were never listed.
    UnlistedServersReported {
        /// Number of rows that name such servers.
        rows: u64,
    },
    /// A client has requested resources that do not exist.
    UnknownResources {
        /// Type of the resources.
        type_url: String,
        /// Names that the client requested.
        names: Vec<String>,
    },
    /// A client has rejected a response.
    ResponseRejected {
        /// Proxy that rejected the response.
        proxy: ProxyId,
        /// Type of the response's resources.
        type_url: String,
        /// Nonce of the response.
        nonce: u64,
        /// Reason that the client gave.
        reason: String,
        /// Reaction of the supervisor.
        consequence: Consequence,
    },
    /// A decision of the guard, as a log line.
    Guard(String),
}

/// Reaction of the supervisor to a rejected response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consequence {
    /// Everything that is not acknowledged is sent again after a backoff.
    SentAgainLater,
    /// The stream is closed, since the limit of consecutive rejections is reached.
    StreamClosed,
}

impl Warning {
    /// Writes the warning to the log.
    pub fn log(&self) {
        match self {
            Warning::StoredListUnreadable { error } => {
                tracing::warn!(error, "stored endpoint list unreadable; starting without it");
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
