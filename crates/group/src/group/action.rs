//! What a member wants its supervisor to do, and how it describes itself.

use shalereel::interface::EndpointReport;
use thiserror::Error;

use super::log_event::LogEvent;
use crate::raft::LogWrite;
use crate::state_machine::{AppliedChange, Rejection};
use crate::wire::{Envelope, LogIndex, MemberId};

/// For the supervisor to perform, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: MemberId,
        /// Where it is reached.
        address: String,
        /// The message.
        envelope: Envelope,
    },
    /// Write and sync records, and then call [`Group::handle_write_done`](super::Group::handle_write_done).
    Store(LogWrite),
    /// Answer an operator's request.
    AnswerOrder {
        /// As given to [`Group::submit_order`](super::Group::submit_order).
        correlation_id: u64,
        /// Index of the entry by which the order is in force.
        result: Result<LogIndex, OrderError>,
    },
    /// An entry was applied.
    Applied(AppliedChange),
    /// A leader's snapshot stands in place of all changes up to it.
    SnapshotRestored,
    /// What forwarders of all other members reported of late.
    PeerReports(Vec<EndpointReport>),
    /// Write a line to the log of the supervisor.
    Log(LogEvent),
}

/// Why an operator's order was not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// Nobody can commit anything now.
    #[error(
        "no leader is known: {reachable} of {configured} controllers are reached, {quorum} are needed; nothing was \
         ordered"
    )]
    NoLeader {
        /// Configured members that are alive or suspect.
        reachable: usize,
        /// Voters and learners.
        configured: usize,
        /// Members that have to be reached.
        quorum: usize,
    },
    /// Not committed in time; the command may still be committed.
    #[error(
        "not agreed in time; it may still come into force: look at the duties before it is ordered again"
    )]
    TimedOut,
    /// Committed, and void.
    #[error("{0}")]
    Rejected(Rejection),
    /// This member's log cannot be written.
    #[error("this controller's log cannot be written; order by another one")]
    StorageFailed,
}
