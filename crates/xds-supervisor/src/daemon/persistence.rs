//! Files of the daemon: endpoint list, table history and snapshot are read at the start and written while it runs. If
//! one of them cannot be read or written, the daemon logs it and keeps serving. The group's log is the exception: a
//! member does not start if it cannot be opened.

use std::fs;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::SystemTime;

use shalereel::interface::Nanos;
use shalereel_reactor::{now, MILLI};
use shalereel_snapshot::{SnapshotError, StoredSnapshot};
use shalereel_store::FileWrite;

use super::Daemon;
use crate::storage::{read_file, FileWriter, WriteRequest, SNAPSHOT_FILE, TABLE_HISTORY_FILE};

/// Name of the stored endpoint list in the deployment's folder.
const ENDPOINT_LIST_FILE: &str = "last-list.json";

/// Writers of the files (`None` for a file that is not written), and the state of their writes.
#[derive(Default)]
pub(super) struct Persistence {
    pub(super) group_log: Option<FileWriter>,
    table_history: Option<FileWriter>,
    snapshot: Option<FileWriter>,
    /// The last write failed. Failures in a row are logged once.
    table_history_failing: bool,
    snapshot_failing: bool,
    /// Sequence number of the last write of the table history or snapshot.
    last_sequence: u64,
    /// The endpoint list has changed since it was stored.
    pub(super) endpoint_list_due: bool,
}

impl Persistence {
    pub(super) fn write_snapshot(&mut self, body: Vec<u8>) {
        self.last_sequence += 1;
        if let Some(writer) = &self.snapshot {
            writer.write(WriteRequest {
                sequence: self.last_sequence,
                replaces_file: true,
                records: vec![body.into()],
            });
        }
    }

    pub(super) fn write_table_history(&mut self, write: FileWrite) {
        self.last_sequence += 1;
        if let Some(writer) = &self.table_history {
            writer.write(WriteRequest {
                sequence: self.last_sequence,
                replaces_file: write.replaces_file,
                records: write.records,
            });
        }
    }
}

impl Daemon {
    /// Loads the table versions of an earlier run, and sets the wall clock's offset. A rejected file is renamed.
    pub(super) fn load_table_history(&mut self, wake: UnixStream) {
        let folder = self.deployment.folder.clone();
        let file = read_file(&folder, TABLE_HISTORY_FILE).unwrap_or_else(|error| {
            tracing::warn!(%error, "table history unreadable");
            None
        });
        self.core.set_wall_clock_offset(wall_clock_offset());
        let complete_bytes = match self.core.load_tables(file.as_deref()) {
            Ok(complete_bytes) => file.map(|_| complete_bytes),
            Err(error) => {
                let path = folder.join(TABLE_HISTORY_FILE);
                let moved_to = folder.join(format!("{TABLE_HISTORY_FILE}.refused"));
                let moved = fs::rename(&path, &moved_to).is_ok();
                let (file, moved_to) = (path.display(), moved_to.display());
                tracing::warn!(%file, %error, moved, %moved_to, "table history rejected");
                None
            }
        };
        match FileWriter::open(&folder, TABLE_HISTORY_FILE, shalereel_store::MAGIC, complete_bytes, wake) {
            Ok(writer) => self.persistence.table_history = Some(writer),
            Err(error) => tracing::warn!(%error, "table history not persisted"),
        }
    }

    /// Loads the snapshot of an earlier run, and opens the snapshot file for writing.
    pub(super) fn load_snapshot(&mut self, wake: UnixStream) {
        if self.deployment.snapshot_disabled {
            return;
        }
        let folder = self.deployment.folder.clone();
        let file = match read_file(&folder, SNAPSHOT_FILE) {
            Ok(file) => file,
            Err(error) => return tracing::warn!(%error, "snapshot unreadable and not persisted"),
        };
        let complete_bytes = file.and_then(|file| self.restore_snapshot(&file));
        match FileWriter::open(&folder, SNAPSHOT_FILE, shalereel_snapshot::MAGIC, complete_bytes, wake) {
            Ok(writer) => self.persistence.snapshot = Some(writer),
            Err(error) => tracing::warn!(%error, "snapshot not persisted"),
        }
    }

    /// Passes a stored snapshot to the core. Returns the length of the file, or `None` if the file has to be rewritten.
    fn restore_snapshot(&mut self, file: &[u8]) -> Option<usize> {
        match StoredSnapshot::decode_file(file) {
            Ok(snapshot) => {
                match self.core.restore_snapshot(now(), snapshot) {
                    Ok(age) => tracing::info!(age_ms = age / MILLI, "snapshot restored"),
                    Err(reason) => tracing::warn!(%reason, "snapshot not restored"),
                }
                Some(file.len())
            }
            Err(SnapshotError::Empty) => None,
            Err(error) => {
                tracing::warn!(%error, "snapshot rejected");
                None
            }
        }
    }

    /// Handles the results of finished writes.
    pub(super) fn on_writes_done(&mut self) {
        let group_log = self.persistence.group_log.as_ref().and_then(FileWriter::take_result);
        if let Some((result, (group, _))) = group_log.zip(self.core.group()) {
            group.handle_log_write(now(), result.map_err(|error| error.to_string()));
        }
        let table_history = self.persistence.table_history.as_ref().and_then(FileWriter::take_result);
        if let Some(result) = table_history {
            self.on_table_history_written(result);
        }
        let snapshot = self.persistence.snapshot.as_ref().and_then(FileWriter::take_result);
        if let Some(result) = snapshot {
            self.on_snapshot_written(result);
        }
    }

    fn on_table_history_written(&mut self, result: io::Result<u64>) {
        let was_failing = std::mem::replace(&mut self.persistence.table_history_failing, result.is_err());
        match result {
            Err(error) => {
                self.core.table_write_failed();
                if !was_failing {
                    tracing::warn!(%error, "table history write failed; retrying with each new version");
                }
            }
            Ok(_) if was_failing => tracing::info!("table history writes recovered"),
            Ok(_) => {}
        }
    }

    fn on_snapshot_written(&mut self, result: io::Result<u64>) {
        let was_failing = std::mem::replace(&mut self.persistence.snapshot_failing, result.is_err());
        match result {
            Err(error) if !was_failing => {
                tracing::warn!(%error, "snapshot write failed; retrying with each new snapshot");
            }
            Ok(_) if was_failing => tracing::info!("snapshot writes recovered"),
            _ => {}
        }
    }

    /// Writes the endpoint list if it has changed since the last write.
    pub(super) fn store_endpoint_list(&mut self) {
        if !std::mem::take(&mut self.persistence.endpoint_list_due) {
            return;
        }
        if let Err(error) = write_endpoint_list(&self.deployment.folder, &self.core.endpoint_list_json()) {
            tracing::warn!(%error, "endpoint list not persisted");
        }
    }
}

/// Wall clock minus monotonic clock, ns.
fn wall_clock_offset() -> Nanos {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos();
    Nanos::try_from(wall).unwrap_or(0).saturating_sub(now())
}

/// Reads the endpoint list of an earlier run; `None` if there is none or it cannot be read.
pub(super) fn read_endpoint_list(folder: &Path) -> Option<Vec<u8>> {
    let path = folder.join(ENDPOINT_LIST_FILE);
    match fs::read(&path) {
        Ok(list) => Some(list),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            let file = path.display();
            tracing::warn!(%file, %error, "stored endpoint list unreadable; starting without it");
            None
        }
    }
}

/// Writes the list to a new file and renames it over the old one.
fn write_endpoint_list(folder: &Path, list: &[u8]) -> io::Result<()> {
    let new_path = folder.join(format!("{ENDPOINT_LIST_FILE}.new"));
    let mut file = fs::File::create(&new_path)?;
    file.write_all(list)?;
    fs::rename(new_path, folder.join(ENDPOINT_LIST_FILE))
}
