//! Schedules of loss, duplication, reordering, corruption, broken streams and rollbacks, drawn from a seed: proxies end with
//! the newest version, verified, in a bounded number of messages, and no drained server is used again.

use std::collections::{BTreeMap, VecDeque};

use oorandom::Rand64;
use shalereel_store::{
    plan_rollback, Check, CurrentEndpoint, DeliveryPolicy, Delta, DeltaOutcome, Digest, Line, Lines,
    Provenance, Replica, ResyncBackoff, RetentionLimits, Rollback, Store, Subscription, WeightConstraints,
    UNIT_WEIGHT,
};

const TABLE: u16 = 0;
const MILLI: u64 = 1_000_000;

/// A fault put in on purpose.
#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// Proxies apply whatever arrives: no digest is compared.
    NoDigest,
    /// A rollback brings its servers back whatever the controller says.
    RollbackOverridesController,
}

/// A server as the controller knows it; a weight of 0 is no line.
#[derive(Clone, Copy)]
struct Known {
    weight: f64,
    incarnation: u64,
    draining: bool,
    warming_up: bool,
}

struct Proxy {
    replica: Replica,
    subscription: Subscription,
    /// In flight to it and from it, with the time of arrival.
    down: VecDeque<(u64, Delta)>,
    up: VecDeque<(u64, Response)>,
    messages: u64,
}

enum Response {
    Acknowledges(u64),
    Requests(Option<Check>),
}

struct World {
    chance: Rand64,
    now: u64,
    store: Store,
    servers: BTreeMap<u32, Known>,
    constraints: WeightConstraints,
    proxies: Vec<Proxy>,
    lossy: bool,
    planted: Planted,
    delivery: DeliveryPolicy,
}

fn limits() -> RetentionLimits {
    RetentionLimits { versions: 40, bytes: 1 << 20, age: u64::MAX }
}

fn delivery() -> DeliveryPolicy {
    DeliveryPolicy {
        report_interval: 1000 * MILLI,
        mean_transit: 10 * MILLI,
        channel_capacity: 1000.0,
        message_overhead: 10.0,
    }
}

impl World {
    fn new(seed: u64, planted: Planted) -> Self {
        let known = Known { weight: 1.0, incarnation: 1, draining: false, warming_up: false };
        let proxy = |at: u64| Proxy {
            replica: Replica::new(ResyncBackoff::new(100 * MILLI, seed ^ at)),
            subscription: Subscription::default(),
            down: VecDeque::new(),
            up: VecDeque::new(),
            messages: 0,
        };
        let mut world = World {
            chance: Rand64::new(seed.into()),
            now: MILLI,
            store: Store::new(limits(), seed),
            servers: (0..12).map(|id| (id, known)).collect(),
            constraints: WeightConstraints::default(),
            proxies: (0..3).map(proxy).collect(),
            lossy: true,
            planted,
            delivery: delivery(),
        };
        world.publish("start");
        world
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.chance.rand_range(0..most)
    }

    /// Publishes the weights of the controller under the constraints.
    fn publish(&mut self, reason: &str) {
        let warm = self.servers.iter().filter(|(_, known)| !known.warming_up && known.weight > 0.0);
        let slow_start_factor =
            self.constraints.slow_start_factor(warm.map(|(&id, known)| (id, known.weight)));
        let touched: Vec<(u32, Option<Line>)> = self
            .servers
            .iter()
            .map(|(&id, known)| {
                let factor = if known.warming_up { slow_start_factor } else { self.constraints.factor(id) };
                let overridden = self.planted == Planted::RollbackOverridesController
                    && self.constraints.rollback().is_some();
                let weight = if overridden { known.weight.max(0.5) } else { known.weight } * factor;
                let line = Line {
                    address: ([127, 1, 0, id as u8], 80).into(),
                    weight: ((weight * UNIT_WEIGHT).round() as u32).max(1),
                    draining: known.draining && !overridden,
                    incarnation: known.incarnation,
                };
                (id, (weight > 0.0).then_some(line))
            })
            .collect();
        self.store.publish(TABLE, touched, self.now, &Provenance::new("module", reason));
        // Guards against requests to servers that are draining or removed, whatever was ordered.
        if self.planted == Planted::Nothing {
            assert_eq!(self.usable_but_unavailable(), None, "{reason}");
        }
    }

    fn usable_but_unavailable(&self) -> Option<u32> {
        let open = self.store.lines(TABLE).filter(|(_, line)| !line.draining);
        let out = |id: &u32| self.servers[id].draining || self.servers[id].weight == 0.0;
        open.map(|(id, _)| id).find(out)
    }

    /// One act of the controller, the endpoint list or an operator.
    fn act(&mut self) {
        let id = self.draw(self.servers.len() as u64) as u32;
        let weight = 0.2 + self.chance.rand_float();
        let act = self.draw(10);
        let alive = self.servers.values().filter(|known| known.weight > 0.0 && !known.draining).count();
        let Some(known) = self.servers.get_mut(&id) else { return };
        match act {
            0 | 1 if alive > 3 => (known.draining, known.warming_up) = (true, false),
            2 if known.draining => known.weight = 0.0,
            3 if known.weight == 0.0 => {
                *known = Known {
                    weight: 0.1,
                    incarnation: known.incarnation + 1,
                    draining: false,
                    warming_up: true,
                }
            }
            4 if known.warming_up => (known.warming_up, known.weight) = (false, weight),
            5 => self.start_rollback(),
            6 => {
                self.constraints.advance_rollback(3);
            }
            7 => self.constraints.on_time(self.now),
            _ if known.weight > 0.0 => known.weight = weight,
            _ => {}
        }
        let unavailable = self.servers.iter().filter(|(_, known)| known.draining || known.weight == 0.0);
        unavailable.for_each(|(&id, _)| self.constraints.on_server_left(id));
        self.publish("act");
    }

    fn start_rollback(&mut self) {
        let kept: Vec<u64> = self.store.versions().iter().map(|version| version.number).collect();
        let to = kept[self.chance.rand_range(0..kept.len() as u64) as usize];
        let Some((table, earlier)) = self.store.lines_at(to) else { return };
        let since = self.store.changes_since(table, to).unwrap();
        let now: Vec<CurrentEndpoint> = self
            .servers
            .iter()
            .filter(|(_, known)| known.weight > 0.0)
            .map(|(&server, known)| {
                let Known { weight, draining, warming_up, incarnation } = *known;
                CurrentEndpoint { server, weight, draining, warming_up, incarnation }
            })
            .collect();
        let plan = plan_rollback(&now, &earlier, &since.unavailable);
        if plan.restored == 0 {
            return;
        }
        self.constraints.start_rollback(Rollback::new(to, self.now + 500 * MILLI, &plan));
    }

    fn step(&mut self) {
        self.now += MILLI * (1 + self.draw(40));
        for at in 0..self.proxies.len() {
            if self.lossy && self.draw(60) == 0 {
                self.reopen(at);
            }
            self.deliver(at);
            self.send(at);
        }
    }

    fn reopen(&mut self, at: usize) {
        // One in three has also lost its replica.
        if self.draw(3) == 0 {
            let seed = self.draw(1 << 40);
            self.proxies[at].replica = Replica::new(ResyncBackoff::new(100 * MILLI, seed));
        }
        let proxy = &mut self.proxies[at];
        proxy.down.clear();
        proxy.up.clear();
        proxy.replica.stream_reopened();
        let held = proxy.replica.verified();
        proxy.subscription.on_request(&self.store, TABLE, held);
    }

    fn send(&mut self, at: usize) {
        let delivery = self.delivery;
        let proxy = &mut self.proxies[at];
        if proxy.subscription.unacknowledged().is_some_and(|sent| delivery.retransmit_at(sent) <= self.now) {
            proxy.subscription.retransmit();
        }
        let Some(from) = proxy.subscription.next_base(&self.store, TABLE) else { return };
        let delta = self.store.delta_from(TABLE, from).unwrap();
        proxy.subscription.on_sent(self.now, delta.check.number);
        proxy.messages += 1;
        let copies = if self.lossy { [1, 1, 1, 1, 0, 2][self.draw(6) as usize] } else { 1 };
        for _ in 0..copies {
            let mut delta = delta.clone();
            if self.lossy && self.draw(30) == 0 {
                if let Some((_, line)) = delta.changed.first_mut() {
                    line.weight += 1;
                }
            }
            let late = if self.lossy { self.draw(300) } else { 10 };
            self.proxies[at].down.push_back((self.now + late * MILLI, delta));
        }
    }

    fn deliver(&mut self, at: usize) {
        let (now, planted) = (self.now, self.planted);
        let proxy = &mut self.proxies[at];
        let (due, later): (Vec<_>, Vec<_>) = proxy.down.drain(..).partition(|(when, _)| *when <= now);
        proxy.down.extend(later);
        for (_, mut delta) in due {
            if planted == Planted::NoDigest {
                // As if the lines matched the digest.
                let mut lines =
                    if delta.is_complete_table() { Lines::new() } else { proxy.replica.lines().clone() };
                lines.extend(delta.changed.iter().copied());
                lines.retain(|id, _| !delta.removed.contains(id));
                delta.check.digest = Digest::of(&lines, delta.check.salt);
            }
            match proxy.replica.receive(now, &delta) {
                DeltaOutcome::Applied | DeltaOutcome::Stale => {
                    proxy.up.push_back((now + 5 * MILLI, Response::Acknowledges(delta.check.number)));
                }
                DeltaOutcome::Gap | DeltaOutcome::Mismatch => {}
            }
        }
        if proxy.replica.resync_due().is_some_and(|due| due <= now) {
            let held = proxy.replica.resync(now);
            proxy.messages += 1;
            proxy.up.push_back((now + 5 * MILLI, Response::Requests(held)));
        }
        let (due, later): (Vec<_>, Vec<_>) = proxy.up.drain(..).partition(|(when, _)| *when <= now);
        proxy.up.extend(later);
        for (_, up) in due {
            match up {
                Response::Acknowledges(number) => proxy.subscription.on_acknowledged(number),
                Response::Requests(held) => proxy.subscription.on_request(&self.store, TABLE, held),
            }
        }
    }

    /// Faults end: each proxy must have the newest version, verified, within so many messages.
    fn settle(&mut self) -> Result<(), String> {
        self.lossy = false;
        let before: Vec<u64> = self.proxies.iter().map(|proxy| proxy.messages).collect();
        (0..400).for_each(|_| self.step());
        let newest: Lines = self.store.lines(TABLE).map(|(id, line)| (id, *line)).collect();
        let plain = |lines: &Lines| -> Vec<(u32, u32, bool)> {
            lines.iter().map(|(&id, line)| (id, line.weight, line.draining)).collect()
        };
        for (proxy, before) in self.proxies.iter().zip(before) {
            if plain(proxy.replica.lines()) != plain(&newest) {
                return Err(format!("{:?} is not {newest:?}", proxy.replica.lines()));
            }
            if proxy.replica.verified().map(|check| check.number) != Some(self.store.newest_version(TABLE)) {
                return Err("another version is held than the newest".into());
            }
            if proxy.messages - before > 12 {
                return Err(format!("{} messages to settle", proxy.messages - before));
            }
        }
        Ok(())
    }
}

fn play(seed: u64, planted: Planted) -> Result<(), String> {
    let mut world = World::new(seed, planted);
    (0..world.proxies.len()).for_each(|at| world.reopen(at));
    for _ in 0..150 {
        if world.draw(3) == 0 {
            world.act();
        }
        world.step();
        if let Some(server) = world.usable_but_unavailable() {
            return Err(format!("server {server} is draining or removed and has a usable line"));
        }
    }
    world.settle()
}

#[test]
fn any_schedule_ends_with_the_newest_version_everywhere() {
    for seed in 0..400 {
        assert_eq!(play(seed, Planted::Nothing), Ok(()), "seed {seed}");
    }
}

#[test]
fn planted_faults_are_detected() {
    for planted in [Planted::NoDigest, Planted::RollbackOverridesController] {
        assert!((0..60).any(|seed| play(seed, planted).is_err()));
    }
}
