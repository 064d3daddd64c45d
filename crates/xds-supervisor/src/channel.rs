//! The channel to the proxies: messages leave one after another at the configured rate, each an overhead and its lines.
//! What a proxy does not read stays one pending message of its own, so a slow proxy never holds up another.
//! `core` enqueues and takes what has left. Free of I/O and clock; nothing is decided here.

use std::collections::{BTreeMap, VecDeque};

use shalereel::interface::{ControllerConfig, Nanos, ProxyId};

#[cfg(test)]
mod tests;

/// On whose behalf a message is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Controller,
    /// The supervisor itself: the controller's account of the channel does not have it.
    Supervisor,
}

#[derive(Debug)]
struct Message {
    proxy: ProxyId,
    /// Overhead included.
    lines: f64,
    queued_at: Nanos,
    mark: Option<u16>,
    origin: Origin,
}

/// A message that has left the channel, to be written to its proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    /// Receiver.
    pub proxy: ProxyId,
    /// When it was put into the channel.
    pub queued_at: Nanos,
    /// Serial of the mark that it carries.
    pub mark: Option<u16>,
}

/// Lines in the channel, overheads included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// The most that were ever queued.
    pub peak_lines: f64,
    /// Queued now.
    pub queued_lines: f64,
}

/// Queued messages, in the order in which they leave.
#[derive(Debug)]
pub struct Channel {
    /// `None`: no pacing.
    lines_per_ns: Option<f64>,
    message_overhead: f64,
    queue: VecDeque<Message>,
    queued_lines: f64,
    /// When the message in front began to leave.
    front_since: Nanos,
    peak_lines: f64,
}

impl Channel {
    /// An empty channel with the configured rate; `paced` false: messages leave at once.
    pub fn new(config: &ControllerConfig, paced: bool) -> Self {
        Channel {
            lines_per_ns: paced.then_some(config.lines_per_s / 1e9),
            message_overhead: config.message_overhead,
            queue: VecDeque::new(),
            queued_lines: 0.0,
            front_since: 0,
            peak_lines: 0.0,
        }
    }

    /// Lines that are queued and were, overheads included.
    pub fn backlog(&self) -> Backlog {
        Backlog { peak_lines: self.peak_lines, queued_lines: self.queued_lines }
    }

    /// Queued lines of messages that the controller does not know of, overheads included.
    pub fn supervisor_lines(&self) -> f64 {
        let own = self.queue.iter().filter(|message| message.origin == Origin::Supervisor);
        own.map(|message| message.lines).sum()
    }

    /// Queues the messages of one decision: lines by proxy, without overhead.
    pub fn enqueue(&mut self, now: Nanos, lines: &BTreeMap<ProxyId, f64>, mark: Option<u16>) {
        if self.queue.is_empty() {
            self.front_since = now;
        }
        for (&proxy, lines) in lines {
            self.push(Message {
                proxy,
                lines: lines + self.message_overhead,
                queued_at: now,
                mark,
                origin: Origin::Controller,
            });
        }
    }

    /// Queues a message that the controller does not know of; `lines` with overhead.
    pub fn enqueue_own(&mut self, now: Nanos, proxy: ProxyId, lines: f64) {
        if self.queue.is_empty() {
            self.front_since = now;
        }
        self.push(Message { proxy, lines, queued_at: now, mark: None, origin: Origin::Supervisor });
    }

    fn push(&mut self, message: Message) {
        self.queued_lines += message.lines;
        self.queue.push_back(message);
        self.peak_lines = self.peak_lines.max(self.queued_lines);
    }

    /// Drops what is queued for a proxy: its stream is closed.
    pub fn drop_messages_to(&mut self, proxy: ProxyId) {
        let dropped: f64 =
            self.queue.iter().filter(|message| message.proxy == proxy).map(|message| message.lines).sum();
        self.queued_lines = (self.queued_lines - dropped).max(0.0);
        self.queue.retain(|message| message.proxy != proxy);
    }

    /// When the message in front will have left.
    pub fn next_departure(&self) -> Option<Nanos> {
        let front = self.queue.front()?;
        let duration = self.lines_per_ns.map_or(0.0, |rate| front.lines / rate);
        Some(self.front_since + duration as Nanos)
    }

    /// Takes the next message that has left by now.
    pub fn depart(&mut self, now: Nanos) -> Option<Departure> {
        let departed_at = self.next_departure().filter(|&at| at <= now)?;
        let message = self.queue.pop_front()?;
        self.front_since = departed_at;
        self.queued_lines = if self.queue.is_empty() { 0.0 } else { self.queued_lines - message.lines };
        Some(Departure { proxy: message.proxy, queued_at: message.queued_at, mark: message.mark })
    }
}
