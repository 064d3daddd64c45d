//! The supervisor on published protocols: xDS, load reporting and SASP. [`Core`] is all of it but the sockets; [`run`] is
//! the daemon round it. Called by `shalereel daemon` (`crates/cli`).

pub mod admin;
mod advice;
mod channel;
mod core;
pub mod daemon;
mod deployment;
mod endpoints;
mod group_member;
mod keeper;
mod load_reports;
mod patience;
mod peer_reports;
mod tables;

pub use crate::core::{Core, Peer, ShellCommand, Warning, LISTENER, PREFIX};
pub use channel::Backlog;
pub use daemon::run;
pub use deployment::{Deployment, FileError, Planted};
pub use endpoints::{
    AppliedList, EndpointList, ListedEndpoint, MemberReport, Reporter, ServerSummary, SkipReason, SkippedRow,
};
pub use group_member::{AppliedChanges, GroupCommand, GroupMember, GroupSettings, OperatorOrders};
pub use keeper::{Block, Keeper, LOG, MEMORY, TABLES};
pub use load_reports::{LoadReports, ReportingProxy};
pub use tables::{Facts, Tables};
