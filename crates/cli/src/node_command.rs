//! `shalereel node`: runs a live supervisor on the platform's protocol.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use tracing_subscriber::EnvFilter;

#[derive(Args)]
pub struct NodeArguments {
    /// The file in which the platform tells a supervisor its addresses, limits and settings.
    #[arg(long, env = "ROUTER_CONFIG")]
    config: PathBuf,
}

/// Runs until SIGTERM or SIGINT. `SHALEREEL_LOG` filters the log, which goes to standard error.
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
