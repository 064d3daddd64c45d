//! The stored state of a supervisor when the process is killed at any moment, and when its files are damaged, symbolic
//! links or not writable.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use shalereel_snapshot::{SnapshotError, StoredSnapshot};
use shalereel_xds::{AssignedEndpoint, Assignment, Health, ServerInfo};
use shalereel_xds_supervisor::{EndpointList, SNAPSHOT_FILE, TABLE_HISTORY_FILE};

const DEPLOYMENT: &str = include_str!("../../../expect/deployment.toml");
/// Limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A state folder with a stored list of 300 servers, and the deployment file that names it.
fn prepare_folder() -> (PathBuf, PathBuf) {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("memory-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let mut endpoints = EndpointList::new(&["hal-a".to_owned()]);
    let endpoint = |server: u32| AssignedEndpoint {
        address: ([127, 30, (server >> 8) as u8, server as u8], 80).into(),
        zone: "hal-a".into(),
        health: Health::Ready,
        weight: 1.0,
        info: Some(ServerInfo { server, kind: 0, cell: 0, incarnation: 1, age: None }),
    };
    let list =
        Assignment { cluster: "fleet".into(), endpoints: (0..300).map(endpoint).collect(), admitted: 1.0 };
    endpoints.apply_list(1, &list);
    std::fs::write(folder.join("last-list.json"), endpoints.to_json()).unwrap();
    let file = folder.join("deployment.toml");
    // The snapshot is written every 20 ms, so that many kills interrupt a write.
    let text = DEPLOYMENT
        .replace("/nonexistent", &folder.to_string_lossy())
        .replace("report_cycle_ms = 1000.0", "report_cycle_ms = 10.0");
    std::fs::write(&file, text).unwrap();
    (folder, file)
}

/// The log of the last start with this deployment file.
fn log_file(file: &Path) -> PathBuf {
    file.with_extension("log")
}

fn log_contains(file: &Path, text: &str) -> bool {
    std::fs::read_to_string(log_file(file)).unwrap().contains(text)
}

fn start(file: &Path) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shalereel"))
        .args(["daemon", "--config"])
        .arg(file)
        .stdout(Stdio::piped())
        .stderr(std::fs::File::create(log_file(file)).unwrap())
        .spawn()
        .unwrap();
    // The process prints its addresses once it is ready; if it exits first, the read ends without a line.
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    child
}

fn kill(mut child: Child) {
    let _ = child.kill();
    child.wait().unwrap();
}

/// Waits until `done` returns true.
fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn read_snapshot(folder: &Path) -> Result<StoredSnapshot, SnapshotError> {
    StoredSnapshot::decode_file(&std::fs::read(folder.join(SNAPSHOT_FILE)).unwrap_or_default())
}

#[test]
fn a_kill_at_any_moment_leaves_complete_files() {
    let (folder, file) = prepare_folder();
    let mut random = oorandom::Rand64::new(14);
    let mut snapshots_read = 0;
    for round in 0..24 {
        let child = start(&file);
        let before = std::fs::metadata(folder.join(SNAPSHOT_FILE)).and_then(|file| file.modified()).ok();
        let changed =
            || std::fs::metadata(folder.join(SNAPSHOT_FILE)).and_then(|file| file.modified()).ok() != before;
        // Every third round is certain to have a snapshot; the others may be killed before the first write.
        if round % 3 == 0 {
            wait_until("a snapshot", changed);
        }
        // The kill falls into a write, its sync, or the time between two writes.
        std::thread::sleep(Duration::from_micros(random.rand_range(0..30_000)));
        kill(child);
        match read_snapshot(&folder) {
            Ok(snapshot) => {
                assert_eq!(snapshot.learned.servers.len(), 300, "round {round}");
                snapshots_read += 1;
            }
            Err(error) => assert!(error == SnapshotError::Empty && snapshots_read == 0, "{error}"),
        }
        let limits = shalereel_store::RetentionLimits { versions: 10_000, bytes: 1 << 24, age: u64::MAX };
        let tables = std::fs::read(folder.join(TABLE_HISTORY_FILE)).unwrap();
        shalereel_store::Store::new(limits, 0).load(&tables).unwrap();
    }
    assert!(snapshots_read > 8, "{snapshots_read}");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_state_folder_admits_one_supervisor_at_a_time() {
    let (folder, file) = prepare_folder();
    let first = start(&file);
    // The second process writes the log file anew.
    let mut second = start(&file);
    wait_until("the exit of the second supervisor", || second.try_wait().unwrap().is_some());
    assert_eq!(second.wait().unwrap().code(), Some(2));
    assert!(log_contains(&file, "belongs to another supervisor that runs"));
    // The lock is released however the first process ends.
    kill(first);
    let mut third = start(&file);
    assert!(third.try_wait().unwrap().is_none());
    kill(third);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn symlinks_damaged_files_and_failed_writes_do_not_stop_the_service() {
    let (folder, file) = prepare_folder();
    let elsewhere = folder.join("elsewhere");
    std::fs::write(&elsewhere, "not ours").unwrap();
    std::os::unix::fs::symlink(&elsewhere, folder.join(SNAPSHOT_FILE)).unwrap();
    let mut child = start(&file);
    assert!(child.try_wait().unwrap().is_none());
    kill(child);
    assert!(log_contains(&file, "snapshot unreadable and not persisted"));
    assert_eq!(std::fs::read_to_string(&elsewhere).unwrap(), "not ours");
    std::fs::remove_file(folder.join(SNAPSHOT_FILE)).unwrap();
    for content in
        [&b"shlrmem1and then nonsense that is long enough to be a frame"[..], b"another file", b"shl"]
    {
        std::fs::write(folder.join(SNAPSHOT_FILE), content).unwrap();
        let child = start(&file);
        wait_until("a snapshot", || read_snapshot(&folder).is_ok());
        kill(child);
        std::fs::remove_file(folder.join(SNAPSHOT_FILE)).unwrap();
    }
    let temporary = folder.join(format!("{SNAPSHOT_FILE}.new"));
    std::fs::create_dir(&temporary).unwrap();
    let child = start(&file);
    wait_until("the log line of a failed write", || log_contains(&file, "snapshot write failed"));
    std::fs::remove_dir(&temporary).unwrap();
    wait_until("a snapshot after the disk works again", || read_snapshot(&folder).is_ok());
    wait_until("the log line of the recovery", || log_contains(&file, "snapshot writes recovered"));
    kill(child);
    let _ = std::fs::remove_dir_all(folder);
}
