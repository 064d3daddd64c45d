//! Groups on a simulated network: messages dropped, delayed, doubled, reordered and cut, one way or both; members
//! crashed, restarted, paused; disks slow, failing, torn; clocks that drift; and after each step what must always
//! hold. A schedule is a seed: the same seed plays the same schedule.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use oorandom::Rand64;
use shalereel::interface::Nanos;

use crate::fault::InjectedFault;
use crate::group::{Action, Group, GroupConfig, MemberRole};
use crate::lease_client::LeaseClient;
use crate::leases::RangeRoute;
use crate::placement::ServerAvailability;
use crate::state_machine::AppliedChange;
use crate::storage::{encode, StoredLog, LOG_FILE_HEAD};
use crate::timing::TimingSettings;
use crate::wire::{
    CommandPayload, Duty, Envelope, Epoch, MemberAddress, MemberId, MoveRange, OperatorOrder, ReleaseOrder,
};

const MILLI: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLI;
const SERVERS: u32 = 6;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    pub nodes: MemberId,
    pub forwarders: u64,
    pub ranges: u32,
    /// Time with troubles; as long again as it takes to settle follows.
    pub length: Nanos,
    /// Entries in one message at most; one troubles the log most.
    pub batch: usize,
    /// From one trouble to the next, the most.
    pub calm: Nanos,
    pub injected_fault: Option<InjectedFault>,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        ScheduleSettings {
            nodes: 3,
            forwarders: 3,
            ranges: 2,
            length: 30 * SECOND,
            batch: 64,
            calm: 3 * SECOND,
            injected_fault: None,
        }
    }
}

/// What must never be, and when it was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub seed: u64,
    pub at: Nanos,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "seed {}, at {:.3} s: {}", self.seed, self.at as f64 / SECOND as f64, self.what)
    }
}

/// What a schedule held, to see that checks had something to check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScheduleStats {
    pub steps: u64,
    pub elections: u64,
    pub committed: u64,
    pub crashes: u64,
    pub moves: u64,
    pub writes: u64,
    pub orders: u64,
    /// From the death of a leader to the next one that may speak for the group, the longest.
    pub headless: Nanos,
}

impl ScheduleStats {
    /// Another schedule's.
    pub fn add(&mut self, other: &ScheduleStats) {
        self.steps += other.steps;
        self.elections += other.elections;
        self.committed += other.committed;
        self.crashes += other.crashes;
        self.moves += other.moves;
        self.writes += other.writes;
        self.orders += other.orders;
        self.headless = self.headless.max(other.headless);
    }
}

enum Event {
    Wake(MemberId),
    Deliver(Envelope),
    Stored {
        node: MemberId,
        life: u64,
    },
    Trouble,
    Restart(MemberId),
    Resume(MemberId),
    DiskWell(MemberId),
    Heal,
    Asks(u64),
    /// A question on its way to a member, and an answer back.
    Question {
        forwarder: u64,
        stream: u64,
        to: MemberId,
        seen: u64,
        holds: Vec<(u32, Epoch)>,
        asked: Nanos,
    },
    Answer {
        forwarder: u64,
        stream: u64,
        number: u64,
        asked: Option<Nanos>,
        lines: Option<Vec<RangeRoute>>,
    },
    Write(u64),
    TakesEffect {
        range: u32,
        line: RangeRoute,
    },
    Operate,
}

struct Disk {
    file: Option<Vec<u8>>,
    /// Not synced yet: the write's number, whether it replaces the file, its bytes.
    queue: VecDeque<(u64, bool, Vec<u8>)>,
    slow: bool,
    fails: bool,
}

struct SimulatedMember {
    group: Option<Group>,
    life: u64,
    disk: Disk,
    /// Its clock: so much ahead, and so much faster.
    ahead: Nanos,
    rate: f64,
    paused: bool,
    waiting: Vec<Event>,
    woken: Nanos,
    applied: u64,
}

impl SimulatedMember {
    fn clock(&self, now: Nanos) -> Nanos {
        self.ahead + (now as f64 * self.rate) as Nanos
    }

    fn true_time(&self, clock: Nanos) -> Nanos {
        (clock.saturating_sub(self.ahead) as f64 / self.rate).ceil() as Nanos
    }
}

struct Forwarder {
    tenant: LeaseClient,
    stream: u64,
    at: MemberId,
    rate: f64,
    paused_until: Nanos,
}

impl Forwarder {
    fn clock(&self, now: Nanos) -> Nanos {
        (now as f64 * self.rate) as Nanos
    }
}

struct Simulation {
    script: ScheduleSettings,
    seed: u64,
    now: Nanos,
    rng: Rand64,
    told: TimingSettings,
    machines: BTreeMap<MemberId, SimulatedMember>,
    forwarders: BTreeMap<u64, Forwarder>,
    events: BTreeMap<(Nanos, u64), Event>,
    events_put: u64,
    /// From whom to whom nothing passes.
    cut: BTreeSet<(MemberId, MemberId)>,
    lossy: f64,
    fits: BTreeMap<u32, ServerAvailability>,
    tally: ScheduleStats,
    leaders: BTreeMap<u64, MemberId>,
    history: BTreeMap<u64, u32>,
    /// By range: the highest epoch that took effect, and at which server.
    effects: BTreeMap<u32, (Epoch, u32)>,
    headless_since: Option<Nanos>,
    calm: bool,
    streams: u64,
}

/// Plays one schedule.
pub fn play(seed: u64, script: ScheduleSettings) -> Result<ScheduleStats, Violation> {
    let mut world = Simulation::new(seed, script);
    world.run()?;
    Ok(world.tally)
}

impl Simulation {
    fn new(seed: u64, script: ScheduleSettings) -> Self {
        let mut rng = Rand64::new(u128::from(seed) * 2 + 1);
        let drift = 0.05;
        let told = TimingSettings {
            election_timeout: SECOND,
            max_clock_drift: drift,
            tenure: SECOND,
            max_in_flight: SECOND / 2,
            max_batch_entries: script.batch,
        };
        let rate = |rng: &mut Rand64| 1.0 + drift * (2.0 * rng.rand_float() - 1.0);
        let machines = (0..script.nodes)
            .map(|node| {
                let machine = SimulatedMember {
                    group: None,
                    life: 0,
                    disk: Disk { file: None, queue: VecDeque::new(), slow: false, fails: false },
                    ahead: SECOND + rng.rand_range(0..1000 * SECOND),
                    rate: rate(&mut rng),
                    paused: false,
                    waiting: Vec::new(),
                    woken: 0,
                    applied: 0,
                };
                (node, machine)
            })
            .collect();
        let forwarders = (0..script.forwarders)
            .map(|at| {
                let tenant = LeaseClient::new(script.injected_fault == Some(InjectedFault::NoFence));
                let rate = rate(&mut rng);
                (at, Forwarder { tenant, stream: 0, at: 0, rate, paused_until: 0 })
            })
            .collect();
        let fits = (0..SERVERS)
            .map(|server| {
                (
                    server,
                    ServerAvailability { server, locality: server % 2, accepts_ranges: true, listed: true },
                )
            })
            .collect();
        Simulation {
            script,
            seed,
            now: 0,
            rng,
            told,
            machines,
            forwarders,
            events: BTreeMap::new(),
            events_put: 0,
            cut: BTreeSet::new(),
            lossy: 0.0,
            fits,
            tally: ScheduleStats::default(),
            leaders: BTreeMap::new(),
            history: BTreeMap::new(),
            effects: BTreeMap::new(),
            headless_since: None,
            calm: false,
            streams: 0,
        }
    }

    fn put(&mut self, at: Nanos, event: Event) {
        self.events_put += 1;
        self.events.insert((at.max(self.now), self.events_put), event);
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.rng.rand_range(0..most.max(1))
    }

    fn wrong(&self, what: String) -> Violation {
        Violation { seed: self.seed, at: self.now, what }
    }

    fn start(&mut self, node: MemberId) -> Result<(), Violation> {
        let seats = (0..self.script.nodes.min(5))
            .map(|number| MemberAddress { id: number, address: format!("member-{number}") })
            .collect();
        let duties = (0..self.script.ranges)
            .map(Duty::PlaceRange)
            .chain([Duty::MergeReports, Duty::RunDrains(0), Duty::RunDrains(1), Duty::FenceTable(0)])
            .collect();
        let (told, injected_fault, seed) = (self.told, self.script.injected_fault, self.seed);
        let (now, fits) = (self.now, self.fits.clone());
        let Some(machine) = self.machines.get_mut(&node) else { return Ok(()) };
        let config = GroupConfig {
            id: node,
            address: format!("member-{node}"),
            name: "simulated".into(),
            initial_voters: seats,
            joining: false,
            timing: told,
            seed,
            duties,
            injected_fault,
        };
        let kept = match &mut machine.disk.file {
            None => None,
            Some(file) => match StoredLog::read(file) {
                Ok(kept) => {
                    file.truncate(kept.complete_bytes);
                    Some(kept)
                }
                Err(error) => {
                    return Err(Violation { seed, at: now, what: format!("file of {node}: {error}") })
                }
            },
        };
        machine.life += 1;
        // Nothing of its own is left of the life before but the file; what it knew as carried out may be less.
        machine.applied = 0;
        machine.disk.queue.clear();
        let mut group = Group::new(config, machine.clock(now), kept);
        group.update_servers(fits);
        machine.group = Some(group);
        machine.woken = 0;
        self.put(now, Event::Wake(node));
        Ok(())
    }

    fn run(&mut self) -> Result<(), Violation> {
        for node in 0..self.script.nodes {
            self.start(node)?;
        }
        for forwarder in 0..self.script.forwarders {
            let at = self.draw(SECOND);
            self.put(at, Event::Asks(forwarder));
            self.put(at, Event::Write(forwarder));
        }
        self.put(SECOND, Event::Trouble);
        self.put(2 * SECOND, Event::Operate);
        let length = self.script.length;
        let settle = length + 60 * SECOND;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            let event = entry.remove();
            self.now = at;
            if at >= length && !self.calm {
                self.calm_down()?;
            }
            if at >= settle || (self.calm && at >= length + 10 * SECOND && self.settled().is_ok()) {
                break;
            }
            self.tally.steps += 1;
            self.happen(event)?;
        }
        self.settled().map_err(|what| self.wrong(format!("not settled a minute after all troubles: {what}")))
    }

    /// All troubles end; from here on it must come to rest by itself.
    fn calm_down(&mut self) -> Result<(), Violation> {
        self.calm = true;
        self.cut.clear();
        self.lossy = 0.0;
        for node in 0..self.script.nodes {
            let Some(machine) = self.machines.get_mut(&node) else { continue };
            let failed = machine.disk.fails;
            (machine.disk.slow, machine.disk.fails) = (false, false);
            let broken =
                machine.group.as_ref().is_some_and(|group| group.role() == MemberRole::StorageFailed);
            if machine.paused {
                self.resume(node)?;
            }
            if failed || broken {
                self.crash(node);
            }
            if self.machines.get(&node).is_some_and(|machine| machine.group.is_none()) {
                self.start(node)?;
            }
        }
        Ok(())
    }

    fn settled(&self) -> Result<(), String> {
        let groups: Vec<&Group> =
            self.machines.values().filter_map(|machine| machine.group.as_ref()).collect();
        let leaders: Vec<MemberId> =
            groups.iter().filter(|group| group.is_leader()).map(|group| group.id()).collect();
        let [leader] = leaders[..] else { return Err(format!("leaders: {leaders:?}")) };
        let most = groups.iter().map(|group| group.log_status().3).max().unwrap_or(0);
        for group in &groups {
            let seats = group.configuration();
            if !seats.voters.iter().any(|seat| seat.id == group.id()) {
                continue;
            }
            if group.role() != MemberRole::Follower(leader) && group.id() != leader {
                return Err(format!("{} stands as {:?}, not behind {leader}", group.id(), group.role()));
            }
            if group.log_status().3 < most {
                return Err(format!("{} has carried out {} of {most}", group.id(), group.log_status().3));
            }
            for range in 0..self.script.ranges {
                let owned = group.state_machine().ranges().get(&range);
                if owned.is_none_or(|owned| owned.owner.is_none()) {
                    return Err(format!("range {range} has no owner at {}: {owned:?}", group.id()));
                }
            }
        }
        Ok(())
    }

    fn happen(&mut self, event: Event) -> Result<(), Violation> {
        let node = match &event {
            Event::Wake(node) | Event::Stored { node, .. } => Some(*node),
            Event::Deliver(envelope) => Some(envelope.to),
            Event::Question { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(machine) = node.and_then(|node| self.machines.get_mut(&node)) {
            if machine.paused {
                machine.waiting.push(event);
                return Ok(());
            }
        }
        match event {
            Event::Wake(node) => self.turn(node),
            Event::Deliver(envelope) => {
                let node = envelope.to;
                let now = self.now;
                let Some(machine) = self.machines.get_mut(&node) else { return Ok(()) };
                let clock = machine.clock(now);
                let Some(group) = &mut machine.group else { return Ok(()) };
                group.handle_message(clock, envelope);
                self.turn(node)
            }
            Event::Stored { node, life } => self.synced(node, life),
            Event::Trouble => self.trouble(),
            Event::Restart(node) => {
                if self.machines.get(&node).is_some_and(|machine| machine.group.is_none()) {
                    self.start(node)?;
                }
                Ok(())
            }
            Event::Resume(node) => self.resume(node),
            Event::DiskWell(node) => {
                if let Some(machine) = self.machines.get_mut(&node) {
                    machine.disk.slow = false;
                    if machine.disk.fails {
                        machine.disk.fails = false;
                        self.crash(node);
                        self.put(self.now + SECOND, Event::Restart(node));
                    }
                }
                Ok(())
            }
            Event::Heal => {
                self.cut.clear();
                self.lossy = 0.0;
                Ok(())
            }
            Event::Asks(forwarder) => {
                self.asks(forwarder);
                Ok(())
            }
            Event::Question { forwarder, stream, to, seen, holds, asked } => {
                let now = self.now;
                let Some(machine) = self.machines.get_mut(&to) else { return Ok(()) };
                let clock = machine.clock(now);
                let Some(group) = &mut machine.group else { return Ok(()) };
                let (number, lines) = group.handle_range_request(clock, stream, seen, &holds);
                let answer = Event::Answer { forwarder, stream, number, asked: Some(asked), lines };
                let at = self.arrival();
                self.put(at, answer);
                self.turn(to)
            }
            Event::Answer { forwarder, stream, number, asked, lines } => {
                self.answered(forwarder, stream, number, asked, lines)
            }
            Event::Write(forwarder) => {
                self.write(forwarder);
                Ok(())
            }
            Event::TakesEffect { range, line } => self.takes_effect(range, line),
            Event::Operate => {
                self.operate();
                Ok(())
            }
        }
    }

    fn arrival(&mut self) -> Nanos {
        // Most are quick, some travel long: later messages overtake them.
        let most = if self.draw(20) == 0 { 800 * MILLI } else { 15 * MILLI };
        self.now + MILLI / 2 + self.draw(most)
    }

    fn turn(&mut self, node: MemberId) -> Result<(), Violation> {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return Ok(()) };
        let clock = machine.clock(now);
        let Some(group) = &mut machine.group else { return Ok(()) };
        let effects = group.poll(clock);
        let next = group.next_deadline();
        for effect in effects {
            match effect {
                Action::Send { to, envelope, .. } => {
                    let lost = self.cut.contains(&(node, to)) || self.rng.rand_float() < self.lossy;
                    if lost {
                        continue;
                    }
                    if self.draw(50) == 0 {
                        let at = self.arrival();
                        self.put(at, Event::Deliver(envelope.clone()));
                    }
                    let at = self.arrival();
                    self.put(at, Event::Deliver(envelope));
                }
                Action::Store(writing) => {
                    let bytes = shalereel_journal::frame(&encode(&writing.records));
                    let Some(machine) = self.machines.get_mut(&node) else { continue };
                    machine.disk.queue.push_back((writing.sequence, writing.replaces_file, bytes));
                    if machine.disk.queue.len() == 1 {
                        self.sync(node);
                    }
                }
                Action::Applied(AppliedChange::RangeWithdrawn { .. }) => self.withdraw(node),
                Action::Applied(AppliedChange::RangeAssigned { .. }) => self.tally.moves += 1,
                Action::Answer { .. }
                | Action::Applied(_)
                | Action::SnapshotRestored
                | Action::PeerReports(_)
                | Action::Log(_) => {}
            }
        }
        if let Some(machine) = self.machines.get_mut(&node) {
            let at = machine.true_time(next).max(now + MILLI / 10);
            if machine.woken <= now || at < machine.woken {
                machine.woken = at;
                self.put(at, Event::Wake(node));
            }
        }
        self.check(node)
    }

    // The disk.

    fn sync(&mut self, node: MemberId) {
        let Some(machine) = self.machines.get(&node) else { return };
        let (life, slow) = (machine.life, machine.disk.slow);
        let span = if slow { 1500 * MILLI } else { 8 * MILLI };
        let at = self.now + MILLI / 5 + self.draw(span);
        self.put(at, Event::Stored { node, life });
    }

    fn synced(&mut self, node: MemberId, life: u64) -> Result<(), Violation> {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return Ok(()) };
        let clock = machine.clock(now);
        let (Some(group), true) = (&mut machine.group, machine.life == life) else { return Ok(()) };
        if machine.disk.fails {
            machine.disk.queue.clear();
            group.handle_write_failed("no space left");
            return self.turn(node);
        }
        if let Some((number, whole, bytes)) = machine.disk.queue.pop_front() {
            let file = machine.disk.file.get_or_insert_with(|| LOG_FILE_HEAD.to_vec());
            if whole {
                *file = LOG_FILE_HEAD.to_vec();
            }
            file.extend_from_slice(&bytes);
            group.handle_write_done(clock, number);
        }
        if !machine.disk.queue.is_empty() {
            self.sync(node);
        }
        self.turn(node)
    }

    fn crash(&mut self, node: MemberId) {
        let torn = self.rng.rand_float();
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let Some(group) = machine.group.take() else { return };
        self.tally.crashes += 1;
        if group.role() == MemberRole::Leader {
            self.headless_since = Some(now);
        }
        machine.life += 1;
        machine.paused = false;
        machine.waiting.clear();
        // What was being written is there in part.
        if let Some((_, false, bytes)) = machine.disk.queue.pop_front() {
            let part = (bytes.len() as f64 * torn) as usize;
            let file = machine.disk.file.get_or_insert_with(|| LOG_FILE_HEAD.to_vec());
            file.extend_from_slice(&bytes[..part]);
        }
        machine.disk.queue.clear();
    }

    fn resume(&mut self, node: MemberId) -> Result<(), Violation> {
        let Some(machine) = self.machines.get_mut(&node) else { return Ok(()) };
        if !std::mem::replace(&mut machine.paused, false) {
            return Ok(());
        }
        let waiting = std::mem::take(&mut machine.waiting);
        machine.woken = 0;
        for event in waiting {
            self.put(self.now, event);
        }
        self.put(self.now, Event::Wake(node));
        Ok(())
    }

    // Troubles.

    fn trouble(&mut self) -> Result<(), Violation> {
        if self.calm {
            return Ok(());
        }
        let next = self.now + 200 * MILLI + self.draw(self.script.calm);
        self.put(next, Event::Trouble);
        let node = self.draw(self.script.nodes.into()) as MemberId;
        let span = self.now + 300 * MILLI + self.draw(5 * SECOND);
        match self.draw(11) {
            0 | 1 => {
                self.crash(node);
                self.put(span, Event::Restart(node));
            }
            2 => {
                if let Some(machine) = self.machines.get_mut(&node).filter(|machine| machine.group.is_some())
                {
                    machine.paused = true;
                    self.put(span, Event::Resume(node));
                }
            }
            3 => {
                // Cut off from all, both ways.
                for other in 0..self.script.nodes {
                    self.cut.extend([(node, other), (other, node)]);
                }
                self.put(span, Event::Heal);
            }
            4 => {
                // A hears B, B does not hear A.
                let other = self.draw(self.script.nodes.into()) as MemberId;
                self.cut.insert((node, other));
                self.put(span, Event::Heal);
            }
            5 => {
                let side: BTreeSet<MemberId> =
                    (0..self.script.nodes).filter(|_| self.rng.rand_u64() & 1 == 0).collect();
                for one in 0..self.script.nodes {
                    for other in 0..self.script.nodes {
                        if side.contains(&one) != side.contains(&other) {
                            self.cut.insert((one, other));
                        }
                    }
                }
                self.put(span, Event::Heal);
            }
            6 => {
                self.lossy = 0.1 + 0.4 * self.rng.rand_float();
                self.put(span, Event::Heal);
            }
            7 => {
                if let Some(machine) = self.machines.get_mut(&node) {
                    machine.disk.slow = true;
                    self.put(span, Event::DiskWell(node));
                }
            }
            8 => {
                if self.draw(3) == 0 {
                    if let Some(machine) = self.machines.get_mut(&node) {
                        machine.disk.fails = true;
                        self.put(span, Event::DiskWell(node));
                    }
                }
            }
            9 => {
                // A server drains, or is back: whoever owns its ranges must give them away.
                let server = self.draw(SERVERS.into()) as u32;
                let gone = self.fits.values().filter(|fit| !fit.accepts_ranges).count();
                if let Some(fit) = self.fits.get_mut(&server) {
                    let open = !fit.accepts_ranges || gone > SERVERS as usize / 2;
                    (fit.accepts_ranges, fit.listed) = (open, open);
                }
                let fits = self.fits.clone();
                for machine in self.machines.values_mut().filter_map(|machine| machine.group.as_mut()) {
                    machine.update_servers(fits.clone());
                }
            }
            _ => {
                let forwarder = self.draw(self.script.forwarders);
                let until = self.now + self.draw(4 * SECOND);
                if let Some(forwarder) = self.forwarders.get_mut(&forwarder) {
                    forwarder.paused_until = until;
                }
            }
        }
        Ok(())
    }

    /// An operator asks some controller for something, sometimes the same at two of them.
    fn operate(&mut self) {
        if self.calm {
            return;
        }
        let next = self.now + 300 * MILLI + self.draw(2 * SECOND);
        self.put(next, Event::Operate);
        let server = self.draw(SERVERS.into()) as u32;
        let payload = match self.draw(4) {
            0 => CommandPayload::OperatorOrder(OperatorOrder {
                server,
                locality: server % 2,
                weight_cap_millionths: None,
            }),
            1 => CommandPayload::OperatorOrder(OperatorOrder {
                server,
                locality: server % 2,
                weight_cap_millionths: Some(500_000),
            }),
            2 => {
                let standing = self.machines.values().filter_map(|machine| machine.group.as_ref());
                let order =
                    standing.filter_map(|group| group.state_machine().orders().keys().next().copied()).next();
                match order {
                    Some(order) => CommandPayload::ReleaseOrder(ReleaseOrder { order_index: order }),
                    None => return,
                }
            }
            _ => CommandPayload::MoveRange(MoveRange {
                range: self.draw(self.script.ranges.into()) as u32,
                to_server: server,
                epoch: 0,
            }),
        };
        let times = 1 + self.draw(2);
        for _ in 0..times {
            let node = self.draw(self.script.nodes.into()) as MemberId;
            let now = self.now;
            let Some(machine) = self.machines.get_mut(&node).filter(|machine| !machine.paused) else {
                continue;
            };
            let clock = machine.clock(now);
            if let Some(group) = &mut machine.group {
                group.submit_order(clock, now, payload.clone());
                self.tally.orders += 1;
                self.put(now, Event::Wake(node));
            }
        }
    }

    // Forwarders.

    fn asks(&mut self, id: u64) {
        let again = self.now + self.told.tenure / 4 + self.draw(self.told.tenure / 4);
        self.put(again, Event::Asks(id));
        self.ask(id);
    }

    fn ask(&mut self, id: u64) {
        let (now, nodes) = (self.now, u64::from(self.script.nodes));
        let moves = self.draw(12) == 0;
        let elsewhere = self.draw(nodes) as MemberId;
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if now < forwarder.paused_until {
            return;
        }
        let gone = self.machines.get(&forwarder.at).is_none_or(|machine| machine.group.is_none());
        if moves || gone || forwarder.stream == 0 {
            self.streams += 1;
            forwarder.stream = self.streams;
            forwarder.at = elsewhere;
            forwarder.tenant.stream_reopened();
        }
        let asked = forwarder.clock(now);
        let (seen, holds) = forwarder.tenant.request(asked);
        let (stream, to) = (forwarder.stream, forwarder.at);
        let at = self.arrival();
        // One stream's messages keep their order.
        let last = self.events.iter().rev().find_map(|((at, _), event)| match event {
            Event::Question { stream: of, .. } if *of == stream => Some(*at),
            _ => None,
        });
        let at = at.max(last.unwrap_or(0));
        self.put(at, Event::Question { forwarder: id, stream, to, seen, holds, asked });
    }

    fn withdraw(&mut self, node: MemberId) {
        let Some(group) = self.machines.get_mut(&node).and_then(|machine| machine.group.as_mut()) else {
            return;
        };
        let (number, lines) = group.current_routes();
        let joined: Vec<(u64, u64)> = self
            .forwarders
            .iter()
            .filter(|(_, forwarder)| forwarder.at == node)
            .map(|(&id, forwarder)| (id, forwarder.stream))
            .collect();
        for (forwarder, stream) in joined {
            let lines = Some(lines.clone());
            let at = self.arrival();
            self.put(at, Event::Answer { forwarder, stream, number, asked: None, lines });
        }
    }

    fn answered(
        &mut self,
        id: u64,
        stream: u64,
        number: u64,
        asked: Option<Nanos>,
        lines: Option<Vec<RangeRoute>>,
    ) -> Result<(), Violation> {
        let tenure = self.told.tenure;
        let now = self.now;
        // Answers on one stream keep their order too.
        let earlier = self.events.iter().any(|(_, event)| {
            matches!(event, Event::Answer { stream: of, number: other, .. } if *of == stream && *other < number)
        });
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return Ok(()) };
        if forwarder.stream != stream {
            return Ok(());
        }
        if now < forwarder.paused_until || earlier {
            let at = forwarder.paused_until.max(now + MILLI);
            self.put(at, Event::Answer { forwarder: id, stream, number, asked, lines });
            return Ok(());
        }
        let before = forwarder.tenant.clone();
        let taken =
            forwarder.tenant.handle_response(number, asked.map(|asked| (asked, tenure)), lines.as_deref());
        let clock = forwarder.clock(now);
        for range in 0..self.script.ranges {
            if let (Some(old), Some(new)) = (before.route(0, range), forwarder.tenant.route(clock, range)) {
                if new.epoch < old.epoch {
                    let what = format!("forwarder {id} went back from epoch {} to {}", old.epoch, new.epoch);
                    return Err(self.wrong(what));
                }
            }
        }
        if taken {
            self.ask(id);
        }
        Ok(())
    }

    fn write(&mut self, id: u64) {
        let again = self.now + MILLI + self.draw(150 * MILLI);
        self.put(again, Event::Write(id));
        let now = self.now;
        let in_flight = self.told.max_in_flight;
        let range = self.draw(self.script.ranges.into()) as u32;
        let travel = if self.draw(4) == 0 { self.draw(in_flight) } else { self.draw(20 * MILLI) };
        let Some(forwarder) = self.forwarders.get(&id).filter(|forwarder| now >= forwarder.paused_until)
        else {
            return;
        };
        if let Some(line) = forwarder.tenant.route(forwarder.clock(now), range) {
            self.put(now + travel, Event::TakesEffect { range, line });
        }
    }

    fn takes_effect(&mut self, range: u32, line: RangeRoute) -> Result<(), Violation> {
        self.tally.writes += 1;
        if let Some((epoch, owner)) = self.effects.get(&range) {
            let back = line.epoch < *epoch || (line.epoch == *epoch && line.owner != *owner);
            if back {
                let what = format!(
                    "range {range}: a write took effect at server {} (epoch {}) after one at {owner} (epoch {epoch})",
                    line.owner, line.epoch
                );
                return Err(self.wrong(what));
            }
        }
        self.effects.insert(range, (line.epoch, line.owner));
        Ok(())
    }

    // What must always hold.

    fn check(&mut self, node: MemberId) -> Result<(), Violation> {
        let (seed, at) = (self.seed, self.now);
        let wrong = |what: String| Err(Violation { seed, at, what });
        let Some(machine) = self.machines.get_mut(&node) else { return Ok(()) };
        let Some(group) = &machine.group else { return Ok(()) };
        let (term, last, commit, applied, _) = group.log_status();
        if group.role() == MemberRole::Leader {
            let leader = *self.leaders.entry(term).or_insert_with(|| {
                self.tally.elections += 1;
                node
            });
            if leader != node {
                return wrong(format!("two leaders in term {term}: {leader} and {node}"));
            }
        }
        if group.is_leader() {
            if let Some(since) = self.headless_since.take() {
                self.tally.headless = self.tally.headless.max(at - since);
            }
        }
        if applied > commit || commit > last {
            return wrong(format!("{node} has carried out {applied} of {commit} committed of {last}"));
        }
        if applied < machine.applied {
            return wrong(format!("{node} went back from entry {} to {applied}", machine.applied));
        }
        machine.applied = applied;
        if applied > 0 {
            let (history, tally) = (group.state_machine().history_checksum(), &mut self.tally);
            let agreed = *self.history.entry(applied).or_insert_with(|| {
                tally.committed = tally.committed.max(applied);
                history
            });
            if agreed != history {
                return wrong(format!("{node} has another log than others up to entry {applied}"));
            }
        }
        let mut orders: BTreeMap<(u32, Option<u32>), u32> = BTreeMap::new();
        for standing in group.state_machine().orders().values() {
            let count =
                orders.entry((standing.order.server, standing.order.weight_cap_millionths)).or_default();
            *count += 1;
            if *count > 1 {
                return wrong(format!("an order about server {} stands twice", standing.order.server));
            }
        }
        Ok(())
    }
}
