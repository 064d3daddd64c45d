//! Failure detection within the bounds of the SWIM paper, and snapshot installation on a follower that is far behind.

use std::collections::BTreeMap;

use oorandom::Rand64;
use shalereel_group::wire::{CommandPayload, Envelope, MemberAddress, MemberStatus, OperatorOrder};
use shalereel_group::{Action, Group, GroupConfig, MemberRole, Membership, Timing, TimingSettings};

const MILLISECOND: u64 = 1_000_000;
const SETTINGS: TimingSettings = TimingSettings {
    election_timeout: 1_000 * MILLISECOND,
    max_clock_drift: 0.01,
    tenure: 1_000 * MILLISECOND,
    max_in_flight: 0,
    max_batch_entries: 64,
};

/// Members of a SWIM group on a network without delays that loses messages at random.
struct SwimNetwork {
    members: BTreeMap<u32, Membership>,
    rng: Rand64,
    /// Fraction of the messages that is lost.
    loss: f64,
    now: u64,
}

impl SwimNetwork {
    fn new(size: u32, loss: f64, seed: u64) -> Self {
        let seeds: Vec<(u32, String)> = (0..size).map(|id| (id, format!("at-{id}"))).collect();
        let member = |id: u32| {
            let timing = Timing::new(SETTINGS);
            (id, Membership::new(id, &format!("at-{id}"), 1, &seeds, timing, seed))
        };
        SwimNetwork {
            members: (0..size).map(member).collect(),
            rng: Rand64::new(seed.into()),
            loss,
            now: MILLISECOND,
        }
    }

    /// Advances by one millisecond and returns the status changes that any member observed.
    fn advance(&mut self) -> Vec<(u32, MemberStatus)> {
        self.now += MILLISECOND;
        let mut in_flight = Vec::new();
        for (&from, member) in &mut self.members {
            if member.next_deadline() <= self.now {
                member.tick(self.now);
            }
            in_flight.extend(member.take_messages().into_iter().map(|(to, gossip)| (from, to, gossip)));
        }
        while let Some((from, to, gossip)) = in_flight.pop() {
            if self.rng.rand_float() < self.loss {
                continue;
            }
            if let Some(member) = self.members.get_mut(&to) {
                member.handle_gossip(self.now, from, gossip);
                in_flight.extend(member.take_messages().into_iter().map(|(next, gossip)| (to, next, gossip)));
            }
        }
        let changes = self.members.values_mut().flat_map(|member| member.take_changes());
        changes.map(|change| (change.member, change.status)).collect()
    }
}

/// Number of probe periods from a member's crash to the first suspicion of it.
fn periods_to_suspicion(size: u32, seed: u64) -> f64 {
    let period = SETTINGS.election_timeout / 2;
    let mut network = SwimNetwork::new(size, 0.0, seed);
    (0..3_000 + 37 * seed).for_each(|_| drop(network.advance()));
    network.members.remove(&1);
    let crashed_at = network.now;
    while !network.advance().contains(&(1, MemberStatus::Suspect)) {
        assert!(network.now < crashed_at + 20 * period);
    }
    (network.now - crashed_at) as f64 / period as f64
}

/// According to the paper, the first detection takes e / (e - 1) periods on average with many members. In a small group
/// it takes no longer, since each member probes the others in turn.
#[test]
fn crashed_member_is_suspected_in_time_and_message_loss_rarely_declares_a_member_dead() {
    for size in [3, 5, 9] {
        let periods = (0..40).map(|seed| periods_to_suspicion(size, seed)).sum::<f64>() / 40.0;
        eprintln!("{size} members: first suspicion after {periods:.2} periods on average");
        // The target is suspected only at the end of the probe period.
        assert!(periods < 1.0 + 1.58 + 0.2, "{size}: {periods}");
        let mut network = SwimNetwork::new(size, 0.1, 7);
        let mut suspected = 0;
        let mut dead = 0;
        for _ in 0..200_000 {
            for (_, status) in network.advance() {
                suspected += u32::from(status == MemberStatus::Suspect);
                dead += u32::from(status == MemberStatus::Dead);
            }
        }
        eprintln!(
            "{size} members, 10 % message loss, 400 periods: {suspected} suspicions, {dead} declared dead"
        );
        assert!(dead <= 2, "{size}: {dead}");
    }
}

/// A group of three members. Messages are delivered within the same millisecond and writes are synced at once.
struct Cluster {
    groups: Vec<Group>,
    in_flight: Vec<Envelope>,
    now: u64,
    /// Whether member 2 is cut off from the others.
    isolated: bool,
}

impl Cluster {
    fn new() -> Self {
        let address = |id| MemberAddress { id, address: format!("at-{id}") };
        let config = |id| GroupConfig {
            id,
            address: format!("at-{id}"),
            name: "behind".into(),
            initial_voters: (0..3).map(address).collect(),
            joining: false,
            timing: SETTINGS,
            seed: 3,
            duties: Vec::new(),
            injected_fault: None,
        };
        let groups = (0..3).map(|id| Group::new(config(id), 0, None)).collect();
        Cluster { groups, in_flight: Vec::new(), now: 0, isolated: true }
    }

    /// Advances by one millisecond's events.
    fn advance(&mut self) {
        for (from, group) in self.groups.iter_mut().enumerate() {
            for action in group.poll(self.now) {
                match action {
                    Action::Send { to, envelope, .. } if !(self.isolated && (to == 2 || from == 2)) => {
                        self.in_flight.push(envelope)
                    }
                    Action::Store(write) => group.handle_write_done(self.now, write.sequence),
                    _ => {}
                }
            }
        }
        for envelope in self.in_flight.drain(..) {
            self.groups[envelope.to as usize].handle_message(self.now, envelope);
        }
    }

    fn applied(&self, id: usize) -> u64 {
        self.groups[id].log_status().last_applied
    }
}

#[test]
fn follower_a_thousand_entries_behind_installs_a_snapshot() {
    let mut cluster = Cluster::new();
    while !cluster.groups.iter().any(|group| group.is_leader()) {
        cluster.now += MILLISECOND;
        cluster.advance();
        assert!(cluster.now < 20_000 * MILLISECOND);
    }
    let leader = cluster.groups.iter().position(|group| group.is_leader()).unwrap();
    let mut last_server = 0;
    while cluster.applied(leader) < 1_200 {
        cluster.now += MILLISECOND;
        last_server += 1;
        let order = OperatorOrder { server: last_server, locality: 0, weight_cap_millionths: Some(500_000) };
        cluster.groups[leader].submit_order(cluster.now, 0, CommandPayload::OperatorOrder(order));
        cluster.advance();
        assert!(cluster.now < 60_000 * MILLISECOND);
    }
    assert_eq!((cluster.applied(2), cluster.groups[2].role()), (0, MemberRole::NoLeader));
    cluster.isolated = false;
    let reconnected_at = cluster.now;
    while cluster.applied(2) < cluster.applied(leader) {
        cluster.now += MILLISECOND;
        cluster.advance();
        assert!(cluster.now < reconnected_at + 20_000 * MILLISECOND, "{:?}", cluster.groups[2].log_status());
    }
    assert_eq!(cluster.groups[2].state_machine(), cluster.groups[leader].state_machine());
    let status = cluster.groups[2].log_status();
    assert!(status.snapshot_index >= 512, "no snapshot was installed: {status:?}");
}
