//! Records of the log file.

use prost::{Message, Oneof};

use super::ids::MemberId;
use super::log::{Entry, Snapshot};

/// Records that are stored together or not at all.
#[derive(Clone, PartialEq, Message)]
pub struct RecordBatch {
    /// In order.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<StoredRecord>,
}

/// One record of the file; a later one supersedes an earlier one of its kind.
#[derive(Clone, PartialEq, Message)]
pub struct StoredRecord {
    /// Nothing where a later version knows more kinds.
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4")]
    pub kind: Option<RecordKind>,
}

/// Kinds of records.
#[derive(Clone, PartialEq, Oneof)]
pub enum RecordKind {
    /// Number of starts so far.
    #[prost(uint64, tag = "1")]
    StartCount(u64),
    /// Term and vote.
    #[prost(message, tag = "2")]
    Vote(Vote),
    /// An entry; it replaces those at its index and after it.
    #[prost(message, tag = "3")]
    Entry(Entry),
    /// In place of all entries up to its index.
    #[prost(message, tag = "4")]
    Snapshot(Snapshot),
}

/// A member's current term and whom it voted for in it.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    /// The current term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The candidate that got this member's vote in that term.
    #[prost(uint32, optional, tag = "2")]
    pub voted_for: Option<MemberId>,
}

impl From<RecordKind> for StoredRecord {
    fn from(kind: RecordKind) -> Self {
        StoredRecord { kind: Some(kind) }
    }
}
