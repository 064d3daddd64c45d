//! The log file of a member: batches of records, each stored as one frame of `shalereel_journal`.

use prost::Message;
use shalereel_journal::JournalError;
use thiserror::Error;

use crate::wire::{Entry, RecordBatch, RecordKind, Snapshot, StoredRecord, Vote};

/// Magic bytes at the start of the file: its kind and format version.
pub const LOG_FILE_MAGIC: &shalereel_journal::Magic = b"shlrgrp1";

/// Why a log file cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StoredLogError {
    /// The file's frames are damaged or of another format.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// A frame has the right checksum but cannot be decoded.
    #[error(
        "the frame at byte {offset} is intact but cannot be decoded; a later version may have written it"
    )]
    Undecodable {
        /// Offset of the start of the frame, in bytes.
        offset: usize,
    },
}

/// Content of a member's log file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// How many times the member has started.
    pub start_count: u64,
    /// Current term and vote.
    pub vote: Vote,
    /// The latest snapshot, which replaces the entries up to its index.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Length of the complete batches in bytes; what follows is a torn write, which the caller truncates.
    pub complete_bytes: usize,
}

/// Encodes records as one batch, the payload of a frame. Concatenated payloads decode as one batch.
pub fn encode_records(records: &[StoredRecord]) -> Vec<u8> {
    RecordBatch { records: records.to_vec() }.encode_to_vec()
}

impl StoredLog {
    /// Decodes the content of a log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are of another kind of file, are of a later version, or are damaged in a way that
    /// a crash during a write cannot cause.
    pub fn read(bytes: &[u8]) -> Result<Self, StoredLogError> {
        let mut found = StoredLog { complete_bytes: LOG_FILE_MAGIC.len(), ..StoredLog::default() };
        for shalereel_journal::Record { payload, end } in shalereel_journal::records(bytes, LOG_FILE_MAGIC)? {
            let batch = RecordBatch::decode(payload)
                .map_err(|_| StoredLogError::Undecodable { offset: found.complete_bytes })?;
            batch.records.into_iter().for_each(|record| found.apply(record));
            found.complete_bytes = end;
        }
        Ok(found)
    }

    fn apply(&mut self, record: StoredRecord) {
        match record.kind {
            Some(RecordKind::StartCount(start_count)) => self.start_count = start_count,
            Some(RecordKind::Vote(vote)) => self.vote = vote,
            Some(RecordKind::Entry(entry)) => {
                self.entries.retain(|old| old.index < entry.index);
                self.entries.push(entry);
            }
            Some(RecordKind::Snapshot(snapshot)) => self.apply_snapshot(snapshot),
            None => {}
        }
    }

    /// Keeps the entries after the snapshot only if the log contains the snapshot's last entry with the same term.
    fn apply_snapshot(&mut self, snapshot: Snapshot) {
        let (index, term) = (snapshot.last_included_index, snapshot.last_included_term);
        let agrees = self.entries.iter().any(|entry| entry.index == index && entry.term == term);
        self.entries.retain(|old| agrees && old.index > index);
        self.snapshot = snapshot;
    }
}
