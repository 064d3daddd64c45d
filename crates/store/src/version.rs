//! A version of a table: what has changed since the version before it, when and why.

use shalereel::interface::{Nanos, ServerId, TableId};

use crate::digest::{Check, Digest, Salt};
use crate::line::Line;

/// Number of a version. Numbers increase over all tables of a store, and across restarts. 0 stands for no version.
pub type VersionNumber = u64;

/// Who made a change, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Provenance {
    /// `module` (the controller), `list` (the endpoint list), or an operator's name.
    pub actor: String,
    /// The reason as the actor stated it.
    pub reason: String,
}

impl Provenance {
    /// A provenance with this actor and reason.
    pub fn new(actor: &str, reason: impl Into<String>) -> Self {
        Provenance { actor: actor.into(), reason: reason.into() }
    }
}

/// One server's line before and after a version; `None` stands for no line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineChange {
    /// Number of the server.
    pub server: ServerId,
    /// The server's line in the version before.
    pub before: Option<Line>,
    /// The server's line in this version.
    pub after: Option<Line>,
}

/// A version of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Number of the version.
    pub number: VersionNumber,
    /// The table that it is a version of.
    pub table: TableId,
    /// Number of the version of the same table before it; 0 if there is none.
    pub parent: VersionNumber,
    /// Time of publication by the wall clock, ns since 1970.
    pub published_at: Nanos,
    /// Who made the version, and why.
    pub provenance: Provenance,
    /// Digest of all lines of the table as of this version.
    pub digest: Digest,
    /// Salt of the digest.
    pub salt: Salt,
    /// Lines that differ from the parent's.
    pub changes: Vec<LineChange>,
}

impl Version {
    /// The check of this version: its number and digest.
    pub fn check(&self) -> Check {
        Check { number: self.number, digest: self.digest, salt: self.salt }
    }
}
