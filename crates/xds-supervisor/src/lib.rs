//! The running supervisor. [`Core`] is all of it but the sockets; [`run`] is the daemon.

pub mod admin;
mod advice;
mod channel;
mod core;
pub mod daemon;
mod deployment;
mod evidence;
mod keeper;
mod patience;
mod reports;
mod roster;
mod shared;
mod tables;

pub use crate::core::{Core, Effect, Peer, LISTENER, PREFIX};
pub use channel::{Channel, Departure};
pub use daemon::run;
pub use deployment::{Deployment, FileError, Planted};
pub use keeper::{Block, Keeper, LOG, MEMORY, TABLES};
pub use patience::{Patience, Verdict};
pub use reports::Reports;
pub use roster::{MemberWord, Roster};
pub use shared::{Shared, Wanted};
pub use tables::{Facts, Reach, Tables};
