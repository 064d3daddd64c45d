//! `shalereel daemon` and `shalereeld`: run a supervisor.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::Args;
use shalereel_standins::Ready;
use shalereel_xds_supervisor::{run, Deployment};
use tracing_subscriber::EnvFilter;

#[derive(Args)]
pub struct DaemonArguments {
    /// Deployment file, in the format of `docs/supervisor.md`.
    #[arg(long)]
    config: PathBuf,
    /// Validate the file and exit without starting the supervisor.
    #[arg(long)]
    check: bool,
    /// Log in JSON, one object per line.
    #[arg(long)]
    log_json: bool,
}

/// Runs the supervisor until it is stopped, or only validates its deployment file. It prints its addresses to standard
/// output when it is ready, and logs to standard error, filtered by `SHALEREEL_LOG`.
///
/// Exit code 2: the file is invalid, or the supervisor fails.
pub fn daemon(arguments: &DaemonArguments) -> Result<ExitCode> {
    let deployment = Deployment::read(&arguments.config)?;
    if arguments.check {
        println!("{}: fit to run", arguments.config.display());
        return Ok(ExitCode::SUCCESS);
    }
    let filter = EnvFilter::try_from_env("SHALEREEL_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    if arguments.log_json {
        log.json().init();
    } else {
        log.init();
    }
    run(deployment, |addresses| {
        let mut out = std::io::stdout().lock();
        writeln!(out, "{}", serde_json::to_string(&Ready { addresses })?)?;
        out.flush()
    })?;
    Ok(ExitCode::SUCCESS)
}
