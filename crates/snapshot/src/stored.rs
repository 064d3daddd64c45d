//! The stored snapshot and the format of its file.

use std::collections::BTreeMap;

use serde::Deserialize;
use shalereel::interface::{Nanos, ServerId, ServerSnapshot, Snapshot};
use shalereel_journal::JournalError;
use thiserror::Error;

use crate::schema::{SchemaV1, SchemaV2, CURRENT_SCHEMA};

/// Magic number at the start of the file.
pub const MAGIC: &shalereel_journal::Magic = b"shlrmem1";

/// Reason why a snapshot file is rejected. Only the snapshot is lost.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The file's frames are damaged or have another format.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The file does not contain a record yet.
    #[error("the file does not contain a record yet")]
    Empty,
    /// The record has this schema number, which this program does not know.
    #[error("schema {0} is not supported (supported: 1 and 2); the file will be rewritten")]
    UnsupportedSchema(u16),
    /// The checksum is correct, but the record cannot be decoded.
    #[error("the checksum is correct, but the record cannot be decoded; the file will be rewritten")]
    Malformed,
    /// A number in the record is negative or not finite.
    #[error("a number in the record is negative or not finite; the file will be rewritten")]
    InvalidNumber,
}

/// State that a controller had learned at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredSnapshot {
    /// Time of the snapshot by the wall clock, ns since 1970.
    pub taken_at: Nanos,
    /// State that the controller had learned.
    pub learned: Snapshot,
    /// Incarnation (number of the last start) of each server about which state was learned; the state does not
    /// apply to a later incarnation.
    pub incarnations: BTreeMap<ServerId, u64>,
    /// Requests per second that each proxy received, by node id.
    pub proxy_rates: BTreeMap<String, f64>,
}

impl StoredSnapshot {
    /// Encodes the record of the file, without its frame.
    pub fn encode_record(&self) -> Vec<u8> {
        // Writing into a vector cannot fail.
        postcard::to_extend(&(CURRENT_SCHEMA, SchemaV2::from(self)), Vec::new()).unwrap_or_default()
    }

    /// Decodes the snapshot in a file; if the file has several records, the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is damaged, has an unknown schema, or contains a record that no
    /// supervisor writes; nothing of the file may be used then.
    pub fn decode_file(file: &[u8]) -> Result<Self, SnapshotError> {
        let records = shalereel_journal::records(file, MAGIC)?;
        let record = records.last().ok_or(SnapshotError::Empty)?.payload;
        let (schema, content) =
            postcard::take_from_bytes::<u16>(record).map_err(|_| SnapshotError::Malformed)?;
        let decoded = match schema {
            1 => SchemaV2::from(decode_exactly::<SchemaV1>(content)?),
            2 => decode_exactly(content)?,
            other => return Err(SnapshotError::UnsupportedSchema(other)),
        };
        StoredSnapshot::try_from(decoded)
    }

    /// Returns the learned state without servers that have since restarted or been removed.
    /// `current_incarnation` returns the incarnation of a listed server.
    pub fn for_current_incarnations(
        &self,
        current_incarnation: impl Fn(ServerId) -> Option<u64>,
    ) -> Snapshot {
        let same_incarnation = |learned: &&ServerSnapshot| {
            let current = current_incarnation(learned.server);
            current.is_some() && current == self.incarnations.get(&learned.server).copied()
        };
        let servers = self.learned.servers.iter().filter(same_incarnation).copied().collect();
        Snapshot { servers, ..self.learned.clone() }
    }
}

/// Decodes a value that takes up all of the bytes.
fn decode_exactly<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, SnapshotError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(SnapshotError::Malformed),
    }
}
