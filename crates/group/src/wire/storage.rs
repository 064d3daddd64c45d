//! Records of the log file.

use prost::{Message, Oneof};

use super::ids::MemberId;
use super::log::{Entry, Snapshot};

/// Records that are stored atomically.
#[derive(Clone, PartialEq, Message)]
pub struct RecordBatch {
    /// The records in order.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<StoredRecord>,
}

/// One record of the log file.
#[derive(Clone, PartialEq, Message)]
pub struct StoredRecord {
    /// The record itself; `None` if it is of a kind that this version does not know.
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4")]
    pub kind: Option<RecordKind>,
}

/// A record of one of the known kinds. A later start count, vote or snapshot supersedes an earlier one.
#[derive(Clone, PartialEq, Oneof)]
pub enum RecordKind {
    /// How many times the member has started.
    #[prost(uint64, tag = "1")]
    StartCount(u64),
    /// The current term and the vote in it.
    #[prost(message, tag = "2")]
    Vote(Vote),
    /// A log entry, which replaces the entries at its index and after it.
    #[prost(message, tag = "3")]
    Entry(Entry),
    /// A snapshot, which replaces all entries up to its index.
    #[prost(message, tag = "4")]
    Snapshot(Snapshot),
}

/// A member's current term and its vote in that term.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    /// The current term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The candidate that this member voted for; `None` if it has not voted.
    #[prost(uint32, optional, tag = "2")]
    pub voted_for: Option<MemberId>,
}

impl From<RecordKind> for StoredRecord {
    fn from(kind: RecordKind) -> Self {
        StoredRecord { kind: Some(kind) }
    }
}
