//! The lines that differ between two versions of a table, as they are sent to proxies.

use shalereel::interface::ServerId;

use crate::digest::Check;
use crate::line::Line;
use crate::version::VersionNumber;

/// The changes from any version between `base` and `check.number` to the version of `check`; with a base of 0, the complete
/// table.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// Number and digest of the version that results from the delta.
    pub check: Check,
    /// Oldest version that the delta may be applied to.
    pub base: VersionNumber,
    /// Changed lines, as of the resulting version.
    pub changed: Vec<(ServerId, Line)>,
    /// Servers that have no line in the resulting version.
    pub removed: Vec<ServerId>,
}

impl Delta {
    /// Number of lines that the delta sets or removes.
    pub fn line_count(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether the delta is the complete table, which replaces whatever its receiver has.
    pub fn is_complete_table(&self) -> bool {
        self.base == 0
    }
}
