//! Tests with random bytes, and with random events that have extreme values: the decoder and the controller
//! do not panic, and the controller returns only actions that the protocol allows.

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
/// Masks of operations are below this number, since the settings have two operations.
const OPERATION_MASK_LIMIT: u16 = 4;

fn pick<T: Copy>(random: &mut Rand32, values: &[T]) -> T {
    values[random.rand_range(0..values.len() as u32) as usize]
}

fn endpoints(random: &mut Rand32, now: u64) -> Vec<Endpoint> {
    let endpoint = |random: &mut Rand32| Endpoint {
        server: random.rand_range(0..SERVERS),
        locality: random.rand_range(0..3) as u16,
        kind: random.rand_range(0..3) as u16,
        cell: 0,
        readiness: pick(
            random,
            &[Readiness::Ready, Readiness::Ready, Readiness::Draining, Readiness::Removed],
        ),
        weight: pick(random, &[1.0, 2.0, 0.0, -1.0, f64::NAN, f64::INFINITY, 3e38, 1e-40]),
        started_at: pick(random, &[0, now, now / 2, u64::MAX]),
    };
    (0..random.rand_range(0..SERVERS)).map(|_| endpoint(random)).collect()
}

fn event(random: &mut Rand32, now: u64) -> Event {
    let count = |random: &mut Rand32| pick(random, &[0, 1, 7, 60, u32::MAX]);
    let span = |random: &mut Rand32| pick(random, &[0, 1, 300_000_000, u64::MAX]);
    let server = random.rand_range(0..SERVERS + 3);
    let proxy = random.rand_range(0..PROXIES) as u16;
    match random.rand_range(0..12) {
        0 => Event::Endpoints(WatchEvent::Full(endpoints(random, now))),
        1 => Event::Endpoints(WatchEvent::Delta(endpoints(random, now))),
        2 if random.rand_range(0..2) == 0 => Event::Endpoints(WatchEvent::Failed),
        2 => Event::Endpoints(WatchEvent::Cached(endpoints(random, now))),
        3 => Event::Joined { proxy, locality: random.rand_range(0..4) as u16, rate: f64::NAN, is_new: true },
        4 => Event::Left { proxy },
        5..=7 => Event::EndpointReport(EndpointReport {
            server,
            locality: 0,
            attempts: count(random),
            failures: count(random),
            response_time: span(random),
            window: span(random),
            load: vec![f64::NAN, f64::INFINITY],
        }),
        8 => Event::DemandReport {
            proxy,
            operation: random.rand_range(0..9) as u16,
            total: count(random),
            failures: count(random),
            window: span(random),
        },
        9 => Event::HealthChecked {
            server,
            outcome: HealthCheckOutcome::TimedOut,
            elapsed: span(random),
            load: vec![],
        },
        10 => Event::Acknowledged { proxy, serial: u64::from(count(random)), elapsed: span(random) },
        _ => Event::TimerFired { token: u64::from(random.rand_range(0..4)) },
    }
}

/// Runs a controller on random events, checks that each action is valid for the listed servers and joined
/// proxies, and returns all actions.
fn run_random_events(seed: u64) -> Vec<Vec<Action>> {
    let mut random = Rand32::new(seed);
    let config = decode_settings(seed, SETTINGS.as_bytes()).expect("the settings are complete");
    let mut controller = Controller::new(&config);
    let (mut listed, mut joined, mut now) = (BTreeSet::new(), BTreeSet::new(), 5_000_000_000_000);
    let mut all_actions = Vec::new();
    for _ in 0..400 {
        now += u64::from(random.rand_range(0..700_000_000));
        let events: Vec<Event> = (0..random.rand_range(0..6)).map(|_| event(&mut random, now)).collect();
        for event in &events {
            match event {
                Event::Endpoints(
                    WatchEvent::Full(endpoints)
                    | WatchEvent::Delta(endpoints)
                    | WatchEvent::Cached(endpoints),
                ) => {
                    listed.extend(endpoints.iter().map(|endpoint| endpoint.server));
                }
                Event::Joined { proxy, .. } => {
                    joined.insert(*proxy);
                }
                _ => {}
            }
        }
        let actions = controller.decide(now, events);
        for action in &actions {
            let is_valid = match action {
                Action::SetWeight { table, server, weight } => {
                    let weight = *weight as f32;
                    *table < u16::MAX && listed.contains(server) && weight.is_finite() && weight >= 0.0
                }
                Action::Exclude { server, .. } | Action::CheckHealth { server } => listed.contains(server),
                Action::AssignTable { proxy, table, operations } => {
                    joined.contains(proxy) && *table < u16::MAX && *operations < OPERATION_MASK_LIMIT
                }
                Action::LimitAdmission { operations, limit, .. } => {
                    *operations < OPERATION_MASK_LIMIT && (0.0..=1.0).contains(limit)
                }
                Action::SetTimer { delay, .. } => *delay < 71 * 60_000_000_000,
                Action::SendToPeer { .. } => false,
                _ => true,
            };
            assert!(is_valid, "seed {seed}: {action:?}");
        }
        all_actions.push(actions);
    }
    all_actions
}

#[rstest]
fn random_and_extreme_events_result_in_valid_and_reproducible_actions() {
    for seed in 0..60 {
        assert_eq!(run_random_events(seed), run_random_events(seed), "seed {seed}");
    }
}

#[rstest]
fn random_bytes_are_decoded_or_rejected() {
    let mut random = Rand32::new(11);
    let mut decoded = 0;
    let mut rejected = 0;
    for _ in 0..20_000 {
        let mut frame = 1_000.0_f64.to_be_bytes().to_vec();
        frame.push(random.rand_range(1..16) as u8);
        frame.extend((0..random.rand_range(0..60)).map(|_| random.rand_range(0..256) as u8));
        match decode_batch(&frame) {
            Ok(_) => decoded += 1,
            Err(_) => rejected += 1,
        }
    }
    assert!(decoded > 0 && rejected > 0, "{decoded} decoded, {rejected} rejected");
}
