//! Frames of append-only files, free of I/O. The files of table versions, of learned state and of the group's log use them.
//!
//! A file begins with a magic of eight bytes; frames follow. A frame is the length and the CRC-32C (RFC 3720) of a record,
//! four bytes each, little endian, and then the record. The caller syncs each frame before it writes the next one, so that a
//! crash can tear only the last frame, which readers ignore. If an intact frame follows a damaged one, the whole file is
//! rejected.

#![deny(missing_docs)]

use thiserror::Error;

/// First bytes of a file; they identify its kind and format version.
pub type Magic = [u8; 8];

/// Bytes of the length and the checksum before each record.
const FRAME_HEADER_BYTES: usize = 8;
/// Longest record, in bytes; a frame with a greater length counts as damaged.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// Why a file is rejected. The remedy depends on the file; the reader of the file adds it to the message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum JournalError {
    /// The file begins with another magic.
    #[error("the first bytes of the file do not match this kind and version of file")]
    UnknownFormat,
    /// An intact frame follows a damaged one. A crash during a write cannot cause this.
    #[error("the frame at byte {offset} is damaged, but intact frames follow it")]
    Damaged {
        /// Offset of the first frame that cannot be read, in bytes.
        offset: usize,
    },
}

/// An intact record of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Content of the record, without the frame's header.
    pub payload: &'a [u8],
    /// Offset at which its frame ends, in bytes.
    pub end: usize,
}

/// Returns the frame of a record, ready to be appended to a file.
pub fn frame(record: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + record.len());
    frame.extend_from_slice(&(record.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(record).to_le_bytes());
    frame.extend_from_slice(record);
    frame
}

/// The record whose frame begins at byte `start`; `None` unless the frame is complete and intact.
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

/// Reads the intact records of a file, in order. A torn frame at the end is ignored. A file that ends inside its magic was
/// torn when it was created, and has no records.
///
/// # Errors
///
/// [`JournalError::UnknownFormat`] if the magic differs, [`JournalError::Damaged`] if an intact frame follows a damaged one.
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
        return Err(JournalError::Damaged { offset: next });
    }
    Ok(found)
}
