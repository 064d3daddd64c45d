//! Reads the history file that an earlier run wrote.

use crate::codec::{decode_frame, StoreError, StoredRecord, TableBase, VersionRead, MAGIC};
use crate::history::TableHistory;
use crate::line::replace_line;
use crate::store::{EncodedVersion, Store};
use crate::version::{LineChange, Version, VersionNumber};

impl Store {
    /// Replaces everything by the content of a history file. Gives how many bytes of the file are intact: a torn frame at
    /// its end is to be cut away.
    ///
    /// # Errors
    ///
    /// Damage, another format, or a version that does not follow from those before it; the store is unchanged then.
    pub fn load(&mut self, file: &[u8]) -> Result<usize, StoreError> {
        let mut loaded = Store::new(self.limits, self.seed);
        let mut intact_bytes = MAGIC.len().min(file.len());
        let mut last_loaded = 0;
        for frame in shalereel_journal::records(file, MAGIC)? {
            let malformed = || StoreError::Malformed { at: frame.end };
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

    /// Adds a version behind those loaded so far, the last of which was `last_loaded`; gives its number.
    fn load_version(
        &mut self,
        read: VersionRead,
        last_loaded: VersionNumber,
    ) -> Result<VersionNumber, StoreError> {
        let VersionRead { number, table, parent, published_at, provenance, digest, salt, changes, encoded } =
            read;
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
