//! What is known of servers and of a table's lines.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, ServerId};

/// Whether new requests may go to a server, by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It is listed as ready.
    Ready,
    /// It is not listed any more, and removal without draining is advisory (`removal_is_advisory`): a table may have it or
    /// not.
    Unlisted,
    /// It is draining or removed: no new requests may go there.
    Unavailable,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// By the endpoint list.
    pub availability: Availability,
    /// Its capacity in ratio to the others'.
    pub capacity: f64,
    /// Time since its start, ns; `None`: long ago.
    pub age: Option<Nanos>,
}

/// One line of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Share of requests in ratio to other lines.
    pub weight: f64,
    /// No new requests go there.
    pub draining: bool,
}

impl Line {
    /// Whether new requests go there.
    pub(crate) fn is_usable(&self) -> bool {
        !self.draining && self.weight > 0.0
    }
}

/// The lines of a table.
pub type Lines = BTreeMap<ServerId, Line>;

/// The servers that a table is drawn from.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Each known server.
    pub servers: BTreeMap<ServerId, Server>,
    /// Share of all requests that go by the table, 0 to 1.
    pub traffic_share: f64,
}

impl Pool {
    pub(crate) fn availability(&self, server: ServerId) -> Availability {
        self.servers.get(&server).map_or(Availability::Unavailable, |known| known.availability)
    }

    pub(crate) fn is_unavailable(&self, server: ServerId) -> bool {
        self.availability(server) == Availability::Unavailable
    }

    pub(crate) fn is_ready(&self, server: ServerId) -> bool {
        self.availability(server) == Availability::Ready
    }

    /// Servers that are listed as ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|known| known.availability == Availability::Ready)
    }
}

/// Sets or removes a line.
pub(crate) fn put(lines: &mut Lines, server: ServerId, line: Option<Line>) {
    match line {
        Some(line) => lines.insert(server, line),
        None => lines.remove(&server),
    };
}
