//! `shalereel tables`: operators' queries about published table versions, rollbacks and weight caps.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use anyhow::{bail, Result};
use clap::{Args, Subcommand};
use serde_json::Value;
use shalereel_fault_scenarios::query_tables;
use shalereel_xds_supervisor::admin::{
    AdminQuery, CapServer, DiffVersions, EndRollbacks, ListVersions, ShowVersion, StartRollback,
};

/// Subcommands of `shalereel tables`.
#[derive(Subcommand)]
pub enum TablesCommand {
    /// List the newest versions, the active rollbacks and the weight caps.
    List {
        /// Maximum number of versions to list.
        #[arg(long, default_value_t = 20)]
        last: u32,
    },
    /// Show the lines of a version.
    Show {
        /// Number of the version; 0 means the newest.
        #[arg(default_value_t = 0)]
        version: u64,
    },
    /// Show the differences between two versions of a table.
    Diff {
        /// Number of the first version.
        from: u64,
        /// Number of the second version.
        to: u64,
    },
    /// Roll a table back to the weights of a version for a limited time. A server that has since drained, left, become
    /// unhealthy, restarted or become cold keeps its computed weight.
    Back {
        /// Number of the version whose weights are restored.
        version: u64,
        #[command(flatten)]
        details: ChangeDetails,
        /// Print the effect without rolling back.
        #[arg(long)]
        dry_run: bool,
    },
    /// Cap a server's weight at this fraction of its computed weight for a limited time, at this supervisor only.
    Hold {
        /// Number of the server.
        server: u32,
        /// Largest fraction of the computed weight.
        #[arg(value_name = "PART")]
        fraction: f64,
        #[command(flatten)]
        details: ChangeDetails,
    },
    /// End a server's weight cap at this supervisor.
    Release {
        /// Number of the server.
        server: u32,
    },
    /// End all rollbacks now.
    Onward,
}

/// Duration, reason and author of a change, which are stored with the versions that result from it.
#[derive(Args)]
pub struct ChangeDetails {
    /// Duration of the change, such as 90s, 10m or 2h.
    #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// Reason for the change.
    #[arg(long = "why", value_name = "WHY")]
    reason: String,
    /// Name of the operator who makes the change.
    #[arg(long = "who", value_name = "WHO", env = "USER", default_value = "operator")]
    actor: String,
}

impl ChangeDetails {
    /// The duration in milliseconds, which is at least 1, the actor and the reason.
    fn to_request_fields(&self) -> Result<(u64, String, String)> {
        match u64::try_from(self.duration.as_millis()) {
            Ok(0) => bail!("duration {:?} is below 1 ms; give one such as 10m", self.duration),
            Ok(millis) => Ok((millis, self.actor.clone(), self.reason.clone())),
            Err(_) => bail!("duration {:?} is too long", self.duration),
        }
    }
}

/// Items of the array at `key`; none if there is no array.
fn rows<'a>(response: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    response[key].as_array().into_iter().flatten()
}

/// JSON text of a value, for columns: `Display` of a JSON value ignores the width of a format, that of a string does
/// not.
fn value_text(value: &Value) -> String {
    value.to_string()
}

/// The string in a value; empty if it is not a string.
fn str_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

/// Weight of a table line as text, "out" if the server has no line in the table.
fn weight_text(line: &Value) -> String {
    match line["weight"].as_f64() {
        None => "out".into(),
        Some(weight) if line["draining"] == true => format!("{weight:.4} draining"),
        Some(weight) => format!("{weight:.4}"),
    }
}

/// Sends a request about tables to the supervisor at `address` and prints the response.
pub fn tables(address: SocketAddr, command: &TablesCommand, json: bool) -> Result<()> {
    let query = match command {
        TablesCommand::List { last } => AdminQuery::List(ListVersions { last: *last }),
        TablesCommand::Show { version } => AdminQuery::Show(ShowVersion { version: *version }),
        TablesCommand::Diff { from, to } => AdminQuery::Diff(DiffVersions { from: *from, to: *to }),
        TablesCommand::Back { version, details, dry_run } => {
            let (duration_ms, actor, reason) = details.to_request_fields()?;
            AdminQuery::StartRollback(StartRollback {
                version: *version,
                duration_ms,
                dry_run: *dry_run,
                actor,
                reason,
            })
        }
        TablesCommand::Hold { server, fraction, details } => {
            let (duration_ms, actor, reason) = details.to_request_fields()?;
            AdminQuery::CapServer(CapServer {
                server: *server,
                factor: *fraction,
                duration_ms,
                actor,
                reason,
            })
        }
        TablesCommand::Release { server } => {
            AdminQuery::CapServer(CapServer { server: *server, ..CapServer::default() })
        }
        TablesCommand::Onward => AdminQuery::EndRollbacks(EndRollbacks {}),
    };
    let response = query_tables(address, query)?;
    if json {
        println!("{response:#}");
        return Ok(());
    }
    match command {
        TablesCommand::List { .. } => print_versions(&response),
        TablesCommand::Show { .. } => print_version(&response),
        TablesCommand::Diff { .. } => {
            for row in rows(&response, "lines") {
                println!(
                    "server {:<8} {:>16} -> {}",
                    value_text(&row["server"]),
                    weight_text(&row["from"]),
                    weight_text(&row["to"])
                );
            }
        }
        TablesCommand::Back { .. } => print_rollback(&response),
        TablesCommand::Hold { server, fraction, .. } => {
            println!("server {server} is held at most at {fraction} of its weight")
        }
        TablesCommand::Release { server } => println!("server {server} is held no longer"),
        TablesCommand::Onward => println!("{} ways back end", response["ended"]),
    }
    Ok(())
}

fn print_versions(response: &Value) {
    println!("{} versions kept, {} bytes", response["kept"], response["bytes"]);
    for rollback in rows(response, "ways") {
        let ends = if rollback["ending"] == true {
            "ending".to_owned()
        } else {
            format!("ends in {} s", rollback["ends_in_s"])
        };
        println!(
            "table {} goes by version {}, {ends}, {} lines to move: {} ({})",
            rollback["table"],
            rollback["to"],
            rollback["lines_to_move"],
            str_or_empty(&rollback["why"]),
            str_or_empty(&rollback["who"])
        );
    }
    for cap in rows(response, "holds") {
        println!(
            "server {} held at most at {} of its weight, ends in {} s: {} ({})",
            cap["server"],
            cap["at_most"],
            cap["ends_in_s"],
            str_or_empty(&cap["why"]),
            str_or_empty(&cap["who"])
        );
    }
    println!("{:>8} {:>5} {:<20} {:>6} {:>7}  why", "version", "table", "at", "lines", "changed");
    for version in rows(response, "versions") {
        let published_at = Duration::from_millis(version["at_ms"].as_u64().unwrap_or(0));
        println!(
            "{:>8} {:>5} {:<20} {:>6} {:>7}  {}: {}",
            value_text(&version["version"]),
            value_text(&version["table"]),
            humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + published_at),
            value_text(&version["lines"]),
            value_text(&version["changed"]),
            str_or_empty(&version["who"]),
            str_or_empty(&version["why"])
        );
    }
}

fn print_version(response: &Value) {
    println!("version {} of table {}", response["version"], response["table"]);
    if let Some(made) = response["made"].as_object() {
        println!(
            "made by {}: {}; check {}",
            str_or_empty(&made["who"]),
            str_or_empty(&made["why"]),
            str_or_empty(&made["check"])
        );
    }
    for row in rows(response, "lines") {
        println!(
            "server {:<8} {:<22} {}",
            value_text(&row["server"]),
            str_or_empty(&row["line"]["address"]),
            weight_text(&row["line"])
        );
    }
}

fn print_rollback(response: &Value) {
    let verb = if response["dry_run"] == true { "would take" } else { "take" };
    println!(
        "{} servers of table {} {verb} the weights of version {}",
        response["takes"], response["table"], response["to"]
    );
    for row in rows(response, "moves") {
        let (current, factor) = (row["now"].as_f64().unwrap_or(0.0), row["times"].as_f64().unwrap_or(1.0));
        println!("server {:<8} {current:.4} -> {:.4}", value_text(&row["server"]), current * factor);
    }
    for row in rows(response, "stays") {
        println!("server {:<8} stays: {}", value_text(&row["server"]), str_or_empty(&row["why"]));
    }
}
