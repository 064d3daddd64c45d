//! Failure detection against the bounds of the paper, and a follower that is far behind.

use std::collections::BTreeMap;

use oorandom::Rand64;
use shalereel_group::wire::{Act, Envelope, Order, Seat, Standing};
use shalereel_group::{Charter, Effect, Group, Members, Pace, State, Told};

const MILLI: u64 = 1_000_000;
const TOLD: Told =
    Told { election: 1_000 * MILLI, drift: 0.01, tenure: 1_000 * MILLI, in_flight: 0, batch: 64 };

struct Crowd {
    members: BTreeMap<u32, Members>,
    chance: Rand64,
    lost: f64,
    now: u64,
}

impl Crowd {
    fn new(size: u32, lost: f64, seed: u64) -> Self {
        let seeds: Vec<(u32, String)> = (0..size).map(|number| (number, format!("at-{number}"))).collect();
        let member = |number: u32| {
            (number, Members::new(number, &format!("at-{number}"), 1, &seeds, Pace::new(TOLD), seed))
        };
        Crowd { members: (0..size).map(member).collect(), chance: Rand64::new(seed.into()), lost, now: MILLI }
    }

    /// One millisecond; gives who was held for suspect or dead by anybody.
    fn pass(&mut self) -> Vec<(u32, Standing)> {
        self.now += MILLI;
        let mut mail = Vec::new();
        for (&from, member) in &mut self.members {
            if member.next() <= self.now {
                member.tick(self.now);
            }
            mail.extend(member.sends().into_iter().map(|(to, gossip)| (from, to, gossip)));
        }
        while let Some((from, to, gossip)) = mail.pop() {
            if self.chance.rand_float() < self.lost {
                continue;
            }
            if let Some(member) = self.members.get_mut(&to) {
                member.heard(self.now, from, gossip);
                mail.extend(member.sends().into_iter().map(|(next, gossip)| (to, next, gossip)));
            }
        }
        let changes = self.members.values_mut().flat_map(|member| member.changes());
        changes.map(|change| (change.number, change.standing)).collect()
    }
}

/// The paper: with many members the first detection takes e / (e - 1) periods on average. The few of a group choose
/// in turns, and each of them probes, so that it is no longer.
#[test]
fn a_death_is_detected_within_the_bounds_and_loss_kills_nobody() {
    let period = TOLD.election / 2;
    for size in [3, 5, 9] {
        let mut sum = 0;
        for seed in 0..40 {
            let mut crowd = Crowd::new(size, 0.0, seed);
            (0..3_000 + 37 * seed).for_each(|_| drop(crowd.pass()));
            crowd.members.remove(&1);
            let killed = crowd.now;
            while !crowd.pass().contains(&(1, Standing::Suspect)) {
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
                suspected += u32::from(standing == Standing::Suspect);
                dead += u32::from(standing == Standing::Dead);
            }
        }
        eprintln!("{size} members, a tenth lost, 400 periods: {suspected} suspicions, {dead} held for dead");
        assert!(dead <= 2, "{size}: {dead}");
    }
}

#[test]
fn one_that_is_a_thousand_entries_behind_takes_over_what_stands() {
    let seat = |number| Seat { number, address: format!("at-{number}") };
    let mut groups: Vec<Group> = (0..3)
        .map(|me| {
            let charter = Charter {
                me,
                address: format!("at-{me}"),
                name: "behind".into(),
                seats: (0..3).map(seat).collect(),
                joining: false,
                told: TOLD,
                seed: 3,
                duties: Vec::new(),
                planted: None,
            };
            Group::new(charter, 0, None)
        })
        .collect();
    let (mut now, mut ordered) = (0, 0);
    let mut mail: Vec<Envelope> = Vec::new();
    let mut pass = |groups: &mut Vec<Group>, now: u64, cut: bool| {
        for (at, group) in groups.iter_mut().enumerate() {
            for effect in group.turn(now) {
                match effect {
                    Effect::Send { to, envelope, .. } if !(cut && (to == 2 || at == 2)) => {
                        mail.push(envelope)
                    }
                    Effect::Write(writing) => group.stored(now, writing.number),
                    _ => {}
                }
            }
        }
        for envelope in mail.drain(..) {
            groups[envelope.to as usize].heard(now, envelope);
        }
    };
    while !groups.iter().any(|group| group.leads()) {
        now += MILLI;
        pass(&mut groups, now, true);
        assert!(now < 20_000 * MILLI);
    }
    let leader = groups.iter().position(|group| group.leads()).unwrap();
    while groups[leader].log().3 < 1_200 {
        now += MILLI;
        ordered += 1;
        groups[leader].order(now, 0, Act::Order(Order { server: ordered, locality: 0, hold: Some(500_000) }));
        pass(&mut groups, now, true);
        assert!(now < 60_000 * MILLI);
    }
    assert_eq!((groups[2].log().3, groups[2].state()), (0, State::Alone));
    let healed = now;
    while groups[2].log().3 < groups[leader].log().3 {
        now += MILLI;
        pass(&mut groups, now, false);
        assert!(now < healed + 20_000 * MILLI, "{:?}", groups[2].log());
    }
    assert_eq!(groups[2].duties(), groups[leader].duties());
    assert!(groups[2].log().4 >= 512, "by a snapshot: {:?}", groups[2].log());
}
