//! Fixtures and builders shared by the tests of several modules.

use rstest::fixture;

use crate::fleet::Fleet;
use crate::health::CAPACITY_EXPONENT;
use crate::interface::{
    Action, AdmissionMode, ControllerConfig, DeduplicationScope, Endpoint, EndpointReport, Event,
    Idempotency, ListedCapacity, LoadSource, Nanos, Operation, ProxyId, Readiness, ServerId, WatchEvent,
};
use crate::message::{Mailboxes, ResponseTotals, ServerStatus, SECOND};
use crate::server::{Server, ServerConfig};
use crate::slow_start::{SlowStart, TableWeights, CAUTIOUS_FAILURE_SHARE};
use crate::Controller;

/// Time at which tests start.
pub(crate) const START: Nanos = 1_000 * SECOND;

pub(crate) fn endpoint(server: ServerId) -> Endpoint {
    Endpoint { server, readiness: Readiness::Ready, weight: 1.0, ..Endpoint::default() }
}

pub(crate) fn operation(priority_weight: f64, objective: Nanos, local_only: bool) -> Operation {
    Operation {
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: 0,
        latency_objective: objective,
        timeout: 4 * objective,
        priority_weight,
        local_only,
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
        key_range_count: 0,
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

/// A controller with four listed servers and one proxy that is assigned a table.
pub(crate) fn running_controller(config: &ControllerConfig) -> Controller {
    let mut controller = Controller::new(config);
    controller.decide(START, vec![listed((1..5).map(endpoint)), joined(1)]);
    controller
}

/// A report on a server over one second; its responses took 0.2 s on average.
pub(crate) fn report(server: ServerId, attempts: u32, failures: u32) -> EndpointReport {
    EndpointReport {
        server,
        locality: 0,
        attempts,
        failures,
        response_time: if failures < attempts { SECOND / 5 } else { 0 },
        window: SECOND,
        load: Vec::new(),
    }
}

/// Delivers a report to a server at `now`.
pub(crate) fn record_report(server: &mut Server, attempts: u32, failures: u32, now: Nanos) {
    let observed = report(server.endpoint.server, attempts, failures);
    server.record_report(&observed, &mut Mailboxes::at(now));
}

pub(crate) fn server_config() -> ServerConfig {
    ServerConfig {
        slow_start: SlowStart { capacity: 0.2, duration: 10 * SECOND, overload_factor: 1.0 },
        feedback_delay: 2 * SECOND,
        capacities_listed: false,
        kind_exponent: CAPACITY_EXPONENT,
        removal_is_advisory: false,
    }
}

/// Status of a healthy, warm server.
pub(crate) fn status(server: ServerId) -> ServerStatus {
    ServerStatus {
        endpoint: endpoint(server),
        must_exclude: false,
        has_returned: false,
        warm: true,
        ejected: false,
        fault: None,
        severity: 0.0,
        weight: 1.0,
        listed_weight: 1.0,
        slow_start_limit: None,
        response_time: None,
        recent_responses: ResponseTotals::default(),
        error_rate: 0.0,
    }
}

/// Status of a server that is warming up.
pub(crate) fn warming(server: ServerId, slow_start_limit: f64) -> ServerStatus {
    ServerStatus { warm: false, slow_start_limit: Some(slow_start_limit), ..status(server) }
}

/// A fleet with these statuses, whose last report came at [`START`].
pub(crate) fn fleet(statuses: impl IntoIterator<Item = ServerStatus>) -> Fleet {
    let report_interval = 10 * SECOND;
    let mut fleet = Fleet {
        statuses: statuses.into_iter().map(|status| (status.endpoint.server, status)).collect(),
        report_interval,
        overload_response_time: SECOND as f64,
        ..Fleet::default()
    };
    fleet.reports.last = START;
    fleet.table_weights = TableWeights {
        report_interval,
        avoidance_failure_rate: 0.4,
        cautious_failure_share: CAUTIOUS_FAILURE_SHARE,
        ..TableWeights::default()
    };
    fleet
}

/// The event of a change of the endpoint list.
pub(crate) fn list_changes(endpoints: impl IntoIterator<Item = Endpoint>) -> Vec<Event> {
    vec![Event::Endpoints(WatchEvent::Delta(endpoints.into_iter().collect()))]
}

/// List entry of a draining server.
pub(crate) fn draining(server: ServerId) -> Endpoint {
    Endpoint { readiness: Readiness::Draining, ..endpoint(server) }
}

/// A large deployment with the given numbers of servers and proxies, and a channel that can queue twelve full
/// tables.
pub(crate) fn large_deployment(mut config: ControllerConfig, servers: u32, proxies: ProxyId) -> Controller {
    config.channel_capacity = f64::from(servers) * 12.0;
    config.lines_per_s = f64::from(servers) * 8.0;
    let mut controller = Controller::new(&config);
    controller.decide(START, vec![listed((1..=servers).map(endpoint))]);
    controller.decide(START + 1, (0..proxies).map(joined).collect());
    controller
}

/// Calls the controller after everything sent before has been acknowledged.
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
