//! A command that is not applied yet.

use shalereel::interface::Nanos;

use crate::wire::Command;

/// A command that this member has submitted and that is not applied yet.
#[derive(Debug)]
pub(super) struct PendingCommand {
    pub command: Command,
    pub expires_at: Nanos,
    /// Id of the operator's order that is answered when the command is applied; `None` for this member's own commands.
    pub correlation_id: Option<u64>,
    /// When it was last due to be sent, even if no leader was known; `None` if it never was.
    pub sent_at: Option<Nanos>,
    /// Term in which it was last sent to a leader; 0 if no leader was known then.
    pub sent_in_term: u64,
}
