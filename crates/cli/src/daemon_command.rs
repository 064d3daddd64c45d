//! Running a supervisor from a command line.

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
    /// The deployment's file, as `docs/supervisor.md` describes it.
    #[arg(long)]
    config: PathBuf,
    /// Read and check the file, and go no further.
    #[arg(long)]
    check: bool,
    /// Log as lines of JSON.
    #[arg(long)]
    log_json: bool,
}

/// Exit 2 where the file is bad.
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
