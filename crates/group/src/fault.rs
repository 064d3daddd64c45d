//! Faults that tests inject to show that a check finds them.

/// A fault injected on purpose. Never set in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A leader commits an entry of an earlier term by counting replicas.
    CommitEarlierTerm,
    /// What is not synced counts as stored.
    NoSync,
    /// Neither epochs nor leases are enforced.
    NoFencing,
}
