//! SASP, the Server/Application State Protocol, version 1 (RFC 4678): what balancers and members say to a
//! workload manager and what it says back. Free of I/O.
//!
//! [`Frames`] cuts a stream into messages, [`Message`] reads and writes them, [`Advisor`] keeps all peers to the
//! protocol, [`weights`] turns a table into the 16-bit weights that balancers take. `docs/sasp.md` has the table of
//! numbers and says which of them are certain.

mod codec;
mod message;
pub mod numbers;
mod session;
pub mod weights;

pub use codec::{DecodeError, Frames};
pub use message::{Body, Group, LbFlags, Member, MemberState, Message, ReturnCode, WeightEntry};
pub use session::{Advisor, Answer, Bounds, Change, Lookup, Peer};
