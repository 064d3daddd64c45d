//! The deployment file of a supervisor, parsed from TOML into a checked [`Deployment`]. The daemon, `shalereel expect`
//! and `shalereel measure` read it; `docs/supervisor.md` describes its settings.

mod checks;
mod controller;
mod error;
mod file;
mod group;
mod listeners;
mod table_history;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use shalereel::interface::{ControllerConfig, Nanos};

use crate::client_limits::MAX_MESSAGE_BYTES;

use checks::Checker;
use file::DeploymentFile;

pub use error::FileError;
pub use file::InjectedFault;
pub use group::GroupDeployment;
pub use table_history::TableHistoryLimits;

/// Default memory for incomplete messages and unread bytes of all connections together, MB.
const DEFAULT_CONNECTIONS_MB: f64 = 64.0;
/// Least such memory, MB: a message of maximum size, whose buffer takes up to twice its content as it grows.
const MIN_CONNECTIONS_MB: f64 = (2 * MAX_MESSAGE_BYTES) as f64 / BYTES_PER_MB;
const MAX_CONNECTIONS_MB: f64 = 1e6;
const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// Checked settings of a supervisor.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Address on which proxies are served by gRPC.
    pub listen: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Address on which balancers are served by SASP, if any.
    pub sasp_listen: Option<SocketAddr>,
    /// Address on which operators' requests about tables are served, if any.
    pub admin_listen: Option<SocketAddr>,
    /// Maximum bytes of incomplete messages and of bytes that clients have not read, of all connections together.
    pub max_held_bytes: usize,
    /// Folder of the stored files.
    pub folder: PathBuf,
    /// Minimum time between two batches of events, ns.
    pub min_batch_interval: Nanos,
    /// Names of the operations, by position.
    pub operations: Vec<String>,
    /// Names of the localities, by position.
    pub localities: Vec<String>,
    /// The channel limits its rate. Disabled only to measure the cost of the remaining work.
    pub paced: bool,
    /// Settings of the controller.
    pub config: ControllerConfig,
    /// Limits of the table history that the file sets.
    pub table_history: TableHistoryLimits,
    /// Group that this supervisor is a member of, if any.
    pub group: Option<GroupDeployment>,
    /// Snapshots are neither read nor written.
    pub snapshot_disabled: bool,
    /// Fault that is injected for tests. Never set in production.
    pub injected_fault: Option<InjectedFault>,
    /// The guard is disabled, so that injected faults take effect. Never set in production.
    pub guard_disabled: bool,
}

impl Deployment {
    /// Reads and checks a deployment file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not TOML of the expected structure, or has an invalid setting.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        Deployment::parse(file, &FileError::read(file)?)
    }

    /// Parses and checks the text of a deployment file; `file` is only used in errors.
    ///
    /// # Errors
    ///
    /// The text is not TOML of the expected structure, or has an invalid setting.
    pub fn parse(file: &Path, text: &str) -> Result<Self, FileError> {
        let settings: DeploymentFile = FileError::parse(file, text)?;
        let check = Checker::new(file, text);
        check.listeners(&settings)?;
        let locality = check.locality(&settings)?;
        check.supervisor_index(&settings)?;
        let operations = check.operations(&settings.operations)?;
        let config = check.controller_config(&settings, locality, operations)?;
        let connections_mb = settings.connections_mb.unwrap_or(DEFAULT_CONNECTIONS_MB);
        let range = MIN_CONNECTIONS_MB..=MAX_CONNECTIONS_MB;
        let connections_mb = check.top_level().number("connections_mb", connections_mb, range)?;
        let table_history = check.table_history(&settings.table_history)?;
        let group = match &settings.group {
            Some(group) => Some(check.group(group, &settings, &config)?),
            None => None,
        };
        Ok(Deployment {
            listen: settings.listen,
            registry: settings.registry,
            sasp_listen: settings.sasp.map(|section| section.listen),
            admin_listen: settings.admin.map(|section| section.listen),
            max_held_bytes: (connections_mb * BYTES_PER_MB) as usize,
            folder: settings.folder,
            min_batch_interval: check.top_level().duration("tick_ms", settings.min_batch_interval_ms, 0.0)?,
            operations: settings.operations.into_iter().map(|operation| operation.name).collect(),
            localities: settings.localities,
            paced: settings.channel.paced,
            config,
            table_history,
            group,
            snapshot_disabled: settings.snapshot_disabled,
            injected_fault: settings.injected_fault,
            guard_disabled: settings.guard_disabled,
        })
    }
}
