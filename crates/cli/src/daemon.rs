//! `shalereeld`: the supervisor daemon.

use std::process::ExitCode;

use clap::Parser;

mod daemon_command;

#[derive(Parser)]
#[command(
    name = "shalereeld",
    version,
    about = "Supervisor: computes weighted tables and publishes them over gRPC"
)]
struct Arguments {
    #[command(flatten)]
    daemon: daemon_command::DaemonArguments,
}

fn main() -> ExitCode {
    daemon_command::daemon(&Arguments::parse().daemon).unwrap_or_else(|error| {
        eprintln!("shalereeld: {error:#}");
        ExitCode::from(2)
    })
}
