//! The account of lines that wait in the supervisor's one channel, from what was ordered and what proxies answered.

use std::collections::{BTreeMap, BTreeSet};

use crate::deadlines::Capacity;
use crate::interface::*;
use crate::message::{tick_interval, Mailboxes, SECOND};

/// Nothing that can wait is put into the channel while more is there than empties in so many times the longest way,
/// nor than in this part of the time that a grace leaves for sending: what is due next must not stand behind it.
const PROMPT: f64 = 2.0;
const PROMPT_GRACE_PART: f64 = 0.25;
/// What is not answered in so many times the span in which a full channel empties is taken for lost.
const SLOWEST: f64 = 12.0;
/// Answers that do not fit the learned pace move it by this part.
const PACE_GAIN: f64 = 0.5;
/// What half of fewer messages than this show may be the proxies' own lateness.
const LEAST_MESSAGES: usize = 4;

/// The marked messages of one reply: when they were ordered, their lines, how many they are, and who has not
/// answered.
#[derive(Clone, Debug)]
pub(crate) struct Fence {
    pub(crate) at: Nanos,
    pub(crate) lines: f64,
    /// Lines that waited in the channel then, its own among them.
    pub(crate) ahead: f64,
    pub(crate) messages: usize,
    pub(crate) open: BTreeSet<ProxyId>,
    /// By when most have arrived, at the channel's ordinary pace.
    pub(crate) due: Nanos,
}

impl Fence {
    /// Lines that are not known to have left the channel.
    fn unanswered(&self) -> f64 {
        self.lines * self.open.len() as f64 / self.messages as f64
    }

    fn late(&self, now: Nanos) -> bool {
        now > self.due && 2 * self.open.len() > self.messages
    }
}

/// Figures of the channel, and the account of lines that wait in it.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    /// The pace that the settings tell.
    pub(crate) lines_per_ns: f64,
    pub(crate) room: f64,
    pub(crate) overhead: f64,
    pub(crate) transit: Nanos,
    pub(crate) worst_transit: Nanos,
    /// The same at the told pace.
    pub(crate) prompt: f64,
    pub(crate) waiting: f64,
    pub(crate) at: Nanos,
    pub(crate) serial: u16,
    pub(crate) fenced: BTreeMap<u64, Fence>,
    /// Messages written of late; half of the limit may be written at once, the other half over its span.
    pub(crate) written: f64,
    pub(crate) messages_half: f64,
    pub(crate) messages_over: Nanos,
    /// By what part of the told time messages take longer than told, as late answers show.
    slower: f64,
    booked_at: Nanos,
}

impl Pacing {
    pub(crate) fn new(config: &ControllerConfig) -> Self {
        let mut pacing = Pacing {
            lines_per_ns: config.lines_per_s / SECOND as f64,
            room: config.channel_capacity,
            overhead: config.message_overhead,
            transit: config.mean_transit,
            worst_transit: config.worst_transit,
            messages_half: match config.message_limit {
                0 => f64::INFINITY,
                most => f64::from(most) / 2.0,
            },
            messages_over: config.message_limit_window.max(1),
            ..Pacing::default()
        };
        let longest_way = PROMPT * config.worst_transit as f64 * pacing.lines_per_ns;
        let of_the_grace = PROMPT_GRACE_PART * pacing.sending_lines(config.drain_grace);
        // Enough at least that the channel is never idle from one decision to the next.
        let until_next = tick_interval(config) as f64 * pacing.lines_per_ns;
        pacing.prompt = longest_way.min(of_the_grace).max(until_next);
        pacing
    }

    /// How long a message is likely to take from leaving the channel to its proxy.
    fn likely_transit(&self) -> Nanos {
        self.transit + self.worst_transit.saturating_sub(self.transit) / 2
    }

    /// Lines that can be sent within a span and arrive within it, at the told pace.
    pub(crate) fn sending_lines(&self, span: Nanos) -> f64 {
        span.saturating_sub(self.likely_transit()) as f64 * self.lines_per_ns
    }

    /// The pace as answers show it, the told one at most.
    pub(crate) fn pace(&self) -> f64 {
        self.lines_per_ns / (1.0 + self.slower)
    }

    /// Lines that may wait, at the pace that answers show, when more is put behind them.
    pub(crate) fn prompt_lines(&self) -> f64 {
        self.prompt / (1.0 + self.slower)
    }

    /// What the channel can deliver from now on; [`Pacing::waiting`] has brought the account up to date.
    pub(crate) fn capacity(&self, now: Nanos) -> Capacity {
        Capacity { now, queued: self.waiting, lines_per_ns: self.pace(), transit: self.likely_transit() }
    }

    /// Books what was ordered, and has the messages answered. All orders of one reply to a proxy are one message.
    pub(crate) fn book(&mut self, lines: f64, reached: BTreeSet<ProxyId>, mailboxes: &mut Mailboxes) {
        self.waiting += lines;
        self.booked_at = mailboxes.now;
        let due = mailboxes.now + (self.waiting / self.pace()) as Nanos + self.transit;
        if let Some(fence) =
            self.fenced.get_mut(&self.serial.into()).filter(|fence| fence.at == mailboxes.now)
        {
            fence.open.extend(reached);
            (fence.lines, fence.messages, fence.due) = (fence.lines + lines, fence.open.len(), due);
            fence.ahead = self.waiting;
            return;
        }
        self.serial = self.serial.wrapping_add(1);
        let ahead = self.waiting;
        let fence = Fence { at: mailboxes.now, lines, ahead, messages: reached.len(), open: reached, due };
        self.fenced.insert(self.serial.into(), fence);
        self.written += 1.0;
        mailboxes.actions.push(Action::RequestAck { serial: self.serial, everyone: false });
    }

    /// Takes over what an earlier instance wrote and nobody has answered.
    pub(crate) fn inherit(&mut self, lines: f64, now: Nanos) {
        self.waiting(now);
        self.waiting = self.waiting.max(lines);
    }

    pub(crate) fn waiting(&mut self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.at = now;
        self.written = (self.written - self.messages_half * elapsed / self.messages_over as f64).max(0.0);
        // What is not answered yet, less what travels at the ordinary pace, still waits.
        let (pace, most) = (self.lines_per_ns, SLOWEST * self.room);
        self.fenced.retain(|_, f| (now.saturating_sub(f.at) as f64) * pace < most && !f.open.is_empty());
        let travels = if self.is_late(now) { 0.0 } else { self.travelling() };
        let open = self.fenced.values().map(Fence::unanswered).sum::<f64>() - travels;
        self.waiting = (self.waiting - elapsed * self.pace()).max(open).max(0.0);
        self.waiting
    }

    fn is_late(&self, now: Nanos) -> bool {
        self.fenced.values().any(|fence| fence.late(now))
    }

    /// Answers are late and nothing was sent for as long as one may take: whether the channel is slow or whoever
    /// owes them is gone shows only by another message.
    pub(crate) fn may_probe(&self, now: Nanos) -> bool {
        self.is_late(now) && now.saturating_sub(self.booked_at) >= self.worst_transit
    }

    /// Lines on their way to proxies at the channel's ordinary pace.
    pub(crate) fn travelling(&self) -> f64 {
        self.lines_per_ns * self.transit as f64
    }

    /// Learns the channel's pace when half of a reply's messages are answered. One that is late though a later mark
    /// was answered before tells nothing of the channel: its fence is gone by then.
    fn observe(&mut self, serial: u64, now: Nanos) {
        let Some(fence) = self.fenced.get(&serial) else { return };
        if fence.open.len() != fence.messages / 2 || fence.messages < LEAST_MESSAGES {
            return;
        }
        let told = (fence.ahead - fence.unanswered()).max(self.overhead) / self.lines_per_ns;
        let expected = told * (1.0 + self.slower);
        let took = now.saturating_sub(fence.at + self.transit) as f64;
        let jitter = self.worst_transit.saturating_sub(self.transit) as f64;
        let slower = if took > expected + jitter {
            (took - jitter) / told - 1.0
        } else if took < expected - jitter {
            took / told - 1.0
        } else {
            return;
        };
        self.slower += PACE_GAIN * (slower.clamp(0.0, SLOWEST) - self.slower);
    }

    /// A proxy has what was marked. Messages leave the channel one after another: all of before have left it.
    pub(crate) fn confirmed(&mut self, proxy: ProxyId, serial: u64, now: Nanos) {
        let Some(fence) = self.fenced.get_mut(&serial) else { return };
        let at = fence.at;
        if fence.open.remove(&proxy) {
            self.observe(serial, now);
        }
        self.fenced.retain(|_, fence| fence.at >= at);
    }

    /// Nothing that it was sent waits any more.
    pub(crate) fn left(&mut self, proxy: ProxyId) {
        for fence in self.fenced.values_mut() {
            fence.open.remove(&proxy);
        }
    }
}
