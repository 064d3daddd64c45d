//! Snapshots of what a controller has learned, stored in a file so that a restarted supervisor does not begin from nothing.
//! Free of I/O and clock. Called by `shalereeld` (`crates/xds-supervisor`), which reads and writes the file.
//! `docs/memory.md` has the design.
//!
//! The file is one frame of `shalereel_journal` behind a magic of its own: it is either intact or not used. The record is a
//! schema number and the snapshot in postcard's format (`postcard` 1). [`FreshnessPolicy`] decides whether a snapshot is
//! still used and how often one is written; how much the parts of a used one weigh is the controller's decision.

#![deny(missing_docs)]

mod freshness;
mod schema;
mod stored;
#[cfg(test)]
mod tests;

pub use freshness::{FreshnessPolicy, RejectReason};
pub use stored::{SnapshotError, StoredSnapshot, MAGIC};
