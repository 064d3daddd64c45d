//! Torn and failing writes of a [`FileWriter`].

use std::time::{Duration, Instant};

use shalereel_journal::records;

use super::*;

const MAGIC: &Magic = b"testing1";

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("shalereel-storage-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn append(sequence: u64, text: &str) -> WriteRequest {
    WriteRequest { sequence, replaces_file: false, records: vec![Bytes::copy_from_slice(text.as_bytes())] }
}

fn replace(sequence: u64, text: &str) -> WriteRequest {
    WriteRequest { replaces_file: true, ..append(sequence, text) }
}

/// Writes all requests; returns the result of the last write and the records of the file after it.
fn write(folder: &Path, requests: &[WriteRequest]) -> (io::Result<u64>, Vec<String>) {
    let before = read_file(folder, TABLE_HISTORY_FILE).unwrap();
    let complete_bytes =
        before.map(|bytes| records(&bytes, MAGIC).unwrap().last().map_or(MAGIC.len(), |record| record.end));
    let (wake_receiver, wake_sender) = UnixStream::pair().unwrap();
    let writer = FileWriter::open(folder, TABLE_HISTORY_FILE, MAGIC, complete_bytes, wake_sender).unwrap();
    let started_at = Instant::now();
    let mut result = Ok(0);
    for request in requests {
        writer.write(request.clone());
        while !matches!(result, Ok(sequence) if sequence >= request.sequence) {
            assert!(started_at.elapsed() < Duration::from_secs(10));
            result = writer.take_result().unwrap_or(result);
            if result.is_err() {
                break;
            }
            std::thread::yield_now();
        }
    }
    drop(wake_receiver);
    let bytes = read_file(folder, TABLE_HISTORY_FILE).unwrap().unwrap();
    let found = records(&bytes, MAGIC).unwrap();
    (result, found.iter().map(|record| String::from_utf8(record.payload.to_vec()).unwrap()).collect())
}

#[test]
fn torn_write_is_truncated_and_synced_records_are_read_back() {
    let folder = folder("torn");
    assert_eq!(write(&folder, &[append(1, "a"), append(2, "b")]).1, ["a", "b"]);
    let path = folder.join(TABLE_HISTORY_FILE);
    let torn = frame(b"torn");
    fs::write(&path, [&fs::read(&path).unwrap()[..], &torn[..torn.len() - 1]].concat()).unwrap();
    assert_eq!(write(&folder, &[append(1, "c")]).1, ["a", "b", "c"]);
    assert_eq!(write(&folder, &[replace(1, "d"), append(2, "e")]).1, ["d", "e"]);
    // A crash during the file's creation leaves a part of the magic.
    fs::write(&path, &MAGIC[..3]).unwrap();
    assert_eq!(write(&folder, &[append(1, "f")]).1, ["f"]);
    let _ = fs::remove_dir_all(folder);
}

#[test]
fn failed_write_is_reported_and_replacing_the_file_recovers() {
    let folder = folder("full");
    assert_eq!(write(&folder, &[append(1, "a")]).1, ["a"]);
    // A directory in place of the new file makes the replacement fail.
    let new_path = folder.join(format!("{TABLE_HISTORY_FILE}.new"));
    fs::create_dir(&new_path).unwrap();
    let (result, records) = write(&folder, &[replace(1, "b")]);
    assert!(result.is_err() && records == ["a"], "{result:?} {records:?}");
    fs::remove_dir(&new_path).unwrap();
    assert_eq!(write(&folder, &[replace(1, "c")]).1, ["c"]);
    let _ = fs::remove_dir_all(folder);
}
