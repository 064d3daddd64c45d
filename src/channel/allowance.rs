//! What the channel takes in one flush: bounds on the lines of each kind of traffic.
//!
//! The bounds keep capacity free for urgent changes. None of them may exclude the smallest change for good: an
//! idle channel takes at least one line to each user of a table, and what waits may be added to messages that
//! are sent anyway.

use super::batch::Batch;
use super::capacity_shares::{deferrable_share, urgent_share, ASSIGNMENT_CAPACITY_SHARE};
use super::Channel;
use crate::interface::Nanos;
use crate::message::SECOND;

/// Minimum time between two batches of deferrable changes.
const MIN_BATCH_INTERVAL: Nanos = SECOND;
/// Maximum share of the channel's rate for the overhead of deferrable messages. With many proxies, changes
/// are coalesced for longer, since a message has the same overhead however few lines it contains.
const MAX_OVERHEAD_SHARE: f64 = 0.4;
/// Lines of a worthwhile message in multiples of its overhead.
const WORTHWHILE_OVERHEADS: f64 = 2.0;
/// Share of the drain grace period within which a removal must arrive that is sent right after deferrable
/// changes.
const NEXT_REMOVAL_GRACE_SHARE: f64 = 0.75;

/// Share of the drain grace period by which removals still arrive before their deadline when other lines are
/// added to their messages.
const ADDED_LINES_MARGIN_GRACE_SHARE: f64 = 0.25;

/// What the channel takes in this flush; amounts are in lines.
pub(super) struct Allowance {
    /// Deferrable changes may be sent in messages of their own.
    pub(super) takes_deferrable: bool,
    /// The queue is too long to add deferrable changes.
    pub(super) queue_is_long: bool,
    /// Unassigned proxies wait for tables that they can be sent.
    pub(super) assignments_wait: bool,
    pub(super) urgent_lines: f64,
    pub(super) reduction_lines: f64,
    pub(super) admission_limit_lines: f64,
    pub(super) deferrable_lines: f64,
    /// Deferrable lines that may be added to messages that are sent anyway.
    pub(super) added_lines: f64,
    /// `None` unless the channel is idle.
    pub(super) idle: Option<IdleAllowance>,
}

/// What an idle channel takes, whatever the other bounds say; amounts are in lines.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleAllowance {
    /// For a batch.
    pub(super) batch_lines: f64,
    /// For the first line of a batch to each of its recipients.
    pub(super) first_lines: f64,
}

impl Channel {
    /// Computes what the channel takes in this flush. `removal_deadline` is the earliest one of the removals
    /// that this flush sends.
    pub(super) fn allowance(
        &mut self,
        batch: &Batch,
        removal_deadline: Option<Nanos>,
        now: Nanos,
    ) -> Allowance {
        let overhead = self.message_cost() * self.proxies.by_id.len() as f64;
        let interval = self.batch_interval(overhead);
        let queued = self.pacing.update_queue(now);
        let lines = |capacity_share: f64| capacity_share * self.pacing.capacity_lines - queued;
        let admission_limit_lines = lines(ASSIGNMENT_CAPACITY_SHARE);
        let urgent_lines = lines(urgent_share(&self.pacing));
        let deferrable_lines = lines(self.deferrable_capacity_share(overhead, now));
        let interval_is_over =
            now.saturating_sub(self.deferrable_sent_at) >= interval || self.deferrable_sent_at == 0;
        // Changes that would only wait in the queue wait here and are coalesced: they arrive no later, in
        // fewer messages.
        let queue_is_long = queued > self.pacing.queue_target() && !self.pacing.is_probe_due(now);
        let assignments_wait = batch.has_unassigned_proxies() && self.has_assignable_proxy(now);
        let assignments_go_first =
            assignments_wait && self.assignment_quota > 0.0 && admission_limit_lines > 0.0;
        Allowance {
            takes_deferrable: interval_is_over && !queue_is_long && !assignments_go_first,
            queue_is_long,
            assignments_wait,
            urgent_lines,
            reduction_lines: lines(self.reduction_capacity_share(overhead)),
            admission_limit_lines,
            deferrable_lines,
            added_lines: self.added_lines(removal_deadline, deferrable_lines, now).min(urgent_lines),
            idle: (queued == 0.0).then(|| self.idle_allowance(overhead)),
        }
    }

    /// Time between two batches of deferrable changes, where the overhead of one message to each proxy is
    /// `overhead_lines`.
    fn batch_interval(&self, overhead_lines: f64) -> Nanos {
        let by_overhead = overhead_lines / MAX_OVERHEAD_SHARE / self.pacing.configured_lines_per_ns;
        MIN_BATCH_INTERVAL.max(by_overhead as Nanos)
    }

    /// Share of the capacity that reductions may fill. They protect servers, but removals and newly joined
    /// proxies, which have deadlines, may come next.
    fn reduction_capacity_share(&self, overhead_lines: f64) -> f64 {
        let least = WORTHWHILE_OVERHEADS * overhead_lines;
        let target = self.pacing.queue_target().max(least) / self.pacing.capacity_lines;
        urgent_share(&self.pacing).min(target)
    }

    /// Share of the capacity that deferrable changes may fill: no more than the queue target, since urgent
    /// changes wait behind them, but while the channel keeps up at least one message to each proxy, with as
    /// many lines of changes as of overhead.
    fn deferrable_capacity_share(&self, overhead_lines: f64, now: Nanos) -> f64 {
        let least = if self.keeps_up(now) { WORTHWHILE_OVERHEADS * overhead_lines } else { 0.0 };
        let target = self.pacing.queue_target().max(least) / self.pacing.capacity_lines;
        deferrable_share(&self.pacing, overhead_lines).min(target)
    }

    /// What an idle channel takes: a worthwhile message to each proxy as long as a removal that comes next
    /// still arrives in time, and in any case the smallest change.
    fn idle_allowance(&self, overhead_lines: f64) -> IdleAllowance {
        let time = (NEXT_REMOVAL_GRACE_SHARE * self.drain_grace as f64) as Nanos;
        let deliverable =
            time.saturating_sub(self.pacing.worst_transit) as f64 * self.pacing.learned_lines_per_ns();
        let next_removal = overhead_lines + self.proxies.by_id.len() as f64;
        let batch_lines = (WORTHWHILE_OVERHEADS * overhead_lines).min(deliverable - next_removal);
        IdleAllowance { batch_lines, first_lines: self.pacing.capacity_lines }
    }

    /// Deferrable lines that may be added to the messages of this flush, no more than these messages have. With
    /// a limit on messages, which may leave none for deferrable changes, as many as leave removals in time even
    /// if the channel has slowed down; where these are late whatever is added, it takes no more than half of
    /// the grace. Otherwise no more than in messages of its own.
    fn added_lines(&self, removal_deadline: Option<Nanos>, deferrable_lines: f64, now: Nanos) -> f64 {
        let forecast = self.pacing.cautious_forecast(now);
        let arrival = forecast.arrival(0.0);
        let margin = (ADDED_LINES_MARGIN_GRACE_SHARE * self.drain_grace as f64) as Nanos;
        let lines_within = |time: Nanos| time as f64 * forecast.lines_per_ns;
        let spare = match removal_deadline.filter(|_| self.pacing.message_limit.exists()) {
            None => deferrable_lines,
            Some(deadline) if arrival < deadline => lines_within((deadline - arrival).saturating_sub(margin)),
            Some(_) => lines_within(self.drain_grace / 2),
        };
        self.pacing.lines_sent_at(now).min(spare)
    }
}
