//! One member: membership, log, duties, leases and merged reports, joined by one turn.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{EndpointReport, Nanos};
use thiserror::Error;

use crate::fault::InjectedFault;
use crate::leases::{Lease, LeaseTable, RangeGrantor, RangeRoute};
use crate::membership::Membership;
use crate::placement::{assignments, drains, next_owner, ServerAvailability};
use crate::raft::{LogWrite, Raft};
use crate::report_merge::{digests, told, ReportMerger};
use crate::state_machine::{AppliedChange, StateMachine};
use crate::storage::StoredLog;
use crate::timing::{Timing, TimingSettings, SNAPSHOT_EVERY_ENTRIES};
use crate::wire::{
    AssignDuty, AssignRange, BeginDrain, Body, Command, CommandPayload, Configuration, Duty, Entry, Envelope,
    Epoch, LeaseGrant, LeaseRequest, LogIndex, MemberAddress, MemberId, MemberStatus, MoveRange, PeerReports,
    Proposal, RangeCleared,
};

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    pub id: MemberId,
    /// Where others reach it.
    pub address: String,
    /// Of the group; members of groups of other names are not heard.
    pub name: String,
    /// The voters that the group began with.
    pub initial_voters: Vec<MemberAddress>,
    /// It comes later and is taken in by an order; until then it only learns who is there.
    pub joining: bool,
    pub timing: TimingSettings,
    pub seed: u64,
    /// What there is to be held.
    pub duties: Vec<Duty>,
    pub injected_fault: Option<InjectedFault>,
}

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: MemberId,
        address: String,
        envelope: Envelope,
    },
    /// To be kept and synced, then [`Group::stored`].
    Store(LogWrite),
    /// An operator's request is in force, or never will be by this way.
    Answer {
        ticket: u64,
        result: Result<LogIndex, OrderError>,
    },
    Applied(AppliedChange),
    /// A leader's snapshot stands in place of all changes up to it.
    SnapshotRestored,
    /// What all others met of late.
    PeerReports(Vec<EndpointReport>),
    Log(String),
}

/// Why an order was not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    #[error("no leader is known: {reachable} of {configured} controllers are reached, {quorum} are needed; nothing was ordered")]
    NoLeader { reachable: usize, configured: usize, quorum: usize },
    #[error(
        "not agreed in time; it may still come into force: look at the duties before it is ordered again"
    )]
    TimedOut,
    #[error("{0}")]
    Rejected(&'static str),
    #[error("this controller's log cannot be written; order by another one")]
    StorageFailed,
}

/// How a member stands to its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    Leader,
    Follower(MemberId),
    /// It reaches no leader: published tables and its own rules go on, orders are refused.
    NoLeader,
    /// Its log cannot be written.
    StorageFailed,
}

#[derive(Debug)]
struct PendingCommand {
    command: Command,
    expires_at: Nanos,
    ticket: Option<u64>,
    sent_at: Option<Nanos>,
    sent_in_term: u64,
}

/// One member of a group.
#[derive(Debug)]
pub struct Group {
    config: GroupConfig,
    timing: Timing,
    group_hash: u64,
    raft: Raft,
    membership: Membership,
    state_machine: StateMachine,
    last_applied: LogIndex,
    lease: Lease,
    renew_lease_at: Nanos,
    lease_table: Option<LeaseTable>,
    range_grantor: RangeGrantor,
    report_merger: ReportMerger,
    reports_epoch: Epoch,
    servers: BTreeMap<u32, ServerAvailability>,
    pending: BTreeMap<u64, PendingCommand>,
    last_request_id: u64,
    review_at: Nanos,
    role: MemberRole,
    actions: Vec<Action>,
}

impl Group {
    /// `kept`: what its file said, or nothing at a first start.
    pub fn new(config: GroupConfig, now: Nanos, kept: Option<StoredLog>) -> Self {
        let timing = Timing::new(config.timing);
        let seats = Configuration { voters: config.initial_voters.clone(), learners: Vec::new() };
        let begun = if config.joining { Configuration::default() } else { seats };
        let mut kept = kept.unwrap_or_default();
        if kept.snapshot.last_included_index == 0 {
            kept.snapshot.configuration = Some(begun);
        }
        let state = StateMachine::decode(&kept.snapshot.state);
        let (injected_fault, seed) = (config.injected_fault, config.seed);
        let applied = kept.snapshot.last_included_index;
        let raft = Raft::new(config.id, now, kept, timing, seed, injected_fault);
        let seeds: Vec<(MemberId, String)> =
            config.initial_voters.iter().map(|seat| (seat.id, seat.address.clone())).collect();
        let members = Membership::new(config.id, &config.address, raft.boot(), &seeds, timing, seed);
        let hash = u64::from(crc32c::crc32c(config.name.as_bytes()));
        let requests = (u64::from(config.id) + 1) << 48 | (raft.boot() & 0xffff) << 32;
        let mut group = Group {
            timing,
            group_hash: hash,
            raft,
            membership: members,
            state_machine: state.unwrap_or_default(),
            last_applied: applied,
            lease: Lease::default(),
            renew_lease_at: now,
            lease_table: None,
            range_grantor: RangeGrantor::new(&timing, now),
            report_merger: ReportMerger::default(),
            reports_epoch: 0,
            servers: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_request_id: requests,
            review_at: now,
            role: MemberRole::NoLeader,
            actions: Vec::new(),
            config,
        };
        if StateMachine::decode(group.raft.snapshot_state()).is_err() {
            // Without it nothing after it means anything: it is learned anew from the leader's snapshot.
            group.raft.fail_storage();
            group.log_event(
                "the kept state cannot be read; move the file away to take this member in as a new one"
                    .into(),
            );
        }
        group
    }

    fn log_event(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }

    // What is known.

    pub fn id(&self) -> MemberId {
        self.config.id
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    pub fn configuration(&self) -> Configuration {
        self.raft.configuration()
    }

    /// Term, last entry, committed, carried out, begin of the log.
    pub fn log_status(&self) -> (u64, LogIndex, LogIndex, LogIndex, LogIndex) {
        (
            self.raft.term(),
            self.raft.last_index(),
            self.raft.commit_index(),
            self.last_applied,
            self.raft.snapshot_index(),
        )
    }

    pub fn role(&self) -> MemberRole {
        self.role
    }

    pub fn is_leader(&self) -> bool {
        self.raft.is_leader()
    }

    /// May it give forwarders lines of ranges at this moment?
    pub fn may_grant_ranges(&self, now: Nanos) -> bool {
        self.lease.is_valid(now, self.last_applied)
            || self.config.injected_fault == Some(InjectedFault::NoFence)
    }

    /// The highest epoch of any operation's table: what all that is published carries at least.
    pub fn min_table_epoch(&self) -> Epoch {
        let tables =
            self.state_machine.duties().iter().filter(|(duty, _)| matches!(duty, Duty::FenceTable(_)));
        tables.map(|(_, held)| held.epoch).max().unwrap_or(0)
    }

    pub fn tenure(&self) -> Nanos {
        self.timing.tenure()
    }

    /// When [`Group::turn`] is due.
    pub fn next_deadline(&self) -> Nanos {
        let cleared =
            self.range_grantor.next_deadline(&self.timing, &self.state_machine).unwrap_or(Nanos::MAX);
        self.raft
            .next_deadline()
            .min(self.membership.next_deadline())
            .min(self.review_at)
            .min(self.renew_lease_at)
            .min(cleared.max(self.review_at))
    }

    // What comes.

    /// A message of another member, in time order with all else.
    pub fn handle_message(&mut self, now: Nanos, envelope: Envelope) {
        let from = envelope.from;
        if envelope.to != self.config.id || envelope.group_hash != self.group_hash || from == self.config.id {
            return;
        }
        match envelope.body {
            Some(Body::Gossip(gossip)) => self.membership.handle_gossip(now, from, gossip),
            Some(Body::Proposal(Proposal { command: Some(command) })) => self.append_command(now, command),
            Some(Body::LeaseRequest(LeaseRequest { sent_at: sent })) => {
                let lease_table = self.lease_table.as_mut().filter(|_| self.raft.holds_quorum(now));
                if let Some(lease_table) = lease_table {
                    lease_table.grant(now, &self.timing, from);
                    self.send(
                        from,
                        Body::LeaseGrant(LeaseGrant {
                            request_sent_at: sent,
                            commit_index: self.last_applied,
                        }),
                    );
                }
            }
            Some(Body::LeaseGrant(LeaseGrant { request_sent_at: sent, commit_index: commit })) => {
                // An answer to a question of a time to come is no answer to ours.
                self.lease.renew(&self.timing, sent.min(now), commit);
            }
            Some(Body::ReportTotals(sums)) => {
                let members = self.configured_members();
                self.report_merger.add(from, &sums, &members);
            }
            Some(Body::PeerReports(others)) => {
                let known = self.state_machine.assignment(Duty::MergeReports).map_or(0, |held| held.epoch);
                let unfenced = self.config.injected_fault == Some(InjectedFault::NoFence);
                if others.epoch >= self.reports_epoch.max(known) || unfenced {
                    self.reports_epoch = others.epoch;
                    let rows = digests(&others.totals.unwrap_or_default());
                    self.actions.push(Action::PeerReports(rows));
                }
            }
            Some(body) => self.raft.handle_message(now, from, body),
            None => {}
        }
    }

    /// All writes up to this one are synced.
    pub fn handle_write_done(&mut self, now: Nanos, number: u64) {
        self.raft.handle_write_done(now, number);
    }

    /// The disk refused; nothing is promised any more until a restart.
    pub fn handle_write_failed(&mut self, why: &str) {
        self.raft.fail_storage();
        self.log_event(format!(
            "the group's log cannot be written ({why}): this controller votes and leads no more"
        ));
    }

    /// An operator's order; answered by [`Action::Answer`] with its ticket.
    pub fn submit_order(&mut self, now: Nanos, ticket: u64, payload: CommandPayload) {
        let refusal = match self.role {
            MemberRole::StorageFailed => Some(OrderError::StorageFailed),
            MemberRole::NoLeader => {
                let seats: Vec<MemberId> = self.configured_members();
                let there = seats.iter().filter(|&&seat| self.membership.is_present(seat)).count();
                Some(OrderError::NoLeader {
                    reachable: there,
                    configured: seats.len(),
                    quorum: seats.len() / 2 + 1,
                })
            }
            _ => None,
        };
        match refusal {
            Some(refusal) => self.actions.push(Action::Answer { ticket, result: Err(refusal) }),
            None => self.request_command(now, payload, Some(ticket)),
        }
    }

    /// Own reports of one cycle: to whoever merges them.
    pub fn handle_reports<'a>(&mut self, reported: impl Iterator<Item = &'a EndpointReport>) {
        let Some(held) = self.state_machine.assignment(Duty::MergeReports) else { return };
        let (me, sums, members) = (self.config.id, told(reported), self.configured_members());
        if held.holder != me {
            return self.send(held.holder, Body::ReportTotals(sums));
        }
        self.report_merger.add(me, &sums, &members);
        for to in members {
            let (sums, supervisors) = self.report_merger.take(to);
            if to == me {
                self.actions.push(Action::PeerReports(digests(&sums)));
            } else if self.membership.is_present(to) {
                let others = PeerReports { epoch: held.epoch, totals: Some(sums), reporters: supervisors };
                self.send(to, Body::PeerReports(others));
            }
        }
    }

    /// What servers are like, whenever that changed.
    pub fn update_servers(&mut self, fits: BTreeMap<u32, ServerAvailability>) {
        self.servers = fits;
    }

    /// A forwarder asks for key ranges: see [`RangeGrantor::asked`].
    pub fn handle_range_request(
        &mut self,
        now: Nanos,
        stream: u64,
        seen: u64,
        holds: &[(u32, Epoch)],
    ) -> (u64, Option<Vec<RangeRoute>>) {
        let may = self.may_grant_ranges(now);
        self.range_grantor.handle_request(now, stream, (seen, holds), &self.state_machine, may)
    }

    /// What still stands of key ranges, to be said when one leaves its owner: see [`RangeGrantor::standing`].
    pub fn current_routes(&mut self) -> (u64, Vec<RangeRoute>) {
        self.range_grantor.current_routes(&self.state_machine)
    }

    /// Stops in order: others need not find out.
    pub fn leave(&mut self, now: Nanos) -> Vec<Action> {
        self.membership.leave(now);
        self.poll(now)
    }

    // What follows.

    /// All that is due, and what is to be done about it.
    pub fn poll(&mut self, now: Nanos) -> Vec<Action> {
        self.membership.tick(now);
        self.raft.tick(now);
        if now >= self.review_at {
            self.review_at = now + self.timing.heartbeat_interval();
            self.review(now);
        }
        if now >= self.renew_lease_at {
            self.renew_lease_at = now + self.timing.lease_renewal_interval();
            self.renew_lease(now);
        }
        loop {
            let turn = self.raft.take_output();
            let quiet = turn.messages.is_empty()
                && turn.write.is_none()
                && turn.committed.is_empty()
                && turn.restored_snapshot.is_none();
            self.actions.extend(turn.write.map(Action::Store));
            for (to, body) in turn.messages {
                self.send(to, body);
            }
            if let Some(base) = turn.restored_snapshot {
                self.install_snapshot(&base);
            }
            for entry in turn.committed {
                self.apply(&entry);
            }
            self.assign_cleared_ranges(now);
            if quiet {
                break;
            }
        }
        if self.last_applied >= self.raft.snapshot_index() + SNAPSHOT_EVERY_ENTRIES {
            self.raft.compact(self.last_applied, self.state_machine.encode());
        }
        for change in self.membership.take_changes() {
            let stands = match change.status {
                MemberStatus::Alive => "is there",
                MemberStatus::Suspect => "does not answer",
                MemberStatus::Dead => "is held for dead",
                MemberStatus::Left => "has left",
            };
            self.log_event(format!("controller {} {stands}", change.member));
        }
        for (to, gossip) in self.membership.take_messages() {
            self.send(to, Body::Gossip(gossip));
        }
        self.update_role();
        std::mem::take(&mut self.actions)
    }

    fn update_role(&mut self) {
        let state = match self.raft.leader() {
            _ if self.raft.storage_failed => MemberRole::StorageFailed,
            Some(leader) if leader == self.config.id => MemberRole::Leader,
            Some(leader) => MemberRole::Follower(leader),
            None => MemberRole::NoLeader,
        };
        if state != std::mem::replace(&mut self.role, state) {
            let term = self.raft.term();
            self.log_event(match state {
                MemberRole::Leader => format!("leads the group in term {term}"),
                MemberRole::Follower(leader) => format!("follows controller {leader} in term {term}"),
                MemberRole::NoLeader => {
                    "reaches no leader: tables and rules go on, orders and moves of ranges wait".into()
                }
                MemberRole::StorageFailed => "takes no part in the group any more".into(),
            });
        }
    }

    fn configured_members(&self) -> Vec<MemberId> {
        let seats = self.raft.configuration();
        seats.voters.iter().chain(&seats.learners).map(|seat| seat.id).collect()
    }

    fn send(&mut self, to: MemberId, body: Body) {
        let seats = self.raft.configuration();
        let known = |seats: &[MemberAddress]| {
            seats.iter().find(|seat| seat.id == to).map(|seat| seat.address.clone())
        };
        // What this one's own file says is nearest to how it reaches others.
        let address = known(&self.config.initial_voters)
            .or_else(|| self.membership.address(to).map(str::to_owned))
            .or_else(|| known(&seats.voters))
            .or_else(|| known(&seats.learners));
        if let Some(address) = address {
            let envelope =
                Envelope { from: self.config.id, to, group_hash: self.group_hash, body: Some(body) };
            self.actions.push(Action::Send { to, address, envelope });
        }
    }

    fn install_snapshot(&mut self, base: &crate::wire::Snapshot) {
        match StateMachine::decode(&base.state) {
            Ok(duties) => {
                self.state_machine = duties;
                self.last_applied = base.last_included_index;
                self.actions.push(Action::SnapshotRestored);
                self.log_event(format!(
                    "took over all that was agreed up to entry {}",
                    base.last_included_index
                ));
            }
            Err(error) => {
                self.raft.fail_storage();
                self.log_event(format!("the leader's snapshot cannot be read ({error})"));
            }
        }
    }

    fn apply(&mut self, entry: &Entry) {
        self.last_applied = entry.index;
        self.state_machine.append_to_history(entry);
        let Some(command) = &entry.command else { return };
        let changed = self.state_machine.apply(entry.index, entry.term, command, self.config.injected_fault);
        if let Some(pending) = self.pending.remove(&command.request_id) {
            if let Some(ticket) = pending.ticket {
                let result = match changed {
                    AppliedChange::Rejected(why) => Err(OrderError::Rejected(why)),
                    _ => Ok(entry.index),
                };
                self.actions.push(Action::Answer { ticket, result });
            }
        }
        self.actions.push(Action::Applied(changed));
    }

    /// The leader gives ranges away that nobody can use any more.
    fn assign_cleared_ranges(&mut self, now: Nanos) {
        match self.raft.elected_at().filter(|_| self.raft.is_leader()) {
            None => self.lease_table = None,
            Some(since) => {
                let members = self.configured_members();
                let lease_table =
                    self.lease_table.get_or_insert_with(|| LeaseTable::new(&self.timing, since));
                let mut safe =
                    lease_table.assignable_ranges(now, &self.timing, &self.state_machine, &members);
                if self.config.injected_fault == Some(InjectedFault::NoFence) {
                    let moving = self.state_machine.ranges().iter();
                    safe = moving
                        .filter_map(|(&range, o)| Some((range, o.pending_move.as_ref()?.move_index)))
                        .collect();
                }
                let term = self.raft.term();
                for (range, moved) in safe {
                    self.request_command(
                        now,
                        CommandPayload::AssignRange(AssignRange { range, move_index: moved, term }),
                        None,
                    );
                }
            }
        }
    }

    fn renew_lease(&mut self, now: Nanos) {
        if self.raft.holds_quorum(now) {
            if let Some(lease_table) = &mut self.lease_table {
                lease_table.grant(now, &self.timing, self.config.id);
                self.lease.renew(&self.timing, now, self.last_applied);
            }
        } else if let Some(leader) = self.raft.leader().filter(|&leader| leader != self.config.id) {
            self.send(leader, Body::LeaseRequest(LeaseRequest { sent_at: now }));
        }
    }

    /// What there is to do for whoever leads or holds a duty, and what was asked for and is not answered yet.
    fn review(&mut self, now: Nanos) {
        let me = self.config.id;
        for (range, moved) in self.range_grantor.cleared_moves(now, &self.timing, me, &self.state_machine) {
            self.request_command(
                now,
                CommandPayload::RangeCleared(RangeCleared { range, move_index: moved, by_member: me }),
                None,
            );
        }
        let held: Vec<(Duty, Epoch)> = self
            .state_machine
            .duties()
            .iter()
            .filter(|(_, held)| held.holder == me)
            .map(|(&duty, held)| (duty, held.epoch))
            .collect();
        for (duty, epoch) in held {
            match duty {
                Duty::RunDrains(locality) => {
                    let listed =
                        self.servers.values().filter(|fit| fit.locality == locality && fit.listed).count();
                    for order in drains(&self.state_machine, locality, listed) {
                        self.request_command(
                            now,
                            CommandPayload::BeginDrain(BeginDrain { order_index: order, epoch }),
                            None,
                        );
                    }
                }
                Duty::PlaceRange(range) => {
                    if let Some(to) = next_owner(&self.state_machine, range, &self.servers) {
                        self.request_command(
                            now,
                            CommandPayload::MoveRange(MoveRange { range, to_server: to, epoch }),
                            None,
                        );
                    }
                }
                Duty::MergeReports | Duty::FenceTable(_) => {}
            }
        }
        if self.raft.is_leader() {
            self.review_as_leader(now);
        }
        self.resend_commands(now);
    }

    fn review_as_leader(&mut self, now: Nanos) {
        let seats = self.raft.configuration();
        let voters: Vec<MemberId> = seats.voters.iter().map(|seat| seat.id).collect();
        let there: BTreeSet<MemberId> =
            voters.iter().copied().filter(|&voter| self.membership.is_present(voter)).collect();
        let span = self.timing.stable_span();
        let settled: BTreeSet<MemberId> =
            there.iter().copied().filter(|&voter| self.membership.is_alive_for(now, voter, span)).collect();
        let wanted = self.config.duties.clone();
        for (duty, holder) in assignments(&self.state_machine, &wanted, &there, &settled) {
            self.request_command(
                now,
                CommandPayload::AssignDuty(AssignDuty { duty: Some(duty.into()), holder }),
                None,
            );
        }
        self.change_configuration(now, seats);
    }

    /// One change of seats at a time, as ordered; a learner votes once it has nearly all.
    fn change_configuration(&mut self, now: Nanos, mut seats: Configuration) {
        let is = |seats: &[MemberAddress], number: MemberId| seats.iter().any(|seat| seat.id == number);
        if let Some(seat) = self.raft.learner_ready_to_vote() {
            seats.learners.retain(|other| other.id != seat.id);
            seats.voters.push(seat);
            let _ = self.raft.change_configuration(now, seats);
            return;
        }
        for change in self.state_machine.membership_changes().values() {
            let Some(seat) = &change.member else { continue };
            let (votes, learns) = (is(&seats.voters, seat.id), is(&seats.learners, seat.id));
            let mut next = seats.clone();
            if change.removed && (votes || learns) && (next.voters.len() > 1 || !votes) {
                next.voters.retain(|other| other.id != seat.id);
                next.learners.retain(|other| other.id != seat.id);
            } else if !change.removed && !votes && !learns {
                next.learners.push(seat.clone());
            } else {
                continue;
            }
            // Not now: it is looked at again at the next heartbeat.
            let _ = self.raft.change_configuration(now, next);
            return;
        }
    }

    /// Asks for a command once, until it is carried out or given up.
    fn request_command(&mut self, now: Nanos, payload: CommandPayload, ticket: Option<u64>) {
        let asked = self.pending.values().any(|pending| pending.command.payload.as_ref() == Some(&payload));
        if ticket.is_none() && asked {
            return;
        }
        self.last_request_id += 1;
        let command = Command { request_id: self.last_request_id, payload: Some(payload) };
        let until = now + self.timing.command_timeout();
        self.pending.insert(
            self.last_request_id,
            PendingCommand { command, expires_at: until, ticket, sent_at: None, sent_in_term: 0 },
        );
        self.resend_commands(now);
    }

    fn resend_commands(&mut self, now: Nanos) {
        let over: Vec<u64> =
            self.pending.iter().filter(|(_, pending)| now >= pending.expires_at).map(|(&id, _)| id).collect();
        for id in over {
            let ticket = self.pending.remove(&id).and_then(|pending| pending.ticket);
            self.actions
                .extend(ticket.map(|ticket| Action::Answer { ticket, result: Err(OrderError::TimedOut) }));
        }
        let (leader, term, resend) =
            (self.raft.leader(), self.raft.term(), self.timing.retransmit_interval());
        let due: Vec<Command> = self
            .pending
            .values_mut()
            // Once a term to a leader's own log; to another's every now and then, since messages get lost.
            .filter(|pending| {
                pending.sent_in_term != term
                    || (leader != Some(self.config.id)
                        && pending.sent_at.is_none_or(|sent| now >= sent + resend))
            })
            .map(|pending| {
                (pending.sent_at, pending.sent_in_term) =
                    (Some(now), if leader.is_some() { term } else { 0 });
                pending.command.clone()
            })
            .collect();
        for command in due {
            match leader {
                Some(leader) if leader == self.config.id => self.append_command(now, command),
                Some(leader) => self.send(leader, Body::Proposal(Proposal { command: Some(command) })),
                None => {}
            }
        }
    }

    /// For the leader's log, unless it stands there already.
    fn append_command(&mut self, now: Nanos, command: Command) {
        if !self.state_machine.has_applied(command.request_id)
            && !self.raft.has_uncommitted(command.request_id)
        {
            self.raft.propose(now, command);
        }
    }
}
