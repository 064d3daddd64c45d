//! The log file of a member: batches of records, each a frame of `shalereel_journal`.

use prost::Message;
use shalereel_journal::JournalError;
use thiserror::Error;

use crate::wire::{Entry, RecordBatch, RecordKind, Snapshot, StoredRecord, Vote};

/// The first bytes of the file: kind and version.
pub const LOG_FILE_MAGIC: &shalereel_journal::Magic = b"shlrgrp1";

/// Why a log file is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StoredLogError {
    /// The file's frames are damaged or of another format.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// A frame whose checksum is right cannot be decoded.
    #[error(
        "the frame at byte {offset} is intact but cannot be decoded; a later version may have written it"
    )]
    Undecodable {
        /// Offset at which the frame begins, in bytes.
        offset: usize,
    },
}

/// What a member's file contains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// Number of starts so far.
    pub start_count: u64,
    /// Current term and vote.
    pub vote: Vote,
    /// In place of the entries up to its index.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Bytes of complete batches; what follows is a torn write, to be truncated.
    pub complete_bytes: usize,
}

/// One batch as the body of a frame. Concatenated bodies are one batch.
pub fn encode_records(records: &[StoredRecord]) -> Vec<u8> {
    RecordBatch { records: records.to_vec() }.encode_to_vec()
}

impl StoredLog {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The bytes are of another kind of file, damaged in a way that no crash during a write explains, or of a later
    /// version.
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

    /// Entries after the snapshot stay only where the log agrees with it.
    fn apply_snapshot(&mut self, snapshot: Snapshot) {
        let (index, term) = (snapshot.last_included_index, snapshot.last_included_term);
        let agrees = self.entries.iter().any(|entry| entry.index == index && entry.term == term);
        self.entries.retain(|old| agrees && old.index > index);
        self.snapshot = snapshot;
    }
}
