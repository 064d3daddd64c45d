//! Any schedule of loss, doubling, reordering, corruption, breaks and ways back, from a seed: proxies end on a checked
//! version equal to the store's, in bounded messages, and no server that drained is in a table again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;
use shalereel_store::*;

const TABLE: u16 = 0;
const MILLI: u64 = 1_000_000;

/// A fault put in on purpose.
#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// Proxies take whatever comes: no digest is compared.
    NoDigest,
    /// A way back brings its servers back whatever the module says.
    WayOutranks,
}

/// A server as the module knows it; a weight of 0 is no line.
#[derive(Clone, Copy)]
struct Known {
    weight: f64,
    life: u64,
    draining: bool,
    cold: bool,
}

struct Proxy {
    follower: Follower,
    telling: Telling,
    /// Under way to it and back, with when.
    down: VecDeque<(u64, Delta)>,
    up: VecDeque<(u64, Up)>,
    messages: u64,
}

enum Up {
    Holds(u64),
    Asks(Option<Check>),
}

struct World {
    chance: Rand64,
    now: u64,
    store: Store,
    servers: BTreeMap<u32, Known>,
    bending: Bending,
    proxies: Vec<Proxy>,
    lossy: bool,
    planted: Planted,
    keeping: Keeping,
    refused: u32,
}

fn bounds() -> Bounds {
    Bounds { versions: 40, bytes: 1 << 20, age: u64::MAX }
}

fn keeping() -> Keeping {
    Keeping::of(1000 * MILLI, 10 * MILLI, 1000.0, 10.0)
}

impl World {
    fn new(seed: u64, planted: Planted) -> Self {
        let known = Known { weight: 1.0, life: 1, draining: false, cold: false };
        let proxy = |at: u64| Proxy {
            follower: Follower::new(Resync::new(100 * MILLI, seed ^ at)),
            telling: Telling::default(),
            down: VecDeque::new(),
            up: VecDeque::new(),
            messages: 0,
        };
        let mut world = World {
            chance: Rand64::new(seed.into()),
            now: MILLI,
            store: Store::new(bounds(), seed),
            servers: (0..12).map(|id| (id, known)).collect(),
            bending: Bending::default(),
            proxies: (0..3).map(proxy).collect(),
            lossy: true,
            planted,
            keeping: keeping(),
            refused: 0,
        };
        world.publish("start");
        world
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.chance.rand_range(0..most)
    }

    /// What the module has, through the constraints, as a version.
    fn publish(&mut self, reason: &str) {
        let warm = self.servers.iter().filter(|(_, known)| !known.cold && known.weight > 0.0);
        let shrink = self.bending.shrink(warm.map(|(&id, known)| (id, known.weight)));
        let touched: Vec<(u32, Option<Line>)> = self
            .servers
            .iter()
            .map(|(&id, known)| {
                let part = if known.cold { shrink } else { self.bending.part(id) };
                let outranked = self.planted == Planted::WayOutranks && self.bending.way().is_some();
                let weight = if outranked { known.weight.max(0.5) } else { known.weight } * part;
                let line = Line {
                    address: ([127, 1, 0, id as u8], 80).into(),
                    weight: ((weight * UNIT).round() as u32).max(1),
                    draining: known.draining && !outranked,
                    life: known.life,
                };
                (id, (weight > 0.0).then_some(line))
            })
            .collect();
        self.store.publish(TABLE, touched, self.now, &Why::new("module", reason));
        // Whatever was ordered: the newest version has nothing open at a server that drains or is gone.
        if self.planted == Planted::Nothing {
            assert_eq!(self.open_and_out(), None, "{reason}");
        }
    }

    fn open_and_out(&self) -> Option<u32> {
        let open = self.store.lines(TABLE).filter(|(_, line)| !line.draining);
        let out = |id: &u32| self.servers[id].draining || self.servers[id].weight == 0.0;
        open.map(|(id, _)| id).find(out)
    }

    /// One thing that the module, the list or an operator does.
    fn act(&mut self) {
        let id = self.draw(self.servers.len() as u64) as u32;
        let weight = 0.2 + self.chance.rand_float();
        let act = self.draw(10);
        let alive = self.servers.values().filter(|known| known.weight > 0.0 && !known.draining).count();
        let Some(known) = self.servers.get_mut(&id) else { return };
        match act {
            0 | 1 if alive > 3 => (known.draining, known.cold) = (true, false),
            2 if known.draining => known.weight = 0.0,
            3 if known.weight == 0.0 => {
                *known = Known { weight: 0.1, life: known.life + 1, draining: false, cold: true }
            }
            4 if known.cold => (known.cold, known.weight) = (false, weight),
            5 => self.back(),
            6 => {
                self.bending.step(3);
            }
            7 => self.bending.tick(self.now),
            _ if known.weight > 0.0 => known.weight = weight,
            _ => {}
        }
        let gone = self.servers.iter().filter(|(_, known)| known.draining || known.weight == 0.0);
        gone.for_each(|(&id, _)| self.bending.left(id));
        self.publish("act");
    }

    fn back(&mut self) {
        let kept: Vec<u64> = self.store.versions().iter().map(|version| version.number).collect();
        let to = kept[self.chance.rand_range(0..kept.len() as u64) as usize];
        let Some((table, old)) = self.store.at(to) else { return };
        let (_, left) = self.store.since(table, to).unwrap();
        let now: Vec<Facing> = self
            .servers
            .iter()
            .filter(|(_, known)| known.weight > 0.0)
            .map(|(&server, known)| {
                let Known { weight, draining, cold, life } = *known;
                Facing { server, weight, draining, cold, life }
            })
            .collect();
        let plan = plan(&now, &old, &left);
        if plan.takes == 0 {
            self.refused += 1;
            return;
        }
        self.bending.go(Way::new(to, self.now + 500 * MILLI, &plan));
    }

    fn step(&mut self) {
        self.now += MILLI * (1 + self.draw(40));
        for at in 0..self.proxies.len() {
            if self.lossy && self.draw(60) == 0 {
                self.reopen(at);
            }
            self.deliver(at);
            self.tell(at);
        }
    }

    fn reopen(&mut self, at: usize) {
        // One in three has also forgotten all.
        if self.draw(3) == 0 {
            let seed = self.draw(1 << 40);
            self.proxies[at].follower = Follower::new(Resync::new(100 * MILLI, seed));
        }
        let proxy = &mut self.proxies[at];
        proxy.down.clear();
        proxy.up.clear();
        proxy.follower.reopened();
        let held = proxy.follower.held();
        proxy.telling.asked(&self.store, TABLE, held);
    }

    fn tell(&mut self, at: usize) {
        let keeping = self.keeping;
        let proxy = &mut self.proxies[at];
        if proxy.telling.open().is_some_and(|(said, times)| keeping.again(said, times) <= self.now) {
            proxy.telling.repeat();
        }
        let Some(from) = proxy.telling.from(&self.store, TABLE) else { return };
        let delta = self.store.delta(TABLE, from).unwrap();
        proxy.telling.left(self.now, delta.check.number);
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
                // As if it added up, whatever came.
                let mut lines = if delta.from == 0 { Lines::new() } else { proxy.follower.lines().clone() };
                lines.extend(delta.changed.iter().copied());
                lines.retain(|id, _| !delta.removed.contains(id));
                delta.check.digest = Digest::of(&lines, delta.check.salt);
            }
            match proxy.follower.hear(now, &delta) {
                Heard::Held | Heard::Old => {
                    proxy.up.push_back((now + 5 * MILLI, Up::Holds(delta.check.number)));
                }
                Heard::Gap | Heard::Astray => {}
            }
        }
        if proxy.follower.due().is_some_and(|due| due <= now) {
            let brought = proxy.follower.ask(now);
            proxy.messages += 1;
            proxy.up.push_back((now + 5 * MILLI, Up::Asks(brought)));
        }
        let (due, later): (Vec<_>, Vec<_>) = proxy.up.drain(..).partition(|(when, _)| *when <= now);
        proxy.up.extend(later);
        for (_, up) in due {
            match up {
                Up::Holds(number) => proxy.telling.holds(number),
                Up::Asks(brought) => proxy.telling.asked(&self.store, TABLE, brought),
            }
        }
    }

    /// Troubles end: everybody is to hold the newest version, checked, within so many messages.
    fn settle(&mut self) -> Result<(), String> {
        self.lossy = false;
        let before: Vec<u64> = self.proxies.iter().map(|proxy| proxy.messages).collect();
        (0..400).for_each(|_| self.step());
        let newest: Lines = self.store.lines(TABLE).map(|(id, line)| (id, *line)).collect();
        let plain = |lines: &Lines| -> Vec<(u32, u32, bool)> {
            lines.iter().map(|(&id, line)| (id, line.weight, line.draining)).collect()
        };
        for (proxy, before) in self.proxies.iter().zip(before) {
            if plain(proxy.follower.lines()) != plain(&newest) {
                return Err(format!("{:?} is not {newest:?}", proxy.follower.lines()));
            }
            if proxy.follower.held().map(|check| check.number) != Some(self.store.number(TABLE)) {
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
        if let Some(server) = world.open_and_out() {
            return Err(format!("server {server} drains or is gone and has an open line"));
        }
    }
    world.settle()
}

#[test]
fn any_schedule_ends_on_the_newest_version() {
    for seed in 0..400 {
        assert_eq!(play(seed, Planted::Nothing), Ok(()), "seed {seed}");
    }
}

#[test]
fn planted_faults_are_found() {
    for planted in [Planted::NoDigest, Planted::WayOutranks] {
        assert!((0..60).any(|seed| play(seed, planted).is_err()));
    }
}

/// Two tables with one digest, made by hand: what a proxy holds differs from what it should hold, and no digest under
/// that salt tells. The next salt does.
#[test]
fn a_collision_lasts_no_longer_than_a_salt() {
    let mut store = Store::new(bounds(), 1);
    let line = |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, life: 1 };
    let why = Why::new("module", "");
    store.publish(TABLE, [(1, Some(line(10))), (2, Some(line(20)))], 1, &why);
    let mut follower = Follower::new(Resync::new(MILLI, 1));
    let mut whole = store.delta(TABLE, 0).unwrap();
    // A wrong line, and a digest that happens to be its own.
    whole.changed[0].1.weight = 11;
    let lines: Lines = whole.changed.iter().copied().collect();
    whole.check.digest = Digest::of(&lines, whole.check.salt);
    assert_eq!(follower.hear(0, &whole), Heard::Held);
    let offset = whole.check.digest.sum.wrapping_sub(store.check(TABLE).unwrap().digest.sum);
    let first = whole.check.salt;
    for weight in 100..1000 {
        let from = store.number(TABLE);
        store.publish(TABLE, [(2, Some(line(weight)))], 1, &why);
        let mut delta = store.delta(TABLE, from).unwrap();
        if delta.check.salt == first {
            delta.check.digest.sum = delta.check.digest.sum.wrapping_add(offset);
            assert_eq!(follower.hear(0, &delta), Heard::Held);
            continue;
        }
        assert_eq!(follower.hear(0, &delta), Heard::Astray);
        assert_eq!((follower.held(), follower.ask(MILLI)), (None, None));
        assert_eq!(follower.hear(0, &store.delta(TABLE, 0).unwrap()), Heard::Held);
        assert_eq!(follower.lines()[&1].weight, 10);
        return;
    }
    panic!("the salt never changed");
}

#[test]
fn a_fleet_that_disagrees_does_not_ask_at_once() {
    let mut store = Store::new(bounds(), 1);
    let line = Line { address: ([127, 1, 0, 1], 80).into(), weight: 1, draining: false, life: 1 };
    store.publish(TABLE, [(1, Some(line))], 1, &Why::default());
    let mut broken = store.delta(TABLE, 0).unwrap();
    broken.check.digest.sum ^= 1;
    let mut followers: Vec<Follower> =
        (0..200).map(|seed| Follower::new(Resync::new(100 * MILLI, seed))).collect();
    let (mut asks, mut most) = (0, 0);
    for at in 0..1000 {
        let now = at * 10 * MILLI;
        let mut here = 0;
        for follower in &mut followers {
            if at == 0 {
                follower.hear(now, &broken);
            } else if follower.due().is_some_and(|due| due <= now) {
                follower.ask(now);
                follower.hear(now, &broken);
                here += 1;
            }
        }
        asks += here;
        most = most.max(here);
    }
    // Ten seconds, waits that double up to 6.4 s: some eight times each, never more than a quarter of all at once.
    assert!(asks <= 200 * 9 && most <= 60, "{asks} in all, {most} at once");
}

#[test]
fn two_supervisors_number_apart_and_a_check_tells_by_its_sum() {
    let line = |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, life: 1 };
    let why = Why::default();
    let (mut ahead, mut behind) = (Store::new(bounds(), 1), Store::new(bounds(), 2));
    for weight in 1..30 {
        ahead.publish(TABLE, [(1, Some(line(weight)))], 1, &why);
    }
    behind.publish(TABLE, [(1, Some(line(29)))], 1, &why);
    let mut follower = Follower::new(Resync::new(MILLI, 1));
    assert_eq!(follower.hear(0, &ahead.delta(TABLE, 0).unwrap()), Heard::Held);
    follower.reopened();
    let mut telling = Telling::default();
    telling.asked(&behind, TABLE, follower.held());
    let delta = behind.delta(TABLE, telling.from(&behind, TABLE).unwrap()).unwrap();
    assert_eq!((delta.lines(), delta.check.number), (0, 1));
    assert_eq!(follower.hear(0, &delta), Heard::Held);
    // From there on it goes by the numbers of the one that is behind.
    behind.publish(TABLE, [(1, Some(line(40)))], 1, &why);
    assert_eq!(follower.hear(0, &behind.delta(TABLE, 1).unwrap()), Heard::Held);
    assert_eq!(follower.lines()[&1].weight, 40);
    // One that holds what neither has gets the whole.
    let strange = Check { number: 5, ..ahead.check(TABLE).unwrap() };
    telling.asked(&behind, TABLE, Some(strange));
    assert_eq!(telling.from(&behind, TABLE), Some(0));
}

fn filled() -> (Store, Vec<u8>) {
    let mut store = Store::new(bounds(), 9);
    let mut file = HEAD.to_vec();
    let mut chance = Rand64::new(4);
    for at in 0..60_u64 {
        let server = chance.rand_range(0..6) as u32;
        let line = Line {
            address: ([127, 1, 0, server as u8], 80).into(),
            weight: 1 + chance.rand_range(0..50) as u32,
            draining: chance.rand_range(0..5) == 0,
            life: at / 20,
        };
        let after = (chance.rand_range(0..4) > 0).then_some(line);
        let table = chance.rand_range(0..2) as u16;
        store.publish(table, [(server, after)], 1000 + at, &Why::new("module", "change"));
        for writing in store.writings() {
            if writing.whole {
                file.truncate(HEAD.len());
            }
            writing.parts.iter().for_each(|part| file.extend(shalereel_journal::frame(part)));
        }
    }
    (store, file)
}

/// Killed at any byte of a write: what is read is a state that there was, and it goes on from there.
#[test]
fn a_file_cut_at_any_byte_is_an_earlier_store() {
    let (store, file) = filled();
    let all = store.versions();
    let mut reached = BTreeSet::new();
    for cut in 0..=file.len() {
        let mut recalled = Store::new(bounds(), 9);
        let whole = recalled.recall(&file[..cut]).unwrap();
        assert!(whole <= cut);
        let number = recalled.versions().last().map_or(0, |version| version.number);
        reached.insert(number);
        for version in recalled.versions() {
            let was = store.version(version.number);
            assert!(was.is_none_or(|was| was == version), "cut at {cut}");
        }
        for table in recalled.tables() {
            let lines: Lines = recalled.lines(table).map(|(id, line)| (id, *line)).collect();
            let at = recalled.number(table);
            if all.iter().any(|version| version.number == at) {
                assert_eq!(store.at(at), Some((table, lines)), "cut at {cut}");
            }
        }
    }
    assert!(reached.len() > 40, "{reached:?}");
    let mut recalled = Store::new(bounds(), 9);
    recalled.recall(&file).unwrap();
    let next = Line { address: ([127, 1, 0, 1], 80).into(), weight: 777, draining: false, life: 9 };
    let number = recalled.publish(TABLE, [(1, Some(next))], 5000, &Why::default()).unwrap();
    assert_eq!(number, all.last().unwrap().number + 1);
    assert!(recalled.writings()[0].whole);
}

#[test]
fn a_file_that_does_not_add_up_is_not_believed() {
    let (_, file) = filled();
    let bodies: Vec<Vec<u8>> = shalereel_journal::records(&file, HEAD)
        .unwrap()
        .iter()
        .map(|record| record.payload.to_vec())
        .collect();
    let build = |bodies: &[Vec<u8>]| {
        let mut file = HEAD.to_vec();
        bodies.iter().for_each(|body| file.extend(shalereel_journal::frame(body)));
        file
    };
    let refused = |file: &[u8]| Store::new(bounds(), 9).recall(file).unwrap_err();
    // A block lost, two in another order, one of another file: each frame is whole, the history is not.
    let last = bodies.len() - 1;
    let mut lost = bodies.clone();
    lost.remove(last - 12);
    assert!(matches!(refused(&build(&lost)), StoreError::Broken { .. }));
    let mut swapped = bodies.clone();
    swapped.swap(last, last - 1);
    assert!(matches!(refused(&build(&swapped)), StoreError::Broken { .. }));
    let mut strange = bodies.clone();
    strange[last] = b"something else".to_vec();
    assert!(matches!(refused(&build(&strange)), StoreError::Strange { .. }));
    let mut damaged = file.clone();
    damaged[40] ^= 1;
    assert!(matches!(refused(&damaged), StoreError::Journal(_)));
}

#[test]
fn history_keeps_to_its_bounds_and_a_lost_write_is_made_good() {
    let line = |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, life: 1 };
    let why = Why::default();
    let mut store = Store::new(Bounds { versions: 10, bytes: 1 << 20, age: 100 }, 1);
    for at in 1..=30 {
        store.publish(TABLE, [(1, Some(line(at)))], at.into(), &why);
    }
    assert_eq!((store.size().1, store.versions()[0].number, store.at(20).is_some()), (10, 21, true));
    assert!(store.at(19).is_none() && store.since(TABLE, 19).is_none());
    // Who holds what is not kept any more is told the whole.
    assert_eq!((store.delta(TABLE, 19).unwrap().from, store.delta(TABLE, 20).unwrap().from), (0, 0));
    store.publish(TABLE, [(2, Some(line(1)))], 200, &why);
    assert_eq!((store.size().1, store.number(TABLE)), (1, 31));
    assert_eq!(store.delta(TABLE, 30).unwrap().from, 30);
    // A disk that was full: the next write says all of it.
    store.writings();
    store.publish(TABLE, [(2, Some(line(2)))], 201, &why);
    store.writings();
    store.unwritten();
    store.publish(TABLE, [(2, Some(line(3)))], 202, &why);
    let writings = store.writings();
    assert!(writings.len() == 1 && writings[0].whole);
    // What is written together is one frame.
    let file = [&HEAD[..], &shalereel_journal::frame(&writings[0].parts.concat())].concat();
    let mut recalled = Store::new(Bounds { versions: 10, bytes: 1 << 20, age: 100 }, 1);
    recalled.recall(&file).unwrap();
    assert_eq!((recalled.versions(), recalled.check(TABLE)), (store.versions(), store.check(TABLE)));
}
