//! Faults that tests inject to show that the checks detect them.

/// A deliberately injected fault. Never set in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A leader commits entries of earlier terms by counting replicas, which Raft forbids.
    CommitEarlierTerm,
    /// Log writes count as synced as soon as they are issued.
    NoSync,
    /// Neither epochs nor leases are enforced, so stale holders are not rejected.
    NoFencing,
}
