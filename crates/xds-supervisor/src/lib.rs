//! The running supervisor. [`Core`] is all of it but the sockets; [`run`] is the daemon.

pub mod admin;
mod advice;
mod channel;
mod core;
pub mod daemon;
mod deployment;
mod endpoints;
mod evidence;
mod keeper;
mod patience;
mod reports;
mod shared;
mod tables;

pub use crate::core::{Core, Effect, Peer, LISTENER, PREFIX};
pub use channel::{Channel, Departure};
pub use daemon::run;
pub use deployment::{Deployment, FileError, Planted};
pub use endpoints::{
    AppliedList, EndpointList, ListedEndpoint, MemberReport, Reporter, ServerSummary, SkipReason, SkippedRow,
};
pub use keeper::{Block, Keeper, LOG, MEMORY, TABLES};
pub use patience::{Patience, Verdict};
pub use reports::Reports;
pub use shared::{Shared, Wanted};
pub use tables::{Facts, Reach, Tables};
