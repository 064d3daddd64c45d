use std::collections::BTreeMap;

use rstest::rstest;
use shalereel::interface::{Nanos, ServerId};

use super::*;

const SECOND: Nanos = 1_000_000_000;

fn limits() -> Limits {
    Limits { cold_from: 0.25, cold_for: 8 * SECOND, tip_multiple: 2.5, patience: 4 * SECOND, closing: SECOND }
}

/// Twelve servers of one size. `out`: draining or gone; `cold`: started a moment ago.
fn pool(out: &[ServerId], cold: &[ServerId]) -> Pool {
    let server = |id: ServerId| {
        let standing = if out.contains(&id) { Standing::Out } else { Standing::Ready };
        (id, Server { standing, listed: 1.0, age: cold.contains(&id).then_some(0) })
    };
    Pool { servers: (1..13).map(server).collect(), part: 1.0 }
}

fn table(lines: &[(ServerId, f64)]) -> BTreeMap<ServerId, Line> {
    lines.iter().map(|&(id, weight)| (id, Line { weight, draining: false })).collect()
}

fn all() -> BTreeMap<ServerId, Line> {
    (1..13).map(|id| (id, Line { weight: 1.0, draining: false })).collect()
}

fn but(changes: &[(ServerId, f64)]) -> BTreeMap<ServerId, Line> {
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

fn drained(mut lines: BTreeMap<ServerId, Line>, out: &[ServerId]) -> BTreeMap<ServerId, Line> {
    for id in out {
        lines.entry(*id).and_modify(|line| line.draining = true);
    }
    lines
}

/// What goes out, and the rules named.
fn judged(
    pool: &Pool,
    before: &BTreeMap<ServerId, Line>,
    after: &BTreeMap<ServerId, Line>,
) -> (BTreeMap<ServerId, Line>, Vec<Rule>) {
    let mut guard = Guard::new(limits());
    let decision = guard.judge(SECOND, pool, before, after);
    let mut out = after.clone();
    for server in &decision.held {
        match before.get(server) {
            Some(&line) => out.insert(*server, line),
            None => out.remove(server),
        };
    }
    for server in &decision.shut {
        out.entry(*server).and_modify(|line| line.draining = true);
    }
    (out, decision.refused.iter().map(|refused| refused.finding.rule).collect())
}

/// Planted wrong tables. Each is refused by its rule, and what goes out instead is wrong in nothing that the table
/// before was not.
#[rstest]
#[case::empty(pool(&[], &[]), all(), table(&[]), Rule::Empty)]
#[case::all_draining(pool(&[], &[]), all(), drained(all(), &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]), Rule::Empty)]
#[case::all_of_weight_nothing(pool(&[], &[]), all(), table(&[(1, 0.0), (2, 0.0)]), Rule::Empty)]
#[case::one_left(pool(&[], &[]), all(), table(&[(4, 1.0)]), Rule::Thin)]
#[case::a_handful(pool(&[], &[]), all(), table(&[(1, 1.0), (2, 1.0), (3, 1.0)]), Rule::Thin)]
#[case::one_under_half(pool(&[], &[]), all(), but(&[(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0), (5, 0.0), (6, 0.0), (7, 0.0)]), Rule::Thin)]
#[case::only_cold_ones(pool(&[], &[1, 2]), all(), table(&[(1, 1.0), (2, 1.0)]), Rule::ColdPushed)]
#[case::a_cold_one_in_full_beside_few(pool(&[], &[1]), but(&[(1, 0.1)]), but(&[(1, 4.0)]), Rule::ColdPushed)]
#[case::a_cold_one_new_in_full(pool(&[], &[1]), but(&[(1, 0.0)]), but(&[(1, 2.0)]), Rule::ColdPushed)]
#[case::many_cold_in_full(pool(&[], &[1, 2, 3, 4, 5, 6]), but(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1), (5, 0.1), (6, 0.1)]),
    but(&[(1, 3.0), (2, 3.0), (3, 3.0), (4, 3.0), (5, 3.0), (6, 3.0)]), Rule::ColdPushed)]
#[case::warm_ones_withdrawn_round_a_cold_one(pool(&[], &[1]), but(&[(1, 0.5)]),
    but(&[(1, 0.5), (2, 0.05), (3, 0.05), (4, 0.05), (5, 0.05), (6, 0.05), (7, 0.05), (8, 0.05), (9, 0.05), (10, 0.05)]), Rule::ColdPushed)]
#[case::all_weight_to_one(pool(&[], &[]), all(), but(&[(5, 1e6)]), Rule::Concentrated)]
#[case::infinite_weight(pool(&[], &[]), all(), but(&[(5, 1e300)]), Rule::Concentrated)]
#[case::all_but_one_at_next_to_nothing(pool(&[], &[]), all(),
    (1..13).map(|id| (id, Line { weight: if id == 7 { 1.0 } else { 1e-4 }, draining: false })).collect(), Rule::Concentrated)]
#[case::empties_with_a_drain_under_way(pool(&[1, 2, 3, 4, 5, 6], &[]), drained(all(), &[1, 2, 3, 4, 5, 6]),
    table(&[(1, 1.0), (2, 1.0), (3, 1.0)]), Rule::Empty)]
#[case::thin_with_a_drain_under_way(pool(&[1, 2, 3, 4], &[]), drained(all(), &[1, 2, 3, 4]),
    table(&[(1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.0), (6, 1.0), (7, 1.0)]), Rule::Thin)]
#[case::thin_beside_cold_ones(pool(&[], &[1, 2, 3, 4]), but(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1)]),
    table(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1), (5, 1.0), (6, 1.0), (7, 1.0)]), Rule::Thin)]
#[case::a_deploy_made_most_fresh(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10]),
    (1..13).map(|id| (id, Line { weight: if id < 11 { 0.1 } else { 1.0 }, draining: false })).collect(),
    (1..13).map(|id| (id, Line { weight: if id == 3 { 9.0 } else if id < 11 { 0.1 } else { 1.0 }, draining: false })).collect(), Rule::ColdPushed)]
#[case::the_last_warm_one_out(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]),
    (1..13).map(|id| (id, Line { weight: if id < 12 { 0.05 } else { 1.0 }, draining: false })).collect(),
    (1..12).map(|id| (id, Line { weight: 0.05, draining: false })).collect(), Rule::ColdPushed)]
#[case::swapped_for_strangers(pool(&[], &[]), all(), table(&[(77, 1.0), (78, 1.0)]), Rule::Empty)]
#[case::two_of_twelve_after_a_split(pool(&[], &[]), all(), table(&[(1, 1.0), (12, 1.0)]), Rule::Thin)]
fn a_planted_table_is_refused_by_its_rule(
    #[case] pool: Pool,
    #[case] before: BTreeMap<ServerId, Line>,
    #[case] after: BTreeMap<ServerId, Line>,
    #[case] rule: Rule,
) {
    let (out, refused) = judged(&pool, &before, &after);
    assert!(refused.contains(&rule), "{refused:?}");
    let wrong = |lines| -> Vec<(Rule, Option<ServerId>)> {
        let found = look(&limits(), &pool, lines).into_iter().filter(|found| found.rule.binds());
        found.map(|found| (found.rule, found.server)).collect()
    };
    let were = wrong(&before);
    assert!(wrong(&out).iter().all(|one| were.contains(one)), "{out:?}");
}

/// Tables that a sound module makes.
#[rstest]
#[case::a_third_withdrawn(pool(&[], &[]), but(&[(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0)]))]
#[case::factors(pool(&[], &[]), but(&[(1, 3.0), (2, 0.33), (3, 0.1)]))]
#[case::cold_at_their_cap(pool(&[], &[1, 2]), but(&[(1, 0.375), (2, 0.375)]))]
#[case::cold_ones_outside(pool(&[], &[1, 2, 3, 4, 5, 6, 7]), table(&[(8, 1.0), (9, 1.0), (10, 1.0), (11, 1.0), (12, 1.0)]))]
#[case::most_drained(pool(&[1, 2, 3, 4, 5, 6, 7, 8], &[]), drained(all(), &[1, 2, 3, 4, 5, 6, 7, 8]))]
#[case::all_cold(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]), all())]
#[case::nobody_left(pool(&[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12], &[]), table(&[]))]
#[case::a_small_table(Pool { part: 0.1, ..pool(&[], &[]) }, table(&[(1, 1.0), (2, 1.0), (3, 1.0)]))]
fn a_sound_table_goes_out_as_it_is(#[case] pool: Pool, #[case] after: BTreeMap<ServerId, Line>) {
    let (out, refused) = judged(&pool, &all(), &after);
    assert_eq!((out, refused), (after, vec![]));
}

#[test]
fn withdrawals_that_keep_a_rule_go_while_the_rest_is_refused() {
    // Server 1 drains; the same table gives all weight to server 5 and takes server 2 out.
    let pool = pool(&[1], &[]);
    let (out, refused) = judged(&pool, &all(), &but(&[(1, 0.0), (2, 0.0), (5, 1e6)]));
    assert!(!out.contains_key(&1) && !out.contains_key(&2) && out[&5].weight == 1.0, "{out:?}");
    assert_eq!(refused, [Rule::Concentrated]);
    // A line to a server that drains is shut, whatever else is meant.
    let (out, refused) = judged(&pool, &all(), &but(&[(2, 1.5)]));
    assert!(out[&1].draining && out[&2].weight == 1.5 && refused.is_empty());
}

#[test]
fn what_is_refused_is_said_once_a_while_and_ratios_yield_where_no_rule_hangs_on_them() {
    let (pool, mut guard) = (pool(&[], &[]), Guard::new(limits()));
    let few = table(&[(1, 1.0), (2, 1.0), (3, 1.0)]);
    let patience = 4 * SECOND;
    let first = guard.judge(SECOND, &pool, &all(), &few);
    assert_eq!((first.refused.len(), first.held.len()), (1, 9));
    let next = guard.judge(2 * SECOND, &pool, &all(), &few);
    assert_eq!((next.refused.len(), next.held.len()), (0, 9));
    assert!(guard.again(2 * SECOND).is_some());
    let yields = guard.judge(SECOND + patience, &pool, &all(), &few);
    assert_eq!((yields.held.len(), yields.yielded[0].rule), (0, Rule::Thin));
    // Never where a rule hangs on it; it is said again.
    let mut guard = Guard::new(limits());
    for at in 0..10 {
        let decision = guard.judge(SECOND + at * SECOND, &pool, &all(), &table(&[]));
        assert_eq!((decision.held.len(), decision.yielded.len()), (12, 0));
        assert_eq!(decision.refused.is_empty(), at % 4 != 0, "{at}");
    }
    // Fixed: nothing lingers.
    assert_eq!(guard.judge(20 * SECOND, &pool, &all(), &all()), Decision::default());
    assert_eq!(guard.again(20 * SECOND), None);
}

#[test]
fn what_the_table_before_has_as_much_of_holds_nothing_back() {
    // Ten have restarted; the module lowers them piece by piece, which gives the others more meanwhile.
    let cold: Vec<ServerId> = (1..11).collect();
    let pool = pool(&[], &cold);
    let first = but(&[(1, 0.1), (2, 0.1), (3, 0.1)]);
    assert_eq!(judged(&pool, &all(), &first), (first.clone(), vec![]));
    // A warm one more or less beside them, or one of them raised, is its own doing.
    let (out, refused) = judged(&pool, &all(), &but(&[(1, 0.1), (2, 0.1), (3, 0.1), (11, 0.0), (12, 0.0)]));
    assert_eq!((out, refused.contains(&Rule::ColdPushed)), (first.clone(), true));
    let (out, refused) = judged(&pool, &first, &but(&[(1, 5.0), (2, 0.1), (3, 0.1)]));
    assert_eq!((out, refused.contains(&Rule::ColdPushed)), (first, true));
}

#[test]
fn a_wrong_table_goes_where_the_one_before_is_worse_by_now() {
    // All but three have drained; those three were not in the table before.
    let out: Vec<ServerId> = (1..10).collect();
    let (before, after) = (but(&[(10, 0.0), (11, 0.0), (12, 0.0)]), table(&[(12, 1.0)]));
    let (out, refused) = judged(&pool(&out, &[]), &before, &after);
    assert_eq!((out, refused), (after, vec![]));
}

#[test]
fn a_table_without_an_open_line_is_kept_back_while_a_warm_server_is_ready() {
    let guard = Guard::new(limits());
    let everyone: Vec<ServerId> = (1..13).collect();
    assert!(guard.hollow(&pool(&[], &[]), false) && !guard.hollow(&pool(&[], &[]), true));
    assert!(!guard.hollow(&pool(&everyone, &[]), false) && !guard.hollow(&pool(&[], &everyone), false));
}
