//! What a group has agreed on: who holds which duty, which orders of operators stand, who owns which key range. A
//! pure function of the log: whoever carries out the same entries knows the same.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;

use crate::wire::{
    Act, Assign, Begin, Cleared, Command, Duty, DutyName, Entry, Epoch, Give, Index, Move, Node, Order,
    Release, SeatChange,
};
use crate::Planted;

/// So many requests are remembered, so that one that comes again has no second effect.
const REMEMBERED: usize = 4096;

/// Who holds a duty, and by which entry.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Held {
    #[prost(uint32, tag = "1")]
    pub holder: Node,
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// An operator's order that stands.
#[derive(Clone, PartialEq, Message)]
pub struct Standing {
    #[prost(message, required, tag = "1")]
    pub order: Order,
    /// Drains wait for their turn; holds act at once.
    #[prost(bool, tag = "2")]
    pub begun: bool,
}

/// A range on its way.
#[derive(Clone, PartialEq, Message)]
pub struct Moving {
    #[prost(uint32, tag = "1")]
    pub to: u32,
    /// Index of the move.
    #[prost(uint64, tag = "2")]
    pub moved: Index,
    /// Members that have nobody any more who sends to the owner before.
    #[prost(uint32, repeated, tag = "3")]
    pub cleared: Vec<Node>,
}

/// Who owns a key range, and since which entry. While it moves nobody does.
#[derive(Clone, PartialEq, Message)]
pub struct Owned {
    #[prost(uint32, optional, tag = "1")]
    pub owner: Option<u32>,
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
    #[prost(message, optional, tag = "3")]
    pub moving: Option<Moving>,
}

/// What an entry changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Changed {
    Duty {
        duty: Duty,
        held: Held,
    },
    Ordered {
        order: Index,
        what: Order,
    },
    Begun {
        order: Index,
        what: Order,
    },
    Released {
        order: Index,
        what: Order,
    },
    Leaving {
        range: u32,
        moved: Index,
    },
    Cleared {
        range: u32,
        by: Node,
    },
    Given {
        range: u32,
        owner: u32,
        epoch: Epoch,
    },
    Seat {
        seat: crate::wire::Seat,
        out: bool,
    },
    /// Asked for by one who no longer may, or about what is no more.
    Stale(&'static str),
    /// A request that was carried out before.
    Again,
}

#[derive(Clone, PartialEq, Message)]
struct KeptDuty {
    #[prost(message, required, tag = "1")]
    duty: DutyName,
    #[prost(message, required, tag = "2")]
    held: Held,
}

#[derive(Clone, PartialEq, Message)]
struct KeptState {
    #[prost(message, repeated, tag = "1")]
    duties: Vec<KeptDuty>,
    #[prost(btree_map = "uint64, message", tag = "2")]
    orders: BTreeMap<Index, Standing>,
    #[prost(btree_map = "uint32, message", tag = "3")]
    ranges: BTreeMap<u32, Owned>,
    #[prost(btree_map = "uint64, uint64", tag = "4")]
    requests: BTreeMap<Index, u64>,
    #[prost(btree_map = "uint32, message", tag = "5")]
    seats: BTreeMap<Node, SeatChange>,
    #[prost(uint32, tag = "6")]
    history: u32,
}

/// What was agreed so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Duties {
    duties: BTreeMap<Duty, Held>,
    orders: BTreeMap<Index, Standing>,
    ranges: BTreeMap<u32, Owned>,
    /// Requests by the entries that carried them out.
    requests: BTreeMap<Index, u64>,
    known: BTreeSet<u64>,
    /// Controllers that were ordered in or out, by the last word on each.
    seats: BTreeMap<Node, SeatChange>,
    history: u32,
}

impl Duties {
    pub fn duties(&self) -> &BTreeMap<Duty, Held> {
        &self.duties
    }

    pub fn held(&self, duty: Duty) -> Option<Held> {
        self.duties.get(&duty).copied()
    }

    pub fn orders(&self) -> &BTreeMap<Index, Standing> {
        &self.orders
    }

    pub fn ranges(&self) -> &BTreeMap<u32, Owned> {
        &self.ranges
    }

    /// Checksum of every entry so far, in order: members that carried out the same log have the same.
    pub fn history(&self) -> u32 {
        self.history
    }

    pub(crate) fn follows(&mut self, entry: &Entry) {
        self.history = crc32c::crc32c_append(self.history, &entry.encode_to_vec());
    }

    pub fn seats(&self) -> &BTreeMap<Node, SeatChange> {
        &self.seats
    }

    pub fn knows(&self, request: u64) -> bool {
        self.known.contains(&request)
    }

    /// Servers that operators drain, those whose turn has come.
    pub fn drained(&self) -> BTreeSet<u32> {
        let drains = self.orders.values().filter(|standing| standing.order.hold.is_none() && standing.begun);
        drains.map(|standing| standing.order.server).collect()
    }

    /// Servers held at most at a part of what is decided, 0 to 1.
    pub fn holds(&self) -> BTreeMap<u32, f64> {
        let mut found: BTreeMap<u32, f64> = BTreeMap::new();
        for standing in self.orders.values() {
            if let Some(part) = standing.order.hold {
                let part = f64::from(part.min(1_000_000)) / 1e6;
                let held = found.entry(standing.order.server).or_insert(part);
                *held = held.min(part);
            }
        }
        found
    }

    /// Carries one command out. `term`: of the entry it stands in.
    pub fn apply(&mut self, index: Index, term: u64, command: &Command, planted: Option<Planted>) -> Changed {
        if command.request != 0 {
            if !self.known.insert(command.request) {
                return Changed::Again;
            }
            self.requests.insert(index, command.request);
            while self.requests.len() > REMEMBERED {
                if let Some((_, request)) = self.requests.pop_first() {
                    self.known.remove(&request);
                }
            }
        }
        let unfenced = planted == Some(Planted::NoFence);
        match &command.act {
            Some(Act::Assign(Assign { duty: Some(name), holder })) => match name.duty() {
                Some(duty) => {
                    let held = Held { holder: *holder, epoch: index };
                    self.duties.insert(duty, held);
                    Changed::Duty { duty, held }
                }
                None => Changed::Stale("a duty of a later version"),
            },
            Some(Act::Order(order)) => {
                let begun = order.hold.is_some();
                let same = self.orders.values().any(|standing| standing.order == *order);
                if same {
                    return Changed::Stale("the same order stands already");
                }
                self.orders.insert(index, Standing { order: order.clone(), begun });
                if begun {
                    return Changed::Begun { order: index, what: order.clone() };
                }
                Changed::Ordered { order: index, what: order.clone() }
            }
            Some(Act::Release(Release { order })) => match self.orders.remove(order) {
                Some(standing) => Changed::Released { order: *order, what: standing.order },
                None => Changed::Stale("no such order stands"),
            },
            Some(Act::Begin(Begin { order, epoch })) => {
                let locality = self.orders.get(order).map(|standing| standing.order.locality);
                let duty = locality.and_then(|locality| self.held(Duty::Drains(locality)));
                if !unfenced && duty.is_none_or(|held| held.epoch != *epoch) {
                    return Changed::Stale("a drain begun by one who no longer holds that duty");
                }
                match self.orders.get_mut(order).filter(|standing| !standing.begun) {
                    Some(standing) => {
                        standing.begun = true;
                        Changed::Begun { order: *order, what: standing.order.clone() }
                    }
                    None => Changed::Stale("the drain has begun, or was released"),
                }
            }
            Some(Act::Move(moved)) => self.start_move(index, moved, unfenced),
            Some(Act::Cleared(Cleared { range, moved, by })) => {
                let moving = self.ranges.get_mut(range).and_then(|owned| owned.moving.as_mut());
                match moving.filter(|moving| moving.moved == *moved && !moving.cleared.contains(by)) {
                    Some(moving) => {
                        moving.cleared.push(*by);
                        Changed::Cleared { range: *range, by: *by }
                    }
                    None => Changed::Stale("cleared for a move that is over"),
                }
            }
            Some(Act::Give(Give { range, moved, term: of })) => {
                // What a deposed leader found safe was safe by leases that it alone knew.
                if !unfenced && *of != term {
                    return Changed::Stale("given by a leader of an earlier term");
                }
                let Some(owned) = self.ranges.get_mut(range) else { return Changed::Stale("no such range") };
                match owned.moving.take_if(|moving| moving.moved == *moved) {
                    Some(moving) => {
                        (owned.owner, owned.epoch) = (Some(moving.to), index);
                        Changed::Given { range: *range, owner: moving.to, epoch: index }
                    }
                    None => Changed::Stale("given for a move that is over"),
                }
            }
            Some(Act::Seat(change)) => match &change.seat {
                Some(seat) => {
                    self.seats.insert(seat.number, change.clone());
                    Changed::Seat { seat: seat.clone(), out: change.out }
                }
                None => Changed::Stale("no seat named"),
            },
            _ => Changed::Stale("a command of a later version"),
        }
    }

    fn start_move(&mut self, index: Index, moved: &Move, unfenced: bool) -> Changed {
        let held = self.held(Duty::Range(moved.range));
        // Epoch 0 is an operator's word.
        if !unfenced && moved.epoch != 0 && held.is_none_or(|held| held.epoch != moved.epoch) {
            return Changed::Stale("a move by one who no longer holds that duty");
        }
        let owned = self.ranges.entry(moved.range).or_default();
        if owned.moving.is_none() && owned.owner == Some(moved.to) {
            return Changed::Stale("that server owns the range already");
        }
        // Under way already: it goes elsewhere instead, and what was cleared stays so.
        let cleared = owned.moving.take().map(|moving| (moving.moved, moving.cleared));
        let (first, cleared) = cleared.unwrap_or((index, Vec::new()));
        owned.owner = None;
        owned.moving = Some(Moving { to: moved.to, moved: first, cleared });
        Changed::Leaving { range: moved.range, moved: first }
    }

    pub fn encode(&self) -> Vec<u8> {
        let duties = self.duties.iter().map(|(&duty, &held)| KeptDuty { duty: duty.into(), held });
        KeptState {
            duties: duties.collect(),
            orders: self.orders.clone(),
            ranges: self.ranges.clone(),
            requests: self.requests.clone(),
            seats: self.seats.clone(),
            history: self.history,
        }
        .encode_to_vec()
    }

    /// Errors: it is no such state.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        let kept = KeptState::decode(bytes)?;
        let duties = kept.duties.iter().filter_map(|kept| Some((kept.duty.duty()?, kept.held)));
        Ok(Duties {
            duties: duties.collect(),
            orders: kept.orders,
            ranges: kept.ranges,
            known: kept.requests.values().copied().collect(),
            requests: kept.requests,
            seats: kept.seats,
            history: kept.history,
        })
    }
}
