//! Numbers that identify members, log entries and assignments.

/// Number of a supervisor in its deployment file.
pub type MemberId = u32;

/// Index of a log entry, counted from 1; 0 is before the first entry.
pub type LogIndex = u64;

/// Fencing token of an assignment: the index of the entry that assigned the duty or range. A later assignment has a
/// higher epoch.
pub type Epoch = u64;

/// The epoch of a table version of the form "epoch/number"; 0 if the version has no epoch.
pub fn epoch_of_version(version: &str) -> Epoch {
    version.split_once('/').and_then(|(epoch, _)| epoch.parse().ok()).unwrap_or(0)
}
