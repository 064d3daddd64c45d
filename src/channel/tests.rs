use rstest::rstest;

use super::*;
use crate::pacing::PendingMark;
use crate::testing::*;
use crate::Controller;

#[rstest]
#[case::drain_binds(Readiness::Draining, true)]
#[case::gone_does_not(Readiness::Removed, false)]
fn joiners_are_told_to_shun_what_drains_whatever_they_hold(
    mut config: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] told: bool,
) {
    (config.removal_is_advisory, config.drain_grace) = (true, 4 * SECOND);
    let mut brain = running(&config);
    brain.channel.pacing.queued_lines = config.channel_capacity * JOIN_ROOM;
    brain.channel.pacing.updated_at = START;
    let gone = Endpoint { readiness, ..endpoint(4) };
    let orders = brain.decide(START + 1, vec![Event::Endpoints(WatchEvent::Delta(vec![gone])), joined(2)]);
    let shuns = |orders: Vec<Action>| orders.contains(&Action::Exclude { server: 4, on: true });
    assert!(!shuns(orders), "its table may still come in time");
    // No room for a table, as before; a quarter of the grace, less what waits in the channel, has passed.
    brain.channel.pacing.queued_lines = config.channel_capacity * JOIN_ROOM;
    brain.channel.pacing.updated_at = START + config.drain_grace / 8 + 2;
    assert_eq!(shuns(brain.decide(START + config.drain_grace / 8 + 2, vec![])), told);
}

#[rstest]
fn a_joiner_gets_the_whole_table_at_once(config: ControllerConfig) {
    let orders = running(&config).decide(START + 1, vec![joined(2)]);
    assert!(orders.contains(&Action::AssignTable { proxy: 2, table: WHOLE, operations: 0 }));
    assert!(!orders.iter().any(|order| matches!(order, Action::SetWeight { .. })));
}

#[rstest]
fn joins_are_spread_when_the_channel_is_full(mut config: ControllerConfig) {
    config.channel_capacity = 40.0;
    let orders = running(&config).decide(START + 1, (2..30).map(joined).collect());
    let installs = orders.iter().filter(|order| matches!(order, Action::AssignTable { .. })).count();
    assert!(installs < 4, "{installs}");
}

#[rstest]
#[case::a_twentieth(1.05, false)]
#[case::a_fifth(1.2, true)]
fn a_weight_moves_by_more_than_a_tenth(config: ControllerConfig, #[case] weight: f64, #[case] moves: bool) {
    let mut channel = running(&config).channel;
    let want = DesiredWeight { weight, ..channel.wants[&1] };
    channel.wants.insert(1, want);
    assert_eq!(!channel.differing(START).is_empty(), moves);
}

#[rstest]
#[case::ordinary(Readiness::Ready, false)]
#[case::drain(Readiness::Draining, true)]
fn only_what_is_urgent_leaves_before_the_next_batch(
    config: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] at_once: bool,
) {
    let mut brain = running(&config);
    let changed = Endpoint { readiness, weight: 3.0, ..endpoint(1) };
    let news = vec![Event::Endpoints(WatchEvent::Delta(vec![changed]))];
    let orders = brain.decide(START + SECOND / 10, news);
    assert_eq!(orders.iter().any(|order| matches!(order, Action::SetWeight { server: 1, .. })), at_once);
    let later = brain.decide(START + 2 * SECOND, vec![]);
    assert_eq!(later.iter().any(|order| matches!(order, Action::SetWeight { server: 1, .. })), !at_once);
}

#[rstest]
fn messages_stay_under_their_limit(mut config: ControllerConfig) {
    (config.message_limit, config.message_limit_window) = (4, 10 * SECOND);
    let mut brain = running(&config);
    let drained = |server| Endpoint { readiness: Readiness::Draining, ..endpoint(server) };
    let told = |tenth: u64, brain: &mut Controller| {
        let readiness = if tenth.is_multiple_of(2) { drained(1) } else { endpoint(1) };
        let news = vec![Event::Endpoints(WatchEvent::Delta(vec![readiness]))];
        let orders = brain.decide(START + tenth * SECOND / 10, news);
        orders.iter().any(|order| matches!(order, Action::Exclude { .. } | Action::SetWeight { .. }))
    };
    let messages = (1..60).filter(|&tenth| told(tenth, &mut brain)).count();
    assert!((1..4).contains(&messages), "{messages}");
}

#[rstest]
fn newcomers_alone_are_told_again_what_is_shunned(mut config: ControllerConfig) {
    (config.proxy_count, config.channel_capacity) = (200, 5_000.0);
    let mut brain = Controller::new(&config);
    let drained = (51..=100).map(|id| Endpoint { readiness: Readiness::Draining, ..endpoint(id) });
    // All others are cold: no small table can stand in.
    let cold = (1..=50).map(|id| Endpoint { started_at: START, ..endpoint(id) });
    brain.decide(START, vec![listed(cold.chain(drained))]);
    // No room for whole tables in time: all wait, and are told what is shunned.
    let full = |brain: &mut Controller, at: u64| {
        brain.channel.pacing.pending_marks.clear();
        (brain.channel.pacing.queued_lines, brain.channel.pacing.updated_at) =
            (4_000.0 * JOIN_ROOM, START + at);
    };
    full(&mut brain, 1);
    brain.decide(START + 1, (0..20).map(joined).collect());
    assert_eq!(brain.channel.pacing.queued_lines, 2_000.0 + 20.0 * (5.0 + 1.0 + 50.0));
    for at in 2..20 {
        full(&mut brain, at);
        let proxy = 20 + at as ProxyId;
        let orders = brain.decide(START + at, vec![joined(proxy)]);
        let shunned = orders.iter().filter(|order| matches!(order, Action::Exclude { on: true, .. })).count();
        assert_eq!((shunned, brain.channel.pacing.queued_lines), (50, 2_000.0 + 5.0 + 1.0 + 50.0), "{at}");
        let fence = brain.channel.pacing.pending_marks.values().next_back().unwrap();
        assert!(fence.awaiting.iter().eq([&proxy]), "{:?}", fence.awaiting);
    }
}

#[rstest]
fn a_whole_table_goes_ahead_of_what_a_newcomer_is_to_shun(config: ControllerConfig) {
    let mut brain = running(&config);
    let drained = Endpoint { readiness: Readiness::Draining, ..endpoint(4) };
    brain.decide(START + 1, vec![Event::Endpoints(WatchEvent::Delta(vec![drained]))]);
    let orders = answered(&mut brain, START + SECOND, vec![joined(7)]);
    let installed = |order: &Action| matches!(order, Action::AssignTable { proxy: 7, .. });
    assert!(orders.iter().any(installed) && !orders.iter().any(|o| matches!(o, Action::Exclude { .. })));
}

#[rstest]
fn what_a_proxy_that_left_did_not_answer_waits_no_more(config: ControllerConfig) {
    let mut channel = running(&config).channel;
    channel.pacing.pending_marks.insert(
        9,
        PendingMark {
            sent_at: START,
            lines: 900.0,
            queued_lines: 900.0,
            messages: 1,
            awaiting: [1].into(),
            due: START,
        },
    );
    channel.handle(Message::Left(1), &mut Mailboxes::at(START));
    assert!(channel.pacing.update_queue(START + SECOND) < 1.0);
}

#[rstest]
#[case::no_small_table_can_stand_in(START, 0)]
#[case::small_tables_stand_in(0, 20)]
fn whole_tables_leave_room_while_a_rule_is_owed_lines(
    config: ControllerConfig,
    #[case] started_at: Nanos,
    #[case] small: usize,
) {
    let mut brain = large(config, 400, 40);
    brain.channel.members.values_mut().take(20).for_each(|member| member.bound = Some(WHOLE));
    brain.channel.members.values_mut().skip(20).for_each(|member| member.bound = None);
    (brain.channel.pacing.queued_lines, brain.channel.pacing.updated_at) =
        (brain.channel.pacing.capacity_lines / 2.0, START + SECOND);
    let drained = (1..=200).map(|id| Endpoint { readiness: Readiness::Draining, ..endpoint(id) });
    let others = (201..=400).map(|id| Endpoint { started_at, ..endpoint(id) });
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

/// An instance at full size: so many servers and proxies of a channel that takes a dozen whole tables.
fn large(mut config: ControllerConfig, servers: u32, proxies: ProxyId) -> Controller {
    (config.channel_capacity, config.lines_per_s) = (f64::from(servers) * 12.0, f64::from(servers) * 8.0);
    let mut brain = Controller::new(&config);
    brain.decide(START, vec![listed((1..=servers).map(endpoint))]);
    brain.decide(START + 1, (0..proxies).map(joined).collect());
    brain
}

/// Decides, and has all that was ordered answered.
fn answered(brain: &mut Controller, now: Nanos, events: Vec<Event>) -> Vec<Action> {
    brain.channel.pacing.pending_marks.clear();
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
    config: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] started_at: Nanos,
) {
    let mut brain = large(config, 400, 100);
    brain.channel.members.values_mut().for_each(|member| member.bound = Some(WHOLE));
    let rows = (1..=200).map(|id| Endpoint { readiness, started_at, ..endpoint(id) });
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
fn apart(config: ControllerConfig) -> Channel {
    let mut channel = large(ControllerConfig { proxy_count: 40, ..config }, 120, 20).channel;
    let mut mailboxes = Mailboxes::at(START + SECOND);
    channel.pacing.pending_marks.clear();
    for note in [Message::Isolate(true), Message::Flush] {
        channel.handle(note, &mut mailboxes);
    }
    channel
}

#[rstest]
fn kept_apart_few_proxies_share_few_servers_and_supervisors_share_none(mut config: ControllerConfig) {
    config.supervisor_count = 2;
    let [ours, theirs] =
        [0, 1].map(|supervisor| apart(ControllerConfig { supervisor_index: supervisor, ..config.clone() }));
    let servers = |channel: &Channel| channel.parts.iter().map(|part| part.1).collect::<BTreeSet<_>>();
    assert!(servers(&ours).is_disjoint(&servers(&theirs)));
    for member in ours.members.values() {
        let lines = ours.parts.iter().filter(|part| part.0 == member.table).count();
        let sharing = ours.members.values().filter(|other| other.table == member.table).count();
        assert!(member.bound == Some(member.table) && (3..13).contains(&lines) && sharing < 5);
    }
}

#[rstest]
fn a_small_table_that_lost_its_servers_is_refilled_alone(config: ControllerConfig) {
    let mut channel = apart(config);
    let before = channel.parts.clone();
    let (table, mailboxes) = (WHOLE + 2, &mut Mailboxes::at(START + 2 * SECOND));
    for &(_, server) in before.iter().filter(|part| part.0 == table) {
        channel.handle(
            Message::DesiredWeight(server, DesiredWeight { urgent: true, ..DesiredWeight::default() }),
            mailboxes,
        );
    }
    for note in [Message::Isolate(true), Message::Flush] {
        channel.handle(note, mailboxes);
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
    mut config: ControllerConfig,
    #[case] server: ServerId,
    #[case] tables: usize,
) {
    (config.supervisor_count, config.drain_grace) = (2, 10 * SECOND);
    let mut channel = apart(config);
    let mailboxes = &mut Mailboxes::at(START + 2 * SECOND);
    let cold = DesiredWeight { weight: 0.2, urgent: true, ..DesiredWeight::default() };
    channel.pacing.pending_marks.clear();
    for note in [Message::DesiredWeight(server, cold), Message::Isolate(true), Message::Flush] {
        channel.handle(note, mailboxes);
    }
    let small = |(&(table, id), weight): (&(TableId, ServerId), &f64)| {
        table != WHOLE && id == server && *weight <= cold.weight * SMALL_COLD
    };
    assert_eq!(channel.told.iter().filter(|line| small(*line)).count(), tables);
}

#[rstest]
fn small_tables_stand_until_the_last_proxy_has_left_them(config: ControllerConfig) {
    let mut channel = apart(config);
    let mailboxes = &mut Mailboxes::at(START + 40 * SECOND);
    (channel.pacing.queued_lines, channel.pacing.updated_at) =
        (channel.pacing.capacity_lines / 2.5, mailboxes.now);
    for note in [Message::Isolate(false), Message::Flush] {
        channel.handle(note, mailboxes);
    }
    assert!(channel.members.values().any(|member| member.bound != Some(WHOLE)));
    for table in channel.members.values().filter_map(|member| member.bound) {
        assert!(channel.told.iter().any(|((at, _), weight)| *at == table && *weight > 0.0));
    }
}

#[rstest]
fn a_hundred_joiners_get_a_large_table_in_turn(config: ControllerConfig) {
    let mut brain = large(config, 400, 100);
    let mut installed = brain.channel.members.values().filter(|member| member.bound.is_some()).count();
    assert!((1..12).contains(&installed), "{installed}");
    for tenth in 1..150 {
        let orders = answered(&mut brain, START + tenth * SECOND / 10, vec![]);
        installed += orders.iter().filter(|order| matches!(order, Action::AssignTable { .. })).count();
    }
    assert_eq!(installed, 100);
}

#[rstest]
fn changes_gather_longer_where_heads_would_fill_the_channel(config: ControllerConfig) {
    // 300 proxies, 6 lines of head each, at 1,000 lines a second: 1.8 s of the channel for heads alone.
    // The grace is long enough for all of them on the whole table.
    let config =
        ControllerConfig { channel_capacity: 9_000.0, proxy_count: 300, drain_grace: 10 * SECOND, ..config };
    let mut brain = Controller::new(&config);
    let joined = |proxy| Event::Joined { proxy, locality: 0, rate: 1.0, is_new: true };
    let mut events = vec![Event::Endpoints(WatchEvent::Full(vec![endpoint(1), endpoint(2)]))];
    events.extend((0..300).map(joined));
    // Lines of tables that nobody uses yet cost nothing.
    let told = |orders: &[Action]| {
        orders.iter().any(|order| matches!(order, Action::SetWeight { table: WHOLE, .. }))
    };
    assert!(told(&brain.decide(START, events)));
    let warm = |at: u64| Endpoint { started_at: START - 20 * SECOND, ..endpoint(at as ServerId) };
    for at in 1..10 {
        // A new warm server each second; nothing waits in the channel.
        brain.channel.pacing.queued_lines = 0.0;
        brain.channel.pacing.pending_marks.clear();
        let orders =
            brain.decide(START + at * SECOND, vec![Event::Endpoints(WatchEvent::Delta(vec![warm(2 + at)]))]);
        assert_eq!(told(&orders), at % 5 == 0, "after {at} s");
    }
}

#[rstest]
fn joiners_have_their_turn_between_changes_and_nothing_stands_behind_a_long_queue(
    mut config: ControllerConfig,
) {
    (config.proxy_count, config.channel_capacity, config.drain_grace) = (400, 60_000.0, 30 * SECOND);
    let mut brain = Controller::new(&config);
    brain.decide(START, vec![listed((1..=100).map(endpoint))]);
    let prompt = brain.channel.pacing.configured_queue_target;
    brain.decide(START + 1, (0..400).map(joined).collect());
    let (mut told, mut most) = (0, 0.0);
    for at in 1..120u32 {
        // A server drains every second; all that is sent is answered as the channel empties.
        brain.channel.pacing.pending_marks.clear();
        let drained = Endpoint { readiness: Readiness::Draining, ..endpoint(1 + at / 4) };
        let now = START + Nanos::from(at) * SECOND / 4;
        let before = brain.channel.pacing.update_queue(now);
        let orders = brain.decide(now, vec![Event::Endpoints(WatchEvent::Delta(vec![drained]))]);
        let lines = orders.iter().filter(|order| matches!(order, Action::SetWeight { .. })).count();
        assert!(lines == 0 || before <= prompt, "{lines} behind {before}");
        told += lines;
        let sent = brain.channel.pacing.queued_lines - before;
        most = f64::max(most, if lines == 0 { sent } else { 0.0 });
    }
    let bound = brain.channel.members.values().filter(|member| member.bound.is_some()).count();
    // 30 s of 1,000 lines; a whole table takes 109. Half of that goes to joiners at the least.
    assert!(bound >= 130, "{bound} have a table");
    assert!(told >= 20, "{told} drains told");
    assert!(most <= prompt, "{most} at once");
}

/// Whoever is bound to a table that still holds a server is told to shun it too: that must not go unbooked.
#[rstest]
fn nothing_is_shunned_before_it_has_left_the_tables(mut config: ControllerConfig) {
    (config.proxy_count, config.channel_capacity, config.drain_grace) = (100, 2_000.0, SECOND / 10);
    let mut brain = Controller::new(&config);
    // All are cold: no small table can stand in.
    let cold = |id| Endpoint { started_at: START, ..endpoint(id) };
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
