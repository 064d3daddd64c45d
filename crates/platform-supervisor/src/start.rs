//! What a supervisor is told at its start: the file that `ROUTER_CONFIG` names.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use shalereel::interface::ControllerConfig;
use shalereel_simulator_codec::decode_settings;
use thiserror::Error;

use crate::words::List;

#[derive(Debug, Error)]
pub enum StartError {
    #[error("{0}: {1}; ROUTER_CONFIG must name the supervisor's file")]
    Unread(PathBuf, std::io::Error),
    #[error("{0}: {1}; the platform writes this file as JSON with listen, discovery, seed, limits, known and settings")]
    Bad(PathBuf, serde_json::Error),
    #[error("{0}: {1}")]
    Profile(PathBuf, shalereel_simulator_codec::SettingsError),
    #[error("{0}: seed: {1:?} is no number of sixteen hexadecimal digits")]
    Seed(PathBuf, String),
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: Option<List>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Words {
    classes: Vec<Named>,
    kinds: Vec<String>,
    localities: Vec<String>,
    load_info: Columns,
    resolution_ms: f64,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

#[derive(Deserialize)]
struct Columns {
    #[serde(default)]
    columns: Vec<String>,
}

/// The file as read, with the names that the protocol uses for what the module counts.
#[derive(Debug)]
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub limits: Limits,
    pub known: Option<List>,
    pub facts: ControllerConfig,
    pub operations: Vec<String>,
    pub kinds: Vec<String>,
    pub localities: Vec<String>,
    pub columns: Vec<String>,
    /// Batches of events lie at least so far apart.
    pub resolution: shalereel::interface::Nanos,
}

impl Start {
    pub fn read(path: &Path) -> Result<Start, StartError> {
        let text = fs::read(path).map_err(|error| StartError::Unread(path.into(), error))?;
        Start::parse(path, &text)
    }

    /// `path` is for the errors.
    pub fn parse(path: &Path, text: &[u8]) -> Result<Start, StartError> {
        let bad = |error| StartError::Bad(path.into(), error);
        let file: File = serde_json::from_slice(text).map_err(bad)?;
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|_| StartError::Seed(path.into(), file.seed))?;
        let settings = file.settings.to_string();
        let facts = decode_settings(seed, settings.as_bytes())
            .map_err(|error| StartError::Profile(path.into(), error))?;
        let words: Words = serde_json::from_value(file.settings).map_err(bad)?;
        Ok(Start {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            limits: file.limits,
            known: file.known,
            facts,
            operations: words.classes.into_iter().map(|class| class.name).collect(),
            kinds: words.kinds,
            localities: words.localities,
            columns: words.load_info.columns,
            resolution: (words.resolution_ms.clamp(0.0, 1e6) * 1e6) as u64,
        })
    }
}
