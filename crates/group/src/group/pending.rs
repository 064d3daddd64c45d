//! A command on its way into the log.

use shalereel::interface::Nanos;

use crate::wire::Command;

/// A command that this member has requested.
#[derive(Debug)]
pub(super) struct PendingCommand {
    pub command: Command,
    pub expires_at: Nanos,
    /// Of the operator who waits for it.
    pub correlation_id: Option<u64>,
    /// When it was last sent to a leader, or could not be for want of one.
    pub sent_at: Option<Nanos>,
    /// Term in which it was last sent to a leader; 0 where it was not.
    pub sent_in_term: u64,
}
