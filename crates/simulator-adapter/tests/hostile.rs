//! Random bytes, extreme values and shuffled events: no panic, no action that the wire forbids.

use std::collections::BTreeSet;

use oorandom::Rand32;
use rstest::rstest;
use shalereel::interface::{
    Action, Endpoint, EndpointReport, Event, HealthCheckOutcome, Readiness, WatchEvent,
};
use shalereel::Controller;
use shalereel_simulator_codec::{decode_batch, decode_settings};

const SETTINGS: &str = include_str!("profile.json");
const SERVERS: u32 = 12;
const PROXIES: u32 = 5;

fn pick<T: Copy>(chance: &mut Rand32, values: &[T]) -> T {
    values[chance.rand_range(0..values.len() as u32) as usize]
}

fn rows(chance: &mut Rand32, now: u64) -> Vec<Endpoint> {
    let row = |chance: &mut Rand32| Endpoint {
        server: chance.rand_range(0..SERVERS),
        locality: chance.rand_range(0..3) as u16,
        kind: chance.rand_range(0..3) as u16,
        cell: 0,
        readiness: pick(
            chance,
            &[Readiness::Ready, Readiness::Ready, Readiness::Draining, Readiness::Removed],
        ),
        weight: pick(chance, &[1.0, 2.0, 0.0, -1.0, f64::NAN, f64::INFINITY, 3e38, 1e-40]),
        started_at: pick(chance, &[0, now, now / 2, u64::MAX]),
    };
    (0..chance.rand_range(0..SERVERS)).map(|_| row(chance)).collect()
}

fn event(chance: &mut Rand32, now: u64) -> Event {
    let count = |chance: &mut Rand32| pick(chance, &[0, 1, 7, 60, u32::MAX]);
    let span = |chance: &mut Rand32| pick(chance, &[0, 1, 300_000_000, u64::MAX]);
    let server = chance.rand_range(0..SERVERS + 3);
    let proxy = chance.rand_range(0..PROXIES) as u16;
    match chance.rand_range(0..12) {
        0 => Event::Endpoints(WatchEvent::Full(rows(chance, now))),
        1 => Event::Endpoints(WatchEvent::Delta(rows(chance, now))),
        2 if chance.rand_range(0..2) == 0 => Event::Endpoints(WatchEvent::Failed),
        2 => Event::Endpoints(WatchEvent::Cached(rows(chance, now))),
        3 => Event::Joined { proxy, locality: chance.rand_range(0..4) as u16, rate: f64::NAN, is_new: true },
        4 => Event::Left { proxy },
        5..=7 => Event::EndpointReport(EndpointReport {
            server,
            locality: 0,
            attempts: count(chance),
            failures: count(chance),
            response_time: span(chance),
            window: span(chance),
            load: vec![f64::NAN, f64::INFINITY],
        }),
        8 => Event::DemandReport {
            proxy,
            operation: chance.rand_range(0..9) as u16,
            total: count(chance),
            failures: count(chance),
            window: span(chance),
        },
        9 => Event::HealthChecked {
            server,
            outcome: HealthCheckOutcome::TimedOut,
            elapsed: span(chance),
            load: vec![],
        },
        10 => Event::Acknowledged { proxy, serial: u64::from(count(chance)), elapsed: span(chance) },
        _ => Event::TimerFired { token: u64::from(chance.rand_range(0..4)) },
    }
}

/// Plays seeded events; checks each action against listed servers and joined proxies; gives all actions.
fn play(seed: u64) -> Vec<Vec<Action>> {
    let mut chance = Rand32::new(seed);
    let config = decode_settings(seed, SETTINGS.as_bytes()).expect("the settings are complete");
    let mut controller = Controller::new(&config);
    let (mut listed, mut joined, mut now) = (BTreeSet::new(), BTreeSet::new(), 5_000_000_000_000);
    let mut all_actions = Vec::new();
    for _ in 0..400 {
        now += u64::from(chance.rand_range(0..700_000_000));
        let events: Vec<Event> = (0..chance.rand_range(0..6)).map(|_| event(&mut chance, now)).collect();
        for event in &events {
            match event {
                Event::Endpoints(
                    WatchEvent::Full(rows) | WatchEvent::Delta(rows) | WatchEvent::Cached(rows),
                ) => {
                    listed.extend(rows.iter().map(|row| row.server));
                }
                Event::Joined { proxy, .. } => {
                    joined.insert(*proxy);
                }
                _ => {}
            }
        }
        let actions = controller.decide(now, events);
        for action in &actions {
            let legal = match action {
                Action::SetWeight { table, server, weight } => {
                    let weight = *weight as f32;
                    *table < u16::MAX && listed.contains(server) && weight.is_finite() && weight >= 0.0
                }
                Action::Exclude { server, .. } | Action::CheckHealth { server } => listed.contains(server),
                Action::AssignTable { proxy, table, operations } => {
                    joined.contains(proxy) && *table < u16::MAX && *operations < 4
                }
                Action::LimitAdmission { operations, limit, .. } => {
                    *operations < 4 && (0.0..=1.0).contains(limit)
                }
                Action::SetTimer { delay, .. } => *delay < 71 * 60_000_000_000,
                Action::SendToPeer { .. } => false,
                _ => true,
            };
            assert!(legal, "seed {seed}: {action:?}");
        }
        all_actions.push(actions);
    }
    all_actions
}

#[rstest]
fn shuffled_and_extreme_events_get_legal_and_reproducible_actions() {
    for seed in 0..60 {
        assert_eq!(play(seed), play(seed), "seed {seed}");
    }
}

#[rstest]
fn random_bytes_are_decoded_or_rejected() {
    let mut chance = Rand32::new(11);
    let mut decoded = 0;
    let mut rejected = 0;
    for _ in 0..20_000 {
        let mut frame = 1_000.0_f64.to_be_bytes().to_vec();
        frame.push(chance.rand_range(1..16) as u8);
        frame.extend((0..chance.rand_range(0..60)).map(|_| chance.rand_range(0..256) as u8));
        match decode_batch(&frame) {
            Ok(_) => decoded += 1,
            Err(_) => rejected += 1,
        }
    }
    assert!(decoded > 0 && rejected > 0, "{decoded} decoded, {rejected} rejected");
}
