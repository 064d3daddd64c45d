use rstest::rstest;

use super::*;
use crate::tables::{TableLine, FULL_TABLE};
use crate::testing::*;

fn thresholds() -> Thresholds {
    Thresholds {
        slow_start_capacity: 0.2,
        slow_start_duration: 10 * SECOND,
        slow_start_stretch: 1.0,
        feedback_delay: 2 * SECOND,
        capacities_listed: false,
        kind_power: FACTOR_POWER,
        removal_is_advisory: false,
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

fn standing(server: ServerId) -> ServerStatus {
    ServerStatus {
        endpoint: endpoint(server),
        must_exclude: false,
        warm: true,
        ejected: false,
        fault: None,
        severity: 0.0,
        weight: 1.0,
        listed_weight: 1.0,
        slow_start_limit: None,
        response_time: None,
        recent_responses: (0.0, 0.0),
        error_rate: 0.0,
    }
}

fn fleet(standings: impl IntoIterator<Item = ServerStatus>) -> Fleet {
    Fleet {
        standings: standings.into_iter().map(|s| (s.endpoint.server, s)).collect(),
        avoided_from: 0.4,
        cycle: 10 * SECOND,
        heard: START,
        blind_part: BLIND_PART,
        patience: SECOND as f64,
        ..Fleet::default()
    }
}

#[rstest]
#[case(vec![], 0.0)]
#[case(vec![3.0, 1.0, 2.0], 2.0)]
fn median_takes_the_middle(#[case] values: Vec<f64>, #[case] middle: f64) {
    assert_eq!(median(values), middle);
}

#[rstest]
fn a_sum_fades_when_read() {
    let mut sum = DecayingSum::default();
    sum.add(START, SECOND, 2.0);
    assert!((sum.read(START + SECOND, SECOND) - 2.0 / std::f64::consts::E).abs() < 1e-9);
}

#[rstest]
fn a_server_absent_from_a_whole_list_leaves_the_table(config: ControllerConfig) {
    let orders = running(&config).decide(START + SECOND / 10, vec![listed((1..4).map(endpoint))]);
    assert!(orders.contains(&Action::SetWeight { table: 0, server: 4, weight: 0.0 }));
}

#[rstest]
fn a_failed_list_call_is_tried_again_within_the_time_after_which_we_are_deemed_told(
    mut config: ControllerConfig,
) {
    config.polls_endpoints = true;
    let mut brain = Controller::new(&config);
    assert!(brain.decide(START, vec![]).contains(&Action::WatchEndpoints { on: true }));
    for _ in 0..9 {
        let orders = brain.decide(START, vec![Event::Endpoints(WatchEvent::Failed)]);
        let again = |o: &&Action| matches!(o, Action::SetTimer { delay: span, token: LISTEN_AGAIN } if *span <= config.poll_interval);
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
    let mut server = Server::new(endpoint(1), START);
    server.hear(&digest(1, tries, lost), START, &mut Mailboxes::default());
    assert_eq!(server.weigh(FleetStatistics::default(), &thresholds(), START).fault, fault);
}

#[rstest]
fn what_all_servers_lose_is_no_fault_of_one() {
    let mut server = Server::new(endpoint(1), START);
    server.hear(&digest(1, 40, 30), START, &mut Mailboxes::default());
    let picture = FleetStatistics { median_error_rate: 0.7, ..FleetStatistics::default() };
    assert_eq!(server.weigh(picture, &thresholds(), START).fault, None);
}

#[rstest]
fn errors_are_no_ones_fault_while_failures_are_general() {
    let mut server = Server::new(endpoint(1), START);
    server.hear(&digest(1, 40, 36), START, &mut Mailboxes::default());
    let picture = FleetStatistics { general_failure: true, ..FleetStatistics::default() };
    assert_eq!(server.weigh(picture, &thresholds(), START).fault, None);
}

#[rstest]
#[case::others_answer(30.0, 1, Some(Fault::Unresponsive))]
#[case::nothing_heard_of_anyone(0.0, 1, None)]
#[case::its_report_is_not_due(30.0, 20, None)]
fn silence_counts_while_others_are_heard_and_reports_are_due(
    #[case] answered: f64,
    #[case] round: u64,
    #[case] fault: Option<Fault>,
) {
    let mut server = Server::new(endpoint(1), START);
    server.felt_share = 0.25;
    let hush = (round * SECOND) as f64;
    let picture = FleetStatistics {
        responses: answered,
        max_report_gap: hush,
        weight_share: 0.25,
        ..FleetStatistics::default()
    };
    let standing = server.weigh(picture, &thresholds(), START + 10 * SECOND);
    assert_eq!(standing.fault, fault);
}

#[rstest]
#[case::silent_answers(Fault::Unresponsive, SECOND, false)]
#[case::failing_answers(Fault::Errors, SECOND, true)]
#[case::term_over(Fault::Errors, FIRST_TERM, false)]
fn a_withdrawn_server_returns_by_answer_or_term(
    #[case] fault: Fault,
    #[case] after: Nanos,
    #[case] still_out: bool,
) {
    let mut server = Server::new(endpoint(1), START);
    server.fault = Some(fault);
    server.handle(Message::Ejection(true), &thresholds(), &mut Mailboxes::at(START));
    server.hear(&digest(1, 4, 1), START + after, &mut Mailboxes::default());
    let standing = server.weigh(FleetStatistics::default(), &thresholds(), START + after);
    assert_eq!(standing.ejected, still_out);
    if !still_out {
        assert!((standing.weight - RETURN_LEVEL).abs() < 1e-9);
    }
}

#[rstest]
fn a_return_rises_only_over_clean_reports() {
    let mut server = Server::new(endpoint(1), START);
    server.come_back(START);
    let before = server.weigh(FleetStatistics::default(), &thresholds(), START + 3 * SECOND).weight;
    assert_eq!(before, RETURN_LEVEL);
    server.hear(&digest(1, 3, 0), START + 3 * SECOND, &mut Mailboxes::default());
    assert!(server.weigh(FleetStatistics::default(), &thresholds(), START + 4 * SECOND).weight > before);
}

#[rstest]
#[case::green(0.9, Health::Healthy)]
#[case::yellow(0.5, Health::Degraded)]
#[case::red(0.1, Health::Unhealthy)]
fn a_band_changes_after_its_dwell(#[case] goodness: f64, #[case] band: Health) {
    let mut server = Server::new(endpoint(1), START);
    server.settle_band(goodness, START);
    assert_eq!(server.band, Health::Healthy);
    server.settle_band(goodness, START + DWELL);
    assert_eq!(server.band, band);
}

#[rstest]
fn a_slow_server_gets_less_within_its_kind_and_no_less_than_the_bound() {
    let picture = FleetStatistics {
        median_response_time: 100.0,
        kind_response_time: 100.0,
        ..FleetStatistics::default()
    };
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
    let mut server = Server::new(endpoint(1), 0);
    let restarted = Endpoint { started_at: START, ..endpoint(1) };
    server.handle(Message::Listed(restarted), &thresholds(), &mut Mailboxes::at(START));
    let standing = server.weigh(FleetStatistics::default(), &thresholds(), START + age * SECOND);
    assert!((standing.weight - part).abs() < 1e-9);
    assert_eq!(standing.warm, part == 1.0);
}

#[rstest]
#[case::only_draining_binds(true, true)]
#[case::gone_binds(false, false)]
fn a_dropped_server_that_answers_stays_where_gone_does_not_bind(#[case] free: bool, #[case] ready: bool) {
    let mut server = Server::new(endpoint(1), START);
    server.hear(&digest(1, 9, 0), START, &mut Mailboxes::default());
    server.handle(Message::Removed, &thresholds(), &mut Mailboxes::default());
    let thresholds = Thresholds { removal_is_advisory: free, ..thresholds() };
    assert_eq!(server.weigh(FleetStatistics::default(), &thresholds, START).is_ready(), ready);
}

#[rstest]
#[case::a_third_of_nine(9, 9, 3)]
#[case::all_within_the_cap(9, 2, 2)]
#[case::never_the_only_one(1, 1, 0)]
fn withdrawals_stop_at_a_third(#[case] servers: u32, #[case] faulty: u32, #[case] out: usize) {
    let fault = |id| if id <= faulty { Some(Fault::Errors) } else { None };
    let fleet = fleet((1..=servers).map(|id| ServerStatus { fault: fault(id), ..standing(id) }));
    assert_eq!(fleet.granted().len(), out);
}

#[rstest]
fn the_last_warm_server_stays_while_the_rest_is_cold() {
    let cold = (2..10).map(|id| ServerStatus { warm: false, slow_start_limit: Some(0.2), ..standing(id) });
    let failing = ServerStatus { fault: Some(Fault::Errors), severity: 2.0, ..standing(1) };
    assert!(fleet(cold.chain([failing])).granted().is_empty());
}

#[rstest]
#[case::sound(1.0)]
#[case::some_lost(0.9)]
fn damped_neighbours_send_no_more_to_a_cold_server(#[case] kept: f64) {
    let damped = (2..10).map(|id| ServerStatus { weight: 0.1, ..standing(id) });
    let cold = ServerStatus { warm: false, slow_start_limit: Some(0.3), weight: 0.3, ..standing(1) };
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
    let warm = (1..=warm).map(|id| ServerStatus { error_rate: error(id), ..standing(id) });
    let cold = (20..24).map(|id| ServerStatus { warm: false, slow_start_limit: Some(0.5), ..standing(id) });
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
    let warm = (1..=8).map(|id| ServerStatus { error_rate: 0.2, ..standing(id) });
    let cold = ServerStatus { warm: false, slow_start_limit: Some(0.5), ..standing(20) };
    let mut fleet = Fleet { cycle: SECOND, heard, ..fleet(warm.chain([cold])) };
    for now in [START, START + gap * SECOND] {
        let mut mailboxes = Mailboxes::at(now);
        fleet.handle(
            Message::Observed { attempts: 9.0, failures: 2.0, time: 0.0, window: 0.0 },
            &mut mailboxes,
        );
    }
    fleet.weights(&BTreeSet::new(), 0.75, START + gap * SECOND);
    assert_eq!(fleet.told[&20] == 0.0, waits);
}

#[rstest]
#[case::most_still_listed(10, false)]
#[case::most_taken_away(30, true)]
fn cold_servers_wait_sooner_where_the_list_took_most_away(#[case] usual: u32, #[case] waits: bool) {
    let warm = (1..=8).map(|id| ServerStatus { error_rate: 0.1, ..standing(id) });
    let cold = ServerStatus { warm: false, slow_start_limit: Some(0.5), ..standing(40) };
    let mut fleet = fleet(warm.chain([cold]));
    fleet.usual.add(START, SECOND, f64::from(usual));
    fleet.weights(&BTreeSet::new(), 0.9, START);
    assert_eq!(fleet.told[&40] == 0.0, waits);
}

#[rstest]
fn cold_servers_serve_where_no_warm_one_is_left() {
    let cold = (1..5).map(|id| ServerStatus { warm: false, slow_start_limit: Some(0.2), ..standing(id) });
    let mut fleet = fleet(cold);
    fleet.weights(&BTreeSet::new(), 0.3, START);
    assert!(fleet.told.values().all(|&weight| weight > 0.0));
}

#[rstest]
fn further_tries_stop_while_failures_are_general_and_come_back_after() {
    let gate = AdmissionLimit { operation: 0, limit: 1.0, retry_policy: RetryPolicy::IfNotExecuted };
    let mut fleet = Fleet { gates: vec![gate], ..fleet([]) };
    for (share, further) in [
        (0.15, RetryPolicy::IfNotExecuted),
        (0.3, RetryPolicy::Never),
        (0.15, RetryPolicy::Never),
        (0.05, RetryPolicy::IfNotExecuted),
    ] {
        fleet.set_gates(share, &mut Mailboxes::default());
        assert_eq!(fleet.gates[0].retry_policy, further);
    }
}

/// Levels after two cycles at these mean answer times.
fn levels(config: &ControllerConfig, times: [Nanos; 2]) -> Vec<f64> {
    let mut fleet = Controller::new(config).fleet;
    let mut mailboxes = Mailboxes::default();
    for (cycle, time) in times.into_iter().enumerate() {
        mailboxes.now = START + cycle as u64 * 10 * SECOND;
        fleet.handle(
            Message::Observed { attempts: 50.0, failures: 0.0, time: 50.0 * time as f64, window: 0.0 },
            &mut mailboxes,
        );
        for operation in 0..2 {
            fleet.handle(Message::Demand { operation, total: 25.0, failures: 0.0 }, &mut mailboxes);
        }
        fleet.set_levels(4.0, &mut mailboxes);
    }
    fleet.gates.iter().map(|gate| gate.limit).collect()
}

#[rstest]
fn late_answers_shed_what_bills_least_for_its_objective(config: ControllerConfig) {
    let late = levels(&config, [SECOND / 5, 3 * SECOND]);
    assert!(late[0] < 0.8 && late[1] == 1.0, "{late:?}");
}

#[rstest]
#[case::calm([SECOND / 5, SECOND / 5])]
#[case::first_reading_is_not_led([0, SECOND / 2])]
fn calm_answers_let_everything_in(config: ControllerConfig, #[case] times: [Nanos; 2]) {
    assert_eq!(levels(&config, times), [1.0, 1.0]);
}

#[rstest]
fn levels_stay_whole_where_they_are_not_heeded(mut config: ControllerConfig) {
    config.admission_mode = AdmissionMode::Ignored;
    assert_eq!(levels(&config, [SECOND, 9 * SECOND]), [1.0, 1.0]);
}

#[rstest]
fn a_told_drain_binds_after_the_server_is_gone() {
    let thresholds = Thresholds { removal_is_advisory: true, ..thresholds() };
    let mut server = Server::new(endpoint(1), START);
    server.hear(&digest(1, 9, 0), START, &mut Mailboxes::default());
    for readiness in [Readiness::Draining, Readiness::Removed] {
        server.handle(
            Message::Listed(Endpoint { readiness, ..endpoint(1) }),
            &thresholds,
            &mut Mailboxes::default(),
        );
    }
    let standing = server.weigh(FleetStatistics::default(), &thresholds, START);
    assert!(standing.must_exclude && !standing.is_ready());
}

#[rstest]
#[case::refused_at_once(0.2, true)]
#[case::a_jam_answers_late(3.0, false)]
fn losses_at_most_servers_keep_proxies_apart_unless_answers_are_late(#[case] slow: f64, #[case] kept: bool) {
    let mut fleet = fleet((1..=10).map(|id| ServerStatus { error_rate: 0.5, ..standing(id) }));
    let mailboxes = &mut Mailboxes::at(START);
    fleet.handle(
        Message::Observed { attempts: 90.0, failures: 45.0, time: 45.0 * slow * SECOND as f64, window: 0.0 },
        mailboxes,
    );
    fleet.keep_apart(0.5, mailboxes);
    assert_eq!(fleet.apart_until > START, kept);
}

#[rstest]
fn identical_events_give_identical_orders(config: ControllerConfig) {
    let play = || {
        let mut brain = running(&config);
        let heard =
            |at: u64| (1..5).map(move |id| Event::EndpointReport(digest(id, 9, (at % id as u64) as u32)));
        (1..40).map(|at| brain.decide(START + at * SECOND, heard(at).collect())).collect::<Vec<_>>()
    };
    assert_eq!(play(), play());
}

#[rstest]
fn useless_events_give_no_order_that_names_them(config: ControllerConfig) {
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
    assert_eq!(running(&config).decide(START + 2 * SECOND, events), []);
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
fn first_table(config: &ControllerConfig, away: Nanos) -> BTreeMap<ServerId, f64> {
    let mut brain = Controller::new(config);
    let events = vec![
        Event::Endpoints(WatchEvent::Cached((1..7).map(endpoint).collect())),
        Event::Restored { snapshot: remembered(SECOND, false), age: away },
        Event::Joined { proxy: 0, locality: 0, rate: 10.0, is_new: true },
    ];
    let lines = brain.decide(START, events).into_iter().filter_map(|order| match order {
        Action::SetWeight { table: FULL_TABLE, server, weight } => Some((server, weight)),
        _ => None,
    });
    lines.collect()
}

#[rstest]
fn what_was_known_before_a_restart_counts_by_its_age(config: ControllerConfig) {
    let told = first_table(&config, 2 * SECOND);
    assert!(!told.contains_key(&3) && told.len() == 5, "{told:?}");
    assert!(told[&4] < told[&1], "{told:?}");
    // Its term of 10 s is over by then: it is back at a tenth.
    let told = first_table(&config, 15 * SECOND);
    assert_eq!(told[&3], RETURN_LEVEL);
    // A week later all are as if nothing were known.
    let told = first_table(&config, 7 * 24 * 3600 * SECOND);
    assert!(told.len() == 6 && told.values().all(|weight| *weight == told[&1]), "{told:?}");
}

#[rstest]
fn a_recalled_server_returns_by_its_answers_and_what_is_remembered_is_told_on(config: ControllerConfig) {
    let mut brain = Controller::new(&config);
    let events = vec![
        Event::Endpoints(WatchEvent::Cached((1..7).map(endpoint).collect())),
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
fn a_server_gone_for_long_is_forgotten_and_one_still_told_is_not(config: ControllerConfig) {
    let mut brain = Controller::new(&config);
    brain
        .decide(START, vec![Event::Endpoints(WatchEvent::Full(vec![endpoint(1), endpoint(2), endpoint(3)]))]);
    brain.channel.sent.weights.insert(TableLine { table: FULL_TABLE, server: 3 }, 1.0);
    let gone = |server| Endpoint { readiness: Readiness::Removed, ..endpoint(server) };
    brain.decide(START + 1, vec![Event::Endpoints(WatchEvent::Delta(vec![gone(2), gone(3)]))]);
    brain.channel.sent.weights.insert(TableLine { table: FULL_TABLE, server: 3 }, 1.0);
    brain.decide(START + GONE_KEPT, Vec::new());
    assert_eq!(brain.servers.len(), 3);
    brain.channel.sent.weights.insert(TableLine { table: FULL_TABLE, server: 3 }, 1.0);
    brain.decide(START + GONE_KEPT + 2, Vec::new());
    assert_eq!(brain.servers.keys().copied().collect::<Vec<_>>(), [1, 3]);
    assert!(!brain.channel.desired_weights.contains_key(&2) && !brain.fleet.standings.contains_key(&2));
    brain.decide(START + GONE_KEPT + 3, vec![Event::Endpoints(WatchEvent::Delta(vec![endpoint(2)]))]);
    assert!(brain.servers.contains_key(&2), "listed again it is known again");
}

#[rstest]
#[case::one_operation_spared(0, true)]
#[case::all_alike(12, false)]
fn failures_that_spare_an_operation_are_not_general(
    config: ControllerConfig,
    #[case] lost: u32,
    #[case] spared: bool,
) {
    let mut brain = Controller::new(&config);
    brain.decide(START, vec![Event::Endpoints(WatchEvent::Full((1..=5).map(endpoint).collect()))]);
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
#[case::small(30, 5.0)]
#[case::large(600, 8.0)]
fn a_larger_fleet_takes_more_answers_owed_for_silence(#[case] servers: u32, #[case] owed: f64) {
    let mut mailboxes = Mailboxes::at(START);
    fleet((1..=servers).map(standing)).ask_all(vec![1], &mut mailboxes);
    let Some((_, Message::Evaluate(picture))) = mailboxes.next() else { panic!("no picture") };
    assert_eq!(picture.unresponsive_after.round(), owed);
}
