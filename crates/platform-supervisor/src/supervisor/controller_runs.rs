//! Runs the controller on batches of events, carries out its actions, and restarts it after a failure.

use std::any::Any;
use std::fmt::Debug;
use std::panic::{catch_unwind, AssertUnwindSafe};

use shalereel::interface::{Action, ControllerConfig, Event, Nanos, WatchEvent};
use shalereel::Controller;
use shalereel_reactor::Timers;
use thiserror::Error;

use super::status::Fault;
use super::{Command, Supervisor, Timer};
use crate::clocks::Clocks;
use crate::proxy_tables::{InvalidAction, ProxyUpdate};

/// Why the controller must be restarted.
#[derive(Clone, Debug, Error)]
pub enum ControllerFailure {
    /// It panicked with this message.
    #[error("panic: {0}")]
    Panic(String),
    /// It returned an action that cannot be carried out.
    #[error(transparent)]
    InvalidAction(#[from] InvalidAction),
}

/// The controller, its pending events, and the schedule of its runs.
pub(super) struct ControllerRuns {
    controller: Controller,
    pending_events: Vec<Event>,
    /// The size of what the last run sent. It is passed along with the next events and causes no run of its
    /// own.
    sent: Option<Event>,
    last_run_at: Nanos,
    consecutive_failures: u32,
    /// When a failed controller is restarted; `None` if it has not failed.
    restart_at: Option<Nanos>,
}

impl ControllerRuns {
    pub fn new(config: &ControllerConfig) -> Self {
        ControllerRuns {
            controller: Controller::new(config),
            pending_events: Vec::new(),
            sent: None,
            last_run_at: 0,
            consecutive_failures: 0,
            restart_at: None,
        }
    }

    /// Adds an event to the pending batch.
    pub fn push(&mut self, event: Event) {
        self.pending_events.push(event);
    }

    /// The earliest time at which the controller may run on the pending batch; `None` if there is no event.
    pub fn next_run_at(&self, batch_interval: Nanos) -> Option<Nanos> {
        let earliest = (self.last_run_at + batch_interval).max(self.restart_at.unwrap_or_default());
        (!self.pending_events.is_empty()).then_some(earliest)
    }

    /// Passes the pending events to the controller and returns its actions.
    ///
    /// # Errors
    /// The controller panicked.
    fn run(&mut self, clocks: Clocks) -> Result<Vec<Action>, ControllerFailure> {
        let mut events = std::mem::take(&mut self.pending_events);
        events.splice(0..0, self.sent.take());
        tracing::debug!(?events, "batch");
        let controller = &mut self.controller;
        let time = clocks.controller_time();
        let actions = catch_unwind(AssertUnwindSafe(|| controller.decide(time, events)))
            .map_err(|panic| ControllerFailure::Panic(panic_message(panic.as_ref()).to_owned()))?;
        tracing::debug!(?actions, "decided");
        Ok(actions)
    }
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// Runs the controller on the pending events and carries out its actions. A failed controller is
    /// restarted first.
    pub(super) fn run_controller(&mut self, clocks: Clocks) {
        self.controller.last_run_at = clocks.now;
        if self.controller.restart_at.take().is_some() {
            self.restart_controller(clocks.now);
        }
        if let Err(failure) = self.run_batch(clocks) {
            self.controller_failed(&failure, clocks.now);
        }
    }

    fn run_batch(&mut self, clocks: Clocks) -> Result<(), ControllerFailure> {
        let actions = self.controller.run(clocks)?;
        let updates = self.tables.apply(&actions, &self.registry, &self.config.operations)?;
        self.controller.consecutive_failures = 0;
        self.controller.sent = self.sent_event(&actions, &updates);
        tracing::debug!(sent = ?self.tables.sent(), "updates");
        for update in updates {
            self.send_update(update, clocks.now);
        }
        for action in actions {
            self.carry_out(action, clocks.now);
        }
        Ok(())
    }

    /// The event that tells the controller the size of these updates; `None` if they request no
    /// acknowledgement.
    fn sent_event(&self, actions: &[Action], updates: &[ProxyUpdate]) -> Option<Event> {
        let overhead = self.config.controller.message_overhead;
        let lines = updates.iter().map(|update| update.lines as f64 + overhead).sum();
        actions.iter().find_map(|action| match *action {
            Action::RequestAck { serial, .. } => Some(Event::Sent { serial, lines }),
            _ => None,
        })
    }

    fn send_update(&mut self, update: ProxyUpdate, now: Nanos) {
        let Some(&connection) = self.proxy_connections.get(&update.proxy) else { return };
        self.sent_bytes += update.bytes.len() as u64;
        if self.tables.has_pending_acks(update.proxy) {
            if let Some(client) = self.connections.get_mut(&connection) {
                client.acks_pending_since.get_or_insert(now);
            }
        }
        self.commands.push(Command::Write(connection, update.bytes));
    }

    /// Carries out an action that does not concern the tables of proxies.
    fn carry_out(&mut self, action: Action, now: Nanos) {
        match action {
            Action::SetTimer { delay, token } => {
                self.timers.set(now.saturating_add(delay), Timer::Controller { token });
            }
            Action::Log(line) => {
                let line = self.with_server_names(&line);
                self.log(now, line);
            }
            Action::CheckHealth { server } => self.start_health_check(server),
            Action::FetchEndpoints => self.request_full_list(now),
            // `ProxyTables::apply` has handled the actions on tables. `WatchEndpoints` changes nothing, since
            // the supervisor always watches the list. The platform has no messages between supervisors.
            _ => {}
        }
    }

    /// Handles a failure of the controller: discards its actions and schedules its restart after a delay.
    pub fn controller_failed(&mut self, failure: &ControllerFailure, now: Nanos) {
        self.controller.consecutive_failures += 1;
        self.count_fault(Fault::ControllerFailure);
        self.log(now, format!("controller failed, restarting: {failure}"));
        let restart_at = self.limits.controller_restart_at(now, self.controller.consecutive_failures);
        self.controller.restart_at = Some(restart_at);
        // Without a pending event the controller would not run, and therefore not be restarted.
        self.controller.push(Event::Endpoints(WatchEvent::Delta(Vec::new())));
    }

    /// Replaces the controller. The new one first gets the endpoint list and the joined proxies, then the
    /// events that arrived since the failure.
    fn restart_controller(&mut self, now: Nanos) {
        self.controller.controller = Controller::new(&self.config.controller);
        self.controller.sent = None;
        self.tables.reset_for_new_controller();
        self.cancel_controller_timers();
        let mut events = self.restart_events();
        let pending = std::mem::take(&mut self.controller.pending_events);
        events.extend(pending.into_iter().filter(is_valid_after_restart));
        self.controller.pending_events = events;
        self.log(now, format!("controller restarted with {} proxies", self.tables.proxy_count()));
    }

    fn cancel_controller_timers(&mut self) {
        let mut timers: Timers<Timer<C>> = std::mem::take(&mut self.timers);
        while let Some((at, timer)) = timers.pop() {
            if !matches!(timer, Timer::Controller { .. }) {
                self.timers.set(at, timer);
            }
        }
    }

    /// The events that bring a new controller up to the present state.
    fn restart_events(&self) -> Vec<Event> {
        let lines = self.tables.unacknowledged_lines(self.config.controller.message_overhead);
        let locality = self.config.controller.locality;
        let joined = |proxy| Event::Joined { proxy, locality, rate: 0.0, is_new: false };
        let mut events =
            vec![Event::Backlog { lines }, Event::Endpoints(WatchEvent::Full(self.registry.endpoints()))];
        events.extend(self.tables.proxies().map(joined));
        events
    }

    /// Replaces the identifiers of servers by their names in a log line of the controller.
    fn with_server_names(&self, line: &str) -> String {
        let mut words = line.split(' ').peekable();
        let mut named: Vec<&str> = Vec::new();
        while let Some(word) = words.next() {
            named.push(word);
            if word != "server" {
                continue;
            }
            let id = words.peek().and_then(|word| word.trim_end_matches(':').parse().ok());
            if let Some(server) = id.and_then(|id| self.registry.get(id)) {
                words.next();
                named.push(&server.name);
            }
        }
        named.join(" ")
    }
}

/// Whether a pending event is passed to a restarted controller. The endpoint list and the joined proxies are
/// passed separately, and the timers of the old controller have no meaning for the new one.
fn is_valid_after_restart(event: &Event) -> bool {
    !matches!(
        event,
        Event::Endpoints(_) | Event::Joined { .. } | Event::Left { .. } | Event::TimerFired { .. }
    )
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a message")
}
