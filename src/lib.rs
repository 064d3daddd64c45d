//! The decisions of a control service that tells proxies, by weighted tables, which server their requests go to.
//!
//! A supervisor gives [`Controller`] batches of [`interface::Event`]s and carries out the [`interface::Action`]s that
//! it returns. Nothing here does I/O or reads a clock: the same events lead to the same actions.

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
