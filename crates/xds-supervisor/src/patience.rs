//! How long a supervisor waits for others, and what they may cost it. Decisions, free of I/O and clock; times
//! are ratios to the told ones.

use shalereel::interface::{ControllerConfig, Nanos};

/// What to do with a proxy that turns messages down or does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Say it again, at this time.
    Again(Nanos),
    /// End its stream, so that it joins anew.
    Part,
}

/// Patience with proxies, in ratios to the told times of the channel.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    cycle: Nanos,
    round: Nanos,
    drained: Nanos,
}

/// So many messages turned down in a row end the stream.
const TURNED_DOWN: u32 = 3;
/// A message not answered in so many times a round and the emptying of a full channel ends the stream.
const UNANSWERED: Nanos = 4;

/// What the kernel refuses for a moment is tried again after so long.
const REFUSED_AGAIN: Nanos = 50_000_000;
/// A list is kept within this part of a report cycle.
const KEPT_WITHIN: Nanos = 4;
/// Bytes of one message on either front: a report or a registration of ten thousand servers fits, a flood not.
pub const MESSAGE: usize = 4 << 20;
/// Calls open at once on a connection: a client needs two.
const CALLS: u32 = 64;
/// So many messages of that size may wait for a peer that does not read.
const UNREAD: usize = 2;
/// Members and groups of one balancer: twice ten thousand, and sixteen groups an operation.
const MEMBERS: usize = 20_000;
const GROUPS: usize = 256;
/// Entries of a group's log in one message.
const ENTRIES: usize = 64;
/// A member that is not reached is dialled again so many times in a report cycle.
const MEMBER_DIALS: Nanos = 8;
/// Requests for weights that a balancer is answered in a report cycle; one is due.
const ASKS: u32 = 16;

impl Patience {
    pub fn new(facts: &ControllerConfig) -> Self {
        let drained = (facts.channel_capacity / facts.lines_per_s * 1e9) as Nanos;
        let cycle = facts.report_interval;
        Patience { cycle, round: 2 * facts.worst_transit + cycle, drained }
    }

    /// A proxy has turned down its `count`th message in a row. Said again at once, the same would come back
    /// at once: each time waits a round longer.
    pub fn turned_down(&self, now: Nanos, count: u32) -> Verdict {
        if count >= TURNED_DOWN {
            return Verdict::Part;
        }
        Verdict::Again(now + Nanos::from(count) * self.round)
    }

    /// Until when a message must be answered.
    pub fn answer_by(&self, said: Nanos) -> Nanos {
        said + UNANSWERED * (self.round + self.drained)
    }

    /// When the registry is dialled again after its stream was lost, where it pushes its list.
    pub fn list_again(&self, lost: Nanos) -> Nanos {
        lost + self.cycle
    }

    /// By when a list that was heard is kept: after what follows from it has left, and at a bounded pace.
    pub fn keep_by(&self, heard: Nanos) -> Nanos {
        heard + self.cycle / KEPT_WITHIN
    }

    /// Until when a probe may be answered.
    pub fn probed_by(&self, sent: Nanos) -> Nanos {
        sent + self.cycle
    }

    /// When a member of the group that was not reached is dialled again.
    pub fn member_again(&self, lost: Nanos) -> Nanos {
        lost + self.cycle / MEMBER_DIALS
    }

    pub fn entries(&self) -> usize {
        ENTRIES
    }

    /// What one connection may cost.
    pub fn connection(&self) -> shalereel_rpc::ConnectionLimits {
        shalereel_rpc::ConnectionLimits {
            max_message_bytes: MESSAGE,
            max_concurrent_calls: CALLS,
            max_unsent_bytes: UNREAD * MESSAGE,
            user_timeout: self.answer_by(0),
            retry_delay: REFUSED_AGAIN,
        }
    }

    /// What one balancer of the second front may cost.
    pub fn balancer(&self) -> shalereel_sasp::Bounds {
        // The protocol counts whole seconds.
        let interval = self.cycle.div_ceil(1_000_000_000).clamp(1, 3600) as u16;
        shalereel_sasp::Bounds { members: MEMBERS, groups: GROUPS, weight_requests: ASKS, interval }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn patience_ends_after_three_refusals() {
        let patience = Patience { cycle: 40, round: 100, drained: 50 };
        assert_eq!(patience.turned_down(1000, 1), Verdict::Again(1100));
        assert_eq!(patience.turned_down(1000, 2), Verdict::Again(1200));
        assert_eq!(patience.turned_down(1000, 3), Verdict::Part);
        assert_eq!(patience.answer_by(1000), 1600);
        assert_eq!(
            (patience.list_again(1000), patience.keep_by(1000), patience.probed_by(1000)),
            (1040, 1010, 1040)
        );
        assert_eq!((patience.connection().user_timeout, patience.balancer().interval), (600, 1));
    }
}
