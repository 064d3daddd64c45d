//! Messages of invocations between callers, forwarders and servers. An invocation is a unary gRPC call whose path ends
//! with the name of the operation.

use prost::Message;

/// Path of an invocation before the operation's name; the route configuration of a supervisor has the same.
const PATH_PREFIX: &str = "/shalereel.work.v1.Work/";

/// Request of an invocation.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Invocation {
    /// Number of the invocation, the same for all its attempts.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// Number of the caller's attempt, from 0.
    #[prost(uint32, tag = "2")]
    pub(crate) caller_attempt: u32,
    /// Number of the forwarder's attempt within the caller's, from 0.
    #[prost(uint32, tag = "3")]
    pub(crate) forwarder_attempt: u32,
    /// Number of the forwarder.
    #[prost(uint32, tag = "4")]
    pub(crate) forwarder: u32,
    /// Key by which servers drop repeats; 0 for none.
    #[prost(uint64, tag = "5")]
    pub(crate) fingerprint: u64,
    /// Work in nanoseconds of a core of speed 1.
    #[prost(uint64, tag = "6")]
    pub(crate) work: u64,
    /// Index of the operation in the plan.
    #[prost(uint32, tag = "7")]
    pub(crate) operation: u32,
    /// Key range of an invocation that is routed by key.
    #[prost(uint32, tag = "8")]
    pub(crate) range: u32,
    /// Epoch of the route that it is sent by; 0 if it is routed by weight.
    #[prost(uint64, tag = "9")]
    pub(crate) epoch: u64,
}

/// Response to an invocation, with the load that the server reports.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServerResponse {
    /// Fraction of the server's cores that are busy.
    #[prost(double, tag = "1")]
    pub(crate) cpu: f64,
    /// Number of invocations that wait for a core.
    #[prost(uint32, tag = "2")]
    pub(crate) queued: u32,
}

/// gRPC path of an operation.
pub(crate) fn path(operation: &str) -> String {
    format!("{PATH_PREFIX}{operation}")
}
