//! Who may still use what the group has taken back. Decisions, free of I/O and clock.
//!
//! A range's line at a forwarder lives for a tenure after the forwarder asked for it; a member gives such lines only
//! while its own lease lives, which it asked the leader for; a leader grants leases only while a quorum holds to it.
//! Each span is counted by whoever asked, from the moment of asking: whatever stands still or travels late meanwhile
//! makes a right end earlier, never later.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::Nanos;

use crate::state_machine::{RangeOwnership, StateMachine};
use crate::timing::Timing;
use crate::wire::{Epoch, LogIndex, MemberId};

/// A member's own lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lease {
    expires_at: Nanos,
    /// It holds for whoever has carried out the log up to here.
    commit_index: LogIndex,
}

impl Lease {
    /// The leader has answered what was asked at `sent`.
    pub fn renew(&mut self, timing: &Timing, sent: Nanos, commit: LogIndex) {
        if sent + timing.lease_duration() > self.expires_at {
            *self = Lease {
                expires_at: sent + timing.lease_duration(),
                commit_index: self.commit_index.max(commit),
            };
        }
    }

    pub fn is_valid(&self, now: Nanos, applied: LogIndex) -> bool {
        now < self.expires_at && applied >= self.commit_index
    }
}

/// The leader's book of leases, and what it waits for before a range is given away.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    /// Until when leases that leaders before may have granted live.
    earlier_leases_expire_at: Nanos,
    expires_at: BTreeMap<MemberId, Nanos>,
    /// By move: until when each member that has not cleared it may have somebody who sends to the owner before.
    move_waits: BTreeMap<(u32, LogIndex), (Nanos, BTreeMap<MemberId, Nanos>)>,
}

impl LeaseTable {
    /// A leader begins with what others may have granted until this moment.
    pub fn new(timing: &Timing, since: Nanos) -> Self {
        let earlier = since + timing.upper_bound(timing.lease_duration());
        LeaseTable {
            earlier_leases_expire_at: earlier,
            expires_at: BTreeMap::new(),
            move_waits: BTreeMap::new(),
        }
    }

    /// A lease is granted now, to one that asked at some moment before.
    pub fn grant(&mut self, now: Nanos, timing: &Timing, to: MemberId) {
        self.expires_at.insert(to, now + timing.upper_bound(timing.lease_duration()));
    }

    /// Ranges that may be given to their next owner. `members`: all seats.
    pub fn assignable_ranges(
        &mut self,
        now: Nanos,
        timing: &Timing,
        duties: &StateMachine,
        members: &[MemberId],
    ) -> Vec<(u32, LogIndex)> {
        let moves: Vec<(u32, &RangeOwnership)> =
            duties.ranges().iter().map(|(&range, owned)| (range, owned)).collect();
        let mut safe = Vec::new();
        let mut open = BTreeSet::new();
        for (range, owned) in moves {
            let Some(moving) = &owned.pending_move else { continue };
            open.insert((range, moving.move_index));
            // A range that never had an owner has nobody to wait for.
            if owned.epoch == 0 {
                safe.push((range, moving.move_index));
                continue;
            }
            let route_lapse = timing.route_lapse();
            let (earlier, granted) = (self.earlier_leases_expire_at, &self.expires_at);
            // Leases granted later carry the move with them, and count no more.
            let (others, each) = self.move_waits.entry((range, moving.move_index)).or_insert_with(|| {
                let until =
                    |node: MemberId| granted.get(&node).copied().unwrap_or(0).max(earlier) + route_lapse;
                let known: BTreeSet<MemberId> = members.iter().chain(granted.keys()).copied().collect();
                // Whoever is known to nobody here has its lease from a leader before.
                (earlier + route_lapse, known.into_iter().map(|node| (node, until(node))).collect())
            });
            let waits = each
                .iter()
                .filter(|(node, _)| !moving.cleared_by.contains(node))
                .map(|(_, until)| *until)
                .chain(std::iter::once(*others))
                .max();
            // What has a seat and has cleared it needs no wait; strangers do, once after each change of leaders.
            if waits.is_none_or(|until| now >= until) {
                safe.push((range, moving.move_index));
            }
        }
        self.move_waits.retain(|key, _| open.contains(key));
        safe
    }
}

/// A line that a forwarder may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeRoute {
    pub range: u32,
    pub owner: u32,
    pub epoch: Epoch,
}

/// What a member has told its forwarders of ranges, and until when each may use it.
#[derive(Clone, Debug)]
pub struct RangeGrantor {
    /// What earlier starts of this member told lives until here.
    earlier_grants_lapse_at: Nanos,
    /// By range and epoch: which streams of forwarders were told, when last, and with which answer.
    granted: BTreeMap<(u32, Epoch), BTreeMap<u64, (Nanos, u64)>>,
    responses: u64,
    /// By range: when the last forwarder said that it has left the owner before.
    left_at: BTreeMap<u32, Nanos>,
}

impl RangeGrantor {
    pub fn new(timing: &Timing, born: Nanos) -> Self {
        RangeGrantor {
            earlier_grants_lapse_at: born + timing.route_lapse(),
            granted: BTreeMap::new(),
            responses: 0,
            left_at: BTreeMap::new(),
        }
    }

    /// A forwarder asks on its stream, says up to which answer it has read, and which lines it holds by now. Gives
    /// the answer's number and the lines that it may use for a tenure from when it asked; what is missing it must
    /// leave. Without a lease (`may`) nothing is said of lines: it goes on with what it has, until that ends. One that joins anew is a new stream: what was told on the old one lapses by time.
    pub fn handle_request(
        &mut self,
        now: Nanos,
        stream: u64,
        (seen, holds): (u64, &[(u32, Epoch)]),
        duties: &StateMachine,
        may: bool,
    ) -> (u64, Option<Vec<RangeRoute>>) {
        self.responses += 1;
        let holds: BTreeSet<(u32, Epoch)> = holds.iter().copied().collect();
        for ((range, epoch), told) in &mut self.granted {
            let stands = duties
                .ranges()
                .get(range)
                .is_some_and(|owned| owned.epoch == *epoch && owned.owner.is_some());
            // An answer that it has not read yet may still give it what it does not hold now.
            let over = !stands && !holds.contains(&(*range, *epoch));
            if over && told.get(&stream).is_some_and(|(_, answer)| *answer <= seen) {
                told.remove(&stream);
                self.left_at.insert(*range, now);
            }
        }
        if !may {
            return (self.responses, None);
        }
        let mut lines = Vec::new();
        for (&range, owned) in duties.ranges() {
            if let Some(owner) = owned.owner {
                self.granted.entry((range, owned.epoch)).or_default().insert(stream, (now, self.responses));
                lines.push(RangeRoute { range, owner, epoch: owned.epoch });
            }
        }
        (self.responses, Some(lines))
    }

    /// Unasked, when a range leaves its owner: what still stands. It lengthens nothing.
    pub fn current_routes(&mut self, duties: &StateMachine) -> (u64, Vec<RangeRoute>) {
        self.responses += 1;
        let line = |(&range, owned): (&u32, &RangeOwnership)| {
            owned.owner.map(|owner| RangeRoute { range, owner, epoch: owned.epoch })
        };
        (self.responses, duties.ranges().iter().filter_map(line).collect())
    }

    /// Moves that nobody of this member's forwarders stands against any more.
    pub fn cleared_moves(
        &mut self,
        now: Nanos,
        timing: &Timing,
        me: MemberId,
        duties: &StateMachine,
    ) -> Vec<(u32, LogIndex)> {
        let route_lapse = timing.route_lapse();
        self.granted.retain(|_, told| {
            told.retain(|_, (at, _)| *at + route_lapse > now);
            !told.is_empty()
        });
        let mut found = Vec::new();
        for (&range, owned) in duties.ranges() {
            let Some(moving) = owned.pending_move.as_ref().filter(|moving| !moving.cleared_by.contains(&me))
            else {
                continue;
            };
            let used = self.granted.keys().any(|(of, _)| *of == range);
            let flown = self.left_at.get(&range).is_none_or(|left| now >= left + timing.in_flight_span());
            if now >= self.earlier_grants_lapse_at && !used && flown {
                found.push((range, moving.move_index));
            }
        }
        found
    }

    /// When something may be cleared that is not yet, if anything is on its way.
    pub fn next_deadline(&self, timing: &Timing, duties: &StateMachine) -> Option<Nanos> {
        let moving = duties.ranges().values().any(|owned| owned.pending_move.is_some());
        moving.then(|| {
            let told =
                self.granted.values().flat_map(|told| told.values()).map(|(at, _)| at + timing.route_lapse());
            let left = self.left_at.values().map(|at| at + timing.in_flight_span());
            told.chain(left).chain(std::iter::once(self.earlier_grants_lapse_at)).min().unwrap_or(Nanos::MAX)
        })
    }
}
