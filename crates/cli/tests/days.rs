//! Short drills with real processes and sockets: fault scenarios pass, and each planted fault breaks the rule that it
//! should.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;
use shalereel_fault_scenarios::{run_scenario, Rule, Scenario, Verdict};

const SHORT_DRILL: &str = include_str!("days/short.toml");

/// A path for the folder of a test; each call returns another one.
fn new_folder() -> PathBuf {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("drill-{}-{number}", std::process::id()))
}

/// Runs the short drill with replaced settings, added scheduled faults, and a planted fault if `planted` is not empty.
/// Keeps its folder if it fails.
fn run_drill(planted: &str, changes: &[(&str, &str)], faults: &[&str]) -> Verdict {
    let mut text = if planted.is_empty() { String::new() } else { format!("planted = \"{planted}\"\n") };
    text += SHORT_DRILL;
    for (from, to) in changes {
        assert!(text.contains(from), "the short drill has no {from:?}");
        text = text.replace(from, to);
    }
    for fault in faults {
        text += &format!("\n[[trouble]]\n{}\n", fault.replace(", ", "\n"));
    }
    let scenario = Scenario::parse(Path::new("short.toml"), &text).unwrap();
    let folder = new_folder();
    let verdict =
        run_scenario(Path::new(env!("CARGO_BIN_EXE_shalereel")), &folder, &scenario, &mut |_| {}).unwrap();
    if verdict.passed() {
        let _ = std::fs::remove_dir_all(folder);
    }
    verdict
}

fn assert_passes(verdict: &Verdict) {
    assert!(verdict.passed(), "{}", shalereel_fault_scenarios::text_report(verdict));
}

#[rstest]
#[case::forwarder_ignores_drains("forwarder_ignores_drains", Rule::DrainsKept, &[], DRAIN)]
#[case::server_repeats_effects("server_repeats_effects", Rule::NoEffectTwice, &[], "")]
#[case::supervisor_drops_suspensions("supervisor_drops_suspensions", Rule::DrainsKept, &[], DRAIN)]
#[case::supervisor_repeats_all("supervisor_repeats_all", Rule::NoEffectTwice, &[], SLOW)]
#[case::supervisor_cold_in_full("supervisor_cold_in_full", Rule::NoColdServerPushedOver, &[], CRASH)]
#[case::supervisor_floods("supervisor_floods", Rule::ShortQueue, LOW_CAPACITY, "")]
#[case::supervisor_empties_tables("supervisor_empties_tables", Rule::LineToPick, &[], "")]
fn a_planted_fault_breaks_its_rule(
    #[case] planted: &str,
    #[case] rule: Rule,
    #[case] changes: &[(&str, &str)],
    #[case] fault: &str,
) {
    let faults: Vec<&str> = Some(fault).filter(|fault| !fault.is_empty()).into_iter().collect();
    let verdict = run_drill(planted, changes, &faults);
    let broken_rules: Vec<Rule> = verdict.violated_rules().map(|measure| measure.rule).collect();
    assert!(
        broken_rules.contains(&rule),
        "{broken_rules:?}\n{}",
        shalereel_fault_scenarios::text_report(&verdict)
    );
    // The same drill passes without the fault.
    assert_passes(&run_drill("", changes, &faults));
}

/// The same planted faults of a supervisor have no effect when the guard checks its tables.
#[rstest]
#[case::drops_suspensions("supervisor_drops_suspensions", DRAIN)]
#[case::cold_in_full("supervisor_cold_in_full", CRASH)]
#[case::empties_tables("supervisor_empties_tables", "")]
fn the_guard_contains_a_planted_fault(#[case] planted: &str, #[case] fault: &str) {
    let faults: Vec<&str> = Some(fault).filter(|fault| !fault.is_empty()).into_iter().collect();
    // Adds a setting after the planted fault; the comment takes the quote that closes the value.
    let guarded = format!("{planted}\"\nguarded = true\n# \"");
    assert_passes(&run_drill(&guarded, &[], &faults));
}

/// Settings for a channel with little capacity and a small queue.
const LOW_CAPACITY: &[(&str, &str)] =
    &[("lines_per_s = 3000.0", "lines_per_s = 300.0"), ("backlog = 4400.0", "backlog = 600.0")];
// Scheduled faults: the settings of a `[[trouble]]` section, separated by commas.
const DRAIN: &str = "at_s = 3.0, for_s = 6.0, kind = \"drain\", count = 2, locality = \"hal-a\"";
const SLOW: &str = "at_s = 3.0, for_s = 5.0, kind = \"slow\", count = 3, factor = 40.0";
const CRASH: &str = "at_s = 3.0, for_s = 1.5, kind = \"crash\", count = 2";

/// Forwarders report load of a server that does not exist, a stalled server reports no load, and forwarders reject
/// updates.
#[test]
fn false_reports_and_rejected_tables_do_not_break_a_rule() {
    let verdict = run_drill(
        "",
        &[],
        &[
            "at_s = 1.0, for_s = 8.0, kind = \"ghost_reports\"",
            "at_s = 2.0, for_s = 9.0, kind = \"misreport\", count = 1, locality = \"hal-b\"",
            "at_s = 4.0, for_s = 1.0, kind = \"turn_down\", part = 0.5, factor = 2.0",
            DRAIN,
        ],
    );
    assert_passes(&verdict);
    assert!(verdict.remarks.iter().any(|remark| remark.contains("ejected")), "{:?}", verdict.remarks);
}

/// A supervisor is killed while half of a drain is still queued on a slow channel; all its forwarders rejoin at the
/// other.
#[test]
fn a_partly_sent_drain_is_completed_by_the_remaining_supervisor() {
    let verdict = run_drill(
        "",
        LOW_CAPACITY,
        &[
            "at_s = 3.0, for_s = 6.0, kind = \"drain\", count = 2",
            "at_s = 3.05, for_s = 8.0, kind = \"supervisor_crash\", count = 1",
        ],
    );
    assert_passes(&verdict);
}

/// The registry's list loses all servers while they still respond, in a deployment where absence from the list is not
/// binding.
#[test]
fn a_wrongly_emptied_list_empties_no_table() {
    let verdict = run_drill(
        "",
        &[("tip_after_s = 2.0", "tip_after_s = 2.0\ngone_does_not_bind = true")],
        &["at_s = 4.0, for_s = 4.0, kind = \"empty_list\""],
    );
    assert_passes(&verdict);
}

/// Two forwarders read nothing for longer than the supervisor's timeout while servers drain.
#[test]
fn a_forwarder_that_reads_nothing_delays_no_other() {
    let verdict = run_drill(
        "",
        &[("worst_transit_ms = 400.0", "worst_transit_ms = 50.0")],
        &["at_s = 2.0, for_s = 9.0, kind = \"forwarder_deaf\", count = 2", DRAIN],
    );
    assert_passes(&verdict);
}

/// With the incremental protocol, all supervisors restart while the registry is unreachable, so that they have only
/// their stored list.
#[test]
fn a_restarted_supervisor_uses_its_stored_list() {
    let verdict = run_drill(
        "",
        &[("admission = \"ignored\"", "admission = \"ratio\"\nincremental = true")],
        &[
            "at_s = 3.0, for_s = 8.0, kind = \"registry_away\"",
            "at_s = 4.0, for_s = 1.0, kind = \"supervisor_crash\", part = 1.0",
        ],
    );
    assert_passes(&verdict);
}

#[rstest]
#[case::unknown_key("length_s = 12.0", "length_s = 12.0\nlenght = 3", "unknown field `lenght`")]
#[case::out_of_range("service = 0.7", "service = 7.0", "short.toml:")]
#[case::missing("rate = 60.0\n", "", "missing field `rate`")]
fn an_invalid_file_is_rejected_with_its_position(
    #[case] from: &str,
    #[case] to: &str,
    #[case] message: &str,
) {
    let error =
        Scenario::parse(Path::new("short.toml"), &SHORT_DRILL.replace(from, to)).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}
