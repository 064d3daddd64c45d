//! Stored snapshots of the state that a controller has learned, so that a restarted supervisor does not start
//! without it. Free of I/O and of clocks. `shalereeld` (`crates/xds-supervisor`) reads and writes the file.
//! `docs/memory.md` describes the design.
//!
//! The file is a single frame of `shalereel_journal` after a magic number of its own; it is used only if it
//! is intact. The record is a schema number followed by the snapshot in postcard's format (`postcard` 1).
//! [`FreshnessPolicy`] decides whether a snapshot may still be used and how often one is written; the
//! controller decides how much weight the parts of a restored snapshot have.

#![deny(missing_docs)]

mod freshness;
mod schema;
mod stored;
#[cfg(test)]
mod tests;

pub use freshness::{FreshnessPolicy, RejectReason};
pub use stored::{SnapshotError, StoredSnapshot, MAGIC};
