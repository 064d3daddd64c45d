//! One supervisor, free of sockets and clocks: the runtime reports connections, bytes and time, and carries
//! out the commands that follow.

mod connections;
mod controller_runs;
mod discovery;
mod health_checks;
mod messages;
mod status;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use shalereel::interface::{Event, Nanos, ProxyId, ServerId, WatchEvent};
use shalereel_reactor::Timers;

use crate::clocks::Clocks;
use crate::config::Config;
use crate::limits::Limits;
use crate::protocol::EndpointList;
use crate::proxy_tables::ProxyTables;
use crate::server_registry::ServerRegistry;
use connections::{Connection, Role};
pub use controller_runs::ControllerFailure;
use controller_runs::ControllerRuns;
use discovery::DiscoveryState;
use status::{Fault, LogLimiter};

/// Whom the supervisor connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialTarget {
    /// Discovery, to watch the endpoint list.
    Discovery(SocketAddr),
    /// A server, to check its health.
    HealthCheck(ServerId, SocketAddr),
}

impl DialTarget {
    /// Address to connect to.
    pub fn address(self) -> SocketAddr {
        match self {
            DialTarget::Discovery(address) | DialTarget::HealthCheck(_, address) => address,
        }
    }
}

/// What the runtime is to do. `C` identifies connections.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<C> {
    /// Send bytes on a connection.
    Write(C, Bytes),
    /// Close a connection; [`Supervisor::closed`] is not called for it.
    Close {
        /// Which connection.
        connection: C,
        /// With a TCP reset: what was not sent is discarded.
        reset: bool,
    },
    /// Connect, and call [`Supervisor::dialled`].
    Dial(DialTarget),
    /// Write a line to the log.
    Log(String),
}

#[derive(Clone, Copy, Debug)]
enum Timer<C> {
    /// Set by the controller.
    Controller {
        token: u64,
    },
    JoinDeadline(C),
    DialDiscovery,
    HealthCheckDeadline(C),
    /// Looks for silent connections, and for removed servers to forget.
    Sweep,
}

/// The state of one supervisor. `C` identifies connections.
pub struct Supervisor<C> {
    config: Config,
    limits: Limits,
    registry: ServerRegistry,
    tables: ProxyTables,
    controller: ControllerRuns,
    connections: BTreeMap<C, Connection>,
    proxy_connections: BTreeMap<ProxyId, C>,
    /// Bytes of unended messages of all connections.
    buffered_bytes: usize,
    discovery: DiscoveryState<C>,
    timers: Timers<Timer<C>>,
    commands: Vec<Command<C>>,
    faults: BTreeMap<Fault, u64>,
    log_limiter: LogLimiter,
    last_status_report_at: Nanos,
    sent_bytes: u64,
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// A supervisor that starts now, with the endpoint list of its configuration.
    pub fn new(mut config: Config, clocks: Clocks) -> Self {
        let known_list = config.known_list.take();
        let limits = Limits::new(&config.controller, config.resources);
        let mut timers = Timers::default();
        timers.set(clocks.now, Timer::DialDiscovery);
        timers.set(limits.next_sweep_at(clocks.now), Timer::Sweep);
        let mut supervisor = Supervisor {
            registry: ServerRegistry::new(config.localities.clone(), config.kinds.clone()),
            tables: ProxyTables::new(config.operations.len()),
            controller: ControllerRuns::new(&config.controller),
            connections: BTreeMap::new(),
            proxy_connections: BTreeMap::new(),
            buffered_bytes: 0,
            discovery: DiscoveryState::new(config.controller.seed, known_list.is_none()),
            timers,
            commands: Vec::new(),
            faults: BTreeMap::new(),
            log_limiter: LogLimiter::new(clocks.now),
            last_status_report_at: clocks.now,
            sent_bytes: 0,
            limits,
            config,
        };
        supervisor.start_from(known_list, clocks);
        supervisor
    }

    fn start_from(&mut self, known_list: Option<EndpointList>, clocks: Clocks) {
        let mut endpoints = Vec::new();
        if let Some(list) = known_list {
            let update = self.registry.apply(list, clocks, None);
            self.report_entry_errors(update.errors, clocks.now);
            if let WatchEvent::Full(known) | WatchEvent::Delta(known) = update.event {
                endpoints = known;
            }
        }
        self.controller.push(Event::Endpoints(WatchEvent::Cached(endpoints)));
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// When [`Supervisor::advance`] must be called at the latest.
    pub fn next_wakeup(&self) -> Option<Nanos> {
        let next_run = self.controller.next_run_at(self.config.batch_interval);
        self.timers.next_at().into_iter().chain(next_run).min()
    }

    /// Takes the commands that have accumulated, in the order in which they must be carried out.
    pub fn take_commands(&mut self) -> Vec<Command<C>> {
        std::mem::take(&mut self.commands)
    }

    /// Handles timers that are due, and runs the controller on pending events.
    pub fn advance(&mut self, clocks: Clocks) {
        let now = clocks.now;
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Controller { token } => self.controller.push(Event::TimerFired { token }),
                Timer::JoinDeadline(connection) => self.check_joined(connection, now),
                Timer::HealthCheckDeadline(connection) => self.health_check_timed_out(connection, now),
                Timer::DialDiscovery => self.dial_discovery(),
                Timer::Sweep => self.sweep(now),
            }
        }
        if self.controller.next_run_at(self.config.batch_interval).is_some_and(|at| now >= at) {
            self.run_controller(clocks);
        }
    }

    fn sweep(&mut self, now: Nanos) {
        self.timers.set(self.limits.next_sweep_at(now), Timer::Sweep);
        self.close_silent_watch(now);
        self.close_unresponsive_proxies(now);
        let tables = &mut self.tables;
        let before = self.limits.forget_removed_before(now);
        for server in self.registry.forget_removed(before, |server| tables.references(server)) {
            tables.forget(server);
        }
        if now >= self.limits.next_status_report_at(self.last_status_report_at) {
            self.report_status(now);
        }
    }
}
