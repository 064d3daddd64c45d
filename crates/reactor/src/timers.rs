//! A queue of timers. It reads no clock: the caller passes the time.

use std::collections::BTreeMap;

use crate::clock::Nanos;

/// Timers with keys, ordered by time. Timers of the same time are in the order in which they were set.
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

/// Identifies a timer that can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    at: Nanos,
    serial: u64,
}

impl<K> Timers<K> {
    /// Sets a timer for the time `at`. Returns its identifier.
    pub fn set(&mut self, at: Nanos, key: K) -> TimerId {
        self.last_serial += 1;
        let id = TimerId { at, serial: self.last_serial };
        self.timers.insert(id, key);
        id
    }

    /// Cancels a timer. Returns whether it was still set.
    pub fn cancel(&mut self, id: TimerId) -> bool {
        self.timers.remove(&id).is_some()
    }

    /// Returns the time of the first timer, if there is one.
    pub fn next_at(&self) -> Option<Nanos> {
        self.timers.keys().next().map(|id| id.at)
    }

    /// Removes the first timer, due or not. Returns its time and key.
    pub fn pop(&mut self) -> Option<(Nanos, K)> {
        self.timers.pop_first().map(|(id, key)| (id.at, key))
    }

    /// Removes the first timer if it is due. Returns its key.
    pub fn pop_due(&mut self, now: Nanos) -> Option<K> {
        let first = self.timers.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }
}
