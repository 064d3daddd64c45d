//! The watch of discovery's endpoint list: dialling with backoff, applying lists, silence, and a change of
//! address.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;

use shalereel::interface::{Event, Nanos};
use thiserror::Error;

use super::connections::{CloseMode, CloseReason};
use super::status::Fault;
use super::{Command, Connection, DialTarget, Role, Supervisor, Timer};
use crate::clocks::Clocks;
use crate::discovery_watch::{watch_request, DiscoveryWatch, WatchError};
use crate::protocol::EndpointList;
use crate::server_registry::EntryError;

/// The state of the watch.
#[derive(Debug)]
pub(super) struct DiscoveryState<C> {
    /// Connection of the watch, where there is one.
    pub watch: Option<C>,
    /// A connection was requested and is awaited.
    is_dialling: bool,
    /// Watches lost, or not opened, since the last list.
    watches_lost: u32,
    /// The next watch requests the full list.
    pub requests_full_list: bool,
    /// When discovery last said something, be it that nothing has changed.
    last_heard_at: Option<Nanos>,
    /// The present watch has given a list.
    watch_has_listed: bool,
    random: oorandom::Rand64,
}

impl<C> DiscoveryState<C> {
    pub fn new(seed: u64, requests_full_list: bool) -> Self {
        DiscoveryState {
            watch: None,
            is_dialling: false,
            watches_lost: 0,
            requests_full_list,
            last_heard_at: None,
            watch_has_listed: false,
            random: oorandom::Rand64::new(seed.into()),
        }
    }
}

/// Why the watch is closed from this side.
#[derive(Debug, Error)]
pub(super) enum DiscoveryCloseReason {
    #[error(transparent)]
    Watch(WatchError),
    #[error("discovery is silent")]
    Silent,
    #[error("discovery has moved")]
    Moved,
    #[error("the full list is requested")]
    FullListRequested,
    #[error("list version {version} is older than {known_version}, the full list is requested")]
    VersionWentBack { version: u64, known_version: u64 },
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// The result of [`Command::Dial`].
    pub fn dialled(&mut self, target: DialTarget, result: io::Result<C>, now: Nanos) {
        match (target, result) {
            (DialTarget::Discovery(address), Ok(connection)) => {
                self.discovery_dialled(connection, address, now);
            }
            (DialTarget::Discovery(_), Err(error)) => {
                self.discovery.is_dialling = false;
                self.watch_lost(&CloseReason::Transport(&error.to_string()), now);
            }
            (DialTarget::HealthCheck(server, address), Ok(connection)) => {
                self.health_check_dialled(connection, server, address, now);
            }
            (DialTarget::HealthCheck(server, _), Err(_)) => self.health_check_not_dialled(server),
        }
    }

    pub(super) fn dial_discovery(&mut self) {
        if self.discovery.watch.is_none() && !self.discovery.is_dialling {
            self.discovery.is_dialling = true;
            self.commands.push(Command::Dial(DialTarget::Discovery(self.config.discovery)));
        }
    }

    fn discovery_dialled(&mut self, connection: C, address: SocketAddr, now: Nanos) {
        self.add_connection(connection, Role::Discovery(Box::default()), now);
        self.discovery.is_dialling = false;
        self.discovery.watch = Some(connection);
        self.discovery.watch_has_listed = false;
        let after_version = (!self.discovery.requests_full_list).then_some(self.registry.version());
        let request = watch_request(address, after_version);
        self.commands.push(Command::Write(connection, request.into()));
    }

    pub(super) fn watch_received(&mut self, connection: C, bytes: &[u8], clocks: Clocks) {
        let max_line_bytes = self.limits.max_buffered_bytes();
        let Some(Connection { role: Role::Discovery(watch), .. }) = self.connections.get_mut(&connection)
        else {
            return;
        };
        let watch: &mut DiscoveryWatch = watch;
        let progress = watch.push(bytes, max_line_bytes);
        self.lists_received(connection, progress.lists, clocks);
        if let Some(error) = progress.error {
            let reason = CloseReason::Discovery(DiscoveryCloseReason::Watch(error));
            self.close(connection, CloseMode::Reset, &reason, clocks.now);
        }
        // An empty line says that nothing has changed, once this watch has given a list.
        if self.discovery.watch == Some(connection) && self.discovery.watch_has_listed {
            self.discovery.last_heard_at = Some(clocks.now);
        }
    }

    fn lists_received(&mut self, connection: C, lists: Vec<EndpointList>, clocks: Clocks) {
        for list in lists {
            let known_version = self.registry.version();
            if !list.is_full && list.version < known_version {
                // Another discovery, or one that has restarted, counts from elsewhere: changes may be missing
                // for good. The full list brings them.
                self.count_fault(Fault::OutdatedList);
                self.discovery.requests_full_list = true;
                let reason = DiscoveryCloseReason::VersionWentBack { version: list.version, known_version };
                let reason = CloseReason::Discovery(reason);
                return self.close(connection, CloseMode::Reset, &reason, clocks.now);
            }
            self.apply_list(list, clocks);
        }
    }

    fn apply_list(&mut self, list: EndpointList, clocks: Clocks) {
        self.discovery.watches_lost = 0;
        self.discovery.requests_full_list = false;
        let (version, is_full, entries) = (list.version, list.is_full, list.entries.len());
        let update = self.registry.apply(list, clocks, self.discovery.last_heard_at);
        self.discovery.watch_has_listed = true;
        self.report_entry_errors(update.errors, clocks.now);
        if is_full || entries > 0 {
            let kind = if is_full { "full" } else { "delta" };
            self.log(clocks.now, format!("endpoint list version {version}, {kind}: {entries} servers"));
            self.controller.push(Event::Endpoints(update.event));
        }
    }

    pub(super) fn report_entry_errors(&mut self, errors: Vec<EntryError>, now: Nanos) {
        for error in errors {
            self.count_fault(Fault::InvalidListEntry);
            self.log(now, format!("endpoint list entry rejected: {error}"));
        }
    }

    pub(super) fn watch_lost(&mut self, reason: &CloseReason<'_>, now: Nanos) {
        self.discovery.watch = None;
        let random = self.discovery.random.rand_float();
        let dial_at = self.limits.discovery_dial_at(now, self.discovery.watches_lost, random);
        self.timers.set(dial_at, Timer::DialDiscovery);
        self.discovery.watches_lost += 1;
        self.log(now, format!("discovery watch lost: {reason}"));
    }

    pub(super) fn close_silent_watch(&mut self, now: Nanos) {
        let Some(connection) = self.discovery.watch else { return };
        let heard_at = self.connections.get(&connection).map_or(now, |watch| watch.last_received_at);
        if now.saturating_sub(heard_at) > self.limits.watch_silence_timeout() {
            let reason = CloseReason::Discovery(DiscoveryCloseReason::Silent);
            self.close(connection, CloseMode::Reset, &reason, now);
        }
    }

    /// Requests the full list, on another watch.
    pub(super) fn request_full_list(&mut self, now: Nanos) {
        self.discovery.requests_full_list = true;
        match self.discovery.watch {
            Some(connection) => {
                let reason = CloseReason::Discovery(DiscoveryCloseReason::FullListRequested);
                self.close(connection, CloseMode::Graceful, &reason, now);
            }
            None => {
                self.timers.set(now, Timer::DialDiscovery);
            }
        }
    }

    /// The configuration was read again: where discovery's address has changed, the watch moves there. The
    /// endpoint list, tables and connections stay.
    pub fn move_discovery(&mut self, discovery: SocketAddr, now: Nanos) {
        if self.config.discovery == discovery {
            return self.log(now, "config reloaded: no change".into());
        }
        self.log(now, format!("config reloaded: discovery moved to {discovery}"));
        self.config.discovery = discovery;
        self.discovery.watches_lost = 0;
        match self.discovery.watch.take() {
            Some(connection) => {
                let reason = CloseReason::Discovery(DiscoveryCloseReason::Moved);
                self.close(connection, CloseMode::Graceful, &reason, now);
            }
            None => {
                self.timers.set(now, Timer::DialDiscovery);
            }
        }
    }
}
