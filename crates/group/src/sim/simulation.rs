//! State and event queue of the simulation, and the loop that runs a schedule.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use shalereel::interface::Nanos;

use super::event::Event;
use super::forwarder::Forwarder;
use super::member::SimulatedMember;
use super::schedule::{ScheduleSettings, ScheduleStats, MILLISECOND, SECOND};
use super::violation::{Violation, ViolationKind};
use crate::fault::InjectedFault;
use crate::group::{Group, GroupConfig, MemberRole};
use crate::placement::ServerAvailability;
use crate::storage::StoredLog;
use crate::timing::TimingSettings;
use crate::wire::{Duty, Epoch, LogIndex, MemberAddress, MemberId};

pub(super) const SERVER_COUNT: u32 = 6;
const MAX_CLOCK_DRIFT: f64 = 0.05;
/// Only members with lower numbers are initial voters.
const MAX_INITIAL_VOTERS: MemberId = 5;
/// The minimum and maximum time after the last fault in which the group must converge.
const CONVERGENCE_SPAN_MIN: Nanos = 10 * SECOND;
const CONVERGENCE_SPAN_MAX: Nanos = 60 * SECOND;

/// The last write of a range that took effect.
#[derive(Clone, Copy)]
pub(super) struct EffectiveWrite {
    pub epoch: Epoch,
    pub server: u32,
}

pub(super) struct Simulation {
    pub settings: ScheduleSettings,
    pub seed: u64,
    pub now: Nanos,
    pub rng: Rand64,
    pub timing: TimingSettings,
    pub members: BTreeMap<MemberId, SimulatedMember>,
    pub forwarders: BTreeMap<u64, Forwarder>,
    /// By time, then in the order in which they were scheduled.
    pub events: BTreeMap<(Nanos, u64), Event>,
    events_scheduled: u64,
    /// Links that drop all messages, as sender and receiver.
    pub cut_links: BTreeSet<(MemberId, MemberId)>,
    /// Fraction of the messages that is lost.
    pub loss: f64,
    pub servers: BTreeMap<u32, ServerAvailability>,
    pub stats: ScheduleStats,
    /// The first observed leader of each term.
    pub leaders: BTreeMap<u64, MemberId>,
    /// By index, the checksum of all entries up to it, as the first member to apply it computed it.
    pub histories: BTreeMap<LogIndex, u32>,
    /// The last effective write of each range.
    pub last_writes: BTreeMap<u32, EffectiveWrite>,
    pub leaderless_since: Option<Nanos>,
    pub faults_over: bool,
    /// Number of streams that forwarders have opened.
    pub streams: u64,
}

impl Simulation {
    pub fn new(seed: u64, settings: ScheduleSettings) -> Self {
        let mut rng = Rand64::new(u128::from(seed) * 2 + 1);
        let rate = |rng: &mut Rand64| 1.0 + MAX_CLOCK_DRIFT * (2.0 * rng.rand_float() - 1.0);
        let mut members = BTreeMap::new();
        for member in 0..settings.members {
            let clock_offset = SECOND + rng.rand_range(0..1000 * SECOND);
            members.insert(member, SimulatedMember::new(clock_offset, rate(&mut rng)));
        }
        let unfenced = settings.injected_fault == Some(InjectedFault::NoFencing);
        let mut forwarders = BTreeMap::new();
        for forwarder in 0..settings.forwarders {
            forwarders.insert(forwarder, Forwarder::new(unfenced, rate(&mut rng)));
        }
        Simulation {
            settings,
            seed,
            now: 0,
            rng,
            timing: timing(&settings),
            members,
            forwarders,
            events: BTreeMap::new(),
            events_scheduled: 0,
            cut_links: BTreeSet::new(),
            loss: 0.0,
            servers: (0..SERVER_COUNT).map(|server| (server, available(server))).collect(),
            stats: ScheduleStats::default(),
            leaders: BTreeMap::new(),
            histories: BTreeMap::new(),
            last_writes: BTreeMap::new(),
            leaderless_since: None,
            faults_over: false,
            streams: 0,
        }
    }

    pub fn schedule(&mut self, at: Nanos, event: Event) {
        self.events_scheduled += 1;
        self.events.insert((at.max(self.now), self.events_scheduled), event);
    }

    /// A random number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound.max(1))
    }

    pub fn violation(&self, kind: ViolationKind) -> Violation {
        Violation { seed: self.seed, at: self.now, kind }
    }

    pub fn run(mut self) -> Result<ScheduleStats, Violation> {
        self.begin()?;
        let fault_span = self.settings.fault_span;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            let event = entry.remove();
            self.now = at;
            if at >= fault_span && !self.faults_over {
                self.end_faults()?;
            }
            let may_end = self.faults_over && at >= fault_span + CONVERGENCE_SPAN_MIN;
            if at >= fault_span + CONVERGENCE_SPAN_MAX || (may_end && self.check_converged().is_ok()) {
                break;
            }
            self.stats.steps += 1;
            self.handle(event)?;
        }
        match self.check_converged() {
            Ok(()) => Ok(self.stats),
            Err(failure) => Err(self.violation(ViolationKind::NotConverged(failure))),
        }
    }

    fn begin(&mut self) -> Result<(), Violation> {
        for member in 0..self.settings.members {
            self.start(member)?;
        }
        for forwarder in 0..self.settings.forwarders {
            let at = self.draw(SECOND);
            self.schedule(at, Event::RequestDue(forwarder));
            self.schedule(at, Event::Write(forwarder));
        }
        self.schedule(SECOND, Event::Fault);
        self.schedule(2 * SECOND, Event::Order);
        Ok(())
    }

    /// Ends all faults and restarts stopped members; from here on the group must converge without help.
    fn end_faults(&mut self) -> Result<(), Violation> {
        self.faults_over = true;
        self.heal_network();
        for id in 0..self.settings.members {
            let Some(member) = self.members.get_mut(&id) else { continue };
            let disk_failed = std::mem::take(&mut member.disk.fails);
            member.disk.slow = false;
            let role = member.group.as_ref().map(Group::role);
            if member.paused {
                self.resume(id)?;
            }
            if disk_failed || role == Some(MemberRole::Stopped) {
                self.crash(id);
            }
            self.restart(id)?;
        }
        Ok(())
    }

    pub fn heal_network(&mut self) {
        self.cut_links.clear();
        self.loss = 0.0;
    }

    /// Starts a member if it has crashed.
    pub fn restart(&mut self, id: MemberId) -> Result<(), Violation> {
        if self.members.get(&id).is_some_and(|member| member.group.is_none()) {
            self.start(id)?;
        }
        Ok(())
    }

    fn start(&mut self, id: MemberId) -> Result<(), Violation> {
        let config = self.config(id);
        let (now, seed) = (self.now, self.seed);
        let Some(member) = self.members.get_mut(&id) else { return Ok(()) };
        let stored = match &mut member.disk.file {
            None => None,
            Some(file) => {
                let stored = StoredLog::read(file).map_err(|error| Violation {
                    seed,
                    at: now,
                    kind: ViolationKind::FileUnreadable { member: id, error: error.to_string() },
                })?;
                file.truncate(stored.complete_bytes);
                Some(stored)
            }
        };
        member.incarnation += 1;
        // Only the file survives a crash, so the member may have applied less than before.
        member.applied = 0;
        member.disk.queue.clear();
        let mut group = Group::new(config, member.clock(now), stored);
        group.update_servers(self.servers.clone());
        member.group = Some(group);
        member.wake_at = 0;
        self.schedule(now, Event::Wake(id));
        Ok(())
    }

    fn config(&self, id: MemberId) -> GroupConfig {
        let address = |id: MemberId| format!("member-{id}");
        let initial_voters = 0..self.settings.members.min(MAX_INITIAL_VOTERS);
        let other_duties = [Duty::MergeReports, Duty::RunDrains(0), Duty::RunDrains(1), Duty::FenceTable(0)];
        GroupConfig {
            id,
            address: address(id),
            name: "simulated".into(),
            initial_voters: initial_voters.map(|id| MemberAddress { id, address: address(id) }).collect(),
            joining: false,
            timing: self.timing,
            seed: self.seed,
            duties: (0..self.settings.ranges).map(Duty::PlaceRange).chain(other_duties).collect(),
            injected_fault: self.settings.injected_fault,
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), Violation> {
        if let Some(member) = event.member().and_then(|id| self.members.get_mut(&id)) {
            if member.paused {
                member.deferred_events.push(event);
                return Ok(());
            }
        }
        match event {
            Event::Wake(member) => self.poll(member)?,
            Event::Deliver(envelope) => self.deliver(envelope)?,
            Event::Stored { member, incarnation } => self.finish_write(member, incarnation)?,
            Event::Fault => self.begin_fault()?,
            Event::Restart(member) => self.restart(member)?,
            Event::Resume(member) => self.resume(member)?,
            Event::DiskRecovers(member) => self.recover_disk(member),
            Event::NetworkHeals => self.heal_network(),
            Event::RequestDue(forwarder) => self.request_periodically(forwarder),
            Event::Request(request) => self.handle_request(request)?,
            Event::Response(response) => self.handle_response(response)?,
            Event::Write(forwarder) => self.write(forwarder),
            Event::WriteTakesEffect(route) => self.check_write(route)?,
            Event::Order => self.submit_random_order(),
        }
        Ok(())
    }
}

fn timing(settings: &ScheduleSettings) -> TimingSettings {
    TimingSettings {
        election_timeout: SECOND,
        max_clock_drift: MAX_CLOCK_DRIFT,
        tenure: SECOND,
        max_in_flight: 500 * MILLISECOND,
        max_batch_entries: settings.max_batch_entries,
    }
}

fn available(server: u32) -> ServerAvailability {
    ServerAvailability { server, locality: server % 2, accepts_ranges: true, ready: true }
}
