//! The log as one member has it: a snapshot up to its base, entries after it, and how much of it is kept safely.

use crate::wire::{Entry, Index, Seats, Snapshot};

/// Entries from the base on, without holes.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Snapshot,
    entries: Vec<Entry>,
    /// What would survive a crash.
    stored: Index,
    /// Writes that are under way, and how far each one reaches.
    writing: Vec<(u64, Index)>,
}

impl Log {
    pub(crate) fn base(&self) -> &Snapshot {
        &self.base
    }

    pub(crate) fn stored(&self) -> Index {
        self.stored
    }

    pub(crate) fn last(&self) -> (Index, u64) {
        self.entries.last().map_or((self.base.index, self.base.index_term), |entry| (entry.index, entry.term))
    }

    fn at(&self, index: Index) -> Option<usize> {
        index.checked_sub(self.base.index + 1).map(|at| at as usize).filter(|&at| at < self.entries.len())
    }

    /// Nothing where it lies before the base or after the end.
    pub(crate) fn term(&self, index: Index) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.index_term);
        }
        self.at(index).map(|at| self.entries[at].term)
    }

    pub(crate) fn entry(&self, index: Index) -> Option<&Entry> {
        self.at(index).map(|at| &self.entries[at])
    }

    pub(crate) fn from(&self, index: Index) -> &[Entry] {
        self.at(index).map_or(&[], |at| &self.entries[at..])
    }

    /// The first entry of the term that the one at `index` belongs to.
    pub(crate) fn term_begin(&self, index: Index) -> Index {
        let Some(term) = self.term(index) else { return index };
        let mut first = index;
        while first > self.base.index + 1 && self.term(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Puts an entry at its index; those there and after it are no more. It must follow what is held.
    pub(crate) fn put(&mut self, entry: Entry) {
        if let Some(at) = self.at(entry.index) {
            self.entries.truncate(at);
            self.stored = self.stored.min(entry.index - 1);
            self.writing.iter_mut().for_each(|(_, reach)| *reach = (*reach).min(entry.index - 1));
        }
        debug_assert_eq!(entry.index, self.last().0 + 1);
        self.entries.push(entry);
    }

    /// A write that covers all that is held now has begun.
    pub(crate) fn begin_write(&mut self, number: u64) {
        let reach = self.last().0;
        self.writing.push((number, reach));
    }

    /// All writes up to this one are done.
    pub(crate) fn wrote(&mut self, number: u64) {
        let reach = self.writing.iter().filter(|(of, _)| *of <= number).map(|(_, reach)| *reach).max();
        self.writing.retain(|(of, _)| *of > number);
        self.stored = self.stored.max(reach.unwrap_or(0));
    }

    /// The seats as the newest entry has them, whether committed or not, and that entry's index.
    pub(crate) fn seats(&self) -> (Index, Seats) {
        let newest = self.entries.iter().rev().find(|entry| entry.seats.is_some());
        match newest {
            Some(entry) => (entry.index, entry.seats.clone().unwrap_or_default()),
            None => (self.base.index, self.base.seats.clone().unwrap_or_default()),
        }
    }

    fn seats_at(&self, index: Index) -> Seats {
        let newest = self.entries.iter().rev().find(|entry| entry.seats.is_some() && entry.index <= index);
        newest.and_then(|entry| entry.seats.clone()).or_else(|| self.base.seats.clone()).unwrap_or_default()
    }

    /// Entries up to `index` become the snapshot `state`.
    pub(crate) fn compact(&mut self, index: Index, state: Vec<u8>) {
        let Some(index_term) = self.term(index) else { return };
        let seats = Some(self.seats_at(index));
        if let Some(at) = self.at(index) {
            self.entries.drain(..=at);
        }
        self.base = Snapshot { term: 0, index, index_term, seats, state, round: 0 };
    }

    /// Replaced by a leader's snapshot; what follows it and agrees with it stays.
    pub(crate) fn restore(&mut self, base: Snapshot) {
        if self.term(base.index) == Some(base.index_term) {
            let at = self.at(base.index).map_or(0, |at| at + 1);
            self.entries.drain(..at);
        } else {
            self.entries.clear();
            self.stored = 0;
            self.writing.clear();
        }
        self.base = base;
    }

    /// As read back from a file: all of it is stored.
    pub(crate) fn recovered(base: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Log { base, entries, stored: 0, writing: Vec::new() };
        log.stored = log.last().0;
        log
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
