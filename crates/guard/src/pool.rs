//! The servers of a pool, and the lines of a table, as the guard knows them.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, ServerId};

/// Whether new requests may go to a server, according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The server is listed as ready.
    Ready,
    /// The server is not listed any more, but removal without draining is only advisory (`removal_is_advisory`): a table may
    /// contain the server or not.
    Unlisted,
    /// The server is draining or removed: it must get no new requests.
    Unavailable,
}

/// A server of the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Whether new requests may go to it, according to the endpoint list.
    pub availability: Availability,
    /// Capacity relative to that of the other servers.
    pub capacity: f64,
    /// Time since the server's start, ns; `None` if it started long ago.
    pub age: Option<Nanos>,
}

/// One line of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Share of requests relative to the other lines.
    pub weight: f64,
    /// Whether the server is draining: it gets no new requests.
    pub draining: bool,
}

impl Line {
    /// Whether new requests are sent to the line's server.
    pub(crate) fn is_usable(&self) -> bool {
        !self.draining && self.weight > 0.0
    }
}

/// The lines of a table, by server.
pub type Lines = BTreeMap<ServerId, Line>;

/// The servers from which a table is made.
#[derive(Clone, Debug)]
pub struct Pool {
    /// All known servers.
    pub servers: BTreeMap<ServerId, Server>,
    /// Fraction of all requests that are distributed by the table, 0 to 1.
    pub traffic_share: f64,
}

impl Pool {
    pub(crate) fn availability(&self, server: ServerId) -> Availability {
        self.servers.get(&server).map_or(Availability::Unavailable, |state| state.availability)
    }

    pub(crate) fn is_unavailable(&self, server: ServerId) -> bool {
        self.availability(server) == Availability::Unavailable
    }

    pub(crate) fn is_ready(&self, server: ServerId) -> bool {
        self.availability(server) == Availability::Ready
    }

    /// The servers that are listed as ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.availability == Availability::Ready)
    }
}

/// Sets or removes a server's line.
pub(crate) fn replace_line(lines: &mut Lines, server: ServerId, line: Option<Line>) {
    match line {
        Some(line) => lines.insert(server, line),
        None => lines.remove(&server),
    };
}
