//! A queue of timers. It has no clock: its owner says what time it is.

use std::collections::BTreeMap;

use crate::clock::Nanos;

/// Timers by their time; those of the same time come in the order in which they were set.
#[derive(Debug)]
pub struct Timers<K> {
    timers: BTreeMap<TimerId, K>,
    last_serial: u64,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { timers: BTreeMap::new(), last_serial: 0 }
    }
}

/// Identifies one timer, to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    at: Nanos,
    serial: u64,
}

impl<K> Timers<K> {
    /// Sets a timer.
    pub fn set(&mut self, at: Nanos, key: K) -> TimerId {
        self.last_serial += 1;
        let id = TimerId { at, serial: self.last_serial };
        self.timers.insert(id, key);
        id
    }

    /// Cancels a timer; whether it was still set.
    pub fn cancel(&mut self, id: TimerId) -> bool {
        self.timers.remove(&id).is_some()
    }

    /// Time of the first timer.
    pub fn next_at(&self) -> Option<Nanos> {
        self.timers.keys().next().map(|id| id.at)
    }

    /// Takes the first timer, whether its time has come or not.
    pub fn pop(&mut self) -> Option<(Nanos, K)> {
        self.timers.pop_first().map(|(id, key)| (id.at, key))
    }

    /// Takes the first timer whose time has come.
    pub fn pop_due(&mut self, now: Nanos) -> Option<K> {
        let first = self.timers.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }
}
