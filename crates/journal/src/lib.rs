//! Frames of an append-only file, free of I/O. Used by the files of table versions, of learned state and of the group's log.
//!
//! A file is a magic of eight bytes, then frames: length and CRC-32C (RFC 3720) of the record, four bytes each, little
//! endian, then the record. Each frame is synced before the next one is written, so that a crash can tear only the last
//! frame, which is left out. Damage before an intact frame is an error, and nothing of the file is used.

#![deny(missing_docs)]

use thiserror::Error;

/// First bytes of a file: its kind and format version.
pub type Magic = [u8; 8];

/// Length and checksum before each record.
const FRAME_HEADER_BYTES: usize = 8;
/// Longest record; a greater length is damage.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// Why a file is rejected. What to do about it depends on the file and is said by its reader.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum JournalError {
    /// The file begins with another magic.
    #[error("the file does not begin with the magic of this version")]
    UnknownFormat,
    /// An intact frame follows a damaged one, which no crash during a write explains.
    #[error("damaged at byte {at}, with intact frames after it")]
    Damaged {
        /// Offset of the first frame that cannot be read, in bytes.
        at: usize,
    },
}

/// An intact record of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Content, without the frame's header.
    pub payload: &'a [u8],
    /// Offset at which its frame ends, in bytes.
    pub end: usize,
}

/// The frame of a record, to be appended to a file.
pub fn frame(record: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + record.len());
    frame.extend_from_slice(&(record.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(record).to_le_bytes());
    frame.extend_from_slice(record);
    frame
}

/// The intact record whose frame begins at byte `start`.
fn record_at(file: &[u8], start: usize) -> Option<Record<'_>> {
    let payload_start = start + FRAME_HEADER_BYTES;
    let header = file.get(start..payload_start)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length > MAX_RECORD_BYTES || length == 0 {
        return None;
    }
    let end = payload_start + length;
    let payload = file.get(payload_start..end)?;
    (crc32c::crc32c(payload) == checksum).then_some(Record { payload, end })
}

/// Reads the intact records of a file, in order. A torn frame at the end is left out; a file that ends inside its magic
/// was torn when it was created, and has no records.
///
/// # Errors
///
/// [`JournalError::UnknownFormat`] for another magic, [`JournalError::Damaged`] where an intact frame follows a damaged one.
pub fn records<'a>(file: &'a [u8], magic: &Magic) -> Result<Vec<Record<'a>>, JournalError> {
    if !file.starts_with(magic) {
        let torn_at_creation = magic.starts_with(file);
        return if torn_at_creation { Ok(Vec::new()) } else { Err(JournalError::UnknownFormat) };
    }
    let mut found = Vec::new();
    let mut next = magic.len();
    while let Some(record) = record_at(file, next) {
        found.push(record);
        next = record.end;
    }
    let intact_after_damage = (next + 1..file.len().saturating_sub(FRAME_HEADER_BYTES))
        .any(|start| record_at(file, start).is_some());
    if intact_after_damage {
        return Err(JournalError::Damaged { at: next });
    }
    Ok(found)
}
