//! Sources that are ready and were not polled yet, in the order in which they became ready.

use std::collections::{BTreeSet, VecDeque};

use shalereel_reactor::Token;

/// A queue of ready sources, each of which is in it at most once.
#[derive(Debug, Default)]
pub(super) struct ReadySources {
    order: VecDeque<Token>,
    queued: BTreeSet<Token>,
}

impl ReadySources {
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a source at the end, unless it is queued already.
    pub fn push(&mut self, token: Token) {
        if self.queued.insert(token) {
            self.order.push_back(token);
        }
    }

    /// Takes the source that has been ready for the longest time.
    pub fn pop(&mut self) -> Option<Token> {
        let token = self.order.pop_front()?;
        self.queued.remove(&token);
        Some(token)
    }
}
