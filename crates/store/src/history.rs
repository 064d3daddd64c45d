//! The retained versions of one table.

use std::collections::{BTreeSet, VecDeque};

use shalereel::interface::{Nanos, ServerId};

use crate::delta::Delta;
use crate::digest::{Check, Digest, Salt};
use crate::line::{replace_line, Line, Lines};
use crate::version::{LineChange, Version, VersionNumber};

/// Versions of a table between changes of its salt.
const VERSIONS_PER_SALT: u64 = 256;

/// Servers whose lines changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangesSince {
    /// All of them.
    pub changed: BTreeSet<ServerId>,
    /// Those that were draining or had no line in any version since.
    pub unavailable: BTreeSet<ServerId>,
}

/// A table with its retained versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableHistory {
    /// As of the newest version.
    pub(crate) lines: Lines,
    pub(crate) digest: Digest,
    pub(crate) salt: Salt,
    /// Oldest version that is still known; `versions` came after it.
    pub(crate) base: VersionNumber,
    pub(crate) base_published_at: Nanos,
    pub(crate) versions: VecDeque<Version>,
    /// Versions published since the start of the program.
    published: u64,
}

impl TableHistory {
    /// A table of which nothing but one version is known.
    pub(crate) fn from_base(base: VersionNumber, base_published_at: Nanos, lines: Lines) -> Self {
        TableHistory { lines, base, base_published_at, ..TableHistory::default() }
    }

    pub(crate) fn newest(&self) -> VersionNumber {
        self.versions.back().map_or(self.base, |version| version.number)
    }

    pub(crate) fn check(&self) -> Check {
        Check { number: self.newest(), digest: self.digest, salt: self.salt }
    }

    pub(crate) fn version(&self, number: VersionNumber) -> Option<&Version> {
        let at = self.versions.binary_search_by_key(&number, |version| version.number).ok()?;
        self.versions.get(at)
    }

    /// Whether the lines of a version can be reconstructed.
    pub(crate) fn knows(&self, number: VersionNumber) -> bool {
        self.base == number && number > 0 || self.version(number).is_some()
    }

    /// The lines as of a known version.
    pub(crate) fn lines_at(&self, number: VersionNumber) -> Lines {
        let mut lines = self.lines.clone();
        for version in self.newer_than(number) {
            for change in version.changes.iter().rev() {
                replace_line(&mut lines, change.server, change.before);
            }
        }
        lines
    }

    /// Versions after `number`, the newest first.
    fn newer_than(&self, number: VersionNumber) -> impl Iterator<Item = &Version> {
        self.versions.iter().rev().take_while(move |version| version.number > number)
    }

    /// Sets lines; gives those that changed by it. The digest is left to be updated.
    pub(crate) fn set_lines(
        &mut self,
        touched: impl IntoIterator<Item = (ServerId, Option<Line>)>,
    ) -> Vec<LineChange> {
        let mut changes = Vec::new();
        for (server, after) in touched {
            let before = self.lines.get(&server).copied();
            if before != after {
                replace_line(&mut self.lines, server, after);
                changes.push(LineChange { server, before, after });
            }
        }
        changes
    }

    /// Updates the digest by the changes of a new version. The first version since the start of the program, and one of so
    /// many after it, brings a new salt.
    pub(crate) fn update_digest_for_published(&mut self, changes: &[LineChange], new_salt: Salt) {
        if self.published.is_multiple_of(VERSIONS_PER_SALT) {
            self.digest_all_lines(new_salt);
        } else {
            self.digest_changes(changes);
        }
        self.published += 1;
    }

    /// Updates the digest by the changes of a version that was read from a file.
    pub(crate) fn update_digest_for_loaded(&mut self, changes: &[LineChange], salt: Salt) {
        if self.versions.is_empty() || salt != self.salt {
            self.digest_all_lines(salt);
        } else {
            self.digest_changes(changes);
        }
    }

    fn digest_all_lines(&mut self, salt: Salt) {
        self.digest = Digest::of(&self.lines, salt);
        self.salt = salt;
    }

    fn digest_changes(&mut self, changes: &[LineChange]) {
        for change in changes {
            let (before, after) = (change.before.as_ref(), change.after.as_ref());
            self.digest.replace(change.server, before, after, self.salt);
        }
    }

    /// When the oldest retained version was published; 0 where none is retained.
    pub(crate) fn oldest_published_at(&self) -> Nanos {
        self.versions.front().map_or(0, |version| version.published_at)
    }

    /// Drops the oldest retained version, `number`, which becomes the base.
    pub(crate) fn drop_oldest(&mut self, number: VersionNumber) {
        self.base = number;
        self.base_published_at = self.oldest_published_at();
        self.versions.pop_front();
    }

    /// What changed after a version; `None` where that is not known.
    pub(crate) fn changes_since(&self, from: VersionNumber) -> Option<ChangesSince> {
        if from < self.base || from == 0 || from > self.newest() {
            return None;
        }
        let mut since = ChangesSince::default();
        for change in self.newer_than(from).flat_map(|version| &version.changes) {
            since.changed.insert(change.server);
            if change.after.is_none_or(|line| line.draining) {
                since.unavailable.insert(change.server);
            }
        }
        Some(since)
    }

    /// The delta from a version to the newest one; the complete table where the version is not known, and where that takes
    /// no more lines.
    pub(crate) fn delta_from(&self, base: VersionNumber) -> Delta {
        let Some(since) = self.changes_since(base) else { return self.complete_table() };
        let mut delta = Delta { check: self.check(), base, changed: Vec::new(), removed: Vec::new() };
        for server in since.changed {
            match self.lines.get(&server) {
                Some(&line) => delta.changed.push((server, line)),
                None => delta.removed.push(server),
            }
        }
        if delta.changed.len() == self.lines.len() {
            return self.complete_table();
        }
        delta
    }

    fn complete_table(&self) -> Delta {
        let changed = self.lines.iter().map(|(&server, &line)| (server, line)).collect();
        Delta { check: self.check(), base: 0, changed, removed: Vec::new() }
    }

    /// The version that a proxy's check stands for: a retained one by number and digest, or the newest one by its digest
    /// alone, since another supervisor may have numbered it. 0 for any other.
    pub(crate) fn recognize(&self, check: &Check) -> VersionNumber {
        let retained = self.version(check.number);
        if retained.is_some_and(|version| version.digest == check.digest && version.salt == check.salt) {
            return check.number;
        }
        let newest = if check.salt == self.salt { self.digest } else { Digest::of(&self.lines, check.salt) };
        if newest == check.digest {
            return self.newest();
        }
        0
    }
}
