//! Effects of the [`Core`](crate::Core), carried out on sockets, timers and files.

use shalereel_reactor::now;
use shalereel_rpc::Status;

use super::{Daemon, TimerKind};
use crate::core::{Effect, Peer};

impl Daemon {
    pub(super) fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Group(wanted) => self.carry_out_for_group(wanted),
            Effect::Memory(body) => self.persistence.write_snapshot(body),
            Effect::History(write) => self.persistence.write_table_history(write),
            Effect::Say { peer, message } => {
                if let Some(call) = self.peers.get(&peer) {
                    self.hub.send_framed(call.conn, call.stream, message);
                }
            }
            Effect::Write { peer, bytes } => {
                if let Some(&conn) = self.balancer_conns.get(&peer) {
                    self.hub.write(conn, &bytes);
                }
            }
            Effect::End { peer, status } => self.terminate(peer, status),
            Effect::Listen(subscribed) => self.set_subscribed(subscribed),
            Effect::AskList => self.poll_registry(),
            Effect::Probe { server, address } => self.start_health_check(server, address),
            Effect::Remark(line) => tracing::info!(remark = line),
            Effect::Odd(line) => tracing::warn!("{line}"),
            Effect::Remember => self.schedule_endpoint_list_write(),
        }
    }

    fn terminate(&mut self, peer: Peer, status: Status) {
        tracing::warn!(peer, %status, "stream terminated");
        if let Some(conn) = self.balancer_conns.remove(&peer) {
            self.balancer_peers.remove(&conn);
            self.hub.close(conn, false);
        }
        if let Some(call) = self.peers.remove(&peer) {
            self.calls.remove(&call);
            // A peer that does not read would never see a status.
            if self.hub.unread(call.conn, call.stream) > 0 {
                self.hub.cancel(call.conn, call.stream);
            } else {
                self.hub.finish(call.conn, call.stream, status);
            }
        }
    }

    /// Delays the write, so that what follows from the list is sent first.
    fn schedule_endpoint_list_write(&mut self) {
        if !std::mem::replace(&mut self.persistence.endpoint_list_due, true) {
            self.hub.set(self.limits.list_write_at(now()), TimerKind::StoreEndpointList);
        }
    }
}
