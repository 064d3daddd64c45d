//! What a supervisor keeps in its folder, with the process killed at any moment and the folder in any state.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use shalereel_snapshot::{SnapshotError, StoredSnapshot};
use shalereel_xds::{AssignedEndpoint, Assignment, Health, ServerInfo};
use shalereel_xds_supervisor::{EndpointList, SNAPSHOT_FILE, TABLE_HISTORY_FILE};

const DEPLOYMENT: &str = include_str!("../../../expect/deployment.toml");
const BOUND: Duration = Duration::from_secs(20);

/// A folder with a kept list of many servers, and a file that names it.
fn folder() -> (PathBuf, PathBuf) {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("memory-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let mut endpoints = EndpointList::new(&["hal-a".to_owned()]);
    let row = |server: u32| AssignedEndpoint {
        address: ([127, 30, (server >> 8) as u8, server as u8], 80).into(),
        zone: "hal-a".into(),
        health: Health::Ready,
        weight: 1.0,
        info: Some(ServerInfo { server, kind: 0, cell: 0, incarnation: 1, age: None }),
    };
    let list = Assignment { cluster: "fleet".into(), endpoints: (0..300).map(row).collect(), admitted: 1.0 };
    endpoints.apply_list(1, &list);
    std::fs::write(folder.join("last-list.json"), endpoints.to_json()).unwrap();
    let file = folder.join("deployment.toml");
    // Written every 20 ms, so that many kills meet a write.
    let text = DEPLOYMENT
        .replace("/nonexistent", &folder.to_string_lossy())
        .replace("report_cycle_ms = 1000.0", "report_cycle_ms = 10.0");
    std::fs::write(&file, text).unwrap();
    (folder, file)
}

/// A process's log, of its last start.
fn log(file: &Path) -> PathBuf {
    file.with_extension("log")
}

fn said(file: &Path, text: &str) -> bool {
    std::fs::read_to_string(log(file)).unwrap().contains(text)
}

fn start(file: &Path) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shalereel"))
        .args(["daemon", "--config"])
        .arg(file)
        .stdout(Stdio::piped())
        .stderr(std::fs::File::create(log(file)).unwrap())
        .spawn()
        .unwrap();
    // It says its address once it serves, or ends.
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    child
}

fn end(mut child: Child) {
    let _ = child.kill();
    child.wait().unwrap();
}

fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < BOUND, "{what}: not in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn read(folder: &Path) -> Result<StoredSnapshot, SnapshotError> {
    StoredSnapshot::decode_file(&std::fs::read(folder.join(SNAPSHOT_FILE)).unwrap_or_default())
}

#[test]
fn killed_at_any_moment_what_it_kept_is_whole() {
    let (folder, file) = folder();
    let mut chance = oorandom::Rand64::new(14);
    let mut written = 0;
    for round in 0..24 {
        let child = start(&file);
        let before = std::fs::metadata(folder.join(SNAPSHOT_FILE)).and_then(|file| file.modified()).ok();
        let changed =
            || std::fs::metadata(folder.join(SNAPSHOT_FILE)).and_then(|file| file.modified()).ok() != before;
        if round % 3 == 0 {
            wait("a memory", changed);
        }
        // Anywhere in a write and its sync, or between two.
        std::thread::sleep(Duration::from_micros(chance.rand_range(0..30_000)));
        end(child);
        match read(&folder) {
            Ok(memory) => {
                assert_eq!(memory.learned.servers.len(), 300, "round {round}");
                written += 1;
            }
            Err(error) => assert!(error == SnapshotError::Empty && written == 0, "{error}"),
        }
        let bounds = shalereel_store::RetentionLimits { versions: 10_000, bytes: 1 << 24, age: u64::MAX };
        let tables = std::fs::read(folder.join(TABLE_HISTORY_FILE)).unwrap();
        shalereel_store::Store::new(bounds, 0).load(&tables).unwrap();
    }
    assert!(written > 8, "{written}");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_folder_is_one_supervisors() {
    let (folder, file) = folder();
    let first = start(&file);
    // Its log is the next one's to write.
    let mut second = start(&file);
    wait("the end of the second", || second.try_wait().unwrap().is_some());
    assert_eq!(second.wait().unwrap().code(), Some(2));
    assert!(said(&file, "belongs to another supervisor that runs"));
    // However the first one ends, the folder is free.
    end(first);
    let mut third = start(&file);
    assert!(third.try_wait().unwrap().is_none());
    end(third);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn links_damage_and_a_disk_that_takes_nothing_cost_no_service() {
    let (folder, file) = folder();
    let elsewhere = folder.join("elsewhere");
    std::fs::write(&elsewhere, "not ours").unwrap();
    std::os::unix::fs::symlink(&elsewhere, folder.join(SNAPSHOT_FILE)).unwrap();
    let mut child = start(&file);
    assert!(child.try_wait().unwrap().is_none());
    end(child);
    assert!(said(&file, "snapshot unreadable and not persisted"));
    assert_eq!(std::fs::read_to_string(&elsewhere).unwrap(), "not ours");
    std::fs::remove_file(folder.join(SNAPSHOT_FILE)).unwrap();
    for content in
        [&b"shlrmem1and then nonsense that is long enough to be a frame"[..], b"another file", b"shl"]
    {
        std::fs::write(folder.join(SNAPSHOT_FILE), content).unwrap();
        let child = start(&file);
        wait("a memory", || read(&folder).is_ok());
        end(child);
        std::fs::remove_file(folder.join(SNAPSHOT_FILE)).unwrap();
    }
    let fresh = folder.join(format!("{SNAPSHOT_FILE}.new"));
    std::fs::create_dir(&fresh).unwrap();
    let child = start(&file);
    wait("word of a failed write", || said(&file, "snapshot write failed"));
    std::fs::remove_dir(&fresh).unwrap();
    wait("a memory after the disk is back", || read(&folder).is_ok());
    wait("word of it", || said(&file, "snapshot writes recovered"));
    end(child);
    let _ = std::fs::remove_dir_all(folder);
}
