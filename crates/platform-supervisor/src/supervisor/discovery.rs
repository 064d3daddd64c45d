//! The watch on discovery's endpoint list: dialling with backoff, applying received lists, the silence
//! timeout, and changes of discovery's address.

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

/// The state of the watch on discovery.
#[derive(Debug)]
pub(super) struct DiscoveryState<C> {
    /// Connection of the open watch, if there is one.
    pub watch: Option<C>,
    /// Whether a connection was requested whose result is not known yet.
    is_dialling: bool,
    /// Number of watches that were lost or could not be opened since the last list.
    watches_lost: u32,
    /// Whether the next watch requests the full list.
    pub requests_full_list: bool,
    /// When discovery last sent a list, or an empty line that says that nothing has changed.
    last_heard_at: Option<Nanos>,
    /// Whether a list was received on the open watch.
    watch_has_sent_list: bool,
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
            watch_has_sent_list: false,
            random: oorandom::Rand64::new(seed.into()),
        }
    }
}

/// Why the supervisor closes the watch.
#[derive(Debug, Error)]
pub(super) enum DiscoveryCloseReason {
    #[error(transparent)]
    Watch(WatchError),
    #[error("no data from discovery within the silence timeout")]
    Silent,
    #[error("the configured address of discovery has changed")]
    Moved,
    #[error("reconnecting to request the full list")]
    FullListRequested,
    #[error("list version {version} is older than known version {known_version}; requesting the full list")]
    VersionWentBack { version: u64, known_version: u64 },
}

impl<C: Copy + Ord + Debug> Supervisor<C> {
    /// Handles the result of [`Command::Dial`].
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
        self.discovery.watch_has_sent_list = false;
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
        // Once a list was received on this watch, an empty line means that nothing has changed.
        if self.discovery.watch == Some(connection) && self.discovery.watch_has_sent_list {
            self.discovery.last_heard_at = Some(clocks.now);
        }
    }

    fn lists_received(&mut self, connection: C, lists: Vec<EndpointList>, clocks: Clocks) {
        for list in lists {
            let known_version = self.registry.version();
            if !list.is_full && list.version < known_version {
                // A replaced or restarted discovery service restarts its version numbers, so changes may have
                // been missed for good. The full list contains them.
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
        self.discovery.watch_has_sent_list = true;
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

    /// Handles the loss of the watch, or a failure to open it: schedules the next attempt.
    pub(super) fn watch_lost(&mut self, reason: &CloseReason<'_>, now: Nanos) {
        self.discovery.watch = None;
        let random = self.discovery.random.rand_float();
        let dial_at = self.limits.discovery_dial_at(now, self.discovery.watches_lost, random);
        self.timers.set(dial_at, Timer::DialDiscovery);
        self.discovery.watches_lost += 1;
        self.log(now, format!("discovery watch lost: {reason}"));
    }

    /// Closes the watch if nothing was received on it within the silence timeout.
    pub(super) fn close_silent_watch(&mut self, now: Nanos) {
        let Some(connection) = self.discovery.watch else { return };
        let heard_at = self.connections.get(&connection).map_or(now, |watch| watch.last_received_at);
        if now.saturating_sub(heard_at) > self.limits.watch_silence_timeout() {
            let reason = CloseReason::Discovery(DiscoveryCloseReason::Silent);
            self.close(connection, CloseMode::Reset, &reason, now);
        }
    }

    /// Replaces the watch by one that requests the full list.
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

    /// Applies the address of discovery from a reloaded configuration. If it has changed, the watch is opened
    /// again there. The endpoint list, tables and other connections are kept.
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
