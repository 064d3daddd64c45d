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

use checks::Checker;
use file::DeploymentFile;

pub use error::FileError;
pub use file::InjectedFault;
pub use group::GroupDeployment;
pub use table_history::TableHistoryLimits;

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
