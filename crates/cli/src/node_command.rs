//! `shalereel node`: runs a supervisor that speaks the platform's protocol.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use tracing_subscriber::EnvFilter;

#[derive(Args)]
pub struct NodeArguments {
    /// Configuration file, which the platform writes: the supervisor's addresses, limits and settings.
    #[arg(long, env = "ROUTER_CONFIG")]
    config: PathBuf,
}

/// Runs the supervisor until SIGTERM or SIGINT. It logs to standard error, filtered by `SHALEREEL_LOG`.
pub fn node(arguments: &NodeArguments) -> Result<()> {
    let filter = EnvFilter::try_from_env("SHALEREEL_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    shalereel_platform_supervisor::run(&arguments.config)?;
    Ok(())
}
