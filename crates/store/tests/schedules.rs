//! Random schedules of message loss, duplication, reordering and corruption, broken streams and rollbacks, drawn from a seed.
//! At the end every proxy must have the newest version, verified, after a bounded number of messages, and no server that is
//! draining or removed may have a usable line.

use std::collections::{BTreeMap, VecDeque};

use oorandom::Rand64;
use shalereel_store::{
    plan_rollback, Check, CurrentEndpoint, DeliveryPolicy, Delta, DeltaOutcome, Digest, Line, Lines,
    Provenance, Replica, ResyncBackoff, RetentionLimits, Rollback, Store, Subscription, WeightConstraints,
    UNIT_WEIGHT,
};

const TABLE: u16 = 0;
const MILLI: u64 = 1_000_000;
/// Largest number of messages after the faults end until a proxy has the newest version.
const MAX_MESSAGES_AFTER_FAULTS: u64 = 12;

/// A fault that is planted on purpose, to show that the checks detect it.
#[derive(Clone, Copy, PartialEq)]
enum PlantedFault {
    None,
    /// Proxies apply every delta without comparing its digest.
    IgnoredDigest,
    /// A rollback makes servers usable that the controller has drained or removed.
    RollbackOverridesController,
}

/// A server's state at the controller; a weight of 0 stands for no line.
#[derive(Clone, Copy)]
struct ServerState {
    weight: f64,
    incarnation: u64,
    draining: bool,
    warming_up: bool,
}

struct Proxy {
    replica: Replica,
    subscription: Subscription,
    /// Messages in flight to the proxy, with their time of arrival.
    to_proxy: VecDeque<(u64, Delta)>,
    /// Messages in flight from the proxy, with their time of arrival.
    to_supervisor: VecDeque<(u64, Response)>,
    messages: u64,
}

enum Response {
    Acknowledges(u64),
    Requests(Option<Check>),
}

struct Simulation {
    rng: Rand64,
    now: u64,
    store: Store,
    servers: BTreeMap<u32, ServerState>,
    constraints: WeightConstraints,
    proxies: Vec<Proxy>,
    lossy: bool,
    planted: PlantedFault,
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

impl Simulation {
    fn new(seed: u64, planted: PlantedFault) -> Self {
        let state = ServerState { weight: 1.0, incarnation: 1, draining: false, warming_up: false };
        let proxy = |index: u64| Proxy {
            replica: Replica::new(ResyncBackoff::new(100 * MILLI, seed ^ index)),
            subscription: Subscription::default(),
            to_proxy: VecDeque::new(),
            to_supervisor: VecDeque::new(),
            messages: 0,
        };
        let mut simulation = Simulation {
            rng: Rand64::new(seed.into()),
            now: MILLI,
            store: Store::new(limits(), seed),
            servers: (0..12).map(|id| (id, state)).collect(),
            constraints: WeightConstraints::default(),
            proxies: (0..3).map(proxy).collect(),
            lossy: true,
            planted,
            delivery: delivery(),
        };
        simulation.publish("start");
        simulation
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound)
    }

    /// Publishes the controller's weights, multiplied by the factors of the constraints.
    fn publish(&mut self, reason: &str) {
        let warm = self.servers.iter().filter(|(_, state)| !state.warming_up && state.weight > 0.0);
        let slow_start_factor =
            self.constraints.slow_start_factor(warm.map(|(&id, state)| (id, state.weight)));
        let touched: Vec<(u32, Option<Line>)> = self
            .servers
            .iter()
            .map(|(&id, state)| {
                let factor = if state.warming_up { slow_start_factor } else { self.constraints.factor(id) };
                let overridden = self.planted == PlantedFault::RollbackOverridesController
                    && self.constraints.rollback().is_some();
                let weight = if overridden { state.weight.max(0.5) } else { state.weight } * factor;
                let line = Line {
                    address: ([127, 1, 0, id as u8], 80).into(),
                    weight: ((weight * UNIT_WEIGHT).round() as u32).max(1),
                    draining: state.draining && !overridden,
                    incarnation: state.incarnation,
                };
                (id, (weight > 0.0).then_some(line))
            })
            .collect();
        self.store.publish(TABLE, touched, self.now, &Provenance::new("module", reason));
        // Guards against requests to draining or removed servers, whatever rollbacks and weights are in force.
        if self.planted == PlantedFault::None {
            assert_eq!(self.usable_but_unavailable(), None, "{reason}");
        }
    }

    fn usable_but_unavailable(&self) -> Option<u32> {
        let usable = self.store.lines(TABLE).filter(|(_, line)| !line.draining);
        let is_unavailable = |id: &u32| self.servers[id].draining || self.servers[id].weight == 0.0;
        usable.map(|(id, _)| id).find(is_unavailable)
    }

    /// One random change by the controller, the endpoint list or an operator.
    fn random_change(&mut self) {
        let id = self.draw(self.servers.len() as u64) as u32;
        let weight = 0.2 + self.rng.rand_float();
        let kind = self.draw(10);
        let alive = self.servers.values().filter(|state| state.weight > 0.0 && !state.draining).count();
        let Some(state) = self.servers.get_mut(&id) else { return };
        match kind {
            0 | 1 if alive > 3 => (state.draining, state.warming_up) = (true, false),
            2 if state.draining => state.weight = 0.0,
            3 if state.weight == 0.0 => {
                *state = ServerState {
                    weight: 0.1,
                    incarnation: state.incarnation + 1,
                    draining: false,
                    warming_up: true,
                }
            }
            4 if state.warming_up => (state.warming_up, state.weight) = (false, weight),
            5 => self.start_rollback(),
            6 => {
                self.constraints.advance_rollback(3);
            }
            7 => self.constraints.on_time(self.now),
            _ if state.weight > 0.0 => state.weight = weight,
            _ => {}
        }
        let unavailable = self.servers.iter().filter(|(_, state)| state.draining || state.weight == 0.0);
        unavailable.for_each(|(&id, _)| self.constraints.on_server_left(id));
        self.publish("random change");
    }

    fn start_rollback(&mut self) {
        let retained: Vec<u64> = self.store.versions().iter().map(|version| version.number).collect();
        let target = retained[self.rng.rand_range(0..retained.len() as u64) as usize];
        let Some((table, earlier)) = self.store.lines_at(target) else { return };
        let since = self.store.changes_since(table, target).unwrap();
        let now: Vec<CurrentEndpoint> = self
            .servers
            .iter()
            .filter(|(_, state)| state.weight > 0.0)
            .map(|(&server, state)| {
                let ServerState { weight, draining, warming_up, incarnation } = *state;
                CurrentEndpoint { server, weight, draining, warming_up, incarnation }
            })
            .collect();
        let plan = plan_rollback(&now, &earlier, &since.unavailable);
        if plan.restored == 0 {
            return;
        }
        self.constraints.start_rollback(Rollback::new(target, self.now + 500 * MILLI, &plan));
    }

    fn step(&mut self) {
        self.now += MILLI * (1 + self.draw(40));
        for index in 0..self.proxies.len() {
            if self.lossy && self.draw(60) == 0 {
                self.reopen(index);
            }
            self.deliver(index);
            self.send(index);
        }
    }

    fn reopen(&mut self, index: usize) {
        // One reconnecting proxy in three has lost its replica.
        if self.draw(3) == 0 {
            let seed = self.draw(1 << 40);
            self.proxies[index].replica = Replica::new(ResyncBackoff::new(100 * MILLI, seed));
        }
        let proxy = &mut self.proxies[index];
        proxy.to_proxy.clear();
        proxy.to_supervisor.clear();
        proxy.replica.stream_reopened();
        let held = proxy.replica.verified();
        proxy.subscription.on_request(&self.store, TABLE, held);
    }

    fn send(&mut self, index: usize) {
        let delivery = self.delivery;
        let proxy = &mut self.proxies[index];
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
            let delay_ms = if self.lossy { self.draw(300) } else { 10 };
            self.proxies[index].to_proxy.push_back((self.now + delay_ms * MILLI, delta));
        }
    }

    fn deliver(&mut self, index: usize) {
        let (now, planted) = (self.now, self.planted);
        let proxy = &mut self.proxies[index];
        let (due, later): (Vec<_>, Vec<_>) =
            proxy.to_proxy.drain(..).partition(|(arrival, _)| *arrival <= now);
        proxy.to_proxy.extend(later);
        for (_, mut delta) in due {
            if planted == PlantedFault::IgnoredDigest {
                // Replaces the digest by one that matches the resulting lines.
                let mut lines =
                    if delta.is_complete_table() { Lines::new() } else { proxy.replica.lines().clone() };
                lines.extend(delta.changed.iter().copied());
                lines.retain(|id, _| !delta.removed.contains(id));
                delta.check.digest = Digest::of(&lines, delta.check.salt);
            }
            match proxy.replica.receive(now, &delta) {
                DeltaOutcome::Applied | DeltaOutcome::Stale => {
                    proxy
                        .to_supervisor
                        .push_back((now + 5 * MILLI, Response::Acknowledges(delta.check.number)));
                }
                DeltaOutcome::Gap | DeltaOutcome::Mismatch => {}
            }
        }
        if proxy.replica.resync_due().is_some_and(|due| due <= now) {
            let held = proxy.replica.resync(now);
            proxy.messages += 1;
            proxy.to_supervisor.push_back((now + 5 * MILLI, Response::Requests(held)));
        }
        let (due, later): (Vec<_>, Vec<_>) =
            proxy.to_supervisor.drain(..).partition(|(arrival, _)| *arrival <= now);
        proxy.to_supervisor.extend(later);
        for (_, response) in due {
            match response {
                Response::Acknowledges(number) => proxy.subscription.on_acknowledged(number),
                Response::Requests(held) => proxy.subscription.on_request(&self.store, TABLE, held),
            }
        }
    }

    /// Ends the message faults. Then each proxy must get the newest version, verified, within `MAX_MESSAGES_AFTER_FAULTS`.
    fn settle(&mut self) -> Result<(), String> {
        self.lossy = false;
        let before: Vec<u64> = self.proxies.iter().map(|proxy| proxy.messages).collect();
        (0..400).for_each(|_| self.step());
        let newest: Lines = self.store.lines(TABLE).map(|(id, line)| (id, *line)).collect();
        let sent_fields = |lines: &Lines| -> Vec<(u32, u32, bool)> {
            lines.iter().map(|(&id, line)| (id, line.weight, line.draining)).collect()
        };
        for (proxy, before) in self.proxies.iter().zip(before) {
            if sent_fields(proxy.replica.lines()) != sent_fields(&newest) {
                return Err(format!(
                    "proxy has {:?}, the newest version is {newest:?}",
                    proxy.replica.lines()
                ));
            }
            if proxy.replica.verified().map(|check| check.number) != Some(self.store.newest_version(TABLE)) {
                return Err("the verified version is not the newest one".into());
            }
            if proxy.messages - before > MAX_MESSAGES_AFTER_FAULTS {
                return Err(format!("{} messages after the faults ended", proxy.messages - before));
            }
        }
        Ok(())
    }
}

fn run_schedule(seed: u64, planted: PlantedFault) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, planted);
    (0..simulation.proxies.len()).for_each(|index| simulation.reopen(index));
    for _ in 0..150 {
        if simulation.draw(3) == 0 {
            simulation.random_change();
        }
        simulation.step();
        if let Some(server) = simulation.usable_but_unavailable() {
            return Err(format!("server {server} is draining or removed but has a usable line"));
        }
    }
    simulation.settle()
}

#[test]
fn every_proxy_gets_the_newest_version_after_any_schedule() {
    for seed in 0..400 {
        assert_eq!(run_schedule(seed, PlantedFault::None), Ok(()), "seed {seed}");
    }
}

#[test]
fn planted_faults_are_detected() {
    for planted in [PlantedFault::IgnoredDigest, PlantedFault::RollbackOverridesController] {
        assert!((0..60).any(|seed| run_schedule(seed, planted).is_err()));
    }
}
