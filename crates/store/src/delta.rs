//! Lines that differ between two versions of a table, as they are sent to proxies.

use shalereel::interface::ServerId;

use crate::digest::Check;
use crate::line::Line;
use crate::version::VersionNumber;

/// The changes that lead from any version between `base` and `check.number` to the version of `check`; with base 0, the
/// complete table.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// The version that it leads to.
    pub check: Check,
    /// Oldest version that it may be applied to.
    pub base: VersionNumber,
    /// Lines as they are now.
    pub changed: Vec<(ServerId, Line)>,
    /// Servers that have no line now.
    pub removed: Vec<ServerId>,
}

impl Delta {
    /// How many lines it carries.
    pub fn line_count(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether it is the complete table, whatever its receiver has.
    pub fn is_complete_table(&self) -> bool {
        self.base == 0
    }
}
