use rstest::rstest;

use super::*;
use crate::channel::Channel;
use crate::interface::Nanos;
use crate::message::{Mailboxes, Message, SECOND};
use crate::testing::{config, large_deployment, START};

/// A channel whose 20 proxies are isolated on subsets of 120 servers.
fn isolated(config: ControllerConfig) -> Channel {
    let mut channel = large_deployment(ControllerConfig { proxy_count: 40, ..config }, 120, 20).channel;
    channel.pacing.pending_marks.clear();
    handle(&mut channel, START + SECOND, [Message::Isolate(true), Message::Flush]);
    channel
}

fn handle(channel: &mut Channel, now: Nanos, messages: impl IntoIterator<Item = Message>) {
    let mut mailboxes = Mailboxes::at(now);
    for message in messages {
        channel.handle(message, &mut mailboxes);
    }
}

/// Number of servers in a table as it was sent.
fn sent_servers(channel: &Channel, table: TableId) -> usize {
    let sent = channel.sent.weights.iter().filter(|(_, weight)| **weight > 0.0);
    sent.filter(|(line, _)| line.table == table).count()
}

#[rstest]
fn isolated_proxies_share_few_servers_and_supervisors_share_none(mut config: ControllerConfig) {
    config.supervisor_count = 2;
    let [first, second] =
        [0, 1].map(|supervisor_index| isolated(ControllerConfig { supervisor_index, ..config.clone() }));
    assert!(first.subsets.servers().is_disjoint(&second.subsets.servers()));
    let proxies = &first.proxies.by_id;
    for proxy in proxies.values() {
        let table = proxy.intended_table;
        let servers = first.subsets.lines.iter().filter(|line| line.table == table).count();
        let sharing = proxies.values().filter(|other| other.intended_table == table).count();
        assert!(proxy.assigned_table == Some(table) && (3..13).contains(&servers) && sharing < 5);
    }
}

#[rstest]
fn only_the_subset_that_lost_its_servers_is_replenished(config: ControllerConfig) {
    let mut channel = isolated(config);
    let before = channel.subsets.lines.clone();
    let table = FULL_TABLE + 2;
    let lost = DesiredState { unstable: true, ..DesiredState::default() };
    let of_table = before.iter().filter(|line| line.table == table);
    let lose = of_table.map(|line| Message::DesiredState(line.server, lost));
    let messages = lose.chain([Message::Isolate(true), Message::Flush]);
    handle(&mut channel, START + 2 * SECOND, messages);
    let servers = sent_servers(&channel, table);
    assert!(servers >= 2, "{servers}");
    let others = |lines: &BTreeSet<TableLine>| lines.iter().filter(|line| line.table != table).count();
    assert_eq!(others(&channel.subsets.lines), others(&before));
}

#[rstest]
#[case::of_this_supervisor(1_000, 1)]
#[case::of_the_other_supervisor(1_001, 0)]
fn server_listed_during_isolation_is_added_to_one_subset(
    mut config: ControllerConfig,
    #[case] server: ServerId,
    #[case] subsets: usize,
) {
    (config.supervisor_count, config.drain_grace) = (2, 10 * SECOND);
    let mut channel = isolated(config);
    let warming_up = DesiredState { weight: 0.2, unstable: true, ..DesiredState::default() };
    channel.pacing.pending_marks.clear();
    let messages = [Message::DesiredState(server, warming_up), Message::Isolate(true), Message::Flush];
    handle(&mut channel, START + 2 * SECOND, messages);
    let max_weight = warming_up.weight * WARMING_UP_SHARE;
    let in_subset = |(line, weight): &(&TableLine, &f64)| {
        line.table != FULL_TABLE && line.server == server && **weight <= max_weight
    };
    assert_eq!(channel.sent.weights.iter().filter(in_subset).count(), subsets);
}

#[rstest]
fn subsets_are_kept_until_the_last_proxy_has_left_them(config: ControllerConfig) {
    let mut channel = isolated(config);
    let now = START + 40 * SECOND;
    channel.pacing.queued_lines = channel.pacing.capacity_lines / 2.5;
    channel.pacing.updated_at = now;
    handle(&mut channel, now, [Message::Isolate(false), Message::Flush]);
    let assigned = || channel.proxies.by_id.values().map(|proxy| proxy.assigned_table);
    assert!(assigned().any(|table| table != Some(FULL_TABLE)));
    for table in assigned().flatten() {
        assert!(sent_servers(&channel, table) > 0);
    }
}
