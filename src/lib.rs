//! shalereel: supervisors that see no invocation tell plain forwarders, by weighted tables, where work goes.

pub mod brain;
pub mod interface;
mod notes;
mod state;
