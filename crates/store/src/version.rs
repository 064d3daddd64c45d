//! A version of a table: what changed against the one before it, when and why.

use shalereel::interface::{Nanos, ServerId, TableId};

use crate::digest::{Check, Digest, Salt};
use crate::line::Line;

/// Number of a version; it grows over all tables of a store, and over restarts. 0 stands for no version.
pub type VersionNumber = u64;

/// Who made a version, and for what reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Provenance {
    /// `module`, `list`, or an operator's name.
    pub actor: String,
    /// In the actor's words.
    pub reason: String,
}

impl Provenance {
    /// The provenance of a version by `actor`.
    pub fn new(actor: &str, reason: impl Into<String>) -> Self {
        Provenance { actor: actor.into(), reason: reason.into() }
    }
}

/// One server's line before and after a version; `None` stands for no line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineChange {
    /// Which server.
    pub server: ServerId,
    /// Its line in the version before.
    pub before: Option<Line>,
    /// Its line in this version.
    pub after: Option<Line>,
}

/// A version of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Its number.
    pub number: VersionNumber,
    /// Of which table.
    pub table: TableId,
    /// The version of the same table before it; 0: none.
    pub parent: VersionNumber,
    /// When it was published, by the wall clock, ns since 1970.
    pub published_at: Nanos,
    /// Who made it and why.
    pub provenance: Provenance,
    /// Digest of all lines of the table.
    pub digest: Digest,
    /// Salt of the digest.
    pub salt: Salt,
    /// Lines that differ from the parent's.
    pub changes: Vec<LineChange>,
}

impl Version {
    /// Number and digest.
    pub fn check(&self) -> Check {
        Check { number: self.number, digest: self.digest, salt: self.salt }
    }
}
