//! Decision logic of a control service that assigns tables of weighted servers to proxies; a proxy sends its
//! requests to the servers of its table.
//!
//! A supervisor passes batches of [`interface::Event`]s to a [`Controller`] and carries out the
//! [`interface::Action`]s that it returns. This crate does no I/O and reads no clock: the same events always
//! lead to the same actions.

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
