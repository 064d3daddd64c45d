//! Groups on a simulated network, some hundred schedules of each kind.

use rstest::rstest;
use shalereel_group::sim::{play, ScheduleSettings, ScheduleStats};
use shalereel_group::InjectedFault;

fn sum(seeds: std::ops::Range<u64>, script: ScheduleSettings) -> ScheduleStats {
    let mut all = ScheduleStats::default();
    for seed in seeds {
        match play(seed, script) {
            Ok(tally) => all.add(&tally),
            Err(violation) => panic!("{violation}"),
        }
    }
    all
}

#[rstest]
#[case::three(3, 0..150)]
#[case::five(5, 1000..1040)]
#[case::one(1, 2000..2020)]
fn nothing_that_must_hold_is_broken(#[case] nodes: u32, #[case] seeds: std::ops::Range<u64>) {
    let schedules = seeds.end - seeds.start;
    let all = sum(seeds, ScheduleSettings { nodes, ..ScheduleSettings::default() });
    eprintln!("{all:?}");
    // The checks had something to check.
    assert!(all.writes > 50 * schedules && all.moves > schedules && all.crashes > schedules);
}

#[rstest]
#[case::promises_before_it_is_synced(InjectedFault::NoSync, 3, 400)]
#[case::binds_nobody(InjectedFault::NoFence, 3, 400)]
fn a_planted_fault_is_found(#[case] fault: InjectedFault, #[case] nodes: u32, #[case] most: u64) {
    let (batch, calm) = (1, 1_000_000_000);
    let script =
        ScheduleSettings { nodes, batch, calm, injected_fault: Some(fault), ..ScheduleSettings::default() };
    let found = (0..most).find_map(|seed| play(seed, script).err());
    eprintln!("{found:?}");
    let found = found.unwrap_or_else(|| panic!("{fault:?} was not found in {most} schedules"));
    // A seed is all that it takes to see it again.
    assert_eq!(play(found.seed, script), Err(found));
}
