//! Files of the deployment's folder: the lock, reading, and a [`FileWriter`] thread for each journal file. Called by
//! the daemon.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use bytes::Bytes;
use rustix::fs::{flock, FlockOperation, OFlags};
use shalereel_journal::{frame, Magic};
use thiserror::Error;

/// Name of the group's log in the deployment's folder.
pub const GROUP_LOG_FILE: &str = "group.log";
/// Name of the table history in the deployment's folder.
pub const TABLE_HISTORY_FILE: &str = "tables.log";
/// Name of the controller's snapshot in the deployment's folder.
pub const SNAPSHOT_FILE: &str = "memory.bin";
/// Name of the lock file, which the one supervisor that uses the folder holds locked.
const LOCK_FILE: &str = "lock";

/// Error about the folder, a file of it, or a writer thread.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file cannot be opened, read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// Another process holds the folder's lock.
    #[error(
        "folder {} belongs to another supervisor that runs; give each supervisor its own folder, or stop the other one: {error}",
        folder.display()
    )]
    Locked {
        /// Folder of the deployment.
        folder: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The thread of a writer cannot be started.
    #[error("cannot start a writer thread: {0}")]
    Thread(io::Error),
}

/// Records for a [`FileWriter`]. Records that are appended together form one frame, so that a crash keeps or loses all
/// of them: their concatenation must be a valid message, as protobuf messages merge when concatenated.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// Number of the write, reported when the write is done.
    pub sequence: u64,
    /// The records replace the whole file; otherwise they are appended.
    pub replaces_file: bool,
    /// Payloads of the frames.
    pub records: Vec<Bytes>,
}

/// A thread that writes and syncs one file, so that a slow disk does not delay tables. After a failed write the content
/// of the file is unknown, and only a request that replaces the file is executed next.
pub struct FileWriter {
    requests: Sender<WriteRequest>,
    results: Receiver<io::Result<u64>>,
}

/// Reads a file; `None` if it does not exist.
///
/// # Errors
///
/// The file cannot be read, or is a symbolic link.
pub fn read_file(folder: &Path, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let path = folder.join(name);
    let content = open_no_follow(OpenOptions::new().read(true), &path).and_then(|mut file| {
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map(|_| bytes)
    });
    match content {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(StorageError::File { path, error }),
    }
}

/// Opens a file unless it is a symbolic link. Guards against links that redirect reads and writes out of the folder.
/// Files that `replace` creates, and the endpoint list's files, are opened without this check.
fn open_no_follow(options: &mut OpenOptions, path: &Path) -> io::Result<File> {
    options.custom_flags(OFlags::NOFOLLOW.bits() as i32).open(path)
}

/// Locks a folder for this process, until the returned file is dropped or the process ends.
///
/// # Errors
///
/// Another process holds the lock, or the lock file cannot be opened.
pub fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_FILE);
    let file = open_no_follow(OpenOptions::new().create(true).truncate(false).write(true), &path)
        .map_err(|error| StorageError::File { path, error })?;
    flock(&file, FlockOperation::NonBlockingLockExclusive)
        .map_err(|error| StorageError::Locked { folder: folder.to_owned(), error: error.into() })?;
    Ok(file)
}

impl FileWriter {
    /// Truncates the file to its `complete_bytes` and starts the thread, which writes a byte to `wake` after each
    /// write.
    ///
    /// # Errors
    ///
    /// The file cannot be written, or the thread cannot be started.
    pub fn open(
        folder: &Path,
        name: &'static str,
        magic: &'static Magic,
        complete_bytes: Option<usize>,
        wake: UnixStream,
    ) -> Result<Self, StorageError> {
        let file = JournalFile::open(folder, name, magic, complete_bytes)
            .map_err(|error| StorageError::File { path: folder.join(name), error })?;
        let (requests, received) = channel();
        let (reported, results) = channel();
        thread::Builder::new()
            .name(name.into())
            .spawn(move || write_requests(file, &received, &reported, wake))
            .map_err(StorageError::Thread)?;
        Ok(FileWriter { requests, results })
    }

    /// Queues a write.
    pub fn write(&self, request: WriteRequest) {
        // The thread runs as long as this writer exists, unless it panics.
        let _ = self.requests.send(request);
    }

    /// The sequence number of the last write that was done since the last call, or the first failure since then.
    pub fn take_result(&self) -> Option<io::Result<u64>> {
        let mut last = None;
        for result in self.results.try_iter() {
            let failed = result.is_err();
            last = Some(result);
            if failed {
                break;
            }
        }
        last
    }
}

/// Body of the writer's thread.
fn write_requests(
    mut file: JournalFile,
    requests: &Receiver<WriteRequest>,
    results: &Sender<io::Result<u64>>,
    mut wake: UnixStream,
) {
    let mut failed = false;
    while let Ok(first) = requests.recv() {
        // Requests that arrived during the last sync form one batch, which begins with the last one that replaces the
        // file.
        let mut batch = vec![first];
        batch.extend(requests.try_iter());
        let sequence = batch.last().map_or(0, |request| request.sequence);
        let replacement = batch.iter().rposition(|request| request.replaces_file);
        if failed && replacement.is_none() {
            continue;
        }
        let records: Vec<Bytes> =
            batch.into_iter().skip(replacement.unwrap_or(0)).flat_map(|request| request.records).collect();
        let result = if replacement.is_some() { file.replace(&records) } else { file.append(&records) };
        failed = result.is_err();
        let reported = results.send(result.map(|()| sequence));
        let _ = wake.write(&[1]);
        if reported.is_err() {
            return;
        }
    }
}

/// A file of frames, open for appending.
struct JournalFile {
    folder: PathBuf,
    name: &'static str,
    magic: &'static Magic,
    file: File,
}

impl JournalFile {
    fn open(
        folder: &Path,
        name: &'static str,
        magic: &'static Magic,
        complete_bytes: Option<usize>,
    ) -> io::Result<Self> {
        let path = folder.join(name);
        let mut file = open_no_follow(OpenOptions::new().create(true).truncate(false).write(true), &path)?;
        // A file shorter than its magic is the torn write of a crash during its creation.
        let has_magic = file.metadata()?.len() >= magic.len() as u64;
        match complete_bytes.filter(|&bytes| has_magic && bytes >= magic.len()) {
            Some(bytes) => file.set_len(bytes as u64)?,
            None => {
                file.set_len(0)?;
                file.write_all(magic)?;
            }
        }
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        let file = open_no_follow(OpenOptions::new().append(true), &path)?;
        Ok(JournalFile { folder: folder.to_owned(), name, magic, file })
    }

    fn append(&mut self, records: &[Bytes]) -> io::Result<()> {
        self.file.write_all(&frame(&records.concat()))?;
        self.file.sync_data()
    }

    /// Writes the records to a new file, syncs it, and renames it over the old one.
    fn replace(&mut self, records: &[Bytes]) -> io::Result<()> {
        let new_path = self.folder.join(format!("{}.new", self.name));
        let mut file = File::create(&new_path)?;
        file.write_all(self.magic)?;
        let mut file = io::BufWriter::new(file);
        records.iter().try_for_each(|record| file.write_all(&frame(record)))?;
        let file = file.into_inner().map_err(io::IntoInnerError::into_error)?;
        file.sync_all()?;
        fs::rename(&new_path, self.folder.join(self.name))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(self.name))?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
