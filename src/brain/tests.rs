use rstest::{fixture, rstest};

use super::*;
use crate::channel::{JOIN_ROOM, SMALL_COLD, WHOLE};
use crate::pacing::{Fence, Pacing};

const START: Nanos = 1_000 * SECOND;

fn row(server: ServerId) -> Endpoint {
    Endpoint { server, readiness: Readiness::Ready, weight: 1.0, ..Endpoint::default() }
}

fn judging() -> Judging {
    Judging {
        cold_from: 0.2,
        cold_for: 10 * SECOND,
        cold_stretch: 1.0,
        echo: 2 * SECOND,
        sizes_told: false,
        kind_power: FACTOR_POWER,
        gone_does_not_bind: false,
    }
}

fn digest(server: ServerId, tries: u32, lost: u32) -> EndpointReport {
    let answer_time = if lost < tries { SECOND / 5 } else { 0 };
    EndpointReport {
        server,
        locality: 0,
        attempts: tries,
        failures: lost,
        response_time: answer_time,
        window: SECOND,
        load: Vec::new(),
    }
}

fn standing(server: ServerId) -> Standing {
    Standing {
        row: row(server),
        binds: false,
        warm: true,
        out: false,
        fault: None,
        severity: 0.0,
        weight: 1.0,
        listed: 1.0,
        cap: None,
        time: None,
        met: (0.0, 0.0),
        error: 0.0,
    }
}

fn fleet(standings: impl IntoIterator<Item = Standing>) -> Fleet {
    Fleet {
        standings: standings.into_iter().map(|s| (s.row.server, s)).collect(),
        avoided_from: 0.4,
        cycle: 10 * SECOND,
        heard: START,
        blind_part: BLIND_PART,
        patience: SECOND as f64,
        ..Fleet::default()
    }
}

fn operation(billed_value: f64, objective: Nanos, home_only: bool) -> Operation {
    Operation {
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: 0,
        latency_objective: objective,
        timeout: 4 * objective,
        priority_weight: billed_value,
        local_only: home_only,
        writes: false,
    }
}

#[fixture]
fn facts() -> ControllerConfig {
    ControllerConfig {
        seed: 7,
        supervisor_index: 0,
        supervisor_count: 1,
        locality: 0,
        locality_count: 2,
        operations: vec![operation(1.0, 2 * SECOND, false), operation(5.0, SECOND, false)],
        polls_endpoints: false,
        admission_mode: AdmissionMode::Ratio,
        load_source: LoadSource::None,
        load_columns: Vec::new(),
        health_checks_allowed: false,
        listed_capacity: ListedCapacity::Nominal,
        proxy_count: 2,
        channel_capacity: 1_000.0,
        lines_per_s: 1_000.0,
        message_overhead: 5.0,
        report_interval: SECOND,
        max_unserved_time: 2 * SECOND,
        first_wait: 1.0,
        failures_to_avoid: 5,
        slices: 0,
        sole_owner: false,
        lease_duration: 0,
        in_flight_max: 4 * SECOND,
        mean_transit: SECOND / 5,
        worst_transit: SECOND,
        message_limit: 0,
        message_limit_window: 10 * SECOND,
        retry_default: 0,
        poll_interval: 10 * SECOND,
        slow_start_capacity: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_ratio: 2.5,
        overload_delay: 2 * SECOND,
        drain_grace: 2 * SECOND,
        removal_is_advisory: false,
    }
}

fn listed(rows: impl IntoIterator<Item = Endpoint>) -> Event {
    Event::Endpoints(WatchEvent::Full(rows.into_iter().collect()))
}

fn joined(proxy: ProxyId) -> Event {
    Event::Joined { proxy, locality: 0, rate: 1.0, is_new: true }
}

/// An instance that knows four servers and has one proxy on its table.
fn running(facts: &ControllerConfig) -> Controller {
    let mut brain = Controller::new(facts);
    brain.decide(START, vec![listed((1..5).map(row)), joined(1)]);
    brain
}

#[rstest]
#[case(vec![], 0.0)]
#[case(vec![3.0, 1.0, 2.0], 2.0)]
fn median_takes_the_middle(#[case] values: Vec<f64>, #[case] middle: f64) {
    assert_eq!(median(values), middle);
}

#[rstest]
fn a_sum_fades_when_read() {
    let mut sum = Fading::default();
    sum.add(START, SECOND, 2.0);
    assert!((sum.read(START + SECOND, SECOND) - 2.0 / std::f64::consts::E).abs() < 1e-9);
}

#[rstest]
fn a_server_absent_from_a_whole_list_leaves_the_table(facts: ControllerConfig) {
    let orders = running(&facts).decide(START + SECOND / 10, vec![listed((1..4).map(row))]);
    assert!(orders.contains(&Action::SetWeight { table: 0, server: 4, weight: 0.0 }));
}

#[rstest]
#[case::drain_binds(Readiness::Draining, true)]
#[case::gone_does_not(Readiness::Removed, false)]
fn joiners_are_told_to_shun_what_drains_whatever_they_hold(
    mut facts: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] told: bool,
) {
    (facts.removal_is_advisory, facts.drain_grace) = (true, 4 * SECOND);
    let mut brain = running(&facts);
    brain.channel.pacing.waiting = facts.channel_capacity * JOIN_ROOM;
    brain.channel.pacing.at = START;
    let gone = Endpoint { readiness, ..row(4) };
    let orders = brain.decide(START + 1, vec![Event::Endpoints(WatchEvent::Delta(vec![gone])), joined(2)]);
    let shuns = |orders: Vec<Action>| orders.contains(&Action::Exclude { server: 4, on: true });
    assert!(!shuns(orders), "its table may still come in time");
    // No room for a table, as before; a quarter of the grace, less what waits in the channel, has passed.
    brain.channel.pacing.waiting = facts.channel_capacity * JOIN_ROOM;
    brain.channel.pacing.at = START + facts.drain_grace / 8 + 2;
    assert_eq!(shuns(brain.decide(START + facts.drain_grace / 8 + 2, vec![])), told);
}

#[rstest]
fn a_failed_list_call_is_tried_again_within_the_time_after_which_we_are_deemed_told(
    mut facts: ControllerConfig,
) {
    facts.polls_endpoints = true;
    let mut brain = Controller::new(&facts);
    assert!(brain.decide(START, vec![]).contains(&Action::WatchEndpoints { on: true }));
    for _ in 0..9 {
        let orders = brain.decide(START, vec![Event::Endpoints(WatchEvent::Failed)]);
        let again = |o: &&Action| matches!(o, Action::SetTimer { delay: span, token: LISTEN_AGAIN } if *span <= facts.poll_interval);
        assert_eq!(orders.iter().filter(again).count(), 1);
    }
    let orders = brain.decide(START, vec![Event::TimerFired { token: LISTEN_AGAIN }]);
    assert!(orders.contains(&Action::WatchEndpoints { on: true }));
}

#[rstest]
#[case::few_tries(1, 1, None)]
#[case::general(40, 4, None)]
#[case::most_lost(40, 36, Some(Fault::Errors))]
fn errors_withdraw_only_with_evidence(#[case] tries: u32, #[case] lost: u32, #[case] fault: Option<Fault>) {
    let mut server = Server::new(row(1), START);
    server.hear(&digest(1, tries, lost), START, &mut Post::default());
    assert_eq!(server.weigh(Picture::default(), &judging(), START).fault, fault);
}

#[rstest]
fn what_all_servers_lose_is_no_fault_of_one() {
    let mut server = Server::new(row(1), START);
    server.hear(&digest(1, 40, 30), START, &mut Post::default());
    let picture = Picture { common_error: 0.7, ..Picture::default() };
    assert_eq!(server.weigh(picture, &judging(), START).fault, None);
}

#[rstest]
fn errors_are_no_ones_fault_while_failures_are_general() {
    let mut server = Server::new(row(1), START);
    server.hear(&digest(1, 40, 36), START, &mut Post::default());
    let picture = Picture { general: true, ..Picture::default() };
    assert_eq!(server.weigh(picture, &judging(), START).fault, None);
}

#[rstest]
#[case::others_answer(30.0, 1, Some(Fault::Silence))]
#[case::nothing_heard_of_anyone(0.0, 1, None)]
#[case::its_report_is_not_due(30.0, 20, None)]
fn silence_counts_while_others_are_heard_and_reports_are_due(
    #[case] answered: f64,
    #[case] round: u64,
    #[case] fault: Option<Fault>,
) {
    let mut server = Server::new(row(1), START);
    server.felt_share = 0.25;
    let hush = (round * SECOND) as f64;
    let picture = Picture { answered, hush, share: 0.25, ..Picture::default() };
    let standing = server.weigh(picture, &judging(), START + 10 * SECOND);
    assert_eq!(standing.fault, fault);
}

#[rstest]
#[case::silent_answers(Fault::Silence, SECOND, false)]
#[case::failing_answers(Fault::Errors, SECOND, true)]
#[case::term_over(Fault::Errors, FIRST_TERM, false)]
fn a_withdrawn_server_returns_by_answer_or_term(
    #[case] fault: Fault,
    #[case] after: Nanos,
    #[case] still_out: bool,
) {
    let mut server = Server::new(row(1), START);
    server.fault = Some(fault);
    server.take(Note::Held(true), &judging(), &mut Post { now: START, ..Post::default() });
    server.hear(&digest(1, 4, 1), START + after, &mut Post::default());
    let standing = server.weigh(Picture::default(), &judging(), START + after);
    assert_eq!(standing.out, still_out);
    if !still_out {
        assert!((standing.weight - RETURN_LEVEL).abs() < 1e-9);
    }
}

#[rstest]
fn a_return_rises_only_over_clean_reports() {
    let mut server = Server::new(row(1), START);
    server.come_back(START);
    let before = server.weigh(Picture::default(), &judging(), START + 3 * SECOND).weight;
    assert_eq!(before, RETURN_LEVEL);
    server.hear(&digest(1, 3, 0), START + 3 * SECOND, &mut Post::default());
    assert!(server.weigh(Picture::default(), &judging(), START + 4 * SECOND).weight > before);
}

#[rstest]
#[case::green(0.9, Band::Green)]
#[case::yellow(0.5, Band::Yellow)]
#[case::red(0.1, Band::Red)]
fn a_band_changes_after_its_dwell(#[case] goodness: f64, #[case] band: Band) {
    let mut server = Server::new(row(1), START);
    server.settle_band(goodness, START);
    assert_eq!(server.band, Band::Green);
    server.settle_band(goodness, START + DWELL);
    assert_eq!(server.band, band);
}

#[rstest]
fn a_slow_server_gets_less_within_its_kind_and_no_less_than_the_bound() {
    let picture = Picture { median_time: 100.0, kind_time: 100.0, ..Picture::default() };
    assert_eq!(factor(Some(100.0), &picture, KIND_POWER), 1.0);
    assert!(factor(Some(200.0), &picture, KIND_POWER) < 1.0);
    assert_eq!(factor(Some(1e9), &picture, KIND_POWER), 1.0 / FACTOR_BOUND);
    assert_eq!(factor(None, &picture, KIND_POWER), 1.0);
}

#[rstest]
#[case(0, 0.2)]
#[case(5, 0.6)]
#[case(10, 1.0)]
fn a_restarted_server_is_held_to_the_slowest_warming_path(#[case] age: u64, #[case] part: f64) {
    let mut server = Server::new(row(1), 0);
    let restarted = Endpoint { started_at: START, ..row(1) };
    server.take(Note::Listed(restarted), &judging(), &mut Post { now: START, ..Post::default() });
    let standing = server.weigh(Picture::default(), &judging(), START + age * SECOND);
    assert!((standing.weight - part).abs() < 1e-9);
    assert_eq!(standing.warm, part == 1.0);
}

#[rstest]
#[case::only_draining_binds(true, true)]
#[case::gone_binds(false, false)]
fn a_dropped_server_that_answers_stays_where_gone_does_not_bind(#[case] free: bool, #[case] ready: bool) {
    let mut server = Server::new(row(1), START);
    server.hear(&digest(1, 9, 0), START, &mut Post::default());
    server.take(Note::Delisted, &judging(), &mut Post::default());
    let judging = Judging { gone_does_not_bind: free, ..judging() };
    assert_eq!(server.weigh(Picture::default(), &judging, START).ready(), ready);
}

#[rstest]
#[case::a_third_of_nine(9, 9, 3)]
#[case::all_within_the_cap(9, 2, 2)]
#[case::never_the_only_one(1, 1, 0)]
fn withdrawals_stop_at_a_third(#[case] servers: u32, #[case] faulty: u32, #[case] out: usize) {
    let fault = |id| if id <= faulty { Some(Fault::Errors) } else { None };
    let fleet = fleet((1..=servers).map(|id| Standing { fault: fault(id), ..standing(id) }));
    assert_eq!(fleet.granted().len(), out);
}

#[rstest]
fn the_last_warm_server_stays_while_the_rest_is_cold() {
    let cold = (2..10).map(|id| Standing { warm: false, cap: Some(0.2), ..standing(id) });
    let failing = Standing { fault: Some(Fault::Errors), severity: 2.0, ..standing(1) };
    assert!(fleet(cold.chain([failing])).granted().is_empty());
}

#[rstest]
#[case::sound(1.0)]
#[case::some_lost(0.9)]
fn damped_neighbours_send_no_more_to_a_cold_server(#[case] kept: f64) {
    let damped = (2..10).map(|id| Standing { weight: 0.1, ..standing(id) });
    let cold = Standing { warm: false, cap: Some(0.3), weight: 0.3, ..standing(1) };
    let mut fleet = fleet(damped.chain([cold]));
    fleet.weights(&BTreeSet::new(), kept, START);
    let share = fleet.told[&1] / fleet.told.values().sum::<f64>();
    assert!(share <= 0.3 * kept / 9.0 + 1e-9, "{share}");
}

#[rstest]
#[case::avoidance_common(0.5, 8, 8, START, true)]
#[case::few_warm_left(0.8, 3, 3, START, true)]
#[case::nothing_heard_since_the_start(1.0, 8, 8, 0, true)]
#[case::calm(0.95, 8, 8, START, false)]
#[case::a_few_lose_all(0.5, 8, 3, START, false)]
fn cold_servers_wait_while_proxies_avoid_warm_ones(
    #[case] kept: f64,
    #[case] warm: u32,
    #[case] losing: u32,
    #[case] heard: Nanos,
    #[case] waits: bool,
) {
    let error = |id| if id <= losing { 1.0 - kept } else { 0.0 };
    let warm = (1..=warm).map(|id| Standing { error: error(id), ..standing(id) });
    let cold = (20..24).map(|id| Standing { warm: false, cap: Some(0.5), ..standing(id) });
    let mut fleet = Fleet { heard, ..fleet(warm.chain(cold)) };
    fleet.weights(&BTreeSet::new(), kept, START);
    assert_eq!(fleet.told[&20] == 0.0, waits);
}

#[rstest]
#[case::regular(START, 1, false)]
#[case::gap(START, 3, true)]
#[case::first_reports(0, 1, true)]
fn a_gap_in_the_reports_makes_cold_servers_wait_sooner(
    #[case] heard: Nanos,
    #[case] gap: u64,
    #[case] waits: bool,
) {
    let warm = (1..=8).map(|id| Standing { error: 0.2, ..standing(id) });
    let cold = Standing { warm: false, cap: Some(0.5), ..standing(20) };
    let mut fleet = Fleet { cycle: SECOND, heard, ..fleet(warm.chain([cold])) };
    for now in [START, START + gap * SECOND] {
        let mut post = Post { now, ..Post::default() };
        fleet.take(Note::Met { tries: 9.0, lost: 2.0, time: 0.0, window: 0.0 }, &mut post);
    }
    fleet.weights(&BTreeSet::new(), 0.75, START + gap * SECOND);
    assert_eq!(fleet.told[&20] == 0.0, waits);
}

#[rstest]
#[case::most_still_listed(10, false)]
#[case::most_taken_away(30, true)]
fn cold_servers_wait_sooner_where_the_list_took_most_away(#[case] usual: u32, #[case] waits: bool) {
    let warm = (1..=8).map(|id| Standing { error: 0.1, ..standing(id) });
    let cold = Standing { warm: false, cap: Some(0.5), ..standing(40) };
    let mut fleet = fleet(warm.chain([cold]));
    fleet.usual.add(START, SECOND, f64::from(usual));
    fleet.weights(&BTreeSet::new(), 0.9, START);
    assert_eq!(fleet.told[&40] == 0.0, waits);
}

#[rstest]
fn cold_servers_serve_where_no_warm_one_is_left() {
    let cold = (1..5).map(|id| Standing { warm: false, cap: Some(0.2), ..standing(id) });
    let mut fleet = fleet(cold);
    fleet.weights(&BTreeSet::new(), 0.3, START);
    assert!(fleet.told.values().all(|&weight| weight > 0.0));
}

#[rstest]
fn further_tries_stop_while_failures_are_general_and_come_back_after() {
    let gate = Gate { operation: 0, amount: 1.0, further: RetryPolicy::IfNotExecuted };
    let mut fleet = Fleet { gates: vec![gate], ..fleet([]) };
    for (share, further) in [
        (0.15, RetryPolicy::IfNotExecuted),
        (0.3, RetryPolicy::Never),
        (0.15, RetryPolicy::Never),
        (0.05, RetryPolicy::IfNotExecuted),
    ] {
        fleet.set_gates(share, &mut Post::default());
        assert_eq!(fleet.gates[0].further, further);
    }
}

/// Levels after two cycles at these mean answer times.
fn levels(facts: &ControllerConfig, times: [Nanos; 2]) -> Vec<f64> {
    let mut fleet = Controller::new(facts).fleet;
    let mut post = Post::default();
    for (cycle, time) in times.into_iter().enumerate() {
        post.now = START + cycle as u64 * 10 * SECOND;
        fleet.take(Note::Met { tries: 50.0, lost: 0.0, time: 50.0 * time as f64, window: 0.0 }, &mut post);
        for operation in 0..2 {
            fleet.take(Note::Intake { operation, total: 25.0, lost: 0.0 }, &mut post);
        }
        fleet.set_levels(4.0, &mut post);
    }
    fleet.gates.iter().map(|gate| gate.amount).collect()
}

#[rstest]
fn late_answers_shed_what_bills_least_for_its_objective(facts: ControllerConfig) {
    let late = levels(&facts, [SECOND / 5, 3 * SECOND]);
    assert!(late[0] < 0.8 && late[1] == 1.0, "{late:?}");
}

#[rstest]
#[case::calm([SECOND / 5, SECOND / 5])]
#[case::first_reading_is_not_led([0, SECOND / 2])]
fn calm_answers_let_everything_in(facts: ControllerConfig, #[case] times: [Nanos; 2]) {
    assert_eq!(levels(&facts, times), [1.0, 1.0]);
}

#[rstest]
fn levels_stay_whole_where_they_are_not_heeded(mut facts: ControllerConfig) {
    facts.admission_mode = AdmissionMode::Ignored;
    assert_eq!(levels(&facts, [SECOND, 9 * SECOND]), [1.0, 1.0]);
}

#[rstest]
fn a_joiner_gets_the_whole_table_at_once(facts: ControllerConfig) {
    let orders = running(&facts).decide(START + 1, vec![joined(2)]);
    assert!(orders.contains(&Action::AssignTable { proxy: 2, table: WHOLE, operations: 0 }));
    assert!(!orders.iter().any(|order| matches!(order, Action::SetWeight { .. })));
}

#[rstest]
fn joins_are_spread_when_the_channel_is_full(mut facts: ControllerConfig) {
    facts.channel_capacity = 40.0;
    let orders = running(&facts).decide(START + 1, (2..30).map(joined).collect());
    let installs = orders.iter().filter(|order| matches!(order, Action::AssignTable { .. })).count();
    assert!(installs < 4, "{installs}");
}

#[rstest]
#[case::a_twentieth(1.05, false)]
#[case::a_fifth(1.2, true)]
fn a_weight_moves_by_more_than_a_tenth(facts: ControllerConfig, #[case] weight: f64, #[case] moves: bool) {
    let mut channel = running(&facts).channel;
    let want = Want { weight, ..channel.wants[&1] };
    channel.wants.insert(1, want);
    assert_eq!(!channel.differing(START).is_empty(), moves);
}

#[rstest]
#[case::ordinary(Readiness::Ready, false)]
#[case::drain(Readiness::Draining, true)]
fn only_what_is_urgent_leaves_before_the_next_batch(
    facts: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] at_once: bool,
) {
    let mut brain = running(&facts);
    let changed = Endpoint { readiness, weight: 3.0, ..row(1) };
    let news = vec![Event::Endpoints(WatchEvent::Delta(vec![changed]))];
    let orders = brain.decide(START + SECOND / 10, news);
    assert_eq!(orders.iter().any(|order| matches!(order, Action::SetWeight { server: 1, .. })), at_once);
    let later = brain.decide(START + 2 * SECOND, vec![]);
    assert_eq!(later.iter().any(|order| matches!(order, Action::SetWeight { server: 1, .. })), !at_once);
}

#[rstest]
fn messages_stay_under_their_limit(mut facts: ControllerConfig) {
    (facts.message_limit, facts.message_limit_window) = (4, 10 * SECOND);
    let mut brain = running(&facts);
    let drained = |server| Endpoint { readiness: Readiness::Draining, ..row(server) };
    let told = |tenth: u64, brain: &mut Controller| {
        let readiness = if tenth.is_multiple_of(2) { drained(1) } else { row(1) };
        let news = vec![Event::Endpoints(WatchEvent::Delta(vec![readiness]))];
        let orders = brain.decide(START + tenth * SECOND / 10, news);
        orders.iter().any(|order| matches!(order, Action::Exclude { .. } | Action::SetWeight { .. }))
    };
    let messages = (1..60).filter(|&tenth| told(tenth, &mut brain)).count();
    assert!((1..4).contains(&messages), "{messages}");
}

#[rstest]
#[case::answered(4, 1, 0.0)]
#[case::three_of_four_are_out(1, 1, 700.0)]
#[case::taken_for_lost(1, 13, 0.0)]
fn what_is_not_answered_still_waits(
    facts: ControllerConfig,
    #[case] answers: ProxyId,
    #[case] after: u64,
    #[case] waiting: f64,
) {
    let mut pacing = Controller::new(&facts).channel.pacing;
    let due = START + 20 * SECOND;
    pacing.fenced.insert(
        1,
        Fence { at: START, lines: 1_200.0, ahead: 1_200.0, messages: 4, open: (0..4).collect(), due },
    );
    (0..answers).for_each(|proxy| pacing.confirmed(proxy, 1, START));
    assert!((pacing.waiting(START + after * SECOND) - waiting).abs() < 1e-6);
}

#[rstest]
fn an_answer_counts_once_and_for_all_that_was_sent_before(facts: ControllerConfig) {
    let mut pacing = Controller::new(&facts).channel.pacing;
    let mut book = |at: u64, proxies: &[ProxyId]| {
        let mut post = Post { now: START + at, ..Post::default() };
        pacing.book(1_000.0, proxies.iter().copied().collect(), &mut post);
        post.orders.len()
    };
    // What goes out in one reply is one message a proxy, with one mark.
    assert_eq!((book(0, &[1, 2]), book(0, &[2, 3]), book(1, &[1, 2])), (1, 0, 1));
    let open = |pacing: &Pacing| pacing.fenced.values().map(|fence| fence.open.len()).collect::<Vec<_>>();
    assert_eq!(
        (open(&pacing), pacing.fenced[&1].lines, pacing.fenced[&1].messages),
        (vec![3, 2], 2_000.0, 3)
    );
    // Said twice, by one that owes nothing, and of a mark that there is not.
    [(1, 1), (1, 1), (9, 1), (2, 7)]
        .into_iter()
        .for_each(|(proxy, mark)| pacing.confirmed(proxy, mark, START));
    assert_eq!(open(&pacing), [2, 2]);
    pacing.confirmed(2, 2, START);
    assert_eq!(open(&pacing), [1], "messages leave one after another: the first ones have left");
    pacing.left(1);
    assert_eq!(open(&pacing), [0]);
}

#[rstest]
fn newcomers_alone_are_told_again_what_is_shunned(mut facts: ControllerConfig) {
    (facts.proxy_count, facts.channel_capacity) = (200, 5_000.0);
    let mut brain = Controller::new(&facts);
    let drained = (51..=100).map(|id| Endpoint { readiness: Readiness::Draining, ..row(id) });
    // All others are cold: no small table can stand in.
    let cold = (1..=50).map(|id| Endpoint { started_at: START, ..row(id) });
    brain.decide(START, vec![listed(cold.chain(drained))]);
    // No room for whole tables in time: all wait, and are told what is shunned.
    let full = |brain: &mut Controller, at: u64| {
        brain.channel.pacing.fenced.clear();
        (brain.channel.pacing.waiting, brain.channel.pacing.at) = (4_000.0 * JOIN_ROOM, START + at);
    };
    full(&mut brain, 1);
    brain.decide(START + 1, (0..20).map(joined).collect());
    assert_eq!(brain.channel.pacing.waiting, 2_000.0 + 20.0 * (5.0 + 1.0 + 50.0));
    for at in 2..20 {
        full(&mut brain, at);
        let proxy = 20 + at as ProxyId;
        let orders = brain.decide(START + at, vec![joined(proxy)]);
        let shunned = orders.iter().filter(|order| matches!(order, Action::Exclude { on: true, .. })).count();
        assert_eq!((shunned, brain.channel.pacing.waiting), (50, 2_000.0 + 5.0 + 1.0 + 50.0), "{at}");
        let fence = brain.channel.pacing.fenced.values().next_back().unwrap();
        assert!(fence.open.iter().eq([&proxy]), "{:?}", fence.open);
    }
}

#[rstest]
fn a_whole_table_goes_ahead_of_what_a_newcomer_is_to_shun(facts: ControllerConfig) {
    let mut brain = running(&facts);
    let drained = Endpoint { readiness: Readiness::Draining, ..row(4) };
    brain.decide(START + 1, vec![Event::Endpoints(WatchEvent::Delta(vec![drained]))]);
    let orders = answered(&mut brain, START + SECOND, vec![joined(7)]);
    let installed = |order: &Action| matches!(order, Action::AssignTable { proxy: 7, .. });
    assert!(orders.iter().any(installed) && !orders.iter().any(|o| matches!(o, Action::Exclude { .. })));
}

#[rstest]
fn what_a_proxy_that_left_did_not_answer_waits_no_more(facts: ControllerConfig) {
    let mut channel = running(&facts).channel;
    channel.pacing.fenced.insert(
        9,
        Fence { at: START, lines: 900.0, ahead: 900.0, messages: 1, open: [1].into(), due: START },
    );
    channel.take(Note::Left(1), &mut Post { now: START, ..Post::default() });
    assert!(channel.pacing.waiting(START + SECOND) < 1.0);
}

#[rstest]
#[case::no_small_table_can_stand_in(START, 0)]
#[case::small_tables_stand_in(0, 20)]
fn whole_tables_leave_room_while_a_rule_is_owed_lines(
    facts: ControllerConfig,
    #[case] started_at: Nanos,
    #[case] small: usize,
) {
    let mut brain = large(facts, 400, 40);
    brain.channel.members.values_mut().take(20).for_each(|member| member.bound = Some(WHOLE));
    brain.channel.members.values_mut().skip(20).for_each(|member| member.bound = None);
    (brain.channel.pacing.waiting, brain.channel.pacing.at) =
        (brain.channel.pacing.room / 2.0, START + SECOND);
    let drained = (1..=200).map(|id| Endpoint { readiness: Readiness::Draining, ..row(id) });
    let others = (201..=400).map(|id| Endpoint { started_at, ..row(id) });
    let news = vec![Event::Endpoints(WatchEvent::Delta(drained.chain(others).collect()))];
    let orders = answered(&mut brain, START + SECOND, news);
    let installed = |order: &&Action| matches!(order, Action::AssignTable { .. });
    assert!(!orders.iter().any(|order| matches!(order, Action::AssignTable { table: WHOLE, .. })));
    if small == 0 {
        // Drained servers leave the tables before joiners are told to shun them.
        assert!(matches!(orders[0], Action::SetWeight { table: WHOLE, weight: 0.0, .. }), "{:?}", orders[0]);
        assert_eq!(orders.iter().filter(installed).count(), 0);
    } else {
        // Newcomers get theirs first, in place of 200 lines each.
        assert!(orders.iter().filter(installed).count() >= small, "{orders:?}");
        assert!(!orders.iter().any(|order| matches!(order, Action::Exclude { .. })));
    }
}

#[rstest]
fn a_told_drain_binds_after_the_server_is_gone() {
    let judging = Judging { gone_does_not_bind: true, ..judging() };
    let mut server = Server::new(row(1), START);
    server.hear(&digest(1, 9, 0), START, &mut Post::default());
    for readiness in [Readiness::Draining, Readiness::Removed] {
        server.take(Note::Listed(Endpoint { readiness, ..row(1) }), &judging, &mut Post::default());
    }
    let standing = server.weigh(Picture::default(), &judging, START);
    assert!(standing.binds && !standing.ready());
}

/// An instance at full size: so many servers and proxies of a channel that takes a dozen whole tables.
fn large(mut facts: ControllerConfig, servers: u32, proxies: ProxyId) -> Controller {
    (facts.channel_capacity, facts.lines_per_s) = (f64::from(servers) * 12.0, f64::from(servers) * 8.0);
    let mut brain = Controller::new(&facts);
    brain.decide(START, vec![listed((1..=servers).map(row))]);
    brain.decide(START + 1, (0..proxies).map(joined).collect());
    brain
}

/// Decides, and has all that was ordered answered.
fn answered(brain: &mut Controller, now: Nanos, events: Vec<Event>) -> Vec<Action> {
    brain.channel.pacing.fenced.clear();
    brain.decide(now, events)
}

/// Lines that orders put into the channel, counted as the wire tells; `users` are those of each table before.
fn lines(orders: &[Action], users: &BTreeMap<TableId, usize>, held: &BTreeMap<TableId, usize>) -> usize {
    let mut touched: BTreeMap<TableId, usize> = BTreeMap::new();
    let mut installed = 0;
    for order in orders {
        match order {
            Action::AssignTable { table, .. } => {
                installed += held.get(table).copied().unwrap_or_default() + 9
            }
            Action::SetWeight { table, .. } | Action::LimitAdmission { table: Some(table), .. } => {
                *touched.entry(*table).or_default() += 1;
            }
            _ => {}
        }
    }
    let told =
        touched.iter().map(|(table, lines)| users.get(table).copied().unwrap_or_default() * (lines + 6));
    installed + told.sum::<usize>()
}

/// Proxies on each table.
fn users(brain: &Controller) -> BTreeMap<TableId, usize> {
    let mut users = BTreeMap::new();
    for table in brain.channel.members.values().filter_map(|member| member.bound) {
        *users.entry(table).or_default() += 1;
    }
    users
}

/// Servers on each table.
fn held(brain: &Controller) -> BTreeMap<TableId, usize> {
    let mut held = BTreeMap::new();
    for ((table, _), _) in brain.channel.told.iter().filter(|(_, weight)| **weight > 0.0) {
        *held.entry(*table).or_default() += 1;
    }
    held
}

#[rstest]
#[case::drained_at_once(Readiness::Draining, 0)]
#[case::restarted_at_once(Readiness::Ready, START)]
fn many_changes_at_once_go_in_pieces_that_the_channel_takes(
    facts: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] started_at: Nanos,
) {
    let mut brain = large(facts, 400, 100);
    brain.channel.members.values_mut().for_each(|member| member.bound = Some(WHOLE));
    let rows = (1..=200).map(|id| Endpoint { readiness, started_at, ..row(id) });
    let mut news = vec![Event::Endpoints(WatchEvent::Delta(rows.collect()))];
    let (mut waiting, mut told) = (400.0 * 12.0 * JOIN_ROOM, 0);
    for tenth in 1..200 {
        waiting = f64::max(waiting - 320.0, 0.0);
        let before = users(&brain);
        let orders = answered(&mut brain, START + tenth * SECOND / 10, std::mem::take(&mut news));
        waiting += lines(&orders, &before, &held(&brain)) as f64;
        assert!(waiting <= 4_800.0, "{waiting}");
        told += orders.iter().filter(|order| matches!(order, Action::SetWeight { .. })).count();
    }
    assert!(told >= 200, "{told}");
}

/// Proxies that were kept apart, each on its small table.
fn apart(facts: ControllerConfig) -> Channel {
    let mut channel = large(ControllerConfig { proxy_count: 40, ..facts }, 120, 20).channel;
    let mut post = Post { now: START + SECOND, ..Post::default() };
    channel.pacing.fenced.clear();
    for note in [Note::Apart(true), Note::Flush] {
        channel.take(note, &mut post);
    }
    channel
}

#[rstest]
#[case::refused_at_once(0.2, true)]
#[case::a_jam_answers_late(3.0, false)]
fn losses_at_most_servers_keep_proxies_apart_unless_answers_are_late(#[case] slow: f64, #[case] kept: bool) {
    let mut fleet = fleet((1..=10).map(|id| Standing { error: 0.5, ..standing(id) }));
    let post = &mut Post { now: START, ..Post::default() };
    fleet.take(Note::Met { tries: 90.0, lost: 45.0, time: 45.0 * slow * SECOND as f64, window: 0.0 }, post);
    fleet.keep_apart(0.5, post);
    assert_eq!(fleet.apart_until > START, kept);
}

#[rstest]
fn kept_apart_few_proxies_share_few_servers_and_supervisors_share_none(mut facts: ControllerConfig) {
    facts.supervisor_count = 2;
    let [ours, theirs] =
        [0, 1].map(|supervisor| apart(ControllerConfig { supervisor_index: supervisor, ..facts.clone() }));
    let servers = |channel: &Channel| channel.parts.iter().map(|part| part.1).collect::<BTreeSet<_>>();
    assert!(servers(&ours).is_disjoint(&servers(&theirs)));
    for member in ours.members.values() {
        let lines = ours.parts.iter().filter(|part| part.0 == member.table).count();
        let sharing = ours.members.values().filter(|other| other.table == member.table).count();
        assert!(member.bound == Some(member.table) && (3..13).contains(&lines) && sharing < 5);
    }
}

#[rstest]
fn a_small_table_that_lost_its_servers_is_refilled_alone(facts: ControllerConfig) {
    let mut channel = apart(facts);
    let before = channel.parts.clone();
    let (table, post) = (WHOLE + 2, &mut Post { now: START + 2 * SECOND, ..Post::default() });
    for &(_, server) in before.iter().filter(|part| part.0 == table) {
        channel.take(Note::Want(server, Want { urgent: true, ..Want::default() }), post);
    }
    for note in [Note::Apart(true), Note::Flush] {
        channel.take(note, post);
    }
    let live = channel.told.iter().filter(|((at, _), weight)| *at == table && **weight > 0.0).count();
    assert!(live >= 2, "{live}");
    let others = |parts: &BTreeSet<(TableId, ServerId)>| parts.iter().filter(|part| part.0 != table).count();
    assert_eq!(others(&channel.parts), others(&before));
}

#[rstest]
#[case::ours(1_000, 1)]
#[case::the_other_supervisors(1_001, 0)]
fn a_server_first_listed_while_apart_goes_to_one_small_table(
    mut facts: ControllerConfig,
    #[case] server: ServerId,
    #[case] tables: usize,
) {
    (facts.supervisor_count, facts.drain_grace) = (2, 10 * SECOND);
    let mut channel = apart(facts);
    let post = &mut Post { now: START + 2 * SECOND, ..Post::default() };
    let cold = Want { weight: 0.2, urgent: true, ..Want::default() };
    channel.pacing.fenced.clear();
    for note in [Note::Want(server, cold), Note::Apart(true), Note::Flush] {
        channel.take(note, post);
    }
    let small = |(&(table, id), weight): (&(TableId, ServerId), &f64)| {
        table != WHOLE && id == server && *weight <= cold.weight * SMALL_COLD
    };
    assert_eq!(channel.told.iter().filter(|line| small(*line)).count(), tables);
}

#[rstest]
fn small_tables_stand_until_the_last_proxy_has_left_them(facts: ControllerConfig) {
    let mut channel = apart(facts);
    let post = &mut Post { now: START + 40 * SECOND, ..Post::default() };
    (channel.pacing.waiting, channel.pacing.at) = (channel.pacing.room / 2.5, post.now);
    for note in [Note::Apart(false), Note::Flush] {
        channel.take(note, post);
    }
    assert!(channel.members.values().any(|member| member.bound != Some(WHOLE)));
    for table in channel.members.values().filter_map(|member| member.bound) {
        assert!(channel.told.iter().any(|((at, _), weight)| *at == table && *weight > 0.0));
    }
}

#[rstest]
fn a_hundred_joiners_get_a_large_table_in_turn(facts: ControllerConfig) {
    let mut brain = large(facts, 400, 100);
    let mut installed = brain.channel.members.values().filter(|member| member.bound.is_some()).count();
    assert!((1..12).contains(&installed), "{installed}");
    for tenth in 1..150 {
        let orders = answered(&mut brain, START + tenth * SECOND / 10, vec![]);
        installed += orders.iter().filter(|order| matches!(order, Action::AssignTable { .. })).count();
    }
    assert_eq!(installed, 100);
}

#[rstest]
fn identical_events_give_identical_orders(facts: ControllerConfig) {
    let play = || {
        let mut brain = running(&facts);
        let heard =
            |at: u64| (1..5).map(move |id| Event::EndpointReport(digest(id, 9, (at % id as u64) as u32)));
        (1..40).map(|at| brain.decide(START + at * SECOND, heard(at).collect())).collect::<Vec<_>>()
    };
    assert_eq!(play(), play());
}

#[rstest]
fn useless_events_give_no_order_that_names_them(facts: ControllerConfig) {
    let events = vec![
        Event::EndpointReport(digest(99, 5, 5)),
        Event::EndpointReport(digest(1, 0, 0)),
        Event::Left { proxy: 77 },
        Event::DemandReport { proxy: 1, operation: 9, total: 5, failures: 5, window: 0 },
        Event::Acknowledged { proxy: 77, serial: u64::MAX, elapsed: Nanos::MAX },
        Event::HealthChecked {
            server: 99,
            outcome: HealthCheckOutcome::Other,
            elapsed: 0,
            load: vec![f64::NAN],
        },
        Event::TimerFired { token: u64::MAX },
    ];
    assert_eq!(running(&facts).decide(START + 2 * SECOND, events), []);
}

fn remembered(out_for: Nanos, silent: bool) -> Snapshot {
    let learned = |server| ServerSnapshot {
        server,
        attempts: 40.0,
        responses: 60.0,
        response_time_sum: 60.0 * SECOND as f64 / 5.0,
        recovery: 1.0,
        ejection_time: 2 * FIRST_TERM,
        ..ServerSnapshot::default()
    };
    let sick = ServerSnapshot {
        health: 2,
        failures: 40.0,
        ejected_for: Some(out_for),
        unresponsive: silent,
        ..learned(3)
    };
    let slow = ServerSnapshot { response_time_sum: 60.0 * SECOND as f64 / 2.0, ..learned(4) };
    let servers = vec![learned(1), learned(2), sick, slow, learned(5), learned(6)];
    Snapshot { servers, attempts: 240.0, failures: 10.0, usual_weight: 6.0, ..Snapshot::default() }
}

/// Weights of the first table that a new instance tells, by server.
fn first_table(facts: &ControllerConfig, away: Nanos) -> BTreeMap<ServerId, f64> {
    let mut brain = Controller::new(facts);
    let events = vec![
        Event::Endpoints(WatchEvent::Cached((1..7).map(row).collect())),
        Event::Restored { snapshot: remembered(SECOND, false), age: away },
        Event::Joined { proxy: 0, locality: 0, rate: 10.0, is_new: true },
    ];
    let lines = brain.decide(START, events).into_iter().filter_map(|order| match order {
        Action::SetWeight { table: WHOLE, server, weight } => Some((server, weight)),
        _ => None,
    });
    lines.collect()
}

#[rstest]
fn what_was_known_before_a_restart_counts_by_its_age(facts: ControllerConfig) {
    let told = first_table(&facts, 2 * SECOND);
    assert!(!told.contains_key(&3) && told.len() == 5, "{told:?}");
    assert!(told[&4] < told[&1], "{told:?}");
    // Its term of 10 s is over by then: it is back at a tenth.
    let told = first_table(&facts, 15 * SECOND);
    assert_eq!(told[&3], RETURN_LEVEL);
    // A week later all are as if nothing were known.
    let told = first_table(&facts, 7 * 24 * 3600 * SECOND);
    assert!(told.len() == 6 && told.values().all(|weight| *weight == told[&1]), "{told:?}");
}

#[rstest]
fn a_recalled_server_returns_by_its_answers_and_what_is_remembered_is_told_on(facts: ControllerConfig) {
    let mut brain = Controller::new(&facts);
    let events = vec![
        Event::Endpoints(WatchEvent::Cached((1..7).map(row).collect())),
        Event::Restored { snapshot: remembered(SECOND, true), age: SECOND },
    ];
    brain.decide(START, events);
    let now = START + 3 * SECOND;
    let out = |brain: &mut Controller, now| brain.remember(now).servers[2].ejected_for;
    assert_eq!(out(&mut brain, now), Some(5 * SECOND));
    // Two restarts in a row: what the second one is told is older and weighs less, not more.
    let told = brain.remember(now);
    assert!(told.servers[0].attempts < 20.0 && told.attempts < 120.0, "{told:?}");
    brain.decide(now, vec![Event::EndpointReport(digest(3, 9, 0))]);
    assert_eq!(out(&mut brain, now + SECOND), None);
}

#[rstest]
fn a_server_gone_for_long_is_forgotten_and_one_still_told_is_not(facts: ControllerConfig) {
    let mut brain = Controller::new(&facts);
    brain.decide(START, vec![Event::Endpoints(WatchEvent::Full(vec![row(1), row(2), row(3)]))]);
    brain.channel.told.insert((WHOLE, 3), 1.0);
    let gone = |server| Endpoint { readiness: Readiness::Removed, ..row(server) };
    brain.decide(START + 1, vec![Event::Endpoints(WatchEvent::Delta(vec![gone(2), gone(3)]))]);
    brain.channel.told.insert((WHOLE, 3), 1.0);
    brain.decide(START + GONE_KEPT, Vec::new());
    assert_eq!(brain.servers.len(), 3);
    brain.channel.told.insert((WHOLE, 3), 1.0);
    brain.decide(START + GONE_KEPT + 2, Vec::new());
    assert_eq!(brain.servers.keys().copied().collect::<Vec<_>>(), [1, 3]);
    assert!(!brain.channel.wants.contains_key(&2) && !brain.fleet.standings.contains_key(&2));
    brain.decide(START + GONE_KEPT + 3, vec![Event::Endpoints(WatchEvent::Delta(vec![row(2)]))]);
    assert!(brain.servers.contains_key(&2), "listed again it is known again");
}

#[rstest]
#[case::one_operation_spared(0, true)]
#[case::all_alike(12, false)]
fn failures_that_spare_an_operation_are_not_general(
    facts: ControllerConfig,
    #[case] lost: u32,
    #[case] spared: bool,
) {
    let mut brain = Controller::new(&facts);
    brain.decide(START, vec![Event::Endpoints(WatchEvent::Full((1..=5).map(row).collect()))]);
    let window = SECOND;
    let intake =
        |operation, lost| Event::DemandReport { proxy: 1, operation, total: 30, failures: lost, window };
    let mut events = vec![intake(0, 12), intake(1, lost)];
    events.extend((1..=5).map(|server| Event::EndpointReport(digest(server, 20, 10))));
    brain.decide(START + SECOND, events);
    brain.decide(START + SECOND + 1, Vec::new());
    assert_eq!((brain.fleet.apart_until == 0, brain.fleet.general), (spared, !spared));
}

#[rstest]
fn changes_gather_longer_where_heads_would_fill_the_channel(facts: ControllerConfig) {
    // 300 proxies, 6 lines of head each, at 1,000 lines a second: 1.8 s of the channel for heads alone.
    // The grace is long enough for all of them on the whole table.
    let facts =
        ControllerConfig { channel_capacity: 9_000.0, proxy_count: 300, drain_grace: 10 * SECOND, ..facts };
    let mut brain = Controller::new(&facts);
    let joined = |proxy| Event::Joined { proxy, locality: 0, rate: 1.0, is_new: true };
    let mut events = vec![Event::Endpoints(WatchEvent::Full(vec![row(1), row(2)]))];
    events.extend((0..300).map(joined));
    // Lines of tables that nobody uses yet cost nothing.
    let told = |orders: &[Action]| {
        orders.iter().any(|order| matches!(order, Action::SetWeight { table: WHOLE, .. }))
    };
    assert!(told(&brain.decide(START, events)));
    let row = |at: u64| Endpoint { started_at: START - 20 * SECOND, ..row(at as ServerId) };
    for at in 1..10 {
        // A new warm server each second; nothing waits in the channel.
        brain.channel.pacing.waiting = 0.0;
        brain.channel.pacing.fenced.clear();
        let orders =
            brain.decide(START + at * SECOND, vec![Event::Endpoints(WatchEvent::Delta(vec![row(2 + at)]))]);
        assert_eq!(told(&orders), at % 5 == 0, "after {at} s");
    }
}

#[rstest]
#[case::small(30, 5.0)]
#[case::large(600, 8.0)]
fn a_larger_fleet_takes_more_answers_owed_for_silence(#[case] servers: u32, #[case] owed: f64) {
    let mut post = Post { now: START, ..Post::default() };
    fleet((1..=servers).map(standing)).ask_all(vec![1], &mut post);
    let Some((_, Note::Weigh(picture))) = post.next() else { panic!("no picture") };
    assert_eq!(picture.silence.round(), owed);
}

#[rstest]
fn joiners_have_their_turn_between_changes_and_nothing_stands_behind_a_long_queue(
    mut facts: ControllerConfig,
) {
    (facts.proxy_count, facts.channel_capacity, facts.drain_grace) = (400, 60_000.0, 30 * SECOND);
    let mut brain = Controller::new(&facts);
    brain.decide(START, vec![listed((1..=100).map(row))]);
    let prompt = brain.channel.pacing.prompt;
    brain.decide(START + 1, (0..400).map(joined).collect());
    let (mut told, mut most) = (0, 0.0);
    for at in 1..120u32 {
        // A server drains every second; all that is sent is answered as the channel empties.
        brain.channel.pacing.fenced.clear();
        let drained = Endpoint { readiness: Readiness::Draining, ..row(1 + at / 4) };
        let now = START + Nanos::from(at) * SECOND / 4;
        let before = brain.channel.pacing.waiting(now);
        let orders = brain.decide(now, vec![Event::Endpoints(WatchEvent::Delta(vec![drained]))]);
        let lines = orders.iter().filter(|order| matches!(order, Action::SetWeight { .. })).count();
        assert!(lines == 0 || before <= prompt, "{lines} behind {before}");
        told += lines;
        let sent = brain.channel.pacing.waiting - before;
        most = f64::max(most, if lines == 0 { sent } else { 0.0 });
    }
    let bound = brain.channel.members.values().filter(|member| member.bound.is_some()).count();
    // 30 s of 1,000 lines; a whole table takes 109. Half of that goes to joiners at the least.
    assert!(bound >= 130, "{bound} have a table");
    assert!(told >= 20, "{told} drains told");
    assert!(most <= prompt, "{most} at once");
}

/// A channel at a tenth of its pace: what would travel at the told pace still waits, and shows once most answers are late.
#[rstest]
#[case::in_time(0, 6_000.0 - 2_000.0 - 200.0)]
#[case::late(2, 6_000.0)]
fn a_slow_channel_shows_by_answers_that_are_late(
    facts: ControllerConfig,
    #[case] after: u64,
    #[case] waiting: f64,
) {
    let mut pacing =
        Controller::new(&ControllerConfig { channel_capacity: 20_000.0, ..facts }).channel.pacing;
    let mut post = Post { now: START, ..Post::default() };
    pacing.at = START;
    pacing.book(6_000.0, (0..6).collect(), &mut post);
    let now = START + 6 * SECOND + after * SECOND;
    if after == 0 {
        (0..2).for_each(|proxy| pacing.confirmed(proxy, 1, START));
    }
    assert_eq!(pacing.waiting(now), waiting);
}

/// Whoever is bound to a table that still holds a server is told to shun it too: that must not go unbooked.
#[rstest]
fn nothing_is_shunned_before_it_has_left_the_tables(mut facts: ControllerConfig) {
    (facts.proxy_count, facts.channel_capacity, facts.drain_grace) = (100, 2_000.0, SECOND / 10);
    let mut brain = Controller::new(&facts);
    // All are cold: no small table can stand in.
    let cold = |id| Endpoint { started_at: START, ..row(id) };
    brain.decide(START, vec![listed((1..=60).map(cold))]);
    brain.decide(START + 1, (0..60).map(joined).collect());
    brain.channel.members.values_mut().take(40).for_each(|member| member.bound = Some(WHOLE));
    let drained = (1..=50).map(|id| Endpoint { readiness: Readiness::Draining, ..cold(id) });
    let mut news = vec![Event::Endpoints(WatchEvent::Delta(drained.collect()))];
    let (mut left, mut shunned) = (BTreeSet::new(), 0);
    for tenth in 1..100 {
        let orders = answered(&mut brain, START + tenth * SECOND / 10, std::mem::take(&mut news));
        for order in orders {
            match order {
                Action::SetWeight { table: WHOLE, server, weight: 0.0 } => drop(left.insert(server)),
                Action::Exclude { server, on: true } => {
                    assert!(left.contains(&server), "{server} is still in the table");
                    shunned += 1;
                }
                _ => {}
            }
        }
    }
    assert!(left.len() == 50 && shunned > 0, "{left:?}, {shunned}");
}
