//! A member's Raft log in memory: a snapshot, the entries after it, and up to which entry the file is synced.

use crate::wire::{Configuration, Entry, LogIndex, Snapshot};

/// A write to the log file that is not finished yet.
#[derive(Debug)]
struct WriteInFlight {
    sequence: u64,
    /// Index of the last entry that is synced when this write finishes.
    last_index: LogIndex,
}

/// A snapshot and the contiguous entries after it.
#[derive(Debug, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Index of the last entry that is synced, and so survives a crash.
    stored_index: LogIndex,
    writes_in_flight: Vec<WriteInFlight>,
}

impl Log {
    /// The log as read from the file at a start, all of it synced.
    pub(crate) fn recovered(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Log { snapshot, entries, stored_index: 0, writes_in_flight: Vec::new() };
        log.stored_index = log.last_index();
        log
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.last_included_index
    }

    /// Index of the last entry that is synced.
    pub(crate) fn stored_index(&self) -> LogIndex {
        self.stored_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.last_included_index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.last_included_term, |entry| entry.term)
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let position = index.checked_sub(self.snapshot_index() + 1)? as usize;
        (position < self.entries.len()).then_some(position)
    }

    /// Term of the entry at `index`; `None` if `index` is before the snapshot's last entry or after the log's last
    /// entry.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<u64> {
        if index == self.snapshot_index() {
            return Some(self.snapshot.last_included_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.position(index).map(|position| &self.entries[position])
    }

    pub(crate) fn entries_from(&self, index: LogIndex) -> &[Entry] {
        self.position(index).map_or(&[], |position| &self.entries[position..])
    }

    /// Index of the first entry in the log that has the same term as the entry at `index`.
    pub(crate) fn first_index_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else { return index };
        let mut first = index;
        while first > self.snapshot_index() + 1 && self.term_at(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Appends an entry at its index, which is at most one after the last index. Entries at this index and after it are
    /// removed first.
    pub(crate) fn append(&mut self, entry: Entry) {
        if let Some(position) = self.position(entry.index) {
            self.entries.truncate(position);
            let last_index = entry.index - 1;
            self.stored_index = self.stored_index.min(last_index);
            for write in &mut self.writes_in_flight {
                write.last_index = write.last_index.min(last_index);
            }
        }
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Records that a write covering all current entries has started.
    pub(crate) fn begin_write(&mut self, sequence: u64) {
        let last_index = self.last_index();
        self.writes_in_flight.push(WriteInFlight { sequence, last_index });
    }

    /// Records that all writes up to this sequence number are synced.
    pub(crate) fn finish_write(&mut self, sequence: u64) {
        let done = self.writes_in_flight.iter().filter(|write| write.sequence <= sequence);
        let synced = done.map(|write| write.last_index).max().unwrap_or(0);
        self.writes_in_flight.retain(|write| write.sequence > sequence);
        self.stored_index = self.stored_index.max(synced);
    }

    /// Index of the newest entry with a configuration, committed or not; the snapshot's index if there is none.
    pub(crate) fn configuration_index(&self) -> LogIndex {
        let newest = self.entries.iter().rev().find(|entry| entry.configuration.is_some());
        newest.map_or(self.snapshot_index(), |entry| entry.index)
    }

    /// The newest configuration, committed or not.
    pub(crate) fn configuration(&self) -> Configuration {
        self.configuration_at(LogIndex::MAX)
    }

    fn configuration_at(&self, index: LogIndex) -> Configuration {
        let mut entries = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let newest = entries.find_map(|entry| entry.configuration.as_ref());
        newest.or(self.snapshot.configuration.as_ref()).cloned().unwrap_or_default()
    }

    /// Replaces the entries up to `index` by a snapshot with this encoded state.
    pub(crate) fn compact(&mut self, index: LogIndex, state: Vec<u8>) {
        let Some(last_included_term) = self.term_at(index) else { return };
        let configuration = Some(self.configuration_at(index));
        if let Some(position) = self.position(index) {
            self.entries.drain(..=position);
        }
        self.snapshot = Snapshot {
            term: 0,
            last_included_index: index,
            last_included_term,
            configuration,
            state,
            heartbeat_round: 0,
        };
    }

    /// Installs a snapshot from a leader. Entries after it are kept only if this log has the snapshot's last entry with
    /// the same term.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let index = snapshot.last_included_index;
        if self.term_at(index) == Some(snapshot.last_included_term) {
            let kept_from = self.position(index).map_or(0, |position| position + 1);
            self.entries.drain(..kept_from);
        } else {
            self.entries.clear();
            self.stored_index = 0;
            self.writes_in_flight.clear();
        }
        self.snapshot = snapshot;
    }
}
