//! Updates to discovery clients: all resources whose version differs from the last sent one.

use std::collections::BTreeSet;

use shalereel::interface::{Nanos, ProxyId, RetryPolicy, TableId};
use shalereel_rpc::frame;
use shalereel_xds::{leds, types, Response, ServerStream, Variant, EXCLUDED};

use super::proxy::{Protocol, Proxy, SentDelta, SentUpdate};
use super::resources::{
    encode_delta, encode_resource, Content, DeltaKey, EncodedDelta, EncodedResponse, ResponseCache,
    ResponseKey, VersionedContent,
};
use super::{Core, Peer, ShellCommand, LISTENER_NAME};
use crate::endpoints::EndpointList;
use crate::group_member::GroupMember;
use crate::tables::Tables;

/// Number of variants of [`RetryPolicy`](shalereel::interface::RetryPolicy). It is the base of the number that encodes
/// the policies of all operations: 16 operations fit 64 bits.
const RETRY_POLICIES: u64 = 4;

impl Core {
    /// Writes to each unblocked proxy that has a pending update or is due for a retry.
    pub(super) fn write_updates(&mut self, now: Nanos, blocked: impl Fn(Peer) -> bool) {
        let is_due =
            |proxy: &Proxy| proxy.pending.is_some() || proxy.retry_at.is_some_and(|retry_at| retry_at <= now);
        let due = self.proxies.iter().filter(|(_, proxy)| is_due(proxy) && !blocked(proxy.peer));
        let due: Vec<ProxyId> = due.map(|(&id, _)| id).collect();
        for id in due {
            self.write_update(now, id);
        }
    }

    fn write_update(&mut self, now: Nanos, id: ProxyId) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        proxy.retry_at = None;
        if proxy.protocol == Protocol::Sasp {
            return self.write_weights(now, id);
        }
        let pending = proxy.take_pending(now);
        let Some(stream) = self.streams.get_mut(&proxy.peer) else { return };
        let mut writer = UpdateWriter {
            now,
            queued_at: pending.queued_at,
            update: SentUpdate::new(now, pending.marks),
            proxy,
            stream: &mut stream.server,
            tables: &mut self.tables,
            endpoints: &self.endpoints,
            operations: &self.deployment.operations,
            epoch: self.group.as_ref().map(GroupMember::epoch),
            identity: &self.identity,
            cache: &mut self.cache,
            last_nonce: &mut self.last_nonce,
            commands: &mut self.commands,
        };
        writer.write();
        let update = writer.update;
        proxy.unacknowledged.push_back(update);
        self.confirm_marks(now, id);
    }
}

/// Writer of one update of one proxy.
struct UpdateWriter<'a> {
    now: Nanos,
    queued_at: Nanos,
    update: SentUpdate,
    proxy: &'a mut Proxy,
    stream: &'a mut ServerStream,
    tables: &'a mut Tables,
    endpoints: &'a EndpointList,
    operations: &'a [String],
    /// Epoch of the group, if there is one.
    epoch: Option<u64>,
    identity: &'a str,
    cache: &'a mut ResponseCache,
    last_nonce: &'a mut u64,
    commands: &'a mut Vec<ShellCommand>,
}

impl UpdateWriter<'_> {
    fn write(&mut self) {
        let assigned = self.assigned_tables();
        let mut assignments = self.changed_exclusions();
        assignments.extend(self.changed_assignments(&assigned));
        let routes = self.changed_routes();
        if let Some(nonce) = self.send_contents(types::ASSIGNMENT, assignments) {
            self.update.assignment = Some(nonce);
        }
        if let Some(nonce) = self.send_contents(types::ROUTES, routes) {
            self.update.routes = Some(nonce);
        }
        if self.proxy.supports_lines {
            let collections = assigned.into_iter().map(|(_, table)| table).collect();
            self.send_deltas(&collections);
        }
    }

    /// Published tables of the operations that the client has subscribed to.
    fn assigned_tables(&self) -> Vec<(u16, TableId)> {
        let is_sent = |&(operation, table): &(u16, TableId)| {
            let name = &self.operations[usize::from(operation)];
            self.stream.is_subscribed(types::ASSIGNMENT, name) && !self.tables.is_withheld(table)
        };
        self.proxy.tables.iter().map(|(&operation, &table)| (operation, table)).filter(is_sent).collect()
    }

    fn changed_exclusions(&mut self) -> Vec<VersionedContent> {
        let version = (self.tables.excluded_version(), self.endpoints.address_version());
        let is_sent = self.stream.is_subscribed(types::ASSIGNMENT, EXCLUDED) && version.0 > 0;
        if is_sent && self.proxy.update_version(EXCLUDED, version) {
            vec![VersionedContent { content: Content::ExcludedServers, version }]
        } else {
            Vec::new()
        }
    }

    fn changed_assignments(&mut self, assigned: &[(u16, TableId)]) -> Vec<VersionedContent> {
        let mut changed = Vec::new();
        for &(operation, table) in assigned {
            let versioned = self.assignment(operation, table);
            let name = &self.operations[usize::from(operation)];
            if self.proxy.update_version(name, versioned.version) {
                changed.push(versioned);
            }
        }
        changed
    }

    fn assignment(&self, operation: u16, table: TableId) -> VersionedContent {
        if self.proxy.supports_lines {
            let admitted = self.tables.admission_limit(table, operation).to_bits();
            let content = Content::Collection { table, operation };
            return VersionedContent { content, version: (admitted, table.into()) };
        }
        let version = (self.tables.version(table), self.endpoints.address_version());
        VersionedContent { content: Content::Assignment { table, operation }, version }
    }

    fn changed_routes(&mut self) -> Vec<VersionedContent> {
        let policy = |operation: u16| match self.proxy.tables.get(&operation) {
            Some(&table) => self.tables.retry_policy(table, operation),
            None => RetryPolicy::Never,
        };
        let policies: Vec<RetryPolicy> = (0..self.operations.len() as u16).map(policy).collect();
        // Encodes the policies, so that different policies have different versions.
        let number = policies.iter().fold(1, |number, &policy| number * RETRY_POLICIES + policy as u64);
        let is_sent =
            !self.proxy.tables.is_empty() && self.stream.is_subscribed(types::ROUTES, LISTENER_NAME);
        if is_sent && self.proxy.update_version(types::ROUTES, (number, 0)) {
            vec![VersionedContent { content: Content::Routes(policies), version: (number, 0) }]
        } else {
            Vec::new()
        }
    }

    /// Sends resources of one type in one response, and returns its nonce.
    fn send_contents(&mut self, type_url: &str, contents: Vec<VersionedContent>) -> Option<u64> {
        if contents.is_empty() {
            return None;
        }
        let incremental = self.stream.variant() == Variant::Incremental;
        let key = ResponseKey { incremental, queued_at: self.queued_at, contents };
        let cached = self.cache.responses.get(&key).cloned();
        let encoded = match cached {
            Some(encoded) => encoded,
            None => {
                let encoded = self.encode(type_url, &key);
                self.cache.responses.insert(key, encoded.clone());
                encoded
            }
        };
        self.stream.expect_ack(type_url, encoded.nonce);
        self.commands.push(ShellCommand::Send { peer: self.proxy.peer, message: encoded.message });
        Some(encoded.nonce)
    }

    fn encode(&mut self, type_url: &str, key: &ResponseKey) -> EncodedResponse {
        let nonce = self.next_nonce();
        let version = match self.epoch {
            Some(epoch) => format!("{epoch}/{nonce}"),
            None => nonce.to_string(),
        };
        let resources = key
            .contents
            .iter()
            .map(|versioned| encode_resource(self.tables, self.endpoints, self.operations, versioned))
            .collect();
        let response = Response {
            type_url,
            version: &version,
            resources,
            removed: Vec::new(),
            nonce,
            stamp: self.queued_at,
        };
        let message = frame(&response.encode(self.stream.variant(), self.identity));
        EncodedResponse { nonce, message }
    }

    /// Sends, for each collection, the lines that the client lacks.
    fn send_deltas(&mut self, collections: &BTreeSet<TableId>) {
        // A proxy without a table may already have reported the versions that it holds; its subscriptions are kept for
        // the table that it will be assigned.
        if !self.proxy.tables.is_empty() {
            self.proxy.subscriptions.retain(|table, _| collections.contains(table));
        }
        for &table in collections {
            if self.stream.is_subscribed(types::LINE, &leds::collection(table)) {
                self.send_delta(table);
            } else {
                self.update.awaits_subscription |= self.tables.store.newest_version(table) > 0;
            }
        }
    }

    fn send_delta(&mut self, table: TableId) {
        let subscription = self.proxy.subscriptions.entry(table).or_default();
        let Some(base) = subscription.next_base(&self.tables.store, table) else { return };
        let Some(delta) = self.delta(DeltaKey { table, base, queued_at: self.queued_at }) else { return };
        if let Some(subscription) = self.proxy.subscriptions.get_mut(&table) {
            subscription.on_sent(self.now, delta.version);
        }
        self.proxy.charged_tables.remove(&table);
        self.stream.expect_ack(types::LINE, delta.nonce);
        self.proxy.sent_deltas.push_back(SentDelta { nonce: delta.nonce, table, version: delta.version });
        self.update.lines = Some(delta.nonce);
        for earlier in self.proxy.unacknowledged.iter_mut().filter(|update| update.awaits_subscription) {
            earlier.awaits_subscription = false;
            earlier.lines = Some(delta.nonce);
        }
        self.commands.push(ShellCommand::Send { peer: self.proxy.peer, message: delta.message });
    }

    fn delta(&mut self, key: DeltaKey) -> Option<EncodedDelta> {
        if let Some(delta) = self.cache.deltas.get(&key) {
            return Some(delta.clone());
        }
        let nonce = self.next_nonce();
        let delta = encode_delta(self.tables, key, nonce, self.epoch, self.identity)?;
        self.cache.deltas.insert(key, delta.clone());
        Some(delta)
    }

    fn next_nonce(&mut self) -> u64 {
        *self.last_nonce += 1;
        *self.last_nonce
    }
}
