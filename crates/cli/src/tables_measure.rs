//! `shalereel measure tables`: assignments said whole beside line by line, in one run; and what versions cost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use shalereel::interface::{ServerSnapshot, Snapshot};
use shalereel_guard::{Availability, Guard, Limits, Line as GuardLine, Pool, Server};
use shalereel_reactor::{now, MILLI};
use shalereel_snapshot::StoredSnapshot;
use shalereel_store::{
    DeltaOutcome, Digest, Line, Lines, Provenance, Replica, ResyncBackoff, RetentionLimits, Store,
};
use shalereel_xds_supervisor::Deployment;

use crate::measure_command::{address, deployment, ms, Group, Registry, Size, Supervisor, Wait};

/// What one way costs at one size. Times in ns, bytes a forwarder.
struct Cost {
    drain: Histogram<u64>,
    drain_bytes: usize,
    rejoin: Histogram<u64>,
    rejoin_bytes: usize,
    fresh: Histogram<u64>,
    fresh_bytes: usize,
    cpu_ms_a_drain: f64,
}

pub fn tables(sizes: &[Size], rounds: u32) -> Result<()> {
    for &size in sizes {
        let folder = std::env::temp_dir().join(format!("shalereel-tables-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let measured = [false, true].map(|lines| one(size, rounds, &folder, lines));
        let _ = std::fs::remove_dir_all(&folder);
        let [whole, lines] = measured;
        let (whole, lines) = (whole?, lines?);
        for (name, cost) in [("whole", &whole), ("lines", &lines)] {
            println!(
                "{} x {} {name}: drain to last ACK {:.2} ms (p99 {:.2}), {} bytes each, {:.1} ms of processor; rejoin of all \
                 {:.1} ms, {} bytes each; with nothing brought along {:.1} ms, {} bytes each",
                size.servers,
                size.forwarders,
                ms(cost.drain.value_at_quantile(0.5)),
                ms(cost.drain.value_at_quantile(0.99)),
                cost.drain_bytes,
                cost.cpu_ms_a_drain,
                ms(cost.rejoin.value_at_quantile(0.5)),
                cost.rejoin_bytes,
                ms(cost.fresh.value_at_quantile(0.5)),
                cost.fresh_bytes,
            );
        }
        println!(
            "{} x {}: lines take {:.3} of the bytes of a drain, {:.4} of those of a rejoin, {:.3} of those with nothing \
             brought along",
            size.servers,
            size.forwarders,
            lines.drain_bytes as f64 / whole.drain_bytes as f64,
            lines.rejoin_bytes as f64 / whole.rejoin_bytes as f64,
            lines.fresh_bytes as f64 / whole.fresh_bytes as f64,
        );
    }
    for lines in [120, 400, 5000] {
        versions(lines)?;
    }
    Ok(())
}

fn one(size: Size, rounds: u32, folder: &Path, lines: bool) -> Result<Cost> {
    let (mut registry, list) = Registry::new(size)?;
    let file = folder.join("supervisor.toml");
    std::fs::write(&file, deployment(size, "127.0.0.1:0", list, folder))?;
    let (supervisor, served) = Supervisor::start(&file)?;
    let groups = Group::spawn(size, served, lines);
    let all = size.servers as usize;
    let tell = |wait: &dyn Fn() -> Wait| {
        groups.iter().try_for_each(|group| group.waits.send(wait()).context("a thread is gone"))
    };
    let tables = |served: SocketAddr| move || Wait::Tables(served, all);
    tell(&tables(served))?;
    registry.until("all tables held", &groups)?;
    let mut cost = Cost {
        drain: Histogram::new(3)?,
        drain_bytes: 0,
        rejoin: Histogram::new(3)?,
        rejoin_bytes: 0,
        fresh: Histogram::new(3)?,
        fresh_bytes: 0,
        cpu_ms_a_drain: 0.0,
    };
    let before = supervisor.cost()?.0;
    for round in 0..rounds {
        let server = round % size.servers;
        tell(&|| Wait::Without(address(server)))?;
        registry.turn(now() + 20 * MILLI)?;
        registry.draining = Some(server);
        let begun = registry.say_list();
        let (held, bytes, _) = registry.until("a drain", &groups)?;
        cost.drain.record(held - begun)?;
        cost.drain_bytes += bytes / rounds as usize;
        registry.draining = None;
        registry.say_list();
        tell(&tables(served))?;
        registry.until("a return", &groups)?;
    }
    cost.cpu_ms_a_drain = 1e3 * (supervisor.cost()?.0 - before) / f64::from(rounds);
    for round in 0..rounds.max(4) {
        // The module lets joiners in batch by batch: between two of them all is quiet.
        registry.turn(now() + 50 * MILLI)?;
        let resume = round % 2 == 0;
        let begun = now();
        tell(&|| Wait::Rejoin { lines: all, resume })?;
        let (held, bytes, _) = registry.until("a rejoin", &groups)?;
        if resume {
            cost.rejoin.record(held - begun)?;
            cost.rejoin_bytes = bytes;
        } else {
            cost.fresh.record(held - begun)?;
            cost.fresh_bytes = bytes;
        }
    }
    Ok(cost)
}

/// The digest, a version, and what a forwarder does with a delta, alone on one core.
fn versions(count: u32) -> Result<()> {
    let line =
        |server: u32, weight: u32| Line { address: address(server), weight, draining: false, incarnation: 1 };
    let lines: Lines = (0..count).map(|server| (server, line(server, 10_000))).collect();
    let rounds = 2_000_000 / count;
    let begun = now();
    let mut sum = 0;
    for salt in 0..rounds {
        sum ^= Digest::of(&lines, salt.into()).sum;
    }
    let digest = (now() - begun) as f64 / f64::from(rounds * count);
    let guarded = guard_cost(count)?;
    let (kept, said) = memory_cost(count);
    let bounds = RetentionLimits { versions: 100_000, bytes: 1 << 30, age: u64::MAX };
    let mut store = Store::new(bounds, 1);
    let why = Provenance::new("module", "");
    store.publish(0, lines.iter().map(|(&server, &line)| (server, Some(line))), 1, &why);
    let mut follower = Replica::new(ResyncBackoff::new(MILLI, 1));
    let whole = store.delta_from(0, 0);
    let begun = now();
    let held = whole.iter().all(|whole| follower.receive(0, whole) == DeltaOutcome::Applied);
    let taken_whole = now() - begun;
    let (mut made, mut taken, mut missed, before) = (0, 0, usize::from(!held), store.size().bytes);
    let each = 4.min(count);
    for at in 1..=1000 {
        let from = store.newest_version(0);
        let begun = now();
        let touched = (0..each).map(|server| (server, Some(line(server, 10_000 + at))));
        store.publish(0, touched, at.into(), &why);
        let delta = store.delta_from(0, from);
        made += now() - begun;
        store.take_writes();
        let begun = now();
        missed += delta.iter().filter(|delta| follower.receive(0, delta) != DeltaOutcome::Applied).count();
        taken += now() - begun;
    }
    assert_eq!(missed, 0, "deltas that did not add up");
    let a_version = (store.size().bytes - before) as f64 / 1000.0;
    println!(
        "{count} lines: digest {digest:.1} ns a line ({:x}); a version of {each} lines made in {:.1} us, taken by a forwarder in \
         {:.1} us, {a_version:.0} bytes kept: {:.1} MB a day at one a second; a whole table taken in {:.1} us; \
         looked at by the guard in {guarded:.1} us; {kept} bytes of what was learned, said in {said:.1} us",
        sum as u8,
        made as f64 / 1e6,
        taken as f64 / 1e6,
        a_version * 86_400.0 / 1e6,
        taken_whole as f64 / 1e3,
    );
    Ok(())
}

/// What is kept of so many servers, and how long it takes to say it, in microseconds.
fn memory_cost(count: u32) -> (usize, f64) {
    let learned = |server| ServerSnapshot {
        server,
        attempts: 40.0 + f64::from(server),
        failures: 1.0,
        responses: 60.0,
        response_time_sum: 6e9,
        recovery: 1.0,
        ejection_time: 5_000_000_000,
        ..ServerSnapshot::default()
    };
    let servers = (0..count).map(learned).collect();
    let memory = StoredSnapshot {
        taken_at: 1_800_000_000_000_000_000,
        learned: Snapshot { servers, attempts: 1e4, failures: 10.0, ..Snapshot::default() },
        incarnations: (0..count).map(|server| (server, 3)).collect(),
        proxy_rates: (0..count / 3).map(|proxy| (format!("forwarder-{proxy}"), 12.5)).collect(),
    };
    let (rounds, begun) = (100, now());
    let bytes: usize = (0..rounds).map(|_| memory.encode_record().len()).sum();
    (bytes / rounds, (now() - begun) as f64 / rounds as f64 / 1e3)
}

/// What the guard takes for one table that differs in one line, in microseconds.
fn guard_cost(count: u32) -> Result<f64> {
    let servers = (0..count)
        .map(|id| (id, Server { availability: Availability::Ready, capacity: 1.0, age: None }))
        .collect();
    let pool = Pool { servers, traffic_share: 1.0 };
    let before: BTreeMap<u32, GuardLine> =
        (0..count).map(|id| (id, GuardLine { weight: 1.0, draining: false })).collect();
    let mut after = before.clone();
    after.remove(&0);
    let size = Size { servers: count, forwarders: 1 };
    let text = deployment(size, "127.0.0.1:0", "127.0.0.1:1".parse()?, Path::new("."));
    let facts = Deployment::parse(Path::new("measure"), &text)?.config;
    let mut guard = Guard::new(Limits::new(&facts));
    let (rounds, begun) = (200_000 / count, now());
    let held: usize =
        (0..rounds).map(|at| guard.judge(at.into(), &pool, &before, &after).reverted.len()).sum();
    assert_eq!(held, 0, "a sound table is held back");
    Ok((now() - begun) as f64 / f64::from(rounds) / 1e3)
}
