//! Pacing of the supervisor's single channel: estimates the queue from the lines sent and acknowledged,
//! learns the channel's rate from late acknowledgements, and applies the message limit. The channel consults
//! it before sending and records what was sent.

use std::collections::{BTreeMap, BTreeSet};

use crate::deadlines::DeliveryForecast;
use crate::interface::{Action, ControllerConfig, Nanos, ProxyId};
use crate::message::{tick_interval, Mailboxes, SECOND};

use learned_rate::{LearnedRate, Observation, MAX_SLOWDOWN};
pub(crate) use marks::PendingMark;
pub(crate) use message_limit::{MessageLimit, MessagePurpose};

mod learned_rate;
mod marks;
mod message_limit;
#[cfg(test)]
mod tests;

/// Queue length up to which deferrable lines may be added, in multiples of what the channel sends within the
/// longest transit time.
const QUEUE_TARGET_TRANSITS: f64 = 2.0;
/// Queue length up to which deferrable lines may be added, as a share of what can be delivered within a drain
/// grace period: lines that become due next must not wait longer than that.
const QUEUE_TARGET_GRACE_SHARE: f64 = 0.25;

/// Share of the learned rate at which drains must still arrive in time.
const CAUTIOUS_RATE_SHARE: f64 = 0.4;

/// Parameters of the channel, and the estimate of its queue. Rates are in lines per nanosecond.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    pub(crate) configured_lines_per_ns: f64,
    /// Number of lines that the channel can queue.
    pub(crate) capacity_lines: f64,
    /// Cost of a message in addition to its lines, in lines.
    pub(crate) message_overhead: f64,
    /// Mean time between leaving the channel and arriving at the proxy.
    pub(crate) mean_transit: Nanos,
    pub(crate) worst_transit: Nanos,
    /// Queue length up to which deferrable lines may be added, at the configured rate.
    pub(crate) configured_queue_target: f64,
    /// Estimated lines in the queue at `updated_at`.
    pub(crate) queued_lines: f64,
    pub(crate) updated_at: Nanos,
    last_serial: u16,
    /// Marks that await acknowledgement, by serial number.
    pub(crate) pending_marks: BTreeMap<u64, PendingMark>,
    pub(crate) message_limit: MessageLimit,
    learned_rate: LearnedRate,
    last_sent_at: Nanos,
}

impl Pacing {
    /// Creates the pacing of an idle channel.
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        let mut pacing = Pacing {
            configured_lines_per_ns: config.lines_per_s / SECOND as f64,
            capacity_lines: config.channel_capacity,
            message_overhead: config.message_overhead,
            mean_transit: config.mean_transit,
            worst_transit: config.worst_transit,
            message_limit: MessageLimit::new(
                config.message_limit,
                config.message_limit_window,
                config.worst_transit,
            ),
            ..Pacing::default()
        };
        let by_transit = QUEUE_TARGET_TRANSITS * config.worst_transit as f64 * pacing.configured_lines_per_ns;
        let by_grace = QUEUE_TARGET_GRACE_SHARE * pacing.deliverable_lines(config.drain_grace);
        // At least enough that the channel is not idle between two evaluations.
        let until_next_tick = tick_interval(config) as f64 * pacing.configured_lines_per_ns;
        pacing.configured_queue_target = by_transit.min(by_grace).max(until_next_tick);
        pacing
    }

    /// Expected time between leaving the channel and arriving at the proxy, taken as halfway between mean and
    /// worst transit.
    fn likely_transit(&self) -> Nanos {
        self.mean_transit + self.worst_transit.saturating_sub(self.mean_transit) / 2
    }

    /// Number of lines that can be sent and arrive within `time`, at the configured rate.
    pub(crate) fn deliverable_lines(&self, time: Nanos) -> f64 {
        time.saturating_sub(self.likely_transit()) as f64 * self.configured_lines_per_ns
    }

    /// The channel's rate learned from acknowledgements; at most the configured rate.
    pub(crate) fn learned_lines_per_ns(&self) -> f64 {
        self.learned_rate.scale(self.configured_lines_per_ns)
    }

    /// Queue length up to which deferrable lines may be added, at the learned rate.
    pub(crate) fn queue_target(&self) -> f64 {
        self.learned_rate.scale(self.configured_queue_target)
    }

    /// Forecast of the delivery of lines sent now. The caller must have updated the estimate with
    /// [`Pacing::update_queue`].
    pub(crate) fn forecast(&self, now: Nanos) -> DeliveryForecast {
        DeliveryForecast {
            now,
            queued_lines: self.queued_lines,
            lines_per_ns: self.learned_lines_per_ns(),
            transit: self.likely_transit(),
        }
    }

    /// Forecast for a channel that has slowed down since the last acknowledgement, to
    /// [`CAUTIOUS_RATE_SHARE`] of the learned rate.
    pub(crate) fn cautious_forecast(&self, now: Nanos) -> DeliveryForecast {
        let lines_per_ns = CAUTIOUS_RATE_SHARE * self.learned_lines_per_ns();
        DeliveryForecast { lines_per_ns, transit: self.worst_transit, ..self.forecast(now) }
    }

    /// Records sent lines and requests their acknowledgement. All actions of one flush form one message per
    /// proxy, with a single mark.
    pub(crate) fn record_sent(
        &mut self,
        lines: f64,
        recipients: BTreeSet<ProxyId>,
        mailboxes: &mut Mailboxes,
    ) {
        self.queued_lines += lines;
        self.last_sent_at = mailboxes.now;
        let sending_time = (self.queued_lines / self.learned_lines_per_ns()) as Nanos;
        let due = mailboxes.now + sending_time + self.mean_transit;
        let last_mark = self.pending_marks.get_mut(&self.last_serial.into());
        if let Some(mark) = last_mark.filter(|mark| mark.sent_at == mailboxes.now) {
            let added = recipients.difference(&mark.awaiting).copied().collect();
            self.message_limit.record_messages(&added, mailboxes.now);
            mark.awaiting.extend(recipients);
            mark.lines += lines;
            mark.messages = mark.awaiting.len();
            mark.due = due;
            mark.queued_lines = self.queued_lines;
            return;
        }
        self.message_limit.record_messages(&recipients, mailboxes.now);
        self.last_serial = self.last_serial.wrapping_add(1);
        let mark = PendingMark {
            sent_at: mailboxes.now,
            lines,
            queued_lines: self.queued_lines,
            messages: recipients.len(),
            awaiting: recipients,
            due,
        };
        self.pending_marks.insert(self.last_serial.into(), mark);
        mailboxes.actions.push(Action::RequestAck { serial: self.last_serial, everyone: false });
    }

    /// Proxies that were written a message at `now`; what else they are sent at that time rides in it.
    pub(crate) fn recipients_at(&self, now: Nanos) -> Option<&BTreeSet<ProxyId>> {
        let mark = self.pending_marks.get(&self.last_serial.into());
        mark.filter(|mark| mark.sent_at == now).map(|mark| &mark.awaiting)
    }

    /// Number of lines of the messages that were written at `now`.
    pub(crate) fn lines_sent_at(&self, now: Nanos) -> f64 {
        let mark = self.pending_marks.get(&self.last_serial.into());
        mark.filter(|mark| mark.sent_at == now).map_or(0.0, |mark| mark.lines)
    }

    /// Corrects the account of the messages with a mark by the number of lines that they really have.
    pub(crate) fn correct_lines(&mut self, serial: u64, lines: f64) {
        let lines_per_ns = self.learned_lines_per_ns();
        let Some(mark) = self.pending_marks.get_mut(&serial) else { return };
        let additional = lines - mark.lines;
        let additional_time = (additional.abs() / lines_per_ns) as Nanos;
        mark.due = if additional > 0.0 {
            mark.due.saturating_add(additional_time)
        } else {
            mark.due.saturating_sub(additional_time)
        };
        mark.lines = lines;
        mark.queued_lines += additional;
        self.queued_lines = (self.queued_lines + additional).max(0.0);
    }

    /// Serial number of the mark that was requested last.
    pub(crate) fn last_serial(&self) -> u64 {
        self.last_serial.into()
    }

    /// Accounts for lines that an earlier controller sent and that are not acknowledged: the queue is at
    /// least that long.
    pub(crate) fn take_over_backlog(&mut self, lines: f64, now: Nanos) {
        self.update_queue(now);
        self.queued_lines = self.queued_lines.max(lines);
    }

    /// Updates the estimate and returns the number of lines in the queue.
    pub(crate) fn update_queue(&mut self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        self.drop_settled_marks(now);
        // Lines that are unacknowledged and not in transit are still queued.
        let in_transit = if self.has_late_mark(now) { 0.0 } else { self.lines_in_transit() };
        let unacknowledged =
            self.pending_marks.values().map(PendingMark::unacknowledged_lines).sum::<f64>() - in_transit;
        self.queued_lines =
            (self.queued_lines - elapsed * self.learned_lines_per_ns()).max(unacknowledged).max(0.0);
        self.queued_lines
    }

    /// Drops marks that all recipients have acknowledged, and marks older than [`MAX_SLOWDOWN`] times the
    /// time in which a full channel empties at the configured rate: those count as lost.
    fn drop_settled_marks(&mut self, now: Nanos) {
        let lines_per_ns = self.configured_lines_per_ns;
        let max_lines = MAX_SLOWDOWN * self.capacity_lines;
        self.pending_marks.retain(|_, mark| {
            let lines_since = (now.saturating_sub(mark.sent_at) as f64) * lines_per_ns;
            lines_since < max_lines && !mark.awaiting.is_empty()
        });
    }

    fn has_late_mark(&self, now: Nanos) -> bool {
        self.pending_marks.values().any(|mark| mark.is_late(now))
    }

    /// Whether a message should be sent although the queue appears long: acknowledgements are late and
    /// nothing was sent for the worst transit time. Only another message shows whether the channel is slow or
    /// the proxies are gone.
    pub(crate) fn is_probe_due(&self, now: Nanos) -> bool {
        self.has_late_mark(now) && now.saturating_sub(self.last_sent_at) >= self.worst_transit
    }

    /// Number of lines in transit to proxies at the configured rate.
    pub(crate) fn lines_in_transit(&self) -> f64 {
        self.configured_lines_per_ns * self.mean_transit as f64
    }

    /// Learns the channel's rate when half of a mark's messages are acknowledged. A proxy that acknowledges
    /// late, after a later mark was acknowledged, shows nothing about the channel: its mark has been dropped
    /// by then.
    fn learn_rate(&mut self, serial: u64, now: Nanos) {
        let Some(mark) = self.pending_marks.get(&serial).filter(|mark| mark.shows_rate()) else { return };
        let lines = (mark.queued_lines - mark.unacknowledged_lines()).max(self.message_overhead);
        self.learned_rate.learn(Observation {
            configured_time: lines / self.configured_lines_per_ns,
            time: now.saturating_sub(mark.sent_at + self.mean_transit) as f64,
            jitter: self.worst_transit.saturating_sub(self.mean_transit) as f64,
        });
    }

    /// Records that a proxy has applied everything before the mark `serial`. Messages leave the channel in
    /// order, so those of all earlier marks have left it too.
    pub(crate) fn acknowledge(&mut self, proxy: ProxyId, serial: u64, now: Nanos) {
        let Some(mark) = self.pending_marks.get_mut(&serial) else { return };
        let sent_at = mark.sent_at;
        if mark.awaiting.remove(&proxy) {
            self.learn_rate(serial, now);
        }
        self.pending_marks.retain(|_, mark| mark.sent_at >= sent_at);
    }

    /// Removes a proxy that has left: its unacknowledged lines no longer count as queued.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        for mark in self.pending_marks.values_mut() {
            mark.awaiting.remove(&proxy);
        }
    }
}
