//! The controller: the entry point of all decisions, free of I/O. A supervisor creates it with
//! [`Controller::new`], passes each batch of events to [`Controller::decide`], and carries out the returned
//! actions in order.
//!
//! Inside, the endpoint list, each server, the fleet and the channel are components that communicate only by
//! `Message`s, which wait in one mailbox per component. `decide` turns events into messages and delivers
//! messages until all mailboxes are empty.

use std::collections::BTreeMap;

use crate::channel::Channel;
use crate::endpoints::{EndpointList, WATCH_RETRY_TIMER};
use crate::fleet::Fleet;
use crate::interface::{
    Action, AdmissionMode, ControllerConfig, Event, Nanos, RetryPolicy, ServerId, Snapshot,
};
use crate::message::{tick_interval, AdmissionLimit, Component, Mailboxes, Message, SECOND};
use crate::server::{Server, ServerConfig};

#[cfg(test)]
mod tests;

/// Token of the timer that makes the supervisor call the controller at least once per tick interval.
const TICK_TIMER: u64 = 1;
/// How long a removed server is remembered after its last response or change of state. Until then, newly
/// joined proxies are told to exclude it if it drained; a server that was removed without draining is
/// excluded only while there are recent attempts at it.
const REMOVED_SERVER_RETENTION: Nanos = 60 * SECOND;

/// Decides which weights, admission limits and exclusions one supervisor sends to its proxies.
#[derive(Debug)]
pub struct Controller {
    mailboxes: Mailboxes,
    endpoints: EndpointList,
    servers: BTreeMap<ServerId, Server>,
    server_config: ServerConfig,
    pub(crate) fleet: Fleet,
    pub(crate) channel: Channel,
    tick_interval: Nanos,
    started: bool,
}

impl Controller {
    /// Creates a controller that has not received an endpoint list or a proxy yet.
    pub fn new(config: &ControllerConfig) -> Self {
        let limits = initial_limits(config);
        Controller {
            mailboxes: Mailboxes::default(),
            endpoints: EndpointList::new(config),
            servers: BTreeMap::new(),
            server_config: ServerConfig::new(config),
            fleet: Fleet::new(config, limits.clone()),
            channel: Channel::new(config, limits),
            tick_interval: tick_interval(config),
            started: false,
        }
    }

    /// Returns the state learned by `now`, to be restored by a later process.
    pub fn snapshot(&mut self, now: Nanos) -> Snapshot {
        let servers = self.servers.values_mut().map(|server| server.snapshot(now)).collect();
        Snapshot { servers, ..self.fleet.snapshot(now) }
    }

    /// Processes a batch of events at time `now`. Returns the actions to carry out, in order.
    pub fn decide(&mut self, now: Nanos, events: Vec<Event>) -> Vec<Action> {
        self.mailboxes.now = now;
        if !self.started {
            self.started = true;
            self.set_tick_timer();
            self.mailboxes.send(Component::Endpoints, Message::StartWatch);
        }
        // Servers are compared with the statuses of the previous evaluation. After a restore there are none
        // yet, so a second evaluation follows.
        let restored = events.iter().any(|event| matches!(event, Event::Restored { .. }));
        let evaluations = if restored { 2 } else { 1 };
        for event in events {
            self.dispatch(event);
        }
        self.deliver_messages();
        self.forget_removed_servers();
        for _ in 0..evaluations {
            let servers = self.servers.keys().copied().collect();
            self.mailboxes.send(Component::Fleet, Message::EvaluateAll(servers));
            self.deliver_messages();
        }
        self.mailboxes.send(Component::Channel, Message::Flush);
        self.deliver_messages();
        std::mem::take(&mut self.mailboxes.actions)
    }

    fn set_tick_timer(&mut self) {
        let delay = self.tick_interval;
        self.mailboxes.actions.push(Action::SetTimer { delay, token: TICK_TIMER });
    }

    /// Turns an event into messages to the components that it concerns.
    fn dispatch(&mut self, event: Event) {
        let (component, message) = match event {
            Event::Endpoints(change) => (Component::Endpoints, Message::Endpoints(change)),
            Event::Restored { snapshot, age } => (Component::Endpoints, Message::Restored { snapshot, age }),
            Event::Joined { proxy, rate, is_new, .. } => {
                (Component::Channel, Message::Joined { proxy, rate, is_new })
            }
            Event::Left { proxy } => (Component::Channel, Message::Left(proxy)),
            Event::Backlog { lines } => (Component::Channel, Message::Backlog(lines)),
            Event::Sent { serial, lines } => {
                (Component::Channel, Message::Sent { serial: serial.into(), lines })
            }
            Event::EndpointReport(report) if report.attempts > 0 => {
                (Component::Server(report.server), Message::Report(report))
            }
            Event::DemandReport { proxy, operation, total, failures, .. } => {
                let (total, failures) = (f64::from(total), f64::from(failures));
                self.mailboxes.send(Component::Channel, Message::ProxyDemand { proxy, total });
                (Component::Fleet, Message::Demand { operation: operation.into(), total, failures })
            }
            Event::Acknowledged { proxy, serial, .. } => {
                (Component::Channel, Message::Acknowledged { proxy, serial })
            }
            Event::TimerFired { token: TICK_TIMER } => return self.set_tick_timer(),
            Event::TimerFired { token: WATCH_RETRY_TIMER } => (Component::Endpoints, Message::StartWatch),
            _ => return,
        };
        self.mailboxes.send(component, message);
    }

    /// Delivers messages to their components until none is left.
    fn deliver_messages(&mut self) {
        while let Some((component, message)) = self.mailboxes.next() {
            match component {
                Component::Endpoints => self.endpoints.handle(message, &mut self.mailboxes),
                Component::Server(server) => self.deliver_to_server(server, message),
                Component::Fleet => self.deliver_to_fleet(message),
                Component::Channel => self.channel.handle(message, &mut self.mailboxes),
            }
        }
    }

    /// Delivers a message to a server; the server is created when it is first listed.
    fn deliver_to_server(&mut self, id: ServerId, message: Message) {
        if let Message::Listed(endpoint) = message {
            self.servers.entry(id).or_insert_with(|| Server::new(endpoint, self.mailboxes.now));
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        match message {
            Message::RestoredServer { snapshot, age } => {
                server.restore(&snapshot, age, self.server_config.feedback_delay, self.mailboxes.now)
            }
            message => server.handle(message, &self.server_config, &mut self.mailboxes),
        }
    }

    fn deliver_to_fleet(&mut self, message: Message) {
        match message {
            Message::Restored { snapshot, age } => self.fleet.restore(&snapshot, age, self.mailboxes.now),
            message => self.fleet.handle(message, &mut self.mailboxes),
        }
    }

    /// Forgets servers that were removed long ago and that no table contains. Guards against unbounded memory
    /// growth where servers are continually replaced under new ids.
    fn forget_removed_servers(&mut self) {
        let Controller { servers, endpoints, fleet, channel, mailboxes, .. } = self;
        servers.retain(|&id, server| {
            let inactive_for = mailboxes.now.saturating_sub(server.last_active());
            let forgettable = !endpoints.contains(id) && inactive_for > REMOVED_SERVER_RETENTION;
            if !forgettable || !channel.forget_server(id) {
                return true;
            }
            fleet.statuses.remove(&id);
            false
        });
    }
}

/// The limits until the fleet first decides on them: everything is admitted.
fn initial_limits(config: &ControllerConfig) -> Vec<AdmissionLimit> {
    let limit = if config.admission_mode == AdmissionMode::Rate { f64::from(u32::MAX) } else { 1.0 };
    (0..config.operations.len())
        .map(|operation| AdmissionLimit { operation, limit, retry_policy: RetryPolicy::IfNotExecuted })
        .collect()
}
