//! Numbers that identify members, log entries and assignments.

/// Number of a supervisor, as its deployment file has it.
pub type MemberId = u32;

/// Position in the log, from 1; 0 is before the first entry.
pub type LogIndex = u64;

/// Index of the entry that assigned a duty or a range: a later assignment has a higher epoch.
pub type Epoch = u64;

/// The epoch in a table's version, "epoch/number"; 0 where the version has none.
pub fn epoch_of_version(version: &str) -> Epoch {
    version.split_once('/').and_then(|(epoch, _)| epoch.parse().ok()).unwrap_or(0)
}
