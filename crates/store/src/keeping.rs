//! How much history is kept, how often a proxy asks anew, and how many are told whole tables at once. Decisions,
//! free of I/O and clock; times and amounts are ratios to the told ones.

use shalereel::interface::{ControllerConfig, Nanos};

/// What history may take: the oldest versions go as soon as one bound is passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub versions: usize,
    /// Of the versions as they are written.
    pub bytes: usize,
    pub age: Nanos,
}

/// What a table store keeps to, in ratios to the settings' figures.
#[derive(Clone, Copy, Debug)]
pub struct Keeping {
    cycle: Nanos,
    travel: Nanos,
    room: f64,
    overhead: f64,
}

/// History covers so many batches, one a second at most: a night and a day.
const BATCHES: usize = 2 * 24 * 3600;
/// Bytes of history, by lines that the channel may hold: a version's line takes some fifty.
const BYTES_A_LINE: f64 = 50.0;
/// So many full channels of lines are remembered.
const CHANNELS: f64 = 256.0;
/// History is kept as long, in report cycles; operators go back by hours.
const CYCLES: Nanos = 2 * 24 * 3600;
/// The file is written anew once it is so many times as long as what is kept of it.
const SLACK: usize = 2;
/// A table's salt changes after so many of its versions.
const SALTED: u64 = 256;
/// What is not confirmed is said again after this part of a cycle and its travel, both ways; after so many times each
/// wait is twice the one before: a drain must come through a bad link within its grace, and a dead one costs little.
const AGAIN: Nanos = 4;
const PLAIN: u32 = 8;
/// Part of the channel's room that lines of a way back, repeats and whole tables for whoever asks anew may fill. What
/// the module leaves free when it fills most: a tenth.
const SPARE: f64 = 0.1;

impl Keeping {
    pub fn new(facts: &ControllerConfig) -> Self {
        Keeping::of(facts.report_interval, facts.mean_transit, facts.channel_capacity, facts.message_overhead)
    }

    /// By the report cycle, the mean transit, the lines that may wait in the channel and those that a head costs.
    pub fn of(cycle: Nanos, travel: Nanos, room: f64, overhead: f64) -> Self {
        Keeping { cycle, travel, room, overhead }
    }

    /// Bounds where the settings name none.
    pub fn bounds(&self) -> Bounds {
        let bytes = (self.room * BYTES_A_LINE * CHANNELS) as usize;
        Bounds { versions: BATCHES, bytes, age: self.cycle.saturating_mul(CYCLES) }
    }

    /// When a message that nobody confirmed is said again; `times`: how often it was already.
    pub fn again(&self, said: Nanos, times: u32) -> Nanos {
        said + ((2 * self.travel + self.cycle / AGAIN) << times.saturating_sub(PLAIN).min(8))
    }

    /// Lines that may be put into the channel beside the module's, where so many wait there, so many of them put beside
    /// it before. An empty channel takes one message of any size: what never fits must not wait for ever.
    pub fn spare(&self, waiting: f64, beside: f64) -> f64 {
        if waiting <= 0.0 {
            return f64::INFINITY;
        }
        (self.room * SPARE - beside).min(self.room - waiting).max(0.0)
    }

    /// How many lines of a way back make one version: so many that their messages to as many proxies fit the spare
    /// room at once, and one at least.
    pub fn piece(&self, proxies: usize) -> usize {
        let proxies = proxies.max(1) as f64;
        ((self.room * SPARE / proxies - self.cost(0)).floor() as usize).max(1)
    }

    /// Lines that a message costs.
    pub fn cost(&self, lines: usize) -> f64 {
        self.overhead + 1.0 + lines as f64
    }

    /// Is the file to be written anew?
    pub(crate) fn rewrites(written: usize, kept: usize) -> bool {
        written > SLACK * kept.max(1 << 16)
    }

    pub(crate) fn salts(versions: u64) -> bool {
        versions.is_multiple_of(SALTED)
    }
}

/// When a follower that noticed a fault asks anew: a wait that doubles, drawn by chance, so that a fleet that
/// disagrees does not ask at once.
#[derive(Clone, Debug)]
pub struct Resync {
    least: Nanos,
    times: u32,
    chance: oorandom::Rand64,
}

impl Resync {
    /// `least`: the shortest wait; a delta that was only overtaken comes within it.
    pub fn new(least: Nanos, seed: u64) -> Self {
        Resync { least, times: 0, chance: oorandom::Rand64::new(seed.into()) }
    }

    pub(crate) fn at(&mut self, now: Nanos) -> Nanos {
        let span = (self.least << self.times.min(6)) as f64;
        self.times += 1;
        now + (span * (0.5 + 0.5 * self.chance.rand_float())) as Nanos
    }

    pub(crate) fn mended(&mut self) {
        self.times = 0;
    }
}
