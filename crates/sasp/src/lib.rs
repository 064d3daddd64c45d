//! SASP, the Server/Application State Protocol, version 1 (RFC 4678): messages between load balancers or members and
//! a workload manager, and the manager's side of all connections. Free of I/O.
//!
//! [`Frames`] cuts a stream into messages, [`Message`] is decoded and encoded, [`Advisor`] registers load balancers
//! and members and replies to them, [`weights`] rounds a table's weights to the 16 bits of the protocol.
//! `docs/sasp.md` has the table of numbers and says which of them are certain. `crates/xds-supervisor` serves these
//! connections.

#![deny(missing_docs, unreachable_pub)]

mod decode;
mod encode;
mod frames;
mod message;
pub mod numbers;
mod session;
pub mod weights;

pub use decode::DecodeError;
pub use frames::Frames;
pub use message::{Body, Group, GroupOf, LbFlags, Member, MemberState, Message, ReturnCode, WeightEntry};
pub use session::{Advisor, Answer, BalancerLimits, Change, Peer, WeightLookup};
