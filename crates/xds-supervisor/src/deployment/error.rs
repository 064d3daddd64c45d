//! Errors in a file that an operator wrote: deployment files, drill files and expectation files.

use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error in a file that an operator wrote.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {error}")]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The text is not TOML, or has keys that are unknown, missing or of another type.
    #[error("{file}: {error}")]
    Malformed {
        /// Path of the file.
        file: PathBuf,
        /// Error of the parser, with its position.
        error: Box<toml::de::Error>,
    },
    /// A setting has an invalid value.
    #[error("{file}:{line}: {key}: {problem}; {remedy}")]
    InvalidSetting {
        /// Path of the file.
        file: PathBuf,
        /// Line of the setting, from 1.
        line: usize,
        /// Key of the setting, with its section.
        key: String,
        /// Reason why the value is invalid.
        problem: String,
        /// Advice on a valid value.
        remedy: String,
    },
}

impl FileError {
    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn read(file: &Path) -> Result<String, FileError> {
        fs::read_to_string(file).map_err(|error| FileError::Unreadable { file: file.to_owned(), error })
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// The text is not TOML of the structure of `T`.
    pub fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, FileError> {
        toml::from_str(text)
            .map_err(|error| FileError::Malformed { file: file.to_owned(), error: Box::new(error) })
    }
}
