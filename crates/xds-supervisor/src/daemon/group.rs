//! Streams of the group: those of members, of proxies that request key ranges, and of operators.

use std::collections::BTreeMap;
use std::os::unix::net::UnixStream;

use shalereel_group::wire::{CONTROL_PATH, MEMBER_STREAM_PATH, RANGES_STREAM_PATH};
use shalereel_group::{encode_records, StoredLog, LOG_FILE_MAGIC};
use shalereel_reactor::{now, Nanos};
use shalereel_rpc::Status;

use super::{CallId, CallKind, Daemon, DaemonError};
use crate::client_limits::MAX_MESSAGE_BYTES;
use crate::core::Peer;
use crate::group_member::{GroupCommand, GroupMember, GroupSettings};
use crate::storage::{read_file, FileWriter, WriteRequest, GROUP_LOG_FILE};

/// Outbound streams to the other members, by the member's number.
#[derive(Default)]
pub(super) struct MemberStreams {
    streams: BTreeMap<u32, CallId>,
    /// Earliest time of the next dial of each member, ns.
    dial_after: BTreeMap<u32, Nanos>,
}

impl Daemon {
    /// Joins the group that the deployment names, if any.
    pub(super) fn join_group(&mut self, wake: UnixStream) -> Result<(), DaemonError> {
        let Some(group) = self.deployment.group.clone() else { return Ok(()) };
        let folder = &self.deployment.folder;
        let path = folder.join(GROUP_LOG_FILE);
        let file = read_file(folder, GROUP_LOG_FILE)?;
        let log = match file.as_deref().map(StoredLog::read).transpose() {
            Ok(log) => log,
            Err(error) => return Err(DaemonError::GroupLog { path, error }),
        };
        let complete_bytes = log.as_ref().map(|log| log.complete_bytes);
        let file_bytes = file.map_or(0, |file| file.len());
        let torn_bytes = file_bytes - complete_bytes.unwrap_or(file_bytes);
        if torn_bytes > 0 {
            tracing::warn!(file = %path.display(), torn_bytes, "torn write truncated");
        }
        self.persistence.group_log =
            Some(FileWriter::open(folder, GROUP_LOG_FILE, LOG_FILE_MAGIC, complete_bytes, wake)?);
        let settings = GroupSettings {
            operations: self.deployment.operations.clone(),
            localities: self.deployment.localities.clone(),
            range_count: group.range_count,
        };
        self.core.join_group(GroupMember::new(group.config, now(), log, settings));
        Ok(())
    }

    pub(super) fn on_group_call(&mut self, call: CallId, peer: Peer, path: &str) {
        let Some((group, _)) = self.core.group() else {
            return self.reject(call, "this supervisor shares nothing: its file has no [shared]");
        };
        let kind = match path {
            MEMBER_STREAM_PATH => CallKind::MemberInbound,
            RANGES_STREAM_PATH => {
                group.range_stream_opened(peer);
                CallKind::RangeClient(peer)
            }
            CONTROL_PATH => CallKind::GroupOrder(peer),
            _ => return,
        };
        self.accept(call, peer, kind);
    }

    pub(super) fn on_group_message(&mut self, call: CallId, kind: CallKind, message: &[u8]) {
        let Some((group, endpoints)) = self.core.group() else { return };
        let result = match kind {
            CallKind::MemberInbound => group.handle_member_message(now(), message),
            CallKind::RangeClient(peer) => group.handle_ranges_request(now(), peer, message, endpoints),
            CallKind::GroupOrder(peer) => group.handle_control(now(), peer, message),
            _ => Ok(()),
        };
        if let Err(status) = result {
            self.on_call_ended(call, &status.to_string());
            self.hub.finish(call.conn, call.stream, status);
        }
    }

    pub(super) fn execute_group_command(&mut self, command: GroupCommand) {
        match command {
            GroupCommand::SendToMember { to, address, message } => {
                self.send_to_member(to, &address, &message)
            }
            GroupCommand::StoreLog(write) => {
                if let Some(writer) = &self.persistence.group_log {
                    writer.write(WriteRequest {
                        sequence: write.sequence,
                        replaces_file: write.replaces_file,
                        records: vec![encode_records(&write.records).into()],
                    });
                }
            }
            GroupCommand::AnswerOperator { peer, result } => self.answer_group_order(peer, result),
            GroupCommand::SendRanges { peer, message } => {
                if let Some(call) = self.peers.get(&peer) {
                    self.hub.send(call.conn, call.stream, &message);
                }
            }
            GroupCommand::Log(line) => tracing::info!(group = line),
        }
    }

    fn answer_group_order(&mut self, peer: Peer, result: Result<Vec<u8>, Status>) {
        let Some(call) = self.peers.remove(&peer) else { return };
        self.calls.remove(&call);
        let status = match result {
            Ok(message) => {
                self.hub.send(call.conn, call.stream, &message);
                Status::OK
            }
            Err(status) => status,
        };
        self.hub.finish(call.conn, call.stream, status);
    }

    /// Sends a message to a member, or drops it if the member cannot be reached: the group retransmits lost messages.
    fn send_to_member(&mut self, member: u32, address: &str, message: &[u8]) {
        if !self.member_streams.streams.contains_key(&member) {
            self.dial_member(member, address);
        }
        if let Some(call) = self.member_streams.streams.get(&member) {
            // Guards against unbounded buffering for a member that does not read.
            if self.hub.unsent_call_bytes(call.conn, call.stream) < MAX_MESSAGE_BYTES {
                self.hub.send(call.conn, call.stream, message);
            }
        }
    }

    fn dial_member(&mut self, member: u32, address: &str) {
        if self.member_streams.dial_after.get(&member).is_some_and(|&after| now() < after) {
            return;
        }
        self.member_streams.dial_after.insert(member, self.limits.member_redial_at(now()));
        let Ok(address) = address.parse() else { return };
        let Ok(conn) = self.hub.dial(address) else { return };
        let Some(stream) = self.hub.call(conn, MEMBER_STREAM_PATH, None) else { return };
        let call = CallId { conn, stream };
        self.calls.insert(call, CallKind::MemberOutbound(member));
        self.member_streams.streams.insert(member, call);
    }

    pub(super) fn on_member_lost(&mut self, member: u32) {
        if let Some(call) = self.member_streams.streams.remove(&member) {
            self.calls.remove(&call);
            self.hub.close(call.conn);
        }
    }
}
