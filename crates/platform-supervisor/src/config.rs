//! The file that `ROUTER_CONFIG` names: read at the start, and again at SIGHUP.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use shalereel::interface::{ControllerConfig, Nanos};
use shalereel_simulator_codec::{decode_settings, SettingsError};
use thiserror::Error;

use crate::protocol::EndpointList;

/// Why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{path}: {cause}; ROUTER_CONFIG must name the supervisor's file")]
    Unreadable {
        /// Which file.
        path: PathBuf,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The file is not JSON, or a key is missing or mistyped.
    #[error("{path}: {cause}; the platform writes this file as JSON with listen, discovery, seed, limits, known and settings")]
    Malformed {
        /// Which file.
        path: PathBuf,
        /// Which key, and where.
        cause: serde_json::Error,
    },
    /// The settings cannot be used.
    #[error("{path}: {cause}")]
    InvalidSettings {
        /// Which file.
        path: PathBuf,
        /// Which setting.
        cause: SettingsError,
    },
    /// The seed is not hexadecimal.
    #[error("{path}: seed: {seed:?} is no number of sixteen hexadecimal digits")]
    InvalidSeed {
        /// Which file.
        path: PathBuf,
        /// The seed as it stands there.
        seed: String,
    },
}

/// What the platform grants the process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct ResourceLimits {
    /// Memory, MiB.
    pub memory_mb: u64,
    /// Sockets at once.
    pub sockets: u64,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: ResourceLimits,
    known: Option<EndpointList>,
    settings: serde_json::Value,
}

/// The names in the settings; the rest is the controller's configuration.
#[derive(Deserialize)]
struct SettingsNames {
    #[serde(rename = "classes")]
    operations: Vec<NamedOperation>,
    kinds: Vec<String>,
    localities: Vec<String>,
    load_info: LoadColumns,
    resolution_ms: f64,
}

#[derive(Deserialize)]
struct NamedOperation {
    name: String,
}

#[derive(Deserialize)]
struct LoadColumns {
    #[serde(default)]
    columns: Vec<String>,
}

/// Everything that a supervisor is configured with when it starts.
#[derive(Debug)]
pub struct Config {
    /// Name of this supervisor.
    pub name: String,
    /// Address that proxies and collectors connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// What the platform grants the process.
    pub resources: ResourceLimits,
    /// The endpoint list as this supervisor last knew it.
    pub known_list: Option<EndpointList>,
    /// What the controller is configured with.
    pub controller: ControllerConfig,
    /// Names of the operations, by position.
    pub operations: Vec<String>,
    /// Names of the hardware kinds, by position.
    pub kinds: Vec<String>,
    /// Names of the localities, by position.
    pub localities: Vec<String>,
    /// Names of the values of a load report, by position.
    pub load_columns: Vec<String>,
    /// Least time between two batches of events for the controller.
    pub batch_interval: Nanos,
}

impl Config {
    /// Reads a file.
    ///
    /// # Errors
    /// The file cannot be read, or see [`Config::parse`].
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = fs::read(path).map_err(|cause| ConfigError::Unreadable { path: path.into(), cause })?;
        Config::parse(path, &text)
    }

    /// Reads the text of a file; errors name `path`.
    ///
    /// # Errors
    /// The text is not JSON, lacks a key, or has a value that cannot be used.
    pub fn parse(path: &Path, text: &[u8]) -> Result<Config, ConfigError> {
        let malformed = |cause| ConfigError::Malformed { path: path.into(), cause };
        let file: ConfigFile = serde_json::from_slice(text).map_err(malformed)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| ConfigError::InvalidSeed { path: path.into(), seed: file.seed })?;
        let settings = file.settings.to_string();
        let controller = decode_settings(seed, settings.as_bytes())
            .map_err(|cause| ConfigError::InvalidSettings { path: path.into(), cause })?;
        let names: SettingsNames = serde_json::from_value(file.settings).map_err(malformed)?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            resources: file.limits,
            known_list: file.known,
            controller,
            operations: names.operations.into_iter().map(|operation| operation.name).collect(),
            kinds: names.kinds,
            localities: names.localities,
            load_columns: names.load_info.columns,
            batch_interval: (names.resolution_ms.clamp(0.0, 1e6) * 1e6) as Nanos,
        })
    }
}
