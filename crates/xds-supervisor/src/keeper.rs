//! The disk: a thread of its own writes and syncs what is kept, so that a slow disk holds up no table.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use anyhow::{Context, Result};
use bytes::Bytes;
use rustix::fs::{flock, FlockOperation, OFlags};
use shalereel_journal::{frame, Magic};

/// File of the group's log, and of the tables' versions, in the deployment's folder.
pub const LOG: &str = "group.log";
pub const TABLES: &str = "tables.log";
/// What was learned.
pub const MEMORY: &str = "memory.bin";
/// Held by the one supervisor that the folder belongs to.
const LOCK: &str = "lock";

/// Bodies to be written after what there is, or, `whole`, instead of it. Those that are written after it together are one
/// frame, one after another, so that no crash tears a hole between them: messages that may be merged, as protobuf has it.
#[derive(Clone, Debug)]
pub struct Block {
    pub number: u64,
    pub whole: bool,
    pub parts: Vec<Bytes>,
}

/// Takes writes, and tells which are done: the number of the last one, or why one failed. After a failed write nobody
/// knows what is on the disk: nothing but a whole file is written from then on.
pub struct Keeper {
    to: Sender<Block>,
    done: Receiver<Result<u64, String>>,
}

struct Disk {
    folder: PathBuf,
    name: &'static str,
    head: &'static Magic,
    file: File,
}

/// What a file holds; nothing where there is none. Errors: it cannot be read.
pub fn kept(folder: &Path, name: &str) -> Result<Option<Vec<u8>>> {
    let path = folder.join(name);
    let read = open(OpenOptions::new().read(true), &path).and_then(|mut file| {
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map(|_| bytes)
    });
    match read {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).with_context(|| path.display().to_string()),
    }
}

/// Links are not followed: whoever made one decides what is read and written.
fn open(options: &mut OpenOptions, path: &Path) -> io::Result<File> {
    options.custom_flags(OFlags::NOFOLLOW.bits() as i32).open(path)
}

/// Takes a folder for this process, until the value is dropped or the process ends, however it ends. Errors: another
/// process has it, or it cannot be written.
pub fn lock(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK);
    let file = open(OpenOptions::new().create(true).truncate(false).write(true), &path)
        .with_context(|| path.display().to_string())?;
    flock(&file, FlockOperation::NonBlockingLockExclusive).with_context(|| {
        format!(
            "folder {} belongs to another supervisor that runs; give each a folder of its own, or end that one",
            folder.display()
        )
    })?;
    Ok(file)
}

impl Keeper {
    /// Cuts what is not `whole` of the file away and starts the thread. A byte goes to `nudge` after each write.
    /// Errors: the file cannot be written.
    pub fn open(
        folder: &Path,
        name: &'static str,
        head: &'static Magic,
        whole: Option<usize>,
        nudge: UnixStream,
    ) -> Result<Self> {
        let disk =
            Disk::open(folder, name, head, whole).with_context(|| folder.join(name).display().to_string())?;
        let (to, from) = channel::<Block>();
        let (tell, done) = channel();
        thread::Builder::new().name(name.into()).spawn(move || keep(disk, &from, &tell, nudge))?;
        Ok(Keeper { to, done })
    }

    pub fn keep(&self, block: Block) {
        // Where the thread is gone, it has said why.
        let _ = self.to.send(block);
    }

    /// What was done since it was last asked; the first failure, if there was one.
    pub fn done(&self) -> Option<Result<u64, String>> {
        let mut last = None;
        for done in self.done.try_iter() {
            let failed = done.is_err();
            last = Some(done);
            if failed {
                break;
            }
        }
        last
    }
}

fn keep(mut disk: Disk, from: &Receiver<Block>, tell: &Sender<Result<u64, String>>, mut nudge: UnixStream) {
    let mut broken = false;
    while let Ok(first) = from.recv() {
        // All that came while the last sync ran is one batch, up to one that replaces the file.
        let mut blocks = vec![first];
        blocks.extend(from.try_iter());
        let number = blocks.last().map_or(0, |block| block.number);
        let from = blocks.iter().rposition(|block| block.whole);
        if broken && from.is_none() {
            continue;
        }
        let parts: Vec<Bytes> =
            blocks.into_iter().skip(from.unwrap_or(0)).flat_map(|block| block.parts).collect();
        let result = if from.is_some() { disk.replace(&parts) } else { disk.append(&parts) };
        broken = result.is_err();
        let said = tell.send(result.map(|()| number).map_err(|error| error.to_string()));
        let _ = nudge.write(&[1]);
        if said.is_err() {
            return;
        }
    }
}

impl Disk {
    fn open(
        folder: &Path,
        name: &'static str,
        head: &'static Magic,
        whole: Option<usize>,
    ) -> io::Result<Self> {
        let path = folder.join(name);
        let mut file = open(OpenOptions::new().create(true).truncate(false).write(true), &path)?;
        // A file that is shorter than its head was torn when it was made.
        let there = file.metadata()?.len() >= head.len() as u64;
        match whole.filter(|&whole| there && whole >= head.len()) {
            Some(whole) => file.set_len(whole as u64)?,
            None => {
                file.set_len(0)?;
                file.write_all(head)?;
            }
        }
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        let file = open(OpenOptions::new().append(true), &path)?;
        Ok(Disk { folder: folder.to_owned(), name, head, file })
    }

    fn append(&mut self, parts: &[Bytes]) -> io::Result<()> {
        self.file.write_all(&frame(&parts.concat()))?;
        self.file.sync_data()
    }

    /// Written whole beside the old one, synced, and renamed.
    fn replace(&mut self, parts: &[Bytes]) -> io::Result<()> {
        let fresh = self.folder.join(format!("{}.new", self.name));
        let mut file = File::create(&fresh)?;
        file.write_all(self.head)?;
        let mut file = io::BufWriter::new(file);
        parts.iter().try_for_each(|part| file.write_all(&frame(part)))?;
        let file = file.into_inner().map_err(io::IntoInnerError::into_error)?;
        file.sync_all()?;
        fs::rename(&fresh, self.folder.join(self.name))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(self.name))?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use shalereel_journal::records;

    use super::*;

    const HEAD: &Magic = b"testing1";

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("shalereel-keeper-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn block(number: u64, whole: bool, text: &str) -> Block {
        Block { number, whole, parts: vec![Bytes::copy_from_slice(text.as_bytes())] }
    }

    /// Writes all, and gives what the last write came to and what the file holds then.
    fn keep(folder: &Path, blocks: &[Block]) -> (Result<u64, String>, Vec<String>) {
        let before = kept(folder, TABLES).unwrap();
        let whole =
            before.map(|bytes| records(&bytes, HEAD).unwrap().last().map_or(HEAD.len(), |record| record.end));
        let (ours, theirs) = UnixStream::pair().unwrap();
        let keeper = Keeper::open(folder, TABLES, HEAD, whole, theirs).unwrap();
        let (begun, mut done) = (Instant::now(), Ok(0));
        for block in blocks {
            keeper.keep(block.clone());
            while !matches!(done, Ok(number) if number >= block.number) {
                assert!(begun.elapsed() < Duration::from_secs(10));
                done = keeper.done().unwrap_or(done);
                if done.is_err() {
                    break;
                }
                std::thread::yield_now();
            }
        }
        drop(ours);
        let bytes = kept(folder, TABLES).unwrap().unwrap();
        let found = records(&bytes, HEAD).unwrap();
        (done, found.iter().map(|record| String::from_utf8(record.payload.to_vec()).unwrap()).collect())
    }

    #[test]
    fn a_torn_tail_is_cut_and_what_was_synced_is_read_back() {
        let folder = folder("torn");
        assert_eq!(keep(&folder, &[block(1, false, "a"), block(2, false, "b")]).1, ["a", "b"]);
        let path = folder.join(TABLES);
        let torn = frame(b"torn");
        fs::write(&path, [&fs::read(&path).unwrap()[..], &torn[..torn.len() - 1]].concat()).unwrap();
        assert_eq!(keep(&folder, &[block(1, false, "c")]).1, ["a", "b", "c"]);
        assert_eq!(keep(&folder, &[block(1, true, "d"), block(2, false, "e")]).1, ["d", "e"]);
        // A file that was torn when it was made.
        fs::write(&path, &HEAD[..3]).unwrap();
        assert_eq!(keep(&folder, &[block(1, false, "f")]).1, ["f"]);
        let _ = fs::remove_dir_all(folder);
    }

    #[test]
    fn a_disk_that_takes_nothing_is_told_and_a_whole_file_makes_it_good() {
        let folder = folder("full");
        assert_eq!(keep(&folder, &[block(1, false, "a")]).1, ["a"]);
        // Where the fresh file should be stands a folder: what the disk says is an error.
        let fresh = folder.join(format!("{TABLES}.new"));
        fs::create_dir(&fresh).unwrap();
        let (done, held) = keep(&folder, &[block(1, true, "b")]);
        assert!(done.is_err() && held == ["a"], "{done:?} {held:?}");
        fs::remove_dir(&fresh).unwrap();
        assert_eq!(keep(&folder, &[block(1, true, "c")]).1, ["c"]);
        let _ = fs::remove_dir_all(folder);
    }
}
