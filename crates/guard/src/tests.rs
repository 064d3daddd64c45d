//! Wrong tables are refused by the rule that they break, and sound tables are published unchanged.

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

/// Twelve servers of equal capacity. `unavailable`: draining or removed servers; `warming_up`: servers that have just started.
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

fn all_servers() -> Lines {
    (1..13).map(|id| (id, Line { weight: 1.0, draining: false })).collect()
}

/// All servers at weight 1, but with these weights; a weight of 0 removes the line.
fn all_with(changes: &[(ServerId, f64)]) -> Lines {
    let mut lines = all_servers();
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

/// The lines that are published, and the rules of the refusals.
fn published_and_refused(pool: &Pool, before: &Lines, after: &Lines) -> (Lines, Vec<Rule>) {
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

/// Guards against the publication of wrong tables: each is refused by the rule that it breaks, and the published table has no
/// violation of a mandatory rule that the table before did not have.
#[rstest]
#[case::empty(pool(&[], &[]), all_servers(), table(&[]), Rule::NoUsableLine)]
#[case::all_draining(pool(&[], &[]), all_servers(), drained(all_servers(), &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]), Rule::NoUsableLine)]
#[case::all_of_weight_0(pool(&[], &[]), all_servers(), table(&[(1, 0.0), (2, 0.0)]), Rule::NoUsableLine)]
#[case::one_server_left(pool(&[], &[]), all_servers(), table(&[(4, 1.0)]), Rule::TooFewServers)]
#[case::three_servers_left(pool(&[], &[]), all_servers(), table(&[(1, 1.0), (2, 1.0), (3, 1.0)]), Rule::TooFewServers)]
#[case::one_server_below_half(pool(&[], &[]), all_servers(), all_with(&[(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0), (5, 0.0), (6, 0.0), (7, 0.0)]), Rule::TooFewServers)]
#[case::only_servers_in_slow_start(pool(&[], &[1, 2]), all_servers(), table(&[(1, 1.0), (2, 1.0)]), Rule::SlowStartOverload)]
#[case::server_in_slow_start_raised_over_its_capacity(pool(&[], &[1]), all_with(&[(1, 0.1)]), all_with(&[(1, 4.0)]), Rule::SlowStartOverload)]
#[case::server_in_slow_start_added_over_its_capacity(pool(&[], &[1]), all_with(&[(1, 0.0)]), all_with(&[(1, 2.0)]), Rule::SlowStartOverload)]
#[case::many_servers_in_slow_start_over_their_capacity(pool(&[], &[1, 2, 3, 4, 5, 6]), all_with(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1), (5, 0.1), (6, 0.1)]),
    all_with(&[(1, 3.0), (2, 3.0), (3, 3.0), (4, 3.0), (5, 3.0), (6, 3.0)]), Rule::SlowStartOverload)]
#[case::warm_servers_lowered_beside_one_in_slow_start(pool(&[], &[1]), all_with(&[(1, 0.5)]),
    all_with(&[(1, 0.5), (2, 0.05), (3, 0.05), (4, 0.05), (5, 0.05), (6, 0.05), (7, 0.05), (8, 0.05), (9, 0.05), (10, 0.05)]), Rule::SlowStartOverload)]
#[case::nearly_all_weight_on_one_server(pool(&[], &[]), all_servers(), all_with(&[(5, 1e6)]), Rule::TooConcentrated)]
#[case::extreme_weight(pool(&[], &[]), all_servers(), all_with(&[(5, 1e300)]), Rule::TooConcentrated)]
#[case::all_weights_but_one_nearly_0(pool(&[], &[]), all_servers(),
    (1..13).map(|id| (id, Line { weight: if id == 7 { 1.0 } else { 1e-4 }, draining: false })).collect(), Rule::TooConcentrated)]
#[case::emptied_during_a_drain(pool(&[1, 2, 3, 4, 5, 6], &[]), drained(all_servers(), &[1, 2, 3, 4, 5, 6]),
    table(&[(1, 1.0), (2, 1.0), (3, 1.0)]), Rule::NoUsableLine)]
#[case::too_few_servers_during_a_drain(pool(&[1, 2, 3, 4], &[]), drained(all_servers(), &[1, 2, 3, 4]),
    table(&[(1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0), (5, 1.0), (6, 1.0), (7, 1.0)]), Rule::TooFewServers)]
#[case::too_few_warm_servers_beside_slow_starts(pool(&[], &[1, 2, 3, 4]), all_with(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1)]),
    table(&[(1, 0.1), (2, 0.1), (3, 0.1), (4, 0.1), (5, 1.0), (6, 1.0), (7, 1.0)]), Rule::TooFewServers)]
#[case::one_server_raised_while_most_are_in_slow_start(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10]),
    (1..13).map(|id| (id, Line { weight: if id < 11 { 0.1 } else { 1.0 }, draining: false })).collect(),
    (1..13).map(|id| (id, Line { weight: if id == 3 { 9.0 } else if id < 11 { 0.1 } else { 1.0 }, draining: false })).collect(), Rule::SlowStartOverload)]
#[case::last_warm_server_removed(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]),
    (1..13).map(|id| (id, Line { weight: if id < 12 { 0.05 } else { 1.0 }, draining: false })).collect(),
    (1..12).map(|id| (id, Line { weight: 0.05, draining: false })).collect(), Rule::SlowStartOverload)]
#[case::only_unknown_servers(pool(&[], &[]), all_servers(), table(&[(77, 1.0), (78, 1.0)]), Rule::NoUsableLine)]
#[case::two_of_twelve_servers_left(pool(&[], &[]), all_servers(), table(&[(1, 1.0), (12, 1.0)]), Rule::TooFewServers)]
fn wrong_table_is_refused_by_the_rule_that_it_breaks(
    #[case] pool: Pool,
    #[case] before: Lines,
    #[case] after: Lines,
    #[case] rule: Rule,
) {
    let (out, refused) = published_and_refused(&pool, &before, &after);
    assert!(refused.contains(&rule), "{refused:?}");
    let mandatory_findings = |lines| -> Vec<(Rule, Option<ServerId>)> {
        let found =
            inspect(&limits(), &pool, lines).into_iter().filter(|finding| finding.rule.is_mandatory());
        found.map(|finding| (finding.rule, finding.server)).collect()
    };
    let findings_before = mandatory_findings(&before);
    assert!(mandatory_findings(&out).iter().all(|finding| findings_before.contains(finding)), "{out:?}");
}

/// Guards against refusals of tables that a working controller makes.
#[rstest]
#[case::a_third_removed(pool(&[], &[]), all_with(&[(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0)]))]
#[case::moderately_different_weights(pool(&[], &[]), all_with(&[(1, 3.0), (2, 0.33), (3, 0.1)]))]
#[case::slow_starts_at_their_limit(pool(&[], &[1, 2]), all_with(&[(1, 0.375), (2, 0.375)]))]
#[case::without_servers_in_slow_start(pool(&[], &[1, 2, 3, 4, 5, 6, 7]), table(&[(8, 1.0), (9, 1.0), (10, 1.0), (11, 1.0), (12, 1.0)]))]
#[case::most_servers_draining(pool(&[1, 2, 3, 4, 5, 6, 7, 8], &[]), drained(all_servers(), &[1, 2, 3, 4, 5, 6, 7, 8]))]
#[case::all_servers_in_slow_start(pool(&[], &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]), all_servers())]
#[case::no_server_left_in_the_pool(pool(&[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12], &[]), table(&[]))]
#[case::small_table_with_a_tenth_of_the_requests(Pool { traffic_share: 0.1, ..pool(&[], &[]) }, table(&[(1, 1.0), (2, 1.0), (3, 1.0)]))]
fn sound_table_is_published_unchanged(#[case] pool: Pool, #[case] after: Lines) {
    let (out, refused) = published_and_refused(&pool, &all_servers(), &after);
    assert_eq!((out, refused), (after, vec![]));
}

#[test]
fn removals_of_unavailable_servers_are_published_while_the_rest_is_refused() {
    // Server 1 drains; the new table also gives nearly all weight to server 5 and removes server 2.
    let pool = pool(&[1], &[]);
    let (out, refused) =
        published_and_refused(&pool, &all_servers(), &all_with(&[(1, 0.0), (2, 0.0), (5, 1e6)]));
    assert!(!out.contains_key(&1) && !out.contains_key(&2) && out[&5].weight == 1.0, "{out:?}");
    assert_eq!(refused, [Rule::TooConcentrated]);
    // The line of a draining server is published as draining, although the new table has it as usable.
    let (out, refused) = published_and_refused(&pool, &all_servers(), &all_with(&[(2, 1.5)]));
    assert!(out[&1].draining && out[&2].weight == 1.5 && refused.is_empty());
}

#[test]
fn lasting_refusals_are_reported_repeatedly_and_waived_unless_the_rule_is_mandatory() {
    let (pool, mut guard) = (pool(&[], &[]), Guard::new(limits()));
    let few = table(&[(1, 1.0), (2, 1.0), (3, 1.0)]);
    let max_refusal_time = 4 * SECOND;
    let first = guard.judge(SECOND, &pool, &all_servers(), &few);
    assert_eq!((first.refusals.len(), first.reverted.len()), (1, 9));
    let next = guard.judge(2 * SECOND, &pool, &all_servers(), &few);
    assert_eq!((next.refusals.len(), next.reverted.len()), (0, 9));
    assert!(guard.next_inspection(2 * SECOND).is_some());
    let waiving = guard.judge(SECOND + max_refusal_time, &pool, &all_servers(), &few);
    assert_eq!((waiving.reverted.len(), waiving.waived[0].rule), (0, Rule::TooFewServers));
    // The violation of a mandatory rule is never waived; it is reported every `max_refusal_time`.
    let mut guard = Guard::new(limits());
    for second in 0..10 {
        let decision = guard.judge(SECOND + second * SECOND, &pool, &all_servers(), &table(&[]));
        assert_eq!((decision.reverted.len(), decision.waived.len()), (12, 0));
        assert_eq!(decision.refusals.is_empty(), second % 4 != 0, "{second}");
    }
    // A sound table ends the refusal.
    assert_eq!(guard.judge(20 * SECOND, &pool, &all_servers(), &all_servers()), Decision::default());
    assert_eq!(guard.next_inspection(20 * SECOND), None);
}

#[test]
fn finding_that_the_table_before_has_as_well_is_ignored() {
    // Ten servers have restarted. The controller lowers their weights step by step, which meanwhile raises the shares of those
    // not lowered yet.
    let restarted: Vec<ServerId> = (1..11).collect();
    let pool = pool(&[], &restarted);
    let first = all_with(&[(1, 0.1), (2, 0.1), (3, 0.1)]);
    assert_eq!(published_and_refused(&pool, &all_servers(), &first), (first.clone(), vec![]));
    // Removing warm servers as well, or raising the weight of a restarted one, is refused.
    let (out, refused) = published_and_refused(
        &pool,
        &all_servers(),
        &all_with(&[(1, 0.1), (2, 0.1), (3, 0.1), (11, 0.0), (12, 0.0)]),
    );
    assert_eq!((out, refused.contains(&Rule::SlowStartOverload)), (first.clone(), true));
    let (out, refused) = published_and_refused(&pool, &first, &all_with(&[(1, 5.0), (2, 0.1), (3, 0.1)]));
    assert_eq!((out, refused.contains(&Rule::SlowStartOverload)), (first, true));
}

#[test]
fn wrong_table_is_published_if_the_table_before_is_worse() {
    // Servers 1 to 9 are draining or removed; the other three were not in the table before.
    let out: Vec<ServerId> = (1..10).collect();
    let (before, after) = (all_with(&[(10, 0.0), (11, 0.0), (12, 0.0)]), table(&[(12, 1.0)]));
    let (out, refused) = published_and_refused(&pool(&out, &[]), &before, &after);
    assert_eq!((out, refused), (after, vec![]));
}

#[test]
fn table_without_usable_line_is_withheld_while_a_warm_server_is_ready() {
    let guard = Guard::new(limits());
    let all_ids: Vec<ServerId> = (1..13).collect();
    assert!(guard.must_withhold(&pool(&[], &[]), false) && !guard.must_withhold(&pool(&[], &[]), true));
    assert!(
        !guard.must_withhold(&pool(&all_ids, &[]), false)
            && !guard.must_withhold(&pool(&[], &all_ids), false)
    );
}
