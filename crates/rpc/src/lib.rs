//! The sockets and timers of a process, with plain connections and gRPC over HTTP/2 as client and server, in one event loop.
//! `crates/platform-supervisor` uses only plain connections; `crates/xds-supervisor`, `crates/standins` and `crates/cli` use
//! both.
//!
//! [`Framer`] and [`Status`] are free of I/O. A [`Connection`] drives one HTTP/2 connection by means of `h2`. A [`Hub`] owns
//! the sockets, connections and timers of a process; each wait returns the events of one turn of the loop.

#![deny(missing_docs)]

mod connection;
mod framing;
mod hub;
mod status;

pub use connection::{CloseReason, Connection, ConnectionEvent, ConnectionLimits, StreamId};
pub use framing::{frame, FrameError, Framer};
pub use hub::{ConnId, Hub, Input};
pub use status::{Code, Status};
