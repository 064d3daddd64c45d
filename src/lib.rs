//! shalereel: supervisors that see no invocation tell plain forwarders, by weighted tables, where work goes.

pub mod brain;
mod channel;
mod deadlines;
pub mod interface;
mod notes;
mod pacing;
mod state;
mod subsets;
