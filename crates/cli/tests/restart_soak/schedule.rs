//! The schedule of one run, drawn from a seed: the size and pace of the platform, the changes of the endpoint
//! list, and the signals.

use oorandom::Rand64;
use shalereel_reactor::{Nanos, MILLI, SECOND};

/// Number of proxies of this supervisor, without a crowd.
pub const PROXIES: u32 = 320;
/// Number of servers that are listed at the start.
pub const SERVERS: usize = 200;
/// Time until the first change of the list, so that all proxies have joined.
const SETTLING_TIME: Nanos = 3 * SECOND;
/// Shortest time from SIGTERM to SIGKILL at a planned restart.
const SHORTEST_STOP: Nanos = 700 * MILLI;
/// Longest time from the end of a process to the next start, ms.
const LONGEST_ABSENCE: u64 = 300;
/// Longest time for which a supervisor is stopped, ms.
const LONGEST_STOP: u64 = 200;

/// The endpoint list that a restarted supervisor is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownList {
    /// The list as of the first start.
    First,
    /// The list as of the restart.
    Newest,
    None,
}

/// A step of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// These servers are listed as draining, and those that drained before as ready again.
    Rotate {
        drained: Vec<usize>,
    },
    /// SIGKILL.
    Kill,
    /// SIGTERM. Proxies use their connections for as long as these are open.
    Terminate,
    /// SIGHUP.
    Reload,
    /// SIGSTOP, and SIGCONT.
    Stop,
    Continue,
    Start(KnownList),
    /// The channel's rate becomes this fraction of the configured one.
    ChannelPace(f64),
    /// The connections of this many proxies are reset.
    ResetProxies(u32),
    /// The connection of the watch is reset.
    ResetWatch,
    /// This many proxies of other supervisors join within a second.
    Crowd(u32),
    /// This many clients connect and stay silent.
    SilentClients(u32),
}

/// Everything that distinguishes one run from another.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    /// The rate of the channel at first, as a fraction of the configured one.
    pub channel_pace: f64,
    /// Whether servers that return were restarted, which their list entries say.
    pub returns_restarted: bool,
    /// Earliest and latest time from the end of a proxy's connection until it dials again.
    pub reconnect: (Nanos, Nanos),
    /// Number of servers that never respond.
    pub hung_servers: usize,
    pub steps: Vec<(Nanos, Step)>,
    pub length: Nanos,
}

impl Schedule {
    /// Draws a schedule.
    pub fn random(seed: u64) -> Self {
        let mut draw = Draw(Rand64::new(seed.into()));
        let reconnect_from = draw.between(200, 2_000) * MILLI;
        let reconnect_to = reconnect_from + draw.between(100, 2_400 - reconnect_from / MILLI) * MILLI;
        let mut schedule = Schedule {
            seed,
            channel_pace: draw.one_of(&[1.0, 1.0, 0.7, 0.5, 0.4, 0.4]),
            returns_restarted: draw.one_of(&[false, false, true]),
            reconnect: (reconnect_from, reconnect_to),
            hung_servers: draw.one_of(&[0, 0, 6]),
            steps: Vec::new(),
            length: 0,
        };
        schedule.add_rotations(&mut draw);
        schedule.add_signals(&mut draw);
        schedule.add_crowd(&mut draw);
        schedule.add_faults(&mut draw);
        schedule.steps.sort_by_key(|(at, _)| *at);
        schedule
    }

    /// The rate of the channel at the end, as a fraction of the configured one.
    pub fn last_pace(&self) -> f64 {
        let changed = |(_, step): &(Nanos, Step)| match step {
            Step::ChannelPace(pace) => Some(*pace),
            _ => None,
        };
        self.steps.iter().rev().find_map(changed).unwrap_or(self.channel_pace)
    }

    /// A schedule without signals: the supervisor is stopped for `stall`, right after servers were listed as
    /// draining.
    pub fn with_stall(seed: u64, stall: Nanos) -> Self {
        let rotated_at = SETTLING_TIME;
        let stopped_at = rotated_at + MILLI;
        let drained = (0..30).collect();
        Schedule {
            seed,
            channel_pace: 1.0,
            returns_restarted: false,
            reconnect: (200 * MILLI, SECOND),
            hung_servers: 0,
            steps: vec![
                (rotated_at - 50 * MILLI, Step::Stop),
                (rotated_at, Step::Rotate { drained }),
                (stopped_at + stall, Step::Continue),
            ],
            length: rotated_at + stall + SECOND,
        }
    }

    /// Adds changes of the list at regular intervals: some servers drain, and those of the step before are
    /// ready again.
    fn add_rotations(&mut self, draw: &mut Draw) {
        let count = draw.between(15, 40) as usize;
        let interval = draw.between(2_500, 4_000) * MILLI;
        let rotations = draw.between(5, 6);
        let mut first = 0;
        for rotation in 0..rotations {
            let drained = (first..first + count).map(|server| server % SERVERS).collect();
            first += count;
            self.steps.push((SETTLING_TIME + rotation * interval, Step::Rotate { drained }));
        }
        self.length = SETTLING_TIME + rotations * interval + SECOND;
    }

    /// Adds restarts in a series, and reloads around them.
    fn add_signals(&mut self, draw: &mut Draw) {
        let known = draw.one_of(&[KnownList::First, KnownList::First, KnownList::Newest, KnownList::None]);
        let mut at = SETTLING_TIME + draw.between(3_000, 8_000) * MILLI;
        for _ in 0..draw.one_of(&[1, 1, 2, 3]) {
            for _ in 0..draw.one_of(&[0, 0, 1, 3]) {
                self.steps.push((at, Step::Reload));
                at += draw.between(1, 200) * MILLI;
            }
            if draw.one_of(&[false, true]) {
                self.steps.push((at, Step::Terminate));
                at += SHORTEST_STOP;
            }
            self.steps.push((at, Step::Kill));
            at += draw.between(10, LONGEST_ABSENCE) * MILLI;
            self.steps.push((at, Step::Start(known)));
            at += draw.one_of(&[300, 1_500, 3_000]) * MILLI;
        }
        self.length = self.length.max(at + 6 * SECOND);
    }

    /// Adds, in some runs, a slower channel from around the last kill, short stops of the supervisor, and
    /// connections that break.
    fn add_faults(&mut self, draw: &mut Draw) {
        let kill = self.last_kill();
        if draw.one_of(&[true, false, false]) {
            let at = kill + draw.between(0, 1_500) * MILLI;
            self.steps.push((at, Step::ChannelPace(draw.one_of(&[0.4, 0.5]))));
        }
        if draw.one_of(&[true, false, false]) {
            let at = kill + draw.between(1_000, 4_000) * MILLI;
            self.steps.push((at, Step::Stop));
            self.steps.push((at + draw.between(50, LONGEST_STOP) * MILLI, Step::Continue));
        }
        for _ in 0..draw.one_of(&[0, 0, 2, 4]) {
            let at = SETTLING_TIME + draw.between(0, 12_000) * MILLI;
            let reset = if draw.one_of(&[true, false]) {
                Step::ResetWatch
            } else {
                Step::ResetProxies(draw.between(5, 80) as u32)
            };
            self.steps.push((at, reset));
        }
    }

    fn last_kill(&self) -> Nanos {
        let kills = self.steps.iter().filter(|(_, step)| *step == Step::Kill).map(|(at, _)| *at);
        kills.max().unwrap_or(SETTLING_TIME)
    }

    /// Adds, in some runs, proxies of supervisors that have ended, and silent clients.
    fn add_crowd(&mut self, draw: &mut Draw) {
        if !draw.one_of(&[true, false, false]) {
            return;
        }
        let at = self.last_kill() + draw.between(500, 4_000) * MILLI;
        self.steps.push((at, Step::Crowd(draw.between(80, 240) as u32)));
        self.steps.push((at, Step::SilentClients(draw.between(10, 40) as u32)));
        self.length = self.length.max(at + 6 * SECOND);
    }
}

/// A random number generator with the draws that a schedule needs.
struct Draw(Rand64);

impl Draw {
    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.0.rand_range(least..most + 1)
    }

    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.between(0, values.len() as u64 - 1) as usize]
    }
}
