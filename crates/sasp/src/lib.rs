//! SASP, the Server/Application State Protocol, version 1 (RFC 4678): what load balancers and members send to a workload
//! manager, and what it sends back. Free of I/O.
//!
//! [`MessageFramer`] cuts a stream into messages, [`Message`] is decoded and encoded, [`WorkloadManager`] keeps all
//! connections to the protocol, [`weights`] rounds a table to the 16-bit weights that balancers take. `docs/sasp.md` has
//! the table of numbers and says which of them are certain.

#![deny(missing_docs)]

mod codec;
mod message;
pub mod numbers;
mod session;
pub mod weights;

pub use codec::{DecodeError, MessageFramer};
pub use message::{Body, Group, LbFlags, Member, MemberState, Message, ReturnCode, WeightEntry};
pub use session::{Peer, Reply, SessionEvent, SessionLimits, WeightLookup, WorkloadManager};
