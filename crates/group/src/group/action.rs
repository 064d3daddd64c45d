//! Actions that a member requests of its supervisor, and errors of operators' orders.

use shalereel::interface::EndpointReport;
use thiserror::Error;

use super::log_event::LogEvent;
use crate::raft::LogWrite;
use crate::state_machine::{AppliedChange, Rejection};
use crate::wire::{Envelope, LogIndex, MemberId};

/// An action that the supervisor must perform; actions are performed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: MemberId,
        /// Host and port of the receiver.
        address: String,
        /// The message.
        envelope: Envelope,
    },
    /// Write and sync records, and then call [`Group::handle_write_done`](super::Group::handle_write_done).
    Store(LogWrite),
    /// Answer an operator's order.
    AnswerOrder {
        /// The id that was passed to [`Group::submit_order`](super::Group::submit_order).
        correlation_id: u64,
        /// Index of the order's committed entry, or the reason why it was not carried out.
        result: Result<LogIndex, OrderError>,
    },
    /// Handle the outcome of a committed command.
    Applied(AppliedChange),
    /// Read the whole state machine again: a snapshot from a leader has replaced it without individual changes.
    SnapshotRestored,
    /// Handle new load reports from the forwarders of all other members.
    PeerReports(Vec<EndpointReport>),
    /// Write a line to the supervisor's own log.
    Log(LogEvent),
}

/// Why an operator's order was not carried out. Operators' commands receive these texts, so they stay as they are.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// No leader is known, so nothing can be committed now.
    #[error(
        "no leader is known: {reachable} of {configured} controllers are reached, {quorum} are needed; nothing was \
         ordered"
    )]
    NoLeader {
        /// Configured members that are alive or suspect.
        reachable: usize,
        /// Voters and learners.
        configured: usize,
        /// How many members must be reached for a quorum.
        quorum: usize,
    },
    /// The command was not committed in time; it may still be committed later.
    #[error(
        "not agreed in time; it may still come into force: look at the duties before it is ordered again"
    )]
    TimedOut,
    /// The command was committed, but the state machine rejected it.
    #[error("{0}")]
    Rejected(Rejection),
    /// This member has stopped participating, because a write failed or stored or received state cannot be used.
    #[error("this controller's log cannot be written; order by another one")]
    StorageFailed,
}
