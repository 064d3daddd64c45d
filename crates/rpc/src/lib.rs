//! The sockets and timers of a process, plain connections, and gRPC over HTTP/2, client and server, polled from the
//! reactor's loop. `crates/platform-supervisor` uses the plain part alone; `crates/xds-supervisor`, `crates/standins` and
//! `crates/cli` use all of it.
//!
//! [`Framer`] and [`Status`] are free of I/O; a [`Connection`] drives one connection by `h2`; a [`Hub`] owns
//! the sockets, connections and timers of a process and returns what came, one turn at a time.

#![deny(missing_docs)]

mod connection;
mod framing;
mod hub;
mod status;

pub use connection::{CloseReason, Connection, ConnectionEvent, ConnectionLimits, StreamId};
pub use framing::{frame, FrameError, Framer};
pub use hub::{ConnId, Hub, Input};
pub use status::{Code, Status};
