//! Loads the history file that an earlier run has written.

use crate::codec::{decode_frame, StoreError, StoredRecord, StoredVersion, TableBase, MAGIC};
use crate::history::TableHistory;
use crate::line::replace_line;
use crate::store::{EncodedVersion, Store};
use crate::version::{LineChange, Version, VersionNumber};

impl Store {
    /// Replaces the content of the store by that of a history file. Returns the number of intact bytes: the caller truncates
    /// the file there, so that a torn frame at its end is removed.
    ///
    /// # Errors
    ///
    /// The file is damaged or of another format, or a version does not match the versions before it. In these cases
    /// the store is unchanged.
    pub fn load(&mut self, file: &[u8]) -> Result<usize, StoreError> {
        let mut loaded = Store::new(self.limits, self.seed);
        let mut intact_bytes = MAGIC.len().min(file.len());
        let mut last_loaded = 0;
        for frame in shalereel_journal::records(file, MAGIC)? {
            let malformed = || StoreError::Malformed { offset: frame.end };
            for record in decode_frame(frame.payload).ok_or_else(malformed)? {
                match record.ok_or_else(malformed)? {
                    StoredRecord::Base(base) => loaded.load_base(base),
                    StoredRecord::Version(version) => {
                        last_loaded = loaded.load_version(version, last_loaded)?;
                    }
                }
            }
            intact_bytes = frame.end;
        }
        *self = loaded;
        Ok(intact_bytes)
    }

    fn load_base(&mut self, base: TableBase) {
        let TableBase { table, number, published_at, lines, last_number } = base;
        self.last_number = self.last_number.max(last_number).max(number);
        self.tables.insert(table, TableHistory::from_base(number, published_at, lines));
    }

    /// Appends a version to those loaded so far, the newest of which is `last_loaded`; returns its number.
    fn load_version(
        &mut self,
        stored: StoredVersion,
        last_loaded: VersionNumber,
    ) -> Result<VersionNumber, StoreError> {
        let StoredVersion { number, table, parent, published_at, provenance, digest, salt, changes, encoded } =
            stored;
        let history = self.tables.entry(table).or_default();
        let changes: Vec<LineChange> = changes
            .into_iter()
            .map(|(server, after)| {
                let before = replace_line(&mut history.lines, server, after);
                LineChange { server, before, after }
            })
            .collect();
        history.update_digest_for_loaded(&changes, salt);
        let follows = parent == history.newest() && number > last_loaded.max(history.base);
        if history.digest != digest || !follows {
            return Err(StoreError::Inconsistent { number });
        }
        history.versions.push_back(Version {
            number,
            table,
            parent,
            published_at,
            provenance,
            digest,
            salt,
            changes,
        });
        self.last_number = self.last_number.max(number);
        self.retain_encoded(EncodedVersion { number, table, record: encoded });
        Ok(number)
    }
}
