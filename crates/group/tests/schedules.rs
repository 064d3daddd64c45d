//! Groups on a simulated network: the invariants hold on many schedules, and injected faults violate them.

use rstest::rstest;
use shalereel_group::sim::{run_schedule, ScheduleSettings, ScheduleStats};
use shalereel_group::InjectedFault;

fn run_all(seeds: std::ops::Range<u64>, settings: ScheduleSettings) -> ScheduleStats {
    let mut all = ScheduleStats::default();
    for seed in seeds {
        match run_schedule(seed, settings) {
            Ok(stats) => all.add(&stats),
            Err(violation) => panic!("{violation}"),
        }
    }
    all
}

#[rstest]
#[case::three(3, 0..150)]
#[case::five(5, 1000..1040)]
#[case::one(1, 2000..2020)]
fn invariants_hold_on_every_schedule(#[case] members: u32, #[case] seeds: std::ops::Range<u64>) {
    let schedules = seeds.end - seeds.start;
    let all = run_all(seeds, ScheduleSettings { members, ..ScheduleSettings::default() });
    eprintln!("{all:?}");
    // Shows that the schedules contained enough events to check.
    assert!(all.writes > 50 * schedules && all.range_assignments > schedules && all.crashes > schedules);
}

#[rstest]
#[case::acknowledges_before_sync(InjectedFault::NoSync, 3, 400)]
#[case::enforces_neither_epochs_nor_leases(InjectedFault::NoFencing, 3, 400)]
fn injected_fault_is_found(#[case] fault: InjectedFault, #[case] members: u32, #[case] max_schedules: u64) {
    let settings = ScheduleSettings {
        members,
        max_batch_entries: 1,
        max_fault_gap: 1_000_000_000,
        injected_fault: Some(fault),
        ..ScheduleSettings::default()
    };
    let found = (0..max_schedules).find_map(|seed| run_schedule(seed, settings).err());
    eprintln!("{found:?}");
    let found = found.unwrap_or_else(|| panic!("{fault:?} was not found in {max_schedules} schedules"));
    // The seed alone reproduces the violation.
    assert_eq!(run_schedule(found.seed, settings), Err(found));
}
