//! Pacing of the supervisor's one channel: an estimate of the lines in its queue, from what was sent and what
//! proxies acknowledged, the rate learned from late acknowledgements, and the limit on messages. The channel
//! asks it before it sends and records with it what was sent.

use std::collections::{BTreeMap, BTreeSet};

use crate::deadlines::DeliveryForecast;
use crate::interface::{Action, ControllerConfig, Nanos, ProxyId};
use crate::message::{tick_interval, Mailboxes, SECOND};

use learned_rate::{LearnedRate, Observation, MAX_SLOWDOWN};
pub(crate) use marks::PendingMark;
use message_limit::MessageLimit;

mod learned_rate;
mod marks;
mod message_limit;
#[cfg(test)]
mod tests;

/// The queue that deferrable lines may stand behind, in multiples of what the channel sends within the
/// longest transit.
const QUEUE_TARGET_TRANSITS: f64 = 2.0;
/// The queue that deferrable lines may stand behind, as a share of what can be delivered within a drain grace: what
/// is due next must not stand behind it.
const QUEUE_TARGET_GRACE_SHARE: f64 = 0.25;

/// Figures of the channel, and the estimate of its queue. Rates are in lines per nanosecond.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    pub(crate) configured_lines_per_ns: f64,
    /// Lines that the channel holds.
    pub(crate) capacity_lines: f64,
    /// Cost of a message beside its lines, in lines.
    pub(crate) message_overhead: f64,
    /// Time from leaving the channel to arriving at the proxy.
    pub(crate) mean_transit: Nanos,
    pub(crate) worst_transit: Nanos,
    /// Lines that deferrable ones may stand behind, at the configured rate.
    pub(crate) configured_queue_target: f64,
    /// Lines in the queue as of `updated_at`.
    pub(crate) queued_lines: f64,
    pub(crate) updated_at: Nanos,
    last_serial: u16,
    /// Marks that await acknowledgement, by serial.
    pub(crate) pending_marks: BTreeMap<u64, PendingMark>,
    pub(crate) message_limit: MessageLimit,
    learned_rate: LearnedRate,
    last_sent_at: Nanos,
}

impl Pacing {
    /// An idle channel as it is configured.
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        let mut pacing = Pacing {
            configured_lines_per_ns: config.lines_per_s / SECOND as f64,
            capacity_lines: config.channel_capacity,
            message_overhead: config.message_overhead,
            mean_transit: config.mean_transit,
            worst_transit: config.worst_transit,
            message_limit: MessageLimit::new(config.message_limit, config.message_limit_window),
            ..Pacing::default()
        };
        let by_transit = QUEUE_TARGET_TRANSITS * config.worst_transit as f64 * pacing.configured_lines_per_ns;
        let by_grace = QUEUE_TARGET_GRACE_SHARE * pacing.deliverable_lines(config.drain_grace);
        // Enough that the channel is not idle between two evaluations.
        let until_next_tick = tick_interval(config) as f64 * pacing.configured_lines_per_ns;
        pacing.configured_queue_target = by_transit.min(by_grace).max(until_next_tick);
        pacing
    }

    /// Time that a message is likely to take from leaving the channel to arriving at its proxy.
    fn likely_transit(&self) -> Nanos {
        self.mean_transit + self.worst_transit.saturating_sub(self.mean_transit) / 2
    }

    /// Lines that can be sent and arrive within `time`, at the configured rate.
    pub(crate) fn deliverable_lines(&self, time: Nanos) -> f64 {
        time.saturating_sub(self.likely_transit()) as f64 * self.configured_lines_per_ns
    }

    /// The rate that acknowledgements show, at most the configured one.
    pub(crate) fn learned_lines_per_ns(&self) -> f64 {
        self.learned_rate.scale(self.configured_lines_per_ns)
    }

    /// Lines in the queue behind which deferrable ones may be put, at the learned rate.
    pub(crate) fn queue_target(&self) -> f64 {
        self.learned_rate.scale(self.configured_queue_target)
    }

    /// When the channel delivers what is sent now; [`Pacing::update_queue`] has brought the estimate up to
    /// date.
    pub(crate) fn forecast(&self, now: Nanos) -> DeliveryForecast {
        DeliveryForecast {
            now,
            queued_lines: self.queued_lines,
            lines_per_ns: self.learned_lines_per_ns(),
            transit: self.likely_transit(),
        }
    }

    /// Records what was sent and requests acknowledgement. All actions of one flush are one message to a
    /// proxy, with one mark.
    pub(crate) fn record_sent(
        &mut self,
        lines: f64,
        recipients: BTreeSet<ProxyId>,
        mailboxes: &mut Mailboxes,
    ) {
        self.queued_lines += lines;
        self.last_sent_at = mailboxes.now;
        let sending = (self.queued_lines / self.learned_lines_per_ns()) as Nanos;
        let due = mailboxes.now + sending + self.mean_transit;
        let last_mark = self.pending_marks.get_mut(&self.last_serial.into());
        if let Some(mark) = last_mark.filter(|mark| mark.sent_at == mailboxes.now) {
            mark.awaiting.extend(recipients);
            mark.lines += lines;
            mark.messages = mark.awaiting.len();
            mark.due = due;
            mark.queued_lines = self.queued_lines;
            return;
        }
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
        self.message_limit.record_message();
        mailboxes.actions.push(Action::RequestAck { serial: self.last_serial, everyone: false });
    }

    /// Takes over lines that an earlier controller sent and nobody has acknowledged.
    pub(crate) fn take_over_backlog(&mut self, lines: f64, now: Nanos) {
        self.update_queue(now);
        self.queued_lines = self.queued_lines.max(lines);
    }

    /// Brings the estimate up to date and returns the lines in the queue.
    pub(crate) fn update_queue(&mut self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        self.message_limit.advance(elapsed);
        self.drop_settled_marks(now);
        // What is unacknowledged, less what is in transit, is still queued.
        let in_transit = if self.has_late_mark(now) { 0.0 } else { self.lines_in_transit() };
        let unacknowledged =
            self.pending_marks.values().map(PendingMark::unacknowledged_lines).sum::<f64>() - in_transit;
        self.queued_lines =
            (self.queued_lines - elapsed * self.learned_lines_per_ns()).max(unacknowledged).max(0.0);
        self.queued_lines
    }

    /// Drops marks that all have acknowledged, and those older than [`MAX_SLOWDOWN`] times what a full channel takes
    /// at the configured rate: they count as lost.
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

    /// Whether a message should go although the queue seems long: acknowledgements are late and nothing was
    /// sent for the worst transit. Only another message shows whether the channel is slow or the proxies are
    /// gone.
    pub(crate) fn is_probe_due(&self, now: Nanos) -> bool {
        self.has_late_mark(now) && now.saturating_sub(self.last_sent_at) >= self.worst_transit
    }

    /// Lines on their way to proxies at the configured rate.
    pub(crate) fn lines_in_transit(&self) -> f64 {
        self.configured_lines_per_ns * self.mean_transit as f64
    }

    /// Learns the channel's rate when half of a mark's messages are acknowledged. A proxy that is late though
    /// it acknowledged a later mark before tells nothing of the channel: its mark is dropped by then.
    fn learn_rate(&mut self, serial: u64, now: Nanos) {
        let Some(mark) = self.pending_marks.get(&serial).filter(|mark| mark.shows_rate()) else { return };
        let lines = (mark.queued_lines - mark.unacknowledged_lines()).max(self.message_overhead);
        self.learned_rate.learn(Observation {
            configured_time: lines / self.configured_lines_per_ns,
            time: now.saturating_sub(mark.sent_at + self.mean_transit) as f64,
            jitter: self.worst_transit.saturating_sub(self.mean_transit) as f64,
        });
    }

    /// A proxy has applied what was marked with `serial`. Messages leave the channel in order: all marks
    /// before have left it too.
    pub(crate) fn acknowledge(&mut self, proxy: ProxyId, serial: u64, now: Nanos) {
        let Some(mark) = self.pending_marks.get_mut(&serial) else { return };
        let sent_at = mark.sent_at;
        if mark.awaiting.remove(&proxy) {
            self.learn_rate(serial, now);
        }
        self.pending_marks.retain(|_, mark| mark.sent_at >= sent_at);
    }

    /// Forgets a proxy that has left: nothing sent to it is queued any more.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        for mark in self.pending_marks.values_mut() {
            mark.awaiting.remove(&proxy);
        }
    }
}
