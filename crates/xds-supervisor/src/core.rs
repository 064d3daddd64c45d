//! A supervisor without its sockets: what peers send goes in, commands to the shell come out. Messages become events of
//! the controller, and its actions become messages. `daemon` drives it. Free of I/O and clock.

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
use delivery::OwnUpdate;
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

/// Number of a stream, given by the shell; never given twice.
pub type Peer = u64;

/// Name of the listener and its routes that clients start from.
pub const LISTENER_NAME: &str = "shalereel";
/// Path before an operation's name.
pub const OPERATION_PATH_PREFIX: &str = "/shalereel.work.v1.Work/";

/// A discovery stream.
#[derive(Debug)]
struct Stream {
    server: ServerStream,
    /// Known once its first message was read.
    proxy: Option<ProxyId>,
}

/// Key of a timer: when it fires, and a number that keeps those of one time apart.
type TimerKey = (Nanos, u64);

/// One supervisor.
pub struct Core {
    deployment: Deployment,
    config: ControllerConfig,
    controller: Controller,
    tables: Tables,
    endpoints: EndpointList,
    /// The wall clock less the monotonic one, ns; 0 until the daemon has set it.
    wall_clock_offset: Nanos,
    /// Share of all requests that goes by each table.
    table_shares: BTreeMap<TableId, f64>,

    channel: Channel,
    delivery: DeliveryPolicy,
    /// Updates that no action of the controller caused; they wait for the channel's spare capacity.
    own_updates: VecDeque<OwnUpdate>,
    cache: ResponseCache,
    last_nonce: u64,
    /// Identifier of this control plane in responses.
    identity: String,

    limits: ClientLimits,
    streams: BTreeMap<Peer, Stream>,
    /// LRS streams, and the proxy that each reports for; `None` until a report names a node that has joined a discovery
    /// stream before, and reports are dropped until then.
    load_streams: BTreeMap<Peer, Option<ReportingProxy>>,
    sasp: SaspFront,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// By node id; ids stay given while their proxies are away.
    proxy_ids: BTreeMap<String, ProxyId>,

    load_reports: LoadReports,
    /// Requests per second that came to each proxy in the last report interval.
    request_rates: BTreeMap<ProxyId, f64>,
    reported_at: Nanos,

    group: Option<GroupMember>,
    /// The group was not yet sent the servers as they are now.
    servers_changed: bool,

    freshness: FreshnessPolicy,
    restored: Option<RestoredSnapshot>,
    snapshot_applied: bool,
    snapshot_taken_at: Nanos,

    /// Token of each timer, by when it fires.
    timers: BTreeMap<TimerKey, u64>,
    events: Vec<Event>,
    decided_at: Option<Nanos>,
    commands: Vec<ShellCommand>,
}

impl Core {
    /// A supervisor that starts now. `stored_list`: the endpoint list that an earlier run stored.
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
            own_updates: VecDeque::new(),
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
            reported_at: now,
            group: None,
            servers_changed: true,
            freshness: FreshnessPolicy::new(&config),
            restored: None,
            snapshot_applied: false,
            snapshot_taken_at: now,
            timers: BTreeMap::new(),
            events: Vec::new(),
            decided_at: None,
            commands: Vec::new(),
            config,
            deployment,
        };
        core.load_endpoint_list(now, stored_list);
        core
    }

    /// Sets by how much the wall clock is ahead of the monotonic one, ns.
    pub fn set_wall_clock_offset(&mut self, offset: Nanos) {
        self.wall_clock_offset = offset;
    }

    /// Takes the tables' history that an earlier run stored. Gives how many bytes of the file are intact.
    ///
    /// # Errors
    ///
    /// The file is damaged; nothing of it is used.
    pub fn load_tables(&mut self, file: Option<&[u8]>) -> Result<usize, StoreError> {
        file.map_or(Ok(0), |file| self.tables.store.load(file))
    }

    /// Takes note that versions of tables were not written; the whole history is written again with the next one.
    pub fn table_write_failed(&mut self) {
        self.tables.store.write_failed();
    }

    /// Answers an operator's request about tables.
    ///
    /// # Errors
    ///
    /// It cannot be decoded or carried out; the call ends with this status.
    pub fn handle_admin(&mut self, now: Nanos, message: &[u8]) -> Result<Vec<u8>, Status> {
        let context =
            table_context(&self.endpoints, &self.table_shares, &self.config, self.wall_clock_offset, now);
        admin::answer(&mut self.tables, &context, message)
    }

    /// A health check that the shell made is over, after `elapsed`.
    pub fn health_checked(&mut self, server: ServerId, outcome: HealthCheckOutcome, elapsed: Nanos) {
        self.events.push(Event::HealthChecked { server, outcome, elapsed, load: Vec::new() });
    }

    /// Lines in the channel.
    pub fn backlog(&self) -> Backlog {
        self.channel.backlog()
    }

    /// Number of joined proxies.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// When it has to be polled next, whatever comes.
    pub fn next_deadline(&self) -> Nanos {
        let next_batch = self.decided_at.map_or(0, |at| at + self.deployment.min_batch_interval);
        let next_report = self.reported_at + self.config.report_interval;
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

    /// Carries out all that is due, in this order: the report interval's end, the group, the controller's decision,
    /// the snapshot, versions of changed tables, the supervisor's own updates (guard, retransmissions, constraints),
    /// departures of the channel, writes to proxies; then gives the commands for the shell. Publishing comes before
    /// writing, so that what is written is the newest version. `blocked`: whether a peer has not read what was
    /// written to it before.
    pub fn poll(&mut self, now: Nanos, blocked: impl Fn(Peer) -> bool) -> Vec<ShellCommand> {
        if now >= self.reported_at + self.config.report_interval {
            self.end_report_interval(now);
        }
        self.poll_group(now);
        self.decide(now);
        self.store_snapshot(now);
        // Also versions from lines that the guard inspects again bear this reason.
        self.publish(now, &Provenance::new("list", "servers are met at other addresses"));
        self.poll_own_updates(now);
        while let Some(departure) = self.channel.depart(now) {
            self.departed(departure);
        }
        self.write_updates(now, blocked);
        self.cache.clear();
        let warnings = self.tables.take_guard_log().into_iter().map(Warning::Guard);
        self.commands.extend(warnings.map(ShellCommand::Warn));
        let writes = self.tables.store.take_writes();
        self.commands.extend(writes.into_iter().map(ShellCommand::StoreTables));
        std::mem::take(&mut self.commands)
    }

    /// Gives the controller a batch of events, if there are any and the least time since the last batch is over.
    fn decide(&mut self, now: Nanos) {
        if self.decided_at.is_some_and(|at| now < at + self.deployment.min_batch_interval) {
            return;
        }
        while let Some(timer) = self.timers.first_entry().filter(|timer| timer.key().0 <= now) {
            self.events.push(Event::TimerFired { token: timer.remove() });
        }
        if self.events.is_empty() {
            return;
        }
        self.decided_at = Some(now);
        let actions = self.controller.decide(now, std::mem::take(&mut self.events));
        self.perform_all(now, actions);
    }

    /// Makes versions of all tables that differ from their last ones.
    fn publish(&mut self, now: Nanos, provenance: &Provenance) {
        let context =
            table_context(&self.endpoints, &self.table_shares, &self.config, self.wall_clock_offset, now);
        self.tables.publish(&context, provenance);
    }

    /// The next nonce of a response; it also numbers timers.
    fn next_number(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    fn warn(&mut self, warning: Warning) {
        self.commands.push(ShellCommand::Warn(warning));
    }

    /// Closes a stream from this side.
    fn close_stream(&mut self, peer: Peer, status: Status) {
        self.stream_closed(peer);
        self.commands.push(ShellCommand::CloseStream { peer, status });
    }
}

/// What tables are made from, beside the controller's actions.
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
