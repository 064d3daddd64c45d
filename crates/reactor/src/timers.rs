use std::collections::BTreeMap;

use crate::Nanos;

/// Timers by their time; those of one time come in the order in which they were set.
#[derive(Debug)]
pub struct Timers<K> {
    set: BTreeMap<(Nanos, u64), K>,
    last: u64,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { set: BTreeMap::new(), last: 0 }
    }
}

/// Names one timer, to take it back.
pub type TimerId = (Nanos, u64);

impl<K> Timers<K> {
    pub fn set(&mut self, at: Nanos, key: K) -> TimerId {
        self.last += 1;
        self.set.insert((at, self.last), key);
        (at, self.last)
    }

    /// Was it still to come?
    pub fn cancel(&mut self, id: TimerId) -> bool {
        self.set.remove(&id).is_some()
    }

    pub fn next(&self) -> Option<Nanos> {
        self.set.keys().next().map(|key| key.0)
    }

    /// The first timer, whether its time has come or not.
    pub fn pop(&mut self) -> Option<(Nanos, K)> {
        self.set.pop_first().map(|((at, _), key)| (at, key))
    }

    /// The first timer whose time has come.
    pub fn due(&mut self, now: Nanos) -> Option<K> {
        let first = self.set.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}
