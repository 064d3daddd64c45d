//! The log as one member has it: a snapshot up to its base, entries after it, and how much of it is kept safely.

use crate::wire::{Configuration, Entry, LogIndex, Snapshot};

/// Entries from the base on, without holes.
#[derive(Debug, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// What would survive a crash.
    stored_index: LogIndex,
    /// Writes that are under way, and how far each one reaches.
    writes_in_flight: Vec<(u64, LogIndex)>,
}

impl Log {
    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn stored_index(&self) -> LogIndex {
        self.stored_index
    }

    pub(crate) fn last_index_and_term(&self) -> (LogIndex, u64) {
        self.entries
            .last()
            .map_or((self.snapshot.last_included_index, self.snapshot.last_included_term), |entry| {
                (entry.index, entry.term)
            })
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        index
            .checked_sub(self.snapshot.last_included_index + 1)
            .map(|at| at as usize)
            .filter(|&at| at < self.entries.len())
    }

    /// Nothing where it lies before the base or after the end.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<u64> {
        if index == self.snapshot.last_included_index {
            return Some(self.snapshot.last_included_term);
        }
        self.position(index).map(|at| self.entries[at].term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.position(index).map(|at| &self.entries[at])
    }

    pub(crate) fn entries_from(&self, index: LogIndex) -> &[Entry] {
        self.position(index).map_or(&[], |at| &self.entries[at..])
    }

    /// The first entry of the term that the one at `index` belongs to.
    pub(crate) fn first_index_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else { return index };
        let mut first = index;
        while first > self.snapshot.last_included_index + 1 && self.term_at(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Puts an entry at its index; those there and after it are no more. It must follow what is held.
    pub(crate) fn append(&mut self, entry: Entry) {
        if let Some(at) = self.position(entry.index) {
            self.entries.truncate(at);
            self.stored_index = self.stored_index.min(entry.index - 1);
            self.writes_in_flight.iter_mut().for_each(|(_, reach)| *reach = (*reach).min(entry.index - 1));
        }
        debug_assert_eq!(entry.index, self.last_index_and_term().0 + 1);
        self.entries.push(entry);
    }

    /// A write that covers all that is held now has begun.
    pub(crate) fn begin_write(&mut self, number: u64) {
        let reach = self.last_index_and_term().0;
        self.writes_in_flight.push((number, reach));
    }

    /// All writes up to this one are done.
    pub(crate) fn finish_write(&mut self, number: u64) {
        let reach =
            self.writes_in_flight.iter().filter(|(of, _)| *of <= number).map(|(_, reach)| *reach).max();
        self.writes_in_flight.retain(|(of, _)| *of > number);
        self.stored_index = self.stored_index.max(reach.unwrap_or(0));
    }

    /// The seats as the newest entry has them, whether committed or not, and that entry's index.
    pub(crate) fn latest_configuration(&self) -> (LogIndex, Configuration) {
        let newest = self.entries.iter().rev().find(|entry| entry.configuration.is_some());
        match newest {
            Some(entry) => (entry.index, entry.configuration.clone().unwrap_or_default()),
            None => {
                (self.snapshot.last_included_index, self.snapshot.configuration.clone().unwrap_or_default())
            }
        }
    }

    fn configuration_at(&self, index: LogIndex) -> Configuration {
        let newest =
            self.entries.iter().rev().find(|entry| entry.configuration.is_some() && entry.index <= index);
        newest
            .and_then(|entry| entry.configuration.clone())
            .or_else(|| self.snapshot.configuration.clone())
            .unwrap_or_default()
    }

    /// Entries up to `index` become the snapshot `state`.
    pub(crate) fn compact(&mut self, index: LogIndex, state: Vec<u8>) {
        let Some(index_term) = self.term_at(index) else { return };
        let seats = Some(self.configuration_at(index));
        if let Some(at) = self.position(index) {
            self.entries.drain(..=at);
        }
        self.snapshot = Snapshot {
            term: 0,
            last_included_index: index,
            last_included_term: index_term,
            configuration: seats,
            state,
            heartbeat_round: 0,
        };
    }

    /// Replaced by a leader's snapshot; what follows it and agrees with it stays.
    pub(crate) fn restore(&mut self, base: Snapshot) {
        if self.term_at(base.last_included_index) == Some(base.last_included_term) {
            let at = self.position(base.last_included_index).map_or(0, |at| at + 1);
            self.entries.drain(..at);
        } else {
            self.entries.clear();
            self.stored_index = 0;
            self.writes_in_flight.clear();
        }
        self.snapshot = base;
    }

    /// As read back from a file: all of it is stored.
    pub(crate) fn recovered(base: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Log { snapshot: base, entries, stored_index: 0, writes_in_flight: Vec::new() };
        log.stored_index = log.last_index_and_term().0;
        log
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
