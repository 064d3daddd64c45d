//! Who may still use what the group has taken back. Decisions, free of I/O and clock.
//!
//! A range's line at a forwarder lives for a tenure after the forwarder asked for it; a member gives such lines only
//! while its own lease lives, which it asked the leader for; a leader grants leases only while a quorum holds to it.
//! Each span is counted by whoever asked, from the moment of asking: whatever stands still or travels late meanwhile
//! makes a right end earlier, never later.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::Nanos;

use crate::duties::{Duties, Owned};
use crate::pace::Pace;
use crate::wire::{Epoch, Index, Node};

/// A member's own lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lease {
    until: Nanos,
    /// It holds for whoever has carried out the log up to here.
    commit: Index,
}

impl Lease {
    /// The leader has answered what was asked at `sent`.
    pub fn renewed(&mut self, pace: &Pace, sent: Nanos, commit: Index) {
        if sent + pace.lease() > self.until {
            *self = Lease { until: sent + pace.lease(), commit: self.commit.max(commit) };
        }
    }

    pub fn holds(&self, now: Nanos, applied: Index) -> bool {
        now < self.until && applied >= self.commit
    }
}

/// The leader's book of leases, and what it waits for before a range is given away.
#[derive(Clone, Debug)]
pub struct Book {
    /// Until when leases that leaders before may have granted live.
    earlier: Nanos,
    granted: BTreeMap<Node, Nanos>,
    /// By move: until when each member that has not cleared it may have somebody who sends to the owner before.
    waits: BTreeMap<(u32, Index), (Nanos, BTreeMap<Node, Nanos>)>,
}

impl Book {
    /// A leader begins with what others may have granted until this moment.
    pub fn new(pace: &Pace, since: Nanos) -> Self {
        let earlier = since + pace.surely(pace.lease());
        Book { earlier, granted: BTreeMap::new(), waits: BTreeMap::new() }
    }

    /// A lease is granted now, to one that asked at some moment before.
    pub fn grant(&mut self, now: Nanos, pace: &Pace, to: Node) {
        self.granted.insert(to, now + pace.surely(pace.lease()));
    }

    /// Ranges that may be given to their next owner. `members`: all seats.
    pub fn safe(&mut self, now: Nanos, pace: &Pace, duties: &Duties, members: &[Node]) -> Vec<(u32, Index)> {
        let moves: Vec<(u32, &Owned)> =
            duties.ranges().iter().map(|(&range, owned)| (range, owned)).collect();
        let mut safe = Vec::new();
        let mut open = BTreeSet::new();
        for (range, owned) in moves {
            let Some(moving) = &owned.moving else { continue };
            open.insert((range, moving.moved));
            // A range that never had an owner has nobody to wait for.
            if owned.epoch == 0 {
                safe.push((range, moving.moved));
                continue;
            }
            let lapse = pace.lapse();
            let (earlier, granted) = (self.earlier, &self.granted);
            // Leases granted later carry the move with them, and count no more.
            let (others, each) = self.waits.entry((range, moving.moved)).or_insert_with(|| {
                let until = |node: Node| granted.get(&node).copied().unwrap_or(0).max(earlier) + lapse;
                let known: BTreeSet<Node> = members.iter().chain(granted.keys()).copied().collect();
                // Whoever is known to nobody here has its lease from a leader before.
                (earlier + lapse, known.into_iter().map(|node| (node, until(node))).collect())
            });
            let waits = each
                .iter()
                .filter(|(node, _)| !moving.cleared.contains(node))
                .map(|(_, until)| *until)
                .chain(std::iter::once(*others))
                .max();
            // What has a seat and has cleared it needs no wait; strangers do, once after each change of leaders.
            if waits.is_none_or(|until| now >= until) {
                safe.push((range, moving.moved));
            }
        }
        self.waits.retain(|key, _| open.contains(key));
        safe
    }
}

/// A line that a forwarder may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeLine {
    pub range: u32,
    pub owner: u32,
    pub epoch: Epoch,
}

/// What a member has told its forwarders of ranges, and until when each may use it.
#[derive(Clone, Debug)]
pub struct Landlord {
    /// What earlier starts of this member told lives until here.
    earlier: Nanos,
    /// By range and epoch: which streams of forwarders were told, when last, and with which answer.
    told: BTreeMap<(u32, Epoch), BTreeMap<u64, (Nanos, u64)>>,
    answers: u64,
    /// By range: when the last forwarder said that it has left the owner before.
    left: BTreeMap<u32, Nanos>,
}

impl Landlord {
    pub fn new(pace: &Pace, born: Nanos) -> Self {
        Landlord { earlier: born + pace.lapse(), told: BTreeMap::new(), answers: 0, left: BTreeMap::new() }
    }

    /// A forwarder asks on its stream, says up to which answer it has read, and which lines it holds by now. Gives
    /// the answer's number and the lines that it may use for a tenure from when it asked; what is missing it must
    /// leave. Without a lease (`may`) nothing is said of lines: it goes on with what it has, until that ends. One that joins anew is a new stream: what was told on the old one lapses by time.
    pub fn asked(
        &mut self,
        now: Nanos,
        stream: u64,
        (seen, holds): (u64, &[(u32, Epoch)]),
        duties: &Duties,
        may: bool,
    ) -> (u64, Option<Vec<RangeLine>>) {
        self.answers += 1;
        let holds: BTreeSet<(u32, Epoch)> = holds.iter().copied().collect();
        for ((range, epoch), told) in &mut self.told {
            let stands = duties
                .ranges()
                .get(range)
                .is_some_and(|owned| owned.epoch == *epoch && owned.owner.is_some());
            // An answer that it has not read yet may still give it what it does not hold now.
            let over = !stands && !holds.contains(&(*range, *epoch));
            if over && told.get(&stream).is_some_and(|(_, answer)| *answer <= seen) {
                told.remove(&stream);
                self.left.insert(*range, now);
            }
        }
        if !may {
            return (self.answers, None);
        }
        let mut lines = Vec::new();
        for (&range, owned) in duties.ranges() {
            if let Some(owner) = owned.owner {
                self.told.entry((range, owned.epoch)).or_default().insert(stream, (now, self.answers));
                lines.push(RangeLine { range, owner, epoch: owned.epoch });
            }
        }
        (self.answers, Some(lines))
    }

    /// Unasked, when a range leaves its owner: what still stands. It lengthens nothing.
    pub fn standing(&mut self, duties: &Duties) -> (u64, Vec<RangeLine>) {
        self.answers += 1;
        let line = |(&range, owned): (&u32, &Owned)| {
            owned.owner.map(|owner| RangeLine { range, owner, epoch: owned.epoch })
        };
        (self.answers, duties.ranges().iter().filter_map(line).collect())
    }

    /// Moves that nobody of this member's forwarders stands against any more.
    pub fn cleared(&mut self, now: Nanos, pace: &Pace, me: Node, duties: &Duties) -> Vec<(u32, Index)> {
        let lapse = pace.lapse();
        self.told.retain(|_, told| {
            told.retain(|_, (at, _)| *at + lapse > now);
            !told.is_empty()
        });
        let mut found = Vec::new();
        for (&range, owned) in duties.ranges() {
            let Some(moving) = owned.moving.as_ref().filter(|moving| !moving.cleared.contains(&me)) else {
                continue;
            };
            let used = self.told.keys().any(|(of, _)| *of == range);
            let flown = self.left.get(&range).is_none_or(|left| now >= left + pace.in_flight());
            if now >= self.earlier && !used && flown {
                found.push((range, moving.moved));
            }
        }
        found
    }

    /// When something may be cleared that is not yet, if anything is on its way.
    pub fn next(&self, pace: &Pace, duties: &Duties) -> Option<Nanos> {
        let moving = duties.ranges().values().any(|owned| owned.moving.is_some());
        moving.then(|| {
            let told = self.told.values().flat_map(|told| told.values()).map(|(at, _)| at + pace.lapse());
            let left = self.left.values().map(|at| at + pace.in_flight());
            told.chain(left).chain(std::iter::once(self.earlier)).min().unwrap_or(Nanos::MAX)
        })
    }
}
