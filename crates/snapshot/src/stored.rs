//! The stored snapshot and its file.

use std::collections::BTreeMap;

use serde::Deserialize;
use shalereel::interface::{Nanos, ServerId, ServerSnapshot, Snapshot};
use shalereel_journal::JournalError;
use thiserror::Error;

use crate::schema::{SchemaV1, SchemaV2, CURRENT_SCHEMA};

/// First bytes of the file.
pub const MAGIC: &shalereel_journal::Magic = b"shlrmem1";

/// Why a file is rejected. Nothing but the snapshot is lost by that.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The file's frames are damaged or of another format.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// No record was written into the file yet.
    #[error("the file has no record yet")]
    Empty,
    /// The number of a schema that this program does not know.
    #[error("schema {0} is not supported, only 1 and 2 are; the file will be rewritten")]
    UnsupportedSchema(u16),
    /// The checksum is right, but the record cannot be decoded.
    #[error("the checksum is right but the record cannot be decoded; the file will be rewritten")]
    Malformed,
    /// A number is negative or not finite.
    #[error("a number is negative or not finite; the file will be rewritten")]
    InvalidNumber,
}

/// What a controller had learned at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredSnapshot {
    /// When it was taken, by the wall clock, ns since 1970.
    pub taken_at: Nanos,
    /// What the controller had learned.
    pub learned: Snapshot,
    /// Incarnation of each server that it was learned of: it does not hold for a later one.
    pub incarnations: BTreeMap<ServerId, u64>,
    /// Requests per second that came to proxies, by their node id.
    pub proxy_rates: BTreeMap<String, f64>,
}

impl StoredSnapshot {
    /// The record of the file, to be framed.
    pub fn encode_record(&self) -> Vec<u8> {
        // Writing into a vector does not fail.
        postcard::to_extend(&(CURRENT_SCHEMA, SchemaV2::from(self)), Vec::new()).unwrap_or_default()
    }

    /// Reads the newest snapshot of a file.
    ///
    /// # Errors
    ///
    /// Damage, another schema, or a record that no supervisor writes; nothing of the file is to be used then.
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

    /// What was learned, without servers that have restarted or were removed since. `current_incarnation` gives that of a
    /// listed server.
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

/// Decodes a value that takes up all the bytes.
fn decode_exactly<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, SnapshotError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(SnapshotError::Malformed),
    }
}
