//! Limits of the table history that the file sets in place of derived ones.

use shalereel::interface::Nanos;
use shalereel_store::RetentionLimits;

use super::checks::Checker;
use super::error::FileError;
use super::file::TableHistorySection;

/// Limits of the table history that the file sets; limits that are `None` are derived.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableHistoryLimits {
    versions: Option<usize>,
    bytes: Option<usize>,
    age: Option<Nanos>,
}

impl TableHistoryLimits {
    /// Replaces derived limits by those that the file sets.
    pub fn or_derived(&self, derived: RetentionLimits) -> RetentionLimits {
        RetentionLimits {
            versions: self.versions.unwrap_or(derived.versions),
            bytes: self.bytes.unwrap_or(derived.bytes),
            age: self.age.unwrap_or(derived.age),
        }
    }
}

impl Checker<'_> {
    pub(super) fn table_history(
        &self,
        settings: &TableHistorySection,
    ) -> Result<TableHistoryLimits, FileError> {
        let section = self.section("tables");
        let check =
            |key, value: Option<f64>, range| value.map(|value| section.number(key, value, range)).transpose();
        let versions = check("versions", settings.versions.map(f64::from), 1.0..=1e7)?;
        let megabytes = check("megabytes", settings.megabytes, 0.1..=1e5)?;
        let hours = check("hours", settings.hours, 0.01..=1e5)?;
        Ok(TableHistoryLimits {
            versions: versions.map(|versions| versions as usize),
            bytes: megabytes.map(|megabytes| (megabytes * 1e6) as usize),
            age: hours.map(|hours| (hours * 3600e9) as Nanos),
        })
    }
}
