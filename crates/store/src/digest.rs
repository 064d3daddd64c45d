//! The digest of a set of lines: the sum, modulo 2^128, of the lines' hashes (XXH3, 128 bits, xxHash specification 0.2). It
//! does not depend on the order of the lines, so it can be updated line by line. It is a sum and not an exclusive or, since a
//! line that is added twice must not cancel itself out.

use std::fmt;

use shalereel::interface::ServerId;

use crate::line::Line;

/// Seed of the lines' hashes. It changes regularly, so that two tables whose digests collide soon have different digests.
pub type Salt = u64;

/// Number of lines in a set, and the sum of their hashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Number of lines.
    pub count: u32,
    /// Sum of the lines' hashes, modulo 2^128.
    pub sum: u128,
}

impl Digest {
    /// The digest of a set of lines.
    pub fn of<'a>(lines: impl IntoIterator<Item = (&'a ServerId, &'a Line)>, salt: Salt) -> Self {
        let mut digest = Digest::default();
        lines.into_iter().for_each(|(&server, line)| digest.add(server, line, salt));
        digest
    }

    /// Adds a line to the set.
    pub fn add(&mut self, server: ServerId, line: &Line, salt: Salt) {
        self.count = self.count.wrapping_add(1);
        self.sum = self.sum.wrapping_add(line.hash(server, salt));
    }

    /// Removes a line that was added before.
    pub fn remove(&mut self, server: ServerId, line: &Line, salt: Salt) {
        self.count = self.count.wrapping_sub(1);
        self.sum = self.sum.wrapping_sub(line.hash(server, salt));
    }

    /// Replaces a server's line; `None` stands for no line.
    pub(crate) fn replace(
        &mut self,
        server: ServerId,
        before: Option<&Line>,
        after: Option<&Line>,
        salt: Salt,
    ) {
        if let Some(line) = before {
            self.remove(server, line, salt);
        }
        if let Some(line) = after {
            self.add(server, line, salt);
        }
    }
}

/// A version of a table and the digest of its lines. Its text form is `number:count:sum:salt`, with sum and salt in
/// hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Check {
    /// Number of the version.
    pub number: u64,
    /// Digest of the version's lines.
    pub digest: Digest,
    /// Salt of the digest.
    pub salt: Salt,
}

impl Check {
    /// Parses the text form of a check; returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(':');
        let check = Check {
            number: parts.next()?.parse().ok()?,
            digest: Digest {
                count: parts.next()?.parse().ok()?,
                sum: u128::from_str_radix(parts.next()?, 16).ok()?,
            },
            salt: Salt::from_str_radix(parts.next()?, 16).ok()?,
        };
        parts.next().is_none().then_some(check)
    }
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{:x}:{:x}", self.number, self.digest.count, self.digest.sum, self.salt)
    }
}
