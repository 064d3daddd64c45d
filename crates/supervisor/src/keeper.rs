//! The disk of a member: a thread of its own writes and syncs, so that a slow disk holds up no table.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use anyhow::{Context, Result};
use shalereel_group::{encode, Recovered, Writing, HEAD};

/// File of the group's log, in the deployment's folder.
pub const LOG: &str = "group.log";

/// Takes writes, and tells which are done: the number of the last one, or why none will be any more.
pub struct Keeper {
    to: Sender<Writing>,
    done: Receiver<Result<u64, String>>,
}

struct Disk {
    folder: PathBuf,
    file: File,
}

impl Keeper {
    /// Reads what is kept, cuts a torn tail away, and starts the thread. A byte goes to `nudge` after each write.
    /// Errors: the file is damaged, or cannot be read or written.
    pub fn open(folder: &Path, nudge: UnixStream) -> Result<(Self, Option<Recovered>)> {
        let path = folder.join(LOG);
        let kept = match fs::read(&path) {
            Ok(bytes) => {
                let kept = Recovered::read(&bytes).with_context(|| path.display().to_string())?;
                if kept.whole < bytes.len() {
                    let torn = bytes.len() - kept.whole;
                    tracing::warn!(file = %path.display(), torn, "a torn tail is cut away");
                }
                Some(kept)
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error).with_context(|| path.display().to_string()),
        };
        let whole = kept.as_ref().map(|kept| kept.whole as u64);
        let disk = Disk::open(folder, whole).with_context(|| path.display().to_string())?;
        let (to, from) = channel::<Writing>();
        let (tell, done) = channel();
        thread::Builder::new().name("keeper".into()).spawn(move || keep(disk, &from, &tell, nudge))?;
        Ok((Keeper { to, done }, kept))
    }

    pub fn keep(&self, writing: Writing) {
        // Where the thread is gone, it has said why.
        let _ = self.to.send(writing);
    }

    /// What was done since it was last asked.
    pub fn done(&self) -> Option<Result<u64, String>> {
        self.done.try_iter().last()
    }
}

fn keep(mut disk: Disk, from: &Receiver<Writing>, tell: &Sender<Result<u64, String>>, mut nudge: UnixStream) {
    while let Ok(first) = from.recv() {
        // All that came while the last sync ran is one batch, up to one that replaces the file.
        let mut writings = vec![first];
        writings.extend(from.try_iter());
        let number = writings.last().map_or(0, |writing| writing.number);
        let from = writings.iter().rposition(|writing| writing.whole);
        let records: Vec<_> =
            writings.into_iter().skip(from.unwrap_or(0)).flat_map(|writing| writing.records).collect();
        let bytes = encode(&records);
        let result = if from.is_some() { disk.replace(&bytes) } else { disk.append(&bytes) };
        let over = result.is_err();
        let said = tell.send(result.map(|()| number).map_err(|error| error.to_string()));
        let _ = nudge.write(&[1]);
        // After a failed sync nobody knows what is on the disk.
        if over || said.is_err() {
            return;
        }
    }
}

impl Disk {
    fn open(folder: &Path, whole: Option<u64>) -> io::Result<Self> {
        let path = folder.join(LOG);
        let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(&path)?;
        match whole {
            Some(whole) => file.set_len(whole)?,
            None => file.write_all(HEAD)?,
        }
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        let mut file = OpenOptions::new().append(true).open(&path)?;
        file.flush()?;
        Ok(Disk { folder: folder.to_owned(), file })
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }

    /// Written whole beside the old one, synced, and renamed.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let fresh = self.folder.join(format!("{LOG}.new"));
        let mut file = File::create(&fresh)?;
        file.write_all(HEAD)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&fresh, self.folder.join(LOG))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(LOG))?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use shalereel_group::wire::{Entry, Kept, Record};

    use super::*;

    fn entry(index: u64) -> Record {
        Record { kept: Some(Kept::Entry(Entry { index, term: 1, command: None, seats: None })) }
    }

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("shalereel-keeper-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn keep(folder: &Path, writings: &[Writing]) -> Option<Recovered> {
        let (ours, theirs) = UnixStream::pair().unwrap();
        let (keeper, kept) = Keeper::open(folder, theirs).unwrap();
        let last = writings.last().map_or(0, |writing| writing.number);
        writings.iter().for_each(|writing| keeper.keep(writing.clone()));
        let begun = Instant::now();
        while last > 0 && keeper.done().is_none_or(|done| done != Ok(last)) {
            assert!(begun.elapsed() < Duration::from_secs(10));
            std::thread::yield_now();
        }
        drop(ours);
        kept
    }

    #[test]
    fn a_torn_tail_is_cut_and_what_was_synced_is_read_back() {
        let folder = folder("torn");
        let append = |number, index| Writing { number, whole: false, records: vec![entry(index)] };
        assert_eq!(keep(&folder, &[append(1, 1), append(2, 2)]), None);
        let log = folder.join(LOG);
        let whole = fs::read(&log).unwrap();
        let torn = encode(&[entry(3)]);
        fs::write(&log, [&whole[..], &torn[..torn.len() - 1]].concat()).unwrap();
        let kept = keep(&folder, &[append(1, 3)]).unwrap();
        assert_eq!((kept.entries.len(), kept.whole), (2, whole.len()));
        let again = Writing { number: 1, whole: true, records: vec![entry(7)] };
        assert_eq!(keep(&folder, &[again]).unwrap().entries.len(), 3);
        assert_eq!(keep(&folder, &[]).unwrap().entries[0].index, 7);
        let _ = fs::remove_dir_all(folder);
    }

    #[test]
    fn damage_before_whole_batches_is_told_and_nothing_is_lost() {
        let folder = folder("damaged");
        let batches: Vec<u8> = (1..4).flat_map(|index| encode(&[entry(index)])).collect();
        let mut bytes = [&HEAD[..], &batches[..]].concat();
        bytes[HEAD.len() + 9] ^= 1;
        fs::write(folder.join(LOG), &bytes).unwrap();
        let (_, theirs) = UnixStream::pair().unwrap();
        let error = format!("{:#}", Keeper::open(&folder, theirs).err().unwrap());
        assert!(error.contains("group.log") && error.contains("damaged at byte 8"), "{error}");
        assert_eq!(fs::read(folder.join(LOG)).unwrap(), bytes);
        let _ = fs::remove_dir_all(folder);
    }
}
