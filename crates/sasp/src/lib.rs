//! SASP, the Server/Application State Protocol, version 1 (RFC 4678): the messages that load balancers and members exchange
//! with a workload manager, and the manager's state of all connections. Free of I/O.
//!
//! [`Frames`] splits a stream into messages and decodes them, [`Message::encode`] encodes them, [`Advisor`] is the workload
//! manager, which registers load balancers and members and replies to them, and [`weights`] rounds a table's weights to the
//! 16 bits of the protocol. `docs/sasp.md` lists the numbers of the protocol and how certain each is.
//! `crates/xds-supervisor` serves these connections.

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
