//! Protobuf messages of the group and the paths of their streams: messages between members, from forwarders and from
//! operators, and records of the log file. Field tags and order are fixed for compatibility with other versions and
//! stored files.

mod commands;
mod configuration;
mod control;
mod envelope;
mod ids;
mod leases;
mod log;
mod membership;
mod ranges;
mod reports;
mod storage;

pub use commands::{
    AssignDuty, AssignRange, BeginDrain, Command, CommandPayload, Duty, DutyKey, MembershipChange, MoveRange,
    OperatorOrder, RangeCleared, ReleaseOrder,
};
pub use configuration::{Configuration, MemberAddress};
pub use control::{ControlRequest, ControlResponse};
pub use envelope::{Body, Envelope};
pub use ids::{epoch_of_version, Epoch, LogIndex, MemberId};
pub use leases::{LeaseGrant, LeaseRequest};
pub use log::{AppendEntries, AppendResponse, Entry, Proposal, RequestVote, Snapshot, VoteResponse};
pub use membership::{Gossip, GossipUpdate, MemberStatus, ProbeKind};
pub use ranges::{AddressedRoute, HeldRange, RangesRequest, RangesResponse};
pub use reports::{PeerReports, ReportTotals};
pub use storage::{RecordBatch, RecordKind, StoredRecord, Vote};

/// Path of the stream between two members.
pub const MEMBER_STREAM_PATH: &str = "/shalereel.group.v1.Group/Speak";
/// Path of the stream on which forwarders request routes of key ranges.
pub const RANGES_STREAM_PATH: &str = "/shalereel.v1.Ranges/Hold";
/// Path of operators' requests, each a stream with one request and one response.
pub const CONTROL_PATH: &str = "/shalereel.v1.Control/Ask";
