//! Checks of single settings. Errors name the file, the line, the key and a remedy.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use shalereel::interface::Nanos;

use super::error::FileError;

/// Maximum duration of a setting, ms: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Checker of one file's settings; it holds the text to find the line of a key.
pub(super) struct Checker<'a> {
    file: &'a Path,
    text: &'a str,
}

/// A section of the file.
#[derive(Clone, Copy)]
pub(super) struct Section<'a> {
    checker: &'a Checker<'a>,
    /// Empty for the top level.
    name: &'static str,
    /// Position among the sections of the same name, from 0.
    index: usize,
}

impl<'a> Checker<'a> {
    pub(super) fn new(file: &'a Path, text: &'a str) -> Self {
        Checker { file, text }
    }

    pub(super) fn top_level(&'a self) -> Section<'a> {
        self.section("")
    }

    pub(super) fn section(&'a self, name: &'static str) -> Section<'a> {
        self.repeated_section(name, 0)
    }

    pub(super) fn repeated_section(&'a self, name: &'static str, index: usize) -> Section<'a> {
        Section { checker: self, name, index }
    }
}

impl Section<'_> {
    /// Returns an error about a key of this section.
    pub(super) fn reject(&self, key: &str, problem: String, remedy: &str) -> FileError {
        FileError::InvalidSetting {
            file: self.checker.file.to_owned(),
            line: self.line(key),
            key: if self.name.is_empty() { key.to_owned() } else { format!("{}.{key}", self.name) },
            problem,
            remedy: remedy.to_owned(),
        }
    }

    /// Line of a key, from 1; 1 if the key is not found.
    fn line(&self, key: &str) -> usize {
        let mut inside = self.name.is_empty();
        let mut sections_seen = 0;
        for (number, line) in self.checker.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                let same_name = line.trim_matches(|letter| letter == '[' || letter == ']') == self.name;
                inside = same_name && sections_seen == self.index;
                sections_seen += usize::from(same_name);
            } else if inside && line.split('=').next().is_some_and(|name| name.trim() == key) {
                return number + 1;
            }
        }
        1
    }

    /// Checks that a number is finite and within a range.
    pub(super) fn number(&self, key: &str, value: f64, range: RangeInclusive<f64>) -> Result<f64, FileError> {
        if value.is_finite() && range.contains(&value) {
            return Ok(value);
        }
        let remedy = format!("give a number from {} to {}", range.start(), range.end());
        Err(self.reject(key, format!("{value} is out of range"), &remedy))
    }

    /// Checks that a duration is at least `min_ms` and at most a day, and converts it to ns.
    pub(super) fn duration(&self, key: &str, ms: f64, min_ms: f64) -> Result<Nanos, FileError> {
        Ok((self.number(key, ms, min_ms..=MAX_DURATION_MS)? * 1e6).round() as Nanos)
    }

    /// Checks that an address is a loopback address.
    pub(super) fn loopback(&self, key: &str, address: SocketAddr) -> Result<(), FileError> {
        if address.ip().is_loopback() {
            return Ok(());
        }
        let problem = format!("{address} is not a loopback address");
        Err(self.reject(key, problem, "use 127.0.0.0/8 or [::1]"))
    }
}
