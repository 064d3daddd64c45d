//! What members say to one another, and what they keep: protobuf messages of this project's own.

use prost::{Message, Oneof};

/// Path of the stream on which members speak.
pub const MEMBER_STREAM_PATH: &str = "/shalereel.group.v1.Group/Speak";
/// Path of the stream on which forwarders hold key ranges.
pub const RANGES_STREAM_PATH: &str = "/shalereel.v1.Ranges/Hold";
/// Path of operators' questions and orders.
pub const CONTROL_PATH: &str = "/shalereel.v1.Control/Ask";

/// The epoch in a table's version, "epoch/number"; 0 where it has none.
pub fn epoch_of_version(version: &str) -> Epoch {
    version.split_once('/').and_then(|(epoch, _)| epoch.parse().ok()).unwrap_or(0)
}

/// Number of a supervisor, as its file has it.
pub type MemberId = u32;
/// Position in the log, from 1.
pub type LogIndex = u64;
/// Index of the entry that gave a duty or a range to its holder: a later gift has a higher one.
pub type Epoch = u64;

/// One message from member to member.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    #[prost(uint32, tag = "1")]
    pub from: MemberId,
    #[prost(uint32, tag = "2")]
    pub to: MemberId,
    /// Of the group's name: members of another group are not heard.
    #[prost(uint64, tag = "3")]
    pub group_hash: u64,
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    #[prost(message, tag = "4")]
    Gossip(Gossip),
    #[prost(message, tag = "5")]
    RequestVote(RequestVote),
    #[prost(message, tag = "6")]
    VoteResponse(VoteResponse),
    #[prost(message, tag = "7")]
    AppendEntries(AppendEntries),
    #[prost(message, tag = "8")]
    AppendResponse(AppendResponse),
    #[prost(message, tag = "9")]
    InstallSnapshot(Snapshot),
    #[prost(message, tag = "10")]
    Proposal(Proposal),
    #[prost(message, tag = "12")]
    LeaseRequest(LeaseRequest),
    #[prost(message, tag = "13")]
    LeaseGrant(LeaseGrant),
    #[prost(message, tag = "14")]
    ReportTotals(ReportTotals),
    #[prost(message, tag = "15")]
    PeerReports(PeerReports),
}

// Membership.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum MemberStatus {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    Left = 3,
}

/// What somebody knows of a member.
#[derive(Clone, PartialEq, Message)]
pub struct GossipUpdate {
    #[prost(uint32, tag = "1")]
    pub member: MemberId,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(enumeration = "MemberStatus", tag = "4")]
    pub status: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ProbeKind {
    Ping = 0,
    Ack = 1,
    /// Ping `about` for me.
    PingRequest = 2,
}

#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    #[prost(enumeration = "ProbeKind", tag = "1")]
    pub kind: i32,
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    #[prost(uint32, tag = "3")]
    pub target: MemberId,
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<GossipUpdate>,
    /// Where the sender is reached, for those who do not know it yet.
    #[prost(string, tag = "5")]
    pub sender_address: String,
}

// The log.

/// Where a member of the log is reached.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberAddress {
    #[prost(uint32, tag = "1")]
    pub id: MemberId,
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Who votes, and who only learns.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Configuration {
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<MemberAddress>,
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<MemberAddress>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Neither of the two: the first entry of a term.
    #[prost(message, optional, tag = "3")]
    pub command: Option<Command>,
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<Configuration>,
}

#[derive(Clone, PartialEq, Message)]
pub struct RequestVote {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub last_log_index: LogIndex,
    #[prost(uint64, tag = "3")]
    pub last_log_term: u64,
    /// Would you? Nothing is promised yet.
    #[prost(bool, tag = "4")]
    pub pre_vote: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct VoteResponse {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub pre_vote: bool,
    #[prost(bool, tag = "3")]
    pub granted: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct AppendEntries {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub prev_log_index: LogIndex,
    #[prost(uint64, tag = "3")]
    pub prev_log_term: u64,
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<Entry>,
    #[prost(uint64, tag = "5")]
    pub leader_commit: LogIndex,
    #[prost(uint64, tag = "6")]
    pub heartbeat_round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct AppendResponse {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub success: bool,
    /// Fits: kept safely up to here. Else: try from after here.
    #[prost(uint64, tag = "3")]
    pub index: LogIndex,
    #[prost(uint64, tag = "4")]
    pub heartbeat_round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub last_included_index: LogIndex,
    #[prost(uint64, tag = "3")]
    pub last_included_term: u64,
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<Configuration>,
    #[prost(bytes = "vec", tag = "5")]
    pub state: Vec<u8>,
    #[prost(uint64, tag = "6")]
    pub heartbeat_round: u64,
}

/// For the leader's log. A request that comes again, by whatever way, has no second effect.
#[derive(Clone, PartialEq, Message)]
pub struct Proposal {
    #[prost(message, optional, tag = "1")]
    pub command: Option<Command>,
}

// Leases.

#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// By the sender's clock, given back as it is.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrant {
    #[prost(uint64, tag = "1")]
    pub request_sent_at: u64,
    /// The lease holds for whoever has carried out the log up to here.
    #[prost(uint64, tag = "2")]
    pub commit_index: LogIndex,
}

// Merged reports.

/// Reports of one cycle, one row a server and locality; columns are of one length.
#[derive(Clone, PartialEq, Message)]
pub struct ReportTotals {
    #[prost(uint32, repeated, tag = "1")]
    pub servers: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    pub localities: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub attempts: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub failures: Vec<u32>,
    /// Microseconds, the mean of those that succeeded.
    #[prost(uint32, repeated, tag = "5")]
    pub mean_response_time_us: Vec<u32>,
    /// Milliseconds that the row was counted over.
    #[prost(uint32, repeated, tag = "6")]
    pub window_ms: Vec<u32>,
    /// Rows left out, since they did not fit.
    #[prost(uint32, tag = "7")]
    pub omitted_rows: u32,
}

/// What all others met, from the holder of the duty to merge.
#[derive(Clone, PartialEq, Message)]
pub struct PeerReports {
    #[prost(uint64, tag = "1")]
    pub epoch: Epoch,
    #[prost(message, optional, tag = "2")]
    pub totals: Option<ReportTotals>,
    #[prost(uint32, tag = "3")]
    pub reporters: u32,
}

// Commands of the log.

#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// Given by whoever first asked; 0 where the leader itself acts.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(oneof = "CommandPayload", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub payload: Option<CommandPayload>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum CommandPayload {
    #[prost(message, tag = "2")]
    AssignDuty(AssignDuty),
    #[prost(message, tag = "3")]
    OperatorOrder(OperatorOrder),
    #[prost(message, tag = "4")]
    ReleaseOrder(ReleaseOrder),
    #[prost(message, tag = "5")]
    BeginDrain(BeginDrain),
    #[prost(message, tag = "6")]
    MoveRange(MoveRange),
    #[prost(message, tag = "7")]
    RangeCleared(RangeCleared),
    #[prost(message, tag = "8")]
    AssignRange(AssignRange),
    #[prost(message, tag = "9")]
    ChangeMembership(MembershipChange),
}

/// Something that one member at a time does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Merges everybody's reports.
    MergeReports,
    /// Fences the table of the operation at this position.
    FenceTable(u32),
    /// Carries out operators' drains in the locality at this position.
    RunDrains(u32),
    /// Finds an owner for this key range.
    PlaceRange(u32),
}

#[derive(Clone, PartialEq, Message)]
pub struct DutyKey {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint32, tag = "2")]
    pub position: u32,
}

impl From<Duty> for DutyKey {
    fn from(duty: Duty) -> Self {
        let (kind, at) = match duty {
            Duty::MergeReports => (0, 0),
            Duty::FenceTable(at) => (1, at),
            Duty::RunDrains(at) => (2, at),
            Duty::PlaceRange(at) => (3, at),
        };
        DutyKey { kind, position: at }
    }
}

impl DutyKey {
    /// Nothing where a later version knows more kinds.
    pub fn duty(&self) -> Option<Duty> {
        match self.kind {
            0 => Some(Duty::MergeReports),
            1 => Some(Duty::FenceTable(self.position)),
            2 => Some(Duty::RunDrains(self.position)),
            3 => Some(Duty::PlaceRange(self.position)),
            _ => None,
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct AssignDuty {
    #[prost(message, optional, tag = "1")]
    pub duty: Option<DutyKey>,
    #[prost(uint32, tag = "2")]
    pub holder: MemberId,
}

/// An operator's order about a server.
#[derive(Clone, PartialEq, Message)]
pub struct OperatorOrder {
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// Position of the server's locality.
    #[prost(uint32, tag = "2")]
    pub locality: u32,
    /// Nothing: drain it. Else its weight is held at most at this part of what is decided, in millionths.
    #[prost(uint32, optional, tag = "3")]
    pub weight_cap_millionths: Option<u32>,
}

/// The order that stands at `order` ends.
#[derive(Clone, PartialEq, Message)]
pub struct ReleaseOrder {
    #[prost(uint64, tag = "1")]
    pub order_index: LogIndex,
}

/// A drain that waited begins. By the holder of that duty.
#[derive(Clone, PartialEq, Message)]
pub struct BeginDrain {
    #[prost(uint64, tag = "1")]
    pub order_index: LogIndex,
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// A range leaves its owner, for another. By the holder of that duty, or an operator (`epoch` 0).
#[derive(Clone, PartialEq, Message)]
pub struct MoveRange {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    #[prost(uint32, tag = "2")]
    pub to_server: u32,
    #[prost(uint64, tag = "3")]
    pub epoch: Epoch,
}

/// Nobody that `by` ever told of the owner before sends there any more.
#[derive(Clone, PartialEq, Message)]
pub struct RangeCleared {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Index of the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    #[prost(uint32, tag = "3")]
    pub by_member: MemberId,
}

/// The new owner of a range begins. By the leader, once nobody can still use the owner before.
#[derive(Clone, PartialEq, Message)]
pub struct AssignRange {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// Of the leader that decided it: one that was deposed meanwhile has decided nothing.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// A controller is taken in or out; carried out by the leader as changes of seats.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipChange {
    #[prost(message, optional, tag = "1")]
    pub member: Option<MemberAddress>,
    #[prost(bool, tag = "2")]
    pub removed: bool,
}

// What is kept.

/// Records that are kept together or not at all.
#[derive(Clone, PartialEq, Message)]
pub struct RecordBatch {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<StoredRecord>,
}

/// One record of the file; a later one stands above an earlier one.
#[derive(Clone, PartialEq, Message)]
pub struct StoredRecord {
    #[prost(oneof = "RecordKind", tags = "1, 2, 3, 4")]
    pub kind: Option<RecordKind>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum RecordKind {
    /// So many starts there were.
    #[prost(uint64, tag = "1")]
    StartCount(u64),
    #[prost(message, tag = "2")]
    Vote(Vote),
    /// An entry; those at its index and after it are no more.
    #[prost(message, tag = "3")]
    Entry(Entry),
    #[prost(message, tag = "4")]
    Snapshot(Snapshot),
}

#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint32, optional, tag = "2")]
    pub voted_for: Option<MemberId>,
}

// Key ranges, for forwarders: `/shalereel.v1.Ranges/Hold`, a stream both ways.

/// A range that a forwarder holds a line of.
#[derive(Clone, PartialEq, Message)]
pub struct HeldRange {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// A forwarder's question.
#[derive(Clone, PartialEq, Message)]
pub struct RangesRequest {
    /// By its own clock, given back as it is; 0 is not used.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
    /// Number of the last answer read on this stream.
    #[prost(uint64, tag = "2")]
    pub last_response_read: u64,
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<HeldRange>,
}

#[derive(Clone, PartialEq, Message)]
pub struct AddressedRoute {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    #[prost(uint32, tag = "2")]
    pub owner: u32,
    #[prost(uint64, tag = "3")]
    pub epoch: Epoch,
    /// Where the owner is, with port.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// An answer, or, with `asked` 0, word of what still stands.
#[derive(Clone, PartialEq, Message)]
pub struct RangesResponse {
    #[prost(uint64, tag = "1")]
    pub request_sent_at: u64,
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Nanoseconds from the question on that the lines may be used for.
    #[prost(uint64, tag = "3")]
    pub tenure: u64,
    /// Nothing is said of routes: those that are held go on until they end.
    #[prost(bool, tag = "4")]
    pub routes_omitted: bool,
    #[prost(message, repeated, tag = "5")]
    pub lines: Vec<AddressedRoute>,
    /// Of how many: a key's hash, first 64 bits as a fraction of all, falls into one.
    #[prost(uint32, tag = "6")]
    pub range_count: u32,
}

// Operators: `/shalereel.v1.Control/RequestVote`, one question and one answer.

#[derive(Clone, PartialEq, Message)]
pub struct ControlRequest {
    /// Nothing: how things stand. Else an order.
    #[prost(message, optional, tag = "1")]
    pub command: Option<Command>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ControlResponse {
    /// JSON, as `docs/shared-control.md` describes it.
    #[prost(string, tag = "1")]
    pub json: String,
}
