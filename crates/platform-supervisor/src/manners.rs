//! Whom to refuse, how long to wait, and what may be held. Decisions, free of I/O and clock; figures are the
//! platform's own, or ratios to the told ones.

use shalereel::interface::{ControllerConfig, Nanos};

use crate::start::Limits;

const SECOND: Nanos = 1_000_000_000;

/// A connection may be closed if it has not joined within this; a little is added for what waited in the kernel.
const JOIN_WITHIN: Nanos = SECOND;
const JOIN_MARGIN: Nanos = SECOND / 20;
/// The platform's longest message, and the most that a party may leave unread.
const MESSAGE: usize = 1 << 20;
const UNREAD: usize = 128 << 10;
/// Whoever has not joined has nothing to say that is longer.
const STRANGER_MESSAGE: usize = 4 << 10;
/// Bytes that wait for the end of their message, all connections together, as a part of the memory.
const HELD_PART: usize = 8;
/// Descriptors kept from those who dial in, for discovery, probes and the process itself: a part, and at least.
const RESERVE_PART: u64 = 16;
const RESERVE_LEAST: u64 = 48;
/// An empty line comes every 2 s and news count as told after 6 s: silence for as long as two lines and a bit,
/// then there is time for another watch.
const WATCH_SILENCE: Nanos = 4 * SECOND + SECOND / 4;
/// Dialling discovery again: the first pause, and the longest.
const DIAL_FIRST: Nanos = SECOND / 20;
const DIAL_MOST: Nanos = SECOND;
/// What the kernel refuses for a moment is tried again after so long.
const REFUSED_AGAIN: Nanos = SECOND / 20;
/// A file of settings that cannot be read is read again after so long, so many times: its replacement takes no
/// longer, and time limits hold off for 4 s after the signal.
const REREAD_AFTER: Nanos = SECOND / 10;
const REREADS: u32 = 40;
/// A stream that says nothing and answers no mark is held for dead after so many times the longest way there
/// and back, a report cycle, and the emptying of a full channel.
const STREAM_SILENCE: Nanos = 4;
/// Lines in a row that cannot be read before a joined connection is closed.
const NOISE: u32 = 2;
/// Spans and times longer than this many of their told measure are none.
const ABSURD: f64 = 64.0;
/// A server that is gone is let go after so many times the time in which it could still matter.
const GONE_FOR: Nanos = 4;
/// A module that has failed knows nothing of what still waits in the channel: it begins anew when this part of a
/// full one has emptied. Each time that it fails again at once the pause doubles, up to so many times.
const ANEW_PART: f64 = 0.4;
const ANEW_MOST: u32 = 3;

/// Lines of log in a second; what is over is counted and said. How things stand is said every so many cycles.
const LOG_LINES: u32 = 40;
const REPORT_CYCLES: Nanos = 5;
/// What is silent or can be let go is looked for so many times in a report cycle.
const SWEEPS: Nanos = 4;

#[derive(Clone, Debug)]
pub struct Manners {
    limits: Limits,
    cycle: Nanos,
    round: Nanos,
    drained: Nanos,
    longest: Nanos,
    grace: Nanos,
}

impl Manners {
    pub fn new(facts: &ControllerConfig, limits: Limits) -> Self {
        let timeouts = facts.operations.iter().map(|operation| operation.timeout);
        Manners {
            limits,
            cycle: facts.report_interval.max(1),
            round: 2 * facts.worst_transit + facts.report_interval,
            drained: (facts.channel_capacity / facts.lines_per_s.max(f64::MIN_POSITIVE) * 1e9) as Nanos,
            longest: timeouts.max().unwrap_or_default().max(1),
            grace: facts.drain_grace.max(SECOND),
        }
    }

    /// Until when a connection made then must have joined.
    pub fn join_by(&self, opened: Nanos) -> Nanos {
        opened + JOIN_WITHIN + JOIN_MARGIN
    }

    /// Connections that may stand at once of those who dial in.
    pub fn guests(&self) -> usize {
        let reserve = (self.limits.sockets / RESERVE_PART).max(RESERVE_LEAST);
        self.limits.sockets.saturating_sub(reserve).max(1) as usize
    }

    /// Longest message of someone who has joined or not.
    pub fn message(&self, joined: bool) -> usize {
        if joined {
            MESSAGE.min(self.held() / 2)
        } else {
            STRANGER_MESSAGE
        }
    }

    /// Bytes of unended messages, all connections together.
    pub fn held(&self) -> usize {
        (self.limits.memory_mb as usize).max(1) * (1 << 20) / HELD_PART
    }

    /// After how long what the kernel refused for a moment is tried again.
    pub fn refused_again(&self) -> Nanos {
        REFUSED_AGAIN
    }

    /// Bytes that a peer may leave unread before it is reset.
    pub fn unread(&self) -> usize {
        UNREAD
    }

    /// A peer whose kernel acknowledges nothing for so long is gone.
    pub fn stream_silence(&self) -> Nanos {
        STREAM_SILENCE * (self.round + self.drained)
    }

    pub fn watch_silence(&self) -> Nanos {
        WATCH_SILENCE
    }

    /// When discovery is dialled again after so many failures in a row; `chance` lies in 0..1.
    pub fn dial_again(&self, now: Nanos, failures: u32, chance: f64) -> Nanos {
        let pause = (DIAL_FIRST << failures.min(16)).min(DIAL_MOST);
        now + (pause as f64 * (0.5 + 0.5 * chance)) as Nanos
    }

    /// When a file that could not be read so many times is read again, if it is.
    pub fn reread_at(&self, now: Nanos, tries: u32) -> Option<Nanos> {
        (tries < REREADS).then_some(now + REREAD_AFTER)
    }

    /// Is a connection closed after so many lines in a row that cannot be read?
    pub fn tired_of(&self, noise: u32) -> bool {
        noise >= NOISE
    }

    /// Until when a probe may be answered.
    pub fn probed_by(&self, sent: Nanos) -> Nanos {
        sent + self.cycle
    }

    /// When the next look for what is silent or can be let go is due.
    pub fn sweep_at(&self, now: Nanos) -> Nanos {
        now + self.cycle / SWEEPS
    }

    /// When it is to be said again how things stand.
    pub fn report_at(&self, said: Nanos) -> Nanos {
        said + REPORT_CYCLES * self.cycle
    }

    /// So many lines of log in such a span.
    pub fn log(&self) -> (Nanos, u32) {
        (SECOND, LOG_LINES)
    }

    /// Can a report be of such a span?
    pub fn is_span(&self, ms: f64) -> bool {
        ms > 0.0 && ms * 1e6 <= ABSURD * (self.cycle as f64).max(SECOND as f64)
    }

    /// Can an answer have taken so long?
    pub fn is_time(&self, ms: f64) -> bool {
        ms >= 0.0 && ms * 1e6 <= ABSURD * self.longest as f64
    }

    /// Before when a server must have gone to be let go now.
    pub fn let_go_before(&self, now: Nanos) -> Nanos {
        now.saturating_sub(GONE_FOR * (self.longest + self.grace))
    }

    /// When a module that has failed so many times in a row begins anew.
    pub fn anew_at(&self, now: Nanos, failures: u32) -> Nanos {
        now + (((ANEW_PART * self.drained as f64) as Nanos) << failures.saturating_sub(1).min(ANEW_MOST))
    }
}
