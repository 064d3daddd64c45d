//! The file that a member keeps: batches of records, each a frame of `shalereel_journal`.

use prost::Message;
use shalereel_journal::JournalError;

use crate::wire::{Batch, Entry, Kept, Record, Snapshot, Vote};

/// Before the first batch: what file this is, and of which version.
pub const HEAD: &shalereel_journal::Magic = b"shlrgrp1";

/// What a file said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    pub boot: u64,
    pub vote: Vote,
    pub base: Snapshot,
    pub entries: Vec<Entry>,
    /// Bytes that were whole; what follows is to be cut away.
    pub whole: usize,
}

/// One batch as a body; batches may be put one after another and are one then.
pub fn encode(records: &[Record]) -> Vec<u8> {
    Batch { records: records.to_vec() }.encode_to_vec()
}

pub fn record(kept: Kept) -> Record {
    Record { kept: Some(kept) }
}

impl Recovered {
    fn take(&mut self, record: Record) {
        match record.kept {
            Some(Kept::Boot(boot)) => self.boot = boot,
            Some(Kept::Vote(vote)) => self.vote = vote,
            Some(Kept::Entry(entry)) => {
                self.entries.retain(|old| old.index < entry.index);
                self.entries.push(entry);
            }
            Some(Kept::Base(base)) => {
                let agrees = self.entries.iter().any(|e| e.index == base.index && e.term == base.index_term);
                self.entries.retain(|old| agrees && old.index > base.index);
                self.base = base;
            }
            None => {}
        }
    }

    /// Reads a file. Errors: no such file, or damage that no crash in the middle of a write explains.
    pub fn read(bytes: &[u8]) -> Result<Self, JournalError> {
        let mut found = Recovered { whole: HEAD.len(), ..Recovered::default() };
        for shalereel_journal::Record { payload, end } in shalereel_journal::records(bytes, HEAD)? {
            // What has its checksum and cannot be read was written by a later version.
            let batch = Batch::decode(payload).map_err(|_| JournalError::Damaged { at: found.whole })?;
            batch.records.into_iter().for_each(|record| found.take(record));
            found.whole = end;
        }
        Ok(found)
    }
}
