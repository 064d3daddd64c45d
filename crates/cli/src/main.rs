//! `shalereel`: the command line for drills, measurements, operators' commands and each process of the service.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod daemon_command;
mod drill_command;
mod expect_command;
mod group_command;
mod group_measure;
mod hooks_command;
mod measure_command;
mod node_command;
mod restart_measure;
mod tables_command;
mod tables_measure;

#[derive(Parser)]
#[command(version, about = "Control service that assigns weighted tables of servers to plain proxies")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a drill with real processes and sockets, and check its traffic. Exit 1: a rule was broken or the expected
    /// service was not reached; 2: the file is invalid.
    Drill {
        /// Drill file, in the format of `docs/drills.md`.
        file: PathBuf,
        /// Print the results as JSON.
        #[arg(long)]
        json: bool,
        /// Folder in which traces and logs are kept; by default they are deleted.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Convert the faults of a bench scenario to a drill and print it to standard output.
    DrillFrom {
        /// Bench scenario, as the bench's `draw` prints it.
        #[arg(value_name = "DAY")]
        bench_scenario: PathBuf,
        /// Drill file that supplies the fleet, the demand and the rules.
        #[arg(long = "fleet", value_name = "FLEET", default_value = "drills/bad-day.toml")]
        template: PathBuf,
    },
    /// Measure the cost of publishing tables, load reports, SASP and group consensus, and the service that restarts
    /// lose.
    #[command(subcommand)]
    Measure(Measure),
    /// Show the members of a group, as one of its supervisors sees them.
    Members {
        /// Address of a supervisor in the group.
        #[arg(value_name = "AT")]
        address: std::net::SocketAddr,
        /// Print the status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show which controller holds each duty (a task that one controller performs for its group), the owners of the
    /// key ranges, and the operators' orders in force.
    Duties {
        /// Address of a supervisor in the group.
        #[arg(value_name = "AT")]
        address: std::net::SocketAddr,
        /// Print the status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Send an order to a group through any of its supervisors. Exit 2: it is rejected; the error names the reason.
    Order {
        /// Address of a supervisor in the group.
        #[arg(value_name = "AT")]
        address: std::net::SocketAddr,
        #[command(subcommand)]
        order: group_command::OrderCommand,
    },
    /// Check routing expectations against generated fleets of many sizes and shapes, without traffic. Exit 1: one is
    /// not met.
    Expect(expect_command::ExpectArguments),
    /// Check, format, test and benchmark operators' hooks, in the language of `docs/hooks-language.md`.
    #[command(subcommand)]
    Hooks(hooks_command::HooksCommand),
    /// Show the published versions of a supervisor's tables, roll them back, and cap servers' weights. Exit 2: the
    /// request is rejected; the error names the reason.
    Tables {
        /// Address of the supervisor's operator interface, `admin.listen` in its deployment file.
        #[arg(value_name = "AT")]
        address: std::net::SocketAddr,
        /// Print the response as JSON.
        #[arg(long)]
        json: bool,
        #[command(subcommand)]
        command: tables_command::TablesCommand,
    },
    /// Run groups on a simulated network and check their invariants. Exit 1: a schedule violates one.
    Rehearse(group_command::RehearseArguments),
    /// Run a supervisor on the platform's protocol, as `docs/node.md` describes it.
    Node(node_command::NodeArguments),
    /// Run a supervisor; the same as `shalereeld`.
    Daemon(daemon_command::DaemonArguments),
    /// Run one stand-in process, controlled by JSON lines on standard input.
    StandIn {
        /// Role of the process: servers, forwarders, callers, registry or links.
        role: String,
    },
}

#[derive(Subcommand)]
enum Measure {
    /// Measure the time from a drain in the registry to the last forwarder's ACK, and from a supervisor's start until
    /// all forwarders have their tables, in comparison with plain sockets.
    Publish {
        /// Sizes of the fleet, as servers x forwarders.
        #[arg(default_values = ["20x12", "120x40", "400x150"])]
        sizes: Vec<measure_command::FleetSize>,
        /// Drains at each size.
        #[arg(long, default_value_t = 20)]
        rounds: u32,
        /// Print the results as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Measure the time to deliver weights by SASP, pushed and requested, in comparison with xDS in the same run.
    Advice {
        /// Numbers of members that one balancer registers.
        #[arg(default_values_t = [100, 1000, 5000])]
        members: Vec<u32>,
        /// Drains at each size.
        #[arg(long, default_value_t = 10)]
        rounds: u32,
    },
    /// Measure a group of supervisors: the time from the crash of the leader to the tables of its successor, the
    /// traffic among the members, and the log in comparison with plain writes.
    Group {
        /// Numbers of controllers in the group.
        #[arg(default_values_t = [3, 5, 9])]
        sizes: Vec<u16>,
        /// Kills of the leader at each size.
        #[arg(long, default_value_t = 20)]
        rounds: u32,
        /// Drill file with a `[shared]` section, which describes the group.
        #[arg(long = "day", value_name = "DAY", default_value = "drills/shared.toml")]
        drill: PathBuf,
    },
    /// Compare whole assignments with incremental ones, at a drain and when all forwarders rejoin, and measure the
    /// cost of table versions.
    Tables {
        /// Sizes of the fleet, as servers x forwarders.
        #[arg(default_values = ["120x40", "400x150"])]
        sizes: Vec<measure_command::FleetSize>,
        /// Drains and rejoins at each size.
        #[arg(long, default_value_t = 20)]
        rounds: u32,
    },
    /// Measure the service that callers lose by a restart of the supervisors, with and without their stored state, in
    /// comparison with the same drill without a restart.
    Restart {
        /// Drill file with a `supervisor_crash`.
        #[arg(value_name = "DAY", default_value = "drills/restart.toml")]
        drill: PathBuf,
        /// Number of rounds; each one draws other arrivals and faults.
        #[arg(long, default_value_t = 3)]
        rounds: u32,
        /// Number of the first round, which is added to the drill's seed.
        #[arg(long, default_value_t = 0)]
        first: u32,
        /// End the hang, slow and fast_errors faults of servers when the supervisors go down.
        #[arg(long)]
        healed: bool,
    },
    /// Measure the load reports per second that one supervisor processes.
    Reports {
        /// Size of the fleet, as servers x forwarders.
        #[arg(default_value = "120x40")]
        size: measure_command::FleetSize,
        /// Duration of the measurement in seconds.
        #[arg(long, default_value_t = 5)]
        seconds: u32,
    },
}

fn main() -> ExitCode {
    let exit_with_error = |error: anyhow::Error| {
        eprintln!("shalereel: {error:#}");
        ExitCode::from(2)
    };
    match Arguments::parse().command {
        Command::Drill { file, json, keep } => {
            drill_command::drill(&file, json, keep).unwrap_or_else(exit_with_error)
        }
        Command::DrillFrom { bench_scenario, template } => {
            drill_command::drill_from(&bench_scenario, &template)
                .map_or_else(exit_with_error, |()| ExitCode::SUCCESS)
        }
        Command::Measure(measure) => {
            let result = match measure {
                Measure::Publish { sizes, rounds, json } => measure_command::publish(&sizes, rounds, json),
                Measure::Advice { members, rounds } => measure_command::advice(&members, rounds),
                Measure::Group { sizes, rounds, drill } => group_measure::group(&sizes, rounds, &drill),
                Measure::Tables { sizes, rounds } => tables_measure::tables(&sizes, rounds),
                Measure::Restart { drill, first, rounds, healed } => {
                    restart_measure::restart(&drill, first, rounds, healed)
                }
                Measure::Reports { size, seconds } => measure_command::reports(size, seconds),
            };
            result.map_or_else(exit_with_error, |()| ExitCode::SUCCESS)
        }
        Command::Members { address, json } => {
            group_command::members(address, json).map_or_else(exit_with_error, |()| ExitCode::SUCCESS)
        }
        Command::Duties { address, json } => {
            group_command::duties(address, json).map_or_else(exit_with_error, |()| ExitCode::SUCCESS)
        }
        Command::Order { address, order } => {
            group_command::order(address, &order).map_or_else(exit_with_error, |()| ExitCode::SUCCESS)
        }
        Command::Tables { address, json, command } => tables_command::tables(address, &command, json)
            .map_or_else(exit_with_error, |()| ExitCode::SUCCESS),
        Command::Expect(arguments) => expect_command::expect(&arguments).unwrap_or_else(exit_with_error),
        Command::Hooks(command) => hooks_command::hooks(&command).unwrap_or_else(exit_with_error),
        Command::Rehearse(arguments) => group_command::rehearse(&arguments),
        Command::Node(arguments) => {
            node_command::node(&arguments).map_or_else(exit_with_error, |()| ExitCode::SUCCESS)
        }
        Command::Daemon(arguments) => daemon_command::daemon(&arguments).unwrap_or_else(exit_with_error),
        Command::StandIn { role } => match shalereel_standins::run(&role) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(error),
        },
    }
}
