//! The file that a member keeps: batches of records, each with its length and a checksum (CRC-32C, RFC 3720). A
//! batch is synced before the next one is written, so that a crash tears the last one at most: that one is cut
//! away. Damage before it is told, and the file is not used.

use prost::Message;
use thiserror::Error;

use crate::wire::{Batch, Entry, Kept, Record, Snapshot, Vote};

/// Before the first batch: what file this is, and of which version.
pub const HEAD: &[u8; 8] = b"shlrgrp1";
/// Length and checksum before each batch.
const LEAD: usize = 8;
/// No batch is longer: more is damage.
const LONGEST: usize = 16 << 20;

#[derive(Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    #[error("it does not begin as a file of this version; move it away to start without, as a new member")]
    Strange,
    #[error("damaged at byte {at}, with whole batches after it; move it away and take this member in as a new one")]
    Damaged { at: usize },
}

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

/// One batch as bytes.
pub fn encode(records: &[Record]) -> Vec<u8> {
    let body = Batch { records: records.to_vec() }.encode_to_vec();
    let mut out = Vec::with_capacity(LEAD + body.len());
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
    out.extend_from_slice(&body);
    out
}

pub fn record(kept: Kept) -> Record {
    Record { kept: Some(kept) }
}

/// The batch at `at` and where the next one begins.
fn read(bytes: &[u8], at: usize) -> Option<(Batch, usize)> {
    let lead = bytes.get(at..at + LEAD)?;
    let length = u32::from_le_bytes(lead[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(lead[4..].try_into().ok()?);
    if length > LONGEST {
        return None;
    }
    let body = bytes.get(at + LEAD..at + LEAD + length)?;
    if crc32c::crc32c(body) != sum || body.is_empty() {
        return None;
    }
    Some((Batch::decode(body).ok()?, at + LEAD + length))
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
    pub fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        if !bytes.starts_with(HEAD) {
            return Err(RecordError::Strange);
        }
        let mut found = Recovered { whole: HEAD.len(), ..Recovered::default() };
        while let Some((batch, next)) = read(bytes, found.whole) {
            batch.records.into_iter().for_each(|record| found.take(record));
            found.whole = next;
        }
        let at = found.whole;
        let behind = (at + 1..bytes.len().saturating_sub(LEAD)).any(|from| read(bytes, from).is_some());
        if behind {
            return Err(RecordError::Damaged { at });
        }
        Ok(found)
    }
}
