//! Checks of the listeners' addresses, and of this supervisor's locality and number.

use super::checks::Checker;
use super::error::FileError;
use super::file::DeploymentFile;

impl Checker<'_> {
    pub(super) fn listeners(&self, settings: &DeploymentFile) -> Result<(), FileError> {
        self.top_level().loopback("listen", settings.listen)?;
        self.top_level().loopback("registry", settings.registry)?;
        if let Some(sasp) = &settings.sasp {
            self.section("sasp").loopback("listen", sasp.listen)?;
        }
        if let Some(admin) = &settings.admin {
            self.section("admin").loopback("listen", admin.listen)?;
        }
        Ok(())
    }

    /// Position of this supervisor's locality among the localities.
    pub(super) fn locality(&self, settings: &DeploymentFile) -> Result<u16, FileError> {
        match settings.localities.iter().position(|name| *name == settings.locality) {
            Some(index) => Ok(index as u16),
            None => {
                let problem = format!("{:?} is not one of the localities", settings.locality);
                Err(self.top_level().reject("locality", problem, "name one of `localities`"))
            }
        }
    }

    pub(super) fn supervisor_index(&self, settings: &DeploymentFile) -> Result<(), FileError> {
        if settings.supervisor_index < settings.supervisor_count {
            return Ok(());
        }
        let problem = format!(
            "{} is not below the number of supervisors, {}",
            settings.supervisor_index, settings.supervisor_count
        );
        Err(self.top_level().reject("supervisor", problem, "number the supervisors from 0"))
    }
}
