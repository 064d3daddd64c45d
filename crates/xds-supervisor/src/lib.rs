//! The running supervisor. [`Core`] is all of it but the sockets; [`run`] is the daemon.

pub mod admin;
mod channel;
mod client_limits;
mod core;
pub mod daemon;
mod deployment;
mod evidence;
mod reports;
mod roster;
mod sasp_front;
mod shared;
mod storage;
mod tables;

pub use crate::core::{Core, Effect, Peer, LISTENER, PREFIX};
pub use channel::{Channel, Departure};
pub use client_limits::{ClientLimits, NackResponse};
pub use daemon::{run, DaemonError};
pub use deployment::{Deployment, FileError, GroupDeployment, InjectedFault, TableHistoryLimits};

pub use reports::Reports;
pub use roster::{MemberWord, Roster};
pub use shared::{Shared, Wanted};
pub use storage::{
    FileWriter, StorageError, WriteRequest, GROUP_LOG_FILE, SNAPSHOT_FILE, TABLE_HISTORY_FILE,
};
pub use tables::{AffectedProxies, TableContext, Tables};
