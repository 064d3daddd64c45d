//! Balancers that receive weights by SASP: their messages, and weights that are pushed to them.

use std::collections::BTreeMap;

use shalereel::interface::{Event, Nanos, ProxyId, TableId};
use shalereel_rpc::{Code, Status};
use shalereel_xds::NodeInfo;

use super::proxy::{Protocol, SentUpdate};
use super::{Core, Peer, ShellCommand};
use crate::endpoints::{MemberReport, Reporter};
use crate::sasp_front::{BalancerView, IncompleteMessage, SaspEvent};

impl Core {
    /// Handles a newly opened SASP connection.
    pub fn sasp_opened(&mut self, peer: Peer) {
        self.sasp.on_opened(peer);
    }

    /// Handles bytes received on a SASP connection. Returns the incomplete message at their end.
    pub fn handle_sasp(&mut self, now: Nanos, peer: Peer, bytes: &[u8]) -> IncompleteMessage {
        let proxy = self.proxies.values().find(|proxy| proxy.peer == peer);
        let published = proxy.map(|proxy| self.published_tables(&proxy.tables)).unwrap_or_default();
        let view = BalancerView {
            tables: &self.tables,
            endpoints: &self.endpoints,
            operations: &self.deployment.operations,
            assigned_tables: &published,
            now,
            slow_start_duration: self.config.slow_start_duration,
        };
        for event in self.sasp.on_bytes(peer, bytes, &view) {
            self.handle_sasp_event(now, peer, event);
        }
        self.sasp.incomplete_message(peer)
    }

    fn handle_sasp_event(&mut self, now: Nanos, peer: Peer, event: SaspEvent) {
        match event {
            SaspEvent::Write(bytes) => self.commands.push(ShellCommand::WriteSasp { peer, bytes }),
            SaspEvent::Joined { balancer } => self.join_balancer(peer, &balancer),
            SaspEvent::MemberUpdate(report) => self.handle_member_report(now, report),
            SaspEvent::WeightsTaken => {
                if let Some(id) = self.proxy_of_peer(peer) {
                    self.acknowledge_all(now, id);
                }
            }
            SaspEvent::Close(reason) => self.close_stream(peer, Status::new(Code::InvalidArgument, reason)),
        }
    }

    fn join_balancer(&mut self, peer: Peer, balancer: &str) {
        let locality = self.config.locality;
        let node = NodeInfo {
            id: format!("balancer {balancer}"),
            zone: self.deployment.localities[usize::from(locality)].clone(),
            is_new: true,
            ..NodeInfo::default()
        };
        if let Err(status) = self.join(peer, Protocol::Sasp, &node, locality) {
            self.close_stream(peer, status);
        }
    }

    fn handle_member_report(&mut self, now: Nanos, mut report: MemberReport) {
        if self.endpoints.locality(&report.zone).is_none() {
            let own = usize::from(self.config.locality);
            report.zone.clone_from(&self.deployment.localities[own]);
        }
        let event = self.endpoints.apply_member_state(now, &report);
        self.servers_changed = true;
        // A balancer registers thousands of members when it starts, and a list for each would be too much: its report
        // of a member that is present and not quiesced reaches the controller only with the next endpoint list, even if
        // the report ends a quiesce.
        if report.reporter == Reporter::Member || report.quiesced || !report.present {
            self.events.push(Event::Endpoints(event));
        }
    }

    /// Removes the members that were registered on a closed connection.
    pub(super) fn sasp_connection_closed(&mut self, peer: Peer) {
        for event in self.sasp.on_closed(peer) {
            if let SaspEvent::MemberUpdate(report) = event {
                let event = self.endpoints.apply_member_state(self.last_decision_at.unwrap_or(0), &report);
                let reported_by_member = report.reporter == Reporter::Member;
                self.events.extend(reported_by_member.then_some(Event::Endpoints(event)));
            }
        }
    }

    /// Marks everything that a balancer was sent as acknowledged, since SASP has no acknowledgements.
    fn acknowledge_all(&mut self, now: Nanos, id: ProxyId) {
        if let Some(proxy) = self.proxies.get_mut(&id) {
            proxy.unacknowledged.iter_mut().for_each(SentUpdate::acknowledge_all);
            self.confirm_marks(now, id);
        }
    }

    /// A proxy's tables without those that the guard withholds, by operation.
    fn published_tables(&self, tables: &BTreeMap<u16, TableId>) -> BTreeMap<u16, TableId> {
        let published = tables.iter().filter(|(_, &table)| !self.tables.is_withheld(table));
        published.map(|(&operation, &table)| (operation, table)).collect()
    }

    /// Writes weights to a balancer that wants them pushed; a polling balancer receives them with its next request.
    pub(super) fn write_weights(&mut self, now: Nanos, id: ProxyId) {
        let nonce = self.next_number();
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let pending = proxy.take_pending(now);
        let update = SentUpdate { assignment: Some(nonce), ..SentUpdate::new(now, pending.marks) };
        proxy.unacknowledged.push_back(update);
        let peer = proxy.peer;
        let tables = proxy.tables.clone();
        let published = self.published_tables(&tables);
        if published.is_empty() {
            return self.acknowledge_all(now, id);
        }
        if !self.sasp.wants_push(peer) {
            return;
        }
        let view = BalancerView {
            tables: &self.tables,
            endpoints: &self.endpoints,
            operations: &self.deployment.operations,
            assigned_tables: &published,
            now,
            slow_start_duration: self.config.slow_start_duration,
        };
        let bytes = self.sasp.push(peer, &view);
        self.commands.extend(bytes.map(|bytes| ShellCommand::WriteSasp { peer, bytes }));
        self.acknowledge_all(now, id);
    }
}
