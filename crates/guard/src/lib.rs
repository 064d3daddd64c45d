//! The pool guard: inspects each version of a table before it is published, whoever made it, and refuses what would empty a
//! pool, leave too few servers in it, overload a server in slow start or send most requests to one server. Decisions, free of
//! I/O and clock. Called by `crates/xds-supervisor/src/tables.rs`; `docs/guard.md` has the design.
//!
//! It shares no code with what makes tables: a fault there must not be a fault here.

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
