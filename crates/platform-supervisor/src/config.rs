//! The supervisor's configuration file, named by `ROUTER_CONFIG`. It is read at startup and again on SIGHUP.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use shalereel::interface::{ControllerConfig, Nanos};
use shalereel_simulator_codec::{decode_settings, SettingsError};
use thiserror::Error;

use crate::protocol::EndpointList;

const NANOS_PER_MS: f64 = 1e6;
/// Maximum of the configured time between two batches, ms; a longer one is reduced to it.
const MAX_BATCH_INTERVAL_MS: f64 = 1e6;

/// Why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{path}: {cause}; ROUTER_CONFIG must name the supervisor's configuration file")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not JSON, or a key is missing or mistyped.
    #[error("{path}: {cause}; the platform writes this file as JSON with listen, discovery, seed, limits, known and settings")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The error, with the key and its position.
        cause: serde_json::Error,
    },
    /// A setting is missing or has an invalid value.
    #[error("{path}: {cause}")]
    InvalidSettings {
        /// Path of the file.
        path: PathBuf,
        /// The error, with the key of the setting.
        cause: SettingsError,
    },
    /// The seed is not a hexadecimal number.
    #[error("{path}: seed: {seed:?} is not a number of sixteen hexadecimal digits")]
    InvalidSeed {
        /// Path of the file.
        path: PathBuf,
        /// The value of the key.
        seed: String,
    },
}

/// The resources that the platform grants the process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct ResourceLimits {
    /// Memory, MiB.
    pub memory_mb: u64,
    /// Maximum number of open sockets.
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

/// The settings that the supervisor itself needs; the others are decoded into the controller's configuration.
#[derive(Deserialize)]
struct SupervisorSettings {
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

/// The configuration that a supervisor starts with.
#[derive(Debug)]
pub struct Config {
    /// Name of this supervisor.
    pub name: String,
    /// Address that proxies and collectors connect to.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// The resources that the platform grants the process.
    pub resources: ResourceLimits,
    /// The endpoint list that the platform supplies at startup; it may be out of date.
    pub known_list: Option<EndpointList>,
    /// Configuration of the controller.
    pub controller: ControllerConfig,
    /// Names of the operations. The controller identifies an operation by its index here.
    pub operations: Vec<String>,
    /// Names of the hardware kinds. The controller identifies a kind by its index here.
    pub kinds: Vec<String>,
    /// Names of the localities. The controller identifies a locality by its index here.
    pub localities: Vec<String>,
    /// Names of the columns of a load report, in the order in which the controller gets their values.
    pub load_columns: Vec<String>,
    /// Minimum time between two batches of events for the controller.
    pub batch_interval: Nanos,
}

impl Config {
    /// Reads and parses a configuration file.
    ///
    /// # Errors
    /// The file cannot be read, or its text is rejected by [`Config::parse`].
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = fs::read(path).map_err(|cause| ConfigError::Unreadable { path: path.into(), cause })?;
        Config::parse(path, &text)
    }

    /// Parses the text of a configuration file. Errors contain `path`.
    ///
    /// # Errors
    /// The text is not JSON, a key is missing, or a value is invalid.
    pub fn parse(path: &Path, text: &[u8]) -> Result<Config, ConfigError> {
        let malformed = |cause| ConfigError::Malformed { path: path.into(), cause };
        let file: ConfigFile = serde_json::from_slice(text).map_err(malformed)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| ConfigError::InvalidSeed { path: path.into(), seed: file.seed })?;
        let settings = file.settings.to_string();
        let controller = decode_settings(seed, settings.as_bytes())
            .map_err(|cause| ConfigError::InvalidSettings { path: path.into(), cause })?;
        let own: SupervisorSettings = serde_json::from_value(file.settings).map_err(malformed)?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            resources: file.limits,
            known_list: file.known,
            controller,
            operations: own.operations.into_iter().map(|operation| operation.name).collect(),
            kinds: own.kinds,
            localities: own.localities,
            load_columns: own.load_info.columns,
            batch_interval: (own.resolution_ms.clamp(0.0, MAX_BATCH_INTERVAL_MS) * NANOS_PER_MS) as Nanos,
        })
    }
}
