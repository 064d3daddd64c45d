//! Deadlines on a simulated platform: drains reach every proxy within the grace, and no proxy is without a
//! usable server, although proxies reconnect all at once, vanish, or acknowledge nothing, and the channel is
//! slow.
//!
//! Guards against full tables that delay drains, and against unacknowledged lines of vanished proxies that
//! block the channel (`docs/incidents/drains-behind-whole-tables.md`).

#[path = "../common/mod.rs"]
mod common;
mod platform;
mod schedules;

use common::{server_name, MS};
use platform::{Platform, Scenario, Verdict, SECOND};
use rstest::rstest;

fn full_table(servers: u32) -> Vec<String> {
    (0..servers).map(server_name).collect()
}

fn assert_rules_kept(verdict: &Verdict, scenario: &Scenario) {
    assert_eq!((verdict.late_drains, verdict.unserved), (0, 0), "{verdict:?}");
    assert!(verdict.max_waiting_lines <= scenario.channel_capacity, "{verdict:?}");
}

/// A fifth of the proxies is joined and has full tables.
fn with_a_fifth_joined(scenario: &Scenario, seed: u64) -> Platform {
    let mut platform = Platform::new(scenario.clone(), seed);
    for id in 0..scenario.proxies / 5 {
        platform.join(id, [server_name(id % 10)], true);
    }
    platform.pass(8 * SECOND);
    platform
}

/// The other proxies join within this time, each with a table of all servers.
fn others_join(platform: &mut Platform, scenario: &Scenario, within: u64) {
    let others = scenario.proxies / 5..scenario.proxies;
    let step = within / u64::from(others.end - others.start);
    let mut due = 0;
    for id in others {
        platform.join(id, full_table(scenario.servers), false);
        due += step;
        if due >= 20 * MS {
            platform.pass(20 * MS);
            due -= 20 * MS;
        }
    }
}

#[rstest]
#[case::grace_2_s(Scenario::default())]
#[case::grace_4_s(Scenario { drain_grace: 4 * SECOND, worst_transit: 800 * MS, mean_transit: 300 * MS, ..Scenario::default() })]
#[case::slow_channel(Scenario { lines_per_s: 3_500.0, channel_capacity: 20_000.0, message_overhead: 10.0, drain_grace: 6 * SECOND, ..Scenario::default() })]
fn drains_are_sent_in_time_while_all_proxies_join(#[case] scenario: Scenario) {
    let mut platform = with_a_fifth_joined(&scenario, 1);
    platform.list(0..30, "Terminating");
    others_join(&mut platform, &scenario, SECOND);
    platform.pass(10 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

#[rstest]
#[case::grace_3_s(Scenario { drain_grace: 3 * SECOND, ..Scenario::default() })]
#[case::grace_6_s(Scenario { lines_per_s: 3_500.0, message_overhead: 10.0, drain_grace: 6 * SECOND, ..Scenario::default() })]
fn rolling_release_meets_deadlines_after_all_proxies_joined(#[case] scenario: Scenario) {
    let mut platform = with_a_fifth_joined(&scenario, 2);
    platform.list(0..30, "Terminating");
    others_join(&mut platform, &scenario, SECOND);
    for step in 1..6 {
        platform.pass(SECOND);
        platform.list((step - 1) * 30..step * 30, "Ready");
        platform.pass(SECOND);
        platform.list(step * 30..(step + 1) * 30, "Terminating");
    }
    platform.pass(10 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

#[rstest]
fn drain_is_sent_in_time_though_vanished_proxies_owe_acknowledgements() {
    let scenario = Scenario {
        drain_grace: 4 * SECOND,
        worst_transit: 200 * MS,
        mean_transit: 100 * MS,
        ..Scenario::default()
    };
    let mut platform = with_a_fifth_joined(&scenario, 3);
    for id in 0..30 {
        platform.vanish(id);
    }
    platform.list(0..2, "Terminating");
    platform.pass(7 * SECOND);
    // These vanish as soon as they have joined: they never receive the tables sent to them.
    for id in 80..100 {
        platform.join(id, full_table(scenario.servers), false);
        platform.vanish(id);
    }
    platform.pass(3 * SECOND);
    platform.list(10..40, "Gone");
    platform.pass(6 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

#[rstest]
#[case::half(0.5)]
#[case::a_tenth(0.1)]
fn slow_channel_sends_the_earliest_deadline_first(#[case] rate_factor: f64) {
    let scenario = Scenario { rate_factor, proxies: 60, drain_grace: 6 * SECOND, ..Scenario::default() };
    let mut platform = with_a_fifth_joined(&scenario, 4);
    platform.list(0..10, "Terminating");
    others_join(&mut platform, &scenario, SECOND);
    platform.pass(12 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

#[rstest]
fn two_drains_with_overlapping_graces_meet_their_deadlines() {
    let scenario = Scenario { drain_grace: 3 * SECOND, ..Scenario::default() };
    let mut platform = with_a_fifth_joined(&scenario, 5);
    others_join(&mut platform, &scenario, SECOND);
    platform.pass(300 * MS);
    platform.list(0..25, "Terminating");
    platform.pass(1_500 * MS);
    platform.list(25..50, "Terminating");
    platform.pass(8 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

#[rstest]
fn server_that_drains_repeatedly_is_left_each_time() {
    let scenario = Scenario { drain_grace: 3 * SECOND, ..Scenario::default() };
    let mut platform = with_a_fifth_joined(&scenario, 6);
    for _ in 0..4 {
        platform.list(0..20, "Terminating");
        others_join(&mut platform, &scenario, SECOND);
        platform.list(0..20, "Ready");
        platform.pass(SECOND);
    }
    platform.list(0..20, "Terminating");
    platform.pass(8 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

#[rstest]
fn lost_acknowledgements_delay_nothing() {
    let scenario = Scenario { drain_grace: 4 * SECOND, lost_acks: 4, ..Scenario::default() };
    let mut platform = with_a_fifth_joined(&scenario, 7);
    platform.list(0..30, "Terminating");
    others_join(&mut platform, &scenario, SECOND);
    platform.pass(10 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

/// In the end every proxy has the table of all servers.
#[rstest]
fn small_tables_are_replaced_once_the_channel_is_free_again() {
    let scenario = Scenario { drain_grace: 3 * SECOND, ..Scenario::default() };
    let mut platform = with_a_fifth_joined(&scenario, 8);
    platform.list(0..30, "Terminating");
    others_join(&mut platform, &scenario, SECOND);
    platform.pass(120 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
    let least = (0..scenario.proxies).map(|id| platform.usable_servers(id)).min();
    assert_eq!(least, Some(scenario.servers as usize - 30));
}

/// The new controller gets the list and the proxies anew, and servers that were removed since.
#[rstest]
fn restarted_controller_still_meets_deadlines() {
    let scenario = Scenario { drain_grace: 5 * SECOND, ..Scenario::default() };
    let mut platform = with_a_fifth_joined(&scenario, 9);
    others_join(&mut platform, &scenario, SECOND);
    platform.pass(40 * SECOND);
    platform.fail_controller();
    platform.list(0..30, "Gone");
    platform.pass(12 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

/// The list that a supervisor starts with is outdated; all proxies join before discovery sends what changed
/// since.
#[rstest]
fn restarted_supervisor_meets_deadlines_though_the_list_is_late() {
    let scenario = Scenario { drain_grace: 3 * SECOND, ..Scenario::default() };
    let mut platform = Platform::new(scenario.clone(), 10);
    others_join(&mut platform, &scenario, SECOND);
    platform.pass(2 * SECOND);
    for piece in [0..10, 10..20, 20..30] {
        platform.list(piece, "Gone");
        platform.pass(400 * MS);
    }
    platform.list(30..45, "Terminating");
    platform.pass(8 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
}

#[rstest]
fn invalid_input_delays_nothing_for_others() {
    let scenario = Scenario { drain_grace: 3 * SECOND, ..Scenario::default() };
    let mut platform = with_a_fifth_joined(&scenario, 11);
    platform.invalid_entries = vec![
        platform::entry(31, "Terminating", 0.0),
        platform::entry(31, "Terminating", 0.0),
        serde_json::json!({"id": "s32", "state": "Terminating"}),
        serde_json::json!(7),
    ];
    platform.list(0..30, "Terminating");
    others_join(&mut platform, &scenario, SECOND);
    for id in 0..scenario.proxies {
        platform.acknowledge_unasked(id);
    }
    platform.pass(8 * SECOND);
    assert_rules_kept(&platform.verdict, &scenario);
    assert!(
        (0..scenario.proxies).all(|id| !platform.uses(id, 31)),
        "a server that is listed twice drains all the same"
    );
}
