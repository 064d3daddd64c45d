//! `shalereel-standin`: one stand-in, told by lines of JSON on its input.

use std::process::ExitCode;

use clap::Parser;

#[derive(Parser)]
#[command(
    name = "shalereel-standin",
    version,
    about = "Stands in for servers, forwarders, callers or the registry"
)]
struct Arguments {
    /// servers, forwarders, callers or registry
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
