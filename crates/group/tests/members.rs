//! Failure detection against the bounds of the SWIM paper, and a follower that is far behind.

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

struct Crowd {
    members: BTreeMap<u32, Membership>,
    rng: Rand64,
    loss: f64,
    now: u64,
}

impl Crowd {
    fn new(size: u32, loss: f64, seed: u64) -> Self {
        let seeds: Vec<(u32, String)> = (0..size).map(|id| (id, format!("at-{id}"))).collect();
        let member = |id: u32| {
            let timing = Timing::new(SETTINGS);
            (id, Membership::new(id, &format!("at-{id}"), 1, &seeds, timing, seed))
        };
        Crowd {
            members: (0..size).map(member).collect(),
            rng: Rand64::new(seed.into()),
            loss,
            now: MILLISECOND,
        }
    }

    /// One millisecond; returns the members that anybody sees differently by then.
    fn pass(&mut self) -> Vec<(u32, MemberStatus)> {
        self.now += MILLISECOND;
        let mut mail = Vec::new();
        for (&from, member) in &mut self.members {
            if member.next_deadline() <= self.now {
                member.tick(self.now);
            }
            mail.extend(member.take_messages().into_iter().map(|(to, gossip)| (from, to, gossip)));
        }
        while let Some((from, to, gossip)) = mail.pop() {
            if self.rng.rand_float() < self.loss {
                continue;
            }
            if let Some(member) = self.members.get_mut(&to) {
                member.handle_gossip(self.now, from, gossip);
                mail.extend(member.take_messages().into_iter().map(|(next, gossip)| (to, next, gossip)));
            }
        }
        let changes = self.members.values_mut().flat_map(|member| member.take_changes());
        changes.map(|change| (change.member, change.status)).collect()
    }
}

/// Probe periods from a member's death to the first suspicion.
fn periods_to_suspicion(size: u32, seed: u64) -> f64 {
    let period = SETTINGS.election_timeout / 2;
    let mut crowd = Crowd::new(size, 0.0, seed);
    (0..3_000 + 37 * seed).for_each(|_| drop(crowd.pass()));
    crowd.members.remove(&1);
    let killed = crowd.now;
    while !crowd.pass().contains(&(1, MemberStatus::Suspect)) {
        assert!(crowd.now < killed + 20 * period);
    }
    (crowd.now - killed) as f64 / period as f64
}

/// The paper: with many members the first detection takes e / (e - 1) periods on average. The few of a group choose
/// in turns, and each of them probes, so that it is no longer.
#[test]
fn dead_member_is_suspected_in_time_and_loss_declares_nobody_dead() {
    for size in [3, 5, 9] {
        let periods = (0..40).map(|seed| periods_to_suspicion(size, seed)).sum::<f64>() / 40.0;
        eprintln!("{size} members: the first suspects after {periods:.2} periods on average");
        // A probe runs for a period before its subject is suspected.
        assert!(periods < 1.0 + 1.58 + 0.2, "{size}: {periods}");
        let mut crowd = Crowd::new(size, 0.1, 7);
        let mut suspected = 0;
        let mut dead = 0;
        for _ in 0..200_000 {
            for (_, status) in crowd.pass() {
                suspected += u32::from(status == MemberStatus::Suspect);
                dead += u32::from(status == MemberStatus::Dead);
            }
        }
        eprintln!("{size} members, a tenth lost, 400 periods: {suspected} suspicions, {dead} held for dead");
        assert!(dead <= 2, "{size}: {dead}");
    }
}

/// A group of three whose messages arrive at once and whose writes are done at once.
struct Cluster {
    groups: Vec<Group>,
    mail: Vec<Envelope>,
    now: u64,
    /// Member 2 is cut off.
    cut: bool,
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
        Cluster { groups, mail: Vec::new(), now: 0, cut: true }
    }

    /// One millisecond.
    fn pass(&mut self) {
        for (from, group) in self.groups.iter_mut().enumerate() {
            for action in group.poll(self.now) {
                match action {
                    Action::Send { to, envelope, .. } if !(self.cut && (to == 2 || from == 2)) => {
                        self.mail.push(envelope)
                    }
                    Action::Store(write) => group.handle_write_done(self.now, write.sequence),
                    _ => {}
                }
            }
        }
        for envelope in self.mail.drain(..) {
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
        cluster.pass();
        assert!(cluster.now < 20_000 * MILLISECOND);
    }
    let leader = cluster.groups.iter().position(|group| group.is_leader()).unwrap();
    let mut ordered = 0;
    while cluster.applied(leader) < 1_200 {
        cluster.now += MILLISECOND;
        ordered += 1;
        let order = OperatorOrder { server: ordered, locality: 0, weight_cap_millionths: Some(500_000) };
        cluster.groups[leader].submit_order(cluster.now, 0, CommandPayload::OperatorOrder(order));
        cluster.pass();
        assert!(cluster.now < 60_000 * MILLISECOND);
    }
    assert_eq!((cluster.applied(2), cluster.groups[2].role()), (0, MemberRole::NoLeader));
    cluster.cut = false;
    let healed = cluster.now;
    while cluster.applied(2) < cluster.applied(leader) {
        cluster.now += MILLISECOND;
        cluster.pass();
        assert!(cluster.now < healed + 20_000 * MILLISECOND, "{:?}", cluster.groups[2].log_status());
    }
    assert_eq!(cluster.groups[2].state_machine(), cluster.groups[leader].state_machine());
    let status = cluster.groups[2].log_status();
    assert!(status.snapshot_index >= 512, "by a snapshot: {status:?}");
}
