//! Operators' words about tables: what was told when and why, and the way back.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use anyhow::{bail, Result};
use clap::{Args, Subcommand};
use serde_json::Value;
use shalereel_fault_scenarios::query_tables;
use shalereel_xds_supervisor::admin::{
    AdminQuery, CapServer, DiffVersions, EndRollbacks, ListVersions, ShowVersion, StartRollback,
};

#[derive(Subcommand)]
pub enum TablesCommand {
    /// The newest versions, and the ways back under way.
    List {
        #[arg(long, default_value_t = 20)]
        last: u32,
    },
    /// The lines of a version; of the newest one unless named.
    Show {
        #[arg(default_value_t = 0)]
        version: u64,
    },
    /// What differs between two versions of a table.
    Diff { from: u64, to: u64 },
    /// Go back to a version's weights for a while. What has drained, left, gone red, restarted or is cold since stays
    /// as it is decided now.
    Back {
        version: u64,
        #[command(flatten)]
        given: Given,
        /// Only say what it would do.
        #[arg(long)]
        dry_run: bool,
    },
    /// Hold a server at most at this part of its weight for a while, at this supervisor.
    Hold {
        server: u32,
        part: f64,
        #[command(flatten)]
        given: Given,
    },
    /// End a hold of this supervisor.
    Release { server: u32 },
    /// End the ways back now.
    Onward,
}

/// Who orders something, for how long, and why: all of it is kept with the versions that come of it.
#[derive(Args)]
pub struct Given {
    /// For how long, such as 90s, 10m or 2h.
    #[arg(long = "for", value_parser = humantime::parse_duration)]
    span: Duration,
    #[arg(long)]
    why: String,
    #[arg(long, env = "USER", default_value = "operator")]
    who: String,
}

impl Given {
    /// Milliseconds, at least one, who and why.
    fn told(&self) -> Result<(u64, String, String)> {
        match u64::try_from(self.span.as_millis()) {
            Ok(0) => bail!("{:?} is no time; give a span such as 10m", self.span),
            Ok(millis) => Ok((millis, self.who.clone(), self.why.clone())),
            Err(_) => bail!("{:?} is too long", self.span),
        }
    }
}

fn rows<'a>(told: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    told[key].as_array().into_iter().flatten()
}

/// A figure as text: JSON's own takes no width.
fn cell(value: &Value) -> String {
    value.to_string()
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn weight(line: &Value) -> String {
    match line["weight"].as_f64() {
        None => "out".into(),
        Some(weight) if line["draining"] == true => format!("{weight:.4} draining"),
        Some(weight) => format!("{weight:.4}"),
    }
}

pub fn tables(at: SocketAddr, command: &TablesCommand, json: bool) -> Result<()> {
    let question = match command {
        TablesCommand::List { last } => AdminQuery::List(ListVersions { last: *last }),
        TablesCommand::Show { version } => AdminQuery::Show(ShowVersion { version: *version }),
        TablesCommand::Diff { from, to } => AdminQuery::Diff(DiffVersions { from: *from, to: *to }),
        TablesCommand::Back { version, given, dry_run } => {
            let (duration_ms, actor, reason) = given.told()?;
            AdminQuery::StartRollback(StartRollback {
                version: *version,
                duration_ms,
                dry_run: *dry_run,
                actor,
                reason,
            })
        }
        TablesCommand::Hold { server, part, given } => {
            let (duration_ms, actor, reason) = given.told()?;
            AdminQuery::CapServer(CapServer { server: *server, factor: *part, duration_ms, actor, reason })
        }
        TablesCommand::Release { server } => {
            AdminQuery::CapServer(CapServer { server: *server, ..CapServer::default() })
        }
        TablesCommand::Onward => AdminQuery::EndRollbacks(EndRollbacks {}),
    };
    let told = query_tables(at, question)?;
    if json {
        println!("{told:#}");
        return Ok(());
    }
    match command {
        TablesCommand::List { .. } => list(&told),
        TablesCommand::Show { .. } => show(&told),
        TablesCommand::Diff { .. } => {
            for row in rows(&told, "lines") {
                println!(
                    "server {:<8} {:>16} -> {}",
                    cell(&row["server"]),
                    weight(&row["from"]),
                    weight(&row["to"])
                );
            }
        }
        TablesCommand::Back { .. } => back(&told),
        TablesCommand::Hold { server, part, .. } => {
            println!("server {server} is held at most at {part} of its weight")
        }
        TablesCommand::Release { server } => println!("server {server} is held no longer"),
        TablesCommand::Onward => println!("{} ways back end", told["ended"]),
    }
    Ok(())
}

fn list(told: &Value) {
    println!("{} versions kept, {} bytes", told["kept"], told["bytes"]);
    for way in rows(told, "ways") {
        let ends = if way["ending"] == true {
            "ending".to_owned()
        } else {
            format!("ends in {} s", way["ends_in_s"])
        };
        println!(
            "table {} goes by version {}, {ends}, {} lines to move: {} ({})",
            way["table"],
            way["to"],
            way["lines_to_move"],
            text(&way["why"]),
            text(&way["who"])
        );
    }
    for hold in rows(told, "holds") {
        println!(
            "server {} held at most at {} of its weight, ends in {} s: {} ({})",
            hold["server"],
            hold["at_most"],
            hold["ends_in_s"],
            text(&hold["why"]),
            text(&hold["who"])
        );
    }
    println!("{:>8} {:>5} {:<20} {:>6} {:>7}  why", "version", "table", "at", "lines", "changed");
    for version in rows(told, "versions") {
        let at = Duration::from_millis(version["at_ms"].as_u64().unwrap_or(0));
        println!(
            "{:>8} {:>5} {:<20} {:>6} {:>7}  {}: {}",
            cell(&version["version"]),
            cell(&version["table"]),
            humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + at),
            cell(&version["lines"]),
            cell(&version["changed"]),
            text(&version["who"]),
            text(&version["why"])
        );
    }
}

fn show(told: &Value) {
    println!("version {} of table {}", told["version"], told["table"]);
    if let Some(made) = told["made"].as_object() {
        println!("made by {}: {}; check {}", text(&made["who"]), text(&made["why"]), text(&made["check"]));
    }
    for row in rows(told, "lines") {
        println!(
            "server {:<8} {:<22} {}",
            cell(&row["server"]),
            text(&row["line"]["address"]),
            weight(&row["line"])
        );
    }
}

fn back(told: &Value) {
    let word = if told["dry_run"] == true { "would take" } else { "take" };
    println!(
        "{} servers of table {} {word} the weights of version {}",
        told["takes"], told["table"], told["to"]
    );
    for row in rows(told, "moves") {
        let (now, times) = (row["now"].as_f64().unwrap_or(0.0), row["times"].as_f64().unwrap_or(1.0));
        println!("server {:<8} {now:.4} -> {:.4}", cell(&row["server"]), now * times);
    }
    for row in rows(told, "stays") {
        println!("server {:<8} stays: {}", cell(&row["server"]), text(&row["why"]));
    }
}
