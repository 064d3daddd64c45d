//! One member of a group: combines membership, replicated log, state machine, leases and merged reports, driven by
//! [`Group::poll`]. Performs no I/O and reads no clock: the supervisor passes in messages, finished writes and the
//! time, and performs the returned [`Action`]s.

mod action;
mod apply;
mod commands;
mod config;
mod log_event;
mod messages;
mod pending;
mod review;
mod status;

use std::collections::BTreeMap;

use shalereel::interface::Nanos;

use crate::fault::InjectedFault;
use crate::leases::{LeaseTable, MemberLease, RangeGrantor};
use crate::membership::Membership;
use crate::placement::ServerAvailability;
use crate::raft::Raft;
use crate::report_merge::ReportMerger;
use crate::state_machine::StateMachine;
use crate::storage::StoredLog;
use crate::timing::Timing;
use crate::wire::{Body, Configuration, Duty, Epoch, LogIndex, MemberId};

use pending::PendingCommand;

pub use action::{Action, OrderError};
pub use config::GroupConfig;
pub use log_event::LogEvent;
pub use status::{LogStatus, MemberRole};

/// Applied entries after which a snapshot is taken; this bounds the log file and its replay at a start.
const SNAPSHOT_EVERY_ENTRIES: u64 = 512;
/// A request id is the member's number, the low bits of its start count, and a counter.
const REQUEST_MEMBER_SHIFT: u32 = 48;
const REQUEST_START_SHIFT: u32 = 32;
const REQUEST_START_MASK: u64 = 0xffff;

/// One member of a group.
#[derive(Debug)]
pub struct Group {
    config: GroupConfig,
    timing: Timing,
    /// CRC-32C of the group's name: messages of other groups are ignored.
    group_hash: u64,
    raft: Raft,
    membership: Membership,
    state_machine: StateMachine,
    last_applied: LogIndex,
    lease: MemberLease,
    renew_lease_at: Nanos,
    /// Present while this member leads.
    lease_table: Option<LeaseTable>,
    range_grantor: RangeGrantor,
    report_merger: ReportMerger,
    /// Epoch of the last accepted merged reports; those of lower epochs are ignored.
    reports_epoch: Epoch,
    servers: BTreeMap<u32, ServerAvailability>,
    /// Commands that are not applied yet, by request id.
    pending: BTreeMap<u64, PendingCommand>,
    last_request_id: u64,
    /// When the next periodic review is due.
    review_at: Nanos,
    role: MemberRole,
    actions: Vec<Action>,
}

impl Group {
    /// A member that starts now. `stored` is the content of its log file; `None` at its first start.
    pub fn new(config: GroupConfig, now: Nanos, stored: Option<StoredLog>) -> Self {
        let timing = Timing::new(config.timing);
        let mut stored = stored.unwrap_or_default();
        if stored.snapshot.last_included_index == 0 {
            stored.snapshot.configuration = Some(config.initial_configuration());
        }
        let state_machine = StateMachine::decode(&stored.snapshot.state);
        let state_is_unreadable = state_machine.is_err();
        let last_applied = stored.snapshot.last_included_index;
        let (id, seed) = (config.id, config.seed);
        let raft = Raft::new(id, now, stored, timing, seed, config.injected_fault);
        let start_count = raft.start_count();
        let mut group = Group {
            timing,
            group_hash: u64::from(crc32c::crc32c(config.name.as_bytes())),
            raft,
            membership: Membership::new(id, &config.address, start_count, &config.seeds(), timing, seed),
            state_machine: state_machine.unwrap_or_default(),
            last_applied,
            lease: MemberLease::default(),
            renew_lease_at: now,
            lease_table: None,
            range_grantor: RangeGrantor::new(&timing, now),
            report_merger: ReportMerger::default(),
            reports_epoch: 0,
            servers: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_request_id: first_request_id(id, start_count),
            review_at: now,
            role: MemberRole::NoLeader,
            actions: Vec::new(),
            config,
        };
        if state_is_unreadable {
            // The entries after the snapshot cannot be applied without its state.
            group.raft.stop_participating();
            group.log(LogEvent::StoredStateUnreadable);
        }
        group
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    /// This member's number.
    pub fn id(&self) -> MemberId {
        self.config.id
    }

    /// This member's view of all members.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The replicated state machine, as far as this member has applied the log.
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// The newest configuration, committed or not.
    pub fn configuration(&self) -> Configuration {
        self.raft.configuration()
    }

    /// Term and indexes of this member's log.
    pub fn log_status(&self) -> LogStatus {
        LogStatus {
            term: self.raft.term(),
            last_index: self.raft.last_index(),
            commit_index: self.raft.commit_index(),
            last_applied: self.last_applied,
            snapshot_index: self.raft.snapshot_index(),
        }
    }

    /// This member's role, as of the last [`Group::poll`].
    pub fn role(&self) -> MemberRole {
        self.role
    }

    /// Whether this member leads and has committed an entry of its term.
    pub fn is_leader(&self) -> bool {
        self.raft.is_leader()
    }

    /// Whether this member may grant routes to forwarders now.
    pub fn may_grant_ranges(&self, now: Nanos) -> bool {
        self.lease.is_valid(now, self.last_applied) || !self.enforces_fencing()
    }

    fn enforces_fencing(&self) -> bool {
        self.config.injected_fault != Some(InjectedFault::NoFencing)
    }

    /// The highest epoch of any duty to fence a table. Every published table carries at least this epoch.
    pub fn min_table_epoch(&self) -> Epoch {
        let duties = self.state_machine.duties().iter();
        let tables = duties.filter(|(duty, _)| matches!(duty, Duty::FenceTable(_)));
        tables.map(|(_, assignment)| assignment.epoch).max().unwrap_or(0)
    }

    /// How long a forwarder may use a route after its request, in nanoseconds.
    pub fn tenure(&self) -> Nanos {
        self.timing.tenure()
    }

    /// When [`Group::poll`] must be called next.
    pub fn next_deadline(&self) -> Nanos {
        let cleared = self.range_grantor.next_deadline(&self.timing, &self.state_machine);
        let cleared = cleared.unwrap_or(Nanos::MAX).max(self.review_at);
        let raft = self.raft.next_deadline().min(self.membership.next_deadline());
        raft.min(self.review_at).min(self.renew_lease_at).min(cleared)
    }

    /// Handles the completion of all writes up to this sequence number.
    pub fn handle_write_done(&mut self, now: Nanos, sequence: u64) {
        self.raft.handle_write_done(now, sequence);
    }

    /// Handles a failed write: until a restart this member neither votes, leads nor acknowledges.
    pub fn handle_write_failed(&mut self, reason: &str) {
        self.raft.stop_participating();
        self.log(LogEvent::WriteFailed { reason: reason.to_owned() });
    }

    /// Updates the servers' availability; to be called whenever it changes.
    pub fn update_servers(&mut self, servers: BTreeMap<u32, ServerAvailability>) {
        self.servers = servers;
    }

    /// Announces to the other members that this one leaves, so that they do not have to detect it by probes.
    pub fn leave(&mut self, now: Nanos) -> Vec<Action> {
        self.membership.leave(now);
        self.poll(now)
    }

    /// Performs what is due and returns the actions that the supervisor must perform, in order.
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
        self.take_raft_outputs(now);
        if self.last_applied >= self.raft.snapshot_index() + SNAPSHOT_EVERY_ENTRIES {
            self.raft.compact(self.last_applied, self.state_machine.encode());
        }
        for change in self.membership.take_changes() {
            self.log(LogEvent::StatusChanged { member: change.member, status: change.status });
        }
        for (to, gossip) in self.membership.take_messages() {
            self.send(to, Body::Gossip(gossip));
        }
        self.update_role();
        std::mem::take(&mut self.actions)
    }

    /// Processes the log's output until there is no more: applying entries may produce further output.
    fn take_raft_outputs(&mut self, now: Nanos) {
        loop {
            let output = self.raft.take_output();
            let is_last = output.is_empty();
            self.actions.extend(output.write.map(Action::Store));
            for (to, body) in output.messages {
                self.send(to, body);
            }
            if let Some(snapshot) = output.restored_snapshot {
                self.install_snapshot(&snapshot);
            }
            for entry in output.committed {
                self.apply(&entry);
            }
            self.assign_cleared_ranges(now);
            if is_last {
                break;
            }
        }
    }

    fn update_role(&mut self) {
        let role = match self.raft.leader() {
            _ if self.raft.has_stopped() => MemberRole::Stopped,
            Some(leader) if leader == self.config.id => MemberRole::Leader,
            Some(leader) => MemberRole::Follower(leader),
            None => MemberRole::NoLeader,
        };
        if role != std::mem::replace(&mut self.role, role) {
            self.log(LogEvent::RoleChanged { role, term: self.raft.term() });
        }
    }

    fn configured_members(&self) -> Vec<MemberId> {
        self.raft.configuration().members().map(|member| member.id).collect()
    }
}

fn first_request_id(id: MemberId, start_count: u64) -> u64 {
    (u64::from(id) + 1) << REQUEST_MEMBER_SHIFT | (start_count & REQUEST_START_MASK) << REQUEST_START_SHIFT
}
