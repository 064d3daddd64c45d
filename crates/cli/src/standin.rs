//! `shalereel-standin`: one stand-in process of a drill, controlled by JSON lines on standard input.

use std::process::ExitCode;

use clap::Parser;

#[derive(Parser)]
#[command(
    name = "shalereel-standin",
    version,
    about = "Simulates the servers, forwarders, callers, registry or links of a drill"
)]
struct Arguments {
    /// Role of the process: servers, forwarders, callers, registry or links.
    role: String,
}

fn main() -> ExitCode {
    match shalereel_standins::run(&Arguments::parse().role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shalereel-standin: {error:#}");
            ExitCode::from(2)
        }
    }
}
