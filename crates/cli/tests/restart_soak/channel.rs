//! The channel from the supervisor to its proxies: messages leave it one after another at a limited rate and
//! then travel. Lines of a process that has ended still leave it, ahead of those of the next one.

use std::collections::VecDeque;

use oorandom::Rand64;
use shalereel_reactor::{Nanos, SECOND};

/// The settings of the channel.
#[derive(Clone, Copy, Debug)]
pub struct ChannelSettings {
    pub lines_per_s: f64,
    /// Cost of a message in addition to its lines, in lines.
    pub overhead: f64,
    pub mean_transit: Nanos,
    pub worst_transit: Nanos,
}

/// A message that has not left the channel.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    leaves_at: Nanos,
    lines: f64,
}

#[derive(Debug)]
pub struct Channel {
    settings: ChannelSettings,
    busy_until: Nanos,
    waiting: VecDeque<Waiting>,
    random: Rand64,
}

impl Channel {
    pub fn new(settings: ChannelSettings, seed: u64) -> Self {
        Channel { settings, busy_until: 0, waiting: VecDeque::new(), random: Rand64::new(seed.into()) }
    }

    /// Changes the rate for messages that enter from now on.
    pub fn set_rate(&mut self, lines_per_s: f64) {
        self.settings.lines_per_s = lines_per_s;
    }

    /// Adds a message of this many lines. Returns when the proxy receives it.
    pub fn enter(&mut self, lines: usize, now: Nanos) -> Nanos {
        let ChannelSettings { lines_per_s, overhead, mean_transit, worst_transit } = self.settings;
        let cost = lines as f64 + overhead;
        let sending_time = (cost / lines_per_s * SECOND as f64) as Nanos;
        self.busy_until = self.busy_until.max(now) + sending_time;
        self.waiting.push_back(Waiting { leaves_at: self.busy_until, lines: cost });
        let least = (2 * mean_transit).saturating_sub(worst_transit);
        let most = worst_transit.min(2 * mean_transit - least);
        self.busy_until + self.random.rand_range(least..most + 1)
    }

    /// Number of lines that wait, without those of an earlier process.
    pub fn waiting_lines(&mut self, now: Nanos) -> f64 {
        while self.waiting.front().is_some_and(|first| first.leaves_at <= now) {
            self.waiting.pop_front();
        }
        self.waiting.iter().map(|message| message.lines).sum()
    }

    /// The process has ended: its lines do not count towards the limit on waiting lines.
    pub fn process_ended(&mut self) {
        self.waiting.clear();
    }
}
