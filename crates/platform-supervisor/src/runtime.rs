//! Runs a [`Supervisor`] with real sockets, signals and clocks. Apart from reading the configuration file,
//! this is the only part of the crate that does I/O.

use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use shalereel::interface::Nanos;
use shalereel_reactor::{now, reload_signals, stop_signals};
use shalereel_rpc::{ConnId, ConnectionLimits, Hub, Input};
use thiserror::Error;

use crate::clocks::Clocks;
use crate::config::{Config, ConfigError};
use crate::limits::Limits;
use crate::supervisor::{Command, Supervisor};

/// Why a supervisor cannot start, or must stop.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration file cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The supervisor cannot listen on the configured address.
    #[error("{path}: listen: cannot listen on {address}")]
    Listen {
        /// Path of the configuration file.
        path: PathBuf,
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Signal handlers cannot be installed, or waiting for sockets failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The connections of `shalereel node`. The only listener needs no key; the key of a timer is the number of
/// failed attempts to read the configuration file.
type PlatformHub = Hub<(), u32>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoopControl {
    Continue,
    Stop,
}

fn current_clocks() -> Clocks {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clocks { now: now(), unix_ms: unix.as_secs_f64() * 1e3 }
}

/// Runs a supervisor with this configuration file until SIGTERM or SIGINT.
///
/// # Errors
/// The configuration file cannot be read or is invalid, the supervisor cannot listen on its address, or
/// waiting for sockets failed.
pub fn run(config_path: &Path) -> Result<(), RunError> {
    // The handlers are installed first, so that a signal that arrives while the file is read is not lost.
    let stop = stop_signals()?;
    let reload = reload_signals()?;
    let config = Config::read(config_path)?;
    let mut hub = open_hub(config_path, &config, stop, reload)?;
    tracing::info!(name = config.name, listen = %config.listen, discovery = %config.discovery, "started");
    log_settings(&config);
    std::panic::set_hook(Box::new(|panic| tracing::error!("{panic}")));
    let mut supervisor: Supervisor<ConnId> = Supervisor::new(config, current_clocks());
    supervisor.advance(current_clocks());
    carry_out(&mut supervisor, &mut hub);
    loop {
        let until = supervisor.next_wakeup();
        if process_inputs(config_path, until, &mut supervisor, &mut hub)? == LoopControl::Stop {
            break;
        }
    }
    // Answers what was received before the signal, including data that is still unread in the kernel.
    process_inputs(config_path, Some(now()), &mut supervisor, &mut hub)?;
    hub.flush();
    tracing::info!("stopped by a signal");
    Ok(())
}

fn open_hub(
    config_path: &Path,
    config: &Config,
    stop: UnixStream,
    reload: UnixStream,
) -> Result<PlatformHub, RunError> {
    let limits = Limits::new(&config.controller, config.resources);
    let mut hub: PlatformHub = Hub::new(ConnectionLimits {
        max_message_bytes: limits.max_message_bytes(),
        // No gRPC is served here.
        max_concurrent_calls: 0,
        max_unsent_bytes: limits.max_unread_bytes(),
        // Incomplete messages are buffered, and limited, by the supervisor.
        max_held_bytes: limits.max_unread_bytes_of_all(),
        max_bytes_per_wait: limits.max_bytes_per_wait(),
        message_timeout: limits.proxy_silence_timeout(),
        // Applies to the connections to discovery and to servers too.
        user_timeout: limits.proxy_silence_timeout(),
        retry_delay: limits.kernel_retry_delay(),
    })?;
    hub.stop_on(stop)?;
    hub.reload_on(reload)?;
    hub.limit_connections(limits.max_client_connections());
    let address = config.listen;
    hub.listen_plain_any_address(address, ()).map_err(|source| RunError::Listen {
        path: config_path.into(),
        address,
        source,
    })?;
    Ok(hub)
}

/// Waits for inputs, but no longer than `until`. Handles them and carries out the resulting commands.
fn process_inputs(
    config_path: &Path,
    until: Option<Nanos>,
    supervisor: &mut Supervisor<ConnId>,
    hub: &mut PlatformHub,
) -> Result<LoopControl, RunError> {
    let mut control = LoopControl::Continue;
    for input in hub.wait(until)? {
        match input {
            Input::Opened { conn, .. } => supervisor.opened(conn, now()),
            Input::Bytes { conn, bytes } => supervisor.received(conn, &bytes, current_clocks()),
            Input::Closed { conn, reason } => supervisor.closed(conn, &reason.to_string(), now()),
            Input::Reload => reload_config(config_path, 0, supervisor, hub),
            Input::Timer(attempts) => reload_config(config_path, attempts, supervisor, hub),
            Input::Stop => control = LoopControl::Stop,
            // Inputs from gRPC, standard input and threads, which this process does not use.
            _ => {}
        }
    }
    supervisor.advance(current_clocks());
    carry_out(supervisor, hub);
    Ok(control)
}

/// Logs the settings that deadlines and the channel depend on; a log cannot be interpreted without them.
fn log_settings(config: &Config) {
    let controller = &config.controller;
    let milliseconds = |span: Nanos| span / 1_000_000;
    tracing::info!(
        proxies = controller.proxy_count,
        supervisors = controller.supervisor_count,
        lines_per_s = controller.lines_per_s.round(),
        channel_capacity = controller.channel_capacity.round(),
        message_overhead = controller.message_overhead,
        mean_transit_ms = milliseconds(controller.mean_transit),
        worst_transit_ms = milliseconds(controller.worst_transit),
        drain_grace_ms = milliseconds(controller.drain_grace),
        max_unserved_ms = milliseconds(controller.max_unserved_time),
        slow_start_ms = milliseconds(controller.slow_start_duration),
        report_interval_ms = milliseconds(controller.report_interval),
        message_limit = controller.message_limit,
        memory_mb = config.resources.memory_mb,
        sockets = config.resources.sockets,
        known_version = config.known_list.as_ref().map(|list| list.version),
        "settings"
    );
}

/// Reads the configuration file again and applies a change of discovery's address; other changes take effect
/// only at the next start. The file may be incomplete, empty or missing while it is replaced, so
/// a failed read is retried for a while.
fn reload_config(
    config_path: &Path,
    attempts: u32,
    supervisor: &mut Supervisor<ConnId>,
    hub: &mut PlatformHub,
) {
    match Config::read(config_path) {
        Ok(config) => supervisor.move_discovery(config.discovery, now()),
        Err(error) => {
            if attempts == 0 {
                tracing::warn!(%error, "config reload failed, the previous config stays in force; retrying for 4 s");
            }
            if let Some(at) = supervisor.limits().config_retry_at(now(), attempts) {
                hub.set_timer(at, attempts + 1);
            }
        }
    }
}

fn carry_out(supervisor: &mut Supervisor<ConnId>, hub: &mut PlatformHub) {
    loop {
        let commands = supervisor.take_commands();
        if commands.is_empty() {
            return;
        }
        for command in commands {
            match command {
                Command::Write(connection, bytes) => hub.write_shared(connection, bytes),
                Command::Close { connection, reset: true } => hub.reset(connection),
                Command::Close { connection, reset: false } => hub.close(connection),
                Command::Log(line) => tracing::info!("{line}"),
                Command::Dial(target) => {
                    let result = hub.dial_plain_any_address(target.address());
                    supervisor.dialled(target, result, now());
                }
            }
        }
    }
}
