//! The deployment file of a supervisor: TOML in, a checked [`Deployment`] out. The daemon, `shalereel expect` and
//! `shalereel measure` read it; `docs/supervisor.md` describes its settings.

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

/// What a supervisor needs to run.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Where proxies are served by gRPC.
    pub listen: SocketAddr,
    /// Where the registry is dialled.
    pub registry: SocketAddr,
    /// Where balancers are served by SASP; nowhere unless given.
    pub sasp_listen: Option<SocketAddr>,
    /// Where operators ask about tables; nowhere unless given.
    pub admin_listen: Option<SocketAddr>,
    /// Folder of the stored files.
    pub folder: PathBuf,
    /// Least time between two batches of events, ns.
    pub min_batch_interval: Nanos,
    /// Names of the operations, by their number.
    pub operations: Vec<String>,
    /// Names of the localities, by their number.
    pub localities: Vec<String>,
    /// The channel keeps to its rate. Off only to measure what the rest costs.
    pub paced: bool,
    /// Settings of the controller.
    pub config: ControllerConfig,
    /// Limits of the table history that the file gives.
    pub table_history: TableHistoryLimits,
    /// The group that this supervisor is a member of.
    pub group: Option<GroupDeployment>,
    /// No snapshot is read or written.
    pub snapshot_disabled: bool,
    /// Fault that is injected on purpose. Never in service.
    pub injected_fault: Option<InjectedFault>,
    /// No guard inspects tables, so that injected faults show. Never in service.
    pub guard_disabled: bool,
}

impl Deployment {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// It cannot be read, is not TOML of this form, or has a setting out of range.
    pub fn read(file: &Path) -> Result<Self, FileError> {
        Deployment::parse(file, &FileError::read(file)?)
    }

    /// Checks the text of a file; `file` is only named in errors.
    ///
    /// # Errors
    ///
    /// It is not TOML of this form, or has a setting out of range.
    pub fn parse(file: &Path, text: &str) -> Result<Self, FileError> {
        let settings: DeploymentFile = FileError::parse(file, text)?;
        let check = Checker::new(file, text);
        check.listeners(&settings)?;
        let locality = check.locality(&settings)?;
        check.supervisor_index(&settings)?;
        let operations = check.operations(&settings.operations)?;
        let config = check.controller_config(&settings, locality, operations)?;
        let table_history = check.table_history(&settings.tables)?;
        let group = match &settings.shared {
            Some(shared) => Some(check.group(shared, &settings, &config)?),
            None => None,
        };
        Ok(Deployment {
            listen: settings.listen,
            registry: settings.registry,
            sasp_listen: settings.sasp.map(|section| section.listen),
            admin_listen: settings.admin.map(|section| section.listen),
            folder: settings.folder,
            min_batch_interval: check.top_level().duration("tick_ms", settings.tick_ms, 0.0)?,
            operations: settings.operations.into_iter().map(|operation| operation.name).collect(),
            localities: settings.localities,
            paced: settings.channel.paced,
            config,
            table_history,
            group,
            snapshot_disabled: settings.forgets,
            injected_fault: settings.planted,
            guard_disabled: settings.unguarded,
        })
    }
}
