//! Writes of the log, and messages that wait for them.

use crate::wire::{Body, MemberId, StoredRecord};

/// Records to be synced to the file.
#[derive(Clone, Debug, PartialEq)]
pub struct LogWrite {
    /// Rises with each write.
    pub sequence: u64,
    /// The records replace the whole file.
    pub replaces_file: bool,
    /// In order.
    pub records: Vec<StoredRecord>,
}

/// A message that promises what is not synced yet.
#[derive(Debug)]
pub(super) struct HeldMessage {
    /// Sequence of the write that it waits for.
    pub after_write: u64,
    pub to: MemberId,
    pub body: Body,
}
