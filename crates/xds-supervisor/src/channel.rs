//! The channel to the proxies: messages leave one after another at the told pace, each a head and its lines.
//! What a proxy does not take is kept as one pending message, so a slow one never holds up another.
//! Free of I/O and clock; it decides nothing but when the next message is due by the told figures.

use std::collections::{BTreeMap, VecDeque};

use shalereel::interface::{ControllerConfig, Nanos, ProxyId};

#[derive(Debug)]
struct Message {
    proxy: ProxyId,
    lines: f64,
    ordered: Nanos,
    serial: Option<u16>,
    /// Put beside the module's own.
    beside: bool,
}

/// A message that has left the channel, to be written to its proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    pub proxy: ProxyId,
    /// When it was ordered.
    pub ordered: Nanos,
    pub serial: Option<u16>,
}

/// Messages that wait, in the order in which they leave.
#[derive(Debug)]
pub struct Channel {
    /// Nothing: no pacing.
    lines_per_ns: Option<f64>,
    overhead: f64,
    queue: VecDeque<Message>,
    waiting: f64,
    /// When the message in front began to leave.
    front_since: Nanos,
    /// The most lines that ever waited.
    pub most: f64,
}

impl Channel {
    pub fn new(facts: &ControllerConfig, paced: bool) -> Self {
        Channel {
            lines_per_ns: paced.then_some(facts.lines_per_s / 1e9),
            overhead: facts.message_overhead,
            queue: VecDeque::new(),
            waiting: 0.0,
            front_since: 0,
            most: 0.0,
        }
    }

    /// Lines that wait, heads included.
    pub fn waiting(&self) -> f64 {
        self.waiting
    }

    /// Puts the messages of one reply into the queue: lines by proxy, heads not counted.
    pub fn put(&mut self, now: Nanos, lines: &BTreeMap<ProxyId, f64>, serial: Option<u16>) {
        if self.queue.is_empty() {
            self.front_since = now;
        }
        for (&proxy, lines) in lines {
            self.push(Message { proxy, lines: lines + self.overhead, ordered: now, serial, beside: false });
        }
    }

    /// Puts a message in that the module knows nothing of.
    pub fn put_beside(&mut self, now: Nanos, proxy: ProxyId, lines: f64) {
        if self.queue.is_empty() {
            self.front_since = now;
        }
        self.push(Message { proxy, lines, ordered: now, serial: None, beside: true });
    }

    fn push(&mut self, message: Message) {
        self.waiting += message.lines;
        self.queue.push_back(message);
        self.most = self.most.max(self.waiting);
    }

    /// Lines that wait and that the module knows nothing of.
    pub fn beside(&self) -> f64 {
        self.queue.iter().filter(|message| message.beside).map(|message| message.lines).sum()
    }

    /// What to a proxy still waits is dropped: its stream has broken.
    pub fn forget(&mut self, proxy: ProxyId) {
        let gone: f64 = self.queue.iter().filter(|m| m.proxy == proxy).map(|m| m.lines).sum();
        self.waiting = (self.waiting - gone).max(0.0);
        self.queue.retain(|message| message.proxy != proxy);
    }

    /// When the message in front will have left.
    pub fn next(&self) -> Option<Nanos> {
        let front = self.queue.front()?;
        let span = self.lines_per_ns.map_or(0.0, |pace| front.lines / pace);
        Some(self.front_since + span as Nanos)
    }

    /// The next message that has left by now.
    pub fn depart(&mut self, now: Nanos) -> Option<Departure> {
        let at = self.next().filter(|&at| at <= now)?;
        let message = self.queue.pop_front()?;
        self.front_since = at;
        self.waiting = if self.queue.is_empty() { 0.0 } else { self.waiting - message.lines };
        Some(Departure { proxy: message.proxy, ordered: message.ordered, serial: message.serial })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn channel() -> Channel {
        Channel {
            lines_per_ns: Some(1e-6),
            overhead: 10.0,
            queue: VecDeque::new(),
            waiting: 0.0,
            front_since: 0,
            most: 0.0,
        }
    }

    #[test]
    fn messages_leave_at_the_told_pace_and_what_waits_is_counted() {
        let mut channel = channel();
        channel.put(1_000_000, &BTreeMap::from([(1, 5.0), (2, 20.0)]), Some(7));
        assert_eq!((channel.waiting(), channel.next()), (45.0, Some(16_000_000)));
        assert_eq!(channel.depart(15_999_999), None);
        let first = channel.depart(60_000_000).unwrap();
        assert_eq!((first.proxy, first.serial, channel.waiting()), (1, Some(7), 30.0));
        // The second began to leave when the first had left, not when it was asked for.
        assert_eq!(channel.next(), Some(46_000_000));
        channel.put(50_000_000, &BTreeMap::from([(3, 0.0)]), None);
        channel.forget(2);
        assert_eq!((channel.waiting(), channel.most), (10.0, 45.0));
        assert_eq!(channel.depart(60_000_000).unwrap().proxy, 3);
        assert_eq!((channel.waiting(), channel.next()), (0.0, None));
    }
}
