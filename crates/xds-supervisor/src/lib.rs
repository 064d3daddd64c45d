//! A supervisor that serves published protocols: xDS, load reporting and SASP. [`Core`] is the supervisor without I/O;
//! [`run`] is the daemon that drives it. Called by `shalereel daemon` (`crates/cli`).

#![deny(missing_docs)]

pub mod admin;
mod channel;
mod client_limits;
mod core;
pub mod daemon;
mod deployment;
mod endpoints;
mod group_member;
mod load_reports;
mod peer_reports;
mod sasp_front;
mod storage;
mod tables;

pub use crate::core::{Core, Peer, ShellCommand, Warning, LISTENER_NAME, OPERATION_PATH_PREFIX};
pub use channel::Backlog;
pub use daemon::{run, DaemonError};
pub use deployment::{Deployment, FileError, GroupDeployment, InjectedFault, TableHistoryLimits};
pub use endpoints::{
    AppliedList, EndpointList, ListedEndpoint, MemberReport, Reporter, ServerSummary, SkipReason, SkippedRow,
};
pub use group_member::{AppliedChanges, GroupCommand, GroupMember, GroupSettings, OperatorOrders};
pub use load_reports::{LoadReports, ReportingProxy};
pub use storage::{
    FileWriter, StorageError, WriteRequest, GROUP_LOG_FILE, SNAPSHOT_FILE, TABLE_HISTORY_FILE,
};
pub use tables::{TableContext, Tables};
