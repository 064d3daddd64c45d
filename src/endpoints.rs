//! The endpoint list: applies each watch event and notifies the servers that changed. The controller forwards
//! the watch events.

use std::collections::BTreeSet;

use crate::interface::{
    Action, ControllerConfig, Endpoint, Nanos, Readiness, ServerId, Snapshot, WatchEvent,
};
use crate::message::{Component, Mailboxes, Message, SECOND};

#[cfg(test)]
mod tests;

/// Token of the timer after which a failed watch is retried.
pub(crate) const WATCH_RETRY_TIMER: u64 = 2;
/// The first backoff is the poll interval shifted right by this many bits: a sixteenth of it.
const FIRST_BACKOFF_SHIFT: u32 = 4;
/// Maximum number of times that the backoff doubles, until it is the full poll interval.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// A listed weight beyond this or below its inverse is not a plausible capacity and is replaced by 1.
const MAX_LISTED_WEIGHT: f64 = 1e6;

/// The servers in the last known endpoint list, and the backoff after failed watches.
#[derive(Debug)]
pub(crate) struct EndpointList {
    /// The list must be polled; otherwise it is pushed.
    polls: bool,
    /// Time between polls, ns, at least 1 s; also the maximum backoff.
    poll_interval: Nanos,
    listed: BTreeSet<ServerId>,
    /// Number of consecutive failed watches.
    failures: u32,
    /// Random number generator for the jitter of the backoff.
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
            Message::StartWatch if self.polls => {
                mailboxes.actions.push(Action::WatchEndpoints { on: true });
            }
            _ => {}
        }
    }

    /// Time until the watch is retried, ns, with jitter. Guards a slow list service against simultaneous
    /// retries of all supervisors.
    fn next_backoff(&mut self) -> Nanos {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (self.poll_interval >> FIRST_BACKOFF_SHIFT << doublings) as f64;
        self.failures += 1;
        (backoff * (0.5 + 0.5 * self.random.rand_float())) as Nanos
    }

    /// Applies a full list: servers absent from it are removed.
    fn replace(&mut self, endpoints: Vec<Endpoint>, mailboxes: &mut Mailboxes) {
        let present: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        for &server in self.listed.difference(&present) {
            mailboxes.send(Component::Server(server), Message::Removed);
        }
        self.listed = present;
        self.apply(endpoints, mailboxes);
    }

    /// Applies the listed state of servers that changed.
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

/// Forwards the parts of a snapshot to the servers and to the fleet. The snapshot follows the endpoint list,
/// so its servers are already known.
fn forward_snapshot(snapshot: Snapshot, age: Nanos, mailboxes: &mut Mailboxes) {
    for &server in &snapshot.servers {
        let message = Message::RestoredServer { snapshot: server, age };
        mailboxes.send(Component::Server(server.server), message);
    }
    mailboxes.send(Component::Fleet, Message::Restored { snapshot, age });
}
