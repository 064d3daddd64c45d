//! The snapshot of what the controller has learned: taken for the snapshot file, and restored from it
//! (`docs/memory.md`).

use shalereel::interface::{Event, Nanos, ProxyId};
use shalereel_snapshot::{RejectReason, StoredSnapshot};
use shalereel_xds::NodeInfo;

use super::{Core, ShellCommand};

/// A snapshot of an earlier run.
pub(super) struct RestoredSnapshot {
    snapshot: StoredSnapshot,
    /// Age of the snapshot when this run began, ns.
    age_at_start: Nanos,
    started_at: Nanos,
}

impl Core {
    /// Restores the snapshot of an earlier run and returns its age, ns. The controller is given it with the first
    /// endpoint list.
    ///
    /// # Errors
    ///
    /// The snapshot is too old or from the future; nothing of it is restored.
    pub fn restore_snapshot(&mut self, now: Nanos, snapshot: StoredSnapshot) -> Result<Nanos, RejectReason> {
        let age_at_start = self.freshness.age(snapshot.taken_at, now + self.wall_clock_offset)?;
        self.restored = Some(RestoredSnapshot { snapshot, age_at_start, started_at: now });
        if self.events.iter().any(|event| matches!(event, Event::Endpoints(_))) {
            self.apply_snapshot(now);
        }
        Ok(age_at_start)
    }

    /// Passes the restored snapshot to the controller, once, after the first endpoint list.
    pub(super) fn apply_snapshot(&mut self, now: Nanos) {
        let Some(restored) = self.restored.as_ref().filter(|_| !self.snapshot_applied) else { return };
        let snapshot = restored.snapshot.for_current_incarnations(|server| {
            self.endpoints.endpoint(server).map(|_| self.endpoints.incarnation(server))
        });
        let age = restored.age_at_start + now.saturating_sub(restored.started_at);
        self.events.push(Event::Restored { snapshot, age });
        self.snapshot_applied = true;
    }

    /// Expected request rate of a joining proxy, requests per second.
    pub(super) fn expected_rate(&self, node: &NodeInfo) -> f64 {
        let Some(restored) = &self.restored else { return node.rate };
        let stored = restored.snapshot.proxy_rates.get(&node.id).copied();
        self.freshness.expected_rate(node.rate, stored, restored.age_at_start)
    }

    /// Has the daemon store a snapshot if one is due.
    pub(super) fn store_snapshot(&mut self, now: Nanos) {
        // Guards against a run that has received no endpoint list yet overwriting the snapshot of an earlier run.
        let restore_pending = self.restored.is_some() && !self.snapshot_applied;
        let has_learned = self.last_decision_at.is_some() && self.endpoints.address_version() > 0;
        let is_due = now >= self.freshness.next_write(self.snapshot_taken_at);
        if !is_due || !has_learned || restore_pending || self.deployment.snapshot_disabled {
            return;
        }
        self.snapshot_taken_at = now;
        let record = self.take_snapshot(now).encode_record();
        self.commands.push(ShellCommand::StoreSnapshot(record));
    }

    fn take_snapshot(&mut self, now: Nanos) -> StoredSnapshot {
        let learned = self.controller.snapshot(now);
        let incarnation = |server| (server, self.endpoints.incarnation(server));
        let incarnations = learned.servers.iter().map(|learned| incarnation(learned.server)).collect();
        let rate = |(node, id): (&String, &ProxyId)| Some((node.clone(), *self.request_rates.get(id)?));
        let proxy_rates = self.proxy_ids.iter().filter_map(rate).collect();
        StoredSnapshot { taken_at: now + self.wall_clock_offset, learned, incarnations, proxy_rates }
    }
}
