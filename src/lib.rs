//! shalereel: supervisors that see no invocation tell plain forwarders, by weighted tables, where work goes.

mod channel;
pub mod controller;
mod deadlines;
pub mod interface;
mod message;
mod pacing;
mod proxies;
mod state;
mod statistics;
mod subsets;
mod tables;
#[cfg(test)]
mod testing;

/// The former name of [`controller`].
pub use controller as brain;
pub use controller::Controller;
