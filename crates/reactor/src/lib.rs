//! Readiness notification by `epoll`, timers, signals and non-blocking sockets, without an async runtime. The
//! supervisors, `crates/rpc` and the tools of `crates/cli` use it. Addresses outside loopback are rejected,
//! except by the functions with `any_address` in their name.
//!
//! A [`Reactor`] reports which tokens are ready. The owner of a token is polled when its socket is ready or
//! its waker was called, so a socket stores no waker of its own.

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
