//! What a group of supervisors costs, and how long it is without a leader.

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

/// A round that takes longer has failed.
const PATIENCE: Duration = Duration::from_secs(60);
/// Between looks.
const LOOK: Duration = Duration::from_millis(4);

/// Prints it all as a table.
pub fn group(sizes: &[u16], rounds: u32, day: &Path) -> Result<()> {
    let day = Scenario::read(day)?;
    for &size in sizes {
        traffic_and_take_over(&day, size, rounds)?;
    }
    log(4000, 200)
}

/// Looks at all that are there until one of them satisfies.
fn until<T>(
    stage: &LocalDeployment,
    but: Option<usize>,
    mut found: impl FnMut(usize, &Value) -> Option<T>,
) -> Result<T> {
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        for number in (0..stage.supervisors()).filter(|&number| Some(number) != but) {
            let told = group_status(stage.address(number));
            if let Some(found) = told.ok().and_then(|told| found(number, &told)) {
                return Ok(found);
            }
        }
        std::thread::sleep(LOOK);
    }
    bail!("waited {PATIENCE:?}")
}

fn leads(number: usize, told: &Value) -> Option<u64> {
    let all = told["duties"].as_array()?;
    (told["state"] == "leads" && !all.is_empty()).then_some(number as u64)
}

/// Everybody alive and every duty held by one of these.
fn settled(told: &Value, size: u16) -> Option<()> {
    let alive = told["members"].as_array()?.iter().filter(|member| member["standing"] == "alive").count();
    (told["state"] == "leads" && alive == usize::from(size)).then_some(())
}

fn told_so_far(stage: &LocalDeployment) -> Result<(u64, u64)> {
    let mut sum = (0, 0);
    for number in 0..stage.supervisors() {
        let told = group_status(stage.address(number))?;
        sum.0 += told["told"]["messages"].as_u64().unwrap_or(0);
        sum.1 += told["told"]["bytes"].as_u64().unwrap_or(0);
    }
    Ok(sum)
}

fn percentile(sorted: &[Duration], part: f64) -> Duration {
    let at = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(at.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or_default()
}

fn traffic_and_take_over(day: &Scenario, size: u16, rounds: u32) -> Result<()> {
    let mut day = day.clone();
    day.supervisors.count = size;
    let election = day.group.as_ref().context("the day has no [shared]")?.election_ms;
    let folder = std::env::temp_dir().join(format!("shalereel-group-{}-{size}", std::process::id()));
    let program = std::env::current_exe()?;
    let mut stage = LocalDeployment::start(&program, &folder, &day)?;
    until(&stage, None, |_, told| settled(told, size))?;
    let (before, begun) = (told_so_far(&stage)?, Instant::now());
    std::thread::sleep(Duration::from_secs(10));
    let (after, span) = (told_so_far(&stage)?, begun.elapsed().as_secs_f64());
    println!(
        "{size} controllers: {:.0} messages and {:.1} kB a second among them, with reports and leases",
        (after.0 - before.0) as f64 / span,
        (after.1 - before.1) as f64 / span / 1e3
    );
    let (mut next, mut tables) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let leader =
            until(&stage, None, |number, told| settled(told, size).and(leads(number, told)))? as usize;
        // Its duties too come back to it before they are counted.
        let holds = |told: &Value| {
            let duties = told["duties"].as_array().into_iter().flatten();
            duties.filter(|duty| duty["holder"] == leader).count()
        };
        stage.kill_supervisor(leader);
        let killed = Instant::now();
        until(&stage, Some(leader), leads)?;
        next.push(killed.elapsed());
        until(&stage, Some(leader), |number, told| leads(number, told).filter(|_| holds(told) == 0))?;
        tables.push(killed.elapsed());
        stage.restart_supervisor(leader)?;
    }
    next.sort();
    tables.sort();
    println!(
        "{size} controllers, {rounds} kills of the leader, election timeout {election} to {} ms: next leader after \
         {:.2} s (p50), {:.2} s (p99); all its duties with others, tables under their epochs, after {:.2} s, {:.2} s",
        2.0 * election,
        percentile(&next, 0.5).as_secs_f64(),
        percentile(&next, 0.99).as_secs_f64(),
        percentile(&tables, 0.5).as_secs_f64(),
        percentile(&tables, 0.99).as_secs_f64(),
    );
    stage.stop()?;
    let _ = fs::remove_dir_all(folder);
    Ok(())
}

fn records(at: u64) -> Vec<StoredRecord> {
    let act = Some(CommandPayload::ReleaseOrder(ReleaseOrder { order_index: at }));
    let entry = Entry {
        index: at,
        term: 1,
        command: Some(Command { request_id: at, payload: act }),
        configuration: None,
    };
    vec![StoredRecord { kind: Some(RecordKind::Entry(entry)) }]
}

/// Entries a second through the writer, which syncs what has come together, beside bare writes of the same bytes.
fn log(many: u64, single: u64) -> Result<()> {
    let folder = std::env::temp_dir().join(format!("shalereel-log-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let (ours, theirs) = UnixStream::pair()?;
    theirs.set_nonblocking(true)?;
    let writer = FileWriter::open(&folder, GROUP_LOG_FILE, LOG_FILE_MAGIC, None, theirs)?;
    let request = |number| WriteRequest {
        sequence: number,
        replaces_file: false,
        records: vec![encode_records(&records(number)).into()],
    };
    let wait = |number: u64| -> Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            match writer.take_result() {
                Some(Ok(done)) if done >= number => return Ok(()),
                Some(Err(why)) => bail!("{why}"),
                _ => std::thread::yield_now(),
            }
        }
        bail!("waited {PATIENCE:?}")
    };
    let begun = Instant::now();
    for number in 1..=many {
        writer.write(request(number));
    }
    wait(many)?;
    let together = begun.elapsed().as_secs_f64();
    let begun = Instant::now();
    for number in many + 1..=many + single {
        writer.write(request(number));
        wait(number)?;
    }
    let alone = begun.elapsed().as_secs_f64();
    let mut bare = File::create(folder.join("bare"))?;
    let begun = Instant::now();
    for number in 1..=single {
        bare.write_all(&frame(&encode_records(&records(number))))?;
        bare.sync_data()?;
    }
    let bare = begun.elapsed().as_secs_f64();
    drop(ours);
    let _ = fs::remove_dir_all(folder);
    println!(
        "log: {:.0} entries a second as they come together, {:.0} one by one; bare write and sync of the same bytes \
         {:.0}, ratio one by one {:.2}",
        many as f64 / together,
        single as f64 / alone,
        single as f64 / bare,
        (single as f64 / bare) / (single as f64 / alone),
    );
    Ok(())
}
