use rstest::rstest;

use super::*;
use crate::channel::capacity_shares::ASSIGNMENT_CAPACITY_SHARE;
use crate::interface::{Action, ControllerConfig, Endpoint, Readiness, RetryPolicy, ServerId};
use crate::message::{AdmissionLimit, DesiredState, Message, SECOND};
use crate::testing::{
    config, decide_acknowledged, draining, endpoint, joined, large_deployment, list_changes, listed,
    running_controller, START,
};
use crate::Controller;

#[rstest]
#[case::ordinary(Readiness::Ready, false)]
#[case::draining(Readiness::Draining, true)]
fn only_urgent_changes_are_sent_before_the_next_batch(
    config: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] is_urgent: bool,
) {
    let mut controller = running_controller(&config);
    let sends =
        |actions: Vec<Action>| actions.iter().any(|a| matches!(a, Action::SetWeight { server: 1, .. }));
    let events = list_changes([Endpoint { readiness, weight: 3.0, ..endpoint(1) }]);
    assert_eq!(sends(controller.decide(START + SECOND / 10, events)), is_urgent);
    assert_eq!(sends(controller.decide(START + 2 * SECOND, vec![])), !is_urgent);
}

#[rstest]
fn updates_stay_within_the_message_limit(mut config: ControllerConfig) {
    (config.message_limit, config.message_limit_window) = (4, 10 * SECOND);
    let mut controller = running_controller(&config);
    let sends_message = |tenth: u64, controller: &mut Controller| {
        let server = if tenth.is_multiple_of(2) { draining(1) } else { endpoint(1) };
        let actions = controller.decide(START + tenth * SECOND / 10, list_changes([server]));
        actions.iter().any(|action| matches!(action, Action::Exclude { .. } | Action::SetWeight { .. }))
    };
    let messages = (1..60).filter(|&tenth| sends_message(tenth, &mut controller)).count();
    assert!((1..4).contains(&messages), "{messages}");
}

/// Guards against joins of other proxies that use up a proxy's message limit, so that drains wait for seconds.
#[rstest]
fn joins_leave_the_message_limit_of_other_proxies_to_drains(mut config: ControllerConfig) {
    (config.message_limit, config.proxy_count) = (10, 40);
    let mut controller = running_controller(&config);
    for proxy in 2..40 {
        let now = START + Nanos::from(proxy) * SECOND / 20;
        decide_acknowledged(&mut controller, now, vec![joined(proxy)]);
    }
    let actions = decide_acknowledged(&mut controller, START + 2 * SECOND, list_changes([draining(1)]));
    assert!(
        actions.contains(&Action::SetWeight { table: FULL_TABLE, server: 1, weight: 0.0 }),
        "{actions:?}"
    );
}

#[rstest]
fn changes_are_coalesced_longer_where_overhead_would_fill_the_channel(config: ControllerConfig) {
    // With 300 proxies, 6 lines of overhead each and 1,000 lines per second, overhead alone takes the channel
    // 1.8 s. It may take a share of 0.4 of the rate, so there are 4.5 s between two batches. The grace period is
    // long enough for all proxies to use the full table.
    let config =
        ControllerConfig { channel_capacity: 9_000.0, proxy_count: 300, drain_grace: 10 * SECOND, ..config };
    let mut controller = Controller::new(&config);
    let mut events = vec![listed([endpoint(1), endpoint(2)])];
    events.extend((0..300).map(joined));
    let updates_full_table = |actions: &[Action]| {
        actions.iter().any(|action| matches!(action, Action::SetWeight { table: FULL_TABLE, .. }))
    };
    // Lines of tables that no proxy uses yet cost nothing.
    assert!(updates_full_table(&controller.decide(START, events)));
    let warm = |id: u64| Endpoint { started_at: START - 20 * SECOND, ..endpoint(id as ServerId) };
    for second in 1..10 {
        // A new warm server is listed each second, and nothing is queued.
        controller.channel.pacing.queued_lines = 0.0;
        let now = START + second * SECOND;
        let actions = decide_acknowledged(&mut controller, now, list_changes([warm(2 + second)]));
        assert_eq!(updates_full_table(&actions), second % 5 == 0, "after {second} s");
    }
}

/// Number of proxies that are assigned each table.
fn users(controller: &Controller) -> BTreeMap<TableId, usize> {
    let mut users = BTreeMap::new();
    for table in controller.channel.proxies.by_id.values().filter_map(|proxy| proxy.assigned_table) {
        *users.entry(table).or_default() += 1;
    }
    users
}

/// Number of servers in each table.
fn servers(controller: &Controller) -> BTreeMap<TableId, usize> {
    let mut servers = BTreeMap::new();
    for (line, _) in controller.channel.sent.weights.iter().filter(|(_, weight)| **weight > 0.0) {
        *servers.entry(line.table).or_default() += 1;
    }
    servers
}

/// Number of lines that actions add to the channel, counted as on the wire. An assignment takes 9 lines in
/// addition to the table's servers: 5 of message overhead, the assignment, the mark and two admission limits. An
/// update takes 6 in addition to its changes: 5 of overhead and the mark. `users` are the numbers of users before
/// the actions, `servers` the numbers of servers after them.
fn wire_lines(
    actions: &[Action],
    users: &BTreeMap<TableId, usize>,
    servers: &BTreeMap<TableId, usize>,
) -> usize {
    let mut changes: BTreeMap<TableId, usize> = BTreeMap::new();
    let mut assigned = 0;
    for action in actions {
        match action {
            Action::AssignTable { table, .. } => {
                assigned += servers.get(table).copied().unwrap_or_default() + 9
            }
            Action::SetWeight { table, .. } | Action::LimitAdmission { table: Some(table), .. } => {
                *changes.entry(*table).or_default() += 1;
            }
            _ => {}
        }
    }
    let update =
        |(table, lines): (&TableId, &usize)| users.get(table).copied().unwrap_or_default() * (lines + 6);
    assigned + changes.iter().map(update).sum::<usize>()
}

#[rstest]
#[case::drained_at_once(Readiness::Draining, 0)]
#[case::restarted_at_once(Readiness::Ready, START)]
fn many_changes_are_sent_in_pieces_within_the_channels_capacity(
    config: ControllerConfig,
    #[case] readiness: Readiness,
    #[case] started_at: Nanos,
) {
    let mut controller = large_deployment(config, 400, 100);
    let proxies = controller.channel.proxies.by_id.values_mut();
    proxies.for_each(|proxy| proxy.assigned_table = Some(FULL_TABLE));
    let mut events = list_changes((1..=200).map(|id| Endpoint { readiness, started_at, ..endpoint(id) }));
    let (mut queued, mut sent) = (400.0 * 12.0 * ASSIGNMENT_CAPACITY_SHARE, 0);
    // The channel sends 320 lines in a tenth of a second and can queue 4,800 lines.
    for tenth in 1..200 {
        queued = f64::max(queued - 320.0, 0.0);
        let users_before = users(&controller);
        let now = START + tenth * SECOND / 10;
        let actions = decide_acknowledged(&mut controller, now, std::mem::take(&mut events));
        queued += wire_lines(&actions, &users_before, &servers(&controller)) as f64;
        assert!(queued <= 4_800.0, "{queued}");
        sent += actions.iter().filter(|action| matches!(action, Action::SetWeight { .. })).count();
    }
    assert!(sent >= 200, "{sent}");
}

/// Deployment of 100 proxies on the full table, where one line to each of them takes 700 lines of the channel.
fn hundred_users_of_the_full_table(config: &ControllerConfig) -> Channel {
    let config = ControllerConfig { proxy_count: 100, ..config.clone() };
    let mut controller = running_controller(&config);
    for proxy in 0..100 {
        controller.channel.proxies.join(proxy, 1.0, true, FULL_TABLE, START);
    }
    let mut channel = controller.channel;
    channel.proxies.by_id.values_mut().for_each(|proxy| proxy.assigned_table = Some(FULL_TABLE));
    channel
}

/// Flushes the channel once it is idle.
fn flush_idle(channel: &mut Channel, now: Nanos) -> Vec<Action> {
    channel.pacing.pending_marks.clear();
    channel.pacing.queued_lines = 0.0;
    let mut mailboxes = Mailboxes::at(now);
    channel.handle(Message::Flush, &mut mailboxes);
    mailboxes.actions
}

fn set_weight(channel: &mut Channel, server: ServerId, weight: f64, now: Nanos) {
    let desired = DesiredState { weight, ..channel.desired_states[&server] };
    channel.handle(Message::DesiredState(server, desired), &mut Mailboxes::at(now));
}

fn admits(channel: &mut Channel, limit: f64, now: Nanos) {
    let retry_policy = RetryPolicy::IfNotExecuted;
    let limits = (0..2).map(|operation| AdmissionLimit { operation, limit, retry_policy }).collect();
    channel.handle(Message::AdmissionLimits(limits), &mut Mailboxes::at(now));
}

fn sends_weight_of(server: ServerId, actions: &[Action]) -> bool {
    let is_sent = |action: &Action| match action {
        Action::SetWeight { table: FULL_TABLE, server: sent, .. } => *sent == server,
        _ => false,
    };
    actions.iter().any(is_sent)
}

/// Guards against admission limits that are never sent, since one to each proxy takes more than their share.
#[rstest]
fn idle_channel_sends_admission_limits_to_many_proxies(config: ControllerConfig) {
    let mut channel = hundred_users_of_the_full_table(&config);
    admits(&mut channel, 0.5, START);
    let limits = (1..10).flat_map(|second| flush_idle(&mut channel, START + second * SECOND));
    let limited: BTreeSet<u16> = limits
        .filter_map(|action| match action {
            Action::LimitAdmission { operations, .. } => Some(operations),
            _ => None,
        })
        .collect();
    assert_eq!(limited, [1, 2].into());
}

/// Guards against weights that wait as long as admission limits change each second.
#[rstest]
fn weights_are_sent_while_admission_limits_keep_changing(config: ControllerConfig) {
    let mut channel = running_controller(&config).channel;
    set_weight(&mut channel, 1, 3.0, START);
    let is_sent = (1..10u32).any(|second| {
        let now = START + Nanos::from(second) * SECOND;
        admits(&mut channel, 1.0 / f64::from(1 + second), now);
        sends_weight_of(1, &flush_idle(&mut channel, now))
    });
    assert!(is_sent);
}

/// Guards against a weight that is never sent, since others change by more each time that one can be sent.
#[rstest]
fn small_change_is_sent_although_larger_ones_keep_coming(config: ControllerConfig) {
    let mut channel = hundred_users_of_the_full_table(&config);
    set_weight(&mut channel, 1, 1.5, START);
    let is_sent = (1..40u32).any(|second| {
        let now = START + Nanos::from(second) * SECOND;
        for server in 2..5 {
            set_weight(&mut channel, server, if second % 4 < 2 { 1.0 } else { 9.0 }, now);
        }
        sends_weight_of(1, &flush_idle(&mut channel, now))
    });
    assert!(is_sent);
}

/// Guards against a proxy that joins again and again and keeps changes from all others: it has used up its
/// messages, so that it cannot be assigned a table.
#[rstest]
fn changes_are_sent_while_a_proxy_cannot_be_assigned_a_table(config: ControllerConfig) {
    let config = ControllerConfig { message_limit: 4, ..config };
    let mut controller = running_controller(&config);
    for tenth in 1..6 {
        decide_acknowledged(&mut controller, START + tenth * SECOND / 10, vec![joined(2)]);
    }
    assert_eq!(controller.channel.proxies.by_id[&2].assigned_table, None);
    let changed = Endpoint { weight: 3.0, ..endpoint(1) };
    let mut events = list_changes([changed]);
    let is_sent = (4..40).any(|quarter| {
        let mut batch = std::mem::take(&mut events);
        if quarter % 4 == 0 {
            batch.push(joined(2));
        }
        sends_weight_of(1, &decide_acknowledged(&mut controller, START + quarter * SECOND / 4, batch))
    });
    assert!(is_sent);
}

/// Guards against exclusions that reach proxies beyond their limit on messages: proxies whose table still has
/// the server receive them too.
#[rstest]
fn exclusions_wait_for_tables_that_the_message_limit_holds_back(mut config: ControllerConfig) {
    config.message_limit = 1;
    let mut controller = running_controller(&config);
    let now = START + 2 * SECOND;
    controller.channel.proxies.join(2, 1.0, false, FULL_TABLE, START);
    controller.channel.pacing.pending_marks.clear();
    // The queue leaves room for urgent changes, and none for assignments.
    (controller.channel.pacing.queued_lines, controller.channel.pacing.updated_at) = (400.0, now);
    let actions = controller.decide(now, list_changes([draining(1)]));
    assert!(!actions.iter().any(|action| matches!(action, Action::Exclude { .. })), "{actions:?}");
}
