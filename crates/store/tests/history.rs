//! The retained history and its file: limits, truncated or damaged files, and failed writes.

use std::collections::BTreeSet;

use oorandom::Rand64;
use shalereel_store::{Line, Lines, Provenance, RetentionLimits, Store, StoreError, MAGIC};

const TABLE: u16 = 0;

fn limits() -> RetentionLimits {
    RetentionLimits { versions: 40, bytes: 1 << 20, age: u64::MAX }
}

fn store_and_file() -> (Store, Vec<u8>) {
    let mut store = Store::new(limits(), 9);
    let mut file = MAGIC.to_vec();
    let mut rng = Rand64::new(4);
    for step in 0..60_u64 {
        let server = rng.rand_range(0..6) as u32;
        let line = Line {
            address: ([127, 1, 0, server as u8], 80).into(),
            weight: 1 + rng.rand_range(0..50) as u32,
            draining: rng.rand_range(0..5) == 0,
            incarnation: step / 20,
        };
        let after = (rng.rand_range(0..4) > 0).then_some(line);
        let table = rng.rand_range(0..2) as u16;
        store.publish(table, [(server, after)], 1000 + step, &Provenance::new("module", "change"));
        for write in store.take_writes() {
            if write.replaces_file {
                file.truncate(MAGIC.len());
            }
            write.records.iter().for_each(|record| file.extend(shalereel_journal::frame(record)));
        }
    }
    (store, file)
}

/// Guards against a file that cannot be loaded after the process was killed during a write. Truncated at any byte, the file
/// loads as an earlier state, and the numbers of new versions continue from there.
#[test]
fn file_truncated_at_any_byte_loads_an_earlier_state() {
    let (store, file) = store_and_file();
    let all = store.versions();
    let mut reached = BTreeSet::new();
    for cut in 0..=file.len() {
        let mut loaded = Store::new(limits(), 9);
        let intact_bytes = loaded.load(&file[..cut]).unwrap();
        assert!(intact_bytes <= cut);
        let number = loaded.versions().last().map_or(0, |version| version.number);
        reached.insert(number);
        for version in loaded.versions() {
            let original = store.version(version.number);
            assert!(original.is_none_or(|original| original == version), "cut at {cut}");
        }
        for table in loaded.tables() {
            let lines: Lines = loaded.lines(table).map(|(id, line)| (id, *line)).collect();
            let newest = loaded.newest_version(table);
            if all.iter().any(|version| version.number == newest) {
                assert_eq!(store.lines_at(newest), Some((table, lines)), "cut at {cut}");
            }
        }
    }
    assert!(reached.len() > 40, "{reached:?}");
    let mut loaded = Store::new(limits(), 9);
    loaded.load(&file).unwrap();
    let next = Line { address: ([127, 1, 0, 1], 80).into(), weight: 777, draining: false, incarnation: 9 };
    let number = loaded.publish(TABLE, [(1, Some(next))], 5000, &Provenance::default()).unwrap();
    assert_eq!(number, all.last().unwrap().number + 1);
    assert!(loaded.take_writes()[0].replaces_file);
}

#[test]
fn file_with_missing_swapped_or_damaged_records_is_rejected() {
    let (_, file) = store_and_file();
    let records: Vec<Vec<u8>> = shalereel_journal::records(&file, MAGIC)
        .unwrap()
        .iter()
        .map(|record| record.payload.to_vec())
        .collect();
    let build = |records: &[Vec<u8>]| {
        let mut file = MAGIC.to_vec();
        records.iter().for_each(|record| file.extend(shalereel_journal::frame(record)));
        file
    };
    let rejection = |file: &[u8]| Store::new(limits(), 9).load(file).unwrap_err();
    // One record is missing, two are swapped, or one cannot be decoded: the frames are intact, but the history is not.
    let last = records.len() - 1;
    let mut lost = records.clone();
    lost.remove(last - 12);
    assert!(matches!(rejection(&build(&lost)), StoreError::Inconsistent { .. }));
    let mut swapped = records.clone();
    swapped.swap(last, last - 1);
    assert!(matches!(rejection(&build(&swapped)), StoreError::Inconsistent { .. }));
    let mut undecodable = records.clone();
    undecodable[last] = b"something else".to_vec();
    assert!(matches!(rejection(&build(&undecodable)), StoreError::Malformed { .. }));
    let mut damaged = file.clone();
    damaged[40] ^= 1;
    assert!(matches!(rejection(&damaged), StoreError::Journal(_)));
}

#[test]
fn history_stays_within_limits_and_the_write_after_a_failed_one_replaces_the_file() {
    let line =
        |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, incarnation: 1 };
    let provenance = Provenance::default();
    let mut store = Store::new(RetentionLimits { versions: 10, bytes: 1 << 20, age: 100 }, 1);
    for time in 1..=30 {
        store.publish(TABLE, [(1, Some(line(time)))], time.into(), &provenance);
    }
    assert_eq!(
        (store.size().versions, store.versions()[0].number, store.lines_at(20).is_some()),
        (10, 21, true)
    );
    assert!(store.lines_at(19).is_none() && store.changes_since(TABLE, 19).is_none());
    // The delta from a base that is not retained is the complete table.
    assert_eq!(
        (store.delta_from(TABLE, 19).unwrap().base, store.delta_from(TABLE, 20).unwrap().base),
        (0, 0)
    );
    store.publish(TABLE, [(2, Some(line(1)))], 200, &provenance);
    assert_eq!((store.size().versions, store.newest_version(TABLE)), (1, 31));
    assert_eq!(store.delta_from(TABLE, 30).unwrap().base, 30);
    // Guards against a gap in the file after a failed write, such as one to a full disk: the next write contains all records.
    store.take_writes();
    store.publish(TABLE, [(2, Some(line(2)))], 201, &provenance);
    store.take_writes();
    store.write_failed();
    store.publish(TABLE, [(2, Some(line(3)))], 202, &provenance);
    let writes = store.take_writes();
    assert!(writes.len() == 1 && writes[0].replaces_file);
    // The records of one write may be in one frame.
    let file = [&MAGIC[..], &shalereel_journal::frame(&writes[0].records.concat())].concat();
    let mut loaded = Store::new(RetentionLimits { versions: 10, bytes: 1 << 20, age: 100 }, 1);
    loaded.load(&file).unwrap();
    assert_eq!((loaded.versions(), loaded.check(TABLE)), (store.versions(), store.check(TABLE)));
}
