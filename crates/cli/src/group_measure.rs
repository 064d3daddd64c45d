//! `shalereel measure group`: traffic within a group of supervisors, time to replace its leader, and throughput of its
//! log.

use std::fs::{self, File};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use serde_json::Value;
use shalereel_fault_scenarios::{group_status, LocalDeployment, Scenario};
use shalereel_group::wire::{Command, CommandPayload, Entry, RecordKind, ReleaseOrder, StoredRecord};
use shalereel_group::{encode_records, LOG_FILE_MAGIC};
use shalereel_journal::frame;
use shalereel_xds_supervisor::{FileWriter, WriteRequest, GROUP_LOG_FILE};

/// Limit of each wait; a longer one fails the measurement.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two queries of the supervisors' status.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time over which the traffic among the members is counted.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(10);
/// Log entries written at once, for the rate with shared syncs.
const BATCHED_ENTRIES: u64 = 4000;
/// Log entries written one by one, for the rate with a sync each.
const SINGLE_ENTRIES: u64 = 200;

/// Prints the measurements of a group of each size, then those of the log.
pub fn group(sizes: &[u16], rounds: u32, drill: &Path) -> Result<()> {
    let scenario = Scenario::read(drill)?;
    for &size in sizes {
        measure_traffic_and_failover(&scenario, size, rounds)?;
    }
    measure_log(BATCHED_ENTRIES, SINGLE_ENTRIES)
}

/// Queries all supervisors except `excluded` until `matches` returns a value for the status of one of them.
fn wait_for_status<T>(
    deployment: &LocalDeployment,
    excluded: Option<usize>,
    mut matches: impl FnMut(usize, &Value) -> Option<T>,
) -> Result<T> {
    let started = Instant::now();
    while started.elapsed() < TIMEOUT {
        for number in (0..deployment.supervisors()).filter(|&number| Some(number) != excluded) {
            let status = group_status(deployment.address(number));
            if let Some(value) = status.ok().and_then(|status| matches(number, &status)) {
                return Ok(value);
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    bail!("no supervisor reached the expected status within {TIMEOUT:?}")
}

/// The supervisor's number if it leads the group and its status lists duties.
fn leader_with_duties(number: usize, status: &Value) -> Option<u64> {
    let duties = status["duties"].as_array()?;
    (status["state"] == "leads" && !duties.is_empty()).then_some(number as u64)
}

/// `Some` if the status is the leader's and all members are alive in it.
fn all_alive(status: &Value, size: u16) -> Option<()> {
    let alive = status["members"].as_array()?.iter().filter(|member| member["standing"] == "alive").count();
    (status["state"] == "leads" && alive == usize::from(size)).then_some(())
}

/// Messages and bytes that all supervisors have sent to one another since their start.
fn sent_totals(deployment: &LocalDeployment) -> Result<(u64, u64)> {
    let mut totals = (0, 0);
    for number in 0..deployment.supervisors() {
        let status = group_status(deployment.address(number))?;
        totals.0 += status["told"]["messages"].as_u64().unwrap_or(0);
        totals.1 += status["told"]["bytes"].as_u64().unwrap_or(0);
    }
    Ok(totals)
}

/// The value at a quantile, from 0 to 1, of times in ascending order.
fn percentile(sorted: &[Duration], quantile: f64) -> Duration {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or_default()
}

/// Prints the traffic of a group in normal operation, and the times until its leader and the duties of a killed leader
/// are replaced.
fn measure_traffic_and_failover(scenario: &Scenario, size: u16, rounds: u32) -> Result<()> {
    let mut scenario = scenario.clone();
    scenario.supervisors.count = size;
    let election_ms = scenario.group.as_ref().context("the drill has no [shared]")?.election_ms;
    let folder = std::env::temp_dir().join(format!("shalereel-group-{}-{size}", std::process::id()));
    let program = std::env::current_exe()?;
    let mut deployment = LocalDeployment::start(&program, &folder, &scenario)?;
    wait_for_status(&deployment, None, |_, status| all_alive(status, size))?;
    let (before, started) = (sent_totals(&deployment)?, Instant::now());
    std::thread::sleep(TRAFFIC_INTERVAL);
    let (after, elapsed_s) = (sent_totals(&deployment)?, started.elapsed().as_secs_f64());
    println!(
        "{size} controllers: {:.0} messages and {:.1} kB a second among them, with reports and leases",
        (after.0 - before.0) as f64 / elapsed_s,
        (after.1 - before.1) as f64 / elapsed_s / 1e3
    );
    let (mut election_times, mut failover_times) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let leader = wait_for_status(&deployment, None, |number, status| {
            all_alive(status, size).and(leader_with_duties(number, status))
        })? as usize;
        // Number of duties that the killed leader still holds in the view of another supervisor. It is assumed
        // that a leader that was restarted in an earlier round holds its duties again before they are counted.
        let held_duties = |status: &Value| {
            let duties = status["duties"].as_array().into_iter().flatten();
            duties.filter(|duty| duty["holder"] == leader).count()
        };
        deployment.kill_supervisor(leader);
        let killed = Instant::now();
        wait_for_status(&deployment, Some(leader), leader_with_duties)?;
        election_times.push(killed.elapsed());
        wait_for_status(&deployment, Some(leader), |number, status| {
            leader_with_duties(number, status).filter(|_| held_duties(status) == 0)
        })?;
        failover_times.push(killed.elapsed());
        deployment.restart_supervisor(leader)?;
    }
    election_times.sort();
    failover_times.sort();
    println!(
        "{size} controllers, {rounds} kills of the leader, election timeout {election_ms} to {} ms: next leader after \
         {:.2} s (p50), {:.2} s (p99); all its duties with others, tables under their epochs, after {:.2} s, {:.2} s",
        2.0 * election_ms,
        percentile(&election_times, 0.5).as_secs_f64(),
        percentile(&election_times, 0.99).as_secs_f64(),
        percentile(&failover_times, 0.5).as_secs_f64(),
        percentile(&failover_times, 0.99).as_secs_f64(),
    );
    deployment.stop()?;
    let _ = fs::remove_dir_all(folder);
    Ok(())
}

/// The records of one log entry.
fn log_records(index: u64) -> Vec<StoredRecord> {
    let payload = Some(CommandPayload::ReleaseOrder(ReleaseOrder { order_index: index }));
    let entry =
        Entry { index, term: 1, command: Some(Command { request_id: index, payload }), configuration: None };
    vec![StoredRecord { kind: Some(RecordKind::Entry(entry)) }]
}

/// Prints the entries per second through the log writer, which syncs queued entries together, in comparison with plain
/// writes of the same bytes.
fn measure_log(batched: u64, single: u64) -> Result<()> {
    let folder = std::env::temp_dir().join(format!("shalereel-log-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let (wake_reader, wake_writer) = UnixStream::pair()?;
    wake_writer.set_nonblocking(true)?;
    let writer = FileWriter::open(&folder, GROUP_LOG_FILE, LOG_FILE_MAGIC, None, wake_writer)?;
    let request = |number| WriteRequest {
        sequence: number,
        replaces_file: false,
        records: vec![encode_records(&log_records(number)).into()],
    };
    let wait_until_synced = |number: u64| -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            match writer.take_result() {
                Some(Ok(done)) if done >= number => return Ok(()),
                Some(Err(error)) => bail!("{error}"),
                _ => std::thread::yield_now(),
            }
        }
        bail!("the log was not synced within {TIMEOUT:?}")
    };
    let started = Instant::now();
    for number in 1..=batched {
        writer.write(request(number));
    }
    wait_until_synced(batched)?;
    let batched_s = started.elapsed().as_secs_f64();
    let started = Instant::now();
    for number in batched + 1..=batched + single {
        writer.write(request(number));
        wait_until_synced(number)?;
    }
    let single_s = started.elapsed().as_secs_f64();
    let mut plain_file = File::create(folder.join("bare"))?;
    let started = Instant::now();
    for number in 1..=single {
        plain_file.write_all(&frame(&encode_records(&log_records(number))))?;
        plain_file.sync_data()?;
    }
    let plain_s = started.elapsed().as_secs_f64();
    drop(wake_reader);
    let _ = fs::remove_dir_all(folder);
    println!(
        "log: {:.0} entries a second as they come together, {:.0} one by one; bare write and sync of the same bytes \
         {:.0}, ratio one by one {:.2}",
        batched as f64 / batched_s,
        single as f64 / single_s,
        single as f64 / plain_s,
        (single as f64 / plain_s) / (single as f64 / single_s),
    );
    Ok(())
}
