//! The channel: a single first-in-first-out queue of limited rate and capacity from this supervisor to all
//! its proxies. This component tracks the connected proxies, the desired state of each table, and what was
//! sent and acknowledged; at each flush it decides what is sent to which proxies. The controller delivers its
//! messages and flushes it once per batch of events.
//!
//! Each rule has a module of its own. Since the queue is first-in-first-out, whatever a flush adds is
//! delivered before anything added later. Urgent changes (see `changes::Priority`) may be sent at every flush;
//! deferrable ones, which are all others and the admission limits, only in batches at intervals, since urgent
//! changes wait behind them in the queue.

use std::collections::BTreeMap;

use crate::deadlines::{AcknowledgedDeadlines, DeadlineStatistics};
use crate::interface::{ControllerConfig, Nanos, ProxyId, ServerId};
use crate::message::{AdmissionLimit, Component, DesiredState, Mailboxes, Message, SECOND};
use crate::pacing::Pacing;
use crate::proxies::Proxies;
use crate::subsets::Subsets;
use crate::tables::{DesiredStates, FULL_TABLE};

use assignment::AssignmentScope;
use capacity_shares::{ASSIGNMENT_CAPACITY_SHARE, DEFERRABLE_CAPACITY_SHARE};
use changes::Audience;
pub(crate) use changes::MIN_WEIGHT_CHANGE;
use limited_tables::HeldBackTables;
use readmissions::Readmissions;
use sent::SentState;
use unaccounted_lines::UnaccountedLines;
use updates::UpdateScope;
use waiting_times::WaitingTimes;

mod allowance;
mod assignment;
mod batch;
mod capacity_shares;
mod changes;
mod coalescing;
mod deferrable_updates;
mod exclusions;
mod limited_tables;
mod lone_removals;
mod obligations;
mod readmissions;
mod sent;
mod table_choice;
#[cfg(test)]
mod tests;
mod unaccounted_lines;
mod unused_tables;
mod updates;
mod waiting_times;

/// Minimum time between two log lines about missed deadlines.
const LOG_INTERVAL: Nanos = SECOND;

/// Tracks what was sent to the proxies, decides what is sent next, and keeps the queue short.
#[derive(Debug, Default)]
pub(crate) struct Channel {
    pub(crate) pacing: Pacing,
    pub(crate) proxies: Proxies,
    /// Number of proxies of all supervisors together.
    proxy_count: usize,
    pub(crate) desired_states: DesiredStates,
    admission_limits: Vec<AdmissionLimit>,
    /// Servers that are not ready, and when this became known.
    unready_since: BTreeMap<ServerId, Nanos>,
    pub(crate) subsets: Subsets,
    /// Proxies are isolated on subsets because connections are hard to establish.
    isolated: bool,
    pub(crate) sent: SentState,
    /// Grace period after which a proxy must not send to a server that is not ready.
    drain_grace: Nanos,
    /// When deferrable changes were last sent; 0: never.
    deferrable_sent_at: Nanos,
    /// The last time when the channel could not deliver full tables before their deadlines.
    last_behind_at: Option<Nanos>,
    /// Lines of table assignments that may be sent before the next deferrable changes.
    assignment_quota: f64,
    deadlines: DeadlineStatistics,
    acknowledged_deadlines: AcknowledgedDeadlines,
    unaccounted_lines: UnaccountedLines,
    readmissions: Readmissions,
    held_back: HeldBackTables,
    waiting_times: WaitingTimes,
    /// Admission limits are added to the next deferrable batch before changes.
    limits_go_first: bool,
}

impl Channel {
    /// Creates a channel without proxies; `admission_limits` are the limits that proxies start with.
    pub(crate) fn new(config: &ControllerConfig, admission_limits: Vec<AdmissionLimit>) -> Self {
        Channel {
            pacing: Pacing::new(config),
            proxy_count: config.proxy_count as usize,
            admission_limits,
            subsets: Subsets::new(config),
            drain_grace: config.drain_grace,
            ..Channel::default()
        }
    }

    /// Handles a message; all messages except [`Message::Flush`] only update the state.
    pub(crate) fn handle(&mut self, message: Message, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        match message {
            Message::DesiredState(server, desired) => self.set_desired_state(server, desired, now),
            Message::AdmissionLimits(limits) => self.admission_limits = limits,
            Message::Isolate(isolated) => self.set_isolated(isolated, mailboxes),
            Message::Joined { proxy, rate, is_new } => self.join(proxy, rate, is_new, now),
            Message::ProxyDemand { proxy, total } => self.proxies.record_requests(proxy, total, now),
            Message::Left(proxy) => {
                self.proxies.by_id.remove(&proxy);
                self.pacing.remove_proxy(proxy);
                self.acknowledged_deadlines.remove_proxy(proxy);
            }
            Message::Acknowledged { proxy, serial } => {
                self.acknowledged_deadlines.acknowledge(proxy, serial, now);
                self.pacing.acknowledge(proxy, serial, now);
            }
            Message::Sent { serial, lines } => self.record_actual_size(serial, lines),
            Message::Backlog(lines) => self.pacing.take_over_backlog(lines, now),
            Message::Flush => self.flush(mailboxes),
            _ => {}
        }
    }

    fn set_desired_state(&mut self, server: ServerId, desired: DesiredState, now: Nanos) {
        self.desired_states.insert(server, desired);
        if desired.unready {
            self.unready_since.entry(server).or_insert(now);
        } else {
            self.unready_since.remove(&server);
        }
    }

    /// Isolates proxies on subsets, or moves them back to the full table. Subsets in use are kept until the
    /// last proxy has left them.
    fn set_isolated(&mut self, isolated: bool, mailboxes: &mut Mailboxes) {
        if isolated != self.isolated {
            self.isolated = isolated;
            self.proxies.by_id.values_mut().for_each(|proxy| proxy.intended_table = FULL_TABLE);
            if isolated {
                self.subsets.isolate(&mut self.proxies, &self.desired_states);
            }
        }
        self.subsets.replenish(&self.desired_states);
        let servers = if self.isolated { self.subsets.servers() } else { Default::default() };
        mailboxes.send(Component::Fleet, Message::SubsetServers(servers));
    }

    /// Adds a proxy. While proxies are isolated, it is given the subset with the lowest load.
    fn join(&mut self, proxy: ProxyId, rate: f64, is_new: bool, now: Nanos) {
        let subset = if self.isolated { self.subsets.least_loaded(&self.proxies) } else { None };
        self.proxies.join(proxy, rate, is_new, subset.unwrap_or(FULL_TABLE), now);
        self.sent.mark_exclusions_for_repeat();
    }

    /// Forgets a removed server unless a table still contains it. Returns whether it was forgotten.
    pub(crate) fn forget_server(&mut self, server: ServerId) -> bool {
        if self.sent.is_in_a_table(server) {
            return false;
        }
        self.desired_states.remove(&server);
        self.unready_since.remove(&server);
        self.subsets.forget_server(server);
        self.sent.forget_server(server);
        self.readmissions.forget_server(server);
        true
    }

    /// Sends as much as the channel takes. Obligations with a deadline are sent first, in order of deadline;
    /// table assignments and deferrable changes share the rest.
    fn flush(&mut self, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        self.pacing.update_queue(now);
        self.choose_tables(now);
        self.update_unused_tables(mailboxes);
        if self.assignments_are_due_before_updates() {
            self.assign_tables(AssignmentScope::Urgent, mailboxes);
        }
        let mut changes = self.differing_lines(now);
        self.waiting_times.update(&changes, now);
        let removal_deadline = self.first_removal_deadline(&changes, now);
        let removals_go_alone = self.removals_go_alone(&changes, removal_deadline, now);
        changes.retain(|change| change.is_urgent() && change.audience == Audience::All);
        changes.retain(|change| change.has_deadline() || !removals_go_alone);
        let actions_before = mailboxes.actions.len();
        let mut all_urgent_sent =
            self.send_updates(UpdateScope::Urgent, changes, removal_deadline, mailboxes);
        self.assign_tables(AssignmentScope::Urgent, mailboxes);
        if removals_go_alone {
            // Removals that wait themselves must not keep proxies without a table for long.
            if mailboxes.actions.len() == actions_before {
                let capacity_share = DEFERRABLE_CAPACITY_SHARE;
                self.assign_tables(AssignmentScope::All { capacity_share }, mailboxes);
            }
            // A limit on messages may leave none for what else waits.
            if self.pacing.message_limit.exists() {
                let mut changes = self.differing_lines(now);
                changes.retain(|change| !change.is_urgent());
                self.send_updates(UpdateScope::Added, changes, removal_deadline, mailboxes);
            }
            return self.log_deadlines(mailboxes);
        }
        // Assignments are sent before deferrable changes while their quota from the last batch is not used
        // up, or when no urgent change is waiting.
        if self.assignment_quota > 0.0 || all_urgent_sent {
            let capacity_share = ASSIGNMENT_CAPACITY_SHARE;
            self.assign_tables(AssignmentScope::All { capacity_share }, mailboxes);
        }
        let changes = self.differing_lines(now);
        all_urgent_sent &= self.send_updates(UpdateScope::All, changes, removal_deadline, mailboxes);
        // If urgent changes are still waiting, assignments leave more of the capacity to them.
        let capacity_share =
            if all_urgent_sent { ASSIGNMENT_CAPACITY_SHARE } else { DEFERRABLE_CAPACITY_SHARE };
        self.assign_tables(AssignmentScope::All { capacity_share }, mailboxes);
        self.log_deadlines(mailboxes);
    }

    /// Whether the earliest deadline of an assignment to a newly joined proxy precedes that of any removal.
    /// Also true if removals are pending and no proxy has newly joined.
    fn assignments_are_due_before_updates(&self) -> bool {
        let newly_joined = self.proxies.newly_joined();
        let assignments = newly_joined.map(|proxy| self.newly_joined_deadline(proxy)).min();
        let updates = self.unready_since.values().map(|since| since + self.drain_grace).min();
        // `None` (no proxy has newly joined) sorts before any deadline: proxies that move to fallback subsets
        // are served first.
        assignments < updates
    }

    fn log_deadlines(&mut self, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        let pending = self.proxies.newly_joined().count();
        let forecast = self.deadlines.log_line(pending, now, LOG_INTERVAL);
        let measured = self.acknowledged_deadlines.log_line(now, LOG_INTERVAL);
        let unaccounted = self.unaccounted_lines.log_line(now, LOG_INTERVAL);
        forecast.into_iter().chain(measured).chain(unaccounted).for_each(|line| mailboxes.log(line));
    }
}
