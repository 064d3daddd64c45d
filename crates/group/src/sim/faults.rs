//! Random faults of a schedule.

use std::collections::BTreeSet;

use shalereel::interface::Nanos;

use super::event::Event;
use super::schedule::{MILLISECOND, SECOND};
use super::simulation::{Simulation, SERVER_COUNT};
use super::violation::Violation;
use crate::wire::MemberId;

const FAULT_GAP_MIN: Nanos = 200 * MILLISECOND;
const FAULT_LENGTH_MIN: Nanos = 300 * MILLISECOND;
const FAULT_LENGTH_MAX: Nanos = 5 * SECOND;
const FORWARDER_PAUSE_MAX: Nanos = 4 * SECOND;
/// Number of outcomes in [`Simulation::begin_fault`]; two of them are crashes.
const FAULT_KINDS: u64 = 11;
/// When a disk fault is drawn, the disk fails in one case out of this many.
const DISK_FAILURE_ONE_IN: u64 = 3;

impl Simulation {
    pub fn begin_fault(&mut self) -> Result<(), Violation> {
        if self.faults_over {
            return Ok(());
        }
        let next = self.now + FAULT_GAP_MIN + self.draw(self.settings.max_fault_gap);
        self.schedule(next, Event::Fault);
        let member = self.draw_member();
        let until = self.now + FAULT_LENGTH_MIN + self.draw(FAULT_LENGTH_MAX);
        match self.draw(FAULT_KINDS) {
            0 | 1 => {
                self.crash(member);
                self.schedule(until, Event::Restart(member));
            }
            2 => self.pause(member, until),
            3 => self.isolate(member, until),
            4 => self.cut_one_way(member, until),
            5 => self.partition(until),
            6 => self.lose_messages(until),
            7 => self.slow_disk(member, until),
            8 => self.fail_disk(member, until),
            9 => self.drain_or_return_server(),
            _ => self.pause_forwarder(),
        }
        Ok(())
    }

    pub fn draw_member(&mut self) -> MemberId {
        self.draw(self.settings.members.into()) as MemberId
    }

    fn pause(&mut self, id: MemberId, until: Nanos) {
        if let Some(member) = self.members.get_mut(&id).filter(|member| member.group.is_some()) {
            member.paused = true;
            self.schedule(until, Event::Resume(id));
        }
    }

    /// Cuts all links between a member and the others, in both directions.
    fn isolate(&mut self, member: MemberId, until: Nanos) {
        for other in 0..self.settings.members {
            self.cut_links.extend([(member, other), (other, member)]);
        }
        self.schedule(until, Event::NetworkHeals);
    }

    fn cut_one_way(&mut self, from: MemberId, until: Nanos) {
        let to = self.draw_member();
        self.cut_links.insert((from, to));
        self.schedule(until, Event::NetworkHeals);
    }

    fn partition(&mut self, until: Nanos) {
        let members = 0..self.settings.members;
        let side: BTreeSet<MemberId> = members.clone().filter(|_| self.rng.rand_u64() & 1 == 0).collect();
        for from in members.clone() {
            let other_side = members.clone().filter(|to| side.contains(&from) != side.contains(to));
            self.cut_links.extend(other_side.map(|to| (from, to)));
        }
        self.schedule(until, Event::NetworkHeals);
    }

    fn lose_messages(&mut self, until: Nanos) {
        self.loss = 0.1 + 0.4 * self.rng.rand_float();
        self.schedule(until, Event::NetworkHeals);
    }

    fn slow_disk(&mut self, id: MemberId, until: Nanos) {
        if let Some(member) = self.members.get_mut(&id) {
            member.disk.slow = true;
            self.schedule(until, Event::DiskRecovers(id));
        }
    }

    fn fail_disk(&mut self, id: MemberId, until: Nanos) {
        if self.draw(DISK_FAILURE_ONE_IN) != 0 {
            return;
        }
        if let Some(member) = self.members.get_mut(&id) {
            member.disk.fails = true;
            self.schedule(until, Event::DiskRecovers(id));
        }
    }

    /// Makes a server drain, or return if it drains already. At most one more than half of the servers drain at once.
    fn drain_or_return_server(&mut self) {
        let server = self.draw(SERVER_COUNT.into()) as u32;
        let draining = self.servers.values().filter(|server| !server.accepts_ranges).count();
        if let Some(server) = self.servers.get_mut(&server) {
            let available = !server.accepts_ranges || draining > SERVER_COUNT as usize / 2;
            server.accepts_ranges = available;
            server.ready = available;
        }
        for group in self.members.values_mut().filter_map(|member| member.group.as_mut()) {
            group.update_servers(self.servers.clone());
        }
    }

    fn pause_forwarder(&mut self) {
        let forwarder = self.draw(self.settings.forwarders);
        let until = self.now + self.draw(FORWARDER_PAUSE_MAX);
        if let Some(forwarder) = self.forwarders.get_mut(&forwarder) {
            forwarder.paused_until = until;
        }
    }
}
