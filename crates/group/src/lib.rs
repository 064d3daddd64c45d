//! Coordination of several supervisors as one group: SWIM membership, a Raft log, duties fenced by epochs, leases of
//! key ranges, and merged load reports. [`Group`] combines them and performs no I/O and reads no clock; [`sim`] runs
//! groups on a simulated network.
//!
//! The group is optional: a supervisor serves its own proxies without it.
//!
//! `crates/xds-supervisor` (`group_member`) drives [`Group`]; the forwarders in `crates/standins` use [`LeaseClient`].

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
