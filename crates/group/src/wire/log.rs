//! Messages of the Raft log.

use prost::Message;

use super::commands::Command;
use super::configuration::Configuration;
use super::ids::LogIndex;

/// A log entry. An entry with neither command nor configuration is the no-op that a leader appends when its term
/// begins.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Index of the entry in the log.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Command for the state machine.
    #[prost(message, optional, tag = "3")]
    pub command: Option<Command>,
    /// New configuration, which takes effect as soon as the entry is appended, committed or not.
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<Configuration>,
}

/// A candidate's request for a vote, or for a pre-vote.
#[derive(Clone, PartialEq, Message)]
pub struct RequestVote {
    /// Term in which the candidate wants to be elected.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_log_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
    /// Whether this is a pre-vote, which asks if the receiver would grant its vote and does not bind the receiver.
    #[prost(bool, tag = "4")]
    pub pre_vote: bool,
}

/// The answer to [`RequestVote`].
#[derive(Clone, PartialEq, Message)]
pub struct VoteResponse {
    /// Current term of the voter, or the request's term if a pre-vote is granted.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// As in the request.
    #[prost(bool, tag = "2")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "3")]
    pub granted: bool,
}

/// Entries from the leader; without entries, a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct AppendEntries {
    /// Term of the leader.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the entry before the first one sent.
    #[prost(uint64, tag = "2")]
    pub prev_log_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub prev_log_term: u64,
    /// Entries to be appended after the entry at `prev_log_index`.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "5")]
    pub leader_commit: LogIndex,
    /// Number of the leader's latest heartbeat; the response repeats it.
    #[prost(uint64, tag = "6")]
    pub heartbeat_round: u64,
}

/// The answer to [`AppendEntries`] and to an installed [`Snapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct AppendResponse {
    /// Term of the follower.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Whether the follower accepted the message: its term is current, and the follower's log contains the entry that
    /// precedes the sent ones.
    #[prost(bool, tag = "2")]
    pub success: bool,
    /// On success, the index up to which the follower's log is synced and agrees with the leader's. Otherwise the index
    /// after which the leader should continue.
    #[prost(uint64, tag = "3")]
    pub index: LogIndex,
    /// Heartbeat number of the answered message; 0 if the response acknowledges a finished write instead.
    #[prost(uint64, tag = "4")]
    pub heartbeat_round: u64,
}

/// A snapshot of the state machine as of one entry: a message from the leader, and a record of the log file.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Term of the leader that sends the snapshot; 0 in a file.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the last entry that the state contains.
    #[prost(uint64, tag = "2")]
    pub last_included_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_included_term: u64,
    /// The configuration as of that entry.
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<Configuration>,
    /// The encoded state machine.
    #[prost(bytes = "vec", tag = "5")]
    pub state: Vec<u8>,
    /// As in [`AppendEntries`]; 0 in a file.
    #[prost(uint64, tag = "6")]
    pub heartbeat_round: u64,
}

/// A command that a member forwards to the leader. A duplicate has no effect.
#[derive(Clone, PartialEq, Message)]
pub struct Proposal {
    /// The command, with its request id.
    #[prost(message, optional, tag = "1")]
    pub command: Option<Command>,
}
