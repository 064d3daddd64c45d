//! gRPC over HTTP/2, client and server, polled from the reactor's loop.
//!
//! [`Framer`] and [`Status`] are free of I/O; [`Conn`] drives one connection by `h2`; a [`Hub`] owns the
//! sockets, connections and timers of a process and hands out what came, one turn at a time.

mod conn;
mod framer;
mod hub;
mod status;

pub use conn::{Bounds, Came, Conn, StreamId};
pub use framer::{frame, FrameError, Framer};
pub use hub::{ConnId, Hub, Input};
pub use status::{Code, Status};
