//! Planted wrong tables are refused by their rule, sound ones are published unchanged.

use rstest::rstest;
use shalereel::interface::{Nanos, ServerId};

use crate::*;

const SECOND: Nanos = 1_000_000_000;

fn limits() -> Limits {
    Limits {
        slow_start_capacity: 0.25,
        slow_start_duration: 8 * SECOND,
        overload_ratio: 2.5,
        max_refusal_time: 4 * SECOND,
        drain_check_delay: SECOND,
    }
}

/// Twelve servers of one capacity. `unavailable`: draining or removed; `warming_up`: started a moment ago.
fn pool(unavailable: &[ServerId], warming_up: &[ServerId]) -> Pool {
    let server = |id: ServerId| {
        let availability =
            if unavailable.contains(&id) { Availability::Unavailable } else { Availability::Ready };
        (id, Server { availability, capacity: 1.0, age: warming_up.contains(&id).then_some(0) })
    };
    Pool { servers: (1..13).map(server).collect(), traffic_share: 1.0 }
}

fn table(lines: &[(ServerId, f64)]) -> Lines {
    lines.iter().map(|&(id, weight)| (id, Line { weight, draining: false })).collect()
}

fn all() -> Lines {
    (1..13).map(|id| (id, Line { weight: 1.0, draining: false })).collect()
}

fn but(changes: &[(ServerId, f64)]) -> Lines {
    let mut lines = all();
    for &(id, weight) in changes {
        if weight > 0.0 {
            lines.insert(id, Line { weight, draining: false });
        } else {
            lines.remove(&id);
        }
    }
    lines
}

fn drained(mut lines: Lines, out: &[ServerId]) -> Lines {
    for id in out {
        lines.entry(*id).and_modify(|line| line.draining = true);
    }
    lines
}

/// What is published, and the rules of the refusals.
fn judged(pool: &Pool, before: &Lines, after: &Lines) -> (Lines, Vec<Rule>) {
    let mut guard = Guard::new(limits());
    let decision = guard.judge(SECOND, pool, before, after);
    let mut out = after.clone();
    for server in &decision.reverted {
        match before.get(server) {
            Some(&line) => out.insert(*server, line),
            None => out.remove(server),
        };
    }
    for server in &decision.drained {
        out.entry(*server).and_modify(|line| line.draining = true);
    }
    (out, decision.refusals.iter().map(|refusal| refusal.finding.rule).collect())
}

/// Guards against wrong tables: each is refused by its rule, and what is published instead breaks no mandatory rule that the
/// table before did not.
#[rstest]
#[case::empty(pool(&[], &[]), all(), table(&[]), Rule::NoUsableLine)]
#[case::all_draining(pool(&[], &[]), all(), drained(all(), &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]), Rule::NoUsableLine)]
#[case::all_of_weight_nothing(pool(&[], &[]), all(), table(&[(1, 0.0), (2, 0.0)]), Rule::NoUsableLine)]
#[case::one_left(pool(&[], &[]), all(), table(&[(4, 1.0)]), Rule::TooFewServers)]
#[case::a_handful(pool(&[], &[]), all(), table(&[(1, 1.0), (2, 1.0), (3, 1.0)]), Rule::TooFewServers)]
#[case::one_under_half(pool(&[], &[]), all(), but(&[(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0), (5, 0.0), (6, 0.0), (7, 0.0)]), Rule::TooFewServers)]
#[case::only_cold_ones(pool(&[], &[1, 2]), all(), table(&[(1, 1.0), (2, 1.0)]), Rule::SlowStartOverload)]
#[case::a_cold_one_in_full_beside_few(pool(&[], &[1]), but(&[(1, 0.1)]), but(&[(1, 4.0)]), Rule::SlowStartOverload)]
#[case::a_cold_one_new_in_full(pool(&[], &[1]), but(&[(1, 0.0)]), but(&[(1, 2.0)]), Rule::SlowStartOverload)]
#[case::many_cold_in_full(pool(&[], &[1, 2, 3, 4, 5, 6]), but(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1), (5, 0.1), (6, 0.1)]),
    but(&[(1, 3.0), (2, 3.0), (3, 3.0), (4, 3.0), (5, 3.0), (6, 3.0)]), Rule::SlowStartOverload)]
#[case::warm_ones_withdrawn_round_a_cold_one(pool(&[], &[1]), but(&[(1, 0.5)]),
    but(&[(1, 0.5), (2, 0.05), (3, 0.05), (4, 0.05), (5, 0.05), (6, 0.05), (7, 0.05), (8, 0.05), (9, 0.05), (10, 0.05)]), Rule::SlowStartOverload)]
#[case::all_weight_to_one(pool(&[], &[]), all(), but(&[(5, 1e6)]), Rule::TooConcentrated)]
#[case::infinite_weight(pool(&[], &[]), all(), but(&[(5, 1e300)]), Rule::TooConcentrated)]
#[case::all_but_one_at_next_to_nothing(pool(&[], &[]), all(),
    (1..13).map(|id| (id, Line { weight: if id == 7 { 1.0 } else { 1e-4 }, draining: false })).collect(), Rule::TooConcentrated)]
#[case::empties_with_a_drain_under_way(pool(&[1, 2, 3, 4, 5, 6], &[]), drained(all(), &[1, 2, 3, 4, 5, 6]),
    table(&[(1, 1.0), (2, 1.0), (3, 1.0)]), Rule::NoUsableLine)]
#[case::thin_with_a_drain_under_way(pool(&[1, 2, 3, 4], &[]), drained(all(), &[1, 2, 3, 4]),
    table(&[(1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.0), (6, 1.0), (7, 1.0)]), Rule::TooFewServers)]
#[case::thin_beside_cold_ones(pool(&[], &[1, 2, 3, 4]), but(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1)]),
    table(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1), (5, 1.0), (6, 1.0), (7, 1.0)]), Rule::TooFewServers)]
#[case::a_deploy_made_most_fresh(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10]),
    (1..13).map(|id| (id, Line { weight: if id < 11 { 0.1 } else { 1.0 }, draining: false })).collect(),
    (1..13).map(|id| (id, Line { weight: if id == 3 { 9.0 } else if id < 11 { 0.1 } else { 1.0 }, draining: false })).collect(), Rule::SlowStartOverload)]
#[case::the_last_warm_one_out(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]),
    (1..13).map(|id| (id, Line { weight: if id < 12 { 0.05 } else { 1.0 }, draining: false })).collect(),
    (1..12).map(|id| (id, Line { weight: 0.05, draining: false })).collect(), Rule::SlowStartOverload)]
#[case::swapped_for_strangers(pool(&[], &[]), all(), table(&[(77, 1.0), (78, 1.0)]), Rule::NoUsableLine)]
#[case::two_of_twelve_after_a_split(pool(&[], &[]), all(), table(&[(1, 1.0), (12, 1.0)]), Rule::TooFewServers)]
fn planted_wrong_table_is_refused_by_its_rule(
    #[case] pool: Pool,
    #[case] before: Lines,
    #[case] after: Lines,
    #[case] rule: Rule,
) {
    let (out, refused) = judged(&pool, &before, &after);
    assert!(refused.contains(&rule), "{refused:?}");
    let wrong = |lines| -> Vec<(Rule, Option<ServerId>)> {
        let found =
            inspect(&limits(), &pool, lines).into_iter().filter(|finding| finding.rule.is_mandatory());
        found.map(|finding| (finding.rule, finding.server)).collect()
    };
    let were = wrong(&before);
    assert!(wrong(&out).iter().all(|one| were.contains(one)), "{out:?}");
}

/// Tables that a sound controller makes.
#[rstest]
#[case::a_third_withdrawn(pool(&[], &[]), but(&[(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0)]))]
#[case::factors(pool(&[], &[]), but(&[(1, 3.0), (2, 0.33), (3, 0.1)]))]
#[case::cold_at_their_cap(pool(&[], &[1, 2]), but(&[(1, 0.375), (2, 0.375)]))]
#[case::cold_ones_outside(pool(&[], &[1, 2, 3, 4, 5, 6, 7]), table(&[(8, 1.0), (9, 1.0), (10, 1.0), (11, 1.0), (12, 1.0)]))]
#[case::most_drained(pool(&[1, 2, 3, 4, 5, 6, 7, 8], &[]), drained(all(), &[1, 2, 3, 4, 5, 6, 7, 8]))]
#[case::all_cold(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]), all())]
#[case::nobody_left(pool(&[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12], &[]), table(&[]))]
#[case::a_small_table(Pool { traffic_share: 0.1, ..pool(&[], &[]) }, table(&[(1, 1.0), (2, 1.0), (3, 1.0)]))]
fn sound_table_is_published_unchanged(#[case] pool: Pool, #[case] after: Lines) {
    let (out, refused) = judged(&pool, &all(), &after);
    assert_eq!((out, refused), (after, vec![]));
}

#[test]
fn removals_of_unavailable_servers_are_published_while_the_rest_is_refused() {
    // Server 1 drains; the same table gives all weight to server 5 and takes server 2 out.
    let pool = pool(&[1], &[]);
    let (out, refused) = judged(&pool, &all(), &but(&[(1, 0.0), (2, 0.0), (5, 1e6)]));
    assert!(!out.contains_key(&1) && !out.contains_key(&2) && out[&5].weight == 1.0, "{out:?}");
    assert_eq!(refused, [Rule::TooConcentrated]);
    // A line of a draining server is published as draining, whatever else is meant.
    let (out, refused) = judged(&pool, &all(), &but(&[(2, 1.5)]));
    assert!(out[&1].draining && out[&2].weight == 1.5 && refused.is_empty());
}

#[test]
fn refusals_are_reported_now_and_then_and_ratios_are_waived_but_mandatory_rules_never() {
    let (pool, mut guard) = (pool(&[], &[]), Guard::new(limits()));
    let few = table(&[(1, 1.0), (2, 1.0), (3, 1.0)]);
    let max_refusal_time = 4 * SECOND;
    let first = guard.judge(SECOND, &pool, &all(), &few);
    assert_eq!((first.refusals.len(), first.reverted.len()), (1, 9));
    let next = guard.judge(2 * SECOND, &pool, &all(), &few);
    assert_eq!((next.refusals.len(), next.reverted.len()), (0, 9));
    assert!(guard.next_inspection(2 * SECOND).is_some());
    let waiving = guard.judge(SECOND + max_refusal_time, &pool, &all(), &few);
    assert_eq!((waiving.reverted.len(), waiving.waived[0].rule), (0, Rule::TooFewServers));
    // A mandatory rule is never waived; it is reported again.
    let mut guard = Guard::new(limits());
    for at in 0..10 {
        let decision = guard.judge(SECOND + at * SECOND, &pool, &all(), &table(&[]));
        assert_eq!((decision.reverted.len(), decision.waived.len()), (12, 0));
        assert_eq!(decision.refusals.is_empty(), at % 4 != 0, "{at}");
    }
    // Once the table is sound nothing remains.
    assert_eq!(guard.judge(20 * SECOND, &pool, &all(), &all()), Decision::default());
    assert_eq!(guard.next_inspection(20 * SECOND), None);
}

#[test]
fn finding_that_the_table_before_has_as_well_refuses_nothing() {
    // Ten have restarted; the controller lowers them piece by piece, which gives the others more meanwhile.
    let cold: Vec<ServerId> = (1..11).collect();
    let pool = pool(&[], &cold);
    let first = but(&[(1, 0.1), (2, 0.1), (3, 0.1)]);
    assert_eq!(judged(&pool, &all(), &first), (first.clone(), vec![]));
    // Warm servers taken out beside them, or one of them raised, is refused.
    let (out, refused) = judged(&pool, &all(), &but(&[(1, 0.1), (2, 0.1), (3, 0.1), (11, 0.0), (12, 0.0)]));
    assert_eq!((out, refused.contains(&Rule::SlowStartOverload)), (first.clone(), true));
    let (out, refused) = judged(&pool, &first, &but(&[(1, 5.0), (2, 0.1), (3, 0.1)]));
    assert_eq!((out, refused.contains(&Rule::SlowStartOverload)), (first, true));
}

#[test]
fn wrong_table_is_published_where_the_one_before_is_worse() {
    // All but three have drained; those three were not in the table before.
    let out: Vec<ServerId> = (1..10).collect();
    let (before, after) = (but(&[(10, 0.0), (11, 0.0), (12, 0.0)]), table(&[(12, 1.0)]));
    let (out, refused) = judged(&pool(&out, &[]), &before, &after);
    assert_eq!((out, refused), (after, vec![]));
}

#[test]
fn table_without_usable_line_is_withheld_while_a_warm_server_is_ready() {
    let guard = Guard::new(limits());
    let everyone: Vec<ServerId> = (1..13).collect();
    assert!(guard.must_withhold(&pool(&[], &[]), false) && !guard.must_withhold(&pool(&[], &[]), true));
    assert!(
        !guard.must_withhold(&pool(&everyone, &[]), false)
            && !guard.must_withhold(&pool(&[], &everyone), false)
    );
}
