//! Who does what: holders of duties, owners of key ranges, the pace of operators' drains. Decisions, free of I/O
//! and clock, from what is agreed and what is seen.

use std::collections::{BTreeMap, BTreeSet};

use hrw_hash::HrwNodes;

use crate::duties::Duties;
use crate::wire::{Duty, Index, Node};

/// Of the listed servers of a locality, operators' orders drain this part at a time at most, as the design has it
/// for withdrawals.
const DRAINED_AT_ONCE: usize = 3;

/// A server as a member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fit {
    pub server: u32,
    pub locality: u32,
    /// Warm, and neither draining nor withdrawn: a range may be given to it.
    pub open: bool,
    /// Listed as ready at all: a range that it owns may stay with it.
    pub listed: bool,
}

/// The member that should hold a duty (highest random weight): when one goes, only its duties move.
pub fn holder(duty: Duty, there: &[Node]) -> Option<Node> {
    HrwNodes::new(there.iter().copied()).sorted(&duty).next().copied()
}

/// Duties to be given, with their next holders. `there`: seats that are not known as dead; `settled`: those that
/// have been there for long enough to be given what they would hold.
pub fn assignments(
    duties: &Duties,
    wanted: &[Duty],
    there: &BTreeSet<Node>,
    settled: &BTreeSet<Node>,
) -> Vec<(Duty, Node)> {
    let from: Vec<Node> = if settled.is_empty() { there } else { settled }.iter().copied().collect();
    let next = wanted.iter().filter_map(|&duty| {
        let held = duties.held(duty).map(|held| held.holder).filter(|holder| there.contains(holder));
        let best = holder(duty, &from)?;
        // Whoever is there keeps what it has unless its true holder has come back and stayed.
        (held != Some(best)).then_some((duty, best))
    });
    next.collect()
}

/// Drains of a locality that may begin now, in the order in which they came.
pub fn drains(duties: &Duties, locality: u32, listed: usize) -> Vec<Index> {
    let of_it = duties
        .orders()
        .iter()
        .filter(|(_, standing)| standing.order.hold.is_none() && standing.order.locality == locality);
    let (begun, waiting): (Vec<_>, Vec<_>) = of_it.partition(|(_, standing)| standing.begun);
    let room = (listed / DRAINED_AT_ONCE).max(1).saturating_sub(begun.len());
    waiting.into_iter().take(room).map(|(&order, _)| order).collect()
}

/// Where a range should go, if it must go: its owner is listed no more or drains, or it never had one. Nothing
/// where there is no open server to give it to, or where it is on its way to a server that is still open.
pub fn next_owner(duties: &Duties, range: u32, fits: &BTreeMap<u32, Fit>) -> Option<u32> {
    let owned = duties.ranges().get(&range);
    let open = |server: u32| fits.get(&server).is_some_and(|fit| fit.open);
    let stays = |server: u32| fits.get(&server).is_some_and(|fit| fit.listed);
    let settled = match owned.map(|owned| (owned.owner, &owned.moving)) {
        Some((Some(owner), _)) => stays(owner),
        Some((None, Some(moving))) => open(moving.to),
        _ => false,
    };
    if settled {
        return None;
    }
    let from: Vec<u32> = fits.values().filter(|fit| fit.open).map(|fit| fit.server).collect();
    HrwNodes::new(from).sorted(&range).next().copied()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{Act, Assign, Command, Move, Order};

    fn apply(duties: &mut Duties, index: Index, act: Act) {
        duties.apply(index, 1, &Command { request: 0, act: Some(act) }, None);
    }

    #[test]
    fn only_the_duties_of_one_that_goes_move() {
        let mut duties = Duties::default();
        let wanted: Vec<Duty> = (0..64).map(Duty::Range).collect();
        let all: BTreeSet<Node> = (0..4).collect();
        for (index, (duty, holder)) in assignments(&duties, &wanted, &all, &all).into_iter().enumerate() {
            let assign = Assign { duty: Some(duty.into()), holder };
            apply(&mut duties, index as u64 + 1, Act::Assign(assign));
        }
        let per: Vec<usize> =
            (0..4).map(|node| duties.duties().values().filter(|held| held.holder == node).count()).collect();
        assert!(per.iter().all(|&count| count >= 6), "{per:?}");
        let less: BTreeSet<Node> = [0, 1, 3].into();
        let moved = assignments(&duties, &wanted, &less, &less);
        assert_eq!(moved.len(), per[2]);
        assert!(moved.iter().all(|(duty, _)| duties.held(*duty).is_some_and(|held| held.holder == 2)));
        // It is back, but not for long enough: all stays where it is.
        assert_eq!(assignments(&duties, &wanted, &all, &all), vec![]);
    }

    #[test]
    fn drains_take_turns_by_thirds_of_what_is_listed() {
        let mut duties = Duties::default();
        for server in 0..4 {
            apply(&mut duties, 10 + u64::from(server), Act::Order(Order { server, locality: 1, hold: None }));
        }
        assert_eq!(drains(&duties, 1, 6), vec![10, 11]);
        assert_eq!(drains(&duties, 1, 2), vec![10]);
        assert_eq!(drains(&duties, 0, 6), Vec::<Index>::new());
    }

    #[test]
    fn a_range_moves_only_from_a_server_that_cannot_keep_it() {
        let fit = |server, open, listed| (server, Fit { server, locality: 0, open, listed });
        let mut duties = Duties::default();
        let fits: BTreeMap<u32, Fit> = [fit(1, true, true), fit(2, true, true), fit(3, false, true)].into();
        let first = next_owner(&duties, 0, &fits).unwrap();
        assert!(first < 3);
        apply(&mut duties, 5, Act::Move(Move { range: 0, to: first, epoch: 0 }));
        assert_eq!(next_owner(&duties, 0, &fits), None);
        let none: BTreeMap<u32, Fit> = [fit(1, false, true), fit(2, false, true)].into();
        assert_eq!(next_owner(&duties, 0, &none), None, "nowhere to go");
        let one_left: BTreeMap<u32, Fit> = [fit(3 - first, true, true)].into();
        assert_eq!(next_owner(&duties, 0, &one_left), Some(3 - first));
    }
}
