//! Failure detection against the bounds of the paper, and a follower that is far behind.

use std::collections::BTreeMap;

use oorandom::Rand64;
use shalereel_group::wire::{CommandPayload, Envelope, MemberAddress, MemberStatus, OperatorOrder};
use shalereel_group::{Action, Group, GroupConfig, MemberRole, Membership, Timing, TimingSettings};

const MILLI: u64 = 1_000_000;
const TOLD: TimingSettings = TimingSettings {
    election_timeout: 1_000 * MILLI,
    max_clock_drift: 0.01,
    tenure: 1_000 * MILLI,
    max_in_flight: 0,
    max_batch_entries: 64,
};

struct Crowd {
    members: BTreeMap<u32, Membership>,
    rng: Rand64,
    lost: f64,
    now: u64,
}

impl Crowd {
    fn new(size: u32, lost: f64, seed: u64) -> Self {
        let seeds: Vec<(u32, String)> = (0..size).map(|number| (number, format!("at-{number}"))).collect();
        let member = |number: u32| {
            (number, Membership::new(number, &format!("at-{number}"), 1, &seeds, Timing::new(TOLD), seed))
        };
        Crowd { members: (0..size).map(member).collect(), rng: Rand64::new(seed.into()), lost, now: MILLI }
    }

    /// One millisecond; gives who was held for suspect or dead by anybody.
    fn pass(&mut self) -> Vec<(u32, MemberStatus)> {
        self.now += MILLI;
        let mut mail = Vec::new();
        for (&from, member) in &mut self.members {
            if member.next_deadline() <= self.now {
                member.tick(self.now);
            }
            mail.extend(member.take_messages().into_iter().map(|(to, gossip)| (from, to, gossip)));
        }
        while let Some((from, to, gossip)) = mail.pop() {
            if self.rng.rand_float() < self.lost {
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

/// The paper: with many members the first detection takes e / (e - 1) periods on average. The few of a group choose
/// in turns, and each of them probes, so that it is no longer.
#[test]
fn a_death_is_detected_within_the_bounds_and_loss_kills_nobody() {
    let period = TOLD.election_timeout / 2;
    for size in [3, 5, 9] {
        let mut sum = 0;
        for seed in 0..40 {
            let mut crowd = Crowd::new(size, 0.0, seed);
            (0..3_000 + 37 * seed).for_each(|_| drop(crowd.pass()));
            crowd.members.remove(&1);
            let killed = crowd.now;
            while !crowd.pass().contains(&(1, MemberStatus::Suspect)) {
                assert!(crowd.now < killed + 20 * period);
            }
            sum += crowd.now - killed;
        }
        let periods = sum as f64 / 40.0 / period as f64;
        eprintln!("{size} members: the first suspects after {periods:.2} periods on average");
        // A probe runs for a period before its subject is suspected.
        assert!(periods < 1.0 + 1.58 + 0.2, "{size}: {periods}");
        let mut crowd = Crowd::new(size, 0.1, 7);
        let (mut suspected, mut dead) = (0, 0);
        for _ in 0..200_000 {
            for (_, standing) in crowd.pass() {
                suspected += u32::from(standing == MemberStatus::Suspect);
                dead += u32::from(standing == MemberStatus::Dead);
            }
        }
        eprintln!("{size} members, a tenth lost, 400 periods: {suspected} suspicions, {dead} held for dead");
        assert!(dead <= 2, "{size}: {dead}");
    }
}

#[test]
fn one_that_is_a_thousand_entries_behind_takes_over_what_stands() {
    let seat = |number| MemberAddress { id: number, address: format!("at-{number}") };
    let mut groups: Vec<Group> = (0..3)
        .map(|me| {
            let config = GroupConfig {
                id: me,
                address: format!("at-{me}"),
                name: "behind".into(),
                initial_voters: (0..3).map(seat).collect(),
                joining: false,
                timing: TOLD,
                seed: 3,
                duties: Vec::new(),
                injected_fault: None,
            };
            Group::new(config, 0, None)
        })
        .collect();
    let (mut now, mut ordered) = (0, 0);
    let mut mail: Vec<Envelope> = Vec::new();
    let mut pass = |groups: &mut Vec<Group>, now: u64, cut: bool| {
        for (at, group) in groups.iter_mut().enumerate() {
            for effect in group.poll(now) {
                match effect {
                    Action::Send { to, envelope, .. } if !(cut && (to == 2 || at == 2)) => {
                        mail.push(envelope)
                    }
                    Action::Store(writing) => group.handle_write_done(now, writing.sequence),
                    _ => {}
                }
            }
        }
        for envelope in mail.drain(..) {
            groups[envelope.to as usize].handle_message(now, envelope);
        }
    };
    while !groups.iter().any(|group| group.is_leader()) {
        now += MILLI;
        pass(&mut groups, now, true);
        assert!(now < 20_000 * MILLI);
    }
    let leader = groups.iter().position(|group| group.is_leader()).unwrap();
    while groups[leader].log_status().3 < 1_200 {
        now += MILLI;
        ordered += 1;
        groups[leader].submit_order(
            now,
            0,
            CommandPayload::OperatorOrder(OperatorOrder {
                server: ordered,
                locality: 0,
                weight_cap_millionths: Some(500_000),
            }),
        );
        pass(&mut groups, now, true);
        assert!(now < 60_000 * MILLI);
    }
    assert_eq!((groups[2].log_status().3, groups[2].role()), (0, MemberRole::NoLeader));
    let healed = now;
    while groups[2].log_status().3 < groups[leader].log_status().3 {
        now += MILLI;
        pass(&mut groups, now, false);
        assert!(now < healed + 20_000 * MILLI, "{:?}", groups[2].log_status());
    }
    assert_eq!(groups[2].state_machine(), groups[leader].state_machine());
    assert!(groups[2].log_status().4 >= 512, "by a snapshot: {:?}", groups[2].log_status());
}
