//! A supervisor without I/O and clock: it takes messages of peers and returns commands for the daemon that drives it.
//! Messages become events for the controller, and the controller's actions become messages.

mod actions;
mod command;
mod delivery;
mod endpoint_list;
mod faults;
mod group;
mod load_streams;
mod proxy;
mod requests;
mod resources;
mod sasp;
mod snapshot;
mod streams;
mod updates;

use std::collections::{BTreeMap, VecDeque};

use shalereel::interface::{ControllerConfig, Event, HealthCheckOutcome, Nanos, ProxyId, ServerId, TableId};
use shalereel::Controller;
use shalereel_rpc::Status;
use shalereel_snapshot::FreshnessPolicy;
use shalereel_store::{DeliveryPolicy, Provenance, RetentionLimits, StoreError};
use shalereel_xds::ServerStream;

pub use command::{ShellCommand, Warning};
use delivery::SupervisorUpdate;
use proxy::Proxy;
use resources::ResponseCache;
use snapshot::RestoredSnapshot;

use crate::admin;
use crate::channel::{Backlog, Channel};
use crate::client_limits::ClientLimits;
use crate::deployment::Deployment;
use crate::endpoints::EndpointList;
use crate::group_member::GroupMember;
use crate::load_reports::{LoadReports, ReportingProxy};
use crate::sasp_front::SaspFront;
use crate::tables::{TableContext, Tables};

/// Number of a stream or SASP connection, assigned by the daemon and never reused.
pub type Peer = u64;

/// Resource name of the listener that clients request first, and of its routes.
pub const LISTENER_NAME: &str = "shalereel";
/// Prefix of a request path; the operation's name follows it.
pub const OPERATION_PATH_PREFIX: &str = "/shalereel.work.v1.Work/";

/// A discovery stream.
#[derive(Debug)]
struct Stream {
    server: ServerStream,
    /// The proxy that joined on the stream; `None` until its first message names the node.
    proxy: Option<ProxyId>,
}

/// Key of a timer: the time when it fires, and a number that distinguishes timers of the same time.
type TimerKey = (Nanos, u64);

/// State of one supervisor.
pub struct Core {
    deployment: Deployment,
    config: ControllerConfig,
    controller: Controller,
    tables: Tables,
    endpoints: EndpointList,
    /// Wall clock minus monotonic clock, ns; 0 until the daemon has set it.
    wall_clock_offset: Nanos,
    /// Share of all requests that is sent by each table.
    table_shares: BTreeMap<TableId, f64>,

    channel: Channel,
    delivery: DeliveryPolicy,
    /// Updates that no action of the controller caused; they wait for spare capacity of the channel.
    supervisor_updates: VecDeque<SupervisorUpdate>,
    cache: ResponseCache,
    /// Last number that was given to a response's nonce or a timer's key.
    last_nonce: u64,
    /// Identifier of this control plane in responses.
    identity: String,

    limits: ClientLimits,
    streams: BTreeMap<Peer, Stream>,
    /// LRS streams, and the proxy that each reports for; `None` until a report names a node that has joined on a
    /// discovery stream. Reports are dropped until then.
    load_streams: BTreeMap<Peer, Option<ReportingProxy>>,
    sasp: SaspFront,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Proxy id of each node id; a disconnected node keeps its proxy id.
    proxy_ids: BTreeMap<String, ProxyId>,

    load_reports: LoadReports,
    /// Requests per second that each proxy received in the last report interval.
    request_rates: BTreeMap<ProxyId, f64>,
    last_report_at: Nanos,

    group: Option<GroupMember>,
    /// The servers have changed since the group was last sent them.
    servers_changed: bool,

    freshness: FreshnessPolicy,
    restored: Option<RestoredSnapshot>,
    snapshot_applied: bool,
    snapshot_taken_at: Nanos,

    /// Token of each timer, in the order in which they fire.
    timers: BTreeMap<TimerKey, u64>,
    /// Events for the controller's next decision.
    events: Vec<Event>,
    /// Time of the controller's last decision.
    last_decision_at: Option<Nanos>,
    commands: Vec<ShellCommand>,
}

impl Core {
    /// Creates a supervisor that starts at `now`. `stored_list` is the endpoint list that an earlier run stored.
    pub fn new(deployment: Deployment, now: Nanos, stored_list: Option<&[u8]>) -> Self {
        let config = deployment.config.clone();
        let retention = deployment.table_history.or_derived(RetentionLimits::new(&config));
        let mut core = Core {
            controller: Controller::new(&config),
            tables: Tables::new(&deployment, retention),
            endpoints: EndpointList::new(&deployment.localities),
            wall_clock_offset: 0,
            table_shares: BTreeMap::new(),
            channel: Channel::new(&config, deployment.paced),
            delivery: DeliveryPolicy::new(&config),
            supervisor_updates: VecDeque::new(),
            cache: ResponseCache::default(),
            last_nonce: 0,
            identity: format!("shalereel/{}", config.supervisor_index),
            limits: ClientLimits::new(&config),
            streams: BTreeMap::new(),
            load_streams: BTreeMap::new(),
            sasp: SaspFront::new(ClientLimits::new(&config).balancer()),
            proxies: BTreeMap::new(),
            proxy_ids: BTreeMap::new(),
            load_reports: LoadReports::default(),
            request_rates: BTreeMap::new(),
            last_report_at: now,
            group: None,
            servers_changed: true,
            freshness: FreshnessPolicy::new(&config),
            restored: None,
            snapshot_applied: false,
            snapshot_taken_at: now,
            timers: BTreeMap::new(),
            events: Vec::new(),
            last_decision_at: None,
            commands: Vec::new(),
            config,
            deployment,
        };
        core.load_endpoint_list(now, stored_list);
        core
    }

    /// Sets wall clock minus monotonic clock, ns.
    pub fn set_wall_clock_offset(&mut self, offset: Nanos) {
        self.wall_clock_offset = offset;
    }

    /// Loads the table history that an earlier run stored, and returns the number of bytes of the file that are intact.
    ///
    /// # Errors
    ///
    /// The file is damaged; nothing of it is used.
    pub fn load_tables(&mut self, file: Option<&[u8]>) -> Result<usize, StoreError> {
        file.map_or(Ok(0), |file| self.tables.store.load(file))
    }

    /// Records that a write of table versions failed; the next write replaces the whole history.
    pub fn table_write_failed(&mut self) {
        self.tables.store.write_failed();
    }

    /// Answers an operator's request about tables.
    ///
    /// # Errors
    ///
    /// The request cannot be decoded or executed; the call ends with this status.
    pub fn handle_admin(&mut self, now: Nanos, message: &[u8]) -> Result<Vec<u8>, Status> {
        let context =
            table_context(&self.endpoints, &self.table_shares, &self.config, self.wall_clock_offset, now);
        admin::answer(&mut self.tables, &context, message)
    }

    /// Handles the outcome of a health check that the daemon made; it took `elapsed` ns.
    pub fn health_checked(&mut self, server: ServerId, outcome: HealthCheckOutcome, elapsed: Nanos) {
        self.events.push(Event::HealthChecked { server, outcome, elapsed, load: Vec::new() });
    }

    /// Current and peak number of lines in the channel.
    pub fn backlog(&self) -> Backlog {
        self.channel.backlog()
    }

    /// Number of joined proxies.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// Latest time of the next [`poll`](Core::poll), even if no input arrives, ns.
    pub fn next_deadline(&self) -> Nanos {
        let next_batch = self.last_decision_at.map_or(0, |at| at + self.deployment.min_batch_interval);
        let next_report = self.last_report_at + self.config.report_interval;
        let deadlines = [
            (!self.events.is_empty()).then_some(next_batch),
            self.timers.keys().next().map(|(fires_at, _)| (*fires_at).max(next_batch)),
            Some(next_report),
            self.channel.next_departure(),
            self.proxies.values().filter_map(|proxy| proxy.retry_at).min(),
            self.group.as_ref().map(GroupMember::next_deadline),
            self.next_retransmission(),
            self.tables.next_timeout(),
        ];
        deadlines.into_iter().flatten().min().unwrap_or(next_report)
    }

    /// Does all work that is due and returns the commands for the daemon. The order is: end of the report interval,
    /// group, controller's decision, snapshot, versions of changed tables, updates that no action of the controller
    /// caused (guard, retransmissions, constraints), departures from the channel, writes to proxies. Publishing
    /// precedes writing, so that proxies are sent the newest version. `blocked` tells whether a peer still has unsent
    /// bytes of earlier messages.
    pub fn poll(&mut self, now: Nanos, blocked: impl Fn(Peer) -> bool) -> Vec<ShellCommand> {
        if now >= self.last_report_at + self.config.report_interval {
            self.end_report_interval(now);
        }
        self.poll_group(now);
        self.decide(now);
        self.store_snapshot(now);
        // A version that is published because the guard inspects lines again has this reason too.
        self.publish(now, &Provenance::new("list", "servers are met at other addresses"));
        self.poll_supervisor_updates(now);
        while let Some(departure) = self.channel.depart(now) {
            self.on_departure(departure);
        }
        self.write_updates(now, blocked);
        self.cache.clear();
        let warnings = self.tables.take_guard_log().into_iter().map(Warning::Guard);
        self.commands.extend(warnings.map(ShellCommand::Warn));
        let writes = self.tables.store.take_writes();
        self.commands.extend(writes.into_iter().map(ShellCommand::StoreTables));
        std::mem::take(&mut self.commands)
    }

    /// Passes the queued events to the controller, if there are any and the minimum batch interval has passed.
    fn decide(&mut self, now: Nanos) {
        if self.last_decision_at.is_some_and(|at| now < at + self.deployment.min_batch_interval) {
            return;
        }
        while let Some(timer) = self.timers.first_entry().filter(|timer| timer.key().0 <= now) {
            self.events.push(Event::TimerFired { token: timer.remove() });
        }
        if self.events.is_empty() {
            return;
        }
        self.last_decision_at = Some(now);
        let actions = self.controller.decide(now, std::mem::take(&mut self.events));
        self.apply_actions(now, actions);
    }

    /// Publishes a new version of each table that differs from its last version.
    fn publish(&mut self, now: Nanos, provenance: &Provenance) {
        let context =
            table_context(&self.endpoints, &self.table_shares, &self.config, self.wall_clock_offset, now);
        self.tables.publish(&context, provenance);
    }

    /// Returns the next number for a response's nonce or a timer's key.
    fn next_number(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    fn warn(&mut self, warning: Warning) {
        self.commands.push(ShellCommand::Warn(warning));
    }

    /// Closes a stream or SASP connection from this side.
    fn close_stream(&mut self, peer: Peer, status: Status) {
        self.stream_closed(peer);
        self.commands.push(ShellCommand::CloseStream { peer, status });
    }
}

/// Inputs of the tables besides the controller's actions.
fn table_context<'a>(
    endpoints: &'a EndpointList,
    table_shares: &'a BTreeMap<TableId, f64>,
    config: &ControllerConfig,
    wall_clock_offset: Nanos,
    now: Nanos,
) -> TableContext<'a> {
    TableContext {
        endpoints,
        now,
        wall_clock_offset,
        slow_start_duration: config.slow_start_duration,
        traffic_shares: table_shares,
    }
}
