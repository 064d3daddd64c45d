use oorandom::Rand64;
use rstest::rstest;
use shalereel_journal::frame;

use super::*;

const SECOND: Nanos = 1_000_000_000;

fn memory(servers: u32) -> Memory {
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
    Memory {
        at: 1_700_000_000 * SECOND,
        remembered: Snapshot {
            servers: (0..servers).map(learned).collect(),
            attempts: 100.0,
            load_limit: Some(2.0),
            ..Snapshot::default()
        },
        lives: (0..servers).map(|server| (server, 7)).collect(),
        rates: [("f-1".to_owned(), 12.5)].into(),
    }
}

fn file(body: &[u8]) -> Vec<u8> {
    [&HEAD[..], &frame(body)].concat()
}

#[test]
fn what_is_written_is_read_and_a_restarted_server_is_a_new_one() {
    let told = memory(6);
    let read = Memory::read(&file(&told.encode())).unwrap();
    assert_eq!(read, told);
    let of_these = read.of_these(|server| [Some(7), Some(8), None, Some(7)].get(server as usize).copied()?);
    assert_eq!(of_these.servers.iter().map(|one| one.server).collect::<Vec<_>>(), [0, 3]);
    assert_eq!(of_these.attempts, 100.0);
}

#[test]
fn a_file_of_the_first_schema_is_read_without_rates() {
    let told = memory(3);
    let (_, Second { at, servers, fleet, .. }): (u16, Second) = postcard::from_bytes(&told.encode()).unwrap();
    let first = postcard::to_extend(&(1_u16, First { at, servers, fleet }), Vec::new()).unwrap();
    let read = Memory::read(&file(&first)).unwrap();
    assert_eq!((&read.remembered, read.rates.len()), (&told.remembered, 0));
}

#[rstest]
#[case::newer(postcard::to_extend(&(9_u16, 1_u8), Vec::new()).unwrap(), MemoryError::Schema(9))]
#[case::nonsense(b"\x02nonsense".to_vec(), MemoryError::Content)]
#[case::something_behind([memory(1).encode(), vec![0]].concat(), MemoryError::Content)]
#[case::no_number(
    Memory { rates: [("f".to_owned(), f64::NAN)].into(), ..memory(1) }.encode(),
    MemoryError::Figure
)]
fn what_no_supervisor_writes_is_rejected_with_the_reason(#[case] body: Vec<u8>, #[case] error: MemoryError) {
    assert_eq!(Memory::read(&file(&body)), Err(error));
}

/// Cut at every byte, a block lost or changed anywhere, two blocks in another order: whole as it was, or rejected.
#[test]
fn a_damaged_file_is_never_trusted() {
    let told = memory(40);
    let whole = file(&told.encode());
    for cut in 0..whole.len() {
        assert!(Memory::read(&whole[..cut]).is_err(), "cut at {cut}");
    }
    let mut chance = Rand64::new(3);
    let mut draw = |most: usize| chance.rand_range(0..most as u64) as usize;
    for _ in 0..3000 {
        let mut damaged = whole.clone();
        match draw(3) {
            0 => damaged[draw(whole.len())] ^= 1 << draw(8),
            1 => {
                let from = draw(whole.len());
                let to = (from + 1 + draw(512)).min(whole.len());
                damaged[from..to].fill(0);
            }
            _ => {
                let (one, other) = (draw(whole.len() / 64), draw(whole.len() / 64));
                let (a, b) = (one.min(other) * 64, one.max(other) * 64);
                let block = damaged[a..a + 64].to_vec();
                damaged.copy_within(b..b + 64, a);
                damaged[b..b + 64].copy_from_slice(&block);
            }
        }
        match Memory::read(&damaged) {
            Ok(read) => assert_eq!(read, told),
            Err(error) => assert!(matches!(error, MemoryError::Journal(_) | MemoryError::Empty), "{error}"),
        }
    }
}

#[rstest]
#[case::just_now(100, 100, Ok(0))]
#[case::some_seconds(100, 108, Ok(8))]
#[case::a_hair_ahead(100, 99, Ok(0))]
#[case::a_clock_that_went_back(100, 40, Err(Distrust::Later(60)))]
#[case::a_week(0, 604_800, Err(Distrust::Old(604_800)))]
fn age_goes_by_the_wall_clock(#[case] at: u64, #[case] now: u64, #[case] away: Result<u64, Distrust>) {
    let ageing = Ageing { cycle: SECOND };
    let seconds = |nanos: Nanos| nanos / SECOND;
    let found = ageing.away(at * SECOND, now * SECOND).map(seconds).map_err(|distrust| match distrust {
        Distrust::Later(span) => Distrust::Later(seconds(span)),
        Distrust::Old(span) => Distrust::Old(seconds(span)),
    });
    assert_eq!(found, away);
}

#[test]
fn a_remembered_rate_fades_to_what_the_proxy_says() {
    let ageing = Ageing { cycle: SECOND };
    assert_eq!(ageing.rate(10.0, None, 0), 10.0);
    assert_eq!(ageing.rate(10.0, Some(30.0), 0), 20.0);
    let late = ageing.rate(10.0, Some(30.0), 300 * SECOND);
    assert!(late > 10.0 && late < 10.01);
    assert_eq!(ageing.written_by(SECOND), 3 * SECOND);
}
