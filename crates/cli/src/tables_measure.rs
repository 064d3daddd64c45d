//! `shalereel measure tables`: whole assignments in comparison with incremental ones in the same run, and the cost of
//! table versions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use shalereel::interface::{ServerSnapshot, Snapshot};
use shalereel_guard::{Availability, Guard, Limits, Line as GuardLine, Pool, Server};
use shalereel_reactor::{now, Nanos, MILLI};
use shalereel_snapshot::StoredSnapshot;
use shalereel_store::{
    DeltaOutcome, Digest, Line, Lines, Provenance, Replica, ResyncBackoff, RetentionLimits, Store,
};
use shalereel_xds_supervisor::Deployment;

use crate::measure_command::{
    deployment_text, ms, server_address, FleetSize, Forwarders, Registry, Supervisor, Wait, WAIT_SETUP_TIME,
};

/// Numbers of lines of the tables whose versions are measured.
const VERSION_TABLE_LINES: [u32; 3] = [120, 400, 5000];
/// Time between two rejoins. The controller admits joining forwarders in batches and is idle again after this time.
const REJOIN_PAUSE: Nanos = 50 * MILLI;
/// Lines that each measured version changes, at most.
const CHANGED_LINES: u32 = 4;
/// Number of versions that are published in a measurement.
const PUBLISHED_VERSIONS: u32 = 1000;
/// Number of lines that are digested in a measurement, in all rounds together.
const DIGESTED_LINES: u32 = 2_000_000;
/// Number of lines that the guard checks in a measurement, in all rounds together.
const GUARDED_LINES: u32 = 200_000;
/// Number of times that a snapshot is encoded in a measurement.
const SNAPSHOT_ROUNDS: usize = 100;
/// Smallest number of rejoins at each size, half of them with announced versions.
const MIN_REJOINS: u32 = 4;

/// Costs of one kind of transfer at one size. Times in ns, bytes per forwarder.
struct TransferCost {
    /// From the list with a draining server to the last forwarder's ACK.
    drain: Histogram<u64>,
    drain_bytes: usize,
    /// Until all forwarders have their tables again after they reconnect and announce their versions.
    rejoin: Histogram<u64>,
    rejoin_bytes: usize,
    /// The same as `rejoin`, without announced versions.
    fresh: Histogram<u64>,
    fresh_bytes: usize,
    cpu_ms_per_drain: f64,
}

/// Measures both kinds of transfer at each size, then versions, and prints the results.
pub fn tables(sizes: &[FleetSize], rounds: u32) -> Result<()> {
    for &size in sizes {
        let folder = std::env::temp_dir().join(format!("shalereel-tables-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let measured = [false, true].map(|incremental| measure_transfer(size, rounds, &folder, incremental));
        let _ = std::fs::remove_dir_all(&folder);
        let [whole, incremental] = measured;
        let (whole, incremental) = (whole?, incremental?);
        for (name, cost) in [("whole", &whole), ("lines", &incremental)] {
            println!(
                "{} x {} {name}: drain to last ACK {:.2} ms (p99 {:.2}), {} bytes each, {:.1} ms of processor; rejoin of all \
                 {:.1} ms, {} bytes each; with nothing brought along {:.1} ms, {} bytes each",
                size.servers,
                size.forwarders,
                ms(cost.drain.value_at_quantile(0.5)),
                ms(cost.drain.value_at_quantile(0.99)),
                cost.drain_bytes,
                cost.cpu_ms_per_drain,
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
            incremental.drain_bytes as f64 / whole.drain_bytes as f64,
            incremental.rejoin_bytes as f64 / whole.rejoin_bytes as f64,
            incremental.fresh_bytes as f64 / whole.fresh_bytes as f64,
        );
    }
    for lines in VERSION_TABLE_LINES {
        measure_versions(lines)?;
    }
    Ok(())
}

/// Measures drains and rejoins with whole or incremental assignments.
fn measure_transfer(size: FleetSize, rounds: u32, folder: &Path, incremental: bool) -> Result<TransferCost> {
    let (mut registry, registry_address) = Registry::new(size)?;
    let file = folder.join("supervisor.toml");
    std::fs::write(&file, deployment_text(size, "127.0.0.1:0", registry_address, folder))?;
    let (supervisor, supervisor_address) = Supervisor::start(&file)?;
    let threads = Forwarders::spawn(size, supervisor_address, incremental);
    let server_count = size.servers as usize;
    let start_wait = |wait: &dyn Fn() -> Wait| {
        threads.iter().try_for_each(|thread| thread.waits.send(wait()).context("a forwarder thread ended"))
    };
    let all_tables = |supervisor: SocketAddr| move || Wait::Tables(supervisor, server_count);
    start_wait(&all_tables(supervisor_address))?;
    registry.serve_until_done("all tables", &threads)?;
    let mut cost = TransferCost {
        drain: Histogram::new(3)?,
        drain_bytes: 0,
        rejoin: Histogram::new(3)?,
        rejoin_bytes: 0,
        fresh: Histogram::new(3)?,
        fresh_bytes: 0,
        cpu_ms_per_drain: 0.0,
    };
    let cpu_before_s = supervisor.usage()?.0;
    for round in 0..rounds {
        let server = round % size.servers;
        start_wait(&|| Wait::Without(server_address(server)))?;
        registry.serve(now() + WAIT_SETUP_TIME)?;
        registry.draining = Some(server);
        let pushed_at = registry.push_list();
        let (removed_at, bytes, _) = registry.serve_until_done("a drain", &threads)?;
        cost.drain.record(removed_at - pushed_at)?;
        cost.drain_bytes += bytes / rounds as usize;
        registry.draining = None;
        registry.push_list();
        start_wait(&all_tables(supervisor_address))?;
        registry.serve_until_done("the end of a drain", &threads)?;
    }
    cost.cpu_ms_per_drain = 1e3 * (supervisor.usage()?.0 - cpu_before_s) / f64::from(rounds);
    for round in 0..rounds.max(MIN_REJOINS) {
        registry.serve(now() + REJOIN_PAUSE)?;
        let resume = round % 2 == 0;
        let started = now();
        start_wait(&|| Wait::Rejoin { lines: server_count, resume })?;
        let (received_at, bytes, _) = registry.serve_until_done("a rejoin", &threads)?;
        if resume {
            cost.rejoin.record(received_at - started)?;
            cost.rejoin_bytes = bytes;
        } else {
            cost.fresh.record(received_at - started)?;
            cost.fresh_bytes = bytes;
        }
    }
    Ok(cost)
}

/// Measures the digest of a table, the publication of a version, and the application of a delta by a forwarder, all on
/// one thread, and prints the results.
fn measure_versions(count: u32) -> Result<()> {
    let line = |server: u32, weight: u32| Line {
        address: server_address(server),
        weight,
        draining: false,
        incarnation: 1,
    };
    let lines: Lines = (0..count).map(|server| (server, line(server, 10_000))).collect();
    let rounds = DIGESTED_LINES / count;
    let started = now();
    // The sums are printed, so that the compiler cannot remove the computation.
    let mut checksum = 0;
    for salt in 0..rounds {
        checksum ^= Digest::of(&lines, salt.into()).sum;
    }
    let digest_ns = (now() - started) as f64 / f64::from(rounds * count);
    let guard_us = measure_guard(count)?;
    let (snapshot_bytes, encode_us) = measure_snapshot(count);
    let limits = RetentionLimits { versions: 100_000, bytes: 1 << 30, age: u64::MAX };
    let mut store = Store::new(limits, 1);
    let provenance = Provenance::new("module", "");
    store.publish(0, lines.iter().map(|(&server, &line)| (server, Some(line))), 1, &provenance);
    let mut replica = Replica::new(ResyncBackoff::new(MILLI, 1));
    let whole_table = store.delta_from(0, 0);
    let started = now();
    let applied = whole_table.iter().all(|delta| replica.receive(0, delta) == DeltaOutcome::Applied);
    let whole_time = now() - started;
    let (mut publish_time, mut apply_time, mut missed, bytes_before) =
        (0, 0, usize::from(!applied), store.size().bytes);
    let changed = CHANGED_LINES.min(count);
    for round in 1..=PUBLISHED_VERSIONS {
        let from = store.newest_version(0);
        let started = now();
        let changes = (0..changed).map(|server| (server, Some(line(server, 10_000 + round))));
        store.publish(0, changes, round.into(), &provenance);
        let delta = store.delta_from(0, from);
        publish_time += now() - started;
        store.take_writes();
        let started = now();
        missed += delta.iter().filter(|delta| replica.receive(0, delta) != DeltaOutcome::Applied).count();
        apply_time += now() - started;
    }
    assert_eq!(missed, 0, "deltas that were not applied");
    let version_bytes = (store.size().bytes - bytes_before) as f64 / f64::from(PUBLISHED_VERSIONS);
    println!(
        "{count} lines: digest {digest_ns:.1} ns a line ({:x}); a version of {changed} lines made in {:.1} us, taken by a forwarder in \
         {:.1} us, {version_bytes:.0} bytes kept: {:.1} MB a day at one a second; a whole table taken in {:.1} us; \
         looked at by the guard in {guard_us:.1} us; {snapshot_bytes} bytes of what was learned, said in {encode_us:.1} us",
        checksum as u8,
        publish_time as f64 / 1e6,
        apply_time as f64 / 1e6,
        version_bytes * 86_400.0 / 1e6,
        whole_time as f64 / 1e3,
    );
    Ok(())
}

/// Size of the stored snapshot of this number of servers, and the time to encode it in microseconds.
fn measure_snapshot(count: u32) -> (usize, f64) {
    let server_snapshot = |server| ServerSnapshot {
        server,
        attempts: 40.0 + f64::from(server),
        failures: 1.0,
        responses: 60.0,
        response_time_sum: 6e9,
        recovery: 1.0,
        ejection_time: 5_000_000_000,
        ..ServerSnapshot::default()
    };
    let servers = (0..count).map(server_snapshot).collect();
    let snapshot = StoredSnapshot {
        taken_at: 1_800_000_000_000_000_000,
        learned: Snapshot { servers, attempts: 1e4, failures: 10.0, ..Snapshot::default() },
        incarnations: (0..count).map(|server| (server, 3)).collect(),
        proxy_rates: (0..count / 3).map(|proxy| (format!("forwarder-{proxy}"), 12.5)).collect(),
    };
    let (rounds, started) = (SNAPSHOT_ROUNDS, now());
    let bytes: usize = (0..rounds).map(|_| snapshot.encode_record().len()).sum();
    (bytes / rounds, (now() - started) as f64 / rounds as f64 / 1e3)
}

/// Time that the guard needs to check a table that differs in one line, in microseconds.
fn measure_guard(count: u32) -> Result<f64> {
    let servers = (0..count)
        .map(|id| (id, Server { availability: Availability::Ready, capacity: 1.0, age: None }))
        .collect();
    let pool = Pool { servers, traffic_share: 1.0 };
    let before: BTreeMap<u32, GuardLine> =
        (0..count).map(|id| (id, GuardLine { weight: 1.0, draining: false })).collect();
    let mut after = before.clone();
    after.remove(&0);
    let size = FleetSize { servers: count, forwarders: 1 };
    let text = deployment_text(size, "127.0.0.1:0", "127.0.0.1:1".parse()?, Path::new("."));
    let config = Deployment::parse(Path::new("measure"), &text)?.config;
    let mut guard = Guard::new(Limits::new(&config));
    let (rounds, started) = (GUARDED_LINES / count, now());
    let reverted: usize =
        (0..rounds).map(|round| guard.judge(round.into(), &pool, &before, &after).reverted.len()).sum();
    assert_eq!(reverted, 0, "the guard reverted lines of a valid table");
    Ok((now() - started) as f64 / f64::from(rounds) / 1e3)
}
