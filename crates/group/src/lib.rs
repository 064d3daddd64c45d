//! Supervisors as a group: SWIM membership, a Raft log, duties with epochs, leases, key ranges and merged reports.
//! [`Group`] joins them, free of I/O and of clocks; [`sim`] runs groups on a simulated network.
//!
//! The group is optional: what a supervisor does for its own proxies needs none of it.
//!
//! Called by `crates/xds-supervisor` (`group_member`); [`LeaseClient`] is the forwarders' side, called by
//! `crates/standins`.

#![deny(missing_docs)]

mod fault;
mod group;
mod leases;
mod log;
mod membership;
mod placement;
mod raft;
mod report_merge;
pub mod sim;
mod state_machine;
mod storage;
mod timing;
pub mod wire;

pub use fault::InjectedFault;
pub use group::{Action, Group, GroupConfig, LogEvent, LogStatus, MemberRole, OrderError};
pub use leases::{
    LeaseClient, LeaseTable, MemberLease, RangeGrantor, RangeRoute, RouteRequest, RouteResponse, RouteTenure,
};
pub use membership::{Member, Membership, StatusChange};
pub use placement::ServerAvailability;
pub use raft::LogWrite;
pub use state_machine::{
    AppliedChange, DutyAssignment, PendingMove, RangeOwnership, Rejection, StandingOrder, StateMachine,
};
pub use storage::{encode_records, StoredLog, StoredLogError, LOG_FILE_MAGIC};
pub use timing::{Timing, TimingSettings};
