//! What the tests of several modules are built from.

use rstest::fixture;

use crate::interface::*;
use crate::message::SECOND;
use crate::Controller;

/// When tests begin.
pub(crate) const START: Nanos = 1_000 * SECOND;

pub(crate) fn endpoint(server: ServerId) -> Endpoint {
    Endpoint { server, readiness: Readiness::Ready, weight: 1.0, ..Endpoint::default() }
}

pub(crate) fn operation(billed_value: f64, objective: Nanos, home_only: bool) -> Operation {
    Operation {
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: 0,
        latency_objective: objective,
        timeout: 4 * objective,
        priority_weight: billed_value,
        local_only: home_only,
        writes: false,
    }
}

#[fixture]
pub(crate) fn config() -> ControllerConfig {
    ControllerConfig {
        seed: 7,
        supervisor_index: 0,
        supervisor_count: 1,
        locality: 0,
        locality_count: 2,
        operations: vec![operation(1.0, 2 * SECOND, false), operation(5.0, SECOND, false)],
        polls_endpoints: false,
        admission_mode: AdmissionMode::Ratio,
        load_source: LoadSource::None,
        load_columns: Vec::new(),
        health_checks_allowed: false,
        listed_capacity: ListedCapacity::Nominal,
        proxy_count: 2,
        channel_capacity: 1_000.0,
        lines_per_s: 1_000.0,
        message_overhead: 5.0,
        report_interval: SECOND,
        max_unserved_time: 2 * SECOND,
        first_wait: 1.0,
        failures_to_avoid: 5,
        slices: 0,
        sole_owner: false,
        lease_duration: 0,
        in_flight_max: 4 * SECOND,
        mean_transit: SECOND / 5,
        worst_transit: SECOND,
        message_limit: 0,
        message_limit_window: 10 * SECOND,
        retry_default: 0,
        poll_interval: 10 * SECOND,
        slow_start_capacity: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_ratio: 2.5,
        overload_delay: 2 * SECOND,
        drain_grace: 2 * SECOND,
        removal_is_advisory: false,
    }
}

pub(crate) fn listed(rows: impl IntoIterator<Item = Endpoint>) -> Event {
    Event::Endpoints(WatchEvent::Full(rows.into_iter().collect()))
}

pub(crate) fn joined(proxy: ProxyId) -> Event {
    Event::Joined { proxy, locality: 0, rate: 1.0, is_new: true }
}

/// An instance that knows four servers and has one proxy on its table.
pub(crate) fn running(config: &ControllerConfig) -> Controller {
    let mut brain = Controller::new(config);
    brain.decide(START, vec![listed((1..5).map(endpoint)), joined(1)]);
    brain
}

/// Events of an endpoint list that changes.
pub(crate) fn changed(endpoints: impl IntoIterator<Item = Endpoint>) -> Vec<Event> {
    vec![Event::Endpoints(WatchEvent::Delta(endpoints.into_iter().collect()))]
}

/// A server that drains.
pub(crate) fn draining(server: ServerId) -> Endpoint {
    Endpoint { readiness: Readiness::Draining, ..endpoint(server) }
}

/// A large deployment: so many servers and proxies, and a channel that holds a dozen full tables.
pub(crate) fn large(mut config: ControllerConfig, servers: u32, proxies: ProxyId) -> Controller {
    config.channel_capacity = f64::from(servers) * 12.0;
    config.lines_per_s = f64::from(servers) * 8.0;
    let mut controller = Controller::new(&config);
    controller.decide(START, vec![listed((1..=servers).map(endpoint))]);
    controller.decide(START + 1, (0..proxies).map(joined).collect());
    controller
}

/// Decides after all that was sent before has been acknowledged.
pub(crate) fn decide_acknowledged(
    controller: &mut Controller,
    now: Nanos,
    events: Vec<Event>,
) -> Vec<Action> {
    controller.channel.pacing.pending_marks.clear();
    controller.decide(now, events)
}

/// Number of actions that assign a table.
pub(crate) fn assignments(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::AssignTable { .. })).count()
}
