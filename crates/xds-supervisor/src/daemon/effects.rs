//! Execution of the [`Core`](crate::Core)'s commands on sockets, timers and files.

use shalereel_reactor::now;
use shalereel_rpc::Status;

use super::{Daemon, TimerKind};
use crate::core::{Peer, ShellCommand};

impl Daemon {
    pub(super) fn execute(&mut self, command: ShellCommand) {
        match command {
            ShellCommand::Group(command) => self.execute_group_command(command),
            ShellCommand::StoreSnapshot(body) => self.persistence.write_snapshot(body),
            ShellCommand::StoreTables(write) => self.persistence.write_table_history(write),
            ShellCommand::Send { peer, message } => {
                if let Some(call) = self.peers.get(&peer) {
                    self.hub.send_framed(call.conn, call.stream, message);
                }
            }
            ShellCommand::WriteSasp { peer, bytes } => {
                if let Some(&conn) = self.balancer_conns.get(&peer) {
                    self.hub.write(conn, &bytes);
                }
            }
            ShellCommand::CloseStream { peer, status } => self.terminate(peer, status),
            ShellCommand::WatchEndpoints(watching) => self.set_watching(watching),
            ShellCommand::FetchEndpoints => self.fetch_list(),
            ShellCommand::CheckHealth { server, address } => self.start_health_check(server, address),
            ShellCommand::LogDecision(line) => tracing::info!(remark = line),
            ShellCommand::Warn(warning) => warning.log(),
            ShellCommand::StoreEndpointList => self.schedule_endpoint_list_write(),
        }
    }

    fn terminate(&mut self, peer: Peer, status: Status) {
        tracing::warn!(peer, %status, "stream terminated");
        if let Some(conn) = self.balancer_conns.remove(&peer) {
            self.balancer_peers.remove(&conn);
            self.hub.close(conn);
        }
        if let Some(call) = self.peers.remove(&peer) {
            self.calls.remove(&call);
            // A peer that does not read would never receive a status.
            if self.hub.unsent_call_bytes(call.conn, call.stream) > 0 {
                self.hub.cancel(call.conn, call.stream);
            } else {
                self.hub.finish(call.conn, call.stream, status);
            }
        }
    }

    /// Schedules a write of the endpoint list; the delay lets updates that result from the list be sent first.
    fn schedule_endpoint_list_write(&mut self) {
        if !std::mem::replace(&mut self.persistence.endpoint_list_due, true) {
            self.hub.set_timer(self.limits.list_write_at(now()), TimerKind::StoreEndpointList);
        }
    }
}
