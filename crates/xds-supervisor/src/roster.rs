//! The registry's list: what it says as events, and where each server is. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shalereel::interface::{Endpoint, Nanos, Readiness, ServerId, WatchEvent};
use shalereel_guard::Availability;
use shalereel_xds::{Assignment, Health};

/// Where a server is, and its last start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Place {
    pub address: SocketAddr,
    pub zone: String,
    incarnation: u64,
    ready_at: Nanos,
    kind: u16,
    cell: u16,
    weight: f64,
    draining: bool,
    listed: bool,
}

/// What a member of the second front says of itself, or its balancer of it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberWord {
    pub address: SocketAddr,
    /// The protocol has no word for it: its label where that is a zone, else the supervisor's own.
    pub zone: String,
    pub itself: bool,
    pub there: bool,
    pub quiesce: bool,
}

/// The list as last heard; also what is kept over a restart.
#[derive(Debug, Default)]
pub struct Roster {
    places: BTreeMap<ServerId, Place>,
    by_address: BTreeMap<SocketAddr, ServerId>,
    localities: Vec<String>,
    version: u64,
    /// Grows whenever a server begins to drain or is listed no more.
    closings: u64,
    /// Addresses of servers that were said, by themselves or a balancer, to take nothing new.
    quiesced: BTreeSet<SocketAddr>,
    /// Servers that said of themselves that they are there, and that no registry lists: their numbers.
    themselves: BTreeMap<SocketAddr, ServerId>,
    /// Servers that operators of the group drain.
    ordered: BTreeSet<ServerId>,
}

/// Numbers of servers that list themselves begin here; a registry's are below.
const THEMSELVES: ServerId = 1 << 31;

impl Roster {
    pub fn new(localities: &[String]) -> Self {
        Roster { localities: localities.to_vec(), ..Roster::default() }
    }

    /// Takes a whole list. Rows without facts or of an unknown zone are left out and named in `odd`.
    pub fn hear(&mut self, now: Nanos, list: &Assignment, odd: &mut Vec<String>) -> WatchEvent {
        let mut present = BTreeSet::new();
        for row in &list.endpoints {
            let known = self.localities.contains(&row.zone);
            let Some(facts) = row.info.filter(|_| known) else {
                let lacks = if known { "metadata of a server" } else { "a known zone" };
                odd.push(format!("{} has no {lacks}", row.address));
                continue;
            };
            // An age told twice for one start would differ by its travelling time.
            let before =
                self.places.get(&facts.server).filter(|place| place.incarnation == facts.incarnation);
            let ready_at = match (before, facts.age) {
                (Some(place), _) => place.ready_at,
                (None, Some(age)) => now.saturating_sub(age),
                (None, None) => 0,
            };
            present.insert(facts.server);
            let place = Place {
                address: row.address,
                zone: row.zone.clone(),
                incarnation: facts.incarnation,
                ready_at,
                kind: facts.kind,
                cell: facts.cell,
                weight: row.weight,
                draining: row.health == Health::Draining,
                listed: row.health != Health::Unhealthy,
            };
            self.settle(facts.server, place);
        }
        for (_, place) in
            self.places.iter_mut().filter(|(server, _)| !present.contains(server) && **server < THEMSELVES)
        {
            self.closings += u64::from(place.listed && !place.draining);
            place.listed = false;
        }
        WatchEvent::Full(self.rows())
    }

    fn settle(&mut self, server: ServerId, place: Place) {
        let moved = self.places.get(&server).is_none_or(|old| old.address != place.address);
        if moved {
            self.version += 1;
            self.by_address.insert(place.address, server);
        }
        let open = |place: &Place| place.listed && !place.draining;
        let closes = !open(&place) && self.places.get(&server).is_some_and(open);
        self.closings += u64::from(closes);
        self.places.insert(server, place);
    }

    /// What a member of the second front says. A registry's word that a server drains or is gone stands above
    /// it; a member's word that it takes nothing new stands above a registry's that it is ready.
    pub fn member(&mut self, now: Nanos, member: &MemberWord) -> WatchEvent {
        let MemberWord { address, ref zone, itself, there, quiesce } = *member;
        if there && quiesce {
            self.quiesced.insert(address);
        } else {
            self.quiesced.remove(&address);
        }
        let known = self.by_address.get(&address).copied();
        match known {
            Some(server) if server >= THEMSELVES => {
                if let Some(place) = self.places.get_mut(&server) {
                    // Whoever comes back may have been started anew.
                    place.ready_at = if there && !place.listed { now } else { place.ready_at };
                    place.listed = there;
                }
            }
            None if itself && there => {
                let server = THEMSELVES + self.themselves.len() as ServerId;
                self.themselves.insert(address, server);
                let place = Place {
                    address,
                    zone: zone.clone(),
                    incarnation: 0,
                    ready_at: now,
                    kind: 0,
                    cell: 0,
                    weight: 1.0,
                    draining: false,
                    listed: true,
                };
                self.settle(server, place);
            }
            _ => {}
        }
        WatchEvent::Full(self.rows())
    }

    /// Operators drain these and no others.
    pub fn order(&mut self, drained: BTreeSet<ServerId>) -> WatchEvent {
        self.ordered = drained;
        WatchEvent::Full(self.rows())
    }

    /// Of each listed server: number, locality, ready and neither draining nor ordered to.
    pub fn servers(&self) -> Vec<(ServerId, u16, bool)> {
        let ready = |row: &Endpoint| row.readiness == Readiness::Ready;
        self.rows().iter().map(|row| (row.server, row.locality, ready(row))).collect()
    }

    fn rows(&self) -> Vec<Endpoint> {
        let listed = self.places.iter().filter(|(_, place)| place.listed);
        listed
            .map(|(&server, place)| Endpoint {
                server,
                locality: self.locality(&place.zone).unwrap_or(0),
                kind: place.kind,
                cell: place.cell,
                readiness: match place.draining
                    || self.quiesced.contains(&place.address)
                    || self.ordered.contains(&server)
                {
                    true => Readiness::Draining,
                    false => Readiness::Ready,
                },
                weight: place.weight,
                started_at: place.ready_at,
            })
            .collect()
    }

    /// Every server that there ever was, with its listed weight and the time since its start, if that is short of `cold`:
    /// ready, out, or on no list any more where that alone does not bind.
    pub fn pool(
        &self,
        now: Nanos,
        cold: Nanos,
        gone_binds: bool,
    ) -> impl Iterator<Item = (ServerId, shalereel_guard::Server)> + '_ {
        self.places.iter().map(move |(&server, place)| {
            let out =
                place.draining || self.quiesced.contains(&place.address) || self.ordered.contains(&server);
            let availability = match place.listed {
                _ if out => Availability::Unavailable,
                true => Availability::Ready,
                false if gone_binds => Availability::Unavailable,
                false => Availability::Unlisted,
            };
            let age = now.saturating_sub(place.ready_at);
            let age = (place.ready_at > 0 && age < cold).then_some(age);
            (server, shalereel_guard::Server { availability, capacity: place.weight, age })
        })
    }

    pub fn locality(&self, zone: &str) -> Option<u16> {
        self.localities.iter().position(|name| name == zone).map(|at| at as u16)
    }

    pub fn place(&self, server: ServerId) -> Option<&Place> {
        self.places.get(&server)
    }

    /// Number of its start; 0 where it is not known.
    pub fn life(&self, server: ServerId) -> u64 {
        self.places.get(&server).map_or(0, |place| place.incarnation)
    }

    pub fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        self.by_address.get(&address).copied()
    }

    pub fn draining(&self, server: ServerId) -> bool {
        self.places.get(&server).is_none_or(|place| place.draining || !place.listed)
    }

    /// Did it start less than `span` ago?
    pub fn started_within(&self, server: ServerId, now: Nanos, span: Nanos) -> bool {
        let young = |place: &Place| place.ready_at > 0 && now.saturating_sub(place.ready_at) < span;
        self.places.get(&server).is_some_and(young)
    }

    /// Grows whenever a server is met at another address.
    pub fn closings(&self) -> u64 {
        self.closings
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list as text, to be kept.
    pub fn remember(&self) -> Vec<u8> {
        serde_json::to_vec(&self.places).unwrap_or_default()
    }

    /// The list as kept by an earlier run. A start in the future of this clock is a start just now.
    pub fn recall(&mut self, now: Nanos, kept: &[u8]) -> Result<WatchEvent, serde_json::Error> {
        let places: BTreeMap<ServerId, Place> = serde_json::from_slice(kept)?;
        for (server, mut place) in places {
            place.ready_at = place.ready_at.min(now);
            self.settle(server, place);
        }
        Ok(WatchEvent::Cached(self.rows()))
    }
}
