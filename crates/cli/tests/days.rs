//! Days on real sockets and processes: the hard cases stand, and each planted fault is found and named.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;
use shalereel_fault_scenarios::{run_scenario, Rule, Scenario, Verdict};

const SHORT: &str = include_str!("days/short.toml");

fn folder() -> PathBuf {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("day-{}-{number}", std::process::id()))
}

/// Plays the short day with other figures, more troubles, and a planted fault if one is named.
fn day(planted: &str, changes: &[(&str, &str)], troubles: &[&str]) -> Verdict {
    let mut text = if planted.is_empty() { String::new() } else { format!("planted = \"{planted}\"\n") };
    text += SHORT;
    for (from, to) in changes {
        assert!(text.contains(from), "the short day has no {from:?}");
        text = text.replace(from, to);
    }
    for trouble in troubles {
        text += &format!("\n[[trouble]]\n{}\n", trouble.replace(", ", "\n"));
    }
    let day = Scenario::parse(Path::new("short.toml"), &text).unwrap();
    let folder = folder();
    let verdict =
        run_scenario(Path::new(env!("CARGO_BIN_EXE_shalereel")), &folder, &day, &mut |_| {}).unwrap();
    if verdict.passed() {
        let _ = std::fs::remove_dir_all(folder);
    }
    verdict
}

fn assert_stands(verdict: &Verdict) {
    assert!(verdict.passed(), "{}", shalereel_fault_scenarios::text_report(verdict));
}

#[rstest]
#[case::forwarder_ignores_drains("forwarder_ignores_drains", Rule::DrainsKept, &[], DRAIN)]
#[case::server_repeats_effects("server_repeats_effects", Rule::NoEffectTwice, &[], "")]
#[case::supervisor_drops_suspensions("supervisor_drops_suspensions", Rule::DrainsKept, &[], DRAIN)]
#[case::supervisor_repeats_all("supervisor_repeats_all", Rule::NoEffectTwice, &[], SLOW)]
#[case::supervisor_cold_in_full("supervisor_cold_in_full", Rule::NoColdServerPushedOver, &[], RESTART)]
#[case::supervisor_floods("supervisor_floods", Rule::ShortQueue, NARROW, "")]
#[case::supervisor_empties_tables("supervisor_empties_tables", Rule::LineToPick, &[], "")]
fn a_planted_fault_is_found(
    #[case] planted: &str,
    #[case] rule: Rule,
    #[case] changes: &[(&str, &str)],
    #[case] trouble: &str,
) {
    let troubles: Vec<&str> = Some(trouble).filter(|trouble| !trouble.is_empty()).into_iter().collect();
    let verdict = day(planted, changes, &troubles);
    let broken: Vec<Rule> = verdict.violated_rules().map(|measure| measure.rule).collect();
    assert!(broken.contains(&rule), "{broken:?}\n{}", shalereel_fault_scenarios::text_report(&verdict));
    // Without the fault the same day stands.
    assert_stands(&day("", changes, &troubles));
}

/// The same faults of a supervisor, with the guard before them.
#[rstest]
#[case::drops_suspensions("supervisor_drops_suspensions", DRAIN)]
#[case::cold_in_full("supervisor_cold_in_full", RESTART)]
#[case::empties_tables("supervisor_empties_tables", "")]
fn the_guard_stands_before_a_planted_fault(#[case] planted: &str, #[case] trouble: &str) {
    let troubles: Vec<&str> = Some(trouble).filter(|trouble| !trouble.is_empty()).into_iter().collect();
    let guarded = format!("{planted}\"\nguarded = true\n# \"");
    assert_stands(&day(&guarded, &[], &troubles));
}

/// A channel that is soon full.
const NARROW: &[(&str, &str)] =
    &[("lines_per_s = 3000.0", "lines_per_s = 300.0"), ("backlog = 4400.0", "backlog = 600.0")];
const DRAIN: &str = "at_s = 3.0, for_s = 6.0, kind = \"drain\", count = 2, locality = \"hal-a\"";
const SLOW: &str = "at_s = 3.0, for_s = 5.0, kind = \"slow\", count = 3, factor = 40.0";
const RESTART: &str = "at_s = 3.0, for_s = 1.5, kind = \"crash\", count = 2";

/// Load of a server that never was, a stand-in that says it has none while it stalls, refused updates.
#[test]
fn false_reports_and_refused_tables_are_borne() {
    let verdict = day(
        "",
        &[],
        &[
            "at_s = 1.0, for_s = 8.0, kind = \"ghost_reports\"",
            "at_s = 2.0, for_s = 9.0, kind = \"misreport\", count = 1, locality = \"hal-b\"",
            "at_s = 4.0, for_s = 1.0, kind = \"turn_down\", part = 0.5, factor = 2.0",
            DRAIN,
        ],
    );
    assert_stands(&verdict);
    assert!(verdict.remarks.iter().any(|remark| remark.contains("ejected")), "{:?}", verdict.remarks);
}

/// A supervisor is killed while a slow channel still holds half of a drain; all forwarders rejoin on the other.
#[test]
fn a_drain_half_sent_is_kept_by_who_is_left() {
    let verdict = day(
        "",
        NARROW,
        &[
            "at_s = 3.0, for_s = 6.0, kind = \"drain\", count = 2",
            "at_s = 3.05, for_s = 8.0, kind = \"supervisor_crash\", count = 1",
        ],
    );
    assert_stands(&verdict);
}

/// A list that loses all servers while they answer, on a deployment where being gone does not bind.
#[test]
fn a_list_that_empties_wrongly_empties_no_table() {
    let verdict = day(
        "",
        &[("tip_after_s = 2.0", "tip_after_s = 2.0\ngone_does_not_bind = true")],
        &["at_s = 4.0, for_s = 4.0, kind = \"empty_list\""],
    );
    assert_stands(&verdict);
}

/// Forwarders that read nothing for longer than a supervisor's patience, while another drains.
#[test]
fn a_forwarder_that_reads_nothing_holds_up_nobody() {
    let verdict = day(
        "",
        &[("worst_transit_ms = 400.0", "worst_transit_ms = 50.0")],
        &["at_s = 2.0, for_s = 9.0, kind = \"forwarder_deaf\", count = 2", DRAIN],
    );
    assert_stands(&verdict);
}

/// The incremental variant, a registry that goes away, and a restart from the kept list alone.
#[test]
fn a_restarted_supervisor_lives_by_its_last_list() {
    let verdict = day(
        "",
        &[("admission = \"ignored\"", "admission = \"ratio\"\nincremental = true")],
        &[
            "at_s = 3.0, for_s = 8.0, kind = \"registry_away\"",
            "at_s = 4.0, for_s = 1.0, kind = \"supervisor_crash\", part = 1.0",
        ],
    );
    assert_stands(&verdict);
}

#[rstest]
#[case::unknown_key("length_s = 12.0", "length_s = 12.0\nlenght = 3", "unknown field `lenght`")]
#[case::out_of_range("service = 0.7", "service = 7.0", "short.toml:")]
#[case::missing("rate = 60.0\n", "", "missing field `rate`")]
fn a_bad_file_is_refused_with_its_place(#[case] from: &str, #[case] to: &str, #[case] said: &str) {
    let error = Scenario::parse(Path::new("short.toml"), &SHORT.replace(from, to)).unwrap_err().to_string();
    assert!(error.contains(said), "{error}");
}
