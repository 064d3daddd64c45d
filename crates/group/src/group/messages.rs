//! Handling of messages from other members and from forwarders, and exchange of load reports.

use shalereel::interface::{EndpointReport, Nanos};

use super::action::Action;
use super::Group;
use crate::leases::{RouteRequest, RouteResponse};
use crate::report_merge::{decode_reports, encode_reports};
use crate::wire::{
    Body, Duty, Envelope, LeaseGrant, LeaseRequest, MemberAddress, MemberId, PeerReports, Proposal,
};

impl Group {
    /// Handles a message of another member. Messages of other groups or for other members are ignored.
    pub fn handle_message(&mut self, now: Nanos, envelope: Envelope) {
        let from = envelope.from;
        let for_this_member = envelope.to == self.config.id && envelope.group_hash == self.group_hash;
        if !for_this_member || from == self.config.id {
            return;
        }
        match envelope.body {
            Some(Body::Gossip(gossip)) => self.membership.handle_gossip(now, from, gossip),
            Some(Body::Proposal(Proposal { command: Some(command) })) => self.append_command(now, command),
            Some(Body::LeaseRequest(request)) => self.handle_lease_request(now, from, &request),
            Some(Body::LeaseGrant(grant)) => self.handle_lease_grant(now, &grant),
            Some(Body::ReportTotals(totals)) => {
                let members = self.configured_members();
                self.report_merger.add(from, &totals, &members);
            }
            Some(Body::PeerReports(reports)) => self.handle_peer_reports(reports),
            Some(body) => self.raft.handle_message(now, from, body),
            None => {}
        }
    }

    fn handle_lease_request(&mut self, now: Nanos, from: MemberId, request: &LeaseRequest) {
        if !self.raft.holds_quorum(now) {
            return;
        }
        let Some(lease_table) = &mut self.lease_table else { return };
        lease_table.grant(now, &self.timing, from);
        let grant = LeaseGrant { request_sent_at: request.sent_at, commit_index: self.last_applied };
        self.send(from, Body::LeaseGrant(grant));
    }

    fn handle_lease_grant(&mut self, now: Nanos, grant: &LeaseGrant) {
        // A request time in the future, which this member never sent, must not extend the lease.
        let requested_at = grant.request_sent_at.min(now);
        self.lease.renew(&self.timing, requested_at, grant.commit_index);
    }

    /// Renews this member's lease: it requests one from the leader, or grants it to itself if it leads.
    pub(super) fn renew_lease(&mut self, now: Nanos) {
        if self.raft.holds_quorum(now) {
            if let Some(lease_table) = &mut self.lease_table {
                lease_table.grant(now, &self.timing, self.config.id);
                self.lease.renew(&self.timing, now, self.last_applied);
            }
        } else if let Some(leader) = self.raft.leader().filter(|&leader| leader != self.config.id) {
            self.send(leader, Body::LeaseRequest(LeaseRequest { sent_at: now }));
        }
    }

    /// Accepts merged reports, unless their sender no longer holds the duty to merge.
    fn handle_peer_reports(&mut self, reports: PeerReports) {
        let agreed_epoch = self.state_machine.assignment(Duty::MergeReports).map_or(0, |held| held.epoch);
        if self.enforces_fencing() && reports.epoch < self.reports_epoch.max(agreed_epoch) {
            return;
        }
        self.reports_epoch = reports.epoch;
        let rows = decode_reports(&reports.totals.unwrap_or_default());
        self.actions.push(Action::PeerReports(rows));
    }

    /// Handles the load reports of this member's forwarders for one cycle: sends them to the holder of the duty to
    /// merge, or merges and distributes them if this member holds it.
    pub fn handle_reports<'a>(&mut self, reports: impl Iterator<Item = &'a EndpointReport>) {
        let Some(merger) = self.state_machine.assignment(Duty::MergeReports) else { return };
        let totals = encode_reports(reports);
        if merger.holder != self.config.id {
            return self.send(merger.holder, Body::ReportTotals(totals));
        }
        let members = self.configured_members();
        self.report_merger.add(self.config.id, &totals, &members);
        for to in members {
            let merged = self.report_merger.take(to);
            if to == self.config.id {
                self.actions.push(Action::PeerReports(decode_reports(&merged.totals)));
            } else if self.membership.is_present(to) {
                let reports = PeerReports {
                    epoch: merger.epoch,
                    totals: Some(merged.totals),
                    reporters: merged.reporters,
                };
                self.send(to, Body::PeerReports(reports));
            }
        }
    }

    /// Answers a forwarder's request for routes; see
    /// [`RangeGrantor::handle_request`](crate::RangeGrantor::handle_request).
    pub fn handle_range_request(&mut self, now: Nanos, stream: u64, request: &RouteRequest) -> RouteResponse {
        let lease_is_valid = self.may_grant_ranges(now);
        self.range_grantor.handle_request(now, stream, request, &self.state_machine, lease_is_valid)
    }

    /// The current routes, to be pushed to forwarders when a range is withdrawn.
    pub fn current_routes(&mut self) -> RouteResponse {
        self.range_grantor.current_routes(&self.state_machine)
    }

    /// Sends a message to a member; it is dropped if the member's address is unknown.
    pub(super) fn send(&mut self, to: MemberId, body: Body) {
        let Some(address) = self.address_of(to) else { return };
        let envelope = Envelope { from: self.config.id, to, group_hash: self.group_hash, body: Some(body) };
        self.actions.push(Action::Send { to, address, envelope });
    }

    /// Address of a member: from this member's own configuration if it is there, else from gossip, else from the log.
    fn address_of(&self, member: MemberId) -> Option<String> {
        let configured = self.config.initial_voters.iter().find(|voter| voter.id == member);
        let configured = configured.map(|voter| voter.address.clone());
        let gossiped = || self.membership.address(member).map(str::to_owned);
        let is_member = |address: &&MemberAddress| address.id == member;
        let agreed =
            || self.raft.configuration().members().find(is_member).map(|member| member.address.clone());
        configured.or_else(gossiped).or_else(agreed)
    }
}
