//! `shalereel`: plays drills, measures, and runs any part of the program.

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
#[command(version, about = "Control service: tells plain forwarders by weighted tables where work goes")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a day from a script on real sockets, and judge its traffic. Exit 1: a rule broke or service was
    /// missed; 2: the file is bad.
    Drill {
        /// The day, as `docs/drills.md` describes it.
        file: PathBuf,
        /// Print the verdict as JSON.
        #[arg(long)]
        json: bool,
        /// Keep traces and logs in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Turn the troubles of a bench day into a drill, printed on the output.
    DrillFrom {
        /// The day, as the bench's `draw` prints it.
        day: PathBuf,
        /// A drill whose fleet, demand and rules are taken.
        #[arg(long, default_value = "drills/bad-day.toml")]
        fleet: PathBuf,
    },
    /// Measure what publishing and reports cost a supervisor.
    #[command(subcommand)]
    Measure(Measure),
    /// Who is in a group, as one of its supervisors sees it.
    Members {
        /// A supervisor's address.
        at: std::net::SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Who holds which duty, who owns which key range, and which orders stand.
    Duties {
        /// A supervisor's address.
        at: std::net::SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Give a group an order, at any of its supervisors. Exit 2: refused, and why.
    Order {
        /// A supervisor's address.
        at: std::net::SocketAddr,
        #[command(subcommand)]
        order: group_command::OrderCommand,
    },
    /// Run expectations of routing against fleets of many sizes and shapes, without traffic. Exit 1: one is not met.
    Expect(expect_command::ExpectArguments),
    /// Tools for operators' hooks, as `docs/hooks-language.md` describes their language.
    #[command(subcommand)]
    Hooks(hooks_command::HooksCommand),
    /// What a supervisor told of its tables, in versions, and the way back. Exit 2: refused, and why.
    Tables {
        /// A supervisor's address for operators, `admin.listen` in its file.
        at: std::net::SocketAddr,
        #[arg(long)]
        json: bool,
        #[command(subcommand)]
        command: tables_command::TablesCommand,
    },
    /// Play groups on a simulated network and check what must always hold. Exit 1: a schedule broke it.
    Rehearse(group_command::RehearseArguments),
    /// Run a live supervisor on the platform's protocol, as `docs/node.md` describes it.
    Node(node_command::NodeArguments),
    /// Run a supervisor; the same as `shalereeld`.
    Daemon(daemon_command::DaemonArguments),
    /// Play one stand-in, told by lines of JSON on the input.
    StandIn {
        /// servers, forwarders, callers, registry or links
        role: String,
    },
}

#[derive(Subcommand)]
enum Measure {
    /// From a drain heard to the last forwarder's ACK, and from a start to all tables held, beside bare sockets.
    Publish {
        /// Servers x forwarders.
        #[arg(default_values = ["20x12", "120x40", "400x150"])]
        sizes: Vec<measure_command::Size>,
        #[arg(long, default_value_t = 20)]
        rounds: u32,
        #[arg(long)]
        json: bool,
    },
    /// Weights by SASP, pushed and asked, beside xDS in the same run.
    Advice {
        /// Members of one balancer.
        #[arg(default_values_t = [100, 1000, 5000])]
        members: Vec<u32>,
        #[arg(long, default_value_t = 10)]
        rounds: u32,
    },
    /// A group of supervisors: from the death of its leader to the next one's tables, what members say to one
    /// another, and the log beside bare writes.
    Group {
        /// Controllers.
        #[arg(default_values_t = [3, 5, 9])]
        sizes: Vec<u16>,
        #[arg(long, default_value_t = 20)]
        rounds: u32,
        #[arg(long, default_value = "drills/shared.toml")]
        day: PathBuf,
    },
    /// Assignments said whole beside line by line: a drain, a rejoin of all; and what versions cost.
    Tables {
        /// Servers x forwarders.
        #[arg(default_values = ["120x40", "400x150"])]
        sizes: Vec<measure_command::Size>,
        #[arg(long, default_value_t = 20)]
        rounds: u32,
    },
    /// What a restart costs callers, with and without what was learned, beside the day without it.
    Restart {
        #[arg(default_value = "drills/restart.toml")]
        day: PathBuf,
        #[arg(long, default_value_t = 3)]
        rounds: u32,
        /// Of the first round: another one draws other arrivals and troubles.
        #[arg(long, default_value_t = 0)]
        first: u32,
        /// What ailed servers ends as the supervisors go down.
        #[arg(long)]
        healed: bool,
    },
    /// Load reports a second that one supervisor takes.
    Reports {
        #[arg(default_value = "120x40")]
        size: measure_command::Size,
        #[arg(long, default_value_t = 5)]
        seconds: u32,
    },
}

fn main() -> ExitCode {
    let failed = |error: anyhow::Error| {
        eprintln!("shalereel: {error:#}");
        ExitCode::from(2)
    };
    match Arguments::parse().command {
        Command::Drill { file, json, keep } => drill_command::drill(&file, json, keep).unwrap_or_else(failed),
        Command::DrillFrom { day, fleet } => {
            drill_command::drill_from(&day, &fleet).map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Command::Measure(measure) => {
            let result = match measure {
                Measure::Publish { sizes, rounds, json } => measure_command::publish(&sizes, rounds, json),
                Measure::Advice { members, rounds } => measure_command::advice(&members, rounds),
                Measure::Group { sizes, rounds, day } => group_measure::group(&sizes, rounds, &day),
                Measure::Tables { sizes, rounds } => tables_measure::tables(&sizes, rounds),
                Measure::Restart { day, first, rounds, healed } => {
                    restart_measure::restart(&day, first, rounds, healed)
                }
                Measure::Reports { size, seconds } => measure_command::reports(size, seconds),
            };
            result.map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Command::Members { at, json } => {
            group_command::members(at, json).map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Command::Duties { at, json } => {
            group_command::duties(at, json).map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Command::Order { at, order } => {
            group_command::order(at, &order).map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Command::Tables { at, json, command } => {
            tables_command::tables(at, &command, json).map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Command::Expect(arguments) => expect_command::expect(&arguments).unwrap_or_else(failed),
        Command::Hooks(command) => hooks_command::hooks(&command).unwrap_or_else(failed),
        Command::Rehearse(arguments) => group_command::rehearse(&arguments),
        Command::Node(arguments) => {
            node_command::node(&arguments).map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Command::Daemon(arguments) => daemon_command::daemon(&arguments).unwrap_or_else(failed),
        Command::StandIn { role } => match shalereel_standins::run(&role) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(error),
        },
    }
}
