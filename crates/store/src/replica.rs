//! A proxy's replica of one table: applies deltas, verifies them by their digest and requests the table again if they do not
//! match. Servers that a delta removes or drains get no new requests from then on, even if the delta cannot be applied: it is
//! safe to use fewer servers, but not to use one that must not be used.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, ServerId};

use crate::delta::Delta;
use crate::digest::{Check, Digest, Salt};
use crate::line::{replace_line, Line, Lines};
use crate::resync::ResyncBackoff;
use crate::version::VersionNumber;

/// How a received delta was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// Applied and verified; the proxy acknowledges it.
    Applied,
    /// Older than the replica's version, since it was duplicated or overtaken. The proxy acknowledges it, since the replica
    /// contains its changes already.
    Stale,
    /// A delta before it is missing and may still arrive. The proxy does not acknowledge it.
    Gap,
    /// The resulting lines do not match the digest; the complete table is needed. The proxy does not acknowledge it.
    Mismatch,
}

/// A proxy's replica of one table.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Lines as of the last verified version.
    lines: Lines,
    digest: Digest,
    /// Check of the verified version; `None` since a mismatch.
    verified: Option<Check>,
    /// Number of the last verified version, kept also after a mismatch.
    last_verified: VersionNumber,
    /// Newest version among the deltas received on this stream, applied or not.
    newest_seen: VersionNumber,
    /// Whether no delta was applied on this stream yet. The stream may lead to another supervisor, whose version numbers may be
    /// lower.
    new_stream: bool,
    /// Servers that were removed or drained by a delta that could not be applied, with that delta's version.
    removed_or_draining: BTreeMap<ServerId, VersionNumber>,
    resync_at: Option<Nanos>,
    backoff: ResyncBackoff,
}

impl Replica {
    /// An empty replica.
    pub fn new(backoff: ResyncBackoff) -> Self {
        Replica {
            lines: Lines::new(),
            digest: Digest::default(),
            verified: None,
            last_verified: 0,
            newest_seen: 0,
            new_stream: true,
            removed_or_draining: BTreeMap::new(),
            resync_at: None,
            backoff,
        }
    }

    /// Lines of the servers that may get new requests.
    pub fn usable_lines(&self) -> impl Iterator<Item = (ServerId, &Line)> {
        let usable = |(server, line): &(&ServerId, &Line)| {
            !line.draining && !self.removed_or_draining.contains_key(*server)
        };
        self.lines.iter().filter(usable).map(|(&server, line)| (server, line))
    }

    /// All lines as of the last verified version.
    pub fn lines(&self) -> &Lines {
        &self.lines
    }

    /// The verified version, which the proxy sends when it opens a stream.
    pub fn verified(&self) -> Option<Check> {
        self.verified
    }

    /// Records that a new stream was opened. The lines stay in force until a delta arrives on it.
    pub fn stream_reopened(&mut self) {
        self.new_stream = true;
        self.newest_seen = 0;
        self.resync_at = None;
    }

    /// Applies a delta if it fits the replica and matches its digest.
    pub fn receive(&mut self, now: Nanos, delta: &Delta) -> DeltaOutcome {
        let number = delta.check.number;
        self.newest_seen = self.newest_seen.max(number);
        if !self.new_stream && number < self.last_verified {
            return DeltaOutcome::Stale;
        }
        if self.misses_base_of(delta) {
            self.reject(now, delta);
            return DeltaOutcome::Gap;
        }
        if !self.apply(delta) {
            self.verified = None;
            self.reject(now, delta);
            return DeltaOutcome::Mismatch;
        }
        self.applied(delta.check);
        DeltaOutcome::Applied
    }

    /// Whether the delta's base is newer than the replica's version. On a new stream the numbers may be another supervisor's,
    /// so only the digest decides.
    fn misses_base_of(&self, delta: &Delta) -> bool {
        if delta.is_complete_table() {
            return false;
        }
        self.verified.is_none_or(|verified| !self.new_stream && delta.base > verified.number)
    }

    fn applied(&mut self, check: Check) {
        self.verified = Some(check);
        self.last_verified = check.number;
        if std::mem::take(&mut self.new_stream) {
            self.removed_or_draining.clear();
        }
        self.removed_or_draining.retain(|_, by| *by > check.number);
        if check.number >= self.newest_seen {
            self.resync_at = None;
            self.backoff.reset();
        }
    }

    /// Applies the delta if the resulting lines match its digest, and otherwise changes nothing. Returns whether they match.
    fn apply(&mut self, delta: &Delta) -> bool {
        if delta.is_complete_table() {
            self.apply_complete_table(delta)
        } else {
            self.apply_changes(delta)
        }
    }

    fn apply_complete_table(&mut self, delta: &Delta) -> bool {
        let lines: Lines = delta.changed.iter().copied().collect();
        let digest = Digest::of(&lines, delta.check.salt);
        let matches = digest == delta.check.digest;
        if matches {
            self.lines = lines;
            self.digest = digest;
        }
        matches
    }

    fn apply_changes(&mut self, delta: &Delta) -> bool {
        let salt = delta.check.salt;
        let mut digest = self.digest_with(salt);
        let mut undo = Vec::with_capacity(delta.line_count());
        let changed = delta.changed.iter().map(|&(server, line)| (server, Some(line)));
        let removed = delta.removed.iter().map(|&server| (server, None));
        for (server, after) in changed.chain(removed) {
            let before = replace_line(&mut self.lines, server, after);
            digest.replace(server, before.as_ref(), after.as_ref(), salt);
            undo.push((server, before));
        }
        let matches = digest == delta.check.digest;
        if matches {
            self.digest = digest;
        } else {
            for (server, before) in undo.into_iter().rev() {
                replace_line(&mut self.lines, server, before);
            }
        }
        matches
    }

    /// Digest of the lines with this salt.
    fn digest_with(&self, salt: Salt) -> Digest {
        match self.verified {
            Some(verified) if verified.salt == salt => self.digest,
            _ => Digest::of(&self.lines, salt),
        }
    }

    /// Handles a delta that cannot be applied: marks the servers that it removes or drains, and schedules a resync.
    fn reject(&mut self, now: Nanos, delta: &Delta) {
        let drained = delta.changed.iter().filter(|(_, line)| line.draining).map(|(server, _)| server);
        let unavailable = delta.removed.iter().chain(drained);
        self.removed_or_draining.extend(unavailable.map(|&server| (server, delta.check.number)));
        if self.resync_at.is_none() {
            self.resync_at = Some(self.backoff.next(now));
        }
    }

    /// Time at which the table is to be requested again, ns; `None` if the replica is up to date.
    pub fn resync_due(&self) -> Option<Nanos> {
        self.resync_at
    }

    /// Records that the table is requested again now. Returns the check to send with the request; `None` requests the complete
    /// table.
    pub fn resync(&mut self, now: Nanos) -> Option<Check> {
        self.resync_at = Some(self.backoff.next(now));
        self.verified
    }
}
