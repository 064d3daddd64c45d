//! The pool guard: inspects each version of a table before it is published, whoever made it. It refuses changes that would
//! empty a pool, leave too few servers in it, overload a server in slow start or send most requests to one server. It only
//! decides; it does no I/O and reads no clock. Called by `crates/xds-supervisor/src/tables.rs`; `docs/guard.md` describes the
//! design.
//!
//! The guard shares no code with the modules that make tables, so that a fault in them does not affect the guard as well.

#![deny(missing_docs)]

mod guard;
mod inspect;
mod limits;
mod pool;
#[cfg(test)]
mod tests;

pub use guard::{Decision, Guard, Refusal};
pub use inspect::{inspect, Finding, Rule};
pub use limits::Limits;
pub use pool::{Availability, Line, Lines, Pool, Server};
