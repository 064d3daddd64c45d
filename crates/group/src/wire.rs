//! What members say to one another, and what they keep: protobuf messages of this project's own.

use prost::{Message, Oneof};

/// Path of the stream on which members speak.
pub const SPEAK: &str = "/shalereel.group.v1.Group/Speak";
/// Path of the stream on which forwarders hold key ranges.
pub const HOLD: &str = "/shalereel.v1.Ranges/Hold";
/// Path of operators' questions and orders.
pub const CONTROL: &str = "/shalereel.v1.Control/Ask";

/// The epoch in a table's version, "epoch/number"; 0 where it has none.
pub fn epoch_of(version: &str) -> Epoch {
    version.split_once('/').and_then(|(epoch, _)| epoch.parse().ok()).unwrap_or(0)
}

/// Number of a supervisor, as its file has it.
pub type Node = u32;
/// Position in the log, from 1.
pub type Index = u64;
/// Index of the entry that gave a duty or a range to its holder: a later gift has a higher one.
pub type Epoch = u64;

/// One message from member to member.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    #[prost(uint32, tag = "1")]
    pub from: Node,
    #[prost(uint32, tag = "2")]
    pub to: Node,
    /// Of the group's name: members of another group are not heard.
    #[prost(uint64, tag = "3")]
    pub group: u64,
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    #[prost(message, tag = "4")]
    Gossip(Gossip),
    #[prost(message, tag = "5")]
    Ask(Ask),
    #[prost(message, tag = "6")]
    Voted(Voted),
    #[prost(message, tag = "7")]
    Append(Append),
    #[prost(message, tag = "8")]
    Appended(Appended),
    #[prost(message, tag = "9")]
    Snapshot(Snapshot),
    #[prost(message, tag = "10")]
    Propose(Propose),
    #[prost(message, tag = "12")]
    Renew(Renew),
    #[prost(message, tag = "13")]
    Renewed(Renewed),
    #[prost(message, tag = "14")]
    Sums(Sums),
    #[prost(message, tag = "15")]
    Others(Others),
}

// Membership.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    Left = 3,
}

/// What somebody knows of a member.
#[derive(Clone, PartialEq, Message)]
pub struct Rumour {
    #[prost(uint32, tag = "1")]
    pub number: Node,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(enumeration = "Standing", tag = "4")]
    pub standing: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Probe {
    Ping = 0,
    Ack = 1,
    /// Ping `about` for me.
    Indirect = 2,
}

#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    #[prost(enumeration = "Probe", tag = "1")]
    pub probe: i32,
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    #[prost(uint32, tag = "3")]
    pub about: Node,
    #[prost(message, repeated, tag = "4")]
    pub rumours: Vec<Rumour>,
    /// Where the sender is reached, for those who do not know it yet.
    #[prost(string, tag = "5")]
    pub address: String,
}

// The log.

/// Where a member of the log is reached.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Seat {
    #[prost(uint32, tag = "1")]
    pub number: Node,
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Who votes, and who only learns.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Seats {
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<Seat>,
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<Seat>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    #[prost(uint64, tag = "1")]
    pub index: Index,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Neither of the two: the first entry of a term.
    #[prost(message, optional, tag = "3")]
    pub command: Option<Command>,
    #[prost(message, optional, tag = "4")]
    pub seats: Option<Seats>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub last_index: Index,
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Would you? Nothing is promised yet.
    #[prost(bool, tag = "4")]
    pub pre: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Voted {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub pre: bool,
    #[prost(bool, tag = "3")]
    pub granted: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Append {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub prev_index: Index,
    #[prost(uint64, tag = "3")]
    pub prev_term: u64,
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<Entry>,
    #[prost(uint64, tag = "5")]
    pub commit: Index,
    #[prost(uint64, tag = "6")]
    pub round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Appended {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub fits: bool,
    /// Fits: kept safely up to here. Else: try from after here.
    #[prost(uint64, tag = "3")]
    pub index: Index,
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub index: Index,
    #[prost(uint64, tag = "3")]
    pub index_term: u64,
    #[prost(message, optional, tag = "4")]
    pub seats: Option<Seats>,
    #[prost(bytes = "vec", tag = "5")]
    pub state: Vec<u8>,
    #[prost(uint64, tag = "6")]
    pub round: u64,
}

/// For the leader's log. A request that comes again, by whatever way, has no second effect.
#[derive(Clone, PartialEq, Message)]
pub struct Propose {
    #[prost(message, optional, tag = "1")]
    pub command: Option<Command>,
}

// Leases.

#[derive(Clone, PartialEq, Message)]
pub struct Renew {
    /// By the sender's clock, given back as it is.
    #[prost(uint64, tag = "1")]
    pub sent: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Renewed {
    #[prost(uint64, tag = "1")]
    pub sent: u64,
    /// The lease holds for whoever has carried out the log up to here.
    #[prost(uint64, tag = "2")]
    pub commit: Index,
}

// Merged reports.

/// Reports of one cycle, one row a server and locality; columns are of one length.
#[derive(Clone, PartialEq, Message)]
pub struct Sums {
    #[prost(uint32, repeated, tag = "1")]
    pub server: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    pub locality: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub tries: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub lost: Vec<u32>,
    /// Microseconds, the mean of those that succeeded.
    #[prost(uint32, repeated, tag = "5")]
    pub time_us: Vec<u32>,
    /// Milliseconds that the row was counted over.
    #[prost(uint32, repeated, tag = "6")]
    pub window_ms: Vec<u32>,
    /// Rows left out, since they did not fit.
    #[prost(uint32, tag = "7")]
    pub left_out: u32,
}

/// What all others met, from the holder of the duty to merge.
#[derive(Clone, PartialEq, Message)]
pub struct Others {
    #[prost(uint64, tag = "1")]
    pub epoch: Epoch,
    #[prost(message, optional, tag = "2")]
    pub sums: Option<Sums>,
    #[prost(uint32, tag = "3")]
    pub supervisors: u32,
}

// Commands of the log.

#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// Given by whoever first asked; 0 where the leader itself acts.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    #[prost(oneof = "Act", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub act: Option<Act>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Act {
    #[prost(message, tag = "2")]
    Assign(Assign),
    #[prost(message, tag = "3")]
    Order(Order),
    #[prost(message, tag = "4")]
    Release(Release),
    #[prost(message, tag = "5")]
    Begin(Begin),
    #[prost(message, tag = "6")]
    Move(Move),
    #[prost(message, tag = "7")]
    Cleared(Cleared),
    #[prost(message, tag = "8")]
    Give(Give),
    #[prost(message, tag = "9")]
    Seat(SeatChange),
}

/// Something that one member at a time does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Merges everybody's reports.
    Reports,
    /// Fences the table of the operation at this position.
    Table(u32),
    /// Carries out operators' drains in the locality at this position.
    Drains(u32),
    /// Finds an owner for this key range.
    Range(u32),
}

#[derive(Clone, PartialEq, Message)]
pub struct DutyName {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint32, tag = "2")]
    pub at: u32,
}

impl From<Duty> for DutyName {
    fn from(duty: Duty) -> Self {
        let (kind, at) = match duty {
            Duty::Reports => (0, 0),
            Duty::Table(at) => (1, at),
            Duty::Drains(at) => (2, at),
            Duty::Range(at) => (3, at),
        };
        DutyName { kind, at }
    }
}

impl DutyName {
    /// Nothing where a later version knows more kinds.
    pub fn duty(&self) -> Option<Duty> {
        match self.kind {
            0 => Some(Duty::Reports),
            1 => Some(Duty::Table(self.at)),
            2 => Some(Duty::Drains(self.at)),
            3 => Some(Duty::Range(self.at)),
            _ => None,
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct Assign {
    #[prost(message, optional, tag = "1")]
    pub duty: Option<DutyName>,
    #[prost(uint32, tag = "2")]
    pub holder: Node,
}

/// An operator's order about a server.
#[derive(Clone, PartialEq, Message)]
pub struct Order {
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// Position of the server's locality.
    #[prost(uint32, tag = "2")]
    pub locality: u32,
    /// Nothing: drain it. Else its weight is held at most at this part of what is decided, in millionths.
    #[prost(uint32, optional, tag = "3")]
    pub hold: Option<u32>,
}

/// The order that stands at `order` ends.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    #[prost(uint64, tag = "1")]
    pub order: Index,
}

/// A drain that waited begins. By the holder of that duty.
#[derive(Clone, PartialEq, Message)]
pub struct Begin {
    #[prost(uint64, tag = "1")]
    pub order: Index,
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// A range leaves its owner, for another. By the holder of that duty, or an operator (`epoch` 0).
#[derive(Clone, PartialEq, Message)]
pub struct Move {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    #[prost(uint32, tag = "2")]
    pub to: u32,
    #[prost(uint64, tag = "3")]
    pub epoch: Epoch,
}

/// Nobody that `by` ever told of the owner before sends there any more.
#[derive(Clone, PartialEq, Message)]
pub struct Cleared {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Index of the move.
    #[prost(uint64, tag = "2")]
    pub moved: Index,
    #[prost(uint32, tag = "3")]
    pub by: Node,
}

/// The new owner of a range begins. By the leader, once nobody can still use the owner before.
#[derive(Clone, PartialEq, Message)]
pub struct Give {
    #[prost(uint32, tag = "1")]
    pub range: u32,
    #[prost(uint64, tag = "2")]
    pub moved: Index,
    /// Of the leader that decided it: one that was deposed meanwhile has decided nothing.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// A controller is taken in or out; carried out by the leader as changes of seats.
#[derive(Clone, PartialEq, Message)]
pub struct SeatChange {
    #[prost(message, optional, tag = "1")]
    pub seat: Option<Seat>,
    #[prost(bool, tag = "2")]
    pub out: bool,
}

// What is kept.

/// Records that are kept together or not at all.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
}

/// One record of the file; a later one stands above an earlier one.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    #[prost(oneof = "Kept", tags = "1, 2, 3, 4")]
    pub kept: Option<Kept>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Kept {
    /// So many starts there were.
    #[prost(uint64, tag = "1")]
    Boot(u64),
    #[prost(message, tag = "2")]
    Vote(Vote),
    /// An entry; those at its index and after it are no more.
    #[prost(message, tag = "3")]
    Entry(Entry),
    #[prost(message, tag = "4")]
    Base(Snapshot),
}

#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint32, optional, tag = "2")]
    pub voted: Option<Node>,
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
pub struct RangesAsk {
    /// By its own clock, given back as it is; 0 is not used.
    #[prost(uint64, tag = "1")]
    pub asked: u64,
    /// Number of the last answer read on this stream.
    #[prost(uint64, tag = "2")]
    pub seen: u64,
    #[prost(message, repeated, tag = "3")]
    pub holds: Vec<HeldRange>,
}

#[derive(Clone, PartialEq, Message)]
pub struct RangeTold {
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
pub struct RangesAnswer {
    #[prost(uint64, tag = "1")]
    pub asked: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Nanoseconds from the question on that the lines may be used for.
    #[prost(uint64, tag = "3")]
    pub tenure: u64,
    /// Nothing is said of lines: those that are held go on until they end.
    #[prost(bool, tag = "4")]
    pub silent: bool,
    #[prost(message, repeated, tag = "5")]
    pub lines: Vec<RangeTold>,
    /// Of how many: a key's hash, first 64 bits as a fraction of all, falls into one.
    #[prost(uint32, tag = "6")]
    pub ranges: u32,
}

// Operators: `/shalereel.v1.Control/Ask`, one question and one answer.

#[derive(Clone, PartialEq, Message)]
pub struct ControlAsk {
    /// Nothing: how things stand. Else an order.
    #[prost(message, optional, tag = "1")]
    pub order: Option<Command>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ControlAnswer {
    /// JSON, as `docs/shared-control.md` describes it.
    #[prost(string, tag = "1")]
    pub told: String,
}
