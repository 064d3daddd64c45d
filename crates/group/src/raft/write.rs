//! Writes to the log file, and messages that are held back until a write is synced.

use crate::wire::{Body, MemberId, StoredRecord};

/// Records to be written to the log file and synced.
#[derive(Clone, Debug, PartialEq)]
pub struct LogWrite {
    /// Increases with each write.
    pub sequence: u64,
    /// Whether the records replace the whole file rather than being appended to it.
    pub replaces_file: bool,
    /// The records in order.
    pub records: Vec<StoredRecord>,
}

/// A message that depends on records that are not synced yet.
#[derive(Debug)]
pub(super) struct HeldMessage {
    /// Sequence number of the write that must be synced before the message is sent.
    pub after_write: u64,
    pub to: MemberId,
    pub body: Body,
}
