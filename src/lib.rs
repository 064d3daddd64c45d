//! Decision logic of a control service that assigns tables of weighted servers to proxies; a proxy sends its
//! requests to the servers of its table.
//!
//! A supervisor is a process that serves some of the proxies. It passes batches of [`interface::Event`]s to a
//! [`Controller`] and carries out the [`interface::Action`]s that it returns. This crate does no I/O and reads
//! no clock: the same events always lead to the same actions.
//!
//! The channel from a supervisor to its proxies is slow, so the controller decides what to send first. Its
//! rate, capacity and message overhead are given in lines: a line is the weight of one server in a table, or
//! another single instruction such as an admission limit, as it is sent to one proxy.

#![deny(missing_docs)]

mod admission;
mod channel;
pub mod controller;
mod deadlines;
mod ejection;
mod endpoints;
mod fleet;
mod health;
pub mod interface;
mod isolation;
mod message;
mod pacing;
mod proxies;
mod retries;
mod server;
mod slow_start;
mod snapshot;
mod statistics;
mod subsets;
mod tables;
#[cfg(test)]
mod testing;

pub use controller::Controller;
