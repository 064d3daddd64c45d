//! The channel to the proxies: a queue that messages leave one after another at the configured rate. Each message costs
//! its lines and an overhead. Messages that a proxy does not read are merged into one pending update of that proxy, so
//! a slow proxy does not delay others. `core` enqueues messages and takes departed ones. Free of I/O and clock, and
//! makes no decisions.

use std::collections::{BTreeMap, VecDeque};

use shalereel::interface::{ControllerConfig, Nanos, ProxyId};

#[cfg(test)]
mod tests;

/// Component that caused a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Controller,
    /// The supervisor itself; the controller does not count the message in its account of the channel.
    Supervisor,
}

#[derive(Debug)]
struct Message {
    proxy: ProxyId,
    /// Cost in lines, including the overhead.
    lines: f64,
    queued_at: Nanos,
    /// Serial number that the proxy has to acknowledge, if the controller has requested one.
    mark: Option<u16>,
    origin: Origin,
}

/// A message that has left the channel, to be written to its proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    /// Proxy that receives the message.
    pub proxy: ProxyId,
    /// Time when the message was queued, ns.
    pub queued_at: Nanos,
    /// Serial number that the proxy has to acknowledge, if the controller has requested one with the message.
    pub mark: Option<u16>,
}

/// Number of lines in the channel, including overheads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// Highest number of lines that were queued at once.
    pub peak_lines: f64,
    /// Number of lines that are queued now.
    pub queued_lines: f64,
}

/// Queued messages, in the order in which they leave.
#[derive(Debug)]
pub struct Channel {
    /// Rate of the channel; `None` without pacing.
    lines_per_ns: Option<f64>,
    message_overhead: f64,
    queue: VecDeque<Message>,
    queued_lines: f64,
    /// Time when the message in front began to leave, ns.
    front_since: Nanos,
    peak_lines: f64,
}

impl Channel {
    /// Creates an empty channel with the configured rate. Without `paced`, messages leave at once.
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

    /// Current and peak number of queued lines, including overheads.
    pub fn backlog(&self) -> Backlog {
        Backlog { peak_lines: self.peak_lines, queued_lines: self.queued_lines }
    }

    /// Number of queued lines of messages that the controller did not cause, including overheads.
    pub fn supervisor_lines(&self) -> f64 {
        let supervisor_messages = self.queue.iter().filter(|message| message.origin == Origin::Supervisor);
        supervisor_messages.map(|message| message.lines).sum()
    }

    /// Queues the messages of one decision. `lines` is the number of lines for each proxy, without overhead.
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

    /// Queues a message that the controller did not cause. `lines` includes the overhead.
    pub fn enqueue_supervisor_message(&mut self, now: Nanos, proxy: ProxyId, lines: f64) {
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

    /// Drops all messages that are queued for a proxy whose stream is closed.
    pub fn drop_messages_to(&mut self, proxy: ProxyId) {
        let dropped: f64 =
            self.queue.iter().filter(|message| message.proxy == proxy).map(|message| message.lines).sum();
        self.queued_lines = (self.queued_lines - dropped).max(0.0);
        self.queue.retain(|message| message.proxy != proxy);
    }

    /// Time at which the message in front leaves the channel, ns.
    pub fn next_departure(&self) -> Option<Nanos> {
        let front = self.queue.front()?;
        let duration = self.lines_per_ns.map_or(0.0, |rate| front.lines / rate);
        Some(self.front_since + duration as Nanos)
    }

    /// Takes the next message that has left the channel by now.
    pub fn depart(&mut self, now: Nanos) -> Option<Departure> {
        let departed_at = self.next_departure().filter(|&at| at <= now)?;
        let message = self.queue.pop_front()?;
        self.front_since = departed_at;
        self.queued_lines = if self.queue.is_empty() { 0.0 } else { self.queued_lines - message.lines };
        Some(Departure { proxy: message.proxy, queued_at: message.queued_at, mark: message.mark })
    }
}
