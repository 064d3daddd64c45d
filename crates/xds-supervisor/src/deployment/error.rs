//! What is wrong with a file that an operator wrote. Files of drills and expectations report by the same type.

use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// What is wrong with a file that an operator wrote.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {error}")]
    Unreadable {
        /// Which file.
        file: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// The text is not TOML, or has keys that are unknown, missing or of another type.
    #[error("{file}: {error}")]
    Malformed {
        /// Which file.
        file: PathBuf,
        /// Where and what.
        error: Box<toml::de::Error>,
    },
    /// A setting has a value that cannot be used.
    #[error("{file}:{line}: {key}: {problem}; {remedy}")]
    InvalidSetting {
        /// Which file.
        file: PathBuf,
        /// Line of the setting, from 1.
        line: usize,
        /// Section and key.
        key: String,
        /// What is wrong with the value.
        problem: String,
        /// What to write instead.
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
    /// The text is not a `T`.
    pub fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, FileError> {
        toml::from_str(text)
            .map_err(|error| FileError::Malformed { file: file.to_owned(), error: Box::new(error) })
    }
}
