//! Tests of reading the snapshot file intact, damaged and with other schemas, and of the age of snapshots.

use oorandom::Rand64;
use rstest::rstest;
use shalereel::interface::{Nanos, ServerSnapshot, Snapshot};
use shalereel_journal::frame;

use crate::schema::{SchemaV1, SchemaV2};
use crate::{FreshnessPolicy, RejectReason, SnapshotError, StoredSnapshot, MAGIC};

const SECOND: Nanos = 1_000_000_000;

fn snapshot(servers: u32) -> StoredSnapshot {
    let learned = |server| ServerSnapshot {
        server,
        attempts: 40.0,
        failures: 4.0,
        responses: 60.0,
        response_time_sum: 60.0 * 90_000_000.0,
        missing_responses: 2.5,
        applied_share: 0.25,
        health: 1,
        recovery: 0.5,
        ejected_for: server.is_multiple_of(5).then_some(3 * SECOND),
        unresponsive: true,
        ejection_time: 10 * SECOND,
    };
    StoredSnapshot {
        taken_at: 1_700_000_000 * SECOND,
        learned: Snapshot {
            servers: (0..servers).map(learned).collect(),
            attempts: 100.0,
            load_limit: Some(2.0),
            ..Snapshot::default()
        },
        incarnations: (0..servers).map(|server| (server, 7)).collect(),
        proxy_rates: [("f-1".to_owned(), 12.5)].into(),
    }
}

fn file(record: &[u8]) -> Vec<u8> {
    [&MAGIC[..], &frame(record)].concat()
}

#[test]
fn written_snapshot_is_read_back_without_restarted_servers() {
    let written = snapshot(6);
    let read = StoredSnapshot::decode_file(&file(&written.encode_record())).unwrap();
    assert_eq!(read, written);
    let current = [Some(7), Some(8), None, Some(7)];
    let unrestarted = read.for_current_incarnations(|server| current.get(server as usize).copied()?);
    assert_eq!(unrestarted.servers.iter().map(|learned| learned.server).collect::<Vec<_>>(), [0, 3]);
    assert_eq!(unrestarted.attempts, 100.0);
}

#[test]
fn file_with_schema_1_is_read_without_proxy_rates() {
    let written = snapshot(3);
    let (_, SchemaV2 { taken_at, servers, fleet, .. }): (u16, SchemaV2) =
        postcard::from_bytes(&written.encode_record()).unwrap();
    let old = postcard::to_extend(&(1_u16, SchemaV1 { taken_at, servers, fleet }), Vec::new()).unwrap();
    let read = StoredSnapshot::decode_file(&file(&old)).unwrap();
    assert_eq!((&read.learned, read.proxy_rates.len()), (&written.learned, 0));
}

#[rstest]
#[case::newer(postcard::to_extend(&(9_u16, 1_u8), Vec::new()).unwrap(), SnapshotError::UnsupportedSchema(9))]
#[case::undecodable(b"\x02nonsense".to_vec(), SnapshotError::Malformed)]
#[case::trailing_byte([snapshot(1).encode_record(), vec![0]].concat(), SnapshotError::Malformed)]
#[case::rate_is_not_a_number(
    StoredSnapshot { proxy_rates: [("f".to_owned(), f64::NAN)].into(), ..snapshot(1) }.encode_record(),
    SnapshotError::InvalidNumber
)]
fn record_that_no_supervisor_writes_is_rejected_with_the_reason(
    #[case] record: Vec<u8>,
    #[case] error: SnapshotError,
) {
    assert_eq!(StoredSnapshot::decode_file(&file(&record)), Err(error));
}

/// Guards against using a torn or damaged file: the file is cut at every byte, and blocks are zeroed, changed
/// or swapped.
#[test]
fn damaged_file_is_rejected_or_read_unchanged() {
    let written = snapshot(40);
    let intact = file(&written.encode_record());
    for cut in 0..intact.len() {
        assert!(StoredSnapshot::decode_file(&intact[..cut]).is_err(), "cut at {cut}");
    }
    let mut random = Rand64::new(3);
    let mut draw = |bound: usize| random.rand_range(0..bound as u64) as usize;
    for _ in 0..3000 {
        let mut damaged = intact.clone();
        match draw(3) {
            0 => damaged[draw(intact.len())] ^= 1 << draw(8),
            1 => {
                let from = draw(intact.len());
                let to = (from + 1 + draw(512)).min(intact.len());
                damaged[from..to].fill(0);
            }
            _ => {
                let (one, other) = (draw(intact.len() / 64), draw(intact.len() / 64));
                let (a, b) = (one.min(other) * 64, one.max(other) * 64);
                let block = damaged[a..a + 64].to_vec();
                damaged.copy_within(b..b + 64, a);
                damaged[b..b + 64].copy_from_slice(&block);
            }
        }
        match StoredSnapshot::decode_file(&damaged) {
            Ok(read) => assert_eq!(read, written),
            Err(error) => {
                assert!(matches!(error, SnapshotError::Journal(_) | SnapshotError::Empty), "{error}")
            }
        }
    }
}

#[rstest]
#[case::just_now(100, 100, Ok(0))]
#[case::some_seconds(100, 108, Ok(8))]
#[case::slightly_ahead(100, 99, Ok(0))]
#[case::clock_set_back(100, 40, Err(RejectReason::FromFuture(60)))]
#[case::a_week(0, 604_800, Err(RejectReason::TooOld(604_800)))]
fn snapshot_age_is_measured_by_the_wall_clock(
    #[case] taken_at: u64,
    #[case] now: u64,
    #[case] expected: Result<u64, RejectReason>,
) {
    let policy = FreshnessPolicy { report_interval: SECOND };
    let seconds = |nanos: Nanos| nanos / SECOND;
    let found = policy.age(taken_at * SECOND, now * SECOND).map(seconds).map_err(|reason| match reason {
        RejectReason::FromFuture(span) => RejectReason::FromFuture(seconds(span)),
        RejectReason::TooOld(span) => RejectReason::TooOld(seconds(span)),
    });
    assert_eq!(found, expected);
}

#[test]
fn stored_proxy_rate_decays_to_the_reported_rate_and_snapshots_are_two_intervals_apart() {
    let policy = FreshnessPolicy { report_interval: SECOND };
    assert_eq!(policy.expected_rate(10.0, None, 0), 10.0);
    assert_eq!(policy.expected_rate(10.0, Some(30.0), 0), 20.0);
    let late = policy.expected_rate(10.0, Some(30.0), 300 * SECOND);
    assert!(late > 10.0 && late < 10.01);
    assert_eq!(policy.next_write(SECOND), 3 * SECOND);
}
