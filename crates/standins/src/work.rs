//! Invocations between caller, forwarder and server: unary gRPC calls, the operation in the path.

use prost::Message;

/// The path before an operation's name, as the routes have it.
const PREFIX: &str = "/shalereel.work.v1.Work/";

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Invocation {
    #[prost(uint64, tag = "1")]
    pub(crate) inv: u64,
    /// The caller's own try, from 0.
    #[prost(uint32, tag = "2")]
    pub(crate) attempt: u32,
    /// The forwarder's try, from 0.
    #[prost(uint32, tag = "3")]
    pub(crate) further: u32,
    #[prost(uint32, tag = "4")]
    pub(crate) forwarder: u32,
    /// The mark against repeats; 0: none.
    #[prost(uint64, tag = "5")]
    pub(crate) fingerprint: u64,
    /// Nanoseconds of a core of speed 1.
    #[prost(uint64, tag = "6")]
    pub(crate) work: u64,
    #[prost(uint32, tag = "7")]
    pub(crate) operation: u32,
    /// Where it goes by its key: the range, and the epoch of the line that it was sent by; 0: by weight.
    #[prost(uint32, tag = "8")]
    pub(crate) range: u32,
    #[prost(uint64, tag = "9")]
    pub(crate) epoch: u64,
}

/// What comes back: the server's load as it says.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Answer {
    #[prost(double, tag = "1")]
    pub(crate) cpu: f64,
    #[prost(uint32, tag = "2")]
    pub(crate) waiting: u32,
}

pub(crate) fn path(operation: &str) -> String {
    format!("{PREFIX}{operation}")
}
