//! The versioned tables of one supervisor. Proxies are sent the newest version of a table; older versions are retained within
//! limits. The caller takes the resulting writes to the history file from the store.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use shalereel::interface::{Nanos, ServerId, TableId};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::{self, TableBase};
use crate::delta::Delta;
use crate::digest::{Check, Salt};
use crate::history::{ChangesSince, TableHistory};
use crate::line::{Line, Lines};
use crate::retention::RetentionLimits;
use crate::version::{Provenance, Version, VersionNumber};

/// The file is rewritten once it is this many times as long as the retained versions.
const MAX_FILE_RATIO: usize = 2;
/// For the decision to rewrite the file, the retained versions count as at least this many bytes.
const MIN_REWRITE_BYTES: usize = 1 << 16;

/// Records to be written to the history file, framed by `shalereel_journal`: each in a frame of its own, or all records of one
/// write concatenated in one frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileWrite {
    /// Whether the records replace the file's content; otherwise they are appended.
    pub replaces_file: bool,
    /// Encoded records in the order of the file.
    pub records: Vec<Bytes>,
}

/// Size of the retained history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistorySize {
    /// Bytes of the encoded versions.
    pub bytes: usize,
    /// Number of versions of all tables.
    pub versions: usize,
}

/// A retained version in its encoded form.
#[derive(Clone, Debug)]
pub(crate) struct EncodedVersion {
    pub(crate) number: VersionNumber,
    pub(crate) table: TableId,
    pub(crate) record: Bytes,
}

/// The versioned tables of one supervisor.
#[derive(Clone, Debug)]
pub struct Store {
    pub(crate) tables: BTreeMap<TableId, TableHistory>,
    /// Number of the newest version of all tables.
    pub(crate) last_number: VersionNumber,
    pub(crate) limits: RetentionLimits,
    pub(crate) seed: u64,
    /// Encoded records of the retained versions in the order of their numbers. They are reused when the file is rewritten.
    encoded: VecDeque<EncodedVersion>,
    encoded_bytes: usize,
    /// Bytes of the records in the file so far.
    file_bytes: usize,
    /// Whether the next write replaces the file's content.
    rewrite_due: bool,
    writes: Vec<FileWrite>,
}

impl Store {
    /// Creates an empty store. `seed`: of the digests' salts.
    pub fn new(limits: RetentionLimits, seed: u64) -> Self {
        Store {
            tables: BTreeMap::new(),
            last_number: 0,
            limits,
            seed,
            encoded: VecDeque::new(),
            encoded_bytes: 0,
            file_bytes: 0,
            rewrite_due: true,
            writes: Vec::new(),
        }
    }

    /// Publishes a new version if any line differs from the newest one; returns its number, or `None` if no line differs.
    /// `touched`: servers whose lines may have changed, with their current lines. `now`: wall-clock time, ns since 1970.
    pub fn publish(
        &mut self,
        table: TableId,
        touched: impl IntoIterator<Item = (ServerId, Option<Line>)>,
        now: Nanos,
        provenance: &Provenance,
    ) -> Option<VersionNumber> {
        let number = self.last_number + 1;
        let new_salt = self.salt(number);
        let history = self.tables.entry(table).or_default();
        let changes = history.set_lines(touched);
        if changes.is_empty() {
            return None;
        }
        history.update_digest_for_published(&changes, new_salt);
        let version = Version {
            number,
            table,
            parent: history.newest(),
            published_at: now,
            provenance: provenance.clone(),
            digest: history.digest,
            salt: history.salt,
            changes,
        };
        let record = codec::encode_version(&version);
        history.versions.push_back(version);
        self.last_number = number;
        self.retain_encoded(EncodedVersion { number, table, record: record.clone() });
        self.drop_over_limits(now);
        self.write(record);
        Some(number)
    }

    fn salt(&self, number: VersionNumber) -> Salt {
        xxh3_64(&[self.seed.to_le_bytes(), number.to_le_bytes()].concat())
    }

    pub(crate) fn retain_encoded(&mut self, version: EncodedVersion) {
        self.encoded_bytes += version.record.len();
        self.encoded.push_back(version);
    }

    /// Drops the oldest versions until all limits are kept. A table keeps its lines and the number of its newest version.
    fn drop_over_limits(&mut self, now: Nanos) {
        while let Some(EncodedVersion { number, table, record }) = self.encoded.front() {
            let Some(history) = self.tables.get_mut(table) else { return };
            let within_limits = self.encoded.len() <= self.limits.versions
                && self.encoded_bytes <= self.limits.bytes
                && now.saturating_sub(history.oldest_published_at()) <= self.limits.age;
            if within_limits {
                return;
            }
            history.drop_oldest(*number);
            self.encoded_bytes -= record.len();
            self.encoded.pop_front();
        }
    }

    fn write(&mut self, record: Bytes) {
        let max_file_bytes = MAX_FILE_RATIO * self.encoded_bytes.max(MIN_REWRITE_BYTES);
        if self.rewrite_due || self.file_bytes > max_file_bytes {
            let records = self.all_records();
            self.rewrite_due = false;
            self.file_bytes = records.iter().map(Bytes::len).sum();
            self.writes.push(FileWrite { replaces_file: true, records });
        } else {
            self.file_bytes += record.len();
            self.writes.push(FileWrite { replaces_file: false, records: vec![record] });
        }
    }

    /// All records of a rewritten file.
    fn all_records(&self) -> Vec<Bytes> {
        let base = |(&table, history): (&TableId, &TableHistory)| {
            codec::encode_base(&TableBase {
                table,
                number: history.base,
                published_at: history.base_published_at,
                lines: history.lines_at(history.base),
                last_number: self.last_number,
            })
        };
        let versions = self.encoded.iter().map(|version| version.record.clone());
        self.tables.iter().map(base).chain(versions).collect()
    }

    /// Takes the pending writes to the history file, in order.
    pub fn take_writes(&mut self) -> Vec<FileWrite> {
        std::mem::take(&mut self.writes)
    }

    /// Records that a write has failed. The next write replaces the whole file, so that it contains the missing records too.
    pub fn write_failed(&mut self) {
        self.rewrite_due = true;
    }

    /// The lines of a table's newest version.
    pub fn lines(&self, table: TableId) -> impl Iterator<Item = (ServerId, &Line)> {
        let lines = self.tables.get(&table).into_iter().flat_map(|history| &history.lines);
        lines.map(|(&server, line)| (server, line))
    }

    /// A server's line in a table's newest version.
    pub fn line(&self, table: TableId, server: ServerId) -> Option<&Line> {
        self.tables.get(&table)?.lines.get(&server)
    }

    /// The tables of which at least one version was published.
    pub fn tables(&self) -> impl Iterator<Item = TableId> + '_ {
        self.tables.keys().copied()
    }

    /// Number of a table's newest version; 0 if it was never published.
    pub fn newest_version(&self, table: TableId) -> VersionNumber {
        self.tables.get(&table).map_or(0, TableHistory::newest)
    }

    /// Number and digest of a table's newest version.
    pub fn check(&self, table: TableId) -> Option<Check> {
        self.tables.get(&table).map(TableHistory::check)
    }

    /// The retained versions of all tables, the oldest first.
    pub fn versions(&self) -> Vec<&Version> {
        let mut versions: Vec<&Version> =
            self.tables.values().flat_map(|history| &history.versions).collect();
        versions.sort_unstable_by_key(|version| version.number);
        versions
    }

    /// A retained version.
    pub fn version(&self, number: VersionNumber) -> Option<&Version> {
        self.tables.values().find_map(|history| history.version(number))
    }

    /// The table that a version belongs to, and its lines as of that version; `None` if the version is not known any more.
    pub fn lines_at(&self, number: VersionNumber) -> Option<(TableId, Lines)> {
        let (&table, history) = self.tables.iter().find(|(_, history)| history.can_reconstruct(number))?;
        Some((table, history.lines_at(number)))
    }

    /// The servers whose lines have changed since a version of a table; `None` if the version is not known any more.
    pub fn changes_since(&self, table: TableId, from: VersionNumber) -> Option<ChangesSince> {
        self.tables.get(&table)?.changes_since(from)
    }

    /// The delta to the newest version of a table for a receiver that has version `base` or a later one. It is the complete
    /// table if `base` is 0 or not known any more. `None` if the table was never published.
    pub fn delta_from(&self, table: TableId, base: VersionNumber) -> Option<Delta> {
        self.tables.get(&table).map(|history| history.delta_from(base))
    }

    /// The version of a table that a proxy's check refers to: a retained version with the same number and digest, or the
    /// newest version if its digest is the same, since another supervisor may have given it another number. 0 if there is
    /// none.
    pub fn recognize(&self, table: TableId, check: &Check) -> VersionNumber {
        self.tables.get(&table).map_or(0, |history| history.recognize(check))
    }

    /// Size of the retained history.
    pub fn size(&self) -> HistorySize {
        HistorySize { bytes: self.encoded_bytes, versions: self.encoded.len() }
    }
}
