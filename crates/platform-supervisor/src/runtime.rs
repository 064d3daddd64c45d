//! Runs a [`Supervisor`] on sockets, signals and clocks: the only part of the crate that does I/O.

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

/// Why a supervisor cannot start or go on.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configured address cannot be listened on.
    #[error("{path}: listen = {address}")]
    Listen {
        /// The configuration file.
        path: PathBuf,
        /// The configured address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Signals or readiness cannot be waited for.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The hub of `shalereel node`. A timer carries how often the configuration file was read in vain; the only listener needs
/// no name.
type PlatformHub = Hub<(), u32>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

fn clocks() -> Clocks {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clocks { now: now(), unix_ms: unix.as_secs_f64() * 1e3 }
}

/// Runs a supervisor with this configuration file until SIGTERM or SIGINT.
///
/// # Errors
/// The file cannot be used, the address cannot be listened on, or the system fails to wait for sockets.
pub fn run(config_path: &Path) -> Result<(), RunError> {
    // A signal that comes while the file is read must find its handler.
    let stop = stop_signals()?;
    let reload = reload_signals()?;
    let config = Config::read(config_path)?;
    let mut hub = open_hub(config_path, &config, stop, reload)?;
    tracing::info!(name = config.name, listen = %config.listen, discovery = %config.discovery, "started");
    log_settings(&config);
    std::panic::set_hook(Box::new(|panic| tracing::error!("{panic}")));
    let mut supervisor: Supervisor<ConnId> = Supervisor::new(config, clocks());
    supervisor.advance(clocks());
    carry_out(&mut supervisor, &mut hub);
    loop {
        let until = supervisor.next_wakeup();
        if turn(config_path, until, &mut supervisor, &mut hub)? == Flow::Stop {
            break;
        }
    }
    // What came before the signal is still answered, also where it waits unread in the kernel.
    turn(config_path, Some(now()), &mut supervisor, &mut hub)?;
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
        // Also for discovery and health checks.
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

/// Waits, handles what came, and carries out the commands that follow.
fn turn(
    config_path: &Path,
    until: Option<Nanos>,
    supervisor: &mut Supervisor<ConnId>,
    hub: &mut PlatformHub,
) -> Result<Flow, RunError> {
    let mut flow = Flow::Continue;
    for input in hub.wait(until)? {
        match input {
            Input::Opened { conn, .. } => supervisor.opened(conn, now()),
            Input::Bytes { conn, bytes } => supervisor.received(conn, &bytes, clocks()),
            Input::Closed { conn, reason } => supervisor.closed(conn, &reason.to_string(), now()),
            Input::Reload => reload_config(config_path, 0, supervisor, hub),
            Input::Timer(attempts) => reload_config(config_path, attempts, supervisor, hub),
            Input::Stop => flow = Flow::Stop,
            // Inputs of gRPC, standard input and threads, which this hub does not have.
            _ => {}
        }
    }
    supervisor.advance(clocks());
    carry_out(supervisor, hub);
    Ok(flow)
}

/// The figures that deadlines and the channel depend on: without them a log cannot be interpreted afterwards.
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

/// Reads the configuration file again. It may be incomplete, empty or missing while it is replaced: then it
/// is read again for a while.
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
            if let Some(at) = supervisor.limits().config_reread_at(now(), attempts) {
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
