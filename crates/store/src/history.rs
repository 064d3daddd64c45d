//! The retained versions of one table.

use std::collections::{BTreeSet, VecDeque};

use shalereel::interface::{Nanos, ServerId};

use crate::delta::Delta;
use crate::digest::{Check, Digest, Salt};
use crate::line::{replace_line, Line, Lines};
use crate::version::{LineChange, Version, VersionNumber};

/// Number of versions of a table after which its salt changes.
const VERSIONS_PER_SALT: u64 = 256;

/// The servers whose lines have changed since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangesSince {
    /// All servers whose lines have changed.
    pub changed: BTreeSet<ServerId>,
    /// Servers among them that were draining or had no line in at least one version since.
    pub unavailable: BTreeSet<ServerId>,
}

/// A table with its retained versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableHistory {
    /// Lines as of the newest version.
    pub(crate) lines: Lines,
    pub(crate) digest: Digest,
    pub(crate) salt: Salt,
    /// Oldest version whose lines can be reconstructed; the versions after it are in `versions`.
    pub(crate) base: VersionNumber,
    pub(crate) base_published_at: Nanos,
    pub(crate) versions: VecDeque<Version>,
    /// Number of versions published since the start of the program.
    published_count: u64,
}

impl TableHistory {
    /// A table of which only the version `base` is known.
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
        let index = self.versions.binary_search_by_key(&number, |version| version.number).ok()?;
        self.versions.get(index)
    }

    /// Whether the lines of a version can be reconstructed.
    pub(crate) fn can_reconstruct(&self, number: VersionNumber) -> bool {
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

    /// Sets the lines of servers; returns the changes. The caller updates the digest.
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

    /// Updates the digest by the changes of a new version. The salt changes at the first version since the start of the
    /// program, and every `VERSIONS_PER_SALT` versions after it.
    pub(crate) fn update_digest_for_published(&mut self, changes: &[LineChange], new_salt: Salt) {
        if self.published_count.is_multiple_of(VERSIONS_PER_SALT) {
            self.digest_all_lines(new_salt);
        } else {
            self.digest_changes(changes);
        }
        self.published_count += 1;
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

    /// Time at which the oldest retained version was published; 0 if none is retained.
    pub(crate) fn oldest_published_at(&self) -> Nanos {
        self.versions.front().map_or(0, |version| version.published_at)
    }

    /// Drops the change record of the oldest retained version, `number`, which becomes the base.
    pub(crate) fn drop_oldest(&mut self, number: VersionNumber) {
        self.base = number;
        self.base_published_at = self.oldest_published_at();
        self.versions.pop_front();
    }

    /// What has changed since a version; `None` if that is not known.
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

    /// The delta from a version to the newest one. It is the complete table if the version is not known, or if the delta
    /// would contain every line anyway.
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

    /// The version that a proxy's check refers to: a retained version with the same number and digest, or the newest version
    /// if its digest is the same, since another supervisor may have given it another number. 0 if there is none.
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
