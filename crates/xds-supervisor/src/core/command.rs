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
        peer: Peer,
        message: Bytes,
    },
    /// Write bytes to a SASP connection.
    WriteSasp {
        peer: Peer,
        bytes: Vec<u8>,
    },
    CloseStream {
        peer: Peer,
        status: Status,
    },
    /// Watch the registry's endpoint list, or stop to.
    WatchEndpoints(bool),
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    CheckHealth {
        server: ServerId,
        address: SocketAddr,
    },
    /// Log a decision of the controller.
    LogDecision(String),
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
    StoredListUnreadable {
        error: String,
    },
    RowSkipped(SkippedRow),
    /// Rows of load reports in the last interval name servers that were never listed.
    UnlistedServersReported {
        rows: u64,
    },
    UnknownResources {
        type_url: String,
        names: Vec<String>,
    },
    ResponseRejected {
        proxy: ProxyId,
        type_url: String,
        nonce: u64,
        reason: String,
        consequence: Consequence,
    },
    /// What the guard did.
    Guard(String),
}

/// What follows from a rejected response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consequence {
    SentAgainLater,
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
