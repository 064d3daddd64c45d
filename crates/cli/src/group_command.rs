//! Operators' words to a group, and rehearsals of groups on a simulated network.

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

#[derive(Subcommand)]
pub enum OrderCommand {
    /// Drain a server: nothing new goes to it. In its turn, at most a third of a locality at once.
    Drain { server: u32, locality: String },
    /// Hold a server's weight at most at this part of what is decided, above 0 and up to 1.
    Hold { server: u32, locality: String, part: f64 },
    /// End an order, by its number in the list of duties.
    Release { order: u64 },
    /// Give a key range to another server.
    Move { range: u32, server: u32 },
    /// Take a controller in; it votes once it has what was agreed.
    SeatIn { number: u32, address: SocketAddr },
    /// Take a controller out.
    SeatOut { number: u32 },
}

#[derive(Args)]
pub struct RehearseArguments {
    #[arg(long, default_value_t = 1000)]
    schedules: u64,
    /// Of the first schedule; the next ones follow.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    #[arg(long, default_value_t = 3)]
    nodes: u32,
    #[arg(long, default_value_t = 3)]
    threads: u64,
    /// Entries in one message at most.
    #[arg(long, default_value_t = 64)]
    batch: usize,
}

fn rows<'a>(told: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    told[key].as_array().into_iter().flatten()
}

pub fn members(at: SocketAddr, json: bool) -> Result<()> {
    let told = group_status(at)?;
    if json {
        println!("{told:#}");
        return Ok(());
    }
    println!(
        "controller {} {} in term {}; log: {} of {} carried out",
        told["me"], told["state"], told["term"], told["log"]["carried_out"], told["log"]["last"]
    );
    for member in rows(&told, "members") {
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

pub fn duties(at: SocketAddr, json: bool) -> Result<()> {
    let told = group_status(at)?;
    if json {
        println!("{told:#}");
        return Ok(());
    }
    for duty in rows(&told, "duties") {
        let name = duty["duty"].as_str().unwrap_or_default();
        println!("{name:<24} controller {:<3} epoch {}", duty["holder"], duty["epoch"]);
    }
    for range in rows(&told, "ranges") {
        let moves = match range["moves_to"].as_u64() {
            Some(to) => format!("moves to server {to}, cleared by {}", range["cleared_by"]),
            None => format!("server {}", range["owner"]),
        };
        println!("key range {:<14} {moves}, epoch {}", range["range"], range["epoch"]);
    }
    for order in rows(&told, "orders") {
        let does = order["does"].as_str().unwrap_or_default();
        let part = order["at_most"].as_f64().map(|part| format!(" at most {part}")).unwrap_or_default();
        let begun = if order["begun"] == true { "" } else { ", waits for its turn" };
        println!("order {:<18} {does} server {}{part}{begun}", order["order"], order["server"]);
    }
    Ok(())
}

fn locality(at: SocketAddr, name: &str) -> Result<u32> {
    let told = group_status(at)?;
    let names: Vec<&str> = rows(&told, "localities").filter_map(Value::as_str).collect();
    let found = names.iter().position(|one| *one == name);
    found.map(|at| at as u32).with_context(|| format!("no locality {name:?}; there are {names:?}"))
}

pub fn order(at: SocketAddr, order: &OrderCommand) -> Result<()> {
    let act = match order {
        OrderCommand::Drain { server, locality: name } => CommandPayload::OperatorOrder(OperatorOrder {
            server: *server,
            locality: locality(at, name)?,
            weight_cap_millionths: None,
        }),
        OrderCommand::Hold { server, locality: name, part } => {
            if !(*part > 0.0 && *part <= 1.0) {
                bail!("{part} is no part; give a number above 0 and up to 1, or drain the server");
            }
            let hold = Some((part * 1e6).ceil() as u32);
            CommandPayload::OperatorOrder(OperatorOrder {
                server: *server,
                locality: locality(at, name)?,
                weight_cap_millionths: hold,
            })
        }
        OrderCommand::Release { order } => CommandPayload::ReleaseOrder(ReleaseOrder { order_index: *order }),
        OrderCommand::Move { range, server } => {
            CommandPayload::MoveRange(MoveRange { range: *range, to_server: *server, epoch: 0 })
        }
        OrderCommand::SeatIn { number, address } => {
            let seat = Some(MemberAddress { id: *number, address: address.to_string() });
            CommandPayload::ChangeMembership(MembershipChange { member: seat, removed: false })
        }
        OrderCommand::SeatOut { number } => {
            let seat = Some(MemberAddress { id: *number, address: String::new() });
            CommandPayload::ChangeMembership(MembershipChange { member: seat, removed: true })
        }
    };
    println!("agreed: {}", submit_command(at, act)?);
    Ok(())
}

/// Exit 1 at the first schedule that breaks something; it is named by its seed.
pub fn rehearse(arguments: &RehearseArguments) -> ExitCode {
    let script = ScheduleSettings {
        members: arguments.nodes,
        max_batch_entries: arguments.batch,
        ..ScheduleSettings::default()
    };
    let next = AtomicU64::new(0);
    let found: Mutex<Option<Violation>> = Mutex::new(None);
    let sum: Mutex<ScheduleStats> = Mutex::new(ScheduleStats::default());
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads.max(1) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let over = found.lock().map_or(true, |found| found.is_some());
                if at >= arguments.schedules || over {
                    return;
                }
                match run_schedule(arguments.seed + at, script) {
                    Ok(tally) => {
                        if let Ok(mut sum) = sum.lock() {
                            sum.add(&tally);
                        }
                    }
                    Err(violation) => {
                        if let Ok(mut found) = found.lock() {
                            found.get_or_insert(violation);
                        }
                    }
                }
            });
        }
    });
    if let Some(violation) = found.into_inner().ok().flatten() {
        println!("{violation}");
        println!(
            "again: shalereel rehearse --schedules 1 --seed {} --nodes {} --batch {}",
            violation.seed, arguments.nodes, arguments.batch
        );
        return ExitCode::from(1);
    }
    let sum = sum.into_inner().unwrap_or_default();
    println!(
        "{} schedules from seed {}, {} controllers: nothing broken in {} steps, {} elections, {} crashes, {} moves of \
         ranges, {} writes, {} orders",
        arguments.schedules,
        arguments.seed,
        arguments.nodes,
        sum.steps,
        sum.elections,
        sum.crashes,
        sum.range_assignments,
        sum.writes,
        sum.orders
    );
    ExitCode::SUCCESS
}
