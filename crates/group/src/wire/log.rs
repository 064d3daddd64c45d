//! Messages of the Raft log.

use prost::Message;

use super::commands::Command;
use super::configuration::Configuration;
use super::ids::LogIndex;

/// An entry of the log. With neither command nor configuration it is the no-op that begins a term.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Its position.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// For the state machine.
    #[prost(message, optional, tag = "3")]
    pub command: Option<Command>,
    /// In force as soon as it is appended, committed or not.
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<Configuration>,
}

/// A candidate's request for a vote, or for a pre-vote.
#[derive(Clone, PartialEq, Message)]
pub struct RequestVote {
    /// Term that the candidate would lead.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_log_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
    /// Asks whether the receiver would vote so; the answer binds nobody.
    #[prost(bool, tag = "4")]
    pub pre_vote: bool,
}

/// The answer to [`RequestVote`].
#[derive(Clone, PartialEq, Message)]
pub struct VoteResponse {
    /// Term of the voter, or of the request where a pre-vote is granted.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// As in the request.
    #[prost(bool, tag = "2")]
    pub pre_vote: bool,
    /// The vote is given.
    #[prost(bool, tag = "3")]
    pub granted: bool,
}

/// Entries of the leader, or a heartbeat where there are none.
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
    /// To be appended after it.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "5")]
    pub leader_commit: LogIndex,
    /// Number of the leader's latest heartbeat, for the answer.
    #[prost(uint64, tag = "6")]
    pub heartbeat_round: u64,
}

/// The answer to [`AppendEntries`] and to an installed [`Snapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct AppendResponse {
    /// Term of the follower.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The follower's log agrees with the message.
    #[prost(bool, tag = "2")]
    pub success: bool,
    /// On success: synced and in agreement up to here. Otherwise: the leader tries again from after here.
    #[prost(uint64, tag = "3")]
    pub index: LogIndex,
    /// As in the message answered; 0 where a finished write is acknowledged by itself.
    #[prost(uint64, tag = "4")]
    pub heartbeat_round: u64,
}

/// The state machine up to an entry; a message of the leader, and a record of the log file.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Term of the leader that sends it; 0 in a file.
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

/// A command for the leader's log. One that arrives again has no second effect.
#[derive(Clone, PartialEq, Message)]
pub struct Proposal {
    /// The command, with its request id.
    #[prost(message, optional, tag = "1")]
    pub command: Option<Command>,
}
