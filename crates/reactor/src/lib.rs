//! Readiness, timers and sockets on `epoll`, without a runtime; called by `crates/rpc` and by the tools of `crates/cli`. Addresses outside loopback are rejected,
//! except by the functions whose name says `any_address`.
//!
//! A [`Reactor`] says which tokens are ready. The owner of a token is polled as a whole when its socket is
//! ready or its waker was called, so a socket keeps no waker of its own.

#![deny(missing_docs)]

mod clock;
mod listener;
mod loopback;
mod reactor;
mod signals;
mod socket;
mod timers;

pub use clock::{now, Nanos, MILLI, SECOND};
pub use listener::Listener;
pub use reactor::{Reactor, Token};
pub use signals::{reload_signals, stop_signals};
pub use socket::{dial, dial_any_address, is_out_of_kernel_memory, Socket};
pub use timers::{TimerId, Timers};
