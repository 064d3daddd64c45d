//! The file that a member keeps: batches of records, each a frame of `shalereel_journal`.

use prost::Message;
use shalereel_journal::JournalError;

use crate::wire::{Entry, RecordBatch, RecordKind, Snapshot, StoredRecord, Vote};

/// Before the first batch: what file this is, and of which version.
pub const LOG_FILE_HEAD: &shalereel_journal::Magic = b"shlrgrp1";

/// What a file said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    pub start_count: u64,
    pub vote: Vote,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
    /// Bytes that were whole; what follows is to be cut away.
    pub complete_bytes: usize,
}

/// One batch as a body; batches may be put one after another and are one then.
pub fn encode(records: &[StoredRecord]) -> Vec<u8> {
    RecordBatch { records: records.to_vec() }.encode_to_vec()
}

pub fn record(kept: RecordKind) -> StoredRecord {
    StoredRecord { kind: Some(kept) }
}

impl StoredLog {
    fn apply(&mut self, record: StoredRecord) {
        match record.kind {
            Some(RecordKind::StartCount(boot)) => self.start_count = boot,
            Some(RecordKind::Vote(vote)) => self.vote = vote,
            Some(RecordKind::Entry(entry)) => {
                self.entries.retain(|old| old.index < entry.index);
                self.entries.push(entry);
            }
            Some(RecordKind::Snapshot(base)) => {
                let agrees = self
                    .entries
                    .iter()
                    .any(|e| e.index == base.last_included_index && e.term == base.last_included_term);
                self.entries.retain(|old| agrees && old.index > base.last_included_index);
                self.snapshot = base;
            }
            None => {}
        }
    }

    /// Reads a file. Errors: no such file, or damage that no crash in the middle of a write explains.
    pub fn read(bytes: &[u8]) -> Result<Self, JournalError> {
        let mut found = StoredLog { complete_bytes: LOG_FILE_HEAD.len(), ..StoredLog::default() };
        for shalereel_journal::Record { payload, end } in shalereel_journal::records(bytes, LOG_FILE_HEAD)? {
            // What has its checksum and cannot be read was written by a later version.
            let batch = RecordBatch::decode(payload)
                .map_err(|_| JournalError::Damaged { at: found.complete_bytes })?;
            batch.records.into_iter().for_each(|record| found.apply(record));
            found.complete_bytes = end;
        }
        Ok(found)
    }
}
