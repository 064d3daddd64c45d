//! `shalereel members`, `duties`, `order` and `rehearse`: operators' commands to a group of supervisors, and groups run
//! on a simulated network.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use anyhow::{bail, Context, Result};
use clap::{Args, Subcommand};
use serde_json::Value;
use shalereel_fault_scenarios::{group_status, submit_command};
use shalereel_group::sim::{run_schedule, ScheduleSettings, ScheduleStats, Violation};
use shalereel_group::wire::{
    CommandPayload, MemberAddress, MembershipChange, MoveRange, OperatorOrder, ReleaseOrder,
};

/// Weight caps are sent as millionths of the computed weight.
const MILLIONTHS_PER_UNIT: f64 = 1e6;

/// Subcommands of `shalereel order`.
#[derive(Subcommand)]
pub enum OrderCommand {
    /// Drain a server: no new work is sent to it. Drains take turns, at most a third of a locality at once.
    Drain {
        /// Number of the server.
        server: u32,
        /// Name of the server's locality.
        locality: String,
    },
    /// Cap a server's weight at this fraction of the computed weight, above 0 and up to 1.
    Hold {
        /// Number of the server.
        server: u32,
        /// Name of the server's locality.
        locality: String,
        /// Largest fraction of the computed weight.
        #[arg(value_name = "PART")]
        fraction: f64,
    },
    /// End an order, by its number in the output of `shalereel duties`.
    Release {
        /// Number of the order.
        order: u64,
    },
    /// Move a key range to another server.
    Move {
        /// Number of the key range.
        range: u32,
        /// Number of the server that gets the range.
        server: u32,
    },
    /// Add a controller to the group; it votes once it has the committed log entries.
    SeatIn {
        /// Number of the controller.
        number: u32,
        /// Address of the controller.
        address: SocketAddr,
    },
    /// Remove a controller from the group.
    SeatOut {
        /// Number of the controller.
        number: u32,
    },
}

#[derive(Args)]
pub struct RehearseArguments {
    /// Number of schedules to run.
    #[arg(long, default_value_t = 1000)]
    schedules: u64,
    /// Seed of the first schedule; each next one adds 1.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Number of controllers in the group.
    #[arg(long, default_value_t = 3)]
    nodes: u32,
    /// Threads that run schedules in parallel.
    #[arg(long, default_value_t = 3)]
    threads: u64,
    /// Maximum number of log entries in one message.
    #[arg(long, default_value_t = 64)]
    batch: usize,
}

/// Items of the array at `key`; none if there is no array.
fn rows<'a>(status: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    status[key].as_array().into_iter().flatten()
}

/// Prints the members of a group, as the supervisor at `address` reports them.
pub fn members(address: SocketAddr, json: bool) -> Result<()> {
    let status = group_status(address)?;
    if json {
        println!("{status:#}");
        return Ok(());
    }
    println!(
        "controller {} {} in term {}; log: {} of {} carried out",
        status["me"], status["state"], status["term"], status["log"]["carried_out"], status["log"]["last"]
    );
    for member in rows(&status, "members") {
        println!(
            "{:>3}  {:<22} {:<8} {:<7} since {:>6} s{}",
            member["number"],
            member["address"].as_str().unwrap_or_default(),
            member["standing"].as_str().unwrap_or_default(),
            member["seat"].as_str().unwrap_or_default(),
            member["since_s"],
            if member["leads"] == true { "  leads" } else { "" },
        );
    }
    Ok(())
}

/// Prints the duties, key ranges and orders of a group, as the supervisor at `address` reports them.
pub fn duties(address: SocketAddr, json: bool) -> Result<()> {
    let status = group_status(address)?;
    if json {
        println!("{status:#}");
        return Ok(());
    }
    for duty in rows(&status, "duties") {
        let name = duty["duty"].as_str().unwrap_or_default();
        println!("{name:<24} controller {:<3} epoch {}", duty["holder"], duty["epoch"]);
    }
    for range in rows(&status, "ranges") {
        let owner = match range["moves_to"].as_u64() {
            Some(to) => format!("moves to server {to}, cleared by {}", range["cleared_by"]),
            None => format!("server {}", range["owner"]),
        };
        println!("key range {:<14} {owner}, epoch {}", range["range"], range["epoch"]);
    }
    for order in rows(&status, "orders") {
        let action = order["does"].as_str().unwrap_or_default();
        let cap = order["at_most"].as_f64().map(|cap| format!(" at most {cap}")).unwrap_or_default();
        let waiting = if order["begun"] == true { "" } else { ", waits for its turn" };
        println!("order {:<18} {action} server {}{cap}{waiting}", order["order"], order["server"]);
    }
    Ok(())
}

/// Index of the locality `name` in the deployment of the supervisor at `address`.
fn locality_index(address: SocketAddr, name: &str) -> Result<u32> {
    let status = group_status(address)?;
    let names: Vec<&str> = rows(&status, "localities").filter_map(Value::as_str).collect();
    let position = names.iter().position(|candidate| *candidate == name);
    position.map(|index| index as u32).with_context(|| format!("no locality {name:?}; there are {names:?}"))
}

/// Sends an order to a group through the supervisor at `address` and prints the response.
pub fn order(address: SocketAddr, order: &OrderCommand) -> Result<()> {
    let command = match order {
        OrderCommand::Drain { server, locality: name } => CommandPayload::OperatorOrder(OperatorOrder {
            server: *server,
            locality: locality_index(address, name)?,
            weight_cap_millionths: None,
        }),
        OrderCommand::Hold { server, locality: name, fraction } => {
            if !(*fraction > 0.0 && *fraction <= 1.0) {
                bail!("{fraction} is out of range; give a number above 0 and up to 1, or drain the server");
            }
            let cap = Some((fraction * MILLIONTHS_PER_UNIT).ceil() as u32);
            CommandPayload::OperatorOrder(OperatorOrder {
                server: *server,
                locality: locality_index(address, name)?,
                weight_cap_millionths: cap,
            })
        }
        OrderCommand::Release { order } => CommandPayload::ReleaseOrder(ReleaseOrder { order_index: *order }),
        OrderCommand::Move { range, server } => {
            // Epoch 0 marks a move that an operator ordered.
            CommandPayload::MoveRange(MoveRange { range: *range, to_server: *server, epoch: 0 })
        }
        OrderCommand::SeatIn { number, address } => {
            let member = Some(MemberAddress { id: *number, address: address.to_string() });
            CommandPayload::ChangeMembership(MembershipChange { member, removed: false })
        }
        OrderCommand::SeatOut { number } => {
            let member = Some(MemberAddress { id: *number, address: String::new() });
            CommandPayload::ChangeMembership(MembershipChange { member, removed: true })
        }
    };
    println!("agreed: {}", submit_command(address, command)?);
    Ok(())
}

/// Runs simulated schedules on several threads. Exit code 1: a schedule violates an invariant; the first one found is
/// printed with its seed.
pub fn rehearse(arguments: &RehearseArguments) -> ExitCode {
    let settings = ScheduleSettings {
        members: arguments.nodes,
        max_batch_entries: arguments.batch,
        ..ScheduleSettings::default()
    };
    let next_index = AtomicU64::new(0);
    let first_violation: Mutex<Option<Violation>> = Mutex::new(None);
    let totals: Mutex<ScheduleStats> = Mutex::new(ScheduleStats::default());
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads.max(1) {
            scope.spawn(|| loop {
                let index = next_index.fetch_add(1, Ordering::Relaxed);
                let stopped = first_violation.lock().map_or(true, |violation| violation.is_some());
                if index >= arguments.schedules || stopped {
                    return;
                }
                match run_schedule(arguments.seed + index, settings) {
                    Ok(stats) => {
                        if let Ok(mut totals) = totals.lock() {
                            totals.add(&stats);
                        }
                    }
                    Err(violation) => {
                        if let Ok(mut first) = first_violation.lock() {
                            first.get_or_insert(violation);
                        }
                    }
                }
            });
        }
    });
    if let Some(violation) = first_violation.into_inner().ok().flatten() {
        println!("{violation}");
        println!(
            "again: shalereel rehearse --schedules 1 --seed {} --nodes {} --batch {}",
            violation.seed, arguments.nodes, arguments.batch
        );
        return ExitCode::from(1);
    }
    let totals = totals.into_inner().unwrap_or_default();
    println!(
        "{} schedules from seed {}, {} controllers: nothing broken in {} steps, {} elections, {} crashes, {} moves of \
         ranges, {} writes, {} orders",
        arguments.schedules,
        arguments.seed,
        arguments.nodes,
        totals.steps,
        totals.elections,
        totals.crashes,
        totals.range_assignments,
        totals.writes,
        totals.orders
    );
    ExitCode::SUCCESS
}
