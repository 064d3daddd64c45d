//! Follows the endpoint list and passes what changed to the servers. The controller gives it every watch event.

use std::collections::BTreeSet;

use crate::interface::{
    Action, ControllerConfig, Endpoint, Nanos, Readiness, ServerId, Snapshot, WatchEvent,
};
use crate::message::{Component, Mailboxes, Message, SECOND};

#[cfg(test)]
mod tests;

/// Token of the timer after which a failed watch is opened again.
pub(crate) const WATCH_RETRY_TIMER: u64 = 2;
/// The first backoff is the poll interval shifted right by this many bits: a sixteenth of it.
const FIRST_BACKOFF_SHIFT: u32 = 4;
/// The backoff doubles this many times at most, to the full poll interval.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// A listed weight beyond this or its inverse says nothing of capacity and counts as 1.
const MAX_LISTED_WEIGHT: f64 = 1e6;

/// The endpoint list as it was last heard, and the backoff of a watch that fails.
#[derive(Debug)]
pub(crate) struct EndpointList {
    /// The list has to be polled; otherwise it is pushed.
    polls: bool,
    /// Time between polls, ns; the longest backoff.
    poll_interval: Nanos,
    listed: BTreeSet<ServerId>,
    /// Failed watches in a row.
    failures: u32,
    /// Source of the backoff's jitter.
    random: oorandom::Rand64,
}

impl EndpointList {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        EndpointList {
            polls: config.polls_endpoints,
            poll_interval: config.poll_interval.max(SECOND),
            listed: BTreeSet::new(),
            failures: 0,
            random: oorandom::Rand64::new(config.seed.into()),
        }
    }

    /// Whether a server is in the list.
    pub(crate) fn contains(&self, server: ServerId) -> bool {
        self.listed.contains(&server)
    }

    pub(crate) fn handle(&mut self, message: Message, mailboxes: &mut Mailboxes) {
        match message {
            Message::Endpoints(WatchEvent::Failed) => {
                let delay = self.next_backoff();
                mailboxes.actions.push(Action::SetTimer { delay, token: WATCH_RETRY_TIMER });
            }
            Message::Endpoints(WatchEvent::Delta(endpoints)) => self.apply(endpoints, mailboxes),
            Message::Endpoints(WatchEvent::Full(endpoints) | WatchEvent::Cached(endpoints)) => {
                self.replace(endpoints, mailboxes)
            }
            Message::Restored { snapshot, age } => forward_snapshot(snapshot, age, mailboxes),
            Message::RetryWatch if self.polls => {
                mailboxes.actions.push(Action::WatchEndpoints { on: true });
            }
            _ => {}
        }
    }

    /// Time until the watch is opened again, ns, with jitter. Guards against a rush of supervisors at a list service
    /// that is late.
    fn next_backoff(&mut self) -> Nanos {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (self.poll_interval >> FIRST_BACKOFF_SHIFT << doublings) as f64;
        self.failures += 1;
        (backoff * (0.5 + 0.5 * self.random.rand_float())) as Nanos
    }

    /// Takes a full list: servers that it lacks are removed.
    fn replace(&mut self, endpoints: Vec<Endpoint>, mailboxes: &mut Mailboxes) {
        let present: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        for &server in self.listed.difference(&present) {
            mailboxes.send(Component::Server(server), Message::Removed);
        }
        self.listed = present;
        self.apply(endpoints, mailboxes);
    }

    /// Takes servers that changed.
    fn apply(&mut self, endpoints: Vec<Endpoint>, mailboxes: &mut Mailboxes) {
        self.failures = 0;
        for mut endpoint in endpoints {
            let usable = endpoint.weight > 1.0 / MAX_LISTED_WEIGHT && endpoint.weight < MAX_LISTED_WEIGHT;
            endpoint.weight = if usable { endpoint.weight } else { 1.0 };
            if endpoint.readiness == Readiness::Removed {
                self.listed.remove(&endpoint.server);
            } else {
                self.listed.insert(endpoint.server);
            }
            mailboxes.send(Component::Server(endpoint.server), Message::Listed(endpoint));
        }
    }
}

/// Passes a snapshot on to servers and fleet: it comes after the list, so that servers are known by then.
fn forward_snapshot(snapshot: Snapshot, age: Nanos, mailboxes: &mut Mailboxes) {
    for &server in &snapshot.servers {
        let message = Message::RestoredServer { snapshot: server, age };
        mailboxes.send(Component::Server(server.server), message);
    }
    mailboxes.send(Component::Fleet, Message::Restored { snapshot, age });
}
