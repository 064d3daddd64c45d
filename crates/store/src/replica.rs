//! A proxy's replica of one table: applies deltas, verifies them by their digest and requests the table again where they do
//! not match. Whatever is wrong with a delta, servers that it removes or drains get no new requests from then on: fewer
//! servers are safe, more are not.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, ServerId};

use crate::delta::Delta;
use crate::digest::{Check, Digest, Salt};
use crate::line::{replace_line, Line, Lines};
use crate::resync::ResyncBackoff;
use crate::version::VersionNumber;

/// What became of a received delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// In force and verified; to be acknowledged.
    Applied,
    /// Older than the replica's version, duplicated or overtaken; to be acknowledged, since the replica has more.
    Stale,
    /// A delta before it is missing and may still arrive. Not to be acknowledged.
    Gap,
    /// The lines do not match the digest; the complete table is needed. Not to be acknowledged.
    Mismatch,
}

/// A proxy's replica of one table.
#[derive(Clone, Debug)]
pub struct Replica {
    /// As of the last verified version.
    lines: Lines,
    digest: Digest,
    verified: Option<Check>,
    /// Last verified version, also where a mismatch followed.
    last_verified: VersionNumber,
    /// Newest version that any delta of this stream was of.
    newest_seen: VersionNumber,
    /// No delta of this stream was applied yet: another supervisor's numbers may be lower.
    new_stream: bool,
    /// Servers that deltas which were not applied removed or drained, with the version that did.
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

    /// Lines that new requests may go by.
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

    /// The verified version, to be sent along when a stream is opened.
    pub fn verified(&self) -> Option<Check> {
        self.verified
    }

    /// A new stream was opened: the lines stay in force until a delta arrives on it.
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

    /// Whether the delta begins after what the replica has. On a new stream numbers may be another supervisor's, and the
    /// digest alone decides.
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

    /// Applies the whole delta if the lines match its digest then, else nothing; tells which.
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
        let mut digest = self.digest_by(salt);
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

    /// Digest of the lines under a salt.
    fn digest_by(&self, salt: Salt) -> Digest {
        match self.verified {
            Some(verified) if verified.salt == salt => self.digest,
            _ => Digest::of(&self.lines, salt),
        }
    }

    /// Of a delta that cannot be applied only the servers that it takes out are heeded.
    fn reject(&mut self, now: Nanos, delta: &Delta) {
        let drained = delta.changed.iter().filter(|(_, line)| line.draining).map(|(server, _)| server);
        let taken_out = delta.removed.iter().chain(drained);
        self.removed_or_draining.extend(taken_out.map(|&server| (server, delta.check.number)));
        if self.resync_at.is_none() {
            self.resync_at = Some(self.backoff.next(now));
        }
    }

    /// When the table is to be requested again, ns; `None` where nothing is wrong.
    pub fn resync_due(&self) -> Option<Nanos> {
        self.resync_at
    }

    /// The table is requested again now; gives the check to be sent along, `None` for the complete table.
    pub fn resync(&mut self, now: Nanos) -> Option<Check> {
        self.resync_at = Some(self.backoff.next(now));
        self.verified
    }
}
